package guard

import "time"

// MaxProcessPause is how long a process may be paused between its last clock reading and
// its write. Deduplication windows are kept despite such a pause.
const MaxProcessPause = 150 * time.Millisecond

// writeMargin is deducted from the time limit passed on to a server: it allows for the time
// between the last clock reading and the write if the process is not paused.
const writeMargin = 10 * time.Millisecond

// ClientPresenceAge is how long a client that was connected counts as connected. Nothing may be
// sent for a client that has been gone for longer than that.
const ClientPresenceAge = 100 * time.Millisecond

// MayAwaitPresence reports whether a request whose head was read some time ago may wait further until
// its client can be known to be connected. The client's time, which begins with its last byte, bounds
// the wait for clients that have yet to send it.
func MayAwaitPresence(sinceRead, clientTime time.Duration) bool { return sinceRead < clientTime }

// WithholdReason is why a chosen attempt must not be written.
type WithholdReason int

const (
	// Permitted: the attempt may be written.
	Permitted WithholdReason = iota
	// WithheldRequestDone: the request has its final answer, or the client has
	// disconnected.
	WithheldRequestDone
	// WithheldCancelled: the attempt was cancelled, or its timeout has passed.
	WithheldCancelled
	// WithheldDraining: the server is draining or removed.
	WithheldDraining
	// WithheldWindowExpired: the deduplication window of its key has ended.
	WithheldWindowExpired
	// WithheldDeadlinePassed: the client's deadline has passed.
	WithheldDeadlinePassed
	// WithheldProcessPaused: the process was paused and must first verify its state.
	WithheldProcessPaused
	// WithheldBodyConsumed: another attempt has read the request's body.
	WithheldBodyConsumed
	// WithheldClientUnverified: bytes of the client wait unread, and the end of its connection
	// may be behind them.
	WithheldClientUnverified
)

// WithholdReasonNames are the names of the reasons in metrics and logs, indexed by reason.
var WithholdReasonNames = []string{"", "over", "cancelled", "server_draining", "window_over", "late", "stood_still",
	"body_spent", "client_unverified"}

// String returns the reason's name in metrics and logs.
func (r WithholdReason) String() string { return nameOf(WithholdReasonNames, int(r)) }

// Attempt is the state of an attempt just before its first byte is written.
type Attempt struct {
	Now               time.Time
	Deadline          time.Time // when the client stops waiting
	DedupWindowEnd    time.Time // end of the deduplication window; zero: none
	RequestDone       bool      // the request has its final answer, or the client has disconnected
	Cancelled         bool
	ServerUnavailable bool // the server is draining or removed
	ProcessPaused     bool // the process was paused and has not checked its state since
	BodyConsumed      bool // another attempt has read the request's body
	// ClientSeenAt is when the client was last known to be connected; zero: it is now.
	ClientSeenAt time.Time
}

// CheckWrite decides whether an attempt may be written. It is checked last, for first
// attempts and retries alike.
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
	case !a.ClientSeenAt.IsZero() && a.Now.Sub(a.ClientSeenAt) > ClientPresenceAge:
		return WithheldClientUnverified
	}
	return Permitted
}

// ForwardedTimeout returns the time limit passed on to a server for a client with the given
// time left: whole milliseconds, at least one.
func ForwardedTimeout(timeLeft time.Duration) time.Duration {
	margin := min(writeMargin, timeLeft/10)
	return max(time.Millisecond, (timeLeft - margin).Truncate(time.Millisecond))
}

// nameOf returns names[number], or "unknown" if there is none.
func nameOf(names []string, number int) string {
	if number < 0 || number >= len(names) {
		return "unknown"
	}
	return names[number]
}
