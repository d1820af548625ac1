// Package roster decides who is in a fleet: alive, suspected, gone, or back under a
// new life. It is SWIM (Das, Gupta and Motivala, 2002) with suspicion and
// incarnations, and with Lifeguard's awareness of one's own slowness (Dadgar,
// Phillips and Currey, 2018), in datagrams of 256 bytes, without a connection, at a
// number of datagrams a second that does not grow with the fleet. It does no I/O,
// reads no clock and starts no goroutine. docs/members.md has the protocol on a page.
package roster

import (
	"net/netip"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// ID names a process, and its successor after a restart.
type ID uint32

// Refutations tells apart the processes that have a name in turn: the later one has the
// higher number, such as its start in Unix seconds.
type Incarnation uint32

// Status is what a process is taken for.
type Status uint8

const (
	// Alive: it has answered, or others say so.
	Alive Status = iota
	// Suspect: it did not answer, and has not been heard to refute it.
	Suspect
	// Gone: it has not refuted a suspicion in time.
	Gone
	// Left: it said that it ends.
	Left
	statuses
)

func (s Status) String() string { return [...]string{"alive", "suspect", "gone", "left"}[min(s, Left)] }

// Settings of a roster, the same at all processes.
type Settings struct {
	ProbePeriod            time.Duration  // one probe in each
	ProbeTimeout           time.Duration  // of a probe, before others are asked to probe too
	IndirectProbes         int            // that are asked
	SuspicionMultiplier    float64        // least time of a suspicion, in periods times log10 of the fleet
	SuspicionMaxMultiplier float64        // multiple of that, where one own probe failed; twice that, where none was made
	MaxAwareness           int            // most that own slowness counts
	RetransmitMultiplier   float64        // times log10 of the fleet that an update is told
	BytesPerSecond         float64        // a second that news may cost; beyond it probes go out with what they need alone
	ForgetAfter            time.Duration  // after which one that is gone is forgotten
	AllowedPrefixes        []netip.Prefix // addresses beside the seeds' that are heard; none: members' alone
	MaxMembers             int            // most that are kept
	IDLimit                ID             // IDs are lower; one that is not is nobody's
}

// Defaults are the settings of docs/members.md.
func Defaults() Settings {
	return Settings{ProbePeriod: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3, SuspicionMultiplier: 4, SuspicionMaxMultiplier: 4, MaxAwareness: 8,
		RetransmitMultiplier: 4, BytesPerSecond: 1200, ForgetAfter: 10 * time.Minute, MaxMembers: 4096, IDLimit: 4096}
}

// Event is something that happened.
type Event interface{ event() }

// Events.
type (
	// LastHeard is a datagram of package roster's.
	DatagramReceived struct {
		From netip.AddrPort
		Data []byte
	}
	// PeerActive says that a member has said anything at all: no probe is needed to know
	// that it lives.
	PeerActive struct{ ID ID }
	// Tick comes every tenth of a period, or more often.
	Tick struct{}
	// Resumed says that this process stood still.
	Resumed struct{ Gap time.Duration }
	// Leaving says that this process is about to end in order.
	Leaving struct{}
)

func (DatagramReceived) event() {}
func (PeerActive) event()       {}
func (Tick) event()             {}
func (Resumed) event()          {}
func (Leaving) event()          {}

// Action is something the caller is to do.
type Action interface{ action() }

// Actions.
type (
	// Send sends a datagram.
	Send struct {
		To   netip.AddrPort
		Data []byte
	}
	// StatusChanged says that a member is taken for something else now.
	StatusChanged struct {
		ID          ID
		Status      Status
		Incarnation Incarnation
	}
)

func (Send) action()          {}
func (StatusChanged) action() {}

// Member is one process as this one sees it.
type Member struct {
	ID          ID
	Addr        netip.AddrPort
	Status      Status
	Incarnation Incarnation
	Refutations uint16
	LastHeard   Time // last word of its own; 0: never
	StatusSince Time // of its status
}

// Counts are a roster's figures since its start.
type Counts struct {
	Probes, ProbesSkipped uint64 // probes sent; turns in which none was needed, as the member had been heard
	Datagrams             uint64
	Bytes                 uint64
	Suspicions            uint64 // of its own
	Refuted               uint64 // suspicions of this process that it refuted
	UnknownSenders        uint64 // datagrams from addresses that are not heard
	Malformed             uint64
	Stale                 uint64 // of a former life
	IncarnationsRaised    uint64 // times that this process took a later life, as a former one of it was known
	MembersRejected       uint64 // members that there was no room for
}

// NumberedAddr is the address that stands for a process where the configuration numbers
// all of them: each process reaches the others at addresses of its own. It is no
// address of the network.
func NumberedAddr(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{0, 0, byte(number >> 8), byte(number)}), 1)
}

// NumberOf is the number that such an address stands for; false: it is none.
func NumberOf(a netip.AddrPort) (int, bool) {
	if !a.Addr().Is4() || a.Port() != 1 {
		return 0, false
	}
	ip := a.Addr().As4()
	return int(ip[2])<<8 | int(ip[3]), ip[0] == 0 && ip[1] == 0
}

// Addr is where a member is reached; false: it is not known.
func (r *Roster) Addr(id ID) (netip.AddrPort, bool) {
	if m := r.members[id]; m != nil {
		return m.Addr, true
	}
	return netip.AddrPort{}, false
}

// IDAt is who has an address; false: nobody that is known.
func (r *Roster) IDAt(a netip.AddrPort) (ID, bool) {
	id, known := r.byAddr[a]
	return id, known
}

// IsMessage tells whether a datagram is one of this package's.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == form }

// IsGone tells whether a process is taken for gone, or has left.
func (r *Roster) IsGone(id ID) bool {
	m := r.members[id]
	return m != nil && (m.Status == Gone || m.Status == Left)
}
