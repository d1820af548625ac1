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

// Events lists the recorded events of all processes of a node, by time.
func (a *Audit) Events(name string) []Event {
	var out []Event
	add := func(at version.Timestamp, format string, args ...any) {
		if at != 0 {
			out = append(out, Event{at, fmt.Sprintf(format, args...)})
		}
	}
	for _, process := range a.incarnations {
		if process.Process != name {
			continue
		}
		add(process.Incarnation, "started")
		for _, b := range process.Predecessors {
			add(b.Incarnation, "a predecessor started; it sent %d until %s, last acting on %v", b.Sends, FormatTime(b.Until), b.LastVersion.List)
		}
		if process.Merged.Intervals > 0 {
			add(process.Merged.From, "%d versions with %d sends, merged", process.Merged.Intervals, process.Merged.Sends)
		}
		for _, i := range process.Intervals {
			add(i.From, "acts on %v (settings %04x, build %04x, words %04x): %d sends", i.Version.List, i.Version.Settings, i.Version.Build, i.Version.Maintenance, i.Sends)
		}
		for _, w := range process.Withdrawals {
			by := "its own source"
			if w.ReportedBy != version.OwnSource {
				by = a.nodeName(w.ReportedBy)
			}
			add(w.KnownAt, "knows that %s is %v, by %s, version %v", w.Server, w.State, by, w.List)
			add(w.RestoredAt, "uses %s again, version %v", w.Server, w.RestoredBy)
		}
		for _, r := range process.RefusedWithdrawals {
			add(r.First, "refuses the withdrawal of %s, version %v, by %s; %d times until %s", r.Server, r.List, a.nodeName(r.ReportedBy), r.Count, FormatTime(r.Last))
		}
		for _, c := range process.ModeChanges {
			add(c.At, "%s%s", c.Mode, reasonSuffix(c.Why))
		}
		for _, s := range process.Pauses {
			add(s.ResumedAt, "resumed after a pause of %v", s.Duration.Round(time.Millisecond))
		}
		add(process.Confirmed, "heard its own source last")
		for _, h := range process.Peers {
			add(h.LastHeard, "heard %s last, which acted on %v", a.nodeName(h.Process), h.Version.List)
		}
		if process.StaleRefusals > 0 {
			add(process.TakenAt, "has refused %d requests, as what it knew was too old", process.StaleRefusals)
		}
		if process.Ended {
			add(process.TakenAt, "ended in order")
		} else {
			add(process.TakenAt, "its record was taken")
		}
	}
	for _, process := range a.incarnations {
		if h, ok := process.lastFrom(a.numberOf(name)); ok && process.Process != name {
			out = append(out, Event{h.LastHeard, fmt.Sprintf("was heard by %s last, acting on %v", process.Process, h.Version.List)})
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

// FormatTime returns the UTC time of day of a timestamp, to a millisecond.
func FormatTime(s version.Timestamp) string {
	return time.UnixMilli(s.Time().Milliseconds()).UTC().Format("15:04:05.000")
}
