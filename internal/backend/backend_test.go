package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/bounded"
	"ivylock/internal/nodetest"
)

// longAgo is the age of connections that are followed by so few waits that requests wait.
const longAgo = time.Hour

// newPool returns a pool without a reuse delay.
func newPool() *Pool {
	p := NewPool(375, 250*time.Millisecond, time.Minute)
	p.reuseDelay = 0
	return p
}

// The caller learns that a body is still to come, also of a short one, and of none that has come.
func TestPendingBodyIsReported(t *testing.T) {
	const body = "answer"
	for pause, want := range map[time.Duration]int{0: 0, 100 * time.Millisecond: 1} {
		b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
			if pause == 0 {
				return nodetest.WriteResponse(c, "200 OK", body)
			}
			io.WriteString(c, head)
			time.Sleep(pause)
			_, err := io.WriteString(c, body)
			return err == nil
		})
		p := newPool()
		server := &Server{addr: b.Addr}
		p.Add(server)
		reported := 0
		res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil), OnPendingBody: func() { reported++ }, OnStream: func(*Stream) {}})
		if res.Code != balance.OK || string(res.Body) != body || reported != want {
			t.Errorf("after %v: outcome %d, %q, reported %d times", pause, res.Code, res.Body, reported)
		}
	}
}

// Guards against telling a server a time limit that was computed long before the request is written.
func TestRequestThatWasHeldUpIsPreparedAgain(t *testing.T) {
	type received struct{ prepared, body string }
	requests := make(chan received, 1)
	b := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests <- received{r.Header.Get("Prepared"), string(body)}
	}))
	defer b.Close()
	p := newPool()
	server := &Server{addr: b.Listener.Addr().String()}
	p.Add(server)
	for pause, want := range map[time.Duration]string{0: "1", 4 * maxPreparationAge: "2"} {
		prepared := 0
		call := Call{Request: NewRequest("POST", "/order", []byte("body")), MayWrite: func() bool {
			time.Sleep(pause)
			return true
		}, Prepare: func(r *http.Request) {
			prepared++
			r.Header.Set("Prepared", fmt.Sprint(prepared))
		}}
		if res := p.Exchange(context.Background(), server, call); res.Code != balance.OK {
			t.Fatalf("after %v: outcome %d, %v", pause, res.Code, res.Err)
		}
		if got := <-requests; got != (received{want, "body"}) {
			t.Errorf("after %v: %+v", pause, got)
		}
	}
}

func TestExchangeSendsNothingUnlessMayWrite(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	p := newPool()
	server := &Server{addr: b.Addr}
	p.Add(server)
	req := NewRequest("GET", "/clip", nil)
	if res := p.Exchange(context.Background(), server, Call{Request: req, MayWrite: func() bool { return false }}); res.Code != balance.Moot {
		t.Errorf("got outcome %d", res.Code)
	}
	if b.RequestCount() != 0 {
		t.Error("the request was sent")
	}
	if res := p.Exchange(context.Background(), server, Call{Request: req, MayWrite: func() bool { return true }}); res.Code != balance.OK || p.open != 1 {
		t.Errorf("got outcome %d, %d connections", res.Code, p.open)
	}
}

// Guards against using an attempt on a connection that is known to be closed.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		nodetest.WriteResponse(c, "200 OK", "")
		return false // closes without "Connection: close"
	})
	p := newPool()
	server := &Server{addr: b.Addr}
	p.Add(server)
	for i := range 3 {
		res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
		if res.Code != balance.OK {
			t.Fatalf("exchange %d: outcome %d", i, res.Code)
		}
		for end := time.Now().Add(nodetest.WaitTimeout); bounded.OpenAndIdle(server.idle[0].Conn) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	if p.open != 1 || b.RequestCount() != 3 {
		t.Errorf("%d connections open, %d requests sent", p.open, b.RequestCount())
	}
}

