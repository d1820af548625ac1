// Package steered puts other ways to choose a server in the place of a node's
// decision module, in the lab's runs in memory: by chance, by the least
// requests of two, and as a proxy does that package steer steers over xDS.
// All three try again as the routes of internal/xds say.
package steered

import (
	"math/rand/v2"
	"time"

	"barrowscale/balance"
	"barrowscale/internal/lab/memory"
	"barrowscale/internal/lab/scenario"
	"barrowscale/steer"
)

// Way is how a server is chosen.
type Way string

// The ways.
const (
	Nodes  Way = "nodes"  // our nodes, with the decision module
	Steer  Way = "xds"    // proxies steered by the control service
	Least  Way = "least"  // the one with fewer requests of this proxy, of two by chance
	Chance Way = "chance" // any
)

// Ways lists them all.
var Ways = []Way{Nodes, Steer, Least, Chance}

const (
	newsDelay   = 5 * time.Millisecond // from the control service to a proxy
	reportEvery = time.Second
)

// Deciders gives what Options.Decider wants, for one run. For Nodes it is nil.
func Deciders(way Way) func(scenario.Node, balance.Settings, int64) memory.Decider {
	if way == Nodes {
		return nil
	}
	c := &control{}
	return func(n scenario.Node, s balance.Settings, seed int64) memory.Decider {
		if way == Steer {
			c.begin(s)
		}
		p := &proxy{way: way, id: steer.ProxyID(n.Name), hall: n.Hall, set: s, rnd: rand.New(rand.NewPCG(uint64(seed), 11)),
			servers: map[balance.ServerID]*server{}, open: map[balance.RequestID]*request{}, classes: map[string]balance.Class{}}
		for _, x := range s.Classes {
			p.classes[x.Name] = x
		}
		if way == Steer {
			p.control = c
			c.feed(0, steer.Joined{Proxy: p.id, Zone: p.hall})
		}
		return p
	}
}

// control is the control service of a run: one steer.Module, and its states
// with the time from which proxies have them.
type control struct {
	module *steer.Module
	clock  balance.Time
	ticked balance.Time
	states []stamped
	probe  []steer.ServerID // that it wants probed
}

type stamped struct {
	at    balance.Time
	state *steer.State
}

func (c *control) begin(s balance.Settings) {
	if c.module != nil {
		return
	}
	m, err := steer.New(steer.Settings{Classes: s.Classes, ColdFrom: s.ColdFrom, ColdTime: s.ColdTime, OverloadFactor: s.OverloadFactor})
	if err != nil {
		panic(err) // the lab's settings are its own
	}
	c.module = m
}

func (c *control) feed(now balance.Time, e steer.Event) {
	c.clock = max(c.clock, now)
	for _, a := range c.module.Handle(c.clock, e) {
		switch a := a.(type) {
		case steer.Publish:
			c.states = append(c.states, stamped{c.clock + newsDelay, a.State})
		case steer.Probe:
			c.probe = append(c.probe, a.Server)
		}
	}
}

// state gives what proxies have by now.
func (c *control) state(now balance.Time) *steer.State {
	for len(c.states) > 1 && c.states[1].at <= now {
		c.states = c.states[1:]
	}
	if len(c.states) == 0 || c.states[0].at > now {
		return nil
	}
	return c.states[0].state
}

// server is one as a proxy knows it.
type server struct {
	balance.Server
	out  int
	load steer.Load
}

type request struct {
	*balance.RequestArrived
	class    balance.Class
	rule     steer.Retry
	began    balance.Time
	attempts int
	last     *server
	pod      int
	tried    map[balance.ServerID]bool
	hazard   bool // an attempt may have run
}

// proxy is a stand-in for one node's module.
type proxy struct {
	way      Way
	id       steer.ProxyID
	hall     string
	set      balance.Settings
	rnd      *rand.Rand
	control  *control
	servers  map[balance.ServerID]*server
	order    []*server
	open     map[balance.RequestID]*request
	classes  map[string]balance.Class
	begun    bool
	asked    balance.Time // when the list was last asked for; 0: it is there
	reported balance.Time
	in1, in2 uint64
	out      []balance.Action
}

