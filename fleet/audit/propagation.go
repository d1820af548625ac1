package audit

import (
	"cmp"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// Propagation is the propagation of one list version through the fleet.
type Propagation struct {
	Version      version.List      `json:"version"`
	FirstAt      version.Timestamp `json:"at"`        // when a process first acted on it
	FirstProcess string            `json:"first"`     // that process
	ToHalf       time.Duration     `json:"half"`      // until half of the processes on record did; -1: they did not
	ToNineTenths time.Duration     `json:"nine"`      // until nine in ten did; -1: they did not
	ToAll        time.Duration     `json:"all"`       // until all did; -1: they did not
	Reached      int               `json:"reached"`   // processes that acted on it or a newer version
	NotReached   []string          `json:"never"`     // processes that ran then and never acted on it, by their records
	NoRecord     int               `json:"no_record"` // processes without a record
}

// Propagations lists the versions that processes acted on, by time, and how long each took
// from the first process to half, nine in ten and all of those that ran.
func (a *Audit) Propagations() []Propagation {
	type arrival struct {
		process *incarnation
		at      version.Timestamp
	}
	versions := map[version.List]bool{}
	for _, process := range a.incarnations {
		for i, act := range process.Intervals {
			if i > 0 { // the first is the version at the start
				v := act.Version.List
				v.Digest = 0
				versions[v] = true
			}
		}
	}
	var out []Propagation
	for v := range versions {
		change := Propagation{Version: v, ToHalf: -1, ToNineTenths: -1, ToAll: -1}
		var reached []arrival
		var notReached []string
		for _, process := range a.incarnations {
			if !process.clock.Trusted {
				continue
			}
			i := slices.IndexFunc(process.Intervals, func(i version.Interval) bool { return i.Version.List.CompareGeneration(v) != version.Older })
			switch {
			case i > 0:
				reached = append(reached, arrival{process, process.Intervals[i].From})
			case i < 0 && process.latest:
				notReached = append(notReached, process.Process)
			}
		}
		if len(reached) == 0 {
			continue
		}
		slices.SortFunc(reached, func(x, y arrival) int {
			return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.process.Number, y.process.Number))
		})
		change.FirstAt, change.FirstProcess, change.Reached = reached[0].at, reached[0].process.Process, len(reached)
		for _, process := range notReached { // those that still ran when it started to propagate
			if x := a.incarnations[slices.IndexFunc(a.incarnations, func(x *incarnation) bool { return x.latest && x.Process == process })]; x.TakenAt > change.FirstAt {
				change.NotReached = append(change.NotReached, process)
			}
		}
		total := len(reached) + len(change.NotReached)
		timeTo := func(fraction float64) time.Duration {
			n := int(fraction*float64(total) + 0.999999)
			if n = max(n, 1); n > len(reached) {
				return -1
			}
			return reached[n-1].at.Sub(change.FirstAt)
		}
		change.ToHalf, change.ToNineTenths, change.ToAll = timeTo(0.5), timeTo(0.9), timeTo(1)
		change.NoRecord = a.options.FleetSize - len(a.byNumber)
		out = append(out, change)
	}
	slices.SortFunc(out, func(x, y Propagation) int {
		return cmp.Or(cmp.Compare(x.FirstAt, y.FirstAt), cmp.Compare(x.Version.Generation, y.Version.Generation))
	})
	return out
}

// Span is a period in which a process acted on one version.
type Span struct {
	Process     string            `json:"process"`
	Number      int               `json:"number"`
	Incarnation version.Timestamp `json:"life"`
	Version     version.Vector    `json:"version"`
	From        version.Timestamp `json:"from"`
	Until       version.Timestamp `json:"until"`
	Sends       uint64            `json:"sends"`
	Ongoing     bool              `json:"open"` // until the end of the record
}

// Spans lists which process acted on which version when, by process.
func (a *Audit) Spans() []Span {
	var out []Span
	for _, process := range a.incarnations {
		for _, i := range process.Intervals {
			s := Span{process.Process, process.Number, process.Incarnation, i.Version, i.From, i.Until, i.Sends, i.Until == 0}
			if s.Ongoing {
				s.Until = process.TakenAt
			}
			out = append(out, s)
		}
	}
	return out
}
