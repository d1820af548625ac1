package handoff

import (
	"testing"
	"time"

	"ivylock/maintenance"
)

func TestJudge(t *testing.T) {
	at := func(epoch uint64) *State { return &State{Version: FormatVersion, Epoch: epoch} }
	for _, c := range []struct {
		name  string
		found *State
		runs  bool
		want  Ownership
	}{
		{"nothing there", nil, false, KeepOwnership},
		{"its own", at(3), true, KeepOwnership},
		{"an older one's", at(2), true, KeepOwnership},
		{"a newer one's that runs", at(4), true, Yield},
		{"a newer one's that died", at(4), false, Reclaim},
	} {
		if got := DecideOwnership(c.found, 3, c.runs); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

func TestTakes(t *testing.T) {
	s := &State{Version: FormatVersion, Node: "n0", WrittenAt: 100 * time.Second}
	for _, c := range []struct {
		name            string
		s               *State
		node            string
		now             time.Duration
		words, measured bool
	}{
		{"fresh", s, "n0", 101 * time.Second, true, true},
		{"of a clock that was set back an hour", s, "n0", 100*time.Second - time.Hour, true, false},
		{"of a clock that was slewed", s, "n0", 100*time.Second - clockNoise/2, true, true},
		{"old", s, "n0", 200 * time.Second, true, false},
		{"another node's", s, "n1", 101 * time.Second, false, false},
		{"of a later form", &State{Version: FormatVersion + 1, Node: "n0"}, "n0", 0, false, false},
		{"none", nil, "n0", 0, false, false},
	} {
		if words, measured := UsableParts(c.s, c.node, c.now); words != c.words || measured != c.measured {
			t.Errorf("%s: %v, %v", c.name, words, measured)
		}
	}
}

// A server that was taken back into use two seconds before a state was written has been in use
// for two seconds at least, and for no longer than is certain, whichever way the clock stepped
// before the next process read it.
func TestWordsKeepTheirAgeThroughAStepOfTheClock(t *testing.T) {
	const written = time.Hour * 1000
	s := &State{WrittenAt: written, Maintenance: []maintenance.Record{
		{ID: "back", EnteredAt: written - time.Minute, ExitedAt: written - 2*time.Second, StartedAt: written - time.Hour},
		{ID: "out", InMaintenance: true, EnteredAt: written - time.Minute}}}
	for now, age := range map[time.Duration]time.Duration{written + time.Second: 3 * time.Second, written: 2 * time.Second,
		written + time.Hour: 2 * time.Second, written - time.Hour: 2 * time.Second, written + time.Minute: 2 * time.Second} {
		words := MaintenanceRecords(s, now)
		if got := now - words[0].ExitedAt; got != age {
			t.Errorf("read %v after it was written: back for %v, want %v", now-written, got, age)
		}
		if words[0].EnteredAt >= words[0].ExitedAt || words[0].StartedAt != s.Maintenance[0].StartedAt || !words[1].InMaintenance || words[1].ExitedAt != 0 {
			t.Errorf("read %v after it was written: %+v", now-written, words)
		}
	}
	if s.Maintenance[0].ExitedAt != written-2*time.Second {
		t.Error("the state itself was changed")
	}
}

// Two processes that know one another's numbers never hold more than the whole.
func TestSharesStayWithinTheWhole(t *testing.T) {
	for full := 8; full < 400; full += 7 {
		if ConnectionLimit(full, 0, true) != full {
			t.Fatalf("alone: %d of %d", ConnectionLimit(full, 0, true), full)
		}
		for held := 0; held <= full; held++ {
			mine := ConnectionLimit(full, held, false)
			if mine < full/4 {
				t.Fatalf("%d of %d is too little to begin with", mine, full)
			}
			if held <= ConnectionLimit(full, 0, false) && held+mine > full {
				t.Fatalf("%d held by another and %d here are over %d", held, mine, full)
			}
		}
	}
}

// A list goes before another only if it is both later and of a higher version.
func TestWhichListGoesFirst(t *testing.T) {
	own := State{Generation: 9, ListReceivedAt: 100}
	for _, c := range []struct {
		other State
		want  bool
	}{
		{State{Generation: 10, ListReceivedAt: 101}, true},
		{State{Generation: 10, ListReceivedAt: 99}, false},  // an old one of a discovery that has begun anew since
		{State{Generation: 10, ListReceivedAt: 100}, false}, // the same word
		{State{Generation: 8, ListReceivedAt: 101}, false},  // an answer that was overtaken
		{State{Generation: 9, ListReceivedAt: 200}, false},
		{State{Generation: 10}, false}, // never told
	} {
		if got := IsNewerList(own, c.other); got != c.want {
			t.Errorf("%d at %d: %v", c.other.Generation, c.other.ListReceivedAt, got)
		}
	}
}
