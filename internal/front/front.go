// Package front takes requests from clients over HTTP/1.1 and hands them to a
// node, in the form of the protocol page.
package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"barrowscale/balance"
	"barrowscale/internal/bounded"
	"barrowscale/internal/figures"
	"barrowscale/internal/node"
)

const (
	maxPatience = time.Hour // a longer Request-Timeout-Ms is taken for a mistake

	// An incomplete request is owed an error or a close within 3 s.
	headTime   = 1200 * time.Millisecond // for the head, from the connection's start or the head's first byte
	bodyTime   = 1000 * time.Millisecond // for the body, from the head's end
	clientIdle = 2 * time.Second         // between requests

	acceptTime = 600 * time.Millisecond // after SIGTERM: new connections still come for a while
	drainSlack = 200 * time.Millisecond // for answers that the node gives at the end of a drain

	closeSlack = 300 * time.Millisecond // before the end of a drain: idle connections are closed from then on

	freshSpare = 50 * time.Millisecond // a connection's first request comes right behind it
	idleSpare  = 2 * time.Second       // no earlier may an idle connection be closed
	roomBatch  = 16                    // how many are closed at once: a crowd comes by hundreds
	roomPause  = 2 * time.Millisecond
)

// HTTP is the front. Its methods may be called from several goroutines.
type HTTP struct {
	AcceptMore time.Duration // after the word to end: new connections still come for so long
	Shared     bool          // another process may take what waits at the listener
	node       *node.Node
	classes    map[string]balance.Class
	server     *http.Server
	clients    *clientConns
	draining   atomic.Bool
	drained    chan struct{} // closed when Drain has ended
}

// New makes a front for a node, on a listener, with so many client
// connections at most.
func New(n *node.Node, listener net.Listener, classes []balance.Class, most int) *HTTP {
	f := &HTTP{AcceptMore: acceptTime, node: n, classes: map[string]balance.Class{}, drained: make(chan struct{}), clients: newClientConns(most)}
	for _, c := range classes {
		f.classes[c.Name] = c
	}
	f.clients.Listener = listener
	// ReadTimeout and WriteTimeout would cut off a request that has been taken.
	f.server = &http.Server{Handler: f, MaxHeaderBytes: bounded.MaxHead, ReadHeaderTimeout: headTime, IdleTimeout: clientIdle,
		ConnState: f.clients.track}
	return f
}

// Serve takes requests until Drain.
func (f *HTTP) Serve() error {
	err := f.server.Serve(f.clients)
	if f.draining.Load() && errors.Is(err, net.ErrClosed) {
		<-f.drained
	}
	return err
}

// Drain ends the service. http.Server.Shutdown closes the listener at once,
// which would reset connections that are still coming, so it has to wait.
// Until then connections end with their next answer: closing idle ones at once
// could cut off a request that the server has just read.
func (f *HTTP) Drain(end time.Time) error {
	f.draining.Store(true)
	defer close(f.drained)
	time.Sleep(f.AcceptMore)
	if f.Shared {
		// The next process has the listener; here clients' connections end with
		// their answers. One that is closed while idle may cross a request.
		f.clients.Close()
		for f.clients.count() > 0 && time.Now().Before(end.Add(-closeSlack)) {
			time.Sleep(roomPause)
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(drainSlack))
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// SetMost changes how many client connections there may be.
func (f *HTTP) SetMost(most int) { f.clients.setMost(most) }

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
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		// Guards against a request hidden in the body of another: net/http
		// forgets a Content-Length beside a Transfer-Encoding, and what follows
		// the chunks would be read as the next request.
		w.Header().Set("Connection", "close")
		http.Error(w, "a body is framed by Content-Length, in HTTP/1.1", http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/up" {
		w.Header().Set("Connection", "close") // guards against checks that stay and fill the budget
		if f.draining.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
		}
		return
	}
	req, err := f.readRequest(w, r)
	if err != nil {
		status := http.StatusBadRequest
		var b *badRequest
		if errors.As(err, &b) {
			status = b.status
		}
		w.Header().Set("Connection", "close") // nothing that follows it is believed
		http.Error(w, err.Error(), status)
		return
	}
	count := f.node.Count()
	count.Open.Add(1)
	defer count.Open.Add(-1)
	answer := f.node.Take(req)
	select {
	case a := <-answer:
		count.Ended(req.Class, figures.OutcomeOf(a.Status))
		if a.HoldOff > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.HoldOff.Seconds(), 'f', 3, 64))
		}
		if f.draining.Load() || f.clients.crowded() {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		w.Write(a.Body)
	case <-r.Context().Done():
		f.node.Abandon(req)
	}
}

// readRequest checks a client's request against the protocol.
func (f *HTTP) readRequest(w http.ResponseWriter, r *http.Request) (*node.Request, error) {
	arrived := time.Now()
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
	if r.ContentLength > bounded.MaxBody { // before any of it is read
		return nil, &badRequest{http.StatusRequestEntityTooLarge, "body over 64 KiB"}
	}
	body, err := readBody(w, r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &badRequest{http.StatusRequestTimeout, "the body did not come in time"}
	}
	if err != nil {
		return nil, bad("body: %v", err)
	}
	if method == http.MethodGet && len(body) > 0 {
		return nil, bad("a GET has no body")
	}
	hint, err := strconv.ParseInt(r.Header.Get("Work-Hint"), 10, 64)
	hasHint := err == nil && hint > 0 && hint <= maxPatience.Microseconds()
	if !hasHint {
		hint = 0
	}
	deadline := arrived.Add(time.Duration(ms) * time.Millisecond)
	return &node.Request{
		RequestArrived: balance.RequestArrived{ID: balance.RequestID(id), Class: class.Name,
			Tenant: r.Header.Get("Tenant"), Key: r.URL.Query().Get("sid"), Patience: time.Until(deadline),
			WorkHint: time.Duration(hint) * time.Microsecond, HasHint: hasHint,
			Repeat: r.Header.Get("Client-Retry") == "1"},
		Method: method, URI: r.RequestURI, Key: key, Body: body, Deadline: deadline,
	}, nil
}

// readBody reads a body whose length is known, within bodyTime. What is wholly
// taken is never cut off, so the time-out ends with it.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength <= 0 {
		return nil, nil
	}
	c := http.NewResponseController(w)
	if err := c.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	return body, c.SetReadDeadline(time.Time{})
}
