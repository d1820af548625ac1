package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation runs pollers against one discovery service in virtual time.
type simulation struct {
	now       Time
	nodes     []*simulatedNode
	scheduled []scheduledEvent // pending events, ordered by time
	// reply returns the outcome of a call and its delay; nil: never answered.
	reply func(n *simulatedNode, c Call) (time.Duration, Event)
	took  func(n *simulatedNode, c CallID) // called for each accepted answer; may be nil
}

type simulatedNode struct {
	*Poller
	index          int
	start          Time
	sent           []sentCall
	open           map[CallID]bool
	acceptedAt     []Time
	watchesLost    int
	lastGeneration uint64 // generation of the last accepted answer
	generations    map[CallID]uint64
}

type sentCall struct {
	Call
	at Time
}

type scheduledEvent struct {
	at    Time
	node  *simulatedNode
	event Event
}

func newSimulation(nodes int, settings Settings, from InitialState) *simulation {
	r := &simulation{now: time.Hour}
	for i := range nodes {
		s := settings
		s.Seed += int64(i)
		r.add(NewPoller(s, from, r.now), r.now)
	}
	return r
}

func (r *simulation) add(c *Poller, start Time) *simulatedNode {
	n := &simulatedNode{Poller: c, index: len(r.nodes), start: start, open: map[CallID]bool{}, generations: map[CallID]uint64{}}
	r.nodes = append(r.nodes, n)
	return n
}

// deliver passes an event to a node and carries out the resulting actions.
func (r *simulation) deliver(n *simulatedNode, e Event) {
	if a, is := e.(Answered); is {
		n.generations[a.Call] = a.Generation
	}
	for _, a := range slices.Clone(n.Handle(r.now, e)) {
		switch a := a.(type) {
		case Call:
			n.sent, n.open[a.ID] = append(n.sent, sentCall{a, r.now}), true
			after, event := r.reply(n, a)
			if event != nil {
				r.scheduled = append(r.scheduled, scheduledEvent{r.now + after, n, event})
				slices.SortStableFunc(r.scheduled, func(x, y scheduledEvent) int { return int(x.at - y.at) })
			}
		case Cancel:
			delete(n.open, a.ID)
		case Accept:
			n.acceptedAt, n.lastGeneration = append(n.acceptedAt, r.now), n.generations[a.Call]
			if delete(n.open, a.Call); r.took != nil {
				r.took(n, a.Call)
			}
		case WatchLost:
			n.watchesLost++
		}
	}
}

// runUntil advances virtual time.
func (r *simulation) runUntil(end Time) {
	for {
		at, node := end, (*simulatedNode)(nil)
		for _, n := range r.nodes {
			if due := max(n.Next(), n.start, r.now); due < at || due == at && node == nil {
				at, node = due, n
			}
		}
		if len(r.scheduled) > 0 && r.scheduled[0].at <= at {
			a := r.scheduled[0]
			r.scheduled, r.now = r.scheduled[1:], max(r.now, a.at)
			switch e := a.event.(type) {
			case Answered:
				if a.node.open[e.Call] {
					r.deliver(a.node, e)
				}
			case Failed:
				if a.node.open[e.Call] {
					delete(a.node.open, e.Call)
					r.deliver(a.node, e)
				}
			}
			continue
		}
		if node == nil || at >= end {
			r.now = end
			return
		}
		r.now = at
		r.deliver(node, Ticked{})
	}
}

// discoveryService is a discovery service with a current generation.
type discoveryService struct {
	generation uint64
	changed    Time // time of the last generation
}

// answer returns what a healthy service replies: at once if there is a newer generation, otherwise
// after the poll wait.
func (s *discoveryService) answer(now Time, c Call) (time.Duration, Event) {
	event := Answered{c.ID, c.Full, s.generation}
	if c.Full || c.PollWait == 0 || s.generation != c.From {
		return time.Millisecond, event
	}
	return c.PollWait, event
}

