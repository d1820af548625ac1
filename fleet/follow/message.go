package follow

import (
	"encoding/binary"
	"errors"
	"time"

	"ivylock/fleet/version"
)

// MaxDatagram is the maximum size of a datagram between processes, in bytes.
const MaxDatagram = 256

// Datagram format: a format byte, the kind, the sender's vector (24 bytes), the age of
// its source's last list in hundredths of a second, its mode, and the version up to
// which it applies all withdrawals (6 bytes). Then by kind: a hello carries any other
// payload for the receiver; a query the version after which withdrawals are requested;
// withdrawals their part number, the version after which they are complete, and the
// entries; a full list its part number and the keys of all servers that are up. All in
// network byte order.
const (
	formatID   = 0xF1
	headerSize = 2 + version.VectorSize + 2 + 1 + 6

	withdrawalSize        = 8 + 1 + 4
	withdrawalsHeaderSize = 2 + 6
	keySize               = 8
	fullListHeaderSize    = 2
	maxWithdrawals        = (MaxDatagram - headerSize - withdrawalsHeaderSize) / withdrawalSize
	maxKeys               = (MaxDatagram - headerSize - fullListHeaderSize) / keySize
	maxParts              = 64

	maxHelloWithdrawals = 4 // sent with a hello

	stateMask  = 0x03
	relayed    = 0x80 // the sender received it from a peer, not from its own source
	unknownAge = 0xFFFF
)

type kind uint8

const (
	hello kind = iota
	query
	withdrawals
	fullList
	kindCount
)

// withdrawal is a server that takes no new requests as of a version.
type withdrawal struct {
	key     version.Key
	state   version.State
	list    version.List
	relayed bool
}

// message is a decoded datagram.
type message struct {
	kind        kind
	vector      version.Vector
	age         time.Duration // of the list from the sender's own source; negative: none yet
	mode        Mode
	applied     version.List // version up to which the sender applies all withdrawals
	since       version.List // of a query and of withdrawals
	part, parts int
	withdrawals []withdrawal
	keys        []version.Key
	payload     []byte // of a hello
}

var errFormat = errors.New("fleet: datagram of unknown format")

func (msg *message) append(buf []byte) []byte {
	buf = msg.vector.Append(append(buf, formatID, byte(msg.kind)))
	age := uint16(unknownAge)
	if msg.age >= 0 {
		age = uint16(min(msg.age/(10*time.Millisecond), unknownAge-1))
	}
	buf = binary.BigEndian.AppendUint16(buf, age)
	buf = appendList(append(buf, byte(msg.mode)), msg.applied)
	switch msg.kind {
	case hello:
		buf = append(buf, msg.payload...)
	case query:
		buf = appendList(buf, msg.since)
	case withdrawals:
		buf = appendList(append(buf, byte(msg.part), byte(msg.parts)), msg.since)
		for _, w := range msg.withdrawals {
			b := byte(w.state)
			if w.relayed {
				b |= relayed
			}
			buf = append(binary.BigEndian.AppendUint64(buf, uint64(w.key)), b)
			buf = binary.BigEndian.AppendUint32(buf, w.list.Generation)
		}
	case fullList:
		buf = append(buf, byte(msg.part), byte(msg.parts))
		for _, k := range msg.keys {
			buf = binary.BigEndian.AppendUint64(buf, uint64(k))
		}
	}
	return buf
}

func appendList(to []byte, l version.List) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(to, l.Epoch), l.Generation)
}

func readList(b []byte) version.List {
	return version.List{Epoch: binary.BigEndian.Uint16(b), Generation: binary.BigEndian.Uint32(b[2:])}
}

// IsFleetDatagram reports whether a datagram is of the fleet's format, of any kind.
func IsFleetDatagram(datagram []byte) bool { return len(datagram) > 0 && datagram[0] == formatID }

// parse decodes a datagram. It returns errFormat if any of it is malformed.
func parse(data []byte) (message, error) {
	var msg message
	if len(data) < headerSize || len(data) > MaxDatagram || data[0] != formatID || data[1] >= byte(kindCount) {
		return msg, errFormat
	}
	msg.kind = kind(data[1])
	msg.vector, _ = version.ParseVector(data[2:])
	body := data[2+version.VectorSize:]
	msg.age = -1
	if age := binary.BigEndian.Uint16(body); age != unknownAge {
		msg.age = time.Duration(age) * 10 * time.Millisecond
	}
	msg.mode, msg.applied = Mode(body[2]), readList(body[3:])
	if msg.mode >= modeCount {
		return msg, errFormat
	}
	body = body[9:]
	switch msg.kind {
	case hello:
		msg.payload = body
	case query:
		if len(body) != 6 {
			return msg, errFormat
		}
		msg.since = readList(body)
	case withdrawals:
		if len(body) < withdrawalsHeaderSize || (len(body)-withdrawalsHeaderSize)%withdrawalSize != 0 || !msg.parsePart(body) {
			return msg, errFormat
		}
		msg.since = readList(body[2:])
		for body = body[withdrawalsHeaderSize:]; len(body) > 0; body = body[withdrawalSize:] {
			w := withdrawal{key: version.Key(binary.BigEndian.Uint64(body)), state: version.State(body[8] & stateMask), relayed: body[8]&relayed != 0,
				list: version.List{Epoch: msg.applied.Epoch, Generation: binary.BigEndian.Uint32(body[9:])}}
			if w.state != version.Draining && w.state != version.Removed || w.list.CompareGeneration(msg.applied) == version.Newer {
				// Peers may only withdraw servers, and nothing newer than what the
				// sender itself applies.
				return msg, errFormat
			}
			msg.withdrawals = append(msg.withdrawals, w)
		}
	case fullList:
		if len(body) < fullListHeaderSize || (len(body)-fullListHeaderSize)%keySize != 0 || !msg.parsePart(body) {
			return msg, errFormat
		}
		for body = body[fullListHeaderSize:]; len(body) > 0; body = body[keySize:] {
			msg.keys = append(msg.keys, version.Key(binary.BigEndian.Uint64(body)))
		}
	}
	return msg, nil
}

// parsePart reads the part number and the number of parts.
func (msg *message) parsePart(b []byte) bool {
	msg.part, msg.parts = int(b[0]), int(b[1])
	return msg.parts > 0 && msg.parts <= maxParts && msg.part < msg.parts
}
