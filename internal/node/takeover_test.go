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

// memoryStore is a StateStore that holds the state in memory.
type memoryStore struct {
	stored   *handoff.State
	newer    *handoff.State
	err      error
	left     *handoff.State // by a newer process that has died: the next Store returns it
	found    chan bool      // receives a value when Store has returned left
	siblings handoff.SiblingStates
	isNewer  bool
}

func (m *memoryStore) Store(s *handoff.State) (*handoff.State, error) {
	if left := m.left; left != nil {
		m.left = nil
		m.found <- true
		return left, nil
	}
	if m.err == nil {
		m.stored = s
	}
	return m.newer, m.err
}
func (m *memoryStore) CheckOwner() error                   { return m.err }
func (m *memoryStore) PollSiblings() handoff.SiblingStates { return m.siblings }
func (m *memoryStore) IsNewer(*handoff.State) bool         { return m.isNewer }

// setMaintenance applies a command as the loop does.
func setMaintenance(n *Node, id string, inMaintenance bool) error {
	cmd := command{id: id, inMaintenance: inMaintenance, result: make(chan commandResult, 1)}
	n.applyCommand(cmd)
	return (<-cmd.result).err
}

func TestMaintenanceOutlastsListsAndUpgrade(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	closed := func(n *Node, name string) bool { b := n.servers[n.serverIDs[name]]; return b == nil || b.Disabled() }
	if err := setMaintenance(n, "nobody", true); !errors.Is(err, maintenance.ErrUnknown) {
		t.Errorf("unknown ID: %v", err)
	}
	for _, name := range []string{"s-0", "s-1", "s-0"} { // including the last server, and one server twice
		if err := setMaintenance(n, name, true); err != nil || !closed(n, name) {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if n.metrics.OutOfRotation.Load() != 2 || n.metrics.RegistryEntries.Load() != 2 {
		t.Errorf("the metrics are\n%s", n.metrics.Text())
	}
	up := func(id string) discovery.Entry {
		return discovery.Entry{InstanceID: id, HostPort: "127.0.0.1:2", Lifecycle: "up", StartedAtMs: time.Now().UnixMilli()}
	}
	n.applyListUpdate(discovery.Update{Kind: balance.ListFull, List: discovery.List{Generation: 8, Instances: []discovery.Entry{up("s-1")}}})
	n.applyListUpdate(discovery.Update{Kind: balance.ListFull, List: discovery.List{Generation: 9, Instances: []discovery.Entry{up("s-0"), up("s-1")}}})
	if !closed(n, "s-0") || !closed(n, "s-1") {
		t.Error("the list overruled the maintenance")
	}
	s := n.handoffState()
	s.Version, s.Node = handoff.FormatVersion, cfg.Name

	next := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
	next.TakeOver(s, &memoryStore{})
	if next.list.Generation() != 9 {
		t.Errorf("the next process starts from list %d", next.list.Generation())
	}
	next.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: next.cfg.InitialList})
	if !closed(next, "s-0") || !closed(next, "s-1") {
		t.Error("the next process lost the maintenance records")
	}
	if err := setMaintenance(next, "s-0", false); err != nil || closed(next, "s-0") || !closed(next, "s-1") {
		t.Errorf("end of maintenance at the next process: %v", err)
	}
	_, servers := next.module.Learned()
	if !servers[next.serverIDs["s-0"]].WarmingUp {
		t.Error("the server that returned is not warming up")
	}
}

// A drain that the old process received last holds at the new one, and a server that was
// warming up continues to warm up.
func TestHandoffKeepsDrainsAndWarmup(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	started := time.Now().Add(-time.Second).UnixMilli()
	n.applyListUpdate(discovery.Update{Kind: balance.ListChanges, List: discovery.List{Generation: 8, Instances: []discovery.Entry{
		{InstanceID: "s-0", HostPort: "127.0.0.1:2", Lifecycle: "draining"},
		{InstanceID: "s-1", HostPort: "127.0.0.1:3", Lifecycle: "up", StartedAtMs: started}}}})
	s := n.handoffState()
	s.Version, s.Node = handoff.FormatVersion, cfg.Name
	next := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
	next.TakeOver(s, &memoryStore{})
	next.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: next.cfg.InitialList})
	if b := next.servers[next.serverIDs["s-0"]]; !b.Disabled() {
		t.Error("the drain was lost")
	}
	_, servers := next.module.Learned()
	got := servers[next.serverIDs["s-1"]]
	if want := time.Duration(started) * time.Millisecond; !got.WarmingUp || got.WarmupStartedAt != want {
		t.Errorf("warming up %v since %v, want %v", got.WarmingUp, got.WarmupStartedAt, want)
	}
}

