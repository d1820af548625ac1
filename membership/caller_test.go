package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rig plays callers against one discovery in virtual time.
type rig struct {
	now     Time
	nodes   []*caller
	answers []answer // that are on their way, in order of their times
	// reply says what comes of a call and after how long; nil: nothing ever.
	reply func(n *caller, c Call) (time.Duration, Event)
	took  func(n *caller, c CallID) // told of each answer that holds; may be nil
}

type caller struct {
	*Poller
	number int
	start  Time
	made   []madeAt
	out    map[CallID]bool
	taken  []Time
	lost   int
	last   uint64 // generation of the last answer that was taken
	got    map[CallID]uint64
}

type madeAt struct {
	Call
	at Time
}

type answer struct {
	at  Time
	of  *caller
	say Event
}

func newRig(nodes int, set Settings, from InitialState) *rig {
	r := &rig{now: time.Hour}
	for i := range nodes {
		s := set
		s.Seed += int64(i)
		r.add(NewPoller(s, from, r.now), r.now)
	}
	return r
}

func (r *rig) add(c *Poller, start Time) *caller {
	n := &caller{Poller: c, number: len(r.nodes), start: start, out: map[CallID]bool{}, got: map[CallID]uint64{}}
	r.nodes = append(r.nodes, n)
	return n
}

// give hands an event to a caller and takes what it wants.
func (r *rig) give(n *caller, e Event) {
	if a, is := e.(Answered); is {
		n.got[a.Call] = a.Generation
	}
	for _, a := range slices.Clone(n.Handle(r.now, e)) {
		switch a := a.(type) {
		case Call:
			n.made, n.out[a.ID] = append(n.made, madeAt{a, r.now}), true
			after, say := r.reply(n, a)
			if say != nil {
				r.answers = append(r.answers, answer{r.now + after, n, say})
				slices.SortStableFunc(r.answers, func(x, y answer) int { return int(x.at - y.at) })
			}
		case Cancel:
			delete(n.out, a.ID)
		case Accept:
			n.taken, n.last = append(n.taken, r.now), n.got[a.Call]
			if delete(n.out, a.Call); r.took != nil {
				r.took(n, a.Call)
			}
		case WatchLost:
			n.lost++
		}
	}
}

// till plays on to a time.
func (r *rig) till(end Time) {
	for {
		at, of := end, (*caller)(nil)
		for _, n := range r.nodes {
			if due := max(n.Next(), n.start, r.now); due < at || due == at && of == nil {
				at, of = due, n
			}
		}
		if len(r.answers) > 0 && r.answers[0].at <= at {
			a := r.answers[0]
			r.answers, r.now = r.answers[1:], max(r.now, a.at)
			switch e := a.say.(type) {
			case Answered:
				if a.of.out[e.Call] {
					r.give(a.of, e)
				}
			case Failed:
				if a.of.out[e.Call] {
					delete(a.of.out, e.Call)
					r.give(a.of, e)
				}
			}
			continue
		}
		if of == nil || at >= end {
			r.now = end
			return
		}
		r.now = at
		r.give(of, Ticked{})
	}
}

// change is news that discovery has from a time on.
type service struct {
	generation uint64
	changed    Time // of the last generation
}

// answers gives what a service that works says: at once where there is something newer,
// else when its hold is over.
func (s *service) answer(now Time, c Call) (time.Duration, Event) {
	say := Answered{c.ID, c.Full, s.generation}
	if c.Full || c.PollWait == 0 || s.generation != c.From {
		return time.Millisecond, say
	}
	return c.PollWait, say
}

// Forty-eight nodes start in the same second while discovery turns nine of ten calls away
// for 20 s: all of them together call at a bounded rate, and each has its watch before long.
func TestAHerdCallsAtABoundedRate(t *testing.T) {
	const nodes, length, crowded = 48, 30, 20 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	r := &rig{now: time.Hour}
	for i := range nodes {
		r.add(NewPoller(Settings{Nodes: nodes, AskWithin: 10 * time.Second, Seed: int64(i)}, InitialState{HaveList: true, Stagger: true}, r.now), r.now+time.Duration(rng.Int64N(int64(time.Second))))
	}
	var calls [length]int
	r.reply = func(n *caller, c Call) (time.Duration, Event) {
		if c.PollWait == 0 {
			calls[(r.now-time.Hour)/time.Second]++
		}
		if rng.IntN(10) == 0 || r.now > time.Hour+crowded || c.PollWait > 0 {
			return c.PollWait, Answered{c.ID, false, 1}
		}
		return 0, Failed{c.ID, Rejected}
	}
	r.till(time.Hour + length*time.Second)
	t.Logf("calls in each second: %v", calls)
	for i, n := range calls {
		if n > 50 { // 40 a second, and chance
			t.Errorf("%d calls in second %d", n, i)
		}
	}
	for _, n := range r.nodes {
		if !n.WatchEstablished() {
			t.Errorf("node %d has no watch", n.number)
		}
	}
}

