package guard

import "time"

// Effect is the consequence of executing a request twice.
type Effect int

const (
	// Unsafe requests must never run twice.
	Unsafe Effect = iota
	// Keyed requests carry an idempotency key by which a group of servers deduplicates.
	Keyed
	// Safe requests may run any number of times.
	Safe
)

// Scope is the group of servers that share idempotency keys.
type Scope int

const (
	// ScopeCell is one cell of servers.
	ScopeCell Scope = iota
	// ScopeZone is one zone.
	ScopeZone
	// ScopeAll is every server.
	ScopeAll
)

// Location is where a server belongs in the scopes.
type Location struct {
	Zone string
	Cell int
}

// RetryRules are a class's rules on repeated execution.
type RetryRules struct {
	Effect Effect
	Scope  Scope         // for Keyed: the group that deduplicates
	Window time.Duration // for Keyed: how long the group remembers a key, from the send on
}

// MayRetry reports whether a request may be sent to a server at the time now although an
// earlier attempt, sent to another location, may have run or may still run.
func (r RetryRules) MayRetry(earlier Location, sent time.Duration, to Location, now time.Duration) bool {
	switch r.Effect {
	case Safe:
		return true
	case Keyed:
		return now < sent+r.Window && r.sameGroup(earlier, to)
	}
	return false
}

// sameGroup reports whether two locations share idempotency keys.
func (r RetryRules) sameGroup(a, b Location) bool {
	switch r.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Cell == b.Cell
}

// MayRefuse reports whether a request may be refused although an attempt may have run: a
// refusal promises that a retry to any server is harmless.
func (r RetryRules) MayRefuse() bool {
	return r.Effect == Safe || r.Effect == Keyed && r.Scope == ScopeAll
}
