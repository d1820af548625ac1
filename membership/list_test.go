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

var longRun = flag.Bool("membership-long", false, "more nodes, rates and seeds")

func upEntries(serverNames ...string) (out []Entry[int]) {
	for _, n := range serverNames {
		out = append(out, Entry[int]{Name: n})
	}
	return out
}

func serverNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("s", i))
	}
	return out
}

// Peer reports apply only while the own source is lost; after its recovery departures are announced
// to peers for a while.
func TestPeerDeparturesApplyWhileSourceIsLost(t *testing.T) {
	list := NewList[int]()
	list.Apply(0, Cached, 3, upEntries(serverNames(8)...))
	if list.ApplyPeerDepartures(0, []string{"s1"}) || list.ExcludedByPeers("s1") {
		t.Error("a peer report was applied while the own source was reachable")
	}
	list.MarkSourceLost()
	if !list.ApplyPeerDepartures(0, []string{"s1", "s2", "odd"}) || !list.ExcludedByPeers("s1") || !list.ExcludedByPeers("s2") || list.ExcludedByPeers("odd") || list.ApplyPeerDepartures(0, []string{"s1"}) {
		t.Errorf("%v", list.exclusions)
	}
	departed := list.Apply(20*time.Second, Changes, 5, []Entry[int]{{Name: "s1", State: Draining}, {Name: "s3", State: Removed}})
	slices.Sort(departed)
	if list.PeerReports() != 0 || !slices.Equal(departed, []string{"s1", "s3"}) || list.Generation() != 5 || list.ReceivedAt() != 20*time.Second {
		t.Errorf("exclusions %v, departed %v", list.exclusions, departed)
	}
	// s0 and s2 departed.
	if departed = list.Apply(20*time.Second+announcePeriod-1, Full, 6, upEntries("s4", "s5", "s6", "s7")); len(departed) != 2 {
		t.Errorf("departed %v", departed)
	}
	if departed = list.Apply(20*time.Second+announcePeriod, Full, 7, upEntries("s4")); departed != nil {
		t.Errorf("peers are still notified of %v", departed)
	}
}

// A reachable source that does not confirm a peer report is checked once; then the report applies
// until the source's next update. Any update in between supersedes the report.
func TestUnconfirmedPeerDeparture(t *testing.T) {
	for _, updates := range []bool{false, true} {
		list := NewList[int]()
		list.Apply(0, Full, 3, upEntries(serverNames(8)...))
		list.ApplyPeerDepartures(time.Second, []string{"s1"})
		checks := 0
		for now := time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
			if updates && now == 1400*time.Millisecond {
				list.Apply(now, Changes, 4, nil)
			}
			check, changed := list.ReviewPeerReports(now)
			if check {
				checks++
			}
			if holds := !updates && now >= time.Second+acceptPeersAfter; list.ExcludedByPeers("s1") != holds || changed != (holds && now == time.Second+acceptPeersAfter) {
				t.Fatalf("updates %v: excluded %v, changed %v at %v", updates, list.ExcludedByPeers("s1"), changed, now)
			}
		}
		if updates == (checks > 0) || checks > 1 {
			t.Errorf("updates %v: %d checks", updates, checks)
		}
		if list.Apply(5*time.Second, Changes, 5, nil); list.PeerReports() > 0 {
			t.Error("the peer report still applies after an update of the own source")
		}
	}
}

// A server that was restarted while the own source was lost is excluded until its return counts as
// notified and is then cold; the source's next update supersedes that.
func TestPeerRestartsApplyWhileSourceIsLost(t *testing.T) {
	const at, older, later = 20 * time.Second, time.Hour, 2 * time.Hour
	list := func() *List[int] {
		l := NewList[int]()
		l.Apply(0, Full, 3, []Entry[int]{{Name: "s0", StartedAt: older}, {Name: "s1", StartedAt: older}, {Name: "s2"}, {Name: "s3", State: Draining, StartedAt: older}})
		return l
	}
	sender := list()
	sender.Apply(at, Changes, 5, []Entry[int]{{Name: "s0", StartedAt: later}, {Name: "s2", StartedAt: later}, {Name: "s3", StartedAt: later}, {Name: "s1", State: Removed}})
	reported := sender.ChangesSince(3)
	want := []Change{{"s1", 5, 0}, {"s0", 5, later}, {"s2", 5, later}, {"s3", 5, later}}
	if !slices.Equal(reported, want) || len(sender.ChangesSince(5)) > 0 {
		t.Fatalf("reported %v", reported)
	}
	receiver := list()
	if receiver.ApplyPeerRestarts(at, reported) {
		t.Error("peer restarts were applied while the own source is reachable")
	}
	receiver.MarkSourceLost()
	if !receiver.ApplyPeerRestarts(at, reported) || receiver.ApplyPeerRestarts(at+time.Second, reported) {
		t.Error("peer restarts were not applied exactly once")
	}
	for _, test := range []struct {
		name     string
		excluded bool
		started  Time
	}{{"s0", true, later}, {"s1", false, 0}, {"s2", false, 0}, {"s3", false, 0}} { // s2: its older start is unknown
		if receiver.ExcludedByPeers(test.name) != test.excluded || receiver.PeerReportedStart(test.name) != test.started {
			t.Errorf("%s is excluded: %v, started %v", test.name, receiver.ExcludedByPeers(test.name), receiver.PeerReportedStart(test.name))
		}
	}
	if _, changed := receiver.ReviewPeerReports(at + NotifiedAfter - 1); changed || !receiver.ExcludedByPeers("s0") {
		t.Error("s0 is used before its return counts as notified")
	}
	if _, changed := receiver.ReviewPeerReports(at + NotifiedAfter); !changed || receiver.ExcludedByPeers("s0") || receiver.PeerReportedStart("s0") != later {
		t.Error("s0 is not used again, or is used as a warm server")
	}
	if receiver.Apply(at+2*NotifiedAfter, Changes, 6, nil); receiver.PeerReports() > 0 || receiver.PeerReportedStart("s0") != 0 {
		t.Error("a peer report still applies after an update of the own source")
	}
}

