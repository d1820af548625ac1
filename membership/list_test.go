package membership

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var long = flag.Bool("membership-long", false, "more nodes, rates and seeds")

func up(names ...string) (out []Entry[int]) {
	for _, n := range names {
		out = append(out, Entry[int]{Name: n})
	}
	return out
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("s", i))
	}
	return out
}

// What a neighbour says holds only while the own source is not heard, and no longer; who is
// told in turn is told for a while after it is heard again.
func TestNeighboursWordsHoldWhileTheOwnSourceIsSilent(t *testing.T) {
	l := NewList[int]()
	l.Apply(0, Cached, 3, up(names(8)...))
	if l.ApplyPeerDepartures(0, []string{"s1"}) || l.ExcludedByPeers("s1") {
		t.Error("a word was taken while the own source stands")
	}
	l.MarkSourceLost()
	if !l.ApplyPeerDepartures(0, []string{"s1", "s2", "odd"}) || !l.ExcludedByPeers("s1") || !l.ExcludedByPeers("s2") || l.ExcludedByPeers("odd") || l.ApplyPeerDepartures(0, []string{"s1"}) {
		t.Errorf("%v", l.words)
	}
	left := l.Apply(20*time.Second, Changes, 5, []Entry[int]{{Name: "s1", State: Draining}, {Name: "s3", State: Removed}})
	slices.Sort(left)
	if l.PeerReports() != 0 || !slices.Equal(left, []string{"s1", "s3"}) || l.Generation() != 5 || l.ReceivedAt() != 20*time.Second {
		t.Errorf("words %v, left %v", l.words, left)
	}
	if left = l.Apply(20*time.Second+catchUp-1, Full, 6, up("s4", "s5", "s6", "s7")); len(left) != 2 { // s0 and s2
		t.Errorf("left %v", left)
	}
	if left = l.Apply(20*time.Second+catchUp, Full, 7, up("s4")); left != nil {
		t.Errorf("later it still tells %v", left)
	}
}

// A source that is heard has a while to say what a neighbour did; then it is doubted, once, and if it says nothing at all the
// word holds, until it says something. One that has said anything meanwhile is believed.
func TestAWordThatTheOwnSourceDoesNotConfirm(t *testing.T) {
	for _, says := range []bool{false, true} {
		l := NewList[int]()
		l.Apply(0, Full, 3, up(names(8)...))
		l.ApplyPeerDepartures(time.Second, []string{"s1"})
		doubts := 0
		for now := time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
			if says && now == 1400*time.Millisecond {
				l.Apply(now, Changes, 4, nil)
			}
			doubt, changed := l.ReviewPeerReports(now)
			if doubt {
				doubts++
			}
			if holds := !says && now >= time.Second+giveUpIn; l.ExcludedByPeers("s1") != holds || changed != (holds && now == time.Second+giveUpIn) {
				t.Fatalf("says %v: out %v, changed %v at %v", says, l.ExcludedByPeers("s1"), changed, now)
			}
		}
		if says == (doubts > 0) || doubts > 1 {
			t.Errorf("says %v: doubted %d times", says, doubts)
		}
		if l.Apply(5*time.Second, Changes, 5, nil); l.PeerReports() > 0 {
			t.Error("the word outlasts what the own source says")
		}
	}
}

