package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// Event is an event in a process's record.
type Event struct {
	At          version.Timestamp `json:"at"`
	Description string            `json:"what"`
}

// Events lists the recorded events of one node's processes, by time.
func (a *Audit) Events(process string) []Event {
	var out []Event
	add := func(at version.Timestamp, format string, args ...any) {
		if at != 0 {
			out = append(out, Event{at, fmt.Sprintf(format, args...)})
		}
	}
	for _, l := range a.incarnations {
		if l.Process != process {
			continue
		}
		add(l.Incarnation, "started")
		for _, b := range l.Predecessors {
			add(b.Incarnation, "a predecessor started; it sent %d until %s, last acting on %v", b.Sends, FormatTime(b.Until), b.LastVersion.List)
		}
		if l.Merged.Intervals > 0 {
			add(l.Merged.From, "%d versions with %d sends, merged", l.Merged.Intervals, l.Merged.Sends)
		}
		for _, i := range l.Intervals {
			add(i.From, "acts on %v (settings %04x, build %04x, words %04x): %d sends", i.Version.List, i.Version.Settings, i.Version.Build, i.Version.Maintenance, i.Sends)
		}
		for _, w := range l.Withdrawals {
			by := "its own source"
			if w.ReportedBy != version.OwnSource {
				by = a.nodeName(w.ReportedBy)
			}
			add(w.KnownAt, "knows that %s is %v, by %s, version %v", w.Server, w.State, by, w.List)
			add(w.RestoredAt, "uses %s again, version %v", w.Server, w.RestoredBy)
		}
		for _, r := range l.RefusedWithdrawals {
			add(r.First, "refuses the withdrawal of %s, version %v, by %s; %d times until %s", r.Server, r.List, a.nodeName(r.ReportedBy), r.Count, FormatTime(r.Last))
		}
		for _, c := range l.ModeChanges {
			add(c.At, "%s%s", c.Mode, reasonSuffix(c.Why))
		}
		for _, s := range l.Pauses {
			add(s.ResumedAt, "resumed after a pause of %v", s.Duration.Round(time.Millisecond))
		}
		add(l.Confirmed, "heard its own source last")
		for _, h := range l.Peers {
			add(h.LastHeard, "heard %s last, which acted on %v", a.nodeName(h.Process), h.Version.List)
		}
		if l.StaleRefusals > 0 {
			add(l.TakenAt, "has refused %d requests, as what it knew was too old", l.StaleRefusals)
		}
		if l.Ended {
			add(l.TakenAt, "ended in order")
		} else {
			add(l.TakenAt, "its record was taken")
		}
	}
	for _, l := range a.incarnations {
		if h, ok := l.heard(a.numberOf(process)); ok && l.Process != process {
			out = append(out, Event{h.LastHeard, fmt.Sprintf("was heard by %s last, acting on %v", l.Process, h.Version.List)})
		}
	}
	slices.SortStableFunc(out, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return out
}

func reasonSuffix(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

func (a *Audit) numberOf(process string) int {
	for n, name := range a.nodeNames {
		if name == process {
			return n
		}
	}
	return -1
}

// FormatTime formats a time of day, UTC, to a millisecond.
func FormatTime(s version.Timestamp) string {
	return time.UnixMilli(s.Time().Milliseconds()).UTC().Format("15:04:05.000")
}
