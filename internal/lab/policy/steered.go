package policy

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/internal/lab/memory"
	"ivylock/steer"
)

const (
	publishDelay   = 5 * time.Millisecond // from the control service to a proxy
	reportInterval = 500 * time.Millisecond
)

// ControlPlane configures the control services and their faults. Proxies are
// divided among the services, and a service knows only what its own proxies
// report. Proxies detect the outage of their service after a second, use its last
// state until then, and return to it when it is back.
type ControlPlane struct {
	Services    int           // 0: one
	OutageStart time.Duration // of the first service; 0: no outage
	OutageEnd   time.Duration
	SubsetSize  int // see steer.Settings.SubsetSize

	// ReportDelay is the mean delay of load reports; delays are uniform from zero
	// to twice the mean, so reports arrive out of order.
	ReportDelay time.Duration
	// FrozenFraction is the fraction of the proxies, rounded up to tenths, that
	// from FrozenStart on neither report nor receive updates and keep using their
	// last state.
	FrozenFraction float64
	FrozenStart    time.Duration
}

// failoverDelay is how long proxies take to detect an outage or a recovery.
const failoverDelay = time.Second

// controlServices are the control services of a run and their configuration.
type controlServices struct {
	ControlPlane
	all []*controlService
}

func newServices(config ControlPlane) *controlServices {
	s := &controlServices{ControlPlane: config}
	for range max(1, config.Services) {
		s.all = append(s.all, &controlService{})
	}
	return s
}

// unavailable reports whether a service is down at a given time.
func (s *controlServices) unavailable(c *controlService, now balance.Time) bool {
	at := now - memory.Epoch
	return c == s.all[0] && s.OutageStart > 0 && at >= s.OutageStart && at < s.OutageEnd
}

func (s *controlServices) updateServers(now balance.Time, cached bool, servers []*server) {
	for _, c := range s.all {
		if !s.unavailable(c, now) {
			c.updateServers(now, cached, servers)
		}
	}
}

// freezeIfDue makes a proxy keep its present state from FrozenStart on, if it is
// one of those that freeze.
func (p *proxy) freezeIfDue(now balance.Time) {
	if config := p.services.ControlPlane; p.frozenState == nil && config.FrozenFraction > 0 && now-memory.Epoch >= config.FrozenStart &&
		float64(p.homeService%10) < 10*config.FrozenFraction {
		p.frozenState = p.control.stateAt(now)
	}
}

// currentState returns the state that the proxy applies, or nil if it has none.
func (p *proxy) currentState(now balance.Time) *steer.State {
	if p.frozenState != nil {
		return p.frozenState
	}
	return p.control.stateAt(now)
}

// selectService connects the proxy to its own service, or else to the next one
// that is available.
func (p *proxy) selectService(now balance.Time) {
	target := p.control
	for i := range p.services.all {
		c := p.services.all[(p.homeService+i)%len(p.services.all)]
		if !p.services.unavailable(c, now) && !p.services.unavailable(c, now-failoverDelay) {
			target = c
			break
		}
	}
	if target == nil || target == p.control || p.control != nil && p.services.unavailable(p.control, now) && !p.services.unavailable(p.control, now-failoverDelay) {
		return
	}
	if p.control != nil && !p.services.unavailable(p.control, now) {
		p.control.handle(now, steer.ProxyLeft{Proxy: p.id})
	}
	p.control = target
	target.handle(now, steer.ProxyJoined{Proxy: p.id, Zone: p.zone})
}

// controlService is one control service of a run: a steer.Module and its published
// states with the times at which proxies receive them.
type controlService struct {
	module         *steer.Module
	clock          balance.Time
	lastTick       balance.Time
	states         []timedState
	pendingProbes  []steer.ServerID    // servers that the module asked to probe
	tables         map[tableKey]*table // built from tablesState
	tablesState    *steer.State
	delayedReports []delayedReport // load reports in transit
}

// delayedReport is a load report in transit.
type delayedReport struct {
	at balance.Time
	steer.LoadReported
}

type timedState struct {
	at    balance.Time
	state *steer.State
}

func (c *controlService) configure(s balance.Settings, config ControlPlane) {
	if c.module != nil {
		return
	}
	m, err := steer.New(steer.Settings{Classes: s.Classes, WarmupStartFraction: s.WarmupStartFraction, WarmupTime: s.WarmupTime, OverloadFactor: s.OverloadFactor, MaxServers: 1 << 16, SubsetSize: config.SubsetSize})
	if err != nil {
		panic(err) // the lab must provide valid settings
	}
	c.module = m
}

