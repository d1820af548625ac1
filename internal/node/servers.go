package node

import (
	"hash/fnv"
	"time"

	"ivylock/balance"
	"ivylock/internal/backend"
	"ivylock/internal/discovery"
	"ivylock/internal/wallclock"
	"ivylock/membership"
)

// The list of servers: merges what discovery, peers and operators report, and updates the
// connection pool and the balance module.

// discover starts watching the discovery service at addr.
func (n *Node) discover(addr string, from membership.InitialState) {
	cfg := n.cfg.Settings
	settings := membership.Settings{Pushed: !cfg.ListOnDemand, ListPollInterval: cfg.ListPollInterval, Nodes: n.discoveryNodes, Seed: n.cfg.Seed}
	if n.fleet != nil {
		settings.PollWait = n.fleet.pollWait()
	}
	n.source = discovery.New(addr, settings, from, func(update discovery.Update) { n.post(update) })
}

// switchDiscovery moves to the discovery service at another address. Later updates from the
// old one are ignored. The generations of the two may be unrelated, so the watch restarts
// from scratch.
func (n *Node) switchDiscovery(addr string) {
	if n.source != nil {
		n.source.Close()
	}
	n.list.ResetSource()
	n.discover(addr, membership.InitialState{HaveList: true})
}

// applyListUpdate applies an update of the server list: first to the pool, so that draining
// backends get no new requests, then to the module.
func (n *Node) applyListUpdate(e discovery.Update) {
	n.metrics.EntriesSkipped.Add(int64(e.List.Skipped))
	if e.Kind == balance.ListFailed {
		n.countListFailure(e.Failure)
		n.list.MarkSourceLost()
		return
	}
	if e.Source != nil && !n.hasList {
		n.hasList = true
		close(n.listReceived)
	}
	reports, confirmed := n.list.PeerReports(), n.list.ReceivedAt()
	n.updateSourceClock(e.List.Date)
	departures := n.list.Apply(n.now(), listKinds[e.Kind], e.List.Generation, membershipEntries(e.List))
	n.announceDepartures(departures)
	n.reportListToFleet(e)
	n.applyEntries(e.Kind, e.List.Instances, confirmed)
	// Peer reports that this update does not confirm expire.
	if reports > 0 {
		n.reapplyList()
	}
	n.reapplyIfFleetChanged()
}

// countListFailure counts a failed call to discovery.
func (n *Node) countListFailure(failure discovery.Failure) {
	switch failure {
	case discovery.Unanswered, discovery.Rejected:
		n.metrics.ListsUnanswered.Add(1)
	case discovery.Truncated:
		n.metrics.ListsTruncated.Add(1)
	case discovery.Unreadable:
		n.metrics.ListsUnreadable.Add(1)
	}
}

var (
	listKinds    = map[balance.ListKind]membership.UpdateKind{balance.ListChanges: membership.Changes, balance.ListFull: membership.Full, balance.ListCached: membership.Cached}
	memberStates = map[string]membership.State{"up": membership.Up, "draining": membership.Draining, "removed": membership.Removed}
)

// membershipEntries converts the entries of a list to the form of package membership.
func membershipEntries(list discovery.List) (out []membership.Entry[discovery.Entry]) {
	for _, e := range list.Instances {
		out = append(out, membership.Entry[discovery.Entry]{Name: e.InstanceID, State: memberStates[e.Lifecycle],
			StartedAt: time.Duration(e.StartedAtMs) * time.Millisecond, Payload: e})
	}
	return out
}

// updateSourceClock records the date of a response of discovery; zero means none.
func (n *Node) updateSourceClock(date time.Time) {
	n.sourceClockOffset = nil
	if !date.IsZero() {
		ahead := time.Duration(date.UnixNano()) - n.now()
		n.sourceClockOffset = &ahead
	}
}

