// Package front takes requests from clients over HTTP/1.1 and hands them to a
// node, in the form of the protocol page.
package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
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
	maxPatience = time.Hour // a longer Request-Timeout-Ms is taken for a mistake

	// A client may spend 2 s on a head; an incomplete request is owed an error
	// or a close within 3 s.
	headTime   = 2500 * time.Millisecond // for the head, from the connection's start or the head's first byte
	clientIdle = 2 * time.Second         // between requests

	restSpare  = 50 * time.Millisecond // no earlier is an idle connection closed at a shutdown: its next request may be in net/http's buffer
	freshSpare = 50 * time.Millisecond // a connection's first request comes right behind it
	pieceSize  = 32 << 10              // of an answer that is passed on
	stallTime  = 5 * time.Second       // in which a client must take a piece

	idleSpare = 2 * time.Second // no earlier may an idle connection be closed
	roomBatch = 16              // how many are closed at once: a crowd comes by hundreds
	roomPause = 2 * time.Millisecond

	maxLateLines = 100 // of the log in one shutdown

	kicks     = 20 // at an accept that keeps the listener from closing
	kickPause = 10 * time.Millisecond
)

// HTTP is the front. Its methods may be called from several goroutines.
type HTTP struct {
	// SharedListener says that the platform holds the listening socket: what waits at it when this
	// process closes it is not reset, and the next process takes it. It is set before Serve.
	SharedListener bool

	node      *node.Node
	classes   map[string]balance.Class
	bodies    *bodies
	server    *http.Server
	clients   *clientConns
	draining  atomic.Bool
	lateLines atomic.Int64
	accepted  chan struct{} // closed when the last connection has been accepted, and is counted
	drained   chan struct{} // closed when Drain has ended
}

// New makes a front for a node, on a listener, with so many client
// connections at most and so many bytes for long bodies, all together.
func New(n *node.Node, listener net.Listener, classes []balance.Class, most int, room int64) *HTTP {
	f := &HTTP{node: n, classes: map[string]balance.Class{}, accepted: make(chan struct{}), drained: make(chan struct{}), bodies: newBodies(room), clients: newClientConns(listener, most, n.Metrics(), n.History(), n.Checker())}
	f.clients.endingAnswer = n.ShutdownResponse
	for _, c := range classes {
		f.classes[c.Name] = c
	}
	// ReadTimeout and WriteTimeout would cut off a request that has been taken.
	f.server = &http.Server{Handler: f, MaxHeaderBytes: bounded.MaxHeaderBytes, ReadHeaderTimeout: headTime, IdleTimeout: clientIdle,
		ConnState:   f.clients.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, clientKey{}, c) }}
	return f
}

type clientKey struct{}

// Serve takes requests until Drain.
func (f *HTTP) Serve() error {
	err := f.server.Serve(f.clients)
	close(f.accepted)
	if f.draining.Load() && errors.Is(err, net.ErrClosed) {
		<-f.drained
	}
	return err
}

// Drain ends the service by the node's schedule. Connections still come for a while
// and end with their next answer; then those that are idle are ended, each only if
// nothing was read on it since (net/http's Shutdown would close one whose request it
// has just read, and drop a request that it has read and not yet handed on). What
// has not come whole by the time for answers is refused, and its connection ends.
func (f *HTTP) Drain() error {
	schedule := f.node.ShutdownSchedule()
	f.draining.Store(true)
	f.clients.drains()
	defer close(f.drained)
	f.logStep("draining")
	time.Sleep(time.Until(f.node.ShutdownStepTime(schedule.AcceptUntil)))
	if !f.SharedListener {
		f.clients.empty(schedule.BacklogTime())
	}
	f.clients.Close()
	f.logStep("listener closed")
	answer := f.node.ShutdownStepTime(schedule.AnswerBy)
	select {
	case <-f.accepted: // guards against ending while a connection is accepted and not yet counted
	case <-time.After(time.Until(answer)):
	}
	f.endConnections(schedule)
	f.logStep("ending")
	return f.server.Close()
}

// endConnections ends connections as their requests get their answers, until there is
// none or the schedule allows no more time.
func (f *HTTP) endConnections(schedule guard.ShutdownSchedule) {
	settled := schedule.AnswerBy
	for f.clients.count() > 0 {
		f.clients.endIdle(time.Now().Add(-restSpare))
		if f.sinceSignal() >= schedule.AnswerBy {
			f.clients.refuseUnfinished(f.node.ShutdownResponse())
		}
		owed, now := f.clients.owed() > 0, f.sinceSignal()
		if owed {
			settled = now
		}
		if schedule.MayExit(now, settled, owed) {
			return
		}
		time.Sleep(roomPause)
	}
}

// logStep logs a step of a shutdown, with the connections that are open then.
func (f *HTTP) logStep(name string) {
	f.node.History().Add(eventlog.Event{Kind: eventlog.PhaseChanged, Reason: name})
	unused, idle, open := f.clients.census()
	log.Printf("shutdown: %s %.3f s after the signal; connections without a request %d, idle %d, with an open request %d",
		name, f.sinceSignal().Seconds(), unused, idle, open)
}

