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

// TestCheckerDetectsViolations changes the module's actions in each way that the rules
// forbid, which the checker must detect.
func TestCheckerDetectsViolations(t *testing.T) {
	each := func(
		change func(*simulation, balance.Action) []balance.Action,
	) func(*simulation, []balance.Action) []balance.Action {
		return func(sim *simulation, in []balance.Action) (out []balance.Action) {
			for _, action := range in {
				out = append(out, change(sim, action)...)
			}
			return out
		}
	}
	other := func(sim *simulation, send balance.Send) balance.Send {
		for _, id := range sim.ids {
			if listed := sim.servers[id]; id != send.Server && listed.drainAnnounced == 0 {
				send.Server = id
				return send
			}
		}
		return send
	}
	for _, test := range []struct {
		want   string
		change func(sim *simulation, action balance.Action) []balance.Action
	}{
		{"no answer in time", func(sim *simulation, action balance.Action) []balance.Action {
			switch action.(type) {
			case balance.Fail, balance.Refuse:
				return nil
			}
			return []balance.Action{action}
		}},
		{"second final answer", func(sim *simulation, action balance.Action) []balance.Action {
			if fail, ok := action.(balance.Fail); ok {
				return []balance.Action{action, fail}
			}
			return []balance.Action{action}
		}},
		{"never listed", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				send.Server = 12345
				return []balance.Action{send}
			}
			return []balance.Action{action}
		}},
		{"draining or removed", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				for _, id := range sim.ids {
					if sim.servers[id].drainAnnounced > 0 {
						send.Server = id
					}
				}
				return []balance.Action{send}
			}
			return []balance.Action{action}
		}},
		{"unsafe request sent again", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				return []balance.Action{action, other(sim, send)}
			}
			return []balance.Action{action}
		}},
		{"two attempts in flight", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				return []balance.Action{action, other(sim, send)}
			}
			return []balance.Action{action}
		}},
		{"outside its group or window", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				return []balance.Action{action, other(sim, send)}
			}
			return []balance.Action{action}
		}},
		{"attempts", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				return []balance.Action{action, send, send, send, send, send}
			}
			return []balance.Action{action}
		}},
		{"for a request that is done", func(sim *simulation, action balance.Action) []balance.Action {
			if refuse, ok := action.(balance.Refuse); ok {
				return []balance.Action{action, balance.Send{Sending: &balance.Sending{ID: refuse.ID, Server: sim.ids[0]}}}
			}
			return []balance.Action{action}
		}},
		{"refused although", func(sim *simulation, action balance.Action) []balance.Action {
			if fail, ok := action.(balance.Fail); ok {
				return []balance.Action{balance.Refuse{ID: fail.ID}}
			}
			return []balance.Action{action}
		}},
		{"its budget is", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				for _, id := range sim.ids {
					if listed := sim.servers[id]; listed.startAnnounced && listed.drainAnnounced == 0 &&
						sim.now-listed.StartedAt < 2*time.Second {
						send.Server = id
					}
				}
				return []balance.Action{send}
			}
			return []balance.Action{action}
		}},
		{"cancel", func(sim *simulation, action balance.Action) []balance.Action {
			if send, ok := action.(balance.Send); ok {
				return []balance.Action{action, balance.CancelAttempt{ID: send.ID, Attempt: 9}}
			}
			return []balance.Action{action}
		}},
		{"forbidden probe", func(sim *simulation, action balance.Action) []balance.Action {
			return []balance.Action{action, balance.Probe{Server: sim.ids[0]}}
		}},
		{"forbidden message", func(sim *simulation, action balance.Action) []balance.Action {
			return []balance.Action{action, balance.SendMessage{ToAll: true}}
		}},
	} {
		found := false
		for seed := int64(1); seed <= 25 && !found; seed++ {
			sim := simulate(seed, 10*time.Second, each(test.change))
			found = strings.Contains(fmt.Sprint(sim.violations), test.want)
		}
		if !found {
			t.Errorf("violation %q was not detected", test.want)
		}
	}
}
