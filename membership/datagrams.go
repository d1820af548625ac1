package membership

import (
	"encoding/binary"
	"errors"
	"time"
)

// Nodes notify each other of list changes in datagrams of at most 256 bytes, in network byte order.
// The first byte identifies the format.
const (
	formatDepartures = 0xB3 // departing servers: a 4-byte key each
	formatQuery      = 0xB4 // request for the changes after a generation (8 bytes)
	formatRestarts   = 0xB5 // restarted servers: a key and the start time in Unix ms (8 bytes) each

	maxDatagram = 256
	keySize     = 4
	restartSize = keySize + 8

	// MaxDepartures is the number of departures that fit into one datagram.
	MaxDepartures = (maxDatagram - 1) / keySize
	// MaxRestarts is the number of restarts that fit into one datagram.
	MaxRestarts = (maxDatagram - 1) / restartSize
)

var errMalformed = errors.New("membership: malformed datagram")

// Datagram is one of Departures, ChangesQuery and Restarts.
type Datagram interface{ datagram() }

// Formats of datagrams.
type (
	// Departures contains the keys of departing servers.
	Departures []uint32
	// ChangesQuery requests the changes after a generation.
	ChangesQuery struct{ Generation uint64 }
	// Restart is the restart of one server.
	Restart struct {
		Key       uint32
		StartedAt Time // by its source's clock, Unix time, in whole ms
	}
	// Restarts contains restarted servers.
	Restarts []Restart
)

func (Departures) datagram()   {}
func (ChangesQuery) datagram() {}
func (Restarts) datagram()     {}

// IsDatagram reports whether data has the format byte of one of this package's datagrams.
func IsDatagram(data []byte) bool {
	return len(data) > 0 && data[0] >= formatDepartures && data[0] <= formatRestarts
}

// Encode encodes a datagram. Entries beyond MaxDepartures or MaxRestarts are dropped.
func Encode(datagram Datagram) []byte {
	switch datagram := datagram.(type) {
	case ChangesQuery:
		return binary.BigEndian.AppendUint64([]byte{formatQuery}, datagram.Generation)
	case Restarts:
		encoded := []byte{formatRestarts}
		for _, restart := range datagram[:min(len(datagram), MaxRestarts)] {
			encoded = binary.BigEndian.AppendUint32(encoded, restart.Key)
			encoded = binary.BigEndian.AppendUint64(encoded, uint64(restart.StartedAt/time.Millisecond))
		}
		return encoded
	case Departures:
		encoded := []byte{formatDepartures}
		for _, key := range datagram[:min(len(datagram), MaxDepartures)] {
			encoded = binary.BigEndian.AppendUint32(encoded, key)
		}
		return encoded
	}
	return nil
}

// maxStartMillis is the latest accepted start time: the year 2200, in Unix ms.
const maxStartMillis = 7258118400000

// Decode decodes a datagram and rejects anything that Encode does not produce.
func Decode(data []byte) (Datagram, error) {
	if !IsDatagram(data) || len(data) > maxDatagram {
		return nil, errMalformed
	}
	format, body := data[0], data[1:]
	switch {
	case format == formatQuery && len(body) == 8:
		return ChangesQuery{binary.BigEndian.Uint64(body)}, nil
	case format == formatDepartures && len(body) > 0 && len(body)%keySize == 0:
		var departures Departures
		for ; len(body) > 0; body = body[keySize:] {
			departures = append(departures, binary.BigEndian.Uint32(body))
		}
		return departures, nil
	case format == formatRestarts && len(body) > 0 && len(body)%restartSize == 0:
		return decodeRestarts(body)
	}
	return nil, errMalformed
}

func decodeRestarts(body []byte) (restarts Restarts, err error) {
	for ; len(body) > 0; body = body[restartSize:] {
		ms := binary.BigEndian.Uint64(body[keySize:])
		if ms == 0 || ms > maxStartMillis {
			return nil, errMalformed
		}
		restarts = append(restarts, Restart{Key: binary.BigEndian.Uint32(body), StartedAt: Time(ms) * time.Millisecond})
	}
	return restarts, nil
}
