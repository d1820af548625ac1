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
	maxAhead   = 32 << 10               // bytes beyond the open request that are kept: clients send one at a time
	aheadPiece = 2 << 10                // read at once of them
	lateRead   = 100 * time.Millisecond // for what had come when its time was over
	lingerMost = 300 * time.Millisecond // what a closed connection's client still sends is read for so long
)

// phase is what a client's connection is at.
type phase int

const (
	fresh   phase = iota // no whole request yet
	open                 // a request is being served
	resting              // between requests
)

// client is a client's connection. One lock orders what is read against the end: what was
// handed out before it is served and answered; what comes after it is dropped, so that its
// client, which sees the connection end, may send it anew. While a request is open it
// reads on, so that a client that has gone is noticed behind whatever it had sent.
type client struct {
	*net.TCPConn
	conns  *clientConns
	number uint64 // of this process, from 1 on
	opened time.Time

	mu        sync.Mutex
	requests  int       // whose head has been read so far
	handed    int64     // bytes that net/http was given since the last request
	lastRead  time.Time // when the last of them was read
	receiving bool      // the open request's body has not come whole
	seen      []byte    // read since the last request, as net/http forgets a Content-Length beside a Transfer-Encoding; bounded.MaxHeaderBytes at most
	ahead     []byte    // read beyond the open request and not handed out yet; maxAhead at most
	phase     phase
	ended     bool  // nothing that is read from here on is handed out
	gone      error // what showed that the client has gone
	flooded   bool  // bytes beyond maxAhead were dropped: no further request can be read
	abrupt    bool  // it is reset, whatever is unread
	lingering bool
	answered  bool   // something of the open request's answer was written
	request   string // id of the open request, once that is known
	passesOn  bool   // the open request's answer is passed on in pieces
	timedOut  bool   // the time for a request was over with nothing unread
}

