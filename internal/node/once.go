package node

import (
	"hash/fnv"
	"io"
	"slices"
	"time"

	"ivylock/balance"
)

// Requests that may have run do not run again under the same id, in this process or another of the
// node. Requests that are safe to repeat are not concerned.

// SharedIDs remembers the ids of requests that may have run, by their hashes, for all processes of a
// node. Its calls must not block.
type SharedIDs interface {
	Add(hash uint64)
	Remove(hash uint64)
	AddedByOther(hash uint64) bool
}

// SetSharedIDs sets the ids that the node shares with other processes. It must be called before Run.
func (n *Node) SetSharedIDs(ids SharedIDs) { n.sharedIDs = ids }

// hashID returns the hash under which a request's id is remembered, the same in all processes.
func hashID(id balance.RequestID) uint64 {
	h := fnv.New64a()
	io.WriteString(h, string(id))
	return h.Sum64()
}

// mayHaveRun reports whether an earlier request with the same id may have run.
func (n *Node) mayHaveRun(r *Request) bool {
	if n.effects[r.Class] == balance.Safe {
		return false
	}
	hash := hashID(r.ID)
	return n.recentIDs.Contains(hash, time.Since(n.start)) || n.sharedIDs != nil && n.sharedIDs.AddedByOther(hash)
}

// announceRun tells the other processes of a request before it can run.
func (n *Node) announceRun(r *Request) {
	if n.sharedIDs != nil && n.effects[r.Class] != balance.Safe {
		n.sharedIDs.Add(hashID(r.ID))
	}
}

// rememberRun remembers a request that has ended if it may have run.
func (n *Node) rememberRun(r *Request) {
	if n.effects[r.Class] == balance.Safe {
		return
	}
	hash := hashID(r.ID)
	if slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun }) {
		n.recentIDs.Add(hash, time.Since(n.start))
	} else if n.sharedIDs != nil {
		n.sharedIDs.Remove(hash)
	}
}
