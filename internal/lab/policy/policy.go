// Package policy implements load-balancing policies that the lab's simulated
// runs compare with the nodes: common published policies, and proxies that
// package steer controls over xDS. All but the nodes retry as the routes of
// internal/xds prescribe and shed no load themselves.
package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
	"ivylock/steer"
)

// Name identifies a policy.
type Name string

// The policies.
const (
	Nodes          Name = "nodes"    // nodes with package balance
	XDS            Name = "xds"      // proxies controlled by the control service
	TwoChoices     Name = "least"    // power of two choices by this proxy's requests in flight (Mitzenmacher)
	LeastRequests  Name = "fewest"   // least requests of this proxy in flight, of all servers
	Random         Name = "chance"   // uniformly random
	RoundRobin     Name = "turn"     // each server in turn
	PeakEWMA       Name = "ewma"     // two choices by peak-sensitive latency times requests (Finagle, Linkerd)
	WeightedRandom Name = "weighted" // by reported answers per second over utilisation (gRPC A58)
	Prequal        Name = "prequal"  // pool of probes: hot or cold, then latency (Wydrowski et al., NSDI 2024)
	Aperture       Name = "aperture" // two choices within a fixed subset of the servers (Finagle)
)

// Herd makes all proxies send to the same server, a different one each second. It
// is not part of All: tests use it to check that herding is detected.
const Herd Name = "herd"

// All lists the policies that are compared.
var All = []Name{Nodes, XDS, TwoChoices, Random, LeastRequests, RoundRobin, PeakEWMA, WeightedRandom, Prequal, Aperture}

// Options returns the options for one run under a policy. They must not be reused.
func Options(name Name, seed int64) memory.Options {
	return OptionsWithControls(name, seed, ControlPlane{})
}

// OptionsWithControls is Options with a given control plane, which only XDS uses.
func OptionsWithControls(name Name, seed int64, controls ControlPlane) memory.Options {
	return memory.Options{Seed: seed, Decider: deciders(name, controls), LoadReports: name == WeightedRandom}
}

// deciders returns memory.Options.Decider for one run; nil for Nodes.
func deciders(name Name, controls ControlPlane) func(scenario.Node, balance.Settings, int64) memory.Decider {
	if name == Nodes {
		return nil
	}
	services := newServices(controls)
	return func(node scenario.Node, s balance.Settings, seed int64) memory.Decider {
		p := &proxy{id: steer.ProxyID(node.Name), zone: node.Zone, settings: s, rng: rand.New(rand.NewPCG(uint64(seed), 11)),
			open: map[balance.RequestID]*request{}, classes: map[string]balance.Class{}}
		for _, class := range s.Classes {
			p.classes[class.Name] = class
		}
		switch name {
		case XDS:
			for _, service := range services.all {
				service.configure(s, controls)
			}
			p.services, p.homeService = services, node.Number
			p.selectService(0)
			p.selector = &steered{proxy: p}
		case TwoChoices:
			p.selector = &twoChoices{rng: p.rng}
		case LeastRequests:
			p.selector = &leastRequests{rng: p.rng}
		case RoundRobin:
			p.selector = &roundRobin{next: p.rng.IntN(1 << 20)}
		case PeakEWMA:
			p.selector = &peakEWMA{rng: p.rng}
		case WeightedRandom:
			p.selector = &weightedRandom{rng: p.rng}
		case Prequal:
			p.selector = &prequal{proxy: p}
		case Aperture:
			p.selector = &aperture{rng: p.rng, self: s.Self, proxies: s.Nodes}
		case Herd:
			p.selector = &herd{}
		default:
			p.selector = &random{rng: p.rng}
		}
		return p
	}
}

// selector is the algorithm of a policy.
type selector interface {
	// serversChanged receives the ready servers in order of their ids, whenever
	// they change.
	serversChanged(now balance.Time, ready []*server)
	// pick selects a server from a list that is not empty. all is true if the list
	// contains every ready server, false if only the candidates of a retry.
	pick(now balance.Time, from []*server, all bool) *server
	// attemptSent and attemptFinished report attempts; s.inFlight already
	// includes the change.
	attemptSent(now balance.Time, s *server)
	attemptFinished(now balance.Time, s *server, e *balance.AttemptEnded)
}

// noCallbacks is embedded in selectors that keep no state about attempts or servers.
type noCallbacks struct{}

func (noCallbacks) serversChanged(balance.Time, []*server)                       {}
func (noCallbacks) attemptSent(balance.Time, *server)                            {}
func (noCallbacks) attemptFinished(balance.Time, *server, *balance.AttemptEnded) {}