// Read is net/http's. While a request is open it asks for a single byte, to notice that
// the client has gone.
func (c *client) Read(b []byte) (int, error) {
	c.mu.Lock()
	watch := c.phase == open && len(b) == 1
	switch {
	case c.ended || c.flooded && !watch && len(c.ahead) == 0:
		c.mu.Unlock()
		return 0, net.ErrClosed
	case c.gone != nil:
		c.mu.Unlock()
		return 0, c.gone
	case len(c.ahead) > 0 && !watch:
		n := copy(b, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.note(b[:n])
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	if !watch {
		if n == 0 && isTimeout(err) && c.phase != open {
			n, err = c.readLate(b, err)
		}
		c.note(b[:n])
		return n, err
	}
	for piece := b[:n]; ; piece = piece[:n] {
		if room := maxAhead - len(c.ahead); len(piece) > room {
			c.flooded, piece = true, piece[:room]
		}
		c.ahead = append(c.ahead, piece...)
		if err != nil {
			if !isTimeout(err) { // net/http ends the watch with a time-out
				c.gone = err
			}
			return 0, err
		}
		if cap(piece) < aheadPiece {
			piece = make([]byte, aheadPiece)
		}
		piece = piece[:cap(piece)]
		c.mu.Unlock()
		n, err = c.TCPConn.Read(piece)
		c.mu.Lock()
		if c.ended {
			return 0, net.ErrClosed
		}
	}
}

// readLate takes a read whose time was over. What had come by then is read all the same:
// guards against a request that waits unread because the process stood still, and is cut
// off by the time that it was to come in. The caller holds the lock.
func (c *client) readLate(b []byte, late error) (int, error) {
	if !bounded.HasUnread(c.TCPConn) {
		c.timedOut = true
		return 0, late
	}
	c.SetReadDeadline(time.Now().Add(lateRead))
	n, err := c.TCPConn.Read(b) // returns at once
	return n, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// note keeps what was handed out, for framing.
func (c *client) note(b []byte) {
	if len(b) > 0 {
		c.handed += int64(len(b))
		c.lastRead = time.Now()
	}
	if room := bounded.MaxHeaderBytes - len(c.seen); room > 0 {
		c.seen = append(c.seen, b[:min(len(b), room)]...)
	}
}

// at takes what net/http says of the connection.
func (c *client) at(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase = p; p {
	case open:
		c.requests++
		c.answered, c.request, c.passesOn = false, "", false
	case resting:
		c.handed = c.beyond()
		c.seen = c.seen[:0]
	}
}

// beyond is how many bytes have been handed out behind the request whose head was
// handed out last: a part of the next one. The caller holds the lock.
func (c *client) beyond() int64 {
	head, _, whole := bytes.Cut(c.seen, endOfHead)
	if !whole {
		return 0 // it was longer than what is kept
	}
	return max(0, c.handed-int64(len(head)+len(endOfHead))-bodyLength(head))
}

// more tells whether the head of a further request has been read already, behind the
// open one: such a request is owed an answer too.
func (c *client) more() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flooded {
		return false
	}
	behind := c.ahead
	if n := c.beyond(); n > 0 && n <= int64(len(c.seen)) {
		behind = slices.Concat(c.seen[int64(len(c.seen))-n:], c.ahead)
	}
	return bytes.Contains(behind, endOfHead)
}

// readAt is when the latest byte that was handed out was read.
func (c *client) readAt() time.Time {
	if c == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

// Write is net/http's. What it writes while a request is open is that request's answer,
// but for the word that its body may come.
func (c *client) Write(b []byte) (int, error) {
	if !bytes.HasPrefix(b, []byte("HTTP/1.1 100 ")) {
		c.mu.Lock()
		c.answered = true
		c.mu.Unlock()
	}
	return c.TCPConn.Write(b)
}

// serves notes the id of the open request.
func (c *client) serves(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

// id is the connection's number; 0 for one that has none.
func (c *client) id() uint64 {
	if c == nil {
		return 0
	}
	return c.number
}

// past tells how long the connection has been open and how many requests came on it
// before the open one.
func (c *client) past() (age time.Duration, requests int) {
	if c == nil {
		return 0, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.opened), c.requests - 1
}

// closes counts the connection's end. The caller holds its lock.
func (c *client) closes(why figures.Closed) {
	c.conns.figures.ConnectionsClosed.Add(int(why))
	c.conns.history.Add(eventlog.Event{Kind: eventlog.ConnectionClosed, Connection: c.number,
		Reason: c.conns.figures.ConnectionsClosed.Word(int(why))})
}

// last tells that no request can follow the open one.
func (c *client) last() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flooded
}

// endSilent closes the connection if no request has come on it that waits for its answer or
// to be read. With partial, one of which a part has come is refused: its client is slow.
func (c *client) endSilent(why figures.Closed, partial bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch ending := c.state().CloseMode(); {
	case ending == guard.RejectThenClose && partial && c.phase != open:
		c.refuse(http.StatusServiceUnavailable, 0)
	case ending != guard.CloseNow:
		return false
	}
	c.ended = true
	c.closes(why)
	c.TCPConn.Close()
	return true
}

// state is what is known of the connection when it is to be ended. The caller holds the
// lock.
func (c *client) state() guard.Connection {
	return guard.Connection{Closed: c.ended, RequestOpen: c.phase == open, ReceivingBody: c.receiving,
		HeadPending: len(c.ahead) > 0 || bytes.Contains(c.seen, endOfHead), PartialRequest: c.handed > 0, UnreadData: !bounded.OpenAndIdle(c.TCPConn)}
}

// receives notes that the open request's body is being read, and received that it has
// come or never will. That gives false if the request has been answered meanwhile.
func (c *client) receives() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = true
}

func (c *client) received() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	return !c.ended
}

// endUnfinished answers a request that has not come whole, and ends the connection.
func (c *client) endUnfinished(a node.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state().CloseMode() != guard.RejectThenClose {
		return
	}
	c.ended = true
	c.closes(figures.ClosedAnswered)
	c.refuse(a.Status, a.RetryAfter)
	c.linger()
}

// refuse answers what has not come whole. The caller holds the lock.
func (c *client) refuse(status int, holdOff time.Duration) {
	retryAfter := ""
	if holdOff > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", holdOff.Seconds())
	}
	c.TCPConn.SetWriteDeadline(time.Now().Add(lingerMost))
	fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter)
}

