// Package front serves clients over HTTP/1.1 and hands their requests to a node.
package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"ivylock/balance"
	"ivylock/guard"
	"ivylock/internal/backend"
	"ivylock/internal/bounded"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
	"ivylock/internal/node"
)

const (
	// Clients may take 2 s for a request head; an incomplete request must get an error or a
	// close within 3 s.
	headTimeout       = 2500 * time.Millisecond // from the connection's start or the head's first byte
	clientIdleTimeout = 2 * time.Second         // between requests

	// minIdleAtShutdown is how long a connection must have been idle before a shutdown closes
	// it: its next request may be in net/http's buffer.
	minIdleAtShutdown   = 50 * time.Millisecond
	minNewConnAge       = 50 * time.Millisecond // before eviction, so that the first request can arrive
	streamBufferSize    = 32 << 10              // bytes
	minStreamBufferSize = 4 << 10               // bytes, if there is little memory
	// clientStallTimeout is for a client that takes nothing of a streamed response. A slow reader
	// with a large receive buffer takes the next part only when much of that is free again.
	clientStallTimeout = 15 * time.Second

	minIdleAge   = 2 * time.Second // before an idle connection may be evicted
	evictBatch   = 16              // connections evicted at once
	pollInterval = 2 * time.Millisecond

	unblockAttempts = 20 // dials to wake an accept that keeps the listener from closing
	unblockInterval = 10 * time.Millisecond
)

// HTTP is the front end for clients. It is safe for concurrent use.
type HTTP struct {
	// SharedListener means that the listening socket outlives this process. Connections in
	// its backlog are not reset when this process closes it but are left to the next process.
	// It is set before Serve.
	SharedListener bool

	node         *node.Node
	classes      map[string]balance.Class
	bodies       *bodyReader
	server       *http.Server
	clients      *clientConns
	draining     atomic.Bool
	lateLogLines atomic.Int64
	acceptDone   chan struct{} // closed once the last connection has been accepted and counted
	drainDone    chan struct{} // closed when Drain returns
}

// New returns a front end for a node. It serves at most maxConns client connections, buffers at most
// bodyBudget bytes for long request bodies in total, and takes all buffers from the node's memory.
func New(n *node.Node, listener net.Listener, classes []balance.Class, maxConns int, bodyBudget int64) *HTTP {
	f := &HTTP{
		node: n, classes: map[string]balance.Class{}, bodies: newBodyReader(bodyBudget, n.Memory()),
		clients:    newClientConns(listener, maxConns, n.Metrics(), n.History(), n.Checker()),
		acceptDone: make(chan struct{}), drainDone: make(chan struct{}),
	}
	f.clients.memory = n.Memory()
	f.clients.shutdownResponse = n.ShutdownResponse
	for _, c := range classes {
		f.classes[c.Name] = c
	}
	// ReadTimeout and WriteTimeout are not set: they would cut off accepted requests.
	f.server = &http.Server{
		Handler: f, MaxHeaderBytes: bounded.MaxHeaderBytes,
		ReadHeaderTimeout: headTimeout, IdleTimeout: clientIdleTimeout,
		ConnState: f.clients.onConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	return f
}

type connContextKey struct{}

// Serve serves requests until Drain returns.
func (f *HTTP) Serve() error {
	err := f.server.Serve(f.clients)
	close(f.acceptDone)
	if f.draining.Load() && errors.Is(err, net.ErrClosed) {
		<-f.drainDone
	}
	return err
}

// Addr returns the address that clients connect to.
func (f *HTTP) Addr() net.Addr { return f.clients.Addr() }

// SetMaxConns sets the limit of client connections.
func (f *HTTP) SetMaxConns(maxConns int) { f.clients.setLimit(maxConns) }

// Connections returns the number of client connections.
func (f *HTTP) Connections() int { return f.clients.count() }

// ServeHTTP serves one request and waits for its final response.
func (f *HTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connContextKey{}).(*clientConn)
	http10 := !r.ProtoAtLeast(1, 1)
	if http10 {
		w.Header().Set("Connection", "close") // persistent connections of HTTP/1.0 are ill-defined
	}
	if len(r.TransferEncoding) > 0 || http10 {
		// Guards against request smuggling: net/http ignores a Content-Length beside a
		// Transfer-Encoding, and any Transfer-Encoding in HTTP/1.0, and would read what
		// follows the body that it saw as the next request.
		w.Header().Set("Connection", "close")
		if framing := conn.framing(); http10 && framing != framingLength || !http10 && framing != framingChunked {
			f.reject(w, conn, errAmbiguousFraming)
			return
		}
	}
	if r.URL.Path == "/up" {
		w.Header().Set("Connection", "close") // guards against health checks that fill the connection limit
		if f.draining.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
		} else if !f.node.Ready() {
			http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		}
		return
	}
	req, err := f.readRequest(w, r, conn)
	if err != nil {
		f.reject(w, conn, err)
		return
	}
	f.serve(w, r, req, conn)
}

