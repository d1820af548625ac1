package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"ivylock/guard"
	"ivylock/internal/bounded"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
	"ivylock/internal/nodetest"
)

// acceptedConn returns both ends of a connection accepted with a limit of two.
func acceptedConn(t *testing.T) (remote *net.TCPConn, local *clientConn, conns *clientConns) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	metrics, events := figures.New(nil), eventlog.New()
	conns = newClientConns(l, 2, metrics, events, invariant.New(metrics.InvariantViolations.Add, events))
	t.Cleanup(func() { conns.Close() })
	remote = dial(t, l.Addr().String())
	got, err := conns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conns.onConnState(got, http.StateNew)
	return remote, got.(*clientConn), conns
}

// Bytes that arrived before a read timed out are read, even if the process was paused until
// after the timeout.
func TestBytesThatArrivedBeforeTimeoutAreRead(t *testing.T) {
	t.Parallel()
	remote, local, _ := acceptedConn(t)
	io.WriteString(remote, getRequest("waits"))
	waitFor(t, "the request has arrived", func() bool { return bounded.HasUnread(local.TCPConn) })
	local.SetReadDeadline(time.Unix(1, 0))
	b := make([]byte, 4096)
	if n, err := local.Read(b); err != nil || string(b[:n]) != getRequest("waits") {
		t.Errorf("read %q, %v", b[:n], err)
	}
	local.SetReadDeadline(time.Unix(1, 0))
	if n, err := local.Read(b); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without unread bytes: %d bytes, %v", n, err)
	}
}

// A client's close is noticed without reading from its connection, and bytes sent before it
// are not mistaken for a close.
func TestClientCloseIsSeenWithoutReading(t *testing.T) {
	t.Parallel()
	remote, local, _ := acceptedConn(t)
	if local.clientGone() {
		t.Error("gone before the close")
	}
	io.WriteString(remote, "x")
	waitFor(t, "the byte has arrived", func() bool { return bounded.HasUnread(local.TCPConn) })
	if local.clientGone() {
		t.Error("gone after sending a byte")
	}
	if _, err := local.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	remote.Close()
	waitFor(t, "the close is seen", local.clientGone)
}

// An incomplete request is answered at its timeout, as its last byte may be on its way; a
// connection without any bytes is closed without a response.
func TestIncompleteRequestIsAnsweredAtTimeout(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	order := "POST /order/a HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 90\r\n\r\n"
	headLines := order[:len(order)-2] // ends after a header line, so that net/http does not reject it as malformed
	for text, want := range map[string]int{"": 0, "G": 400, order[:50]: 400, headLines: 408, order: 408, order + "half": 408, getRequest("whole") + order[:50]: 400, getRequest("another") + headLines: 408} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			c := dial(t, n.url)
			r := bufio.NewReader(c)
			io.WriteString(c, text)
			if text != "" && text[0] == 'G' && len(text) > 1 {
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
					t.Fatalf("the complete request: %v, %v", resp, err)
				} else {
					io.Copy(io.Discard, resp.Body)
				}
			}
			resp, err := http.ReadResponse(r, nil)
			if want == 0 {
				if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
					t.Errorf("got %v, %v", resp, err)
				}
				return
			}
			if err != nil || resp.StatusCode != want || !resp.Close {
				t.Errorf("got %v, %v", resp, err)
			}
			if _, err := io.Copy(io.Discard, r); err != nil {
				t.Errorf("reading to the end: %v", err)
			}
		})
	}
}

