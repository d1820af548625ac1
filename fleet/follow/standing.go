package follow

import (
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// shown is as of when it can be shown that what the process acts on was current:
// by its own source's last word, or by neighbours whose sources have spoken and
// whose list is this one's, or whose withdrawals are all in force here. Where
// several are heard one alone is not enough.
func (a *Agent) shown() Time {
	var told []Time
	for i := range a.peers {
		p := &a.peers[i]
		if p.heard == 0 || a.now-p.heard > hearWindow || p.age < 0 {
			continue
		}
		if a.vouches(p) {
			told = append(told, p.sent-p.age)
		}
	}
	best := max(a.confirmed, a.vouched) // what was shown once was so then
	if n := a.quorum(); len(told) >= n {
		slices.SortFunc(told, func(x, y Time) int { return int(y - x) })
		best = max(best, told[n-1])
	}
	a.vouched = best
	return best
}

// vouches tells whether a neighbour, as of its source's last word, says that what is
// acted on here is current.
func (a *Agent) vouches(p *peer) bool {
	return p.vector.List == a.vector.List ||
		p.vector.List.CompareGeneration(a.vector.List) == version.Newer && a.acts.CompareGeneration(p.vector.List) != version.Older
}

// sourceSilent tells whether so much of the fleet has no word of its source that it
// is the source that is behind, and not this process.
func (a *Agent) sourceSilent(age time.Duration) bool {
	others := len(a.others()) // those that are gone say nothing
	window := min(forgetTime, age-a.set.NarrowAfter/2)
	if window <= 0 {
		return false
	}
	if a.frozenAt > 0 && a.now-a.frozenAt < frozenFor {
		return true // guards against one who hears few by chance
	}
	part := a.set.StaleSourceFraction
	if age < a.set.CloseAfter { // few were heard in so short a time, and narrowing can wait
		part /= 2
	}
	silent := 0
	for i := range a.peers {
		p := &a.peers[i]
		// One whose source speaks again and that has this very list says nothing against
		// holding on to it: guards against closing when the source comes back to others first.
		if p.heard > 0 && a.now-p.sent <= window && (p.age < 0 || p.age >= a.set.NarrowAfter/2 || a.vouches(p)) {
			silent++
		}
	}
	if float64(silent) < max(1, part*a.expected(others, window)) {
		return false
	}
	if part == a.set.StaleSourceFraction {
		a.frozenAt = a.now
	}
	return true
}

// stand finds out how the process stands.
func (a *Agent) stand() {
	age := a.now - max(a.shown(), a.started)
	if a.holdUntil > 0 && (a.now >= a.holdUntil || a.now-age >= a.wokeAt) {
		a.holdUntil = 0
	}
	to, why := Current, ""
	switch {
	case a.set.ObserveOnly || a.fleet.Size() <= 1: // nobody could know better
	case age < a.set.NarrowAfter:
	case a.sourceSilent(age):
		to, why = Held, fmt.Sprintf("nobody's source has spoken for %v", age.Round(time.Second))
	case age < a.set.CloseAfter:
		to, why = Narrowed, "no word of the own source and of no neighbour that this list is current"
	default:
		to, why = Closed, "no word of the own source and of no neighbour that this list is current"
	}
	if to == a.standing {
		a.reopenAt = 0
		return
	}
	if a.standing == Closed && to < Closed { // in turn: those that were closed together do not come back together
		if a.reopenAt == 0 {
			a.reopenAt = a.now + Time(a.rng.Float64()*float64(a.set.ReopenJitter))
		}
		if a.now < a.reopenAt {
			return
		}
	}
	a.reopenAt = 0
	a.logf("%s, after %s: %s", to, a.standing, reason(why))
	a.standing, a.why = to, why
	a.rec.RecordMode(a.now, to.String(), why)
	a.do(EligibilityChanged{})
}

func reason(why string) string {
	if why == "" {
		return "what it acts on is current"
	}
	return why
}

// exclude finds out which processes act on what is too old to be listened to. If
// they are more than a part of those that are heard, none is: then it is they who
// are the fleet, or a source that is late for most.
func (a *Agent) exclude() {
	behind, heard := 0, 0
	for i := range a.peers {
		p := &a.peers[i]
		p.behind = false
		if p.heard == 0 || a.now-p.heard > hearWindow {
			continue
		}
		heard++
		own := a.vector.List
		if a.now-a.listAt > a.set.BehindAfter && p.sent-a.listAt > a.set.BehindAfter && a.now-a.confirmed < a.set.NarrowAfter &&
			p.acts.CompareGeneration(own) == version.Older {
			p.behind = true
			behind++
		}
	}
	if float64(behind) > (1-a.set.StaleSourceFraction)*float64(heard)/2 && behind > 1 {
		for i := range a.peers {
			a.peers[i].behind = false
		}
	}
}

// Peer is what an agent knows of another process, for operators.
type Peer struct {
	Process        int            `json:"process"`
	Version        version.Vector `json:"version"`
	AppliedVersion version.List   `json:"acts"`
	Mode           string         `json:"standing"`
	SinceHeard     time.Duration  `json:"heard"` // ago
	Ignored        bool           `json:"unused"`
}

// Peers lists the processes that have ever been heard.
func (a *Agent) Peers() []Peer {
	var out []Peer
	for i := range a.peers {
		if p := &a.peers[i]; p.heard > 0 {
			out = append(out, Peer{i, p.vector, p.acts, p.standing.String(), a.now - p.heard, p.behind})
		}
	}
	return out
}
