// Package audit merges the records of many processes, which may be incomplete or of
// earlier incarnations. It reports who acted on which version when, which sends
// happened although the sender or another process knew better, how long changes took to
// propagate, and who is behind, why, and with what confidence. What there is no
// evidence for is reported as unknown. It does no I/O, reads no clock and starts no
// goroutine.
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
	// Grace is how long sends may still go to a server after its withdrawal is known.
	Grace time.Duration
	// Tolerance allows for clock skew and network delay between two processes.
	Tolerance time.Duration
	// FleetSize is the number of processes of the fleet, to name those without a
	// record. 0: as many as the records name.
	FleetSize int
}

// DefaultOptions returns the grace period of the rules and a tolerance for a network
// delay of a few ms.
func DefaultOptions() Options {
	return Options{Grace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond}
}

// Confidence tells how well a finding is supported.
type Confidence string

// The levels of confidence.
const (
	Certain Confidence = "certain" // the process's own record says so, uncontradicted
	Likely  Confidence = "likely"  // only other processes' records say so, or only one record
	Unknown Confidence = "unknown" // no evidence either way
)

// ClockAlignment tells how a process's times relate to those of the others.
type ClockAlignment struct {
	Shift   time.Duration `json:"shift"` // added to its times
	Trusted bool          `json:"trusted"`
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

// alignClocks aligns all times. Hybrid clocks that accept each other's timestamps are
// aligned already. One whose timestamps are rejected, or that rejects the others', is
// shifted by the lead that the others observed. One that nobody observed cannot be
// compared.
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

// shiftTimes shifts the times of a record.
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

// heard returns the last message that a process received from another.
func (p *incarnation) heard(number int) (version.PeerVersion, bool) {
	i := slices.IndexFunc(p.Peers, func(h version.PeerVersion) bool { return h.Process == number })
	if i < 0 {
		return version.PeerVersion{}, false
	}
	return p.Peers[i], true
}

// nodeName returns the name of a node, if a record has it.
func (a *Audit) nodeName(number int) string {
	if n := a.nodeNames[number]; n != "" {
		return n
	}
	return fmt.Sprintf("process %d", number)
}

// Now returns the time of the newest record, which the audit refers to.
func (a *Audit) Now() version.Timestamp { return a.now }