// Guards against matching a duplicate response to the next request on its connection: no
// connection is reused before the reuse delay.
func TestLateDuplicateResponseIsNotMatchedToNextRequest(t *testing.T) {
	lastURI := map[net.Conn]string{}
	var mu sync.Mutex
	serve := func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		previous := lastURI[c]
		lastURI[c] = r.RequestURI
		mu.Unlock()
		if previous != "" { // late duplicate for the previous request
			nodetest.WriteResponse(c, "200 OK", previous)
		}
		if r.RequestURI == "/twice" {
			nodetest.WriteResponse(c, "200 OK", "/twice")
		}
		return nodetest.WriteResponse(c, "200 OK", r.RequestURI)
	}
	p := newPool()
	p.reuseDelay = time.Hour
	one, other := &Server{addr: nodetest.NewScriptedServer(t, serve).Addr}, &Server{addr: nodetest.NewScriptedServer(t, serve).Addr}
	p.Add(one)
	p.Add(other)
	for i, server := range []*Server{one, one, other, other, one, other} {
		id := fmt.Sprint("/", i)
		if i == 0 {
			id = "/twice"
		}
		if res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", id, nil)}); string(res.Body) != id {
			t.Errorf("%s got outcome %d, %q", id, res.Code, res.Body)
		}
	}
}

// Guards against a client's getting another client's response: the first duplicate that a
// server sends, 5 ms late and without any sign before, is matched to no request or probe.
func TestFirstLateDuplicateIsNotMatchedToNextRequest(t *testing.T) {
	const copyDelay, requests = 5 * time.Millisecond, 4
	for _, connAge := range []time.Duration{0, longAgo} { // requests use new connections, or wait
		copySent := make(chan bool, requests+1)
		b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			if r.RequestURI != "/0" { // the copy arrives before this response
				<-copySent
			}
			time.AfterFunc(copyDelay, func() {
				nodetest.WriteResponse(c, "200 OK", r.RequestURI)
				copySent <- true
			})
			return nodetest.WriteResponse(c, "200 OK", r.RequestURI)
		})
		p := newPool()
		p.reuseDelay = 40 * copyDelay // the copy may be late on a busy machine
		server := &Server{addr: b.Addr}
		p.Add(server)
		for i := range requests {
			uri := fmt.Sprint("/", i)
			if res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", uri, nil)}); string(res.Body) != uri {
				t.Errorf("%s got outcome %d, %q", uri, res.Code, res.Body)
			}
			server.connOpenedAt = time.Now().Add(-connAge)
		}
		if res := p.Probe(server); string(res.Body) != "/metrics/load" {
			t.Errorf("a probe got outcome %d, %q", res.Code, res.Body)
		}
	}
}

// The reuse delay always applies. Requests wait for it if few others have, else they open
// connections, and a connection whose delay is over is preferred to a new one.
func TestReuseDelayAlwaysApplies(t *testing.T) {
	const requests = 10
	for _, testCase := range []struct {
		reuseDelay, connAge time.Duration
		open                int
	}{{time.Hour, 0, requests}, {20 * time.Millisecond, longAgo, 1}, {0, 0, 1}} {
		var mu sync.Mutex
		respondedAt := map[net.Conn]time.Time{}
		b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			if at, used := respondedAt[c]; used && time.Since(at) < testCase.reuseDelay {
				t.Errorf("reuse delay %v: a connection was reused after %v", testCase.reuseDelay, time.Since(at))
			}
			respondedAt[c] = time.Now()
			return nodetest.WriteResponse(c, "200 OK", "")
		})
		p := newPool()
		p.reuseDelay = testCase.reuseDelay
		server := &Server{addr: b.Addr}
		p.Add(server)
		for range requests {
			p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)})
			server.connOpenedAt = time.Now().Add(-testCase.connAge)
		}
		if p.open != testCase.open {
			t.Errorf("reuse delay %v: %d connections are open", testCase.reuseDelay, p.open)
		}
	}
}

// Requests that follow one another closely do not wait for the same connection for ever: after
// a few waits in a row there is one more, within the limit.
func TestRepeatedWaitsForReuseOpenConnection(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	for _, testCase := range []struct{ maxConns, minOpen, maxOpen int }{{375, 2, 4}, {1, 1, 1}} {
		p := newPool()
		p.reuseDelay, p.maxConns = reuseDelay, testCase.maxConns
		server := &Server{addr: b.Addr}
		p.Add(server)
		for range 12 {
			if res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.OK {
				t.Errorf("limit %d: outcome %d", testCase.maxConns, res.Code)
			}
		}
		if p.open < testCase.minOpen || p.open > testCase.maxOpen {
			t.Errorf("limit %d: %d connections are open", testCase.maxConns, p.open)
		}
	}
}

