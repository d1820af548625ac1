package version

import "time"

// Timestamp is a time of a hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva
// and Leone, Logical Physical Clocks, 2014): 44 bits of Unix milliseconds over a
// counter of 12. A stamp that was heard is below all that are given afterwards,
// so that causes come before effects whatever the clocks show. 0: never.
type Timestamp uint64

const (
	counterBits = 12
	// MaxClockLead is how far a stamp may be ahead of this process's clock to be
	// believed: clocks of one fleet differ by less, and a liar's must not carry
	// the fleet along.
	MaxClockLead = 10 * time.Second
)

// TimestampOf gives the first stamp of a moment.
func TimestampOf(t Time) Timestamp { return Timestamp(max(0, t/time.Millisecond)) << counterBits }

// Time is the physical part, to a millisecond.
func (s Timestamp) Time() Time { return time.Duration(s>>counterBits) * time.Millisecond }

// Sub is the time from o to s by their physical parts.
func (s Timestamp) Sub(o Timestamp) time.Duration { return s.Time() - o.Time() }

// Add gives the first stamp a time later.
func (s Timestamp) Add(d time.Duration) Timestamp { return TimestampOf(s.Time() + d) }

// HybridClock is one process's hybrid logical clock. Its zero value is ready; it is not
// safe for concurrent use.
type HybridClock struct {
	last     Timestamp
	Rejected int           // stamps that were too far ahead to be believed
	MaxLead  time.Duration // the most that a believed stamp was ahead of this process's clock
}

// Now gives the stamp of something that happens here at a time: above all that
// came before.
func (c *HybridClock) Now(wall Time) Timestamp {
	if s := TimestampOf(wall); s > c.last {
		c.last = s
	} else {
		c.last++ // past 2^12 in one millisecond the counter runs into the next: still in order
	}
	return c.last
}

// Observe takes the stamp of a message. One too far ahead of this process's clock
// is not believed, and false is given.
func (c *HybridClock) Observe(wall Time, s Timestamp) bool {
	ahead := s.Time() - wall
	if ahead > MaxClockLead {
		c.Rejected++
		return false
	}
	c.MaxLead = max(c.MaxLead, ahead)
	c.last = max(c.last, s)
	return true
}

// LastVersion is the newest stamp given or heard.
func (c *HybridClock) Last() Timestamp { return c.last }
