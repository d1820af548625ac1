package caller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"ivylock/internal/bounded"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/socket"
)

// connUse says what a connection to a process that is shutting down has carried.
type connUse int

const (
	servedBefore   connUse = iota // requests
	neverUsed                     // nothing
	partialRequest                // the beginning of a request
	connUses
)

// SendDuringShutdown sends requests to a process that is shutting down, from now until it is killed
// after killAfter, on connections of each use: up to the given number of idle connections, and as
// many new ones of each other use. It returns when every request has been answered or has failed.
// Classes and times are drawn from seed.
func (c *Clients) SendDuringShutdown(target Target, classes []history.Class, connections int, killAfter time.Duration, seed int64) {
	r := rand.New(rand.NewPCG(uint64(seed), 0x6c617465))
	var sends sync.WaitGroup
	send := func(k *conn, use connUse) {
		class := &classes[r.IntN(len(classes))]
		work := (class.WorkLow + class.WorkHigh) / 2
		if r.IntN(outlastOdds) == 0 { // still open when the process gives its last answers
			class = longestClass(classes)
			work = class.Deadline
		}
		o := &load.Order{ID: fmt.Sprintf("late%d", c.lateOrders.Add(1)), Class: class, Work: work}
		if class.Effect == history.Keyed {
			o.Key = fmt.Sprintf("late%016x", r.Uint64())
		}
		var delay time.Duration
		switch r.IntN(4) {
		case 0: // at any time
			delay = time.Duration(r.Int64N(int64(killAfter)))
		case 1: // while the process still accepts requests, or just after
			delay = time.Duration(r.Int64N(int64(acceptTime)))
		case 2: // shortly before it is killed
			delay = killAfter - time.Duration(r.Int64N(int64(finalPeriod)))
		case 3: // after it is killed
			delay = killAfter + finalPeriod
		}
		prefix := 0
		if use == partialRequest {
			prefix = 1 + r.IntN(minRequestBytes)
		}
		sends.Go(func() { c.sendLate(o, k, use, prefix, delay) })
	}
	for _, k := range c.takeIdle(target, connections) {
		send(k, servedBefore)
	}
	for use := neverUsed; use < connUses; use++ {
		for range connections {
			if nc, err := socket.Dial(target.Addr, dialTimeout); err == nil {
				c.mu.Lock()
				c.open++
				c.mu.Unlock()
				send(newConn(nc, target), use)
			}
		}
	}
	sends.Wait()
}

// longestClass returns the class whose clients wait longest.
func longestClass(classes []history.Class) *history.Class {
	longest := 0
	for i := range classes {
		if classes[i].Deadline > classes[longest].Deadline {
			longest = i
		}
	}
	return &classes[longest]
}

const (
	// outlastOdds: one request in so many takes as long as its client waits.
	outlastOdds = 3
	// acceptTime is a little more than the time in which a process that is shutting down accepts
	// requests.
	acceptTime  = 800 * time.Millisecond
	finalPeriod = 200 * time.Millisecond
	// minRequestBytes is a lower bound on the length of a request.
	minRequestBytes = 100
)

// takeIdle removes up to limit idle connections of a process from the pool.
func (c *Clients) takeIdle(target Target, limit int) (out []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for zone, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if k.target == target && len(out) < limit {
				out = append(out, k)
			} else {
				kept = append(kept, k)
			}
		}
		c.idle[zone] = kept
	}
	return out
}

// sendLate sends a request after a delay, if the connection is still open then. Its first prefix
// bytes are sent before the delay.
func (c *Clients) sendLate(o *load.Order, k *conn, use connUse, prefix int, delay time.Duration) {
	id := o.ID + ".0"
	timeout := o.Class.Deadline // the longest that a client waits
	text := requestText(o, id, timeout)
	io.WriteString(k, text[:prefix])
	time.Sleep(delay)
	if !bounded.OpenAndIdle(k.TCPConn) { // the process has closed it, or has answered the prefix
		c.discard(k)
		return
	}
	startedAt := time.Now()
	c.Record(history.Event{At: c.Clock(), Kind: history.OrderIssued, Order: o.ID, Class: o.Class.Name})
	r := c.exchange(k, text[prefix:], id, o, timeout)
	c.mu.Lock()
	c.stats.LateRequests++
	c.mu.Unlock()
	if !r.written {
		return
	}
	if r.status == history.ConnectionBroken && r.beforeAnswer && use != partialRequest && !c.Balancer.wasKilled(k.target, startedAt) {
		r.status = history.CloseRace // a client would resend it elsewhere
		if use == neverUsed {
			c.mu.Lock()
			c.stats.CloseRaces++
			c.mu.Unlock()
		}
	}
	c.recordTry(o, id, 0, k, r, timeout)
}
