package guard

import "time"

// HoldUp is for how long a process may be held up between its last look at the clock
// and its write (standing page). A window for repeats is kept by a process that is.
const HoldUp = 150 * time.Millisecond

// toldMargin is what a process keeps of the time that it tells a server: the time
// between the last look at the clock and the write, where nothing holds it up.
const toldMargin = 10 * time.Millisecond

// Withheld is why an attempt that was chosen must not be written.
type Withheld int

const (
	// Permitted: it may be written.
	Permitted Withheld = iota
	// WithheldOver: its request has its final answer, or its client has gone.
	WithheldOver
	// WithheldCancelled: it was called off, or its time is over.
	WithheldCancelled
	// WithheldDraining: its server drains or is gone by now.
	WithheldDraining
	// WithheldWindow: the window for repeats of its key is over.
	WithheldWindow
	// WithheldLate: the client's time is over.
	WithheldLate
	// WithheldStoodStill: the process stood still and must look first.
	WithheldStoodStill
	// WithheldBodySpent: another attempt has read the request's body.
	WithheldBodySpent
)

// WithheldWords name the reasons in figures and logs, by their numbers. Permitted is
// none.
var WithheldWords = []string{"", "over", "cancelled", "server_draining", "window_over", "late", "stood_still", "body_spent"}

// String names the reason.
func (w Withheld) String() string { return word(WithheldWords, int(w)) }

// Attempt is what is known of an attempt just before its first byte is written.
type Attempt struct {
	Now          time.Time
	Deadline     time.Time // when its client stops waiting
	Latest       time.Time // after which it is no repeat that its server knows; zero: no such bound
	RequestOver  bool      // its request has its final answer, or its client has gone
	Cancelled    bool
	ServerClosed bool // its server drains or is gone
	StoodStill   bool // the process stood still, and has not looked since
	BodySpent    bool // its request's body has been read by another attempt
}

// MayWrite is the last look at an attempt, a first one as well as a repeat: nothing is
// written that it does not permit.
func (a Attempt) MayWrite() Withheld {
	switch {
	case a.RequestOver:
		return WithheldOver
	case a.Cancelled:
		return WithheldCancelled
	case a.ServerClosed:
		return WithheldDraining
	case !a.Latest.IsZero() && !a.Now.Add(HoldUp).Before(a.Latest):
		return WithheldWindow
	case !a.Now.Before(a.Deadline):
		return WithheldLate
	case a.StoodStill:
		return WithheldStoodStill
	case a.BodySpent:
		return WithheldBodySpent
	}
	return Permitted
}

// TimeToTell is what a server is told of the time that is left to a client: whole
// milliseconds, one at least.
func TimeToTell(left time.Duration) time.Duration {
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
