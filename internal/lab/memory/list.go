package memory

import (
	"ivylock/balance"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"time"
)

var serverStates = map[string]balance.ServerState{hosts.Up: balance.Ready, hosts.Draining: balance.Draining, hosts.Removed: balance.Removed}

// publishChanges applies the changes that are due in discovery and notifies the watches.
func (w *world) publishChanges() {
	w.unpublished = append(w.unpublished, w.registry.Advance(w.now)...)
	if w.outage { // published when the outage ends
		return
	}
	for _, e := range w.unpublished {
		w.record(history.Event{Kind: history.DiscoveryChanged, Server: e.InstanceID, Lifecycle: e.Lifecycle})
	}
	w.unpublished = nil
	for _, n := range w.nodes {
		if n.up && n.watching && n.sentVersion != w.registry.Generation() {
			w.sendUpdate(n)
		}
	}
}

// sendUpdate sends a node's watch the changes since the last update.
func (w *world) sendUpdate(n *node) {
	list := w.registry.Since(n.sentVersion)
	n.sentVersion = list.Generation
	listed := map[string]bool{}
	for _, e := range list.Instances {
		listed[e.InstanceID] = true
		w.record(history.Event{Kind: history.NodeNotified, Node: n.Name, Server: e.InstanceID, Lifecycle: e.Lifecycle,
			StartedAt: max(0, time.Duration(e.StartedAtMs)*time.Millisecond-Epoch)})
	}
	kind := balance.ListChanges
	if list.Reset {
		kind = balance.ListFull
		for _, c := range w.machines {
			if !listed[c.Name] {
				w.record(history.Event{Kind: history.NodeNotified, Node: n.Name, Server: c.Name, Lifecycle: hosts.Removed})
			}
		}
	}
	incarnation, watchID := n.incarnation, n.watchID
	if n.discoveryCut { // the update is sent and lost
		n.watching = false
		w.after(discoveryCallTimeout, func() { n.watchFailed(incarnation, watchID) })
		return
	}
	var arrive func()
	arrive = func() {
		if n.world.now < n.pausedUntil {
			w.at(n.pausedUntil, arrive)
		} else if n.incarnation == incarnation && n.watchID == watchID {
			n.latestList = w.registry.All()
			n.applyUpdate(kind, list)
		}
	}
	w.after(w.jitter(w.scenario.Net.SameZone.Duration), arrive)
}

// watchFailed reports a failed watch to the module.
func (n *node) watchFailed(incarnation, watchID int) {
	if n.world.now < n.pausedUntil {
		n.world.at(n.pausedUntil, func() { n.watchFailed(incarnation, watchID) })
	} else if n.incarnation == incarnation && n.watchID == watchID {
		n.watching = false
		n.handle(balance.ListUpdate{Kind: balance.ListFailed})
	}
}

// subscribe starts or ends the watch of a node.
func (n *node) subscribe(on bool) {
	w := n.world
	n.watchID++
	n.watching = false
	if !on {
		return
	}
	incarnation, watchID := n.incarnation, n.watchID
	current := func() bool { return n.incarnation == incarnation && n.watchID == watchID }
	w.after(w.jitter(w.scenario.Net.SameZone.Duration), func() {
		switch {
		case !current():
		case w.outage || n.discoveryCut:
			w.after(discoveryCallTimeout, func() { n.watchFailed(incarnation, watchID) })
		default:
			w.record(history.Event{Kind: history.DiscoveryCalled, Node: n.Name})
			n.watching, n.sentVersion = true, n.listVersion
			w.sendUpdate(n)
			n.renewWatch(incarnation, watchID)
		}
	})
}

// setOutage starts or ends an outage of discovery. An outage ends the watches.
func (w *world) setOutage(down bool) {
	w.outage = down
	for _, n := range w.nodes {
		if down && n.up && n.watching && !n.listPushed {
			n.watchID++
			n.watching = false
			n.handle(balance.ListUpdate{Kind: balance.ListFailed})
		}
	}
	w.publishChanges()
}

// applyUpdate applies a list received from discovery: to the fleet membership
// first, so that no new request goes to a draining server, then to the module.
func (n *node) applyUpdate(kind balance.ListKind, list hosts.List) {
	n.listVersion = list.Generation
	n.notifyFleet(kind, list)
	n.applyEntries(kind, list)
	n.applyServerChanges()
}

// applyEntries updates the known servers and passes the entries to the module.
func (n *node) applyEntries(kind balance.ListKind, list hosts.List) {
	update := balance.ListUpdate{Kind: kind, Version: list.Generation}
	named := map[balance.ServerID]bool{}
	for _, entry := range list.Instances {
		c := n.world.byName[entry.InstanceID]
		for int(c.id) >= len(n.servers) {
			n.servers = append(n.servers, nil)
		}
		server := n.servers[c.id]
		if server == nil {
			server = &knownServer{machine: c}
			n.servers[c.id] = server
		}
		named[c.id] = true
		server.entry = entry
		state := serverStates[entry.Lifecycle]
		if state == balance.Ready && n.withdrawnByFleet(server) {
			state = balance.Draining
		}
		server.closed = state != balance.Ready
		update.Entries = append(update.Entries, balance.Server{ID: c.id, Zone: entry.Zone, Kind: entry.MachineType, Cell: entry.Cell, State: state,
			Size: entry.Weight, StartedAt: time.Duration(entry.StartedAtMs) * time.Millisecond})
	}
	if kind == balance.ListChanges {
		for _, entry := range list.Instances {
			if server := n.servers[n.world.byName[entry.InstanceID].id]; server.closed {
				n.closeIdle(server.machine)
			}
		}
	} else {
		for _, c := range n.world.machines {
			if server := n.server(c.id); server != nil {
				if server.closed = server.closed || !named[c.id]; server.closed {
					n.closeIdle(c)
				}
			}
		}
	}
	n.handle(update)
}
