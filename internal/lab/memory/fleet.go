package memory

import (
	"net/netip"
	"time"

	"ivylock/balance"
	"ivylock/fleet/follow"
	"ivylock/fleet/member"
	"ivylock/fleet/roster"
	"ivylock/fleet/shares"
	"ivylock/fleet/version"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
)

// fleetTick is the interval of the membership ticks, as in the node.
const fleetTick = 100 * time.Millisecond

// impairment is a fault of the datagrams from one node to another.
type impairment struct {
	loss, duplicate float64
	delay, jitter   time.Duration
}

// fleet is the state of a node's fleet membership.
type fleet struct {
	member         *member.Member
	agent          *follow.Agent
	settings       follow.Settings
	heldRequests   []func() // requests held until the node has confirmed its state
	serversChanged bool
	lastActive     time.Duration
}

func newFleet(n *node, settings balance.Settings, seed int64) *fleet {
	if !n.world.scenario.Fleet {
		return nil
	}
	cfg := *n.world.memberConfig
	cfg.Name, cfg.Self, cfg.Nodes, cfg.Seed, cfg.SettingsDigest, cfg.BuildDigest = n.Name, settings.Self, settings.Nodes, seed, 1, 1
	for _, t := range settings.Tenants {
		cfg.TenantQuotas = append(cfg.TenantQuotas, shares.Quota{Name: t.Name, Rate: t.Quota})
	}
	if len(cfg.AllowedPrefixes) > 0 { // processes are identified by their addresses
		cfg.AllowedPrefixes, cfg.Addr = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/16")}, roster.NumberedAddr(settings.Self)
		for i := range settings.Nodes {
			cfg.Peers = append(cfg.Peers, roster.NumberedAddr(i))
		}
	}
	f := &fleet{settings: cfg.Follow, lastActive: n.world.now, member: member.New(cfg, Epoch+n.world.now)}
	f.agent = f.member.Agent()
	n.world.schedule(n.world.now+n.world.jitter(fleetTick), n, fleetTickDue, uint64(n.incarnation))
	return f
}

// deferIfPaused reports whether the node is paused, and if so reschedules the
// event for the end of the pause. The first event after a pause makes the node
// detect it.
func (n *node) deferIfPaused(target eventTarget, kind eventKind, arg uint64) bool {
	if n.world.now < n.pausedUntil {
		n.world.schedule(n.pausedUntil, target, kind, arg)
		return true
	}
	if f := n.fleet; f != nil && n.up {
		gap := n.world.now - f.lastActive
		f.lastActive = n.world.now
		if gap > f.settings.PauseThreshold {
			n.handleFleetEvent(member.Resumed{Gap: gap})
		}
	}
	return false
}

// reportRecord passes the fleet record of the node to the caller of Run.
func (n *node) reportRecord() {
	if n.up && n.fleet != nil && n.world.onRecord != nil {
		n.world.onRecord(n.fleet.member.Record(Epoch + n.world.now))
	}
}

// observeRecords passes the fleet records of all running nodes to observe. It
// includes paused nodes, which use the leases they hold as soon as they resume.
func (w *world) observeRecords(observe func(time.Duration, []version.Record)) {
	var all []version.Record
	for _, n := range w.nodes {
		if n.up && n.fleet != nil {
			all = append(all, n.fleet.member.Record(Epoch+w.now))
		}
	}
	observe(w.now, all)
	if w.now < w.scenario.End() {
		w.after(100*time.Millisecond, func() { w.observeRecords(observe) })
	}
}

func (n *node) fleetTick(incarnation uint64) {
	if uint64(n.incarnation) != incarnation || !n.up {
		return
	}
	n.world.schedule(n.world.now+fleetTick, n, fleetTickDue, incarnation)
	n.handleFleetEvent(member.Tick{})
	if n.fleet.agent.MinAnswerTime(Epoch+n.world.now) > 0 {
		n.reapplyList()
	}
}

func (n *node) handleFleetEvent(event member.Event) {
	f := n.fleet
	for _, a := range f.member.Handle(Epoch+n.world.now, event) {
		switch a := a.(type) {
		case member.Send:
			if to, ok := roster.NumberOf(a.To); ok {
				n.sendDatagram(to, a.Data)
			}
		case member.Deliver:
			n.handle(balance.MessageReceived{From: a.From, Data: a.Data})
		case member.ServersChanged:
			f.serversChanged = true
		case member.QuerySource:
			n.subscribe(true)
		case member.AllocationChanged:
			n.handle(balance.ShareUpdate{TenantRates: a.Quotas, EffectiveNodes: a.EquivalentNodes})
		case member.FleetChanged:
			n.handle(balance.FleetChanged{Nodes: a.Processes})
		}
	}
	source, isSource := event.(member.SourceEvent)
	if _, isList := source.Event.(follow.ListReceived); !isSource || !isList {
		n.applyServerChanges()
	}
	if until := f.agent.HoldUntil(); len(f.heldRequests) > 0 && (until == 0 || Epoch+n.world.now >= until) {
		waiting := f.heldRequests
		f.heldRequests = nil
		for _, do := range waiting {
			do()
		}
	}
}

