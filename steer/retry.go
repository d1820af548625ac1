package steer

import (
	"time"

	"ivylock/balance"
)

// MaxAttempts limits the attempts of one request, the first included.
const MaxAttempts = 3

// Retry budget of a proxy: concurrent retries as a percentage of its open requests, and the number
// of concurrent retries that is always allowed. Guards against retry storms at overloaded servers.
const (
	RetryBudgetPercent  = 20
	MinRetryConcurrency = 3
)

// RetryRule defines when a proxy may retry a request.
type RetryRule struct {
	MayHaveRun     bool          // also retry requests that a server may have run
	SamePod        bool          // all attempts go to one pod
	TotalTimeout   time.Duration // for all attempts together; 0: none
	AttemptTimeout time.Duration // for one attempt; 0: none
}

// RetryRuleFor returns the rule for the class's effect. Unsafe requests are retried only if no
// server can have started the previous attempt. Keyed requests may be retried where the key is
// known, that is in one pod and within the deduplication window; without a window they are unsafe.
func RetryRuleFor(c balance.Class) RetryRule {
	r := RetryRule{TotalTimeout: c.Deadline}
	switch {
	case c.Effect == balance.Safe:
		r.MayHaveRun = true
	case c.Effect == balance.Keyed && c.DedupWindow > 0:
		r.MayHaveRun, r.SamePod = true, true
		if r.TotalTimeout == 0 || c.DedupWindow < r.TotalTimeout {
			r.TotalTimeout = c.DedupWindow
		}
	}
	if r.MayHaveRun {
		r.AttemptTimeout = r.TotalTimeout / MaxAttempts // leaves time to retry when a server does not respond
	}
	return r
}
