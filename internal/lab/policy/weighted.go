package policy

import (
	"math/rand/v2"
	"time"

	"ivylock/balance"
)

// weighted gives each server a part by its answers a second over its
// utilisation, as it reports them with its answers: gRPC's client-side
// weighted round robin (proposal A58). Picks are by chance; gRPC's are by
// stride, which spreads one client's picks more evenly.
type weighted struct {
	quiet
	rnd     *rand.Rand
	ready   []*server
	sums    []float64 // of weights up to and with each of ready
	renewed balance.Time
}

const (
	weightEvery   = time.Second      // A58's weight_update_period
	weightValid   = 3 * time.Minute  // weight_expiration_period
	blackout      = 10 * time.Second // blackout_period, during which a server's weight is the mean
	errorsPenalty = 1.0              // error_utilization_penalty
)

func (c *weighted) listed(now balance.Time, ready []*server) {
	c.ready = ready
	c.renew(now)
}

func (c *weighted) ended(now balance.Time, s *server, e *balance.AttemptEnded) {
	r := e.Report
	if r == nil || r.Rate <= 0 || r.Utilisation <= 0 {
		return
	}
	if s.toldAt == 0 {
		s.pass = now.Seconds() + blackout.Seconds() // until then it has no weight of its own
	}
	s.toldAt = now
	s.weight = r.Rate / (r.Utilisation + errorsPenalty*r.ErrorRate/r.Rate)
}

// renew sums the weights. Those without one of their own have the mean of the
// others.
func (c *weighted) renew(now balance.Time) {
	c.renewed = now
	own := func(s *server) bool {
		return s.toldAt > 0 && now-s.toldAt < weightValid && now.Seconds() >= s.pass
	}
	sum, n := 0.0, 0.0
	for _, s := range c.ready {
		if own(s) {
			sum, n = sum+s.weight, n+1
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / n
	}
	c.sums = c.sums[:0]
	all := 0.0
	for _, s := range c.ready {
		if own(s) {
			all += s.weight
		} else {
			all += mean
		}
		c.sums = append(c.sums, all)
	}
}

func (c *weighted) choose(now balance.Time, from []*server, all bool) *server {
	if !all {
		return from[c.rnd.IntN(len(from))]
	}
	if now-c.renewed >= weightEvery {
		c.renew(now)
	}
	at := c.rnd.Float64() * c.sums[len(c.sums)-1]
	lo, hi := 0, len(c.sums)-1
	for lo < hi {
		if mid := (lo + hi) / 2; c.sums[mid] > at {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return c.ready[lo]
}

// aperture uses a part of the servers, an arc of a ring on which proxies have
// places at even distances, so that each server is in about as many arcs
// (Finagle's deterministic aperture), and there the least of two.
type aperture struct {
	quiet
	rnd           *rand.Rand
	self, proxies int
	part          []*server
}

const leastAperture = 12

func (c *aperture) listed(_ balance.Time, ready []*server) {
	c.part = c.part[:0]
	n := min(len(ready), max(leastAperture, (len(ready)+c.proxies-1)/max(1, c.proxies)))
	start := 0
	if len(ready) > 0 {
		start = c.self * len(ready) / max(1, c.proxies)
	}
	for i := range n {
		c.part = append(c.part, ready[(start+i)%len(ready)])
	}
}

func (c *aperture) choose(_ balance.Time, from []*server, all bool) *server {
	if all {
		from = c.part
	}
	a, b := two(c.rnd, from)
	if b.out < a.out {
		return b
	}
	return a
}
