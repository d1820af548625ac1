package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/policy"
)

// A run does not depend on the number of cores, only on its workload and seed.
func TestRunIsDeterministic(t *testing.T) {
	w := Workload{Servers: 30, Proxies: 9, Load: 0.6, Fault: ServersIsolated, Length: 8 * time.Second, Retries: 1, Seed: 5}
	var want string
	for i, procs := range []int{1, 2, 4} {
		before := runtime.GOMAXPROCS(procs)
		r, err := Run(w, policy.TwoChoices)
		runtime.GOMAXPROCS(before)
		if err != nil {
			t.Fatal(err)
		}
		if text := fmt.Sprintf("%+v", r); i == 0 {
			want = text
		} else if text != want {
			t.Errorf("%d cores: another result", procs)
		}
	}
	w.Seed = 6
	if r, _ := Run(w, policy.TwoChoices); fmt.Sprintf("%+v", r) == want {
		t.Error("two seeds gave the same result")
	}
}

func TestEachFaultFitsEachFleetSize(t *testing.T) {
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
				t.Errorf("%s with %d servers: the scenario has no fault", f, n)
			}
		}
	}
}

// BenchmarkModel measures the speed of the model: events and simulated seconds per second of one
// core.
func BenchmarkModel(b *testing.B) {
	for _, size := range []struct{ servers, proxies int }{{12, 3}, {100, 10}, {1000, 30}, {10000, 100}} {
		b.Run(fmt.Sprintf("%d-servers", size.servers), func(b *testing.B) {
			steps, simulated := uint64(0), time.Duration(0)
			for i := 0; b.Loop(); i++ {
				r, err := Run(Workload{Servers: size.servers, Proxies: size.proxies, Load: 0.6, Fault: NoFault,
					Length: time.Duration(max(1, 2000/size.servers)) * time.Second, Seed: int64(i + 1)}, policy.TwoChoices)
				if err != nil {
					b.Fatal(err)
				}
				steps, simulated = steps+r.Steps, simulated+r.SimulatedTime
			}
			b.ReportMetric(float64(steps)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(simulated.Seconds()/b.Elapsed().Seconds(), "model-s/s")
		})
	}
}

// Guards against herding: the requests that a server receives vary little more from second to
// second with xDS proxies than with random choice. A policy that herds shows that the index detects
// it.
func TestXDSProxiesDoNotHerd(t *testing.T) {
	w := Workload{Servers: 24, Proxies: 12, Load: 0.6, Fault: NoFault, Length: 16 * time.Second, Seed: 3}
	dispersion := func(name policy.Name, w Workload) float64 {
		r, err := Run(w, name)
		if err != nil {
			t.Fatal(err)
		}
		return r.DispersionIndex
	}
	random, xds, herding := dispersion(policy.Random, w), dispersion(policy.XDS, w), dispersion(policy.Herd, w)
	t.Logf("index of dispersion: random %.2f, xDS %.2f, herding %.0f", random, xds, herding)
	if xds > 2 || random > 2 {
		t.Errorf("index of dispersion: xDS %.2f, random %.2f", xds, random)
	}
	if herding < 20 {
		t.Errorf("index of dispersion of a herding policy: %.2f", herding)
	}
	w.Load, w.ReportDelay = 0.9, time.Second
	if s := dispersion(policy.XDS, w); s > 4 {
		t.Errorf("index of dispersion at 0.9 of the capacity with late reports: %.2f", s)
	}
}

// Late, reordered reports and frozen proxies break no rule, and most requests are served.
func TestLateReportsAndFrozenProxiesKeepTheRules(t *testing.T) {
	for _, f := range []Fault{NoFault, ZoneReplaced, ZoneLost} {
		w := Workload{Servers: 24, Proxies: 20, Load: 0.5, Fault: f, Length: 16 * time.Second, Seed: 2, ReportDelay: time.Second, FrozenFraction: 0.1, Retries: 1}
		r, err := Run(w, policy.XDS)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Breaches {
			if b.Rule != judge.DrainsRespected { // frozen proxies miss drains; real leases would expire
				t.Errorf("%s: %v", f, b)
			}
		}
		if minimum := map[Fault]float64{NoFault: 0.9, ZoneReplaced: 0.75, ZoneLost: 0.6}[f]; r.Service.Measure < minimum {
			t.Errorf("%s: %.3f", f, r.Service.Measure)
		}
		t.Logf("%s: %.3f, %v", f, r.Service.Measure, r.Counts)
	}
}
