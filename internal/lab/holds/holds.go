// Package holds checks whether a run met the requirements of its scenario: the
// rules, the bounds of its metrics, and that each fault really happened. It is a
// pure function of the history and the judge's verdict.
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

// eventMargin is how long a fault may take to become visible on sockets.
const eventMargin = 300 * time.Millisecond

// maxHandshakeWork is the most that a new connection adds to the work of a request.
const maxHandshakeWork = 25 * time.Millisecond

// Check returns the requirements that were not met, one line each.
func Check(s *scenario.Scenario, h *history.History, v *judge.Verdict) []string {
	filtered := *v
	if s.Requirements.AllowPauseLoss {
		filtered.Breaches = slices.DeleteFunc(slices.Clone(v.Breaches), func(b judge.Breach) bool { return LostDuringPause(s, b) })
	}
	out := append(BreachLines(&filtered), CutOffAnswers(s, h)...)
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	metrics := v.Service
	if metrics.Measure < s.Requirements.MinMeasure {
		add("service measure %.3f, at least %.3f is asked", metrics.Measure, s.Requirements.MinMeasure)
	}
	served := 0
	for _, c := range metrics.Classes {
		served += c.Served
	}
	if ratio := float64(served) / float64(max(1, metrics.Orders)); ratio < s.Requirements.MinServed {
		add("%.3f of the orders served, at least %.3f is asked", ratio, s.Requirements.MinServed)
	}
	if ratio := float64(metrics.Refused) / float64(max(1, metrics.Tries)); s.Requirements.MaxRefused > 0 && ratio > s.Requirements.MaxRefused {
		add("%.3f of the tries refused, at most %.3f is allowed", ratio, s.Requirements.MaxRefused)
	}
	if metrics.Orders == 0 {
		add("no order was sent")
	}
	if s.Requirements.RequireFaults {
		for i := range s.Faults {
			if missing := MissingEvidence(s, &s.Faults[i], h); missing != "" {
				add("fault %d (%v) did not happen: %s", i+1, s.Faults[i], missing)
			}
		}
	}
	return out
}

// resumeTime is how long a process may take after a pause to answer pending requests.
const resumeTime = 400 * time.Millisecond

// LostDuringPause reports whether a request was lost because its deadline passed
// while its node was paused by the scenario, or shortly after. It includes requests
// written at the end of the pause, which the node could not take back.
func LostDuringPause(s *scenario.Scenario, b judge.Breach) bool {
	for i := range s.Faults {
		fault := &s.Faults[i]
		if fault.Kind != scenario.FaultPause || b.Rule != judge.NoRequestLost || b.At <= fault.At.Duration || b.At >= fault.At.Duration+fault.For.Duration+resumeTime {
			continue
		}
		_, nodes := s.Select(fault.Targets)
		for _, n := range nodes {
			if strings.Contains(b.Detail, "taken by "+n.Name+",") || WrittenAfterPause(s, b, n.Name) {
				return true
			}
		}
	}
	return false
}

// WrittenAfterPause reports whether a request reached a server after its final answer
// and right after its node was paused by the scenario: the node was about to write it
// when it was paused.
func WrittenAfterPause(s *scenario.Scenario, b judge.Breach, node string) bool {
	return slices.ContainsFunc(s.Faults, func(f scenario.Fault) bool {
		end := f.At.Duration + f.For.Duration
		return f.Kind == scenario.FaultPause && b.Rule == judge.NoRequestLost && b.At >= end && b.At < end+resumeTime/4 &&
			strings.Contains(b.Detail, "was sent by "+node+" to ")
	})
}

// NodesPerServer counts the nodes that sent requests to each server in a period.
func NodesPerServer(h *history.History, from, to time.Duration) map[string]int {
	seen, nodes := map[[2]string]bool{}, map[string]int{}
	for i := range h.Events {
		e := &h.Events[i]
		if pair := [2]string{e.Node, e.Server}; e.Kind == history.Attempt && e.At >= from && e.At < to && !seen[pair] {
			seen[pair] = true
			nodes[e.Server]++
		}
	}
	return nodes
}

// BreachLines returns the breaches of a verdict as text, at most 10 in full.
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