// serverStart returns when the server of a list entry started, in the node's time.
// confirmed is when the previous list was received.
func (n *Node) serverStart(e discovery.Entry, confirmed balance.Time) balance.Time {
	clocks := membership.Clocks{Process: n.now(), Wall: wallclock.Now()}
	if n.sourceClockOffset != nil {
		clocks.Source = clocks.Process + *n.sourceClockOffset
	}
	startedAt := max(time.Duration(e.StartedAtMs)*time.Millisecond, n.list.PeerReportedStart(e.InstanceID))
	return n.startTimes.Resolve(e.InstanceID, startedAt, confirmed, clocks)
}

// applyEntries applies list entries, with maintenance taken into account, to the pool and
// the module. confirmed is when the previous list was received.
func (n *Node) applyEntries(kind balance.ListKind, entries []discovery.Entry, confirmed balance.Time) {
	now := time.Now()
	update := balance.ListUpdate{Kind: kind, Version: n.list.Generation()}
	listed := map[balance.ServerID]bool{}
	for _, entry := range entries {
		effective, server := n.applyEntry(entry, confirmed, now)
		listed[server.ID] = true
		update.Entries = append(update.Entries, effective)
	}
	for id, server := range n.servers {
		if kind != balance.ListChanges && !listed[id] {
			server.Disable(now)
			server.Removed = true
			n.maintenance.SetListed(server.Name, false)
		}
		if server.Disabled() {
			n.pool.CloseIdle(server)
		}
	}
	n.handle(update)
	for _, server := range n.servers {
		n.removeServer(server)
	}
	n.startTimes.RemoveUnlisted(func(name string) bool { return n.servers[n.serverIDs[name]] != nil })
	n.stateQueuedAt = time.Time{} // store a changed list at once
	n.publish()
}

// applyEntry updates the pool for one list entry, and returns the server as the module sees
// it.
func (n *Node) applyEntry(entry discovery.Entry, confirmed balance.Time, now time.Time) (balance.Server, *backend.Server) {
	id := n.serverID(entry.InstanceID)
	n.maintenance.SetListed(entry.InstanceID, discovery.LifecycleStates[entry.Lifecycle] != balance.Removed)
	effective := n.maintenance.Apply(entry.InstanceID, balance.Server{ID: id, Zone: entry.Zone, Kind: entry.MachineType,
		Cell: entry.Cell, State: discovery.LifecycleStates[entry.Lifecycle], Size: entry.Weight,
		StartedAt: n.serverStart(entry, confirmed)})
	server := n.servers[id]
	if effective.State == balance.Ready && (n.list.ExcludedByPeers(entry.InstanceID) || n.excludedByFleet(entry.InstanceID, server)) {
		effective.State = balance.Draining
	}
	if server == nil {
		server = &backend.Server{ID: id, Name: entry.InstanceID}
		n.servers[id] = server
		n.pool.Add(server)
	}
	server.Removed = effective.State == balance.Removed
	if effective.State == balance.Ready {
		server.Enable()
	} else {
		server.Disable(now)
	}
	if server.Location = effective.Location(); effective.State != balance.Removed {
		n.pool.Update(server, entry.HostPort, effective.StartedAt)
	}
	return effective, server
}

// removeServer drops a server that has been removed from the list and has nothing in
// flight, so that replaced servers do not accumulate.
func (n *Node) removeServer(server *backend.Server) {
	if server.Removed && server.InFlight == 0 && n.servers[server.ID] == server {
		delete(n.servers, server.ID)
		delete(n.serverIDs, server.Name)
		n.pool.Remove(server)
	}
}

// serverID returns the module's ID of a server. It is a hash of the name and so the same
// after a restart.
func (n *Node) serverID(name string) balance.ServerID {
	if id, known := n.serverIDs[name]; known {
		return id
	}
	id := hashName(name)
	for n.servers[id] != nil {
		id++
	}
	n.serverIDs[name] = id
	return id
}

func hashName(name string) balance.ServerID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return balance.ServerID(h.Sum32())
}
