// Package judge checks a history for breaches of the four service rules and
// computes the service measure. It is a pure function of the history and does
// no I/O.
//
// Time limits apply to the times recorded by the simulated clients, servers and
// discovery, and are extended by Limits.Slack for delays of sockets. A node that
// was killed has no obligations afterwards; a node that shuts down must still
// answer the requests it has accepted.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivylock/internal/lab/history"
)

// Rule is the number of a service rule.
type Rule int

// The service rules.
const (
	NoRequestLost     Rule = 1                 // each accepted request gets exactly one answer, by its deadline
	NoDuplicateEffect Rule = 2                 // no effect runs twice
	DrainsRespected   Rule = 3                 // no request is sent to a draining server after the grace period
	NoColdOverload    Rule = 4                 // a cold server is not sent more work than it can do
	maxBreaches            = 200               // listed in a verdict; further ones are only counted
	keptBreaches           = 100 * maxBreaches // kept for sorting by time
)

func (r Rule) String() string {
	switch r {
	case NoRequestLost:
		return "no request lost"
	case NoDuplicateEffect:
		return "no effect twice"
	case DrainsRespected:
		return "drains kept"
	case NoColdOverload:
		return "no cold server pushed over"
	}
	return fmt.Sprintf("rule %d", int(r))
}

