package handover

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/handoff"
	"ivylock/maintenance"
)

func example() *handoff.State {
	return &handoff.State{Version: handoff.FormatVersion, Epoch: 3, Owner: 7, Node: "n0", WrittenAt: 5 * time.Second, Generation: 41,
		List:        []handoff.Entry{{InstanceID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "draining", Weight: 1.5}},
		Maintenance: []maintenance.Record{{ID: "s-1", InMaintenance: true, EnteredAt: 4 * time.Second}},
		Fleet:       balance.LearnedFleet{Answers: 12, MeanLatency: 0.1},
		Servers:     []handoff.ServerMeasurements{{InstanceID: "s-1", LearnedServer: balance.LearnedServer{Rate: 3, WarmingUp: true, WarmupStartedAt: time.Second}}}}
}

// A state that is cut short, at any byte, or changed in any, is not believed.
func TestOnlyAWholeStateIsRead(t *testing.T) {
	raw, err := Encode(example())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(raw); err != nil || !reflect.DeepEqual(got, example()) {
		t.Fatalf("read back %+v, %v", got, err)
	}
	for i := range raw {
		if _, err := Decode(raw[:i]); err == nil {
			t.Fatalf("cut at byte %d it was read", i)
		}
		bad := append([]byte(nil), raw...)
		if bad[i] ^= 1; bad[i]|0x20 == raw[i]|0x20 && i < len(raw) && bad[i] != raw[i] {
			continue // another case of the checksum's letters
		}
		if got, err := Decode(bad); err == nil && !reflect.DeepEqual(got, example()) {
			t.Fatalf("with byte %d changed it was read as %+v", i, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := Encode(example())
	f.Add(raw)
	f.Add([]byte("ivylock-state 1 2 00000000\n{}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Decode(raw); err == nil {
			if _, err := Encode(s); err != nil {
				t.Errorf("read, but can't be written: %v", err)
			}
		}
	})
}

func process(t *testing.T, dir string) *SharedDir {
	t.Helper()
	f, err := Open(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.run.Close() })
	return f
}

func TestTheNewestProcessSpeaksForTheNode(t *testing.T) {
	dir := t.TempDir()
	old := process(t, dir)
	if found, err := old.TakeOwnership(); found != nil || err != nil {
		t.Fatalf("the first one found %+v, %v", found, err)
	}
	s := example()
	if _, err := old.Store(s); err != nil {
		t.Fatal(err)
	}
	next := process(t, dir)
	found, err := next.TakeOwnership()
	if err != nil || found == nil || !reflect.DeepEqual(found.Maintenance, s.Maintenance) || found.Generation != 41 {
		t.Fatalf("the next one found %+v, %v", found, err)
	}
	if err := next.CheckOwner(); err != nil {
		t.Errorf("the next one: %v", err)
	}
	if err := old.CheckOwner(); !errors.Is(err, ErrTakenOver) {
		t.Errorf("the old one: %v", err)
	}
	s.Maintenance = nil
	if _, err := next.Store(s); err != nil {
		t.Fatal(err)
	}
	if newer, err := old.Store(example()); !errors.Is(err, ErrTakenOver) || newer == nil || len(newer.Maintenance) != 0 {
		t.Errorf("the old one stored: %+v, %v", newer, err)
	}
	next.run.Close() // it dies; nobody tidies up
	newer, err := old.Store(example())
	if err != nil || newer == nil {
		t.Fatalf("after the next one's death: %+v, %v", newer, err)
	}
	if _, err := old.Store(s); err != nil || old.CheckOwner() != nil {
		t.Errorf("the old one does not speak again: %v", err)
	}
	third := process(t, dir)
	if found, err := third.TakeOwnership(); err != nil || found.Epoch != 3 || third.CheckOwner() != nil || old.CheckOwner() == nil {
		t.Errorf("a third one found %+v, %v", found, err)
	}
}

func TestATornOrForeignStateIsACleanStart(t *testing.T) {
	for name, text := range map[string]string{"torn": "ivylock-state 1 100 00000000\n{", "empty": "", "foreign": "hello\nworld",
		"of a later form": "ivylock-state 9 2 00000000\n{}"} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, stateName), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		torn := filepath.Join(dir, stateName+".123")
		if err := os.WriteFile(torn, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		f := process(t, dir)
		found, err := f.TakeOwnership()
		if _, gone := os.Stat(torn); gone == nil {
			t.Errorf("%s: what is left of a write stays", name)
		}
		if found != nil || err == nil {
			t.Errorf("%s: %+v, %v", name, found, err)
		}
		if _, err := f.Store(example()); err != nil {
			t.Errorf("%s: it can't be replaced: %v", name, err)
		}
	}
}

func TestProcessesShareOneNodesConnections(t *testing.T) {
	dir := t.TempDir()
	old, next := process(t, dir), process(t, dir)
	if _, alone := old.ExchangeUsage(Usage{100, 40}); alone {
		t.Error("the old one thinks it is alone")
	}
	others, alone := next.ExchangeUsage(Usage{})
	if alone || others != (Usage{100, 40}) {
		t.Errorf("the next one saw %+v, alone %v", others, alone)
	}
	old.run.Close()
	if others, alone := next.ExchangeUsage(Usage{}); !alone || others != (Usage{}) {
		t.Errorf("after the old one's death: %+v, alone %v", others, alone)
	}
	if _, err := os.Stat(old.run.Name()); err == nil {
		t.Error("a dead process's file stays")
	}
}