// Handle does what a proxy would.
func (p *proxy) Handle(now balance.Time, e balance.Event) []balance.Action {
	p.out = nil
	if !p.begun {
		p.begun, p.reported = true, now
		p.do(balance.Subscribe{On: true})
		p.do(balance.SetTimer{After: steer.TickEvery})
	}
	switch e := e.(type) {
	case balance.RequestArrived:
		p.arrive(now, &e)
	case *balance.RequestArrived:
		x := *e
		p.arrive(now, &x)
	case balance.AttemptEnded:
		p.ended(now, &e)
	case *balance.AttemptEnded:
		p.ended(now, e)
	case balance.RequestAbandoned:
		delete(p.open, e.ID)
	case balance.ListUpdate:
		p.follow(now, e)
	case balance.ProbeEnded:
		if s := p.servers[e.Server]; s != nil && p.control != nil {
			p.control.feed(now, steer.Probed{Server: steerID(s.ID), OK: e.Code == balance.OK, Elapsed: e.Elapsed})
		}
	case balance.TimerFired, *balance.TimerFired:
		p.tick(now)
	}
	return p.out
}

func (p *proxy) do(a balance.Action) { p.out = append(p.out, a) }

func steerID(id balance.ServerID) steer.ServerID {
	return steer.ServerID([]byte{byte('a' + id>>12&15), byte('a' + id>>8&15), byte('a' + id>>4&15), byte('a' + id&15)})
}

func (p *proxy) follow(now balance.Time, e balance.ListUpdate) {
	switch e.Kind {
	case balance.ListFailed:
		p.asked = now
		return
	case balance.ListFull, balance.ListCached:
		clear(p.servers)
	}
	p.asked = 0
	for _, x := range e.Entries {
		if x.State == balance.Gone {
			delete(p.servers, x.ID)
			continue
		}
		if s := p.servers[x.ID]; s != nil {
			s.Server = x
		} else {
			p.servers[x.ID] = &server{Server: x}
		}
	}
	p.order = p.order[:0]
	for id := balance.ServerID(0); len(p.order) < len(p.servers) && id < 1<<16; id++ { // by id: the same run each time
		if s := p.servers[id]; s != nil {
			p.order = append(p.order, s)
		}
	}
	if p.control == nil {
		return
	}
	kind := steer.Full
	if e.Kind == balance.ListCached {
		kind = steer.Cached
	}
	list := make([]steer.Server, 0, len(p.order))
	for _, s := range p.order {
		list = append(list, steer.Server{ID: steerID(s.ID), Addr: string(steerID(s.ID)), Zone: s.Zone, Cell: s.Cell, Size: s.Size,
			Draining: s.State == balance.Draining, StartedAt: s.StartedAt})
	}
	p.control.feed(now, steer.Listed{Kind: kind, Servers: list})
}

func (p *proxy) tick(now balance.Time) {
	p.do(balance.SetTimer{After: steer.TickEvery})
	if p.asked != 0 && now-p.asked >= 200*time.Millisecond {
		p.asked = 0
		p.do(balance.Subscribe{On: true})
	}
	if p.control == nil {
		return
	}
	if now-p.reported >= reportEvery {
		l := steer.Loaded{Proxy: p.id, Interval: now - p.reported, Priority: p.in1, Other: p.in2}
		for _, s := range p.order {
			s.load.Server, s.load.InFlight = steerID(s.ID), uint64(s.out)
			l.Loads = append(l.Loads, s.load)
			s.load = steer.Load{}
		}
		p.reported, p.in1, p.in2 = now, 0, 0
		p.control.feed(now, l)
	}
	if now-p.control.ticked >= steer.TickEvery { // by whichever proxy comes first
		p.control.ticked = now
		p.control.feed(now, steer.Tick{})
	}
	for _, id := range p.control.probe {
		for _, s := range p.order {
			if steerID(s.ID) == id && p.set.MayProbe {
				p.do(balance.Probe{Server: s.ID})
			}
		}
	}
	p.control.probe = nil
}

// priority says which classes are refused last: those worth more than the mean.
func (p *proxy) priority(c balance.Class) bool {
	sum := 0.0
	for _, x := range p.set.Classes {
		sum += x.Worth
	}
	return c.Worth > sum/float64(len(p.set.Classes))
}

func (p *proxy) arrive(now balance.Time, e *balance.RequestArrived) {
	r := &request{RequestArrived: e, class: p.classes[e.Class], rule: steer.RetryOf(p.classes[e.Class]), began: now, pod: -1, tried: map[balance.ServerID]bool{}}
	p.open[e.ID] = r
	high := p.priority(r.class)
	if high {
		p.in1++
	} else {
		p.in2++
	}
	if p.control != nil {
		if st := p.control.state(now); st != nil {
			v := st.View(p.hall)
			drop := v.DropOther
			if high {
				drop = v.DropPriority
			}
			if p.rnd.Float64()*1e6 < float64(drop) {
				p.do(balance.Refuse{ID: r.ID})
				delete(p.open, r.ID)
				return
			}
		}
	}
	p.attempt(now, r)
}

