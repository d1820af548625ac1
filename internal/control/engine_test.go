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

const waitTimeout = 20 * time.Second

// publisherStub keeps the last published state.
type publisherStub struct {
	mu    sync.Mutex
	last  *steer.State
	count int
}

func (p *publisherStub) Publish(state *steer.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.count = state, p.count+1
}

// waitFor waits for a state that matches.
func (p *publisherStub) waitFor(t *testing.T, what string, matches func(*steer.State) bool) {
	t.Helper()
	for started := time.Now(); time.Since(started) < waitTimeout; time.Sleep(2 * time.Millisecond) {
		p.mu.Lock()
		matched := p.last != nil && matches(p.last)
		p.mu.Unlock()
		if matched {
			return
		}
	}
	t.Fatalf("no state with %s; last state %+v", what, p.last)
}

func healthOf(state *steer.State, id string) (steer.Health, bool) {
	for _, locality := range state.View("").Localities {
		for _, endpoint := range locality.Endpoints {
			if endpoint.ID == steer.ServerID(id) {
				return endpoint.Health, true
			}
		}
	}
	return 0, false
}

func confirmedHealth(id string, want steer.Health) func(*steer.State) bool {
	return func(state *steer.State) bool {
		health, ok := healthOf(state, id)
		return ok && health == want && state.Confirmed
	}
}

func startDiscoveryStub(t *testing.T, generation uint64) (*hosts.Service, string) {
	t.Helper()
	start := time.Now()
	stub := hosts.NewService(generation, func() time.Duration { return time.Since(start) }, func(history.Event) {},
		func(_, server string) string { return "127.0.0.1:1" })
	t.Cleanup(stub.Close)
	addr, err := stub.Listen("control")
	if err != nil {
		t.Fatal(err)
	}
	return stub, addr
}

func listEntry(id, lifecycle string) hosts.Entry {
	return hosts.Entry{InstanceID: id, Zone: "a", Lifecycle: lifecycle, Weight: 1}
}

func startEngine(t *testing.T, addr, listFile string, publisher Publisher, probe func(context.Context, string) bool) *Engine {
	t.Helper()
	engine, err := NewEngine(Config{Steer: steer.Settings{Classes: []balance.Class{{TargetLatency: time.Second}}},
		Discovery: addr, ListFile: listFile, Publisher: publisher, Probe: probe})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { engine.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return engine
}

func TestEngineFollowsDiscoveryThroughOutageAndRestart(t *testing.T) {
	discoveryStub, addr := startDiscoveryStub(t, 500)
	discoveryStub.SetNow(listEntry("s0", hosts.Up))
	discoveryStub.SetNow(listEntry("s1", hosts.Up))
	publisher := &publisherStub{}
	startEngine(t, addr, "", publisher, nil)
	publisher.waitFor(t, "both servers", confirmedHealth("s1", steer.Healthy))
	discoveryStub.SetNow(listEntry("s1", hosts.Draining))
	publisher.waitFor(t, "the drain", confirmedHealth("s1", steer.Draining))
	discoveryStub.SetDown(true)
	discoveryStub.SetNow(listEntry("s0", hosts.Draining))
	time.Sleep(300 * time.Millisecond)
	if got, _ := healthOf(publisher.last, "s1"); got != steer.Draining {
		t.Errorf("health while discovery is down: %v", got)
	}
	discoveryStub.SetDown(false)
	publisher.waitFor(t, "the drain during the outage", confirmedHealth("s0", steer.Draining))
	discoveryStub.Restart(3) // a lower generation forces a full list
	discoveryStub.SetNow(listEntry("s1", hosts.Up))
	publisher.waitFor(t, "the end of the drain after the restart", confirmedHealth("s1", steer.Healthy))
	discoveryStub.SetNow(listEntry("s0", hosts.Removed))
	publisher.waitFor(t, "the removal", func(state *steer.State) bool { _, ok := healthOf(state, "s0"); return !ok })
}

// After a restart the cached list is published as unconfirmed until discovery responds.
func TestCachedListIsNotConfirmed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list.json")
	if err := writeList(file, []discovery.Entry{
		{InstanceID: "s0", HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: "up"}}); err != nil {
		t.Fatal(err)
	}
	discoveryStub, addr := startDiscoveryStub(t, 1)
	discoveryStub.SetNow(listEntry("s0", hosts.Draining))
	discoveryStub.SetDown(true)
	publisher := &publisherStub{}
	startEngine(t, addr, file, publisher, nil)
	publisher.waitFor(t, "the cached list", func(state *steer.State) bool {
		health, ok := healthOf(state, "s0")
		return ok && health == steer.Healthy && !state.Confirmed
	})
	discoveryStub.SetDown(false)
	publisher.waitFor(t, "the drain", confirmedHealth("s0", steer.Draining))
	for started := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		cached, err := readList(file)
		if err == nil && len(cached) == 1 && cached[0].Lifecycle == "draining" {
			break
		}
		if time.Since(started) > waitTimeout {
			t.Fatalf("stored list: %v, %v", cached, err)
		}
	}
	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readList(file); err == nil {
		t.Error("no error for a corrupt file")
	}
}

