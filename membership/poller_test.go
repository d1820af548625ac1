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
	// reply returns the delay and the outcome of a call; a nil Event: never answered.
	reply    func(node *simulatedNode, call Call) (time.Duration, Event)
	onAccept func(node *simulatedNode, call CallID) // called for each accepted answer; may be nil
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
	sim := &simulation{now: time.Hour}
	for i := range nodes {
		s := settings
		s.Seed += int64(i)
		sim.add(NewPoller(s, from, sim.now), sim.now)
	}
	return sim
}

func (sim *simulation) add(poller *Poller, start Time) *simulatedNode {
	node := &simulatedNode{Poller: poller, index: len(sim.nodes), start: start, open: map[CallID]bool{}, generations: map[CallID]uint64{}}
	sim.nodes = append(sim.nodes, node)
	return node
}

// deliver passes an event to a node and carries out the resulting actions.
func (sim *simulation) deliver(node *simulatedNode, event Event) {
	if action, is := event.(Answered); is {
		node.generations[action.Call] = action.Generation
	}
	for _, action := range slices.Clone(node.Handle(sim.now, event)) {
		switch action := action.(type) {
		case Call:
			node.sent, node.open[action.ID] = append(node.sent, sentCall{action, sim.now}), true
			after, event := sim.reply(node, action)
			if event != nil {
				sim.scheduled = append(sim.scheduled, scheduledEvent{sim.now + after, node, event})
				slices.SortStableFunc(sim.scheduled, func(x, y scheduledEvent) int { return int(x.at - y.at) })
			}
		case Cancel:
			delete(node.open, action.ID)
		case Accept:
			node.acceptedAt, node.lastGeneration = append(node.acceptedAt, sim.now), node.generations[action.Call]
			if delete(node.open, action.Call); sim.onAccept != nil {
				sim.onAccept(node, action.Call)
			}
		case WatchLost:
			node.watchesLost++
		}
	}
}

// runUntil advances virtual time.
func (sim *simulation) runUntil(end Time) {
	for {
		at, node := end, (*simulatedNode)(nil)
		for _, candidate := range sim.nodes {
			if due := max(candidate.Next(), candidate.start, sim.now); due < at || due == at && node == nil {
				at, node = due, candidate
			}
		}
		if len(sim.scheduled) > 0 && sim.scheduled[0].at <= at {
			next := sim.scheduled[0]
			sim.scheduled, sim.now = sim.scheduled[1:], max(sim.now, next.at)
			switch event := next.event.(type) {
			case Answered:
				if next.node.open[event.Call] {
					sim.deliver(next.node, event)
				}
			case Failed:
				if next.node.open[event.Call] {
					delete(next.node.open, event.Call)
					sim.deliver(next.node, event)
				}
			}
			continue
		}
		if node == nil || at >= end {
			sim.now = end
			return
		}
		sim.now = at
		sim.deliver(node, Ticked{})
	}
}

// discoveryService is a discovery service with a current generation.
type discoveryService struct {
	generation uint64
	changed    Time // time of the last generation
}

// answer returns what a healthy service replies: at once if there is a newer generation, otherwise
// after the poll wait.
func (s *discoveryService) answer(now Time, call Call) (time.Duration, Event) {
	event := Answered{call.ID, call.Full, s.generation}
	if call.Full || call.PollWait == 0 || s.generation != call.From {
		return time.Millisecond, event
	}
	return call.PollWait, event
}

// Guards against a burst of calls when 48 nodes start within a second while discovery rejects nine
// of ten calls for 20 s.
func TestCallRateOfManyNodesIsBounded(t *testing.T) {
	const nodes, length, overloaded = 48, 30, 20 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	sim := &simulation{now: time.Hour}
	for i := range nodes {
		sim.add(NewPoller(Settings{Nodes: nodes, ListPollInterval: 10 * time.Second, Seed: int64(i)}, InitialState{HaveList: true, Stagger: true}, sim.now), sim.now+time.Duration(rng.Int64N(int64(time.Second))))
	}
	var calls [length]int
	sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
		if call.PollWait == 0 {
			calls[(sim.now-time.Hour)/time.Second]++
		}
		if rng.IntN(10) == 0 || sim.now > time.Hour+overloaded || call.PollWait > 0 {
			return call.PollWait, Answered{call.ID, false, 1}
		}
		return 0, Failed{call.ID, Rejected}
	}
	sim.runUntil(time.Hour + length*time.Second)
	t.Logf("calls in each second: %v", calls)
	for i, count := range calls {
		if count > 50 { // 40 a second plus random variation
			t.Errorf("%d calls in second %d", count, i)
		}
	}
	for _, node := range sim.nodes {
		if !node.WatchEstablished() {
			t.Errorf("node %d has no watch", node.index)
		}
	}
}