// attempt sends, or ends the request if there is nobody to send it to.
func (p *proxy) attempt(now balance.Time, r *request) {
	s := p.choose(now, r)
	if s == nil {
		p.giveUp(r)
		return
	}
	r.attempts++
	r.last, r.tried[s.ID] = s, true
	if r.rule.WithinPod {
		r.pod = s.Cell
	}
	s.out++
	s.load.Issued++
	p.do(balance.Send{Sending: &balance.Sending{ID: r.ID, Server: s.ID, Timeout: r.rule.Each}})
}

func (p *proxy) giveUp(r *request) {
	if r.hazard {
		p.do(balance.Fail{ID: r.ID})
	} else {
		p.do(balance.Refuse{ID: r.ID})
	}
	delete(p.open, r.ID)
}

func (p *proxy) ended(now balance.Time, e *balance.AttemptEnded) {
	r := p.open[e.ID]
	if s := p.servers[e.Server]; s != nil {
		s.out = max(0, s.out-1)
		switch e.Code {
		case balance.OK:
			s.load.OK++
		case balance.Moot, balance.Cancelled:
		default:
			s.load.Errors++
		}
	}
	if r == nil {
		return
	}
	if e.Over || e.Code == balance.OK {
		delete(p.open, e.ID)
		return
	}
	unseen := e.Code == balance.Full || e.Code == balance.ConnectFailed || e.Code == balance.Moot
	r.hazard = r.hazard || !unseen
	again := !r.hazard || r.rule.Ran && (r.rule.All == 0 || now-r.began < r.rule.All)
	if !again || r.attempts >= steer.MaxAttempts {
		p.giveUp(r)
		return
	}
	p.attempt(now, r)
}

// choose picks a server, one that was not tried if there is any.
func (p *proxy) choose(now balance.Time, r *request) *server {
	var fit []*server
	weights := map[*server]float64{}
	if p.control != nil {
		weights = p.steered(now)
	}
	for pass := range 2 {
		for _, s := range p.order {
			if s.State != balance.Ready || r.pod >= 0 && s.Cell != r.pod || pass == 0 && r.tried[s.ID] {
				continue
			}
			if p.control == nil || weights[s] > 0 {
				fit = append(fit, s)
			}
		}
		if len(fit) > 0 {
			break
		}
	}
	if len(fit) == 0 {
		return nil
	}
	switch p.way {
	case Least:
		a, b := fit[p.rnd.IntN(len(fit))], fit[p.rnd.IntN(len(fit))]
		if b.out < a.out {
			return b
		}
		return a
	case Steer:
		a, b := p.weighed(fit, weights), p.weighed(fit, weights)
		if float64(b.out+1)/weights[b] < float64(a.out+1)/weights[a] {
			return b
		}
		return a
	}
	return fit[p.rnd.IntN(len(fit))]
}

// weighed picks by weight.
func (p *proxy) weighed(fit []*server, weights map[*server]float64) *server {
	total := 0.0
	for _, s := range fit {
		total += weights[s]
	}
	at := p.rnd.Float64() * total
	for _, s := range fit {
		if at -= weights[s]; at < 0 {
			return s
		}
	}
	return fit[len(fit)-1]
}

// steered gives the weights of the first priority that has any.
func (p *proxy) steered(now balance.Time) map[*server]float64 {
	out := map[*server]float64{}
	st := p.control.state(now)
	if st == nil {
		return out
	}
	by := map[steer.ServerID]*server{}
	for _, s := range p.order {
		by[steerID(s.ID)] = s
	}
	for level := range uint32(2) {
		for _, l := range st.View(p.hall).Localities {
			sum := 0.0
			for _, e := range l.Endpoints {
				if e.Health == steer.Healthy {
					sum += float64(e.Weight)
				}
			}
			if l.Priority != level || sum == 0 {
				continue
			}
			for _, e := range l.Endpoints {
				if s := by[e.ID]; s != nil && e.Health == steer.Healthy {
					out[s] = float64(l.Weight) * float64(e.Weight) / sum
				}
			}
		}
		if len(out) > 0 {
			break
		}
	}
	return out
}
