package memory

import (
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
)

// clientTry is one try of an order.
type clientTry struct {
	world      *world
	order      *load.Order
	number     int
	id         string
	node       *node
	gaveUp     bool // timed out and closed its connection
	done       bool
	connClosed bool

	nodeIncarnation int // when the try was sent
	deadline        time.Duration
	answer          answer // latest answer sent to the client
}

// answer is an answer to a client.
type answer struct {
	status     history.Status
	server     string
	retryAfter time.Duration
	inFlight   bool // sent and not yet received
}

// Events of a try.
const (
	requestArrival eventKind = iota
	clientTimeout
	answerArrival
	clientRetry
)

func (c *clientTry) handleEvent(kind eventKind, _ uint64) {
	n := c.node
	switch kind {
	case requestArrival:
		if n.deferIfPaused(c, kind, 0) {
			return
		}
		if n.incarnation == c.nodeIncarnation {
			n.receive(c, c.deadline-c.world.now)
		} else {
			c.scheduleAnswer(0, history.ConnectionBroken, "", 0)
		}
	case clientTimeout:
		if !c.done {
			c.connClosed = true
			c.receiveAnswer(history.TimedOut, "", 0)
			if n.incarnation == c.nodeIncarnation {
				n.clientClosed(c)
			}
		}
	case answerArrival:
		a := c.answer
		c.answer.inFlight = false
		c.receiveAnswer(a.status, a.server, a.retryAfter)
	case clientRetry:
		c.world.sendTry(c.order, c.number+1)
	}
}

// scheduleArrivals schedules the orders of a stream, one after the other.
func (w *world) scheduleArrivals(stream *load.Stream) {
	order, ok := stream.Next()
	if !ok {
		return
	}
	w.at(order.At, func() {
		w.sendTry(&order, 0)
		w.scheduleArrivals(stream)
	})
}

// pickNode returns the node to which the front, the clients' load balancer, assigns
// the next connection of a zone, or nil. It uses nodes of other zones only if the
// zone has none in rotation.
func (w *world) pickNode(zone string) *node {
	if w.rotation == nil {
		w.rotation = map[string][2][]*node{}
	}
	groups, known := w.rotation[zone]
	if !known {
		for _, n := range w.nodes {
			if i := 0; n.inRotation {
				if n.Zone != zone {
					i = 1
				}
				groups[i] = append(groups[i], n)
			}
		}
		w.rotation[zone] = groups
	}
	for _, nodes := range groups {
		if len(nodes) > 0 {
			w.roundRobin[zone]++
			return nodes[w.roundRobin[zone]%len(nodes)]
		}
	}
	return nil
}

// trySuffixes are the suffixes of try ids; clients retry at most twice.
var trySuffixes = [...]string{".0", ".1", ".2", ".3"}

// sendTry sends one try of an order, whose timeout starts now.
func (w *world) sendTry(order *load.Order, number int) {
	c := &clientTry{world: w, order: order, number: number, id: order.ID + trySuffixes[number], node: w.pickNode(order.Zone)}
	if number == 0 {
		w.record(history.Event{Kind: history.OrderIssued, Order: order.ID, Class: order.Class.Name})
	}
	timeout := load.TryTimeout(w.scenario, order, w.now)
	if c.node == nil || !c.node.up {
		c.retry(history.Unreachable, 0)
		return
	}
	c.nodeIncarnation, c.deadline = c.node.incarnation, w.now+timeout
	w.record(history.Event{Kind: history.Try, Order: order.ID, Try: c.id, Number: number, Class: order.Class.Name, Node: c.node.Name, Deadline: c.deadline, Key: order.Key})
	w.trackOpen(c.node, c)
	w.schedule(w.now+w.jitter(w.scenario.Net.ClientDelay.Duration), c, requestArrival, 0)
	w.schedule(c.deadline+w.setup.Limits.Slack, c, clientTimeout, 0)
}

// slowReadTime is how long a slow reader takes to read an answer.
const slowReadTime = 20 * time.Millisecond

// scheduleAnswer schedules the arrival of an answer at the client.
func (c *clientTry) scheduleAnswer(delay time.Duration, status history.Status, server string, retryAfter time.Duration) {
	if c.connClosed {
		return
	}
	if c.order.SlowReader && status == history.Served {
		c.world.record(history.Event{Kind: history.SlowRead, Try: c.id})
		delay += slowReadTime
	}
	if c.answer.inFlight { // a duplicate, recorded for the judge
		c.world.after(delay, func() { c.receiveAnswer(status, server, retryAfter) })
		return
	}
	c.answer = answer{status, server, retryAfter, true}
	c.world.schedule(c.world.now+delay, c, answerArrival, 0)
}

// receiveAnswer records a final answer at the client. Duplicates are recorded
// too, so that the judge sees them.
func (c *clientTry) receiveAnswer(status history.Status, server string, retryAfter time.Duration) {
	if c.done && (status == history.TimedOut || c.gaveUp) {
		return
	}
	c.gaveUp = c.gaveUp || status == history.TimedOut
	c.world.record(history.Event{Kind: history.Answer, Try: c.id, Status: status, Server: server})
	if !c.done {
		c.done = true
		c.retry(status, retryAfter)
	}
}

func (c *clientTry) retry(status history.Status, retryAfter time.Duration) {
	if wait, ok := load.NextRetry(c.world.scenario, c.order, c.number, status, retryAfter, c.world.now); ok {
		c.world.schedule(c.world.now+wait, c, clientRetry, 0)
	}
}

// trackOpen records a try that waits for the answer of a node.
func (w *world) trackOpen(n *node, c *clientTry) {
	tries := w.openTries[n]
	if len(tries) > 1024 && len(tries)%1024 == 0 {
		w.openTries[n] = w.waitingTries(n)
	}
	w.openTries[n] = append(w.openTries[n], c)
}

// waitingTries drops the finished tries of a node and returns those that still wait
// for its answer.
func (w *world) waitingTries(n *node) []*clientTry {
	kept := w.openTries[n][:0]
	for _, c := range w.openTries[n] {
		if !c.done {
			kept = append(kept, c)
		}
	}
	w.openTries[n] = kept
	return kept
}
