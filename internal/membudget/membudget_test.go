package membudget

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"ivylock/guard"
)

// Whatever is reserved concurrently, the sum is never over the limit, and it is 0 once all is returned.
func TestReservationsStayWithinLimit(t *testing.T) {
	const limit = 1 << 20
	b := New(limit)
	var all sync.WaitGroup
	for worker := range 16 {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(worker)))
			var held [guard.NumMemoryOwners]int64
			for range 20_000 {
				owner, size := guard.MemoryOwner(rng.IntN(int(guard.NumMemoryOwners))), rng.Int64N(200_000)
				if b.Reserve(owner, size) {
					held[owner] += size
				}
				if total := b.Held(); total > limit {
					t.Errorf("%d bytes are held", total)
					return
				}
				if owner = guard.MemoryOwner(rng.IntN(int(guard.NumMemoryOwners))); rng.IntN(3) > 0 {
					b.Release(owner, held[owner])
					held[owner] = 0
				}
			}
			for owner, size := range held {
				b.Release(guard.MemoryOwner(owner), size)
			}
		})
	}
	all.Wait()
	for owner := range guard.NumMemoryOwners {
		if b.HeldBy(owner) != 0 || b.Refused(owner) == 0 {
			t.Errorf("%v: %d bytes held at the end, %d refused", owner, b.HeldBy(owner), b.Refused(owner))
		}
	}
	if b.Held() != 0 {
		t.Errorf("%d bytes are held at the end", b.Held())
	}
}

// Memory in use that could not be refused leaves less for others.
func TestHeldMemoryCountsBeyondLimit(t *testing.T) {
	b := New(1000)
	b.Hold(guard.Responses, 1500)
	if b.Reserve(guard.Responses, 1) {
		t.Error("memory beyond the limit was reserved")
	}
	if text := New(4 << 10).String(); !strings.Contains(text, "0 of 4 kB") {
		t.Error(text)
	}
	b.Release(guard.Responses, 1500)
	if !b.Reserve(guard.Responses, 1000) {
		t.Error("returned memory can't be reserved")
	}
	var unlimited *Budget
	if !unlimited.Reserve(guard.Responses, 1<<40) || unlimited.Held() != 0 {
		t.Error("a nil budget has a limit")
	}
}
