// Package memory simulates a scenario in memory: the decision module of each
// node runs against models of the servers and of discovery, in virtual time.
// It starts no goroutine and reads no clock; the same scenario and seed give
// the same history, byte for byte.
//
// node.go models what the node does on sockets (connections, timeouts, the
// check before the first byte). Package real tests the node itself.
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

// Epoch is the Unix time at which the simulated clock reads 0.
const Epoch = 1_800_000_000 * time.Second

// Limits of a run, so that a faulty node can neither hang a sweep nor exhaust
// the memory. A run that reaches one leaves requests without answers in its
// history.
const (
	maxSteps  = 4_000_000_000
	maxQueued = 50_000_000
)

// Mutant alters the actions of a module before they are carried out. Tests use
// it to check that the judge detects faulty nodes.
type Mutant func(now time.Duration, node string, e balance.Event, actions []balance.Action) []balance.Action

// Decider makes the decisions of one node: *decider.Decider, or another algorithm.
type Decider interface {
	Handle(now balance.Time, e balance.Event) []balance.Action
}

// Options configure a run.
type Options struct {
	Seed int64 // 0: the seed of the scenario
	// Decider creates the decider of a node; nil: the decision module.
	Decider     func(n scenario.Node, s balance.Settings, seed int64) Decider
	Mutant      Mutant         // nil: none
	LoadReports bool           // answers carry a load report of the server
	Fleet       *member.Config // common part of the nodes' fleet settings; nil: the scenario's
	// OnRecord, if not nil, receives the fleet record of each node when the load ends
	// or when the node stops.
	OnRecord func(version.Record)
	// ObserveRecords, if not nil, receives the fleet records of all running nodes every 100 ms.
	ObserveRecords func(now time.Duration, all []version.Record)
	// Deployment replaces the default deployment of the scenario; nil: the default.
	Deployment     *load.Deployment
	SkipDrainCheck bool // simulates a faulty node that sends to draining servers
	// ObserveEvents, if not nil, returns a function that receives each event as it
	// happens; the history that Run returns then has no events. Servers that
	// replace others are added to the setup during the run.
	ObserveEvents func(setup *history.Setup) func(*history.Event)
}

// world is the state of one run.
type world struct {
	scenario       *scenario.Scenario
	rng            *rand.Rand
	now            time.Duration
	queue          vtime.Queue[event]
	steps          uint64
	events         []history.Event
	observe        func(*history.Event)
	current        history.Event // passed to observe; reused to avoid an allocation per event
	setup          history.Setup
	machines       []*machine          // by server id - 1, including replaced ones
	byName         map[string]*machine // by server name
	nodes          []*node
	pods           map[int]*clip.Pod
	registry       *hosts.Registry
	outage         bool
	unpublished    []hosts.Entry // changes during an outage of discovery
	discoveryLag   time.Duration
	roundRobin     map[string]int // connections assigned by the front, by zone
	lastAttemptID  uint64
	mutant         Mutant
	skipDrainCheck bool
	loadReports    bool
	rotation       map[string][2][]*node // by zone: nodes that the front uses, in the zone and elsewhere
	newDecider     func(scenario.Node, balance.Settings, int64) Decider
	deployment     *load.Deployment
	openTries      map[*node][]*clientTry
	links          map[pair]link
	memberConfig   *member.Config
	onRecord       func(version.Record)
	impairments    map[[2]int]impairment // of datagrams, by sender and receiver
}

// Run simulates a scenario and returns its history.
func Run(s *scenario.Scenario, options Options) *history.History {
	if options.Seed == 0 {
		options.Seed = s.Seed
	}
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(uint64(options.Seed), 0x6d656d)), byName: map[string]*machine{},
		pods: map[int]*clip.Pod{}, registry: hosts.NewRegistry(40), roundRobin: map[string]int{}, openTries: map[*node][]*clientTry{}, links: map[pair]link{}, impairments: map[[2]int]impairment{}, memberConfig: options.Fleet, onRecord: options.OnRecord, mutant: options.Mutant, skipDrainCheck: options.SkipDrainCheck, loadReports: options.LoadReports, newDecider: options.Decider, discoveryLag: s.Discovery.NotificationDelay.Duration}
	if s.Fleet && w.memberConfig == nil {
		f, err := operator.Parse(s.Name, []byte("[fleet]\n"+s.OperatorConfig+"\n"))
		if err != nil {
			panic(err) // scenario.Check has parsed it
		}
		m := f.Fleet.MemberConfig()
		w.memberConfig = &m
	}
	if w.deployment = options.Deployment; w.deployment == nil {
		w.deployment = load.DefaultDeployment(s)
	}
	w.setup = history.Setup{Scenario: s.Name, Seed: options.Seed, Length: s.Length.Duration, Classes: w.deployment.Classes, Limits: w.deployment.Limits}
	for _, x := range s.Nodes() {
		w.setup.Nodes = append(w.setup.Nodes, history.Node{Name: x.Name, Zone: x.Zone})
	}
	if options.ObserveEvents != nil {
		w.observe = options.ObserveEvents(&w.setup)
	}
	for _, x := range s.Servers() {
		w.addServer(x)
	}
	w.registry.Advance(0)
	for _, x := range s.Nodes() {
		n := &node{Node: x, world: w}
		if w.nodes = append(w.nodes, n); x.Number < s.InitialNodes() {
			n.start()
		}
	}
	for i := range s.Faults {
		w.scheduleFault(&s.Faults[i])
	}

	w.at(s.Length.Duration, func() {
		for _, n := range w.nodes {
			n.reportRecord()
		}
	})
	if options.ObserveRecords != nil {
		w.observeRecords(options.ObserveRecords)
	}
	w.scheduleArrivals(load.NewDeploymentStream(s, w.deployment, options.Seed))
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
		if e.call != nil {
			e.call()
		} else {
			e.target.handleEvent(e.kind, e.arg)
		}
	}
	return &history.History{Setup: w.setup, Events: w.events, Steps: w.steps}
}

// event is a scheduled event: a call, or, for frequent events, a target with a
// kind and an argument, which needs no allocation.
type event struct {
	call   func()
	target eventTarget
	kind   eventKind
	arg    uint64
}

// eventTarget handles scheduled events.
type eventTarget interface {
	handleEvent(kind eventKind, arg uint64)
}

type eventKind uint8

// at schedules a call. Events of the same time run in the order in which they
// were scheduled.
func (w *world) at(t time.Duration, call func()) {
	w.queue.Push(max(t, w.now), event{call: call})
}

// schedule schedules an event for a target.
func (w *world) schedule(t time.Duration, target eventTarget, kind eventKind, arg uint64) {
	w.queue.Push(max(t, w.now), event{target: target, kind: kind, arg: arg})
}

func (w *world) after(delay time.Duration, call func()) { w.at(w.now+delay, call) }

func (w *world) record(e history.Event) {
	e.At = w.now
	if w.observe != nil {
		w.current = e
		w.observe(&w.current)
		return
	}
	w.events = append(w.events, e)
}

// jitter returns a random delay within 20% of d.
func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*w.rng.Float64()))
}

// networkDelay returns the one-way delay between two zones.
func (w *world) networkDelay(a, b string) time.Duration {
	if a == b {
		return w.jitter(w.scenario.Net.SameZone.Duration)
	}
	return w.jitter(w.scenario.Net.CrossZone.Duration)
}
