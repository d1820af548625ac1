package guard

import "testing"

func TestMemoryPlanStaysWithinLimit(t *testing.T) {
	for limit := int64(1 << 20); limit <= 4<<30; limit += limit / 3 {
		for _, connections := range []int{1, 30, 405, 604, 10_000} {
			plan := PlanMemory(limit, connections)
			if plan.Connections < min(connections, minConnections) || plan.Connections > connections || plan.Buffers < minBufferMemory {
				t.Errorf("%d MB, %d connections: %+v", limit>>20, connections, plan)
			}
			if limit < 24<<20 {
				continue // less than a process with the fewest clients takes
			}
			if used := processMemory + int64(plan.Connections)*connectionMemory + plan.Buffers; used > limit {
				t.Errorf("%d MB, %d connections: %+v takes %d MB", limit>>20, connections, plan, used>>20)
			}
		}
	}
}

// Less important owners stop first, so that some memory is left for the others.
func TestMemoryCeilingsFollowImportance(t *testing.T) {
	const total = 1000
	reached := func(owner MemoryOwner) (held int64) {
		for owner.MayReserve(1, held, total) {
			held++
		}
		return held
	}
	if ahead, bodies, responses := reached(BodiesReadAhead), reached(RequestBodies), reached(Responses); ahead >= bodies || bodies >= responses || responses != total {
		t.Errorf("read ahead %d, bodies %d, responses %d", ahead, bodies, responses)
	}
	if len(MemoryOwnerNames) != int(NumMemoryOwners) {
		t.Error("an owner has no name")
	}
}
