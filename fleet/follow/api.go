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
	// Lives tells whether another one is not known to be gone.
	Lives(number int) bool
}

// Fixed is a fleet as the configuration names it.
type Fixed struct{ Nodes, Number int }

func (f Fixed) Size() int { return f.Nodes }
func (f Fixed) Self() int { return f.Number }

// Lives: a configuration knows of no death.
func (f Fixed) Lives(int) bool { return true }

// Settings are the figures of a fleet, the same at all its processes.
type Settings struct {
	Watch      bool          // tell and record alone: no neighbour's word is acted on, and nothing is narrowed
	Hello      time.Duration // between two rounds of hellos
	HelloTo    int           // processes that one round goes to
	Fanout     int           // processes that a withdrawal is told to at once
	Narrow     time.Duration // without a sign that the list is current: only servers that have just answered are used
	Close      time.Duration // and so long: nothing new is taken
	Behind     time.Duration // a process that acts on older lists for so long is not listened to
	Reopen     time.Duration // over which processes come back that were closed together
	OneTeller  float64       // part of the list that one neighbour's word may take out
	AllTellers float64       // part that all neighbours together may
	Part       float64       // of the fleet: if so many are behind it is the source that is
	Doubt      time.Duration // after which a word is dropped that the own source, speaking, does not bear out
	Wake       time.Duration // a gap in the ticks from which on the process has stood still
	WakeHold   time.Duration // that it waits then, at most, to hear whether what it believes still holds
}

// Defaults are the settings of docs/audit.md.
func Defaults() Settings {
	return Settings{Hello: 250 * time.Millisecond, HelloTo: 2, Fanout: 8, Narrow: 3 * time.Second, Close: 6 * time.Second,
		Behind: 2 * time.Second, Reopen: time.Second, OneTeller: 0.25, AllTellers: 0.5, Part: 0.6, Doubt: 8 * time.Second,
		Wake: 400 * time.Millisecond, WakeHold: 300 * time.Millisecond}
}

// Standing is how well a process can show that what it acts on is current.
type Standing uint8

const (
	// Current: its own source, or neighbours with the same list, have just said so.
	Current Standing = iota
	// Held: nobody's source speaks, so the last good list holds for all.
	Held
	// Narrowed: it uses only servers that have just answered.
	Narrowed
	// Closed: it takes nothing new.
	Closed
	standings
)

func (s Standing) String() string {
	return [...]string{"current", "held", "narrowed", "closed"}[min(s, Closed)]
}

// Entry is a server of the list.
type Entry struct {
	Name      string
	State     version.State
	StartedAt Time
}

// Kind is the form of a list.
type Kind int

const (
	// Changes holds only the changed entries.
	Changes Kind = iota
	// Full holds all; a server not in it is gone.
	Full
	// Cached is a full list that the process had before; it can be old.
	Cached
)

// Event is something that happened.
type Event interface{ event() }

// Events.
type (
	// Listed is a word of the process's own source.
	Listed struct {
		Kind       Kind
		Generation uint64
		Entries    []Entry
	}
	// Heard is a datagram of the fleet's from a process.
	Heard struct {
		From int
		Data []byte
	}
	// Ticked comes every tenth of a second or so.
	Ticked struct{}
	// Woke says that the process stood still for a time and goes on now. It comes
	// before all that happened meanwhile.
	Woke struct{ Gap time.Duration }
	// Worded says that the words of maintenance have changed.
	Worded struct{ Digest uint16 }
)

func (Listed) event() {}
func (Heard) event()  {}
func (Ticked) event() {}
func (Woke) event()   {}
func (Worded) event() {}

// Action is something the caller is to do.
type Action interface{ action() }

// Actions.
type (
	// Tell sends a datagram to a process.
	Tell struct {
		To   int
		Data []byte
	}
	// Changed says that servers may be used, or may not, that it was otherwise for.
	Changed struct{}
	// AskSource asks the own source again, at once.
	AskSource struct{}
	// Log is a line for the operators.
	Log struct{ Line string }
)

func (Tell) action()      {}
func (Changed) action()   {}
func (AskSource) action() {}
func (Log) action()       {}

// Counts are an agent's figures since its start.
type Counts struct {
	Hellos, Asks, Answers, Words uint64 // datagrams sent, by kind
	Bytes                        uint64 // of all of them
	Acted                        uint64 // withdrawals taken of neighbours
	OverBound                    uint64 // that were not, as they would have taken out too much
	Doubted                      uint64 // that were dropped again, as the own source did not bear them out
	Malformed                    uint64 // datagrams in no known form
	Old                          uint64 // older than what their sender said before
	Unused                       uint64 // datagrams of processes that are too far behind to be listened to
	Dropped                      uint64 // words that there was no room for
}
