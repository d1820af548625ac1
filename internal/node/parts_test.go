package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"barrowscale/balance"
)

func TestConfigRejects(t *testing.T) {
	good := configJSON("127.0.0.1:1")
	if _, err := ParseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]string{
		"empty":            "",
		"not JSON":         "x",
		"no fields":        "{}",
		"no listen":        strings.Replace(good, `"listen"`, `"l"`, 1),
		"no discovery":     strings.Replace(good, `"discovery"`, `"d"`, 1),
		"bad seed":         strings.Replace(good, "8c1f30d27a5be964", "zz", 1),
		"no sockets":       strings.Replace(good, `"sockets":1024`, `"sockets":0`, 1),
		"no memory":        strings.Replace(good, `"memory_mb":192`, `"memory_mb":0`, 1),
		"no settings":      strings.Replace(good, `"settings"`, `"s"`, 1),
		"no classes":       strings.Replace(good, `"classes"`, `"c"`, 1),
		"unknown effect":   strings.Replace(good, "fragile", "frail", 1),
		"malformed known":  strings.Replace(good, `"generation":7`, `"generation":"x"`, 1),
		"no time-out":      strings.Replace(good, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":0`, 1),
		"holds nothing":    strings.Replace(good, `"most_held":20000`, `"most_held":0`, 1),
		"lists are pushed": strings.Replace(good, "on_request", "pushed", 1),
	} {
		if _, err := ParseConfig([]byte(bad)); err == nil {
			t.Errorf("%s: accepted", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than one line: %v", name, err)
		}
	}
	for _, path := range []string{"", filepath.Join(t.TempDir(), "none")} {
		if _, err := LoadConfig(path); err == nil {
			t.Errorf("path %q: accepted", path)
		}
	}
	path := filepath.Join(t.TempDir(), "c")
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := LoadConfig(path); err != nil || c.backendSockets()+c.clientSockets()+reservedSockets != c.Sockets {
		t.Errorf("the good one: %v, %v", c, err)
	}
}

func TestParseListSkipsMalformedEntries(t *testing.T) {
	l, err := parseList([]byte(`{"generation":3,"reset":false,"instances":[7,{"instanceId":"a"},
		{"instanceId":"b","hostPort":"127.0.0.1:1","lifecycle":"odd"},{"hostPort":"127.0.0.1:1","lifecycle":"up"},
		{"instanceId":"c","hostPort":5,"lifecycle":"up"},{"instanceId":"d","lifecycle":"removed"},
		{"instanceId":"e","hostPort":"127.0.0.1:1","lifecycle":"up"}]}`))
	if err != nil || len(l.Instances) != 2 || l.Instances[0].InstanceID != "d" || l.Instances[1].InstanceID != "e" {
		t.Errorf("got %+v, %v", l, err)
	}
	for _, bad := range []string{"", "[]", "{}", `{"generation":1}`, `{"instances":[]}`, `{"generation":-1,"instances":[]}`} {
		if _, err := parseList([]byte(bad)); err == nil {
			t.Errorf("%s: accepted", bad)
		}
	}
}

func TestParseReport(t *testing.T) {
	r := parseReport("inflight=7, queue=2,util=0.61,odd=1,latency_ms=x,eps=-1,qps=NaN")
	if r == nil || r.InFlight != 7 || !r.HasInFlight || r.Queue != 2 || !r.HasQueue || r.Utilisation != 0.61 || r.Rate != 0 {
		t.Errorf("got %+v", r)
	}
	for _, text := range []string{"", "odd=1", "inflight", "inflight=Inf", ",,="} {
		if r := parseReport(text); r != nil {
			t.Errorf("%q: got %+v", text, r)
		}
	}
}

func TestExchangeLooksAgainBeforeTheFirstByte(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "") })
	p := newPool(testConfig(t, "127.0.0.1:1"))
	to := &backend{addr: b.addr}
	p.add(to)
	req := newRequest("GET", "/clip", nil)
	if res := p.exchange(context.Background(), to, req, func() bool { return false }); res.code != balance.Moot {
		t.Errorf("got outcome %d", res.code)
	}
	if b.count() != 0 {
		t.Error("something was sent")
	}
	if res := p.exchange(context.Background(), to, req, func() bool { return true }); res.code != balance.OK || p.open != 1 {
		t.Errorf("got outcome %d, %d connections", res.code, p.open)
	}
}

