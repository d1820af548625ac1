package follow

import (
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// confirmedAsOf returns the time as of which the state in force here is known to have
// been current: by the own source's last answer, or by peers whose sources have
// answered and whose list is the same or whose withdrawals are all in force here. Where
// several peers are live, one alone is not enough.
func (a *Agent) confirmedAsOf() Time {
	var confirmations []Time
	for i := range a.peers {
		p := &a.peers[i]
		if p.heard == 0 || a.now-p.heard > peerTimeout || p.age < 0 {
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

// sourceStale reports whether so much of the fleet has no recent list that the source
// is stale rather than this process cut off.
func (a *Agent) sourceStale(age time.Duration) bool {
	otherProcesses := len(a.otherProcesses()) // those that are gone are not counted
	window := min(forgetAfter, age-a.settings.NarrowAfter/2)
	if window <= 0 {
		return false
	}
	if a.sourceStaleAt > 0 && a.now-a.sourceStaleAt < staleSourceHold {
		return true // few peers may be heard by chance
	}
	fraction := a.settings.StaleSourceFraction
	if age < a.settings.CloseAfter { // few peers can be heard in so short a time, and narrowing can wait
		fraction /= 2
	}
	stale := 0
	for i := range a.peers {
		p := &a.peers[i]
		// A peer whose source is back and that has the same list does not contradict
		// this one: it guards against closing when the source recovers for others
		// first.
		if p.heard > 0 && a.now-p.sentAt <= window && (p.age < 0 || p.age >= a.settings.NarrowAfter/2 || a.confirmsOwnList(p)) {
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

// updateMode computes the mode.
func (a *Agent) updateMode() {
	age := a.now - max(a.confirmedAsOf(), a.started)
	if a.holdUntil > 0 && (a.now >= a.holdUntil || a.now-age >= a.resumedAt) {
		a.holdUntil = 0
	}
	next, reason := Current, ""
	switch {
	case a.settings.ObserveOnly || a.fleet.Size() <= 1: // no peer could confirm anything
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
	// Reopen at random times: processes that closed together must not return together.
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

// markBehindPeers marks the peers that act on too old a list. If too large a fraction
// of the live peers would be marked, none is: then they are the majority, or the source
// is late for most.
func (a *Agent) markBehindPeers() {
	behind, heard := 0, 0
	for i := range a.peers {
		p := &a.peers[i]
		p.behind = false
		if p.heard == 0 || a.now-p.heard > peerTimeout {
			continue
		}
		heard++
		own := a.vector.List
		if a.now-a.listAt > a.settings.BehindAfter && p.sentAt-a.listAt > a.settings.BehindAfter && a.now-a.confirmed < a.settings.NarrowAfter &&
			p.applied.CompareGeneration(own) == version.Older {
			p.behind = true
			behind++
		}
	}
	if float64(behind) > (1-a.settings.StaleSourceFraction)*float64(heard)/2 && behind > 1 {
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

// Peers lists the processes that have ever been heard.
func (a *Agent) Peers() []Peer {
	var out []Peer
	for i := range a.peers {
		if p := &a.peers[i]; p.heard > 0 {
			out = append(out, Peer{i, p.vector, p.applied, p.mode.String(), a.now - p.heard, p.behind})
		}
	}
	return out
}
