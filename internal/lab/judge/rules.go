package judge

import (
	"cmp"
	"time"

	"ivylock/internal/lab/history"
)

// answers checks rule one: exactly one final answer, in the client's time, to
// all that a running node has taken, and nothing sent out after it.
func (c *Checker) answers(t *try) {
	slack := c.setup.Limits.Slack
	id, deadline := t.id, t.deadline
	if t.answers == 0 {
		if c.end > deadline+slack && !c.killed(t.node, t.at, deadline+slack) {
			c.breach(NoRequestLost, deadline, "%s %s, taken by %s, was never answered", t.named, id, t.node)
		}
		return
	}
	if t.answers > 1 {
		c.breach(NoRequestLost, t.again, "%s has %d final answers", id, t.answers)
	}
	for _, at := range t.extra {
		c.breach(NoRequestLost, at, "more came behind the final answer to %s", id)
	}
	a := t.answer
	excused := c.killed(t.node, t.at, a.at)
	switch a.status {
	case history.Served, history.Refused, history.Failed:
		if a.at > deadline+cmp.Or(c.setup.Limits.AnswerSlack, slack) {
			c.breach(NoRequestLost, a.at, "%s was answered %v after its client's time", id, a.at-deadline)
		}
	case history.Wrong:
		c.breach(NoRequestLost, a.at, "%s was served with what no server made for it", id)
	case history.Broken:
		if !excused {
			c.breach(NoRequestLost, a.at, "%s, taken by %s, was cut off with no whole answer", id, t.node)
		}
	case history.Crossed:
		if len(t.attempts) > 0 && !excused {
			c.breach(NoRequestLost, a.at, "%s, taken and sent on by %s, was cut off with no answer", id, t.node)
		}
	case history.GaveUp:
		if !excused {
			c.breach(NoRequestLost, a.at, "%s %s, taken by %s, had no answer in its client's time", t.named, id, t.node)
		}
	}
	if a.status == history.Left {
		slack = cmp.Or(c.setup.Limits.LeaveSlack, slack)
	}
	for _, s := range t.attempts {
		if s.first > a.at+slack {
			c.breach(NoRequestLost, s.first, "%s was sent by %s to %s %v after its final answer", id, s.node, s.server, s.first-a.at)
		}
	}
}

// mayRun tells whether an attempt that came may have run.
func mayRun(a attempt) bool { return a.verdict != history.Turned }

// effects checks rule two on what reached the servers. An attempt that is lost
// on the way has not run, and is not seen here.
func (c *Checker) effects(t *try) {
	l := c.setup.Limits
	if t.class == nil || t.class.Effect == history.Safe {
		return
	}
	id, ran := t.id, 0
	for i, later := range t.attempts {
		if mayRun(later) {
			ran++
		}
		for _, e := range t.attempts[:i] {
			switch gap := later.first - e.at; {
			case !mayRun(e):
			case t.class.Effect == history.Unsafe:
				c.breach(NoDuplicateEffect, later.at, "unsafe %s went to %s although %s had taken it", id, later.server, e.server)
			case !c.knows(t.class.Scope, e.server, later.server):
				c.breach(NoDuplicateEffect, later.at, "keyed %s left its pod: %s, then %s", id, e.server, later.server)
			case gap > cmp.Or(t.class.Window, l.KeyWindow)+l.Slack:
				c.breach(NoDuplicateEffect, later.at, "keyed %s was sent again %v later", id, gap)
			}
		}
	}
	if len(t.runs) > 1 {
		c.breach(NoDuplicateEffect, t.runs[1].at, "%s %s ran %d times", t.class.Effect, id, len(t.runs))
	}
	harmless := t.class.Effect == history.Keyed && t.class.Scope == history.All // a new try meets servers that know its key
	if t.answers > 0 && t.answer.status == history.Refused && ran > 0 && !harmless {
		c.breach(NoDuplicateEffect, t.answer.at, "%s %s was refused although it may have run", t.class.Effect, id)
	}
}

// knows tells whether a server knows the keys that another one has met.
func (c *Checker) knows(scope history.Scope, one, other string) bool {
	a, b := c.server(one), c.server(other)
	switch scope {
	case history.All:
		return true
	case history.Halls:
		return a.Hall == b.Hall
	}
	return a.Pod == b.Pod
}

// closing says that a node knows from a time on that a server wants nothing
// new, until another time.
type closing struct{ from, to time.Duration }

// pair is a node and a server.
type pair struct{ node, server string }

// mark notes that a node knows a server for closed from a time on, or for up.
func (c *Checker) mark(p pair, at time.Duration, up bool) {
	spans := c.closed[p]
	if n := len(spans) - 1; up && n >= 0 {
		spans[n].to = min(spans[n].to, at)
	} else if !up && (n < 0 || spans[n].to <= at) {
		if n >= 0 && c.Retention > 0 && at-spans[n].to > 2*c.Retention {
			spans = spans[:0] // no try that is still open was sent then
		}
		c.closed[p] = append(spans, closing{at, 1<<63 - 1})
	}
}

