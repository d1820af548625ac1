package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"ivylock/balance"
	"ivylock/internal/eventlog"
	"ivylock/internal/node"
)

const maxRequestTimeout = time.Hour // a longer Request-Timeout-Ms is rejected as a mistake

// requestError is the reason why a request is rejected before it reaches the node.
type requestError struct {
	status  int
	message string
}

func (e *requestError) Error() string { return e.message }

var errAmbiguousFraming = badRequestf("a body is framed by Content-Length or, in HTTP/1.1, by chunks, not by both")

func badRequestf(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// reject answers a request that did not reach the node, or whose body could not be read.
func (f *HTTP) reject(w http.ResponseWriter, conn *clientConn, err error) {
	status := http.StatusBadRequest
	var requestErr *requestError
	switch {
	case errors.As(err, &requestErr):
		status = requestErr.status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	if errors.Is(err, errNoMemory) {
		setRetryAfter(w, f.node.MemoryRetryAfter())
	}
	f.node.Metrics().CountUnreadable(status)
	f.node.History().Add(eventlog.Event{Kind: eventlog.RequestRejected, Connection: conn.id(), Status: status, Reason: err.Error()})
	w.Header().Set("Connection", "close") // the bytes that follow cannot be trusted to be a request
	http.Error(w, err.Error(), status)
}

// receivedRequest is a request with the part of its body that has been read.
type receivedRequest struct {
	*node.Request
	body *receivedBody
}

// readRequest reads a client's request and checks it against the protocol.
func (f *HTTP) readRequest(w http.ResponseWriter, r *http.Request, conn *clientConn) (*receivedRequest, error) {
	class, err := f.checkHead(w, r)
	if err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(r.Header)
	if err != nil {
		return nil, err
	}
	conn.beginBody()
	body, err := f.bodies.read(w, r, timeout)
	if !conn.endBody() && err == nil {
		err = net.ErrClosed
	}
	if err != nil {
		body.release()
		return nil, fmt.Errorf("body: %w", err)
	}
	// The timeout counts from the request's last byte, even if a process pause delayed
	// reading it.
	deadline := time.Now().Add(timeout - f.node.PauseDelay())
	hint, hasHint := parseWorkHint(r.Header)
	req := &node.Request{
		RequestArrived: balance.RequestArrived{ID: balance.RequestID(r.Header.Get("Request-Id")), Class: class.Name,
			Tenant: r.Header.Get("Tenant"), Key: r.URL.Query().Get("sid"), ClientTimeout: time.Until(deadline),
			WorkHint: hint, HasHint: hasHint, ClientRetry: r.Header.Get("Client-Retry") == "1"},
		Method: r.Method, URI: r.RequestURI, Key: r.Header.Get("Idempotency-Key"), Body: body.buffered, Deadline: deadline, ReadAt: conn.lastReadTime(),
	}
	if conn != nil {
		req.ClientGone = conn.clientGone
	}
	if body.rest != nil {
		rest := body.rest
		rest.conn, rest.clientSeenAt = conn, req.ReadAt
		rest.timeout, rest.latest = timeout, deadline.Add(rest.maxDuration())
		req.BodyStream, req.Deadline, req.ClientSeenAt = rest, rest.latest, rest.awaitClientSeen
	}
	return &receivedRequest{req, &body}, nil
}

// checkHead checks a request's head against the protocol and returns its class.
func (f *HTTP) checkHead(w http.ResponseWriter, r *http.Request) (class balance.Class, err error) {
	if countFields(r.Header) > maxHeaderFields {
		return class, errTooManyFields
	}
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Idempotency-Key"} {
		if len(r.Header.Values(name)) > 1 {
			return class, badRequestf("%s stands there twice", name)
		}
	}
	class, known := f.classes[r.Header.Get("Request-Class")]
	if !known {
		return class, badRequestf("unknown Request-Class")
	}
	method := http.MethodPost
	if class.Effect == balance.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return class, &requestError{http.StatusMethodNotAllowed, "the class wants " + method}
	}
	if r.Header.Get("Request-Id") == "" {
		return class, badRequestf("no Request-Id")
	}
	if (class.Effect == balance.Keyed) != (r.Header.Get("Idempotency-Key") != "") {
		return class, badRequestf("Idempotency-Key goes with keyed classes")
	}
	if pathClass, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); pathClass != class.Name ||
		!strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return class, badRequestf("the path does not begin with the class")
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return class, badRequestf("a GET has no body")
	}
	return class, nil
}

// parseTimeout returns how long the client waits for its response.
func parseTimeout(header http.Header) (time.Duration, error) {
	milliseconds, err := strconv.ParseInt(header.Get("Request-Timeout-Ms"), 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > maxRequestTimeout.Milliseconds() {
		return 0, badRequestf("bad Request-Timeout-Ms")
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// parseWorkHint returns how long a server will work on the request, as the client estimates it;
// false without a usable estimate.
func parseWorkHint(header http.Header) (hint time.Duration, ok bool) {
	microseconds, err := strconv.ParseInt(header.Get("Work-Hint"), 10, 64)
	if err != nil || microseconds <= 0 || microseconds > maxRequestTimeout.Microseconds() {
		return 0, false
	}
	return time.Duration(microseconds) * time.Microsecond, true
}