// A server that returned from maintenance a second before the upgrade is warming up at the
// next process, even if the wall clock stepped in between.
func TestServerBackFromMaintenanceWarmsUpAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
		n := New(cfg)
		n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
		for _, inMaintenance := range []bool{true, false} {
			if err := setMaintenance(n, "s-0", inMaintenance); err != nil {
				t.Fatal(err)
			}
		}
		s := n.handoffState()
		s.Version, s.Node = handoff.FormatVersion, cfg.Name
		next := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
		next.origin += step
		next.TakeOver(s, &memoryStore{})
		next.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: next.cfg.InitialList})
		_, servers := next.module.Learned()
		if got := servers[next.serverIDs["s-0"]]; !got.WarmingUp || (next.now()-got.WarmupStartedAt).Abs() > time.Second {
			t.Errorf("clock step %v: warming up %v for %v", step, got.WarmingUp, next.now()-got.WarmupStartedAt)
		}
	}
}

func TestMaintenanceCommandsGoToTheOwner(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	store := &memoryStore{}
	n.TakeOver(nil, store)
	ctx, stop := context.WithCancel(context.Background())
	n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	go n.loop(ctx)
	if err := n.SetMaintenance(ctx, "s-0", true); err != nil || store.stored == nil || len(store.stored.Maintenance) != 1 {
		t.Errorf("acknowledged (%v) with %+v stored", err, store.stored)
	}
	store.err = handover.ErrTakenOver
	if err := n.SetMaintenance(ctx, "s-0", false); !errors.Is(err, handover.ErrTakenOver) {
		t.Errorf("after a newer process took over: %v", err)
	}
	store.err, store.newer = nil, &handoff.State{Maintenance: []maintenance.Record{{ID: "s-1", InMaintenance: true}}}
	if err := n.store(&handoff.State{WrittenAt: n.now()}); err != nil { // the newer process has exited
		t.Fatal(err)
	}
	if err := n.SetMaintenance(ctx, "nobody", true); !errors.Is(err, maintenance.ErrUnknown) {
		t.Errorf("unknown ID: %v", err)
	}
	stop()
	<-n.done
	if n.maintenance.InMaintenance("s-0") || !n.maintenance.InMaintenance("s-1") {
		t.Error("the newer process's maintenance records are not in force")
	}
}

// serveCommands applies commands as the loop does until a call returns.
func serveCommands(n *Node, returned <-chan error) error {
	for {
		select {
		case cmd := <-n.commands:
			n.applyCommand(cmd)
		case err := <-returned:
			return err
		}
	}
}

// start runs a function in a goroutine and returns a channel for its result.
func start(call func() error) <-chan error {
	result := make(chan error, 1)
	go func() { result <- call() }()
	return result
}

// Guards against losing an operator's command that comes while the process becomes the owner
// again, as the newer one has died: the records that this one left are adopted before the
// command, not after it.
func TestCommandWhileBecomingOwnerAgainIsKept(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	store := &memoryStore{found: make(chan bool, 1), left: &handoff.State{Maintenance: []maintenance.Record{{ID: "s-1", InMaintenance: true}}}}
	n.TakeOver(nil, store)
	stored := start(func() error { return n.store(&handoff.State{WrittenAt: n.now()}) })
	<-store.found
	entered := start(func() error { return n.SetMaintenance(context.Background(), "s-0", true) })
	for _, returned := range []<-chan error{entered, stored} {
		if err := serveCommands(n, returned); err != nil {
			t.Fatal(err)
		}
	}
	for len(n.events) > 0 {
		n.handleEvent(<-n.events)
	}
	if !n.maintenance.InMaintenance("s-0") || !n.maintenance.InMaintenance("s-1") {
		t.Errorf("in force: %+v", n.maintenance.Records())
	}
}