func (c *controlService) handle(now balance.Time, e steer.Event) {
	c.clock = max(c.clock, now)
	for _, a := range c.module.Handle(c.clock, e) {
		switch a := a.(type) {
		case steer.Publish:
			c.states = append(c.states, timedState{c.clock + publishDelay, a.State})
		case steer.Probe:
			c.pendingProbes = append(c.pendingProbes, a.Server)
		}
	}
}

// stateAt returns the newest state that proxies have received by now, or nil.
func (c *controlService) stateAt(now balance.Time) *steer.State {
	for len(c.states) > 1 && c.states[1].at <= now {
		c.states = c.states[1:]
	}
	if len(c.states) == 0 || c.states[0].at > now {
		return nil
	}
	return c.states[0].state
}

// steerID formats a server's number with leading zeros, so that IDs sort by number.
func steerID(id balance.ServerID) steer.ServerID { return steer.ServerID(fmt.Sprintf("%06d", id)) }

// serverNumber parses an ID made by steerID.
func serverNumber(id steer.ServerID) (n int) {
	for _, c := range []byte(id) {
		n = 10*n + int(c-'0')
	}
	return n
}

func (c *controlService) updateServers(now balance.Time, cached bool, servers []*server) {
	list := make([]steer.Server, 0, len(servers))
	for _, s := range servers {
		if s == nil || s.State == balance.Removed {
			continue
		}
		id := steerID(s.ID)
		list = append(list, steer.Server{ID: id, Addr: string(id), Zone: s.Zone, Cell: s.Cell, RelativeSize: s.Size,
			Draining: s.State == balance.Draining, StartedAt: s.StartedAt})
	}
	kind := steer.ListFull
	if cached {
		kind = steer.ListCached
	}
	c.handle(now, steer.ListReceived{Kind: kind, Servers: list})
}

// tick sends the load report of a proxy when it is due, and advances the service
// on the first tick of any proxy in an interval. A service that is down does
// nothing.
func (c *controlService) tick(now balance.Time, p *proxy) {
	if p.services.unavailable(c, now) || p.frozenState != nil {
		return
	}
	if now-p.reportedAt >= reportInterval {
		report := steer.LoadReported{Proxy: p.id, Interval: now - p.reportedAt, PriorityArrivals: p.priorityArrivals, OtherArrivals: p.otherArrivals}
		for _, s := range p.servers {
			if s == nil || s.State == balance.Removed {
				continue
			}
			s.load.Server, s.load.InFlight = steerID(s.ID), uint64(s.inFlight)
			report.Loads = append(report.Loads, s.load)
			s.load = steer.Load{}
		}
		p.reportedAt, p.priorityArrivals, p.otherArrivals = now, 0, 0
		if late := p.services.ReportDelay; late > 0 {
			c.delayedReports = append(c.delayedReports, delayedReport{now + time.Duration(p.rng.Int64N(int64(2*late))), report})
		} else {
			c.handle(now, report)
		}
	}
	if now-c.lastTick >= steer.TickInterval {
		c.lastTick = now
		kept := c.delayedReports[:0]
		for _, delayed := range c.delayedReports {
			if delayed.at <= now {
				c.handle(now, delayed.LoadReported)
			} else {
				kept = append(kept, delayed)
			}
		}
		c.delayedReports = kept
		c.handle(now, steer.Tick{})
	}
	for _, id := range c.pendingProbes {
		if s := p.serverOf(balance.ServerID(serverNumber(id))); s != nil && p.settings.MayProbe {
			p.emit(balance.Probe{Server: s.ID})
		}
	}
	c.pendingProbes = c.pendingProbes[:0]
}

// shouldDrop counts an arrival and reports whether it must be dropped.
func (c *controlService) shouldDrop(now balance.Time, p *proxy, priority bool) bool {
	if priority {
		p.priorityArrivals++
	} else {
		p.otherArrivals++
	}
	state := p.currentState(now)
	if state == nil {
		return false
	}
	view := state.View(p.zone)
	drop := view.DropOtherPPM
	if priority {
		drop = view.DropPriorityPPM
	}
	return p.rng.Float64()*1e6 < float64(drop)
}

// maxRequests is how many attempts a proxy may have in flight.
func (c *controlService) maxRequests(now balance.Time, p *proxy) int {
	if state := p.currentState(now); state != nil {
		return int(state.View(p.zone).MaxRequests)
	}
	return math.MaxInt
}

