// Package roster implements membership and failure detection for a fleet: which processes
// are alive, suspected, gone, or restarted under a later incarnation. The protocol is SWIM
// (Das, Gupta and Motivala, 2002) with its suspicion mechanism, and Lifeguard's local
// health awareness (Dadgar, Phillips and Currey, 2018). It uses UDP datagrams of at most
// 256 bytes at a rate that does not grow with the fleet. The package does no I/O, reads no
// clock and starts no goroutine. docs/members.md describes the protocol.
package roster

import (
	"net/netip"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// ID identifies a process and its successors after restarts.
type ID uint32

// Incarnation distinguishes successive processes with the same ID: a later process has the
// higher number, such as its start in Unix seconds.
type Incarnation uint32

// Status is the state of a member as seen by this process.
type Status uint8

const (
	// Alive means that the member, or another process on its behalf, has answered.
	Alive Status = iota
	// Suspect means that the member did not answer probes and has not refuted the suspicion.
	Suspect
	// Gone means that a suspicion was not refuted in time.
	Gone
	// Left means that the member announced its shutdown.
	Left
	statusCount
)

func (s Status) String() string { return [...]string{"alive", "suspect", "gone", "left"}[min(s, Left)] }

// Settings configure a roster. They must be the same at all processes.
type Settings struct {
	ProbePeriod            time.Duration  // one probe is started in each period
	ProbeTimeout           time.Duration  // time without an ack until indirect probes are requested
	IndirectProbes         int            // members asked to probe on this process's behalf
	SuspicionMultiplier    float64        // minimum suspicion time, in periods times log10 of the fleet size
	SuspicionMaxMultiplier float64        // of the minimum, after one or two failed own probes; doubled without any
	MaxAwareness           int            // upper bound of the local health score
	RetransmitMultiplier   float64        // transmissions of an update, times log10 of the fleet size
	BytesPerSecond         float64        // budget of sent bytes; beyond it datagrams carry few updates
	ForgetAfter            time.Duration  // time until a gone member is removed
	AllowedPrefixes        []netip.Prefix // accepted senders in addition to members and seeds
	MaxMembers             int            // limit of known members, without this process
	IDLimit                ID             // exclusive upper bound of valid IDs
}

// Defaults returns the settings described in docs/members.md.
func Defaults() Settings {
	return Settings{ProbePeriod: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3, SuspicionMultiplier: 4, SuspicionMaxMultiplier: 4, MaxAwareness: 8,
		RetransmitMultiplier: 4, BytesPerSecond: 1200, ForgetAfter: 10 * time.Minute, MaxMembers: 4096, IDLimit: 4096}
}

// Event is an input to Handle.
type Event interface{ event() }

// Events.
type (
	// DatagramReceived is a datagram for which IsMessage is true.
	DatagramReceived struct {
		From netip.AddrPort
		Data []byte
	}
	// PeerActive reports that any message of a member was received, which makes a probe of
	// it unnecessary.
	PeerActive struct{ ID ID }
	// Tick must be delivered ten times per period or more often.
	Tick struct{}
	// Resumed reports that this process was paused for a time.
	Resumed struct{ Gap time.Duration }
	// Leaving reports that this process is about to shut down gracefully.
	Leaving struct{}
)

func (DatagramReceived) event() {}
func (PeerActive) event()       {}
func (Tick) event()             {}
func (Resumed) event()          {}
func (Leaving) event()          {}

// Action is an instruction to the caller.
type Action interface{ action() }

// Actions.
type (
	// Send asks the caller to send a datagram.
	Send struct {
		To   netip.AddrPort
		Data []byte
	}
	// StatusChanged reports a member's new status.
	StatusChanged struct {
		ID          ID
		Status      Status
		Incarnation Incarnation
	}
)

func (Send) action()          {}
func (StatusChanged) action() {}

// Member is the state of a process as seen by this one.
type Member struct {
	ID          ID
	Addr        netip.AddrPort
	Status      Status
	Incarnation Incarnation
	Refutations uint16 // suspicions refuted; with Incarnation it forms SWIM's incarnation number
	LastHeard   Time   // last time the member was heard from; 0: never
	StatusSince Time
}

// Counts are counters since the roster's start.
type Counts struct {
	Probes, ProbesSkipped uint64 // probes sent; turns skipped because the member was heard from recently
	Datagrams             uint64
	Bytes                 uint64
	Suspicions            uint64 // raised by this process
	Refuted               uint64 // suspicions of this process that it refuted
	UnknownSenders        uint64 // datagrams from senders that are not accepted
	Malformed             uint64
	Stale                 uint64 // datagrams of a former incarnation
	IncarnationsRaised    uint64 // changes to a later incarnation because a former one had the same or a higher number
	MembersRejected       uint64 // members not added because of MaxMembers
}

// NumberedAddr returns a placeholder address for a process in a configuration that numbers
// all processes and where each process reaches the others at different addresses. It is
// never used on the network. number must be from 0 to 65535.
func NumberedAddr(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{0, 0, byte(number >> 8), byte(number)}), 1)
}

// NumberOf returns the number of an address made by NumberedAddr, and whether it is one.
func NumberOf(a netip.AddrPort) (int, bool) {
	if !a.Addr().Is4() || a.Port() != 1 {
		return 0, false
	}
	ip := a.Addr().As4()
	return int(ip[2])<<8 | int(ip[3]), ip[0] == 0 && ip[1] == 0
}

// Addr returns a member's address and whether it is known.
func (r *Roster) Addr(id ID) (netip.AddrPort, bool) {
	if m := r.members[id]; m != nil {
		return m.Addr, true
	}
	return netip.AddrPort{}, false
}

// IDAt returns the ID of the member with an address and whether there is one.
func (r *Roster) IDAt(a netip.AddrPort) (ID, bool) {
	id, known := r.byAddr[a]
	return id, known
}

// IsMessage reports whether a datagram belongs to this package.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == formatByte }

// IsGone reports whether a member is gone or has left; false if it is not known.
func (r *Roster) IsGone(id ID) bool {
	m := r.members[id]
	return m != nil && (m.Status == Gone || m.Status == Left)
}
