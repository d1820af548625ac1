package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// episode is one withdrawal of a server, from the first process that knew until it
// is given back.
type episode struct {
	server string
	state  version.State
	list   version.List // the first version that says so
	back   version.List // the first that gives it back
	given  bool
	first  version.Timestamp // when the first process knew of its own source; of any, if none did
	source bool              // one did
	again  version.Timestamp // when the first process had it back; 0: none had
	knows  []knower          // by time
}

type knower struct {
	*life
	version.Withdrawal
}

// find puts the processes' withdrawals together.
func (a *Audit) find() {
	by := map[string][]knower{}
	for _, l := range a.lives {
		for _, w := range l.Withdrawals {
			by[w.Server] = append(by[w.Server], knower{l, w})
		}
	}
	for server, all := range by {
		slices.SortFunc(all, func(x, y knower) int {
			switch x.List.CompareGeneration(y.List) {
			case version.Older:
				return -1
			case version.Newer:
				return 1
			}
			return cmp.Or(cmp.Compare(x.KnownAt, y.KnownAt), cmp.Compare(x.Number, y.Number))
		})
		var e *episode
		for _, k := range all {
			if e == nil || e.given && k.List.CompareGeneration(e.back) != version.Older {
				e = &episode{server: server, list: k.List}
				a.episodes = append(a.episodes, e)
			}
			e.add(k)
		}
	}
	for _, e := range a.episodes {
		slices.SortFunc(e.knows, func(x, y knower) int {
			return cmp.Or(cmp.Compare(x.KnownAt, y.KnownAt), cmp.Compare(x.Number, y.Number))
		})
		for _, k := range e.knows {
			if own := k.ReportedBy == version.OwnSource; k.clock.Trusted && (e.first == 0 || own && !e.source) {
				e.first, e.source = k.KnownAt, own
			}
			if k.clock.Trusted && k.RestoredAt != 0 && (e.again == 0 || k.RestoredAt < e.again) {
				e.again = k.RestoredAt
			}
		}
	}
	slices.SortFunc(a.episodes, func(x, y *episode) int { return cmp.Or(cmp.Compare(x.first, y.first), cmp.Compare(x.server, y.server)) })
}

func (e *episode) add(k knower) {
	e.knows = append(e.knows, k)
	e.state = max(e.state, k.State)
	if k.RestoredAt != 0 && (!e.given || k.RestoredBy.CompareGeneration(e.back) == version.Older) {
		e.given, e.back = true, k.RestoredBy
	}
}

// of gives what a process knew of a withdrawal.
func (e *episode) of(l *life) (knower, bool) {
	i := slices.IndexFunc(e.knows, func(k knower) bool { return k.life == l })
	if i < 0 {
		return knower{}, false
	}
	return e.knows[i], true
}

// LateSendReport is sends to a server that wanted nothing new.
type LateSendReport struct {
	Process    string            `json:"process"`
	Number     int               `json:"number"`
	Life       version.Timestamp `json:"life"`
	Server     string            `json:"server"`
	State      string            `json:"state"`
	Version    version.List      `json:"version"` // that withdrew it
	SelfKnew   bool              `json:"own"`     // the process itself knew; else another did
	MinSends   uint64            `json:"least"`   // sends that were too late for certain
	MaxSends   uint64            `json:"most"`    // with those that may have been
	LateFrom   version.Timestamp `json:"from"`    // from when on sends were too late
	LastSend   version.Timestamp `json:"last"`
	Lateness   time.Duration     `json:"late"` // the last one after the first that knew
	Evidence   []string          `json:"path"` // who knew when, and how the sender could have
	Confidence Confidence        `json:"sure"`
}

// LateSends lists the sends that happened although somebody knew better, by time.
func (a *Audit) LateSends() []LateSendReport {
	var out []LateSendReport
	for _, e := range a.episodes {
		for _, l := range a.lives {
			out = append(out, a.breaks(e, l)...)
		}
	}
	slices.SortFunc(out, func(x, y LateSendReport) int {
		return cmp.Or(cmp.Compare(x.LateFrom, y.LateFrom), cmp.Compare(x.Number, y.Number), cmp.Compare(x.Server, y.Server))
	})
	return out
}

