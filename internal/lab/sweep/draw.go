// Package sweep plays random fault timelines in memory and shrinks those that
// break a rule. A seed names its timeline for good: the same seed draws the
// same scenario.
package sweep

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ivylock/internal/lab/scenario"
)

// Draw gives the scenario of a seed: two or three halls, a load from a third
// of what the servers can do to a little more than all of it, and one to five
// faults that may overlap where that can be carried out.
func Draw(seed int64) *scenario.Scenario {
	r := rand.New(rand.NewPCG(uint64(seed), 0x7377656570))
	span := func(lo, hi time.Duration) scenario.Span {
		return scenario.Span{Duration: (lo + time.Duration(r.Int64N(int64(hi-lo)))).Round(10 * time.Millisecond)}
	}
	s := &scenario.Scenario{Name: fmt.Sprintf("sweep-%d", seed), Seed: seed, Length: span(8*time.Second, 16*time.Second),
		Client: scenario.Client{Retries: r.IntN(3), TryShare: 0.5 + 0.3*r.Float64(), Honour: 0.7 + 0.3*r.Float64()},
		Hosts:  scenario.Hosts{Lag: span(100*time.Millisecond, 2*time.Second)}}
	capacity := 0.0
	for i, name := range []string{"hall-nord", "hall-syd", "hall-vest"}[:2+r.IntN(2)] {
		h := scenario.Hall{Name: name, Nodes: 1, PodSize: 3 + r.IntN(3), Servers: map[string]int{}}
		if i == 0 {
			h.Servers["std-6"] = 1 // every hall has one at least
		}
		for range 2 + r.IntN(4) {
			h.Servers[[]string{"fast-6", "std-6", "slow-6"}[r.IntN(3)]]++
		}
		s.Halls = append(s.Halls, h)
	}
	for _, x := range s.Servers() {
		capacity += 6 * map[string]float64{"fast-6": 1.3, "std-6": 0.97, "slow-6": 0.7}[x.Kind]
	}
	const meanWork = 0.127 // s, of the brief's mix
	s.Load.Rate = float64(int(capacity / meanWork * (0.3 + 0.8*r.Float64())))
	for range 1 + r.IntN(5) {
		f := drawFault(r, s, span)
		s.Faults = append(s.Faults, f)
		if scenario.Check(s) != nil { // it can't be carried out together with the others
			s.Faults = s.Faults[:len(s.Faults)-1]
		}
	}
	if err := scenario.Check(s); err != nil {
		panic(fmt.Sprintf("sweep: seed %d draws what can't be played: %v", seed, err))
	}
	return s
}

var kinds = []string{scenario.WhatSilent, scenario.WhatHang, scenario.WhatHeavy, scenario.WhatLost, scenario.WhatLostNodes,
	scenario.WhatKill, scenario.WhatTerm, scenario.WhatDrain, scenario.WhatReplace, scenario.WhatLink, scenario.WhatSpoil,
	scenario.WhatOutage, scenario.WhatLag, scenario.WhatForget, scenario.WhatFlap}

func drawFault(r *rand.Rand, s *scenario.Scenario, span func(lo, hi time.Duration) scenario.Span) scenario.Fault {
	f := scenario.Fault{What: kinds[r.IntN(len(kinds))], At: span(500*time.Millisecond, s.Length.Duration-time.Second),
		For: span(500*time.Millisecond, 8*time.Second)}
	servers, nodes := s.Servers(), s.Nodes()
	oneServer := func() []string { return []string{servers[r.IntN(len(servers))].Name} }
	switch f.What {
	case scenario.WhatHeavy:
		f.Class = []string{"broadcast-clip", "viewer-clip", "cut-order", "tag-event"}[r.IntN(4)]
		f.Part, f.Factor = 0.005+0.025*r.Float64(), 10+20*r.Float64()
	case scenario.WhatLost, scenario.WhatLostNodes:
		f.Who = []string{s.Halls[r.IntN(len(s.Halls))].Name}
	case scenario.WhatTerm:
		f.Who = []string{nodes[r.IntN(len(nodes))].Name}
		f.For = span(3200*time.Millisecond, 5*time.Second)
	case scenario.WhatKill:
		if f.Who = oneServer(); r.IntN(2) == 0 {
			f.Who = []string{nodes[r.IntN(len(nodes))].Name}
		}
	case scenario.WhatLink:
		f.Who = oneServer()
		if r.IntN(2) == 0 {
			f.Who = append(f.Who, nodes[r.IntN(len(nodes))].Name)
		}
		switch r.IntN(4) {
		case 0:
			f.Delay, f.Loss = span(5*time.Millisecond, 60*time.Millisecond), 0.05*r.Float64()
		default:
			f.State = []string{"half-open", "reset", "black-hole"}[r.IntN(3)]
		}
	case scenario.WhatSpoil:
		f.Who, f.Part = oneServer(), 0.05+0.5*r.Float64()
	case scenario.WhatLag:
		f.Delay = span(100*time.Millisecond, 4*time.Second)
	case scenario.WhatFlap:
		f.Who, f.Every = oneServer(), span(50*time.Millisecond, time.Second)
	case scenario.WhatReplace:
		f.Who, f.For = oneServer(), span(200*time.Millisecond, 3*time.Second)
	case scenario.WhatForget:
		f.For = scenario.Span{}
	case scenario.WhatOutage:
	default:
		f.Who = oneServer()
		if r.IntN(3) == 0 {
			f.Who = append(f.Who, oneServer()...)
		}
	}
	return f
}
