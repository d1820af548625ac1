package membership

import (
	"maps"
	"math"
	"slices"
	"time"
)

// State is the state of a server according to a source.
type State int

const (
	// Up servers accept requests.
	Up State = iota
	// Draining servers only finish the requests they have.
	Draining
	// Removed servers are no longer on the list.
	Removed
)

// UpdateKind is the form of an update.
type UpdateKind int

const (
	// Changes contain only the servers that changed.
	Changes UpdateKind = iota
	// Full lists replace the previous list.
	Full
	// Cached is a full list from the configuration or from the previous process of the node.
	Cached
)

// Entry is a server as listed by a source; Payload belongs to the caller.
type Entry[P any] struct {
	Name      string
	State     State
	StartedAt Time // start of its process by its source, Unix time; 0: unknown
	Payload   P
}

const (
	// announcePeriod is how long after its source is reachable again a node notifies its peers of
	// servers that leave: peers whose calls were rejected may still be waiting.
	announcePeriod = 15 * time.Second
	// minInUseFraction is the fraction of the servers listed as up that peer reports never exclude:
	// limits the damage of a faulty peer.
	minInUseFraction = 0.25
	// confirmWithin is how long a reachable source may take to confirm a peer report before it is
	// checked; after acceptPeersAfter the report is applied unconfirmed.
	confirmWithin    = 500 * time.Millisecond
	acceptPeersAfter = 1200 * time.Millisecond

	never = Time(math.MaxInt64)
)

// List merges the updates of a node's sources: the configuration, discovery (at successive
// addresses), another process of the same node, and peers that were notified of departing servers.
// It is not safe for concurrent use.
type List[P any] struct {
	entries       map[string]Entry[P]
	generation    uint64
	receivedAt    Time // time of the last update from the node's own source; 0: none yet
	sourceLost    bool // the node's own source is unreachable
	announceUntil Time // until then peers are notified of departures
	// Servers excluded by peer reports, and until when; never: until the next update of the node's
	// own source.
	exclusions map[string]Time
	peerStarts map[string]Time // later start times reported by peers, by their source's clock
	changes    changes
	// Peer reports that the reachable source has not confirmed yet, by the time of their receipt.
	unconfirmed    map[string]Time
	checkRequested bool // a check of the source was requested for them
}

// NewList returns an empty list.
func NewList[P any]() *List[P] {
	return &List[P]{entries: map[string]Entry[P]{}, exclusions: map[string]Time{}, peerStarts: map[string]Time{}, unconfirmed: map[string]Time{}}
}

// Generation returns the generation of the current list.
func (l *List[P]) Generation() uint64 { return l.generation }

// ReceivedAt returns when the node's own source sent the current list; 0: not yet.
func (l *List[P]) ReceivedAt() Time { return l.receivedAt }

// Entries returns the servers as listed by the sources, without the effect of peer reports. The
// caller must not modify it.
func (l *List[P]) Entries() map[string]Entry[P] { return l.entries }

// Apply applies an update of a source. departed names the servers that were up and no longer are,
// if peers are to be notified of them.
func (l *List[P]) Apply(now Time, kind UpdateKind, generation uint64, entries []Entry[P]) (departed []string) {
	before := map[string]Time{} // start times of the servers that are up
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
	l.generation, l.checkRequested = generation, false
	clear(l.exclusions) // the update supersedes peer reports
	clear(l.peerStarts)
	clear(l.unconfirmed)
	if kind == Cached {
		return nil
	}
	departed = l.recordChanges(before)
	if l.receivedAt = now; l.sourceLost {
		l.sourceLost, l.announceUntil = false, now+announcePeriod
	}
	if now >= l.announceUntil {
		return nil
	}
	return departed
}

// recordChanges records for peers what differs from the servers that were up before, and returns
// the names of those that no longer are.
func (l *List[P]) recordChanges(before map[string]Time) (departed []string) {
	for name := range before {
		if e, listed := l.entries[name]; !listed || e.State != Up {
			departed = append(departed, name)
		}
	}
	slices.Sort(departed)
	for _, name := range departed {
		l.changes.record(Change{Name: name, Generation: l.generation})
	}
	if len(before) == 0 {
		return departed // all servers are new
	}
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		if previous, known := before[name]; e.State == Up && e.StartedAt != 0 && (!known || e.StartedAt > previous) {
			l.changes.record(Change{Name: name, Generation: l.generation, StartedAt: e.StartedAt})
		}
	}
	return departed
}

