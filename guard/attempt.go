package guard

import "time"

// MaxProcessPause is for how long a process may be held up between its last look at the clock
// and its write (standing page). A window for repeats is kept by a process that is.
const MaxProcessPause = 150 * time.Millisecond

// toldMargin is what a process keeps of the time that it tells a server: the time
// between the last look at the clock and the write, where nothing holds it up.
const toldMargin = 10 * time.Millisecond

// WithholdReason is why an attempt that was chosen must not be written.
type WithholdReason int

const (
	// Permitted: it may be written.
	Permitted WithholdReason = iota
	// WithheldRequestDone: its request has its final answer, or its client has gone.
	WithheldRequestDone
	// WithheldCancelled: it was called off, or its time is over.
	WithheldCancelled
	// WithheldDraining: its server drains or is gone by now.
	WithheldDraining
	// WithheldWindowExpired: the window for repeats of its key is over.
	WithheldWindowExpired
	// WithheldDeadlinePassed: the client's time is over.
	WithheldDeadlinePassed
	// WithheldProcessPaused: the process stood still and must look first.
	WithheldProcessPaused
	// WithheldBodyConsumed: another attempt has read the request's body.
	WithheldBodyConsumed
)

// WithholdReasonNames name the reasons in figures and logs, by their numbers. Permitted is
// none.
var WithholdReasonNames = []string{"", "over", "cancelled", "server_draining", "window_over", "late", "stood_still", "body_spent"}

// String names the reason.
func (w WithholdReason) String() string { return word(WithholdReasonNames, int(w)) }

// Attempt is what is known of an attempt just before its first byte is written.
type Attempt struct {
	Now               time.Time
	Deadline          time.Time // when its client stops waiting
	DedupWindowEnd    time.Time // after which it is no repeat that its server knows; zero: no such bound
	RequestDone       bool      // its request has its final answer, or its client has gone
	Cancelled         bool
	ServerUnavailable bool // its server drains or is gone
	ProcessPaused     bool // the process stood still, and has not looked since
	BodyConsumed      bool // its request's body has been read by another attempt
}

// CheckWrite is the last look at an attempt, a first one as well as a repeat: nothing is
// written that it does not permit.
func (a Attempt) CheckWrite() WithholdReason {
	switch {
	case a.RequestDone:
		return WithheldRequestDone
	case a.Cancelled:
		return WithheldCancelled
	case a.ServerUnavailable:
		return WithheldDraining
	case !a.DedupWindowEnd.IsZero() && !a.Now.Add(MaxProcessPause).Before(a.DedupWindowEnd):
		return WithheldWindowExpired
	case !a.Now.Before(a.Deadline):
		return WithheldDeadlinePassed
	case a.ProcessPaused:
		return WithheldProcessPaused
	case a.BodyConsumed:
		return WithheldBodyConsumed
	}
	return Permitted
}

// ForwardedTimeout is what a server is told of the time that is left to a client: whole
// milliseconds, one at least.
func ForwardedTimeout(left time.Duration) time.Duration {
	margin := min(toldMargin, left/10)
	return max(time.Millisecond, (left - margin).Truncate(time.Millisecond))
}

// word gives the word of a number.
func word(words []string, number int) string {
	if number < 0 || number >= len(words) {
		return "unknown"
	}
	return words[number]
}
