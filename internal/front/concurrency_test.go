package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivylock/guard"
	"ivylock/internal/bounded"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
	"ivylock/internal/node"
	"ivylock/internal/nodetest"
)

// getRequest returns a complete request that follows the protocol.
func getRequest(id string) string {
	return "GET /clip/a HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: clip\r\nRequest-Timeout-Ms: 60000\r\n\r\n"
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(addr, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
	return c.(*net.TCPConn)
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(nodetest.WaitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// The close of a client's connection is noticed whatever bytes it has sent after its open
// request, and the attempt of that request is cancelled at once.
func TestClientCloseIsNoticedBehindPipelinedBytes(t *testing.T) {
	t.Parallel()
	arrived, closed := make(chan bool, 1), make(chan bool, 1)
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		io.Copy(io.Discard, c) // returns when the node cancels the attempt
		closed <- true
		return false
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	id := 0
	for name, pipelined := range map[string]string{"nothing": "", "a byte": "G", "partial request": getRequest("x")[:40],
		"complete request": getRequest("y"), "many requests": strings.Repeat(getRequest("z"), 3*maxReadAhead/len(getRequest("z")))} {
		for how, closeConn := range map[string]func(*net.TCPConn){
			"close": func(c *net.TCPConn) { c.Close() }, "half-close": func(c *net.TCPConn) { c.CloseWrite() },
			"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() }} {
			id++
			c := dial(t, n.url)
			io.WriteString(c, getRequest(fmt.Sprint(id)))
			<-arrived
			io.WriteString(c, pipelined)
			before := backend.RequestCount()
			closeConn(c)
			select {
			case <-closed:
			case <-time.After(nodetest.WaitTimeout):
				t.Fatalf("%s, then %s: the attempt was not cancelled", name, how)
			}
			if got := backend.RequestCount(); got != before {
				t.Errorf("%s, then %s: %d further attempts", name, how, got-before)
			}
		}
	}
}

// If an open request was read together with the previous one, its connection does not count
// as idle, and a close by the client is noticed too.
func TestRequestReadTogetherWithPreviousIsNotEvicted(t *testing.T) {
	t.Parallel()
	for _, event := range []string{"eviction", "shutdown", "close"} {
		arrived, release, closed := make(chan bool, 1), make(chan bool), make(chan bool, 1)
		backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("Request-Id") != "second" {
				return nodetest.WriteResponse(c, "200 OK", "first")
			}
			arrived <- true
			if event == "close" {
				io.Copy(io.Discard, c) // returns when the node cancels the attempt
				closed <- true
				return false
			}
			<-release
			return nodetest.WriteResponse(c, "200 OK", "second")
		})
		n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
		c := dial(t, n.url)
		io.WriteString(c, getRequest("first")+getRequest("second")+getRequest("x")[:40])
		<-arrived
		r := bufio.NewReader(c)
		if resp, err := http.ReadResponse(r, nil); err != nil {
			t.Fatal(err)
		} else {
			io.Copy(io.Discard, resp.Body)
		}
		switch event {
		case "eviction":
			n.front.SetMaxConns(1)
			n.front.clients.makeRoom(time.Now().Add(time.Minute)) // all count as idle for long
		case "shutdown":
			n.stop()
			waitFor(t, "the shutdown has begun", func() bool { return n.front.draining.Load() })
			<-n.front.clients.closed
			n.front.clients.closeIdleSince(time.Now().Add(time.Minute))
		case "close":
			c.Close()
			select {
			case <-closed:
			case <-time.After(nodetest.WaitTimeout):
				t.Fatal("the attempt was not cancelled")
			}
			continue
		}
		close(release)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("%s: no response: %v", event, err)
			continue
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "second" || err != nil {
			t.Errorf("%s: %d %q, %v", event, resp.StatusCode, body, err)
		}
	}
}

// Pipelined requests are answered in order and once each.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
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
	io.WriteString(c, getRequest("0"))
	<-first
	for i := 1; i < 20; i++ { // read ahead while the first one is open, in pieces
		text := getRequest(fmt.Sprint(i))
		io.WriteString(c, text[:i])
		io.WriteString(c, text[i:])
	}
	close(release)
	r := bufio.NewReader(c)
	for i := range 20 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != fmt.Sprint("answer to ", i) {
			t.Fatalf("response %d: %d %q", i, resp.StatusCode, body)
		}
	}
}

// heldFront is a front end that, once armed, holds the next connection that changes to a
// given state: net/http has accepted it or read its request, but has not reported it yet.
type heldFront struct {
	*testNode
	armed   atomic.Int64 // state + 1; 0 if not armed
	reached chan net.Conn
	resume  chan bool
}