// Whatever fails before, and however many nodes there are, a failed call is made again
// early enough for its answer to come within the time after which a change that discovery
// had counts as told. A call that hung has waited already. (Where calls are turned away
// time after time see TestASlowDiscoveryTakesInAllNodes.)
func TestAFailedCallIsMadeAgainBeforeNewsCountsAsTold(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 120, 300, 1000} {
		for _, hung := range []time.Duration{0, time.Second, CallTimeout, -1} {
			r := newRig(1, Settings{Nodes: float64(nodes), AskWithin: 10 * time.Second, Seed: int64(nodes)}, InitialState{HaveList: true, Stagger: true})
			r.reply = func(n *caller, c Call) (time.Duration, Event) {
				if hung < 0 { // for ever: given up
					return 0, nil
				}
				return hung, Failed{c.ID, Unanswered}
			}
			r.till(time.Hour + 2*time.Minute)
			worst := time.Duration(0)
			for i, m := range r.nodes[0].made[1:] {
				worst = max(worst, m.at-r.nodes[0].made[i].at)
			}
			// Discovery is back just after a call was made that still fails.
			if worst == 0 || worst+CallTimeout > NotifiedAfter {
				t.Errorf("%d nodes, calls that fail after %v: made again after %v", nodes, hung, worst)
			}
		}
	}
}

// A discovery that works through calls in turn, turns away at once those that would wait
// longer than it lets any wait and gives up those that do, is back after 8 s, and all nodes
// ask. However slow it is, those it can take get through: calls that it refuses are spread
// further, so that its queue is not always full of calls that it gives up in the end, and
// nobody leaves its queue before his turn, however long it is.
func TestASlowDiscoveryTakesInAllNodes(t *testing.T) {
	const back = 8 * time.Second
	for _, x := range []struct {
		nodes, rate int // calls a second
		patience    time.Duration
		takesAll    bool // it lets all wait, and turns nobody away at once
	}{{300, 25, 2 * time.Second, false}, {300, 40, 2 * time.Second, false}, {300, 80, 2 * time.Second, false}, {300, 160, 2 * time.Second, false},
		{300, 25, 3 * time.Second, false}, {300, 80, 3 * time.Second, false}, {32, 4, 2 * time.Second, false}, {32, 4, 3 * time.Second, false}, {32, 4, 3500 * time.Millisecond, false},
		{32, 4, 2 * time.Second, true}, {32, 4, 3 * time.Second, true}, {32, 4, 3500 * time.Millisecond, true}, {32, 8, 3500 * time.Millisecond, true}, {300, 25, 3 * time.Second, true}, {300, 80, 3 * time.Second, true}} {
		nodes, rate, patience := x.nodes, x.rate, x.patience
		r := newRig(nodes, Settings{Nodes: float64(nodes), AskWithin: 10 * time.Second}, InitialState{HaveList: true, Stagger: true})
		free := time.Hour + back // when the queue is worked off
		calls, refused := 0, 0
		r.reply = func(n *caller, c Call) (time.Duration, Event) {
			if c.PollWait > 0 {
				return c.PollWait, Answered{c.ID, false, 2}
			}
			calls++
			wait := max(free, r.now) - r.now
			switch {
			case r.now < time.Hour+back: // it is down
				return patience, Failed{c.ID, Rejected}
			case wait > patience+100*time.Millisecond && !x.takesAll:
				refused++
				return 5 * time.Millisecond, Failed{c.ID, Rejected}
			}
			if wait > patience && x.takesAll { // it gives the call up, and does no work for it
				return patience, Failed{c.ID, Rejected}
			}
			free = r.now + wait + time.Second/time.Duration(rate)
			if wait > patience {
				return patience, Failed{c.ID, Rejected}
			}
			return free - r.now, Answered{c.ID, false, 2}
		}
		most := 6*time.Second + 3*time.Duration(nodes)*time.Second/time.Duration(rate)
		r.till(time.Hour + back + most)
		var first []time.Duration
		for _, n := range r.nodes {
			if len(n.taken) > 0 {
				first = append(first, n.taken[0]-time.Hour-back)
			}
		}
		slices.Sort(first)
		t.Logf("%d nodes, %d calls a second, %v: half of the nodes after %v, all after %v, %d calls, %d refused", nodes, rate, patience, first[len(first)/2], first[len(first)-1], calls, refused)
		if len(first) < nodes {
			t.Errorf("%d calls a second, %v: %d of %d nodes got through within %v", rate, patience, len(first), nodes, most)
		}
	}
}

