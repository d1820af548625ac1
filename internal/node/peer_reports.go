package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/membership"
)

// Exchange of list changes between nodes: a node whose discovery was unreachable for a
// while announces the servers that left meanwhile, and one whose discovery is unreachable
// queries its peers.

const (
	queryInterval = membership.NotifiedAfter / 8 // short, so that a lost datagram is repeated in time
	queryFanout   = 2                            // peers queried at once; some may have missed the change too
	replyInterval = queryInterval / 2            // minimum between replies to one node
)

// announceDepartures notifies the nodes that use departing servers. It must be called
// before the module processes the departures, as it forgets their users then.
func (n *Node) announceDepartures(departures []string) {
	if n.peers == nil || n.fleet != nil {
		return
	}
	keys := map[int]membership.Departures{}
	for _, name := range departures {
		id := n.serverIDs[name]
		for _, user := range n.module.NodesUsing(id) {
			keys[user] = append(keys[user], uint32(id))
		}
	}
	for user, departures := range keys {
		n.sendDepartures(user, departures)
	}
}

func (n *Node) sendDepartures(to int, keys membership.Departures) {
	for batch := range slices.Chunk(keys, membership.MaxDepartures) {
		n.peers.send(balance.SendMessage{To: to, Data: membership.Encode(batch)})
	}
}

// queryPeers periodically asks some peers for missed changes while discovery is
// unreachable.
func (n *Node) queryPeers() {
	if n.peers == nil || n.fleet != nil || !n.list.SourceLost() || n.list.Generation() == 0 || time.Since(n.lastQueryAt) < queryInterval {
		return
	}
	n.lastQueryAt = time.Now()
	query := membership.Encode(membership.ChangesQuery{Generation: n.list.Generation()})
	others := len(n.peers.addrs) - 1
	for range min(queryFanout, others) {
		to := rand.IntN(others)
		if to >= n.cfg.Settings.Self {
			to++
		}
		n.metrics.PeerQueriesSent.Add(1)
		n.peers.send(balance.SendMessage{To: to, Data: query})
	}
}

// handleListDatagram handles a report or a query of a peer about the list.
func (n *Node) handleListDatagram(from int, data []byte) {
	datagram, err := membership.Decode(data)
	if err != nil {
		n.metrics.DatagramsMalformed.Add(1)
		return
	}
	switch d := datagram.(type) {
	case membership.Departures:
		n.applyDepartures(d)
	case membership.Restarts:
		n.applyRestarts(d)
	case membership.ChangesQuery:
		n.replyToQuery(from, d)
	}
}

// applyDepartures applies a peer's report that servers are leaving.
func (n *Node) applyDepartures(keys membership.Departures) {
	var names []string
	for _, key := range keys {
		if server := n.servers[balance.ServerID(key)]; server != nil {
			names = append(names, server.Name)
		}
	}
	if n.list.ApplyPeerDepartures(n.now(), names) {
		n.applyPeerReport()
	}
}

// applyRestarts applies a peer's report that servers have restarted.
func (n *Node) applyRestarts(servers membership.Restarts) {
	var restarts []membership.Change
	for _, r := range servers {
		if server := n.servers[balance.ServerID(r.Key)]; server != nil {
			restarts = append(restarts, membership.Change{Name: server.Name, StartedAt: r.StartedAt})
		}
	}
	if n.list.ApplyPeerRestarts(n.now(), restarts) {
		n.applyPeerReport()
	}
}

// applyPeerReport counts an accepted peer report and reapplies the list.
func (n *Node) applyPeerReport() {
	n.metrics.WithdrawalsApplied.Add(1)
	n.reapplyList()
}

// reviewPeerReports checks whether discovery has confirmed the reports of peers.
func (n *Node) reviewPeerReports() {
	hedge, changed := n.list.ReviewPeerReports(n.now())
	if hedge && n.source != nil {
		n.source.HedgeWatch()
	}
	if changed {
		n.applyPeerReport()
	}
}

// replyToQuery sends a node the changes that it missed, if there are any, at a limited
// rate.
func (n *Node) replyToQuery(to int, query membership.ChangesQuery) {
	if n.peers == nil || to < 0 || time.Since(n.lastReplyAt[to]) < replyInterval {
		return
	}
	var departures membership.Departures
	var restarts membership.Restarts
	for _, c := range n.list.ChangesSince(query.Generation) {
		id, known := n.serverIDs[c.Name]
		if !known { // the server has been removed
			id = hashName(c.Name)
		}
		if c.StartedAt == 0 {
			departures = append(departures, uint32(id))
		} else {
			restarts = append(restarts, membership.Restart{Key: uint32(id), StartedAt: c.StartedAt})
		}
	}
	if len(departures) == 0 && len(restarts) == 0 {
		return
	}
	n.lastReplyAt[to] = time.Now()
	n.metrics.PeerQueriesAnswered.Add(1)
	n.sendDepartures(to, departures)
	for batch := range slices.Chunk(restarts, membership.MaxRestarts) {
		n.peers.send(balance.SendMessage{To: to, Data: membership.Encode(batch)})
	}
}
