package version

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// State is what a list says of a server.
type State uint8

const (
	// Up servers take requests.
	Up State = iota
	// Draining servers want nothing new.
	Draining
	// Removed servers have been removed.
	Removed
)

func (s State) String() string { return [...]string{"up", "draining", "removed"}[min(s, Removed)] }

// Key names a server in datagrams: a hash of its name (xxHash64).
type Key uint64

// KeyOf gives a server's key.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// RunningDigest is the digest of a list, kept up as servers come and go: a sum of hashes,
// so that the order of the words that led to it does not show.
type RunningDigest uint64

// of hashes one entry. Where a process reaches a server differs from process to
// process and is left out.
func of(k Key, s State, startedAt Time) RunningDigest {
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], uint64(k))
	b[8] = byte(s)
	binary.BigEndian.PutUint64(b[9:], uint64(startedAt))
	return RunningDigest(xxhash.Sum64(b[:]))
}

// Add puts an entry in; Remove takes it out again.
func (d *RunningDigest) Add(k Key, s State, startedAt Time)    { *d += of(k, s, startedAt) }
func (d *RunningDigest) Remove(k Key, s State, startedAt Time) { *d -= of(k, s, startedAt) }

// Short is the digest as a List holds it; never 0.
func (d RunningDigest) Short() uint32 {
	if s := uint32(d>>32) ^ uint32(d); s != 0 {
		return s
	}
	return 1
}

// Digest hashes any text, such as settings or a build's version, to 16 bits;
// never 0.
func Digest(text []byte) uint16 {
	h := xxhash.Sum64(text)
	if d := uint16(h>>48) ^ uint16(h>>32) ^ uint16(h>>16) ^ uint16(h); d != 0 {
		return d
	}
	return 1
}