// One refusal alone is no crowd: the next call comes within 3 s, as after any failure.
func TestACallThatIsTurnedAwayOnceIsMadeAgainSoon(t *testing.T) {
	for seed := range int64(50) {
		r := newRig(1, Settings{Nodes: 300, AskWithin: 10 * time.Second, Seed: seed}, InitialState{HaveList: true, Stagger: true})
		r.reply = func(n *caller, c Call) (time.Duration, Event) { return 0, Failed{c.ID, Rejected} }
		r.till(time.Hour + 20*time.Second)
		made := r.nodes[0].made
		if len(made) < 3 || made[1].at-made[0].at > 3*time.Second || made[2].at-made[1].at < 3*time.Second {
			t.Errorf("seed %d: calls at %v", seed, made)
		}
	}
}

// The first call to a new address is made at once, and if it hangs the next one comes
// within 3 s of it, whatever the old address had come to.
func TestACallToANewAddressIsMadeAtOnce(t *testing.T) {
	for seed := range int64(50) {
		r := newRig(1, Settings{Nodes: 300, AskWithin: 10 * time.Second, Seed: seed}, InitialState{HaveList: true})
		r.reply = func(n *caller, c Call) (time.Duration, Event) { return 0, nil }
		r.till(time.Hour + time.Minute)
		made := r.nodes[0].made
		if made[0].at != time.Hour || made[1].at-made[0].at+CallTimeout > NotifiedAfter || made[0].From != 0 || made[0].Full {
			t.Errorf("seed %d: calls at %v", seed, made[:2])
		}
	}
}

// A watch that falls silent under a held call is found out within 0.5 s of the hold, and
// nobody else is asked meanwhile than discovery, twice at most; where holds are short the
// silent call ends first.
func TestASilentWatchIsDoubted(t *testing.T) {
	for _, hold := range []time.Duration{0, time.Second, ShortPollWait, 4 * time.Second} {
		for seed := range int64(20) {
			r := newRig(1, Settings{PollWait: hold, AskWithin: 10 * time.Second, Seed: seed}, InitialState{HaveList: true})
			s := &service{generation: 1}
			silent := Time(0)
			r.reply = func(n *caller, c Call) (time.Duration, Event) {
				if c.PollWait > 0 && silent == 0 {
					silent, s.generation = r.now+c.PollWait, 2 // it changes and the watch does not tell
					return 0, nil
				}
				return s.answer(r.now, c)
			}
			r.till(time.Hour + 30*time.Second)
			n := r.nodes[0]
			if n.last != 2 || n.taken[1] > silent+CallTimeout+3*time.Second {
				t.Errorf("hold %v: generation %d, taken at %v, silent at %v", hold, n.last, n.taken, silent)
			}
			if hold == 0 && n.taken[1] > silent+500*time.Millisecond {
				t.Errorf("found out after %v", n.taken[1]-silent)
			}
		}
	}
}

// Changes of an earlier generation than was asked from are of a service that began anew:
// the whole list is asked for. What is no whole list then is none.
func TestAServiceThatBeganAnewIsAskedForAll(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		r := newRig(1, Settings{Pushed: pushed, AskWithin: 10 * time.Second}, InitialState{HaveList: true, Generation: 40})
		s := &service{generation: 2}
		wrong := 2
		r.reply = func(n *caller, c Call) (time.Duration, Event) {
			if c.Full && wrong > 0 {
				wrong--
				return 0, Answered{c.ID, false, 2}
			}
			return s.answer(r.now, c)
		}
		r.till(time.Hour + 10*time.Second)
		n := r.nodes[0]
		if n.last != 2 || !slices.ContainsFunc(n.made, func(m madeAt) bool { return m.Full }) || n.lost == 0 {
			t.Errorf("pushed %v: generation %d, %d lost, %v", pushed, n.last, n.lost, n.made)
		}
	}
}