// Guards against an attempt that is lost on a connection which is known to be dead.
func TestADeadIdleConnectionIsNotUsed(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		reply(c, "200 OK", "")
		return false // closes without having said so
	})
	p := newPool(testConfig(t, "127.0.0.1:1"))
	to := &backend{addr: b.addr}
	p.add(to)
	for i := range 3 {
		res := p.exchange(context.Background(), to, newRequest("GET", "/clip", nil), func() bool { return true })
		if res.code != balance.OK {
			t.Fatalf("exchange %d: outcome %d", i, res.code)
		}
		for end := time.Now().Add(patience); alive(to.idle[0].Conn) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	if p.open != 1 || b.count() != 3 {
		t.Errorf("%d connections open, %d requests sent", p.open, b.count())
	}
}

func TestPoolKeepsItsBudgetAndForgetsOldProcesses(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "") })
	p := newPool(testConfig(t, "127.0.0.1:1"))
	p.most = 1
	one, two := &backend{id: 1, addr: b.addr}, &backend{id: 2, addr: b.addr}
	p.add(one)
	p.add(two)
	yes := func() bool { return true }
	for _, to := range []*backend{one, two} { // the idle connection to one makes room for two
		if res := p.exchange(context.Background(), to, newRequest("GET", "/clip", nil), yes); res.code != balance.OK {
			t.Fatalf("backend %d: outcome %d", to.id, res.code)
		}
	}
	if len(one.idle) != 0 || len(two.idle) != 1 || p.open != 1 {
		t.Errorf("idle %d and %d, open %d", len(one.idle), len(two.idle), p.open)
	}
	busy, _, _, _ := p.take(two)
	if res := p.exchange(context.Background(), one, newRequest("GET", "/clip", nil), yes); res.code != balance.Moot {
		t.Errorf("with the budget spent: outcome %d", res.code)
	}
	p.update(two, b.addr, 5) // it has restarted meanwhile
	p.put(two, busy)
	if p.open != 0 || len(two.idle) != 0 {
		t.Errorf("a connection to the old process was kept")
	}
	p.exchange(context.Background(), two, newRequest("GET", "/clip", nil), yes)
	p.idleTime = 0
	p.reap()
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
		"endless":     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxAnswer),
	} {
		b := newRawBackend(t, func(c net.Conn, r *http.Request) bool { fmt.Fprint(c, text); return true })
		p := newPool(testConfig(t, "127.0.0.1:1"))
		to := &backend{addr: b.addr}
		p.add(to)
		res := p.exchange(context.Background(), to, newRequest("GET", "/clip", nil), func() bool { return true })
		if res.code != balance.ServerError || res.body != nil || p.open != 0 {
			t.Errorf("%s: outcome %d %q, %d open", name, res.code, res.body, p.open)
		}
	}
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return reply(c, "200 OK", "done")
	})
	p := newPool(testConfig(t, "127.0.0.1:1"))
	to := &backend{addr: b.addr}
	p.add(to)
	for range 2 {
		res := p.exchange(context.Background(), to, newRequest("GET", "/clip", nil), func() bool { return true })
		if res.code != balance.OK || string(res.body) != "done" || p.open != 1 {
			t.Errorf("outcome %d %q, %d open", res.code, res.body, p.open)
		}
	}
}

func TestConnectFailedNeverRan(t *testing.T) {
	p := newPool(testConfig(t, "127.0.0.1:1"))
	to := &backend{addr: closedAddr(t)}
	p.add(to)
	res := p.exchange(context.Background(), to, newRequest("GET", "/clip", nil), func() bool { return true })
	if res.code != balance.ConnectFailed || p.open != 0 {
		t.Errorf("outcome %d, %d open", res.code, p.open)
	}
}

