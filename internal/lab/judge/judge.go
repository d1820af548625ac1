// Package judge checks the four rules on a history and gives the service
// measure. It is a pure function of the history: no I/O, no clock.
//
// Every limit of time is read off events that stand-ins recorded with the
// lab's one clock, and is Limits.Slack longer than stated, as the protocol
// allows for sockets. A node that was killed outright owes nothing from then
// on; one that got the word to end still owes what it had taken.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivylock/internal/lab/history"
)

// Rule numbers the four rules.
type Rule int

// The rules.
const (
	NoRequestLost     Rule = 1
	NoDuplicateEffect Rule = 2
	DrainsRespected   Rule = 3
	NoColdOverload    Rule = 4
	maxBreaches            = 200               // told in full; more are only counted
	keptBreaches           = 100 * maxBreaches // as they are not found in order of time
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

// Breach is one broken rule.
type Breach struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at"`
	Detail string        `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d (%v) at %v: %s", int(b.Rule), b.Rule, b.At.Round(time.Millisecond), b.Detail)
}

// Verdict is what the judge has to say of a history.
type Verdict struct {
	Breaches []Breach       `json:"breaches"` // in order of time, the first 200
	Counts   map[Rule]int   `json:"counts"`   // of all breaches
	Service  ServiceMetrics `json:"service"`
}

// Passed tells whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Counts) == 0 }

// Judge checks a history.
func Judge(h *history.History) Verdict {
	l := NewChecker(&h.Setup)
	for i := range h.Events {
		l.Add(&h.Events[i])
	}
	return l.Verdict()
}

// Checker checks a history while it is made, event by event, and keeps of it only
// what may still matter. It is not safe for concurrent use.
type Checker struct {
	// Retention is how long after a try's time is over the judge still waits for
	// what belongs to it: an attempt, a run or a second answer that comes later
	// is only counted as work. 0: for ever, as Judge does.
	Retention time.Duration

	setup    *history.Setup
	classes  map[string]*history.Class
	servers  map[string]history.Server
	halls    map[string]string          // by node
	tries    map[string]*try            // open ones
	queue    []*try                     // the same by the time they were sent
	orders   map[string]*order          // open ones
	waiting  []*order                   // the same by the time they were asked for
	ended    map[string][]history.Event // node: kills and starts, in order
	end      time.Duration
	closed   map[pair][]closing
	due      []history.Event // changes that bind whoever has not asked by then
	lastUp   map[string]time.Duration
	cold     map[string]*coldStart
	breaches []Breach
	counts   map[Rule]int
	tally    tally
}

// NewChecker begins. Servers that are added to the setup later are known from
// then on.
func NewChecker(setup *history.Setup) *Checker {
	l := &Checker{setup: setup, classes: map[string]*history.Class{}, servers: map[string]history.Server{}, halls: map[string]string{},
		tries: map[string]*try{}, orders: map[string]*order{}, ended: map[string][]history.Event{},
		closed: map[pair][]closing{}, lastUp: map[string]time.Duration{}, cold: map[string]*coldStart{}, counts: map[Rule]int{}}
	for i := range setup.Classes {
		l.classes[setup.Classes[i].Name] = &setup.Classes[i]
	}
	for _, n := range setup.Nodes {
		l.halls[n.Name] = n.Hall
	}
	l.tally.begin(setup)
	return l
}

// server gives what the setup says of one.
func (l *Checker) server(name string) history.Server {
	for len(l.servers) < len(l.setup.Servers) {
		for _, s := range l.setup.Servers[len(l.servers):] {
			l.servers[s.Name] = s
		}
	}
	return l.servers[name]
}

// try is all that a history tells of one try.
type try struct {
	id, order, node string
	class           *history.Class // nil: not known
	named           string         // its class, known or not
	at, deadline    time.Duration
	answers         int
	answer          answer        // the first one
	again           time.Duration // the second one
	attempts        []attempt     // that reached a server, in order
	runs            []run
	extra           []time.Duration
	listed          bool // it is in the queue
	firsts          [1]attempt
	firstRuns       [1]run
}

// Detail is kept of a try's events.
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

// Add takes the next event. Times never fall.
func (l *Checker) Add(e *history.Event) {
	l.end = max(l.end, e.At)
	l.bind(e.At)
	l.tally.event(l, e)
	switch e.Kind {
	case history.Ask:
		l.orderOf(e)
	case history.Try:
		t := l.tryOf(e.Try)
		t.id, t.order, t.node, t.named, t.class, t.at, t.deadline = e.Try, e.Order, e.Node, e.Class, l.classes[e.Class], e.At, e.Deadline
		if !t.listed {
			t.listed = true
			l.queue = append(l.queue, t)
		}
		l.tally.Tries++
		l.orderOf(e)
	case history.Answer:
		if t := l.open(e); t != nil {
			switch t.answers++; t.answers {
			case 1:
				t.answer = answer{e.At, e.Status, e.Server}
			case 2:
				t.again = e.At
			}
		}
	case history.Extra:
		if t := l.open(e); t != nil {
			t.extra = append(t.extra, e.At)
		}
	case history.Attempt:
		l.sentTo(e)
		if t := l.open(e); t != nil {
			if t.attempts == nil {
				t.attempts = t.firsts[:0]
			}
			t.attempts = append(t.attempts, attempt{e.At, e.First, e.Node, e.Server, e.Verdict})
		}
	case history.Probe:
		l.sentTo(e)
	case history.Run:
		if t := l.open(e); t != nil {
			if t.runs == nil {
				t.runs = t.firstRuns[:0]
			}
			t.runs = append(t.runs, run{e.At, e.Work, e.Server})
		} else {
			l.tally.lateRun(e.Work)
		}
	case history.Start:
		l.started(e)
	case history.Fell:
		if s := l.cold[e.Server]; s == nil || s.counts(l.setup.Limits) {
			l.breach(NoColdOverload, e.At, "%s fell over", e.Server)
		}
	case history.Told:
		l.mark(pair{e.Node, e.Server}, e.At, e.Lifecycle == "up")
		if s := l.cold[e.Server]; s != nil && e.Lifecycle == "up" && e.Started > s.At-time.Millisecond { // lists tell milliseconds
			s.knows[e.Node] = true
		}
	case history.Change:
		l.changed(e)
	case history.NodeKilled, history.NodeUp:
		l.ended[e.Node] = append(l.ended[e.Node], *e)
		if e.Kind == history.NodeUp { // a new process knows nothing
			l.forget(e.Node, e.At)
		}
	}
	if l.Retention > 0 {
		l.close(e.At - l.Retention)
	}
}

// open gives the try that an event belongs to; nil if that is closed already.
func (l *Checker) open(e *history.Event) *try {
	if l.Retention > 0 {
		return l.tries[e.Try]
	}
	return l.tryOf(e.Try)
}

func (l *Checker) tryOf(id string) *try {
	t := l.tries[id]
	if t == nil {
		t = &try{}
		l.tries[id] = t
	}
	return t
}

// close hears the tries whose time was over at a time, and the orders.
func (l *Checker) close(before time.Duration) {
	n := 0
	for _, t := range l.queue {
		if t.deadline > before {
			break
		}
		l.hear(t)
		delete(l.tries, t.id)
		n++
	}
	clear(l.queue[:n])
	l.queue = l.queue[n:]
	n = 0
	for _, o := range l.waiting {
		if o.at+o.class.Deadline > before-l.Retention { // its tries have been heard by then
			break
		}
		l.tally.close(o)
		delete(l.orders, o.id)
		n++
	}
	clear(l.waiting[:n])
	l.waiting = l.waiting[n:]
}

// hear judges one try.
func (l *Checker) hear(t *try) {
	l.answers(t)
	l.effects(t)
	l.drained(t)
	l.tally.try(l, t)
}

// Verdict ends the history.
func (l *Checker) Verdict() Verdict {
	for _, t := range l.queue {
		l.hear(t)
	}
	for _, o := range l.waiting {
		l.tally.close(o)
	}
	for _, t := range l.tries { // that no client is known to have sent
		for i := range t.runs {
			if !t.listed {
				l.tally.lateRun(t.runs[i].work)
			}
		}
	}
	l.queue, l.waiting, l.tries = nil, nil, map[string]*try{}
	slices.SortStableFunc(l.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return Verdict{Counts: l.counts, Service: l.tally.service(l), Breaches: l.breaches[:min(len(l.breaches), maxBreaches)]}
}

func (l *Checker) breach(r Rule, at time.Duration, format string, args ...any) {
	l.counts[r]++
	if len(l.breaches) < keptBreaches {
		l.breaches = append(l.breaches, Breach{r, at, fmt.Sprintf(format, args...)})
	}
}

// killed tells whether a node was killed outright within a stretch of time, or
// was dead at its beginning: the kernel goes on taking connections for a dying
// process for a moment.
func (l *Checker) killed(node string, from, to time.Duration) bool {
	dead := false
	for _, e := range l.ended[node] {
		kill := e.Kind == history.NodeKilled
		if e.At < from {
			dead = kill
		} else if kill && e.At <= to {
			return true
		}
	}
	return dead
}