// server is a proxy's state of one server. The last group of fields belongs to
// the selectors.
type server struct {
	balance.Server
	inFlight int        // attempts of this proxy in flight
	load     steer.Load // counts since the last report

	bucketIndex int // leastRequests: index in the bucket
	inBucket    bool
	latency     float64 // peakEWMA and prequal: smoothed latency in s
	latencyAt   balance.Time
	weight      float64 // weightedRandom: answers per second over utilisation
	reportedAt  balance.Time
	blackoutEnd float64 // weightedRandom: s; until then the weight is not used
	summary     probe   // unused
}

type request struct {
	id         balance.RequestID
	class      balance.Class
	rule       steer.RetryRule
	start      balance.Time
	attempts   int
	isRetry    bool // whether the attempt in flight is a retry
	pod        int  // that retries are limited to; -1: any
	tried      []balance.ServerID
	mayHaveRun bool // an attempt may have run
}

// proxy is a simulated proxy with one of the policies. It is a memory.Decider.
type proxy struct {
	selector
	id           steer.ProxyID
	zone         string
	settings     balance.Settings
	rng          *rand.Rand
	services     *controlServices // XDS only
	homeService  int              // index of its own control service
	control      *controlService  // the service in use
	frozenState  *steer.State     // the state kept by a frozen proxy
	table        *table           // of the frozen state
	servers      []*server        // by id
	ready        []*server        // in order of their ids
	candidates   []*server        // buffer, reused
	open         map[balance.RequestID]*request
	classes      map[string]balance.Class
	started      bool
	listFailedAt balance.Time // when the last list request failed; 0: no retry is pending
	reportedAt   balance.Time

	priorityArrivals, otherArrivals uint64 // since the last report

	activeAttempts int // attempts in flight
	activeRetries  int // of them, retries
	actions        []balance.Action
}

// Handle implements memory.Decider.
func (p *proxy) Handle(now balance.Time, e balance.Event) []balance.Action {
	p.actions = p.actions[:0]
	if !p.started {
		p.started, p.reportedAt = true, now
		p.emit(balance.Subscribe{On: true})
		p.emit(balance.SetTimer{After: steer.TickInterval})
	}
	switch e := e.(type) {
	case balance.RequestArrived:
		p.arrive(now, &e)
	case *balance.RequestArrived:
		p.arrive(now, e)
	case balance.AttemptEnded:
		p.attemptEnded(now, &e)
	case *balance.AttemptEnded:
		p.attemptEnded(now, e)
	case balance.RequestAbandoned:
		if r := p.open[e.ID]; r != nil && r.isRetry {
			p.activeRetries--
		}
		delete(p.open, e.ID)
	case balance.ListUpdate:
		p.updateList(now, e)
	case balance.ProbeEnded:
		if s := p.serverOf(e.Server); s == nil {
		} else if p.control != nil {
			p.control.handle(now, steer.ProbeResult{Server: steerID(s.ID), OK: e.Code == balance.OK, Elapsed: e.Elapsed})
		} else if selector, ok := p.selector.(*prequal); ok {
			selector.probed(now, s, &e)
		}
	case balance.TimerFired, *balance.TimerFired:
		p.tick(now)
	}
	return p.actions
}

func (p *proxy) emit(a balance.Action) { p.actions = append(p.actions, a) }

func (p *proxy) serverOf(id balance.ServerID) *server {
	if int(id) < len(p.servers) {
		return p.servers[id]
	}
	return nil
}

func (p *proxy) updateList(now balance.Time, e balance.ListUpdate) {
	switch e.Kind {
	case balance.ListFailed:
		p.listFailedAt = now
		return
	case balance.ListFull, balance.ListCached:
		for _, s := range p.servers {
			if s != nil {
				s.State = balance.Removed
			}
		}
	}
	p.listFailedAt = 0
	for _, x := range e.Entries {
		for int(x.ID) >= len(p.servers) { // the lab numbers servers from 0
			p.servers = append(p.servers, nil)
		}
		if s := p.servers[x.ID]; s != nil {
			s.Server = x
		} else if x.State != balance.Removed {
			p.servers[x.ID] = &server{Server: x}
		}
	}
	p.ready = p.ready[:0]
	for _, s := range p.servers {
		if s != nil && s.State == balance.Ready {
			p.ready = append(p.ready, s)
		}
	}
	p.selector.serversChanged(now, p.ready)
	if p.services != nil {
		p.services.updateServers(now, e.Kind == balance.ListCached, p.servers)
	}
}

