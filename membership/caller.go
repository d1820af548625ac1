// Package membership decides how a node knows which servers there are: when discovery is
// called, how long a call may wait, when it is doubted, given up or made again (Caller),
// and what of the words of several sources holds (List). It does no I/O, reads no clock
// and starts no goroutine: events in, actions out. docs/membership.md has its states on a
// page.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// What the protocol and standing pages bound. A change counts as told 6 s after discovery
// had it and could be reached, whatever failed: a call that fails is made again 3 s after
// it was made at the latest, and has 2.2 s to come back.
const (
	// NotifiedAfter is the time after which a change counts as told, whatever failed.
	NotifiedAfter = 6 * time.Second
	// CallTimeout is what a call has beyond its hold.
	CallTimeout = 2200 * time.Millisecond
	// queueTime is what a call has at a discovery that turns others away, or that did not answer the
	// call before in its time: it is in a queue there, whose length the settings don't say (2 and 3 s
	// have been seen), and whoever leaves it has to begin at its end, while discovery works for the call
	// that nobody waits for any more. If it is silent after all, the next call still comes back before
	// what it missed counts as told.
	queueTime = NotifiedAfter - CallTimeout

	backoffFirst = 200 * time.Millisecond // mean wait after a first failure; doubles
	backoffMost  = 3 * time.Second        // the longest wait from a call that failed to the next one, with its jitter
	nodeTurn     = 25 * time.Millisecond  // what a node adds to it: all together call 40 times a second
	turnedAtOnce = 200 * time.Millisecond // a call that is turned away sooner found discovery full, one that is later found it slow

	// DefaultPollWait is how long a call may wait for news, at most: one call more costs nothing.
	DefaultPollWait = 10 * time.Second
	// ShortPollWait is the hold up to which a silent call ends, and is made again, before what
	// it missed counts as told; a crowded discovery is not asked twice there.
	ShortPollWait = 3 * time.Second
	leastHold     = 0.6                   // of the hold, at least: nodes whose watches fall silent together do not call together
	pause         = 20 * time.Millisecond // between calls of a watch, which ends after 200 ms without one

	pushedHold  = time.Second            // where calls cost nothing
	pushedDoubt = 150 * time.Millisecond // after its hold a call to an agent on the own machine, which answers at once, has fallen silent
	pushedAgain = 100 * time.Millisecond // between calls to an agent that is silent: well under the grace for drains
	pushedTime  = 500 * time.Millisecond // beyond its hold such a call is given up
)

// doubts are how long after its hold a call is doubted, and another one is made beside it:
// what a watch that has fallen silent missed counts as told 2 s after the hold.
var doubts = []time.Duration{400 * time.Millisecond, 1100 * time.Millisecond}

// Settings of a Caller.
type Settings struct {
	// Pushed: the list is pushed to an agent on the own machine. Calls cost nothing, and
	// what the agent has counts as told, watch or none.
	Pushed bool
	// Stream: one call brings all that comes until it fails, as on the simulator's wire.
	Stream bool
	// DefaultPollWait is how long a call may wait, at most; 0: the constant Hold.
	PollWait time.Duration
	// AskWithin is the settings' ask_within; 0: not known.
	AskWithin time.Duration
	// Nodes is how many equal nodes call the same discovery, at least 1.
	Nodes float64
	Seed  int64
}

// CallID names a call of a Caller.
type CallID uint64

// FailureReason says why a call brought no list.
type FailureReason int

const (
	// Unanswered: it could not be made, broke off or brought what is no list.
	Unanswered FailureReason = iota
	// Rejected: discovery answered that it takes no more calls, or with another error.
	Rejected
)

// Event is something that happened.
type Event interface{ event() }

// Events.
type (
	// Ticked comes at Next, or later.
	Ticked struct{}
	// Answered is a call's list.
	Answered struct {
		Call       CallID
		Full       bool
		Generation uint64
	}
	// Failed is a call that brought none.
	Failed struct {
		Call   CallID
		Reason FailureReason
	}
	// RestartRequested has a new watch begun at once: what the running one would bring is doubted.
	RestartRequested struct{}
	// HedgeRequested has a call made beside the watch's, which may have fallen silent.
	HedgeRequested struct{}
	// NodesChanged says how many equal nodes call the same discovery by now.
	NodesChanged struct{ Nodes float64 }
)

func (Ticked) event()           {}
func (Answered) event()         {}
func (Failed) event()           {}
func (RestartRequested) event() {}
func (HedgeRequested) event()   {}
func (NodesChanged) event()     {}

// Action is something the caller is to do.
type Action interface{ action() }

