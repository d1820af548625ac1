package steer

import (
	"time"

	"ivylock/balance"
)

// MaxAttempts is how many attempts of a request proxies may make in all.
const MaxAttempts = 3

// Of the requests that a proxy has out, so many may be further attempts, in
// parts of a hundred, and MinRetryConcurrency at least: guards against a storm of them at
// servers that are full.
const (
	RetryBudgetPercent  = 20
	MinRetryConcurrency = 3
)

// RetryRule says when a proxy may make another attempt of a request of a class.
type RetryRule struct {
	MayHaveRun     bool          // also after an attempt that may have run; without it only if no server can have begun it
	SamePod        bool          // all attempts go to one pod
	TotalTimeout   time.Duration // for all attempts together; 0: no limit
	AttemptTimeout time.Duration // for one attempt; 0: no limit but All's
}

// RetryRuleFor gives a class's rule by its effect. Unsafe requests get another
// attempt only if no server can have begun the one before. Keyed ones may be
// repeated where the key is known, in one pod and within its window; without
// a window they are unsafe.
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
		r.AttemptTimeout = r.TotalTimeout / MaxAttempts // guards against a silent server that takes all the time there is
	}
	return r
}
