// Package wallclock is the one place in which the programs read the wall clock for more
// than words to people. Spans are measured by the monotonic clock, which package time
// reads; the wall clock may step at any time (docs/faults.md).
//
// A build with the tag "faults" has its wall clock step as StepsVariable says, so that
// tests can see what real processes make of that.
package wallclock

import "time"

// StepsVariable names the environment's variable with the steps of the wall clock.
const StepsVariable = "IVYLOCK_FAULTS_CLOCK"

// Now is Unix time.
func Now() time.Duration { return time.Duration(time.Now().UnixNano()) + stepped() }

// Steady is a clock that begins with Unix time and then runs evenly, whatever the wall
// clock does.
type Steady struct {
	start  time.Time
	origin time.Duration // Unix time at the start
}

// NewSteady starts one.
func NewSteady() Steady { return Steady{start: time.Now(), origin: Now()} }

// Now is the time since 1970 as the wall clock would tell it if it had not stepped.
func (s Steady) Now() time.Duration { return s.origin + time.Since(s.start) }

// Since is the time since the clock's start.
func (s Steady) Since() time.Duration { return time.Since(s.start) }

// Origin is Unix time at the clock's start.
func (s Steady) Origin() time.Duration { return s.origin }
