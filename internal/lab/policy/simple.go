package policy

import (
	"math"
	"math/rand/v2"

	"ivylock/balance"
)

// chance takes any.
type chance struct {
	quiet
	rnd *rand.Rand
}

func (c *chance) choose(_ balance.Time, from []*server, _ bool) *server {
	return from[c.rnd.IntN(len(from))]
}

// turn takes one after another, from a place of its own.
type turn struct {
	quiet
	at int
}

func (c *turn) choose(_ balance.Time, from []*server, _ bool) *server {
	c.at++
	return from[c.at%len(from)]
}

// two gives two different ones where there are as many.
func two(rnd *rand.Rand, from []*server) (a, b *server) {
	i := rnd.IntN(len(from))
	if len(from) == 1 {
		return from[0], from[0]
	}
	j := rnd.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	return from[i], from[j]
}

// leastOfTwo takes the one with fewer requests of this proxy.
type leastOfTwo struct {
	quiet
	rnd *rand.Rand
}

func (c *leastOfTwo) choose(_ balance.Time, from []*server, _ bool) *server {
	a, b := two(c.rnd, from)
	if b.out < a.out {
		return b
	}
	return a
}

// fewest takes one of those with the fewest requests of this proxy, by chance.
// Servers stand in rows by how many they have, so that a choice costs the same
// however many there are.
type fewest struct {
	rnd  *rand.Rand
	rows [][]*server
}

func (c *fewest) listed(_ balance.Time, ready []*server) {
	for _, row := range c.rows {
		for _, s := range row {
			s.inRow = false
		}
	}
	c.rows = nil
	for _, s := range ready {
		c.enter(s)
	}
}

func (c *fewest) enter(s *server) {
	for s.out >= len(c.rows) {
		c.rows = append(c.rows, nil)
	}
	s.place, s.inRow = len(c.rows[s.out]), true
	c.rows[s.out] = append(c.rows[s.out], s)
}

func (c *fewest) leave(s *server, row int) {
	r := c.rows[row]
	last := r[len(r)-1]
	r[s.place], last.place = last, s.place
	c.rows[row] = r[:len(r)-1]
}

func (c *fewest) sent(_ balance.Time, s *server) {
	if s.inRow {
		c.leave(s, s.out-1)
		c.enter(s)
	}
}

func (c *fewest) ended(_ balance.Time, s *server, _ *balance.AttemptEnded) {
	if s.inRow {
		c.leave(s, s.out+1)
		c.enter(s)
	}
}

func (c *fewest) choose(_ balance.Time, from []*server, all bool) *server {
	if all {
		for _, row := range c.rows {
			if len(row) > 0 {
				return row[c.rnd.IntN(len(row))]
			}
		}
	}
	best := from[c.rnd.IntN(len(from))]
	for _, s := range from {
		if s.out < best.out {
			best = s
		}
	}
	return best
}

// ewma takes the cheaper of two: latency, which rises at once and falls with a
// time constant, times the requests of this proxy. A server that has not
// answered yet counts as cheap unless it has requests out.
type ewma struct {
	quiet
	rnd *rand.Rand
}

const (
	ewmaTau     = 10.0 // s, Finagle's default
	ewmaPenalty = 1e3  // s, of a server that has requests and never answered
)

func (c *ewma) ended(now balance.Time, s *server, e *balance.AttemptEnded) {
	if e.Code == balance.Moot || e.Code == balance.Full || e.Code == balance.ConnectFailed {
		return // they say nothing of how long it takes
	}
	took := e.Elapsed.Seconds()
	if w := math.Exp(-(now - s.costAt).Seconds() / ewmaTau); took > s.cost {
		s.cost = took
	} else {
		s.cost = s.cost*w + took*(1-w)
	}
	s.costAt = now
}

func (c *ewma) costOf(now balance.Time, s *server) float64 {
	switch {
	case s.cost == 0 && s.out > 0:
		return ewmaPenalty + float64(s.out)
	case s.cost == 0:
		return 0
	}
	return s.cost * math.Exp(-(now-s.costAt).Seconds()/ewmaTau) * float64(s.out+1)
}

func (c *ewma) choose(now balance.Time, from []*server, _ bool) *server {
	a, b := two(c.rnd, from)
	if c.costOf(now, b) < c.costOf(now, a) {
		return b
	}
	return a
}

// herd takes the same one as all others, another in each second.
type herd struct{ quiet }

func (*herd) choose(now balance.Time, from []*server, _ bool) *server {
	return from[int(now.Seconds())%len(from)]
}
