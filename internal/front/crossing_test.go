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

// get is a whole request in the protocol's form.
func get(id string) string {
	return "GET /clip/a HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: clip\r\nRequest-Timeout-Ms: 60000\r\n\r\n"
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(addr, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nodetest.Patience))
	return c.(*net.TCPConn)
}

// wait waits until something holds.
func wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(nodetest.Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("in vain: %s", what)
		}
	}
}

// A client that has gone is noticed behind whatever it had sent beyond its open request,
// which ends at once.
func TestAClientThatIsGoneIsNoticedBehindWhatItHadSent(t *testing.T) {
	t.Parallel()
	arrived, closed := make(chan bool, 1), make(chan bool, 1)
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		io.Copy(io.Discard, c) // returns when the node gives the attempt up
		closed <- true
		return false
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	id := 0
	for name, behind := range map[string]string{"nothing": "", "a byte": "G", "half a request": get("x")[:40],
		"a whole one": get("y"), "many": strings.Repeat(get("z"), 3*maxReadAhead/len(get("z")))} {
		for how, leave := range map[string]func(*net.TCPConn){
			"close": func(c *net.TCPConn) { c.Close() }, "half-close": func(c *net.TCPConn) { c.CloseWrite() },
			"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() }} {
			id++
			c := dial(t, n.url)
			io.WriteString(c, get(fmt.Sprint(id)))
			<-arrived
			io.WriteString(c, behind)
			before := b.Count()
			leave(c)
			select {
			case <-closed:
			case <-time.After(nodetest.Patience):
				t.Fatalf("%s, then %s: the attempt was not given up", name, how)
			}
			if got := b.Count(); got != before {
				t.Errorf("%s, then %s: %d further attempts", name, how, got-before)
			}
		}
	}
}

// The same where the open request was read together with the one before; and no such
// connection is ended as a silent one.
func TestARequestReadTogetherWithTheOneBeforeIsOpen(t *testing.T) {
	t.Parallel()
	for _, what := range []string{"room", "shutdown", "close"} {
		arrived, release, closed := make(chan bool, 1), make(chan bool), make(chan bool, 1)
		b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("Request-Id") != "second" {
				return nodetest.Reply(c, "200 OK", "first")
			}
			arrived <- true
			if what == "close" {
				io.Copy(io.Discard, c) // returns when the node gives the attempt up
				closed <- true
				return false
			}
			<-release
			return nodetest.Reply(c, "200 OK", "second")
		})
		n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
		c := dial(t, n.url)
		io.WriteString(c, get("first")+get("second")+get("x")[:40])
		<-arrived
		r := bufio.NewReader(c)
		if resp, err := http.ReadResponse(r, nil); err != nil {
			t.Fatal(err)
		} else {
			io.Copy(io.Discard, resp.Body)
		}
		switch what {
		case "room":
			n.front.SetMaxConns(1)
			n.front.clients.makeRoom(time.Now().Add(time.Minute)) // all have been silent for long
		case "shutdown":
			n.stop()
			wait(t, "the drain goes on", func() bool { return n.front.draining.Load() })
			<-n.front.clients.closed
			n.front.clients.closeIdleSince(time.Now().Add(time.Minute))
		case "close":
			c.Close()
			select {
			case <-closed:
			case <-time.After(nodetest.Patience):
				t.Fatal("the attempt was not given up")
			}
			continue
		}
		close(release)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", what, err)
			continue
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "second" || err != nil {
			t.Errorf("%s: %d %q, %v", what, resp.StatusCode, body, err)
		}
	}
}

// Requests that a client sends ahead are answered in their order, each once.
func TestRequestsSentAheadAreAnsweredInOrder(t *testing.T) {
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
	io.WriteString(c, get("0"))
	<-first
	for i := 1; i < 20; i++ { // read while the first one is open, in pieces
		text := get(fmt.Sprint(i))
		io.WriteString(c, text[:i])
		io.WriteString(c, text[i:])
	}
	close(release)
	r := bufio.NewReader(c)
	for i := range 20 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != fmt.Sprint("answer to ", i) {
			t.Fatalf("answer %d: %d %q", i, resp.StatusCode, body)
		}
	}
}

// held is a front in which, once it is armed, the next connection that comes to a state is
// held there: net/http has accepted it, or has read its request, and has told nobody.
type held struct {
	*running
	armed   atomic.Int64 // 1 more than the state; 0: none
	reached chan net.Conn
	let     chan bool
}