// tableKey identifies proxies that receive the same view.
type tableKey struct {
	zone  string
	group int
}

// table holds the endpoint weights of the first priority of a view that has healthy
// endpoints, and their cumulative sums for weighted picks.
type table struct {
	weight     []float64 // by server number; 0: not in use
	ids        []int     // numbers of the servers in use
	cumulative []float64 // sums of weight in the order of ids
	fallback   []float64 // weights of the next priority by server number, for retries
}

func (c *controlService) tableFor(now balance.Time, p *proxy) *table {
	state := p.currentState(now)
	if state == nil {
		return &table{}
	}
	if c.tablesState != state {
		if p.frozenState == nil { // a frozen proxy's older state must not evict the tables of the newest
			c.tablesState, c.tables = state, map[tableKey]*table{}
		} else if p.table == nil {
			p.table = newTable(state.View(p.zone).ForGroup(state.GroupOf(p.id)))
		}
	}
	if p.table != nil {
		return p.table
	}
	key := tableKey{p.zone, state.GroupOf(p.id)}
	t := c.tables[key]
	if t == nil {
		t = newTable(state.View(key.zone).ForGroup(key.group))
		c.tables[key] = t
	}
	return t
}

func newTable(v *steer.View) *table {
	t := &table{}
	for level := range uint32(2) {
		for _, l := range v.Localities {
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
				if e.Health != steer.Healthy {
					continue
				}
				n := serverNumber(e.ID)
				for n >= len(t.weight) {
					t.weight = append(t.weight, 0)
				}
				t.weight[n] = float64(l.Weight) * float64(e.Weight) / sum
				t.ids = append(t.ids, n)
			}
		}
		if len(t.ids) > 0 {
			if level == 0 {
				t.fallback = fallbackWeights(v)
			}
			break
		}
	}
	total := 0.0
	for _, n := range t.ids {
		total += t.weight[n]
		t.cumulative = append(t.cumulative, total)
	}
	return t
}

// fallbackWeights returns the weights of the second priority, by server number.
func fallbackWeights(v *steer.View) (weights []float64) {
	for _, l := range v.Localities {
		sum := 0.0
		for _, e := range l.Endpoints {
			if e.Health == steer.Healthy {
				sum += float64(e.Weight)
			}
		}
		if l.Priority != 1 || sum == 0 {
			continue
		}
		for _, e := range l.Endpoints {
			if e.Health == steer.Healthy {
				n := serverNumber(e.ID)
				for n >= len(weights) {
					weights = append(weights, 0)
				}
				weights[n] = float64(l.Weight) * float64(e.Weight) / sum
			}
		}
	}
	return weights
}

// pick returns a server number by weight; r is uniform in [0, 1).
func (t *table) pick(r float64) int {
	at := r * t.cumulative[len(t.cumulative)-1]
	lo, hi := 0, len(t.cumulative)-1
	for lo < hi {
		if mid := (lo + hi) / 2; t.cumulative[mid] > at {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return t.ids[lo]
}

// steered draws two servers by the weights that the control service assigns, and
// picks the one with the lower ratio of requests in flight to weight.
type steered struct {
	noCallbacks
	*proxy
}

// maxPicks is the number of draws that may return a server that is not ready,
// before the ready servers are scanned instead.
const maxPicks = 8

func (c *steered) pick(now balance.Time, from []*server, all bool) *server {
	t := c.control.tableFor(now, c.proxy)
	if len(t.ids) == 0 {
		return nil
	}
	weight := t.weight
	if !all && slices.ContainsFunc(from, func(s *server) bool { return int(s.ID) < len(t.fallback) && t.fallback[s.ID] > 0 }) {
		weight = t.fallback
	}
	draw := func() *server {
		if all {
			for range maxPicks {
				if s := c.serverOf(balance.ServerID(t.pick(c.rng.Float64()))); s != nil && s.State == balance.Ready {
					return s
				}
			}
		}
		total := 0.0
		for _, s := range from {
			if int(s.ID) < len(weight) {
				total += weight[s.ID]
			}
		}
		at := c.rng.Float64() * total
		for _, s := range from {
			if int(s.ID) < len(weight) && weight[s.ID] > 0 {
				if at -= weight[s.ID]; at < 0 {
					return s
				}
			}
		}
		return nil
	}
	a, b := draw(), draw()
	if a == nil || b == nil {
		return a
	}
	load := func(s *server) float64 { return float64(s.inFlight+1) / math.Max(1e-12, weight[s.ID]) }
	if load(b) < load(a) {
		return b
	}
	return a
}