// Guards against a thundering herd: 48 nodes start within a second while discovery rejects nine of
// ten calls for 20 s.
func TestCallRateOfManyNodesIsBounded(t *testing.T) {
	const nodes, length, overloaded = 48, 30, 20 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	r := &simulation{now: time.Hour}
	for i := range nodes {
		r.add(NewPoller(Settings{Nodes: nodes, ListPollInterval: 10 * time.Second, Seed: int64(i)}, InitialState{HaveList: true, Stagger: true}, r.now), r.now+time.Duration(rng.Int64N(int64(time.Second))))
	}
	var calls [length]int
	r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
		if c.PollWait == 0 {
			calls[(r.now-time.Hour)/time.Second]++
		}
		if rng.IntN(10) == 0 || r.now > time.Hour+overloaded || c.PollWait > 0 {
			return c.PollWait, Answered{c.ID, false, 1}
		}
		return 0, Failed{c.ID, Rejected}
	}
	r.runUntil(time.Hour + length*time.Second)
	t.Logf("calls in each second: %v", calls)
	for i, n := range calls {
		if n > 50 { // 40 a second plus random variation
			t.Errorf("%d calls in second %d", n, i)
		}
	}
	for _, n := range r.nodes {
		if !n.WatchEstablished() {
			t.Errorf("node %d has no watch", n.index)
		}
	}
}

// Guards against a retry whose answer arrives after the change counts as notified, for any number
// of nodes and any kind of failure. For repeated rejections see TestAllNodesReachSlowDiscovery.
func TestFailedCallIsRetriedWithinNotificationDeadline(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 120, 300, 1000} {
		for _, failAfter := range []time.Duration{0, time.Second, CallTimeout, -1} {
			r := newSimulation(1, Settings{Nodes: float64(nodes), ListPollInterval: 10 * time.Second, Seed: int64(nodes)}, InitialState{HaveList: true, Stagger: true})
			r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
				if failAfter < 0 { // never answered: times out
					return 0, nil
				}
				return failAfter, Failed{c.ID, Unanswered}
			}
			r.runUntil(time.Hour + 2*time.Minute)
			longestGap := time.Duration(0)
			for i, m := range r.nodes[0].sent[1:] {
				longestGap = max(longestGap, m.at-r.nodes[0].sent[i].at)
			}
			// Worst case: discovery recovers just after a call that still fails.
			if longestGap == 0 || longestGap+CallTimeout > NotifiedAfter {
				t.Errorf("%d nodes, calls that fail after %v: retried after %v", nodes, failAfter, longestGap)
			}
		}
	}
}

// Discovery returns after 8 s, serves calls one by one, rejects some immediately and drops those
// that wait too long. Guards against retries that keep its queue full of calls that are dropped,
// and against nodes that lose their place in it.
func TestAllNodesReachSlowDiscovery(t *testing.T) {
	const recoverAfter = 8 * time.Second
	for _, test := range []struct {
		nodes, rate  int // rate in calls a second
		queueTimeout time.Duration
		queuesAll    bool // queues all calls and rejects none immediately
	}{{300, 25, 2 * time.Second, false}, {300, 40, 2 * time.Second, false}, {300, 80, 2 * time.Second, false}, {300, 160, 2 * time.Second, false},
		{300, 25, 3 * time.Second, false}, {300, 80, 3 * time.Second, false}, {32, 4, 2 * time.Second, false}, {32, 4, 3 * time.Second, false}, {32, 4, 3500 * time.Millisecond, false},
		{32, 4, 2 * time.Second, true}, {32, 4, 3 * time.Second, true}, {32, 4, 3500 * time.Millisecond, true}, {32, 8, 3500 * time.Millisecond, true}, {300, 25, 3 * time.Second, true}, {300, 80, 3 * time.Second, true}} {
		nodes, rate, queueTimeout := test.nodes, test.rate, test.queueTimeout
		r := newSimulation(nodes, Settings{Nodes: float64(nodes), ListPollInterval: 10 * time.Second}, InitialState{HaveList: true, Stagger: true})
		idleAt := time.Hour + recoverAfter // when the queue is empty
		calls, rejected := 0, 0
		r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
			if c.PollWait > 0 {
				return c.PollWait, Answered{c.ID, false, 2}
			}
			calls++
			wait := max(idleAt, r.now) - r.now
			switch {
			case r.now < time.Hour+recoverAfter: // discovery is down
				return queueTimeout, Failed{c.ID, Rejected}
			case wait > queueTimeout+100*time.Millisecond && !test.queuesAll:
				rejected++
				return 5 * time.Millisecond, Failed{c.ID, Rejected}
			}
			if wait > queueTimeout && test.queuesAll { // drops the call without working on it
				return queueTimeout, Failed{c.ID, Rejected}
			}
			idleAt = r.now + wait + time.Second/time.Duration(rate)
			if wait > queueTimeout {
				return queueTimeout, Failed{c.ID, Rejected}
			}
			return idleAt - r.now, Answered{c.ID, false, 2}
		}
		limit := 6*time.Second + 3*time.Duration(nodes)*time.Second/time.Duration(rate)
		r.runUntil(time.Hour + recoverAfter + limit)
		var first []time.Duration
		for _, n := range r.nodes {
			if len(n.acceptedAt) > 0 {
				first = append(first, n.acceptedAt[0]-time.Hour-recoverAfter)
			}
		}
		slices.Sort(first)
		t.Logf("%d nodes, %d calls a second, %v: half of the nodes after %v, all after %v, %d calls, %d rejected", nodes, rate, queueTimeout, first[len(first)/2], first[len(first)-1], calls, rejected)
		if len(first) < nodes {
			t.Errorf("%d calls a second, %v: %d of %d nodes reached discovery within %v", rate, queueTimeout, len(first), nodes, limit)
		}
	}
}