// serve hands a request to the node and writes its response.
func (f *HTTP) serve(w http.ResponseWriter, r *http.Request, req *receivedRequest, conn *clientConn) {
	rest := req.body.rest
	defer req.body.release()
	if rest != nil {
		defer rest.end() // nothing may read from the connection once the handler has returned
	}
	defer f.countOpen(rest)()
	if f.node.ShutdownPhase() >= guard.Finishing {
		f.logLate(req, conn)
	}
	conn.setRequest(string(req.ID))
	f.logEvent(eventlog.RequestRead, req, conn, 0, "")
	responses := f.node.Submit(req.Request)
	if rest != nil {
		go rest.followArrival(func() { f.node.BodyReceived(req.Request) })
	}
	response, answered := f.awaitResponse(r, req, conn, responses)
	if rest != nil {
		if err := rest.failure(); err != nil { // the request never became complete, so it is not counted
			f.reject(w, conn, err)
			return
		}
	}
	if !answered {
		panic(http.ErrAbortHandler) // keeps net/http from sending an empty 200
	}
	f.respond(w, r, req, conn, response)
}

// countOpen counts the request as open until the returned function is called. One whose body is
// streamed counts from when its last byte has been read.
func (f *HTTP) countOpen(rest *streamedBody) (end func()) {
	open := &f.node.Metrics().OpenRequests
	if rest == nil {
		open.Add(1)
		return func() { open.Add(-1) }
	}
	rest.onComplete = func() { open.Add(1) }
	rest.onEnd = func() { open.Add(-1) }
	return func() {}
}

// awaitResponse returns the final response of a request; false if the client is gone, or net/http
// timed out waiting for the body.
func (f *HTTP) awaitResponse(r *http.Request, req *receivedRequest, conn *clientConn, responses <-chan node.Response) (response node.Response, answered bool) {
	select {
	case response = <-responses:
	case <-f.node.Done(): // the node may have answered just before
		select {
		case response = <-responses:
		default:
			response = f.node.ShutdownResponse()
		}
	case <-r.Context().Done():
		f.node.Abandon(req.Request)
		if rest := req.body.rest; rest != nil {
			rest.awaitRead() // net/http ends the context before the read that failed returns
		}
		f.logEvent(eventlog.RequestEnded, req, conn, 0, "abandoned")
		return response, false
	}
	f.logEvent(eventlog.RequestEnded, req, conn, response.Status, f.reasonText(response))
	return response, true
}

