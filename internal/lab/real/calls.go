package real

import (
	"fmt"
	"slices"
	"sync"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/sysfault"
)

// callFaults are the rules by which system calls of a node's processes fail.
type callFaults struct {
	mu     sync.Mutex
	active []sysfault.Rule // by faults that go on
	rules  *sysfault.Rules // of the running process; nil: there was none yet
}

// begin gives the rules of a new process, which begin with those of faults that go on.
func (c *callFaults) begin(seed int64) *sysfault.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules = sysfault.NewRules(seed)
	for _, rule := range c.active {
		c.rules.Add(rule)
	}
	return c.rules
}

// add has a rule hold for the running process and those that follow it.
func (c *callFaults) add(rule sysfault.Rule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = append(c.active, rule)
	if c.rules != nil {
		c.rules.Add(rule)
	}
}

// remove ends a rule that was added, and tells how many calls of its kind the running process
// has seen fail.
func (c *callFaults) remove(rule sysfault.Rule) (failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.active, rule); i >= 0 {
		c.active = slices.Delete(c.active, i, i+1)
	}
	if c.rules == nil {
		return 0
	}
	c.rules.Remove(rule)
	return c.rules.FailureCount(rule.Call)
}

// callsOf gives the kinds of system calls that the timeline has fail at a node.
func (h *Testbed) callsOf(n scenario.Node) (calls []sysfault.Call) {
	for _, f := range h.s.Faults {
		if f.What != scenario.WhatCalls {
			continue
		}
		_, nodes := h.s.Pick(f.Who)
		if slices.ContainsFunc(nodes, func(x scenario.Node) bool { return x.Number == n.Number }) {
			calls = append(calls, sysfault.Call(f.Call))
		}
	}
	slices.Sort(calls)
	return slices.Compact(calls)
}

// failCalls has system calls of nodes' processes fail.
func (h *Testbed) failCalls(f *scenario.Fault, nodes []scenario.Node) action {
	rule, err := sysfault.ParseRule(f.Call, f.Error, f.Part)
	if err != nil {
		h.fail(err) // the scenario has been checked
		return action{}
	}
	return action{func() {
		for _, x := range nodes {
			h.nodes[x.Number].fail.add(rule)
		}
	}, func() {
		for _, x := range nodes {
			if failed := h.nodes[x.Number].fail.remove(rule); failed > 0 {
				h.rec.Add(history.Event{At: h.Clock(), Kind: history.CallsFail, Node: x.Name, Note: fmt.Sprintf("%s: %d", f.Call, failed)})
			}
		}
	}}
}
