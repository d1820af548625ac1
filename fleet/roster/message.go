package roster

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// MaxDatagram is the most that a datagram holds, bytes.
const MaxDatagram = 256

// The form: a byte that names it; what it is; a number that its answer repeats; the
// sender's name, life and incarnation, and the digest of its view; for what is asked or done on behalf of
// another, that one's name and address; then what the sender knows of members, the
// latest first: status, name, life, incarnation, address. All in network order;
// addresses are of IPv4.
const (
	form   = 0xF2
	head   = 1 + 1 + 4 + 4 + 4 + 2 + 4 + 4 + 6
	update = 1 + 4 + 4 + 2 + 6
	// MaxUpdates is how many a datagram holds.
	MaxUpdates = (MaxDatagram - head) / update
)

type kind uint8

const (
	ping kind = iota
	ack
	pingFor // probe that one, and tell me
	nack    // it has not answered me either, and I am here
	page    // members alone, as the views differ
	kinds
)

type message struct {
	kind        kind
	seq         uint32
	id          ID
	life        Incarnation
	incarnation uint16
	digest      uint32
	target      ID
	at          netip.AddrPort
	updates     []said
}

// said is what is told of a member.
type said struct {
	status      Status
	id          ID
	life        Incarnation
	incarnation uint16
	addr        netip.AddrPort
}

var errForm = errors.New("roster: a datagram that is in no known form")

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
	to = binary.BigEndian.AppendUint32(append(to, form, byte(m.kind)), m.seq)
	to = binary.BigEndian.AppendUint32(to, uint32(m.id))
	to = binary.BigEndian.AppendUint32(to, uint32(m.life))
	to = binary.BigEndian.AppendUint16(to, m.incarnation)
	to = binary.BigEndian.AppendUint32(to, m.digest)
	to = appendAddr(binary.BigEndian.AppendUint32(to, uint32(m.target)), m.at)
	for _, u := range m.updates {
		to = binary.BigEndian.AppendUint32(append(to, byte(u.status)), uint32(u.id))
		to = binary.BigEndian.AppendUint32(to, uint32(u.life))
		to = appendAddr(binary.BigEndian.AppendUint16(to, u.incarnation), u.addr)
	}
	return to
}

func parse(b []byte) (message, error) {
	var m message
	if len(b) < head || len(b) > MaxDatagram || b[0] != form || b[1] >= byte(kinds) || (len(b)-head)%update != 0 {
		return m, errForm
	}
	m = message{kind: kind(b[1]), seq: binary.BigEndian.Uint32(b[2:]), id: ID(binary.BigEndian.Uint32(b[6:])), life: Incarnation(binary.BigEndian.Uint32(b[10:])),
		incarnation: binary.BigEndian.Uint16(b[14:]), digest: binary.BigEndian.Uint32(b[16:]), target: ID(binary.BigEndian.Uint32(b[20:])), at: readAddr(b[24:])}
	for b = b[head:]; len(b) > 0; b = b[update:] {
		u := said{status: Status(b[0]), id: ID(binary.BigEndian.Uint32(b[1:])), life: Incarnation(binary.BigEndian.Uint32(b[5:])),
			incarnation: binary.BigEndian.Uint16(b[9:]), addr: readAddr(b[11:])}
		if u.status >= statuses {
			return m, errForm
		}
		m.updates = append(m.updates, u)
	}
	return m, nil
}
