// Package follow decides how a process keeps up with the fleet's newest versions and
// how it degrades when it cannot: which peers it queries for updates it has missed,
// which peer reports it applies, when it narrows its set of servers or refuses new
// requests, which peers it ignores, and what it still relies on after a process pause.
// It does no I/O, reads no clock and starts no goroutine: it turns events into actions.
// docs/audit.md describes the design.
//
// A process receives the list of servers from its own source, the discovery service. A
// withdrawal is a change of the list by which a server must not be used any more.
// Processes notify their peers of withdrawals in datagrams; a hello is the datagram that
// each sends regularly to random peers.
package follow

import (
	"time"

	"ivylock/fleet/version"
)

// Time is a reading of the caller's monotonic clock with Unix time as its origin.
type Time = time.Duration

// Fleet describes the membership. Processes are numbered from 0; the numbers are
// assigned by the configuration or by a roster.
type Fleet interface {
	// Size is the number of processes, including this one.
	Size() int
	// Self is this process's number.
	Self() int
	// IsAlive reports whether another process is not known to be gone.
	IsAlive(number int) bool
}

// StaticFleet is a fleet whose members are fixed by the configuration.
type StaticFleet struct{ Nodes, Number int }

// Size implements Fleet.
func (f StaticFleet) Size() int { return f.Nodes }

// Self implements Fleet.
func (f StaticFleet) Self() int { return f.Number }

// IsAlive implements Fleet. A static configuration never reports a process as gone.
func (f StaticFleet) IsAlive(int) bool { return true }

// Settings are the parameters of a fleet, the same at all its processes.
type Settings struct {
	ObserveOnly         bool          // only notify and record: peer reports are not applied, the mode stays Current
	HelloInterval       time.Duration // between two rounds of hellos
	HelloFanout         int           // peers per round of hellos
	PushFanout          int           // peers that are notified of a withdrawal at once
	NarrowAfter         time.Duration // without confirmation: only servers that have just answered are used
	CloseAfter          time.Duration // without confirmation: no new requests are taken
	BehindAfter         time.Duration // a peer that acts on an older list for longer is ignored
	ReopenJitter        time.Duration // maximum random delay before reopening
	OnePeerFraction     float64       // of the list that reports of a single peer may withdraw
	AllPeersFraction    float64       // of the list that reports of all peers together may withdraw
	StaleSourceFraction float64       // of the fleet: if so many have no recent list, the source counts as stale
	UnconfirmedTimeout  time.Duration // after which a report that the live own source has not confirmed is dropped
	PauseThreshold      time.Duration // longer gaps between ticks count as process pauses
	PauseHold           time.Duration // maximum wait for confirmation of the own state after a pause
}

// DefaultSettings returns the settings described in docs/audit.md.
func DefaultSettings() Settings {
	return Settings{HelloInterval: 250 * time.Millisecond, HelloFanout: 2, PushFanout: 8, NarrowAfter: 3 * time.Second, CloseAfter: 6 * time.Second,
		BehindAfter: 2 * time.Second, ReopenJitter: time.Second, OnePeerFraction: 0.25, AllPeersFraction: 0.5, StaleSourceFraction: 0.6, UnconfirmedTimeout: 8 * time.Second,
		PauseThreshold: 400 * time.Millisecond, PauseHold: 300 * time.Millisecond}
}

// Mode describes how recently the list that a process acts on was confirmed to be current,
// and what the process does about it.
type Mode uint8

const (
	// Current: its own source, or peers with the same list, confirmed the list recently.
	Current Mode = iota
	// Held: no process receives anything from its source, so all keep using the last list.
	Held
	// Narrowed: only servers that have just answered are used.
	Narrowed
	// Closed: no new requests are accepted.
	Closed
	modeCount
)

func (s Mode) String() string {
	return [...]string{"current", "held", "narrowed", "closed"}[min(s, Closed)]
}

// Entry is one server in a list.
type Entry struct {
	Name      string
	State     version.State
	StartedAt Time
}

// ListKind is the kind of a list.
type ListKind int

const (
	// Delta holds only the changed entries.
	Delta ListKind = iota
	// Full holds all entries; a server that is missing has been removed.
	Full
	// Cached is a full list from an earlier run; it may be stale.
	Cached
)

// Event is an input of the agent.
type Event interface{ event() }

// The events.
type (
	// ListReceived is a list from the process's own source.
	ListReceived struct {
		Kind       ListKind
		Generation uint64
		Entries    []Entry
	}
	// DatagramReceived is a fleet datagram from a peer.
	DatagramReceived struct {
		From int
		Data []byte
	}
	// Tick must be delivered about every 100 ms.
	Tick struct{}
	// Resumed reports that the process was paused for a time. It must be delivered before
	// all events that were queued during the pause.
	Resumed struct{ Gap time.Duration }
	// MaintenanceChanged reports a new digest of the maintenance records in force.
	MaintenanceChanged struct{ Digest uint16 }
)

func (ListReceived) event()       {}
func (DatagramReceived) event()   {}
func (Tick) event()               {}
func (Resumed) event()            {}
func (MaintenanceChanged) event() {}

// Action is an output of the agent, for the caller to carry out.
type Action interface{ action() }

// The actions.
type (
	// Send sends a datagram to a peer.
	Send struct {
		To   int
		Data []byte
	}
	// EligibilityChanged reports that the set of servers that may be used has changed.
	EligibilityChanged struct{}
	// QuerySource queries the own source at once.
	QuerySource struct{}
	// Log is a log line.
	Log struct{ Line string }
)

func (Send) action()               {}
func (EligibilityChanged) action() {}
func (QuerySource) action()        {}
func (Log) action()                {}

// Counts are an agent's counters since its start.
type Counts struct {
	Hellos, Queries, Answers, Withdrawals uint64 // datagrams sent, by kind; single withdrawals in them
	Bytes                                 uint64 // of all datagrams sent
	Applied                               uint64 // withdrawals applied that peers reported
	OverLimit                             uint64 // withdrawals not applied because of the limits on peer reports
	Reverted                              uint64 // withdrawals reverted because the own source did not confirm them
	Malformed                             uint64 // datagrams of unknown format
	Stale                                 uint64 // datagrams older than one that the sender had sent before
	Ignored                               uint64 // datagrams ignored because their sender acts on an outdated list
	Dropped                               uint64 // withdrawals dropped because the table was full
}
