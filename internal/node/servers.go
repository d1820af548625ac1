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

// The node's list of servers: what discovery, neighbours and operators say of it, and how
// the pool and the module are told.

// discover begins to call discovery at an address.
func (n *Node) discover(addr string, from membership.InitialState) {
	s := n.cfg.Settings
	set := membership.Settings{Pushed: !s.ListOnDemand, AskWithin: s.ListPollInterval, Nodes: n.sharing, Seed: n.cfg.Seed}
	if n.fleet != nil {
		set.PollWait = n.fleet.hold()
	}
	n.source = discovery.New(addr, set, from, func(news discovery.Update) { n.post(news) })
}

// changeDiscovery turns to discovery at another address at once. What still comes from
// the old one is ignored. The versions of the two need not be related, so the
// watch begins from the start.
func (n *Node) changeDiscovery(addr string) {
	if n.source != nil {
		n.source.Close()
	}
	n.list.ResetSource()
	n.discover(addr, membership.InitialState{HaveList: true})
}

// takeNews takes news of the list: first what the pool needs, so that nothing
// new goes to a backend that drains, then the module.
func (n *Node) takeNews(e discovery.Update) {
	n.figures.EntriesSkipped.Add(int64(e.List.Skipped))
	if e.Kind == balance.ListFailed {
		n.countFailure(e.Failure)
		n.list.MarkSourceLost()
		return
	}
	if e.Source != nil && !n.told {
		n.told = true
		close(n.heard)
	}
	words, confirmed := n.list.PeerReports(), n.list.ReceivedAt()
	n.noteDate(e.List.Date)
	left := n.list.Apply(n.now(), listKinds[e.Kind], e.List.Generation, entriesOf(e.List))
	n.sendWithdrawals(left)
	n.fleetList(e)
	n.applyEntries(e.Kind, e.List.Instances, confirmed)
	if words > 0 { // those that it does not confirm hold no more
		n.reapplyList()
	}
	n.fleetChanged()
}

// countFailure counts a call to discovery that brought no list.
func (n *Node) countFailure(why discovery.Failure) {
	switch why {
	case discovery.Unanswered, discovery.Rejected:
		n.figures.ListsUnanswered.Add(1)
	case discovery.Truncated:
		n.figures.ListsCutShort.Add(1)
	case discovery.Unreadable:
		n.figures.ListsUnreadable.Add(1)
	}
}

var (
	listKinds = map[balance.ListKind]membership.UpdateKind{balance.ListChanges: membership.Changes, balance.ListFull: membership.Full, balance.ListCached: membership.Cached}
	states    = map[string]membership.State{"up": membership.Up, "draining": membership.Draining, "removed": membership.Removed}
)

// entriesOf gives a list's entries in membership's form.
func entriesOf(list discovery.List) (out []membership.Entry[discovery.Entry]) {
	for _, e := range list.Instances {
		out = append(out, membership.Entry[discovery.Entry]{Name: e.InstanceID, State: states[e.Lifecycle],
			StartedAt: time.Duration(e.StartedAtMs) * time.Millisecond, Payload: e})
	}
	return out
}

// noteDate takes discovery's own time in an answer; zero: not told.
func (n *Node) noteDate(date time.Time) {
	n.sourceAhead = nil
	if !date.IsZero() {
		ahead := time.Duration(date.UnixNano()) - n.now()
		n.sourceAhead = &ahead
	}
}

// startOf is when a server started by an entry of the list, in the node's time. confirmed
// is when the list was last told before.
func (n *Node) startOf(e discovery.Entry, confirmed balance.Time) balance.Time {
	clocks := membership.Clocks{Process: n.now(), Wall: wallclock.Now()}
	if n.sourceAhead != nil {
		clocks.Source = clocks.Process + *n.sourceAhead
	}
	told := max(time.Duration(e.StartedAtMs)*time.Millisecond, n.list.PeerReportedStart(e.InstanceID))
	return n.starts.Resolve(e.InstanceID, told, confirmed, clocks)
}

// applyEntries tells of entries of the list as maintenance lets them be seen. confirmed is when
// the list was last told before.
func (n *Node) applyEntries(kind balance.ListKind, entries []discovery.Entry, confirmed balance.Time) {
	now := time.Now()
	update := balance.ListUpdate{Kind: kind, Version: n.list.Generation()}
	listed := map[balance.ServerID]bool{}
	for _, entry := range entries {
		seen, b := n.applyEntry(entry, confirmed, now)
		listed[b.ID] = true
		update.Entries = append(update.Entries, seen)
	}
	for id, b := range n.servers {
		if kind != balance.ListChanges && !listed[id] {
			b.Close(now)
			b.Gone = true
			n.byHand.SetListed(b.Name, false)
		}
		if b.Closed() {
			n.pool.CloseIdle(b)
		}
	}
	n.handle(update)
	for _, b := range n.servers {
		n.forgetServer(b)
	}
	n.starts.RemoveUnlisted(func(name string) bool { return n.servers[n.ids[name]] != nil })
	n.keepAt = time.Time{} // what the list says is kept at once
	n.publish()
}

// applyEntry has the pool use a server as its entry says, and gives what the module is to
// be told of it.
func (n *Node) applyEntry(entry discovery.Entry, confirmed balance.Time, now time.Time) (balance.Server, *backend.Server) {
	id := n.idOf(entry.InstanceID)
	n.byHand.SetListed(entry.InstanceID, discovery.LifecycleStates[entry.Lifecycle] != balance.Removed)
	seen := n.byHand.Apply(entry.InstanceID, balance.Server{ID: id, Zone: entry.Zone, Kind: entry.MachineType,
		Cell: entry.Cell, State: discovery.LifecycleStates[entry.Lifecycle], Size: entry.Weight,
		StartedAt: n.startOf(entry, confirmed)})
	b := n.servers[id]
	if seen.State == balance.Ready && (n.list.ExcludedByPeers(entry.InstanceID) || n.fleetOut(entry.InstanceID, b)) {
		seen.State = balance.Draining
	}
	if b == nil {
		b = &backend.Server{ID: id, Name: entry.InstanceID}
		n.servers[id] = b
		n.pool.Add(b)
	}
	b.Gone = seen.State == balance.Removed
	if seen.State == balance.Ready {
		b.Open()
	} else {
		b.Close(now)
	}
	if b.Place = seen.Location(); seen.State != balance.Removed {
		n.pool.Update(b, entry.HostPort, seen.StartedAt)
	}
	return seen, b
}

// forgetServer forgets a server that is gone once nothing is out there: guards against
// growth where servers are replaced all day.
func (n *Node) forgetServer(b *backend.Server) {
	if b.Gone && b.Out == 0 && n.servers[b.ID] == b {
		delete(n.servers, b.ID)
		delete(n.ids, b.Name)
		n.pool.Remove(b)
	}
}

// idOf gives the module's number for a server: a hash of its name, so that
// it is the same after a restart.
func (n *Node) idOf(name string) balance.ServerID {
	if id, known := n.ids[name]; known {
		return id
	}
	id := hashOf(name)
	for n.servers[id] != nil {
		id++
	}
	n.ids[name] = id
	return id
}

func hashOf(name string) balance.ServerID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return balance.ServerID(h.Sum32())
}
