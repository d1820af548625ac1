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

// Request is one try of a client, from its arrival to its final response. The front end
// creates it; from Submit on it belongs to the node.
type Request struct {
	balance.RequestArrived
	Method, URI, Key string // as forwarded to a server; Key is the Idempotency-Key
	Body             []byte
	BodyStream       BodyStream // remainder of a long body; nil if Body is complete
	Deadline         time.Time
	ReadAt           time.Time                  // when the last byte was read, or the header if the body is streamed
	ClientGone       func() bool                // checks whether the client has disconnected; nil: unknown
	ClientSeenAt     func() time.Time           // see guard.Attempt; may wait for that; nil: always connected unless ClientGone
	response         chan Response              // receives the single final response
	ended            atomic.Pointer[requestEnd] // set once nothing more may be sent; nil while the request is open
	attempts         []*attempt                 // owned by the loop
	outstanding      int                        // attempts in flight; owned by the loop
	bodyConsumed     atomic.Bool                // an attempt has begun to read BodyStream
}

// requestEnd records when and how a request ended.
type requestEnd struct {
	at       time.Time
	answered bool // the final response was given before the client disconnected
}

// end marks the request as ended. It returns false if the request had ended before.
func (r *Request) end(answered bool) bool {
	return r.ended.CompareAndSwap(nil, &requestEnd{time.Now(), answered})
}

// hasEnded reports whether the request has ended: nothing more may be sent for it.
func (r *Request) hasEnded() bool { return r.ended.Load() != nil }

// BodyStream is the unbuffered remainder of a request body. It can be read only once, so an
// attempt that has begun to read it is the last one of its request.
type BodyStream interface {
	io.Reader
	// Length returns the length of the whole body; -1 if it is unknown before the end.
	Length() int64
	// Timeout returns how long the client waits after the last byte of the body.
	Timeout() time.Duration
	// Deadline returns when the client stops waiting, counted from the last byte of the
	// body; before that byte has come, an upper bound.
	Deadline() time.Time
}

// finalDeadline returns when the client stops waiting, as far as it is known by now.
func (r *Request) finalDeadline() time.Time {
	if r.BodyStream != nil {
		return r.BodyStream.Deadline()
	}
	return r.Deadline
}

// Response is the final response to a client.
type Response struct {
	Status     int // HTTP status: 200 served, 429 and 503 refused, any other failed
	Body       []byte
	BodyStream *backend.Stream      // remainder of a long 200; nil if Body is complete
	RetryAfter time.Duration        // hint to a refused client; 0: none
	Reason     figures.RejectReason // why the response is not a server's; unused with status 200
}

// Front accepts requests from clients and submits them to a node.
type Front interface {
	// Addr returns the address that clients connect to.
	Addr() net.Addr
	// Serve serves requests until the front end is drained or fails.
	Serve() error
	// Drain stops the service by the node's shutdown schedule: it accepts requests while
	// connections may still arrive, and returns when all requests are answered and all
	// connections closed, or at the end of the schedule and of the last streamed response.
	Drain() error
}

// memoryRetryAfter is the retry hint to clients for whose requests there is no memory: about as long as
// slow clients are borne with.
const memoryRetryAfter = time.Second

// MemoryRetryAfter returns the retry hint to a client for whose request there is no memory; 0: none.
func (n *Node) MemoryRetryAfter() time.Duration {
	if !n.cfg.Settings.RetryAfterSupported {
		return 0
	}
	return min(memoryRetryAfter, n.cfg.Settings.MaxRetryAfter)
}

// shutdownRetryAfter is the retry hint to clients that a terminating process refuses. It is
// short because another node can serve them at once.
const shutdownRetryAfter = 50 * time.Millisecond

// Submit hands a request to the node. Exactly one final response arrives on the channel,
// unless the request is abandoned or the event loop has ended (see Done). A request that
// was read too late during shutdown is refused at once.
func (n *Node) Submit(r *Request) <-chan Response {
	r.response = make(chan Response, 1)
	if !n.lifecycle.mayServe(r.ReadAt) {
		n.finish(r, n.ShutdownResponse())
		return r.response
	}
	n.post(r)
	return r.response
}

// ShutdownResponse returns the refusal for requests that arrive too late during shutdown.
func (n *Node) ShutdownResponse() Response {
	resp := Response{Status: http.StatusServiceUnavailable, Reason: figures.RejectedShutdown}
	if n.cfg.Settings.RetryAfterSupported {
		resp.RetryAfter = min(shutdownRetryAfter, n.cfg.Settings.MaxRetryAfter)
	}
	return resp
}

// BodyReceived notifies the node that the last byte of a request's BodyStream has come: the
// client's time counts from then on.
func (n *Node) BodyReceived(r *Request) { n.post(bodyReceived{r}) }

// Abandon notifies the node that a request's client has disconnected: nothing more is sent for
// it. It must be called at most once. A response that was given just before is discarded
// and its stream is closed.
func (n *Node) Abandon(r *Request) {
	if !r.end(false) && r.ended.Load().answered { // the response is available or will be at once
		if resp := <-r.response; resp.BodyStream != nil {
			resp.BodyStream.Done(backend.ErrAbandoned)
		}
	}
	n.post(clientGone{r})
}
