package judge

import (
	"time"

	"barrowscale/internal/lab/history"
)

// answers checks rule one: exactly one final answer, in the client's time, to
// all that a running node has taken, and nothing sent out after it.
func (c *hearing) answers() {
	slack := c.Setup.Limits.Slack
	for _, t := range c.order {
		id, deadline := t.sent.Try, t.sent.Deadline
		if len(t.answers) == 0 {
			if c.end > deadline+slack && !c.killed(t.sent.Node, t.sent.At, deadline+slack) {
				c.breach(NoRequestLost, deadline, "%s %s, taken by %s, was never answered", t.sent.Class, id, t.sent.Node)
			}
			continue
		}
		if len(t.answers) > 1 {
			c.breach(NoRequestLost, t.answers[1].At, "%s has %d final answers", id, len(t.answers))
		}
		for _, e := range t.extra {
			c.breach(NoRequestLost, e.At, "more came behind the final answer to %s", id)
		}
		a := t.answers[0]
		excused := c.killed(t.sent.Node, t.sent.At, a.At)
		switch a.Status {
		case history.Served, history.Refused, history.Failed:
			if a.At > deadline+slack {
				c.breach(NoRequestLost, a.At, "%s was answered %v after its client's time", id, a.At-deadline)
			}
		case history.Wrong:
			c.breach(NoRequestLost, a.At, "%s was served with what no server made for it", id)
		case history.Broken:
			if !excused {
				c.breach(NoRequestLost, a.At, "%s, taken by %s, was cut off with no whole answer", id, t.sent.Node)
			}
		case history.GaveUp:
			if !excused {
				c.breach(NoRequestLost, a.At, "%s %s, taken by %s, had no answer in its client's time", t.sent.Class, id, t.sent.Node)
			}
		}
		for _, s := range t.attempts {
			if s.First > a.At+slack {
				c.breach(NoRequestLost, s.First, "%s was sent to %s %v after its final answer", id, s.Server, s.First-a.At)
			}
		}
	}
}

// mayRun tells whether an attempt that came may have run.
func mayRun(e history.Event) bool { return e.Verdict != history.Turned }

// effects checks rule two on what reached the servers. An attempt that is lost
// on the way has not run, and is not seen here.
func (c *hearing) effects() {
	l := c.Setup.Limits
	for _, t := range c.order {
		if t.class == nil || t.class.Effect == history.Safe {
			continue
		}
		id, ran := t.sent.Try, 0
		for i, later := range t.attempts {
			if mayRun(later) {
				ran++
			}
			for _, e := range t.attempts[:i] {
				switch gap := later.First - e.At; {
				case !mayRun(e):
				case t.class.Effect == history.Unsafe:
					c.breach(NoEffectTwice, later.At, "unsafe %s went to %s although %s had taken it", id, later.Server, e.Server)
				case c.servers[e.Server].Pod != c.servers[later.Server].Pod:
					c.breach(NoEffectTwice, later.At, "keyed %s left its pod: %s, then %s", id, e.Server, later.Server)
				case gap > l.KeyWindow+l.Slack:
					c.breach(NoEffectTwice, later.At, "keyed %s was sent again %v later", id, gap)
				}
			}
		}
		if len(t.runs) > 1 {
			c.breach(NoEffectTwice, t.runs[1].At, "%s %s ran %d times", t.class.Effect, id, len(t.runs))
		}
		if len(t.answers) > 0 && t.answers[0].Status == history.Refused && ran > 0 {
			c.breach(NoEffectTwice, t.answers[0].At, "%s %s was refused although it may have run", t.class.Effect, id)
		}
	}
}

// closing says that a node knows from a time on that a server wants nothing
// new, until another time.
type closing struct{ from, to time.Duration }

// drains checks rule three, from the moment discovery wrote its answer, or,
// for a node that does not ask, from when it should have.
func (c *hearing) drains() {
	l := c.Setup.Limits
	type pair struct{ node, server string }
	closed := map[pair][]closing{}
	mark := func(p pair, at time.Duration, up bool) {
		spans := closed[p]
		if n := len(spans) - 1; up && n >= 0 {
			spans[n].to = min(spans[n].to, at)
		} else if !up && (n < 0 || spans[n].to <= at) {
			closed[p] = append(spans, closing{at, 1<<63 - 1})
		}
	}
	lastUp := map[string]time.Duration{} // discovery's own latest word that the server is up
	for _, e := range c.Events {
		switch e.Kind {
		case history.Told:
			mark(pair{e.Node, e.Server}, e.At, e.Lifecycle == "up")
		case history.NodeUp: // a new process knows nothing
			for _, s := range c.Setup.Servers {
				mark(pair{e.Node, s.Name}, e.At, true)
			}
		case history.Change:
			if e.Lifecycle == "up" {
				lastUp[e.Server] = e.At
			}
		}
	}
	if l.ToldLatest > 0 {
		for _, e := range c.Events {
			if at := e.At + l.ToldLatest; e.Kind == history.Change && e.Lifecycle != "up" && lastUp[e.Server] < e.At {
				for _, n := range c.Setup.Nodes {
					mark(pair{n.Name, e.Server}, at, false)
				}
			}
		}
	}
	for _, t := range c.order {
		for _, s := range t.attempts {
			for _, span := range closed[pair{s.Node, s.Server}] {
				if s.First > span.from+l.DrainGrace+l.Slack && s.First < span.to {
					c.breach(DrainsKept, s.First, "%s sent %s to %s %v after the word of its drain", s.Node, s.Try, s.Server, s.First-span.from)
				}
			}
		}
	}
}

// sent is work that reached a cold server.
type sent struct{ at, work time.Duration }

// cold checks rule four: within any window of FallTime the work sent by all
// nodes stays under FallFactor times what the server can do in it. One request
// counts for no more than one core can do in the window: no choice of servers
// helps against a request that is heavier than that by itself.
func (c *hearing) cold() {
	l := c.Setup.Limits
	last := map[string]int{} // server: its latest start among starts
	var starts []history.Event
	work := map[int][]sent{}
	for _, e := range c.Events {
		switch e.Kind {
		case history.Start:
			if e.ColdTime > 0 && e.ColdFrom < 1 {
				starts = append(starts, e)
				last[e.Server] = len(starts) - 1
			} else {
				delete(last, e.Server)
			}
		case history.Attempt, history.Probe:
			if i, cold := last[e.Server]; cold && e.At < starts[i].At+starts[i].ColdTime {
				work[i] = append(work[i], sent{e.At, e.Work})
			}
		case history.Fell:
			c.breach(ColdNotPushed, e.At, "%s fell over", e.Server)
		}
	}
	for i, s := range starts {
		from, sum, reported := 0, time.Duration(0), false
		most := time.Duration(l.FallTime.Seconds() * s.Capacity / float64(max(1, s.Cores)) * 1e9)
		for j := range work[i] {
			w := &work[i][j]
			w.work = min(w.work, most)
			sum += w.work
			for work[i][from].at <= w.at-l.FallTime {
				sum -= work[i][from].work
				from++
			}
			can := l.FallFactor * capacity(s, w.at-l.FallTime, w.at)
			if over := sum.Seconds() - l.FallSpare.Seconds() - can; over > 0 && !reported {
				reported = true // one word for a start: the windows overlap
				c.breach(ColdNotPushed, w.at, "%s, started at %v, was sent %v of work within %v and may have %.2fs",
					s.Server, s.At, sum, l.FallTime, can)
			}
		}
	}
}

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