// A caller that knows no list asks for the whole one; what is asked after it is changes.
func TestWhoKnowsNothingAsksForAll(t *testing.T) {
	r := newRig(1, Settings{}, InitialState{})
	s := &service{generation: 7}
	r.reply = func(n *caller, c Call) (time.Duration, Event) { return s.answer(r.now, c) }
	r.till(time.Hour + time.Minute)
	if made := r.nodes[0].made; !made[0].Full || made[1].Full || made[1].From != 7 || made[1].PollWait == 0 {
		t.Errorf("%v", made[:2])
	}
}

// Where the list is pushed to an agent on the own machine the first call is made at once
// and for all of it, whatever is silent is found out well within the grace for drains, and
// what the agent has at its return is known then.
func TestAnAgentIsNeverWaitedFor(t *testing.T) {
	const grace = 500 * time.Millisecond
	for seed := range int64(50) {
		for _, mute := range []string{"silent", "refuses"} {
			r := newRig(1, Settings{Pushed: true, Nodes: 300, Seed: seed}, InitialState{HaveList: true, Generation: 3, Stagger: true})
			s := &service{generation: 9}
			down, up := time.Hour+2*time.Second+time.Duration(seed)*37*time.Millisecond, time.Hour+12*time.Second+time.Duration(seed)*53*time.Millisecond
			most := 0
			r.reply = func(n *caller, c Call) (time.Duration, Event) {
				if most = max(most, len(n.calls)); r.now < down && r.now+c.PollWait >= down || r.now >= down && r.now < up {
					if mute == "silent" {
						return 0, nil
					}
					return max(0, down-r.now), Failed{c.ID, Unanswered}
				}
				return s.answer(r.now, c)
			}
			r.till(down)
			n := r.nodes[0]
			if first := n.made[0]; first.at != time.Hour || !first.Full || n.last != 9 {
				t.Fatalf("%s: first call %+v, generation %d", mute, first, n.last)
			}
			r.till(up)
			s.generation = 12
			if r.till(up + grace); n.last != 12 {
				t.Errorf("%s, seed %d: %v after its return it knows generation %d", mute, seed, grace, n.last)
			}
			for i, m := range n.made[1:] {
				if gap := m.at - n.made[i].at; gap > pushedHold+pushedDoubt {
					t.Errorf("%s: no call for %v", mute, gap)
				}
			}
			if rate := float64(len(n.made)) / (up - time.Hour).Seconds(); most > 6 || rate > 12 {
				t.Errorf("%s: %d calls out at once, %.1f a second", mute, most, rate)
			}
		}
	}
}

// Whatever comes of calls, answers hold in an order in which no older generation of the
// same life of the service follows a newer one, calls that are out are few, what was given
// up changes nothing, and a service that works has its news known within the bound.
func TestCallersUnderAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Pushed: rapid.Bool().Draw(t, "pushed"), PollWait: rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "hold"),
			AskWithin: rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second, time.Minute}).Draw(t, "ask within"),
			Nodes:     float64(rapid.SampledFrom([]int{0, 1, 3, 60, 300}).Draw(t, "nodes")), Seed: rapid.Int64().Draw(t, "seed")}
		s := &service{generation: uint64(rapid.IntRange(0, 50).Draw(t, "generation"))}
		r := newRig(1, set, InitialState{Generation: uint64(rapid.IntRange(0, 60).Draw(t, "known generation")), HaveList: rapid.Bool().Draw(t, "known"), Stagger: rapid.Bool().Draw(t, "spread")})
		n, works, life, lifeOf := r.nodes[0], false, 0, map[CallID]int{}
		r.reply = func(n *caller, c Call) (time.Duration, Event) {
			if len(n.calls) > 7 {
				t.Fatalf("%d calls are out", len(n.calls))
			}
			lifeOf[c.ID] = life
			if works {
				return s.answer(r.now, c)
			}
			late := time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "what comes") {
			case 0:
				return 0, nil
			case 1:
				return late, Failed{c.ID, Rejected}
			case 2:
				return late, Failed{c.ID, Unanswered}
			}
			after, say := s.answer(r.now, c)
			return after + late, say
		}
		last, lastLife, most := uint64(0), 0, set.Nodes
		r.took = func(n *caller, c CallID) {
			if lifeOf[c] == lastLife && n.last < last {
				t.Fatalf("generation %d after %d", n.last, last)
			}
			last, lastLife = n.last, lifeOf[c]
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s.generation += uint64(rapid.IntRange(1, 3).Draw(t, "changes"))
			case 1:
				s.generation, life = uint64(rapid.IntRange(0, 3).Draw(t, "anew")), life+1
			case 2:
				r.give(n, RestartRequested{})
			case 3:
				nodes := float64(rapid.IntRange(0, 500).Draw(t, "shared"))
				most = max(most, nodes)
				r.give(n, NodesChanged{nodes})
			}
			r.till(r.now + time.Duration(rapid.IntRange(1, 8000).Draw(t, "time"))*time.Millisecond)
		}
		// From here on the service works, but for the watch that runs.
		works = true
		s.generation += 7
		bound := NotifiedAfter
		if len(n.calls) > 0 && n.calls[0].PollWait > 0 { // it may be silent, to the end of its hold
			bound = n.calls[0].at + n.calls[0].PollWait + CallTimeout + 3*time.Second - r.now
		}
		if most > 100 { // where it is turned away time after time it has its turn
			bound += time.Duration(1.5 * most * float64(nodeTurn))
		}
		if r.till(r.now + max(bound, NotifiedAfter)); n.last != s.generation {
			t.Fatalf("generation %d, and it is %d for %v; calls %s", n.last, s.generation, bound, fmt.Sprint(n.made[max(0, len(n.made)-4):]))
		}
	})
}

