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
	"ivylock/internal/membudget"
	"ivylock/internal/neterr"
	"ivylock/internal/node"
)

// clientConns keeps the number of client connections within a limit, so that the process
// does not run out of descriptors. At the limit, new connections wait in the kernel's backlog
// until idle ones are evicted: first the one that has been open longest without a complete
// request, then the one that has been idle longest between requests. Connections
// younger than minNewConnAge are not evicted, as their first request may be on its way.
type clientConns struct {
	*accept.Listener
	limit    int
	mu       sync.Mutex
	open     int
	draining bool                   // connections in the backlog have little time left
	fresh    map[net.Conn]time.Time // opened, without a complete request so far
	idle     map[net.Conn]time.Time // idle since, between requests
	all      map[*clientConn]bool
	listenerState

	refusedBodies    atomic.Int64         // connections on which the rest of a refused request's body is read
	rejecting        chan struct{}        // semaphore of connections that are being rejected
	shutdownResponse func() node.Response // the response to those

	memory     *membudget.Budget // nil: no limit
	figures    *figures.Set
	history    *eventlog.Log // nil if no events are kept
	checker    *invariant.Checker
	lastNumber atomic.Uint64 // number of the latest connection
}

func newClientConns(listener net.Listener, limit int, metrics *figures.Set, history *eventlog.Log, checker *invariant.Checker) *clientConns {
	retrying := accept.New(listener, func(err error) { metrics.AcceptErrors.Add(neterr.Index(err)) })
	return &clientConns{Listener: retrying, limit: limit, fresh: map[net.Conn]time.Time{}, idle: map[net.Conn]time.Time{}, all: map[*clientConn]bool{},
		listenerState: listenerState{backlogEmpty: make(chan struct{}), closed: make(chan struct{})}, rejecting: make(chan struct{}, maxRejecting), figures: metrics, history: history, checker: checker}
}

// makeRoom reports whether the limit allows one more connection. If not, it evicts some.
func (c *clientConns) makeRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open < c.limit {
		return true
	}
	minIdle := minIdleAge
	if c.draining { // guards against a reset of waiting connections when the listener closes
		minIdle = minIdleAtShutdown
	}
	for range evictBatch {
		if !closeLongestIdle(c.fresh, now.Add(-minNewConnAge)) && !closeLongestIdle(c.idle, now.Add(-minIdle)) {
			break
		}
	}
	return false // until the server reports the closed state
}

// setDraining records that the front end is draining.
func (c *clientConns) setDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// setLimit sets the limit. Connections above it are closed after their responses.
func (c *clientConns) setLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
}

// count returns the number of open connections.
func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// nearLimit reports whether the limit is nearly reached. Connections are then closed after
// their responses. Guards against idle connections, which may not be evicted at once,
// blocking new ones.
func (c *clientConns) nearLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 4*c.open > 3*c.limit
}

// closeLongestIdle closes the connection that has been idle longest, if it was idle before
// the given time. Connections with unread data are not idle. Guards against losing a request
// because this process was not scheduled for that long.
func closeLongestIdle(idle map[net.Conn]time.Time, before time.Time) bool {
	var oldest net.Conn
	for conn, since := range idle {
		if client, ok := conn.(*clientConn); ok && !bounded.OpenAndIdle(client.TCPConn) {
			continue
		}
		if since.Before(before) {
			oldest, before = conn, since
		}
	}
	if oldest == nil {
		return false
	}
	delete(idle, oldest)
	if client, ok := oldest.(*clientConn); ok {
		return client.closeIfIdle(figures.ClosedEvicted, true)
	}
	oldest.Close()
	return true
}

// closeIdleSince closes connections that have been idle since before the given time and on
// which no part of a request has arrived.
func (c *clientConns) closeIdleSince(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range []map[net.Conn]time.Time{c.fresh, c.idle} {
		for conn, since := range conns {
			if client, ok := conn.(*clientConn); ok && since.Before(before) {
				client.closeIfIdle(figures.ClosedDraining, false)
			}
		}
	}
}

// rejectUnfinished answers connections on which only a part of a request has arrived, whose
// rest may be on its way, and closes them.
func (c *clientConns) rejectUnfinished(response node.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.all {
		client.rejectUnfinished(response)
	}
}

// pendingResponses counts connections with a request whose response has not been written.
// Streamed responses last as long as their client and server take and are not counted.
func (c *clientConns) pendingResponses() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.all {
		if client.responsePending() {
			n++
		}
	}
	return n
}

// streamedBodies counts connections on which a body is being forwarded, or read after an early
// response.
func (c *clientConns) streamedBodies() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.all {
		if client.isStreaming() {
			n++
		}
	}
	return n + int(c.refusedBodies.Load())
}

// countByPhase counts connections by their phase.
func (c *clientConns) countByPhase() (withoutRequest, idle, withOpenRequest int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.fresh), len(c.idle), c.open - len(c.fresh) - len(c.idle)
}

// onConnState is the server's ConnState hook.
func (c *clientConns) onConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.idle, conn)
	client, ok := conn.(*clientConn)
	switch state {
	case http.StateNew:
		c.open++
		c.fresh[conn] = time.Now()
		if ok {
			c.all[client] = true
		}
	case http.StateActive:
		if ok {
			client.setPhase(phaseOpen)
		}
	case http.StateIdle:
		if ok {
			client.setPhase(phaseIdle)
		}
		c.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.all, client)
		if ok {
			client.dropReadAhead()
		}
		if !ok || !client.isLingering() {
			c.open--
		}
	}
}

// dropReadAhead returns the memory for what was read ahead.
func (c *clientConn) dropReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseReadAhead()
}

// onLingerEnd counts the end of a connection that was still open after its Close.
func (c *clientConns) onLingerEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}