// Closing an inherited listener leaves the platform's socket with what waits there.
func TestAnInheritedListenerIsShared(t *testing.T) {
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	inherit := func() net.Listener {
		t.Helper()
		f, err := platform.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		l, shared, err := Listen("", strconv.Itoa(int(f.Fd())))
		if err != nil || !shared {
			t.Fatalf("inherited %v: %v", shared, err)
		}
		return l
	}
	old, next := inherit(), inherit()
	waiting, err := net.Dial("tcp", platform.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	old.Close()
	c, err := next.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	next.Close()
	for _, bad := range []string{"x", "-1", "70000", "999"} {
		if _, _, err := Listen("127.0.0.1:0", bad); err == nil {
			t.Errorf("descriptor %q was taken", bad)
		}
	}
}

// A torn state beside an old process that runs: the new one speaks all the same.
func TestATornStateDoesNotLeaveTwoSpeakers(t *testing.T) {
	dir := t.TempDir()
	old, next := process(t, dir), process(t, dir)
	old.TakeOwnership()
	if err := os.WriteFile(filepath.Join(dir, stateName), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := next.TakeOwnership(); err == nil {
		t.Error("a torn state was read")
	}
	if _, err := old.Store(example()); !errors.Is(err, ErrTakenOver) || next.CheckOwner() != nil {
		t.Errorf("the old one still speaks: %v", err)
	}
}

// Nor does a clock that was set back between the two: epochs count processes and not time.
func TestEpochsDoNotFollowTheClock(t *testing.T) {
	dir := t.TempDir()
	old := process(t, dir)
	old.TakeOwnership()
	old.epoch = uint64(time.Now().Add(time.Hour).UnixMilli()) // as an earlier form drew it
	old.say(func(s *told) { s.epoch = old.epoch })
	if err := os.WriteFile(filepath.Join(dir, stateName), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	next := process(t, dir)
	next.TakeOwnership()
	if _, err := old.Store(example()); !errors.Is(err, ErrTakenOver) || next.CheckOwner() != nil {
		t.Errorf("the old one still speaks: %v", err)
	}
}

// A process that stands still while it holds the lock keeps the next one from nothing: that
// starts clean within the time for a lock, and speaks once the other has gone.
func TestAProcessThatHoldsTheLockHoldsUpNobody(t *testing.T) {
	dir := t.TempDir()
	old := process(t, dir)
	old.TakeOwnership()
	unlock, err := old.lock()
	if err != nil {
		t.Fatal(err)
	}
	next := process(t, dir)
	began := time.Now()
	if _, err := next.TakeOwnership(); !errors.Is(err, errLocked) || time.Since(began) > 10*lockTime {
		t.Errorf("after %v: %v", time.Since(began), err)
	}
	unlock()
	if next.CheckOwner() == nil {
		t.Error("two processes speak")
	}
	old.run.Close() // it dies
	if _, err := next.Store(example()); err != nil {
		t.Error(err)
	}
	if _, err := next.Store(example()); err != nil || next.CheckOwner() != nil {
		t.Errorf("the next one does not speak: %v", err)
	}
}

// What an older process is told after a newer one has taken over reaches that
// one, and the other way round; each is told once, and nothing of its own.
func TestEachHearsWhatTheOtherIsTold(t *testing.T) {
	dir := t.TempDir()
	old, next := process(t, dir), process(t, dir)
	told := func(at int, generation uint64) *handoff.State {
		return &handoff.State{WrittenAt: time.Duration(at), ListReceivedAt: time.Duration(at), Generation: generation, List: []handoff.Entry{{InstanceID: "s-0"}}}
	}
	old.TakeOwnership()
	old.Store(told(1, 5))
	if s := old.PollNewer(); s != nil {
		t.Errorf("it heard itself: %+v", s)
	}
	next.TakeOwnership()
	next.PollNewer()
	if _, err := old.Store(told(2, 6)); !errors.Is(err, ErrTakenOver) {
		t.Fatal(err)
	}
	if s := next.PollNewer(); s == nil || s.Generation != 6 || len(s.List) != 1 {
		t.Errorf("the newer process heard %+v", s)
	}
	if s := next.PollNewer(); s != nil {
		t.Errorf("it heard it twice: %+v", s)
	}
	old.PollNewer()
	if _, err := next.Store(told(3, 7)); err != nil {
		t.Fatal(err)
	}
	if s := old.PollNewer(); s == nil || s.Generation != 7 {
		t.Errorf("the older process heard %+v", s)
	}
	if _, err := old.Store(told(2, 6)); !errors.Is(err, ErrTakenOver) {
		t.Fatal(err)
	}
	if s := next.PollNewer(); s != nil {
		t.Errorf("it heard what it knows better: %+v", s)
	}
	if err := os.WriteFile(filepath.Join(dir, newsName), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s := next.PollNewer(); s != nil {
		t.Errorf("it believed a torn file: %+v", s)
	}
}
