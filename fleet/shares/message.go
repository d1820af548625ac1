package shares

import (
	"encoding/binary"
	"errors"
)

// The form: a byte that names it, the whole that it is of, what it is, and three
// numbers: the life, the nonce, the round of a loan; then an amount. All in network
// order, 22 bytes.
const (
	form = 0xF3
	size = 1 + 1 + 1 + 4 + 4 + 4 + 8
)

var errForm = errors.New("shares: a datagram that is in no known form")

// Ours tells whether a datagram is one of this package's.
func Ours(data []byte) bool { return len(data) > 0 && data[0] == form }

// Encode words a message of a whole.
func Encode(whole uint8, say any) []byte {
	put := func(kind byte, life, nonce, round uint32, amount int64) []byte {
		b := binary.BigEndian.AppendUint32(append(make([]byte, 0, size), form, whole, kind), life)
		b = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, nonce), round)
		return binary.BigEndian.AppendUint64(b, uint64(amount))
	}
	switch m := say.(type) {
	case Offer:
		return put(0, 0, 0, 0, m.Spare)
	case Renew:
		return put(1, m.Life, m.Nonce, m.Round, m.Want)
	case Grant:
		return put(2, m.Life, m.Nonce, m.Round, m.Amount)
	case Return:
		return put(3, m.Life, m.Nonce, 0, 0)
	}
	return nil
}

// Decode reads what Encode wrote.
func Decode(b []byte) (whole uint8, say any, err error) {
	if len(b) != size || b[0] != form {
		return 0, nil, errForm
	}
	life, nonce, round := binary.BigEndian.Uint32(b[3:]), binary.BigEndian.Uint32(b[7:]), binary.BigEndian.Uint32(b[11:])
	amount := int64(binary.BigEndian.Uint64(b[15:]))
	if amount < 0 {
		return 0, nil, errForm
	}
	switch b[2] {
	case 0:
		return b[1], Offer{amount}, nil
	case 1:
		return b[1], Renew{Ask{life, nonce, amount}, round}, nil
	case 2:
		return b[1], Grant{life, nonce, round, amount}, nil
	case 3:
		return b[1], Return{life, nonce}, nil
	}
	return 0, nil, errForm
}