func (p *proxy) tick(now balance.Time) {
	p.emit(balance.SetTimer{After: steer.TickInterval})
	if p.listFailedAt != 0 && now-p.listFailedAt >= 200*time.Millisecond {
		p.listFailedAt = 0
		p.emit(balance.Subscribe{On: true})
	}
	if p.control != nil {
		p.selectService(now)
		p.freezeIfDue(now)
		p.control.tick(now, p)
	}
}

// isPriority reports whether a class has priority, which means that its value is
// above the mean of all classes. Priority classes are shed last.
func (p *proxy) isPriority(class balance.Class) bool {
	sum := 0.0
	for _, c := range p.settings.Classes {
		sum += c.Value
	}
	return class.Value > sum/float64(len(p.settings.Classes))
}

func (p *proxy) arrive(now balance.Time, e *balance.RequestArrived) {
	class := p.classes[e.Class]
	r := &request{id: e.ID, class: class, rule: steer.RetryRuleFor(class), start: now, pod: -1}
	if p.control != nil && p.control.shouldDrop(now, p, p.isPriority(class)) {
		p.emit(balance.Refuse{ID: r.id})
		return
	}
	p.open[e.ID] = r
	if p.control != nil && p.activeAttempts >= p.control.maxRequests(now, p) { // circuit breaker
		p.finishUnserved(r)
		return
	}
	p.sendAttempt(now, r)
}

// sendAttempt sends the next attempt of a request, or ends the request if there is
// no server for it.
func (p *proxy) sendAttempt(now balance.Time, r *request) {
	s := p.pickServer(now, r)
	if s == nil {
		p.finishUnserved(r)
		return
	}
	r.attempts++
	p.activeAttempts++
	if r.isRetry = r.attempts > 1; r.isRetry {
		p.activeRetries++
	}
	r.tried = append(r.tried, s.ID)
	if r.rule.SamePod {
		r.pod = s.Cell
	}
	s.inFlight++
	s.load.Issued++
	p.selector.attemptSent(now, s)
	p.emit(balance.Send{Sending: &balance.Sending{ID: r.id, Server: s.ID, Timeout: r.rule.AttemptTimeout}})
}

// pickServer returns a ready server, preferably one that the request has not
// tried, or nil if there is none.
func (p *proxy) pickServer(now balance.Time, r *request) *server {
	if r.attempts == 0 && len(p.ready) > 0 {
		return p.selector.pick(now, p.ready, true)
	}
	for _, repeat := range []bool{false, true} {
		p.candidates = p.candidates[:0]
		for _, s := range p.ready {
			if (r.pod < 0 || s.Cell == r.pod) && (repeat || !slices.Contains(r.tried, s.ID)) {
				p.candidates = append(p.candidates, s)
			}
		}
		if len(p.candidates) > 0 {
			return p.selector.pick(now, p.candidates, false)
		}
	}
	return nil
}

// finishUnserved refuses a request that cannot have run, and fails any other.
func (p *proxy) finishUnserved(r *request) {
	if r.mayHaveRun {
		p.emit(balance.Fail{ID: r.id})
	} else {
		p.emit(balance.Refuse{ID: r.id})
	}
	delete(p.open, r.id)
}

func (p *proxy) attemptEnded(now balance.Time, e *balance.AttemptEnded) {
	r := p.open[e.ID]
	if s := p.serverOf(e.Server); s != nil {
		s.inFlight = max(0, s.inFlight-1)
		switch e.Code {
		case balance.OK:
			s.load.OK++
		case balance.Moot, balance.Cancelled:
		default:
			s.load.Errors++
		}
		p.selector.attemptFinished(now, s, e)
	}
	p.activeAttempts = max(0, p.activeAttempts-1)
	if r == nil {
		return
	}
	if r.isRetry {
		p.activeRetries--
	}
	if e.RequestDone || e.Code == balance.OK {
		delete(p.open, e.ID)
		return
	}
	notRun := e.Code == balance.Full || e.Code == balance.ConnectFailed || e.Code == balance.Moot
	r.mayHaveRun = r.mayHaveRun || !notRun
	retry := !r.mayHaveRun || r.rule.MayHaveRun && (r.rule.TotalTimeout == 0 || now-r.start < r.rule.TotalTimeout)
	if p.control != nil && p.activeRetries >= max(steer.MinRetryConcurrency, steer.RetryBudgetPercent*p.activeAttempts/100) {
		retry = false
	}
	if !retry || r.attempts >= steer.MaxAttempts {
		p.finishUnserved(r)
		return
	}
	p.sendAttempt(now, r)
}
