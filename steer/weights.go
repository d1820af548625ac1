package steer

import (
	"cmp"
	"math"
	"slices"

	"ivylock/balance"
)

const (
	blockedFactor     = 0.7  // factor on the target weight of a blocking server: a lower one would overload the others
	minDelayFactor    = 0.8  // least factor for a delay above the median: keeps weights from swinging
	overloadedFactor  = 0.9  // factor on the target weight of an overloaded server while any server is normal
	maxDelayFactor    = 1.25 // largest factor for a delay below the median: the server may only be idle
	deadBand          = 0.15 // relative deviation from the median delay that is ignored
	minRelativeWeight = 0.05 // multiple of the mean weight; proxies ignore servers with weight 0
	maxRelativeWeight = 4.0  // multiple of the mean weight
	admitFraction     = 0.9  // fraction of the response rate admitted while no server is normal
	admitGrowth       = 1.05 // factor per WeightInterval while a server is normal
	minAdmitFraction  = 0.02 // fraction of arrivals always admitted, to detect recovery
)

// updateWeights adjusts the weights, at most once per WeightInterval and each by at most
// MaxWeightFactor. Normal servers are weighted by size and delay. Overloaded servers get less
// while any server is normal; blocking ones fall by two steps at once. No weight drops to zero at
// once, as the shifted requests would overload the other servers.
func (m *Module) updateWeights() {
	if m.weightsAt != 0 && m.now-m.weightsAt < m.settings.WeightInterval {
		return
	}
	m.weightsAt = m.now
	anyNormal := false
	for _, s := range m.sortedServers {
		anyNormal = anyNormal || m.usable(s) && s.mode == balance.Normal
	}
	mean, count := 0.0, 0.0
	for _, s := range m.sortedServers {
		if m.usable(s) {
			mean, count = mean+s.baseWeight, count+1
		}
	}
	mean /= math.Max(1, count)
	median := m.medianDelay()
	for _, s := range m.sortedServers {
		if !m.usable(s) {
			continue
		}
		target := s.baseWeight / mean
		if delay := m.expectedDelay(s); delay > 0 && median > 0 {
			if ratio := median / delay; ratio < 1-deadBand || ratio > 1+deadBand {
				target *= math.Min(maxDelayFactor, math.Max(minDelayFactor, math.Sqrt(ratio)))
			}
		}
		floor := s.weight / m.settings.MaxWeightFactor
		switch {
		case s.mode == balance.Blocking:
			target, floor = target*blockedFactor, floor/m.settings.MaxWeightFactor
		case s.mode == balance.Overloaded && anyNormal:
			target *= overloadedFactor
		}
		target = math.Min(maxRelativeWeight, math.Max(minRelativeWeight, target))
		next := math.Min(s.weight*m.settings.MaxWeightFactor, math.Max(floor, target))
		if next != s.weight {
			s.weight, m.dirty = next, true
		}
	}
}

// medianDelay returns the delay that half of the responses stay within. Unlike the mean it is not
// moved by one slow server.
func (m *Module) medianDelay() float64 {
	type sample struct{ delay, rate float64 }
	var samples []sample
	sum := 0.0
	for _, s := range m.sortedServers {
		if delay := m.expectedDelay(s); delay > 0 && m.usable(s) {
			samples, sum = append(samples, sample{delay, s.smoothedRate}), sum+s.smoothedRate
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.delay, b.delay) })
	for _, sample := range samples {
		if sum -= 2 * sample.rate; sum <= 0 {
			return sample.delay
		}
	}
	return 0
}

// usable reports whether a server may receive requests.
func (m *Module) usable(s *server) bool { return !s.Draining && !s.excluded }

// zoneShedding limits the requests admitted to a zone while none of its servers is normal.
type zoneShedding struct {
	updatedAt               Time
	ticks                   float64
	congestedTicks          float64 // ticks without a normal server
	admitRate               float64 // requests/s; valid if limiting
	limiting                bool
	dropPriority, dropOther float64
}

