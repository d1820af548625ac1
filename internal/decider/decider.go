// Package decider combines the request balancer (package balance) with the list poller
// (package membership) for environments in which a single discovery call delivers all list
// updates, such as the simulator's protocol and the lab's in-memory simulation.
package decider

import (
	"ivylock/balance"
	"ivylock/membership"
)

// Decider makes the decisions of one node. It is not safe for concurrent use.
type Decider struct {
	*balance.Module
	settings balance.Settings
	seed     int64
	poller   *membership.Poller // nil: lists are pushed, or no event has been handled yet
	lastCall membership.CallID
}

// New returns the decider of a node that has just started.
func New(s balance.Settings, seed int64) *Decider {
	return &Decider{Module: balance.New(s, seed), settings: s, seed: seed}
}

// Handle processes an event and returns the resulting actions in order. The returned slice is
// reused by later calls.
func (d *Decider) Handle(now balance.Time, e balance.Event) []balance.Action {
	out := d.Module.Handle(now, e)
	if !d.settings.ListOnDemand {
		return out
	}
	if d.poller == nil {
		d.poller = membership.NewPoller(membership.Settings{Stream: true, ListPollInterval: d.settings.ListPollInterval, Nodes: float64(d.settings.Nodes), Seed: d.seed},
			membership.InitialState{HaveList: true, Stagger: true}, now)
	}
	var event membership.Event
	switch e := e.(type) {
	case balance.ListUpdate:
		switch e.Kind {
		case balance.ListCached:
			return out
		case balance.ListFailed:
			event = membership.Failed{Call: d.lastCall}
		default:
			event = membership.Answered{Call: d.lastCall, Full: e.Kind == balance.ListFull, Generation: e.Version}
		}
	case balance.ShareUpdate:
		if e.EffectiveNodes < 1 {
			return out
		}
		event = membership.NodesChanged{Nodes: e.EffectiveNodes}
	case balance.TimerFired, *balance.TimerFired:
		event = membership.Ticked{}
	default:
		return out
	}
	for _, a := range d.poller.Handle(now, event) {
		if c, ok := a.(membership.Call); ok {
			d.lastCall = c.ID
			out = append(out, balance.Subscribe{On: true})
		}
	}
	return out
}
