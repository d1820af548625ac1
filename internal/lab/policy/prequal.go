package policy

import (
	"slices"
	"time"

	"ivylock/balance"
)

// prequal keeps a pool of probe results: requests in flight and expected latency.
// Servers whose requests in flight exceed a quantile of the pool are hot. The cold
// server with the lowest latency is picked, or, if all are hot, the one with the
// fewest requests in flight. Parameters follow the paper, except that a request
// causes one probe instead of three.
type prequal struct {
	*proxy
	pool       []probe // oldest first
	evictWorst bool    // evict the worst entry next, else the oldest
}

type probe struct {
	server   *server
	at       balance.Time
	inFlight float64
	latency  float64 // s
	usesLeft int
}

const (
	maxPoolSize      = 16
	probeLifetime    = time.Second
	probeUses        = 2    // picks per probe result
	hotQuantile      = 0.84 // quantile of the requests in flight
	minPoolSize      = 2    // with fewer entries, picks are random
	probesPerRequest = 1
)

func (c *prequal) serversChanged(balance.Time, []*server) {
	c.pool = slices.DeleteFunc(c.pool, func(p probe) bool { return p.server.State != balance.Ready })
}

// attemptSent adds the attempt to the pool's entries of its server, and probes
// random servers for later picks.
func (c *prequal) attemptSent(now balance.Time, s *server) {
	for i := range c.pool {
		if c.pool[i].server == s {
			c.pool[i].inFlight++
		}
	}
	for range probesPerRequest {
		c.emit(balance.Probe{Server: c.ready[c.rng.IntN(len(c.ready))].ID})
	}
}

func (c *prequal) attemptFinished(now balance.Time, s *server, e *balance.AttemptEnded) {
	if e.Code == balance.OK {
		c.observeLatency(s, e.Elapsed.Seconds())
	}
}

// observeLatency updates the smoothed latency of a server with an answer's, in
// seconds. In the paper servers estimate it for their number of requests in flight.
func (c *prequal) observeLatency(s *server, elapsed float64) {
	if s.latency == 0 {
		s.latency = elapsed
	}
	s.latency += 0.1 * (elapsed - s.latency)
}

func (c *prequal) probed(now balance.Time, s *server, e *balance.ProbeEnded) {
	if e.Code != balance.OK || e.Report == nil || s.State != balance.Ready {
		return
	}
	c.pool = slices.DeleteFunc(c.pool, func(p probe) bool { return p.server == s })
	if len(c.pool) >= maxPoolSize {
		c.pool = c.pool[1:]
	}
	latency := s.latency
	if latency == 0 {
		latency = e.Elapsed.Seconds()
	}
	c.pool = append(c.pool, probe{s, now, e.Report.InFlight, latency, probeUses})
}

func (c *prequal) pick(now balance.Time, from []*server, all bool) *server {
	c.pool = slices.DeleteFunc(c.pool, func(p probe) bool { return now-p.at > probeLifetime || p.usesLeft <= 0 })
	if !all || len(c.pool) < minPoolSize {
		return from[c.rng.IntN(len(from))]
	}
	inFlight := make([]float64, 0, maxPoolSize)
	for _, p := range c.pool {
		inFlight = append(inFlight, p.inFlight)
	}
	slices.Sort(inFlight)
	hot := inFlight[min(len(inFlight)-1, int(hotQuantile*float64(len(inFlight))))]
	best, bestCold := -1, false
	for i, p := range c.pool {
		cold := p.inFlight < hot || hot == inFlight[0]
		switch b := best; {
		case b < 0, cold && !bestCold,
			cold == bestCold && cold && p.latency < c.pool[b].latency,
			cold == bestCold && !cold && p.inFlight < c.pool[b].inFlight:
			best, bestCold = i, cold
		}
	}
	s := c.pool[best].server
	c.pool[best].usesLeft--
	// Each pick evicts one entry, the worst and the oldest in turn, so that the
	// pool does not fill with servers that are never picked.
	if c.evictWorst = !c.evictWorst; len(c.pool) > minPoolSize {
		victim := 0
		if c.evictWorst {
			for i, p := range c.pool {
				if p.inFlight > c.pool[victim].inFlight {
					victim = i
				}
			}
		}
		c.pool = slices.Delete(c.pool, victim, victim+1)
	}
	return s
}
