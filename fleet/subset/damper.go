package subset

import (
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

const (
	// ReactionSpread is the time within which a process reacts to another's death or suspicion.
	// The delay is pseudorandom per pair of processes, so that the connections of a failed zone
	// are taken over gradually.
	ReactionSpread = 1500 * time.Millisecond
	// RejoinDelay is the time that a new or returning process must be present before it counts.
	// A pseudorandom delay of the same length at most is added, so that a flapping process
	// causes no changes and connections are given back gradually.
	RejoinDelay = 1500 * time.Millisecond
	// StartupGrace is the time after its own start in which a process assumes that configured
	// but unknown processes are present.
	StartupGrace = time.Minute
)

// State is a process's presence as seen by another.
type State uint8

// The states of a process, from worst to best.
const (
	Absent State = iota // not present, or not counted yet
	Suspected
	Present
)

// Observation is the present state of a process according to the roster.
type Observation struct {
	ID    uint32
	State State
}

// pending is the state that counts for a process, and the one it is about to change to.
type pending struct {
	current, next State
	due           Time // when next takes effect; 0: no change is pending
}

// Damper derives a stable view of the fleet from a changing roster (flap damping): suspicions
// and deaths take effect within a bound, returns after a delay, and each process at its own
// time. It is not safe for concurrent use.
type Damper struct {
	self    uint32
	peers   map[uint32]pending
	changed bool
}

// NewDamper creates the damper of a process. At first all listed processes count as present.
func NewDamper(self uint32, all []uint32) *Damper {
	d := &Damper{self: self, peers: map[uint32]pending{self: {current: Present}}, changed: true}
	for _, id := range all {
		d.peers[id] = pending{current: Present}
	}
	return d
}

// spread returns a pseudorandom time below span that is fixed for a pair of processes.
func (d *Damper) spread(id uint32, span time.Duration) time.Duration {
	return time.Duration(float64(span) * float64(Score(uint64(id), uint64(d.self)|1<<40)>>11) / (1 << 53))
}

// Observe updates the view from the roster. Processes that are not listed are absent.
func (d *Damper) Observe(now Time, all []Observation) {
	listed := make(map[uint32]bool, len(all))
	for _, x := range all {
		listed[x.ID] = true
		d.update(now, x)
	}
	for id := range d.peers {
		if !listed[id] {
			d.update(now, Observation{id, Absent})
		}
	}
	for id, p := range d.peers {
		if p.due > 0 && now >= p.due {
			d.changed, p = true, pending{current: p.next}
			d.peers[id] = p
		}
		if p.current == Absent && p.due == 0 {
			delete(d.peers, id)
		}
	}
}

func (d *Damper) update(now Time, observed Observation) {
	p := d.peers[observed.ID]
	switch {
	case observed.ID == d.self:
	case observed.State == p.current:
		p.due = 0
		d.peers[observed.ID] = p
	case p.due > 0 && observed.State == p.next: // already pending
	case observed.State < p.current:
		d.peers[observed.ID] = pending{p.current, observed.State, now + d.spread(observed.ID, ReactionSpread)}
	default:
		d.peers[observed.ID] = pending{p.current, observed.State, now + RejoinDelay + d.spread(observed.ID, RejoinDelay)}
	}
}

// View returns the processes that count, including this one, if they changed since the last
// call.
func (d *Damper) View() (all []Process, changed bool) {
	if !d.changed {
		return nil, false
	}
	d.changed = false
	for id, p := range d.peers {
		if p.current != Absent {
			all = append(all, Process{ID: id, Suspected: p.current == Suspected})
		}
	}
	slices.SortFunc(all, func(a, b Process) int { return int(int64(a.ID) - int64(b.ID)) })
	return all, true
}