// forget notes that a node knows nothing from a time on.
func (c *Checker) forget(node string, at time.Duration) {
	for p := range c.closed {
		if p.node == node {
			c.mark(p, at, true)
		}
	}
}

// changed takes what discovery has learnt: whoever has not asked for it by then
// counts as told after a while, unless the server is up again.
func (c *Checker) changed(e *history.Event) {
	if e.Lifecycle == "up" {
		c.lastUp[e.Server] = e.At
	}
	if c.setup.Limits.ToldLatest > 0 && e.Lifecycle != "up" {
		c.due = append(c.due, *e)
	}
}

// bind carries out what is due by now.
func (c *Checker) bind(now time.Duration) {
	for len(c.due) > 0 && c.due[0].At+c.setup.Limits.ToldLatest <= now {
		e := c.due[0]
		c.due = c.due[1:]
		if up, ever := c.lastUp[e.Server]; ever && up >= e.At {
			continue
		}
		for _, n := range c.setup.Nodes {
			c.mark(pair{n.Name, e.Server}, e.At+c.setup.Limits.ToldLatest, false)
		}
	}
}

// drained checks rule three, from the moment discovery wrote its answer, or,
// for a node that does not ask, from when it should have.
func (c *Checker) drained(t *try) {
	l := c.setup.Limits
	for _, s := range t.attempts {
		for _, span := range c.closed[pair{s.node, s.server}] {
			if s.first > span.from+l.DrainGrace+l.Slack && s.first < span.to {
				c.breach(DrainsRespected, s.first, "%s sent %s to %s %v after the word of its drain", s.node, t.id, s.server, s.first-span.from)
			}
		}
	}
}

// sent is work that reached a cold server; told: its node had been told of the start.
type sent struct {
	at, work time.Duration
	told     bool
}

// coldStart is a process that has started cold, with what it was sent within
// the last window.
type coldStart struct {
	history.Event
	recent   []sent
	sum      time.Duration
	told     time.Duration   // of it
	knows    map[string]bool // nodes that have been told of the start
	reported bool            // one word for a start: the windows overlap
}

// started begins to watch a process that starts cold.
func (c *Checker) started(e *history.Event) {
	if delete(c.cold, e.Server); e.ColdTime > 0 && e.ColdFrom < 1 {
		c.cold[e.Server] = &coldStart{Event: *e, knows: map[string]bool{}}
	}
}

// sentTo checks rule four: within any window of FallTime the work sent by all
// nodes stays under FallFactor times what the server can do in it. One request
// counts for no more than one core can do in the window: no choice of servers
// helps against a request that is heavier than that by itself.
func (c *Checker) sentTo(e *history.Event) {
	s := c.cold[e.Server]
	if s == nil {
		return
	}
	if e.At >= s.At+s.ColdTime {
		delete(c.cold, e.Server)
		return
	}
	l := c.setup.Limits
	most := time.Duration(l.FallTime.Seconds() * s.Capacity / float64(max(1, s.Cores)) * 1e9)
	w := sent{e.At, min(e.Work, most), s.knows[e.Node]}
	s.recent = append(s.recent, w)
	s.count(w, 1)
	for s.recent[0].at <= w.at-l.FallTime {
		s.count(s.recent[0], -1)
		s.recent = s.recent[1:]
	}
	can := l.FallFactor * capacity(s.Event, w.at-l.FallTime, w.at)
	if over := s.sum.Seconds() - l.FallSpare.Seconds() - can; over > 0 && !s.reported && s.counts(l) {
		s.reported = true
		c.breach(NoColdOverload, w.at, "%s, started at %v, was sent %v of work within %v and may have %.2fs",
			s.Server, s.At, s.sum, l.FallTime, can)
	}
}

func (s *coldStart) count(w sent, times time.Duration) {
	if s.sum += times * w.work; w.told {
		s.told += times * w.work
	}
}

// counts tells whether the nodes that sent what the window holds are to blame.
func (s *coldStart) counts(l history.Limits) bool { return !l.FallTold || 3*s.told >= 2*s.sum }

// capacity gives the seconds of work that a server can do between two times.
// Before its start it counts as what it is at its start: a window that begins
// there holds the same work and more capacity.
func capacity(s history.Event, from, to time.Duration) float64 {
	part := func(t time.Duration) float64 {
		age := min(max(t-s.At, 0), s.ColdTime).Seconds() / s.ColdTime.Seconds()
		return s.ColdFrom + (1-s.ColdFrom)*age
	}
	can := 0.0
	cut := min(max(s.At, from), to) // the part is straight between its bends
	can += (cut - from).Seconds() * s.ColdFrom
	warm := min(max(s.At+s.ColdTime, cut), to)
	can += (warm - cut).Seconds() * (part(cut) + part(warm)) / 2
	can += (to - warm).Seconds()
	return can * s.Capacity
}