func (n *node) applyServerChanges() {
	if n.fleet != nil && n.fleet.serversChanged {
		n.fleet.serversChanged = false
		n.reapplyList()
	}
}

// reapplyList passes the whole list to the module again.
func (n *node) reapplyList() {
	list := hosts.List{Generation: n.listVersion}
	for _, s := range n.servers {
		if s != nil && s.entry.InstanceID != "" && s.entry.Lifecycle != hosts.Removed {
			list.Instances = append(list.Instances, s.entry)
		}
	}
	n.applyEntries(balance.ListCached, list)
}

func (n *node) notifyFleet(kind balance.ListKind, list hosts.List) {
	if n.fleet == nil {
		return
	}
	if kind != balance.ListChanges { // a full list removes all servers that it does not name
		for _, s := range n.servers {
			if s != nil {
				s.entry = hosts.Entry{}
			}
		}
	}
	kinds := map[balance.ListKind]follow.ListKind{balance.ListChanges: follow.Delta, balance.ListFull: follow.Full, balance.ListCached: follow.Cached}
	states := map[string]version.State{hosts.Up: version.Up, hosts.Draining: version.Draining, hosts.Removed: version.Removed}
	event := follow.ListReceived{Kind: kinds[kind], Generation: list.Generation}
	for _, entry := range list.Instances {
		event.Entries = append(event.Entries, follow.Entry{Name: entry.InstanceID, State: states[entry.Lifecycle], StartedAt: time.Duration(entry.StartedAtMs) * time.Millisecond})
	}
	n.handleFleetEvent(member.SourceEvent{Event: event})
}

func (n *node) withdrawnByFleet(server *knownServer) bool {
	if n.fleet == nil {
		return false
	}
	minAnswerTime := n.fleet.agent.MinAnswerTime(Epoch + n.world.now)
	return n.fleet.agent.Withdrawn(server.entry.InstanceID) || minAnswerTime > 0 && server.lastAnswer < minAnswerTime
}

// admit reports whether a request goes to the module now. Otherwise it holds or refuses it.
func (n *node) admit(client *clientTry, accepted *request, tenant string) bool {
	f := n.fleet
	if until := f.agent.HoldUntil(); until > 0 && Epoch+n.world.now < until {
		f.heldRequests = append(f.heldRequests, func() { n.receive(client, accepted.deadline-n.world.now) })
		return false
	}
	if f.agent.AcceptsRequests() {
		f.member.CountRequest(tenant)
		return true
	}
	f.agent.Recorder().CountStaleRefusal()
	client.scheduleAnswer(n.world.jitter(n.world.scenario.Net.ClientDelay.Duration), history.Refused, "", time.Second)
	return false
}

// receiveDatagram handles a datagram of another node.
func (n *node) receiveDatagram(incarnation, from int, data []byte) {
	switch {
	case n.incarnation != incarnation || !n.up:
		return
	case n.world.now < n.pausedUntil:
		n.world.at(n.pausedUntil, func() { n.receiveDatagram(incarnation, from, data) })
		return
	}
	if n.fleet != nil {
		n.deferIfPaused(nil, 0, 0) // detects a pause before the datagram is applied
		n.handleFleetEvent(member.DatagramReceived{From: roster.NumberedAddr(from), Data: data})
		return
	}
	n.handle(balance.MessageReceived{From: from, Data: data})
}

// renewWatch models the next call of the watch, whose answer shows that the list is current.
func (n *node) renewWatch(incarnation, watchID int) {
	if n.fleet == nil {
		return
	}
	w := n.world
	w.after(n.fleet.settings.NarrowAfter/3, func() {
		switch {
		case n.incarnation != incarnation || n.watchID != watchID || !n.watching:
		case n.discoveryCut: // discovery sees the call end before the node does
			n.watching = false
			w.after(discoveryCallTimeout, func() { n.watchFailed(incarnation, watchID) })
		default:
			if w.now >= n.pausedUntil {
				w.record(history.Event{Kind: history.DiscoveryCalled, Node: n.Name})
				n.applyUpdate(balance.ListChanges, hosts.List{Generation: n.listVersion})
			}
			n.renewWatch(incarnation, watchID)
		}
	})
}

// bernoulli returns 1 with probability p, else 0.
func bernoulli(w *world, p float64) int {
	if p > 0 && w.rng.Float64() < p {
		return 1
	}
	return 0
}

// extraDelay returns the delay added to a datagram.
func (i impairment) extraDelay(w *world) time.Duration {
	if i.jitter == 0 {
		return i.delay
	}
	return i.delay + time.Duration(w.rng.Float64()*float64(i.jitter))
}
