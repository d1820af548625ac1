// Package wallclock reads the wall clock, which may step at any time (docs/faults.md). All
// code that uses Unix time for more than output takes it from here; durations are measured by
// the monotonic clock of package time.
//
// Builds with the tag "faults" step the wall clock as StepsVariable says, for tests.
package wallclock

import "time"

// StepsVariable is the environment variable with the steps of the wall clock.
const StepsVariable = "IVYLOCK_FAULTS_CLOCK"

// Now returns the time since the Unix epoch.
func Now() time.Duration { return time.Duration(time.Now().UnixNano()) + offset() }

// Steady is a clock that starts at Unix time and is not affected by later steps of the wall
// clock.
type Steady struct {
	start  time.Time
	origin time.Duration // Unix time at the start
}

// NewSteady returns a clock that starts now.
func NewSteady() Steady { return Steady{start: time.Now(), origin: Now()} }

// Now returns the time since the Unix epoch, without steps after the clock's start.
func (s Steady) Now() time.Duration { return s.origin + time.Since(s.start) }

// Since returns the time since the clock's start.
func (s Steady) Since() time.Duration { return time.Since(s.start) }

// Origin returns the Unix time at the clock's start.
func (s Steady) Origin() time.Duration { return s.origin }
