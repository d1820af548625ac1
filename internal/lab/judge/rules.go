package judge

import (
	"cmp"
	"time"

	"ivylock/internal/lab/history"
)

// checkAnswers checks rule 1: a running node gives each accepted request exactly
// one final answer by the client's deadline and starts no attempt after it.
func (c *Checker) checkAnswers(t *try) {
	slack := c.setup.Limits.Slack
	id, deadline := t.id, t.deadline
	if t.answerCount == 0 {
		if c.lastEventAt > deadline+slack && !c.killed(t.node, t.sentAt, deadline+slack) {
			c.breach(NoRequestLost, deadline, "%s %s, taken by %s, was never answered", t.className, id, t.node)
		}
		return
	}
	if t.answerCount > 1 {
		c.breach(NoRequestLost, t.secondAnswerAt, "%s has %d final answers", id, t.answerCount)
	}
	for _, at := range t.extraAt {
		c.breach(NoRequestLost, at, "more came behind the final answer to %s", id)
	}
	final := t.firstAnswer
	excused := c.killed(t.node, t.sentAt, final.at)
	switch final.status {
	case history.Served, history.Refused, history.Failed:
		if final.at > deadline+cmp.Or(c.setup.Limits.AnswerSlack, slack) {
			c.breach(NoRequestLost, final.at, "%s was answered %v after its client's time", id, final.at-deadline)
		}
	case history.WrongContent:
		c.breach(NoRequestLost, final.at, "%s was served with what no server made for it", id)
	case history.ConnectionBroken:
		if !excused {
			c.breach(NoRequestLost, final.at, "%s, taken by %s, was cut off with no whole answer", id, t.node)
		}
	case history.CloseRace:
		if len(t.attempts) > 0 && !excused {
			c.breach(NoRequestLost, final.at, "%s, taken and sent on by %s, was cut off with no answer", id, t.node)
		}
	case history.TimedOut:
		if !excused {
			c.breach(NoRequestLost, final.at, "%s %s, taken by %s, had no answer in its client's time", t.className, id, t.node)
		}
	}
	if final.status == history.Abandoned {
		slack = cmp.Or(c.setup.Limits.AbandonSlack, slack)
	}
	for _, sent := range t.attempts {
		if sent.first > final.at+slack {
			c.breach(NoRequestLost, sent.first, "%s was sent by %s to %s %v after its final answer", id, sent.node, sent.server, sent.first-final.at)
		}
	}
}

// mayRun reports whether an attempt that reached a server may have run.
func mayRun(a attempt) bool { return a.verdict != history.Rejected }

// checkEffects checks rule 2: no effect runs twice. Attempts that were lost in
// transit have not run and are not recorded.
func (c *Checker) checkEffects(t *try) {
	limits := c.setup.Limits
	if t.class == nil || t.class.Effect == history.Safe {
		return
	}
	id, mayHaveRun := t.id, 0
	for i, later := range t.attempts {
		if mayRun(later) {
			mayHaveRun++
		}
		for _, earlier := range t.attempts[:i] {
			switch gap := later.first - earlier.at; {
			case !mayRun(earlier):
			case t.class.Effect == history.Unsafe:
				c.breach(NoDuplicateEffect, later.at, "unsafe %s went to %s although %s had taken it", id, later.server, earlier.server)
			case !c.shareKeys(t.class.Scope, earlier.server, later.server):
				c.breach(NoDuplicateEffect, later.at, "keyed %s left its pod: %s, then %s", id, earlier.server, later.server)
			case gap > cmp.Or(t.class.DedupWindow, limits.KeyWindow)+limits.Slack:
				c.breach(NoDuplicateEffect, later.at, "keyed %s was sent again %v later", id, gap)
			}
		}
	}
	if len(t.runs) > 1 {
		c.breach(NoDuplicateEffect, t.runs[1].at, "%s %s ran %d times", t.class.Effect, id, len(t.runs))
	}
	// With a global scope, every server detects a repeated key.
	harmless := t.class.Effect == history.Keyed && t.class.Scope == history.GlobalScope
	if t.answerCount > 0 && t.firstAnswer.status == history.Refused && mayHaveRun > 0 && !harmless {
		c.breach(NoDuplicateEffect, t.firstAnswer.at, "%s %s was refused although it may have run", t.class.Effect, id)
	}
}

// shareKeys reports whether two servers share the idempotency keys they have received.
func (c *Checker) shareKeys(scope history.Scope, one, other string) bool {
	a, b := c.server(one), c.server(other)
	switch scope {
	case history.GlobalScope:
		return true
	case history.ZoneScope:
		return a.Zone == b.Zone
	}
	return a.Pod == b.Pod
}

// drainSpan is a period in which a node knows that a server is draining or removed.
type drainSpan struct{ from, to time.Duration }

type nodeServer struct{ node, server string }

// markDrain records that a node was notified that a server is draining, removed or up.
func (c *Checker) markDrain(p nodeServer, at time.Duration, up bool) {
	spans := c.drainSpans[p]
	if n := len(spans) - 1; up && n >= 0 {
		spans[n].to = min(spans[n].to, at)
	} else if !up && (n < 0 || spans[n].to <= at) {
		if n >= 0 && c.Retention > 0 && at-spans[n].to > 2*c.Retention {
			spans = spans[:0] // too old for any open try
		}
		c.drainSpans[p] = append(spans, drainSpan{at, 1<<63 - 1})
	}
}

