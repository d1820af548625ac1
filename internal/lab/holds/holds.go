// Package holds tells whether what a scenario asks for held: the rules, the
// figures, and that each fault of its timeline really happened. It is a pure
// function of the history and the judge's verdict.
package holds

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
)

// margin is what a fault may take to show on sockets.
const margin = 300 * time.Millisecond

// handshake is the most that a new connection adds to a request's work.
const handshake = 25 * time.Millisecond

// Check lists what did not hold, one line each.
func Check(s *scenario.Scenario, h *history.History, v *judge.Verdict) []string {
	kept := *v
	if s.Must.Stops {
		kept.Breaches = slices.DeleteFunc(slices.Clone(v.Breaches), func(b judge.Breach) bool { return LostDuringPause(s, b) })
	}
	out := BreachLines(&kept)
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	g := v.Service
	if g.Measure < s.Must.Measure {
		add("service measure %.3f, at least %.3f is asked", g.Measure, s.Must.Measure)
	}
	served := 0
	for _, c := range g.Classes {
		served += c.Served
	}
	if part := float64(served) / float64(max(1, g.Orders)); part < s.Must.Served {
		add("%.3f of the orders served, at least %.3f is asked", part, s.Must.Served)
	}
	if part := float64(g.Refused) / float64(max(1, g.Tries)); s.Must.Refused > 0 && part > s.Must.Refused {
		add("%.3f of the tries refused, at most %.3f is allowed", part, s.Must.Refused)
	}
	if g.Orders == 0 {
		add("no order was sent")
	}
	if s.Must.Faults {
		for i := range s.Faults {
			if why := MissingEvidence(s, &s.Faults[i], h); why != "" {
				add("fault %d (%v) did not happen: %s", i+1, s.Faults[i], why)
			}
		}
	}
	return out
}

// goingOn is what a process takes, once it goes on, to answer what waited.
const goingOn = 400 * time.Millisecond

// LostDuringPause tells whether a request was lost as its time ended while its node
// stood still by a scenario's order, or within what going on takes: nothing can
// answer it. Nor can anything call back what the node was about to write when it was
// stopped, which goes out as it goes on.
func LostDuringPause(s *scenario.Scenario, b judge.Breach) bool {
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.What != scenario.WhatStop || b.Rule != judge.NoRequestLost || b.At <= f.At.Duration || b.At >= f.At.Duration+f.For.Duration+goingOn {
			continue
		}
		_, nodes := s.Pick(f.Who)
		for _, n := range nodes {
			if strings.Contains(b.Detail, "taken by "+n.Name+",") || WrittenAfterPause(s, b, n.Name) {
				return true
			}
		}
	}
	return false
}

// WrittenAfterPause tells whether a request reached a server right as a node went on that had
// stood still by a scenario's order, and after its final answer: the node was about to
// write it when it was stopped.
func WrittenAfterPause(s *scenario.Scenario, b judge.Breach, node string) bool {
	return slices.ContainsFunc(s.Faults, func(f scenario.Fault) bool {
		end := f.At.Duration + f.For.Duration
		return f.What == scenario.WhatStop && b.Rule == judge.NoRequestLost && b.At >= end && b.At < end+goingOn/4 &&
			strings.Contains(b.Detail, "was sent by "+node+" to ")
	})
}

// NodesPerServer counts the nodes that sent requests to each server in a time.
func NodesPerServer(h *history.History, from, to time.Duration) map[string]int {
	seen, out := map[[2]string]bool{}, map[string]int{}
	for i := range h.Events {
		e := &h.Events[i]
		if k := [2]string{e.Node, e.Server}; e.Kind == history.Attempt && e.At >= from && e.At < to && !seen[k] {
			seen[k] = true
			out[e.Server]++
		}
	}
	return out
}