// For any updates and peer reports: the entries are those of the own source, peer reports exclude a
// bounded fraction of the servers that are up, and the source's next update clears them.
func TestListInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, want, now := NewList[int](), map[string]State{}, Time(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "step, ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); step {
			case 0, 1:
				var entries []Entry[int]
				for _, name := range rapid.SliceOfN(rapid.SampledFrom(serverNames(12)), 0, 12).Draw(t, "entries") {
					entries = append(entries, Entry[int]{Name: name, State: State(rapid.IntRange(0, 2).Draw(t, "state")), StartedAt: 1})
				}
				kind := UpdateKind(rapid.IntRange(0, 2).Draw(t, "kind"))
				if kind != Changes {
					clear(want)
				}
				previous := map[string]State{}
				for name, state := range want {
					previous[name] = state
				}
				for _, entry := range entries {
					if want[entry.Name] = entry.State; entry.State == Removed {
						delete(want, entry.Name)
					}
				}
				departed := list.Apply(now, kind, 1, entries)
				if list.PeerReports() > 0 || kind == Cached && departed != nil {
					t.Fatalf("kind %v: departed %v, %d peer reports", kind, departed, list.PeerReports())
				}
				for _, name := range departed {
					if state, listed := want[name]; listed && state == Up {
						t.Fatalf("%s is reported as departed but is up", name)
					}
				}
			case 2:
				list.MarkSourceLost()
			case 3:
				list.ResetSource()
			case 4:
				list.ApplyPeerDepartures(now, rapid.SliceOfN(rapid.SampledFrom(serverNames(12)), 1, 12).Draw(t, "departures"))
				list.ApplyPeerRestarts(now, []Change{{Name: rapid.SampledFrom(serverNames(12)).Draw(t, "restarted"), StartedAt: now}})
				list.ReviewPeerReports(now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "review after, ms"))*time.Millisecond)
			}
			inUse, excluded := 0, 0
			for name, entry := range list.Entries() {
				if state, listed := want[name]; !listed || state != entry.State {
					t.Fatalf("%s is %v; the source says %v, listed %v", name, entry.State, state, listed)
				}
				if entry.State == Up {
					if inUse++; list.ExcludedByPeers(name) {
						excluded++
					}
				}
			}
			if len(list.Entries()) != len(want) || inUse > 0 && excluded == inUse {
				t.Fatalf("%d servers listed, want %d; %d of %d that are up are excluded by peers", len(list.Entries()), len(want), excluded, inUse)
			}
		}
	})
}

// Whatever is decoded is encoded to the same bytes.
func FuzzDatagrams(f *testing.F) {
	f.Add(Encode(Departures{1, math.MaxUint32}))
	f.Add(Encode(ChangesQuery{7}))
	f.Add(Encode(Restarts{{1, time.Hour}, {2, time.Minute}}))
	f.Add([]byte{formatDepartures})
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := Decode(data); err == nil && string(Encode(d)) != string(data) {
			t.Fatalf("%v of %x", d, data)
		}
	})
}

