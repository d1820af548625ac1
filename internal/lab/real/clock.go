package real

import (
	"slices"

	"ivylock/internal/lab/scenario"
	"ivylock/internal/wallclock"
)

// clockSteps gives the steps of the wall clock of a node's machine by the timeline, for a
// process that starts now: those that are past are made at its start.
func (h *Testbed) clockSteps(n scenario.Node) (steps []wallclock.Step) {
	now := h.Clock()
	for _, f := range h.s.Faults {
		if f.What != scenario.WhatClock {
			continue
		}
		_, nodes := h.s.Pick(f.Who)
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
