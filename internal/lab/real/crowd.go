package real

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"ivylock/internal/lab/crowd"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/process"
)

const (
	memoryInterval = 100 * time.Millisecond // between two readings of a process's memory
	signalInterval = 150 * time.Millisecond // between further signals to a process that is told to end
)

// Crowd is a number of slow or greedy clients of some nodes. None of their requests reaches a server.
type Crowd struct {
	Nodes   int           // the first ones have a crowd each
	Clients int           // of each of them
	Shapes  []crowd.Shape // of those whose requests are never complete, or rejected
}

// startCrowd starts the crowds of a run. Each moves on to its node's next process. The returned function
// stops them and waits for their end.
func (b *Testbed) startCrowd(ctx context.Context) (stop func()) {
	if b.options.Crowd == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var crowds sync.WaitGroup
	for _, n := range b.nodes[:min(b.options.Crowd.Nodes, len(b.nodes))] {
		crowds.Go(func() {
			for ctx.Err() == nil {
				if p := n.latest.Load(); p != nil {
					b.runCrowd(ctx, p)
				}
				sleep(ctx, memoryInterval)
			}
		})
	}
	return func() {
		cancel()
		crowds.Wait()
	}
}

// runCrowd runs a crowd against one process until that ends.
func (b *Testbed) runCrowd(ctx context.Context, p *process.Process) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.Ended():
		case <-ctx.Done():
		}
		cancel()
	}()
	target := crowd.Target{Addr: p.Addr}
	for _, c := range b.options.Deployment.Classes {
		switch c.Effect {
		case history.Safe:
			target.Safe = c.Name
		case history.Unsafe:
			target.Unsafe = c.Name
		}
	}
	clients := &crowd.Crowd{Target: target, Shapes: b.options.Crowd.Shapes, Clients: b.options.Crowd.Clients}
	clients.Run(ctx)
}

// watchMemory reports a process that takes more memory than its limit.
func (b *Testbed) watchMemory(n *node, p *process.Process) {
	limit := int64(b.options.Limits.MemoryMB) << 20
	for {
		if peak := p.PeakMemory(); peak > limit {
			b.mu.Lock()
			b.errorLines = append(b.errorLines, ErrorLine{Node: n.Name, Line: fmt.Sprintf("memory: %d MB of %d", peak>>20, limit>>20)})
			b.mu.Unlock()
			return
		}
		select {
		case <-p.Ended():
			return
		case <-time.After(memoryInterval):
		}
	}
}

// repeatSignals sends further signals to a process that was sent SIGTERM, until it ends.
func (b *Testbed) repeatSignals(p *process.Process) {
	if !b.options.RepeatSignals {
		return
	}
	go func() {
		for i := 0; ; i++ {
			select {
			case <-p.Ended():
				return
			case <-time.After(signalInterval):
			}
			p.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[i%2])
		}
	}()
}
