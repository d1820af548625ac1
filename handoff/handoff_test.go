package handoff

import (
	"testing"
	"time"

	"ivylock/maintenance"
)

func TestJudge(t *testing.T) {
	at := func(epoch uint64) *State { return &State{Version: Version, Epoch: epoch} }
	for _, c := range []struct {
		name  string
		found *State
		runs  bool
		want  Verdict
	}{
		{"nothing there", nil, false, Keep},
		{"its own", at(3), true, Keep},
		{"an older one's", at(2), true, Keep},
		{"a newer one's that runs", at(4), true, Yield},
		{"a newer one's that died", at(4), false, Reclaim},
	} {
		if got := Judge(c.found, 3, c.runs); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

func TestTakes(t *testing.T) {
	s := &State{Version: Version, Node: "n0", At: 100 * time.Second}
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
		{"of a later form", &State{Version: Version + 1, Node: "n0"}, "n0", 0, false, false},
		{"none", nil, "n0", 0, false, false},
	} {
		if words, measured := Takes(c.s, c.node, c.now); words != c.words || measured != c.measured {
			t.Errorf("%s: %v, %v", c.name, words, measured)
		}
	}
}

// A server that was taken back into use two seconds before a state was written has been in use
// for two seconds at least, and for no longer than is certain, whichever way the clock stepped
// before the next process read it.
func TestWordsKeepTheirAgeThroughAStepOfTheClock(t *testing.T) {
	const written = time.Hour * 1000
	s := &State{At: written, Maintenance: []maintenance.Record{
		{ID: "back", Entered: written - time.Minute, Exited: written - 2*time.Second, Started: written - time.Hour},
		{ID: "out", Out: true, Entered: written - time.Minute}}}
	for now, age := range map[time.Duration]time.Duration{written + time.Second: 3 * time.Second, written: 2 * time.Second,
		written + time.Hour: 2 * time.Second, written - time.Hour: 2 * time.Second, written + time.Minute: 2 * time.Second} {
		words := Words(s, now)
		if got := now - words[0].Exited; got != age {
			t.Errorf("read %v after it was written: back for %v, want %v", now-written, got, age)
		}
		if words[0].Entered >= words[0].Exited || words[0].Started != s.Maintenance[0].Started || !words[1].Out || words[1].Exited != 0 {
			t.Errorf("read %v after it was written: %+v", now-written, words)
		}
	}
	if s.Maintenance[0].Exited != written-2*time.Second {
		t.Error("the state itself was changed")
	}
}

// Two processes that know one another's numbers never hold more than the whole.
func TestSharesStayWithinTheWhole(t *testing.T) {
	for full := 8; full < 400; full += 7 {
		if Share(full, 0, true) != full {
			t.Fatalf("alone: %d of %d", Share(full, 0, true), full)
		}
		for held := 0; held <= full; held++ {
			mine := Share(full, held, false)
			if mine < full/4 {
				t.Fatalf("%d of %d is too little to begin with", mine, full)
			}
			if held <= Share(full, 0, false) && held+mine > full {
				t.Fatalf("%d held by another and %d here are over %d", held, mine, full)
			}
		}
	}
}

// A list goes before another only if it is both later and of a higher version.
func TestWhichListGoesFirst(t *testing.T) {
	own := State{Generation: 9, ListAt: 100}
	for _, c := range []struct {
		other State
		want  bool
	}{
		{State{Generation: 10, ListAt: 101}, true},
		{State{Generation: 10, ListAt: 99}, false},  // an old one of a discovery that has begun anew since
		{State{Generation: 10, ListAt: 100}, false}, // the same word
		{State{Generation: 8, ListAt: 101}, false},  // an answer that was overtaken
		{State{Generation: 9, ListAt: 200}, false},
		{State{Generation: 10}, false}, // never told
	} {
		if got := Follows(own, c.other); got != c.want {
			t.Errorf("%d at %d: %v", c.other.Generation, c.other.ListAt, got)
		}
	}
}
