package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/handoff"
	"ivylock/internal/discovery"
	"ivylock/internal/handover"
	"ivylock/maintenance"
)

// fakeKeeper holds the state in memory.
type fakeKeeper struct {
	kept  *handoff.State
	newer *handoff.State
	err   error
}

func (k *fakeKeeper) Store(s *handoff.State) (*handoff.State, error) {
	if k.err == nil {
		k.kept = s
	}
	return k.newer, k.err
}
func (k *fakeKeeper) CheckOwner() error         { return k.err }
func (k *fakeKeeper) PollNewer() *handoff.State { return nil }

// hear runs one turn of the loop by hand.
func hear(n *Node, id string, out bool) error {
	w := word{id: id, out: out, answer: make(chan heard, 1)}
	n.maintain(w)
	return (<-w.answer).err
}

func TestOutByHandHoldsOverListsAndTheNextProcess(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	n.takeNews(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	closed := func(n *Node, name string) bool { b := n.servers[n.ids[name]]; return b == nil || b.Closed() }
	if err := hear(n, "nobody", true); !errors.Is(err, maintenance.ErrUnknown) {
		t.Errorf("an id that nobody has: %v", err)
	}
	for _, name := range []string{"s-0", "s-1", "s-0"} { // the last server too, and one twice
		if err := hear(n, name, true); err != nil || !closed(n, name) {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if n.figures.OutOfRotation.Load() != 2 || n.figures.Registry.Load() != 2 {
		t.Errorf("the figures say\n%s", n.figures.Text())
	}
	up := func(id string) discovery.Entry {
		return discovery.Entry{InstanceID: id, HostPort: "127.0.0.1:2", Lifecycle: "up", StartedAtMs: time.Now().UnixMilli()}
	}
	n.takeNews(discovery.Update{Kind: balance.ListFull, List: discovery.List{Generation: 8, Instances: []discovery.Entry{up("s-1")}}})
	n.takeNews(discovery.Update{Kind: balance.ListFull, List: discovery.List{Generation: 9, Instances: []discovery.Entry{up("s-0"), up("s-1")}}})
	if !closed(n, "s-0") || !closed(n, "s-1") {
		t.Error("the list overruled the operators")
	}
	s := n.state()
	s.Version, s.Node = handoff.FormatVersion, cfg.Name

	next := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
	next.TakeOver(s, &fakeKeeper{})
	if next.list.Generation() != 9 {
		t.Errorf("it goes on from list %d", next.list.Generation())
	}
	next.takeNews(discovery.Update{Kind: balance.ListCached, List: next.cfg.InitialList})
	if !closed(next, "s-0") || !closed(next, "s-1") {
		t.Error("the next process forgot the operators' words")
	}
	if err := hear(next, "s-0", false); err != nil || closed(next, "s-0") || !closed(next, "s-1") {
		t.Errorf("one back at the next process: %v", err)
	}
	_, servers := next.module.Learned()
	if !servers[next.ids["s-0"]].WarmingUp {
		t.Error("the server that came back counts as warm")
	}
}

// What was drained at the old process just before stays drained at the new one,
// and what was cold stays cold with an empty budget.
func TestDrainsAndColdServersAreTakenOver(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	n.takeNews(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	started := time.Now().Add(-time.Second).UnixMilli()
	n.takeNews(discovery.Update{Kind: balance.ListChanges, List: discovery.List{Generation: 8, Instances: []discovery.Entry{
		{InstanceID: "s-0", HostPort: "127.0.0.1:2", Lifecycle: "draining"},
		{InstanceID: "s-1", HostPort: "127.0.0.1:3", Lifecycle: "up", StartedAtMs: started}}}})
	s := n.state()
	s.Version, s.Node = handoff.FormatVersion, cfg.Name
	next := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
	next.TakeOver(s, &fakeKeeper{})
	next.takeNews(discovery.Update{Kind: balance.ListCached, List: next.cfg.InitialList})
	if b := next.servers[next.ids["s-0"]]; !b.Closed() {
		t.Error("the drain was forgotten")
	}
	_, servers := next.module.Learned()
	got := servers[next.ids["s-1"]]
	if want := time.Duration(started) * time.Millisecond; !got.WarmingUp || got.WarmupStartedAt != want {
		t.Errorf("cold %v since %v, want %v", got.WarmingUp, got.WarmupStartedAt, want)
	}
}

// A server that an operator took back into use a second before the upgrade is cold at the next process, also where the
// wall clock stepped in between.
func TestAServerThatIsBackIsColdThoughTheClockStepped(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
		n := New(cfg)
		n.takeNews(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
		for _, out := range []bool{true, false} {
			if err := hear(n, "s-0", out); err != nil {
				t.Fatal(err)
			}
		}
		s := n.state()
		s.Version, s.Node = handoff.FormatVersion, cfg.Name
		next := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
		next.origin += step
		next.TakeOver(s, &fakeKeeper{})
		next.takeNews(discovery.Update{Kind: balance.ListCached, List: next.cfg.InitialList})
		_, servers := next.module.Learned()
		if got := servers[next.ids["s-0"]]; !got.WarmingUp || (next.now()-got.WarmupStartedAt).Abs() > time.Second {
			t.Errorf("the clock stepped by %v: cold %v since %v", step, got.WarmingUp, next.now()-got.WarmupStartedAt)
		}
	}
}

func TestWordsGoToTheProcessThatSpeaks(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	k := &fakeKeeper{}
	n.TakeOver(nil, k)
	ctx, stop := context.WithCancel(context.Background())
	n.takeNews(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	go n.loop(ctx)
	if err := n.Maintain(ctx, "s-0", true); err != nil || k.kept == nil || len(k.kept.Maintenance) != 1 {
		t.Errorf("it said yes (%v) with %+v kept", err, k.kept)
	}
	k.err = handover.ErrTakenOver
	if err := n.Maintain(ctx, "s-0", false); !errors.Is(err, handover.ErrTakenOver) {
		t.Errorf("after a newer process took over: %v", err)
	}
	k.err, k.newer = nil, &handoff.State{Maintenance: []maintenance.Record{{ID: "s-1", InMaintenance: true}}}
	if err := n.store(&handoff.State{WrittenAt: n.now()}); err != nil { // the newer one died
		t.Fatal(err)
	}
	// The loop hears the next word after what was posted before it was asked.
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && len(n.events) > 0; time.Sleep(time.Millisecond) {
	}
	if err := n.Maintain(ctx, "nobody", true); !errors.Is(err, maintenance.ErrUnknown) {
		t.Errorf("an id that nobody has: %v", err)
	}
	stop()
	<-n.done
	if n.byHand.InMaintenance("s-0") || !n.byHand.InMaintenance("s-1") {
		t.Error("the newer process's words do not hold")
	}
}

// Guards against an old process that is busy with nothing but reading, over
// and over, what the newer one wrote.
func TestFollowingANewerProcessIsNoBusyLoop(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2")
	n := New(cfg)
	k := &fakeKeeper{err: handover.ErrTakenOver, newer: &handoff.State{Maintenance: []maintenance.Record{{ID: "s-0", InMaintenance: true}}}}
	n.TakeOver(nil, k)
	n.takeNews(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	turns := 0
	for ; turns < 10; turns++ { // the loop and the goroutine that keeps, by turns
		select {
		case s := <-n.keep:
			n.store(s)
		default:
		}
		select {
		case e := <-n.events:
			n.takeEvent(e)
			continue
		default:
		}
		break
	}
	if turns > 3 {
		t.Errorf("after %d turns it still goes on", turns)
	}
	if !n.byHand.InMaintenance("s-0") {
		t.Error("the newer process's word does not hold")
	}
}

// Guards against a word that was answered yes and is overwritten by a state
// that was queued before it.
func TestAnOlderStateNeverReplacesANewerOne(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
	k := &fakeKeeper{}
	n.TakeOver(nil, k)
	older, newer := &handoff.State{WrittenAt: 1}, &handoff.State{WrittenAt: 2}
	for _, s := range []*handoff.State{newer, older} {
		if err := n.store(s); err != nil {
			t.Fatal(err)
		}
	}
	if k.kept != newer {
		t.Error("the older state was kept")
	}
}
