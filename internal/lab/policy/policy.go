// Package policy has ways to choose a server that the lab's runs in memory
// compare with our nodes: the field's usual ones, each after its public
// description, and a proxy that package steer steers over xDS. All but the
// nodes try again as the routes of internal/xds say, and refuse nothing of
// their own.
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

// Name is how a server is chosen.
type Name string

// The ways.
const (
	Nodes          Name = "nodes"    // our nodes, with the decision module
	XDS            Name = "xds"      // proxies steered by the control service
	TwoChoices     Name = "least"    // the one with fewer requests of this proxy, of two by chance (Mitzenmacher)
	LeastRequests  Name = "fewest"   // the one with the fewest requests of this proxy, of all
	Random         Name = "chance"   // any
	RoundRobin     Name = "turn"     // one after another
	PeakEWMA       Name = "ewma"     // of two, by peak-sensitive latency times requests (Finagle, Linkerd)
	WeightedRandom Name = "weighted" // by answers a second over utilisation, as servers report them (gRPC A58)
	Prequal        Name = "prequal"  // by a pool of probes, hot or cold, then latency (Wydrowski and others, NSDI 2024)
	Aperture       Name = "aperture" // of two within a part of the servers, the same for its life (Finagle)
)

// Herd is none to compare with: in each second all go for the same server. It is
// what a measure of herding must see.
const Herd Name = "herd"

// All lists them all; the first four are those of old.
var All = []Name{Nodes, XDS, TwoChoices, Random, LeastRequests, RoundRobin, PeakEWMA, WeightedRandom, Prequal, Aperture}

// Options gives the run's options for a way. They serve one run.
func Options(way Name, seed int64) memory.Options {
	return OptionsWithControls(way, seed, ControlPlane{})
}

// OptionsWithControls is Options with several control services, for steered proxies.
func OptionsWithControls(way Name, seed int64, c ControlPlane) memory.Options {
	return memory.Options{Seed: seed, Decider: deciders(way, c), LoadReports: way == WeightedRandom}
}

// deciders gives what Options.Decider wants, for one run. For Nodes it is nil.
func deciders(way Name, with ControlPlane) func(scenario.Node, balance.Settings, int64) memory.Decider {
	if way == Nodes {
		return nil
	}
	services := newServices(with)
	return func(n scenario.Node, s balance.Settings, seed int64) memory.Decider {
		p := &proxy{id: steer.ProxyID(n.Name), hall: n.Zone, set: s, rnd: rand.New(rand.NewPCG(uint64(seed), 11)),
			open: map[balance.RequestID]*request{}, classes: map[string]balance.Class{}}
		for _, x := range s.Classes {
			p.classes[x.Name] = x
		}
		switch way {
		case XDS:
			for _, c := range services.all {
				c.begin(s, with)
			}
			p.services, p.home = services, n.Number
			p.turn(0)
			p.chooser = &steered{proxy: p}
		case TwoChoices:
			p.chooser = &leastOfTwo{rnd: p.rnd}
		case LeastRequests:
			p.chooser = &fewest{rnd: p.rnd}
		case RoundRobin:
			p.chooser = &turn{at: p.rnd.IntN(1 << 20)}
		case PeakEWMA:
			p.chooser = &ewma{rnd: p.rnd}
		case WeightedRandom:
			p.chooser = &weighted{rnd: p.rnd}
		case Prequal:
			p.chooser = &prequal{proxy: p}
		case Aperture:
			p.chooser = &aperture{rnd: p.rnd, self: s.Self, proxies: s.Nodes}
		case Herd:
			p.chooser = &herd{}
		default:
			p.chooser = &chance{rnd: p.rnd}
		}
		return p
	}
}

// chooser is a way to choose.
type chooser interface {
	// listed takes the servers that may be used, in order of their ids, each
	// time that they change.
	listed(now balance.Time, ready []*server)
	// choose picks one of some, of which there is at least one. all says that
	// they are those that were listed; else some may not be used this time.
	choose(now balance.Time, from []*server, all bool) *server
	// sent and ended tell of attempts; s.out has been changed by then.
	sent(now balance.Time, s *server)
	ended(now balance.Time, s *server, e *balance.AttemptEnded)
}

