package subset

import (
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

const (
	// ReactionSpread is the time in which a process acts on the death of another, or on a doubt.
	// When is drawn for each pair: what a hall of processes leaves is taken over one
	// server after the other, and not in a wave of new connections.
	ReactionSpread = 1500 * time.Millisecond
	// RejoinDelay is how long a process that is back, or new, has to be there before it counts,
	// and as much again at most, drawn for each pair: one that comes and goes moves
	// nothing, and what its stand-ins have is given back one after the other.
	RejoinDelay = 1500 * time.Millisecond
	// StartupGrace is how long after its own start a process takes others for alive that the
	// settings name and that nobody has heard of.
	StartupGrace = time.Minute
)

// State is what a process takes another for.
type State uint8

const (
	Absent State = iota // it is not there, or has not counted yet
	Suspected
	Present
)

// Observation is a process as the roster has it by now.
type Observation struct {
	ID    uint32
	State State
}

type pending struct {
	is, next State
	at       Time // when next holds; 0: nothing is to change
}

// Damper makes a calm view of the fleet out of a roster that changes: who is in doubt or
// gone is acted on within a bound, who comes back a while later, and each process in its
// own time. It is not safe for concurrent use.
type Damper struct {
	self    uint32
	known   map[uint32]pending
	changed bool
}

// NewDamper makes the view of a process that starts with others there, itself among
// them.
func NewDamper(self uint32, all []uint32) *Damper {
	s := &Damper{self: self, known: map[uint32]pending{self: {is: Present}}, changed: true}
	for _, id := range all {
		s.known[id] = pending{is: Present}
	}
	return s
}

// turn is a part of a span that is this process's for another one, the same each time.
func (s *Damper) turn(id uint32, span time.Duration) time.Duration {
	return time.Duration(float64(span) * float64(Score(uint64(id), uint64(s.self)|1<<40)>>11) / (1 << 53))
}

// Observe takes the roster's view; who is not in it is not there.
func (s *Damper) Observe(now Time, all []Observation) {
	named := make(map[uint32]bool, len(all))
	for _, x := range all {
		named[x.ID] = true
		s.see(now, x)
	}
	for id := range s.known {
		if !named[id] {
			s.see(now, Observation{id, Absent})
		}
	}
	for id, p := range s.known {
		if p.at > 0 && now >= p.at {
			s.changed, p = true, pending{is: p.next}
			s.known[id] = p
		}
		if p.is == Absent && p.at == 0 {
			delete(s.known, id)
		}
	}
}

func (s *Damper) see(now Time, x Observation) {
	p := s.known[x.ID]
	switch {
	case x.ID == s.self:
	case x.State == p.is:
		p.at = 0
		s.known[x.ID] = p
	case p.at > 0 && x.State == p.next: // it is on its way
	case x.State < p.is:
		s.known[x.ID] = pending{p.is, x.State, now + s.turn(x.ID, ReactionSpread)}
	default:
		s.known[x.ID] = pending{p.is, x.State, now + RejoinDelay + s.turn(x.ID, RejoinDelay)}
	}
}

// View gives the processes that count, itself among them, if that has changed since the
// last call.
func (s *Damper) View() (all []Process, changed bool) {
	if !s.changed {
		return nil, false
	}
	s.changed = false
	for id, p := range s.known {
		if p.is != Absent {
			all = append(all, Process{ID: id, Suspected: p.is == Suspected})
		}
	}
	slices.SortFunc(all, func(a, b Process) int { return int(int64(a.ID) - int64(b.ID)) })
	return all, true
}
