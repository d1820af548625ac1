package sweep

import (
	"time"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
)

// mostReplays bounds the work for one finding.
const mostReplays = 120

// shrink looks for a lesser scenario that breaks the same rule: without some
// faults, with shorter ones, with a shorter load. It keeps the seed. Each step
// is kept only if the rule still breaks.
func shrink(s *scenario.Scenario, b judge.Breach, mutant memory.Mutant) Finding {
	f := Finding{Breach: b, Shrunk: s, ShrunkBreach: b}
	breaks := func(c *scenario.Scenario) bool {
		if f.Replays >= mostReplays || scenario.Check(c) != nil {
			return false
		}
		f.Replays++
		v := judge.Judge(memory.Run(c, memory.Options{Seed: c.Seed, Mutant: mutant}))
		for _, left := range v.Breaches {
			if left.Rule == b.Rule {
				f.Shrunk, f.ShrunkBreach = c, left
				return true
			}
		}
		return false
	}
	for again := true; again; {
		again = false
		for i := len(f.Shrunk.Faults) - 1; i >= 0; i-- { // fewer faults
			c := clone(f.Shrunk)
			c.Faults = append(c.Faults[:i], c.Faults[i+1:]...)
			again = breaks(c) || again
		}
		for i := range f.Shrunk.Faults { // shorter and fewer-handed ones
			for _, part := range []time.Duration{4, 2} {
				c := clone(f.Shrunk)
				if d := &c.Faults[i].For.Duration; *d > 200*time.Millisecond {
					*d = (*d - *d/part).Round(10 * time.Millisecond)
					if again = breaks(c) || again; again {
						break
					}
				}
			}
			if len(f.Shrunk.Faults[i].Targets) > 1 {
				c := clone(f.Shrunk)
				c.Faults[i].Targets = c.Faults[i].Targets[:1]
				again = breaks(c) || again
			}
		}
		c := clone(f.Shrunk) // the load ends soon after the breach
		if d := (f.ShrunkBreach.At + 200*time.Millisecond).Round(100 * time.Millisecond); d >= time.Second && d < c.Length.Duration-300*time.Millisecond {
			c.Length.Duration = d
			kept := c.Faults[:0]
			for _, x := range c.Faults {
				if x.At.Duration <= d {
					kept = append(kept, x)
				}
			}
			c.Faults = kept
			again = breaks(c) || again
		}
	}
	return f
}

func clone(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	c.Faults = append([]scenario.Fault(nil), s.Faults...)
	return &c
}