// updateShedding updates the drop ratios of each zone once per WeightInterval. While none of the
// zone's servers is normal, the admitted rate falls below the response rate; afterwards it grows
// step by step. Other requests are dropped first. Zones are independent: an overloaded zone is no
// reason to drop another zone's requests, and idle capacity does not help a zone that cannot send
// there.
func (m *Module) updateShedding() {
	type zoneSum struct {
		anyUsable, anyNormal bool
		answerRate           float64
	}
	sums := map[string]*zoneSum{}
	for _, s := range m.sortedServers {
		sum := sums[s.Zone]
		if sum == nil {
			sum = &zoneSum{}
			sums[s.Zone] = sum
		}
		if m.usable(s) {
			sum.answerRate += s.smoothedRate
			sum.anyUsable, sum.anyNormal = true, sum.anyNormal || s.mode == balance.Normal
		}
	}
	for zone := range m.sheddingByZone {
		if sums[zone] == nil {
			delete(m.sheddingByZone, zone)
		}
	}
	var zones map[string]*zoneState
	for zone, sum := range sums {
		shedding := m.sheddingByZone[zone]
		if shedding == nil {
			shedding = &zoneShedding{}
			m.sheddingByZone[zone] = shedding
		}
		shedding.ticks++
		if sum.anyUsable && !sum.anyNormal {
			shedding.congestedTicks++
		}
		if shedding.updatedAt != 0 && m.now-shedding.updatedAt < m.settings.WeightInterval {
			continue
		}
		if zones == nil {
			zones = m.zoneStates()
		}
		priorityRate, otherRate := m.arrivals(zone, zones)
		dropPriority, dropOther := shedding.dropRatios(priorityRate, otherRate, sum.answerRate)
		if dropPriority != shedding.dropPriority || dropOther != shedding.dropOther {
			shedding.dropPriority, shedding.dropOther, m.dirty = dropPriority, dropOther, true
		}
		shedding.updatedAt, shedding.ticks, shedding.congestedTicks = m.now, 0, 0
	}
}

// dropRatios updates the admitted rate for the period that ends now, and returns the fractions of
// priority and other requests to drop. Rates are in requests per second.
func (z *zoneShedding) dropRatios(priorityRate, otherRate, answerRate float64) (dropPriority, dropOther float64) {
	arrivals := priorityRate + otherRate
	if arrivals <= 0 {
		return 0, 0
	}
	switch congested := 2*z.congestedTicks >= z.ticks; {
	case congested: // a fraction of the current response rate, so that queues shrink
		limit := arrivals
		if z.limiting {
			limit = math.Min(arrivals, z.admitRate)
		}
		z.admitRate, z.limiting = math.Max(minAdmitFraction*arrivals, math.Min(limit, answerRate*admitFraction)), true
	case z.limiting:
		z.admitRate = math.Max(minAdmitFraction*arrivals, z.admitRate*admitGrowth)
	}
	// Guards against dropping requests that no server is too full for: the limit applies only after
	// congestion, until all arrivals fit under it. Otherwise proxies that join or report late would
	// look like congestion.
	if z.limiting = z.limiting && z.admitRate < arrivals; !z.limiting {
		return 0, 0
	}
	return balance.ShedSplit(1-z.admitRate/arrivals, priorityRate, otherRate)
}

// arrivals returns the priority and other requests per second destined for a zone, by the proxies'
// reports.
func (m *Module) arrivals(zone string, zones map[string]*zoneState) (priorityRate, otherRate float64) {
	for _, proxy := range m.sortedProxies {
		if from := zones[proxy.zone]; from != nil {
			priorityRate, otherRate =
				priorityRate+proxy.priorityRate*from.split[zone], otherRate+proxy.otherRate*from.split[zone]
		}
	}
	return priorityRate, otherRate
}
