package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/bounded"
	"ivylock/internal/nodetest"
)

// newPool makes a pool whose connections need no rest.
func newPool() *Pool {
	p := NewPool(375, 250*time.Millisecond, time.Minute)
	p.settle = 0
	return p
}

func TestExchangeLooksAgainBeforeTheFirstByte(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "") })
	p := newPool()
	to := &Server{addr: b.Addr}
	p.Add(to)
	req := NewRequest("GET", "/clip", nil)
	if res := p.Exchange(context.Background(), to, Call{Request: req, MayWrite: func() bool { return false }}); res.Code != balance.Moot {
		t.Errorf("got outcome %d", res.Code)
	}
	if b.Count() != 0 {
		t.Error("something was sent")
	}
	if res := p.Exchange(context.Background(), to, Call{Request: req, MayWrite: func() bool { return true }}); res.Code != balance.OK || p.open != 1 {
		t.Errorf("got outcome %d, %d connections", res.Code, p.open)
	}
}

// Guards against an attempt that is lost on a connection which is known to be dead.
func TestADeadIdleConnectionIsNotUsed(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		nodetest.Reply(c, "200 OK", "")
		return false // closes without having said so
	})
	p := newPool()
	to := &Server{addr: b.Addr}
	p.Add(to)
	for i := range 3 {
		res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
		if res.Code != balance.OK {
			t.Fatalf("exchange %d: outcome %d", i, res.Code)
		}
		for end := time.Now().Add(nodetest.Patience); bounded.OpenAndIdle(to.idle[0].Conn) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	if p.open != 1 || b.Count() != 3 {
		t.Errorf("%d connections open, %d requests sent", p.open, b.Count())
	}
}

// A second answer that is still on its way when its connection is used again would be
// taken for the next request's: once a server has sent one, connections to all rest first.
func TestALateSecondAnswerIsNotTheNextRequests(t *testing.T) {
	last := map[net.Conn]string{}
	var mu sync.Mutex
	serve := func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		before := last[c]
		last[c] = r.RequestURI
		mu.Unlock()
		if before != "" { // the late one to the request before
			nodetest.Reply(c, "200 OK", before)
		}
		if r.RequestURI == "/twice" {
			nodetest.Reply(c, "200 OK", "/twice")
		}
		return nodetest.Reply(c, "200 OK", r.RequestURI)
	}
	p := newPool()
	p.settle = time.Hour
	one, other := &Server{addr: nodetest.NewRawServer(t, serve).Addr}, &Server{addr: nodetest.NewRawServer(t, serve).Addr}
	p.Add(one)
	p.Add(other)
	for i, to := range []*Server{one, one, other, other, one, other} {
		id := fmt.Sprint("/", i)
		if i == 0 {
			id = "/twice"
		}
		if res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", id, nil)}); string(res.Body) != id {
			t.Errorf("%s got outcome %d, %q", id, res.Code, res.Body)
		}
		if i == 0 { // its second answer may come a moment later
			p.spoilt()
		}
	}
}

// Where nothing speaks for such answers no connection is opened for it: the one that has
// rested longest is used, and one that has rested before a new one.
func TestConnectionsRestOnlyWithCause(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "") })
	for _, x := range []struct {
		settle time.Duration
		spoilt bool
		open   int
	}{{time.Hour, false, 1}, {0, false, 1}, {time.Hour, true, 10}, {0, true, 1}} {
		p := newPool()
		p.settle = x.settle
		to := &Server{addr: b.Addr}
		p.Add(to)
		if x.spoilt {
			p.spoilt()
		}
		for range 10 {
			p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil)})
		}
		if p.open != x.open {
			t.Errorf("%+v: %d connections are open", x, p.open)
		}
	}
}