func startHeld(t *testing.T, cfg *node.Config) *held {
	t.Helper()
	h := startHeldUnchecked(t, cfg)
	t.Cleanup(func() { h.stop(); <-h.Done(); h.keptInvariants(t) })
	return h
}

// startHeldUnchecked starts one that may break invariants.
func startHeldUnchecked(t *testing.T, cfg *node.Config) *held {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &held{running: &running{Node: node.New(cfg), url: "http://" + l.Addr().String(), stop: stop, ended: make(chan error, 1)},
		reached: make(chan net.Conn, 1), let: make(chan bool)}
	h.front = New(h.Node, l, cfg.Settings.Classes, cfg.ClientSockets(), cfg.BodyBudget())
	h.SetShutdownSchedule(quickSchedule)
	track := h.front.server.ConnState
	h.front.server.ConnState = func(c net.Conn, s http.ConnState) {
		if h.armed.CompareAndSwap(int64(s)+1, 0) {
			h.reached <- c
			<-h.let
		}
		track(c, s)
	}
	go func() { h.ended <- h.Run(ctx, h.front) }()
	t.Cleanup(func() { stop(); <-h.Done() })
	return h
}

// A request that has been read in the very moment in which connections are ended, to make
// room or at a shutdown, is served and answered: on a new connection and on a resting one.
func TestARequestReadInTheMomentOfAnEndIsAnswered(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		return nodetest.Reply(c, "200 OK", "answer to "+r.Header.Get("Request-Id"))
	})
	for _, rested := range []bool{false, true} {
		for _, end := range []string{"room", "shutdown"} {
			h := startHeld(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
			c := dial(t, h.url)
			r := bufio.NewReader(c)
			if rested {
				io.WriteString(c, get("before"))
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				wait(t, "the connection rests", func() bool {
					h.front.clients.mu.Lock()
					defer h.front.clients.mu.Unlock()
					return len(h.front.clients.idle) == 1
				})
			}
			h.armed.Store(int64(http.StateActive) + 1)
			io.WriteString(c, get("crossing"))
			<-h.reached // it has been read, and nobody was told yet
			if end == "room" {
				h.front.SetMaxConns(1)
				h.front.clients.makeRoom(time.Now().Add(time.Minute)) // all have been silent for long
			} else {
				h.stop()
				wait(t, "the drain goes on", func() bool { return h.front.draining.Load() })
				h.front.clients.closeIdleSince(time.Now().Add(time.Minute))
			}
			close(h.let)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Errorf("rested %v, %s: no answer: %v", rested, end, err)
				continue
			}
			if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "answer to crossing" || err != nil {
				t.Errorf("rested %v, %s: %d %q, %v", rested, end, resp.StatusCode, body, err)
			}
			if end == "shutdown" {
				if err := <-h.ended; err != nil {
					t.Error(err)
				}
			}
		}
	}
}

// A connection that is accepted just as the word to end comes, and that nobody has counted
// yet, is served before the process ends.
func TestAConnectionAcceptedInTheMomentOfAShutdownIsServed(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	h := startHeld(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	h.armed.Store(int64(http.StateNew) + 1)
	c := dial(t, h.url)
	io.WriteString(c, get("behind an accept"))
	<-h.reached
	h.stop()
	<-h.front.clients.closed
	select { // what does not wait for it has all the time to end
	case err := <-h.ended:
		t.Errorf("it ended, %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(h.let)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "served" || err != nil {
		t.Errorf("%d %q, %v", resp.StatusCode, body, err)
	}
}

// A connection that waits for room as the word to end comes is served too: resting ones
// make room for it while the listener is open.
func TestWhoWaitsForRoomAtAShutdownIsServed(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: minIdleAge * 3 / 4, ServeUntil: minIdleAge, AnswerBy: 2 * minIdleAge, ExitBy: 2 * minIdleAge})
	for _, id := range []string{"rests", "is let in by an accept that had room", "waits"} {
		c := dial(t, n.url)
		io.WriteString(c, get(strings.ReplaceAll(id, " ", "-")))
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
		n.front.SetMaxConns(1) // of which the first, which rests, has all from here on
	}
}

