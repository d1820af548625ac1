// Package audit puts the records of many processes together, some of them
// missing, cut off or of former lives, and says who acted on which version when,
// which sends happened although the sender or another process knew better, how
// long a change took to reach the fleet, and who is behind, why, and how sure that
// is. What there is no evidence for is unknown, never fine. It does no I/O, reads
// no clock and starts no goroutine.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"ivylock/fleet/version"
)

// Options of an audit.
type Options struct {
	// Grace is how long after a withdrawal is known sends may still go to its
	// server.
	Grace time.Duration
	// Tolerance is what clocks and the network may add between two processes.
	Tolerance time.Duration
	// Size is how many processes the fleet has; those without a record are then
	// named. 0: as many as the records name.
	Size int
}

// Defaults are the rule's grace and what a network of a few ms adds.
func Defaults() Options {
	return Options{Grace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond}
}

// Sure says how much stands behind a claim.
type Sure string

// The grades.
const (
	Certain Sure = "certain" // the process's own record says so, and nothing speaks against it
	Likely  Sure = "likely"  // others' words alone, or one record alone
	Unknown Sure = "unknown" // nothing says either way
)

// Clock says how a process's times stand to the others'.
type Clock struct {
	Shift   time.Duration `json:"shift"` // added to its times here
	Trusted bool          `json:"trusted"`
	Why     string        `json:"why,omitempty"`
}

// life is one process: a record, its times put in line with the others'.
type life struct {
	version.Record
	clock Clock
	last  bool // the newest process of its node
}

// Audit is what the records say together.
type Audit struct {
	o        Options
	lives    []*life        // by node and start
	services []*life        // control services, by name and start
	byNumber map[int]*life  // the newest process of each node
	now      version.Stamp  // of the newest record
	episodes []*episode     // withdrawals, by server and time
	names    map[int]string // of nodes by number
}

// New takes records in any order. Of one life of a process the newest counts;
// former lives that a record sums up are not records of their own.
func New(records []version.Record, o Options) *Audit {
	a := &Audit{o: o, byNumber: map[int]*life{}, names: map[int]string{}}
	newest := map[string]*life{}
	for _, r := range records {
		if r.Process == "" || r.At == 0 {
			continue
		}
		key := fmt.Sprint(r.Process, " ", r.Life)
		if old := newest[key]; old != nil && old.At >= r.At {
			continue
		}
		newest[key] = &life{Record: clone(r)}
	}
	for _, l := range newest {
		if l.Service {
			a.services = append(a.services, l)
		} else {
			a.lives = append(a.lives, l)
		}
	}
	inOrder := func(x, y *life) int {
		return cmp.Or(cmp.Compare(x.Number, y.Number), strings.Compare(x.Process, y.Process), cmp.Compare(x.Life, y.Life))
	}
	slices.SortFunc(a.lives, inOrder)
	slices.SortFunc(a.services, inOrder)
	for i, l := range a.services {
		l.last = i+1 == len(a.services) || a.services[i+1].Process != l.Process
	}
	a.align()
	for _, l := range a.lives {
		if old := a.byNumber[l.Number]; old != nil {
			old.last = false
		}
		l.last = true
		a.byNumber[l.Number], a.names[l.Number] = l, l.Process
		if l.clock.Trusted {
			a.now = max(a.now, l.At)
		}
		a.o.Size = max(a.o.Size, l.Number+1)
	}
	a.find()
	return a
}

// clone copies what align changes.
func clone(r version.Record) version.Record {
	r.Acts, r.Withdrawals = slices.Clone(r.Acts), slices.Clone(r.Withdrawals)
	r.Servers, r.Heard = slices.Clone(r.Servers), slices.Clone(r.Heard)
	r.Changes, r.Stops = slices.Clone(r.Changes), slices.Clone(r.Stops)
	for i := range r.Servers {
		r.Servers[i].Marks = slices.Clone(r.Servers[i].Marks)
	}
	return r
}

// align puts all times in line. Hybrid clocks that believe one another are in line
// already; one that the others did not believe, or that did not believe them, is
// shifted by what they noted of its lead. One that nobody noted anything of can't
// be compared.
func (a *Audit) align() {
	leads := map[int][]int64{} // ms, by the process that led
	for _, l := range a.lives {
		for _, h := range l.Heard {
			leads[h.Process] = append(leads[h.Process], h.Lead)
		}
	}
	for _, l := range a.lives {
		noted := leads[l.Number]
		switch {
		case len(noted) == 0 && len(l.Heard) == 0 && len(a.lives) > 1:
			l.clock.Why = "no process heard it and it heard none: its times can't be compared with the others'"
		case len(noted) == 0:
			l.clock = Clock{Trusted: true}
		default:
			slices.Sort(noted)
			lead := time.Duration(noted[len(noted)/2]) * time.Millisecond
			l.clock.Trusted = true
			if lead.Abs() > version.Ahead {
				l.clock.Shift = -lead
				l.clock.Why = fmt.Sprintf("its clock is off by %v by the word of %d processes", lead.Round(time.Millisecond), len(noted))
				l.shift(-lead)
			}
		}
	}
}

// shift moves all times of a record.
func (l *life) shift(by time.Duration) {
	move := func(s *version.Stamp) {
		if *s != 0 {
			*s = s.Add(by)
		}
	}
	for _, s := range []*version.Stamp{&l.Life, &l.At, &l.Confirmed, &l.Folded.From, &l.Folded.Until} {
		move(s)
	}
	for i := range l.Acts {
		move(&l.Acts[i].From)
		move(&l.Acts[i].Until)
	}
	for i := range l.Withdrawals {
		move(&l.Withdrawals[i].Known)
		move(&l.Withdrawals[i].Again)
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		move(&s.First)
		move(&s.Last)
		for k := range s.Marks {
			move(&s.Marks[k].From)
			move(&s.Marks[k].To)
		}
	}
	for i := range l.Heard {
		move(&l.Heard[i].At)
	}
	for i := range l.Changes {
		move(&l.Changes[i].At)
	}
	for i := range l.Stops {
		move(&l.Stops[i].Until)
	}
}

// heard gives what a process heard last of another.
func (l *life) heard(number int) (version.Heard, bool) {
	i := slices.IndexFunc(l.Heard, func(h version.Heard) bool { return h.Process == number })
	if i < 0 {
		return version.Heard{}, false
	}
	return l.Heard[i], true
}

// name gives a node's name, as far as a record tells it.
func (a *Audit) name(number int) string {
	if n := a.names[number]; n != "" {
		return n
	}
	return fmt.Sprintf("process %d", number)
}

// Now is the time of the newest record, as of which the audit speaks.
func (a *Audit) Now() version.Stamp { return a.now }
