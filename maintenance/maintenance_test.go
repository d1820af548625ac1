package maintenance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"ivylock/balance"
)

const s = time.Second

func TestTwoWordsOutTakeOneWordBack(t *testing.T) {
	tab := New(nil)
	if err := tab.Enter("a", s, 0); !errors.Is(err, ErrUnknown) {
		t.Fatalf("an id that nobody has: %v", err)
	}
	if err := tab.Exit("a", s); !errors.Is(err, ErrUnknown) {
		t.Fatalf("back, an id that nobody has: %v", err)
	}
	tab.SetListed("a", true)
	for _, at := range []balance.Time{s, 2 * s} {
		if err := tab.Enter("a", at, 0); err != nil || !tab.InMaintenance("a") {
			t.Fatalf("enter: %v", err)
		}
	}
	if r := tab.Records(); len(r) != 1 || r[0].EnteredAt != s {
		t.Errorf("the second word changed the record: %+v", r)
	}
	for range 2 {
		if err := tab.Exit("a", 3*s); err != nil || tab.InMaintenance("a") {
			t.Fatalf("exit: %v", err)
		}
	}
}

func TestWhatTheModuleSees(t *testing.T) {
	ready := func(start balance.Time) balance.Server { return balance.Server{State: balance.Ready, StartedAt: start} }
	for _, c := range []struct {
		name  string
		r     Record
		in    balance.Server
		state balance.ServerState
		start balance.Time
	}{
		{"out, listed as up", Record{InMaintenance: true, EnteredAt: 5 * s}, ready(0), balance.Draining, 0},
		{"out, restarted and listed as up", Record{InMaintenance: true, EnteredAt: 5 * s}, ready(7 * s), balance.Draining, 7 * s},
		{"out and gone", Record{InMaintenance: true, EnteredAt: 5 * s}, balance.Server{State: balance.Removed}, balance.Removed, 0},
		{"back, no start told", Record{EnteredAt: 5 * s, ExitedAt: 9 * s}, ready(0), balance.Ready, 9 * s},
		{"back, only the old start told", Record{EnteredAt: 5 * s, ExitedAt: 9 * s, StartedAt: 4 * s}, ready(4 * s), balance.Ready, 9 * s},
		{"back, the restart told", Record{EnteredAt: 5 * s, ExitedAt: 9 * s, StartedAt: 4 * s}, ready(7 * s), balance.Ready, 7 * s},
		{"back, and restarted again", Record{EnteredAt: 5 * s, ExitedAt: 9 * s}, ready(12 * s), balance.Ready, 12 * s},
		{"back, but drains by the list", Record{EnteredAt: 5 * s, ExitedAt: 9 * s}, balance.Server{State: balance.Draining}, balance.Draining, 9 * s},
	} {
		c.r.ID = "a"
		got := New([]Record{c.r}).Apply("a", c.in)
		if got.State != c.state || got.StartedAt != c.start {
			t.Errorf("%s: state %d, start %v", c.name, got.State, got.StartedAt)
		}
	}
	if got := New(nil).Apply("a", ready(3*s)); got.StartedAt != 3*s || got.State != balance.Ready {
		t.Errorf("a server that nobody touched: %+v", got)
	}
}

// A server that leaves the list and comes back is still out, and what a next
// process gets says the same.
func TestOutHoldsOverTheListAndAnUpgrade(t *testing.T) {
	tab := New(nil)
	tab.SetListed("a", true)
	tab.SetListed("b", true)
	tab.SetListed("b", false)
	if err := tab.Enter("b", s, 0); err != nil {
		t.Fatalf("enter during its absence: %v", err)
	}
	tab.Enter("a", 2*s, 0)
	tab.SetListed("a", false)
	tab.SetListed("a", true)
	next := New(tab.Records())
	if !tab.InMaintenance("a") || !next.InMaintenance("a") || !next.InMaintenance("b") {
		t.Fatal("a word was lost")
	}
	if err := next.Exit("b", 3*s); err != nil {
		t.Errorf("exit at the next process: %v", err)
	}
}

// Guards against growth where servers are replaced for months, and against a
// word that is forgotten for it.
func TestTheTableIsBounded(t *testing.T) {
	tab := New(nil)
	tab.SetListed("kept", true)
	tab.Enter("kept", s, 0)
	tab.SetListed("kept", false)
	for i := range 2 * MaxTrackedIDs {
		id := fmt.Sprint("s", i)
		tab.SetListed(id, true)
		tab.SetListed(id, false)
	}
	if len(tab.known) > MaxTrackedIDs || !tab.InMaintenance("kept") {
		t.Errorf("%d ids, kept out: %v", len(tab.known), tab.InMaintenance("kept"))
	}
	tab.Exit("kept", 2*s)
	tab.PruneRecords(2*s+time.Millisecond, s)
	if len(tab.Records()) != 1 {
		t.Error("forgotten while it may be cold")
	}
	if tab.PruneRecords(5*s, s); len(tab.Records()) != 0 {
		t.Error("kept for good")
	}
}
