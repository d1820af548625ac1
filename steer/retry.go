package steer

import (
	"time"

	"ivylock/balance"
)

// MaxAttempts is how many attempts of a request proxies may make in all.
const MaxAttempts = 3

// Of the requests that a proxy has out, so many may be further attempts, in
// parts of a hundred, and RetryLeast at least: guards against a storm of them at
// servers that are full.
const (
	RetryPercent = 20
	RetryLeast   = 3
)

// Retry says when a proxy may make another attempt of a request of a class.
type Retry struct {
	Ran       bool          // also after an attempt that may have run; without it only if no server can have begun it
	WithinPod bool          // all attempts go to one pod
	All       time.Duration // for all attempts together; 0: no limit
	Each      time.Duration // for one attempt; 0: no limit but All's
}

// RetryOf gives a class's rule by its effect. Unsafe requests get another
// attempt only if no server can have begun the one before. Keyed ones may be
// repeated where the key is known, in one pod and within its window; without
// a window they are unsafe.
func RetryOf(c balance.Class) Retry {
	r := Retry{All: c.Deadline}
	switch {
	case c.Effect == balance.Safe:
		r.Ran = true
	case c.Effect == balance.Keyed && c.DedupWindow > 0:
		r.Ran, r.WithinPod = true, true
		if r.All == 0 || c.DedupWindow < r.All {
			r.All = c.DedupWindow
		}
	}
	if r.Ran {
		r.Each = r.All / MaxAttempts // guards against a silent server that takes all the time there is
	}
	return r
}
