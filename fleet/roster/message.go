package roster

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// MaxDatagram is the maximum size of a datagram in bytes.
const MaxDatagram = 256

// Wire format, in network byte order: format byte; message kind; sequence number, which the
// answer repeats; the sender's ID, incarnation, refutation count and view digest; ID and
// IPv4 address of the target of an indirect probe; then member updates, those sent least
// often first: status, ID, incarnation, refutation count, address.
const (
	formatByte = 0xF2
	headerSize = 1 + 1 + 4 + 4 + 4 + 2 + 4 + 4 + 6
	updateSize = 1 + 4 + 4 + 2 + 6
	// MaxUpdates is the number of member updates that fit in a datagram.
	MaxUpdates = (MaxDatagram - headerSize) / updateSize
)

type kind uint8

const (
	ping kind = iota
	ack
	pingRequest // asks the receiver to probe the target
	nack        // the target has not answered the receiver of a pingRequest either
	stateSync   // member updates alone, sent when views differ
	kindCount
)

type message struct {
	kind        kind
	seq         uint32
	id          ID
	incarnation Incarnation
	refutations uint16
	digest      uint32
	target      ID
	targetAddr  netip.AddrPort
	updates     []update
}

// update is a member's state on the wire.
type update struct {
	status      Status
	id          ID
	incarnation Incarnation
	refutations uint16
	addr        netip.AddrPort
}

var errMalformed = errors.New("roster: malformed datagram")

func appendAddr(to []byte, a netip.AddrPort) []byte {
	ip := [4]byte{}
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	return binary.BigEndian.AppendUint16(append(to, ip[:]...), a.Port())
}

func readAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

func (m *message) append(to []byte) []byte {
	to = binary.BigEndian.AppendUint32(append(to, formatByte, byte(m.kind)), m.seq)
	to = binary.BigEndian.AppendUint32(to, uint32(m.id))
	to = binary.BigEndian.AppendUint32(to, uint32(m.incarnation))
	to = binary.BigEndian.AppendUint16(to, m.refutations)
	to = binary.BigEndian.AppendUint32(to, m.digest)
	to = appendAddr(binary.BigEndian.AppendUint32(to, uint32(m.target)), m.targetAddr)
	for _, u := range m.updates {
		to = binary.BigEndian.AppendUint32(append(to, byte(u.status)), uint32(u.id))
		to = binary.BigEndian.AppendUint32(to, uint32(u.incarnation))
		to = appendAddr(binary.BigEndian.AppendUint16(to, u.refutations), u.addr)
	}
	return to
}

func parse(data []byte) (message, error) {
	var m message
	if len(data) < headerSize || len(data) > MaxDatagram || data[0] != formatByte || data[1] >= byte(kindCount) || (len(data)-headerSize)%updateSize != 0 {
		return m, errMalformed
	}
	m = message{kind: kind(data[1]), seq: binary.BigEndian.Uint32(data[2:]), id: ID(binary.BigEndian.Uint32(data[6:])), incarnation: Incarnation(binary.BigEndian.Uint32(data[10:])),
		refutations: binary.BigEndian.Uint16(data[14:]), digest: binary.BigEndian.Uint32(data[16:]), target: ID(binary.BigEndian.Uint32(data[20:])), targetAddr: readAddr(data[24:])}
	for data = data[headerSize:]; len(data) > 0; data = data[updateSize:] {
		u := update{status: Status(data[0]), id: ID(binary.BigEndian.Uint32(data[1:])), incarnation: Incarnation(binary.BigEndian.Uint32(data[5:])),
			refutations: binary.BigEndian.Uint16(data[9:]), addr: readAddr(data[11:])}
		if u.status >= statusCount {
			return m, errMalformed
		}
		m.updates = append(m.updates, u)
	}
	return m, nil
}
