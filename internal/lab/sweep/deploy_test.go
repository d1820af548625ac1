package sweep

import (
	"os"
	"strconv"
	"testing"

	"ivylock/internal/lab/nodeconf"
)

// RunDeployments that nobody has seen break no rule. IVYLAB_DEPLOYMENTS plays more of them.
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

// Seeds of deployments that broke a rule before what they showed was mended.
var mendedDeployments = map[int64]string{
	439: "300 nodes share six servers: each sent the one that started a first request at once",
}

func TestMendedDeploymentsStayMended(t *testing.T) {
	for seed, what := range mendedDeployments {
		if v := RunDeployment(seed); !v.Passed() {
			t.Errorf("seed %d (%s) is back: %v", seed, what, v.Breaches[0])
		}
	}
}

// What is drawn covers all that settings may hold, and decodes to it.
func TestDeploymentsCoverTheSettings(t *testing.T) {
	seen := map[string]int{}
	note := func(what string, is bool) {
		if is {
			seen[what]++
		}
	}
	for seed := range int64(200) {
		s, d := GenerateDeployment(seed)
		set := nodeconf.BalancerSettings(s, 0, d)
		note("pushed", !set.ListOnDemand)
		note("asked", set.ListOnDemand)
		note("eight classes", len(set.Classes) == 8)
		note("one class", len(set.Classes) == 1)
		note("five halls", len(s.Zones) == 5)
		note("one hall", len(s.Zones) == 1)
		note("six tenants", len(set.Tenants) == 6)
		note("no tenant", len(set.Tenants) == 0)
		note("300 nodes", set.Nodes == 300)
		note("one node", set.Nodes == 1)
		note("no safe class", func() bool {
			for _, c := range set.Classes {
				if c.Effect == 2 {
					return false
				}
			}
			return true
		}())
		for _, c := range set.Classes {
			note("effect "+strconv.Itoa(int(c.Effect)), true)
			note("scope "+strconv.Itoa(int(c.KeyScope)), true)
			note("deadline under 0.5 s", c.Deadline.Seconds() < 0.5)
			note("deadline over 10 s", c.Deadline.Seconds() > 10)
			note("window under 3 s", c.DedupWindow > 0 && c.DedupWindow.Seconds() < 3)
			note("stretch", c.TargetWorkFactor > 0)
			note("late worth", c.LateValueFraction > 0)
		}
		note("report "+strconv.Itoa(int(set.ReportSource)), true)
		note("one attempt", set.MaxAttempts == 1)
		note("live sizes", set.SizeLive)
	}
	for _, what := range []string{"pushed", "asked", "eight classes", "one class", "five halls", "one hall", "six tenants", "no tenant", "300 nodes", "one node", "no safe class",
		"effect 0", "effect 1", "effect 2", "scope 0", "scope 1", "scope 2", "deadline under 0.5 s", "deadline over 10 s", "window under 3 s", "stretch", "late worth",
		"report 0", "report 1", "report 2", "one attempt", "live sizes"} {
		if seen[what] == 0 {
			t.Errorf("none with %s among 200", what)
		}
	}
}
