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
	// FleetSize is how many processes the fleet has; those without a record are then
	// named. 0: as many as the records name.
	FleetSize int
}

// DefaultOptions are the rule's grace and what a network of a few ms adds.
func DefaultOptions() Options {
	return Options{Grace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond}
}

// Confidence says how much stands behind a claim.
type Confidence string

// The grades.
const (
	Certain Confidence = "certain" // the process's own record says so, and nothing speaks against it
	Likely  Confidence = "likely"  // others' words alone, or one record alone
	Unknown Confidence = "unknown" // nothing says either way
)

// ClockAlignment says how a process's times stand to the others'.
type ClockAlignment struct {
	Shift   time.Duration `json:"shift"` // added to its times here
	Trusted bool          `json:"trusted"`
	Why     string        `json:"why,omitempty"`
}

// life is one process: a record, its times put in line with the others'.
type life struct {
	version.Record
	clock ClockAlignment
	last  bool // the newest process of its node
}

// Audit is what the records say together.
type Audit struct {
	o        Options
	lives    []*life           // by node and start
	services []*life           // control services, by name and start
	byNumber map[int]*life     // the newest process of each node
	now      version.Timestamp // of the newest record
	episodes []*episode        // withdrawals, by server and time
	names    map[int]string    // of nodes by number
}

// New takes records in any order. Of one life of a process the newest counts;
// former lives that a record sums up are not records of their own.
func New(records []version.Record, o Options) *Audit {
	a := &Audit{o: o, byNumber: map[int]*life{}, names: map[int]string{}}
	newest := map[string]*life{}
	for _, r := range records {
		if r.Process == "" || r.TakenAt == 0 {
			continue
		}
		key := fmt.Sprint(r.Process, " ", r.Incarnation)
		if old := newest[key]; old != nil && old.TakenAt >= r.TakenAt {
			continue
		}
		newest[key] = &life{Record: clone(r)}
	}
	for _, l := range newest {
		if l.ControlService {
			a.services = append(a.services, l)
		} else {
			a.lives = append(a.lives, l)
		}
	}
	inOrder := func(x, y *life) int {
		return cmp.Or(cmp.Compare(x.Number, y.Number), strings.Compare(x.Process, y.Process), cmp.Compare(x.Incarnation, y.Incarnation))
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
			a.now = max(a.now, l.TakenAt)
		}
		a.o.FleetSize = max(a.o.FleetSize, l.Number+1)
	}
	a.find()
	return a
}

// clone copies what align changes.
func clone(r version.Record) version.Record {
	r.Intervals, r.Withdrawals = slices.Clone(r.Intervals), slices.Clone(r.Withdrawals)
	r.Servers, r.Peers = slices.Clone(r.Servers), slices.Clone(r.Peers)
	r.ModeChanges, r.Pauses = slices.Clone(r.ModeChanges), slices.Clone(r.Pauses)
	for i := range r.Servers {
		r.Servers[i].Buckets = slices.Clone(r.Servers[i].Buckets)
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
		for _, h := range l.Peers {
			leads[h.Process] = append(leads[h.Process], h.ClockLeadMillis)
		}
	}
	for _, l := range a.lives {
		noted := leads[l.Number]
		switch {
		case len(noted) == 0 && len(l.Peers) == 0 && len(a.lives) > 1:
			l.clock.Why = "no process heard it and it heard none: its times can't be compared with the others'"
		case len(noted) == 0:
			l.clock = ClockAlignment{Trusted: true}
		default:
			slices.Sort(noted)
			lead := time.Duration(noted[len(noted)/2]) * time.Millisecond
			l.clock.Trusted = true
			if lead.Abs() > version.MaxClockLead {
				l.clock.Shift = -lead
				l.clock.Why = fmt.Sprintf("its clock is off by %v by the word of %d processes", lead.Round(time.Millisecond), len(noted))
				l.shift(-lead)
			}
		}
	}
}

// shift moves all times of a record.
func (l *life) shift(by time.Duration) {
	move := func(s *version.Timestamp) {
		if *s != 0 {
			*s = s.Add(by)
		}
	}
	for _, s := range []*version.Timestamp{&l.Incarnation, &l.TakenAt, &l.Confirmed, &l.Merged.From, &l.Merged.Until} {
		move(s)
	}
	for i := range l.Intervals {
		move(&l.Intervals[i].From)
		move(&l.Intervals[i].Until)
	}
	for i := range l.Withdrawals {
		move(&l.Withdrawals[i].KnownAt)
		move(&l.Withdrawals[i].RestoredAt)
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		move(&s.First)
		move(&s.Last)
		for k := range s.Buckets {
			move(&s.Buckets[k].From)
			move(&s.Buckets[k].To)
		}
	}
	for i := range l.Peers {
		move(&l.Peers[i].LastHeard)
	}
	for i := range l.ModeChanges {
		move(&l.ModeChanges[i].At)
	}
	for i := range l.Pauses {
		move(&l.Pauses[i].ResumedAt)
	}
}

// heard gives what a process heard last of another.
func (l *life) heard(number int) (version.PeerVersion, bool) {
	i := slices.IndexFunc(l.Peers, func(h version.PeerVersion) bool { return h.Process == number })
	if i < 0 {
		return version.PeerVersion{}, false
	}
	return l.Peers[i], true
}

// name gives a node's name, as far as a record tells it.
func (a *Audit) name(number int) string {
	if n := a.names[number]; n != "" {
		return n
	}
	return fmt.Sprintf("process %d", number)
}

// Now is the time of the newest record, as of which the audit speaks.
func (a *Audit) Now() version.Timestamp { return a.now }