// What comes once a connection was ended is not handed out: its client, which sees the end
// and no answer, sends it anew, and it would run twice.
func TestWhatComesAfterTheEndIsNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns(l, 2, figures.New(nil), eventlog.New(), nil)
	defer conns.Close()
	theirs := dial(t, l.Addr().String())
	got, err := conns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ours := got.(*clientConn)
	conns.onConnState(ours, http.StateNew)
	conns.onConnState(ours, http.StateActive)
	if ours.closeIfIdle(figures.ClosedDraining, true) {
		t.Error("ended with a request open")
	}
	conns.onConnState(ours, http.StateIdle)
	// The read has the bytes in its hands when the end comes: with the lock held they have
	// left the kernel, and it waits to hand them out.
	read := make(chan error, 1)
	for crossed := false; !crossed; {
		go func() {
			_, err := ours.Read(make([]byte, 64))
			read <- err
		}()
		time.Sleep(time.Millisecond) // mostly it waits for bytes by now; if not, once more
		ours.mu.Lock()
		io.WriteString(theirs, "G")
		for end := time.Now().Add(100 * time.Millisecond); !crossed && time.Now().Before(end); time.Sleep(time.Millisecond) {
			crossed = bounded.OpenAndIdle(ours.TCPConn)
		}
		ours.closed = crossed
		ours.mu.Unlock()
		if err := <-read; crossed != errors.Is(err, net.ErrClosed) {
			t.Errorf("read in the moment of the end: %v", err)
		}
	}
}

// An answer that ends its connection gets through although its client has sent more, which
// nobody reads, and although the system still holds it back.
func TestAnAnswerOutlivesACloseOverUnreadBytes(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns(l, 2, figures.New(nil), eventlog.New(), nil)
	defer conns.Close()
	theirs := dial(t, l.Addr().String())
	got, err := conns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ours := got.(*clientConn)
	conns.onConnState(ours, http.StateNew)
	io.WriteString(theirs, get("unread"))
	wait(t, "the bytes are there", func() bool { return !bounded.OpenAndIdle(ours.TCPConn) })
	ours.SetNoDelay(false)
	answer := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	for _, piece := range strings.SplitAfter(answer, "\n") {
		io.WriteString(ours, piece)
	}
	ours.Close()
	conns.onConnState(ours, http.StateClosed)
	if conns.count() != 1 {
		t.Error("its descriptor is no more counted")
	}
	if raw, err := io.ReadAll(theirs); err != nil || string(raw) != answer {
		t.Errorf("%q, %v", raw, err)
	}
	theirs.Close()
	wait(t, "the connection is gone", func() bool { return conns.count() == 0 })
}

// A connection to a server that comes up late leaves the server no more time than the
// client has.
func TestTheTimeToldIsWhatIsLeft(t *testing.T) {
	t.Parallel()
	server := nodetest.NewHeldListener(t)
	cfg := nodeConfig(t, nodetest.ClosedAddr(t), server.Addr().String())
	cfg.Settings.ConnectTimeout = 5 * time.Second
	n := startNode(t, cfg)
	told := make(chan string, 1)
	from := time.Now()
	answered := make(chan time.Time, 1)
	go func() {
		n.ask(context.Background(), "clip", "one", 10*time.Second)
		answered <- time.Now()
	}()
	wait(t, "the attempt dials", func() bool { return n.BackendPool().OpenConns() == 1 })
	server.LetGo(t) // the kernel knocks again 1 s after the first time
	go http.Serve(server, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("Request-Timeout-Ms")
	}))
	took := (<-answered).Sub(from)
	var ms int64
	fmt.Sscan(<-told, &ms)
	if left := 10*time.Second - took; time.Duration(ms)*time.Millisecond > left+100*time.Millisecond || ms <= 0 {
		t.Errorf("told %d ms with %v left", ms, left)
	}
}