func TestExcludedServerIsProbedAndReturns(t *testing.T) {
	discoveryStub, addr := startDiscoveryStub(t, 1)
	for _, id := range []string{"s0", "s1", "s2"} {
		discoveryStub.SetNow(listEntry(id, hosts.Up))
	}
	var mu sync.Mutex
	probesPass, probes := false, 0
	publisher := &publisherStub{}
	engine := startEngine(t, addr, "", publisher, func(context.Context, string) bool {
		mu.Lock()
		defer mu.Unlock()
		probes++
		return probesPass
	})
	publisher.waitFor(t, "all servers", confirmedHealth("s2", steer.Healthy))
	engine.Post(steer.ProxyJoined{Proxy: "p", Zone: "a"})
	engine.Post(steer.LoadReported{Proxy: "p", Interval: time.Second,
		Loads: []steer.Load{{Server: "s1", Issued: 20, Errors: 20}}})
	publisher.waitFor(t, "the exclusion", confirmedHealth("s1", steer.Excluded))
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		n := probes
		probesPass = n >= 2
		mu.Unlock()
		if n >= 2 {
			break
		}
		if time.Since(started) > waitTimeout {
			t.Fatal("the excluded server is not probed")
		}
	}
	publisher.waitFor(t, "the end of the exclusion", confirmedHealth("s1", steer.Healthy))
}

// pausingPublisher blocks once in Publish, and with it the engine.
type pausingPublisher struct {
	publisherStub
	once  sync.Once
	armed chan struct{}
	pause time.Duration
}

func (p *pausingPublisher) Publish(state *steer.State) {
	p.publisherStub.Publish(state)
	select {
	case <-p.armed:
		p.once.Do(func() { time.Sleep(p.pause) })
	default:
	}
}

// A paused process may have missed a drain: it must not be alive during the pause nor confirm
// anything afterwards until discovery responds.
func TestNothingIsConfirmedAfterProcessPauseUntilDiscoveryResponds(t *testing.T) {
	discoveryStub, addr := startDiscoveryStub(t, 5)
	discoveryStub.SetNow(hosts.Entry{InstanceID: "s1", Zone: "a", Lifecycle: hosts.Up, Weight: 1})
	publisher := &pausingPublisher{armed: make(chan struct{}), pause: 3 * maxLoopPause}
	engine, err := NewEngine(Config{Steer: steer.Settings{Classes: []balance.Class{{Name: "clip"}}},
		Discovery: addr, Publisher: publisher})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go engine.Run(ctx)
	defer func() { cancel(); <-engine.done }()
	publisher.waitFor(t, "the list", confirmedHealth("s1", steer.Healthy))
	discoveryStub.SetDown(true) // nothing can be confirmed
	close(publisher.armed)
	engine.Post(steer.ProxyJoined{Proxy: "p", Zone: "a"})
	engine.Post(steer.ListReceived{Kind: steer.ListFull, Servers: []steer.Server{
		{ID: "s1", Addr: "127.0.0.1:1", Zone: "a", RelativeSize: 1},
		{ID: "s2", Addr: "127.0.0.1:2", Zone: "a", RelativeSize: 1, Draining: true}}})
	for started := time.Now(); engine.Alive(); time.Sleep(time.Millisecond) {
		if time.Since(started) > waitTimeout {
			t.Fatal("engine alive during a process pause")
		}
	}
	publisher.waitFor(t, "nothing confirmed", func(state *steer.State) bool { return !state.Confirmed })
	discoveryStub.SetNow(hosts.Entry{InstanceID: "s1", Zone: "a", Lifecycle: hosts.Draining, Weight: 1})
	discoveryStub.SetDown(false)
	publisher.waitFor(t, "the drain confirmed", confirmedHealth("s1", steer.Draining))
	if !engine.Alive() {
		t.Error("engine not alive after the process pause")
	}
}