func TestProbeReadsTheReport(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/metrics/load" {
			return reply(c, "404 Not Found", "")
		}
		return reply(c, "200 OK", "inflight=3,queue=1")
	})
	p := newPool(testConfig(t, "127.0.0.1:1"))
	to := &backend{addr: b.addr}
	p.add(to)
	if res := p.probe(to); res.code != balance.OK || res.report == nil || res.report.InFlight != 3 {
		t.Errorf("got %+v", res)
	}
}

// Guards against a node that goes deaf: a failed call is told to the module,
// which asks again, and a watch goes on from the version that it has.
func TestDiscoveryIsWatchedAndAskedAgain(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "new") })
	calls := make(chan string, 100)
	number := 0
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		switch number++; number {
		case 1:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case 2:
			fmt.Fprint(w, `{"generation":`) // malformed: a failed call
		case 3:
			<-r.Context().Done() // silent
		case 4:
			fmt.Fprintf(w, `{"generation":9,"reset":true,"instances":[{"instanceId":"s-9","hostPort":%q,"zone":"z","lifecycle":"up"}]}`, b.addr)
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(d.Close) // after the node, whose watch it holds
	n := startNode(t, testConfig(t, d.Listener.Addr().String()))
	for i, want := range []string{"from=7&hold_ms=0", "from=7&hold_ms=0", "from=7&hold_ms=0", "from=7&hold_ms=0", "from=9&hold_ms=10000"} {
		select {
		case got := <-calls:
			if got != want {
				t.Errorf("call %d: got %q, want %q", i, got, want)
			}
		case <-time.After(patience):
			t.Fatalf("call %d did not come", i)
		}
	}
	if status, body, _ := n.mustAsk(t, "clip", "one", 3*time.Second); status != 200 || body != "new" {
		t.Errorf("from the new list: %d %q", status, body)
	}
}

func TestDrainingBackendsGetNothingNew(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"))
	n.follow(listNews{kind: balance.ListCached, list: n.cfg.Known})
	draining := List{Generation: 8, Instances: []Entry{{InstanceID: "s-0", HostPort: "127.0.0.1:2", Lifecycle: "draining"},
		{InstanceID: "s-1", Lifecycle: "removed"}}}
	n.follow(listNews{kind: balance.ListChanges, list: draining})
	closed := func(name string) bool {
		b := n.backends[n.ids[name]]
		return b == nil || b.closed.Load()
	}
	for i, want := range []bool{true, true, false} {
		if got := closed(fmt.Sprintf("s-%d", i)); got != want {
			t.Errorf("s-%d closed: %v", i, got)
		}
	}
	n.follow(listNews{kind: balance.ListFull, list: List{Generation: 9, Instances: []Entry{
		{InstanceID: "s-0", HostPort: "127.0.0.1:2", Lifecycle: "up"}}}})
	for i, want := range []bool{false, true, true} {
		if got := closed(fmt.Sprintf("s-%d", i)); got != want {
			t.Errorf("after a full list, s-%d closed: %v", i, got)
		}
	}
}

// Guards against growth where backends are replaced all day, and against an
// old connection or a late outcome that is taken for a new backend's, at the
// address of one that has gone.
func TestBackendsThatAreGoneAreForgotten(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1"))
	list := func(generation int, id string) listNews {
		return listNews{kind: balance.ListFull, list: List{Generation: uint64(generation), Instances: []Entry{
			{InstanceID: id, HostPort: "127.0.0.1:2", Lifecycle: "up"}}}}
	}
	for i := range 100 {
		n.follow(list(i, fmt.Sprintf("s-%d", i)))
	}
	if len(n.backends) != 1 || len(n.ids) != 1 || len(n.pool.backends) != 1 {
		t.Errorf("kept %d backends, %d names, %d in the pool", len(n.backends), len(n.ids), len(n.pool.backends))
	}
	old := n.backends[n.ids["s-99"]]
	old.out++
	one, other := net.Pipe()
	defer other.Close()
	c := &conn{Conn: one, addr: old.addr, startedAt: old.startedAt}
	n.pool.open++
	n.follow(list(100, "s-new"))
	if n.backends[old.id] != old {
		t.Fatal("forgotten with an attempt out")
	}
	n.pool.put(old, c)
	if fresh := n.backends[n.ids["s-new"]]; fresh == old || len(fresh.idle)+len(old.idle)+n.pool.open != 0 {
		t.Error("the old connection was kept")
	}
	r := &request{RequestArrived: balance.RequestArrived{ID: "r"}, answer: make(chan answer, 1), out: 1}
	n.ended(attemptDone{attempt: &attempt{request: r, backend: old}, result: result{code: balance.Reset}})
	if len(n.backends) != 1 || len(n.ids) != 1 || len(n.pool.backends) != 1 {
		t.Errorf("after the last outcome: %d backends, %d names, %d in the pool", len(n.backends), len(n.ids), len(n.pool.backends))
	}
}