// Breach is one violation of a rule.
type Breach struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at"`
	Detail string        `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d (%v) at %v: %s", int(b.Rule), b.Rule, b.At.Round(time.Millisecond), b.Detail)
}

// Verdict is the result of judging a history.
type Verdict struct {
	Breaches []Breach       `json:"breaches"` // by time, at most 200
	Counts   map[Rule]int   `json:"counts"`   // of all breaches, including those not listed
	Service  ServiceMetrics `json:"service"`
}

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Counts) == 0 }

// Judge returns the verdict on a history, whose events must be in order of time.
func Judge(h *history.History) Verdict {
	checker := NewChecker(&h.Setup)
	for i := range h.Events {
		checker.Add(&h.Events[i])
	}
	return checker.Verdict()
}

// Checker judges a history incrementally, event by event, and retains only the
// state it still needs. It is not safe for concurrent use.
type Checker struct {
	// Retention is how long events are assigned to a try after its deadline.
	// Of later events, attempts and answers are ignored and runs count as wasted
	// work. 0: without limit, as in Judge.
	Retention time.Duration

	setup          *history.Setup
	classes        map[string]*history.Class
	servers        map[string]history.Server
	zoneOf         map[string]string          // by node
	tries          map[string]*try            // open tries by id
	tryQueue       []*try                     // open tries in order of sending
	orders         map[string]*order          // open orders by id
	orderQueue     []*order                   // open orders in order of their first event
	nodeEvents     map[string][]history.Event // by node: kills and starts, in order
	lastEventAt    time.Duration
	drainSpans     map[nodeServer][]drainSpan
	pendingChanges []history.Event // drains and removals that will apply to all nodes
	lastUp         map[string]time.Duration
	coldStarts     map[string]*coldStart
	breaches       []Breach
	counts         map[Rule]int
	tally          tally
}

// NewChecker returns a checker for a run. Servers may be added to the setup
// during the run.
func NewChecker(setup *history.Setup) *Checker {
	checker := &Checker{setup: setup, classes: map[string]*history.Class{}, servers: map[string]history.Server{}, zoneOf: map[string]string{},
		tries: map[string]*try{}, orders: map[string]*order{}, nodeEvents: map[string][]history.Event{},
		drainSpans: map[nodeServer][]drainSpan{}, lastUp: map[string]time.Duration{}, coldStarts: map[string]*coldStart{}, counts: map[Rule]int{}}
	for i := range setup.Classes {
		checker.classes[setup.Classes[i].Name] = &setup.Classes[i]
	}
	for _, n := range setup.Nodes {
		checker.zoneOf[n.Name] = n.Zone
	}
	checker.tally.prepare(setup)
	return checker
}

// server returns a server of the setup.
func (c *Checker) server(name string) history.Server {
	for len(c.servers) < len(c.setup.Servers) {
		for _, s := range c.setup.Servers[len(c.servers):] {
			c.servers[s.Name] = s
		}
	}
	return c.servers[name]
}

// try is the state of one try.
type try struct {
	id, order, node  string
	class            *history.Class // nil: unknown
	className        string
	sentAt, deadline time.Duration
	answerCount      int
	firstAnswer      answer
	secondAnswerAt   time.Duration // if answerCount > 1
	attempts         []attempt     // those that reached a server, in order
	runs             []run
	extraAt          []time.Duration // data after the final answer
	queued           bool            // in tryQueue
	attemptBuffer    [1]attempt      // first element of attempts, without an allocation
	runBuffer        [1]run          // first element of runs
}

// Recorded events of a try.
type (
	answer struct {
		at     time.Duration
		status history.Status
		server string
	}
	attempt struct {
		at, first    time.Duration
		node, server string
		verdict      history.Verdict
	}
	run struct {
		at, work time.Duration
		server   string
	}
)

// Add processes the next event. Events are in order of time.
func (c *Checker) Add(e *history.Event) {
	c.lastEventAt = max(c.lastEventAt, e.At)
	c.applyDueChanges(e.At)
	c.tally.addEvent(c, e)
	switch e.Kind {
	case history.OrderIssued:
		c.orderOf(e)
	case history.Try:
		t := c.tryOf(e.Try)
		t.id, t.order, t.node, t.className, t.class, t.sentAt, t.deadline = e.Try, e.Order, e.Node, e.Class, c.classes[e.Class], e.At, e.Deadline
		if !t.queued {
			t.queued = true
			c.tryQueue = append(c.tryQueue, t)
		}
		c.tally.Tries++
		c.orderOf(e)
	case history.Answer:
		if t := c.openTry(e); t != nil {
			switch t.answerCount++; t.answerCount {
			case 1:
				t.firstAnswer = answer{e.At, e.Status, e.Server}
			case 2:
				t.secondAnswerAt = e.At
			}
		}
	case history.ExtraData:
		if t := c.openTry(e); t != nil {
			t.extraAt = append(t.extraAt, e.At)
		}
	case history.Attempt:
		c.checkColdLoad(e)
		if t := c.openTry(e); t != nil {
			if t.attempts == nil {
				t.attempts = t.attemptBuffer[:0]
			}
			t.attempts = append(t.attempts, attempt{e.At, e.FirstByteAt, e.Node, e.Server, e.Verdict})
		}
	case history.Probe:
		c.checkColdLoad(e)
	case history.EffectRun:
		if t := c.openTry(e); t != nil {
			if t.runs == nil {
				t.runs = t.runBuffer[:0]
			}
			t.runs = append(t.runs, run{e.At, e.Work, e.Server})
		} else {
			c.tally.addLateRun(e.Work)
		}
	case history.ServerStarted:
		c.recordStart(e)
	case history.ServerOverloaded:
		if s := c.coldStarts[e.Server]; s == nil || s.enforced(c.setup.Limits) {
			c.breach(NoColdOverload, e.At, "%s fell over", e.Server)
		}
	case history.NodeNotified:
		c.markDrain(nodeServer{e.Node, e.Server}, e.At, e.Lifecycle == "up")
		// Start times in lists are rounded to milliseconds.
		if s := c.coldStarts[e.Server]; s != nil && e.Lifecycle == "up" && e.StartedAt > s.At-time.Millisecond {
			s.notifiedNodes[e.Node] = true
		}
	case history.DiscoveryChanged:
		c.recordChange(e)
	case history.NodeKilled, history.NodeReady:
		c.nodeEvents[e.Node] = append(c.nodeEvents[e.Node], *e)
		if e.Kind == history.NodeReady { // a new process has not been notified of any drain
			c.forgetDrains(e.Node, e.At)
		}
	}
	if c.Retention > 0 {
		c.closeBefore(e.At - c.Retention)
	}
}

// openTry returns the try of an event, or nil if it is closed.
func (c *Checker) openTry(e *history.Event) *try {
	if c.Retention > 0 {
		return c.tries[e.Try]
	}
	return c.tryOf(e.Try)
}

func (c *Checker) tryOf(id string) *try {
	t := c.tries[id]
	if t == nil {
		t = &try{}
		c.tries[id] = t
	}
	return t
}

// closeBefore judges and drops the tries with a deadline up to the given time, and adds up orders.
func (c *Checker) closeBefore(before time.Duration) {
	n := 0
	for _, t := range c.tryQueue {
		if t.deadline > before {
			break
		}
		c.judgeTry(t)
		delete(c.tries, t.id)
		n++
	}
	clear(c.tryQueue[:n])
	c.tryQueue = c.tryQueue[n:]
	n = 0
	for _, o := range c.orderQueue {
		if o.requestedAt+o.class.Deadline > before-c.Retention { // its tries may still be open
			break
		}
		c.tally.closeOrder(o)
		delete(c.orders, o.id)
		n++
	}
	clear(c.orderQueue[:n])
	c.orderQueue = c.orderQueue[n:]
}

// judgeTry checks the rules for one try and adds it to the tally.
func (c *Checker) judgeTry(t *try) {
	c.checkAnswers(t)
	c.checkEffects(t)
	c.checkDrains(t)
	c.tally.addTry(c, t)
}

// Verdict judges what is still open and returns the result.
func (c *Checker) Verdict() Verdict {
	for _, t := range c.tryQueue {
		c.judgeTry(t)
	}
	for _, o := range c.orderQueue {
		c.tally.closeOrder(o)
	}
	for _, t := range c.tries { // runs of tries that no client sent
		for i := range t.runs {
			if !t.queued {
				c.tally.addLateRun(t.runs[i].work)
			}
		}
	}
	c.tryQueue, c.orderQueue, c.tries = nil, nil, map[string]*try{}
	slices.SortStableFunc(c.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return Verdict{Counts: c.counts, Service: c.tally.metrics(c), Breaches: c.breaches[:min(len(c.breaches), maxBreaches)]}
}

func (c *Checker) breach(rule Rule, at time.Duration, format string, args ...any) {
	c.counts[rule]++
	if len(c.breaches) < keptBreaches {
		c.breaches = append(c.breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
	}
}

// killed reports whether a node was killed within a period or was down at its
// beginning; the kernel may accept connections for a process that is dying.
func (c *Checker) killed(node string, from, to time.Duration) bool {
	dead := false
	for _, e := range c.nodeEvents[node] {
		kill := e.Kind == history.NodeKilled
		if e.At < from {
			dead = kill
		} else if kill && e.At <= to {
			return true
		}
	}
	return dead
}
