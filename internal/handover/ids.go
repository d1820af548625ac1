package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"ivylock/guard"
)

const (
	idsName = "ivylock.ids"
	idSets  = 1024 // each remembers idWays ids; the oldest of a full set is replaced
	idWays  = 4

	ownerBits = 20 // of an entry's word; the others are of the hash
	ownerMask = 1<<ownerBits - 1
)

// idEntry is an id in the shared table. Hash and owner are one word, so that two processes that write to an
// entry at once can't mix theirs.
type idEntry struct {
	word atomic.Uint64 // upper bits of the hash, and the process that added it; 0: empty
	at   atomic.Int64  // nanoseconds of the machine's monotonic clock, which its processes share
}

// idTable is shared by the processes of a node that overlap.
type idTable [idSets][idWays]idEntry

const idTableSize = int(unsafe.Sizeof(idTable{}))

// SharedIDs remembers the requests of all processes of a node that may have run, in a file that each of
// them maps into its memory: after it was opened no call can block or fail. It is safe for
// concurrent use by processes; each process uses it from one goroutine. A nil SharedIDs remembers
// nothing.
type SharedIDs struct {
	table  *idTable
	memory []byte
	owner  uint64 // in the lower ownerBits
}

// OpenIDs opens the ids that this process shares with the others of its node.
func (d *SharedDir) OpenIDs() (*SharedIDs, error) {
	file, err := os.OpenFile(filepath.Join(d.dir, idsName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer file.Close()
	// All pages are allocated now: a page that can't be allocated later would end the process.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, int64(idTableSize)); err != nil {
		return nil, fmt.Errorf("handover: %s: %w", idsName, err)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, idTableSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", idsName, err)
	}
	return &SharedIDs{table: (*idTable)(unsafe.Pointer(&memory[0])), memory: memory, owner: uint64(d.id) & ownerMask}, nil
}

// Add remembers the hash of a request's id.
func (s *SharedIDs) Add(hash uint64) {
	if s == nil {
		return
	}
	set := &s.table[hash%idSets]
	entry := &set[0]
	for i := range set {
		if set[i].word.Load() == s.word(hash) {
			entry = &set[i]
			break
		}
		if set[i].at.Load() < entry.at.Load() {
			entry = &set[i]
		}
	}
	entry.at.Store(monotonicNow()) // first: an id without its time would be missed
	entry.word.Store(s.word(hash))
}

// word returns the word of an entry for an id of this process.
func (s *SharedIDs) word(hash uint64) uint64 { return hash&^ownerMask | s.owner }

// Remove forgets an id that this process has added: its request has not run.
func (s *SharedIDs) Remove(hash uint64) {
	if s == nil {
		return
	}
	for i := range s.table[hash%idSets] {
		s.table[hash%idSets][i].word.CompareAndSwap(s.word(hash), 0)
	}
}

// AddedByOther reports whether another process of the node has added an id lately.
func (s *SharedIDs) AddedByOther(hash uint64) bool {
	if s == nil {
		return false
	}
	now := monotonicNow()
	for i := range s.table[hash%idSets] {
		entry := &s.table[hash%idSets][i]
		word := entry.word.Load()
		if word != 0 && word != s.word(hash) && word&^ownerMask == hash&^ownerMask && now-entry.at.Load() <= int64(guard.RecentIDWindow) {
			return true
		}
	}
	return false
}

// Close unmaps the table.
func (s *SharedIDs) Close() error {
	if s == nil {
		return nil
	}
	return unix.Munmap(s.memory)
}

// monotonicNow returns the time of the machine's monotonic clock in nanoseconds, which does not step.
func monotonicNow() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return int64(time.Nanosecond)
	}
	return now.Nano()
}
