package membership

import "time"

const (
	// clockNoise is by how much a wall clock differs from the process's own time
	// with no step: it is slewed, and read a moment later.
	clockNoise = 250 * time.Millisecond
	// sourceNoise is the same of the time that a source words in whole seconds, and
	// that is on its way for as long as a call may take.
	sourceNoise = 5 * time.Second
	// keptStarts is how many starts of one server are remembered: a list that is
	// behind tells older ones again.
	keptStarts = 4
)

// Clocks are what a process knows of the time when it hears of a start. The wall clocks,
// its own as well as others', may step; its own time does not.
type Clocks struct {
	Process Time // the process's own: it runs evenly, from the wall clock's time at the process's start
	Wall    Time // the wall clock's, Unix time
	Source  Time // the source's wall clock, Unix time; 0: not known
}

// StartTimes give the starts of servers, which a source tells in Unix time, in the process's
// own time. Where the clocks agree that is the same. Where one of them has stepped, a
// server counts as started as late as any of them allows: one that is taken for warm
// while it is cold is pushed over, one that is taken for cold only gets less for a while.
// The zero value is ready; it is not safe for concurrent use.
type StartTimes struct {
	servers map[string][]start // the latest one last
}

// start is a start as it was told, and what it was taken for.
type start struct{ told, at Time }

// Resolve gives when a server started, in the process's own time; 0, long ago, if that is
// told. confirmed is when the list was last told before this, with no newer start of
// this server; 0: never.
func (s *StartTimes) Resolve(name string, told, confirmed Time, c Clocks) Time {
	known := s.servers[name]
	for _, k := range known {
		if k.told == told {
			return k.at
		}
	}
	if told == 0 {
		s.remember(name, start{})
		return 0
	}
	at := told
	if age, agree := c.age(told); !agree {
		at = c.Process - max(0, age)
	}
	if n := len(known); n > 0 {
		latest := known[n-1]
		if told < latest.told || at < confirmed-NotifiedAfter { // it was restarted after that, whatever its clock says
			at = max(at, confirmed)
		}
		at = max(at, latest.at+1) // later than the start before
	}
	s.remember(name, start{told, at})
	return at
}

// remember keeps a start as the latest one of a server.
func (s *StartTimes) remember(name string, latest start) {
	if s.servers == nil {
		s.servers = map[string][]start{}
	}
	known := append(s.servers[name], latest)
	s.servers[name] = known[max(0, len(known)-keptStarts):]
}

// age is the least time since a start by any clock, and whether they agree.
func (c Clocks) age(told Time) (age time.Duration, agree bool) {
	age, agree = c.Process-told, true
	if (c.Wall - c.Process).Abs() > clockNoise {
		age, agree = min(age, c.Wall-told), false
	}
	if c.Source != 0 && (c.Source-c.Process).Abs() > sourceNoise {
		age, agree = min(age, c.Source-told), false
	}
	return age, agree && age >= -sourceNoise
}

// RemoveUnlisted forgets the servers that are not listed any more.
func (s *StartTimes) RemoveUnlisted(listed func(name string) bool) {
	for name := range s.servers {
		if !listed(name) {
			delete(s.servers, name)
		}
	}
}
