package history

import (
	"cmp"
	"slices"
)

// Sort puts events in order of time; those of one moment keep their order.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}
