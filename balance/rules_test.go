package balance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ivylock/balance"
)

const testRate = 60 // arrivals a second

func play(seed int64, length time.Duration, mutate func(*world, []balance.Action) []balance.Action) *world {
	w := newWorld(seed)
	w.capacity, w.mutate = testRate/3, mutate
	w.run(length, testRate, true)
	w.run(12*time.Second, 0, false) // let all deadlines pass
	return w
}

// TestRulesUnderRandomEvents drives the module through arbitrary legal orders of events and settings.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		w := play(seed, 15*time.Second, nil)
		if len(w.broken) > 0 {
			t.Fatalf("seed %d: %d faults, the first:\n%s", seed, len(w.broken), strings.Join(w.broken[:min(5, len(w.broken))], "\n"))
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if w := play(seed, 5*time.Second, nil); len(w.broken) > 0 {
			t.Fatal(w.broken[0])
		}
	})
}

// TestSameEventsSameActions plays recorded events to a second module.
func TestSameEventsSameActions(t *testing.T) {
	w := newWorld(7)
	w.run(10*time.Second, testRate, false)
	again := newWorld(7)
	again.run(10*time.Second, testRate, false)
	if len(w.actions) < 500 || len(w.actions) != len(again.actions) {
		t.Fatalf("%d and %d steps", len(w.actions), len(again.actions))
	}
	for i := range w.actions {
		if w.actions[i] != again.actions[i] {
			t.Fatalf("step %d: %s, then %s", i, w.actions[i], again.actions[i])
		}
	}
}

// TestCheckerCatches breaks the module's answers in each way that the rules forbid.
func TestCheckerCatches(t *testing.T) {
	each := func(change func(*world, balance.Action) []balance.Action) func(*world, []balance.Action) []balance.Action {
		return func(w *world, in []balance.Action) (out []balance.Action) {
			for _, a := range in {
				out = append(out, change(w, a)...)
			}
			return out
		}
	}
	other := func(w *world, s balance.Send) balance.Send {
		for _, id := range w.ids {
			if l := w.servers[id]; id != s.Server && l.drainTold == 0 {
				s.Server = id
				return s
			}
		}
		return s
	}
	for _, c := range []struct {
		want   string
		change func(w *world, a balance.Action) []balance.Action
	}{
		{"no answer in time", func(w *world, a balance.Action) []balance.Action {
			switch a.(type) {
			case balance.Fail, balance.Refuse:
				return nil
			}
			return []balance.Action{a}
		}},
		{"second final answer", func(w *world, a balance.Action) []balance.Action {
			if f, ok := a.(balance.Fail); ok {
				return []balance.Action{a, f}
			}
			return []balance.Action{a}
		}},
		{"never listed", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				s.Server = 12345
				return []balance.Action{s}
			}
			return []balance.Action{a}
		}},
		{"drains or is gone", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				for _, id := range w.ids {
					if w.servers[id].drainTold > 0 {
						s.Server = id
					}
				}
				return []balance.Action{s}
			}
			return []balance.Action{a}
		}},
		{"unsafe request sent again", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, other(w, s)}
			}
			return []balance.Action{a}
		}},
		{"two attempts out", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, other(w, s)}
			}
			return []balance.Action{a}
		}},
		{"outside its group or window", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, other(w, s)}
			}
			return []balance.Action{a}
		}},
		{"attempts", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, s, s, s, s, s}
			}
			return []balance.Action{a}
		}},
		{"for a request that is over", func(w *world, a balance.Action) []balance.Action {
			if r, ok := a.(balance.Refuse); ok {
				return []balance.Action{a, balance.Send{Sending: &balance.Sending{ID: r.ID, Server: w.ids[0]}}}
			}
			return []balance.Action{a}
		}},
		{"refused although", func(w *world, a balance.Action) []balance.Action {
			if f, ok := a.(balance.Fail); ok {
				return []balance.Action{balance.Refuse{ID: f.ID}}
			}
			return []balance.Action{a}
		}},
		{"its budget is", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				for _, id := range w.ids {
					if l := w.servers[id]; l.startTold && l.drainTold == 0 && w.now-l.StartedAt < 2*time.Second {
						s.Server = id
					}
				}
				return []balance.Action{s}
			}
			return []balance.Action{a}
		}},
		{"cancel", func(w *world, a balance.Action) []balance.Action {
			if s, ok := a.(balance.Send); ok {
				return []balance.Action{a, balance.CancelAttempt{ID: s.ID, Attempt: 9}}
			}
			return []balance.Action{a}
		}},
		{"forbidden probe", func(w *world, a balance.Action) []balance.Action {
			return []balance.Action{a, balance.Probe{Server: w.ids[0]}}
		}},
		{"forbidden message", func(w *world, a balance.Action) []balance.Action {
			return []balance.Action{a, balance.SendMessage{ToAll: true}}
		}},
	} {
		found := false
		for seed := int64(1); seed <= 25 && !found; seed++ {
			w := play(seed, 10*time.Second, each(c.change))
			found = strings.Contains(fmt.Sprint(w.broken), c.want)
		}
		if !found {
			t.Errorf("a module broken so that %q was not caught", c.want)
		}
	}
}