func startHeldFront(t *testing.T, cfg *node.Config) *heldFront {
	t.Helper()
	h := startHeldFrontUnchecked(t, cfg)
	t.Cleanup(func() { h.stop(); <-h.Done(); h.checkInvariants(t) })
	return h
}

// startHeldFrontUnchecked starts a heldFront whose test may break invariants.
func startHeldFrontUnchecked(t *testing.T, cfg *node.Config) *heldFront {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &heldFront{testNode: &testNode{Node: node.New(cfg), url: "http://" + l.Addr().String(), stop: stop, ended: make(chan error, 1)},
		reached: make(chan net.Conn, 1), resume: make(chan bool)}
	h.front = New(h.Node, l, cfg.Settings.Classes, cfg.ClientSockets(), cfg.BodyBudget())
	h.SetShutdownSchedule(shortSchedule)
	track := h.front.server.ConnState
	h.front.server.ConnState = func(c net.Conn, s http.ConnState) {
		if h.armed.CompareAndSwap(int64(s)+1, 0) {
			h.reached <- c
			<-h.resume
		}
		track(c, s)
	}
	go func() { h.ended <- h.Run(ctx, h.front) }()
	t.Cleanup(func() { stop(); <-h.Done() })
	return h
}

// A request that is read just as its connection would be closed, for eviction or at a
// shutdown, is served and answered, on a new connection as well as on an idle one.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		return nodetest.WriteResponse(c, "200 OK", "answer to "+r.Header.Get("Request-Id"))
	})
	for _, reused := range []bool{false, true} {
		for _, event := range []string{"eviction", "shutdown"} {
			h := startHeldFront(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
			c := dial(t, h.url)
			r := bufio.NewReader(c)
			if reused {
				io.WriteString(c, getRequest("before"))
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				waitFor(t, "the connection is idle", func() bool {
					h.front.clients.mu.Lock()
					defer h.front.clients.mu.Unlock()
					return len(h.front.clients.idle) == 1
				})
			}
			h.armed.Store(int64(http.StateActive) + 1)
			io.WriteString(c, getRequest("crossing"))
			<-h.reached // the request has been read but not reported
			if event == "eviction" {
				h.front.SetMaxConns(1)
				h.front.clients.makeRoom(time.Now().Add(time.Minute)) // all count as idle for long
			} else {
				h.stop()
				waitFor(t, "the shutdown has begun", func() bool { return h.front.draining.Load() })
				h.front.clients.closeIdleSince(time.Now().Add(time.Minute))
			}
			close(h.resume)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Errorf("reused %v, %s: no response: %v", reused, event, err)
				continue
			}
			if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "answer to crossing" || err != nil {
				t.Errorf("reused %v, %s: %d %q, %v", reused, event, resp.StatusCode, body, err)
			}
			if event == "shutdown" {
				if err := <-h.ended; err != nil {
					t.Error(err)
				}
			}
		}
	}
}

// A connection that is accepted just as a shutdown begins, and is not counted yet, is served
// before the process exits.
func TestConnectionAcceptedDuringShutdownIsServed(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	h := startHeldFront(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	h.armed.Store(int64(http.StateNew) + 1)
	c := dial(t, h.url)
	io.WriteString(c, getRequest("behind an accept"))
	<-h.reached
	h.stop()
	<-h.front.clients.closed
	select { // an implementation that does not wait for it has time to exit
	case err := <-h.ended:
		t.Errorf("exited early: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(h.resume)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "served" || err != nil {
		t.Errorf("%d %q, %v", resp.StatusCode, body, err)
	}
}

// A connection that waits for room as a shutdown begins is served too: idle connections are
// evicted for it while the listener is open.
func TestConnectionsWaitingForRoomAtShutdownAreServed(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: minIdleAge * 3 / 4, ServeUntil: minIdleAge, AnswerBy: 2 * minIdleAge, ExitBy: 2 * minIdleAge})
	for _, id := range []string{"rests", "is let in by an accept that had room", "waits"} {
		c := dial(t, n.url)
		io.WriteString(c, getRequest(strings.ReplaceAll(id, " ", "-")))
		if id == "waits" {
			n.stop()
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "served" || err != nil {
			t.Errorf("%s: %d %q, %v", id, resp.StatusCode, body, err)
		}
		n.front.SetMaxConns(1) // the first connection, now idle, fills the limit
	}
}

// Bytes that arrive after a connection was closed are not delivered: the client, which sees
// the close without a response, resends its request, which would run twice.
func TestBytesAfterCloseAreNotDelivered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns(l, 2, figures.New(nil), eventlog.New(), nil)
	defer conns.Close()
	remote := dial(t, l.Addr().String())
	got, err := conns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	local := got.(*clientConn)
	conns.onConnState(local, http.StateNew)
	conns.onConnState(local, http.StateActive)
	if local.closeIfIdle(figures.ClosedDraining, true) {
		t.Error("closed with an open request")
	}
	conns.onConnState(local, http.StateIdle)
	// The read overlaps the close: while the lock is held it takes the bytes from the kernel
	// and waits to deliver them.
	read := make(chan error, 1)
	for overlapped := false; !overlapped; {
		go func() {
			_, err := local.Read(make([]byte, 64))
			read <- err
		}()
		time.Sleep(time.Millisecond) // by now it usually waits for bytes; if not, the loop tries again
		local.mu.Lock()
		io.WriteString(remote, "G")
		for end := time.Now().Add(100 * time.Millisecond); !overlapped && time.Now().Before(end); time.Sleep(time.Millisecond) {
			overlapped = bounded.OpenAndIdle(local.TCPConn)
		}
		local.closed = overlapped
		local.mu.Unlock()
		if err := <-read; overlapped != errors.Is(err, net.ErrClosed) {
			t.Errorf("read overlapping the close: %v", err)
		}
	}
}

