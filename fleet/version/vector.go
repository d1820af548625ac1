// Package version identifies what a process's decisions are based on, for monitoring
// and later audits: a version vector of 24 bytes for datagrams, a hybrid logical clock
// that orders events of several processes, and the record of the versions that a process
// acted on. It does no I/O, reads no clock and starts no goroutine.
package version

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the caller's monotonic clock with Unix time as its origin.
type Time = time.Duration

// FormatVersion is the newest datagram format that this build writes.
const FormatVersion = 1

// Relation is the order of two versions.
type Relation int

const (
	// Same: there is no difference.
	Same Relation = iota
	// Older: each component that differs is older.
	Older
	// Newer: each component that differs is newer.
	Newer
	// Incomparable: neither comes before the other.
	Incomparable
)

func (r Relation) String() string {
	return [...]string{"same", "older", "newer", "apart"}[r]
}

// combine merges the relations of two components into that of the whole.
func (r Relation) combine(o Relation) Relation {
	switch {
	case r == Same || r == o:
		return o
	case o == Same:
		return r
	}
	return Incomparable
}

// serialRelation compares sequence numbers that wrap around (RFC 1982).
func serialRelation(diff int64) Relation {
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
	// Epoch is the number of observed discovery restarts at a lower generation, modulo
	// 2^16; generations increase within one epoch.
	Epoch uint16 `json:"epoch"`
	// Generation is assigned by discovery, modulo 2^32.
	Generation uint32 `json:"generation"`
	// Digest is that of the list's content; 0: no list.
	Digest uint32 `json:"digest"`
}

// Compare relates l to o. Lists of the same generation and epoch with different content
// come from different discovery services and are Incomparable.
func (l List) Compare(o List) Relation {
	if r := l.CompareGeneration(o); r != Same {
		return r
	}
	if l.Digest != o.Digest {
		return Incomparable
	}
	return Same
}

// CompareGeneration compares epoch and generation only, which is all that a peer report
// of one server carries.
func (l List) CompareGeneration(o List) Relation {
	if r := serialRelation(int64(int16(l.Epoch - o.Epoch))); r != Same {
		return r
	}
	return serialRelation(int64(int32(l.Generation - o.Generation)))
}

// GenerationsBehind returns how many generations l is behind o, and false if the epochs
// differ.
func (l List) GenerationsBehind(o List) (int, bool) {
	return int(int32(o.Generation - l.Generation)), l.Epoch == o.Epoch
}

func (l List) String() string { return fmt.Sprintf("%d.%d", l.Epoch, l.Generation) }

// Vector identifies what a process's decisions are based on at a time.
type Vector struct {
	List        List      `json:"list"`
	Settings    uint16    `json:"settings"` // digest
	Build       uint16    `json:"build"`    // digest of the program's version
	Maintenance uint16    `json:"words"`    // digest of the maintenance records in force; 0: none
	Format      uint8     `json:"form"`     // newest datagram format that it knows
	Clock       Timestamp `json:"clock"`
}

// Differences relates two vectors by component. Digests have no order: different ones
// are Incomparable.
type Differences struct{ List, Settings, Build, Maintenance, Format Relation }

// Differences compares v and o by component.
func (v Vector) Differences(o Vector) Differences {
	return Differences{List: v.List.Compare(o.List), Format: serialRelation(int64(v.Format) - int64(o.Format)),
		Settings: digestRelation(v.Settings, o.Settings), Build: digestRelation(v.Build, o.Build), Maintenance: digestRelation(v.Maintenance, o.Maintenance)}
}

func digestRelation(a, b uint16) Relation {
	if a == b {
		return Same
	}
	return Incomparable
}

// Compare relates v to o as a whole, ignoring the clocks.
func (v Vector) Compare(o Vector) Relation {
	d := v.Differences(o)
	return d.List.combine(d.Format).combine(d.Settings).combine(d.Build).combine(d.Maintenance)
}

// VectorSize is the encoded size of a Vector in bytes.
const VectorSize = 24

// Append appends the encoding of a vector, in network byte order.
func (v Vector) Append(buf []byte) []byte {
	buf = binary.BigEndian.AppendUint16(buf, v.List.Epoch)
	buf = binary.BigEndian.AppendUint32(buf, v.List.Generation)
	buf = binary.BigEndian.AppendUint32(buf, v.List.Digest)
	buf = binary.BigEndian.AppendUint16(buf, v.Settings)
	buf = binary.BigEndian.AppendUint16(buf, v.Build)
	buf = binary.BigEndian.AppendUint16(buf, v.Maintenance)
	buf = append(buf, v.Format)
	var clock [8]byte
	binary.BigEndian.PutUint64(clock[:], uint64(v.Clock))
	return append(buf, clock[1:]...)
}

// ErrShort is returned by ParseVector for fewer than VectorSize bytes.
var ErrShort = errors.New("version: fewer than 24 bytes")

// ParseVector decodes what Append wrote. Any VectorSize bytes are a valid vector.
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