// sinceSignal is how long ago the process was told to end.
func (f *HTTP) sinceSignal() time.Duration { return time.Since(f.node.ShutdownStepTime(0)) }

// late logs a request that is read after a shutdown has closed the listener, and the
// history of its connection.
func (f *HTTP) late(req *taken, conn *client) {
	f.node.Metrics().RequestsLate.Add(1)
	if f.lateLines.Add(1) > maxLateLines {
		return // it is counted
	}
	age, before := conn.past()
	log.Printf("shutdown: request %.64q read %.3f s after the signal on connection %d, open for %.3f s with %d requests before it",
		req.ID, f.sinceSignal().Seconds(), conn.id(), age.Seconds(), before)
}

// Addr is where clients connect.
func (f *HTTP) Addr() net.Addr { return f.clients.Addr() }

// SetMaxConns changes how many client connections there may be.
func (f *HTTP) SetMaxConns(most int) { f.clients.setMost(most) }

// Connections tells how many client connections there are.
func (f *HTTP) Connections() int { return f.clients.count() }

// badRequest is a request that is turned down before the module hears of it.
type badRequest struct {
	status int
	why    string
}

func (e *badRequest) Error() string { return e.why }

func bad(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// ServeHTTP takes one request and waits for its final answer.
func (f *HTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(clientKey{}).(*client)
	old := !r.ProtoAtLeast(1, 1)
	if old {
		w.Header().Set("Connection", "close") // what a kept connection means is too unclear there
	}
	if len(r.TransferEncoding) > 0 || old {
		// Guards against a request hidden in the body of another: net/http
		// forgets a Content-Length beside a Transfer-Encoding, and any
		// Transfer-Encoding in HTTP/1.0; what follows the body that it saw would
		// be read as the next request.
		w.Header().Set("Connection", "close")
		if framing := conn.framing(); old && framing != byLength || !old && framing != byChunks {
			http.Error(w, "a body is framed by Content-Length or, in HTTP/1.1, by chunks, not by both", http.StatusBadRequest)
			return
		}
	}
	if r.URL.Path == "/up" {
		w.Header().Set("Connection", "close") // guards against checks that stay and fill the budget
		if f.draining.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
		} else if !f.node.Ready() {
			http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		}
		return
	}
	req, err := f.readRequest(w, r, conn)
	if err != nil {
		f.turnDown(w, err)
		return
	}
	f.serve(w, r, req, conn)
}

// serve hands a request to the node and gives its answer.
func (f *HTTP) serve(w http.ResponseWriter, r *http.Request, req *taken, conn *client) {
	count, rest := f.node.Metrics(), req.body.rest
	defer req.body.release()
	if rest == nil {
		count.Open.Add(1)
		defer count.Open.Add(-1)
	} else { // it is open from its last byte on
		rest.whole = func() { count.Open.Add(1) }
		rest.over = func() { count.Open.Add(-1) }
		defer rest.end() // nothing reads from the connection once the handler has returned
	}
	if f.node.ShutdownPhase() >= guard.Finishing {
		f.late(req, conn)
	}
	conn.serves(string(req.ID))
	f.event(eventlog.RequestRead, req, conn, 0, "")
	answer := f.node.Submit(req.Request)
	var a node.Response
	select {
	case a = <-answer:
		f.event(eventlog.RequestEnded, req, conn, a.Status, f.why(a))
	case <-f.node.Done(): // it may have answered just before
		select {
		case a = <-answer:
		default:
			a = f.node.ShutdownResponse()
		}
		f.event(eventlog.RequestEnded, req, conn, a.Status, f.why(a))
	case <-r.Context().Done(): // the client is gone, or net/http waited for its body in vain
		f.node.Abandon(req.Request)
		f.event(eventlog.RequestEnded, req, conn, 0, "abandoned")
		if rest != nil && rest.broken() != nil {
			f.turnDown(w, rest.broken())
			return
		}
		panic(http.ErrAbortHandler) // guards against net/http's own answer, which would be an empty 200
	}
	if rest != nil {
		if err := rest.broken(); err != nil { // it was never taken, so it is not counted
			f.turnDown(w, err)
			return
		}
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	early := rest != nil && !rest.complete()
	if early || f.draining.Load() && !conn.more() || f.clients.crowded() || conn.last() {
		w.Header().Set("Connection", "close")
	}
	if a.BodyStream != nil {
		conn.passes()
		cut := func() { panic(http.ErrAbortHandler) }
		if !r.ProtoAtLeast(1, 1) && a.BodyStream.Length < 0 {
			// Guards against an answer cut short that looks whole: to HTTP/1.0 it
			// ends with its connection, so one that breaks off is reset.
			cut = func() {
				conn.reset()
				panic(http.ErrAbortHandler)
			}
		}
		f.passOn(w, req.Request, a, cut)
		return
	}
	count.Ended(req.Class, figures.OutcomeOf(a.Status))
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
	if rest == nil {
		f.node.Checker().Answered(string(req.ID), time.Now(), req.Deadline)
	}
	if early {
		http.NewResponseController(w).Flush()
		rest.discard(f.lingerUntil())
	}
}

// lingerUntil is how long what still comes behind an early answer is read.
func (f *HTTP) lingerUntil() time.Time {
	until := time.Now().Add(lingerTime)
	if f.draining.Load() {
		if end := f.node.ShutdownStepTime(f.node.ShutdownSchedule().ExitBy); end.Before(until) {
			return end
		}
	}
	return until
}

// event keeps an event of a request.
func (f *HTTP) event(kind eventlog.Kind, req *taken, conn *client, status int, reason string) {
	f.node.History().Add(eventlog.Event{Kind: kind, Request: string(req.ID), Connection: conn.id(), Status: status, Reason: reason})
}

// why words the cause of an answer that no server made.
func (f *HTTP) why(a node.Response) string {
	if a.Status == http.StatusOK {
		return ""
	}
	return f.node.Metrics().RequestsTurned.Word(int(a.Reason))
}

// turnDown answers a request that the module has not heard of, or whose body
// broke off.
func (f *HTTP) turnDown(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var b *badRequest
	switch {
	case errors.As(err, &b):
		status = b.status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	w.Header().Set("Connection", "close") // nothing that follows it is believed
	http.Error(w, err.Error(), status)
}

// passOn passes an answer on in pieces, each as it comes. The backend is read
// no faster than the client reads. If the backend breaks off the client's
// connection is cut, so that it can tell that the answer is not whole; cut
// does not return.
func (f *HTTP) passOn(w http.ResponseWriter, req *node.Request, a node.Response, cut func()) {
	c, count := http.NewResponseController(w), f.node.Metrics()
	if a.BodyStream.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.BodyStream.Length, 10))
	}
	w.WriteHeader(a.Status)
	piece, buf := a.Body, make([]byte, pieceSize)
	for {
		c.SetWriteDeadline(time.Now().Add(stallTime))
		_, err := w.Write(piece)
		if err == nil {
			err = c.Flush()
		}
		if err != nil {
			a.BodyStream.Done(backend.ErrAbandoned)
			cut()
		}
		n, err := a.BodyStream.Read(buf)
		if piece = buf[:n]; n > 0 {
			continue // an error comes again
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			a.BodyStream.Done(err)
			count.Ended(req.Class, figures.Faulted)
			cut()
		}
	}
	a.BodyStream.Done(nil)
	count.Ended(req.Class, figures.Fulfilled)
	c.SetWriteDeadline(time.Time{})
}

