package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
)

type fixture struct {
	*Clients
	t        *testing.T
	mu       sync.Mutex
	events   []history.Event
	requests []*http.Request
}

// newFixture makes clients whose only node is scripted: answer returns the raw text of the answer
// to the n-th request; "" closes the connection.
func newFixture(t *testing.T, answer func(n int, r *http.Request) string) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scenario.Scenario{Client: scenario.Client{Retries: 2, TryTimeoutFraction: 0.5, Backoff: scenario.Span{Duration: time.Millisecond}}}
	balancer := NewBalancer([]scenario.Node{{Name: "n0", Zone: "hall"}})
	balancer.Add(Target{"n0", l.Addr().String(), 1})
	start := time.Now()
	r := &fixture{t: t, Clients: &Clients{Scenario: s, Balancer: balancer, Clock: func() time.Duration { return time.Since(start) }, Slack: 50 * time.Millisecond}}
	r.Record = func(e history.Event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.events = append(r.events, e)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body := make([]byte, req.ContentLength)
					req.Body.Read(body)
					r.mu.Lock()
					n := len(r.requests)
					r.requests = append(r.requests, req)
					r.mu.Unlock()
					text := answer(n, req)
					if text == "" {
						return
					}
					fmt.Fprint(c, text)
				}
			}()
		}
	}()
	t.Cleanup(r.Clients.Close)
	return r
}

func order(class int) *load.Order {
	c := load.Classes[class]
	o := &load.Order{ID: "o1", Class: &c, Zone: "hall", Work: time.Millisecond}
	if c.Effect == history.Keyed {
		o.Key = "k"
	}
	return o
}

const safe, unsafe, keyed = 0, 2, 3

func served(r *http.Request) string {
	body := "clip " + r.Header.Get("Request-Id") + " by s\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func status(code int, head string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", code, head)
}

func (r *fixture) statuses() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, e := range r.events {
		if e.Kind == history.Answer {
			out = append(out, string(e.Status))
		}
		if e.Kind == history.ExtraData {
			out = append(out, "extra")
		}
	}
	return strings.Join(out, " ")
}

func TestRequestsHaveTheFormOfTheProtocol(t *testing.T) {
	r := newFixture(t, func(n int, req *http.Request) string { return served(req) })
	for i, want := range []struct{ method, key string }{safe: {"GET", ""}, unsafe: {"POST", ""}, keyed: {"POST", "k"}} {
		if want.method == "" {
			continue
		}
		o := order(i)
		o.ID = fmt.Sprint("o", i)
		r.Send(o)
		req := r.requests[len(r.requests)-1]
		if req.Method != want.method || req.Header.Get("Idempotency-Key") != want.key || req.Header.Get("Request-Class") != o.Class.Name ||
			!strings.HasPrefix(req.URL.Path, "/"+o.Class.Name+"/") || req.Header.Get("Request-Timeout-Ms") == "" {
			t.Errorf("%s: %+v", o.Class.Name, req)
		}
	}
	if got := r.statuses(); got != "served served served" || r.Stats().Dialled != 1 {
		t.Errorf("%s, over %d connections", got, r.Stats().Dialled)
	}
}

func TestWhichAnswersClientsRetry(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		answers []string // raw text; "served" for a valid answer
		want    string
	}{
		{"a refused request is retried", unsafe, []string{status(503, ""), "served"}, "refused served"},
		{"a refused keyed request is retried", keyed, []string{status(429, "Retry-After: 0.01\r\n"), "served"}, "refused served"},
		{"a failed safe request is retried at most twice", safe, []string{status(502, ""), status(502, ""), status(502, "")}, "failed failed failed"},
		{"a failed unsafe request is not retried", unsafe, []string{status(502, "")}, "failed"},
		{"a failed keyed request is not retried", keyed, []string{status(500, "")}, "failed"},
		{"an unsafe request with an incomplete answer is not retried", unsafe, []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", ""}, "gave-up"},
		{"the answer to another request is wrong", unsafe, []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nelse"}, "wrong"},
		{"extra bytes after the answer", unsafe, []string{status(500, "") + status(500, "")}, "failed extra"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, func(n int, req *http.Request) string {
				if n >= len(c.answers) {
					t.Errorf("%d requests", n+1)
					return ""
				}
				if c.answers[n] == "served" {
					return served(req)
				}
				return c.answers[n]
			})
			o := order(c.class)
			shortened := *o.Class
			shortened.Deadline = 2 * time.Second
			o.Class = &shortened
			r.Send(o)
			if got := r.statuses(); got != c.want {
				t.Errorf("ended %q, want %q", got, c.want)
			}
		})
	}
}

// A node may close a connection between requests: a request sent at that moment is resent as the
// same try.
func TestRequestIsResentWhenItsConnectionWasClosedBetweenRequests(t *testing.T) {
	r := newFixture(t, func(n int, req *http.Request) string {
		if n == 1 {
			return ""
		}
		return served(req)
	})
	a, b := order(unsafe), order(unsafe)
	b.ID = "o2"
	r.Send(a)
	r.Send(b)
	if got := r.statuses(); got != "served served" || r.Stats().Resent != 1 || len(r.requests) != 3 {
		t.Errorf("%s, %d resent, %d requests", got, r.Stats().Resent, len(r.requests))
	}
}

// A killed process may have forwarded the request, so the clients do not resend it.
func TestRequestOfAKilledNodeIsNotResent(t *testing.T) {
	var r *fixture
	r = newFixture(t, func(n int, req *http.Request) string {
		if n == 1 {
			r.Balancer.MarkKilled("n0", 1)
			return ""
		}
		return served(req)
	})
	a, b := order(unsafe), order(unsafe)
	b.ID = "o2"
	r.Send(a)
	r.Send(b)
	if got := r.statuses(); got != "served broken" || len(r.requests) != 2 {
		t.Errorf("%s, %d requests", got, len(r.requests))
	}
}

func TestBalancerPrefersNodesOfTheZone(t *testing.T) {
	b := NewBalancer([]scenario.Node{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "b"}, {Name: "n2", Zone: "b"}})
	if _, ok := b.Pick("a"); ok {
		t.Error("a node was picked although none is up")
	}
	b.Add(Target{"n0", "x", 1})
	b.Add(Target{"n1", "y", 1})
	b.Add(Target{"n2", "z", 1})
	events := map[string]int{}
	for range 10 {
		target, _ := b.Pick("b")
		events[target.Node]++
	}
	if events["n1"] != 5 || events["n2"] != 5 {
		t.Errorf("picked %v", events)
	}
	b.Remove("n0", 7) // an older incarnation
	if target, _ := b.Pick("a"); target.Node != "n0" {
		t.Errorf("picked %v", target)
	}
	b.Remove("n0", 1)
	if target, ok := b.Pick("a"); !ok || target.Node == "n0" {
		t.Errorf("a zone without nodes got %v, %v", target, ok)
	}
}

func TestOrderWithoutANodeIsUnreachable(t *testing.T) {
	r := newFixture(t, func(int, *http.Request) string { return "" })
	r.Balancer.Remove("n0", 1)
	r.Send(order(unsafe))
	if got := r.statuses(); got != "" || r.Stats().NoNode != 3 {
		t.Errorf("%q, %d tries without a node", got, r.Stats().NoNode)
	}
}
