// Package memory runs a scenario in memory: the decision module of each node
// against the stand-ins' models, under virtual time. It starts no goroutine
// and reads no clock; the same scenario and seed give the same history, byte
// for byte.
//
// What the node's shell does on sockets (connections, time-outs, the check
// before the first byte) is modelled here by node.go as design.md states it;
// the real shell is tested by package real.
package memory

import (
	"math/rand/v2"
	"time"

	"ivylock/balance"
	"ivylock/fleet/member"
	"ivylock/fleet/version"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/vtime"
	"ivylock/internal/operator"
)

// Epoch is the Unix time at which the lab's clock reads 0 in memory.
const Epoch = 1_800_000_000 * time.Second

// Bounds of a run: a node that sends for ever must not hang a sweep, nor one
// that plans ever more things at once fill the memory. A run that is cut short
// shows in its history as requests without answers.
const (
	maxSteps  = 4_000_000_000
	maxQueued = 50_000_000
)

// Mutant changes what a module wants done before it is done. It is how the
// judge is shown to catch a broken node.
type Mutant func(now time.Duration, node string, e balance.Event, actions []balance.Action) []balance.Action

// Decider decides for one node: *decider.Decider, or what it is compared with.
type Decider interface {
	Handle(now balance.Time, e balance.Event) []balance.Action
}

// Options of a run.
type Options struct {
	Seed int64 // 0: the scenario's
	// Decider makes each node's; nil: the decision module.
	Decider     func(n scenario.Node, s balance.Settings, seed int64) Decider
	Mutant      Mutant         // nil: none
	LoadReports bool           // answers carry the server's load report
	Fleet       *member.Config // of the nodes' fleet, but for what each has of its own; nil: the defaults
	// Records, if not nil, is given each node's record of what it acted on at the end of
	// the load, and those of nodes that end before.
	OnRecord func(version.Record)
	// Look, if not nil, is given the records of all nodes that run, ten times a second.
	ObserveRecords func(now time.Duration, all []version.Record)
	// Deployment is another one than the brief's; nil: that.
	Deployment     *load.Deployment
	SkipDrainCheck bool // a broken shell: it sends without looking again whether the server drains
	// ObserveEvents is given each event as it happens, and the history that Run gives
	// back has none: a whole fleet's would not fit. The setup grows by servers
	// that replace others. nil: all events are kept.
	ObserveEvents func(setup *history.Setup) func(*history.Event)
}

// world is one run.
type world struct {
	s        *scenario.Scenario
	rng      *rand.Rand
	now      time.Duration
	queue    vtime.Queue[event]
	steps    uint64
	events   []history.Event
	watch    func(*history.Event)
	told     history.Event // that watch is given
	setup    history.Setup
	machines []*machine          // by instance number - 1, also replaced ones
	byName   map[string]*machine // by server name
	nodes    []*node
	pods     map[int]*clip.Pod
	registry *hosts.Registry
	outage   bool
	unsaid   []hosts.Entry // what discovery has learnt and nobody could ask for
	lag      time.Duration
	turn     map[string]int // the front's round robin, by hall
	attempts uint64
	mutant   Mutant
	deaf     bool
	reports  bool
	dealt    map[string][2][]*node // by hall: the nodes in it that the front sends requests to, and the others
	decider  func(scenario.Node, balance.Settings, int64) Decider
	deploy   *load.Deployment
	open     map[*node][]*client // that wait at a node
	links    map[pair]link
	member   *member.Config
	records  func(version.Record)
	ways     map[[2]int]way // of datagrams, that are not as usual
}

// Run plays a scenario and gives its history.
func Run(s *scenario.Scenario, o Options) *history.History {
	if o.Seed == 0 {
		o.Seed = s.Seed
	}
	w := &world{s: s, rng: rand.New(rand.NewPCG(uint64(o.Seed), 0x6d656d)), byName: map[string]*machine{},
		pods: map[int]*clip.Pod{}, registry: hosts.NewRegistry(40), turn: map[string]int{}, open: map[*node][]*client{}, links: map[pair]link{}, ways: map[[2]int]way{}, member: o.Fleet, records: o.OnRecord, mutant: o.Mutant, deaf: o.SkipDrainCheck, reports: o.LoadReports, decider: o.Decider, lag: s.Hosts.Lag.Duration}
	if s.Fleet && w.member == nil {
		f, err := operator.Parse(s.Name, []byte("[fleet]\n"+s.Oper+"\n"))
		if err != nil {
			panic(err) // a scenario's own text: its check has read it
		}
		m := f.Fleet.Member()
		w.member = &m
	}
	if w.deploy = o.Deployment; w.deploy == nil {
		w.deploy = load.Brief(s)
	}
	w.setup = history.Setup{Scenario: s.Name, Seed: o.Seed, Length: s.Length.Duration, Classes: w.deploy.Classes, Limits: w.deploy.Limits}
	for _, x := range s.Nodes() {
		w.setup.Nodes = append(w.setup.Nodes, history.Node{Name: x.Name, Hall: x.Hall})
	}
	if o.ObserveEvents != nil {
		w.watch = o.ObserveEvents(&w.setup)
	}
	for _, x := range s.Servers() {
		w.addServer(x)
	}
	w.registry.Advance(0)
	for _, x := range s.Nodes() {
		n := &node{Node: x, w: w}
		if w.nodes = append(w.nodes, n); x.Number < s.AtFirst() {
			n.start()
		}
	}
	for i := range s.Faults {
		w.planFault(&s.Faults[i])
	}

	w.at(s.Length.Duration, func() {
		for _, n := range w.nodes {
			n.tellRecord()
		}
	})
	if o.ObserveRecords != nil {
		w.look(o.ObserveRecords)
	}
	w.arrivals(load.NewStreamOf(s, w.deploy, o.Seed))
	longest := time.Duration(0)
	for _, c := range w.setup.Classes {
		longest = max(longest, c.Deadline)
	}
	end := s.End() + longest + time.Second
	for ; w.queue.Len() < maxQueued && w.steps < maxSteps; w.steps++ {
		at, e, ok := w.queue.Pop()
		if !ok || at > end {
			break
		}
		w.now = max(w.now, at)
		if e.do != nil {
			e.do()
		} else {
			e.on.happen(e.what, e.n)
		}
	}
	return &history.History{Setup: w.setup, Events: w.events, Steps: w.steps}
}

// event is something that is planned: a call, or, where it comes with every
// request, what happens to something and a number, which makes no garbage.
type event struct {
	do   func()
	on   subject
	what what
	n    uint64
}

// subject is what things happen to.
type subject interface{ happen(what what, n uint64) }

type what uint8

// at plans something for a time; what is planned for one moment is done in
// the order of planning.
func (w *world) at(t time.Duration, do func()) {
	w.queue.Push(max(t, w.now), event{do: do})
}

// plan plans what happens to something.
func (w *world) plan(t time.Duration, on subject, what what, n uint64) {
	w.queue.Push(max(t, w.now), event{on: on, what: what, n: n})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) record(e history.Event) {
	e.At = w.now
	if w.watch != nil {
		w.told = e // one place for all: an event of its own each time is a quarter of the garbage
		w.watch(&w.told)
		return
	}
	w.events = append(w.events, e)
}

// jitter gives a delay within a fifth of d.
func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*w.rng.Float64()))
}

// between is the one-way delay between two halls.
func (w *world) between(a, b string) time.Duration {
	if a == b {
		return w.jitter(w.s.Net.SameHall.Duration)
	}
	return w.jitter(w.s.Net.CrossHall.Duration)
}
