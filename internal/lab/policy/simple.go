package policy

import (
	"math"
	"math/rand/v2"

	"ivylock/balance"
)

// random picks uniformly.
type random struct {
	noCallbacks
	rng *rand.Rand
}

func (c *random) pick(_ balance.Time, from []*server, _ bool) *server {
	return from[c.rng.IntN(len(from))]
}

// roundRobin picks each server in turn, starting at a random one.
type roundRobin struct {
	noCallbacks
	next int
}

func (c *roundRobin) pick(_ balance.Time, from []*server, _ bool) *server {
	c.next++
	return from[c.next%len(from)]
}

// twoDistinct draws two different servers at random, or the only one twice.
func twoDistinct(rng *rand.Rand, from []*server) (a, b *server) {
	i := rng.IntN(len(from))
	if len(from) == 1 {
		return from[0], from[0]
	}
	j := rng.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	return from[i], from[j]
}

// twoChoices picks the one of two random servers with fewer requests in flight.
type twoChoices struct {
	noCallbacks
	rng *rand.Rand
}

func (c *twoChoices) pick(_ balance.Time, from []*server, _ bool) *server {
	a, b := twoDistinct(c.rng, from)
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

// leastRequests picks a random one of the servers with the fewest requests in
// flight. Servers are kept in buckets by that number, so that the cost of a pick
// does not depend on the number of servers.
type leastRequests struct {
	rng     *rand.Rand
	buckets [][]*server
}

func (c *leastRequests) serversChanged(_ balance.Time, ready []*server) {
	for _, bucket := range c.buckets {
		for _, s := range bucket {
			s.inBucket = false
		}
	}
	c.buckets = nil
	for _, s := range ready {
		c.add(s)
	}
}

func (c *leastRequests) add(s *server) {
	for s.inFlight >= len(c.buckets) {
		c.buckets = append(c.buckets, nil)
	}
	s.bucketIndex, s.inBucket = len(c.buckets[s.inFlight]), true
	c.buckets[s.inFlight] = append(c.buckets[s.inFlight], s)
}

func (c *leastRequests) remove(s *server, bucket int) {
	members := c.buckets[bucket]
	last := members[len(members)-1]
	members[s.bucketIndex], last.bucketIndex = last, s.bucketIndex
	c.buckets[bucket] = members[:len(members)-1]
}

func (c *leastRequests) attemptSent(_ balance.Time, s *server) {
	if s.inBucket {
		c.remove(s, s.inFlight-1)
		c.add(s)
	}
}

func (c *leastRequests) attemptFinished(_ balance.Time, s *server, _ *balance.AttemptEnded) {
	if s.inBucket {
		c.remove(s, s.inFlight+1)
		c.add(s)
	}
}

func (c *leastRequests) pick(_ balance.Time, from []*server, all bool) *server {
	if all {
		for _, bucket := range c.buckets {
			if len(bucket) > 0 {
				return bucket[c.rng.IntN(len(bucket))]
			}
		}
	}
	best := from[c.rng.IntN(len(from))]
	for _, s := range from {
		if s.inFlight < best.inFlight {
			best = s
		}
	}
	return best
}

// peakEWMA picks the one of two random servers with the lower cost: latency, which
// rises at once and decays exponentially, times the requests in flight. A server
// without an answer so far costs nothing unless it has requests in flight.
type peakEWMA struct {
	noCallbacks
	rng *rand.Rand
}

const (
	ewmaTau     = 10.0 // s, Finagle's default
	ewmaPenalty = 1e3  // s, of a server that has requests and never answered
)

func (c *peakEWMA) attemptFinished(now balance.Time, s *server, e *balance.AttemptEnded) {
	if e.Code == balance.Moot || e.Code == balance.Full || e.Code == balance.ConnectFailed {
		return // the elapsed time is not the server's latency
	}
	elapsed := e.Elapsed.Seconds()
	if w := math.Exp(-(now - s.latencyAt).Seconds() / ewmaTau); elapsed > s.latency {
		s.latency = elapsed
	} else {
		s.latency = s.latency*w + elapsed*(1-w)
	}
	s.latencyAt = now
}

func (c *peakEWMA) cost(now balance.Time, s *server) float64 {
	switch {
	case s.latency == 0 && s.inFlight > 0:
		return ewmaPenalty + float64(s.inFlight)
	case s.latency == 0:
		return 0
	}
	return s.latency * math.Exp(-(now-s.latencyAt).Seconds()/ewmaTau) * float64(s.inFlight+1)
}

func (c *peakEWMA) pick(now balance.Time, from []*server, _ bool) *server {
	a, b := twoDistinct(c.rng, from)
	if c.cost(now, b) < c.cost(now, a) {
		return b
	}
	return a
}

// herd makes all proxies pick the same server, a different one each second.
type herd struct{ noCallbacks }

func (*herd) pick(now balance.Time, from []*server, _ bool) *server {
	return from[int(now.Seconds())%len(from)]
}
