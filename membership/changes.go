package membership

import "slices"

// Change is the latest that a source said of a server: it left, or it was restarted.
type Change struct {
	Name       string
	Generation uint64
	StartedAt  Time // of the new process, as the source told it, Unix time; 0: the server left
}

// keptChanges is how many changes are remembered for neighbours; those that need more have missed so much
// that their own source has to tell them.
const keptChanges = 64

// changes are remembered changes, the latest last, one a server.
type changes []Change

func (c *changes) note(latest Change) {
	*c = slices.DeleteFunc(*c, func(x Change) bool { return x.Name == latest.Name })
	*c = append(*c, latest)
	if over := len(*c) - keptChanges; over > 0 {
		*c = slices.Delete(*c, 0, over)
	}
}

func (c changes) since(generation uint64) (later []Change) {
	for _, x := range c {
		if x.Generation > generation {
			later = append(later, x)
		}
	}
	return later
}
