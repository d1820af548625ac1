package history

import (
	"cmp"
	"slices"
)

// Sort sorts events by time and keeps the order of those at the same time.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}