// From a change to its use at the last of so many nodes, asked and pushed, quiet and with a
// third of all calls failing at once: within the time after which it counts as told where
// discovery is asked, within the grace for drains where an agent has it. (The table of
// docs/membership.md: go test ./membership -run UsedInTime -membership-long -v.)
func TestChangesAreUsedInTime(t *testing.T) {
	sizes, length := []int{3, 30}, 30*time.Second
	if *long {
		sizes, length = []int{3, 30, 300}, 3*time.Minute
	}
	for _, set := range []Settings{{AskWithin: 10 * time.Second}, {Pushed: true}} {
		for _, nodes := range sizes {
			for _, failing := range []float64{0, 1. / 3} {
				set.Nodes = float64(nodes)
				r := newRig(nodes, set, InitialState{HaveList: true, Stagger: true})
				rng := rand.New(rand.NewPCG(uint64(nodes), 5))
				calls, changes := 0, []Time{0, r.now}
				r.reply = func(n *caller, c Call) (time.Duration, Event) {
					if calls++; rng.Float64() < failing {
						return time.Duration(rng.Int64N(int64(c.PollWait) + int64(20*time.Millisecond))), Failed{c.ID, Unanswered}
					}
					s := &service{generation: uint64(len(changes) - 1)}
					after, say := s.answer(r.now, c)
					if next := time.Hour + 3*time.Second*time.Duration(len(changes)-1); say.(Answered).Generation == c.From && c.PollWait > 0 && r.now+after > next {
						return max(0, next-r.now) + time.Millisecond, Answered{c.ID, false, c.From + 1} // a watch tells at once
					}
					return after, say
				}
				var took []time.Duration
				used := make([]uint64, nodes)
				r.took = func(n *caller, _ CallID) {
					for ; used[n.number] < n.last; used[n.number]++ {
						if g := used[n.number] + 1; int(g) < len(changes) && g > 1 {
							took = append(took, max(0, r.now-changes[g]))
						}
					}
				}
				for r.now < time.Hour+length {
					r.till(changes[len(changes)-1] + 3*time.Second)
					changes = append(changes, r.now)
				}
				rate := float64(calls) / (r.now - time.Hour).Seconds()
				r.till(r.now + NotifiedAfter)
				slices.Sort(took)
				at := func(p float64) time.Duration {
					return took[int(p*float64(len(took)-1))].Round(time.Millisecond)
				}
				t.Logf("pushed %v, %d nodes, %.2f of calls fail: p50 %v, p99 %v, max %v; %.1f calls a second", set.Pushed, nodes, failing, at(0.5), at(0.99), at(1), rate)
				most := NotifiedAfter
				if set.Pushed {
					most = 500 * time.Millisecond
				}
				worst := at(1)
				if failing > 0 { // as many failures in a row as chance makes of one
					worst, most = at(0.99), 2*most
				}
				if worst > most || len(took) < nodes*len(changes)*8/10 {
					t.Errorf("%v of %v, %d uses of %d changes", worst, most, len(took), len(changes))
				}
			}
		}
	}
}
