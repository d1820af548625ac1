// Package membership maintains a node's view of the list of servers: when service discovery is
// polled, how long a poll may wait, when it is hedged, canceled or retried (Poller), and how the
// updates of several sources are merged (List). It does no I/O, reads no clock and starts no
// goroutine: events go in, actions come out. docs/membership.md describes its states.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a time by the process clock, or Unix time where that is stated.
type Time = time.Duration

// Bounds set by the protocol. A node counts as notified of a change 6 s after discovery had it and
// was reachable, whatever failed in between: a failed call is retried at most 3 s after it was
// started, and may take 2.2 s.
const (
	// NotifiedAfter is the time after which a node counts as notified of a change, whatever failed.
	NotifiedAfter = 6 * time.Second
	// CallTimeout is how long a call may take beyond its poll wait.
	CallTimeout = 2200 * time.Millisecond
	// queuedCallTimeout replaces CallTimeout where discovery is overloaded or did not answer the
	// previous call in time. The call is probably queued there, for a time that the settings do
	// not give (2 and 3 s have been seen), and canceling it would lose its place while discovery
	// still does the work for it. If discovery does not answer at all, the
	// next call still completes before a missed change counts as notified.
	queuedCallTimeout = NotifiedAfter - CallTimeout

	initialBackoff = 200 * time.Millisecond // mean delay after the first failure; doubles
	maxBackoff     = 3 * time.Second        // longest delay between a failed call and its retry, including jitter
	perNodeDelay   = 25 * time.Millisecond  // added per node: all nodes together make 40 calls a second
	// A call rejected sooner than this found discovery overloaded; one rejected later found it
	// slow.
	immediateRejection = 200 * time.Millisecond

	// DefaultPollWait is the longest time that a long poll waits for an update.
	DefaultPollWait = 10 * time.Second
	// ShortPollWait is the longest poll wait for which an unanswered call times out and is retried
	// before a missed change counts as notified. Up to it, polls are not hedged: an overloaded
	// discovery is not called twice.
	ShortPollWait = 3 * time.Second
	// Lower bound of the random poll wait, as a fraction of the longest: keeps nodes whose watches
	// stall at the same time from calling at the same time.
	minPollWaitFraction = 0.6
	pollPause           = 20 * time.Millisecond // discovery ends a watch after 200 ms without a call

	localPollWait    = time.Second            // calls to a local agent are cheap
	localHedgeDelay  = 150 * time.Millisecond // beyond the poll wait; the local agent normally answers at once
	localRetryDelay  = 100 * time.Millisecond // between calls to an unresponsive agent: well under the grace for drains
	localCallTimeout = 500 * time.Millisecond // beyond the poll wait
)

// hedgeDelays are how long after its poll wait an unanswered call is hedged: a change that a
// stalled watch missed counts as notified 2 s after the poll wait.
var hedgeDelays = []time.Duration{400 * time.Millisecond, 1100 * time.Millisecond}

// Settings configure a Poller.
type Settings struct {
	// Pushed: the list is pushed to an agent on this machine. Calls are cheap, and what the agent
	// has counts as notified, with or without a watch.
	Pushed bool
	// Stream: one call delivers all updates until it fails, as in the simulator's protocol.
	Stream bool
	// PollWait is the longest time that a long poll may wait; 0: DefaultPollWait.
	PollWait time.Duration
	// ListPollInterval is the longest permitted time between two polls; 0: unknown.
	ListPollInterval time.Duration
	// Nodes is the number of equal nodes that call the same discovery, at least 1.
	Nodes float64
	Seed  int64
}

// CallID identifies a call of a Poller.
type CallID uint64

// FailureReason is why a call returned no list.
type FailureReason int

const (
	// Unanswered: the call could not be made, was interrupted or returned something that is not a
	// list.
	Unanswered FailureReason = iota
	// Rejected: discovery answered that it accepts no more calls, or with another error.
	Rejected
)

// Event is an input of a Poller.
type Event interface{ event() }

// Events of a Poller.
type (
	// Ticked reports that the time returned by Next has come.
	Ticked struct{}
	// Answered reports a list returned by a call.
	Answered struct {
		Call       CallID
		Full       bool
		Generation uint64
	}
	// Failed reports a call that returned no list.
	Failed struct {
		Call   CallID
		Reason FailureReason
	}
	// RestartRequested starts a new watch at once: the result of the current one is no longer
	// trusted.
	RestartRequested struct{}
	// HedgeRequested makes a second call beside the watch's, which may have stalled.
	HedgeRequested struct{}
	// NodesChanged reports the current number of equal nodes that call the same discovery.
	NodesChanged struct{ Nodes float64 }
)

func (Ticked) event()           {}
func (Answered) event()         {}
func (Failed) event()           {}
func (RestartRequested) event() {}
func (HedgeRequested) event()   {}
func (NodesChanged) event()     {}

// Action is an instruction to the owner of a Poller.
type Action interface{ action() }

