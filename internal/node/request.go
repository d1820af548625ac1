package node

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"ivylock/balance"
	"ivylock/internal/backend"
	"ivylock/internal/figures"
)

// Request is one try of a client, from its arrival to its final answer. A
// front makes it; from Take on it is the node's.
type Request struct {
	balance.RequestArrived
	Method, URI, Key string // as they go on to a server; Key is the Idempotency-Key
	Body             []byte
	BodyStream       BodyStream // of a body that is not held: nil if Body is all
	Deadline         time.Time
	ReadAt           time.Time              // when its last byte was read, or, of a body that is not held, its head's
	ClientGone       func() bool            // whether its client has gone, looked at just now; nil: not known
	answer           chan Response          // holds the one final answer
	over             atomic.Pointer[ending] // nothing more goes out; nil: it is open
	attempts         []*attempt             // the loop's
	out              int                    // the loop's
	spent            atomic.Bool            // an attempt has begun to read Rest
}

// ending is how and when a request ended.
type ending struct {
	at       time.Time
	answered bool // it had its final answer, and its client did not go before that
}

// end notes that nothing more goes out for the request; false if that was so.
func (r *Request) end(answered bool) bool {
	return r.over.CompareAndSwap(nil, &ending{time.Now(), answered})
}

// isOver tells whether nothing more may go out for the request.
func (r *Request) isOver() bool { return r.over.Load() != nil }

// BodyStream is what comes after the part of a body that is held. It can be read
// once, so an attempt that has begun to read it is the request's last.
type BodyStream interface {
	io.Reader
	// Length is that of the whole body; -1: not known before it ends.
	Length() int64
	// Timeout is how long the client waits from the last byte on.
	Timeout() time.Duration
	// Deadline is when the client stops waiting: its time counts from the last
	// byte. It is called once that has been read.
	Deadline() time.Time
}

// Response is the final answer to a client.
type Response struct {
	Status     int // of HTTP: 200 served, 429 and 503 refused, any other failed
	Body       []byte
	BodyStream *backend.Stream // of a 200 that is passed on in pieces: nil if Body is all
	RetryAfter time.Duration   // how long a refused client should wait; 0: no advice
	Reason     figures.Turned  // of any other status than 200: why no server's answer is passed on
}

// Front takes requests from clients and hands them to a node.
type Front interface {
	// Addr is where clients connect.
	Addr() net.Addr
	// Serve takes requests until the front is drained, or fails.
	Serve() error
	// Drain ends the service by the node's schedule, from the node's signal on: it
	// goes on taking requests while connections may still come, and returns when
	// all have their answers and the connections have ended, or at the
	// schedule's end.
	Drain() error
}

// endingHoldOff is how long a client is told to wait whose request a process that ends
// refuses: another node may take it at once.
const endingHoldOff = 50 * time.Millisecond

// Submit hands a request to the node. Exactly one final answer comes on the
// channel, unless the request is abandoned or the node has ended (Done). One that
// comes too late for a process that was told to end is refused at once.
func (n *Node) Submit(r *Request) <-chan Response {
	r.answer = make(chan Response, 1)
	if !n.life.mayTake(r.ReadAt) {
		n.finish(r, n.ShutdownResponse())
		return r.answer
	}
	n.post(r)
	return r.answer
}

// ShutdownResponse refuses what comes too late for a process that ends.
func (n *Node) ShutdownResponse() Response {
	a := Response{Status: http.StatusServiceUnavailable, Reason: figures.TurnedEnding}
	if n.cfg.Settings.RetryAfterSupported {
		a.RetryAfter = min(endingHoldOff, n.cfg.Settings.MaxRetryAfter)
	}
	return a
}

// Abandon tells, once, that a request's client is gone: nothing more goes out for it. An answer
// that came just before is nobody's; what it passes on is given up.
func (n *Node) Abandon(r *Request) {
	if !r.end(false) && r.over.Load().answered { // its answer is there, or will be at once
		if a := <-r.answer; a.BodyStream != nil {
			a.BodyStream.Done(backend.ErrUnread)
		}
	}
	n.post(clientGone{r})
}
