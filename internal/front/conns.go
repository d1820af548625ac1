package front

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/internal/accept"
	"ivylock/internal/bounded"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
	"ivylock/internal/neterr"
	"ivylock/internal/node"
)

// clientConns keeps the number of client connections within its budget, so
// that the process never runs out of descriptors. At the budget the next one
// waits in the kernel's backlog until there is room, which is made by closing
// the longest silent connection: first one that never sent a whole request,
// else one between requests. A fresh one is spared, as it may have a request
// on its way.
type clientConns struct {
	*accept.Listener
	most  int
	mu    sync.Mutex
	open  int
	ends  bool                   // the front drains: who waits to come in has little time left
	fresh map[net.Conn]time.Time // since when: no whole request yet
	idle  map[net.Conn]time.Time // between requests
	all   map[*client]bool
	closing

	turningAway  chan struct{}        // holds one for each connection that is being turned away
	endingAnswer func() node.Response // what those are answered

	figures *figures.Set
	history *eventlog.Log // nil: nothing is kept
	checker *invariant.Checker
	numbers atomic.Uint64 // of connections accepted so far
}

func newClientConns(l net.Listener, most int, count *figures.Set, history *eventlog.Log, checker *invariant.Checker) *clientConns {
	again := accept.New(l, func(err error) { count.AcceptErrors.Add(neterr.Number(err)) })
	return &clientConns{Listener: again, most: most, fresh: map[net.Conn]time.Time{}, idle: map[net.Conn]time.Time{}, all: map[*client]bool{},
		closing: closing{emptied: make(chan struct{}), closed: make(chan struct{})}, turningAway: make(chan struct{}, mostTurnedAway), figures: count, history: history, checker: checker}
}

// room tells whether there is room, and makes some if there is none.
func (c *clientConns) room(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open < c.most {
		return true
	}
	spare := idleSpare
	if c.ends { // guards against a reset, at the end of the listening, of those that wait for room
		spare = restSpare
	}
	for range roomBatch {
		if !closeLongest(c.fresh, now.Add(-freshSpare)) && !closeLongest(c.idle, now.Add(-spare)) {
			break
		}
	}
	return false // until the server tells that it is closed
}

// drains takes that the front drains.
func (c *clientConns) drains() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = true
}

// setMost changes the budget. Connections above it end with their answers.
func (c *clientConns) setMost(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
}

// count tells how many connections are open.
func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// crowded tells that the budget is nearly spent. Connections then end with
// their answers: guards against idle ones, which may not be closed at once,
// that keep all others waiting.
func (c *clientConns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 4*c.open > 3*c.most
}

// closeLongest closes the connection that has been silent longest, if it has
// been so since before a time. One on which something waits to be read is not
// silent: guards against a request that is lost because this process had no
// core for as long as that.
func closeLongest(silent map[net.Conn]time.Time, before time.Time) bool {
	var longest net.Conn
	for conn, since := range silent {
		if c, is := conn.(*client); is && !bounded.OpenAndIdle(c.TCPConn) {
			continue
		}
		if since.Before(before) {
			longest, before = conn, since
		}
	}
	if longest == nil {
		return false
	}
	delete(silent, longest)
	if c, is := longest.(*client); is {
		return c.endSilent(figures.ClosedForRoom, true)
	}
	longest.Close()
	return true
}

// endIdle closes connections that have been idle, or unused, since before a time, and on
// which no part of a request has come.
func (c *clientConns) endIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, silent := range []map[net.Conn]time.Time{c.fresh, c.idle} {
		for conn, since := range silent {
			if k, is := conn.(*client); is && since.Before(before) {
				k.endSilent(figures.ClosedDraining, false)
			}
		}
	}
}

// refuseUnfinished ends connections on which a part of a request has come, and no more,
// with an answer: its last byte may be on its way.
func (c *clientConns) refuseUnfinished(a node.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.all {
		k.endUnfinished(a)
	}
}

// owed counts connections with a request whose answer has not been written. One whose
// answer is passed on takes as long as its client and server do, and is not counted.
func (c *clientConns) owed() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.all {
		if k.owes() {
			n++
		}
	}
	return n
}

// census counts connections by what they are at.
func (c *clientConns) census() (withoutRequest, idle, withOpenRequest int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.fresh), len(c.idle), c.open - len(c.fresh) - len(c.idle)
}

// track is the server's ConnState hook.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.idle, conn)
	cl, is := conn.(*client)
	switch state {
	case http.StateNew:
		c.open++
		c.fresh[conn] = time.Now()
		if is {
			c.all[cl] = true
		}
	case http.StateActive:
		if is {
			cl.at(open)
		}
	case http.StateIdle:
		if is {
			cl.at(resting)
		}
		c.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.all, cl)
		if !is || !cl.lingers() {
			c.open--
		}
	}
}

// lingered takes the end of a connection that net/http had closed before.
func (c *clientConns) lingered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}