// Guards against silent clients that take all descriptors, and against cutting
// off a connection that has just come and may have a request on its way.
func TestClientConnectionsOverBudgetCloseTheLongestSilent(t *testing.T) {
	c := newClientConns(3)
	var conns []net.Conn
	for range 4 {
		conn, other := net.Pipe()
		defer other.Close()
		conns = append(conns, conn)
	}
	check := func(when string, after time.Duration, room bool, want ...int) {
		t.Helper()
		if got := c.room(time.Now().Add(after)); got != room {
			t.Errorf("%s: room %v", when, got)
		}
		var got []int
		for i, conn := range conns {
			if conn.SetDeadline(time.Time{}) != nil {
				got = append(got, i)
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: closed %v, want %v", when, got, want)
		}
	}
	c.track(conns[0], http.StateNew)
	c.track(conns[0], http.StateActive)
	c.track(conns[0], http.StateIdle)
	c.track(conns[1], http.StateNew) // sends nothing
	check("under the budget", time.Hour, true)
	if c.crowded() {
		t.Error("crowded with two of three")
	}
	c.track(conns[2], http.StateNew)
	c.track(conns[2], http.StateActive) // has a request open
	check("all of them fresh", 0, false)
	if !c.crowded() {
		t.Error("not crowded at the budget")
	}
	check("one that never sent a request", idleSpare/2, false, 1)
	check("one idle for a moment", idleSpare/2, false, 1)
	check("one idle for long", time.Hour, false, 0, 1)
	check("none left to close", time.Hour, false, 0, 1)
	c.track(conns[1], http.StateClosed)
	check("once it is closed", 0, true, 0, 1)
}

func TestPeersDropStrangersAndLongDatagrams(t *testing.T) {
	socket := func() net.PacketConn {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger := socket(), socket()
	c := testConfig(t, "127.0.0.1:1")
	c.Settings.MayMessage = true
	c.PeerListen, c.Peers, c.PeersAll = "127.0.0.1:0", []string{"127.0.0.1:1", peer.LocalAddr().String()}, peer.LocalAddr().String()
	p, err := openPeers(c)
	if err != nil {
		t.Fatal(err)
	}
	defer p.conn.Close()
	got := make(chan any, 10)
	go p.receive(func(e any) { got <- e })
	to := p.conn.LocalAddr()
	stranger.WriteTo([]byte("no"), to)
	peer.WriteTo(make([]byte, maxDatagram+1), to)
	peer.WriteTo([]byte("yes"), to)
	select {
	case e := <-got:
		if m, ok := e.(balance.MessageReceived); !ok || m.From != 1 || string(m.Data) != "yes" {
			t.Errorf("got %+v", e)
		}
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	p.send(balance.SendMessage{To: 9, Data: []byte("x")}) // nobody: must not panic
	p.send(balance.SendMessage{To: 1, Data: []byte("one")})
	buf := make([]byte, 10)
	peer.SetReadDeadline(time.Now().Add(patience))
	if n, _, err := peer.ReadFrom(buf); err != nil || string(buf[:n]) != "one" {
		t.Errorf("the peer got %q, %v", buf[:n], err)
	}
}
