package balance

// The servers that this node uses: list updates, the fleet and subsets.

import (
	"cmp"
	"math"
	"slices"

	"ivylock/fleet/subset"
)

func (m *Module) applyListUpdate(update ListUpdate) {
	if update.Kind == ListFailed {
		return
	}
	if update.Kind != ListChanges {
		for _, srv := range m.servers {
			srv.State = Removed
		}
	}
	for _, entry := range update.Entries {
		srv := m.serverOf(entry.ID)
		// A new start: measurements of the previous process do not apply.
		if entry.State == Ready && entry.StartedAt > srv.StartedAt {
			srv.ejected, srv.failureScore, srv.unanswered, srv.imposedUntil = false, 0, 0, m.now
			m.startWarmup(srv, entry.StartedAt)
		}
		if entry.State != Ready {
			// A start announced while draining counts once the server is ready.
			entry.StartedAt = srv.StartedAt
		}
		srv.Server = entry
	}
	m.servers = m.servers[:0]
	for _, srv := range m.known {
		if srv.State != Removed {
			m.servers = append(m.servers, srv)
		} else {
			srv.users = []int{} // no longer in the assignment
		}
		m.forgetRemoved(srv)
	}
	m.replan()
}

// isLargeFleet reports whether so many nodes share the servers that a node's own in-flight
// count is too little information. Between the two bounds a node uses peer readings if it
// receives any, so that nodes that exchange readings agree.
func (m *Module) isLargeFleet() bool {
	n := m.planner.ProcessCount()
	return n >= largeFleetEnter ||
		n > largeFleetExit && (m.largeFleet || m.peerReadingAt > 0 && m.now-m.peerReadingAt < modeValidity)
}

// applyFleet applies a change of the fleet's nodes and drops the state of departed peers.
func (m *Module) applyFleet(event FleetChanged) {
	if !m.planner.SetFleet(event.Nodes) {
		return
	}
	for id := range m.peers {
		if !m.planner.Has(id) {
			delete(m.peers, id)
		}
	}
	m.replan()
}

// replan detects a large fleet and orders the list for this node: its assigned subset
// first, then the servers for which it is the next candidate.
func (m *Module) replan() {
	largeFleet := m.largeFleet
	// Idle connections cost servers more than new ones.
	if m.largeFleet = m.isLargeFleet(); m.largeFleet && !largeFleet {
		m.emit(SetConnIdleTimeout{Timeout: largeFleetIdleTimeout})
	} else if largeFleet && !m.largeFleet {
		m.emit(SetConnIdleTimeout{Timeout: m.settings.ConnIdleTimeout})
	}
	users := math.MaxInt32 // in a small fleet each node uses all servers
	if m.largeFleet {
		users = nodesPerServer
	}
	m.planner.SetSettings(subset.Settings{UsersPerServer: users, MinServers: minSubsetSize})
	slices.SortFunc(m.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	all, size := make([]subset.Server, len(m.servers)), m.meanSize(m.servers)
	for i, srv := range m.servers {
		all[i].Key, srv.planIndex, srv.users = uint64(srv.ID), i, nil
		if size > 0 { // larger servers get proportionally more nodes
			all[i].RelativeSize = srv.Size / size
		}
	}
	m.assignment = m.planner.Plan(all)
	assigned, next := m.assignment.ServersFor(uint32(m.settings.Self))
	listed := slices.Clone(m.servers)
	m.servers, m.subsetSize = m.servers[:0], len(assigned)
	for _, i := range slices.Concat(assigned, next) {
		m.servers = append(m.servers, listed[i])
	}
	m.chooseSubset()
}

// chooseSubset selects the servers that this node uses, which bounds the connections per
// server. A node with many open requests also uses servers for which it is the next
// candidate. Ejected servers are replaced.
func (m *Module) chooseSubset() {
	m.inUse, m.ejectedCount = m.inUse[:0], 0
	needed := max(minSubsetSize, int(math.Ceil(serversPerRequest*m.smoothedOpen)))
	for i, srv := range m.servers { // the assigned subset first, then the next candidates
		if srv.State != Ready || i >= m.subsetSize && needed <= 0 {
			continue
		}
		if m.inUse = append(m.inUse, srv); srv.ejected {
			m.ejectedCount++
		} else {
			needed--
		}
	}
	m.meanUsedSize = m.meanSize(m.inUse)
	if m.largeFleet {
		slots := float64(m.planner.ProcessCount() * minSubsetSize)
		m.sampleScarcity = math.Max(nodesPerServer,
			slots/math.Max(1, float64(len(m.servers)))) / ownSampleNodes
	}
}

// meanSize returns the mean size of some servers, or 0 if sizes are not comparable.
func (m *Module) meanSize(servers []*server) (size float64) {
	for _, srv := range servers {
		if m.settings.SizeKnown && !m.settings.SizeLive && srv.Size > 0 {
			size += srv.Size / float64(len(servers))
		}
	}
	return size
}
