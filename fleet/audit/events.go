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
	At   version.Stamp `json:"at"`
	What string        `json:"what"`
}

// Events tells what one node's processes have on record, by time.
func (a *Audit) Events(process string) []Event {
	var out []Event
	add := func(at version.Stamp, format string, args ...any) {
		if at != 0 {
			out = append(out, Event{at, fmt.Sprintf(format, args...)})
		}
	}
	for _, l := range a.lives {
		if l.Process != process {
			continue
		}
		add(l.Life, "started")
		for _, b := range l.Before {
			add(b.Life, "a former process of it started; it sent %d until %s, at the end on %v", b.Sends, Clocked(b.Until), b.Last.List)
		}
		if l.Folded.Intervals > 0 {
			add(l.Folded.From, "%d versions, %d sends, folded together", l.Folded.Intervals, l.Folded.Sends)
		}
		for _, i := range l.Acts {
			add(i.From, "acts on %v (settings %04x, build %04x, words %04x): %d sends", i.Version.List, i.Version.Settings, i.Version.Build, i.Version.Words, i.Sends)
		}
		for _, w := range l.Withdrawals {
			by := "its own source"
			if w.From != version.Own {
				by = a.name(w.From)
			}
			add(w.Known, "knows that %s is %v, by %s, version %v", w.Server, w.State, by, w.List)
			add(w.Again, "has %s back, version %v", w.Server, w.Back)
		}
		for _, r := range l.Refused {
			add(r.First, "refuses that %s is withdrawn, version %v, by %s; %d times until %s", r.Server, r.List, a.name(r.From), r.Times, Clocked(r.Last))
		}
		for _, c := range l.Changes {
			add(c.At, "%s%s", c.To, because(c.Why))
		}
		for _, s := range l.Stops {
			add(s.Until, "goes on after it stood still for %v", s.For.Round(time.Millisecond))
		}
		add(l.Confirmed, "heard its own source last")
		for _, h := range l.Heard {
			add(h.At, "heard %s last, which acted on %v", a.name(h.Process), h.Version.List)
		}
		if l.RefusedOld > 0 {
			add(l.At, "has refused %d requests, as what it knew was too old", l.RefusedOld)
		}
		if l.Ended {
			add(l.At, "ended in order")
		} else {
			add(l.At, "its record was taken")
		}
	}
	for _, l := range a.lives {
		if h, ok := l.heard(a.numberOf(process)); ok && l.Process != process {
			out = append(out, Event{h.At, fmt.Sprintf("was heard by %s last, acting on %v", l.Process, h.Version.List)})
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

// Clocked words a time of day, UTC, to a millisecond.
func Clocked(s version.Stamp) string {
	return time.UnixMilli(s.Time().Milliseconds()).UTC().Format("15:04:05.000")
}
