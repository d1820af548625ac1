package front

import (
	"bytes"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"ivylock/guard"
	"ivylock/internal/bounded"
)

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
