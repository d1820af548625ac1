package sweep

import (
	"os"
	"strconv"
	"testing"

	"ivylock/internal/lab/nodeconf"
)

// The variable IVYLAB_DEPLOYMENTS sets the number of deployments.
func TestRandomDeploymentsBreakNoRule(t *testing.T) {
	n := 50
	if v, err := strconv.Atoi(os.Getenv("IVYLAB_DEPLOYMENTS")); err == nil {
		n = v
	}
	broken, tries := RunDeployments(1, n)
	for seed, b := range broken {
		t.Errorf("seed %d: %v", seed, b)
	}
	if tries < 100*n {
		t.Errorf("%d tries in %d deployments", tries, n)
	}
	t.Logf("%d tries in %d deployments", tries, n)
}

// fixedDeployments maps seeds whose deployments used to break a rule to the cause.
var fixedDeployments = map[int64]string{
	439: "300 nodes share six servers, and all sent a request at once to a server that had just started",
}

func TestFixedDeploymentsBreakNoRule(t *testing.T) {
	for seed, cause := range fixedDeployments {
		if v := RunDeployment(seed); !v.Passed() {
			t.Errorf("seed %d (%s) breaks a rule again: %v", seed, cause, v.Breaches[0])
		}
	}
}

// Guards against generated deployments that never exercise some values of settings.
func TestGeneratedDeploymentsCoverSettings(t *testing.T) {
	seen := map[string]int{}
	record := func(feature string, present bool) {
		if present {
			seen[feature]++
		}
	}
	for seed := range int64(200) {
		s, d := GenerateDeployment(seed)
		settings := nodeconf.BalancerSettings(s, 0, d)
		record("pushed", !settings.ListOnDemand)
		record("requested", settings.ListOnDemand)
		record("eight classes", len(settings.Classes) == 8)
		record("one class", len(settings.Classes) == 1)
		record("five zones", len(s.Zones) == 5)
		record("one zone", len(s.Zones) == 1)
		record("six tenants", len(settings.Tenants) == 6)
		record("no tenant", len(settings.Tenants) == 0)
		record("300 nodes", settings.Nodes == 300)
		record("one node", settings.Nodes == 1)
		record("no safe class", func() bool {
			for _, c := range settings.Classes {
				if c.Effect == 2 {
					return false
				}
			}
			return true
		}())
		for _, c := range settings.Classes {
			record("effect "+strconv.Itoa(int(c.Effect)), true)
			record("scope "+strconv.Itoa(int(c.KeyScope)), true)
			record("deadline under 0.5 s", c.Deadline.Seconds() < 0.5)
			record("deadline over 10 s", c.Deadline.Seconds() > 10)
			record("window under 3 s", c.DedupWindow > 0 && c.DedupWindow.Seconds() < 3)
			record("target work factor", c.TargetWorkFactor > 0)
			record("late value", c.LateValueFraction > 0)
		}
		record("report "+strconv.Itoa(int(settings.ReportSource)), true)
		record("one attempt", settings.MaxAttempts == 1)
		record("live sizes", settings.SizeLive)
	}
	for _, feature := range []string{"pushed", "requested", "eight classes", "one class", "five zones", "one zone", "six tenants", "no tenant", "300 nodes", "one node", "no safe class",
		"effect 0", "effect 1", "effect 2", "scope 0", "scope 1", "scope 2", "deadline under 0.5 s", "deadline over 10 s", "window under 3 s", "target work factor", "late value",
		"report 0", "report 1", "report 2", "one attempt", "live sizes"} {
		if seen[feature] == 0 {
			t.Errorf("none of 200 deployments has the feature %s", feature)
		}
	}
}