// blockedStore is a StateStore whose disk operations take until release is closed.
type blockedStore struct {
	memoryStore
	release chan bool
}

func (s *blockedStore) Store(state *handoff.State) (*handoff.State, error) {
	<-s.release
	return s.memoryStore.Store(state)
}

// Guards against sending to a server that an operator took out of service while a disk blocks:
// the command is in force at once, and is answered once it is stored.
func TestCommandIsInForceWhileDiskBlocks(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	n := New(cfg)
	n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	store := &blockedStore{release: make(chan bool)}
	n.TakeOver(nil, store)
	stored := start(func() error {
		n.storeMu.Lock()
		defer n.storeMu.Unlock()
		_, err := n.storeIfNewer(&handoff.State{WrittenAt: n.now()})
		return err
	})
	for n.storeMu.TryLock() { // until the store has begun
		n.storeMu.Unlock()
	}
	entered := start(func() error { return n.SetMaintenance(context.Background(), "s-1", true) })
	select {
	case cmd := <-n.commands:
		n.applyCommand(cmd)
	case <-time.After(20 * time.Second):
		t.Error("the command waits for the disk")
	}
	if server := n.servers[n.serverIDs["s-1"]]; !server.Disabled() {
		t.Error("the server is still in use")
	}
	close(store.release)
	for _, returned := range []<-chan error{stored, entered} {
		if err := serveCommands(n, returned); err != nil {
			t.Error(err)
		}
	}
	if store.stored == nil || len(store.stored.Maintenance) != 1 {
		t.Errorf("stored: %+v", store.stored)
	}
}

// The old process must not loop on rereading the state of the newer one.
func TestAdoptingANewerStateDoesNotBusyLoop(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2")
	n := New(cfg)
	store := &memoryStore{err: handover.ErrTakenOver, newer: &handoff.State{Maintenance: []maintenance.Record{{ID: "s-0", InMaintenance: true}}}}
	n.TakeOver(nil, store)
	n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
	turns := 0
	for ; turns < 10; turns++ { // the loop and the state store in turn
		select {
		case s := <-n.pendingState:
			serveCommands(n, start(func() error { return n.store(s) }))
			continue
		default:
		}
		select {
		case e := <-n.events:
			n.handleEvent(e)
			continue
		default:
		}
		break
	}
	if turns > 3 {
		t.Errorf("still busy after %d turns", turns)
	}
	if !n.maintenance.InMaintenance("s-0") {
		t.Error("the newer process's maintenance record is not in force")
	}
}

// An acknowledged command must not be overwritten by a state that was queued before it.
func TestOlderStateNeverReplacesNewer(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
	store := &memoryStore{}
	n.TakeOver(nil, store)
	older, newer := &handoff.State{WrittenAt: 1}, &handoff.State{WrittenAt: 2}
	for _, s := range []*handoff.State{newer, older} {
		if err := n.store(s); err != nil {
			t.Fatal(err)
		}
	}
	if store.stored != newer {
		t.Error("the older state was stored")
	}
}

// Guards against an ending process that sends to a server which the newer process has taken
// out of service: its records are in force with the poll, before anything is stored. A process
// that has become the owner again ignores them.
func TestOldProcessAppliesOwnersMaintenanceWithPoll(t *testing.T) {
	for _, isNewer := range []bool{true, false} {
		cfg := testConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
		n := New(cfg)
		store := &memoryStore{err: handover.ErrTakenOver, isNewer: isNewer, siblings: handoff.SiblingStates{
			Owner: &handoff.State{Maintenance: []maintenance.Record{{ID: "s-1", InMaintenance: true}}}}}
		n.TakeOver(nil, store)
		n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: cfg.InitialList})
		ctx, stop := context.WithCancel(context.Background())
		go n.loop(ctx)
		n.pollSiblings()
		server := n.servers[n.serverIDs["s-1"]]
		if server.Disabled() != isNewer {
			t.Errorf("newer %v: the server is disabled: %v", isNewer, server.Disabled())
		}
		stop()
		<-n.done
		if n.maintenance.InMaintenance("s-1") != isNewer {
			t.Errorf("newer %v: in maintenance: %v", isNewer, n.maintenance.InMaintenance("s-1"))
		}
	}
}
