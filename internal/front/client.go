package front

import (
	"bytes"
	"net"
	"sync"
	"time"

	"ivylock/internal/bounded"
)

const (
	maxReadAhead   = 32 << 10 // bytes kept beyond the open request: clients rarely pipeline
	readAheadChunk = 2 << 10  // bytes
	// readAheadReservation is how much memory is reserved at once for bytes beyond the open request.
	readAheadReservation = 4 << 10
	lateReadTimeout      = 100 * time.Millisecond // for bytes that arrived before the read timed out
	lingerTimeout        = 300 * time.Millisecond // for reading what a client still sends after the close
)

// phase is the phase of a client's connection.
type phase int

const (
	phaseNew  phase = iota // no complete request yet
	phaseOpen              // a request is being served
	phaseIdle              // between requests
)

// clientConn is a connection of a client. Its lock orders reads and the close: requests read
// before the close are served and answered, later ones are dropped, so that a client that
// sees the close without a response may safely resend. While a request is open the
// connection is read ahead to notice when the client closes it.
type clientConn struct {
	*net.TCPConn
	owner    *clientConns
	number   uint64 // within this process, from 1
	openedAt time.Time

	mu            sync.Mutex
	requests      int       // heads read so far
	delivered     int64     // bytes returned to net/http since the start of the open or next request
	lastRead      time.Time // of the last delivered byte
	receivingBody bool      // the open request's body is incomplete
	// The first bounded.MaxHeaderBytes bytes delivered since the start of the open or next request:
	// net/http drops a Content-Length beside a Transfer-Encoding.
	recorded        []byte
	readAhead       []byte // read beyond the open request and not delivered yet; at most maxReadAhead
	readAheadHeld   int64  // bytes reserved for readAhead
	phase           phase
	closed          bool  // nothing more is delivered
	goneErr         error // the read error that showed that the client had disconnected
	readAheadFull   bool  // bytes beyond maxReadAhead were dropped: no further request can be read
	resetOnClose    bool  // Close resets the connection
	lingering       bool
	responseStarted bool   // part of the open request's response was written
	request         string // id of the open request, once known
	streaming       bool   // the open request's response is streamed, or the rest of its body read after an early one
	readTimedOut    bool   // a read timed out with no bytes waiting
}

// setPhase follows the connection states reported by net/http.
func (c *clientConn) setPhase(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase = next; next {
	case phaseOpen:
		c.requests++
		c.responseStarted, c.request, c.streaming = false, "", false
	case phaseIdle:
		following := c.bytesPastRequest()
		start := int64(len(c.recorded))
		if c.delivered == start { // all of it was recorded
			start -= following
		}
		c.recorded = append(c.recorded[:0], c.recorded[start:]...)
		c.delivered = following
	}
}

// Write is called by net/http. What it writes while a request is open is that request's
// response, except "100 Continue".
func (c *clientConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.responseStarted = c.responseStarted || !bytes.HasPrefix(b, []byte("HTTP/1.1 100 "))
	streaming := c.streaming
	c.mu.Unlock()
	if streaming {
		return bounded.Writer{Conn: c.TCPConn, StallTimeout: clientStallTimeout}.Write(b)
	}
	return c.TCPConn.Write(b)
}

// setRequest records the id of the open request.
func (c *clientConn) setRequest(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

// id returns the connection's number; 0 if there is no connection.
func (c *clientConn) id() uint64 {
	if c == nil {
		return 0
	}
	return c.number
}

// history returns how long the connection has been open and how many requests preceded the
// open one.
func (c *clientConn) history() (age time.Duration, requests int) {
	if c == nil {
		return 0, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.openedAt), c.requests - 1
}

// beginBody records that the open request's body is being read.
func (c *clientConn) beginBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingBody = true
}

// endBody records that the open request's body is no longer being read. It returns false if
// the connection was closed meanwhile.
func (c *clientConn) endBody() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingBody = false
	return !c.closed
}

// responsePending reports whether a request is open whose response is still to be written,
// other than a streamed one.
func (c *clientConn) responsePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseOpen && !c.streaming && !c.closed
}

// isStreaming reports whether a body is being forwarded or read after the response has begun.
func (c *clientConn) isStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseOpen && c.streaming && !c.closed
}

// setStreaming records that the open request's response is streamed, or has been given before
// all of the request's body was read.
func (c *clientConn) setStreaming() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = true
}

// clientGone reports whether the client has disconnected, even if net/http has not noticed:
// after a process pause a request and the close after it are read at once.
func (c *clientConn) clientGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goneErr != nil || bounded.PeerClosed(c.TCPConn)
}