// forgetDrains ends the drains that a node was notified of.
func (c *Checker) forgetDrains(node string, at time.Duration) {
	for p := range c.drainSpans {
		if p.node == node {
			c.markDrain(p, at, true)
		}
	}
}

// recordChange records a change in discovery's list. After Limits.NotifyDeadline, drains and
// removals apply also to nodes that have not fetched them, unless the server is up
// again.
func (c *Checker) recordChange(e *history.Event) {
	if e.Lifecycle == "up" {
		c.lastUp[e.Server] = e.At
	}
	if c.setup.Limits.NotifyDeadline > 0 && e.Lifecycle != "up" {
		c.pendingChanges = append(c.pendingChanges, *e)
	}
}

// applyDueChanges applies the changes that are due to all nodes.
func (c *Checker) applyDueChanges(now time.Duration) {
	for len(c.pendingChanges) > 0 && c.pendingChanges[0].At+c.setup.Limits.NotifyDeadline <= now {
		change := c.pendingChanges[0]
		c.pendingChanges = c.pendingChanges[1:]
		if up, ever := c.lastUp[change.Server]; ever && up >= change.At {
			continue
		}
		for _, n := range c.setup.Nodes {
			c.markDrain(nodeServer{n.Name, change.Server}, change.At+c.setup.Limits.NotifyDeadline, false)
		}
	}
}

// checkDrains checks rule 3: no send to a draining server after the grace period.
// The period starts when discovery sent the change to the node or, if the node did
// not fetch it, when the node should have.
func (c *Checker) checkDrains(t *try) {
	limits := c.setup.Limits
	for _, sent := range t.attempts {
		for _, span := range c.drainSpans[nodeServer{sent.node, sent.server}] {
			if sent.first > span.from+limits.DrainGrace+limits.Slack && sent.first < span.to {
				c.breach(DrainsRespected, sent.first, "%s sent %s to %s %v after the word of its drain", sent.node, t.id, sent.server, sent.first-span.from)
			}
		}
	}
}

// coldSend is work that reached a cold server; notified is set if its node knew of the start.
type coldSend struct {
	at, work time.Duration
	notified bool
}

// coldStart is a process that has started cold, with the work sent to it within
// the last window.
type coldStart struct {
	history.Event
	recent        []coldSend
	sum           time.Duration
	notifiedSum   time.Duration   // work in sum that notified nodes sent
	notifiedNodes map[string]bool // nodes notified of the start
	reported      bool            // one breach per start, as the windows overlap
}

// recordStart starts the tracking of a process that starts cold.
func (c *Checker) recordStart(e *history.Event) {
	if delete(c.coldStarts, e.Server); e.WarmupTime > 0 && e.ColdFraction < 1 {
		c.coldStarts[e.Server] = &coldStart{Event: *e, notifiedNodes: map[string]bool{}}
	}
}

// checkColdLoad checks rule 4: within any OverloadWindow, the work sent to a cold
// server stays below OverloadFactor times its capacity plus OverloadAllowance. A
// request counts at most with the work of one core in the window, as no choice of
// servers can avoid the overload by a heavier one.
func (c *Checker) checkColdLoad(e *history.Event) {
	start := c.coldStarts[e.Server]
	if start == nil {
		return
	}
	if e.At >= start.At+start.WarmupTime {
		delete(c.coldStarts, e.Server)
		return
	}
	limits := c.setup.Limits
	maxWork := time.Duration(limits.OverloadWindow.Seconds() * start.Capacity / float64(max(1, start.Cores)) * 1e9)
	send := coldSend{e.At, min(e.Work, maxWork), start.notifiedNodes[e.Node]}
	start.recent = append(start.recent, send)
	start.adjust(send, 1)
	for start.recent[0].at <= send.at-limits.OverloadWindow {
		start.adjust(start.recent[0], -1)
		start.recent = start.recent[1:]
	}
	allowed := limits.OverloadFactor * capacity(start.Event, send.at-limits.OverloadWindow, send.at)
	if excess := start.sum.Seconds() - limits.OverloadAllowance.Seconds() - allowed; excess > 0 && !start.reported && start.enforced(limits) {
		start.reported = true
		c.breach(NoColdOverload, send.at, "%s, started at %v, was sent %v of work within %v and may have %.2fs",
			start.Server, start.At, start.sum, limits.OverloadWindow, allowed)
	}
}

// adjust adds a send to the sums, or removes it with sign -1.
func (s *coldStart) adjust(send coldSend, sign time.Duration) {
	if s.sum += sign * send.work; send.notified {
		s.notifiedSum += sign * send.work
	}
}

// enforced reports whether an overload counts as a breach, given which nodes knew of the start.
func (s *coldStart) enforced(limits history.Limits) bool {
	return !limits.OverloadNotifiedOnly || 3*s.notifiedSum >= 2*s.sum
}

// capacity returns the work in seconds that a server can do between two times.
// Before its start it has the capacity it has at its start.
func capacity(start history.Event, from, to time.Duration) float64 {
	fraction := func(t time.Duration) float64 {
		age := min(max(t-start.At, 0), start.WarmupTime).Seconds() / start.WarmupTime.Seconds()
		return start.ColdFraction + (1-start.ColdFraction)*age
	}
	work := 0.0
	cut := min(max(start.At, from), to) // the warm-up ramp is linear from here to warm
	work += (cut - from).Seconds() * start.ColdFraction
	warm := min(max(start.At+start.WarmupTime, cut), to)
	work += (warm - cut).Seconds() * (fraction(cut) + fraction(warm)) / 2
	work += (to - warm).Seconds()
	return work * start.Capacity
}