// quiet is for choosers that need not be told of attempts, or of the list.
type quiet struct{}

func (quiet) listed(balance.Time, []*server)                     {}
func (quiet) sent(balance.Time, *server)                         {}
func (quiet) ended(balance.Time, *server, *balance.AttemptEnded) {}

// server is one as a proxy knows it. Its last fields are the choosers'.
type server struct {
	balance.Server
	out  int // attempts of this proxy
	load steer.Load

	place   int // fewest: where it stands among those with as many
	inRow   bool
	cost    float64 // ewma: s
	costAt  balance.Time
	weight  float64 // weighted
	toldAt  balance.Time
	pass    float64
	summary probe // prequal: the last probe, while it is in the pool
}

type request struct {
	id       balance.RequestID
	class    balance.Class
	rule     steer.RetryRule
	began    balance.Time
	attempts int
	again    bool // the attempt that is out is a further one
	pod      int
	tried    []balance.ServerID
	hazard   bool // an attempt may have run
}

// proxy is a stand-in for one node's module.
type proxy struct {
	chooser
	id       steer.ProxyID
	hall     string
	set      balance.Settings
	rnd      *rand.Rand
	services *services    // steered ones
	home     int          // the place of its own service
	control  *control     // that it follows
	frozen   *steer.State // what it keeps to, if it is frozen
	table    *table       // of that
	servers  []*server    // by id
	ready    []*server    // in order of their ids
	fit      []*server    // kept from call to call
	open     map[balance.RequestID]*request
	classes  map[string]balance.Class
	begun    bool
	asked    balance.Time // when the list was last asked for; 0: it is there
	reported balance.Time
	in1, in2 uint64
	active   int // attempts that are out
	further  int // of them, those that are not a request's first
	out      []balance.Action
}

// Handle does what a proxy would.
func (p *proxy) Handle(now balance.Time, e balance.Event) []balance.Action {
	p.out = p.out[:0]
	if !p.begun {
		p.begun, p.reported = true, now
		p.do(balance.Subscribe{On: true})
		p.do(balance.SetTimer{After: steer.TickInterval})
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
		if r := p.open[e.ID]; r != nil && r.again {
			p.further--
		}
		delete(p.open, e.ID)
	case balance.ListUpdate:
		p.follow(now, e)
	case balance.ProbeEnded:
		if s := p.serverOf(e.Server); s == nil {
		} else if p.control != nil {
			p.control.feed(now, steer.ProbeResult{Server: steerID(s.ID), OK: e.Code == balance.OK, Elapsed: e.Elapsed})
		} else if c, is := p.chooser.(*prequal); is {
			c.probed(now, s, &e)
		}
	case balance.TimerFired, *balance.TimerFired:
		p.tick(now)
	}
	return p.out
}

func (p *proxy) do(a balance.Action) { p.out = append(p.out, a) }

func (p *proxy) serverOf(id balance.ServerID) *server {
	if int(id) < len(p.servers) {
		return p.servers[id]
	}
	return nil
}