// A repeat of a keyed request whose connection comes up after the end of its window is not
// written: its server's group may have forgotten the first one.
func TestNoRepeatIsWrittenAfterItsWindow(t *testing.T) {
	t.Parallel()
	const window = 700 * time.Millisecond
	ran, reset := make(chan bool, 1), make(chan bool)
	first := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		ran <- true
		<-reset
		return false // it may have run
	})
	second, more := nodetest.NewHeldListener(t), make(chan bool)
	lists := newLists(t, func(_ *lists, _ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("hold_ms") == "0" {
			io.WriteString(w, `{"generation":7,"reset":false,"instances":[]}`)
			return
		}
		select {
		case <-more:
			fmt.Fprintf(w, `{"generation":8,"reset":false,"instances":[{"instanceId":"s-1","hostPort":%q,"cell":0,"lifecycle":"up"}]}`, second.Addr())
		case <-r.Context().Done():
		}
	})
	cfg, err := node.ParseConfig([]byte(strings.Replace(nodetest.ConfigJSON(addr(lists.Server), first.Addr),
		`"dedup_window_ns":8000000000`, fmt.Sprintf(`"dedup_window_ns":%d`, window), 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.ConnectTimeout = 5 * time.Second
	n := startNode(t, cfg)
	status := make(chan int, 1)
	from := time.Now()
	go func() {
		got, _, _, _ := n.ask(context.Background(), "tag", "one", 4*time.Second)
		status <- got
	}()
	<-ran
	more <- true
	wait(t, "the second server is listed", func() bool { return strings.Contains(string(n.Figures()), "app.registry_entries:2|g") })
	close(reset) // the repeat begins to dial
	if dialled := time.Since(from); dialled > window {
		t.Fatalf("the crossing was not forced: the machine took %v", dialled)
	}
	written := make(chan bool, 1)
	time.Sleep(time.Until(from.Add(window + 50*time.Millisecond))) // the kernel knocks again 1 s after the first time
	second.LetGo(t)
	go http.Serve(second, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { written <- true }))
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("answered %d", got)
	}
	select {
	case <-written:
		t.Error("a repeat was written after its window")
	case <-time.After(100 * time.Millisecond):
	}
}

// What changes while a connection to a server comes up counts: nothing is written to a
// server that drains by then, nor for a client that has gone. The other classes' requests
// are not lost: a drain sends them elsewhere, or they are refused.
func TestNothingIsWrittenForWhatEndedWhileItDialled(t *testing.T) {
	for _, class := range []string{"clip", "tag", "order"} {
		for _, what := range []string{"drain", "close", "half-close", "reset"} {
			t.Run(class+" "+what, func(t *testing.T) {
				t.Parallel()
				server, tell := nodetest.NewHeldListener(t), make(chan bool)
				lists := newLists(t, func(_ *lists, call int, w http.ResponseWriter, r *http.Request) {
					if call == 1 {
						io.WriteString(w, `{"generation":7,"reset":false,"instances":[]}`)
						return
					}
					select {
					case <-tell:
						io.WriteString(w, `{"generation":8,"reset":false,"instances":[{"instanceId":"s-0","lifecycle":"removed"}]}`)
					case <-r.Context().Done():
					}
				})
				cfg := nodeConfig(t, addr(lists.Server), server.Addr().String())
				cfg.Settings.ConnectTimeout = 5 * time.Second
				n := startNode(t, cfg)
				wait(t, "the watch goes on", func() bool { lists.mu.Lock(); defer lists.mu.Unlock(); return lists.calls > 1 })
				c := dial(t, n.url)
				method, key := "POST", ""
				switch class {
				case "clip":
					method = "GET"
				case "tag":
					key = "Idempotency-Key: k\r\n"
				}
				fmt.Fprintf(c, "%s /%s/a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 9000\r\n%sContent-Length: 0\r\n\r\n", method, class, class, key)
				wait(t, "it dials", func() bool { return n.BackendPool().OpenConns() == 1 })
				switch what {
				case "drain":
					tell <- true
					wait(t, "the drain is known", func() bool { return strings.Contains(string(n.Figures()), "app.registry_entries:0|g") })
				case "close":
					c.Close()
				case "half-close":
					c.CloseWrite()
				case "reset":
					c.SetLinger(0)
					c.Close()
				}
				if what != "drain" {
					wait(t, "its departure is known", func() bool { return n.Metrics().Open.Load() == 0 })
				}
				written := make(chan bool, 1)
				server.LetGo(t) // the kernel knocks again 1 s after the first time
				go http.Serve(server, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { written <- true }))
				if what == "drain" {
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("the answer: %v, %v", resp, err)
					}
				} else {
					time.Sleep(1100 * time.Millisecond)
				}
				select {
				case <-written:
					t.Error("it was written")
				default:
				}
			})
		}
	}
}