// Actions of a Poller.
type (
	// Call requests the changes after generation From, waiting up to PollWait for one, or the full
	// list. Timeout bounds the whole call.
	Call struct {
		ID                CallID
		From              uint64
		Full              bool
		PollWait, Timeout time.Duration
	}
	// Cancel cancels a call; its result is ignored.
	Cancel struct{ ID CallID }
	// Accept reports that an answer is valid: its content updates the list.
	Accept struct{ Call CallID }
	// WatchLost reports that the watch failed or could not be established.
	WatchLost struct{ Reason FailureReason }
)

func (Call) action()      {}
func (Cancel) action()    {}
func (Accept) action()    {}
func (WatchLost) action() {}

// call is a call in progress.
type call struct {
	Call
	startedAt  Time
	isHedge    bool // made beside a call that may have stalled: its failure is ignored
	hedgeCount int  // number of hedges made for this call
}

// Poller decides when one source of the list is called. It is not safe for concurrent use.
type Poller struct {
	settings    Settings
	rng         *rand.Rand
	now         Time
	actions     []Action
	calls       []*call // in progress, in the order in which they were made
	lastID      CallID
	generation  uint64
	haveList    bool          // a list exists to which changes can be applied
	established bool          // the watch has been answered since it began
	nextAt      Time          // time of the next call while none is in progress
	delay       time.Duration // mean delay of the next retry
	overloaded  bool          // calls are being rejected, the first one immediately
	slow        bool          // the latest call connected but was not answered in time
}

// InitialState is what a Poller starts from.
type InitialState struct {
	Generation uint64 // of the cached list
	HaveList   bool   // there is a cached list; otherwise the first call requests the full list
	Stagger    bool   // delay the first call, as many nodes may start together
}

// NewPoller returns the poller of one source.
func NewPoller(settings Settings, initial InitialState, now Time) *Poller {
	settings.PollWait = cmp.Or(settings.PollWait, DefaultPollWait)
	if settings.Pushed {
		settings.PollWait = min(settings.PollWait, localPollWait)
	}
	settings.Nodes = max(1, settings.Nodes)
	p := &Poller{settings: settings, rng: rand.New(rand.NewPCG(uint64(settings.Seed), 0x6d656d62)), now: now, generation: initial.Generation,
		haveList: initial.HaveList && !settings.Pushed, delay: initialBackoff, nextAt: now}
	if initial.Stagger && !settings.Pushed {
		p.nextAt += p.jitter(initialBackoff)
	}
	return p
}

// WatchEstablished reports whether the watch has been answered since it began.
func (p *Poller) WatchEstablished() bool { return p.established }

// Next returns when the next Ticked is due.
func (p *Poller) Next() Time {
	if len(p.calls) == 0 {
		return p.nextAt
	}
	nextAt := Time(math.MaxInt64)
	for _, inProgress := range p.calls {
		nextAt = min(nextAt, inProgress.startedAt+inProgress.Timeout)
	}
	return min(nextAt, p.hedgeAt())
}

// Handle processes an event and returns the resulting actions in order. The slice is reused by the
// next call.
func (p *Poller) Handle(now Time, event Event) []Action {
	p.now, p.actions = max(now, p.now), p.actions[:0]
	switch event := event.(type) {
	case Ticked:
		p.handleTick()
	case Answered:
		p.handleAnswer(event)
	case Failed:
		if i := p.indexOf(event.Call); i >= 0 {
			p.handleFailure(i, event.Reason)
		}
	case RestartRequested:
		p.cancelCalls()
		p.established, p.nextAt = false, p.now
		p.handleTick()
	case HedgeRequested:
		// Without a poll wait the call in progress is already answered at once.
		if len(p.calls) == 1 && p.calls[0].PollWait > 0 {
			p.call(0, false, true)
		}
	case NodesChanged:
		p.settings.Nodes = max(1, event.Nodes)
	}
	return p.actions
}

func (p *Poller) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Poller) indexOf(id CallID) int {
	return slices.IndexFunc(p.calls, func(inProgress *call) bool { return inProgress.ID == id })
}

// jitter draws uniformly from 0.5 to 1.5 times a duration.
func (p *Poller) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.rng.Float64()))
}

// cancelCalls cancels all calls in progress.
func (p *Poller) cancelCalls() {
	for _, inProgress := range p.calls {
		p.emit(Cancel{inProgress.ID})
	}
	p.calls = p.calls[:0]
}

func (p *Poller) call(pollWait time.Duration, full, isHedge bool) {
	p.lastID++
	timeout := pollWait + CallTimeout
	switch {
	case p.settings.Pushed:
		timeout = pollWait + localCallTimeout
	case p.overloaded || p.slow:
		timeout = pollWait + queuedCallTimeout
	}
	started := &call{Call: Call{ID: p.lastID, From: p.generation, Full: full || !p.haveList, PollWait: pollWait, Timeout: timeout}, startedAt: p.now, isHedge: isHedge}
	p.calls = append(p.calls, started)
	p.emit(started.Call)
}

