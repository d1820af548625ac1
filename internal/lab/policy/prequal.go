package policy

import (
	"slices"
	"time"

	"ivylock/balance"
)

// prequal keeps a pool of what probed servers said: requests in flight and the
// latency to expect. Servers with more in flight than most of the pool are
// hot. The cold one with the least latency is taken; with none cold, the one
// with the least in flight. The figures are those of the paper, but for one
// probe a request instead of three, as a probe costs a clip server 3 per cent
// of a request here.
type prequal struct {
	*proxy
	pool  []probe // the oldest first
	worst bool    // of the pool goes next, else the oldest
}

type probe struct {
	server  *server
	at      balance.Time
	flight  float64
	latency float64 // s
	uses    int     // that are left
}

const (
	poolMost   = 16
	poolValid  = time.Second
	poolUses   = 2    // of one probe: a small pool would be empty else
	hotFrom    = 0.84 // quantile of requests in flight
	poolLeast  = 2    // with fewer it takes any
	probeBatch = 1
)

func (c *prequal) listed(balance.Time, []*server) {
	c.pool = slices.DeleteFunc(c.pool, func(p probe) bool { return p.server.State != balance.Ready })
}

// sent probes others for the next requests, and counts what was just sent in.
func (c *prequal) sent(now balance.Time, s *server) {
	for i := range c.pool {
		if c.pool[i].server == s {
			c.pool[i].flight++
		}
	}
	for range probeBatch {
		c.do(balance.Probe{Server: c.ready[c.rnd.IntN(len(c.ready))].ID})
	}
}

func (c *prequal) ended(now balance.Time, s *server, e *balance.AttemptEnded) {
	if e.Code == balance.OK {
		c.latency(s, e.Elapsed.Seconds())
	}
}

// latency is smoothed here for each server, by its requests in flight at the
// time: the paper has the server keep it.
func (c *prequal) latency(s *server, took float64) {
	if s.cost == 0 {
		s.cost = took
	}
	s.cost += 0.1 * (took - s.cost)
}

func (c *prequal) probed(now balance.Time, s *server, e *balance.ProbeEnded) {
	if e.Code != balance.OK || e.Report == nil || s.State != balance.Ready {
		return
	}
	c.pool = slices.DeleteFunc(c.pool, func(p probe) bool { return p.server == s })
	if len(c.pool) >= poolMost {
		c.pool = c.pool[1:]
	}
	latency := s.cost
	if latency == 0 {
		latency = e.Elapsed.Seconds()
	}
	c.pool = append(c.pool, probe{s, now, e.Report.InFlight, latency, poolUses})
}

func (c *prequal) choose(now balance.Time, from []*server, all bool) *server {
	c.pool = slices.DeleteFunc(c.pool, func(p probe) bool { return now-p.at > poolValid || p.uses <= 0 })
	if !all || len(c.pool) < poolLeast {
		return from[c.rnd.IntN(len(from))]
	}
	flights := make([]float64, 0, poolMost)
	for _, p := range c.pool {
		flights = append(flights, p.flight)
	}
	slices.Sort(flights)
	hot := flights[min(len(flights)-1, int(hotFrom*float64(len(flights))))]
	best, bestCold := -1, false
	for i, p := range c.pool {
		cold := p.flight < hot || hot == flights[0]
		switch b := best; {
		case b < 0, cold && !bestCold,
			cold == bestCold && cold && p.latency < c.pool[b].latency,
			cold == bestCold && !cold && p.flight < c.pool[b].flight:
			best, bestCold = i, cold
		}
	}
	s := c.pool[best].server
	c.pool[best].uses--
	// One goes with each request, the worst and the oldest in turn, so that the
	// pool does not fill with those that nobody wants.
	if c.worst = !c.worst; len(c.pool) > poolLeast {
		out := 0
		if c.worst {
			for i, p := range c.pool {
				if p.flight > c.pool[out].flight {
					out = i
				}
			}
		}
		c.pool = slices.Delete(c.pool, out, out+1)
	}
	return s
}
