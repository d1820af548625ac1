package real

import (
	"slices"

	"ivylock/internal/lab/scenario"
	"ivylock/internal/wallclock"
)

// clockSteps returns the timeline's steps of the wall clock of a node's machine, for a process that
// starts now: it applies past steps at its start.
func (b *Testbed) clockSteps(n scenario.Node) (steps []wallclock.Step) {
	now := b.Clock()
	for _, f := range b.scenario.Faults {
		if f.Kind != scenario.FaultClockStep {
			continue
		}
		_, nodes := b.scenario.Select(f.Targets)
		if !slices.ContainsFunc(nodes, func(x scenario.Node) bool { return x.Number == n.Number }) {
			continue
		}
		by := f.Delay.Duration
		if f.State == "back" {
			by = -by
		}
		steps = append(steps, wallclock.Step{After: max(0, f.At.Duration-now), By: by})
	}
	slices.SortStableFunc(steps, func(a, b wallclock.Step) int { return int(a.After - b.After) })
	return steps
}
