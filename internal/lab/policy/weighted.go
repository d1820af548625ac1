package policy

import (
	"math/rand/v2"
	"time"

	"ivylock/balance"
)

// weightedRandom weights each server by its answers per second over its
// utilisation, which servers report with their answers: gRPC's client-side
// weighted round robin (proposal A58). Picks are random, whereas gRPC's stride
// scheduler spreads the picks of one client more evenly.
type weightedRandom struct {
	noCallbacks
	rng        *rand.Rand
	ready      []*server
	cumulative []float64 // cumulative weights of ready
	updatedAt  balance.Time
}

const (
	weightUpdatePeriod      = time.Second      // weight_update_period of A58
	weightExpiration        = 3 * time.Minute  // weight_expiration_period
	blackoutPeriod          = 10 * time.Second // blackout_period, in which a server gets the mean weight
	errorUtilizationPenalty = 1.0              // error_utilization_penalty
)

func (c *weightedRandom) serversChanged(now balance.Time, ready []*server) {
	c.ready = ready
	c.updateWeights(now)
}

func (c *weightedRandom) attemptFinished(now balance.Time, s *server, e *balance.AttemptEnded) {
	r := e.Report
	if r == nil || r.Rate <= 0 || r.Utilisation <= 0 {
		return
	}
	if s.reportedAt == 0 {
		s.blackoutEnd = now.Seconds() + blackoutPeriod.Seconds() // until then it gets the mean weight
	}
	s.reportedAt = now
	s.weight = r.Rate / (r.Utilisation + errorUtilizationPenalty*r.ErrorRate/r.Rate)
}

// updateWeights sums the weights; servers without a valid weight get the mean of
// the others.
func (c *weightedRandom) updateWeights(now balance.Time) {
	c.updatedAt = now
	hasWeight := func(s *server) bool {
		return s.reportedAt > 0 && now-s.reportedAt < weightExpiration && now.Seconds() >= s.blackoutEnd
	}
	sum, n := 0.0, 0.0
	for _, s := range c.ready {
		if hasWeight(s) {
			sum, n = sum+s.weight, n+1
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / n
	}
	c.cumulative = c.cumulative[:0]
	total := 0.0
	for _, s := range c.ready {
		if hasWeight(s) {
			total += s.weight
		} else {
			total += mean
		}
		c.cumulative = append(c.cumulative, total)
	}
}

func (c *weightedRandom) pick(now balance.Time, from []*server, all bool) *server {
	if !all {
		return from[c.rng.IntN(len(from))]
	}
	if now-c.updatedAt >= weightUpdatePeriod {
		c.updateWeights(now)
	}
	at := c.rng.Float64() * c.cumulative[len(c.cumulative)-1]
	lo, hi := 0, len(c.cumulative)-1
	for lo < hi {
		if mid := (lo + hi) / 2; c.cumulative[mid] > at {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return c.ready[lo]
}

// aperture applies two choices to a subset of the servers, an arc of a ring on
// which proxies are evenly spaced, so that each server is in about the same number
// of arcs (Finagle's deterministic aperture).
type aperture struct {
	noCallbacks
	rng           *rand.Rand
	self, proxies int
	subset        []*server
}

const minAperture = 12

func (c *aperture) serversChanged(_ balance.Time, ready []*server) {
	c.subset = c.subset[:0]
	n := min(len(ready), max(minAperture, (len(ready)+c.proxies-1)/max(1, c.proxies)))
	start := 0
	if len(ready) > 0 {
		start = c.self * len(ready) / max(1, c.proxies)
	}
	for i := range n {
		c.subset = append(c.subset, ready[(start+i)%len(ready)])
	}
}

func (c *aperture) pick(_ balance.Time, from []*server, all bool) *server {
	if all {
		from = c.subset
	}
	a, b := twoDistinct(c.rng, from)
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}
