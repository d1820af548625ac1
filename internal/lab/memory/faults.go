package memory

import (
	"time"

	"ivylock/balance"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/scenario"
)

// unreachableNotice is how long discovery takes to remove an unreachable machine.
const unreachableNotice = 5 * time.Second

// retransmitDelay is the delay that a lost segment adds.
const retransmitDelay = 200 * time.Millisecond

// running reports whether a process accepts connections.
func (c *machine) running() bool { return c.model.State() != clip.Down }

// linkDelay returns the delay that link faults add to one way of an attempt.
func (c *machine) linkDelay(a *attempt) time.Duration {
	link := a.node.link(c)
	d := link.delay
	if link.loss > 0 && c.world.rng.Float64() < link.loss {
		d += retransmitDelay
	}
	if !a.ended {
		a.linkDelay += d
	}
	return d
}

// receiveAbandoned handles a request that was written before its connection was
// closed: the server reads and may run it, and its answer is lost.
func (c *machine) receiveAbandoned(a *attempt, work time.Duration) {
	if c.unreachable || !c.running() {
		return
	}
	c.receive(a, work)
	c.cancelAttempt(a)
}

// scheduleFault schedules the begin and the end of a fault.
func (w *world) scheduleFault(fault *scenario.Fault) {
	servers, nodes := w.scenario.Select(fault.Targets)
	machines := func() []*machine {
		var out []*machine
		for _, x := range servers {
			out = append(out, w.byName[x.Name].current())
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
	switch fault.Kind {
	case scenario.FaultSilent, scenario.FaultZoneLost, scenario.FaultZoneAndNodesLost:
		begin = func() {
			each(func(c *machine) {
				c.unreachable = true
				c.model.SetState(w.now, clip.Isolated)
				incarnation := c.incarnation
				if fault.For.Duration > unreachableNotice {
					w.after(unreachableNotice, func() {
						if c.unreachable && c.incarnation == incarnation {
							w.publish(c, hosts.Removed, 0)
						}
					})
				}
			})()
			if fault.Kind == scenario.FaultZoneAndNodesLost {
				w.killNodes(nodes, fault.For.Duration)
			}
		}
		end = each((*machine).restart)
	case scenario.FaultHang:
		begin = each(func(c *machine) { c.completeJobs(); c.model.SetState(w.now, clip.Hung) })
		end = each(func(c *machine) {
			if c.model.State() == clip.Hung {
				c.model.SetState(w.now, clip.Running)
				c.completeJobs()
			}
		})
	case scenario.FaultKill:
		begin = func() {
			each(func(c *machine) { c.crash(); w.publish(c, hosts.Removed, w.discoveryLag) })()
			w.killNodes(nodes, fault.For.Duration)
		}
		end = each((*machine).restart)
	case scenario.FaultRestart:
		begin = func() {
			for _, x := range nodes {
				w.nodes[x.Number].terminate(fault.For.Duration, true)
			}
		}
	case scenario.FaultLeave:
		begin = func() {
			for _, x := range nodes {
				w.nodes[x.Number].terminate(3*time.Second, false)
			}
		}
	case scenario.FaultJoin:
		begin = func() {
			for _, x := range nodes {
				w.nodes[x.Number].start()
			}
		}
	case scenario.FaultDrain:
		begin = each(func(c *machine) { w.publish(c, hosts.Draining, w.discoveryLag) })
		end = each(func(c *machine) { w.publish(c, hosts.Up, w.discoveryLag) })
	case scenario.FaultFlap:
		begin = each(func(c *machine) { w.flap(c, fault.Interval.Duration, w.now+fault.For.Duration, false) })
		end = each(func(c *machine) { w.publish(c, hosts.Up, w.discoveryLag) })
	case scenario.FaultReplace:
		begin = each(func(c *machine) { w.replace(c, fault.For.Duration) })
	case scenario.FaultLink:
		begin = func() { w.setLinks(machines(), nodes, link{fault.Delay.Duration, fault.Loss, fault.State}) }
		end = func() { w.setLinks(machines(), nodes, link{}) }
	case scenario.FaultCorrupt:
		begin = each(func(c *machine) { c.errorProbability = fault.Fraction })
		end = each(func(c *machine) { c.errorProbability = 0 })
	case scenario.FaultDiscoveryOutage:
		begin, end = func() { w.setOutage(true) }, func() { w.setOutage(false) }
	case scenario.FaultDiscoveryDelay:
		begin, end = func() { w.discoveryLag += fault.Delay.Duration }, func() { w.discoveryLag -= fault.Delay.Duration }
	case scenario.FaultPause:
		begin = func() {
			for _, x := range nodes {
				w.record(history.Event{Kind: history.NodePaused, Node: x.Name})
				w.nodes[x.Number].pausedUntil = w.now + fault.For.Duration
			}
		}
		end = func() {
			for _, x := range nodes {
				w.record(history.Event{Kind: history.NodeResumed, Node: x.Name})
			}
		}
	case scenario.FaultDiscoveryCut:
		set := func(cut bool) func() {
			return func() {
				for _, x := range nodes {
					w.nodes[x.Number].discoveryCut = cut
				}
			}
		}
		begin, end = set(true), set(false)
	case scenario.FaultPeerLinks, scenario.FaultPartition:
		begin = func() {
			for _, x := range w.scenario.PeerPaths(fault) {
				w.impairments[x] = impairment{loss: fault.Loss, delay: fault.Delay.Duration, jitter: fault.Jitter.Duration, duplicate: fault.DuplicateFraction}
				if fault.State != "" || fault.Kind == scenario.FaultPartition {
					w.impairments[x] = impairment{loss: 1}
				}
			}
		}
		end = func() {
			for _, x := range w.scenario.PeerPaths(fault) {
				delete(w.impairments, x)
			}
		}
	case scenario.FaultDiscoveryRestart:
		begin = func() {
			w.setOutage(true)
			w.registry.Restart(1)
			w.record(history.Event{Kind: history.DiscoveryReset})
			w.setOutage(false)
		}
	}
	w.at(fault.At.Duration, func() {
		w.record(history.Event{Kind: history.FaultStarted, Note: fault.String()})
		if begin != nil { // nil for faults in the load, which package load generates
			begin()
		}
	})
	w.at(fault.At.Duration+fault.For.Duration, func() {
		if end != nil {
			end()
		}
		w.record(history.Event{Kind: history.FaultEnded, Note: fault.String()})
	})
}

func (w *world) killNodes(nodes []scenario.Node, length time.Duration) {
	for _, x := range nodes {
		n := w.nodes[x.Number]
		n.kill()
		w.after(length, n.start)
	}
}

// flap alternately removes a running server from the list and adds it again.
func (w *world) flap(c *machine, every, until time.Duration, up bool) {
	if w.now >= until {
		return
	}
	lifecycle := hosts.Removed
	if up {
		lifecycle = hosts.Up
	}
	w.publish(c, lifecycle, 0)
	w.after(every, func() { w.flap(c, every, until, !up) })
}

// link is the impairment of the connections of one node to one machine.
type link struct {
	delay time.Duration
	loss  float64
	state string
}

type pair struct {
	node    *node
	machine *machine
}

// setLinks changes the links of the given machines or nodes, or those between
// them if both are given.
func (w *world) setLinks(machines []*machine, nodes []scenario.Node, change link) {
	if len(machines) == 0 {
		machines = w.machines
	}
	affected := w.nodes
	if len(nodes) > 0 {
		affected = nil
		for _, x := range nodes {
			affected = append(affected, w.nodes[x.Number])
		}
	}
	for _, c := range machines {
		for _, n := range affected {
			old := w.links[pair{n, c}]
			w.links[pair{n, c}] = change
			if change.state == "reset" || old.state != "" && change.state == "" {
				n.closeIdle(c) // the link's connections are closed
				for _, id := range c.inFlightOrder {
					if a := c.inFlight[id]; a != nil && a.node == n {
						delete(c.inFlight, id)
						a.respond(balance.Reset)
					}
				}
			}
		}
	}
}
