// Package fleet generates scenarios of whole fleets for the in-memory lab: a dozen to ten thousand
// servers, one to a thousand proxies, at a given fraction of the servers' capacity, with faults
// that scale with the fleet. Such fleets are too large for sockets.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
)

// Fault names the fault in a workload.
type Fault string

// The faults.
const (
	NoFault         Fault = "quiet"   // no fault
	ServersIsolated Fault = "silent"  // one server in twelve is isolated for a third of the length, then cold
	ServersHung     Fault = "hang"    // one server in twelve accepts requests and answers none
	HeavyRequests   Fault = "heavy"   // one viewer clip in fifty takes twenty times its work
	ZoneLost        Fault = "lost"    // a zone is isolated and comes back cold
	ZoneReplaced    Fault = "replace" // all servers of a zone are replaced, a quarter at a time
	ZonesReturn     Fault = "return"  // all zones but one are lost and come back one by one
)

// Faults lists all faults.
var Faults = []Fault{NoFault, ServersIsolated, ServersHung, HeavyRequests, ZoneLost, ZoneReplaced, ZonesReturn}

// Workload is one cell of an experiment.
type Workload struct {
	Servers int           `json:"servers"` // 3 to 10,000
	Proxies int           `json:"proxies"` // 1 to 1,000
	Zones   int           `json:"halls"`   // 1 to 26; 0: 3
	Load    float64       `json:"load"`    // fraction of the capacity of warm servers without a fault, 0.05 to 3
	Fault   Fault         `json:"fault"`
	Length  time.Duration `json:"length"` // of the load; 0: 24 s
	Retries int           `json:"retries"`
	// ControlServices is the number of control services that the xDS proxies are divided among; 0
	// means 1. With several, the first one is out of service for a third of the length.
	ControlServices int `json:"controls,omitempty"`
	// SubsetSize is the approximate number of servers of a zone that an xDS proxy is sent; 0: all.
	SubsetSize int `json:"subset,omitempty"`
	// ReportDelay is the mean delay of the xDS proxies' reports. FrozenFraction is the fraction of
	// the proxies that neither receive nor send anything after a third of the length.
	ReportDelay    time.Duration `json:"late,omitempty"`
	FrozenFraction float64       `json:"frozen,omitempty"`
	Seed           int64         `json:"seed"`
}

// MeanWork is the mean work of a request of the default classes, in seconds on a core of speed 1.
func MeanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range load.Classes {
		sum, share = sum+c.Share*(c.WorkLow+c.WorkHigh).Seconds()/2, share+c.Share
	}
	return sum / share
}

// Scenario generates the scenario, the same one for the same workload. Machine kinds are drawn in
// fixed proportions. It fails if a field is out of its range.
func (w Workload) Scenario() (*scenario.Scenario, error) {
	if w.Zones == 0 {
		w.Zones = 3
	}
	if w.Length == 0 {
		w.Length = 24 * time.Second
	}
	switch {
	case w.Servers < 3 || w.Servers > 10_000:
		return nil, fmt.Errorf("fleet: want 3 to 10,000 servers, have %d", w.Servers)
	case w.Proxies < 1 || w.Proxies > 1_000:
		return nil, fmt.Errorf("fleet: want 1 to 1,000 proxies, have %d", w.Proxies)
	case w.Zones < 1 || w.Zones > 26 || w.Zones > w.Servers:
		return nil, fmt.Errorf("fleet: want 1 to 26 halls with a server each, have %d", w.Zones)
	case !(w.Load >= 0.05 && w.Load <= 3):
		return nil, fmt.Errorf("fleet: want a load of 0.05 to 3 of the capacity, have %v", w.Load)
	}
	rng := rand.New(rand.NewPCG(uint64(w.Seed), 0x666c656574))
	span := func(t time.Duration) scenario.Span { return scenario.Span{Duration: t} }
	s := &scenario.Scenario{Name: fmt.Sprintf("fleet-%d-%s", w.Servers, w.Fault), Seed: w.Seed, Length: span(w.Length),
		Client: scenario.Client{Retries: w.Retries, RetryAfterFraction: 0.85}}
	capacity := 0.0
	for i := range w.Zones {
		zone := scenario.Zone{Name: fmt.Sprintf("hall-%c", 'a'+i), Servers: map[string]int{}, PodSize: 4}
		for n := i; n < w.Servers; n += w.Zones {
			kind := "slow-6"
			if x := rng.Float64(); x < 0.39 {
				kind = "fast-6"
			} else if x < 0.74 {
				kind = "std-6"
			}
			zone.Servers[kind]++
			m, err := clip.NewMachine(kind)
			if err != nil {
				return nil, err
			}
			capacity += m.Capacity()
		}
		for n := i; n < w.Proxies; n += w.Zones {
			zone.Nodes++
		}
		s.Zones = append(s.Zones, zone)
	}
	s.Load.Rate = capacity / MeanWork() * w.Load
	if err := w.faults(s, rng); err != nil {
		return nil, err
	}
	return s, scenario.CheckInMemory(s)
}

// faults adds the workload's fault to a scenario.
func (w Workload) faults(s *scenario.Scenario, rng *rand.Rand) error {
	at := func(fraction float64) scenario.Span {
		return scenario.Span{Duration: time.Duration(fraction * float64(w.Length)).Round(time.Millisecond)}
	}
	var names []string
	for _, x := range s.Servers() {
		names = append(names, x.Name)
	}
	sample := func(fraction float64) []string {
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		return names[:max(1, int(fraction*float64(len(names))))]
	}
	add := func(f scenario.Fault) { s.Faults = append(s.Faults, f) }
	switch w.Fault {
	case NoFault, "":
	case ServersIsolated:
		add(scenario.Fault{Kind: scenario.FaultSilent, At: at(0.25), For: at(0.33), Targets: sample(1.0 / 12)})
	case ServersHung:
		add(scenario.Fault{Kind: scenario.FaultHang, At: at(0.25), For: at(0.4), Targets: sample(1.0 / 12)})
	case HeavyRequests:
		add(scenario.Fault{Kind: scenario.FaultHeavy, At: at(0.2), For: at(0.6), Class: "viewer-clip", Fraction: 0.02, Factor: 20})
	case ZoneLost:
		add(scenario.Fault{Kind: scenario.FaultZoneLost, At: at(0.25), For: at(0.33), Targets: []string{s.Zones[len(s.Zones)-1].Name}})
	case ZoneReplaced:
		var servers []string
		for _, x := range s.Servers() {
			if x.Zone == s.Zones[0].Name {
				servers = append(servers, x.Name)
			}
		}
		for i := range 4 {
			from, to := i*len(servers)/4, (i+1)*len(servers)/4
			if from < to {
				add(scenario.Fault{Kind: scenario.FaultReplace, At: at(0.15 + 0.17*float64(i)), For: at(0.04), Targets: servers[from:to]})
			}
		}
	case ZonesReturn:
		order := rng.Perm(len(s.Zones) - 1)
		for i, z := range order {
			add(scenario.Fault{Kind: scenario.FaultZoneLost, At: at(0.2), For: at(0.2 + 0.1*float64(i)), Targets: []string{s.Zones[z+1].Name}})
		}
	default:
		names := make([]string, len(Faults))
		for i, f := range Faults {
			names[i] = string(f)
		}
		return fmt.Errorf("fleet: unknown fault %q; there are %s", w.Fault, strings.Join(names, ", "))
	}
	return nil
}
