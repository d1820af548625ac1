// Package bounded reads what a peer sends within stated bounds of size, of
// time and of patience with what is no HTTP.
package bounded

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// MaxBufferedBody is the most of a body that is held for as long as the request is
	// open. Longer ones pass through in pieces (protocol and days pages).
	MaxBufferedBody = 64 << 10
	// MaxBodyLength is the most that a body holds, in either direction: twice what
	// occurs (days page).
	MaxBodyLength = 64 << 20
	// MaxHeaderBytes is the most that a client's head holds.
	MaxHeaderBytes = 8 << 10
	// maxStart is what is read of an answer at most before it is passed on: its
	// head, 1xx answers ahead of it, MaxBufferedBody and the framing of small chunks.
	maxStart = 16 * MaxBufferedBody

	answerTime = 500 * time.Millisecond // from one piece of an answer's start to the next: backends send them whole
	restTime   = 10 * time.Second       // the same in what is passed on: a backend that stopped
	maxInterim = 8                      // 1xx answers ahead of the answer
)

// ErrMalformedResponse says that an answer came, but none that may be passed on.
var ErrMalformedResponse = errors.New("spoilt answer")

// Reader reads answers from a connection.
type Reader struct {
	conn    net.Conn
	limit   io.LimitedReader // what may still be read: guards against an answer without end
	r       *bufio.Reader
	pause   time.Duration // the longest wait for the next piece; 0: no bound
	stopped atomic.Bool   // Stop was called
	armed   bool          // a read deadline is set
	last    [1]byte       // for the read that ends a message
}

// NewReader makes one; nothing else may read from the connection or set its
// read deadline.
func NewReader(c net.Conn) *Reader {
	r := &Reader{conn: c}
	r.limit.R = pieces{r}
	r.r = bufio.NewReader(&r.limit)
	return r
}

// pieces reads from the connection, each piece within the pause.
type pieces struct{ *Reader }

func (p pieces) Read(b []byte) (int, error) {
	if p.pause > 0 {
		p.armed = true
		p.conn.SetReadDeadline(time.Now().Add(p.pause))
		if p.stopped.Load() { // guards against a Stop that came just before
			p.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return p.conn.Read(b)
}

// disarm takes back the read deadline, if one is set.
func (r *Reader) disarm() {
	if r.armed {
		r.armed = false
		r.conn.SetReadDeadline(time.Time{})
		if r.stopped.Load() {
			r.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Stop ends a read that waits, and all later ones. It may be called from
// another goroutine.
func (r *Reader) Stop() {
	r.stopped.Store(true)
	r.conn.SetDeadline(time.Unix(1, 0))
}

// Stopped tells whether Stop was called.
func (r *Reader) Stopped() bool { return r.stopped.Load() }

// BufferEmpty tells that nothing has been read past the last answer.
func (r *Reader) BufferEmpty() bool { return r.r.Buffered() == 0 }

// Response is an answer, whole or begun.
type Response struct {
	*http.Response
	Prefix      []byte // the body's first part; all of it if Whole
	Complete    bool
	FirstByteAt time.Time // when its first byte was there
	BodyLength  int64     // of the whole body; -1: not known before it ends
	from        *Reader
}

// Response reads one answer, past the 1xx ones ahead of it: all of one of up to
// MaxBufferedBody, the start of a longer one. Once the first byte is there each piece
// has 0.5 s: guards against one that is cut short, or noise, on a connection
// that stays open. The error is ErrMalformedResponse if something came that is no answer,
// else that of the connection. An answer with neither a length nor chunks is
// whole when its connection is closed, and not reset, within that time.
func (r *Reader) ReadResponse(req *http.Request) (*Response, error) {
	r.limit.N, r.pause = maxStart, 0
	if _, err := r.r.Peek(1); err != nil {
		return nil, err
	}
	began := time.Now()
	r.pause = answerTime
	a, err := r.parse(req)
	r.pause = 0
	if err == nil {
		a.FirstByteAt = began
		r.disarm()
		return a, nil
	}
	var broken *net.OpError
	switch {
	case errors.As(err, &broken):
		if broken.Timeout() && !r.stopped.Load() {
			return nil, ErrMalformedResponse
		}
		return nil, err // broken off, or called off
	case (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && r.limit.N > 0:
		return nil, err // broken off
	}
	return nil, ErrMalformedResponse
}

// parse does not wait for more than it takes to see that something is no
// answer.
func (r *Reader) parse(req *http.Request) (*Response, error) {
	for range maxInterim + 1 {
		const version = "HTTP/1."
		for n := 1; n <= len(version); n++ {
			if start, err := r.r.Peek(n); err != nil {
				return nil, err
			} else if start[n-1] != version[n-1] {
				return nil, ErrMalformedResponse
			}
		}
		resp, err := http.ReadResponse(r.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		a := &Response{Response: resp, BodyLength: resp.ContentLength, from: r}
		if a.BodyLength > MaxBodyLength {
			return nil, ErrMalformedResponse
		}
		if a.BodyLength > MaxBufferedBody {
			a.Prefix = make([]byte, 4096) // its first bytes are what counts: they are not held back for more
			n, err := resp.Body.Read(a.Prefix)
			if a.Prefix = a.Prefix[:n]; n == 0 && err != nil {
				return nil, err
			}
			return a, nil
		}
		if a.BodyLength >= 0 {
			a.Prefix = make([]byte, a.BodyLength)
			_, err = io.ReadFull(resp.Body, a.Prefix)
			if err == nil {
				_, err = resp.Body.Read(r.last[:]) // takes in what ends the message
			}
		} else {
			a.Prefix, err = io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBody+1))
			if err == nil && len(a.Prefix) <= MaxBufferedBody {
				err = io.EOF
			}
		}
		if a.Complete = errors.Is(err, io.EOF); a.Complete || err == nil {
			return a, nil
		}
		return nil, err
	}
	return nil, ErrMalformedResponse
}

// Read reads what comes after Start. A backend that stops for 10 s has failed.
func (a *Response) Read(b []byte) (int, error) {
	a.from.limit.N, a.from.pause = math.MaxInt64, restTime
	n, err := a.Body.Read(b)
	if err != nil {
		a.from.pause = 0
		a.from.disarm() // guards against the next answer on this connection being timed by this one
	}
	return n, err
}
