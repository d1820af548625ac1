package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// Event is something that a process has on record.
type Event struct {
	At          version.Timestamp `json:"at"`
	Description string            `json:"what"`
}

// Events tells what one node's processes have on record, by time.
func (a *Audit) Events(process string) []Event {
	var out []Event
	add := func(at version.Timestamp, format string, args ...any) {
		if at != 0 {
			out = append(out, Event{at, fmt.Sprintf(format, args...)})
		}
	}
	for _, l := range a.lives {
		if l.Process != process {
			continue
		}
		add(l.Incarnation, "started")
		for _, b := range l.Predecessors {
			add(b.Incarnation, "a former process of it started; it sent %d until %s, at the end on %v", b.Sends, FormatTime(b.Until), b.LastVersion.List)
		}
		if l.Merged.Intervals > 0 {
			add(l.Merged.From, "%d versions, %d sends, folded together", l.Merged.Intervals, l.Merged.Sends)
		}
		for _, i := range l.Intervals {
			add(i.From, "acts on %v (settings %04x, build %04x, words %04x): %d sends", i.Version.List, i.Version.Settings, i.Version.Build, i.Version.Maintenance, i.Sends)
		}
		for _, w := range l.Withdrawals {
			by := "its own source"
			if w.ReportedBy != version.OwnSource {
				by = a.name(w.ReportedBy)
			}
			add(w.KnownAt, "knows that %s is %v, by %s, version %v", w.Server, w.State, by, w.List)
			add(w.RestoredAt, "has %s back, version %v", w.Server, w.RestoredBy)
		}
		for _, r := range l.RefusedWithdrawals {
			add(r.First, "refuses that %s is withdrawn, version %v, by %s; %d times until %s", r.Server, r.List, a.name(r.ReportedBy), r.Count, FormatTime(r.Last))
		}
		for _, c := range l.ModeChanges {
			add(c.At, "%s%s", c.Mode, because(c.Why))
		}
		for _, s := range l.Pauses {
			add(s.ResumedAt, "goes on after it stood still for %v", s.Duration.Round(time.Millisecond))
		}
		add(l.Confirmed, "heard its own source last")
		for _, h := range l.Peers {
			add(h.LastHeard, "heard %s last, which acted on %v", a.name(h.Process), h.Version.List)
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
	for _, l := range a.lives {
		if h, ok := l.heard(a.numberOf(process)); ok && l.Process != process {
			out = append(out, Event{h.LastHeard, fmt.Sprintf("was heard by %s last, acting on %v", l.Process, h.Version.List)})
		}
	}
	slices.SortStableFunc(out, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return out
}

func because(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

func (a *Audit) numberOf(process string) int {
	for n, name := range a.names {
		if name == process {
			return n
		}
	}
	return -1
}

// FormatTime words a time of day, UTC, to a millisecond.
func FormatTime(s version.Timestamp) string {
	return time.UnixMilli(s.Time().Milliseconds()).UTC().Format("15:04:05.000")
}
