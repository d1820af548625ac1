package sweep

import (
	"time"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
)

// maxReplays limits the simulations for shrinking one finding.
const maxReplays = 120

// shrink minimises a scenario that breaks a rule: fewer faults, shorter faults,
// fewer targets, a shorter load. The seed stays the same, and a step is kept only
// if the run still breaks that rule.
func shrink(s *scenario.Scenario, breach judge.Breach, mutant memory.Mutant) Finding {
	f := Finding{Breach: breach, Shrunk: s, ShrunkBreach: breach}
	stillBreaks := func(c *scenario.Scenario) bool {
		if f.Replays >= maxReplays || scenario.Check(c) != nil {
			return false
		}
		f.Replays++
		v := judge.Judge(memory.Run(c, memory.Options{Seed: c.Seed, Mutant: mutant}))
		for _, found := range v.Breaches {
			if found.Rule == breach.Rule {
				f.Shrunk, f.ShrunkBreach = c, found
				return true
			}
		}
		return false
	}
	for progress := true; progress; {
		progress = false
		for i := len(f.Shrunk.Faults) - 1; i >= 0; i-- { // fewer faults
			c := clone(f.Shrunk)
			c.Faults = append(c.Faults[:i], c.Faults[i+1:]...)
			progress = stillBreaks(c) || progress
		}
		for i := range f.Shrunk.Faults { // shorter faults with fewer targets
			for _, divisor := range []time.Duration{4, 2} {
				c := clone(f.Shrunk)
				if d := &c.Faults[i].For.Duration; *d > 200*time.Millisecond {
					*d = (*d - *d/divisor).Round(10 * time.Millisecond)
					if progress = stillBreaks(c) || progress; progress {
						break
					}
				}
			}
			if len(f.Shrunk.Faults[i].Targets) > 1 {
				c := clone(f.Shrunk)
				c.Faults[i].Targets = c.Faults[i].Targets[:1]
				progress = stillBreaks(c) || progress
			}
		}
		c := clone(f.Shrunk) // a load that ends soon after the breach
		if d := (f.ShrunkBreach.At + 200*time.Millisecond).Round(100 * time.Millisecond); d >= time.Second && d < c.Length.Duration-300*time.Millisecond {
			c.Length.Duration = d
			kept := c.Faults[:0]
			for _, fault := range c.Faults {
				if fault.At.Duration <= d {
					kept = append(kept, fault)
				}
			}
			c.Faults = kept
			progress = stillBreaks(c) || progress
		}
	}
	return f
}

func clone(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	c.Faults = append([]scenario.Fault(nil), s.Faults...)
	return &c
}
