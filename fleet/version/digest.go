package version

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a server in a list.
type State uint8

const (
	// Up servers take requests.
	Up State = iota
	// Draining servers take no new requests.
	Draining
	// Removed servers are no longer in the list.
	Removed
)

func (s State) String() string { return [...]string{"up", "draining", "removed"}[min(s, Removed)] }

// Key identifies a server in datagrams: the xxHash64 of its name.
type Key uint64

// KeyOf returns a server's key.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// RunningDigest is the incrementally updated digest of a list. As a sum of hashes it does
// not depend on the order of the updates. The zero value is that of an empty list.
type RunningDigest uint64

// hashEntry hashes one entry. The server's address is not included, since it differs
// between processes.
func hashEntry(k Key, s State, startedAt Time) RunningDigest {
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], uint64(k))
	b[8] = byte(s)
	binary.BigEndian.PutUint64(b[9:], uint64(startedAt))
	return RunningDigest(xxhash.Sum64(b[:]))
}

// Add adds an entry.
func (d *RunningDigest) Add(k Key, s State, startedAt Time) { *d += hashEntry(k, s, startedAt) }

// Remove removes an entry that was added.
func (d *RunningDigest) Remove(k Key, s State, startedAt Time) { *d -= hashEntry(k, s, startedAt) }

// Short returns the digest folded to the 32 bits of List.Digest; never 0.
func (d RunningDigest) Short() uint32 {
	if s := uint32(d>>32) ^ uint32(d); s != 0 {
		return s
	}
	return 1
}

// Digest hashes any text, such as settings or a build's version, to 16 bits; never 0.
func Digest(text []byte) uint16 {
	h := xxhash.Sum64(text)
	if d := uint16(h>>48) ^ uint16(h>>32) ^ uint16(h>>16) ^ uint16(h); d != 0 {
		return d
	}
	return 1
}
