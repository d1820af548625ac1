package shares

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Wire format, in network byte order. All messages: format byte; resource number; message
// kind; the incarnation, nonce and round of a lease. Then, in messages of fixedSize bytes:
// amount; duration of a grant in ms. Offers carry the load in thousandths in place of the
// incarnation. Claims carry the quorum's digest in place of the nonce; claims and their
// replies end with slot sets, preceded by a byte with the length of each in bytes.
const (
	formatByte = 0xF3
	headerSize = 1 + 1 + 1 + 4 + 4 + 4
	fixedSize  = headerSize + 8 + 4 // of messages without sets
	setsOffset = headerSize + 1
)

const (
	kindOffer = iota
	kindRequest
	kindGrant
	kindReturn
	kindClaim
	kindClaimReply
)

var errMalformed = errors.New("shares: malformed datagram")

// IsMessage reports whether a datagram belongs to this package.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == formatByte }

// IsRequest reports whether a datagram requests or offers a lease, or claims slots. Callers
// ignore such datagrams from peers that lag too far behind.
func IsRequest(data []byte) bool {
	return len(data) > 2 && (data[2] == kindOffer || data[2] == kindRequest || data[2] == kindClaim)
}

// Encode encodes a message about a resource. It returns nil for an unknown type.
func Encode(resource uint8, payload any) []byte {
	header := func(kind byte, incarnation, nonce, round uint32) []byte {
		b := binary.BigEndian.AppendUint32(append(make([]byte, 0, fixedSize), formatByte, resource, kind), incarnation)
		return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, nonce), round)
	}
	fixed := func(kind byte, incarnation, nonce, round uint32, amount int64, duration time.Duration) []byte {
		b := binary.BigEndian.AppendUint64(header(kind, incarnation, nonce, round), uint64(amount))
		return binary.BigEndian.AppendUint32(b, uint32(duration/time.Millisecond))
	}
	switch m := payload.(type) {
	case Offer:
		return fixed(kindOffer, uint32(min(math.MaxUint32, max(0, m.Load*1000))), 0, 0, m.Spare, 0)
	case LeaseRequest:
		return fixed(kindRequest, m.Incarnation, m.Nonce, m.Round, m.Amount, 0)
	case Grant:
		return fixed(kindGrant, m.Incarnation, m.Nonce, m.Round, m.Amount, m.Duration)
	case LeaseReturn:
		return fixed(kindReturn, m.Incarnation, m.Nonce, 0, 0, 0)
	case Claim:
		return appendSets(header(kindClaim, m.Incarnation, uint32(m.QuorumDigest), m.Round), m.Requested)
	case ClaimReply:
		b := appendSets(header(kindClaimReply, m.Incarnation, 0, m.Round), m.Granted, m.Contested, m.Free)
		return appendSet(b, m.Active[:])
	}
	return nil
}

// appendSets appends slot sets, all with the length that the longest one needs.
func appendSets(b []byte, all ...SlotSet) []byte {
	n := 0
	for _, s := range all {
		n = max(n, setLength(s[:]))
	}
	b = append(b, byte(n))
	for _, s := range all {
		b = append(b, setBytes(s[:])[:n]...)
	}
	return b
}

// appendSet appends one set preceded by its length.
func appendSet(b []byte, set []uint64) []byte {
	n := setLength(set)
	return append(append(b, byte(n)), setBytes(set)[:n]...)
}

func setBytes(set []uint64) []byte {
	out := make([]byte, 0, 8*len(set))
	for _, w := range set {
		out = binary.LittleEndian.AppendUint64(out, w)
	}
	return out
}

// setLength returns the number of bytes that a set needs.
func setLength(set []uint64) int {
	for i, w := range slices.Backward(set) {
		if w != 0 {
			return 8*i + (bits.Len64(w)+7)/8
		}
	}
	return 0
}

func readSetInto(b []byte, into []uint64) {
	raw := make([]byte, 8*len(into))
	copy(raw, b)
	for i := range into {
		into[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
}

func readSet(b []byte) (s SlotSet) {
	readSetInto(b, s[:])
	return s
}

// Decode decodes a datagram encoded by Encode.
func Decode(b []byte) (resource uint8, payload any, err error) {
	if len(b) < setsOffset || b[0] != formatByte {
		return 0, nil, errMalformed
	}
	incarnation, nonce, round := binary.BigEndian.Uint32(b[3:]), binary.BigEndian.Uint32(b[7:]), binary.BigEndian.Uint32(b[11:])
	if kind := b[2]; kind == kindClaim || kind == kindClaimReply {
		n := int(b[headerSize])
		if n > MaxSlots/8 {
			return 0, nil, errMalformed
		}
		if kind == kindClaim {
			if len(b) != setsOffset+n || nonce > math.MaxUint16 {
				return 0, nil, errMalformed
			}
			return b[1], Claim{uint16(nonce), incarnation, round, readSet(b[setsOffset:])}, nil
		}
		activeOffset := setsOffset + 3*n
		if len(b) <= activeOffset || int(b[activeOffset]) > MaxHolders/8 || len(b) != activeOffset+1+int(b[activeOffset]) {
			return 0, nil, errMalformed
		}
		m := ClaimReply{Incarnation: incarnation, Round: round, Granted: readSet(b[setsOffset : setsOffset+n]), Contested: readSet(b[setsOffset+n : setsOffset+2*n]), Free: readSet(b[setsOffset+2*n : activeOffset])}
		readSetInto(b[activeOffset+1:], m.Active[:])
		return b[1], m, nil
	}
	if len(b) != fixedSize {
		return 0, nil, errMalformed
	}
	amount, duration := int64(binary.BigEndian.Uint64(b[headerSize:])), time.Duration(binary.BigEndian.Uint32(b[headerSize+8:]))*time.Millisecond
	if amount < 0 {
		return 0, nil, errMalformed
	}
	switch b[2] {
	case kindOffer:
		return b[1], Offer{amount, float64(incarnation) / 1000}, nil
	case kindRequest:
		return b[1], LeaseRequest{LeaseTerms{incarnation, nonce, amount}, round}, nil
	case kindGrant:
		return b[1], Grant{incarnation, nonce, round, amount, duration}, nil
	case kindReturn:
		return b[1], LeaseReturn{incarnation, nonce}, nil
	}
	return 0, nil, errMalformed
}
