package balance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ivylock/balance"
)

const testRate = 60 // arrivals per second

func simulate(
	seed int64, length time.Duration, mutate func(*simulation, []balance.Action) []balance.Action,
) *simulation {
	sim := newSimulation(seed)
	sim.capacity, sim.mutate = testRate/3, mutate
	sim.run(length, testRate, true)
	sim.run(12*time.Second, 0, false) // let all deadlines pass
	return sim
}

// TestRulesUnderRandomEvents runs the module on random valid event sequences and settings
// and checks its actions against the rules.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		sim := simulate(seed, 15*time.Second, nil)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first:\n%s", seed, len(sim.violations),
				strings.Join(sim.violations[:min(5, len(sim.violations))], "\n"))
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if sim := simulate(seed, 5*time.Second, nil); len(sim.violations) > 0 {
			t.Fatal(sim.violations[0])
		}
	})
}

// TestDeterministicActions checks that equal events give equal actions.
func TestDeterministicActions(t *testing.T) {
	sim := newSimulation(7)
	sim.run(10*time.Second, testRate, false)
	again := newSimulation(7)
	again.run(10*time.Second, testRate, false)
	if len(sim.actions) < 500 || len(sim.actions) != len(again.actions) {
		t.Fatalf("%d and %d steps", len(sim.actions), len(again.actions))
	}
	for i := range sim.actions {
		if sim.actions[i] != again.actions[i] {
			t.Fatalf("step %d: %s, then %s", i, sim.actions[i], again.actions[i])
		}
	}
}

// TestCheckerDetectsViolations breaks the module's actions in each way that the rules
// forbid.
func TestCheckerDetectsViolations(t *testing.T) {
	each := func(
		change func(*simulation, balance.Action) []balance.Action,
	) func(*simulation, []balance.Action) []balance.Action {
		return func(sim *simulation, in []balance.Action) (out []balance.Action) {
			for _, a := range in {
				out = append(out, change(sim, a)...)
			}
			return out
		}
	}
	other := func(sim *simulation, s balance.Send) balance.Send {
		for _, id := range sim.ids {
			if l := sim.servers[id]; id != s.Server && l.drainAnnounced == 0 {
				s.Server = id
				return s
			}
		}
		return s
	}
	for _, c := range []struct {
		want   string
		change func(sim *simulation, a balance.Action) []balance.Action
	}{
		{"no answer in time", func(sim *simulation, a balance.Action) []balance.Action {
			switch a.(type) {
			case balance.Fail, balance.Refuse:
				return nil
			}
			return []balance.Action{a}
		}},
		{"second final answer", func(sim *simulation, a balance.Action) []balance.Action {
			if f, ok := a.(balance.Fail); ok {
				return []balance.Action{a, f}
			}
			return []balance.Action{a}
		}},
		{"never listed", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				s.Server = 12345
				return []balance.Action{s}
			}
			return []balance.Action{a}
		}},
		{"draining or removed", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				for _, id := range sim.ids {
					if sim.servers[id].drainAnnounced > 0 {
						s.Server = id
					}
				}
				return []balance.Action{s}
			}
			return []balance.Action{a}
		}},
		{"unsafe request sent again", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, other(sim, s)}
			}
			return []balance.Action{a}
		}},
		{"two attempts in flight", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, other(sim, s)}
			}
			return []balance.Action{a}
		}},
		{"outside its group or window", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, other(sim, s)}
			}
			return []balance.Action{a}
		}},
		{"attempts", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, s, s, s, s, s}
			}
			return []balance.Action{a}
		}},
		{"for a request that is done", func(sim *simulation, a balance.Action) []balance.Action {
			if r, ok := a.(balance.Refuse); ok {
				return []balance.Action{a, balance.Send{Sending: &balance.Sending{ID: r.ID, Server: sim.ids[0]}}}
			}
			return []balance.Action{a}
		}},
		{"refused although", func(sim *simulation, a balance.Action) []balance.Action {
			if f, ok := a.(balance.Fail); ok {
				return []balance.Action{balance.Refuse{ID: f.ID}}
			}
			return []balance.Action{a}
		}},
		{"its budget is", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				for _, id := range sim.ids {
					if l := sim.servers[id]; l.startAnnounced && l.drainAnnounced == 0 &&
						sim.now-l.StartedAt < 2*time.Second {
						s.Server = id
					}
				}
				return []balance.Action{s}
			}
			return []balance.Action{a}
		}},
		{"cancel", func(sim *simulation, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, balance.CancelAttempt{ID: s.ID, Attempt: 9}}
			}
			return []balance.Action{a}
		}},
		{"forbidden probe", func(sim *simulation, a balance.Action) []balance.Action {
			return []balance.Action{a, balance.Probe{Server: sim.ids[0]}}
		}},
		{"forbidden message", func(sim *simulation, a balance.Action) []balance.Action {
			return []balance.Action{a, balance.SendMessage{ToAll: true}}
		}},
	} {
		found := false
		for seed := int64(1); seed <= 25 && !found; seed++ {
			sim := simulate(seed, 10*time.Second, each(c.change))
			found = strings.Contains(fmt.Sprint(sim.violations), c.want)
		}
		if !found {
			t.Errorf("violation %q was not detected", c.want)
		}
	}
}
