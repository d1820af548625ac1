package wallclock

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Step is an injected step of the wall clock.
type Step struct {
	After time.Duration // since the process's start
	By    time.Duration // positive: forward
}

// maxSteps limits the steps of a schedule.
const maxSteps = 100

// ParseSteps parses steps in chronological order, such as "0s:+1h,2.5s:-30s": each has the time
// after the process's start and the size of the step. An empty text has no steps.
func ParseSteps(text string) (steps []Step, err error) {
	if text == "" {
		return nil, nil
	}
	for _, part := range strings.Split(text, ",") {
		after, by, found := strings.Cut(part, ":")
		if !found {
			return nil, fmt.Errorf("%q is not a step; write one like 2.5s:-30s", part)
		}
		var s Step
		if s.After, err = time.ParseDuration(after); err != nil || s.After < 0 {
			return nil, fmt.Errorf("%q is not a time after the start; write one like 2.5s", after)
		}
		if s.By, err = time.ParseDuration(by); err != nil {
			return nil, fmt.Errorf("%q is not the size of a step; write one like -30s", by)
		}
		steps = append(steps, s)
	}
	if len(steps) > maxSteps {
		return nil, fmt.Errorf("%d steps exceed the limit of %d", len(steps), maxSteps)
	}
	if !slices.IsSortedFunc(steps, func(a, b Step) int { return int(a.After - b.After) }) {
		return nil, fmt.Errorf("the steps in %q are not in chronological order; sort them", text)
	}
	return steps, nil
}

// FormatSteps formats steps in the syntax of ParseSteps.
func FormatSteps(steps []Step) string {
	var parts []string
	for _, s := range steps {
		parts = append(parts, fmt.Sprintf("%v:%v", s.After, s.By))
	}
	return strings.Join(parts, ",")
}

// offsetAfter returns the sum of the steps up to the given time after the start.
func offsetAfter(steps []Step, since time.Duration) (by time.Duration) {
	for _, s := range steps {
		if s.After <= since {
			by += s.By
		}
	}
	return by
}
