package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/policy"
)

// The same day is the same on every number of cores, and another seed is
// another day.
func TestADayIsTheSameEachTime(t *testing.T) {
	d := Workload{Servers: 30, Proxies: 9, Load: 0.6, Fault: ServersIsolated, Length: 8 * time.Second, Retries: 1, Seed: 5}
	var first string
	for i, procs := range []int{1, 2, 4} {
		before := runtime.GOMAXPROCS(procs)
		r, err := Run(d, policy.TwoChoices)
		runtime.GOMAXPROCS(before)
		if err != nil {
			t.Fatal(err)
		}
		if text := fmt.Sprintf("%+v", r); i == 0 {
			first = text
		} else if text != first {
			t.Errorf("%d cores: another day", procs)
		}
	}
	d.Seed = 6
	if r, _ := Run(d, policy.TwoChoices); fmt.Sprintf("%+v", r) == first {
		t.Error("two seeds gave the same day")
	}
}

func TestEachFaultCanBePlayedAtEachSize(t *testing.T) {
	for _, f := range Faults {
		for _, n := range []int{3, 12, 100, 1000} {
			s, err := Workload{Servers: n, Proxies: max(1, n/10), Load: 0.5, Fault: f, Seed: 1}.Scenario()
			if err != nil {
				t.Errorf("%s with %d servers: %v", f, n, err)
				continue
			}
			if got := len(s.Servers()); got != n {
				t.Errorf("%s: %d servers of %d", f, got, n)
			}
			if f != NoFault && len(s.Faults) == 0 {
				t.Errorf("%s with %d servers: no fault", f, n)
			}
		}
	}
}

// BenchmarkModel tells how fast the model is: events and seconds of virtual
// time a second of one core.
func BenchmarkModel(b *testing.B) {
	for _, size := range []struct{ servers, proxies int }{{12, 3}, {100, 10}, {1000, 30}, {10000, 100}} {
		b.Run(fmt.Sprintf("%d-servers", size.servers), func(b *testing.B) {
			steps, virtual := uint64(0), time.Duration(0)
			for i := 0; b.Loop(); i++ {
				r, err := Run(Workload{Servers: size.servers, Proxies: size.proxies, Load: 0.6, Fault: NoFault,
					Length: time.Duration(max(1, 2000/size.servers)) * time.Second, Seed: int64(i + 1)}, policy.TwoChoices)
				if err != nil {
					b.Fatal(err)
				}
				steps, virtual = steps+r.Steps, virtual+r.SimulatedTime
			}
			b.ReportMetric(float64(steps)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(virtual.Seconds()/b.Elapsed().Seconds(), "model-s/s")
		})
	}
}

// Steered proxies do not go all for one server and then all for another: what a
// server is sent varies little more from second to second than by chance, with
// many proxies too. The measure is shown to see a herd.
func TestSteeredProxiesDoNotHerd(t *testing.T) {
	d := Workload{Servers: 24, Proxies: 12, Load: 0.6, Fault: NoFault, Length: 16 * time.Second, Seed: 3}
	swing := func(way policy.Name, d Workload) float64 {
		r, err := Run(d, way)
		if err != nil {
			t.Fatal(err)
		}
		return r.DispersionIndex
	}
	chance, steered, herd := swing(policy.Random, d), swing(policy.XDS, d), swing(policy.Herd, d)
	t.Logf("chance %.2f, steered %.2f, a herd %.0f", chance, steered, herd)
	if steered > 2 || chance > 2 {
		t.Errorf("steered %.2f, by chance %.2f", steered, chance)
	}
	if herd < 20 {
		t.Errorf("a herd is %.2f", herd)
	}
	d.Load, d.ReportDelay = 0.9, time.Second
	if s := swing(policy.XDS, d); s > 4 {
		t.Errorf("at 0.9 of the capacity with late reports %.2f", s)
	}
}

// Reports that come late and out of order, and proxies that hear and say
// nothing: no rule is broken, and most is served.
func TestLateReportsAndFrozenProxies(t *testing.T) {
	for _, f := range []Fault{NoFault, ZoneReplaced, ZoneLost} {
		d := Workload{Servers: 24, Proxies: 20, Load: 0.5, Fault: f, Length: 16 * time.Second, Seed: 2, ReportDelay: time.Second, FrozenFraction: 0.1, Retries: 1}
		r, err := Run(d, policy.XDS)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Breaches {
			if b.Rule != judge.DrainsRespected { // a frozen proxy hears of no drain; over xDS its lease would have run out
				t.Errorf("%s: %v", f, b)
			}
		}
		if least := map[Fault]float64{NoFault: 0.9, ZoneReplaced: 0.75, ZoneLost: 0.6}[f]; r.Service.Measure < least {
			t.Errorf("%s: %.3f", f, r.Service.Measure)
		}
		t.Logf("%s: %.3f, %v", f, r.Service.Measure, r.Counts)
	}
}
