package membership

import "time"

const (
	// clockTolerance is how far a wall clock may differ from the process clock without a step: it
	// is slewed, and the two are not read at the same instant.
	clockTolerance = 250 * time.Millisecond
	// sourceTolerance is the same for a source's clock, which has whole seconds and the delay of a
	// call.
	sourceTolerance = 5 * time.Second
	// maxKeptStarts is the number of start times kept per server: an outdated list may report older
	// ones again.
	maxKeptStarts = 4
)

// Clocks are readings of the clocks at the time when a start is reported. Wall clocks, the local
// one and those of others, may step; the process clock does not.
type Clocks struct {
	Process Time // monotonic, set from the wall clock at the start of the process
	Wall    Time // local wall clock, Unix time
	Source  Time // the source's wall clock, Unix time; 0: unknown
}

// StartTimes converts start times of servers, which a source reports in Unix time, to the process
// clock. While the clocks agree the two are the same. After a clock step the latest time that any
// clock allows is used: a cold server taken for a warm one is overloaded, while a warm one taken
// for a cold one only receives less traffic for a while. The zero value is ready to use; it is not
// safe for concurrent use.
type StartTimes struct {
	servers map[string][]startRecord // latest last
}

// startRecord is a start time as reported and by the process clock.
type startRecord struct{ reported, resolved Time }

// Resolve returns when a server started by the process clock; 0 (long ago) if 0 was reported.
// lastConfirmed is when the previous list was received that had no newer start of this server; 0:
// never.
func (s *StartTimes) Resolve(name string, reported, lastConfirmed Time, clocks Clocks) Time {
	history := s.servers[name]
	for _, record := range history {
		if record.reported == reported {
			return record.resolved
		}
	}
	if reported == 0 {
		s.add(name, startRecord{})
		return 0
	}
	resolved := reported
	if age, agree := clocks.age(reported); !agree {
		resolved = clocks.Process - max(0, age)
	}
	if n := len(history); n > 0 {
		latest := history[n-1]
		// The server restarted after lastConfirmed, whatever its clock says.
		if reported < latest.reported || resolved < lastConfirmed-NotifiedAfter {
			resolved = max(resolved, lastConfirmed)
		}
		resolved = max(resolved, latest.resolved+1) // later than the previous start
	}
	s.add(name, startRecord{reported, resolved})
	return resolved
}

// add records a start time as the latest one of a server.
func (s *StartTimes) add(name string, latest startRecord) {
	if s.servers == nil {
		s.servers = map[string][]startRecord{}
	}
	history := append(s.servers[name], latest)
	s.servers[name] = history[max(0, len(history)-maxKeptStarts):]
}

// age returns the shortest time since a start by any clock, and whether the clocks agree.
func (c Clocks) age(reported Time) (age time.Duration, agree bool) {
	age, agree = c.Process-reported, true
	if (c.Wall - c.Process).Abs() > clockTolerance {
		age, agree = min(age, c.Wall-reported), false
	}
	if c.Source != 0 && (c.Source-c.Process).Abs() > sourceTolerance {
		age, agree = min(age, c.Source-reported), false
	}
	return age, agree && age >= -sourceTolerance
}

// RemoveUnlisted drops the servers that are not on the list any more.
func (s *StartTimes) RemoveUnlisted(listed func(name string) bool) {
	for name := range s.servers {
		if !listed(name) {
			delete(s.servers, name)
		}
	}
}
