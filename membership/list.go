package membership

import (
	"maps"
	"math"
	"slices"
	"time"
)

// State is what a source says of a server.
type State int

const (
	// Up servers take requests.
	Up State = iota
	// Draining ones finish what they have.
	Draining
	// Removed ones are not on the list any more.
	Removed
)

// UpdateKind is the form of what a source says.
type UpdateKind int

const (
	// Changes name the servers that changed.
	Changes UpdateKind = iota
	// Full lists leave out what is gone.
	Full
	// HaveList is a whole list that was held before: the configuration's, or that of the
	// process before this one.
	Cached
)

// Entry is a server as a source lists it; Payload is the caller's.
type Entry[P any] struct {
	Name      string
	State     State
	StartedAt Time // its process's start as the source tells it, Unix time; 0: not told
	Payload   P
}

const (
	// catchUp is how long after its own source was heard again a node tells others what it
	// hears of servers that leave: who was turned away meanwhile may be waiting still.
	catchUp = 15 * time.Second
	// leastLeft is the part of the servers that are up by the own source which words of
	// neighbours leave in use: a neighbour that is wrong takes no more than the rest.
	leastLeft = 0.25
	// confirmIn is how long the own source, if it is heard, has to say what a neighbour did
	// before it is doubted; from giveUpIn on the neighbour's word holds.
	confirmIn = 500 * time.Millisecond
	giveUpIn  = 1200 * time.Millisecond

	never = Time(math.MaxInt64)
)

// List is what holds of the words of a node's sources: the configuration, its own source
// (discovery, at one address after the other), another process of the same node, and
// neighbours that were told of servers which leave. It is not safe for concurrent use.
type List[P any] struct {
	entries    map[string]Entry[P]
	generation uint64
	toldAt     Time            // when the own source told it; 0: it did not yet
	lost       bool            // the own source is not heard
	caughtUp   Time            // until when what leaves is told to neighbours
	words      map[string]Time // servers left out by neighbours' words: until when; never: until the own source is heard
	starts     map[string]Time // later starts that neighbours told, as their source told them
	changes    changes
	unsaid     map[string]Time // what neighbours said and the own source, which is heard, did not yet: since when
	doubted    bool            // it has been doubted for that
}

// NewList makes a list of nothing.
func NewList[P any]() *List[P] {
	return &List[P]{entries: map[string]Entry[P]{}, words: map[string]Time{}, starts: map[string]Time{}, unsaid: map[string]Time{}}
}

// Generation is that of what holds.
func (l *List[P]) Generation() uint64 { return l.generation }

// ReceivedAt is when the own source told what holds; 0: it did not yet.
func (l *List[P]) ReceivedAt() Time { return l.toldAt }

// Entries gives what the sources list, without neighbours' words. It is not to be changed.
func (l *List[P]) Entries() map[string]Entry[P] { return l.entries }

// Accept takes what a source says. left names the servers that neighbours are to be told of:
// they were up and are not any more.
func (l *List[P]) Apply(now Time, kind UpdateKind, generation uint64, entries []Entry[P]) (left []string) {
	before := map[string]Time{} // of those that are up: their starts
	for name, e := range l.entries {
		if e.State == Up {
			before[name] = e.StartedAt
		}
	}
	if kind != Changes {
		clear(l.entries)
	}
	for _, e := range entries {
		if e.State == Removed {
			delete(l.entries, e.Name)
		} else {
			l.entries[e.Name] = e
		}
	}
	l.generation, l.doubted = generation, false
	clear(l.words) // what it says is later
	clear(l.starts)
	clear(l.unsaid)
	if kind == Cached {
		return nil
	}
	left = l.noteChanges(before)
	if l.toldAt = now; l.lost {
		l.lost, l.caughtUp = false, now+catchUp
	}
	if now >= l.caughtUp {
		return nil
	}
	return left
}

// noteChanges remembers for neighbours what differs from the servers that were up before, and gives the
// names of those that are not up any more.
func (l *List[P]) noteChanges(before map[string]Time) (left []string) {
	for name := range before {
		if e, listed := l.entries[name]; !listed || e.State != Up {
			left = append(left, name)
		}
	}
	slices.Sort(left)
	for _, name := range left {
		l.changes.note(Change{Name: name, Generation: l.generation})
	}
	if len(before) == 0 {
		return left // all are new
	}
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		if was, known := before[name]; e.State == Up && e.StartedAt != 0 && (!known || e.StartedAt > was) {
			l.changes.note(Change{Name: name, Generation: l.generation, StartedAt: e.StartedAt})
		}
	}
	return left
}

