// Package version names what a process's decisions rest on, so that afterwards,
// and at the time, it can be said who acted on what: the vector of versions that
// goes in 24 bytes of a datagram, a hybrid logical clock that puts the acts of
// several processes in order, and the record of what was acted on. It does no
// I/O, reads no clock and starts no goroutine.
package version

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the caller's monotonic clock with Unix time as its origin.
type Time = time.Duration

// FormatVersion is the newest form of the fleet's datagrams that this build writes. A
// process hears of what it does not know no more than that it is newer.
const FormatVersion = 1

// Relation says how one version stands to another.
type Relation int

const (
	// Same: nothing differs.
	Same Relation = iota
	// Older: what differs is older.
	Older
	// Newer: what differs is newer.
	Newer
	// Apart: neither can be said to come before the other.
	Incomparable
)

func (r Relation) String() string {
	return [...]string{"same", "older", "newer", "apart"}[r]
}

// with joins the relations of two parts to that of the whole.
func (r Relation) with(o Relation) Relation {
	switch {
	case r == Same || r == o:
		return o
	case o == Same:
		return r
	}
	return Incomparable
}

// serial compares numbers that wrap (RFC 1982).
func serial(diff int64) Relation {
	switch {
	case diff < 0:
		return Older
	case diff > 0:
		return Newer
	}
	return Same
}

// List is the version of a list of servers.
type List struct {
	// Epoch counts how often discovery was seen to begin anew at a lower
	// generation: within one epoch generations rise. Modulo 2^16.
	Epoch uint16 `json:"epoch"`
	// Generation is discovery's, modulo 2^32.
	Generation uint32 `json:"generation"`
	// Digest is that of the list's content; 0: of none.
	Digest uint32 `json:"digest"`
}

// Compare tells how l stands to o. The same generation of one epoch with
// another content is of another discovery: Apart.
func (l List) Compare(o List) Relation {
	if r := l.CompareGeneration(o); r != Same {
		return r
	}
	if l.Digest != o.Digest {
		return Incomparable
	}
	return Same
}

// CompareGeneration compares by epoch and generation alone: that is all that a word about
// one server has.
func (l List) CompareGeneration(o List) Relation {
	if r := serial(int64(int16(l.Epoch - o.Epoch))); r != Same {
		return r
	}
	return serial(int64(int32(l.Generation - o.Generation)))
}

// GenerationsBehind is how many generations l is short of o; false: another epoch, so that
// nobody can say.
func (l List) GenerationsBehind(o List) (int, bool) {
	return int(int32(o.Generation - l.Generation)), l.Epoch == o.Epoch
}

func (l List) String() string { return fmt.Sprintf("%d.%d", l.Epoch, l.Generation) }

// Vector is what a process's decisions rest on, as of a moment.
type Vector struct {
	List        List      `json:"list"`
	Settings    uint16    `json:"settings"` // digest
	Build       uint16    `json:"build"`    // digest of the program's version
	Maintenance uint16    `json:"words"`    // digest of the words of maintenance in force; 0: none
	Format      uint8     `json:"form"`     // newest form of datagrams that it knows
	Clock       Timestamp `json:"clock"`
}

// Differences says how each part of one vector stands to another's. Digests have
// no order: what differs there is Apart.
type Differences struct{ List, Settings, Build, Maintenance, Format Relation }

// Differences compares part by part.
func (v Vector) Differences(o Vector) Differences {
	return Differences{List: v.List.Compare(o.List), Format: serial(int64(v.Format) - int64(o.Format)),
		Settings: unordered(v.Settings, o.Settings), Build: unordered(v.Build, o.Build), Maintenance: unordered(v.Maintenance, o.Maintenance)}
}

func unordered(a, b uint16) Relation {
	if a == b {
		return Same
	}
	return Incomparable
}

// Compare tells how v stands to o as a whole, whatever the clocks say.
func (v Vector) Compare(o Vector) Relation {
	d := v.Differences(o)
	return d.List.with(d.Format).with(d.Settings).with(d.Build).with(d.Maintenance)
}

// VectorSize is what a Vector takes in a datagram, bytes.
const VectorSize = 24

// Append writes a vector in network order.
func (v Vector) Append(to []byte) []byte {
	to = binary.BigEndian.AppendUint16(to, v.List.Epoch)
	to = binary.BigEndian.AppendUint32(to, v.List.Generation)
	to = binary.BigEndian.AppendUint32(to, v.List.Digest)
	to = binary.BigEndian.AppendUint16(to, v.Settings)
	to = binary.BigEndian.AppendUint16(to, v.Build)
	to = binary.BigEndian.AppendUint16(to, v.Maintenance)
	to = append(to, v.Format)
	var clock [8]byte
	binary.BigEndian.PutUint64(clock[:], uint64(v.Clock))
	return append(to, clock[1:]...)
}

// ErrShort is what Read gives for fewer than Size bytes.
var ErrShort = errors.New("version: fewer than 24 bytes")

// ParseVector reads what Append wrote. Any Size bytes are a vector.
func ParseVector(b []byte) (Vector, error) {
	if len(b) < VectorSize {
		return Vector{}, ErrShort
	}
	var clock [8]byte
	copy(clock[1:], b[17:24])
	return Vector{List: List{binary.BigEndian.Uint16(b), binary.BigEndian.Uint32(b[2:]), binary.BigEndian.Uint32(b[6:])},
		Settings: binary.BigEndian.Uint16(b[10:]), Build: binary.BigEndian.Uint16(b[12:]), Maintenance: binary.BigEndian.Uint16(b[14:]),
		Format: b[16], Clock: Timestamp(binary.BigEndian.Uint64(clock[:]))}, nil
}