// A single rejection is no overload: the next call follows within 3 s, as after any failure.
func TestRejectedCallIsRetriedSoon(t *testing.T) {
	for seed := range int64(50) {
		r := newSimulation(1, Settings{Nodes: 300, ListPollInterval: 10 * time.Second, Seed: seed}, InitialState{HaveList: true, Stagger: true})
		r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) { return 0, Failed{c.ID, Rejected} }
		r.runUntil(time.Hour + 20*time.Second)
		sent := r.nodes[0].sent
		if len(sent) < 3 || sent[1].at-sent[0].at > 3*time.Second || sent[2].at-sent[1].at < 3*time.Second {
			t.Errorf("seed %d: calls at %v", seed, sent)
		}
	}
}

// The first call to a new address is immediate, and if it is not answered the next one follows
// within 3 s.
func TestFirstCallToNewAddressIsImmediate(t *testing.T) {
	for seed := range int64(50) {
		r := newSimulation(1, Settings{Nodes: 300, ListPollInterval: 10 * time.Second, Seed: seed}, InitialState{HaveList: true})
		r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) { return 0, nil }
		r.runUntil(time.Hour + time.Minute)
		sent := r.nodes[0].sent
		if sent[0].at != time.Hour || sent[1].at-sent[0].at+CallTimeout > NotifiedAfter || sent[0].From != 0 || sent[0].Full {
			t.Errorf("seed %d: calls at %v", seed, sent[:2])
		}
	}
}

// A watch that stalls during a long poll is detected within 0.5 s after the poll wait by at most
// two hedges; short polls time out before that.
func TestSilentWatchIsHedged(t *testing.T) {
	for _, pollWait := range []time.Duration{0, time.Second, ShortPollWait, 4 * time.Second} {
		for seed := range int64(20) {
			r := newSimulation(1, Settings{PollWait: pollWait, ListPollInterval: 10 * time.Second, Seed: seed}, InitialState{HaveList: true})
			s := &discoveryService{generation: 1}
			silentAt := Time(0)
			r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
				if c.PollWait > 0 && silentAt == 0 {
					silentAt, s.generation = r.now+c.PollWait, 2 // a change that the watch does not deliver
					return 0, nil
				}
				return s.answer(r.now, c)
			}
			r.runUntil(time.Hour + 30*time.Second)
			n := r.nodes[0]
			if n.lastGeneration != 2 || n.acceptedAt[1] > silentAt+CallTimeout+3*time.Second {
				t.Errorf("poll wait %v: generation %d, accepted at %v, silent since %v", pollWait, n.lastGeneration, n.acceptedAt, silentAt)
			}
			if pollWait == 0 && n.acceptedAt[1] > silentAt+500*time.Millisecond {
				t.Errorf("detected after %v", n.acceptedAt[1]-silentAt)
			}
		}
	}
}

// Changes of an earlier generation come from a restarted discovery: the full list is requested, and
// an answer that is not one counts as a failure.
func TestFullListIsRequestedAfterDiscoveryRestart(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		r := newSimulation(1, Settings{Pushed: pushed, ListPollInterval: 10 * time.Second}, InitialState{HaveList: true, Generation: 40})
		s := &discoveryService{generation: 2}
		partialAnswers := 2
		r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
			if c.Full && partialAnswers > 0 {
				partialAnswers--
				return 0, Answered{c.ID, false, 2}
			}
			return s.answer(r.now, c)
		}
		r.runUntil(time.Hour + 10*time.Second)
		n := r.nodes[0]
		if n.lastGeneration != 2 || !slices.ContainsFunc(n.sent, func(m sentCall) bool { return m.Full }) || n.watchesLost == 0 {
			t.Errorf("pushed %v: generation %d, %d lost, %v", pushed, n.lastGeneration, n.watchesLost, n.sent)
		}
	}
}

