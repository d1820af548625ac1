// Package fleet draws scenarios of whole fleets for the lab's run in memory:
// from a dozen servers to ten thousand, from one proxy to a thousand, at a
// stated part of what the servers can do, with faults that grow with the
// fleet. They are too large for sockets.
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

// Fault names what goes wrong in a day.
type Fault string

// The faults.
const (
	NoFault         Fault = "quiet"   // nothing
	ServersIsolated Fault = "silent"  // one server in twelve is cut off for a third of the day and comes back cold
	ServersHung     Fault = "hang"    // one in twelve takes requests and answers none
	HeavyRequests   Fault = "heavy"   // one viewer clip in fifty costs twenty times its work
	ZoneLost        Fault = "lost"    // a whole hall is cut off and comes back cold
	ZoneReplaced    Fault = "replace" // all servers of a hall are replaced, a quarter at a time
	ZonesReturn     Fault = "return"  // all halls but one are lost and come back one by one
)

// Faults lists them all.
var Faults = []Fault{NoFault, ServersIsolated, ServersHung, HeavyRequests, ZoneLost, ZoneReplaced, ZonesReturn}

// Workload is one cell of an experiment.
type Workload struct {
	Servers int           `json:"servers"` // 3 to 10,000
	Proxies int           `json:"proxies"` // 1 to 1,000
	Zones   int           `json:"halls"`   // 1 to 26; 0: 3
	Load    float64       `json:"load"`    // of what warm servers can do, without a fault; 0.05 to 3
	Fault   Fault         `json:"fault"`
	Length  time.Duration `json:"length"` // of the load; 0: 24 s
	Retries int           `json:"retries"`
	// ControlServices is how many control services steered proxies are divided among;
	// 0 and 1: one. The first of several is lost for a third of the day.
	ControlServices int `json:"controls,omitempty"`
	SubsetSize      int `json:"subset,omitempty"` // servers of a hall that a steered proxy is told of, about; 0: all
	// ReportDelay is how long the reports of steered proxies take, on average; Frozen is
	// the part of the proxies that hears and says nothing from a third of the day on.
	ReportDelay    time.Duration `json:"late,omitempty"`
	FrozenFraction float64       `json:"frozen,omitempty"`
	Seed           int64         `json:"seed"`
}

// MeanWork is the mean work of a request by the brief's table, in seconds.
func MeanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range load.Classes {
		sum, share = sum+c.Share*(c.WorkLow+c.WorkHigh).Seconds()/2, share+c.Share
	}
	return sum / share
}

// Scenario draws the day: the same one for the same figures. Machine kinds are
// dealt out by the brief's parts.
func (d Workload) Scenario() (*scenario.Scenario, error) {
	if d.Zones == 0 {
		d.Zones = 3
	}
	if d.Length == 0 {
		d.Length = 24 * time.Second
	}
	switch {
	case d.Servers < 3 || d.Servers > 10_000:
		return nil, fmt.Errorf("fleet: want 3 to 10,000 servers, have %d", d.Servers)
	case d.Proxies < 1 || d.Proxies > 1_000:
		return nil, fmt.Errorf("fleet: want 1 to 1,000 proxies, have %d", d.Proxies)
	case d.Zones < 1 || d.Zones > 26 || d.Zones > d.Servers:
		return nil, fmt.Errorf("fleet: want 1 to 26 halls with a server each, have %d", d.Zones)
	case !(d.Load >= 0.05 && d.Load <= 3):
		return nil, fmt.Errorf("fleet: want a load of 0.05 to 3 of the capacity, have %v", d.Load)
	}
	r := rand.New(rand.NewPCG(uint64(d.Seed), 0x666c656574))
	span := func(t time.Duration) scenario.Span { return scenario.Span{Duration: t} }
	s := &scenario.Scenario{Name: fmt.Sprintf("fleet-%d-%s", d.Servers, d.Fault), Seed: d.Seed, Length: span(d.Length),
		Client: scenario.Client{Retries: d.Retries, RetryAfterFraction: 0.85}}
	capacity := 0.0
	for i := range d.Zones {
		h := scenario.Zone{Name: fmt.Sprintf("hall-%c", 'a'+i), Servers: map[string]int{}, PodSize: 4}
		for n := i; n < d.Servers; n += d.Zones {
			kind := "slow-6"
			if x := r.Float64(); x < 0.39 {
				kind = "fast-6"
			} else if x < 0.74 {
				kind = "std-6"
			}
			h.Servers[kind]++
			m, err := clip.NewMachine(kind)
			if err != nil {
				return nil, err
			}
			capacity += m.Capacity()
		}
		for n := i; n < d.Proxies; n += d.Zones {
			h.Nodes++
		}
		s.Zones = append(s.Zones, h)
	}
	s.Load.Rate = capacity / MeanWork() * d.Load
	if err := d.faults(s, r); err != nil {
		return nil, err
	}
	return s, scenario.CheckInMemory(s)
}

// faults puts what goes wrong on the timeline.
func (d Workload) faults(s *scenario.Scenario, r *rand.Rand) error {
	at := func(part float64) scenario.Span {
		return scenario.Span{Duration: time.Duration(part * float64(d.Length)).Round(time.Millisecond)}
	}
	var names []string
	for _, x := range s.Servers() {
		names = append(names, x.Name)
	}
	some := func(part float64) []string {
		r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		return names[:max(1, int(part*float64(len(names))))]
	}
	add := func(f scenario.Fault) { s.Faults = append(s.Faults, f) }
	switch d.Fault {
	case NoFault, "":
	case ServersIsolated:
		add(scenario.Fault{Kind: scenario.FaultSilent, At: at(0.25), For: at(0.33), Targets: some(1.0 / 12)})
	case ServersHung:
		add(scenario.Fault{Kind: scenario.FaultHang, At: at(0.25), For: at(0.4), Targets: some(1.0 / 12)})
	case HeavyRequests:
		add(scenario.Fault{Kind: scenario.FaultHeavy, At: at(0.2), For: at(0.6), Class: "viewer-clip", Fraction: 0.02, Factor: 20})
	case ZoneLost:
		add(scenario.Fault{Kind: scenario.FaultZoneLost, At: at(0.25), For: at(0.33), Targets: []string{s.Zones[len(s.Zones)-1].Name}})
	case ZoneReplaced:
		var own []string
		for _, x := range s.Servers() {
			if x.Zone == s.Zones[0].Name {
				own = append(own, x.Name)
			}
		}
		for i := range 4 {
			from, to := i*len(own)/4, (i+1)*len(own)/4
			if from < to {
				add(scenario.Fault{Kind: scenario.FaultReplace, At: at(0.15 + 0.17*float64(i)), For: at(0.04), Targets: own[from:to]})
			}
		}
	case ZonesReturn:
		order := r.Perm(len(s.Zones) - 1)
		for i, h := range order {
			add(scenario.Fault{Kind: scenario.FaultZoneLost, At: at(0.2), For: at(0.2 + 0.1*float64(i)), Targets: []string{s.Zones[h+1].Name}})
		}
	default:
		all := make([]string, len(Faults))
		for i, f := range Faults {
			all[i] = string(f)
		}
		return fmt.Errorf("fleet: unknown fault %q; there are %s", d.Fault, strings.Join(all, ", "))
	}
	return nil
}
