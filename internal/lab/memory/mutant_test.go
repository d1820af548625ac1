package memory

import (
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/scenario"
	"ivylock/scenarios"
)

// Guards against a judge that misses a rule breach: each row is a faulty node that
// breaks the given rule.
func TestJudgeCatchesBrokenNodes(t *testing.T) {
	classes := map[balance.RequestID]string{}
	remember := func(e balance.Event) {
		if a, is := e.(balance.RequestArrived); is {
			classes[a.ID] = a.Class
		}
	}
	each := func(actions []balance.Action, change func(balance.Action) []balance.Action) []balance.Action {
		var out []balance.Action
		for _, a := range actions {
			out = append(out, change(a)...)
		}
		return out
	}
	keep := func(a balance.Action) []balance.Action { return []balance.Action{a} }
	for _, c := range []struct {
		name           string
		scenario       string
		rule           judge.Rule
		skipDrainCheck bool
		mutant         Mutant
	}{
		{"does not carry out refusals", "overlap", judge.NoRequestLost, false, func(_ time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if _, is := a.(balance.Refuse); is {
					return nil
				}
				return keep(a)
			})
		}},
		{"does not carry out failures", "hang", judge.NoRequestLost, false, func(_ time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if _, is := a.(balance.Fail); is {
					return nil
				}
				return keep(a)
			})
		}},
		{"loses one request in fifty", "quiet", judge.NoRequestLost, false, func() Mutant {
			n := 0
			return func(_ time.Duration, _ string, e balance.Event, actions []balance.Action) []balance.Action {
				if _, is := e.(balance.RequestArrived); is {
					if n++; n%50 == 0 {
						return nil
					}
				}
				return actions
			}
		}()},
		{"refuses what may have run", "hang", judge.NoDuplicateEffect, false, func(_ time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if f, is := a.(balance.Fail); is {
					return keep(balance.Refuse{ID: f.ID})
				}
				return keep(a)
			})
		}},
		{"sends a second copy of everything", "quiet", judge.NoDuplicateEffect, false, func(_ time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if s, is := a.(balance.Send); is {
					return []balance.Action{s, balance.Send{Sending: &balance.Sending{ID: s.ID, Server: s.Server%12 + 1}}}
				}
				return keep(a)
			})
		}},
		{"retries unsafe requests after a reset", "replace", judge.NoDuplicateEffect, false, func(_ time.Duration, _ string, e balance.Event, actions []balance.Action) []balance.Action {
			remember(e)
			if x, is := e.(balance.AttemptEnded); is && x.Code == balance.Reset && classes[x.ID] == "cut-order" {
				return []balance.Action{balance.Send{Sending: &balance.Sending{ID: x.ID, Server: x.Server%12 + 1}}}
			}
			return actions
		}},
		{"sends to a draining server", "drain", judge.DrainsRespected, true, func(now time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if s, is := a.(balance.Send); is && now > 6*time.Second && now < 8*time.Second {
					s.Server = 1 // hall-nord.1
					return keep(s)
				}
				return keep(a)
			})
		}},
		{"ignores drains", "drain", judge.DrainsRespected, true, func(_ time.Duration, _ string, e balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if s, is := a.(balance.Send); is {
					s.Server = s.Server%12 + 1 // the server after the chosen one
					return keep(s)
				}
				return keep(a)
			})
		}},
		{"ignores drains on one node of three", "drain", judge.DrainsRespected, true, func(_ time.Duration, node string, e balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if s, is := a.(balance.Send); is && node == "n1" {
					s.Server = s.Server%12 + 1
					return keep(s)
				}
				return keep(a)
			})
		}},
		{"sends everything to one cold server", "silent", judge.NoColdOverload, false, func(now time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
			return each(actions, func(a balance.Action) []balance.Action {
				if s, is := a.(balance.Send); is && now > 15500*time.Millisecond {
					s.Server = 1
					return keep(s)
				}
				return keep(a)
			})
		}},
		{"sends half of the requests to one cold server", "silent", judge.NoColdOverload, false, func() Mutant {
			n := 0
			return func(now time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
				return each(actions, func(a balance.Action) []balance.Action {
					if s, is := a.(balance.Send); is && now > 15500*time.Millisecond {
						if n++; n%2 == 0 {
							s.Server = 10
						}
						return keep(s)
					}
					return keep(a)
				})
			}
		}()},
		{"sends everything to two cold servers", "silent", judge.NoColdOverload, false, func() Mutant {
			n := 0
			return func(now time.Duration, _ string, _ balance.Event, actions []balance.Action) []balance.Action {
				return each(actions, func(a balance.Action) []balance.Action {
					if s, is := a.(balance.Send); is && now > 15500*time.Millisecond {
						if n++; n%2 == 0 {
							s.Server = 10
						} else {
							s.Server = 1
						}
						return keep(s)
					}
					return keep(a)
				})
			}
		}()},
	} {
		s, err := scenario.LoadFile(scenarios.Files, c.scenario+".toml")
		if err != nil {
			t.Fatal(err)
		}
		v := judge.Judge(Run(s, Options{Mutant: c.mutant, SkipDrainCheck: c.skipDrainCheck}))
		if v.Counts[c.rule] == 0 {
			t.Errorf("a node that %s is not detected: breaches %v", c.name, v.Counts)
		}
	}
}
