package control

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/discovery"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/steer"
)

const patience = 20 * time.Second

// sink keeps the last state.
type sink struct {
	mu   sync.Mutex
	last *steer.State
	n    int
}

func (s *sink) Publish(st *steer.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last, s.n = st, s.n+1
}

// until waits for a state that fits.
func (s *sink) until(t *testing.T, what string, fits func(*steer.State) bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < patience; time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		ok := s.last != nil && fits(s.last)
		s.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatalf("never: %s; last %+v", what, s.last)
}

func health(st *steer.State, id string) (steer.Health, bool) {
	for _, l := range st.View("").Localities {
		for _, e := range l.Endpoints {
			if e.ID == steer.ServerID(id) {
				return e.Health, true
			}
		}
	}
	return 0, false
}

func is(id string, want steer.Health) func(*steer.State) bool {
	return func(st *steer.State) bool { h, ok := health(st, id); return ok && h == want && st.Confirmed }
}

func listAt(t *testing.T, generation uint64) (*hosts.Service, string) {
	t.Helper()
	start := time.Now()
	h := hosts.NewService(generation, func() time.Duration { return time.Since(start) }, func(history.Event) {},
		func(_, server string) string { return "127.0.0.1:1" })
	t.Cleanup(h.Close)
	addr, err := h.Listen("control")
	if err != nil {
		t.Fatal(err)
	}
	return h, addr
}

func entry(id, lifecycle string) hosts.Entry {
	return hosts.Entry{InstanceID: id, Zone: "a", Lifecycle: lifecycle, Weight: 1}
}

func engine(t *testing.T, addr, file string, to Publisher, probe func(context.Context, string) bool) *Engine {
	t.Helper()
	e, err := NewEngine(Config{Steer: steer.Settings{Classes: []balance.Class{{TargetLatency: time.Second}}}, Discovery: addr, ListFile: file, Publisher: to, Probe: probe})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

func TestItFollowsDiscoveryThroughOutageAndRestart(t *testing.T) {
	h, addr := listAt(t, 500)
	h.SetNow(entry("s0", hosts.Up))
	h.SetNow(entry("s1", hosts.Up))
	to := &sink{}
	engine(t, addr, "", to, nil)
	to.until(t, "both are told", is("s1", steer.Healthy))
	h.SetNow(entry("s1", hosts.Draining))
	to.until(t, "a drain", is("s1", steer.Draining))
	h.SetDown(true)
	h.SetNow(entry("s0", hosts.Draining))
	time.Sleep(300 * time.Millisecond)
	if got, _ := health(to.last, "s1"); got != steer.Draining {
		t.Errorf("while discovery is down: %v", got)
	}
	h.SetDown(false)
	to.until(t, "what was not said meanwhile", is("s0", steer.Draining))
	h.Restart(3) // a lower version: the whole list comes again
	h.SetNow(entry("s1", hosts.Up))
	to.until(t, "a return after the restart", is("s1", steer.Healthy))
	h.SetNow(entry("s0", hosts.Removed))
	to.until(t, "a removal", func(st *steer.State) bool { _, ok := health(st, "s0"); return !ok })
}

// After a restart the kept list is told as unconfirmed, until discovery speaks.
func TestAKeptListIsNotConfirmed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list.json")
	if err := writeList(file, []discovery.Entry{{InstanceID: "s0", HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: "up"}}); err != nil {
		t.Fatal(err)
	}
	h, addr := listAt(t, 1)
	h.SetNow(entry("s0", hosts.Draining))
	h.SetDown(true)
	to := &sink{}
	engine(t, addr, file, to, nil)
	to.until(t, "the kept list", func(st *steer.State) bool {
		h, ok := health(st, "s0")
		return ok && h == steer.Healthy && !st.Confirmed
	})
	h.SetDown(false)
	to.until(t, "the drain", is("s0", steer.Draining))
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		kept, err := readList(file)
		if err == nil && len(kept) == 1 && kept[0].Lifecycle == "draining" {
			break
		}
		if time.Since(began) > patience {
			t.Fatalf("kept: %v, %v", kept, err)
		}
	}
	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readList(file); err == nil {
		t.Error("a broken file is read")
	}
}

func TestAnExcludedServerIsProbedAndComesBack(t *testing.T) {
	h, addr := listAt(t, 1)
	for _, id := range []string{"s0", "s1", "s2"} {
		h.SetNow(entry(id, hosts.Up))
	}
	var mu sync.Mutex
	well, probes := false, 0
	to := &sink{}
	e := engine(t, addr, "", to, func(context.Context, string) bool {
		mu.Lock()
		defer mu.Unlock()
		probes++
		return well
	})
	to.until(t, "all are told", is("s2", steer.Healthy))
	e.Post(steer.ProxyJoined{Proxy: "p", Zone: "a"})
	e.Post(steer.LoadReported{Proxy: "p", Interval: time.Second, Loads: []steer.Load{{Server: "s1", Issued: 20, Errors: 20}}})
	to.until(t, "it is excluded", is("s1", steer.Excluded))
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		n := probes
		well = n >= 2
		mu.Unlock()
		if n >= 2 {
			break
		}
		if time.Since(began) > patience {
			t.Fatal("nobody probes it")
		}
	}
	to.until(t, "it is back", is("s1", steer.Healthy))
}

// stuck is a sink that stands still once, and the engine with it.
type stuck struct {
	sink
	once sync.Once
	on   chan struct{}
	for_ time.Duration
}

func (s *stuck) Publish(st *steer.State) {
	s.sink.Publish(st)
	select {
	case <-s.on:
		s.once.Do(func() { time.Sleep(s.for_) })
	default:
	}
}

// A service that was stopped may have missed a drain: until discovery has
// answered anew nothing is confirmed, and what it had published is not alive.
func TestWhoStoodStillConfirmsNothingUntilDiscoveryAnswers(t *testing.T) {
	h, addr := listAt(t, 5)
	h.SetNow(hosts.Entry{InstanceID: "s1", Zone: "a", Lifecycle: hosts.Up, Weight: 1})
	to := &stuck{on: make(chan struct{}), for_: 3 * stallAfter}
	e, err := NewEngine(Config{Steer: steer.Settings{Classes: []balance.Class{{Name: "clip"}}}, Discovery: addr, Publisher: to})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go e.Run(ctx)
	defer func() { stop(); <-e.ended }()
	to.until(t, "the list", is("s1", steer.Healthy))
	h.SetDown(true) // nobody can confirm
	close(to.on)
	e.Post(steer.ProxyJoined{Proxy: "p", Zone: "a"})
	e.Post(steer.ListReceived{Kind: steer.ListFull, Servers: []steer.Server{{ID: "s1", Addr: "127.0.0.1:1", Zone: "a", RelativeSize: 1}, {ID: "s2", Addr: "127.0.0.1:2", Zone: "a", RelativeSize: 1, Draining: true}}}) // it publishes, and stands still
	for began := time.Now(); e.Alive(); time.Sleep(time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatal("it is alive while it stands still")
		}
	}
	to.until(t, "nothing is confirmed", func(st *steer.State) bool { return !st.Confirmed })
	h.SetNow(hosts.Entry{InstanceID: "s1", Zone: "a", Lifecycle: hosts.Draining, Weight: 1})
	h.SetDown(false)
	to.until(t, "the drain, confirmed", is("s1", steer.Draining))
	if !e.Alive() {
		t.Error("it is not alive although it goes on")
	}
}
