package main

import (
	"context"
	"log"
	"os"
	"runtime/debug"
	"time"

	"ivylock/handoff"
	"ivylock/internal/front"
	"ivylock/internal/handover"
	"ivylock/internal/node"
)

const (
	reopenInterval = time.Second           // retry interval while the shared directory is not writable
	leaveTimeout   = 50 * time.Millisecond // limit on leaving the shared directory at exit
)

// openSharedDir joins the other processes of the node in the shared directory and takes
// over the state of the previous one. It returns nil if the directory is not writable: the
// process then starts without that state and stores none.
func openSharedDir(n *node.Node, name string) *handover.SharedDir {
	shared, err := handover.Open(os.TempDir(), name)
	if err != nil {
		log.Printf("%v; a clean start, with a reduced connection limit until it can be written", err)
		return nil
	}
	takeOver(n, shared)
	if ids, err := shared.OpenIDs(); err != nil {
		log.Printf("%v; ids of requests are not shared with other processes", err)
	} else {
		n.SetSharedIDs(ids)
	}
	return shared
}

// shareConnections keeps this process to its share of the node's connections until ctx
// ends. If shared is nil it uses the minimum share and retries to open the directory.
func shareConnections(ctx context.Context, shared *handover.SharedDir, n *node.Node, frontEnd *front.HTTP, full handover.Usage, name string) {
	buffers, heap := n.Memory().Limit(), debug.SetMemoryLimit(-1)
	setLimits := func(limit handover.Usage, alone bool) {
		frontEnd.SetMaxConns(limit.Clients)
		share := handoff.MemoryShare(alone)
		n.Memory().SetLimit(int64(share * float64(buffers)))
		debug.SetMemoryLimit(int64(share * float64(heap)))
		n.BackendPool().SetMaxConns(limit.Backends)
	}
	if shared == nil {
		setLimits(handover.Usage{Clients: handoff.ConnectionLimit(full.Clients, full.Clients, false), Backends: handoff.ConnectionLimit(full.Backends, full.Backends, false)}, false)
		if shared = retryOpenSharedDir(ctx, name); shared == nil {
			return
		}
		defer shared.Close()
	}
	shared.RunUsageExchange(ctx, full, func() handover.Usage {
		return handover.Usage{Clients: frontEnd.Connections(), Backends: n.BackendPool().OpenConns()}
	}, setLimits)
}

// retryOpenSharedDir retries until it succeeds. It returns nil when ctx ends.
func retryOpenSharedDir(ctx context.Context, name string) *handover.SharedDir {
	ticker := time.NewTicker(reopenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if shared, err := handover.Open(os.TempDir(), name); err == nil {
			log.Printf("the shared directory can be written again")
			return shared
		}
	}
}
