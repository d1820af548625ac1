package steer

import (
	"math"

	"barrowscale/balance"
)

const (
	gain      = 1.0  // power of the mean delay by a server's own, by which its weight differs from its size's
	deadBand  = 0.15 // a delay so near to the mean moves nothing
	leastPart = 0.05 // of the mean weight; a blocked server has no more: proxies know no server without weight
	mostPart  = 4.0
	flowLeast = 0.02 // part of the arrivals that is let in at least: to learn how it goes
)

// move changes the weights, at most once every ChangeEvery, each by at most
// ChangeBy. Normal servers are weighed by their size and their delay; the others
// go down while any is normal. Only a server that gets blocked falls further, at once.
func (m *Module) move() {
	if m.moved != 0 && m.now-m.moved < m.set.ChangeEvery {
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
	sum := 0.0
	count = 0
	for _, s := range m.order {
		if !m.usable(s) {
			continue
		}
		target := s.size / mean
		if d := m.delay(s); d > 0 && m.mean > 0 {
			if r := m.mean / d; r < 1-deadBand || r > 1+deadBand {
				target *= math.Pow(r, gain)
			}
		}
		if s.mode != balance.Normal && normal || s.mode == balance.Blocking {
			target = 0
		}
		target = math.Min(mostPart, math.Max(leastPart, target))
		s.next = math.Min(s.weight*m.set.ChangeBy, math.Max(s.weight/m.set.ChangeBy, target))
		sum, count = sum+s.next, count+1
	}
	for _, s := range m.order {
		if !m.usable(s) {
			continue
		}
		// The mean stays 1, within the bound on each step.
		next := s.next * count / sum
		next = math.Min(s.weight*m.set.ChangeBy, math.Max(s.weight/m.set.ChangeBy, next))
		if next != s.weight {
			s.weight, m.dirty = next, true
		}
	}
}

// usable servers get requests.
func (m *Module) usable(s *server) bool { return !s.Draining && !s.excluded }

// shedding is the flow that is let in while no server is normal.
type shedding struct {
	at      Time
	ticks   float64
	crowded float64 // ticks at which none was normal
	flow    float64 // requests a second
	q1, q2  float64
}

// divide renews q1 and q2 once a second: while none is normal the flow falls
// towards what is answered, and grows again by steps; other requests go first.
func (m *Module) divide() {
	d := &m.shed
	any, normal := false, false
	for _, s := range m.order {
		if m.usable(s) {
			any, normal = true, normal || s.mode == balance.Normal
		}
	}
	d.ticks++
	if any && !normal {
		d.crowded++
	}
	if d.at != 0 && m.now-d.at < m.set.ChangeEvery {
		return
	}
	in1, in2 := 0.0, 0.0
	for _, p := range m.present {
		in1, in2 = in1+p.in1, in2+p.in2
	}
	q1, q2 := 0.0, 0.0
	if in := in1 + in2; in > 0 {
		if d.at == 0 || d.flow == 0 {
			d.flow = 1.5 * in
		}
		part := d.crowded / d.ticks
		from := math.Min(1.5*in, d.flow)
		if part > 0 {
			from = math.Min(in, from)
		}
		d.flow = math.Max(flowLeast*in, from*(1.1-0.3*part))
		if d.flow < in {
			q1, q2 = balance.ShedSplit(1-d.flow/in, in1, in2)
		}
	}
	if q1 != d.q1 || q2 != d.q2 {
		d.q1, d.q2, m.dirty = q1, q2, true
	}
	d.at, d.ticks, d.crowded = m.now, 0, 0
}
