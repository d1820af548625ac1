package holds

import (
	"strings"
	"testing"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
	"ivylock/scenarios"
)

// Guards against a run without its faults passing as one with them: each fault of each
// scenario is reported missing in a run of the scenario without faults.
func TestMissingFaultsAreReported(t *testing.T) {
	files, err := scenarios.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, f := range files {
		s, err := scenario.LoadFile(scenarios.Files, f.Name())
		if err != nil {
			t.Fatal(err)
		}
		calm := *s
		calm.Faults = nil
		h := memory.Run(&calm, memory.Options{})
		for i := range s.Faults {
			f := &s.Faults[i]
			if f.Kind == scenario.FaultDiscoveryDelay {
				continue // leaves no events of its own
			}
			if f.Kind == scenario.FaultDiscoveryOutage { // one update shows that discovery was up
				h.Events = append(h.Events, history.Event{At: f.At.Duration + f.For.Duration/2, Kind: history.NodeNotified})
			}
			seen[f.Kind] = true
			if MissingEvidence(s, f, h) == "" {
				t.Errorf("%s: fault %v is not reported missing", s.Name, f)
			}
		}
	}
	if len(seen) < 10 {
		t.Errorf("only %d kinds of fault were tested", len(seen))
	}
}

func TestCheckReportsMissedBounds(t *testing.T) {
	s := &scenario.Scenario{Requirements: scenario.Requirements{MinMeasure: 0.9, MinServed: 0.9, MaxRefused: 0.1}}
	v := &judge.Verdict{Service: judge.ServiceMetrics{Measure: 0.8, Orders: 10, Tries: 20, Refused: 5,
		Classes: []judge.ClassStats{{Served: 8}}}}
	if got := Check(s, &history.History{}, v); len(got) != 3 {
		t.Errorf("unexpected lines: %q", got)
	}
	v.Service = judge.ServiceMetrics{Measure: 0.9, Orders: 10, Tries: 20, Refused: 2, Classes: []judge.ClassStats{{Served: 9}}}
	if got := Check(s, &history.History{}, v); len(got) != 0 {
		t.Errorf("unexpected lines: %q", got)
	}
	v.Breaches = make([]judge.Breach, 50)
	if got := strings.Join(Check(s, &history.History{}, v), "\n"); !strings.Contains(got, "and 40 more") {
		t.Errorf("unexpected lines: %q", got)
	}
	if got := Check(s, &history.History{}, &judge.Verdict{Service: judge.ServiceMetrics{Measure: 1}}); len(got) != 2 {
		t.Errorf("for a run without orders: %q", got)
	}
}
