// Package sweep simulates random fault timelines in memory and shrinks those that
// break a rule. The same seed always generates the same scenario.
package sweep

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ivylock/internal/lab/scenario"
)

// Generate returns the scenario of a seed: two or three zones, a load between a
// third and a little more than the capacity of the servers, and one to five faults
// that may overlap where scenario.Check allows it.
func Generate(seed int64) *scenario.Scenario {
	r := rand.New(rand.NewPCG(uint64(seed), 0x7377656570))
	span := func(lo, hi time.Duration) scenario.Span {
		return scenario.Span{Duration: (lo + time.Duration(r.Int64N(int64(hi-lo)))).Round(10 * time.Millisecond)}
	}
	s := &scenario.Scenario{Name: fmt.Sprintf("sweep-%d", seed), Seed: seed, Length: span(8*time.Second, 16*time.Second),
		Client:    scenario.Client{Retries: r.IntN(3), TryTimeoutFraction: 0.5 + 0.3*r.Float64(), RetryAfterFraction: 0.7 + 0.3*r.Float64()},
		Discovery: scenario.Discovery{NotificationDelay: span(100*time.Millisecond, 2*time.Second)}}
	capacity := 0.0
	for i, name := range []string{"hall-nord", "hall-syd", "hall-vest"}[:2+r.IntN(2)] {
		zone := scenario.Zone{Name: name, Nodes: 1, PodSize: 3 + r.IntN(3), Servers: map[string]int{}}
		if i == 0 {
			zone.Servers["std-6"] = 1 // the first zone has at least one of this kind
		}
		for range 2 + r.IntN(4) {
			zone.Servers[[]string{"fast-6", "std-6", "slow-6"}[r.IntN(3)]]++
		}
		s.Zones = append(s.Zones, zone)
	}
	for _, server := range s.Servers() {
		capacity += 6 * map[string]float64{"fast-6": 1.3, "std-6": 0.97, "slow-6": 0.7}[server.Kind]
	}
	const meanWork = 0.127 // s, of the default mix of classes
	s.Load.Rate = float64(int(capacity / meanWork * (0.3 + 0.8*r.Float64())))
	for range 1 + r.IntN(5) {
		f := generateFault(r, s, span)
		s.Faults = append(s.Faults, f)
		if scenario.Check(s) != nil { // not valid together with the earlier faults
			s.Faults = s.Faults[:len(s.Faults)-1]
		}
	}
	if err := scenario.Check(s); err != nil {
		panic(fmt.Sprintf("sweep: seed %d generates an invalid scenario: %v", seed, err))
	}
	return s
}

var faultKinds = []string{scenario.FaultSilent, scenario.FaultHang, scenario.FaultHeavy, scenario.FaultZoneLost, scenario.FaultZoneAndNodesLost,
	scenario.FaultKill, scenario.FaultRestart, scenario.FaultDrain, scenario.FaultReplace, scenario.FaultLink, scenario.FaultCorrupt,
	scenario.FaultDiscoveryOutage, scenario.FaultDiscoveryDelay, scenario.FaultDiscoveryRestart, scenario.FaultFlap}

func generateFault(r *rand.Rand, s *scenario.Scenario, span func(lo, hi time.Duration) scenario.Span) scenario.Fault {
	f := scenario.Fault{Kind: faultKinds[r.IntN(len(faultKinds))], At: span(500*time.Millisecond, s.Length.Duration-time.Second),
		For: span(500*time.Millisecond, 8*time.Second)}
	servers, nodes := s.Servers(), s.Nodes()
	randomServer := func() []string { return []string{servers[r.IntN(len(servers))].Name} }
	switch f.Kind {
	case scenario.FaultHeavy:
		f.Class = []string{"broadcast-clip", "viewer-clip", "cut-order", "tag-event"}[r.IntN(4)]
		f.Fraction, f.Factor = 0.005+0.025*r.Float64(), 10+20*r.Float64()
	case scenario.FaultZoneLost, scenario.FaultZoneAndNodesLost:
		f.Targets = []string{s.Zones[r.IntN(len(s.Zones))].Name}
	case scenario.FaultRestart:
		f.Targets = []string{nodes[r.IntN(len(nodes))].Name}
		f.For = span(3200*time.Millisecond, 5*time.Second)
	case scenario.FaultKill:
		if f.Targets = randomServer(); r.IntN(2) == 0 {
			f.Targets = []string{nodes[r.IntN(len(nodes))].Name}
		}
	case scenario.FaultLink:
		f.Targets = randomServer()
		if r.IntN(2) == 0 {
			f.Targets = append(f.Targets, nodes[r.IntN(len(nodes))].Name)
		}
		switch r.IntN(4) {
		case 0:
			f.Delay, f.Loss = span(5*time.Millisecond, 60*time.Millisecond), 0.05*r.Float64()
		default:
			f.State = []string{"half-open", "reset", "black-hole"}[r.IntN(3)]
		}
	case scenario.FaultCorrupt:
		f.Targets, f.Fraction = randomServer(), 0.05+0.5*r.Float64()
	case scenario.FaultDiscoveryDelay:
		f.Delay = span(100*time.Millisecond, 4*time.Second)
	case scenario.FaultFlap:
		f.Targets, f.Interval = randomServer(), span(50*time.Millisecond, time.Second)
	case scenario.FaultReplace:
		f.Targets, f.For = randomServer(), span(200*time.Millisecond, 3*time.Second)
	case scenario.FaultDiscoveryRestart:
		f.For = scenario.Span{}
	case scenario.FaultDiscoveryOutage:
	default:
		f.Targets = randomServer()
		if r.IntN(3) == 0 {
			f.Targets = append(f.Targets, randomServer()...)
		}
	}
	return f
}
