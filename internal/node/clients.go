package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"barrowscale/balance"
)

const (
	maxPatience = time.Hour // a longer Request-Timeout-Ms is taken for a mistake
	maxHead     = 8 << 10

	// An incomplete request is owed an error or a close within 3 s.
	headTime   = 1200 * time.Millisecond // for the head, from the connection's start or the head's first byte
	bodyTime   = 1000 * time.Millisecond // for the body, from the head's end
	clientIdle = 2 * time.Second         // between requests

	freshSpare = 50 * time.Millisecond // a connection's first request comes right behind it
	idleSpare  = 2 * time.Second       // no earlier may an idle connection be closed
	roomBatch  = 16                    // how many are closed at once: a crowd comes by hundreds
	roomPause  = 2 * time.Millisecond
)

// request is one try of a client, from its arrival to its final answer.
type request struct {
	balance.RequestArrived
	method, uri, key string
	body             []byte
	deadline         time.Time
	answer           chan answer // holds the one final answer
	over             atomic.Bool // has its final answer, or its client is gone: nothing more goes out
	attempts         []*attempt  // the loop's
	out              int         // the loop's
}

// answer is the final answer to a client.
type answer struct {
	status  int
	body    []byte
	holdOff time.Duration
}

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
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		if n.draining.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
		}
		return
	}
	req, err := n.readRequest(w, r)
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
	n.post(req)
	select {
	case a := <-req.answer:
		if a.holdOff > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.holdOff.Seconds(), 'f', 3, 64))
		}
		if n.draining.Load() || n.clients.crowded() {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.status)
		w.Write(a.body)
	case <-r.Context().Done():
		req.over.Store(true)
		n.post(clientGone{req})
	}
}

// readRequest checks a client's request against the protocol.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	arrived := time.Now()
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Idempotency-Key"} {
		if len(r.Header.Values(name)) > 1 {
			return nil, bad("%s stands there twice", name)
		}
	}
	class, known := n.classes[r.Header.Get("Request-Class")]
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
	if r.ContentLength > maxBody { // before any of it is read
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
	return &request{
		RequestArrived: balance.RequestArrived{ID: balance.RequestID(id), Class: class.Name,
			Tenant: r.Header.Get("Tenant"), Key: r.URL.Query().Get("sid"), Patience: time.Until(deadline),
			WorkHint: time.Duration(hint) * time.Microsecond, HasHint: hasHint,
			Repeat: r.Header.Get("Client-Retry") == "1"},
		method: method, uri: r.RequestURI, key: key, body: body, deadline: deadline, answer: make(chan answer, 1),
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

// clientConns keeps the number of client connections within its budget, so
// that the process never runs out of descriptors. At the budget the next one
// waits in the kernel's backlog until there is room, which is made by closing
// the longest silent connection: first one that never sent a whole request,
// else one between requests. A fresh one is spared, as it may have a request
// on its way.
type clientConns struct {
	net.Listener
	most   int
	mu     sync.Mutex
	open   int
	fresh  map[net.Conn]time.Time // since when: no whole request yet
	idle   map[net.Conn]time.Time // between requests
	closed chan struct{}
	close  sync.Once
}

func newClientConns(most int) *clientConns {
	return &clientConns{most: most, fresh: map[net.Conn]time.Time{}, idle: map[net.Conn]time.Time{},
		closed: make(chan struct{})}
}

// Accept waits until there is room for one more connection.
func (c *clientConns) Accept() (net.Conn, error) {
	for !c.room(time.Now()) {
		select {
		case <-time.After(roomPause):
		case <-c.closed:
			return nil, net.ErrClosed
		}
	}
	return c.Listener.Accept()
}

func (c *clientConns) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Listener.Close()
}

// room tells whether there is room, and makes some if there is none.
func (c *clientConns) room(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open < c.most {
		return true
	}
	for range roomBatch {
		if !closeLongest(c.fresh, now.Add(-freshSpare)) && !closeLongest(c.idle, now.Add(-idleSpare)) {
			break
		}
	}
	return false // until the server tells that it is closed
}

// crowded tells that the budget is nearly spent. Connections then end with
// their answers: guards against idle ones, which may not be closed at once,
// that keep all others waiting.
func (c *clientConns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 4*c.open > 3*c.most
}

// closeLongest closes the connection that has been silent longest, if it has
// been so since before a time.
func closeLongest(silent map[net.Conn]time.Time, before time.Time) bool {
	var longest net.Conn
	for conn, since := range silent {
		if since.Before(before) {
			longest, before = conn, since
		}
	}
	if longest == nil {
		return false
	}
	longest.Close()
	delete(silent, longest)
	return true
}

// track is the server's ConnState hook.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.idle, conn)
	switch state {
	case http.StateNew:
		c.open++
		c.fresh[conn] = time.Now()
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}