// A request that ends while it waits for reuse is not sent, and its connection stays usable.
func TestRequestThatEndsDuringReuseDelayIsNotSent(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	p := newPool()
	p.reuseDelay = time.Minute
	server := &Server{addr: b.Addr}
	p.Add(server)
	exchange := func(ctx context.Context) balance.OutcomeCode {
		return p.Exchange(ctx, server, Call{Request: NewRequest("GET", "/clip", nil)}).Code
	}
	if code := exchange(context.Background()); code != balance.OK {
		t.Fatalf("outcome %d", code)
	}
	server.connOpenedAt = time.Now().Add(-longAgo)
	for _, cause := range []error{context.Canceled, context.DeadlineExceeded} {
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(10*time.Millisecond, func() { cancel(cause) })
		if code := exchange(ctx); code != balance.Moot {
			t.Errorf("%v: outcome %d", cause, code)
		}
	}
	if b.RequestCount() != 1 || len(server.idle) != 1 || p.open != 1 {
		t.Errorf("%d requests sent, %d idle of %d connections", b.RequestCount(), len(server.idle), p.open)
	}
}

// A connection that carried bytes after a response, a response that is not HTTP, or bytes
// while it was idle or waited for reuse, is not reused.
func TestConnectionsWithUnsolicitedBytesAreNotReused(t *testing.T) {
	for name, text := range map[string]string{"bytes after the response": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "not HTTP": "hello\r\n"} {
		b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { _, err := io.WriteString(c, text); return err == nil })
		p := newPool()
		server := &Server{addr: b.Addr}
		p.Add(server)
		p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)})
		if p.open != 0 {
			t.Errorf("%s: not detected", name)
		}
	}
	for _, reuseDelay := range []time.Duration{0, 200 * time.Millisecond} {
		late, written := make(chan bool), make(chan bool, 2)
		var lastConn atomic.Value
		b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			if last := lastConn.Swap(c); last == c {
				t.Errorf("reuse delay %v: bytes on an idle connection: it is reused", reuseDelay)
			}
			nodetest.WriteResponse(c, "200 OK", "")
			<-late
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			written <- true
			return err == nil
		})
		p := newPool()
		p.reuseDelay = reuseDelay
		server := &Server{addr: b.Addr}
		p.Add(server)
		p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)})
		server.connOpenedAt = time.Now().Add(-longAgo)
		close(late)
		if reuseDelay == 0 { // otherwise the bytes arrive during the wait
			<-written
		}
		for end := time.Now().Add(nodetest.WaitTimeout); reuseDelay == 0 && !bounded.HasUnread(server.idle[0].Conn) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.OK {
			t.Errorf("reuse delay %v: outcome %d", reuseDelay, res.Code)
		}
	}
}

func TestPoolKeepsConnectionLimitAndDropsOldIncarnations(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	p := newPool()
	p.maxConns = 1
	one, two := &Server{ID: 1, addr: b.Addr}, &Server{ID: 2, addr: b.Addr}
	p.Add(one)
	p.Add(two)
	allow := func() bool { return true }
	for _, server := range []*Server{one, two} { // the idle connection to one is closed for two
		if res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: allow}); res.Code != balance.OK {
			t.Fatalf("server %d: outcome %d", server.ID, res.Code)
		}
	}
	if len(one.idle) != 0 || len(two.idle) != 1 || p.open != 1 {
		t.Errorf("idle %d and %d, open %d", len(one.idle), len(two.idle), p.open)
	}
	reserved, _ := p.acquire(context.Background(), two)
	if res := p.Exchange(context.Background(), one, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: allow}); res.Code != balance.Moot {
		t.Errorf("at the connection limit: outcome %d", res.Code)
	}
	p.Update(two, b.Addr, 5) // the server has restarted
	p.release(two, reserved.conn)
	if p.open != 0 || len(two.idle) != 0 {
		t.Errorf("a connection to the old process was kept")
	}
	p.Exchange(context.Background(), two, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: allow})
	p.idleTimeout = 0
	p.CloseExpired()
	if p.open != 0 {
		t.Errorf("%d connections left after the idle timeout", p.open)
	}
}

// Guards against waiting for the deadline when no valid response can come, and against
// treating a server that responds as failed.
func TestMalformedResponseIsServerErrorNotReset(t *testing.T) {
	for name, text := range map[string]string{
		"noise":       "\x00\x7fhello",
		"half a head": "HTTP/1.1 200 OK\r\nContent-Le",
		"huge":        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\npart",
		"no length":   "HTTP/1.1 200 OK\r\n\r\npart",
		"endless":     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 4<<20),
	} {
		b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { fmt.Fprint(c, text); return true })
		p := newPool()
		server := &Server{addr: b.Addr}
		p.Add(server)
		res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
		if res.Code != balance.ServerError || res.Body != nil || p.open != 0 {
			t.Errorf("%s: outcome %d %q, %d open", name, res.Code, res.Body, p.open)
		}
	}
}