// ChangesSince returns the departures and restarts that the source reported after a generation, as
// far as they are still recorded: the latest of each server.
func (l *List[P]) ChangesSince(generation uint64) []Change { return l.changes.since(generation) }

// ApplySiblingList applies a list received from another process of the same node;
// handoff.IsNewerList reports whether it supersedes the current one.
func (l *List[P]) ApplySiblingList(generation uint64, receivedAt Time, entries []Entry[P]) {
	l.Apply(receivedAt, Cached, generation, entries)
	l.receivedAt = receivedAt
}

// MarkSourceLost records that the node's own source is unreachable.
func (l *List[P]) MarkSourceLost() { l.sourceLost = true }

// SourceLost reports whether the node's own source is unreachable.
func (l *List[P]) SourceLost() bool { return l.sourceLost }

// ResetSource records that the source moved to another address: generations start over.
func (l *List[P]) ResetSource() { l.generation, l.sourceLost, l.changes = 0, true, nil }

// ApplyPeerDepartures applies a peer report that servers leave: at once while the own source is
// lost, otherwise only if the source does not confirm it in time, and until its next update. It
// reports whether anything changed now.
func (l *List[P]) ApplyPeerDepartures(now Time, names []string) (changed bool) {
	if l.sourceLost {
		return l.exclude(names, never)
	}
	for _, name := range names {
		if e, listed := l.entries[name]; listed && e.State == Up && !l.ExcludedByPeers(name) && l.unconfirmed[name] == 0 {
			l.unconfirmed[name] = max(1, now)
		}
	}
	return false
}

// ApplyPeerRestarts applies a peer report that servers were restarted, while the own source is
// lost. Such a server is excluded for NotifiedAfter, the latest time at which its return counts as
// notified, and is then used with the reported start time. It reports whether anything changed now.
func (l *List[P]) ApplyPeerRestarts(now Time, restarted []Change) (changed bool) {
	if !l.sourceLost {
		return false
	}
	for _, c := range restarted {
		e, listed := l.entries[c.Name]
		if !listed || e.State != Up || c.StartedAt <= max(e.StartedAt, l.peerStarts[c.Name]) || e.StartedAt == 0 {
			continue
		}
		l.peerStarts[c.Name], changed = c.StartedAt, true
		l.exclude([]string{c.Name}, now+NotifiedAfter)
	}
	return changed
}

// PeerReportedStart returns the start time of a server as reported by a peer; 0: no peer reported a
// later one than the own source.
func (l *List[P]) PeerReportedStart(name string) Time { return l.peerStarts[name] }

// ReviewPeerReports is to be called periodically. check asks for a call to the own source, which
// should have confirmed a peer report by now; changed reports that exclusions changed.
func (l *List[P]) ReviewPeerReports(now Time) (check, changed bool) {
	var names []string
	for name, since := range l.unconfirmed {
		if now-since >= confirmWithin && !l.checkRequested {
			check, l.checkRequested = true, true
		}
		if now-since >= acceptPeersAfter {
			names = append(names, name)
			delete(l.unconfirmed, name)
		}
	}
	slices.Sort(names)
	changed = l.exclude(names, never)
	for name, until := range l.exclusions {
		if now >= until {
			delete(l.exclusions, name)
			changed = true
		}
	}
	return check, changed
}

// exclude applies peer reports until a time, as far as enough servers stay in use.
func (l *List[P]) exclude(names []string, until Time) (changed bool) {
	up, excluded := 0, 0
	for name, e := range l.entries {
		if e.State == Up {
			if up++; l.ExcludedByPeers(name) {
				excluded++
			}
		}
	}
	limit := up - int(math.Ceil(minInUseFraction*float64(up)))
	for _, name := range names {
		e, listed := l.entries[name]
		switch {
		case !listed || e.State != Up:
		case l.ExcludedByPeers(name):
			l.exclusions[name] = max(l.exclusions[name], until)
		case excluded < limit:
			l.exclusions[name], changed = until, true
			excluded++
		}
	}
	return changed
}

// PeerReports returns how many servers are excluded or have a different start time by peer reports.
func (l *List[P]) PeerReports() int { return max(len(l.exclusions), len(l.peerStarts)) }

// ExcludedByPeers reports whether a peer report excludes a server from use.
func (l *List[P]) ExcludedByPeers(name string) bool { return l.exclusions[name] != 0 }