// What shows that a server sends such things: something behind an answer, something that is no
// answer, bytes on a connection that rests.
func TestWhatShowsThatAnswersAreSpoilt(t *testing.T) {
	for name, text := range map[string]string{"behind": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "none": "hello\r\n"} {
		b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { _, err := io.WriteString(c, text); return err == nil })
		p := newPool()
		to := &Server{addr: b.Addr}
		p.Add(to)
		p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil)})
		if p.spoiltAt.IsZero() {
			t.Errorf("%s: not seen", name)
		}
	}
	late := make(chan bool)
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		nodetest.Reply(c, "200 OK", "")
		<-late
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		return err == nil
	})
	p := newPool()
	to := &Server{addr: b.Addr}
	p.Add(to)
	p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil)})
	close(late)
	for end := time.Now().Add(nodetest.Patience); !bounded.HasUnread(to.idle[0].Conn) && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if p.take(to); p.spoiltAt.IsZero() {
		t.Error("late: not seen")
	}
}

func TestPoolKeepsItsBudgetAndForgetsOldProcesses(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "") })
	p := newPool()
	p.most = 1
	one, two := &Server{ID: 1, addr: b.Addr}, &Server{ID: 2, addr: b.Addr}
	p.Add(one)
	p.Add(two)
	yes := func() bool { return true }
	for _, to := range []*Server{one, two} { // the idle connection to one makes room for two
		if res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: yes}); res.Code != balance.OK {
			t.Fatalf("backend %d: outcome %d", to.ID, res.Code)
		}
	}
	if len(one.idle) != 0 || len(two.idle) != 1 || p.open != 1 {
		t.Errorf("idle %d and %d, open %d", len(one.idle), len(two.idle), p.open)
	}
	busy, _, _, _ := p.take(two)
	if res := p.Exchange(context.Background(), one, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: yes}); res.Code != balance.Moot {
		t.Errorf("with the budget spent: outcome %d", res.Code)
	}
	p.Update(two, b.Addr, 5) // it has restarted meanwhile
	p.put(two, busy)
	if p.open != 0 || len(two.idle) != 0 {
		t.Errorf("a connection to the old process was kept")
	}
	p.Exchange(context.Background(), two, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: yes})
	p.idleTime = 0
	p.CloseExpired()
	if p.open != 0 {
		t.Errorf("%d connections left after their idle time", p.open)
	}
}

// Guards against waiting for a deadline when it is clear that no answer comes,
// and against taking a backend that answers for a dead one.
func TestASpoiltAnswerEndsItsAttemptAndIsNoReset(t *testing.T) {
	for name, text := range map[string]string{
		"noise":       "\x00\x7fhello",
		"half a head": "HTTP/1.1 200 OK\r\nContent-Le",
		"too short":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"huge":        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\npart",
		"no length":   "HTTP/1.1 200 OK\r\n\r\npart",
		"endless":     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 4<<20),
	} {
		b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { fmt.Fprint(c, text); return true })
		p := newPool()
		to := &Server{addr: b.Addr}
		p.Add(to)
		res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
		if res.Code != balance.ServerError || res.Body != nil || p.open != 0 {
			t.Errorf("%s: outcome %d %q, %d open", name, res.Code, res.Body, p.open)
		}
	}
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return nodetest.Reply(c, "200 OK", "done")
	})
	p := newPool()
	to := &Server{addr: b.Addr}
	p.Add(to)
	for range 2 {
		res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
		if res.Code != balance.OK || string(res.Body) != "done" || p.open != 1 {
			t.Errorf("outcome %d %q, %d open", res.Code, res.Body, p.open)
		}
	}
}

func TestConnectFailedNeverRan(t *testing.T) {
	p := newPool()
	to := &Server{addr: nodetest.ClosedAddr(t)}
	p.Add(to)
	res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil), MayWrite: func() bool { return true }})
	if res.Code != balance.ConnectFailed || p.open != 0 {
		t.Errorf("outcome %d, %d open", res.Code, p.open)
	}
}

func TestProbeReadsTheReport(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/metrics/load" {
			return nodetest.Reply(c, "404 Not Found", "")
		}
		return nodetest.Reply(c, "200 OK", "inflight=3,queue=1")
	})
	p := newPool()
	to := &Server{addr: b.Addr}
	p.Add(to)
	if res := p.Probe(to); res.Code != balance.OK || res.Report == nil || res.Report.InFlight != 3 {
		t.Errorf("got %+v", res)
	}
}
