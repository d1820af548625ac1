package steer

import (
	"cmp"
	"math"
	"slices"

	"ivylock/balance"
)

const (
	stopPart  = 0.7  // of its weight that a blocked server goes towards: more would push over the others
	fallMost  = 0.8  // a delay over the typical one lowers a weight by no more, or weights swing
	overPart  = 0.9  // of its weight that an overloaded server goes towards while any is normal
	riseMost  = 1.25 // a delay under the typical one raises a weight by no more: it may only be idle
	deadBand  = 0.15 // a delay so near to the mean moves nothing
	leastPart = 0.05 // of the mean weight; proxies know no server without weight
	mostPart  = 4.0
	flowPart  = 0.9  // of what is answered, that is let in while no server is normal
	flowGrow  = 1.05 // a second, when one is again
	flowLeast = 0.02 // part of the arrivals that is let in at least: to learn how it goes
)

// move changes the weights, at most once every WeightInterval, each by at most
// MaxWeightFactor. Normal servers are weighed by their size and their delay;
// overloaded ones go down while any is normal, blocked ones two steps at once.
// None goes at a stroke: its requests would push over the others.
func (m *Module) move() {
	if m.moved != 0 && m.now-m.moved < m.set.WeightInterval {
		return
	}
	m.moved = m.now
	normal := false
	for _, s := range m.order {
		normal = normal || m.usable(s) && s.mode == balance.Normal
	}
	mean, count := 0.0, 0.0
	for _, s := range m.order {
		if m.usable(s) {
			mean, count = mean+s.size, count+1
		}
	}
	mean /= math.Max(1, count)
	typical := m.typical()
	for _, s := range m.order {
		if !m.usable(s) {
			continue
		}
		target := s.size / mean
		if d := m.delay(s); d > 0 && typical > 0 {
			if r := typical / d; r < 1-deadBand || r > 1+deadBand {
				target *= math.Min(riseMost, math.Max(fallMost, math.Sqrt(r)))
			}
		}
		down := s.weight / m.set.MaxWeightFactor
		switch {
		case s.mode == balance.Blocking:
			target, down = target*stopPart, down/m.set.MaxWeightFactor
		case s.mode == balance.Overloaded && normal:
			target *= overPart
		}
		target = math.Min(mostPart, math.Max(leastPart, target))
		next := math.Min(s.weight*m.set.MaxWeightFactor, math.Max(down, target))
		if next != s.weight {
			s.weight, m.dirty = next, true
		}
	}
}

// typical is the delay that half of the answers come within: one slow server
// does not change what the others are held against.
func (m *Module) typical() float64 {
	type one struct{ delay, rate float64 }
	var all []one
	sum := 0.0
	for _, s := range m.order {
		if d := m.delay(s); d > 0 && m.usable(s) {
			all, sum = append(all, one{d, s.rate}), sum+s.rate
		}
	}
	slices.SortFunc(all, func(a, b one) int { return cmp.Compare(a.delay, b.delay) })
	for _, x := range all {
		if sum -= 2 * x.rate; sum <= 0 {
			return x.delay
		}
	}
	return 0
}

// usable servers get requests.
func (m *Module) usable(s *server) bool { return !s.Draining && !s.excluded }

// shedding is the flow that is let in to a hall while none of its servers is
// normal.
type shedding struct {
	at      Time
	ticks   float64
	crowded float64 // ticks at which none was normal
	flow    float64 // requests a second, if binds
	binds   bool
	q1, q2  float64
}

// divide renews q1 and q2 of each hall once a second: while none of its servers
// is normal the flow falls below what is answered, and grows again by steps;
// other requests go first. One hall's crowd is no reason to refuse another's
// requests, and a hall that is idle does not help one that can't send there.
func (m *Module) divide() {
	type sum struct {
		any, normal bool
		answered    float64
	}
	sums := map[string]*sum{}
	for _, s := range m.order {
		x := sums[s.Zone]
		if x == nil {
			x = &sum{}
			sums[s.Zone] = x
		}
		if m.usable(s) {
			x.answered += s.rate
			x.any, x.normal = true, x.normal || s.mode == balance.Normal
		}
	}
	for z := range m.shed {
		if sums[z] == nil {
			delete(m.shed, z)
		}
	}
	var halls map[string]*hall
	for z, x := range sums {
		d := m.shed[z]
		if d == nil {
			d = &shedding{}
			m.shed[z] = d
		}
		d.ticks++
		if x.any && !x.normal {
			d.crowded++
		}
		if d.at != 0 && m.now-d.at < m.set.WeightInterval {
			continue
		}
		if halls == nil {
			halls = m.halls()
		}
		in1, in2 := m.arrivals(z, halls)
		q1, q2 := 0.0, 0.0
		if in := in1 + in2; in > 0 {
			switch crowded := 2*d.crowded >= d.ticks; {
			case crowded: // what is answered now is what can be; a part of it, so that queues go
				from := in
				if d.binds {
					from = math.Min(in, d.flow)
				}
				d.flow, d.binds = math.Max(flowLeast*in, math.Min(from, x.answered*flowPart)), true
			case d.binds:
				d.flow = math.Max(flowLeast*in, d.flow*flowGrow)
			}
			// Guards against refusing what nobody is too full for: a flow that was
			// let in holds after a crowd only, and no longer once all comes in. Else
			// proxies that come or report later than others would be a crowd.
			if d.binds = d.binds && d.flow < in; d.binds {
				q1, q2 = balance.ShedSplit(1-d.flow/in, in1, in2)
			}
		}
		if q1 != d.q1 || q2 != d.q2 {
			d.q1, d.q2, m.dirty = q1, q2, true
		}
		d.at, d.ticks, d.crowded = m.now, 0, 0
	}
}

// arrivals gives the requests a second that are meant for a hall, priority and
// others, as the proxies' reports have them.
func (m *Module) arrivals(zone string, halls map[string]*hall) (in1, in2 float64) {
	for _, p := range m.present {
		if h := halls[p.zone]; h != nil {
			in1, in2 = in1+p.in1*h.share[zone], in2+p.in2*h.share[zone]
		}
	}
	return in1, in2
}
