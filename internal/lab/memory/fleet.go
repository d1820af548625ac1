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

// fleetTick is how often an agent looks, as the node's shell has it.
const fleetTick = 100 * time.Millisecond

// way is what the lab does to datagrams from one node to another.
type way struct {
	loss, double  float64
	delay, jitter time.Duration
}

// fleet is a node's part in its fleet, as the shell carries it out.
type fleet struct {
	member  *member.Member
	agent   *follow.Agent // the member's
	set     follow.Settings
	waiting []func() // requests that came while it waits to hear whether what it believes holds
	changed bool
	turnAt  time.Duration
}

func newFleet(n *node, s balance.Settings, seed int64) *fleet {
	if !n.w.s.Fleet {
		return nil
	}
	cfg := *n.w.member
	cfg.Name, cfg.Self, cfg.Nodes, cfg.Seed, cfg.SettingsDigest, cfg.BuildDigest = n.Name, s.Self, s.Nodes, seed, 1, 1
	for _, t := range s.Tenants {
		cfg.TenantQuotas = append(cfg.TenantQuotas, shares.Quota{Name: t.Name, Rate: t.Quota})
	}
	if len(cfg.AllowedPrefixes) > 0 { // processes are known by their addresses
		cfg.AllowedPrefixes, cfg.Addr = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/16")}, roster.NumberedAddr(s.Self)
		for i := range s.Nodes {
			cfg.Peers = append(cfg.Peers, roster.NumberedAddr(i))
		}
	}
	f := &fleet{set: cfg.Follow, turnAt: n.w.now, member: member.New(cfg, Epoch+n.w.now)}
	f.agent = f.member.Agent()
	n.w.plan(n.w.now+n.w.jitter(fleetTick), n, fleetTicks, uint64(n.life))
	return f
}

// sleeps tells whether a node stands still; then what happens to it is put off
// until it goes on. The first thing after that is that it finds out.
func (n *node) sleeps(on subject, what what, number uint64) bool {
	if n.w.now < n.asleep {
		n.w.plan(n.asleep, on, what, number)
		return true
	}
	if f := n.fleet; f != nil && n.up { // one that is dead finds out nothing
		gap := n.w.now - f.turnAt
		f.turnAt = n.w.now
		if gap > f.set.PauseThreshold {
			n.fleetDo(member.Resumed{Gap: gap})
		}
	}
	return false
}

// tellRecord gives the run's caller what the node has acted on.
func (n *node) tellRecord() {
	if n.up && n.fleet != nil && n.w.records != nil {
		n.w.records(n.fleet.member.Record(Epoch + n.w.now))
	}
}

// look gives what all nodes that run have on record, those that stand still too: what
// they hold they would use the moment they go on.
func (w *world) look(take func(time.Duration, []version.Record)) {
	var all []version.Record
	for _, n := range w.nodes {
		if n.up && n.fleet != nil {
			all = append(all, n.fleet.member.Record(Epoch+w.now))
		}
	}
	take(w.now, all)
	if w.now < w.s.End() {
		w.after(100*time.Millisecond, func() { w.look(take) })
	}
}

func (n *node) fleetTick(life uint64) {
	if uint64(n.life) != life || !n.up {
		return
	}
	n.w.plan(n.w.now+fleetTick, n, fleetTicks, life)
	n.fleetDo(member.Tick{})
	if n.fleet.agent.MinAnswerTime(Epoch+n.w.now) > 0 {
		n.again()
	}
}

func (n *node) fleetDo(e member.Event) {
	f := n.fleet
	for _, a := range f.member.Handle(Epoch+n.w.now, e) {
		switch a := a.(type) {
		case member.Send:
			if to, ok := roster.NumberOf(a.To); ok {
				n.post(to, a.Data)
			}
		case member.Deliver:
			n.handle(balance.MessageReceived{From: a.From, Data: a.Data})
		case member.ServersChanged:
			f.changed = true
		case member.QuerySource:
			n.subscribe(true)
		case member.AllocationChanged:
			n.handle(balance.ShareUpdate{TenantRates: a.Quotas, EffectiveNodes: a.EquivalentNodes})
		case member.FleetChanged:
			n.handle(balance.FleetChanged{Nodes: a.Processes})
		}
	}
	source, is := e.(member.SourceEvent)
	if _, listed := source.Event.(follow.ListReceived); !is || !listed {
		n.fleetChanged()
	}
	if until := f.agent.HoldUntil(); len(f.waiting) > 0 && (until == 0 || Epoch+n.w.now >= until) {
		waiting := f.waiting
		f.waiting = nil
		for _, do := range waiting {
			do()
		}
	}
}