// Actions.
type (
	// Call asks discovery for what is newer than a generation, and waits so long for it;
	// or for the whole list. It has Limit, all in all.
	Call struct {
		ID                CallID
		From              uint64
		Full              bool
		PollWait, Timeout time.Duration
	}
	// Cancel gives a call up; what it brings is ignored.
	Cancel struct{ ID CallID }
	// Accept says that an answer holds: what it brought is the list by now.
	Accept struct{ Call CallID }
	// WatchLost says that the watch brought nothing any more, or did not come about.
	WatchLost struct{ Reason FailureReason }
)

func (Call) action()      {}
func (Cancel) action()    {}
func (Accept) action()    {}
func (WatchLost) action() {}

// call is one that is out.
type call struct {
	Call
	at    Time
	aside bool // made beside one that is doubted: its failure tells nothing
	doubt int  // how many were made beside it
}

// Poller decides when one source of the list is called. It is not safe for concurrent use.
type Poller struct {
	set        Settings
	rng        *rand.Rand
	now        Time
	out        []Action
	calls      []*call // in the order in which they were made
	last       CallID
	generation uint64
	known      bool // there is a list that changes may be of
	held       bool // the watch stands: an answer has come since it began
	next       Time // of the next call, where none is out
	wait       time.Duration
	crowded    bool // calls are turned away, the first of them at once
	slow       bool // the latest call had no answer in its time, though its connection came up
}

// InitialState is how a Caller begins.
type InitialState struct {
	Generation uint64 // of the list that is known
	HaveList   bool   // there is one; else the first call is for the whole list
	Stagger    bool   // many nodes may start together: the first call is not made at once
}

// NewPoller makes the caller of a source.
func NewPoller(set Settings, from InitialState, now Time) *Poller {
	set.PollWait = cmp.Or(set.PollWait, DefaultPollWait)
	if set.Pushed {
		set.PollWait = min(set.PollWait, pushedHold)
	}
	set.Nodes = max(1, set.Nodes)
	c := &Poller{set: set, rng: rand.New(rand.NewPCG(uint64(set.Seed), 0x6d656d62)), now: now, generation: from.Generation,
		known: from.HaveList && !set.Pushed, wait: backoffFirst, next: now}
	if from.Stagger && !set.Pushed {
		c.next += c.jitter(backoffFirst)
	}
	return c
}

// WatchEstablished tells whether the watch stands.
func (c *Poller) WatchEstablished() bool { return c.held }

// Next is when the next Ticked is due.
func (c *Poller) Next() Time {
	if len(c.calls) == 0 {
		return c.next
	}
	next := Time(math.MaxInt64)
	for _, x := range c.calls {
		next = min(next, x.at+x.Timeout)
	}
	return min(next, c.doubtAt())
}

// Handle takes an event and returns what is to be done, in order. The slice is reused by
// the next call.
func (c *Poller) Handle(now Time, e Event) []Action {
	c.now, c.out = max(now, c.now), c.out[:0]
	switch e := e.(type) {
	case Ticked:
		c.tick()
	case Answered:
		c.answered(e)
	case Failed:
		if i := c.find(e.Call); i >= 0 {
			c.failed(i, e.Reason)
		}
	case RestartRequested:
		c.drop()
		c.held, c.next = false, c.now
		c.tick()
	case HedgeRequested:
		if len(c.calls) == 1 && c.calls[0].PollWait > 0 { // else one is out already that is answered at once
			c.call(0, false, true)
		}
	case NodesChanged:
		c.set.Nodes = max(1, e.Nodes)
	}
	return c.out
}

func (c *Poller) do(a Action) { c.out = append(c.out, a) }

func (c *Poller) find(id CallID) int {
	return slices.IndexFunc(c.calls, func(x *call) bool { return x.ID == id })
}

// jitter draws from half to one and a half of a time.
func (c *Poller) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.rng.Float64()))
}

// drop gives up all calls that are out.
func (c *Poller) drop() {
	for _, x := range c.calls {
		c.do(Cancel{x.ID})
	}
	c.calls = c.calls[:0]
}

// call makes a call.
func (c *Poller) call(hold time.Duration, whole, aside bool) {
	c.last++
	limit := hold + CallTimeout
	switch {
	case c.set.Pushed:
		limit = hold + pushedTime
	case c.crowded || c.slow:
		limit = hold + queueTime
	}
	x := &call{Call: Call{ID: c.last, From: c.generation, Full: whole || !c.known, PollWait: hold, Timeout: limit}, at: c.now, aside: aside}
	c.calls = append(c.calls, x)
	c.do(x.Call)
}

