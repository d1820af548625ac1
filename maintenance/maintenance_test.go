package maintenance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"ivylock/balance"
)

const second = time.Second

func TestOneExitEndsRepeatedEnters(t *testing.T) {
	table := New(nil)
	if err := table.Enter("a", second, 0); !errors.Is(err, ErrUnknown) {
		t.Fatalf("enter, unknown id: %v", err)
	}
	if err := table.Exit("a", second); !errors.Is(err, ErrUnknown) {
		t.Fatalf("exit, unknown id: %v", err)
	}
	table.SetListed("a", true)
	for _, at := range []balance.Time{second, 2 * second} {
		if err := table.Enter("a", at, 0); err != nil || !table.InMaintenance("a") {
			t.Fatalf("enter: %v", err)
		}
	}
	if records := table.Records(); len(records) != 1 || records[0].EnteredAt != second {
		t.Errorf("the second enter changed the record: %+v", records)
	}
	for range 2 {
		if err := table.Exit("a", 3*second); err != nil || table.InMaintenance("a") {
			t.Fatalf("exit: %v", err)
		}
	}
}

func TestApplyToListEntries(t *testing.T) {
	ready := func(start balance.Time) balance.Server { return balance.Server{State: balance.Ready, StartedAt: start} }
	for _, test := range []struct {
		name   string
		record Record
		entry  balance.Server
		state  balance.ServerState
		start  balance.Time
	}{
		{"in maintenance, listed as up", Record{InMaintenance: true, EnteredAt: 5 * second}, ready(0), balance.Draining, 0},
		{"in maintenance, restarted and listed as up", Record{InMaintenance: true, EnteredAt: 5 * second}, ready(7 * second), balance.Draining, 7 * second},
		{"in maintenance, removed from the list", Record{InMaintenance: true, EnteredAt: 5 * second}, balance.Server{State: balance.Removed}, balance.Removed, 0},
		{"returned, no start reported", Record{EnteredAt: 5 * second, ExitedAt: 9 * second}, ready(0), balance.Ready, 9 * second},
		{"returned, only the old start reported", Record{EnteredAt: 5 * second, ExitedAt: 9 * second, StartedAt: 4 * second}, ready(4 * second), balance.Ready, 9 * second},
		{"returned, the restart reported", Record{EnteredAt: 5 * second, ExitedAt: 9 * second, StartedAt: 4 * second}, ready(7 * second), balance.Ready, 7 * second},
		{"returned, restarted again", Record{EnteredAt: 5 * second, ExitedAt: 9 * second}, ready(12 * second), balance.Ready, 12 * second},
		{"returned, listed as draining", Record{EnteredAt: 5 * second, ExitedAt: 9 * second}, balance.Server{State: balance.Draining}, balance.Draining, 9 * second},
	} {
		test.record.ID = "a"
		got := New([]Record{test.record}).Apply("a", test.entry)
		if got.State != test.state || got.StartedAt != test.start {
			t.Errorf("%s: state %d, start %v", test.name, got.State, got.StartedAt)
		}
	}
	if got := New(nil).Apply("a", ready(3*second)); got.StartedAt != 3*second || got.State != balance.Ready {
		t.Errorf("a server that was never in maintenance: %+v", got)
	}
}

// A server that leaves the list and returns stays in maintenance, also in the next process.
func TestMaintenanceSurvivesListChangesAndRestart(t *testing.T) {
	table := New(nil)
	table.SetListed("a", true)
	table.SetListed("b", true)
	table.SetListed("b", false)
	if err := table.Enter("b", second, 0); err != nil {
		t.Fatalf("enter while not listed: %v", err)
	}
	table.Enter("a", 2*second, 0)
	table.SetListed("a", false)
	table.SetListed("a", true)
	next := New(table.Records())
	if !table.InMaintenance("a") || !next.InMaintenance("a") || !next.InMaintenance("b") {
		t.Fatal("a maintenance record was lost")
	}
	if err := next.Exit("b", 3*second); err != nil {
		t.Errorf("exit in the next process: %v", err)
	}
}

// Guards against unbounded growth where servers are replaced for months, and against evicting a
// server in maintenance.
func TestTableSizeIsBounded(t *testing.T) {
	table := New(nil)
	table.SetListed("kept", true)
	table.Enter("kept", second, 0)
	table.SetListed("kept", false)
	for i := range 2 * MaxTrackedIDs {
		id := fmt.Sprint("s", i)
		table.SetListed(id, true)
		table.SetListed(id, false)
	}
	if len(table.known) > MaxTrackedIDs || !table.InMaintenance("kept") {
		t.Errorf("%d ids, still in maintenance: %v", len(table.known), table.InMaintenance("kept"))
	}
	table.Exit("kept", 2*second)
	table.PruneRecords(2*second+time.Millisecond, second)
	if len(table.Records()) != 1 {
		t.Error("record dropped while the server may be warming up")
	}
	if table.PruneRecords(5*second, second); len(table.Records()) != 0 {
		t.Error("record never dropped")
	}
}
