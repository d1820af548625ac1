package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barrowscale/balance"
)

// patience bounds what a test waits for; nothing that passes takes nearly so long.
const patience = 20 * time.Second

// testConfig is a valid configuration with these backends.
func testConfig(t *testing.T, discovery string, backends ...string) *Config {
	t.Helper()
	c, err := ParseConfig([]byte(configJSON(discovery, backends...)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func configJSON(discovery string, backends ...string) string {
	instances := []map[string]any{}
	for i, addr := range backends {
		instances = append(instances, map[string]any{"instanceId": fmt.Sprintf("s-%d", i), "hostPort": addr,
			"zone": "z", "machineType": "m", "cell": i, "lifecycle": "up", "weight": 1, "startedAtMs": 0})
	}
	known, _ := json.Marshal(map[string]any{"generation": 7, "reset": true, "instances": instances})
	return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":` + string(known) + `,"settings":{"balancers":1,
		"caps":{"cancel":true,"conn_idle_ns":60000000000,"connect_timeout_ns":250000000,"max_attempts":4,
		"max_retry_after_ns":2000000000,"may_duplicate":true,"most_held":20000,"multiplex":1,"retry_after":true},
		"classes":[
		{"name":"clip","effect":"retryable","aim_ns":600000000,"give_up_ns":2000000000,"importance":12,"key_scope":"all"},
		{"name":"tag","effect":"dedup","aim_ns":1500000000,"give_up_ns":4000000000,"importance":1,"key_scope":"cell","dedup_window_ns":8000000000},
		{"name":"order","effect":"fragile","aim_ns":2000000000,"give_up_ns":6000000000,"importance":1,"key_scope":"all"}],
		"invariants":{"ask_within_ns":10000000000,"cold_from":0.3,"cold_ns":8000000000,"drain_grace_ns":500000000,
		"overload_factor":2.5,"tip_after_ns":1000000000},"membership_mode":"on_request","report":{"how":"none"},
		"tick_ns":5000000,"zone":"z"}}`
}

// closedAddr is a loopback address at which nothing listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

type running struct {
	*Node
	url    string
	stop   context.CancelFunc
	ended  chan error
	client *http.Client
}

func startNode(t *testing.T, c *Config) *running {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &running{Node: New(c), url: "http://" + l.Addr().String(), stop: cancel, ended: make(chan error, 1),
		client: &http.Client{Transport: &http.Transport{}, Timeout: patience}}
	n.acceptMore = 0
	go func() { n.ended <- n.Run(ctx, l) }()
	t.Cleanup(func() {
		n.client.CloseIdleConnections()
		cancel()
		<-n.Node.done
	})
	return n
}

// ask sends a request in the protocol's form.
func (n *running) ask(ctx context.Context, class, id string, timeout time.Duration) (status int, body string, header http.Header, err error) {
	method, payload := http.MethodPost, "pay-"+id
	if class == "clip" {
		method, payload = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, n.url+"/"+class+"/a%2Fb?sid=k%201", strings.NewReader(payload))
	if err != nil {
		return 0, "", nil, err
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	req.Header.Set("Client-Secret", "x")
	if class == "tag" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	if resp.Close { // the client library takes the header out
		resp.Header.Set("Connection", "close")
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Header, err
}

func (n *running) mustAsk(t *testing.T, class, id string, timeout time.Duration) (status int, body string, header http.Header) {
	t.Helper()
	status, body, header, err := n.ask(context.Background(), class, id, timeout)
	if err != nil {
		t.Fatalf("%s %s: %v", class, id, err)
	}
	return status, body, header
}

// rawBackend serves each connection by a script that sees what came in.
type rawBackend struct {
	addr     string
	mu       sync.Mutex
	requests []*http.Request
}

func (b *rawBackend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// newRawBackend calls serve for each request; serve tells whether the connection goes on.
func newRawBackend(t *testing.T, serve func(c net.Conn, r *http.Request) bool) *rawBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &rawBackend{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					b.mu.Lock()
					b.requests = append(b.requests, req)
					b.mu.Unlock()
					if !serve(c, req) {
						return
					}
				}
			}()
		}
	}()
	return b
}

func reply(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

func TestServesUnchangedAndPassesOnOnlyTheProtocolsForms(t *testing.T) {
	type seen struct {
		method, uri, body string
		header            http.Header
	}
	got := make(chan seen, 10)
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got <- seen{r.Method, r.RequestURI, string(raw), r.Header}
		io.WriteString(w, "answer to "+r.Header.Get("Request-Id"))
	}))
	defer b.Close()
	n := startNode(t, testConfig(t, closedAddr(t), b.Listener.Addr().String()))
	for class, method := range map[string]string{"clip": "GET", "tag": "POST", "order": "POST"} {
		status, body, _ := n.mustAsk(t, class, "id-"+class, 3*time.Second)
		if status != 200 || body != "answer to id-"+class {
			t.Errorf("%s: got %d %q", class, status, body)
		}
		s := <-got
		if s.method != method || s.uri != "/"+class+"/a%2Fb?sid=k%201" || method == "POST" && s.body != "pay-id-"+class {
			t.Errorf("%s: the backend got %s %s %q", class, s.method, s.uri, s.body)
		}
		if key := s.header.Get("Idempotency-Key"); (key != "") != (class == "tag") {
			t.Errorf("%s: Idempotency-Key %q", class, key)
		}
		if ms, _ := strconv.Atoi(s.header.Get("Request-Timeout-Ms")); ms <= 0 || ms > 3000 {
			t.Errorf("%s: Request-Timeout-Ms %d", class, ms)
		}
		for name := range s.header {
			switch name {
			case "Request-Id", "Idempotency-Key", "Request-Timeout-Ms", "Content-Length":
			default:
				t.Errorf("%s: header %s went on", class, name)
			}
		}
	}
	if len(got) > 0 {
		t.Errorf("%d requests too many", len(got))
	}
}

func TestMalformedRequestsAreTurnedDownAtOnceAndNeverSentOn(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "") })
	n := startNode(t, testConfig(t, closedAddr(t), b.addr))
	type header = map[string]string
	good := func(change header) header {
		h := header{"Request-Id": "x", "Request-Class": "order", "Request-Timeout-Ms": "1000"}
		for k, v := range change {
			h[k] = v
		}
		return h
	}
	for _, c := range []struct {
		name, method, path, body string
		header                   header
		want                     int
	}{
		{"no id", "POST", "/order", "", good(header{"Request-Id": ""}), 400},
		{"no class", "POST", "/order", "", good(header{"Request-Class": ""}), 400},
		{"unknown class", "POST", "/other", "", good(header{"Request-Class": "other"}), 400},
		{"path of another class", "POST", "/clip", "", good(nil), 400},
		{"no timeout", "POST", "/order", "", good(header{"Request-Timeout-Ms": ""}), 400},
		{"bad timeout", "POST", "/order", "", good(header{"Request-Timeout-Ms": "1e3"}), 400},
		{"timeout 0", "POST", "/order", "", good(header{"Request-Timeout-Ms": "0"}), 400},
		{"huge timeout", "POST", "/order", "", good(header{"Request-Timeout-Ms": "99999999999999"}), 400},
		{"key on an unsafe class", "POST", "/order", "", good(header{"Idempotency-Key": "k"}), 400},
		{"no key on a keyed class", "POST", "/tag", "", good(header{"Request-Class": "tag"}), 400},
		{"wrong method", "GET", "/order", "", good(nil), 405},
		{"POST for a safe class", "POST", "/clip", "", good(header{"Request-Class": "clip"}), 405},
		{"body on a GET", "GET", "/clip", "x", good(header{"Request-Class": "clip"}), 400},
		{"body too large", "POST", "/order", strings.Repeat("x", maxBody+1), good(nil), 413},
	} {
		req, _ := http.NewRequest(c.method, n.url+c.path, strings.NewReader(c.body))
		for k, v := range c.header {
			if v != "" {
				req.Header.Set(k, v)
			}
		}
		resp, err := n.client.Do(req)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("%s: got %d, want %d", c.name, resp.StatusCode, c.want)
		}
	}
	if b.count() != 0 {
		t.Errorf("%d malformed requests were sent on", b.count())
	}
	if status, _, _ := n.mustAsk(t, "order", "good", 3*time.Second); status != 200 {
		t.Errorf("a good request after them: %d", status)
	}
}

func TestAnIDThatIsOpenFailsWithoutTouchingTheFirst(t *testing.T) {
	arrived, release := make(chan bool), make(chan bool)
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		<-release
		return reply(c, "200 OK", "first")
	})
	n := startNode(t, testConfig(t, closedAddr(t), b.addr))
	first := make(chan string, 1)
	go func() {
		_, body, _, _ := n.ask(context.Background(), "order", "same", 5*time.Second)
		first <- body
	}()
	<-arrived
	if status, _, _ := n.mustAsk(t, "order", "same", 5*time.Second); status != http.StatusConflict {
		t.Errorf("second: got %d", status)
	}
	close(release)
	if body := <-first; body != "first" {
		t.Errorf("first: got %q", body)
	}
	if b.count() != 1 {
		t.Errorf("the backend got %d requests", b.count())
	}
}

// What ends after the last byte was written may have run: an unsafe request
// is neither resent nor refused then, whatever the answer looked like.
func TestWhatMayHaveRunIsNeitherResentNorRefused(t *testing.T) {
	for name, serve := range map[string]func(c net.Conn, r *http.Request) bool{
		"closed":    func(c net.Conn, r *http.Request) bool { return false },
		"reset":     func(c net.Conn, r *http.Request) bool { c.(*net.TCPConn).SetLinger(0); return false },
		"error":     func(c net.Conn, r *http.Request) bool { return reply(c, "500 Internal Server Error", "no") },
		"plain 503": func(c net.Conn, r *http.Request) bool { return reply(c, "503 Service Unavailable", "no") },
		"cut short": func(c net.Conn, r *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
			return false
		},
		"no length": func(c net.Conn, r *http.Request) bool { fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart"); return false },
		"too long":  func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", strings.Repeat("x", maxBody+1)) },
		"endless": func(c net.Conn, r *http.Request) bool {
			return reply(c, "200 OK\r\nX: "+strings.Repeat("x", 2*maxAnswer), "")
		},
		"not HTTP":                    func(c net.Conn, r *http.Request) bool { fmt.Fprint(c, "hello\r\n\r\n"); return false },
		"no answer":                   func(c net.Conn, r *http.Request) bool { io.Copy(io.Discard, c); return false },
		"noise on an open connection": func(c net.Conn, r *http.Request) bool { fmt.Fprint(c, "\x00\x7fhello"); return true },
		"half a head on an open connection": func(c net.Conn, r *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Le")
			return true
		},
		"too short on an open connection": func(c net.Conn, r *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
			return true
		},
		"two lengths": func(c net.Conn, r *http.Request) bool {
			return reply(c, "200 OK\r\nContent-Length: 2", "part")
		},
		"said to be huge": func(c net.Conn, r *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\npart")
			return true
		},
		"1xx without end": func(c net.Conn, r *http.Request) bool {
			for range 100 {
				fmt.Fprint(c, "HTTP/1.1 102 Processing\r\n\r\n")
			}
			return true
		},
		"half chunk": func(c net.Conn, r *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npa")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, spare := newRawBackend(t, serve), newRawBackend(t, serve)
			n := startNode(t, testConfig(t, closedAddr(t), b.addr, spare.addr))
			status, body, _ := n.mustAsk(t, "order", "one", 300*time.Millisecond)
			if status != http.StatusBadGateway || body != "" {
				t.Errorf("got %d %q, want a failure", status, body)
			}
			if sent := b.count() + spare.count(); sent != 1 {
				t.Errorf("sent %d times", sent)
			}
		})
	}
}

func TestWhatNeverRanMayGoElsewhere(t *testing.T) {
	full := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		return reply(c, "503 Service Unavailable\r\nNot-Started: 1", "")
	})
	good := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "done") })
	n := startNode(t, testConfig(t, closedAddr(t), full.addr, closedAddr(t), good.addr))
	for i := range 30 {
		if status, body, _ := n.mustAsk(t, "order", fmt.Sprint(i), 3*time.Second); status != 200 || body != "done" {
			t.Errorf("request %d: %d %q", i, status, body)
		}
	}
	if good.count() != 30 {
		t.Errorf("the good backend got %d requests", good.count())
	}
}

func TestARefusalTellsWhenToComeBack(t *testing.T) {
	n := startNode(t, testConfig(t, closedAddr(t), closedAddr(t)))
	begin := time.Now()
	status, _, header := n.mustAsk(t, "order", "one", time.Minute)
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || err != nil || seconds <= 0 || seconds > 2 {
		t.Errorf("got %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	if took := time.Since(begin); took > patience {
		t.Errorf("the refusal took %v", took)
	}
}

func TestAClientThatIsGoneEndsItsAttempt(t *testing.T) {
	arrived, closed := make(chan bool, 10), make(chan bool, 10)
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		io.Copy(io.Discard, c) // returns when the node closes the connection
		closed <- true
		return false
	})
	n := startNode(t, testConfig(t, closedAddr(t), b.addr))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	if _, _, _, err := n.ask(ctx, "clip", "one", time.Minute); err == nil {
		t.Fatal("the client had an answer")
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the attempt was not given up")
	}
	if b.count() != 1 {
		t.Errorf("sent %d times", b.count())
	}
}

func TestTermKeepsAcceptingAndAnswersWhatWasTaken(t *testing.T) {
	arrived, release := make(chan bool, 10), make(chan bool)
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		<-release
		return reply(c, "200 OK", "done")
	})
	n := startNode(t, testConfig(t, closedAddr(t), b.addr))
	n.acceptMore = 2 * time.Second
	answers := make(chan int, 2)
	ask := func(id string) {
		status, _, header, _ := n.ask(context.Background(), "clip", id, time.Minute)
		if header.Get("Connection") != "close" {
			t.Errorf("%s: the connection was to be kept", id)
		}
		answers <- status
	}
	go ask("before")
	<-arrived
	n.stop()
	for !n.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Get(n.url + "/up") // a new connection
	if err != nil {
		t.Fatalf("after SIGTERM: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("/up while draining: %d", resp.StatusCode)
	}
	close(release)
	go ask("after")
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("got %d", status)
		}
	}
	if err := <-n.ended; err != nil {
		t.Errorf("Run: %v", err)
	}
}

func TestTermAnswersWhatNeverEnds(t *testing.T) {
	arrived := make(chan bool, 1)
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		io.Copy(io.Discard, c)
		return false
	})
	n := startNode(t, testConfig(t, closedAddr(t), b.addr))
	go func() { <-arrived; n.stop() }()
	if status, _, _ := n.mustAsk(t, "order", "one", time.Minute); status != http.StatusBadGateway {
		t.Errorf("got %d", status)
	}
	if err := <-n.ended; err != nil {
		t.Errorf("Run: %v", err)
	}
}

// send writes raw bytes on a connection of its own and gives what comes back
// until the node closes it, or nothing more comes for a while.
func (n *running) send(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, text) // may break off: the node may close before it is all written
	raw, err := io.ReadAll(c)
	if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
		t.Errorf("%.60q: the connection was not closed", text)
	}
	return string(raw)
}

// Guards against a request hidden in the body of another, and against two
// readings of one request.
func TestAmbiguousRequestsAreRefusedAndEndTheirConnection(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "") })
	n := startNode(t, testConfig(t, closedAddr(t), b.addr))
	head := func(id string) string {
		return "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 1000\r\n"
	}
	hidden := head("hidden") + "Content-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"length and chunks": head("a") + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(hidden), hidden),
		"chunks alone":      head("b") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"another encoding":  head("c") + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n" + hidden,
		"HTTP/1.0":          strings.Replace(head("d"), "/1.1", "/1.0", 1) + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + hidden,
		"two lengths":       head("e") + "Content-Length: 0\r\nContent-Length: 3\r\n\r\n" + hidden,
		"negative length":   head("f") + "Content-Length: -3\r\n\r\n" + hidden,
		"two ids":           head("g") + "Request-Id: other\r\nContent-Length: 0\r\n\r\n" + hidden,
		"two classes":       head("h") + "Request-Class: order\r\nContent-Length: 0\r\n\r\n" + hidden,
		"huge body":         head("i") + "Content-Length: 60000000\r\n\r\n" + hidden,
		"unknown class":     strings.Replace(head("j"), "Class: order", "Class: odd", 1) + "Content-Length: 0\r\n\r\n" + hidden,
	} {
		answer := n.send(t, text)
		_, status, _ := strings.Cut(answer, " ")
		if !strings.HasPrefix(status, "4") && !strings.HasPrefix(status, "5") || strings.Count(answer, "Date: ") > 1 {
			t.Errorf("%s: got %q, want one error", name, answer)
		}
	}
	if b.count() != 0 {
		t.Errorf("%d of them were sent on", b.count())
	}
}

// Guards against a reload that loses the list, and against news of the
// address that was left.
func TestReloadMovesToAnotherDiscovery(t *testing.T) {
	first := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "first") })
	second := newRawBackend(t, func(c net.Conn, r *http.Request) bool { return reply(c, "200 OK", "second") })
	list := func(generation int, id, addr string) string {
		return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":%q,"hostPort":%q,"zone":"z","lifecycle":"up"}]}`, generation, id, addr)
	}
	watched, left := make(chan bool, 100), make(chan bool, 100)
	var calls atomic.Int32
	before := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			io.WriteString(w, list(8, "s-0", first.addr))
			return
		}
		watched <- true
		<-r.Context().Done()
		left <- true
	}))
	t.Cleanup(before.Close)
	after := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "3" {
			watched <- true
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list(3, "s-1", second.addr)) // an older version than the one that it replaces
	}))
	t.Cleanup(after.Close)
	n := startNode(t, testConfig(t, before.Listener.Addr().String()))
	wait := func(what string, c chan bool) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(patience):
			t.Fatal("no " + what)
		}
	}
	old := n.discovery
	wait("watch at the first address", watched)
	if _, body, _ := n.mustAsk(t, "clip", "one", 3*time.Second); body != "first" {
		t.Errorf("before: %q", body)
	}
	cfg := *n.cfg
	cfg.Discovery = after.Listener.Addr().String()
	n.Reload(&cfg)
	wait("end of the watch at the first address", left)
	wait("watch at the second address", watched)
	n.post(listNews{kind: balance.ListFull, list: List{Generation: 99, Reset: true}, from: old})
	if _, body, _ := n.mustAsk(t, "clip", "two", 3*time.Second); body != "second" {
		t.Errorf("after: %q", body)
	}
}