// A poller without a cached list requests the full one; later calls request changes.
func TestFullListIsRequestedWithoutCachedList(t *testing.T) {
	r := newSimulation(1, Settings{}, InitialState{})
	s := &discoveryService{generation: 7}
	r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) { return s.answer(r.now, c) }
	r.runUntil(time.Hour + time.Minute)
	if sent := r.nodes[0].sent; !sent[0].Full || sent[1].Full || sent[1].From != 7 || sent[1].PollWait == 0 {
		t.Errorf("%v", sent[:2])
	}
}

// With a local agent the first call is immediate and full, an unresponsive agent is detected well
// within the drain grace period, and its list is known as soon as it recovers.
func TestLocalAgentOutageIsDetectedWithinDrainGrace(t *testing.T) {
	const grace = 500 * time.Millisecond
	for seed := range int64(50) {
		for _, failure := range []string{"silent", "refuses"} {
			r := newSimulation(1, Settings{Pushed: true, Nodes: 300, Seed: seed}, InitialState{HaveList: true, Generation: 3, Stagger: true})
			s := &discoveryService{generation: 9}
			down, up := time.Hour+2*time.Second+time.Duration(seed)*37*time.Millisecond, time.Hour+12*time.Second+time.Duration(seed)*53*time.Millisecond
			maxOpen := 0
			r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
				if maxOpen = max(maxOpen, len(n.calls)); r.now < down && r.now+c.PollWait >= down || r.now >= down && r.now < up {
					if failure == "silent" {
						return 0, nil
					}
					return max(0, down-r.now), Failed{c.ID, Unanswered}
				}
				return s.answer(r.now, c)
			}
			r.runUntil(down)
			n := r.nodes[0]
			if first := n.sent[0]; first.at != time.Hour || !first.Full || n.lastGeneration != 9 {
				t.Fatalf("%s: first call %+v, generation %d", failure, first, n.lastGeneration)
			}
			r.runUntil(up)
			s.generation = 12
			if r.runUntil(up + grace); n.lastGeneration != 12 {
				t.Errorf("%s, seed %d: %v after its recovery the node has generation %d", failure, seed, grace, n.lastGeneration)
			}
			for i, m := range n.sent[1:] {
				if gap := m.at - n.sent[i].at; gap > localPollWait+localHedgeDelay {
					t.Errorf("%s: no call for %v", failure, gap)
				}
			}
			if rate := float64(len(n.sent)) / (up - time.Hour).Seconds(); maxOpen > 6 || rate > 12 {
				t.Errorf("%s: %d calls in progress at once, %.1f a second", failure, maxOpen, rate)
			}
		}
	}
}

// Whatever happens to calls: generations of one incarnation of discovery never go back, few calls
// are in progress, canceled ones change nothing, and a healthy discovery's changes arrive in time.
func TestPollerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Pushed: rapid.Bool().Draw(t, "pushed"), PollWait: rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "hold"),
			ListPollInterval: rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second, time.Minute}).Draw(t, "ask within"),
			Nodes:            float64(rapid.SampledFrom([]int{0, 1, 3, 60, 300}).Draw(t, "nodes")), Seed: rapid.Int64().Draw(t, "seed")}
		s := &discoveryService{generation: uint64(rapid.IntRange(0, 50).Draw(t, "generation"))}
		r := newSimulation(1, settings, InitialState{Generation: uint64(rapid.IntRange(0, 60).Draw(t, "known generation")), HaveList: rapid.Bool().Draw(t, "known"), Stagger: rapid.Bool().Draw(t, "spread")})
		n, healthy, incarnation, incarnationOf := r.nodes[0], false, 0, map[CallID]int{}
		r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
			if len(n.calls) > 7 {
				t.Fatalf("%d calls in progress", len(n.calls))
			}
			incarnationOf[c.ID] = incarnation
			if healthy {
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
			after, event := s.answer(r.now, c)
			return after + late, event
		}
		lastGeneration, lastIncarnation, maxNodes := uint64(0), 0, settings.Nodes
		r.took = func(n *simulatedNode, c CallID) {
			if incarnationOf[c] == lastIncarnation && n.lastGeneration < lastGeneration {
				t.Fatalf("generation %d after %d", n.lastGeneration, lastGeneration)
			}
			lastGeneration, lastIncarnation = n.lastGeneration, incarnationOf[c]
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s.generation += uint64(rapid.IntRange(1, 3).Draw(t, "changes"))
			case 1:
				s.generation, incarnation = uint64(rapid.IntRange(0, 3).Draw(t, "anew")), incarnation+1
			case 2:
				r.deliver(n, RestartRequested{})
			case 3:
				nodes := float64(rapid.IntRange(0, 500).Draw(t, "shared"))
				maxNodes = max(maxNodes, nodes)
				r.deliver(n, NodesChanged{nodes})
			}
			r.runUntil(r.now + time.Duration(rapid.IntRange(1, 8000).Draw(t, "time"))*time.Millisecond)
		}
		// From here on discovery is healthy, except for the call in progress.
		healthy = true
		s.generation += 7
		bound := NotifiedAfter
		if len(n.calls) > 0 && n.calls[0].PollWait > 0 { // it may stay unanswered until the end of its poll wait
			bound = n.calls[0].startedAt + n.calls[0].PollWait + CallTimeout + 3*time.Second - r.now
		}
		if maxNodes > 100 { // retries after repeated rejections are spread over the nodes
			bound += time.Duration(1.5 * maxNodes * float64(perNodeDelay))
		}
		if r.runUntil(r.now + max(bound, NotifiedAfter)); n.lastGeneration != s.generation {
			t.Fatalf("generation %d, but discovery has had %d for %v; calls %s", n.lastGeneration, s.generation, bound, fmt.Sprint(n.sent[max(0, len(n.sent)-4):]))
		}
	})
}