// A response that ends its connection arrives although the client has sent more that is not
// read, and although the kernel may still buffer the response.
func TestResponseSurvivesCloseWithUnreadBytes(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns(l, 2, figures.New(nil), eventlog.New(), nil)
	defer conns.Close()
	remote := dial(t, l.Addr().String())
	got, err := conns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	local := got.(*clientConn)
	conns.onConnState(local, http.StateNew)
	io.WriteString(remote, getRequest("unread"))
	waitFor(t, "the bytes are there", func() bool { return !bounded.OpenAndIdle(local.TCPConn) })
	local.SetNoDelay(false)
	response := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	for _, piece := range strings.SplitAfter(response, "\n") {
		io.WriteString(local, piece)
	}
	local.Close()
	conns.onConnState(local, http.StateClosed)
	if conns.count() != 1 {
		t.Error("the lingering connection is not counted")
	}
	if raw, err := io.ReadAll(remote); err != nil || string(raw) != response {
		t.Errorf("%q, %v", raw, err)
	}
	remote.Close()
	waitFor(t, "the connection is closed", func() bool { return conns.count() == 0 })
}

// After a slow dial the server is given only the time that the client has left.
func TestForwardedTimeoutIsRemainingTime(t *testing.T) {
	t.Parallel()
	server := nodetest.NewBlockedListener(t)
	cfg := nodeConfig(t, nodetest.ClosedAddr(t), server.Addr().String())
	cfg.Settings.ConnectTimeout = 5 * time.Second
	n := startNode(t, cfg)
	forwarded := make(chan string, 1)
	start := time.Now()
	answered := make(chan time.Time, 1)
	go func() {
		n.request(context.Background(), "clip", "one", 10*time.Second)
		answered <- time.Now()
	}()
	waitFor(t, "the attempt dials", func() bool { return n.BackendPool().OpenConns() == 1 })
	server.Release(t) // the kernel retransmits the SYN 1 s after the first
	go http.Serve(server, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forwarded <- r.Header.Get("Request-Timeout-Ms")
	}))
	took := (<-answered).Sub(start)
	var ms int64
	fmt.Sscan(<-forwarded, &ms)
	if left := 10*time.Second - took; time.Duration(ms)*time.Millisecond > left+100*time.Millisecond || ms <= 0 {
		t.Errorf("forwarded %d ms with %v left", ms, left)
	}
}

