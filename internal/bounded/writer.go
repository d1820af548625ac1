package bounded

import (
	"errors"
	"net"
	"os"
	"time"
)

// progressChecks is how often a blocked write checks within its stall timeout whether the other
// side takes anything.
const progressChecks = 10

// Writer writes to a connection whose other side may read slowly. How long one write blocks
// says how large the buffers are; whether the other side reads is told by what it acknowledges.
type Writer struct {
	net.Conn
	// StallTimeout is how long the other side may acknowledge nothing while a write is blocked.
	StallTimeout time.Duration
	// Stopped reports whether pending writes were ended by a deadline in the past; nil: never.
	Stopped func() bool
}

// Write writes b. It fails with os.ErrDeadlineExceeded if the other side stalls, or at once if
// Stopped reports true. It leaves a write deadline set.
func (w Writer) Write(b []byte) (written int, err error) {
	interval := w.StallTimeout / progressChecks
	progressAt, queued := time.Now(), -1
	for {
		w.SetWriteDeadline(time.Now().Add(interval))
		if w.Stopped != nil && w.Stopped() { // perhaps just before the deadline was set
			return written, os.ErrDeadlineExceeded
		}
		n, err := w.Conn.Write(b[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, queuedNow := time.Now(), Unacknowledged(w.Conn)
		if n > 0 || queued >= 0 && queuedNow < queued {
			progressAt = now
		}
		queued = queuedNow
		if now.Sub(progressAt) >= w.StallTimeout {
			return written, os.ErrDeadlineExceeded
		}
	}
}
