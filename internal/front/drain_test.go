package front

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivylock/internal/node"
	"ivylock/internal/nodetest"
)

// fakeDiscovery is a discovery server with scripted responses. During the script the first
// server of its list starts to drain, which it reports once its calls no longer fail.
type fakeDiscovery struct {
	*httptest.Server
	mu        sync.Mutex
	calls     int
	drainedAt time.Time // when it was reachable and the first server drained; zero: not yet
}

// setDrained records that the first server drains from now on.
func (d *fakeDiscovery) setDrained() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainedAt.IsZero() {
		d.drainedAt = time.Now()
	}
}

func (d *fakeDiscovery) drainedSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainedAt
}

// newFakeDiscovery passes each call with its number, from 1, to serve.
func newFakeDiscovery(t *testing.T, serve func(d *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request)) *fakeDiscovery {
	d := &fakeDiscovery{}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls++
		call := d.calls
		d.mu.Unlock()
		serve(d, call, w, r)
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func addr(s *httptest.Server) string { return s.Listener.Addr().String() }

// serveDrain writes an update in which the first server drains, indented and in pieces.
func serveDrain(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("from") == "9" { // already sent: hold the watch
		<-r.Context().Done()
		return
	}
	for _, piece := range strings.SplitAfter("{\n  \"generation\" : 9,\n \"reset\": false,\n \"instances\":\n [ { \"instanceId\":\n \"s-0\",\n \"lifecycle\": \"draining\",\n \"hostPort\": \"127.0.0.1:1\" } ]\n }", "\n") {
		io.WriteString(w, piece)
		http.NewResponseController(w).Flush()
	}
}

// Despite discovery failures a draining server gets no requests later than 6.5 s after
// discovery was reachable and its list had the drain. The node counts as one of 300, whose calls are
// spread, except in cases with repeated rejections.
func TestDrainIsAppliedInTimeDespiteDiscoveryFailures(t *testing.T) {
	closeAfter := func(w http.ResponseWriter, text string) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		io.WriteString(c, text)
		c.Close()
	}
	const failing = 3 // calls; the server drains from the last of them on
	// In a large fleet, repeated rejections lead to longer waits between calls.
	nodeCounts := map[string]int{"refused": 3, "silent, then ok": 3}
	failures := map[string]func(w http.ResponseWriter, r *http.Request){
		"refused": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
		},
		"hangs": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"truncated list": func(w http.ResponseWriter, _ *http.Request) {
			closeAfter(w, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"generation\":9,")
		},
		"reset":           func(w http.ResponseWriter, _ *http.Request) { closeAfter(w, "") },
		"no list":         func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{}") },
		"silent, then ok": nil,
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := newFakeDiscovery(t, func(discovery *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
				switch {
				case fail == nil && call <= failing:
					time.Sleep(1900 * time.Millisecond) // just below the call timeout, then rejected
					discovery.setDrained()
					http.Error(w, "it took too long", http.StatusServiceUnavailable)
				case call < failing:
					fail(w, r)
				case call == failing:
					discovery.setDrained()
					fail(w, r)
				default:
					serveDrain(w, r)
				}
			})
			checkDrain(t, discovery, cmp.Or(nodeCounts[name], 300), nil)
		})
	}
	t.Run("refused once, one of hundreds", func(t *testing.T) {
		t.Parallel()
		checkDrain(t, newFakeDiscovery(t, func(discovery *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
			if call > 1 {
				serveDrain(w, r)
				return
			}
			discovery.setDrained()
			failures["refused"](w, r)
		}), 300, nil)
	})
	t.Run("omitted from a full list", func(t *testing.T) {
		t.Parallel()
		discovery := newFakeDiscovery(t, func(discovery *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
			if call > 1 {
				<-r.Context().Done()
				return
			}
			discovery.setDrained()
			fmt.Fprint(w, `{"generation":9,"reset":true,"instances":[]}`)
		})
		checkDrain(t, discovery, 300, nil)
	})
	t.Run("drain after an older entry in one list", func(t *testing.T) {
		t.Parallel()
		discovery := newFakeDiscovery(t, func(discovery *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
			if call > 1 {
				<-r.Context().Done()
				return
			}
			discovery.setDrained()
			fmt.Fprint(w, `{"generation":9,"reset":false,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:1","lifecycle":"up"},{"instanceId":"s-0","lifecycle":"draining"}]}`)
		})
		checkDrain(t, discovery, 300, nil)
	})
	for _, name := range []string{"a reload in the middle of a call", "a second reload during the first one's call"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reached := make(chan bool, 64)
			hangs := func(_ *fakeDiscovery, _ int, _ http.ResponseWriter, r *http.Request) {
				reached <- true
				<-r.Context().Done()
			}
			old, middle := newFakeDiscovery(t, hangs), newFakeDiscovery(t, hangs)
			discovery := newFakeDiscovery(t, func(discovery *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
				if discovery.setDrained(); call == 1 {
					http.Error(w, "overloaded", http.StatusServiceUnavailable)
					return
				}
				serveDrain(w, r)
			})
			checkDrain(t, old, 300, func(n *testNode) *fakeDiscovery {
				<-reached
				if strings.Contains(name, "second") {
					next := *n.cfg
					next.Discovery = addr(middle.Server)
					if err := n.Reload(&next); err != nil {
						t.Fatal(err)
					}
					<-reached
				}
				next := *n.cfg
				next.Discovery = addr(discovery.Server)
				if err := n.Reload(&next); err != nil {
					t.Fatal(err)
				}
				return discovery
			})
		})
	}
}

