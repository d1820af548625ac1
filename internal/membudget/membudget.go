// Package membudget adds up the memory that a process holds for its clients and servers, and keeps it
// within one total.
package membudget

import (
	"fmt"
	"strings"
	"sync/atomic"

	"ivylock/guard"
)

// Budget is the memory for all buffers of a process. It is safe for concurrent use. A nil Budget has
// no limit.
type Budget struct {
	limit   atomic.Int64
	held    atomic.Int64
	byOwner [guard.NumMemoryOwners]atomic.Int64
	refused [guard.NumMemoryOwners]atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{}
	b.limit.Store(limit)
	return b
}

// SetLimit sets the limit in bytes. What is held beyond it stays until it is released.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Reserve takes size bytes for an owner and reports whether they were available.
func (b *Budget) Reserve(owner guard.MemoryOwner, size int64) bool {
	if b == nil {
		return true
	}
	for {
		held := b.held.Load()
		if !owner.MayReserve(size, held, b.limit.Load()) {
			b.refused[owner].Add(1)
			return false
		}
		if b.held.CompareAndSwap(held, held+size) {
			b.byOwner[owner].Add(size)
			return true
		}
	}
}

// Hold takes size bytes that are in use already, also beyond the limit.
func (b *Budget) Hold(owner guard.MemoryOwner, size int64) {
	if b != nil {
		b.held.Add(size)
		b.byOwner[owner].Add(size)
	}
}

// Release returns size bytes.
func (b *Budget) Release(owner guard.MemoryOwner, size int64) {
	if b != nil {
		b.held.Add(-size)
		b.byOwner[owner].Add(-size)
	}
}

// Held returns how many bytes are held in all.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// HeldBy returns how many bytes an owner holds.
func (b *Budget) HeldBy(owner guard.MemoryOwner) int64 { return b.byOwner[owner].Load() }

// Refused returns how often an owner found too little memory.
func (b *Budget) Refused(owner guard.MemoryOwner) int64 { return b.refused[owner].Load() }

// String describes what is held, for the log.
func (b *Budget) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "buffers: %d of %d kB", b.Held()>>10, b.Limit()>>10)
	for owner := range guard.NumMemoryOwners {
		fmt.Fprintf(&out, ", %v %d kB", owner, b.HeldBy(owner)>>10)
	}
	return out.String()
}