// ChangesSince gives what the own source has said after a generation of servers that left or were restarted, as
// far as it is remembered; the latest of each server.
func (l *List[P]) ChangesSince(generation uint64) []Change { return l.changes.since(generation) }

// ApplySiblingList takes a list that another process of the same node was told; handoff.IsNewerList
// tells whether it goes before what holds.
func (l *List[P]) ApplySiblingList(generation uint64, toldAt Time, entries []Entry[P]) {
	l.Apply(toldAt, Cached, generation, entries)
	l.toldAt = toldAt
}

// MarkSourceLost takes that the own source is not heard.
func (l *List[P]) MarkSourceLost() { l.lost = true }

// WatchLost tells whether the own source is not heard.
func (l *List[P]) SourceLost() bool { return l.lost }

// ResetSource takes that the own source is at another address: generations begin anew.
func (l *List[P]) ResetSource() { l.generation, l.lost, l.changes = 0, true, nil }

// ApplyPeerDepartures takes a neighbour's word that servers leave. It holds at once while the own source
// is not heard, else if that does not say something soon, and until it does. It tells
// whether that changes anything now.
func (l *List[P]) ApplyPeerDepartures(now Time, names []string) (changed bool) {
	if l.lost {
		return l.leave(names, never)
	}
	for _, name := range names {
		if e, listed := l.entries[name]; listed && e.State == Up && !l.ExcludedByPeers(name) && l.unsaid[name] == 0 {
			l.unsaid[name] = max(1, now)
		}
	}
	return false
}

// ApplyPeerRestarts takes a neighbour's word that servers were restarted, while the own source is not heard. Such
// a server was gone, which this process was not told, and is back, which counts as told after Told at the
// latest: until then it is left out, and after it it is used as one that started then. It tells whether that
// changes anything now.
func (l *List[P]) ApplyPeerRestarts(now Time, restarted []Change) (changed bool) {
	if !l.lost {
		return false
	}
	for _, c := range restarted {
		e, listed := l.entries[c.Name]
		if !listed || e.State != Up || c.StartedAt <= max(e.StartedAt, l.starts[c.Name]) || e.StartedAt == 0 {
			continue
		}
		l.starts[c.Name], changed = c.StartedAt, true
		l.leave([]string{c.Name}, now+NotifiedAfter)
	}
	return changed
}

// StartedAt is the start of a server as a neighbour told it; 0: no neighbour told of a later one than the own
// source.
func (l *List[P]) PeerReportedStart(name string) Time { return l.starts[name] }

// ReviewPeerReports is to be called now and then: doubt tells that the own source, which should have
// said by now what a neighbour did, is to be asked; changed that the word holds now.
func (l *List[P]) ReviewPeerReports(now Time) (doubt, changed bool) {
	var names []string
	for name, since := range l.unsaid {
		if now-since >= confirmIn && !l.doubted {
			doubt, l.doubted = true, true
		}
		if now-since >= giveUpIn {
			names = append(names, name)
			delete(l.unsaid, name)
		}
	}
	slices.Sort(names)
	changed = l.leave(names, never)
	for name, until := range l.words {
		if now >= until {
			delete(l.words, name)
			changed = true
		}
	}
	return doubt, changed
}

// leave has words of neighbours hold for a time, as far as they leave enough servers in use.
func (l *List[P]) leave(names []string, until Time) (changed bool) {
	up, out := 0, 0
	for name, e := range l.entries {
		if e.State == Up {
			if up++; l.ExcludedByPeers(name) {
				out++
			}
		}
	}
	most := up - int(math.Ceil(leastLeft*float64(up)))
	for _, name := range names {
		e, listed := l.entries[name]
		switch {
		case !listed || e.State != Up:
		case l.ExcludedByPeers(name):
			l.words[name] = max(l.words[name], until)
		case out < most:
			l.words[name], changed = until, true
			out++
		}
	}
	return changed
}

// PeerReports is how many servers are left out, or have other starts, by neighbours' words.
func (l *List[P]) PeerReports() int { return max(len(l.words), len(l.starts)) }

// ExcludedByPeers tells whether a server is not to be used by a neighbour's word.
func (l *List[P]) ExcludedByPeers(name string) bool { return l.words[name] != 0 }