// taken is a request with its body as far as that was read.
type taken struct {
	*node.Request
	body received
}

// readRequest checks a client's request against the protocol.
func (f *HTTP) readRequest(w http.ResponseWriter, r *http.Request, conn *client) (*taken, error) {
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Idempotency-Key"} {
		if len(r.Header.Values(name)) > 1 {
			return nil, bad("%s stands there twice", name)
		}
	}
	class, known := f.classes[r.Header.Get("Request-Class")]
	if !known {
		return nil, bad("unknown Request-Class")
	}
	method := http.MethodPost
	if class.Effect == balance.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, &badRequest{http.StatusMethodNotAllowed, "the class wants " + method}
	}
	id, key := r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key")
	if id == "" {
		return nil, bad("no Request-Id")
	}
	if (class.Effect == balance.Keyed) != (key != "") {
		return nil, bad("Idempotency-Key goes with keyed classes")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class.Name ||
		!strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return nil, bad("the path does not begin with the class")
	}
	ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxPatience.Milliseconds() {
		return nil, bad("bad Request-Timeout-Ms")
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return nil, bad("a GET has no body")
	}
	conn.receives()
	in, err := f.bodies.read(w, r)
	if !conn.received() && err == nil {
		err = net.ErrClosed
	}
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	hint, err := strconv.ParseInt(r.Header.Get("Work-Hint"), 10, 64)
	hasHint := err == nil && hint > 0 && hint <= maxPatience.Microseconds()
	if !hasHint {
		hint = 0
	}
	// A request's time counts from its last byte, and not from when a process
	// that stood still came to read it.
	patience := time.Duration(ms) * time.Millisecond
	deadline := time.Now().Add(patience - f.node.PauseDelay())
	req := &node.Request{
		RequestArrived: balance.RequestArrived{ID: balance.RequestID(id), Class: class.Name,
			Tenant: r.Header.Get("Tenant"), Key: r.URL.Query().Get("sid"), ClientTimeout: time.Until(deadline),
			WorkHint: time.Duration(hint) * time.Microsecond, HasHint: hasHint,
			ClientRetry: r.Header.Get("Client-Retry") == "1"},
		Method: method, URI: r.RequestURI, Key: key, Body: in.held, Deadline: deadline, ReadAt: conn.readAt(),
	}
	if conn != nil {
		req.ClientGone = conn.left
	}
	if in.rest != nil {
		in.rest.patience = patience
		req.BodyStream, req.Deadline = in.rest, deadline.Add(in.rest.longest())
	}
	return &taken{req, in}, nil
}