func (n *node) fleetChanged() {
	if n.fleet != nil && n.fleet.changed {
		n.fleet.changed = false
		n.again()
	}
}

// again tells the module the whole list anew.
func (n *node) again() {
	l := hosts.List{Generation: n.version}
	for _, s := range n.listed {
		if s != nil && s.lifecycle.InstanceID != "" && s.lifecycle.Lifecycle != hosts.Removed {
			l.Instances = append(l.Instances, s.lifecycle)
		}
	}
	n.apply(balance.ListCached, l)
}

func (n *node) fleetList(kind balance.ListKind, l hosts.List) {
	if n.fleet == nil {
		return
	}
	if kind != balance.ListChanges { // what is not named any more is gone
		for _, s := range n.listed {
			if s != nil {
				s.lifecycle = hosts.Entry{}
			}
		}
	}
	kinds := map[balance.ListKind]follow.ListKind{balance.ListChanges: follow.Delta, balance.ListFull: follow.Full, balance.ListCached: follow.Cached}
	states := map[string]version.State{hosts.Up: version.Up, hosts.Draining: version.Draining, hosts.Removed: version.Removed}
	e := follow.ListReceived{Kind: kinds[kind], Generation: l.Generation}
	for _, x := range l.Instances {
		e.Entries = append(e.Entries, follow.Entry{Name: x.InstanceID, State: states[x.Lifecycle], StartedAt: time.Duration(x.StartedAtMs) * time.Millisecond})
	}
	n.fleetDo(member.SourceEvent{Event: e})
}

func (n *node) fleetOut(s *listed) bool {
	if n.fleet == nil {
		return false
	}
	fresh := n.fleet.agent.MinAnswerTime(Epoch + n.w.now)
	return n.fleet.agent.Withdrawn(s.lifecycle.InstanceID) || fresh > 0 && s.answered < fresh
}

// admit tells whether a request, a tenant's, goes on to the module now.
func (n *node) admit(c *client, r *request, tenant string) bool {
	f := n.fleet
	if until := f.agent.HoldUntil(); until > 0 && Epoch+n.w.now < until {
		f.waiting = append(f.waiting, func() { n.arrive(c, r.deadline-n.w.now) })
		return false
	}
	if f.agent.AcceptsRequests() {
		f.member.CountRequest(tenant)
		return true
	}
	f.agent.Recorder().CountStaleRefusal()
	c.later(n.w.jitter(n.w.s.Net.Client.Duration), history.Refused, "", time.Second)
	return false
}

// hear takes a datagram of another node.
func (n *node) hear(life, from int, data []byte) {
	switch {
	case n.life != life || !n.up:
		return
	case n.w.now < n.asleep:
		n.w.at(n.asleep, func() { n.hear(life, from, data) })
		return
	}
	if n.fleet != nil {
		n.sleeps(nil, 0, 0) // it goes on: it must find out before it hears anybody
		n.fleetDo(member.DatagramReceived{From: roster.NumberedAddr(from), Data: data})
		return
	}
	n.handle(balance.MessageReceived{From: from, Data: data})
}

// renew is the watch's next call, whose answer shows that the list is current.
func (n *node) renew(life, watch int) {
	if n.fleet == nil {
		return
	}
	w := n.w
	w.after(n.fleet.set.NarrowAfter/3, func() {
		switch {
		case n.life != life || n.watch != watch || !n.watching:
		case n.cut: // for discovery the call has ended; the node finds out later
			n.watching = false
			w.after(callTimeout, func() { n.broken(life, watch) })
		default:
			if w.now >= n.asleep {
				w.record(history.Event{Kind: history.Asked, Node: n.Name})
				n.follow(balance.ListChanges, hosts.List{Generation: n.version})
			}
			n.renew(life, watch)
		}
	})
}

func chance(w *world, p float64) int {
	if p > 0 && w.rng.Float64() < p {
		return 1
	}
	return 0
}

// late is what a way adds to a datagram's time.
func (y way) late(w *world) time.Duration {
	if y.jitter == 0 {
		return y.delay
	}
	return y.delay + time.Duration(w.rng.Float64()*float64(y.jitter))
}
