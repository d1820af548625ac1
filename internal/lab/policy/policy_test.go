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

func play(t *testing.T, name string, way Name) judge.Verdict {
	t.Helper()
	s, err := scenario.LoadFile(scenarios.Files, name+".toml")
	if err != nil {
		t.Fatal(err)
	}
	return judge.Judge(memory.Run(s, Options(way, 0)))
}

// Steered proxies keep what the control service answers for: nothing lost, no
// effect twice, drains, cold servers. They take time to learn of a silent
// server, and serve more than a choice by chance all the same.
func TestSteeredProxiesKeepTheRulesAndServeMoreThanChance(t *testing.T) {
	for _, name := range []string{"quiet", "drain", "silent", "replace"} {
		v, chance := play(t, name, XDS), play(t, name, Random)
		if !v.Passed() {
			t.Errorf("%s: %v", name, v.Breaches[:min(3, len(v.Breaches))])
		}
		if v.Service.Measure < chance.Service.Measure-0.02 {
			t.Errorf("%s: steered %.3f, by chance %.3f", name, v.Service.Measure, chance.Service.Measure)
		}
	}
}

func TestEachWayIsTheSameEachTime(t *testing.T) {
	for _, way := range All {
		a, b := play(t, "drain", way), play(t, "drain", way)
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("%s: %+v and %+v", way, a.Service, b.Service)
		}
	}
}

// Without the decision module's care the same days break rules: the
// comparison sees something.
func TestChanceIsWorse(t *testing.T) {
	began := time.Now()
	nodes, chance := play(t, "silent", Nodes), play(t, "silent", Random)
	if chance.Service.Measure >= nodes.Service.Measure {
		t.Errorf("by chance %.3f, nodes %.3f", chance.Service.Measure, nodes.Service.Measure)
	}
	if time.Since(began) > time.Minute {
		t.Error("it takes too long to be a test")
	}
}
