package audit

import (
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// fresh is how old a record or a word may be to tell how a process stands now.
const fresh = 4 * time.Second

// State says how a process stands.
type State string

// The states.
const (
	UpToDate     State = "current"
	Behind       State = "behind"
	LedByPeers   State = "led" // behind by its own source, and all withdrawals are in force
	Ended        State = "ended"
	StateUnknown State = "unknown"
)

// Process says how one process of the fleet stands, as of the newest record.
type Process struct {
	Process           string            `json:"process"`
	Number            int               `json:"number"`
	State             State             `json:"state"`
	Version           version.Vector    `json:"version"` // that it acts on, as far as is known
	AppliedVersion    version.List      `json:"reached"` // all withdrawals up to it are in force there
	GenerationsBehind int               `json:"by"`      // generations that it is behind; -1: not comparable
	BehindSince       version.Timestamp `json:"since"`   // when the fleet went ahead of it; 0: it did not
	Why               string            `json:"why"`
	Confidence        Confidence        `json:"sure"`
	Mode              string            `json:"standing"` // as it judged itself; empty: not known
	LastSeen          version.Timestamp `json:"seen"`     // last sign of it
	Clock             ClockAlignment    `json:"clock"`
}

// NewestVersion is the newest version of the list that counts: the newest that two
// processes act on, or say that they do, as one alone may be wrong.
func (a *Audit) NewestVersion() version.List {
	claims := map[version.List]map[int]bool{}
	claim := func(v version.List, by int) {
		v.Digest = 0
		if claims[v] == nil {
			claims[v] = map[int]bool{}
		}
		claims[v][by] = true
	}
	for n, l := range a.byNumber {
		if len(l.Intervals) > 0 {
			claim(l.Intervals[len(l.Intervals)-1].Version.List, n)
		}
		for _, h := range l.Peers {
			claim(h.Version.List, h.Process)
		}
	}
	var best version.List
	found := false
	for v := range claims {
		backers := map[int]bool{}
		for o, by := range claims {
			if o.Epoch == v.Epoch && o.CompareGeneration(v) != version.Older {
				for n := range by {
					backers[n] = true
				}
			}
		}
		if len(backers) >= min(2, a.o.FleetSize) && (!found || v.CompareGeneration(best) == version.Newer) {
			best, found = v, true
		}
	}
	return best
}

// wentAhead is when the first process acted on a version that is newer than one.
func (a *Audit) wentAhead(v version.List) version.Timestamp {
	var at version.Timestamp
	for _, l := range a.lives {
		if !l.clock.Trusted {
			continue
		}
		for _, i := range l.Intervals {
			if i.Version.List.CompareGeneration(v) == version.Newer && (at == 0 || i.From < at) {
				at = i.From
			}
		}
	}
	return at
}

// Processes says how each process of the fleet stands.
func (a *Audit) Processes() []Process {
	newest := a.NewestVersion()
	var out []Process
	for n := range a.o.FleetSize {
		p := Process{Process: a.name(n), Number: n, State: StateUnknown, Confidence: Unknown, GenerationsBehind: -1}
		l := a.byNumber[n]
		word, by := a.lastWord(n)
		switch {
		case l == nil && word.LastHeard == 0:
			p.Why = "no record of it, and no other process on record heard it in a form that it knows: it crashed, is cut off, or its build is too old"
		case l == nil:
			p.Version, p.LastSeen = word.Version, word.LastHeard
			a.byOthers(&p, word, by, newest)
		default:
			a.byRecord(&p, l, word, newest)
		}
		out = append(out, p)
	}
	return out
}

// lastWord gives the newest word of a process that others have on record, and who
// has it.
func (a *Audit) lastWord(n int) (word version.PeerVersion, by *life) {
	for _, l := range a.lives {
		if h, ok := l.heard(n); ok && l.clock.Trusted && h.LastHeard > word.LastHeard {
			word, by = h, l
		}
	}
	return word, by
}

// byOthers judges a process that has no record by what others heard of it.
func (a *Audit) byOthers(p *Process, word version.PeerVersion, by *life, newest version.List) {
	if a.now.Sub(word.LastHeard) > fresh {
		p.Why = fmt.Sprintf("no record of it; %s heard it last %v ago, and it has crashed, is stopped or cut off since", by.Process, a.now.Sub(word.LastHeard).Round(100*time.Millisecond))
		return
	}
	a.place(p, word.Version.List, newest)
	p.Confidence, p.Why = Likely, "no record of it; by its last word to "+by.Process
	if p.Version.Format < version.FormatVersion {
		p.Why += ", which is of an older build"
	}
}

// place says how a version stands to the newest.
func (a *Audit) place(p *Process, v, newest version.List) {
	p.State, p.GenerationsBehind = UpToDate, 0
	if v.CompareGeneration(newest) != version.Older {
		return
	}
	p.State, p.BehindSince = Behind, a.wentAhead(v)
	if by, same := v.GenerationsBehind(newest); same {
		p.GenerationsBehind = by
	} else {
		p.GenerationsBehind = -1
	}
}

// byRecord judges a process by its own record, and by what others say of the time
// after it.
func (a *Audit) byRecord(p *Process, l *life, word version.PeerVersion, newest version.List) {
	p.Clock, p.AppliedVersion, p.LastSeen = l.clock, l.AppliedVersion, max(l.TakenAt, word.LastHeard)
	if n := len(l.Intervals); n > 0 {
		p.Version = l.Intervals[n-1].Version
	}
	if n := len(l.ModeChanges); n > 0 {
		p.Mode = l.ModeChanges[n-1].Mode
	}
	switch silent := a.now.Sub(l.TakenAt); {
	case !l.clock.Trusted:
		p.Why = l.clock.Why
		return
	case l.Ended:
		p.State, p.Confidence, p.Why = Ended, Certain, "it ended in order at "+FormatTime(l.TakenAt)
		return
	case silent > fresh && a.now.Sub(word.LastHeard) > fresh:
		p.Why = fmt.Sprintf("its record ends %v before the newest one and nobody heard it since: it crashed, is stopped, or its record was not to be had", silent.Round(100*time.Millisecond))
		return
	case silent > fresh && word.Version.List.CompareGeneration(p.Version.List) == version.Newer:
		p.Version = word.Version
		a.place(p, word.Version.List, newest)
		p.Confidence, p.Why = Likely, "its record is old; by its last word to others"
		return
	}
	a.place(p, p.Version.List, newest)
	p.Confidence = Certain
	if p.State != Behind {
		if a.now.Sub(l.Confirmed) > fresh && l.Confirmed != 0 {
			p.Confidence, p.Why = Likely, fmt.Sprintf("its own source has been silent for %v", a.now.Sub(l.Confirmed).Round(100*time.Millisecond))
		}
		return
	}
	if l.AppliedVersion.CompareGeneration(newest) != version.Older {
		p.State = LedByPeers
	}
	p.Why = a.why(l, p)
	if a.now.Sub(p.BehindSince) < time.Second {
		p.Confidence, p.Why = Likely, "the newest version is younger than a second"
	}
}

// why says why a process is behind, as far as its record and the others' tell.
func (a *Audit) why(l *life, p *Process) string {
	heardAny := slices.ContainsFunc(l.Peers, func(h version.PeerVersion) bool { return l.TakenAt.Sub(h.LastHeard) < fresh })
	var lost time.Duration
	stops := 0
	for _, s := range l.Pauses {
		if s.ResumedAt > p.BehindSince {
			lost += s.Duration
			stops++
		}
	}
	refused := slices.ContainsFunc(l.RefusedWithdrawals, func(r version.Refusal) bool {
		return l.TakenAt.Sub(r.Last) < fresh && r.List.CompareGeneration(p.Version.List) == version.Newer && !l.withdrew(r)
	})
	switch {
	case stops > 0 && l.Pauses[len(l.Pauses)-1].Duration >= time.Second:
		return fmt.Sprintf("stopped: it stood still for %v in all since then", lost.Round(time.Millisecond))
	case stops > 2:
		return fmt.Sprintf("starved: it did not run for %v in all, %d times, since then", lost.Round(time.Millisecond), stops)
	case refused:
		return l.refuses()
	case l.Confirmed == 0 || l.TakenAt.Sub(l.Confirmed) > fresh/2:
		if !heardAny {
			return "cut off: neither its source nor another process is heard there"
		}
		return "cut off from its source, which it heard last at " + FormatTime(l.Confirmed)
	case l.ClockRejected > 0 && l.clock.Shift == 0:
		return "its source speaks and is itself behind, or another discovery; clocks were not believed there"
	}
	return "its own source speaks, and is itself behind or another discovery"
}

// withdrew tells whether a process has taken a withdrawal after all that it refused.
func (l *life) withdrew(r version.Refusal) bool {
	return slices.ContainsFunc(l.Withdrawals, func(w version.Withdrawal) bool {
		return w.Server == r.Server && w.RestoredAt == 0 && w.List.CompareGeneration(r.List) != version.Older
	})
}

// refuses words which withdrawals a process does not take.
func (l *life) refuses() string {
	n, first := 0, ""
	for _, r := range l.RefusedWithdrawals {
		if l.TakenAt.Sub(r.Last) < fresh && !l.withdrew(r) {
			n++
			if first == "" {
				first = r.Server
			}
		}
	}
	return fmt.Sprintf("refuses it: %d withdrawals that others tell it of, %s among them, would leave it too little of its list", n, first)
}