// Guards against a retry whose answer arrives after the change counts as notified, for any number
// of nodes and any kind of failure. For repeated rejections see TestAllNodesReachSlowDiscovery.
func TestFailedCallIsRetriedWithinNotificationDeadline(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 120, 300, 1000} {
		for _, failAfter := range []time.Duration{0, time.Second, CallTimeout, -1} {
			sim := newSimulation(1, Settings{Nodes: float64(nodes), ListPollInterval: 10 * time.Second, Seed: int64(nodes)}, InitialState{HaveList: true, Stagger: true})
			sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
				if failAfter < 0 { // never answered: times out
					return 0, nil
				}
				return failAfter, Failed{call.ID, Unanswered}
			}
			sim.runUntil(time.Hour + 2*time.Minute)
			longestGap := time.Duration(0)
			for i, later := range sim.nodes[0].sent[1:] {
				longestGap = max(longestGap, later.at-sim.nodes[0].sent[i].at)
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
		sim := newSimulation(nodes, Settings{Nodes: float64(nodes), ListPollInterval: 10 * time.Second}, InitialState{HaveList: true, Stagger: true})
		idleAt := time.Hour + recoverAfter // when the queue is empty
		calls, rejected := 0, 0
		sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
			if call.PollWait > 0 {
				return call.PollWait, Answered{call.ID, false, 2}
			}
			calls++
			wait := max(idleAt, sim.now) - sim.now
			switch {
			case sim.now < time.Hour+recoverAfter: // discovery is down
				return queueTimeout, Failed{call.ID, Rejected}
			case wait > queueTimeout+100*time.Millisecond && !test.queuesAll:
				rejected++
				return 5 * time.Millisecond, Failed{call.ID, Rejected}
			}
			if wait > queueTimeout && test.queuesAll { // drops the call without working on it
				return queueTimeout, Failed{call.ID, Rejected}
			}
			idleAt = sim.now + wait + time.Second/time.Duration(rate)
			if wait > queueTimeout {
				return queueTimeout, Failed{call.ID, Rejected}
			}
			return idleAt - sim.now, Answered{call.ID, false, 2}
		}
		limit := 6*time.Second + 3*time.Duration(nodes)*time.Second/time.Duration(rate)
		sim.runUntil(time.Hour + recoverAfter + limit)
		var first []time.Duration
		for _, node := range sim.nodes {
			if len(node.acceptedAt) > 0 {
				first = append(first, node.acceptedAt[0]-time.Hour-recoverAfter)
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
		sim := newSimulation(1, Settings{Nodes: 300, ListPollInterval: 10 * time.Second, Seed: seed}, InitialState{HaveList: true, Stagger: true})
		sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) { return 0, Failed{call.ID, Rejected} }
		sim.runUntil(time.Hour + 20*time.Second)
		sent := sim.nodes[0].sent
		if len(sent) < 3 || sent[1].at-sent[0].at > 3*time.Second || sent[2].at-sent[1].at < 3*time.Second {
			t.Errorf("seed %d: calls at %v", seed, sent)
		}
	}
}

// The first call to a new address is immediate, and if it is not answered the next one follows
// within 3 s.
func TestFirstCallToNewAddressIsImmediate(t *testing.T) {
	for seed := range int64(50) {
		sim := newSimulation(1, Settings{Nodes: 300, ListPollInterval: 10 * time.Second, Seed: seed}, InitialState{HaveList: true})
		sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) { return 0, nil }
		sim.runUntil(time.Hour + time.Minute)
		sent := sim.nodes[0].sent
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
			sim := newSimulation(1, Settings{PollWait: pollWait, ListPollInterval: 10 * time.Second, Seed: seed}, InitialState{HaveList: true})
			service := &discoveryService{generation: 1}
			silentAt := Time(0)
			sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
				if call.PollWait > 0 && silentAt == 0 {
					silentAt, service.generation = sim.now+call.PollWait, 2 // a change that the watch does not deliver
					return 0, nil
				}
				return service.answer(sim.now, call)
			}
			sim.runUntil(time.Hour + 30*time.Second)
			node := sim.nodes[0]
			if node.lastGeneration != 2 || node.acceptedAt[1] > silentAt+CallTimeout+3*time.Second {
				t.Errorf("poll wait %v: generation %d, accepted at %v, silent since %v", pollWait, node.lastGeneration, node.acceptedAt, silentAt)
			}
			if pollWait == 0 && node.acceptedAt[1] > silentAt+500*time.Millisecond {
				t.Errorf("detected after %v", node.acceptedAt[1]-silentAt)
			}
		}
	}
}

