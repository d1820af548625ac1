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

// accepted gives both ends of a connection that a budget of two has accepted.
func accepted(t *testing.T) (theirs *net.TCPConn, ours *clientConn, conns *clientConns) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	count, events := figures.New(nil), eventlog.New()
	conns = newClientConns(l, 2, count, events, invariant.New(count.InvariantsBroken.Add, events))
	t.Cleanup(func() { conns.Close() })
	theirs = dial(t, l.Addr().String())
	got, err := conns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conns.onConnState(got, http.StateNew)
	return theirs, got.(*clientConn), conns
}

// What had come before the time for it was over is read, although nobody came to read it in
// that time: the process may have stood still.
func TestWhatHadComeIsReadAfterItsTime(t *testing.T) {
	t.Parallel()
	theirs, ours, _ := accepted(t)
	io.WriteString(theirs, get("waits"))
	wait(t, "it is there", func() bool { return bounded.HasUnread(ours.TCPConn) })
	ours.SetReadDeadline(time.Unix(1, 0))
	b := make([]byte, 4096)
	if n, err := ours.Read(b); err != nil || string(b[:n]) != get("waits") {
		t.Errorf("read %q, %v", b[:n], err)
	}
	ours.SetReadDeadline(time.Unix(1, 0))
	if n, err := ours.Read(b); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %d bytes, %v", n, err)
	}
}

// That a client has gone is seen although nobody reads its connection; what it sent before is
// no end.
func TestAClientThatHasGoneIsSeenBeforeAnythingIsWritten(t *testing.T) {
	t.Parallel()
	theirs, ours, _ := accepted(t)
	if ours.clientGone() {
		t.Error("gone at once")
	}
	io.WriteString(theirs, "x")
	wait(t, "it is there", func() bool { return bounded.HasUnread(ours.TCPConn) })
	if ours.clientGone() {
		t.Error("gone by what it sent")
	}
	if _, err := ours.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	theirs.Close()
	wait(t, "its end is seen", ours.clientGone)
}

// A request that does not come whole in its time is answered, as its last byte may be on its
// way; a connection on which nothing has come ends with no word.
func TestWhatDoesNotComeWholeInTimeIsAnswered(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	order := "POST /order/a HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 90\r\n\r\n"
	lines := order[:len(order)-2] // ends with a line, so that net/http takes none for malformed
	for text, want := range map[string]int{"": 0, "G": 400, order[:50]: 400, lines: 408, order: 408, order + "half": 408, get("whole") + order[:50]: 400, get("another") + lines: 408} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			c := dial(t, n.url)
			r := bufio.NewReader(c)
			io.WriteString(c, text)
			if text != "" && text[0] == 'G' && len(text) > 1 {
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
					t.Fatalf("the whole one: %v, %v", resp, err)
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
				t.Errorf("its end: %v", err)
			}
		})
	}
}

// Where room is wanted a connection on which a part of a request has come is refused, and one
// on which nothing has is closed.
func TestWhoMakesRoomInTheMiddleOfARequestIsRefused(t *testing.T) {
	t.Parallel()
	theirs, ours, conns := accepted(t)
	io.WriteString(theirs, "GET / HTTP")
	if _, err := io.ReadFull(ours, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	conns.setLimit(1)
	if conns.makeRoom(time.Now().Add(time.Minute)) {
		t.Error("there is room")
	}
	resp, err := http.ReadResponse(bufio.NewReader(theirs), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v", resp, err)
	}
}

// At a shutdown: a connection that carried nothing ends with the listener; one on which a part
// of a request has come waits for the rest, which is refused, and is refused itself at the end.
func TestPartsOfRequestsAtAShutdown(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: 100 * time.Millisecond, ServeUntil: 150 * time.Millisecond, AnswerBy: time.Second, ExitBy: 1300 * time.Millisecond})
	const parts = 30
	unused, finished, never := dial(t, n.url), dial(t, n.url), dial(t, n.url)
	io.WriteString(finished, get("finished")[:parts])
	io.WriteString(never, get("never")[:parts])
	wait(t, "all are accepted", func() bool { return n.front.Connections() == 3 })
	time.Sleep(2 * minIdleAtShutdown) // no connection ends while it is new
	n.stop()
	if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the unused one: %v", err)
	}
	if since := time.Since(n.ShutdownStepTime(0)); since > 800*time.Millisecond {
		t.Errorf("the unused one ended %v after the signal", since)
	}
	wait(t, "the intake is over", func() bool { return n.ShutdownPhase() >= guard.Refusing })
	io.WriteString(finished, get("finished")[parts:])
	for name, c := range map[string]net.Conn{"finished": finished, "never": never} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v, %v", name, resp, err)
		}
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	if b.Count() != 0 {
		t.Errorf("%d requests were forwarded", b.Count())
	}
}

// A process that is held up gives its last answers later than its schedule's end. It does not
// end under them, nor under a request that has not come whole.
func TestAnswersThatAreLateAtAShutdownAreWritten(t *testing.T) {
	t.Parallel()
	reached := make(chan bool, 1)
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		reached <- true
		io.Copy(io.Discard, c) // it hangs
		return false
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	const ms = time.Millisecond
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: 100 * ms, ServeUntil: 150 * ms, ExitBy: 200 * ms, AnswerBy: 600 * ms, ForceExitAt: 5 * time.Second})
	half, hung := dial(t, n.url), dial(t, n.url)
	io.WriteString(half, get("half")[:30])
	io.WriteString(hung, get("hung"))
	<-reached
	n.stop()
	for name, c := range map[string]net.Conn{"half": half, "hung": hung} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 500 {
			t.Errorf("%s: %v, %v", name, resp, err)
		}
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(n.ShutdownStepTime(0)); took > 3*time.Second {
		t.Errorf("it ended %v after the signal", took)
	}
}

// A request whose head had been read ahead when its process was told to end, behind an open
// one, is answered too before its connection ends.
func TestRequestsReadAheadAreAnsweredAtAShutdown(t *testing.T) {
	t.Parallel()
	first, release := make(chan bool, 1), make(chan bool)
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "0" {
			first <- true
			<-release
		}
		return nodetest.Reply(c, "200 OK", "answer to "+r.Header.Get("Request-Id"))
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	c := dial(t, n.url)
	io.WriteString(c, get("0")+get("1")) // read together
	<-first
	io.WriteString(c, get("2")) // read ahead
	wait(t, "it is read", func() bool { return bounded.OpenAndIdle(c) && n.headsAhead() })
	n.stop()
	wait(t, "the drain goes on", func() bool { return n.front.draining.Load() })
	close(release)
	r := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || resp.Close != (i == 2) {
			t.Errorf("answer %d: %s, ends its connection: %v", i, resp.Status, resp.Close)
		}
	}
}

// headsAhead tells whether the head of a further request has been read behind an open one.
func (n *running) headsAhead() bool {
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
