package follow

import (
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// confirmedAsOf returns the time as of which the state in force here is known to have
// been current. It is confirmed by the last answer of the own source, or by peers whose
// sources have answered and whose list is identical or whose withdrawals are all in
// force here. A single peer is not enough if several are live.
func (a *Agent) confirmedAsOf() Time {
	var confirmations []Time
	for i := range a.peers {
		p := &a.peers[i]
		if p.lastHeard == 0 || a.now-p.lastHeard > peerTimeout || p.age < 0 {
			continue
		}
		if a.confirmsOwnList(p) {
			confirmations = append(confirmations, p.sentAt-p.age)
		}
	}
	best := max(a.confirmed, a.peersConfirmed) // earlier confirmations still count
	if needed := a.quorum(); len(confirmations) >= needed {
		slices.SortFunc(confirmations, func(x, y Time) int { return int(y - x) })
		best = max(best, confirmations[needed-1])
	}
	a.peersConfirmed = best
	return best
}

// confirmsOwnList reports whether a peer, as of its source's last answer, confirms the
// state in force here.
func (a *Agent) confirmsOwnList(p *peer) bool {
	return p.vector.List == a.vector.List ||
		p.vector.List.CompareGeneration(a.vector.List) == version.Newer && a.applied.CompareGeneration(p.vector.List) != version.Older
}

// sourceStale reports whether the source is stale for the whole fleet, rather than this
// process cut off from it: a large fraction of the peers has no recent list either.
func (a *Agent) sourceStale(age time.Duration) bool {
	otherProcesses := len(a.otherProcesses()) // those known to be gone are not counted
	window := min(forgetAfter, age-a.settings.NarrowAfter/2)
	if window <= 0 {
		return false
	}
	if a.sourceStaleAt > 0 && a.now-a.sourceStaleAt < staleSourceHold {
		return true // messages of few peers may have arrived since, by chance
	}
	fraction := a.settings.StaleSourceFraction
	if age < a.settings.CloseAfter { // the window is too short for messages of most peers
		fraction /= 2
	}
	stale := 0
	for i := range a.peers {
		p := &a.peers[i]
		// A peer whose source is back also counts if it confirms the list here, so that
		// this process does not close when the source recovers for others first.
		if p.lastHeard > 0 && a.now-p.sentAt <= window && (p.age < 0 || p.age >= a.settings.NarrowAfter/2 || a.confirmsOwnList(p)) {
			stale++
		}
	}
	if float64(stale) < max(1, fraction*a.expectedPeers(otherProcesses, window)) {
		return false
	}
	if fraction == a.settings.StaleSourceFraction {
		a.sourceStaleAt = a.now
	}
	return true
}

// updateMode computes the mode and reports a change.
func (a *Agent) updateMode() {
	age := a.now - max(a.confirmedAsOf(), a.started)
	if a.holdUntil > 0 && (a.now >= a.holdUntil || a.now-age >= a.resumedAt) {
		a.holdUntil = 0
	}
	next, reason := Current, ""
	switch {
	case a.settings.ObserveOnly || a.fleet.Size() <= 1: // or there is no peer to confirm the list
	case age < a.settings.NarrowAfter:
	case a.sourceStale(age):
		next, reason = Held, fmt.Sprintf("nobody's source has spoken for %v", age.Round(time.Second))
	case age < a.settings.CloseAfter:
		next, reason = Narrowed, "no word of the own source and of no neighbour that this list is current"
	default:
		next, reason = Closed, "no word of the own source and of no neighbour that this list is current"
	}
	if next == a.mode {
		a.reopenAt = 0
		return
	}
	// Processes that closed together reopen at random times, not all at once.
	if a.mode == Closed && next < Closed {
		if a.reopenAt == 0 {
			a.reopenAt = a.now + Time(a.rng.Float64()*float64(a.settings.ReopenJitter))
		}
		if a.now < a.reopenAt {
			return
		}
	}
	a.reopenAt = 0
	a.logf("%s, after %s: %s", next, a.mode, modeReason(reason))
	a.mode, a.reason = next, reason
	a.recorder.RecordMode(a.now, next.String(), reason)
	a.emit(EligibilityChanged{})
}

func modeReason(reason string) string {
	if reason == "" {
		return "what it acts on is current"
	}
	return reason
}

// markBehindPeers marks the peers that act on an outdated list. If too large a fraction
// of the live peers would be marked, none is: they may be right, or the source may be
// late for most.
func (a *Agent) markBehindPeers() {
	behind, live := 0, 0
	for i := range a.peers {
		p := &a.peers[i]
		p.behind = false
		if p.lastHeard == 0 || a.now-p.lastHeard > peerTimeout {
			continue
		}
		live++
		own := a.vector.List
		if a.now-a.listAt > a.settings.BehindAfter && p.sentAt-a.listAt > a.settings.BehindAfter && a.now-a.confirmed < a.settings.NarrowAfter &&
			p.applied.CompareGeneration(own) == version.Older {
			p.behind = true
			behind++
		}
	}
	if float64(behind) > (1-a.settings.StaleSourceFraction)*float64(live)/2 && behind > 1 {
		for i := range a.peers {
			a.peers[i].behind = false
		}
	}
}

// Peer is the agent's view of another process, for operators.
type Peer struct {
	Process        int            `json:"process"`
	Version        version.Vector `json:"version"`
	AppliedVersion version.List   `json:"acts"`
	Mode           string         `json:"standing"`
	SinceHeard     time.Duration  `json:"heard"` // duration since the last message
	Ignored        bool           `json:"unused"`
}

// Peers lists the processes from which a message has been received, by number.
func (a *Agent) Peers() []Peer {
	var out []Peer
	for i := range a.peers {
		if p := &a.peers[i]; p.lastHeard > 0 {
			out = append(out, Peer{i, p.vector, p.applied, p.mode.String(), a.now - p.lastHeard, p.behind})
		}
	}
	return out
}
