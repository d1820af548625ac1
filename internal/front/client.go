package front

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"ivylock/guard"
	"ivylock/internal/bounded"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
	"ivylock/internal/node"
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

// Read is called by net/http. While a request is open net/http reads a single byte in the
// background to notice that the client has disconnected.
func (c *clientConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	watching := c.phase == phaseOpen && len(b) == 1
	switch {
	case c.closed || c.readAheadFull && !watching && len(c.readAhead) == 0:
		c.mu.Unlock()
		return 0, net.ErrClosed
	case c.goneErr != nil:
		c.mu.Unlock()
		return 0, c.goneErr
	case len(c.readAhead) > 0 && !watching:
		n := copy(b, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.releaseReadAhead()
		}
		defer c.mu.Unlock()
		return c.deliver(b[:n], nil)
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if !watching {
		if n == 0 && isTimeout(err) && c.phase != phaseOpen {
			n, err = c.readLate(b, err)
		}
		return c.deliver(b[:n], err)
	}
	for chunk := b[:n]; ; chunk = chunk[:n] {
		if space := c.readAheadSpace(len(chunk)); len(chunk) > space {
			c.readAheadFull, chunk = true, chunk[:space]
		}
		c.readAhead = append(c.readAhead, chunk...)
		if err != nil {
			if !isTimeout(err) { // net/http ends its background read with a timeout
				c.goneErr = err
			}
			return 0, err
		}
		if cap(chunk) < readAheadChunk {
			chunk = make([]byte, readAheadChunk)
		}
		chunk = chunk[:cap(chunk)]
		c.mu.Unlock()
		n, err = c.TCPConn.Read(chunk)
		c.mu.Lock()
		if c.closed {
			return 0, net.ErrClosed
		}
	}
}

// readAheadSpace returns how many of count further bytes may be read ahead. The caller holds the lock.
func (c *clientConn) readAheadSpace(count int) int {
	count = min(count, maxReadAhead-len(c.readAhead))
	for c.readAheadHeld < int64(len(c.readAhead)+count) {
		if !c.owner.memory.Reserve(guard.PipelinedRequests, readAheadReservation) {
			return int(c.readAheadHeld) - len(c.readAhead)
		}
		c.readAheadHeld += readAheadReservation
	}
	return count
}

// releaseReadAhead drops what was read ahead. The caller holds the lock.
func (c *clientConn) releaseReadAhead() {
	c.readAhead = nil
	c.owner.memory.Release(guard.PipelinedRequests, c.readAheadHeld)
	c.readAheadHeld = 0
}

// readLate handles a read that timed out. Bytes that had arrived by then are still read.
// Guards against rejecting a request that waited unread during a process pause. The caller
// holds the lock.
func (c *clientConn) readLate(b []byte, timeoutErr error) (int, error) {
	if !bounded.HasUnread(c.TCPConn) {
		c.readTimedOut = true
		return 0, timeoutErr
	}
	c.SetReadDeadline(time.Now().Add(lateReadTimeout))
	n, err := c.TCPConn.Read(b) // does not block
	return n, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// deliver records bytes that were read and returns the result of Read: an error if the head that they
// belong to is rejected. The caller holds the lock.
func (c *clientConn) deliver(b []byte, err error) (int, error) {
	c.record(b)
	if c.headTooLong() {
		c.rejectLongHead()
		return 0, net.ErrClosed
	}
	return len(b), err
}

// record keeps the bytes delivered to net/http, which hides how a body was framed: it drops
// a Content-Length beside a Transfer-Encoding.
func (c *clientConn) record(b []byte) {
	if len(b) > 0 {
		c.delivered += int64(len(b))
		c.lastRead = time.Now()
	}
	if space := bounded.MaxHeaderBytes - len(c.recorded); space > 0 {
		c.recorded = append(c.recorded, b[:min(len(b), space)]...)
	}
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

// bytesPastRequest returns how many bytes have been delivered beyond the request whose head
// was read last. They belong to the next request. The caller holds the lock.
func (c *clientConn) bytesPastRequest() int64 {
	head, _, complete := bytes.Cut(c.recorded, headEnd)
	if !complete {
		return 0 // the head was longer than what is recorded
	}
	return max(0, c.delivered-int64(len(head)+len(headEnd))-bodyLength(head))
}

// headLength returns the length of the open request's head; 0 if it was read together with the
// request before.
func (c *clientConn) headLength() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, complete := bytes.Cut(c.recorded, headEnd)
	if !complete {
		return 0
	}
	return int64(len(head) + len(headEnd))
}

// deliveredBytes returns how many bytes of the open request have been delivered to net/http, and
// of what follows it.
func (c *clientConn) deliveredBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered
}

// hasNextRequest reports whether the head of a further request has been read after the open
// one. Such a request must be answered too.
func (c *clientConn) hasNextRequest() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAheadFull {
		return false
	}
	following := c.readAhead
	if n := c.bytesPastRequest(); n > 0 && n <= int64(len(c.recorded)) {
		following = slices.Concat(c.recorded[int64(len(c.recorded))-n:], c.readAhead)
	}
	return bytes.Contains(following, headEnd)
}

// lastReadTime returns when the last delivered byte was read.
func (c *clientConn) lastReadTime() time.Time {
	if c == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
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

var headEnd = []byte("\r\n\r\n")

// bodyLength returns the Content-Length of a head; 0 if it has none.
func bodyLength(head []byte) int64 {
	for line := range bytes.Lines(head) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !bytes.EqualFold(bytes.TrimSpace(name), []byte("content-length")) {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && n >= 0 {
			return n
		}
	}
	return 0
}

// bodyFraming is how the body after a head is framed.
type bodyFraming int

const (
	framingAmbiguous bodyFraming = iota // two framings at once, or the head was not recorded completely
	framingLength                       // by Content-Length, or there is no body
	framingChunked
)

// framing returns how the body after the last head is framed.
func (c *clientConn) framing() bodyFraming {
	if c == nil {
		return framingAmbiguous // the bytes were not recorded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, complete := bytes.Cut(c.recorded, headEnd)
	head = bytes.ToLower(head)
	chunked, hasLength := bytes.Contains(head, []byte("\ntransfer-encoding:")), bytes.Contains(head, []byte("\ncontent-length"))
	switch {
	case !complete || chunked && hasLength:
		return framingAmbiguous
	case chunked:
		return framingChunked
	}
	return framingLength
}
