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
	newsDelay   = 5 * time.Millisecond // from the control service to a proxy
	reportEvery = 500 * time.Millisecond
)

// ControlPlane says how many control services there are and what happens to them.
// Proxies are divided among them and each knows only what its own report. One
// that is lost is missed by its proxies after a second; they go on with what it
// told last until then, and go back when it has returned.
type ControlPlane struct {
	Services    int           // 0: one
	OutageStart time.Duration // the first one; 0: never
	OutageEnd   time.Duration
	SubsetSize  int // steer.Settings.SubsetSize

	// ReportDelay is how long load reports take, each from nothing to twice as long: so
	// they come out of order. Frozen is the part of the proxies that from
	// FrozenStart on neither report nor take news, and go on sending by what they
	// were told last.
	ReportDelay    time.Duration
	FrozenFraction float64
	FrozenStart    time.Duration
}

const missAfter = time.Second

// services are the control services of a run.
type services struct {
	ControlPlane
	all []*control
}

func newServices(with ControlPlane) *services {
	s := &services{ControlPlane: with}
	for range max(1, with.Services) {
		s.all = append(s.all, &control{})
	}
	return s
}

// lost tells whether a service is lost at a time of the module's clock.
func (s *services) lost(c *control, now balance.Time) bool {
	at := now - memory.Epoch
	return c == s.all[0] && s.OutageStart > 0 && at >= s.OutageStart && at < s.OutageEnd
}

func (s *services) listed(now balance.Time, cached bool, servers []*server) {
	for _, c := range s.all {
		if !s.lost(c, now) {
			c.listed(now, cached, servers)
		}
	}
}

// freeze has a proxy keep what it was told last, if it is one of those.
func (p *proxy) freeze(now balance.Time) {
	if with := p.services.ControlPlane; p.frozen == nil && with.FrozenFraction > 0 && now-memory.Epoch >= with.FrozenStart &&
		float64(p.home%10) < 10*with.FrozenFraction {
		p.frozen = p.control.state(now)
	}
}

// state is what a proxy goes by.
func (p *proxy) state(now balance.Time) *steer.State {
	if p.frozen != nil {
		return p.frozen
	}
	return p.control.state(now)
}

// turn has a proxy follow the service that it should: its own, or the next one
// that is there.
func (p *proxy) turn(now balance.Time) {
	to := p.control
	for i := range p.services.all {
		c := p.services.all[(p.home+i)%len(p.services.all)]
		if !p.services.lost(c, now) && !p.services.lost(c, now-missAfter) {
			to = c
			break
		}
	}
	if to == nil || to == p.control || p.control != nil && p.services.lost(p.control, now) && !p.services.lost(p.control, now-missAfter) {
		return
	}
	if p.control != nil && !p.services.lost(p.control, now) {
		p.control.feed(now, steer.ProxyLeft{Proxy: p.id})
	}
	p.control = to
	to.feed(now, steer.ProxyJoined{Proxy: p.id, Zone: p.hall})
}

// control is one control service of a run: one steer.Module, and its states
// with the time from which proxies have them.
type control struct {
	module *steer.Module
	clock  balance.Time
	ticked balance.Time
	states []stamped
	probe  []steer.ServerID // that it wants probed
	tables map[told]*table  // of the state that was asked for last
	of     *steer.State
	coming []report // that are late
}

// report is one on its way.
type report struct {
	at balance.Time
	steer.LoadReported
}

type stamped struct {
	at    balance.Time
	state *steer.State
}