// With pushed lists, an entry counts as received once the agent has it, watched or not: a
// draining server gets no requests later than 0.5 s after that, from the start of the process
// on and whatever the agent did before.
func TestDrainIsAppliedInTimeWithPushedLists(t *testing.T) {
	hang := func(r *http.Request) { <-r.Context().Done() }
	const fullList = `{"generation":%d,"reset":true,"instances":[{"instanceId":"s-0","lifecycle":"draining"},{"instanceId":"s-1","hostPort":"%s","lifecycle":"up"}]}`
	for name, c := range map[string]struct {
		after   int           // calls answered before the agent stops responding
		back    time.Duration // when the agent responds again and has the drain
		respond func(r *http.Request)
	}{
		"drained before the start":    {},
		"unresponsive at the start":   {0, 2600 * time.Millisecond, hang},
		"unresponsive during a watch": {1, 4 * time.Second, hang},
		"refuses at the start":        {0, 2600 * time.Millisecond, func(*http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begin, servers := time.Now(), new(atomic.Pointer[[]string])
			discovery := newFakeDiscovery(t, func(discovery *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
				switch {
				case call <= c.after: // no drain yet
					fmt.Fprintf(w, `{"generation":8,"reset":true,"instances":[{"instanceId":"s-0","hostPort":"%s","lifecycle":"up"},{"instanceId":"s-1","hostPort":"%s","lifecycle":"up"}]}`, (*servers.Load())[0], (*servers.Load())[1])
				case time.Since(begin) < c.back:
					c.respond(r) // this call gets no answer even after the agent is back
				case r.URL.Query().Get("from") == "9" && r.URL.Query().Get("hold_ms") != "0":
					hang(r)
				default:
					fmt.Fprintf(w, fullList, 9, (*servers.Load())[1])
				}
			})
			time.AfterFunc(c.back, discovery.setDrained)
			n := checkDrainWithin(t, discovery, pushedLists(servers), 500*time.Millisecond, nil)
			if c.back == 0 && n > 0 {
				t.Errorf("%d requests went to a server that the agent had draining before the start", n)
			}
		})
	}
	t.Run("reload to an agent with an older list", func(t *testing.T) {
		t.Parallel()
		first := newFakeDiscovery(t, func(_ *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
			if call > 1 {
				hang(r)
			}
			fmt.Fprint(w, `{"generation":40,"reset":false,"instances":[]}`)
		})
		servers := new(atomic.Pointer[[]string])
		second := newFakeDiscovery(t, func(discovery *fakeDiscovery, call int, w http.ResponseWriter, r *http.Request) {
			if call > 1 {
				hang(r)
			}
			fmt.Fprintf(w, fullList, 3, (*servers.Load())[1])
		})
		checkDrainWithin(t, first, pushedLists(servers), 500*time.Millisecond, func(n *testNode) *fakeDiscovery {
			next := *n.cfg
			next.Discovery = addr(second.Server)
			second.setDrained()
			if err := n.Reload(&next); err != nil {
				t.Fatal(err)
			}
			return second
		})
	})
}