// owes tells whether a request on it is without its whole answer, which is to be written
// at once when it is there.
func (c *client) owes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == open && !c.passesOn && !c.ended
}

// passes notes that the open request's answer is passed on in pieces.
func (c *client) passes() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passesOn = true
}

// left tells whether the client has gone, also if net/http has not noticed yet: a process
// that was held up reads a request and the end behind it in one moment.
func (c *client) left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone != nil || bounded.PeerClosed(c.TCPConn)
}

// lingers tells whether the connection is still open although it was closed.
func (c *client) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// reset has Close reset the connection: its client can tell that what it got is not whole.
func (c *client) reset() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abrupt = true
	c.SetLinger(0)
}

// Close ends the connection. If its client has sent more than was read, a plain close
// would reset it, and what it was just answered might be lost: then only the sending is
// ended, and what still comes is read and dropped for a while.
func (c *client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	c.ended = true
	whole := bytes.Contains(c.seen, endOfHead)
	switch {
	case c.gone != nil:
		c.closes(figures.ClosedByClient)
	case c.phase == open && c.answered:
		c.closes(figures.ClosedAnswered)
	case c.phase == open && whole:
		c.closes(figures.ClosedUnanswered)
		c.conns.checker.Broken(invariant.Unanswered, c.request, "connection %d was closed, open for %v", c.number, time.Since(c.opened))
	case c.timedOut:
		c.closes(figures.ClosedTimeout)
		switch {
		case c.handed > 0: // its last byte may be on its way
			c.refuse(http.StatusRequestTimeout, 0)
			return c.linger()
		case bounded.HasUnread(c.TCPConn): // it came in this moment, and nobody will read it
			c.refuse(http.StatusServiceUnavailable, 0)
			return c.linger()
		}
	default:
		c.closes(figures.ClosedByClient)
	}
	if c.abrupt || bounded.OpenAndIdle(c.TCPConn) {
		return c.TCPConn.Close()
	}
	return c.linger()
}

// linger ends the sending; what still comes is read and dropped for a while. The caller
// holds the lock.
func (c *client) linger() error {
	if c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	c.lingering = true
	go func() {
		c.discardRest()
		c.TCPConn.Close()
		c.conns.lingered()
	}()
	return nil
}

// discardRest reads and drops what still comes, for a while.
func (c *client) discardRest() {
	c.SetReadDeadline(time.Now().Add(lingerMost))
	io.Copy(io.Discard, io.LimitReader(c.TCPConn, bounded.MaxBodyLength))
}

var endOfHead = []byte("\r\n\r\n")

// bodyLength is the Content-Length that a head names; 0 if it names none.
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

// How the body behind a head is framed.
type framing int

const (
	unclear  framing = iota // by two things at once, or the head was not kept whole
	byLength                // by Content-Length, or there is no body
	byChunks
)

// framing tells how the body behind the head that was read last is framed.
func (c *client) framing() framing {
	if c == nil {
		return unclear // a connection whose bytes are not kept
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, whole := bytes.Cut(c.seen, endOfHead)
	head = bytes.ToLower(head)
	chunks, length := bytes.Contains(head, []byte("\ntransfer-encoding:")), bytes.Contains(head, []byte("\ncontent-length"))
	switch {
	case !whole || chunks && length:
		return unclear
	case chunks:
		return byChunks
	}
	return byLength
}
