package fleet

import (
	"testing"
	"time"

	"ivylock/internal/lab/policy"
)

// crowd plays a day of nodes, 7 servers to 12 nodes.
func crowd(t *testing.T, nodes int, d Workload) Result {
	t.Helper()
	d.Servers, d.Proxies, d.Retries, d.Seed = nodes*7/12, nodes, 2, 7
	r, err := Run(d, policy.Nodes)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Passed() {
		t.Errorf("%d nodes: %v", nodes, r.Counts)
	}
	return r
}

// The same load a server, whatever the number of nodes: what is served changes smoothly, and next to nothing is refused
// while servers are not short. Guards against a rule that holds from some number of nodes on and falls off there: before
// waits were told, 80 nodes refused a third of all tries at six tenths of what their servers can do.
func TestFleetsServeAlikeHoweverManyNodes(t *testing.T) {
	last := 0.0
	for _, nodes := range []int{24, 40, 60, 80, 100, 120, 200, 300} {
		whole := crowd(t, nodes, Workload{Load: 0.6, Length: 6 * time.Second}).Service.OnTimeRatio
		if whole < 0.97 || last > 0 && (whole-last > 0.02 || last-whole > 0.02) {
			t.Errorf("%d nodes serve %.3f of the worth, the number before %.3f", nodes, whole, last)
		}
		last = whole
	}
}

// A tenth more than the servers can do, one viewer clip in fifty twenty times as heavy: a fleet sheds what is worth
// little and goes on serving. Guards against the collapse of hundreds of nodes in a burst.
func TestAnOverloadedCrowdKeepsServing(t *testing.T) {
	for _, nodes := range []int{60, 120, 300} {
		r := crowd(t, nodes, Workload{Load: 1.1, Fault: HeavyRequests, Length: 8 * time.Second})
		dear := r.Service.Classes[0]
		if part := float64(dear.OnTime) / float64(dear.Orders); dear.Class != "broadcast-clip" || part < 0.85 || r.Service.OnTimeRatio < 0.75 {
			t.Errorf("%d nodes: %.3f of %s within the aim, %.3f of the worth", nodes, part, dear.Class, r.Service.OnTimeRatio)
		}
	}
}

// A hall lost and back cold, and all servers of one replaced: rules are kept by hundreds of nodes together.
func TestACrowdKeepsTheRulesThroughALostHall(t *testing.T) {
	for _, f := range []Fault{ZoneLost, ZoneReplaced} {
		if r := crowd(t, 120, Workload{Load: 0.6, Fault: f, Length: 10 * time.Second}); r.Service.OnTimeRatio < 0.6 {
			t.Errorf("%s: %.3f of the worth", f, r.Service.OnTimeRatio)
		}
	}
}