// Guards against clients that say nothing or half of it: they are owed an
// error or a close, and take no descriptor from others. One wholly taken is
// never cut off, however long its answer takes.
func TestIncompleteRequestsEndAndOthersAreServed(t *testing.T) {
	b := newRawBackend(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(headTime + bodyTime + 500*time.Millisecond)
		return reply(c, "200 OK", "done")
	})
	c := testConfig(t, closedAddr(t), b.addr)
	c.Sockets = leastSockets // 20 of them for clients
	n := startNode(t, c)
	head := "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 9000\r\nRequest-Id: half\r\n"
	var ends sync.WaitGroup
	for i := range 60 {
		ends.Add(1)
		go func() {
			defer ends.Done()
			n.send(t, []string{"", head, head + "Content-Length: 9\r\n\r\nhalf", head + "Long: " + strings.Repeat("x", 100000)}[i%4])
		}()
	}
	for _, class := range []string{"clip", "order", "tag"} {
		if status, body, _ := n.mustAsk(t, class, "good-"+class, 15*time.Second); status != 200 || body != "done" {
			t.Errorf("%s: got %d %q", class, status, body)
		}
	}
	ends.Wait()
	if b.count() != 3 {
		t.Errorf("%d requests were sent on", b.count())
	}
}

// Guards against connections of health checks that stay and fill the budget.
func TestAHealthCheckEndsItsConnection(t *testing.T) {
	n := startNode(t, testConfig(t, closedAddr(t)))
	resp, err := n.client.Get(n.url + "/up")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("got %s, to be closed: %v", resp.Status, resp.Close)
	}
}