// A retry of a keyed request whose connection is established after the deduplication window
// is not written: the server group may have forgotten the first attempt.
func TestNoRetryIsWrittenAfterDedupWindow(t *testing.T) {
	t.Parallel()
	const window = 700 * time.Millisecond
	received, reset := make(chan bool, 1), make(chan bool)
	first := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		received <- true
		<-reset
		return false // the request may have run
	})
	second, listSecond := nodetest.NewBlockedListener(t), make(chan bool)
	discovery := newFakeDiscovery(t, func(_ *fakeDiscovery, _ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("hold_ms") == "0" {
			io.WriteString(w, `{"generation":7,"reset":false,"instances":[]}`)
			return
		}
		select {
		case <-listSecond:
			fmt.Fprintf(w, `{"generation":8,"reset":false,"instances":[{"instanceId":"s-1","hostPort":%q,"cell":0,"lifecycle":"up"}]}`, second.Addr())
		case <-r.Context().Done():
		}
	})
	cfg, err := node.ParseConfig([]byte(strings.Replace(nodetest.ConfigJSON(addr(discovery.Server), first.Addr),
		`"dedup_window_ns":8000000000`, fmt.Sprintf(`"dedup_window_ns":%d`, window), 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.ConnectTimeout = 5 * time.Second
	n := startNode(t, cfg)
	status := make(chan int, 1)
	start := time.Now()
	go func() {
		got, _, _, _ := n.request(context.Background(), "tag", "one", 4*time.Second)
		status <- got
	}()
	<-received
	listSecond <- true
	waitFor(t, "the second server is listed", func() bool { return strings.Contains(string(n.MetricsText()), "app.registry_entries:2|g") })
	close(reset) // the retry starts to dial
	if dialled := time.Since(start); dialled > window {
		t.Fatalf("the machine was too slow to force the race: %v", dialled)
	}
	written := make(chan bool, 1)
	// The kernel retransmits the SYN 1 s after the first.
	time.Sleep(time.Until(start.Add(window + 50*time.Millisecond)))
	second.Release(t)
	go http.Serve(second, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { written <- true }))
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("got status %d", got)
	}
	select {
	case <-written:
		t.Error("a retry was written after the window")
	case <-time.After(100 * time.Millisecond):
	}
}

// Changes during a dial apply before the write: nothing is written to a server that drains,
// or for a client that has disconnected. After a drain the request is retried elsewhere or rejected.
func TestNothingIsWrittenIfRequestEndsDuringDial(t *testing.T) {
	for _, class := range []string{"clip", "tag", "order"} {
		for _, event := range []string{"drain", "close", "half-close", "reset"} {
			t.Run(class+" "+event, func(t *testing.T) {
				t.Parallel()
				server, sendDrain := nodetest.NewBlockedListener(t), make(chan bool)
				discovery := newFakeDiscovery(t, func(_ *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
					if call == 1 {
						io.WriteString(w, `{"generation":7,"reset":false,"instances":[]}`)
						return
					}
					select {
					case <-sendDrain:
						io.WriteString(w, `{"generation":8,"reset":false,"instances":[{"instanceId":"s-0","lifecycle":"removed"}]}`)
					case <-r.Context().Done():
					}
				})
				cfg := nodeConfig(t, addr(discovery.Server), server.Addr().String())
				cfg.Settings.ConnectTimeout = 5 * time.Second
				n := startNode(t, cfg)
				waitFor(t, "the watch is open", func() bool { discovery.mu.Lock(); defer discovery.mu.Unlock(); return discovery.calls > 1 })
				c := dial(t, n.url)
				method, key := "POST", ""
				switch class {
				case "clip":
					method = "GET"
				case "tag":
					key = "Idempotency-Key: k\r\n"
				}
				fmt.Fprintf(c, "%s /%s/a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 9000\r\n%sContent-Length: 0\r\n\r\n", method, class, class, key)
				waitFor(t, "the attempt dials", func() bool { return n.BackendPool().OpenConns() == 1 })
				switch event {
				case "drain":
					sendDrain <- true
					waitFor(t, "the drain is applied", func() bool { return strings.Contains(string(n.MetricsText()), "app.registry_entries:0|g") })
				case "close":
					c.Close()
				case "half-close":
					c.CloseWrite()
				case "reset":
					c.SetLinger(0)
					c.Close()
				}
				if event != "drain" {
					waitFor(t, "the disconnect is noticed", func() bool { return n.Metrics().OpenRequests.Load() == 0 })
				}
				written := make(chan bool, 1)
				server.Release(t) // the kernel retransmits the SYN 1 s after the first
				go http.Serve(server, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { written <- true }))
				if event == "drain" {
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("the response: %v, %v", resp, err)
					}
				} else {
					time.Sleep(1100 * time.Millisecond)
				}
				select {
				case <-written:
					t.Error("the request was written")
				default:
				}
			})
		}
	}
}

