package audit

import (
	"cmp"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// Propagation is one version of the list on its way through the fleet.
type Propagation struct {
	Version      version.List      `json:"version"`
	FirstAt      version.Timestamp `json:"at"`    // when the first process acted on it
	FirstProcess string            `json:"first"` // which one
	ToHalf       time.Duration     `json:"half"`  // until half of those that are on record did, -1: they did not
	ToNineTenths time.Duration     `json:"nine"`  // nine in ten
	ToAll        time.Duration     `json:"all"`
	Reached      int               `json:"reached"`
	NotReached   []string          `json:"never"`     // ran then, and did not act on it as long as their records go
	NoRecord     int               `json:"no_record"` // processes that nothing is known of
}

// Propagations lists the versions that processes acted on, and how long each took to
// reach the first, half, nine in ten and all that ran.
func (a *Audit) Propagations() []Propagation {
	type reach struct {
		l  *life
		at version.Timestamp
	}
	versions := map[version.List]bool{}
	for _, l := range a.lives {
		for i, act := range l.Intervals {
			if i > 0 { // the first is what it began with
				v := act.Version.List
				v.Digest = 0
				versions[v] = true
			}
		}
	}
	var out []Propagation
	for v := range versions {
		c := Propagation{Version: v, ToHalf: -1, ToNineTenths: -1, ToAll: -1}
		var reached []reach
		var late []string
		for _, l := range a.lives {
			if !l.clock.Trusted {
				continue
			}
			i := slices.IndexFunc(l.Intervals, func(i version.Interval) bool { return i.Version.List.CompareGeneration(v) != version.Older })
			switch {
			case i > 0:
				reached = append(reached, reach{l, l.Intervals[i].From})
			case i < 0 && l.last:
				late = append(late, l.Process)
			}
		}
		if len(reached) == 0 {
			continue
		}
		slices.SortFunc(reached, func(x, y reach) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.l.Number, y.l.Number)) })
		c.FirstAt, c.FirstProcess, c.Reached = reached[0].at, reached[0].l.Process, len(reached)
		for _, l := range late { // those that were still alive when it began
			if x := a.lives[slices.IndexFunc(a.lives, func(x *life) bool { return x.last && x.Process == l })]; x.TakenAt > c.FirstAt {
				c.NotReached = append(c.NotReached, l)
			}
		}
		all := len(reached) + len(c.NotReached)
		took := func(part float64) time.Duration {
			n := int(part*float64(all) + 0.999999)
			if n = max(n, 1); n > len(reached) {
				return -1
			}
			return reached[n-1].at.Sub(c.FirstAt)
		}
		c.ToHalf, c.ToNineTenths, c.ToAll = took(0.5), took(0.9), took(1)
		c.NoRecord = a.o.FleetSize - len(a.byNumber)
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Propagation) int {
		return cmp.Or(cmp.Compare(x.FirstAt, y.FirstAt), cmp.Compare(x.Version.Generation, y.Version.Generation))
	})
	return out
}

// Span is a time in which a process acted on one version.
type Span struct {
	Process string            `json:"process"`
	Number  int               `json:"number"`
	Life    version.Timestamp `json:"life"`
	Version version.Vector    `json:"version"`
	From    version.Timestamp `json:"from"`
	Until   version.Timestamp `json:"until"`
	Sends   uint64            `json:"sends"`
	Ongoing bool              `json:"open"` // it lasted as long as the record goes
}

// Spans lists who acted on which version when.
func (a *Audit) Spans() []Span {
	var out []Span
	for _, l := range a.lives {
		for _, i := range l.Intervals {
			s := Span{l.Process, l.Number, l.Incarnation, i.Version, i.From, i.Until, i.Sends, i.Until == 0}
			if s.Ongoing {
				s.Until = l.TakenAt
			}
			out = append(out, s)
		}
	}
	return out
}
