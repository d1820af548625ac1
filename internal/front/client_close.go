package front

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"ivylock/guard"
	"ivylock/internal/bounded"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
	"ivylock/internal/node"
)

// recordClose counts the close of the connection. The caller holds the lock.
func (c *clientConn) recordClose(reason figures.CloseReason) {
	c.owner.figures.ConnectionsClosed.Add(int(reason))
	c.owner.history.Add(eventlog.Event{Kind: eventlog.ConnectionClosed, Connection: c.number,
		Reason: c.owner.figures.ConnectionsClosed.Label(int(reason))})
}

// isLastRequest reports whether no request can follow the open one.
func (c *clientConn) isLastRequest() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAheadFull
}

// closeIfIdle closes the connection unless a request on it waits to be read or answered, and
// reports whether it did. With rejectPartial a partly received request is rejected and its
// connection closed.
func (c *clientConn) closeIfIdle(reason figures.CloseReason, rejectPartial bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch mode := c.state().CloseMode(); {
	case mode == guard.RejectThenClose && rejectPartial && c.phase != phaseOpen:
		c.writeRejection(http.StatusServiceUnavailable, 0)
	case mode != guard.CloseNow:
		return false
	}
	c.closed = true
	c.recordClose(reason)
	c.TCPConn.Close()
	return true
}

// state returns what decides how the connection may be closed. The caller holds the lock.
func (c *clientConn) state() guard.Connection {
	return guard.Connection{Closed: c.closed, RequestOpen: c.phase == phaseOpen, ReceivingBody: c.receivingBody,
		HeadPending: len(c.readAhead) > 0 || bytes.Contains(c.recorded, headEnd), PartialRequest: c.delivered > 0, UnreadData: !bounded.OpenAndIdle(c.TCPConn)}
}

// rejectUnfinished answers a partly received request and closes the connection.
func (c *clientConn) rejectUnfinished(response node.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state().CloseMode() != guard.RejectThenClose {
		return
	}
	c.closed = true
	c.recordClose(figures.ClosedAnswered)
	c.writeRejection(response.Status, response.RetryAfter)
	if !c.receivingBody {
		c.linger(lingerTimeout)
		return
	}
	c.linger(earlyResponseLinger)
}

// writeRejection answers a partly received request. The caller holds the lock.
func (c *clientConn) writeRejection(status int, delay time.Duration) {
	retryAfter := ""
	if delay > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", delay.Seconds())
	}
	c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter)
}

// isLingering reports whether the socket is still open after Close.
func (c *clientConn) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// reset makes Close reset the connection, so that the client sees a truncated response.
func (c *clientConn) reset() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = true
	c.SetLinger(0)
}

// Close closes the connection. If the client has sent more than was read, a plain close
// would reset the connection and might destroy the last response. Then only the sending side
// is closed, and the socket is read for a while.
func (c *clientConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	headComplete := bytes.Contains(c.recorded, headEnd)
	switch {
	case c.goneErr != nil:
		c.recordClose(figures.ClosedByClient)
	case c.phase == phaseOpen && c.responseStarted:
		c.recordClose(figures.ClosedAnswered)
	case c.phase == phaseOpen && headComplete:
		c.recordClose(figures.ClosedUnanswered)
		c.owner.checker.Report(invariant.Unanswered, c.request, "connection %d was closed, open for %v", c.number, time.Since(c.openedAt))
	case c.readTimedOut:
		c.recordClose(figures.ClosedTimeout)
		switch {
		case c.delivered > 0: // the rest of the request may be on its way
			c.writeRejection(http.StatusRequestTimeout, 0)
			return c.linger(lingerTimeout)
		case bounded.HasUnread(c.TCPConn): // a request arrived just now and will not be read
			c.writeRejection(http.StatusServiceUnavailable, 0)
			return c.linger(lingerTimeout)
		}
	default:
		c.recordClose(figures.ClosedByClient)
	}
	if c.resetOnClose || bounded.OpenAndIdle(c.TCPConn) {
		return c.TCPConn.Close()
	}
	return c.linger(lingerTimeout)
}

// linger closes the sending side and then reads and drops what still arrives for as long.
// The caller holds the lock.
func (c *clientConn) linger(timeout time.Duration) error {
	if c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	c.lingering = true
	refusedBodies := int64(0)
	if c.receivingBody {
		refusedBodies = 1
	}
	c.owner.refusedBodies.Add(refusedBodies)
	go func() {
		c.discardRest(timeout)
		c.TCPConn.Close()
		c.owner.refusedBodies.Add(-refusedBodies)
		c.owner.onLingerEnd()
	}()
	return nil
}

// discardRest reads and drops what still arrives, for a limited time.
func (c *clientConn) discardRest(timeout time.Duration) {
	c.SetReadDeadline(time.Now().Add(timeout))
	io.Copy(io.Discard, io.LimitReader(c.TCPConn, bounded.MaxBodyLength))
}