// A server that was restarted while the own source was not heard is left out until its return counts as told,
// and is then as cold as it is; the own source's next word goes before that.
func TestARestartThatNeighboursTellOf(t *testing.T) {
	const at, older, later = 20 * time.Second, time.Hour, 2 * time.Hour
	list := func() *List[int] {
		l := NewList[int]()
		l.Apply(0, Full, 3, []Entry[int]{{Name: "s0", StartedAt: older}, {Name: "s1", StartedAt: older}, {Name: "s2"}, {Name: "s3", State: Draining, StartedAt: older}})
		return l
	}
	teller := list()
	teller.Apply(at, Changes, 5, []Entry[int]{{Name: "s0", StartedAt: later}, {Name: "s2", StartedAt: later}, {Name: "s3", StartedAt: later}, {Name: "s1", State: Removed}})
	told := teller.ChangesSince(3)
	want := []Change{{"s1", 5, 0}, {"s0", 5, later}, {"s2", 5, later}, {"s3", 5, later}}
	if !slices.Equal(told, want) || len(teller.ChangesSince(5)) > 0 {
		t.Fatalf("told %v", told)
	}
	hearer := list()
	if hearer.ApplyPeerRestarts(at, told) {
		t.Error("taken while the own source is heard")
	}
	hearer.MarkSourceLost()
	if !hearer.ApplyPeerRestarts(at, told) || hearer.ApplyPeerRestarts(at+time.Second, told) {
		t.Error("not taken once")
	}
	for _, x := range []struct {
		name    string
		out     bool
		started Time
	}{{"s0", true, later}, {"s1", false, 0}, {"s2", false, 0}, {"s3", false, 0}} { // s2: its older start is not known
		if hearer.ExcludedByPeers(x.name) != x.out || hearer.PeerReportedStart(x.name) != x.started {
			t.Errorf("%s is out: %v, started %v", x.name, hearer.ExcludedByPeers(x.name), hearer.PeerReportedStart(x.name))
		}
	}
	if _, changed := hearer.ReviewPeerReports(at + NotifiedAfter - 1); changed || !hearer.ExcludedByPeers("s0") {
		t.Error("used before its return counts as told")
	}
	if _, changed := hearer.ReviewPeerReports(at + NotifiedAfter); !changed || hearer.ExcludedByPeers("s0") || hearer.PeerReportedStart("s0") != later {
		t.Error("not used again, or as if it were warm")
	}
	if hearer.Apply(at+2*NotifiedAfter, Changes, 6, nil); hearer.PeerReports() > 0 || hearer.PeerReportedStart("s0") != 0 {
		t.Error("a neighbour's word outlasts what the own source says")
	}
}

// Whatever sources and neighbours say: what the own source has last is what it lists, words
// take no more than their part of what is up, and none of them outlasts what the own source
// says next.
func TestListsUnderAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, want, now := NewList[int](), map[string]State{}, Time(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "time")) * time.Millisecond
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); step {
			case 0, 1:
				var entries []Entry[int]
				for _, n := range rapid.SliceOfN(rapid.SampledFrom(names(12)), 0, 12).Draw(t, "named") {
					entries = append(entries, Entry[int]{Name: n, State: State(rapid.IntRange(0, 2).Draw(t, "state")), StartedAt: 1})
				}
				kind := UpdateKind(rapid.IntRange(0, 2).Draw(t, "kind"))
				if kind != Changes {
					clear(want)
				}
				was := map[string]State{}
				for n, s := range want {
					was[n] = s
				}
				for _, e := range entries {
					if want[e.Name] = e.State; e.State == Removed {
						delete(want, e.Name)
					}
				}
				left := l.Apply(now, kind, 1, entries)
				if l.PeerReports() > 0 || kind == Cached && left != nil {
					t.Fatalf("kind %v: left %v, %d words", kind, left, l.PeerReports())
				}
				for _, n := range left {
					if s, listed := want[n]; listed && s == Up {
						t.Fatalf("%s is told to leave and is up", n)
					}
				}
			case 2:
				l.MarkSourceLost()
			case 3:
				l.ResetSource()
			case 4:
				l.ApplyPeerDepartures(now, rapid.SliceOfN(rapid.SampledFrom(names(12)), 1, 12).Draw(t, "words"))
				l.ApplyPeerRestarts(now, []Change{{Name: rapid.SampledFrom(names(12)).Draw(t, "restarted"), StartedAt: now}})
				l.ReviewPeerReports(now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "check"))*time.Millisecond)
			}
			ups, out := 0, 0
			for n, e := range l.Entries() {
				if s, listed := want[n]; !listed || s != e.State {
					t.Fatalf("%s is %v, the source has %v, listed %v", n, e.State, s, listed)
				}
				if e.State == Up {
					if ups++; l.ExcludedByPeers(n) {
						out++
					}
				}
			}
			if len(l.Entries()) != len(want) || ups > 0 && out == ups {
				t.Fatalf("%d servers of %d; %d of %d up are out by words", len(l.Entries()), len(want), out, ups)
			}
		}
	})
}

// What is read is what a node sends: it is written back alike.
func FuzzDatagrams(f *testing.F) {
	f.Add(Encode(Departures{1, math.MaxUint32}))
	f.Add(Encode(ChangesQuery{7}))
	f.Add(Encode(Restarts{{1, time.Hour}, {2, time.Minute}}))
	f.Add([]byte{formLeft})
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := Decode(data); err == nil && string(Encode(d)) != string(data) {
			t.Fatalf("%v of %x", d, data)
		}
	})
}