// Measures the delay from a change until the last node applies it, with discovery and with a local
// agent, with and without failing calls. (The table of docs/membership.md: go test ./membership
// -run UsedInTime -membership-long -v.)
func TestChangesAreUsedInTime(t *testing.T) {
	sizes, length := []int{3, 30}, 30*time.Second
	if *longRun {
		sizes, length = []int{3, 30, 300}, 3*time.Minute
	}
	for _, settings := range []Settings{{ListPollInterval: 10 * time.Second}, {Pushed: true}} {
		for _, nodes := range sizes {
			for _, failureRate := range []float64{0, 1. / 3} {
				settings.Nodes = float64(nodes)
				r := newSimulation(nodes, settings, InitialState{HaveList: true, Stagger: true})
				rng := rand.New(rand.NewPCG(uint64(nodes), 5))
				calls, changes := 0, []Time{0, r.now}
				r.reply = func(n *simulatedNode, c Call) (time.Duration, Event) {
					if calls++; rng.Float64() < failureRate {
						return time.Duration(rng.Int64N(int64(c.PollWait) + int64(20*time.Millisecond))), Failed{c.ID, Unanswered}
					}
					s := &discoveryService{generation: uint64(len(changes) - 1)}
					after, event := s.answer(r.now, c)
					if next := time.Hour + 3*time.Second*time.Duration(len(changes)-1); event.(Answered).Generation == c.From && c.PollWait > 0 && r.now+after > next {
						// A watch delivers at once.
						return max(0, next-r.now) + time.Millisecond, Answered{c.ID, false, c.From + 1}
					}
					return after, event
				}
				var took []time.Duration
				used := make([]uint64, nodes)
				r.took = func(n *simulatedNode, _ CallID) {
					for ; used[n.index] < n.lastGeneration; used[n.index]++ {
						if g := used[n.index] + 1; int(g) < len(changes) && g > 1 {
							took = append(took, max(0, r.now-changes[g]))
						}
					}
				}
				for r.now < time.Hour+length {
					r.runUntil(changes[len(changes)-1] + 3*time.Second)
					changes = append(changes, r.now)
				}
				rate := float64(calls) / (r.now - time.Hour).Seconds()
				r.runUntil(r.now + NotifiedAfter)
				slices.Sort(took)
				percentile := func(p float64) time.Duration {
					return took[int(p*float64(len(took)-1))].Round(time.Millisecond)
				}
				t.Logf("pushed %v, %d nodes, %.2f of calls fail: p50 %v, p99 %v, max %v; %.1f calls a second", settings.Pushed, nodes, failureRate, percentile(0.5), percentile(0.99), percentile(1), rate)
				limit := NotifiedAfter
				if settings.Pushed {
					limit = 500 * time.Millisecond
				}
				worst := percentile(1)
				if failureRate > 0 { // the number of consecutive failures is random
					worst, limit = percentile(0.99), 2*limit
				}
				if worst > limit || len(took) < nodes*len(changes)*8/10 {
					t.Errorf("delay %v exceeds %v, or only %d applications of %d changes", worst, limit, len(took), len(changes))
				}
			}
		}
	}
}