func (a *Audit) breaks(e *episode, l *life) []LateSendReport {
	i := slices.IndexFunc(l.Servers, func(s version.ServerSends) bool { return s.Name == e.server })
	if i < 0 {
		return nil
	}
	s := l.Servers[i]
	var out []LateSendReport
	add := func(own bool, from, to version.Timestamp) {
		least, most, last := count(&s, from, to)
		if least == 0 {
			return
		}
		b := LateSendReport{Process: l.Process, Number: l.Number, Life: l.Incarnation, Server: e.server, State: e.state.String(), Version: e.list, SelfKnew: own,
			MinSends: least, MaxSends: most, LateFrom: from, LastSend: last, Lateness: last.Sub(e.first), Evidence: a.path(e, l, last), Confidence: Certain}
		if !e.source {
			b.Confidence = Likely // nobody's record says that a source said so
		}
		out = append(out, b)
	}
	wait := a.o.Grace + a.o.Tolerance
	end := l.TakenAt + 1
	if k, knew := e.of(l); knew {
		until := end
		if k.RestoredAt != 0 {
			until = k.RestoredAt
		}
		add(true, k.KnownAt.Add(wait), until)
		end = min(end, k.KnownAt.Add(a.o.Grace))
	}
	if !l.clock.Trusted || e.first == 0 {
		return out
	}
	if e.again != 0 { // from then on nobody's knowledge was better
		end = min(end, e.again)
	}
	add(false, max(e.first.Add(wait), l.Incarnation), end)
	return out
}

// count gives how many sends to a server fell for certain, and at most, between two
// times, and the last of them.
func count(s *version.ServerSends, from, to version.Timestamp) (least, most uint64, last version.Timestamp) {
	for _, m := range s.Buckets {
		switch {
		case m.From >= from && m.To < to:
			least, most, last = least+m.Sends, most+m.Sends, m.To
		case m.To >= from && m.To < to: // its last one at least
			least, most, last = least+1, most+m.Sends, m.To
		case m.From >= from && m.From < to: // its first one at least
			least, most, last = least+1, most+m.Sends, m.From
		case m.From < from && m.To >= to:
			most += m.Sends
		}
	}
	return least, most, last
}

// path tells who knew of a withdrawal when, and how one that sent could have known.
func (a *Audit) path(e *episode, l *life, at version.Timestamp) []string {
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for i, k := range e.knows {
		if i == 3 {
			say("and %d more", len(e.knows)-i)
			break
		}
		if k.ReportedBy == version.OwnSource {
			say("%s knew at %s by its own source, version %v", k.Process, FormatTime(k.KnownAt), k.List)
		} else {
			say("%s knew at %s by %s, version %v", k.Process, FormatTime(k.KnownAt), a.name(k.ReportedBy), k.List)
		}
	}
	heard := false
	for _, k := range e.knows {
		if h, ok := l.heard(k.Number); ok && k.life != l && h.LastHeard > k.KnownAt && h.LastHeard <= at {
			say("%s heard %s at %s, which knew by then", l.Process, k.Process, FormatTime(h.LastHeard))
			heard = true
			break
		}
	}
	if k, knew := e.of(l); knew && k.KnownAt <= at {
		say("%s knew itself since %s", l.Process, FormatTime(k.KnownAt))
	} else if !heard {
		say("no word from one that knew to %s is on record before its last send", l.Process)
	}
	for _, s := range l.Pauses {
		if s.ResumedAt <= at && at.Sub(s.ResumedAt) < time.Second {
			say("%s stood still for %v until %s", l.Process, s.Duration.Round(time.Millisecond), FormatTime(s.ResumedAt))
		}
	}
	say("%s sent last at %s, acting on %v", l.Process, FormatTime(at), l.actedOn(at))
	return out
}

// actedOn gives the version that a process acted on at a time.
func (l *life) actedOn(at version.Timestamp) version.List {
	var v version.List
	for _, i := range l.Intervals {
		if i.From <= at {
			v = i.Version.List
		}
	}
	return v
}
