package membership

import (
	"encoding/binary"
	"errors"
	"time"
)

// Nodes tell one another of changes of the list in datagrams of 256 bytes at most, in network order. The
// first byte names the form.
const (
	formLeft     = 0xB3 // servers that leave: a key of four bytes each
	formQuestion = 0xB4 // what came after this generation (eight bytes)?
	formStarted  = 0xB5 // servers that were restarted: a key, and the start in Unix ms (eight bytes), each

	maxDatagram = 256
	keySize     = 4
	startSize   = keySize + 8

	// MaxDepartures is how many servers that leave one datagram holds.
	MaxDepartures = (maxDatagram - 1) / keySize
	// MaxRestarts is how many restarts one datagram holds.
	MaxRestarts = (maxDatagram - 1) / startSize
)

var errForm = errors.New("membership: a datagram that no node sends")

// Datagram is one of Left, Question and Started.
type Datagram interface{ datagram() }

// The datagrams.
type (
	// Departures has the keys of servers that leave.
	Departures []uint32
	// ChangesQuery asks for what came after a generation.
	ChangesQuery struct{ Generation uint64 }
	// Restart is a server that was restarted.
	Restart struct {
		Key       uint32
		StartedAt Time // as the source told it, Unix time, in whole ms
	}
	// StartedAt are servers that were restarted.
	Restarts []Restart
)

func (Departures) datagram()   {}
func (ChangesQuery) datagram() {}
func (Restarts) datagram()     {}

// IsDatagram tells whether a datagram is one of this package's.
func IsDatagram(data []byte) bool {
	return len(data) > 0 && data[0] >= formLeft && data[0] <= formStarted
}

// Encode gives a datagram's bytes. What is over MaxDepartures or MaxRestarts is left out.
func Encode(d Datagram) []byte {
	switch d := d.(type) {
	case ChangesQuery:
		return binary.BigEndian.AppendUint64([]byte{formQuestion}, d.Generation)
	case Restarts:
		out := []byte{formStarted}
		for _, r := range d[:min(len(d), MaxRestarts)] {
			out = binary.BigEndian.AppendUint32(out, r.Key)
			out = binary.BigEndian.AppendUint64(out, uint64(r.StartedAt/time.Millisecond))
		}
		return out
	case Departures:
		out := []byte{formLeft}
		for _, key := range d[:min(len(d), MaxDepartures)] {
			out = binary.BigEndian.AppendUint32(out, key)
		}
		return out
	}
	return nil
}

// maxStart is the latest start that is read, in ms: the year 2200.
const maxStart = 7258118400000

// Decode reads a datagram; one that no node sends is an error.
func Decode(data []byte) (Datagram, error) {
	if !IsDatagram(data) || len(data) > maxDatagram {
		return nil, errForm
	}
	form, body := data[0], data[1:]
	switch {
	case form == formQuestion && len(body) == 8:
		return ChangesQuery{binary.BigEndian.Uint64(body)}, nil
	case form == formLeft && len(body) > 0 && len(body)%keySize == 0:
		var left Departures
		for ; len(body) > 0; body = body[keySize:] {
			left = append(left, binary.BigEndian.Uint32(body))
		}
		return left, nil
	case form == formStarted && len(body) > 0 && len(body)%startSize == 0:
		return decodeStarted(body)
	}
	return nil, errForm
}

func decodeStarted(body []byte) (started Restarts, err error) {
	for ; len(body) > 0; body = body[startSize:] {
		ms := binary.BigEndian.Uint64(body[keySize:])
		if ms == 0 || ms > maxStart {
			return nil, errForm
		}
		started = append(started, Restart{Key: binary.BigEndian.Uint32(body), StartedAt: Time(ms) * time.Millisecond})
	}
	return started, nil
}