// Discovery is overloaded after an outage, and a tenth of the servers leaves. Nodes whose calls
// keep being rejected are notified by peers in time, although a third of the datagrams is lost.
func TestRejectedNodesAreNotifiedByPeers(t *testing.T) {
	const recoverAfter, queueTimeout, servers, usersPerServer = 8 * time.Second, 2 * time.Second, 100, 13
	nodes, rates, seeds := 300, []int{40}, 3
	if *longRun {
		rates, seeds = []int{25, 40, 80, 160}, 8
	}
	for _, rate := range rates {
		for _, withPeers := range []bool{false, true} {
			var took []time.Duration
			for seed := range seeds {
				took = append(took, notificationDelays(nodes, servers, usersPerServer, rate, int64(seed), recoverAfter, queueTimeout, withPeers)...)
			}
			slices.Sort(took)
			late := 0
			for _, x := range took {
				if x > NotifiedAfter {
					late++
				}
			}
			percentile := func(p float64) time.Duration { return took[int(p*float64(len(took)-1))].Round(10 * time.Millisecond) }
			t.Logf("%d calls a second, with peers %v: p50 %v, p99 %v, max %v; %d of %d later than %v", rate, withPeers, percentile(0.5), percentile(0.99), percentile(1), late, len(took), NotifiedAfter)
			if withPeers && (late > 0 || percentile(1) > NotifiedAfter) {
				t.Errorf("%d calls a second: %d of %d later than %v, the last after %v", rate, late, len(took), NotifiedAfter, percentile(1))
			}
		}
	}
}

// notificationDelays returns, for each drained server and node that uses it, how long the node
// takes to know.
func notificationDelays(nodes, servers, usersPerServer, rate int, seed int64, recoverAfter, queueTimeout time.Duration, withPeers bool) (took []time.Duration) {
	rng := rand.New(rand.NewPCG(uint64(seed), 9))
	sim := newSimulation(nodes, Settings{Nodes: float64(nodes), ListPollInterval: 10 * time.Second, Seed: 1000 * seed}, InitialState{HaveList: true, Stagger: true})
	drainedAt := time.Hour + recoverAfter + time.Second
	users := make([][]int, servers/10)
	var drained []Entry[int]
	for server := range users {
		users[server] = rng.Perm(nodes)[:usersPerServer]
		drained = append(drained, Entry[int]{Name: fmt.Sprint("s", server), State: Draining})
	}
	lists := make([]*List[int], nodes)
	for i := range lists {
		lists[i] = NewList[int]()
		lists[i].Apply(0, Cached, 1, upEntries(serverNames(servers)...))
	}
	idleAt, answeredAt := time.Hour+recoverAfter, map[*simulatedNode]Time{}
	sim.reply = func(node *simulatedNode, call Call) (time.Duration, Event) {
		if sim.now < time.Hour+recoverAfter {
			lists[node.index].MarkSourceLost()
			return queueTimeout, Failed{call.ID, Rejected}
		}
		if call.PollWait > 0 { // an established watch is notified at once
			after := max(0, drainedAt-sim.now)
			if call.From >= 2 || after > call.PollWait {
				after = call.PollWait
			}
			answeredAt[node] = sim.now + after
			generation := uint64(1)
			if sim.now+after >= drainedAt {
				generation = 2
			}
			return after, Answered{call.ID, false, generation}
		}
		wait := max(idleAt, sim.now) - sim.now
		if wait > queueTimeout+100*time.Millisecond {
			return 5 * time.Millisecond, Failed{call.ID, Rejected}
		}
		idleAt = sim.now + wait + time.Second/time.Duration(rate)
		if wait > queueTimeout {
			return queueTimeout, Failed{call.ID, Rejected}
		}
		generation := uint64(1)
		if idleAt >= drainedAt {
			generation = 2
		}
		return idleAt - sim.now, Answered{call.ID, false, generation}
	}
	knownAt := make([]map[int]Time, nodes)
	for i := range knownAt {
		knownAt[i] = map[int]Time{}
	}
	learn := func(node, server int) {
		if knownAt[node][server] == 0 {
			knownAt[node][server] = sim.now
		}
	}
	sim.onAccept = func(node *simulatedNode, _ CallID) {
		list := lists[node.index]
		var entries []Entry[int]
		if node.lastGeneration >= 2 && list.Generation() < 2 {
			entries = drained
		}
		for _, name := range list.Apply(sim.now, Changes, node.lastGeneration, entries) {
			server := 0
			fmt.Sscanf(name, "s%d", &server)
			for _, to := range users[server] {
				if withPeers && to != node.index && rng.Float64() > 0.3 && lists[to].ApplyPeerDepartures(sim.now, []string{name}) {
					learn(to, server)
				}
			}
		}
		if len(entries) > 0 {
			for server := range users {
				learn(node.index, server)
			}
		}
	}
	sim.runUntil(drainedAt + time.Minute)
	for server, all := range users {
		for _, node := range all {
			at := knownAt[node][server]
			if at == 0 {
				at = sim.now
			}
			took = append(took, at-drainedAt)
		}
	}
	return took
}
