package guard

import "time"

// Effect says what a second execution of a request would do.
type Effect int

const (
	// Unsafe requests must never run twice.
	Unsafe Effect = iota
	// Keyed requests carry a key by which a group of servers drops repeats.
	Keyed
	// Safe requests may run any number of times.
	Safe
)

// Scope is the group of servers that share knowledge of keys.
type Scope int

const (
	// ScopeCell is one cell of servers.
	ScopeCell Scope = iota
	// ScopeZone is one zone.
	ScopeZone
	// ScopeAll is every server.
	ScopeAll
)

// Location is where a server stands, as far as keys are known there.
type Location struct {
	Zone string
	Cell int
}

// RetryRules are a class's rules on what may run twice.
type RetryRules struct {
	Effect Effect
	Scope  Scope         // of Keyed: the group that drops repeats
	Window time.Duration // of Keyed: how long the group remembers, from the sending on
}

// MayRetry tells whether a request may be sent to a server at a time although an
// earlier attempt, which was sent to another place, may have run or may run yet.
func (r RetryRules) MayRetry(earlier Location, sent time.Duration, to Location, now time.Duration) bool {
	switch r.Effect {
	case Safe:
		return true
	case Keyed:
		return now < sent+r.Window && r.knows(earlier, to)
	}
	return false
}

// knows tells whether two servers are of one group.
func (r RetryRules) knows(a, b Location) bool {
	switch r.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Cell == b.Cell
}

// MayRefuse tells whether a request may be refused although an attempt may have
// run: a refusal promises that a new try does no harm, wherever it goes.
func (r RetryRules) MayRefuse() bool {
	return r.Effect == Safe || r.Effect == Keyed && r.Scope == ScopeAll
}