// BreachLines lists the broken rules.
func BreachLines(v *judge.Verdict) []string {
	var out []string
	for i, b := range v.Breaches {
		if i == 10 {
			out = append(out, fmt.Sprintf("and %d more breaches", len(v.Breaches)-i))
			break
		}
		out = append(out, b.String())
	}
	return out
}

// MissingEvidence tells what is missing in a history of a fault that it should show;
// "" if nothing is. A lag of discovery alone leaves no trace of its own.
func MissingEvidence(s *scenario.Scenario, f *scenario.Fault, h *history.History) string {
	servers, nodes := s.Pick(f.Who)
	is, isNode := map[string]bool{}, map[string]bool{}
	for _, x := range servers {
		is[x.Name] = true
	}
	for _, x := range nodes {
		isNode[x.Name] = true
	}
	from, to := f.At.Duration, f.At.Duration+f.For.Duration
	count := func(lo, hi time.Duration, match func(e *history.Event) bool) int {
		n := 0
		for i := range h.Events {
			if e := &h.Events[i]; e.At >= lo && e.At <= hi && match(e) {
				n++
			}
		}
		return n
	}
	want := func(n, least int, what string) string {
		if n < least {
			return fmt.Sprintf("%d %s, want %d", n, what, least)
		}
		return ""
	}
	none := func(n int, what string) string {
		if n > 0 {
			return fmt.Sprintf("%d %s", n, what)
		}
		return ""
	}
	at := func(kinds ...history.Kind) func(e *history.Event) bool {
		return func(e *history.Event) bool {
			for _, k := range kinds {
				if e.Kind == k && is[e.Server] {
					return true
				}
			}
			return false
		}
	}
	coldStarts := func() string {
		return want(count(to-margin, to+margin, func(e *history.Event) bool { return at(history.Start)(e) && e.ColdTime > 0 }), len(servers), "cold starts at its end")
	}
	switch f.What {
	case scenario.WhatSilent, scenario.WhatLost, scenario.WhatLostNodes:
		all := []string{none(count(from+margin, to-margin, at(history.Attempt, history.Run, history.Probe)), "attempts came while it was cut off"), coldStarts()}
		if f.What == scenario.WhatLostNodes {
			all = append(all, want(count(from, from+margin, func(e *history.Event) bool { return e.Kind == history.NodeKilled && isNode[e.Node] }), len(nodes), "nodes killed"))
		}
		return first(all...)
	case scenario.WhatHang:
		return first(want(count(from, to, at(history.Attempt)), 1, "attempts taken"),
			none(count(from+margin, to-margin, at(history.Run)), "effects began while it hung"))
	case scenario.WhatKill:
		why := want(count(from, from+margin, func(e *history.Event) bool { return e.Kind == history.NodeKilled && isNode[e.Node] }), len(nodes), "nodes killed")
		if len(servers) > 0 {
			why = first(why, none(count(from+margin, to-margin, at(history.Attempt)), "attempts came while it was dead"), coldStarts())
		}
		return why
	case scenario.WhatTerm:
		return first(want(count(from, from+margin, func(e *history.Event) bool { return e.Kind == history.NodeTerm && isNode[e.Node] }), len(nodes), "words to end"),
			want(count(from, to+2*time.Second, func(e *history.Event) bool { return e.Kind == history.NodeEnded && isNode[e.Node] }), len(nodes), "nodes that ended"))
	case scenario.WhatDrain:
		return want(count(from, to+5*time.Second, func(e *history.Event) bool { return at(history.Told)(e) && e.Lifecycle == hosts.Draining }), len(servers), "words of a drain")
	case scenario.WhatReplace:
		return want(count(from, to+margin, func(e *history.Event) bool {
			old, _, is2 := strings.Cut(e.Server, "-r")
			return e.Kind == history.Start && is2 && is[old]
		}), len(servers), "starts under a new id")
	case scenario.WhatLink:
		if f.State != "" {
			return none(count(from+margin, to-margin, func(e *history.Event) bool {
				return e.Kind == history.Attempt && (len(servers) == 0 || is[e.Server]) && (len(nodes) == 0 || isNode[e.Node])
			}), "attempts came over the link")
		}
		return want(count(from, to, func(e *history.Event) bool {
			return e.Kind == history.Attempt && e.At-e.First >= f.Delay.Duration*9/10
		}), 1, "attempts delayed")
	case scenario.WhatHeavy:
		class := map[string]string{}
		for i := range h.Events {
			if e := &h.Events[i]; e.Kind == history.Try {
				class[e.Try] = e.Class
			}
		}
		for _, c := range load.ClassesOf(s) {
			if c.Name == f.Class { // the work is exact, but for a handshake
				work := time.Duration(f.Factor * float64((c.WorkLow+c.WorkHigh)/2))
				return want(count(from, to+5*time.Second, func(e *history.Event) bool {
					return e.Kind == history.Attempt && class[e.Try] == f.Class && (e.Work-work).Abs() < handshake
				}), 1, "heavy requests")
			}
		}
	case scenario.WhatSpoil:
		return want(count(from, to, at(history.Spoilt)), 1, "spoilt answers")
	case scenario.WhatSlow:
		return want(count(from, to+5*time.Second, func(e *history.Event) bool { return e.Kind == history.Slow }), 1, "slow readers")
	case scenario.WhatOutage:
		return none(count(from+margin, to-margin, func(e *history.Event) bool { return e.Kind == history.Told }), "words were told while it was down")
	case scenario.WhatStop:
		stopped := func(k history.Kind, at time.Duration) int {
			return count(at, at+margin, func(e *history.Event) bool { return e.Kind == k && isNode[e.Node] })
		}
		return first(want(stopped(history.NodeStop, from), len(nodes), "nodes that stand still"), want(stopped(history.NodeCont, to), len(nodes), "nodes that go on"),
			none(count(from+margin, to-time.Millisecond, func(e *history.Event) bool { return e.Kind == history.Message && isNode[e.Node] }), "datagrams came while it stood still"))
	case scenario.WhatNoFiles:
		return want(count(from, from+margin, func(e *history.Event) bool { return e.Kind == history.NoFiles && isNode[e.Node] }), len(nodes), "nodes without descriptors")
	case scenario.WhatCalls:
		return want(count(to, to+margin, func(e *history.Event) bool { return e.Kind == history.CallsFail && isNode[e.Node] }), 1, "nodes whose calls failed")
	case scenario.WhatCut:
		asked := func(e *history.Event) bool { return e.Kind == history.Asked && isNode[e.Node] }
		return first(want(count(0, from, asked), len(nodes), "calls to discovery before it"), none(count(from+margin, to-margin, asked), "calls came to discovery"))
	case scenario.WhatPeers, scenario.WhatSplit:
		return want(count(from, to, func(e *history.Event) bool { return e.Kind == history.Hindered }), 1, "datagrams hindered")
	case scenario.WhatJoin:
		return want(count(from, from+5*time.Second, func(e *history.Event) bool { return e.Kind == history.NodeUp && isNode[e.Node] }), len(nodes), "nodes that started")
	case scenario.WhatLeave:
		return first(want(count(from, from+margin, func(e *history.Event) bool { return e.Kind == history.NodeTerm && isNode[e.Node] }), len(nodes), "words to end"),
			none(count(from, h.Setup.Length, func(e *history.Event) bool { return e.Kind == history.NodeUp && isNode[e.Node] }), "nodes came back"))
	case scenario.WhatForget:
		return want(count(from, from+margin, func(e *history.Event) bool { return e.Kind == history.Forgot }), 1, "restarts")
	case scenario.WhatFlap:
		return want(count(from, to, func(e *history.Event) bool { return at(history.Change)(e) && e.Lifecycle == hosts.Removed }), 1, "words that it is gone")
	}
	return ""
}

func first(texts ...string) string {
	for _, t := range texts {
		if t != "" {
			return t
		}
	}
	return ""
}