// Changes of an earlier generation come from a restarted discovery: the full list is requested, and
// an answer that is not one counts as a failure.
func TestFullListIsRequestedAfterDiscoveryRestart(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		sim := newSimulation(1, Settings{Pushed: pushed, ListPollInterval: 10 * time.Second}, InitialState{HaveList: true, Generation: 40})
		service := &discoveryService{generation: 2}
		partialAnswers := 2
		sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
			if call.Full && partialAnswers > 0 {
				partialAnswers--
				return 0, Answered{call.ID, false, 2}
			}
			return service.answer(sim.now, call)
		}
		sim.runUntil(time.Hour + 10*time.Second)
		node := sim.nodes[0]
		if node.lastGeneration != 2 || !slices.ContainsFunc(node.sent, func(m sentCall) bool { return m.Full }) || node.watchesLost == 0 {
			t.Errorf("pushed %v: generation %d, %d lost, %v", pushed, node.lastGeneration, node.watchesLost, node.sent)
		}
	}
}

// A poller without a cached list requests the full one; later calls request changes.
func TestFullListIsRequestedWithoutCachedList(t *testing.T) {
	sim := newSimulation(1, Settings{}, InitialState{})
	service := &discoveryService{generation: 7}
	sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) { return service.answer(sim.now, call) }
	sim.runUntil(time.Hour + time.Minute)
	if sent := sim.nodes[0].sent; !sent[0].Full || sent[1].Full || sent[1].From != 7 || sent[1].PollWait == 0 {
		t.Errorf("%v", sent[:2])
	}
}

// With a local agent the first call is immediate and full, an unresponsive agent is detected well
// within the drain grace period, and its list is known as soon as it recovers.
func TestLocalAgentOutageIsDetectedWithinDrainGrace(t *testing.T) {
	const grace = 500 * time.Millisecond
	for seed := range int64(50) {
		for _, failure := range []string{"silent", "refuses"} {
			sim := newSimulation(1, Settings{Pushed: true, Nodes: 300, Seed: seed}, InitialState{HaveList: true, Generation: 3, Stagger: true})
			service := &discoveryService{generation: 9}
			down, up := time.Hour+2*time.Second+time.Duration(seed)*37*time.Millisecond, time.Hour+12*time.Second+time.Duration(seed)*53*time.Millisecond
			maxOpen := 0
			sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
				if maxOpen = max(maxOpen, len(node.calls)); sim.now < down && sim.now+call.PollWait >= down || sim.now >= down && sim.now < up {
					if failure == "silent" {
						return 0, nil
					}
					return max(0, down-sim.now), Failed{call.ID, Unanswered}
				}
				return service.answer(sim.now, call)
			}
			sim.runUntil(down)
			node := sim.nodes[0]
			if first := node.sent[0]; first.at != time.Hour || !first.Full || node.lastGeneration != 9 {
				t.Fatalf("%s: first call %+v, generation %d", failure, first, node.lastGeneration)
			}
			sim.runUntil(up)
			service.generation = 12
			if sim.runUntil(up + grace); node.lastGeneration != 12 {
				t.Errorf("%s, seed %d: %v after its recovery the node has generation %d", failure, seed, grace, node.lastGeneration)
			}
			for i, later := range node.sent[1:] {
				if gap := later.at - node.sent[i].at; gap > localPollWait+localHedgeDelay {
					t.Errorf("%s: no call for %v", failure, gap)
				}
			}
			if rate := float64(len(node.sent)) / (up - time.Hour).Seconds(); maxOpen > 6 || rate > 12 {
				t.Errorf("%s: %d calls in progress at once, %.1f a second", failure, maxOpen, rate)
			}
		}
	}
}

