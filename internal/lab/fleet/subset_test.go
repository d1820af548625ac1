package fleet

import (
	"flag"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
)

var sizes = flag.Bool("fleet-sizes", false, "run the overload test at all sizes of docs/subsets.md")

// enableSubsets enables membership and subsets of servers.
func enableSubsets(s *scenario.Scenario) {
	s.Fleet, s.OperatorConfig = true, "members = true\nsubsets = true"
}

// Guards against a node with half of the traffic being limited to an equal share of the servers.
func TestNodeWithHalfOfTheTrafficIsServed(t *testing.T) {
	w := Workload{Servers: 24, Proxies: 42, Zones: 2, Load: 0.7, Length: 10 * time.Second, Retries: 2, Seed: 3}
	equal := runChecked(t, w, enableSubsets, memory.Options{}).servedFraction(3, 10)
	uneven := runChecked(t, w, func(s *scenario.Scenario) {
		enableSubsets(s)
		s.Zones[0].Nodes, s.Zones[1].Nodes = 1, 41
	}, memory.Options{}).servedFraction(3, 10)
	if uneven < equal-0.08 {
		t.Errorf("%.3f of the requests served, %.3f with equal nodes", uneven, equal)
	}
}

// Covers 300 nodes with 4 servers, where nearly each request costs a new connection, and the
// reverse.
func TestFewServersOrFewNodes(t *testing.T) {
	for _, w := range []Workload{{Servers: 4, Proxies: 300}, {Servers: 300, Proxies: 4}} {
		w.Load, w.Length, w.Retries, w.Seed = 0.6, 4*time.Second, 2, 5
		minimum := map[int]float64{4: 0.6, 300: 0.97}[w.Servers]
		if fraction := runChecked(t, w, enableSubsets, memory.Options{}).servedFraction(1, 4); fraction < minimum {
			t.Errorf("%d nodes, %d servers: %.3f of the requests served", w.Proxies, w.Servers, fraction)
		}
	}
}

// A zone's nodes reach neither peers nor discovery for 6 s while a third of all servers are
// replaced: the rules hold on both sides, and afterwards everything is served.
func TestIsolatedZoneWhileServersAreReplaced(t *testing.T) {
	w := Workload{Servers: 30, Proxies: 36, Load: 0.6, Length: 20 * time.Second, Retries: 2, Seed: 6}
	counts := runChecked(t, w, func(s *scenario.Scenario) {
		enableSubsets(s)
		var zone, servers []string
		for _, n := range s.Nodes() {
			if n.Zone == s.Zones[0].Name {
				zone = append(zone, n.Name)
			}
		}
		for i, x := range s.Servers() {
			if i%3 == 0 {
				servers = append(servers, x.Name)
			}
		}
		add := func(kind string, at, length time.Duration, targets []string) {
			s.Faults = append(s.Faults, scenario.Fault{Kind: kind, At: span(at), For: span(length), Targets: targets})
		}
		add(scenario.FaultPartition, 5*time.Second, 6*time.Second, zone)
		add(scenario.FaultDiscoveryCut, 5*time.Second, 6*time.Second, zone)
		add(scenario.FaultReplace, 6500*time.Millisecond, time.Second, servers)
	}, memory.Options{})
	if before, during, after := counts.servedFraction(2, 5), counts.servedFraction(5, 11), counts.servedFraction(15, 20); during < 0.6 || after < before-0.03 {
		t.Errorf("%.3f of the requests served before the fault, %.3f during it, %.3f after it", before, during, after)
	}
}

// 40 nodes restart a tenth at a time: no server sees many more new connections per second than
// before.
func TestRestartsCauseNoWaveOfConnections(t *testing.T) {
	w := Workload{Servers: 24, Proxies: 40, Load: 0.6, Length: 22 * time.Second, Retries: 2, Seed: 9}
	s, err := w.Scenario()
	if err != nil {
		t.Fatal(err)
	}
	enableSubsets(s)
	nodes := s.Nodes()
	for k := range 10 {
		var targets []string
		for _, n := range nodes[4*k : 4*k+4] {
			targets = append(targets, n.Name)
		}
		s.Faults = append(s.Faults, scenario.Fault{Kind: scenario.FaultRestart, At: span(4*time.Second + time.Duration(k)*1500*time.Millisecond), For: span(time.Second), Targets: targets})
	}
	opened := map[string][]int{}
	r := runScenario(w, s, "nodes", memory.Options{}, func(e *history.Event) {
		if at := int(e.At / time.Second); e.Kind == history.Connect && at < 22 {
			if opened[e.Server] == nil {
				opened[e.Server] = make([]int, 22)
			}
			opened[e.Server][at]++
		}
	})
	if !r.Passed() || r.Service.OnTimeRatio < 0.9 {
		t.Errorf("%v, %.3f of the value", r.Counts, r.Service.OnTimeRatio)
	}
	sum, peak, base := 0, 0, 0
	for _, n := range opened {
		for at := 4; at < 20; at++ {
			sum, peak = sum+n[at], max(peak, n[at])
		}
		for at := 2; at < 4; at++ {
			base += n[at]
		}
	}
	mean, before := float64(sum)/float64(16*len(opened)), float64(base)/float64(2*len(opened))
	t.Logf("connections opened per second at a server: %.1f before, then %.1f on average and %d at most", before, mean, peak)
	if float64(peak) > 5*max(mean, 2) || mean > 3*max(before, 2) {
		t.Error("the restarts caused a wave of connections")
	}
}
