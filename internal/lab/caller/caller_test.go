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

type rig struct {
	*Clients
	t    *testing.T
	mu   sync.Mutex
	seen []history.Event
	got  []*http.Request
}

// newRig makes clients whose one node is a script: answer gives the raw text
// for the n-th request; "" closes the connection.
func newRig(t *testing.T, answer func(n int, r *http.Request) string) *rig {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scenario.Scenario{Client: scenario.Client{Retries: 2, TryTimeoutFraction: 0.5, Backoff: scenario.Span{Duration: time.Millisecond}}}
	front := NewBalancer([]scenario.Node{{Name: "n0", Zone: "hall"}})
	front.Add(Target{"n0", l.Addr().String(), 1})
	start := time.Now()
	r := &rig{t: t, Clients: &Clients{Scenario: s, Balancer: front, Clock: func() time.Duration { return time.Since(start) }, Slack: 50 * time.Millisecond}}
	r.Record = func(e history.Event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seen = append(r.seen, e)
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
					n := len(r.got)
					r.got = append(r.got, req)
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

func (r *rig) statuses() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, e := range r.seen {
		if e.Kind == history.Answer {
			out = append(out, string(e.Status))
		}
		if e.Kind == history.ExtraData {
			out = append(out, "extra")
		}
	}
	return strings.Join(out, " ")
}

func TestRequestsHaveTheProtocolsForm(t *testing.T) {
	r := newRig(t, func(n int, req *http.Request) string { return served(req) })
	for i, want := range []struct{ method, key string }{safe: {"GET", ""}, unsafe: {"POST", ""}, keyed: {"POST", "k"}} {
		if want.method == "" {
			continue
		}
		o := order(i)
		o.ID = fmt.Sprint("o", i)
		r.Send(o)
		req := r.got[len(r.got)-1]
		if req.Method != want.method || req.Header.Get("Idempotency-Key") != want.key || req.Header.Get("Request-Class") != o.Class.Name ||
			!strings.HasPrefix(req.URL.Path, "/"+o.Class.Name+"/") || req.Header.Get("Request-Timeout-Ms") == "" {
			t.Errorf("%s: %+v", o.Class.Name, req)
		}
	}
	if got := r.statuses(); got != "served served served" || r.Stats().Dialled != 1 {
		t.Errorf("%s, over %d connections", got, r.Stats().Dialled)
	}
}

// Each row is a class, what the node answers, and how the tries end.
func TestWhatClientsTryAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		say   []string // "served" for a good answer
		want  string
	}{
		{"a refusal is tried again", unsafe, []string{status(503, ""), "served"}, "refused served"},
		{"also a keyed one", keyed, []string{status(429, "Retry-After: 0.01\r\n"), "served"}, "refused served"},
		{"a failed safe one is, twice at most", safe, []string{status(502, ""), status(502, ""), status(502, "")}, "failed failed failed"},
		{"a failed unsafe one is not", unsafe, []string{status(502, "")}, "failed"},
		{"a failed keyed one is not", keyed, []string{status(500, "")}, "failed"},
		{"one that never comes whole is not if unsafe", unsafe, []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", ""}, "gave-up"},
		{"somebody else's answer is wrong", unsafe, []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nelse"}, "wrong"},
		{"more behind the answer", unsafe, []string{status(500, "") + status(500, "")}, "failed extra"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, func(n int, req *http.Request) string {
				if n >= len(c.say) {
					t.Errorf("%d requests", n+1)
					return ""
				}
				if c.say[n] == "served" {
					return served(req)
				}
				return c.say[n]
			})
			o := order(c.class)
			quick := *o.Class
			quick.Deadline = 2 * time.Second
			o.Class = &quick
			r.Send(o)
			if got := r.statuses(); got != c.want {
				t.Errorf("ended %q, want %q", got, c.want)
			}
		})
	}
}

// A node may close a connection between requests: the request that crosses
// that goes out once more, as the same try.
func TestAConnectionClosedBetweenRequestsIsNoLostRequest(t *testing.T) {
	r := newRig(t, func(n int, req *http.Request) string {
		if n == 1 {
			return ""
		}
		return served(req)
	})
	a, b := order(unsafe), order(unsafe)
	b.ID = "o2"
	r.Send(a)
	r.Send(b)
	if got := r.statuses(); got != "served served" || r.Stats().Resent != 1 || len(r.got) != 3 {
		t.Errorf("%s, %d resent, %d requests", got, r.Stats().Resent, len(r.got))
	}
}

// But not when the process was killed with the request in its hands: it may
// have sent it on.
func TestARequestOfAKilledNodeIsNotResent(t *testing.T) {
	var r *rig
	r = newRig(t, func(n int, req *http.Request) string {
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
	if got := r.statuses(); got != "served broken" || len(r.got) != 2 {
		t.Errorf("%s, %d requests", got, len(r.got))
	}
}

func TestTheFrontDealsWithinTheHallWhileItCan(t *testing.T) {
	f := NewBalancer([]scenario.Node{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "b"}, {Name: "n2", Zone: "b"}})
	if _, any := f.Pick("a"); any {
		t.Error("nobody is up")
	}
	f.Add(Target{"n0", "x", 1})
	f.Add(Target{"n1", "y", 1})
	f.Add(Target{"n2", "z", 1})
	seen := map[string]int{}
	for range 10 {
		p, _ := f.Pick("b")
		seen[p.Node]++
	}
	if seen["n1"] != 5 || seen["n2"] != 5 {
		t.Errorf("dealt %v", seen)
	}
	f.Remove("n0", 7) // an older word
	if p, _ := f.Pick("a"); p.Node != "n0" {
		t.Errorf("dealt %v", p)
	}
	f.Remove("n0", 1)
	if p, any := f.Pick("a"); !any || p.Node == "n0" {
		t.Errorf("a hall without nodes got %v, %v", p, any)
	}
}

func TestWithoutANodeAnOrderIsUnreachable(t *testing.T) {
	r := newRig(t, func(int, *http.Request) string { return "" })
	r.Balancer.Remove("n0", 1)
	r.Send(order(unsafe))
	if got := r.statuses(); got != "" || r.Stats().NoNode != 3 {
		t.Errorf("%q, %d times no place", got, r.Stats().NoNode)
	}
}
