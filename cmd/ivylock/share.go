package main

import (
	"context"
	"log"
	"os"
	"time"

	"ivylock/handoff"
	"ivylock/internal/front"
	"ivylock/internal/handover"
	"ivylock/internal/node"
)

const (
	joinEvery = time.Second           // while the folder for what processes share can't be written
	shareEnd  = 50 * time.Millisecond // for leaving the others
)

// join joins the processes of the node that share a folder, and takes over from the one
// before. It gives nil where the folder can't be written: the process serves all the
// same, begins clean, and keeps nothing for the next one.
func join(n *node.Node, name string) *handover.SharedDir {
	shared, err := handover.Open(os.TempDir(), name)
	if err != nil {
		log.Printf("%v; a clean start, with a part of the node's connections until it can be written", err)
		return nil
	}
	takeOver(n, shared)
	return shared
}

// share keeps this process to its part of the node's connections, until ctx ends. Where
// it could not join the others, shared is nil, it holds the least part and tries again.
func share(ctx context.Context, shared *handover.SharedDir, n *node.Node, f *front.HTTP, full handover.Usage, name string) {
	set := func(most handover.Usage, _ bool) {
		f.SetMost(most.Clients)
		n.BackendPool().SetMost(most.Backends)
	}
	if shared == nil {
		set(handover.Usage{Clients: handoff.ConnectionLimit(full.Clients, full.Clients, false), Backends: handoff.ConnectionLimit(full.Backends, full.Backends, false)}, false)
		if shared = joinLater(ctx, name); shared == nil {
			return
		}
		defer shared.Close()
	}
	shared.RunUsageExchange(ctx, full, func() handover.Usage {
		return handover.Usage{Clients: f.Connections(), Backends: n.BackendPool().Open()}
	}, set)
}

// joinLater tries to join the others until ctx ends; nil then.
func joinLater(ctx context.Context, name string) *handover.SharedDir {
	tick := time.NewTicker(joinEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		if shared, err := handover.Open(os.TempDir(), name); err == nil {
			log.Printf("the folder for what processes share can be written again")
			return shared
		}
	}
}