// pushedLists changes a configuration to pushed lists and stores the servers' addresses.
func pushedLists(servers *atomic.Pointer[[]string]) func(config string) string {
	return func(config string) string {
		c, err := node.ParseConfig([]byte(config))
		if err != nil {
			return err.Error()
		}
		servers.Store(&[]string{c.InitialList.Instances[0].HostPort, c.InitialList.Instances[1].HostPort})
		return strings.Replace(config, "on_request", "pushed", 1)
	}
}

// checkDrain is checkDrainWithin for one of several nodes that poll discovery.
func checkDrain(t *testing.T, discovery *fakeDiscovery, nodes int, reload func(*testNode) *fakeDiscovery) {
	checkDrainWithin(t, discovery, func(config string) string {
		return strings.Replace(config, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, nodes), 1)
	}, 6500*time.Millisecond, reload)
}

// checkDrainWithin sends requests to a node with two servers until the first one, which drains
// in discovery, gets no more, and checks that this happens within the grace period. It returns
// how many requests that server got. reload may change to another discovery.
func checkDrainWithin(t *testing.T, discovery *fakeDiscovery, change func(config string) string, grace time.Duration, reload func(*testNode) *fakeDiscovery) int64 {
	var lastToDrained atomic.Int64
	var sent [2]atomic.Int64
	var servers []string
	for i := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			sent[i].Add(1)
			if i == 0 {
				lastToDrained.Store(time.Now().UnixNano())
			} else {
				// The first server responds faster, so the node prefers it until it drains.
				time.Sleep(5 * time.Millisecond)
			}
		}))
		t.Cleanup(s.Close)
		servers = append(servers, addr(s))
	}
	cfg, err := node.ParseConfig([]byte(change(nodetest.ConfigJSON(addr(discovery.Server), servers...))))
	if err != nil {
		t.Fatal(err)
	}
	n := startNode(t, cfg)
	if reload != nil {
		discovery = reload(n)
	}
	for n.url != "" { // until the node is ready
		if resp, err := http.Get(n.url + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	for i := 0; ; i++ {
		n.request(context.Background(), "clip", fmt.Sprint("r", i), time.Second)
		time.Sleep(5 * time.Millisecond)
		drainedAt, now := discovery.drainedSince(), time.Now()
		if !drainedAt.IsZero() && now.Sub(drainedAt) > grace && lastToDrained.Load() > drainedAt.Add(grace).UnixNano() {
			t.Fatalf("requests still sent %v after discovery had the drain", now.Sub(drainedAt))
		}
		// So many requests to the other server alone are not a coincidence.
		if !drainedAt.IsZero() && time.Unix(0, lastToDrained.Load()).Before(now.Add(-time.Second)) && i > 100 {
			if sent[1].Load() == 0 {
				t.Error("the other server got nothing")
			}
			return sent[0].Load()
		}
		if now.Sub(begin) > nodetest.WaitTimeout {
			t.Fatalf("sent %d and %d; discovery had the drain at %v", sent[0].Load(), sent[1].Load(), drainedAt)
		}
	}
}