// doubtAt is when the calls that are out are doubted next.
func (c *Poller) doubtAt() Time {
	const never = Time(math.MaxInt64)
	first, last := c.calls[0], c.calls[len(c.calls)-1]
	switch {
	case c.set.Stream:
		return never
	case c.set.Pushed && last == first && !first.aside:
		return first.at + first.PollWait + pushedDoubt
	case c.set.Pushed: // as long as the agent is silent, one call after the other
		return last.at + pushedAgain
	case first.aside || first.PollWait == 0 || c.set.PollWait <= ShortPollWait || first.doubt == len(doubts):
		return never
	}
	return first.at + first.PollWait + doubts[first.doubt]
}

func (c *Poller) tick() {
	for _, x := range slices.Clone(c.calls) {
		if i := c.find(x.ID); i >= 0 && !c.set.Stream && c.now >= x.at+x.Timeout {
			c.do(Cancel{x.ID})
			c.failed(i, Unanswered)
		}
	}
	if len(c.calls) == 0 {
		if c.now < c.next {
			return
		}
		hold := time.Duration(0) // whether the watch stands is to be known at once
		if c.held {
			hold = c.nextHold()
		}
		c.call(hold, false, false)
		return
	}
	first := c.calls[0]
	if c.now >= c.doubtAt() {
		first.doubt++
		c.call(0, false, true)
	}
	if c.set.Stream && !c.held && c.set.AskWithin > 0 && c.now-first.at >= c.set.AskWithin/4 {
		c.drop()
		c.call(0, false, false)
	}
}

// nextHold is how long the next call of the watch may wait.
func (c *Poller) nextHold() time.Duration {
	if c.set.PollWait <= ShortPollWait {
		return c.set.PollWait
	}
	return time.Duration(float64(c.set.PollWait) * (leastHold + (1-leastHold)*c.rng.Float64()))
}

func (c *Poller) answered(e Answered) {
	i := c.find(e.Call)
	if i < 0 {
		return // it was given up: what it has may be older than what holds
	}
	switch x := c.calls[i]; {
	case !e.Full && x.Full:
		c.failed(i, Unanswered)
		return
	case !e.Full && e.Generation < x.From && !c.set.Stream:
		// Changes of an earlier generation are of a service that began anew: they would
		// leave in use what is gone. A whole list costs discovery many times as much, so it
		// is asked for in no other case: 300 nodes that did at once kept one another from
		// theirs.
		c.drop()
		c.call(0, true, false)
		return
	}
	if !c.set.Stream {
		c.calls = slices.Delete(c.calls, i, i+1)
		c.drop()
	}
	c.generation, c.known, c.held, c.crowded, c.slow, c.wait, c.next = e.Generation, true, true, false, false, backoffFirst, c.now+pause
	c.do(Accept{e.Call})
}

// failed takes that a call brought nothing. One that was made beside another tells nothing
// by that; to an agent on the own machine those beside it go on.
func (c *Poller) failed(i int, why FailureReason) {
	x := c.calls[i]
	c.calls = slices.Delete(c.calls, i, i+1)
	if x.aside && (c.set.Pushed || len(c.calls) > 0) {
		if len(c.calls) == 0 {
			c.next = max(c.now, x.at+pushedAgain)
		}
		return
	}
	asked := !c.held
	if c.held = false; c.set.Pushed { // calls cost nothing, and what the agent has counts as told
		c.next = max(c.now, x.at+pushedAgain)
	} else {
		c.drop()
		c.backOff(x, asked, why)
	}
	c.do(WatchLost{why})
}

// backOff says when a failed call is made again: soon enough for what it brings to come
// within the time after which it counts as told; one that nobody answered has waited
// already. Where calls are turned away time after time those of all nodes are more than
// discovery takes, and it would give all up: each has its turn then.
func (c *Poller) backOff(x *call, asked bool, why FailureReason) {
	turn, from := time.Duration(c.set.Nodes*float64(nodeTurn)), c.now
	wait := c.jitter(min(max(c.wait, turn), backoffMost*2/3))
	switch away := c.crowded; {
	case asked && why == Rejected && (away || c.now-x.at < turnedAtOnce):
		if c.crowded = true; away {
			wait = max(wait, c.jitter(turn))
		}
	case asked && why != Rejected:
		from, c.crowded, c.slow = x.at, false, c.now >= x.at+x.Timeout
	}
	c.next = max(c.now, from+wait)
	c.wait = min(2*c.wait, max(backoffFirst, c.set.AskWithin/4))
}