func (c *control) begin(s balance.Settings, with ControlPlane) {
	if c.module != nil {
		return
	}
	m, err := steer.New(steer.Settings{Classes: s.Classes, WarmupStartFraction: s.WarmupStartFraction, WarmupTime: s.WarmupTime, OverloadFactor: s.OverloadFactor, MaxServers: 1 << 16, SubsetSize: with.SubsetSize})
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

// steerID words the lab's number of a server, in its order.
func steerID(id balance.ServerID) steer.ServerID { return steer.ServerID(fmt.Sprintf("%06d", id)) }

// number is the lab's number of a server.
func number(id steer.ServerID) (n int) {
	for _, c := range []byte(id) {
		n = 10*n + int(c-'0')
	}
	return n
}

func (c *control) listed(now balance.Time, cached bool, servers []*server) {
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
	c.feed(now, steer.ListReceived{Kind: kind, Servers: list})
}

// tick has a proxy report, and the service go on by whichever comes first. One
// that is lost does nothing.
func (c *control) tick(now balance.Time, p *proxy) {
	if p.services.lost(c, now) || p.frozen != nil {
		return
	}
	if now-p.reported >= reportEvery {
		l := steer.LoadReported{Proxy: p.id, Interval: now - p.reported, PriorityArrivals: p.in1, OtherArrivals: p.in2}
		for _, s := range p.servers {
			if s == nil || s.State == balance.Removed {
				continue
			}
			s.load.Server, s.load.InFlight = steerID(s.ID), uint64(s.out)
			l.Loads = append(l.Loads, s.load)
			s.load = steer.Load{}
		}
		p.reported, p.in1, p.in2 = now, 0, 0
		if late := p.services.ReportDelay; late > 0 {
			c.coming = append(c.coming, report{now + time.Duration(p.rnd.Int64N(int64(2*late))), l})
		} else {
			c.feed(now, l)
		}
	}
	if now-c.ticked >= steer.TickInterval {
		c.ticked = now
		kept := c.coming[:0]
		for _, r := range c.coming {
			if r.at <= now {
				c.feed(now, r.LoadReported)
			} else {
				kept = append(kept, r)
			}
		}
		c.coming = kept
		c.feed(now, steer.Tick{})
	}
	for _, id := range c.probe {
		if s := p.serverOf(balance.ServerID(number(id))); s != nil && p.set.MayProbe {
			p.do(balance.Probe{Server: s.ID})
		}
	}
	c.probe = c.probe[:0]
}

// refuses counts an arrival and tells whether it is to be dropped.
func (c *control) refuses(now balance.Time, p *proxy, high bool) bool {
	if high {
		p.in1++
	} else {
		p.in2++
	}
	st := p.state(now)
	if st == nil {
		return false
	}
	v := st.View(p.hall)
	drop := v.DropOtherPPM
	if high {
		drop = v.DropPriorityPPM
	}
	return p.rnd.Float64()*1e6 < float64(drop)
}

// most is how many requests a proxy may have out.
func (c *control) most(now balance.Time, p *proxy) int {
	if st := p.state(now); st != nil {
		return int(st.View(p.hall).MaxRequests)
	}
	return math.MaxInt
}

// told is what proxies are told alike.
type told struct {
	hall  string
	group int
}

// table holds the weights of a view, of the first priority that has
// any, by the lab's numbers, and their sums for picks.
type table struct {
	weight []float64
	ids    []int
	sums   []float64
	next   []float64 // weights of the next priority, which further attempts go to
}

func (c *control) table(now balance.Time, p *proxy) *table {
	st := p.state(now)
	if st == nil {
		return &table{}
	}
	if c.of != st {
		if p.frozen == nil { // an older one that is still in use does not push out the tables of the newest
			c.of, c.tables = st, map[told]*table{}
		} else if p.table == nil {
			p.table = newTable(st.View(p.hall).ForGroup(st.GroupOf(p.id)))
		}
	}
	if p.table != nil {
		return p.table
	}
	k := told{p.hall, st.GroupOf(p.id)}
	t := c.tables[k]
	if t == nil {
		t = newTable(st.View(k.hall).ForGroup(k.group))
		c.tables[k] = t
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
				n := number(e.ID)
				for n >= len(t.weight) {
					t.weight = append(t.weight, 0)
				}
				t.weight[n] = float64(l.Weight) * float64(e.Weight) / sum
				t.ids = append(t.ids, n)
			}
		}
		if len(t.ids) > 0 {
			if level == 0 {
				t.next = nextOf(v)
			}
			break
		}
	}
	all := 0.0
	for _, n := range t.ids {
		all += t.weight[n]
		t.sums = append(t.sums, all)
	}
	return t
}

// nextOf gives the weights of the second priority.
func nextOf(v *steer.View) (out []float64) {
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
				n := number(e.ID)
				for n >= len(out) {
					out = append(out, 0)
				}
				out[n] = float64(l.Weight) * float64(e.Weight) / sum
			}
		}
	}
	return out
}

// pick gives one by weight.
func (t *table) pick(r float64) int {
	at := r * t.sums[len(t.sums)-1]
	lo, hi := 0, len(t.sums)-1
	for lo < hi {
		if mid := (lo + hi) / 2; t.sums[mid] > at {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return t.ids[lo]
}

// steered takes the one with fewer requests for its weight, of two by weight.
type steered struct {
	quiet
	*proxy
}

const strikes = 8 // picks of servers that may not be used, before all are looked at

func (c *steered) choose(now balance.Time, from []*server, all bool) *server {
	t := c.control.table(now, c.proxy)
	if len(t.ids) == 0 {
		return nil
	}
	weight := t.weight
	if !all && slices.ContainsFunc(from, func(s *server) bool { return int(s.ID) < len(t.next) && t.next[s.ID] > 0 }) {
		weight = t.next
	}
	one := func() *server {
		if all {
			for range strikes {
				if s := c.serverOf(balance.ServerID(t.pick(c.rnd.Float64()))); s != nil && s.State == balance.Ready {
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
		at := c.rnd.Float64() * total
		for _, s := range from {
			if int(s.ID) < len(weight) && weight[s.ID] > 0 {
				if at -= weight[s.ID]; at < 0 {
					return s
				}
			}
		}
		return nil
	}
	a, b := one(), one()
	if a == nil || b == nil {
		return a
	}
	load := func(s *server) float64 { return float64(s.out+1) / math.Max(1e-12, weight[s.ID]) }
	if load(b) < load(a) {
		return b
	}
	return a
}
