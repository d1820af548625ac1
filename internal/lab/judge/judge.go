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

	"barrowscale/internal/lab/history"
)

// Rule numbers the four rules.
type Rule int

// The rules.
const (
	NoRequestLost Rule = 1
	NoEffectTwice Rule = 2
	DrainsKept    Rule = 3
	ColdNotPushed Rule = 4
	maxBreaches        = 200 // kept in full; more are only counted
)

func (r Rule) String() string {
	switch r {
	case NoRequestLost:
		return "no request lost"
	case NoEffectTwice:
		return "no effect twice"
	case DrainsKept:
		return "drains kept"
	case ColdNotPushed:
		return "no cold server pushed over"
	}
	return fmt.Sprintf("rule %d", int(r))
}

// Breach is one broken rule.
type Breach struct {
	Rule Rule          `json:"rule"`
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d (%v) at %v: %s", int(b.Rule), b.Rule, b.At.Round(time.Millisecond), b.What)
}

// Verdict is what the judge has to say of a history.
type Verdict struct {
	Breaches []Breach     `json:"breaches"` // in order of time, the first 200
	Counts   map[Rule]int `json:"counts"`   // of all breaches
	Service  Service      `json:"service"`
}

// Kept tells whether no rule was broken.
func (v *Verdict) Kept() bool { return len(v.Counts) == 0 }

// Judge checks a history.
func Judge(h *history.History) Verdict {
	c := newCase(h)
	c.answers()
	c.effects()
	c.drains()
	c.cold()
	slices.SortStableFunc(c.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	v := Verdict{Counts: map[Rule]int{}, Service: service(c)}
	for _, b := range c.breaches {
		v.Counts[b.Rule]++
	}
	v.Breaches = c.breaches[:min(len(c.breaches), maxBreaches)]
	return v
}

// try is all that a history tells of one try.
type try struct {
	sent     history.Event
	answers  []history.Event
	attempts []history.Event // that reached a server, in order
	runs     []history.Event
	extra    []history.Event
	class    *history.Class
}

// hearing is the history put in order for the rules.
type hearing struct {
	*history.History
	tries    map[string]*try
	order    []*try
	asks     []history.Event
	classes  map[string]*history.Class
	servers  map[string]history.Server
	ended    map[string][]history.Event // node: kills and starts, in order
	end      time.Duration
	breaches []Breach
}

func newCase(h *history.History) *hearing {
	c := &hearing{History: h, tries: map[string]*try{}, classes: map[string]*history.Class{},
		servers: map[string]history.Server{}, ended: map[string][]history.Event{}}
	for i := range h.Setup.Classes {
		c.classes[h.Setup.Classes[i].Name] = &h.Setup.Classes[i]
	}
	for _, s := range h.Setup.Servers {
		c.servers[s.Name] = s
	}
	for _, e := range h.Events {
		c.end = max(c.end, e.At)
		switch e.Kind {
		case history.Ask:
			c.asks = append(c.asks, e)
		case history.Try:
			t := c.tryOf(e.Try)
			t.sent, t.class = e, c.classes[e.Class]
			c.order = append(c.order, t)
		case history.Answer:
			t := c.tryOf(e.Try)
			t.answers = append(t.answers, e)
		case history.Extra:
			t := c.tryOf(e.Try)
			t.extra = append(t.extra, e)
		case history.Attempt:
			t := c.tryOf(e.Try)
			t.attempts = append(t.attempts, e)
		case history.Run:
			t := c.tryOf(e.Try)
			t.runs = append(t.runs, e)
		case history.NodeKilled, history.NodeUp:
			c.ended[e.Node] = append(c.ended[e.Node], e)
		}
	}
	return c
}

func (c *hearing) tryOf(id string) *try {
	t := c.tries[id]
	if t == nil {
		t = &try{}
		c.tries[id] = t
	}
	return t
}

func (c *hearing) breach(r Rule, at time.Duration, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{r, at, fmt.Sprintf(format, args...)})
}

// killed tells whether a node was killed outright within a stretch of time, or
// was dead at its beginning: the kernel goes on taking connections for a dying
// process for a moment.
func (c *hearing) killed(node string, from, to time.Duration) bool {
	dead := false
	for _, e := range c.ended[node] {
		kill := e.Kind == history.NodeKilled
		if e.At < from {
			dead = kill
		} else if kill && e.At <= to {
			return true
		}
	}
	return dead
}
