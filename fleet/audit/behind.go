package audit

import (
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// freshFor is the maximum age of a record or message that shows the current state.
const freshFor = 4 * time.Second

// State is how current a process is.
type State string

// The states.
const (
	UpToDate     State = "current"
	Behind       State = "behind"
	LedByPeers   State = "led" // its own source is behind, but all withdrawals are in force
	Ended        State = "ended"
	StateUnknown State = "unknown"
)

// Process is the state of one process of the fleet as of the newest record.
type Process struct {
	Process           string            `json:"process"`
	Number            int               `json:"number"`
	State             State             `json:"state"`
	Version           version.Vector    `json:"version"` // version that it acts on, as far as known
	AppliedVersion    version.List      `json:"reached"` // all withdrawals up to it are in force there
	GenerationsBehind int               `json:"by"`      // -1: not comparable
	BehindSince       version.Timestamp `json:"since"`   // when a process first acted on a newer version; 0: not behind
	Why               string            `json:"why"`
	Confidence        Confidence        `json:"sure"`
	Mode              string            `json:"standing"` // by its own record; empty: unknown
	LastSeen          version.Timestamp `json:"seen"`     // last record of it or message from it
	Clock             ClockAlignment    `json:"clock"`
}

// NewestVersion returns the newest list version that at least two processes act on or
// claim to act on: a single one may be wrong.
func (a *Audit) NewestVersion() version.List {
	claims := map[version.List]map[int]bool{}
	claim := func(v version.List, by int) {
		v.Digest = 0
		if claims[v] == nil {
			claims[v] = map[int]bool{}
		}
		claims[v][by] = true
	}
	for n, process := range a.byNumber {
		if len(process.Intervals) > 0 {
			claim(process.Intervals[len(process.Intervals)-1].Version.List, n)
		}
		for _, h := range process.Peers {
			claim(h.Version.List, h.Process)
		}
	}
	var best version.List
	found := false
	for v := range claims {
		supporters := map[int]bool{}
		for other, by := range claims {
			if other.Epoch == v.Epoch && other.CompareGeneration(v) != version.Older {
				for n := range by {
					supporters[n] = true
				}
			}
		}
		if len(supporters) >= min(2, a.options.FleetSize) && (!found || v.CompareGeneration(best) == version.Newer) {
			best, found = v, true
		}
	}
	return best
}

// firstNewer returns when a process first acted on a version newer than v.
func (a *Audit) firstNewer(v version.List) version.Timestamp {
	var at version.Timestamp
	for _, process := range a.incarnations {
		if !process.clock.Trusted {
			continue
		}
		for _, i := range process.Intervals {
			if i.Version.List.CompareGeneration(v) == version.Newer && (at == 0 || i.From < at) {
				at = i.From
			}
		}
	}
	return at
}

// Processes returns the state of each process of the fleet.
func (a *Audit) Processes() []Process {
	newest := a.NewestVersion()
	var out []Process
	for n := range a.options.FleetSize {
		p := Process{Process: a.nodeName(n), Number: n, State: StateUnknown, Confidence: Unknown, GenerationsBehind: -1}
		record := a.byNumber[n]
		report, reporter := a.lastReport(n)
		switch {
		case record == nil && report.LastHeard == 0:
			p.Why = "no record of it, and no process on record received a message of a known format from it: it crashed, is cut off, or its build is too old"
		case record == nil:
			p.Version, p.LastSeen = report.Version, report.LastHeard
			a.judgeByPeers(&p, report, reporter, newest)
		default:
			a.judgeByRecord(&p, record, report, newest)
		}
		out = append(out, p)
	}
	return out
}

// lastReport returns the newest message from a process on the others' records, and its
// receiver.
func (a *Audit) lastReport(n int) (report version.PeerVersion, reporter *incarnation) {
	for _, process := range a.incarnations {
		if h, ok := process.lastFrom(n); ok && process.clock.Trusted && h.LastHeard > report.LastHeard {
			report, reporter = h, process
		}
	}
	return report, reporter
}

// judgeByPeers judges a process without a record by what others received from it.
func (a *Audit) judgeByPeers(process *Process, report version.PeerVersion, reporter *incarnation, newest version.List) {
	if a.now.Sub(report.LastHeard) > freshFor {
		process.Why = fmt.Sprintf("no record of it; %s heard it last %v ago, and it has crashed, is stopped or cut off since", reporter.Process, a.now.Sub(report.LastHeard).Round(100*time.Millisecond))
		return
	}
	a.compareWithNewest(process, report.Version.List, newest)
	process.Confidence, process.Why = Likely, "no record of it; judged by its last message to "+reporter.Process
	if process.Version.Format < version.FormatVersion {
		process.Why += ", which is of an older build"
	}
}

// compareWithNewest sets the state of a process by comparing its list with the newest.
func (a *Audit) compareWithNewest(process *Process, list, newest version.List) {
	process.State, process.GenerationsBehind = UpToDate, 0
	if list.CompareGeneration(newest) != version.Older {
		return
	}
	process.State, process.BehindSince = Behind, a.firstNewer(list)
	if by, same := list.GenerationsBehind(newest); same {
		process.GenerationsBehind = by
	} else {
		process.GenerationsBehind = -1
	}
}

// judgeByRecord judges a process by its own record, and by what others received from it
// later.
func (a *Audit) judgeByRecord(process *Process, record *incarnation, report version.PeerVersion, newest version.List) {
	process.Clock, process.AppliedVersion, process.LastSeen = record.clock, record.AppliedVersion, max(record.TakenAt, report.LastHeard)
	if n := len(record.Intervals); n > 0 {
		process.Version = record.Intervals[n-1].Version
	}
	if n := len(record.ModeChanges); n > 0 {
		process.Mode = record.ModeChanges[n-1].Mode
	}
	switch silent := a.now.Sub(record.TakenAt); {
	case !record.clock.Trusted:
		process.Why = record.clock.Why
		return
	case record.Ended:
		process.State, process.Confidence, process.Why = Ended, Certain, "it ended in order at "+FormatTime(record.TakenAt)
		return
	case silent > freshFor && a.now.Sub(report.LastHeard) > freshFor:
		process.Why = fmt.Sprintf("its record ends %v before the newest one and nobody heard it since: it crashed, is stopped, or its record could not be fetched", silent.Round(100*time.Millisecond))
		return
	case silent > freshFor && report.Version.List.CompareGeneration(process.Version.List) == version.Newer:
		process.Version = report.Version
		a.compareWithNewest(process, report.Version.List, newest)
		process.Confidence, process.Why = Likely, "its record is old; judged by its last message to others"
		return
	}
	a.compareWithNewest(process, process.Version.List, newest)
	process.Confidence = Certain
	if process.State != Behind {
		if a.now.Sub(record.Confirmed) > freshFor && record.Confirmed != 0 {
			process.Confidence, process.Why = Likely, fmt.Sprintf("its own source has been silent for %v", a.now.Sub(record.Confirmed).Round(100*time.Millisecond))
		}
		return
	}
	if record.AppliedVersion.CompareGeneration(newest) != version.Older {
		process.State = LedByPeers
	}
	process.Why = a.reasonBehind(record, process)
	if a.now.Sub(process.BehindSince) < time.Second {
		process.Confidence, process.Why = Likely, "the newest version is younger than a second"
	}
}

// reasonBehind returns the reason why a process is behind, as far as records show it.
func (a *Audit) reasonBehind(record *incarnation, process *Process) string {
	heardAny := slices.ContainsFunc(record.Peers, func(h version.PeerVersion) bool { return record.TakenAt.Sub(h.LastHeard) < freshFor })
	var paused time.Duration
	pauses := 0
	for _, s := range record.Pauses {
		if s.ResumedAt > process.BehindSince {
			paused += s.Duration
			pauses++
		}
	}
	refused := slices.ContainsFunc(record.RefusedWithdrawals, func(r version.Refusal) bool {
		return record.TakenAt.Sub(r.Last) < freshFor && r.List.CompareGeneration(process.Version.List) == version.Newer && !record.appliedLater(r)
	})
	switch {
	case pauses > 0 && record.Pauses[len(record.Pauses)-1].Duration >= time.Second:
		return fmt.Sprintf("stopped: it was paused for %v in all since then", paused.Round(time.Millisecond))
	case pauses > 2:
		return fmt.Sprintf("starved: it did not run for %v in all, %d times, since then", paused.Round(time.Millisecond), pauses)
	case refused:
		return record.refusalReason()
	case record.Confirmed == 0 || record.TakenAt.Sub(record.Confirmed) > freshFor/2:
		if !heardAny {
			return "cut off: neither its source nor another process is heard there"
		}
		return "cut off from its source, which it heard last at " + FormatTime(record.Confirmed)
	case record.ClockRejected > 0 && record.clock.Shift == 0:
		return "its source is live but behind itself, or of another discovery; timestamps were rejected there"
	}
	return "its own source is live but behind itself, or of another discovery"
}

// appliedLater reports whether a process later applied a withdrawal that it had
// refused.
func (p *incarnation) appliedLater(r version.Refusal) bool {
	return slices.ContainsFunc(p.Withdrawals, func(w version.Withdrawal) bool {
		return w.Server == r.Server && w.RestoredAt == 0 && w.List.CompareGeneration(r.List) != version.Older
	})
}

// refusalReason describes the withdrawals that a process refuses.
func (p *incarnation) refusalReason() string {
	n, first := 0, ""
	for _, r := range p.RefusedWithdrawals {
		if p.TakenAt.Sub(r.Last) < freshFor && !p.appliedLater(r) {
			n++
			if first == "" {
				first = r.Server
			}
		}
	}
	return fmt.Sprintf("refuses it: %d withdrawals reported by peers, %s among them, exceed the limit on what peers may withdraw", n, first)
}
