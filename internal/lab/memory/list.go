package memory

import (
	"ivylock/balance"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"time"
)

var lifecycles = map[string]balance.ServerState{hosts.Up: balance.Ready, hosts.Draining: balance.Draining, hosts.Removed: balance.Removed}

// news lets discovery learn what is due and tell the watches of it.
func (w *world) news() {
	w.unsaid = append(w.unsaid, w.registry.Advance(w.now)...)
	if w.outage { // nobody can ask for it yet
		return
	}
	for _, e := range w.unsaid {
		w.record(history.Event{Kind: history.Change, Server: e.InstanceID, Lifecycle: e.Lifecycle})
	}
	w.unsaid = nil
	for _, n := range w.nodes {
		if n.up && n.watching && n.sent != w.registry.Generation() {
			w.tell(n)
		}
	}
}

// tell writes what is new to a node's watch.
func (w *world) tell(n *node) {
	l := w.registry.Since(n.sent)
	n.sent = l.Generation
	listed := map[string]bool{}
	for _, e := range l.Instances {
		listed[e.InstanceID] = true
		w.record(history.Event{Kind: history.Told, Node: n.Name, Server: e.InstanceID, Lifecycle: e.Lifecycle,
			Started: max(0, time.Duration(e.StartedAtMs)*time.Millisecond-Epoch)})
	}
	kind := balance.ListChanges
	if l.Reset {
		kind = balance.ListFull
		for _, c := range w.machines {
			if !listed[c.Name] {
				w.record(history.Event{Kind: history.Told, Node: n.Name, Server: c.Name, Lifecycle: hosts.Removed})
			}
		}
	}
	life, watch := n.life, n.watch
	if n.cut { // it was written and does not arrive
		n.watching = false
		w.after(callTimeout, func() { n.broken(life, watch) })
		return
	}
	var arrive func()
	arrive = func() {
		if n.w.now < n.asleep {
			w.at(n.asleep, arrive)
		} else if n.life == life && n.watch == watch {
			n.known = w.registry.All()
			n.follow(kind, l)
		}
	}
	w.after(w.jitter(w.s.Net.SameHall.Duration), arrive)
}

// broken tells a node that its watch brought nothing.
func (n *node) broken(life, watch int) {
	if n.w.now < n.asleep {
		n.w.at(n.asleep, func() { n.broken(life, watch) })
	} else if n.life == life && n.watch == watch {
		n.watching = false
		n.handle(balance.ListUpdate{Kind: balance.ListFailed})
	}
}

// subscribe starts a node's watch, or ends it.
func (n *node) subscribe(on bool) {
	w := n.w
	n.watch++
	n.watching = false
	if !on {
		return
	}
	life, watch := n.life, n.watch
	still := func() bool { return n.life == life && n.watch == watch }
	w.after(w.jitter(w.s.Net.SameHall.Duration), func() {
		switch {
		case !still():
		case w.outage || n.cut:
			w.after(callTimeout, func() { n.broken(life, watch) })
		default:
			w.record(history.Event{Kind: history.Asked, Node: n.Name})
			n.watching, n.sent = true, n.version
			w.tell(n)
			n.renew(life, watch)
		}
	})
}

// setOutage takes discovery down or up; watches end with it.
func (w *world) setOutage(down bool) {
	w.outage = down
	for _, n := range w.nodes {
		if down && n.up && n.watching && !n.pushed {
			n.watch++
			n.watching = false
			n.handle(balance.ListUpdate{Kind: balance.ListFailed})
		}
	}
	w.news()
}

// follow takes a list: the shell first, so that nothing new goes to a server
// that drains, then the module.
func (n *node) follow(kind balance.ListKind, l hosts.List) {
	n.version = l.Generation
	n.fleetList(kind, l)
	n.apply(kind, l)
	n.fleetChanged()
}

// apply tells of entries of the list.
func (n *node) apply(kind balance.ListKind, l hosts.List) {
	u := balance.ListUpdate{Kind: kind, Version: l.Generation}
	named := map[balance.ServerID]bool{}
	for _, e := range l.Instances {
		c := n.w.byName[e.InstanceID]
		for int(c.id) >= len(n.listed) {
			n.listed = append(n.listed, nil)
		}
		s := n.listed[c.id]
		if s == nil {
			s = &listed{machine: c}
			n.listed[c.id] = s
		}
		named[c.id] = true
		s.lifecycle = e
		state := lifecycles[e.Lifecycle]
		if state == balance.Ready && n.fleetOut(s) {
			state = balance.Draining
		}
		s.closed = state != balance.Ready
		u.Entries = append(u.Entries, balance.Server{ID: c.id, Zone: e.Zone, Kind: e.MachineType, Cell: e.Cell, State: state,
			Size: e.Weight, StartedAt: time.Duration(e.StartedAtMs) * time.Millisecond})
	}
	if kind == balance.ListChanges {
		for _, e := range l.Instances {
			if s := n.listed[n.w.byName[e.InstanceID].id]; s.closed {
				n.dropIdle(s.machine)
			}
		}
	} else {
		for _, c := range n.w.machines {
			if s := n.server(c.id); s != nil {
				if s.closed = s.closed || !named[c.id]; s.closed {
					n.dropIdle(c)
				}
			}
		}
	}
	n.handle(u)
}