// hedgeAt returns when the next hedge is due.
func (p *Poller) hedgeAt() Time {
	const never = Time(math.MaxInt64)
	first, last := p.calls[0], p.calls[len(p.calls)-1]
	switch {
	case p.settings.Stream:
		return never
	case p.settings.Pushed && last == first && !first.isHedge:
		return first.startedAt + first.PollWait + localHedgeDelay
	case p.settings.Pushed: // while the agent is unresponsive, one call after the other
		return last.startedAt + localRetryDelay
	case first.isHedge || first.PollWait == 0 || p.settings.PollWait <= ShortPollWait || first.hedgeCount == len(hedgeDelays):
		return never
	}
	return first.startedAt + first.PollWait + hedgeDelays[first.hedgeCount]
}

func (p *Poller) handleTick() {
	for _, inProgress := range slices.Clone(p.calls) {
		if i := p.indexOf(inProgress.ID); i >= 0 && !p.settings.Stream && p.now >= inProgress.startedAt+inProgress.Timeout {
			p.emit(Cancel{inProgress.ID})
			p.handleFailure(i, Unanswered)
		}
	}
	if len(p.calls) == 0 {
		if p.now < p.nextAt {
			return
		}
		pollWait := time.Duration(0) // an immediate answer shows whether the watch works
		if p.established {
			pollWait = p.nextPollWait()
		}
		p.call(pollWait, false, false)
		return
	}
	first := p.calls[0]
	if p.now >= p.hedgeAt() {
		first.hedgeCount++
		p.call(0, false, true)
	}
	if p.settings.Stream && !p.established && p.settings.ListPollInterval > 0 && p.now-first.startedAt >= p.settings.ListPollInterval/4 {
		p.cancelCalls()
		p.call(0, false, false)
	}
}

// nextPollWait returns the poll wait of the watch's next call.
func (p *Poller) nextPollWait() time.Duration {
	if p.settings.PollWait <= ShortPollWait {
		return p.settings.PollWait
	}
	return time.Duration(float64(p.settings.PollWait) * (minPollWaitFraction + (1-minPollWaitFraction)*p.rng.Float64()))
}

func (p *Poller) handleAnswer(answer Answered) {
	i := p.indexOf(answer.Call)
	if i < 0 {
		return // it was canceled: its answer may be older than the current list
	}
	switch answered := p.calls[i]; {
	case !answer.Full && answered.Full:
		p.handleFailure(i, Unanswered)
		return
	case !answer.Full && answer.Generation < answered.From && !p.settings.Stream:
		// Changes of an earlier generation come from a discovery that has restarted: applying them
		// would keep removed servers in use. A full list costs discovery many times as much, so it
		// is requested in no other case: when 300 nodes did so at once, they kept one another from
		// getting theirs.
		p.cancelCalls()
		p.call(0, true, false)
		return
	}
	if !p.settings.Stream {
		p.calls = slices.Delete(p.calls, i, i+1)
		p.cancelCalls()
	}
	p.generation, p.haveList, p.established, p.overloaded, p.slow, p.delay, p.nextAt = answer.Generation, true, true, false, false, initialBackoff, p.now+pollPause
	p.emit(Accept{answer.Call})
}

// handleFailure ends a call that failed. The failure of a hedge is ignored while another call is in
// progress; to a local agent the other calls continue.
func (p *Poller) handleFailure(i int, reason FailureReason) {
	ended := p.calls[i]
	p.calls = slices.Delete(p.calls, i, i+1)
	if ended.isHedge && (p.settings.Pushed || len(p.calls) > 0) {
		if len(p.calls) == 0 {
			p.nextAt = max(p.now, ended.startedAt+localRetryDelay)
		}
		return
	}
	establishing := !p.established
	if p.established = false; p.settings.Pushed { // what the agent has counts as notified: retry soon
		p.nextAt = max(p.now, ended.startedAt+localRetryDelay)
	} else {
		p.cancelCalls()
		p.scheduleRetry(ended, establishing, reason)
	}
	p.emit(WatchLost{reason})
}

// scheduleRetry sets the time of the next call after a failure: early enough for its answer to
// arrive within NotifiedAfter. An unanswered call has already waited. While calls keep being
// rejected, all nodes together exceed the capacity of discovery, and the retries are spread over
// the nodes.
func (p *Poller) scheduleRetry(ended *call, establishing bool, reason FailureReason) {
	spread, base := time.Duration(p.settings.Nodes*float64(perNodeDelay)), p.now
	delay := p.jitter(min(max(p.delay, spread), maxBackoff*2/3))
	switch wasOverloaded := p.overloaded; {
	case establishing && reason == Rejected && (wasOverloaded || p.now-ended.startedAt < immediateRejection):
		if p.overloaded = true; wasOverloaded {
			delay = max(delay, p.jitter(spread))
		}
	case establishing && reason != Rejected:
		base, p.overloaded, p.slow = ended.startedAt, false, p.now >= ended.startedAt+ended.Timeout
	}
	p.nextAt = max(p.now, base+delay)
	p.delay = min(2*p.delay, max(initialBackoff, p.settings.ListPollInterval/4))
}