func (p *proxy) follow(now balance.Time, e balance.ListUpdate) {
	switch e.Kind {
	case balance.ListFailed:
		p.asked = now
		return
	case balance.ListFull, balance.ListCached:
		for _, s := range p.servers {
			if s != nil {
				s.State = balance.Removed
			}
		}
	}
	p.asked = 0
	for _, x := range e.Entries {
		for int(x.ID) >= len(p.servers) { // ids are small numbers in the lab
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
	p.chooser.listed(now, p.ready)
	if p.services != nil {
		p.services.listed(now, e.Kind == balance.ListCached, p.servers)
	}
}

func (p *proxy) tick(now balance.Time) {
	p.do(balance.SetTimer{After: steer.TickInterval})
	if p.asked != 0 && now-p.asked >= 200*time.Millisecond {
		p.asked = 0
		p.do(balance.Subscribe{On: true})
	}
	if p.control != nil {
		p.turn(now)
		p.freeze(now)
		p.control.tick(now, p)
	}
}

// priority says which classes are refused last: those worth more than the mean.
func (p *proxy) priority(c balance.Class) bool {
	sum := 0.0
	for _, x := range p.set.Classes {
		sum += x.Value
	}
	return c.Value > sum/float64(len(p.set.Classes))
}

func (p *proxy) arrive(now balance.Time, e *balance.RequestArrived) {
	c := p.classes[e.Class]
	r := &request{id: e.ID, class: c, rule: steer.RetryRuleFor(c), began: now, pod: -1}
	if p.control != nil && p.control.refuses(now, p, p.priority(c)) {
		p.do(balance.Refuse{ID: r.id})
		return
	}
	p.open[e.ID] = r
	if p.control != nil && p.active >= p.control.most(now, p) { // the circuit's limit
		p.giveUp(r)
		return
	}
	p.attempt(now, r)
}

// attempt sends, or ends the request if there is nobody to send it to.
func (p *proxy) attempt(now balance.Time, r *request) {
	s := p.server(now, r)
	if s == nil {
		p.giveUp(r)
		return
	}
	r.attempts++
	p.active++
	if r.again = r.attempts > 1; r.again {
		p.further++
	}
	r.tried = append(r.tried, s.ID)
	if r.rule.SamePod {
		r.pod = s.Cell
	}
	s.out++
	s.load.Issued++
	p.chooser.sent(now, s)
	p.do(balance.Send{Sending: &balance.Sending{ID: r.id, Server: s.ID, Timeout: r.rule.AttemptTimeout}})
}

// server picks one, a server that was not tried if there is any.
func (p *proxy) server(now balance.Time, r *request) *server {
	if r.attempts == 0 && len(p.ready) > 0 {
		return p.chooser.choose(now, p.ready, true)
	}
	for _, again := range []bool{false, true} {
		p.fit = p.fit[:0]
		for _, s := range p.ready {
			if (r.pod < 0 || s.Cell == r.pod) && (again || !slices.Contains(r.tried, s.ID)) {
				p.fit = append(p.fit, s)
			}
		}
		if len(p.fit) > 0 {
			return p.chooser.choose(now, p.fit, false)
		}
	}
	return nil
}

func (p *proxy) giveUp(r *request) {
	if r.hazard {
		p.do(balance.Fail{ID: r.id})
	} else {
		p.do(balance.Refuse{ID: r.id})
	}
	delete(p.open, r.id)
}

func (p *proxy) attemptEnded(now balance.Time, e *balance.AttemptEnded) {
	r := p.open[e.ID]
	if s := p.serverOf(e.Server); s != nil {
		s.out = max(0, s.out-1)
		switch e.Code {
		case balance.OK:
			s.load.OK++
		case balance.Moot, balance.Cancelled:
		default:
			s.load.Errors++
		}
		p.chooser.ended(now, s, e)
	}
	p.active = max(0, p.active-1)
	if r == nil {
		return
	}
	if r.again {
		p.further--
	}
	if e.RequestDone || e.Code == balance.OK {
		delete(p.open, e.ID)
		return
	}
	unseen := e.Code == balance.Full || e.Code == balance.ConnectFailed || e.Code == balance.Moot
	r.hazard = r.hazard || !unseen
	again := !r.hazard || r.rule.MayHaveRun && (r.rule.TotalTimeout == 0 || now-r.began < r.rule.TotalTimeout)
	if p.control != nil && p.further >= max(steer.MinRetryConcurrency, steer.RetryBudgetPercent*p.active/100) {
		again = false
	}
	if !again || r.attempts >= steer.MaxAttempts {
		p.giveUp(r)
		return
	}
	p.attempt(now, r)
}
