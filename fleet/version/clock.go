package version

import "time"

// Timestamp is a time of a hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and
// Leone, Logical Physical Clocks, 2014): 44 bits of Unix milliseconds and a 12-bit
// counter. All timestamps that a process issues after it observed one are above it, so
// causes come before effects whatever the physical clocks show. 0 means never.
type Timestamp uint64

const (
	counterBits = 12
	// MaxClockLead is the maximum lead of an accepted timestamp over the local clock. It
	// exceeds the skew within a fleet and keeps a faulty peer from advancing all clocks.
	MaxClockLead = 10 * time.Second
)

// TimestampOf returns the first timestamp of t's millisecond.
func TimestampOf(t Time) Timestamp { return Timestamp(max(0, t/time.Millisecond)) << counterBits }

// Time returns the physical part, to a millisecond.
func (s Timestamp) Time() Time { return time.Duration(s>>counterBits) * time.Millisecond }

// Sub returns the time from o to s by their physical parts.
func (s Timestamp) Sub(o Timestamp) time.Duration { return s.Time() - o.Time() }

// Add returns the first timestamp of the millisecond a duration later.
func (s Timestamp) Add(d time.Duration) Timestamp { return TimestampOf(s.Time() + d) }

// HybridClock is the hybrid logical clock of one process. Its zero value is ready to
// use; it is not safe for concurrent use.
type HybridClock struct {
	last     Timestamp
	Rejected int           // timestamps rejected because they were too far ahead
	MaxLead  time.Duration // largest lead of an accepted timestamp over the local clock
}

// Now returns the timestamp of a local event, above all earlier ones.
func (c *HybridClock) Now(wall Time) Timestamp {
	if s := TimestampOf(wall); s > c.last {
		c.last = s
	} else {
		c.last++ // after 2^12 in one millisecond the counter carries over, and the order is kept
	}
	return c.last
}

// Observe merges the timestamp of a received message. If that is more than MaxClockLead
// ahead of the local clock, it ignores the timestamp and returns false.
func (c *HybridClock) Observe(wall Time, received Timestamp) bool {
	if !Credible(wall, received) {
		c.Rejected++
		return false
	}
	c.MaxLead = max(c.MaxLead, received.Time()-wall)
	c.last = max(c.last, received)
	return true
}

// Credible reports whether a received timestamp is at most MaxClockLead ahead of the local clock.
func Credible(wall Time, received Timestamp) bool { return received.Time()-wall <= MaxClockLead }

// Last returns the newest timestamp issued or observed.
func (c *HybridClock) Last() Timestamp { return c.last }
