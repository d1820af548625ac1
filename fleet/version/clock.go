package version

import "time"

// Stamp is a time of a hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva
// and Leone, Logical Physical Clocks, 2014): 44 bits of Unix milliseconds over a
// counter of 12. A stamp that was heard is below all that are given afterwards,
// so that causes come before effects whatever the clocks show. 0: never.
type Stamp uint64

const (
	counterBits = 12
	// Ahead is how far a stamp may be ahead of this process's clock to be
	// believed: clocks of one fleet differ by less, and a liar's must not carry
	// the fleet along.
	Ahead = 10 * time.Second
)

// StampOf gives the first stamp of a moment.
func StampOf(t Time) Stamp { return Stamp(max(0, t/time.Millisecond)) << counterBits }

// Time is the physical part, to a millisecond.
func (s Stamp) Time() Time { return time.Duration(s>>counterBits) * time.Millisecond }

// Sub is the time from o to s by their physical parts.
func (s Stamp) Sub(o Stamp) time.Duration { return s.Time() - o.Time() }

// Add gives the first stamp a time later.
func (s Stamp) Add(d time.Duration) Stamp { return StampOf(s.Time() + d) }

// Clock is one process's hybrid logical clock. Its zero value is ready; it is not
// safe for concurrent use.
type Clock struct {
	last     Stamp
	Refused  int           // stamps that were too far ahead to be believed
	WorstLag time.Duration // the most that a believed stamp was ahead of this process's clock
}

// Now gives the stamp of something that happens here at a time: above all that
// came before.
func (c *Clock) Now(wall Time) Stamp {
	if s := StampOf(wall); s > c.last {
		c.last = s
	} else {
		c.last++ // past 2^12 in one millisecond the counter runs into the next: still in order
	}
	return c.last
}

// Hear takes the stamp of a message. One too far ahead of this process's clock
// is not believed, and false is given.
func (c *Clock) Hear(wall Time, s Stamp) bool {
	ahead := s.Time() - wall
	if ahead > Ahead {
		c.Refused++
		return false
	}
	c.WorstLag = max(c.WorstLag, ahead)
	c.last = max(c.last, s)
	return true
}

// Last is the newest stamp given or heard.
func (c *Clock) Last() Stamp { return c.last }
