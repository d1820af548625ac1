package memory

import (
	"time"

	"ivylock/balance"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/scenario"
)

// silentNotice is how long discovery takes to miss a machine that is cut off.
const silentNotice = 5 * time.Second

// retransmit is what a lost segment costs.
const retransmit = 200 * time.Millisecond

// running tells whether there is a process that accepts connections.
func (c *machine) running() bool { return c.model.State() != clip.Down }

// delay is what the lab's links add to one way of an attempt.
func (c *machine) delay(a *attempt) time.Duration {
	l := a.node.link(c)
	d := l.extra
	if l.loss > 0 && c.w.rng.Float64() < l.loss {
		d += retransmit
	}
	if !a.ended {
		a.extra += d
	}
	return d
}

// arriveAbandoned is a request that was written before its connection was
// closed: the server reads it and may run it, and answers nobody.
func (c *machine) arriveAbandoned(a *attempt, work time.Duration) {
	if c.silent || !c.running() {
		return
	}
	c.arrive(a, work)
	c.left(a)
}

// planFault puts a fault on the timeline.
func (w *world) planFault(f *scenario.Fault) {
	servers, nodes := w.s.Pick(f.Who)
	machines := func() []*machine {
		var out []*machine
		for _, x := range servers {
			out = append(out, w.byName[x.Name].process())
		}
		return out
	}
	each := func(do func(*machine)) func() {
		return func() {
			for _, c := range machines() {
				do(c)
			}
		}
	}
	var begin, end func()
	switch f.What {
	case scenario.WhatSilent, scenario.WhatLost, scenario.WhatLostNodes:
		begin = func() {
			each(func(c *machine) {
				c.silent = true
				c.model.SetState(w.now, clip.Silent)
				life := c.life
				if f.For.Duration > silentNotice {
					w.after(silentNotice, func() {
						if c.silent && c.life == life {
							w.list(c, hosts.Removed, 0)
						}
					})
				}
			})()
			if f.What == scenario.WhatLostNodes {
				w.killNodes(nodes, f.For.Duration)
			}
		}
		end = each((*machine).restart)
	case scenario.WhatHang:
		begin = each(func(c *machine) { c.finish(); c.model.SetState(w.now, clip.Hung) })
		end = each(func(c *machine) {
			if c.model.State() == clip.Hung {
				c.model.SetState(w.now, clip.Running)
				c.finish()
			}
		})
	case scenario.WhatKill:
		begin = func() {
			each(func(c *machine) { c.die(); w.list(c, hosts.Removed, w.lag) })()
			w.killNodes(nodes, f.For.Duration)
		}
		end = each((*machine).restart)
	case scenario.WhatTerm:
		begin = func() {
			for _, x := range nodes {
				w.nodes[x.Number].term(f.For.Duration, true)
			}
		}
	case scenario.WhatLeave:
		begin = func() {
			for _, x := range nodes {
				w.nodes[x.Number].term(3*time.Second, false)
			}
		}
	case scenario.WhatJoin:
		begin = func() {
			for _, x := range nodes {
				w.nodes[x.Number].start()
			}
		}
	case scenario.WhatDrain:
		begin = each(func(c *machine) { w.list(c, hosts.Draining, w.lag) })
		end = each(func(c *machine) { w.list(c, hosts.Up, w.lag) })
	case scenario.WhatFlap:
		begin = each(func(c *machine) { w.flap(c, f.Every.Duration, w.now+f.For.Duration, false) })
		end = each(func(c *machine) { w.list(c, hosts.Up, w.lag) })
	case scenario.WhatReplace:
		begin = each(func(c *machine) { w.replace(c, f.For.Duration) })
	case scenario.WhatLink:
		begin = func() { w.setLinks(machines(), nodes, link{f.Delay.Duration, f.Loss, f.State}) }
		end = func() { w.setLinks(machines(), nodes, link{}) }
	case scenario.WhatSpoil:
		begin = each(func(c *machine) { c.spoil = f.Part })
		end = each(func(c *machine) { c.spoil = 0 })
	case scenario.WhatOutage:
		begin, end = func() { w.setOutage(true) }, func() { w.setOutage(false) }
	case scenario.WhatLag:
		begin, end = func() { w.lag += f.Delay.Duration }, func() { w.lag -= f.Delay.Duration }
	case scenario.WhatStop:
		begin = func() {
			for _, x := range nodes {
				w.record(history.Event{Kind: history.NodeStop, Node: x.Name})
				w.nodes[x.Number].asleep = w.now + f.For.Duration
			}
		}
		end = func() {
			for _, x := range nodes {
				w.record(history.Event{Kind: history.NodeCont, Node: x.Name})
			}
		}
	case scenario.WhatCut:
		set := func(cut bool) func() {
			return func() {
				for _, x := range nodes {
					w.nodes[x.Number].cut = cut
				}
			}
		}
		begin, end = set(true), set(false)
	case scenario.WhatPeers, scenario.WhatSplit:
		begin = func() {
			for _, x := range w.s.Ways(f) {
				w.ways[x] = way{loss: f.Loss, delay: f.Delay.Duration, jitter: f.Jitter.Duration, double: f.Double}
				if f.State != "" || f.What == scenario.WhatSplit {
					w.ways[x] = way{loss: 1}
				}
			}
		}
		end = func() {
			for _, x := range w.s.Ways(f) {
				delete(w.ways, x)
			}
		}
	case scenario.WhatForget:
		begin = func() {
			w.setOutage(true)
			w.registry.Restart(1)
			w.record(history.Event{Kind: history.Forgot})
			w.setOutage(false)
		}
	}
	w.at(f.At.Duration, func() {
		w.record(history.Event{Kind: history.Fault, Note: f.String()})
		if begin != nil { // heavy requests and slow readers come with the load
			begin()
		}
	})
	w.at(f.At.Duration+f.For.Duration, func() {
		if end != nil {
			end()
		}
		w.record(history.Event{Kind: history.FaultEnd, Note: f.String()})
	})
}

func (w *world) killNodes(nodes []scenario.Node, length time.Duration) {
	for _, x := range nodes {
		n := w.nodes[x.Number]
		n.kill()
		w.after(length, n.start)
	}
}

// flap takes a running server off the list and puts it back, over and over.
func (w *world) flap(c *machine, every, until time.Duration, up bool) {
	if w.now >= until {
		return
	}
	lifecycle := hosts.Removed
	if up {
		lifecycle = hosts.Up
	}
	w.list(c, lifecycle, 0)
	w.after(every, func() { w.flap(c, every, until, !up) })
}

// link is what the lab does to the connections of one node to one machine.
type link struct {
	extra time.Duration
	loss  float64
	state string
}

type pair struct {
	node    *node
	machine *machine
}

// setLinks changes the links of servers, of nodes, or, where both are named,
// those between them.
func (w *world) setLinks(machines []*machine, nodes []scenario.Node, l link) {
	if len(machines) == 0 {
		machines = w.machines
	}
	ends := w.nodes
	if len(nodes) > 0 {
		ends = nil
		for _, x := range nodes {
			ends = append(ends, w.nodes[x.Number])
		}
	}
	for _, c := range machines {
		for _, n := range ends {
			old := w.links[pair{n, c}]
			w.links[pair{n, c}] = l
			if l.state == "reset" || old.state != "" && l.state == "" {
				n.dropIdle(c) // what stood on the link is gone
				for _, id := range c.order {
					if a := c.out[id]; a != nil && a.node == n {
						delete(c.out, id)
						a.back(balance.Reset)
					}
				}
			}
		}
	}
}
