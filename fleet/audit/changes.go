package audit

import (
	"cmp"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// Change is one version of the list on its way through the fleet.
type Change struct {
	Version  version.List  `json:"version"`
	At       version.Stamp `json:"at"`    // when the first process acted on it
	First    string        `json:"first"` // which one
	Half     time.Duration `json:"half"`  // until half of those that are on record did, -1: they did not
	Nine     time.Duration `json:"nine"`  // nine in ten
	All      time.Duration `json:"all"`
	Reached  int           `json:"reached"`
	Never    []string      `json:"never"`     // ran then, and did not act on it as long as their records go
	NoRecord int           `json:"no_record"` // processes that nothing is known of
}

// Changes lists the versions that processes acted on, and how long each took to
// reach the first, half, nine in ten and all that ran.
func (a *Audit) Changes() []Change {
	type reach struct {
		l  *life
		at version.Stamp
	}
	versions := map[version.List]bool{}
	for _, l := range a.lives {
		for i, act := range l.Acts {
			if i > 0 { // the first is what it began with
				v := act.Version.List
				v.Digest = 0
				versions[v] = true
			}
		}
	}
	var out []Change
	for v := range versions {
		c := Change{Version: v, Half: -1, Nine: -1, All: -1}
		var reached []reach
		var late []string
		for _, l := range a.lives {
			if !l.clock.Trusted {
				continue
			}
			i := slices.IndexFunc(l.Acts, func(i version.Interval) bool { return i.Version.List.Order(v) != version.Older })
			switch {
			case i > 0:
				reached = append(reached, reach{l, l.Acts[i].From})
			case i < 0 && l.last:
				late = append(late, l.Process)
			}
		}
		if len(reached) == 0 {
			continue
		}
		slices.SortFunc(reached, func(x, y reach) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.l.Number, y.l.Number)) })
		c.At, c.First, c.Reached = reached[0].at, reached[0].l.Process, len(reached)
		for _, l := range late { // those that were still alive when it began
			if x := a.lives[slices.IndexFunc(a.lives, func(x *life) bool { return x.last && x.Process == l })]; x.At > c.At {
				c.Never = append(c.Never, l)
			}
		}
		all := len(reached) + len(c.Never)
		took := func(part float64) time.Duration {
			n := int(part*float64(all) + 0.999999)
			if n = max(n, 1); n > len(reached) {
				return -1
			}
			return reached[n-1].at.Sub(c.At)
		}
		c.Half, c.Nine, c.All = took(0.5), took(0.9), took(1)
		c.NoRecord = a.o.Size - len(a.byNumber)
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Version.Generation, y.Version.Generation))
	})
	return out
}

// Span is a time in which a process acted on one version.
type Span struct {
	Process string         `json:"process"`
	Number  int            `json:"number"`
	Life    version.Stamp  `json:"life"`
	Version version.Vector `json:"version"`
	From    version.Stamp  `json:"from"`
	Until   version.Stamp  `json:"until"`
	Sends   uint64         `json:"sends"`
	Open    bool           `json:"open"` // it lasted as long as the record goes
}

// Spans lists who acted on which version when.
func (a *Audit) Spans() []Span {
	var out []Span
	for _, l := range a.lives {
		for _, i := range l.Acts {
			s := Span{l.Process, l.Number, l.Life, i.Version, i.From, i.Until, i.Sends, i.Until == 0}
			if s.Open {
				s.Until = l.At
			}
			out = append(out, s)
		}
	}
	return out
}
