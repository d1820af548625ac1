package real

import (
	"fmt"
	"slices"
	"sync"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/sysfault"
)

// callFaults holds the rules by which system calls of a node's processes fail.
type callFaults struct {
	mu     sync.Mutex
	active []sysfault.Rule // of faults in progress
	rules  *sysfault.Rules // of the latest process; nil before the first one
}

// newRules returns the rules of a new process, which include those of faults in progress.
func (c *callFaults) newRules(seed int64) *sysfault.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules = sysfault.NewRules(seed)
	for _, rule := range c.active {
		c.rules.Add(rule)
	}
	return c.rules
}

// add applies a rule to the running process and to those that follow it.
func (c *callFaults) add(rule sysfault.Rule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = append(c.active, rule)
	if c.rules != nil {
		c.rules.Add(rule)
	}
}

// remove removes a rule that was added, and returns how many calls of its kind have failed in the
// latest process.
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

// faultyCalls returns the kinds of system calls that fail at a node at some time of the timeline.
func (b *Testbed) faultyCalls(n scenario.Node) (calls []sysfault.Call) {
	for _, f := range b.scenario.Faults {
		if f.Kind != scenario.FaultSystemCalls {
			continue
		}
		_, nodes := b.scenario.Select(f.Targets)
		if slices.ContainsFunc(nodes, func(x scenario.Node) bool { return x.Number == n.Number }) {
			calls = append(calls, sysfault.Call(f.SystemCall))
		}
	}
	slices.Sort(calls)
	return slices.Compact(calls)
}

// failCalls returns the action that makes system calls of nodes' processes fail.
func (b *Testbed) failCalls(f *scenario.Fault, nodes []scenario.Node) action {
	rule, err := sysfault.ParseRule(f.SystemCall, f.Errno, f.Fraction)
	if err != nil {
		b.setError(err) // not reached: the scenario was validated
		return action{}
	}
	return action{func() {
		for _, x := range nodes {
			b.nodes[x.Number].callFaults.add(rule)
		}
	}, func() {
		for _, x := range nodes {
			if failed := b.nodes[x.Number].callFaults.remove(rule); failed > 0 {
				b.recorder.Add(history.Event{At: b.Clock(), Kind: history.SystemCallsFailed, Node: x.Name, Note: fmt.Sprintf("%s: %d", f.SystemCall, failed)})
			}
		}
	}}
}