// respond writes the final response of a request.
func (f *HTTP) respond(w http.ResponseWriter, r *http.Request, req *receivedRequest, conn *clientConn, response node.Response) {
	rest := req.body.rest
	setRetryAfter(w, response.RetryAfter)
	bodyUnfinished := rest != nil && !rest.complete()
	if bodyUnfinished || conn.isLastRequest() || (f.draining.Load() || f.clients.nearLimit()) && !conn.hasNextRequest() {
		w.Header().Set("Connection", "close")
	}
	if response.BodyStream != nil {
		conn.setStreaming()
		f.forwardStream(w, req.Request, response, abortFunc(r, conn, response))
		return
	}
	f.node.Metrics().CountRequest(req.Class, figures.OutcomeOf(response.Status))
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	f.writeBody(w, response.Body)
	if rest == nil {
		f.node.Checker().CheckAnswer(string(req.ID), time.Now(), req.Deadline)
	}
	if bodyUnfinished {
		conn.setStreaming()
		http.NewResponseController(w).Flush()
		rest.discard(time.Now().Add(earlyResponseLinger))
	}
}

// setRetryAfter tells a refused client when to come back; 0: it is told nothing.
func setRetryAfter(w http.ResponseWriter, delay time.Duration) {
	if delay > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	}
}

// writeBody writes the body of a response.
func (f *HTTP) writeBody(w http.ResponseWriter, body []byte) {
	f.node.Memory().Hold(guard.Responses, int64(len(body)))
	defer f.node.Memory().Release(guard.Responses, int64(len(body)))
	w.Write(body)
}

// abortFunc returns a function that ends a truncated response so that the client sees that. It
// does not return.
func abortFunc(r *http.Request, conn *clientConn, response node.Response) func() {
	return func() {
		if !r.ProtoAtLeast(1, 1) && response.BodyStream.Length < 0 {
			// Guards against a truncated response that looks complete: to HTTP/1.0 it ends
			// with its connection, so the connection is reset.
			conn.reset()
		}
		panic(http.ErrAbortHandler)
	}
}

// logEvent records an event of a request.
func (f *HTTP) logEvent(kind eventlog.Kind, req *receivedRequest, conn *clientConn, status int, reason string) {
	f.node.History().Add(eventlog.Event{Kind: kind, Request: string(req.ID), Connection: conn.id(), Status: status, Reason: reason})
}

// reasonText returns the reason of a response that does not come from a server.
func (f *HTTP) reasonText(response node.Response) string {
	if response.Status == http.StatusOK {
		return ""
	}
	return f.node.Metrics().RequestsRejected.Label(int(response.Reason))
}

// newStreamBuffer returns a buffer for forwarding a response, a small one if there is little memory.
// release returns its memory.
func (f *HTTP) newStreamBuffer() (buffer []byte, release func()) {
	memory, size := f.node.Memory(), int64(streamBufferSize)
	if !memory.Reserve(guard.Responses, size) {
		size = minStreamBufferSize
		memory.Hold(guard.Responses, size)
	}
	return make([]byte, size), func() { memory.Release(guard.Responses, size) }
}

// forwardStream forwards a response as it arrives. It reads from the server no faster than
// the client reads. If the server fails, abort, which does not return, closes the client's
// connection so that the client sees that the response is truncated.
func (f *HTTP) forwardStream(w http.ResponseWriter, req *node.Request, response node.Response, abort func()) {
	controller, metrics := http.NewResponseController(w), f.node.Metrics()
	if response.BodyStream.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.BodyStream.Length, 10))
	}
	w.WriteHeader(response.Status)
	buffer, release := f.newStreamBuffer()
	defer release()
	chunk := response.Body
	for {
		_, err := w.Write(chunk)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			response.BodyStream.Done(backend.ErrAbandoned)
			abort()
		}
		n, err := response.BodyStream.Read(buffer)
		if chunk = buffer[:n]; n > 0 {
			continue // the next Read returns the error again
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			response.BodyStream.Done(err)
			metrics.CountRequest(req.Class, figures.Faulted)
			abort()
		}
	}
	response.BodyStream.Done(nil)
	metrics.CountRequest(req.Class, figures.Fulfilled)
	controller.SetWriteDeadline(time.Time{})
}