// Whatever happens to calls: generations of one incarnation of discovery never go back, few calls
// are in progress, canceled ones change nothing, and a healthy discovery's changes arrive in time.
func TestPollerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Pushed: rapid.Bool().Draw(t, "pushed"), PollWait: rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "poll wait"),
			ListPollInterval: rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second, time.Minute}).Draw(t, "ask within"),
			Nodes:            float64(rapid.SampledFrom([]int{0, 1, 3, 60, 300}).Draw(t, "nodes")), Seed: rapid.Int64().Draw(t, "seed")}
		service := &discoveryService{generation: uint64(rapid.IntRange(0, 50).Draw(t, "generation"))}
		sim := newSimulation(1, settings, InitialState{Generation: uint64(rapid.IntRange(0, 60).Draw(t, "known generation")), HaveList: rapid.Bool().Draw(t, "known"), Stagger: rapid.Bool().Draw(t, "stagger")})
		node, healthy, incarnation, incarnationOf := sim.nodes[0], false, 0, map[CallID]int{}
		sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
			if len(node.calls) > 7 {
				t.Fatalf("%d calls in progress", len(node.calls))
			}
			incarnationOf[call.ID] = incarnation
			if healthy {
				return service.answer(sim.now, call)
			}
			late := time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay, ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "outcome") {
			case 0:
				return 0, nil
			case 1:
				return late, Failed{call.ID, Rejected}
			case 2:
				return late, Failed{call.ID, Unanswered}
			}
			after, event := service.answer(sim.now, call)
			return after + late, event
		}
		lastGeneration, lastIncarnation, maxNodes := uint64(0), 0, settings.Nodes
		sim.onAccept = func(node *simulatedNode, call CallID) {
			if incarnationOf[call] == lastIncarnation && node.lastGeneration < lastGeneration {
				t.Fatalf("generation %d after %d", node.lastGeneration, lastGeneration)
			}
			lastGeneration, lastIncarnation = node.lastGeneration, incarnationOf[call]
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				service.generation += uint64(rapid.IntRange(1, 3).Draw(t, "changes"))
			case 1:
				service.generation, incarnation = uint64(rapid.IntRange(0, 3).Draw(t, "new generation")), incarnation+1
			case 2:
				sim.deliver(node, RestartRequested{})
			case 3:
				nodes := float64(rapid.IntRange(0, 500).Draw(t, "current nodes"))
				maxNodes = max(maxNodes, nodes)
				sim.deliver(node, NodesChanged{nodes})
			}
			sim.runUntil(sim.now + time.Duration(rapid.IntRange(1, 8000).Draw(t, "step, ms"))*time.Millisecond)
		}
		// From here on discovery is healthy, except for the call in progress.
		healthy = true
		service.generation += 7
		bound := NotifiedAfter
		if len(node.calls) > 0 && node.calls[0].PollWait > 0 { // it may stay unanswered until the end of its poll wait
			bound = node.calls[0].startedAt + node.calls[0].PollWait + CallTimeout + 3*time.Second - sim.now
		}
		if maxNodes > 100 { // retries after repeated rejections are spread over the nodes
			bound += time.Duration(1.5 * maxNodes * float64(perNodeDelay))
		}
		if sim.runUntil(sim.now + max(bound, NotifiedAfter)); node.lastGeneration != service.generation {
			t.Fatalf("generation %d, but discovery has had %d for %v; calls %s", node.lastGeneration, service.generation, bound, fmt.Sprint(node.sent[max(0, len(node.sent)-4):]))
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
				sim := newSimulation(nodes, settings, InitialState{HaveList: true, Stagger: true})
				rng := rand.New(rand.NewPCG(uint64(nodes), 5))
				calls, changes := 0, []Time{0, sim.now}
				sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
					if calls++; rng.Float64() < failureRate {
						return time.Duration(rng.Int64N(int64(call.PollWait) + int64(20*time.Millisecond))), Failed{call.ID, Unanswered}
					}
					service := &discoveryService{generation: uint64(len(changes) - 1)}
					after, event := service.answer(sim.now, call)
					if next := time.Hour + 3*time.Second*time.Duration(len(changes)-1); event.(Answered).Generation == call.From && call.PollWait > 0 && sim.now+after > next {
						// A watch delivers at once.
						return max(0, next-sim.now) + time.Millisecond, Answered{call.ID, false, call.From + 1}
					}
					return after, event
				}
				var took []time.Duration
				used := make([]uint64, nodes)
				sim.onAccept = func(node *simulatedNode, _ CallID) {
					for ; used[node.index] < node.lastGeneration; used[node.index]++ {
						if g := used[node.index] + 1; int(g) < len(changes) && g > 1 {
							took = append(took, max(0, sim.now-changes[g]))
						}
					}
				}
				for sim.now < time.Hour+length {
					sim.runUntil(changes[len(changes)-1] + 3*time.Second)
					changes = append(changes, sim.now)
				}
				rate := float64(calls) / (sim.now - time.Hour).Seconds()
				sim.runUntil(sim.now + NotifiedAfter)
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
