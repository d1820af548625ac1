// Package audit merges the records of many processes, which may be incomplete or of
// earlier incarnations. It reports which process acted on which version when, which sends
// went to a server although the sender or another process knew of its withdrawal, how long
// changes took to propagate, and which processes are behind, why, and with what
// confidence. Findings without evidence are reported as unknown. It does no I/O, reads no
// clock and starts no goroutine.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"ivylock/fleet/version"
)

// Options are the parameters of an audit.
type Options struct {
	// Grace is the time for which sends to a server may continue after its withdrawal is
	// known.
	Grace time.Duration
	// Tolerance allows for clock skew and network delay between two processes.
	Tolerance time.Duration
	// FleetSize is the number of processes of the fleet; those without a record are
	// reported too. At least all that have a record are included.
	FleetSize int
}

// DefaultOptions returns a grace period of half a second and a tolerance for a network
// delay of a few milliseconds.
func DefaultOptions() Options {
	return Options{Grace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond}
}

// Confidence is the degree to which records support a finding.
type Confidence string

// The levels of confidence.
const (
	Certain Confidence = "certain" // supported by the process's own record and not contradicted
	Likely  Confidence = "likely"  // supported only by other processes' records, or by only one record
	Unknown Confidence = "unknown" // no evidence either way
)

// ClockAlignment is the relation of a process's times to those of the others.
type ClockAlignment struct {
	Shift   time.Duration `json:"shift"`   // added to its times
	Trusted bool          `json:"trusted"` // its times can be compared with the others'
	Why     string        `json:"why,omitempty"`
}

// incarnation is one process: its record with aligned times.
type incarnation struct {
	version.Record
	clock  ClockAlignment
	latest bool // the latest process of its node
}

// Audit is the merged view of all records.
type Audit struct {
	options      Options
	incarnations []*incarnation       // by node and start
	services     []*incarnation       // control services, by name and start
	byNumber     map[int]*incarnation // the latest process of each node
	now          version.Timestamp    // time of the newest record
	episodes     []*episode           // withdrawals, by server and time
	nodeNames    map[int]string       // by node number
}

// New merges records in any order. Of each incarnation the newest record counts;
// predecessors that a record summarizes are not records of their own.
func New(records []version.Record, options Options) *Audit {
	a := &Audit{options: options, byNumber: map[int]*incarnation{}, nodeNames: map[int]string{}}
	newest := map[string]*incarnation{}
	for _, r := range records {
		if r.Process == "" || r.TakenAt == 0 {
			continue
		}
		key := fmt.Sprint(r.Process, " ", r.Incarnation)
		if old := newest[key]; old != nil && old.TakenAt >= r.TakenAt {
			continue
		}
		newest[key] = &incarnation{Record: cloneRecord(r)}
	}
	for _, process := range newest {
		if process.ControlService {
			a.services = append(a.services, process)
		} else {
			a.incarnations = append(a.incarnations, process)
		}
	}
	compare := func(x, y *incarnation) int {
		return cmp.Or(cmp.Compare(x.Number, y.Number), strings.Compare(x.Process, y.Process), cmp.Compare(x.Incarnation, y.Incarnation))
	}
	slices.SortFunc(a.incarnations, compare)
	slices.SortFunc(a.services, compare)
	for i, process := range a.services {
		process.latest = i+1 == len(a.services) || a.services[i+1].Process != process.Process
	}
	a.alignClocks()
	for _, process := range a.incarnations {
		if old := a.byNumber[process.Number]; old != nil {
			old.latest = false
		}
		process.latest = true
		a.byNumber[process.Number], a.nodeNames[process.Number] = process, process.Process
		if process.clock.Trusted {
			a.now = max(a.now, process.TakenAt)
		}
		a.options.FleetSize = max(a.options.FleetSize, process.Number+1)
	}
	a.groupWithdrawals()
	return a
}

// cloneRecord copies what alignClocks changes.
func cloneRecord(r version.Record) version.Record {
	r.Intervals, r.Withdrawals = slices.Clone(r.Intervals), slices.Clone(r.Withdrawals)
	r.Servers, r.Peers = slices.Clone(r.Servers), slices.Clone(r.Peers)
	r.ModeChanges, r.Pauses = slices.Clone(r.ModeChanges), slices.Clone(r.Pauses)
	for i := range r.Servers {
		r.Servers[i].Buckets = slices.Clone(r.Servers[i].Buckets)
	}
	return r
}

// alignClocks aligns the times of all records. Hybrid clocks that accept each other's
// timestamps are aligned already. A clock that leads or lags by more than
// version.MaxClockLead is shifted by the median lead that other processes observed. If no
// process observed it and it observed none, its times are not comparable.
func (a *Audit) alignClocks() {
	leads := map[int][]int64{} // ms, by the process that leads
	for _, process := range a.incarnations {
		for _, h := range process.Peers {
			leads[h.Process] = append(leads[h.Process], h.ClockLeadMillis)
		}
	}
	for _, process := range a.incarnations {
		observed := leads[process.Number]
		switch {
		case len(observed) == 0 && len(process.Peers) == 0 && len(a.incarnations) > 1:
			process.clock.Why = "no process heard it and it heard none: its times can't be compared with the others'"
		case len(observed) == 0:
			process.clock = ClockAlignment{Trusted: true}
		default:
			slices.Sort(observed)
			lead := time.Duration(observed[len(observed)/2]) * time.Millisecond
			process.clock.Trusted = true
			if lead.Abs() > version.MaxClockLead {
				process.clock.Shift = -lead
				process.clock.Why = fmt.Sprintf("its clock is off by %v by the word of %d processes", lead.Round(time.Millisecond), len(observed))
				process.shiftTimes(-lead)
			}
		}
	}
}

// shiftTimes shifts all times of a record.
func (p *incarnation) shiftTimes(by time.Duration) {
	move := func(s *version.Timestamp) {
		if *s != 0 {
			*s = s.Add(by)
		}
	}
	for _, s := range []*version.Timestamp{&p.Incarnation, &p.TakenAt, &p.Confirmed, &p.Merged.From, &p.Merged.Until} {
		move(s)
	}
	for i := range p.Intervals {
		move(&p.Intervals[i].From)
		move(&p.Intervals[i].Until)
	}
	for i := range p.Withdrawals {
		move(&p.Withdrawals[i].KnownAt)
		move(&p.Withdrawals[i].RestoredAt)
	}
	for i := range p.Servers {
		s := &p.Servers[i]
		move(&s.First)
		move(&s.Last)
		for k := range s.Buckets {
			move(&s.Buckets[k].From)
			move(&s.Buckets[k].To)
		}
	}
	for i := range p.Peers {
		move(&p.Peers[i].LastHeard)
	}
	for i := range p.ModeChanges {
		move(&p.ModeChanges[i].At)
	}
	for i := range p.Pauses {
		move(&p.Pauses[i].ResumedAt)
	}
}

// lastFrom returns the last message that a process received from another, and whether
// there is one.
func (p *incarnation) lastFrom(number int) (version.PeerVersion, bool) {
	i := slices.IndexFunc(p.Peers, func(h version.PeerVersion) bool { return h.Process == number })
	if i < 0 {
		return version.PeerVersion{}, false
	}
	return p.Peers[i], true
}

// nodeName returns the name of a node from its record, or its number without one.
func (a *Audit) nodeName(number int) string {
	if n := a.nodeNames[number]; n != "" {
		return n
	}
	return fmt.Sprintf("process %d", number)
}

// Now returns the time of the newest record. States and ages are as of this time.
func (a *Audit) Now() version.Timestamp { return a.now }
