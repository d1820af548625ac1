package memory

import (
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
)

// client is one try of an order.
type client struct {
	w      *world
	order  *load.Order
	number int
	try    string
	node   *node
	left   bool // it gave up, and has closed its connection
	over   bool
	gone   bool // it has closed its connection

	life     int // of the node, when the try was sent
	deadline time.Duration
	answer   answer // that is on its way
}

// answer is one that goes to a client.
type answer struct {
	status     history.Status
	server     string
	retryAfter time.Duration
	on         bool // its way
}

// What happens to a client's try.
const (
	comesToNode what = iota
	timeIsOver
	hasAnswer
	triesAgain
)

func (c *client) happen(what what, _ uint64) {
	n := c.node
	switch what {
	case comesToNode:
		if n.sleeps(c, what, 0) {
			return
		}
		if n.life == c.life {
			n.arrive(c, c.deadline-c.w.now)
		} else {
			c.later(0, history.Broken, "", 0)
		}
	case timeIsOver:
		if !c.over {
			c.gone = true
			c.end(history.GaveUp, "", 0)
			if n.life == c.life {
				n.abandoned(c)
			}
		}
	case hasAnswer:
		a := c.answer
		c.answer.on = false
		c.end(a.status, a.server, a.retryAfter)
	case triesAgain:
		c.w.try(c.order, c.number+1)
	}
}

// arrivals plans the next order, and after it the next.
func (w *world) arrivals(st *load.Stream) {
	o, ok := st.Next()
	if !ok {
		return
	}
	w.at(o.At, func() {
		w.try(&o, 0)
		w.arrivals(st)
	})
}

// deal gives the node that the front sends the next connection of a hall to,
// or nil. A hall without a node is served by the others.
func (w *world) deal(hall string) *node {
	if w.dealt == nil {
		w.dealt = map[string][2][]*node{}
	}
	all, known := w.dealt[hall]
	if !known {
		for _, n := range w.nodes {
			if i := 0; n.dealt {
				if n.Hall != hall {
					i = 1
				}
				all[i] = append(all[i], n)
			}
		}
		w.dealt[hall] = all
	}
	for _, up := range all {
		if len(up) > 0 {
			w.turn[hall]++
			return up[w.turn[hall]%len(up)]
		}
	}
	return nil
}

// tries words the number of a try; clients try again twice at most.
var tries = [...]string{".0", ".1", ".2", ".3"}

// try sends one try. Its time counts from here.
func (w *world) try(o *load.Order, number int) {
	c := &client{w: w, order: o, number: number, try: o.ID + tries[number], node: w.deal(o.Hall)}
	if number == 0 {
		w.record(history.Event{Kind: history.Ask, Order: o.ID, Class: o.Class.Name})
	}
	patience := load.Patience(w.s, o, w.now)
	if c.node == nil || !c.node.up {
		c.again(history.Unreachable, 0)
		return
	}
	c.life, c.deadline = c.node.life, w.now+patience
	w.record(history.Event{Kind: history.Try, Order: o.ID, Try: c.try, Number: number, Class: o.Class.Name, Node: c.node.Name, Deadline: c.deadline, Key: o.Key})
	w.out(c.node, c)
	w.plan(w.now+w.jitter(w.s.Net.Client.Duration), c, comesToNode, 0)
	w.plan(c.deadline+w.setup.Limits.Slack, c, timeIsOver, 0)
}

// slowRead is what a slow reader takes for an answer.
const slowRead = 20 * time.Millisecond

// later brings an answer to the client.
func (c *client) later(d time.Duration, st history.Status, server string, retryAfter time.Duration) {
	if c.gone {
		return
	}
	if c.order.Slow && st == history.Served {
		c.w.record(history.Event{Kind: history.Slow, Try: c.try})
		d += slowRead
	}
	if c.answer.on { // a second one, which is the judge's to see
		c.w.after(d, func() { c.end(st, server, retryAfter) })
		return
	}
	c.answer = answer{st, server, retryAfter, true}
	c.w.plan(c.w.now+d, c, hasAnswer, 0)
}

// end is the final answer as the client has it. A second one is recorded too:
// it is the judge's to see.
func (c *client) end(st history.Status, server string, retryAfter time.Duration) {
	if c.over && (st == history.GaveUp || c.left) { // nobody reads what comes to one that has closed its connection
		return
	}
	c.left = c.left || st == history.GaveUp
	c.w.record(history.Event{Kind: history.Answer, Try: c.try, Status: st, Server: server})
	if !c.over {
		c.over = true
		c.again(st, retryAfter)
	}
}

func (c *client) again(st history.Status, retryAfter time.Duration) {
	if wait, ok := load.Again(c.w.s, c.order, c.number, st, retryAfter, c.w.now); ok {
		c.w.plan(c.w.now+wait, c, triesAgain, 0)
	}
}

// out notes that a client waits at a node; waiting lists those that still do.
func (w *world) out(n *node, c *client) {
	list := w.open[n]
	if len(list) > 1024 && len(list)%1024 == 0 {
		w.open[n] = w.waiting(n)
	}
	w.open[n] = append(w.open[n], c)
}

func (w *world) waiting(n *node) []*client {
	kept := w.open[n][:0]
	for _, c := range w.open[n] {
		if !c.over {
			kept = append(kept, c)
		}
	}
	w.open[n] = kept
	return kept
}
