package policy

import (
	"fmt"
	"testing"
	"time"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
	"ivylock/scenarios"
)

func simulate(t *testing.T, name string, policy Name) judge.Verdict {
	t.Helper()
	s, err := scenario.LoadFile(scenarios.Files, name+".toml")
	if err != nil {
		t.Fatal(err)
	}
	return judge.Judge(memory.Run(s, Options(policy, 0)))
}

// Steered proxies must break none of the rules. They detect a silent server later
// than nodes do, but must still serve at least as much as random choice.
func TestSteeredProxiesKeepRulesAndServeAtLeastAsRandom(t *testing.T) {
	for _, name := range []string{"quiet", "drain", "silent", "replace"} {
		v, random := simulate(t, name, XDS), simulate(t, name, Random)
		if !v.Passed() {
			t.Errorf("%s: %v", name, v.Breaches[:min(3, len(v.Breaches))])
		}
		if v.Service.Measure < random.Service.Measure-0.02 {
			t.Errorf("%s: steered %.3f, random %.3f", name, v.Service.Measure, random.Service.Measure)
		}
	}
}

func TestPoliciesAreDeterministic(t *testing.T) {
	for _, policy := range All {
		a, b := simulate(t, "drain", policy), simulate(t, "drain", policy)
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("%s: %+v and %+v", policy, a.Service, b.Service)
		}
	}
}

// Guards against a comparison that cannot tell policies apart.
func TestRandomServesLessThanNodes(t *testing.T) {
	start := time.Now()
	nodes, random := simulate(t, "silent", Nodes), simulate(t, "silent", Random)
	if random.Service.Measure >= nodes.Service.Measure {
		t.Errorf("random %.3f, nodes %.3f", random.Service.Measure, nodes.Service.Measure)
	}
	if time.Since(start) > time.Minute {
		t.Error("the runs took more than a minute")
	}
}
