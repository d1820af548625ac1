package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// episode is one withdrawal of a server, from when the first process knew of it until
// the server is restored.
type episode struct {
	server     string
	state      version.State
	list       version.List // first version of the withdrawal
	restoredBy version.List // first version that restores the server
	restored   bool
	first      version.Timestamp // when a process first knew from its own source or, if none did, at all
	fromSource bool              // first is from a process's own source
	restoredAt version.Timestamp // when a process first had it restored; 0: never
	known      []knowledge       // by time
}

type knowledge struct {
	*incarnation
	version.Withdrawal
}

// groupWithdrawals groups the withdrawals of all processes into episodes.
func (a *Audit) groupWithdrawals() {
	byServer := map[string][]knowledge{}
	for _, process := range a.incarnations {
		for _, w := range process.Withdrawals {
			byServer[w.Server] = append(byServer[w.Server], knowledge{process, w})
		}
	}
	for server, reports := range byServer {
		slices.SortFunc(reports, func(x, y knowledge) int {
			switch x.List.CompareGeneration(y.List) {
			case version.Older:
				return -1
			case version.Newer:
				return 1
			}
			return cmp.Or(cmp.Compare(x.KnownAt, y.KnownAt), cmp.Compare(x.Number, y.Number))
		})
		var e *episode
		for _, k := range reports {
			if e == nil || e.restored && k.List.CompareGeneration(e.restoredBy) != version.Older {
				e = &episode{server: server, list: k.List}
				a.episodes = append(a.episodes, e)
			}
			e.add(k)
		}
	}
	for _, e := range a.episodes {
		slices.SortFunc(e.known, func(x, y knowledge) int {
			return cmp.Or(cmp.Compare(x.KnownAt, y.KnownAt), cmp.Compare(x.Number, y.Number))
		})
		for _, k := range e.known {
			if own := k.ReportedBy == version.OwnSource; k.clock.Trusted && (e.first == 0 || own && !e.fromSource) {
				e.first, e.fromSource = k.KnownAt, own
			}
			if k.clock.Trusted && k.RestoredAt != 0 && (e.restoredAt == 0 || k.RestoredAt < e.restoredAt) {
				e.restoredAt = k.RestoredAt
			}
		}
	}
	slices.SortFunc(a.episodes, func(x, y *episode) int { return cmp.Or(cmp.Compare(x.first, y.first), cmp.Compare(x.server, y.server)) })
}

func (e *episode) add(k knowledge) {
	e.known = append(e.known, k)
	e.state = max(e.state, k.State)
	if k.RestoredAt != 0 && (!e.restored || k.RestoredBy.CompareGeneration(e.restoredBy) == version.Older) {
		e.restored, e.restoredBy = true, k.RestoredBy
	}
}

// knowledgeOf returns what a process knew of a withdrawal.
func (e *episode) knowledgeOf(process *incarnation) (knowledge, bool) {
	i := slices.IndexFunc(e.known, func(k knowledge) bool { return k.incarnation == process })
	if i < 0 {
		return knowledge{}, false
	}
	return e.known[i], true
}

// LateSendReport describes the sends of a process to a withdrawn server.
type LateSendReport struct {
	Process     string            `json:"process"`
	Number      int               `json:"number"`
	Incarnation version.Timestamp `json:"life"`
	Server      string            `json:"server"`
	State       string            `json:"state"`
	Version     version.List      `json:"version"` // of the withdrawal
	SelfKnew    bool              `json:"own"`     // the process itself knew; otherwise only another one
	MinSends    uint64            `json:"least"`   // sends that were certainly late
	MaxSends    uint64            `json:"most"`    // including those that may have been late
	LateFrom    version.Timestamp `json:"from"`    // time from which sends were late
	LastSend    version.Timestamp `json:"last"`
	Lateness    time.Duration     `json:"late"` // of the last send after a process first knew
	Evidence    []string          `json:"path"` // which processes knew when, and how the sender could have known
	Confidence  Confidence        `json:"sure"`
}

// LateSends lists the sends to withdrawn servers after the grace period, by time. The
// sender or another process knew of the withdrawal.
func (a *Audit) LateSends() []LateSendReport {
	var out []LateSendReport
	for _, e := range a.episodes {
		for _, process := range a.incarnations {
			out = append(out, a.lateSends(e, process)...)
		}
	}
	slices.SortFunc(out, func(x, y LateSendReport) int {
		return cmp.Or(cmp.Compare(x.LateFrom, y.LateFrom), cmp.Compare(x.Number, y.Number), cmp.Compare(x.Server, y.Server))
	})
	return out
}

