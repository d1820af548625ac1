package wallclock

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Step is one step of the wall clock.
type Step struct {
	After time.Duration // the process's start
	By    time.Duration // forward; below 0: back
}

// mostSteps bounds a schedule.
const mostSteps = 100

// ParseSteps reads steps in their order, such as "0s:+1h,2.5s:-30s": spans after the
// process's start and by how much. The empty text is none.
func ParseSteps(text string) (steps []Step, err error) {
	if text == "" {
		return nil, nil
	}
	for _, part := range strings.Split(text, ",") {
		after, by, found := strings.Cut(part, ":")
		if !found {
			return nil, fmt.Errorf("%q is no step; write one like 2.5s:-30s", part)
		}
		var s Step
		if s.After, err = time.ParseDuration(after); err != nil || s.After < 0 {
			return nil, fmt.Errorf("%q is no time after the start; write one like 2.5s", after)
		}
		if s.By, err = time.ParseDuration(by); err != nil {
			return nil, fmt.Errorf("%q is no step; write one like -30s", by)
		}
		steps = append(steps, s)
	}
	if len(steps) > mostSteps {
		return nil, fmt.Errorf("%d steps are over the bound of %d", len(steps), mostSteps)
	}
	if !slices.IsSortedFunc(steps, func(a, b Step) int { return int(a.After - b.After) }) {
		return nil, fmt.Errorf("%q is not in the order of its times; sort it", text)
	}
	return steps, nil
}

// FormatSteps words steps as ParseSteps reads them.
func FormatSteps(steps []Step) string {
	var parts []string
	for _, s := range steps {
		parts = append(parts, fmt.Sprintf("%v:%v", s.After, s.By))
	}
	return strings.Join(parts, ",")
}

// sum is by how much steps have moved the clock so long after the start.
func sum(steps []Step, since time.Duration) (by time.Duration) {
	for _, s := range steps {
		if s.After <= since {
			by += s.By
		}
	}
	return by
}