// Guards against giving up a server that pauses within a body: only the attempt's own time limit ends
// the wait, and the server then counts as silent, not as broken.
func TestUnfinishedBodyIsAwaitedUntilTimeLimit(t *testing.T) {
	const limit = 1200 * time.Millisecond
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
		return true
	})
	p := newPool()
	server := &Server{addr: b.Addr}
	p.Add(server)
	ctx, cancel := context.WithTimeoutCause(context.Background(), limit, context.DeadlineExceeded)
	defer cancel()
	start := time.Now()
	res := p.Exchange(ctx, server, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
	if took := time.Since(start); res.Code != balance.TimedOut || p.open != 0 || took < limit || took > 2*limit {
		t.Errorf("outcome %d after %v, %d open", res.Code, took, p.open)
	}
}

// Guards against sending a request to a process that has come up in the place of the chosen one: while its
// connection was opened, or waited for its reuse, the server was restarted, moved or replaced.
func TestRequestIsNotSentToSuccessorOfChosenProcess(t *testing.T) {
	for name, change := range map[string]func(p *Pool, server *Server, addr string){
		"restarted": func(p *Pool, server *Server, addr string) { p.Update(server, addr, 2) },
		"moved":     func(p *Pool, server *Server, addr string) { p.Update(server, "127.0.0.1:1", 1) },
		"removed":   func(p *Pool, server *Server, _ string) { p.Remove(server) },
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %v", name, reused), func(t *testing.T) {
				b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "done") })
				p := newPool()
				server := &Server{}
				p.Add(server)
				p.Update(server, b.Addr, 1)
				written := 0
				call := func() Call {
					return Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }, OnWritten: func() { written++ }}
				}
				if reused { // the next exchange waits for the reuse of this one's connection
					p.reuseDelay = 60 * time.Millisecond
					if res := p.Exchange(context.Background(), server, call()); res.Code != balance.OK {
						t.Fatalf("outcome %d", res.Code)
					}
					time.AfterFunc(p.reuseDelay/4, func() { change(p, server, b.Addr) })
				} else {
					dial := p.dial
					p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
						conn, err := dial(ctx, addr)
						change(p, server, b.Addr)
						return conn, err
					}
				}
				before := written
				if res := p.Exchange(context.Background(), server, call()); res.Code != balance.Moot || written != before {
					t.Errorf("outcome %d, written %d times", res.Code, written-before)
				}
				if p.OpenConns() != 0 {
					t.Errorf("%d connections are open", p.OpenConns())
				}
			})
		}
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return nodetest.WriteResponse(c, "200 OK", "done")
	})
	p := newPool()
	server := &Server{addr: b.Addr}
	p.Add(server)
	for range 2 {
		res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
		if res.Code != balance.OK || string(res.Body) != "done" || p.open != 1 {
			t.Errorf("outcome %d %q, %d open", res.Code, res.Body, p.open)
		}
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	p := newPool()
	server := &Server{addr: nodetest.ClosedAddr(t)}
	p.Add(server)
	res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
	if res.Code != balance.ConnectFailed || p.open != 0 {
		t.Errorf("outcome %d, %d open", res.Code, p.open)
	}
}

func TestProbeReadsLoadReport(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/metrics/load" {
			return nodetest.WriteResponse(c, "404 Not Found", "")
		}
		return nodetest.WriteResponse(c, "200 OK", "inflight=3,queue=1")
	})
	p := newPool()
	server := &Server{addr: b.Addr}
	p.Add(server)
	if res := p.Probe(server); res.Code != balance.OK || res.Report == nil || res.Report.InFlight != 3 {
		t.Errorf("got %+v", res)
	}
}

// Guards against sending on connections that the server closes at that moment: whatever idle timeout
// is set, they are closed a little earlier than servers may.
func TestIdleTimeoutStaysBelowThatOfServers(t *testing.T) {
	p := NewPool(10, time.Second, 5*time.Second)
	for set, want := range map[time.Duration]time.Duration{time.Second: time.Second, 5 * time.Second: 4 * time.Second, time.Minute: 4 * time.Second} {
		if p.SetIdleTimeout(set); p.idleTimeout != want {
			t.Errorf("set to %v: %v, want %v", set, p.idleTimeout, want)
		}
	}
}
