package node

import (
	"context"
	"log"
	"time"

	"ivylock/guard"
	"ivylock/internal/procstat"
)

const (
	resourceInterval = 250 * time.Millisecond // between two samples of the process's resources
	// Resident memory over this part of the limit is logged, once until it has been under the second part.
	memoryWarning, memoryAllClear = 0.8, 0.65
)

// watchResources publishes the process's use of memory and processor time until ctx ends, and logs
// when it comes close to the memory limit.
func (n *Node) watchResources(ctx context.Context) {
	reader := procstat.NewReader()
	defer reader.Close()
	ticker := time.NewTicker(resourceInterval)
	defer ticker.Stop()
	limit, warned := float64(int64(n.cfg.MemoryMB)<<20), false
	for {
		sample := reader.Read()
		n.publishResources(sample)
		switch used := float64(sample.ResidentBytes); {
		case !warned && used > memoryWarning*limit:
			warned = true
			log.Printf("memory: %d of %d MB in use, %d MB heap, %d MB stacks, %d goroutines, %.0f%% of the time in garbage collection; %d open requests; %s",
				sample.ResidentBytes>>20, n.cfg.MemoryMB, sample.HeapBytes>>20, sample.StackBytes>>20, sample.Goroutines, 100*sample.GCFraction, n.metrics.OpenRequests.Load(), n.memory)
		case warned && used < memoryAllClear*limit:
			warned = false
			log.Printf("memory: %d of %d MB in use again", sample.ResidentBytes>>20, n.cfg.MemoryMB)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// publishResources stores a sample in the metrics.
func (n *Node) publishResources(s procstat.Sample) {
	n.metrics.ResidentKB.Store(s.ResidentBytes >> 10)
	n.metrics.HeapKB.Store(s.HeapBytes >> 10)
	n.metrics.StackKB.Store(s.StackBytes >> 10)
	n.metrics.GCPermille.Store(int64(1000 * s.GCFraction))
	n.metrics.MemoryLimitKB.Store(n.memory.Limit() >> 10)
	for owner := range guard.NumMemoryOwners {
		n.metrics.MemoryHeldKB[owner].Store(n.memory.HeldBy(owner) >> 10)
		n.metrics.MemoryRefused[owner].Store(n.memory.Refused(owner))
	}
}
