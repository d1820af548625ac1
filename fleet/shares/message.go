package shares

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
	"slices"
	"time"
)

// The form: a byte that names it, the whole that it is of, what it is, and three
// numbers: the life, the nonce, the round of a loan; an amount; how long a grant is
// for, in ms. All in network order, 27 bytes. A claim has, behind the life and the
// round, the quorum's digest; the sets of a claim and of its answer follow, each as
// long as the byte before them says.
const (
	form = 0xF3
	head = 1 + 1 + 1 + 4 + 4 + 4
	size = head + 8 + 4
	sets = head + 1
)

const (
	kindOffer = iota
	kindRenew
	kindGrant
	kindReturn
	kindClaim
	kindLeased
)

var errForm = errors.New("shares: a datagram that is in no known form")

// IsMessage tells whether a datagram is one of this package's.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == form }

// IsRequest tells whether a datagram asks for something, or offers it: what a process that
// is not to be counted on must not be listened to for.
func IsRequest(data []byte) bool {
	return len(data) > 2 && (data[2] == kindOffer || data[2] == kindRenew || data[2] == kindClaim)
}

// Encode words a message of a whole.
func Encode(whole uint8, say any) []byte {
	start := func(kind byte, life, nonce, round uint32) []byte {
		b := binary.BigEndian.AppendUint32(append(make([]byte, 0, size), form, whole, kind), life)
		return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, nonce), round)
	}
	put := func(kind byte, life, nonce, round uint32, amount int64, lasts time.Duration) []byte {
		b := binary.BigEndian.AppendUint64(start(kind, life, nonce, round), uint64(amount))
		return binary.BigEndian.AppendUint32(b, uint32(lasts/time.Millisecond))
	}
	switch m := say.(type) {
	case Offer:
		return put(kindOffer, uint32(min(math.MaxUint32, max(0, m.Load*1000))), 0, 0, m.Spare, 0)
	case LeaseRequest:
		return put(kindRenew, m.Incarnation, m.Nonce, m.Round, m.Amount, 0)
	case Grant:
		return put(kindGrant, m.Incarnation, m.Nonce, m.Round, m.Amount, m.Duration)
	case LeaseReturn:
		return put(kindReturn, m.Incarnation, m.Nonce, 0, 0, 0)
	case Claim:
		return appendSets(start(kindClaim, m.Incarnation, uint32(m.QuorumDigest), m.Round), m.Requested)
	case ClaimReply:
		b := appendSets(start(kindLeased, m.Incarnation, 0, m.Round), m.Granted, m.Contested, m.Free)
		return appendWords(b, m.Active[:])
	}
	return nil
}

// appendSets writes sets of seats, as long as the highest seat in any of them asks for.
func appendSets(b []byte, all ...SlotSet) []byte {
	n := 0
	for _, s := range all {
		n = max(n, length(s[:]))
	}
	b = append(b, byte(n))
	for _, s := range all {
		b = append(b, words(s[:])[:n]...)
	}
	return b
}

// appendWords writes one set behind its length.
func appendWords(b []byte, set []uint64) []byte {
	n := length(set)
	return append(append(b, byte(n)), words(set)[:n]...)
}

func words(set []uint64) []byte {
	out := make([]byte, 0, 8*len(set))
	for _, w := range set {
		out = binary.LittleEndian.AppendUint64(out, w)
	}
	return out
}

// length is how many bytes a set needs.
func length(set []uint64) int {
	for i, w := range slices.Backward(set) {
		if w != 0 {
			return 8*i + (bits.Len64(w)+7)/8
		}
	}
	return 0
}

func readWords(b []byte, into []uint64) {
	raw := make([]byte, 8*len(into))
	copy(raw, b)
	for i := range into {
		into[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
}

func readSet(b []byte) (s SlotSet) {
	readWords(b, s[:])
	return s
}

// Decode reads what Encode wrote.
func Decode(b []byte) (whole uint8, say any, err error) {
	if len(b) < sets || b[0] != form {
		return 0, nil, errForm
	}
	life, nonce, round := binary.BigEndian.Uint32(b[3:]), binary.BigEndian.Uint32(b[7:]), binary.BigEndian.Uint32(b[11:])
	if kind := b[2]; kind == kindClaim || kind == kindLeased {
		n := int(b[head])
		if n > MaxSlots/8 {
			return 0, nil, errForm
		}
		if kind == kindClaim {
			if len(b) != sets+n || nonce > math.MaxUint16 {
				return 0, nil, errForm
			}
			return b[1], Claim{uint16(nonce), life, round, readSet(b[sets:])}, nil
		}
		active := sets + 3*n
		if len(b) <= active || int(b[active]) > MaxHolders/8 || len(b) != active+1+int(b[active]) {
			return 0, nil, errForm
		}
		m := ClaimReply{Incarnation: life, Round: round, Granted: readSet(b[sets : sets+n]), Contested: readSet(b[sets+n : sets+2*n]), Free: readSet(b[sets+2*n : active])}
		readWords(b[active+1:], m.Active[:])
		return b[1], m, nil
	}
	if len(b) != size {
		return 0, nil, errForm
	}
	amount, lasts := int64(binary.BigEndian.Uint64(b[head:])), time.Duration(binary.BigEndian.Uint32(b[head+8:]))*time.Millisecond
	if amount < 0 {
		return 0, nil, errForm
	}
	switch b[2] {
	case kindOffer:
		return b[1], Offer{amount, float64(life) / 1000}, nil
	case kindRenew:
		return b[1], LeaseRequest{LeaseTerms{life, nonce, amount}, round}, nil
	case kindGrant:
		return b[1], Grant{life, nonce, round, amount, lasts}, nil
	case kindReturn:
		return b[1], LeaseReturn{life, nonce}, nil
	}
	return 0, nil, errForm
}
