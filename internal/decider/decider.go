// Package decider joins what a node decides where one call to discovery brings all that
// comes: package balance for requests, package membership for the list. The simulator's
// wire and the lab's world in memory are such places. It decides nothing of its own.
package decider

import (
	"ivylock/balance"
	"ivylock/membership"
)

// Decider is one node's. It is not safe for concurrent use.
type Decider struct {
	*balance.Module
	set    balance.Settings
	seed   int64
	caller *membership.Poller // nil: lists come without being asked for, or nothing has come yet
	call   membership.CallID  // the last
}

// New makes the decider of a node that has just started.
func New(s balance.Settings, seed int64) *Decider {
	return &Decider{Module: balance.New(s, seed), set: s, seed: seed}
}

// Handle takes an event and returns what is to be done, in order. The slice is reused by
// a later call.
func (d *Decider) Handle(now balance.Time, e balance.Event) []balance.Action {
	out := d.Module.Handle(now, e)
	if !d.set.ListOnDemand {
		return out
	}
	if d.caller == nil {
		d.caller = membership.NewPoller(membership.Settings{Stream: true, ListPollInterval: d.set.ListPollInterval, Nodes: float64(d.set.Nodes), Seed: d.seed},
			membership.InitialState{HaveList: true, Stagger: true}, now)
	}
	var of membership.Event
	switch e := e.(type) {
	case balance.ListUpdate:
		switch e.Kind {
		case balance.ListCached:
			return out
		case balance.ListFailed:
			of = membership.Failed{Call: d.call}
		default:
			of = membership.Answered{Call: d.call, Full: e.Kind == balance.ListFull, Generation: e.Version}
		}
	case balance.ShareUpdate:
		if e.EffectiveNodes < 1 {
			return out
		}
		of = membership.NodesChanged{Nodes: e.EffectiveNodes}
	case balance.TimerFired, *balance.TimerFired:
		of = membership.Ticked{}
	default:
		return out
	}
	for _, a := range d.caller.Handle(now, of) {
		if c, is := a.(membership.Call); is {
			d.call = c.ID
			out = append(out, balance.Subscribe{On: true})
		}
	}
	return out
}