// A connection that is evicted with a partial request is rejected with a response.
func TestEvictedPartialRequestIsRejected(t *testing.T) {
	t.Parallel()
	remote, local, conns := acceptedConn(t)
	io.WriteString(remote, "GET / HTTP")
	if _, err := io.ReadFull(local, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	conns.setLimit(1)
	if conns.makeRoom(time.Now().Add(time.Minute)) {
		t.Error("there is room at the limit")
	}
	resp, err := http.ReadResponse(bufio.NewReader(remote), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v", resp, err)
	}
}

// At a shutdown an unused connection is closed with the listener. One with a partial request
// waits for the rest, which is rejected, and is rejected itself at the end of the schedule.
func TestPartialRequestsAtShutdown(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: 100 * time.Millisecond, ServeUntil: 150 * time.Millisecond, AnswerBy: time.Second, ExitBy: 1300 * time.Millisecond})
	const partLength = 30
	unused, finished, unfinished := dial(t, n.url), dial(t, n.url), dial(t, n.url)
	io.WriteString(finished, getRequest("finished")[:partLength])
	io.WriteString(unfinished, getRequest("never")[:partLength])
	waitFor(t, "all connections are accepted", func() bool { return n.front.Connections() == 3 })
	time.Sleep(2 * minIdleAtShutdown) // newer connections are not closed yet
	n.stop()
	if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the unused connection: %v", err)
	}
	if since := time.Since(n.ShutdownStepTime(0)); since > 800*time.Millisecond {
		t.Errorf("the unused connection was closed %v after the signal", since)
	}
	waitFor(t, "new requests are rejected", func() bool { return n.ShutdownPhase() >= guard.Refusing })
	io.WriteString(finished, getRequest("finished")[partLength:])
	for name, c := range map[string]net.Conn{"finished": finished, "never": unfinished} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v, %v", name, resp, err)
		}
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	if backend.RequestCount() != 0 {
		t.Errorf("%d requests were forwarded", backend.RequestCount())
	}
}

// A node that gives its last responses after ExitBy, as it was delayed, does not exit before
// they are written, nor while a request is incomplete.
func TestLateResponsesAtShutdownAreWritten(t *testing.T) {
	t.Parallel()
	reached := make(chan bool, 1)
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		reached <- true
		io.Copy(io.Discard, c) // hangs
		return false
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	const ms = time.Millisecond
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: 100 * ms, ServeUntil: 150 * ms, ExitBy: 200 * ms, AnswerBy: 600 * ms, ForceExitAt: 5 * time.Second})
	partial, hanging := dial(t, n.url), dial(t, n.url)
	io.WriteString(partial, getRequest("half")[:30])
	io.WriteString(hanging, getRequest("hung"))
	<-reached
	n.stop()
	for name, c := range map[string]net.Conn{"partial": partial, "hanging": hanging} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 500 {
			t.Errorf("%s: %v, %v", name, resp, err)
		}
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(n.ShutdownStepTime(0)); took > 3*time.Second {
		t.Errorf("the process ended %v after the signal", took)
	}
}

// A request whose head was read before a shutdown, while another request was open, is
// answered too before its connection is closed.
func TestReadAheadRequestsAreAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	first, release := make(chan bool, 1), make(chan bool)
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "0" {
			first <- true
			<-release
		}
		return nodetest.WriteResponse(c, "200 OK", "answer to "+r.Header.Get("Request-Id"))
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	c := dial(t, n.url)
	io.WriteString(c, getRequest("0")+getRequest("1")) // read together
	<-first
	io.WriteString(c, getRequest("2")) // read ahead
	waitFor(t, "the last request is read ahead", func() bool { return bounded.OpenAndIdle(c) && n.hasReadAhead() })
	n.stop()
	waitFor(t, "the shutdown has begun", func() bool { return n.front.draining.Load() })
	close(release)
	r := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || resp.Close != (i == 2) {
			t.Errorf("response %d: %s, Close %v", i, resp.Status, resp.Close)
		}
	}
}

// hasReadAhead reports whether bytes have been read ahead on any connection.
func (n *testNode) hasReadAhead() bool {
	n.front.clients.mu.Lock()
	defer n.front.clients.mu.Unlock()
	for c := range n.front.clients.all {
		c.mu.Lock()
		ahead := len(c.readAhead)
		c.mu.Unlock()
		if ahead > 0 {
			return true
		}
	}
	return false
}