// A node serves at once, and says so, though discovery is down, hangs or turns it away.
func TestItIsReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	hangs := newLists(t, func(_ *lists, _ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	away := newLists(t, func(_ *lists, _ int, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for name, at := range map[string]string{"down": nodetest.ClosedAddr(t), "cut off": nodetest.NewHeldListener(t).Addr().String(),
		"hangs": addr(hangs.Server), "turns away": addr(away.Server)} {
		n := startNode(t, nodeConfig(t, at, b.Addr))
		from := time.Now()
		wait(t, name, func() bool {
			resp, err := n.client.Get(n.url + "/up")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if status, _, _ := n.mustAsk(t, "clip", "one", 3*time.Second); status != 200 || time.Since(from) > 3*time.Second {
			t.Errorf("%s: %d after %v", name, status, time.Since(from))
		}
	}
}

// Idle clients fill the node's descriptors while discovery is down: once that is back the
// node still reaches it and its servers, and good clients get through when the others go.
func TestIdleClientsKeepNobodyFromDiscovery(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	var back atomic.Bool
	l := newLists(t, func(_ *lists, _ int, w http.ResponseWriter, r *http.Request) {
		switch {
		case !back.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Query().Get("from") == "8":
			<-r.Context().Done()
		default:
			fmt.Fprintf(w, `{"generation":8,"reset":true,"instances":[{"instanceId":"s-9","hostPort":%q,"lifecycle":"up"}]}`, b.Addr)
		}
	})
	cfg := nodeConfig(t, addr(l.Server))
	n := startNode(t, cfg)
	n.front.SetMaxConns(20)
	var idle []net.Conn
	for range 60 { // three times as many as there is room for
		idle = append(idle, dial(t, n.url))
	}
	wait(t, "they fill it", func() bool { return n.front.Connections() == 20 })
	back.Store(true)
	wait(t, "the list", func() bool { return strings.Contains(string(n.Figures()), "app.registry_entries:1|g") })
	for _, c := range idle {
		c.Close()
	}
	if status, _, _ := n.mustAsk(t, "clip", "good", 5*time.Second); status != 200 {
		t.Errorf("a good client: %d", status)
	}
	resp, err := n.client.Get(n.url + "/up")
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("/up: %v, %v", resp, err)
	}
}

// Bad clients by the hundred, servers that spoil answers and a discovery that fails leave
// nothing behind: no goroutine, no descriptor, no connection, no heap. (Not beside other
// tests, whose own it would count.)
func TestBadClientsLeaveNothingBehind(t *testing.T) {
	var turn atomic.Int64
	var well atomic.Bool
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		switch kind := turn.Add(1) % 6; {
		case well.Load():
		case kind == 0:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel")
			return false
		case kind == 1:
			io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20))
			return false
		case kind == 2:
			return false
		case kind == 3:
			nodetest.Reply(c, "200 OK", "one")
			return nodetest.Reply(c, "200 OK", "two")
		}
		return nodetest.Reply(c, "200 OK", "served")
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	texts := []string{"", "G", get("x")[:50], get("y"), strings.Repeat(get("z"), 20), strings.Repeat("x", 9<<10), "\x00\x01\r\n\r\n",
		"POST /order/a HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 90\r\n\r\nhalf",
		strings.Repeat(get("f"), 2*maxReadAhead/len(get("f")))}
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
				c.SetDeadline(time.Now().Add(nodetest.Patience))
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
		wait(t, "all connections have ended", func() bool { return n.front.Connections() == 0 && n.Metrics().Open.Load() == 0 })
		n.BackendPool().SetMaxConns(0) // closes what rests
		wait(t, "those to servers too", func() bool { return n.BackendPool().OpenConns() == 0 })
		n.BackendPool().SetMaxConns(n.cfg.BackendSockets())
	}
	left := func() (goroutines, descriptors int, heap uint64) {
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
	g, d, h := left()
	for range 2 {
		wave(300)
	}
	wait(t, "goroutines and descriptors are as many as before", func() bool {
		now, open, _ := left()
		return now <= g+4 && open <= d+4
	})
	if _, _, now := left(); now > 2*h+4<<20 {
		t.Errorf("the heap grew from %d to %d bytes", h, now)
	}
	well.Store(true)
	wait(t, "a good client is served", func() bool {
		status, _, _ := n.mustAsk(t, "clip", "good", 3*time.Second)
		return status == 200
	})
}
