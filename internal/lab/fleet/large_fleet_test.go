package fleet

import (
	"testing"
	"time"

	"ivylock/internal/lab/policy"
)

// runNodes runs a workload with a number of nodes and 7 servers to 12 nodes.
func runNodes(t *testing.T, nodes int, w Workload) Result {
	t.Helper()
	w.Servers, w.Proxies, w.Retries, w.Seed = nodes*7/12, nodes, 2, 7
	r, err := Run(w, policy.Nodes)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Passed() {
		t.Errorf("%d nodes: %v", nodes, r.Counts)
	}
	return r
}

// Guards against a rule that breaks down beyond some number of nodes: at the same load per server,
// fleets of every size serve about the same, and refuse almost nothing while servers have capacity
// left.
func TestServiceDoesNotDependOnTheNumberOfNodes(t *testing.T) {
	last := 0.0
	for _, nodes := range []int{24, 40, 60, 80, 100, 120, 200, 300} {
		ratio := runNodes(t, nodes, Workload{Load: 0.6, Length: 6 * time.Second}).Service.OnTimeRatio
		if ratio < 0.97 || last > 0 && (ratio-last > 0.02 || last-ratio > 0.02) {
			t.Errorf("%d nodes served %.3f of the value, the previous number %.3f", nodes, ratio, last)
		}
		last = ratio
	}
}

// Guards against the collapse of hundreds of nodes in a burst: at 1.1 of the capacity, with heavy
// requests, the fleet sheds requests of low value and keeps serving.
func TestOverloadedLargeFleetKeepsServing(t *testing.T) {
	for _, nodes := range []int{60, 120, 300} {
		r := runNodes(t, nodes, Workload{Load: 1.1, Fault: HeavyRequests, Length: 8 * time.Second})
		top := r.Service.Classes[0]
		if fraction := float64(top.OnTime) / float64(top.Orders); top.Class != "broadcast-clip" || fraction < 0.85 || r.Service.OnTimeRatio < 0.75 {
			t.Errorf("%d nodes: %.3f of %s within the target latency, %.3f of the value", nodes, fraction, top.Class, r.Service.OnTimeRatio)
		}
	}
}

// Hundreds of nodes keep the rules while a zone is lost and comes back cold, or all its servers are
// replaced.
func TestLargeFleetKeepsTheRulesWhenAZoneIsLost(t *testing.T) {
	for _, f := range []Fault{ZoneLost, ZoneReplaced} {
		if r := runNodes(t, 120, Workload{Load: 0.6, Fault: f, Length: 10 * time.Second}); r.Service.OnTimeRatio < 0.6 {
			t.Errorf("%s: %.3f of the value", f, r.Service.OnTimeRatio)
		}
	}
}
