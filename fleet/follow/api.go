// Package follow decides how a process keeps up with the fleet's newest versions
// and what it does when it can't: whom it asks for what it has missed, which words
// of neighbours it acts on, when it narrows to what it has evidence for and when
// it takes nothing new, whose word it does not use any more, and what a process
// believes that stood still. It does no I/O, reads no clock and starts no
// goroutine: events in, actions out. docs/audit.md argues it.
package follow

import (
	"time"

	"ivylock/fleet/version"
)

// Time is a reading of the caller's monotonic clock with Unix time as its origin.
type Time = time.Duration

// Fleet says who belongs to it. Processes are numbers from 0 on; who has which is
// agreed by configuration, or by a roster.
type Fleet interface {
	// Size is how many processes there are, this one among them.
	Size() int
	// Self is this process's number.
	Self() int
	// IsAlive tells whether another one is not known to be gone.
	IsAlive(number int) bool
}

// StaticFleet is a fleet as the configuration names it.
type StaticFleet struct{ Nodes, Number int }

func (f StaticFleet) Size() int { return f.Nodes }
func (f StaticFleet) Self() int { return f.Number }

// Lives: a configuration knows of no death.
func (f StaticFleet) IsAlive(int) bool { return true }

// Settings are the figures of a fleet, the same at all its processes.
type Settings struct {
	ObserveOnly         bool          // tell and record alone: no neighbour's word is acted on, and nothing is narrowed
	HelloInterval       time.Duration // between two rounds of hellos
	HelloFanout         int           // processes that one round goes to
	PushFanout          int           // processes that a withdrawal is told to at once
	NarrowAfter         time.Duration // without a sign that the list is current: only servers that have just answered are used
	CloseAfter          time.Duration // and so long: nothing new is taken
	BehindAfter         time.Duration // a process that acts on older lists for so long is not listened to
	ReopenJitter        time.Duration // over which processes come back that were closed together
	OnePeerFraction     float64       // part of the list that one neighbour's word may take out
	AllPeersFraction    float64       // part that all neighbours together may
	StaleSourceFraction float64       // of the fleet: if so many are behind it is the source that is
	UnconfirmedTimeout  time.Duration // after which a word is dropped that the own source, speaking, does not bear out
	PauseThreshold      time.Duration // a gap in the ticks from which on the process has stood still
	PauseHold           time.Duration // that it waits then, at most, to hear whether what it believes still holds
}

// DefaultSettings are the settings of docs/audit.md.
func DefaultSettings() Settings {
	return Settings{HelloInterval: 250 * time.Millisecond, HelloFanout: 2, PushFanout: 8, NarrowAfter: 3 * time.Second, CloseAfter: 6 * time.Second,
		BehindAfter: 2 * time.Second, ReopenJitter: time.Second, OnePeerFraction: 0.25, AllPeersFraction: 0.5, StaleSourceFraction: 0.6, UnconfirmedTimeout: 8 * time.Second,
		PauseThreshold: 400 * time.Millisecond, PauseHold: 300 * time.Millisecond}
}

// Mode is how well a process can show that what it acts on is current.
type Mode uint8

const (
	// Current: its own source, or neighbours with the same list, have just said so.
	Current Mode = iota
	// Held: nobody's source speaks, so the last good list holds for all.
	Held
	// Narrowed: it uses only servers that have just answered.
	Narrowed
	// Closed: it takes nothing new.
	Closed
	standings
)

func (s Mode) String() string {
	return [...]string{"current", "held", "narrowed", "closed"}[min(s, Closed)]
}

// Entry is a server of the list.
type Entry struct {
	Name      string
	State     version.State
	StartedAt Time
}

// ListKind is the form of a list.
type ListKind int

const (
	// Delta holds only the changed entries.
	Delta ListKind = iota
	// Full holds all; a server not in it is gone.
	Full
	// Cached is a full list that the process had before; it can be old.
	Cached
)

// Event is something that happened.
type Event interface{ event() }

// Events.
type (
	// ListReceived is a word of the process's own source.
	ListReceived struct {
		Kind       ListKind
		Generation uint64
		Entries    []Entry
	}
	// DatagramReceived is a datagram of the fleet's from a process.
	DatagramReceived struct {
		From int
		Data []byte
	}
	// Tick comes every tenth of a second or so.
	Tick struct{}
	// Resumed says that the process stood still for a time and goes on now. It comes
	// before all that happened meanwhile.
	Resumed struct{ Gap time.Duration }
	// MaintenanceChanged says that the words of maintenance have changed.
	MaintenanceChanged struct{ Digest uint16 }
)

func (ListReceived) event()       {}
func (DatagramReceived) event()   {}
func (Tick) event()               {}
func (Resumed) event()            {}
func (MaintenanceChanged) event() {}

// Action is something the caller is to do.
type Action interface{ action() }

// Actions.
type (
	// Send sends a datagram to a process.
	Send struct {
		To   int
		Data []byte
	}
	// EligibilityChanged says that servers may be used, or may not, that it was otherwise for.
	EligibilityChanged struct{}
	// QuerySource asks the own source again, at once.
	QuerySource struct{}
	// Log is a line for the operators.
	Log struct{ Line string }
)

func (Send) action()               {}
func (EligibilityChanged) action() {}
func (QuerySource) action()        {}
func (Log) action()                {}

// Counts are an agent's figures since its start.
type Counts struct {
	Hellos, Queries, Answers, Withdrawals uint64 // datagrams sent, by kind
	Bytes                                 uint64 // of all of them
	Applied                               uint64 // withdrawals taken of neighbours
	OverLimit                             uint64 // that were not, as they would have taken out too much
	Reverted                              uint64 // that were dropped again, as the own source did not bear them out
	Malformed                             uint64 // datagrams in no known form
	Stale                                 uint64 // older than what their sender said before
	Ignored                               uint64 // datagrams of processes that are too far behind to be listened to
	Dropped                               uint64 // words that there was no room for
}
