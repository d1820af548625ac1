package membership

import "slices"

// Change is the latest change of a server reported by a source: it left or was restarted.
type Change struct {
	Name       string
	Generation uint64
	StartedAt  Time // of the new process, by its source's clock, Unix time; 0: the server left
}

// maxKeptChanges bounds the changes recorded for peers; a peer that needs older ones has missed so
// much that it needs a list from its own source.
const maxKeptChanges = 64

// changes is a log with the latest change of each server, oldest first.
type changes []Change

func (c *changes) record(latest Change) {
	*c = slices.DeleteFunc(*c, func(change Change) bool { return change.Name == latest.Name })
	*c = append(*c, latest)
	if over := len(*c) - maxKeptChanges; over > 0 {
		*c = slices.Delete(*c, 0, over)
	}
}

func (c changes) since(generation uint64) (later []Change) {
	for _, change := range c {
		if change.Generation > generation {
			later = append(later, change)
		}
	}
	return later
}