func (a *Audit) lateSends(withdrawal *episode, process *incarnation) []LateSendReport {
	i := slices.IndexFunc(process.Servers, func(sends version.ServerSends) bool { return sends.Name == withdrawal.server })
	if i < 0 {
		return nil
	}
	sends := process.Servers[i]
	var out []LateSendReport
	add := func(selfKnew bool, from, to version.Timestamp) {
		least, most, last := countSends(&sends, from, to)
		if least == 0 {
			return
		}
		report := LateSendReport{Process: process.Process, Number: process.Number, Incarnation: process.Incarnation, Server: withdrawal.server, State: withdrawal.state.String(), Version: withdrawal.list, SelfKnew: selfKnew,
			MinSends: least, MaxSends: most, LateFrom: from, LastSend: last, Lateness: last.Sub(withdrawal.first), Evidence: a.evidence(withdrawal, process, last), Confidence: Certain}
		if !withdrawal.fromSource {
			report.Confidence = Likely // no record shows that a source withdrew the server
		}
		out = append(out, report)
	}
	allowance := a.options.Grace + a.options.Tolerance
	end := process.TakenAt + 1
	if k, knew := withdrawal.knowledgeOf(process); knew {
		until := end
		if k.RestoredAt != 0 {
			until = k.RestoredAt
		}
		add(true, k.KnownAt.Add(allowance), until)
		end = min(end, k.KnownAt.Add(a.options.Grace))
	}
	if !process.clock.Trusted || withdrawal.first == 0 {
		return out
	}
	if withdrawal.restoredAt != 0 { // restored: later sends are not late
		end = min(end, withdrawal.restoredAt)
	}
	add(false, max(withdrawal.first.Add(allowance), process.Incarnation), end)
	return out
}

// countSends returns the number of sends that certainly and at most fell between two
// times, and the time of the last one.
func countSends(sends *version.ServerSends, from, to version.Timestamp) (least, most uint64, last version.Timestamp) {
	for _, bucket := range sends.Buckets {
		switch {
		case bucket.From >= from && bucket.To < to:
			least, most, last = least+bucket.Sends, most+bucket.Sends, bucket.To
		case bucket.To >= from && bucket.To < to: // at least the last send of the bucket
			least, most, last = least+1, most+bucket.Sends, bucket.To
		case bucket.From >= from && bucket.From < to: // at least the first send of the bucket
			least, most, last = least+1, most+bucket.Sends, bucket.From
		case bucket.From < from && bucket.To >= to:
			most += bucket.Sends
		}
	}
	return least, most, last
}

// evidence describes which processes knew of a withdrawal and when, and how the sender
// could have known.
func (a *Audit) evidence(withdrawal *episode, sender *incarnation, at version.Timestamp) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for i, k := range withdrawal.known {
		if i == 3 {
			add("and %d more", len(withdrawal.known)-i)
			break
		}
		if k.ReportedBy == version.OwnSource {
			add("%s knew at %s by its own source, version %v", k.Process, FormatTime(k.KnownAt), k.List)
		} else {
			add("%s knew at %s by %s, version %v", k.Process, FormatTime(k.KnownAt), a.nodeName(k.ReportedBy), k.List)
		}
	}
	heard := false
	for _, k := range withdrawal.known {
		if h, ok := sender.lastFrom(k.Number); ok && k.incarnation != sender && h.LastHeard > k.KnownAt && h.LastHeard <= at {
			add("%s heard %s at %s, which knew by then", sender.Process, k.Process, FormatTime(h.LastHeard))
			heard = true
			break
		}
	}
	if k, knew := withdrawal.knowledgeOf(sender); knew && k.KnownAt <= at {
		add("%s knew itself since %s", sender.Process, FormatTime(k.KnownAt))
	} else if !heard {
		add("no word from one that knew to %s is on record before its last send", sender.Process)
	}
	for _, s := range sender.Pauses {
		if s.ResumedAt <= at && at.Sub(s.ResumedAt) < time.Second {
			add("%s stood still for %v until %s", sender.Process, s.Duration.Round(time.Millisecond), FormatTime(s.ResumedAt))
		}
	}
	add("%s sent last at %s, acting on %v", sender.Process, FormatTime(at), sender.versionAt(at))
	return out
}

// versionAt returns the version that a process acted on at a time.
func (p *incarnation) versionAt(at version.Timestamp) version.List {
	var v version.List
	for _, i := range p.Intervals {
		if i.From <= at {
			v = i.Version.List
		}
	}
	return v
}