// MissingEvidence returns which events expected of a fault are missing in a history,
// or "" if none are. A lag of discovery leaves no events of its own.
func MissingEvidence(s *scenario.Scenario, f *scenario.Fault, h *history.History) string {
	servers, nodes := s.Select(f.Targets)
	isServer, isNode := map[string]bool{}, map[string]bool{}
	for _, x := range servers {
		isServer[x.Name] = true
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
	atLeast := func(n, least int, what string) string {
		if n < least {
			return fmt.Sprintf("%d %s, want %d", n, what, least)
		}
		return ""
	}
	noneOf := func(n int, what string) string {
		if n > 0 {
			return fmt.Sprintf("%d %s", n, what)
		}
		return ""
	}
	onServers := func(kinds ...history.Kind) func(e *history.Event) bool {
		return func(e *history.Event) bool {
			for _, k := range kinds {
				if e.Kind == k && isServer[e.Server] {
					return true
				}
			}
			return false
		}
	}
	coldStarts := func() string {
		return atLeast(count(to-eventMargin, to+eventMargin, func(e *history.Event) bool { return onServers(history.ServerStarted)(e) && e.WarmupTime > 0 }), len(servers), "cold starts at its end")
	}
	switch f.Kind {
	case scenario.FaultSilent, scenario.FaultZoneLost, scenario.FaultZoneAndNodesLost:
		all := []string{noneOf(count(from+eventMargin, to-eventMargin, onServers(history.Attempt, history.EffectRun, history.Probe)), "attempts came while it was cut off"), coldStarts()}
		if f.Kind == scenario.FaultZoneAndNodesLost {
			all = append(all, atLeast(count(from, from+eventMargin, func(e *history.Event) bool { return e.Kind == history.NodeKilled && isNode[e.Node] }), len(nodes), "nodes killed"))
		}
		return firstNonEmpty(all...)
	case scenario.FaultHang:
		return firstNonEmpty(atLeast(count(from, to, onServers(history.Attempt)), 1, "attempts taken"),
			noneOf(count(from+eventMargin, to-eventMargin, onServers(history.EffectRun)), "effects began while it hung"))
	case scenario.FaultKill:
		missing := atLeast(count(from, from+eventMargin, func(e *history.Event) bool { return e.Kind == history.NodeKilled && isNode[e.Node] }), len(nodes), "nodes killed")
		if len(servers) > 0 {
			missing = firstNonEmpty(missing, noneOf(count(from+eventMargin, to-eventMargin, onServers(history.Attempt)), "attempts came while it was dead"), coldStarts())
		}
		return missing
	case scenario.FaultRestart:
		return firstNonEmpty(atLeast(count(from, from+eventMargin, func(e *history.Event) bool { return e.Kind == history.NodeTerminating && isNode[e.Node] }), len(nodes), "words to end"),
			atLeast(count(from, to+2*time.Second, func(e *history.Event) bool { return e.Kind == history.NodeExited && isNode[e.Node] }), len(nodes), "nodes that ended"))
	case scenario.FaultDrain:
		return atLeast(count(from, to+5*time.Second, func(e *history.Event) bool {
			return onServers(history.NodeNotified)(e) && e.Lifecycle == hosts.Draining
		}), len(servers), "words of a drain")
	case scenario.FaultReplace:
		return atLeast(count(from, to+eventMargin, func(e *history.Event) bool {
			old, _, replaced := strings.Cut(e.Server, "-r")
			return e.Kind == history.ServerStarted && replaced && isServer[old]
		}), len(servers), "starts under a new id")
	case scenario.FaultLink:
		if f.State != "" {
			return noneOf(count(from+eventMargin, to-eventMargin, func(e *history.Event) bool {
				return e.Kind == history.Attempt && (len(servers) == 0 || isServer[e.Server]) && (len(nodes) == 0 || isNode[e.Node])
			}), "attempts came over the link")
		}
		return atLeast(count(from, to, func(e *history.Event) bool {
			return e.Kind == history.Attempt && e.At-e.FirstByteAt >= f.Delay.Duration*9/10
		}), 1, "attempts delayed")
	case scenario.FaultHeavy:
		class := map[string]string{}
		for i := range h.Events {
			if e := &h.Events[i]; e.Kind == history.Try {
				class[e.Try] = e.Class
			}
		}
		for _, c := range load.ScenarioClasses(s) {
			if c.Name == f.Class { // the work is exact, except for handshakes
				work := time.Duration(f.Factor * float64((c.WorkLow+c.WorkHigh)/2))
				return atLeast(count(from, to+5*time.Second, func(e *history.Event) bool {
					return e.Kind == history.Attempt && class[e.Try] == f.Class && (e.Work-work).Abs() < maxHandshakeWork
				}), 1, "heavy requests")
			}
		}
	case scenario.FaultCorrupt:
		return atLeast(count(from, to, onServers(history.AnswerCorrupted)), 1, "spoilt answers")
	case scenario.FaultLateBody:
		return atLeast(count(from, to, onServers(history.LateBody)), 1, "late bodies")
	case scenario.FaultSlowReader:
		return atLeast(count(from, to+5*time.Second, func(e *history.Event) bool { return e.Kind == history.SlowRead }), 1, "slow readers")
	case scenario.FaultDiscoveryOutage:
		return noneOf(count(from+eventMargin, to-eventMargin, func(e *history.Event) bool { return e.Kind == history.NodeNotified }), "words were told while it was down")
	case scenario.FaultPause:
		countAt := func(kind history.Kind, at time.Duration) int {
			return count(at, at+eventMargin, func(e *history.Event) bool { return e.Kind == kind && isNode[e.Node] })
		}
		return firstNonEmpty(atLeast(countAt(history.NodePaused, from), len(nodes), "nodes that stand still"), atLeast(countAt(history.NodeResumed, to), len(nodes), "nodes that go on"),
			noneOf(count(from+eventMargin, to-time.Millisecond, func(e *history.Event) bool { return e.Kind == history.PeerMessage && isNode[e.Node] }), "datagrams came while it stood still"))
	case scenario.FaultNoDescriptors:
		return atLeast(count(from, from+eventMargin, func(e *history.Event) bool { return e.Kind == history.DescriptorsExhausted && isNode[e.Node] }), len(nodes), "nodes without descriptors")
	case scenario.FaultSystemCalls:
		return atLeast(count(to, to+eventMargin, func(e *history.Event) bool { return e.Kind == history.SystemCallsFailed && isNode[e.Node] }), 1, "nodes whose calls failed")
	case scenario.FaultDiscoveryCut:
		called := func(e *history.Event) bool { return e.Kind == history.DiscoveryCalled && isNode[e.Node] }
		return firstNonEmpty(atLeast(count(0, from, called), len(nodes), "calls to discovery before it"), noneOf(count(from+eventMargin, to-eventMargin, called), "calls came to discovery"))
	case scenario.FaultPeerLinks, scenario.FaultPartition:
		return atLeast(count(from, to, func(e *history.Event) bool { return e.Kind == history.DatagramFault }), 1, "datagrams hindered")
	case scenario.FaultJoin:
		return atLeast(count(from, from+5*time.Second, func(e *history.Event) bool { return e.Kind == history.NodeReady && isNode[e.Node] }), len(nodes), "nodes that started")
	case scenario.FaultLeave:
		return firstNonEmpty(atLeast(count(from, from+eventMargin, func(e *history.Event) bool { return e.Kind == history.NodeTerminating && isNode[e.Node] }), len(nodes), "words to end"),
			noneOf(count(from, h.Setup.Length, func(e *history.Event) bool { return e.Kind == history.NodeReady && isNode[e.Node] }), "nodes came back"))
	case scenario.FaultDiscoveryRestart:
		return atLeast(count(from, from+eventMargin, func(e *history.Event) bool { return e.Kind == history.DiscoveryReset }), 1, "restarts")
	case scenario.FaultFlap:
		return atLeast(count(from, to, func(e *history.Event) bool {
			return onServers(history.DiscoveryChanged)(e) && e.Lifecycle == hosts.Removed
		}), 1, "words that it is gone")
	}
	return ""
}

// firstNonEmpty returns the first text that is not empty, or "".
func firstNonEmpty(texts ...string) string {
	for _, t := range texts {
		if t != "" {
			return t
		}
	}
	return ""
}