// Hundreds of nodes are turned away by a slow discovery that is back after 8 s, and a tenth
// of the servers leaves 1 s later. Who is turned away again and again hears of it from the
// nodes that use the same server, although a third of their datagrams is lost: within the
// time after which it counts as told, as far as any of them got through by then.
func TestWhoIsTurnedAwayHearsOfItFromNeighbours(t *testing.T) {
	const back, patience, servers, uses = 8 * time.Second, 2 * time.Second, 100, 13
	nodes, rates, seeds := 300, []int{40}, 3
	if *long {
		rates, seeds = []int{25, 40, 80, 160}, 8
	}
	for _, rate := range rates {
		for _, words := range []bool{false, true} {
			var took []time.Duration
			for seed := range seeds {
				took = append(took, lateDrains(nodes, servers, uses, rate, int64(seed), back, patience, words)...)
			}
			slices.Sort(took)
			late := 0
			for _, x := range took {
				if x > NotifiedAfter {
					late++
				}
			}
			at := func(p float64) time.Duration { return took[int(p*float64(len(took)-1))].Round(10 * time.Millisecond) }
			t.Logf("%d calls a second, words %v: p50 %v, p99 %v, max %v; %d of %d later than %v", rate, words, at(0.5), at(0.99), at(1), late, len(took), NotifiedAfter)
			if words && (late > 0 || at(1) > NotifiedAfter) {
				t.Errorf("%d calls a second: %d of %d later than %v, the last after %v", rate, late, len(took), NotifiedAfter, at(1))
			}
		}
	}
}

// lateDrains gives how long after a tenth of the servers left each node that uses one of
// them knows.
func lateDrains(nodes, servers, uses, rate int, seed int64, back, patience time.Duration, words bool) (took []time.Duration) {
	rng := rand.New(rand.NewPCG(uint64(seed), 9))
	r := newRig(nodes, Settings{Nodes: float64(nodes), AskWithin: 10 * time.Second, Seed: 1000 * seed}, InitialState{HaveList: true, Stagger: true})
	left := time.Hour + back + time.Second
	users := make([][]int, servers/10)
	var gone []Entry[int]
	for s := range users {
		users[s] = rng.Perm(nodes)[:uses]
		gone = append(gone, Entry[int]{Name: fmt.Sprint("s", s), State: Draining})
	}
	lists := make([]*List[int], nodes)
	for i := range lists {
		lists[i] = NewList[int]()
		lists[i].Apply(0, Cached, 1, up(names(servers)...))
	}
	free, answeredAt := time.Hour+back, map[*caller]Time{}
	r.reply = func(n *caller, c Call) (time.Duration, Event) {
		if r.now < time.Hour+back {
			lists[n.number].MarkSourceLost()
			return patience, Failed{c.ID, Rejected}
		}
		if c.PollWait > 0 { // a watch that stands: told at once
			after := max(0, left-r.now)
			if c.From >= 2 || after > c.PollWait {
				after = c.PollWait
			}
			answeredAt[n] = r.now + after
			generation := uint64(1)
			if r.now+after >= left {
				generation = 2
			}
			return after, Answered{c.ID, false, generation}
		}
		wait := max(free, r.now) - r.now
		if wait > patience+100*time.Millisecond {
			return 5 * time.Millisecond, Failed{c.ID, Rejected}
		}
		free = r.now + wait + time.Second/time.Duration(rate)
		if wait > patience {
			return patience, Failed{c.ID, Rejected}
		}
		generation := uint64(1)
		if free >= left {
			generation = 2
		}
		return free - r.now, Answered{c.ID, false, generation}
	}
	known := make([]map[int]Time, nodes)
	for i := range known {
		known[i] = map[int]Time{}
	}
	learn := func(node, server int) {
		if known[node][server] == 0 {
			known[node][server] = r.now
		}
	}
	r.took = func(n *caller, _ CallID) {
		l := lists[n.number]
		var entries []Entry[int]
		if n.last >= 2 && l.Generation() < 2 {
			entries = gone
		}
		for _, name := range l.Apply(r.now, Changes, n.last, entries) {
			s := 0
			fmt.Sscanf(name, "s%d", &s)
			for _, to := range users[s] {
				if words && to != n.number && rng.Float64() > 0.3 && lists[to].ApplyPeerDepartures(r.now, []string{name}) {
					learn(to, s)
				}
			}
		}
		if len(entries) > 0 {
			for s := range users {
				learn(n.number, s)
			}
		}
	}
	r.till(left + time.Minute)
	for s, all := range users {
		for _, node := range all {
			at := known[node][s]
			if at == 0 {
				at = r.now
			}
			took = append(took, at-left)
		}
	}
	return took
}
