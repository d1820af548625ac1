package handoff

import (
	"testing"
	"time"

	"ivylock/maintenance"
)

func TestDecideOwnership(t *testing.T) {
	at := func(epoch uint64) *State { return &State{Version: FormatVersion, Epoch: epoch} }
	for _, test := range []struct {
		name  string
		found *State
		runs  bool
		want  Ownership
	}{
		{"no state", nil, false, KeepOwnership},
		{"own state", at(3), true, KeepOwnership},
		{"state of an older process", at(2), true, KeepOwnership},
		{"state of a newer, running process", at(4), true, Yield},
		{"state of a newer, dead process", at(4), false, Reclaim},
	} {
		if got := DecideOwnership(test.found, 3, test.runs); got != test.want {
			t.Errorf("%s: %d", test.name, got)
		}
	}
}

func TestUsableParts(t *testing.T) {
	state := &State{Version: FormatVersion, Node: "n0", WrittenAt: 100 * time.Second}
	for _, test := range []struct {
		name                  string
		state                 *State
		node                  string
		now                   time.Duration
		records, measurements bool
	}{
		{"fresh", state, "n0", 101 * time.Second, true, true},
		{"clock set back by an hour", state, "n0", 100*time.Second - time.Hour, true, false},
		{"clock slewed", state, "n0", 100*time.Second - clockTolerance/2, true, true},
		{"old", state, "n0", 200 * time.Second, true, false},
		{"of another node", state, "n1", 101 * time.Second, false, false},
		{"of a later format", &State{Version: FormatVersion + 1, Node: "n0"}, "n0", 0, false, false},
		{"none", nil, "n0", 0, false, false},
	} {
		if records, measurements := UsableParts(test.state, test.node, test.now); records != test.records || measurements != test.measurements {
			t.Errorf("%s: %v, %v", test.name, records, measurements)
		}
	}
}

// A server that returned to service two seconds before the state was written counts as returned at
// least two seconds ago, and at most as long ago as is certain, in whichever direction the clock
// stepped before the next process read the state.
func TestMaintenanceRecordsKeepTheirAgeOverClockSteps(t *testing.T) {
	const written = time.Hour * 1000
	state := &State{WrittenAt: written, Maintenance: []maintenance.Record{
		{ID: "back", EnteredAt: written - time.Minute, ExitedAt: written - 2*time.Second, StartedAt: written - time.Hour},
		{ID: "out", InMaintenance: true, EnteredAt: written - time.Minute}}}
	for now, age := range map[time.Duration]time.Duration{written + time.Second: 3 * time.Second, written: 2 * time.Second,
		written + time.Hour: 2 * time.Second, written - time.Hour: 2 * time.Second, written + time.Minute: 2 * time.Second} {
		records := MaintenanceRecords(state, now)
		if got := now - records[0].ExitedAt; got != age {
			t.Errorf("read %v after it was written: in service for %v, want %v", now-written, got, age)
		}
		if records[0].EnteredAt >= records[0].ExitedAt || records[0].StartedAt != state.Maintenance[0].StartedAt || !records[1].InMaintenance || records[1].ExitedAt != 0 {
			t.Errorf("read %v after it was written: %+v", now-written, records)
		}
	}
	if state.Maintenance[0].ExitedAt != written-2*time.Second {
		t.Error("the original state was modified")
	}
}

// Two processes that know each other's counts never hold more than the total.
func TestConnectionLimitsStayWithinTotal(t *testing.T) {
	for total := 8; total < 400; total += 7 {
		if ConnectionLimit(total, 0, true) != total {
			t.Fatalf("alone: %d of %d", ConnectionLimit(total, 0, true), total)
		}
		for held := 0; held <= total; held++ {
			own := ConnectionLimit(total, held, false)
			if own < total/4 {
				t.Fatalf("limit %d of %d is too low for a new process", own, total)
			}
			if held <= ConnectionLimit(total, 0, false) && held+own > total {
				t.Fatalf("%d connections of another process and %d of this one exceed %d", held, own, total)
			}
		}
	}
}

// A list supersedes another only if it is both later and of a higher generation.
func TestIsNewerList(t *testing.T) {
	own := State{Generation: 9, ListReceivedAt: 100}
	for _, test := range []struct {
		other State
		want  bool
	}{
		{State{Generation: 10, ListReceivedAt: 101}, true},
		{State{Generation: 10, ListReceivedAt: 99}, false},  // from before a restart of discovery
		{State{Generation: 10, ListReceivedAt: 100}, false}, // the same list
		{State{Generation: 8, ListReceivedAt: 101}, false},  // an outdated answer
		{State{Generation: 9, ListReceivedAt: 200}, false},
		{State{Generation: 10}, false}, // never received
	} {
		if got := IsNewerList(own, test.other); got != test.want {
			t.Errorf("%d at %d: %v", test.other.Generation, test.other.ListReceivedAt, got)
		}
	}
}