// A node is ready and serves at once, even if discovery is down, hangs or rejects its calls.
func TestNodeIsReadyWithoutDiscovery(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	hangs := newFakeDiscovery(t, func(_ *fakeDiscovery, _ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	rejects := newFakeDiscovery(t, func(_ *fakeDiscovery, _ int, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for name, discovery := range map[string]string{"down": nodetest.ClosedAddr(t), "unreachable": nodetest.NewBlockedListener(t).Addr().String(),
		"hangs": addr(hangs.Server), "rejects": addr(rejects.Server)} {
		n := startNode(t, nodeConfig(t, discovery, backend.Addr))
		start := time.Now()
		waitFor(t, name, func() bool {
			resp, err := n.client.Get(n.url + "/up")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if status, _, _ := n.mustRequest(t, "clip", "one", 3*time.Second); status != 200 || time.Since(start) > 3*time.Second {
			t.Errorf("%s: %d after %v", name, status, time.Since(start))
		}
	}
}

// Idle clients fill the connection limit while discovery is down. Once discovery is back the
// node still reaches it and its servers, and other clients are served when the idle ones go.
func TestIdleClientsDoNotBlockDiscovery(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	var back atomic.Bool
	discovery := newFakeDiscovery(t, func(_ *fakeDiscovery, _ int, w http.ResponseWriter, r *http.Request) {
		switch {
		case !back.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Query().Get("from") == "8":
			<-r.Context().Done()
		default:
			fmt.Fprintf(w, `{"generation":8,"reset":true,"instances":[{"instanceId":"s-9","hostPort":%q,"lifecycle":"up"}]}`, backend.Addr)
		}
	})
	cfg := nodeConfig(t, addr(discovery.Server))
	n := startNode(t, cfg)
	n.front.SetMaxConns(20)
	var idle []net.Conn
	for range 60 { // three times the limit
		idle = append(idle, dial(t, n.url))
	}
	waitFor(t, "the limit is reached", func() bool { return n.front.Connections() == 20 })
	back.Store(true)
	waitFor(t, "the list is applied", func() bool { return strings.Contains(string(n.MetricsText()), "app.registry_entries:1|g") })
	for _, c := range idle {
		c.Close()
	}
	if status, _, _ := n.mustRequest(t, "clip", "good", 5*time.Second); status != 200 {
		t.Errorf("a well-behaved client: %d", status)
	}
	resp, err := n.client.Get(n.url + "/up")
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("/up: %v, %v", resp, err)
	}
}

// Hundreds of bad clients and servers with malformed responses leak no goroutines,
// descriptors, connections or heap. The test does not run in parallel, as it would count the
// resources of other tests.
func TestBadClientsLeakNoResources(t *testing.T) {
	var turn atomic.Int64
	var healthy atomic.Bool
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		switch kind := turn.Add(1) % 6; {
		case healthy.Load():
		case kind == 0:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel")
			return false
		case kind == 1:
			io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20))
			return false
		case kind == 2:
			return false
		case kind == 3:
			nodetest.WriteResponse(c, "200 OK", "one")
			return nodetest.WriteResponse(c, "200 OK", "two")
		}
		return nodetest.WriteResponse(c, "200 OK", "served")
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	texts := []string{"", "G", getRequest("x")[:50], getRequest("y"), strings.Repeat(getRequest("z"), 20), strings.Repeat("x", 9<<10), "\x00\x01\r\n\r\n",
		"POST /order/a HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 90\r\n\r\nhalf",
		strings.Repeat(getRequest("f"), 2*maxReadAhead/len(getRequest("f")))}
	wave := func(count int) {
		var all sync.WaitGroup
		for i := range count {
			all.Add(1)
			go func() {
				defer all.Done()
				c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
				if err != nil {
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
				io.WriteString(c, texts[i%len(texts)])
				switch i % 4 {
				case 0:
					c.(*net.TCPConn).SetLinger(0)
				case 1:
					c.(*net.TCPConn).CloseWrite()
					io.Copy(io.Discard, c)
				case 2:
					io.ReadAtLeast(c, make([]byte, 10), 10)
				}
			}()
		}
		all.Wait()
		waitFor(t, "all client connections are closed", func() bool { return n.front.Connections() == 0 && n.Metrics().OpenRequests.Load() == 0 })
		n.BackendPool().SetMaxConns(0) // closes idle connections
		waitFor(t, "all server connections are closed", func() bool { return n.BackendPool().OpenConns() == 0 })
		n.BackendPool().SetMaxConns(n.cfg.BackendSockets())
	}
	usage := func() (goroutines, descriptors int, heap uint64) {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fds, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return runtime.NumGoroutine(), len(fds), m.HeapAlloc
	}
	wave(60)
	goroutines, descriptors, heap := usage()
	for range 2 {
		wave(300)
	}
	waitFor(t, "goroutines and descriptors are back to the first count", func() bool {
		now, open, _ := usage()
		return now <= goroutines+4 && open <= descriptors+4
	})
	if _, _, now := usage(); now > 2*heap+4<<20 {
		t.Errorf("the heap grew from %d to %d bytes", heap, now)
	}
	healthy.Store(true)
	waitFor(t, "a well-behaved client is served", func() bool {
		status, _, _ := n.mustRequest(t, "clip", "good", 3*time.Second)
		return status == 200
	})
}
