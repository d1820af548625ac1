package sweep

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
)

// GenerateDeployment returns the random deployment and fault timeline of a seed: one
// to eight classes of any effect, one to five zones, up to six tenants, one to 300
// nodes, pushed or requested server lists, and random values of other settings.
func GenerateDeployment(seed int64) (*scenario.Scenario, *load.Deployment) {
	r := rand.New(rand.NewPCG(uint64(seed), 0x6465706c6f79))
	between := func(lo, hi time.Duration) time.Duration {
		return (lo + time.Duration(r.Int64N(int64(hi-lo)))).Round(time.Millisecond)
	}
	span := func(lo, hi time.Duration) scenario.Span {
		return scenario.Span{Duration: between(lo, hi).Round(10 * time.Millisecond)}
	}
	s := &scenario.Scenario{Name: fmt.Sprintf("deployment-%d", seed), Seed: seed, Length: span(6*time.Second, 12*time.Second),
		Client:    scenario.Client{Retries: r.IntN(3), TryTimeoutFraction: 0.5 + 0.3*r.Float64(), RetryAfterFraction: r.Float64()},
		Discovery: scenario.Discovery{NotificationDelay: span(100*time.Millisecond, 2*time.Second)},
		Net:       scenario.Net{PeerLoss: 0.1 * r.Float64()}}
	nodes, nodeFactor := 1+r.IntN(6), 1
	switch r.IntN(10) {
	case 0:
		nodes = 20 + r.IntN(28)
	case 1:
		nodes, nodeFactor = 30, 10 // scenario.Check allows 48 at most; multiplied below
		s.Length = span(2*time.Second, 4*time.Second)
	}
	zoneCount, capacity := 1+r.IntN(5), 0.0
	for i := range zoneCount {
		zone := scenario.Zone{Name: fmt.Sprintf("hall-%c", 'a'+i), Nodes: nodes / zoneCount, PodSize: 1 + r.IntN(6), Servers: map[string]int{}}
		if i < nodes%zoneCount {
			zone.Nodes++
		}
		for range 1 + r.IntN(5) {
			zone.Servers[[]string{"fast-6", "std-6", "slow-6"}[r.IntN(3)]]++
		}
		s.Zones = append(s.Zones, zone)
	}
	for _, server := range s.Servers() {
		capacity += 6 * map[string]float64{"fast-6": 1.3, "std-6": 0.97, "slow-6": 0.7}[server.Kind]
	}
	d := &load.Deployment{Limits: load.Limits}
	d.Limits.OverloadNotifiedOnly = true // ignore overload before any node was notified of a start
	d.Limits.DrainGrace = between(100*time.Millisecond, 2*time.Second)
	work, shares := 0.0, 0.0
	for i := range 1 + r.IntN(8) {
		low := between(3*time.Millisecond, 150*time.Millisecond)
		class := history.Class{Name: fmt.Sprintf("class-%d", i), Share: 0.1 + r.Float64(), WorkLow: low, WorkHigh: 2 * low,
			Deadline: between(200*time.Millisecond, 6*time.Second), Value: float64(r.IntN(13)),
			Effect: []history.Effect{history.Safe, history.Keyed, history.Unsafe}[r.IntN(3)],
			Scope:  []history.Scope{history.PodScope, history.ZoneScope, history.GlobalScope}[r.IntN(3)], DedupWindow: between(time.Second, 30*time.Second)}
		if r.IntN(8) == 0 {
			class.Deadline = between(6*time.Second, 30*time.Second)
		}
		class.TargetLatency = time.Duration((0.2 + 0.8*r.Float64()) * float64(class.Deadline))
		work, shares = work+class.Share*1.5*low.Seconds(), shares+class.Share
		d.Classes = append(d.Classes, class)
	}
	s.Load.Rate = min(2000, max(1, float64(int(capacity/(work/shares)*(0.1+0.9*r.Float64())))))
	var accounts []map[string]any
	for i := range r.IntN(7) {
		accounts = append(accounts, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "quota_per_s": s.Load.Rate * r.Float64() / 3})
		d.Tenants = append(d.Tenants, fmt.Sprintf("tenant-%d", i))
	}
	if len(accounts) > 0 && r.IntN(2) == 0 {
		d.Tenants = append(d.Tenants, "")
	}
	membershipMode, reportSource := []string{"on_request", "pushed"}[r.IntN(2)], []string{"none", "probe", "answers"}[r.IntN(3)]
	caps := map[string]any{"cancel": r.IntN(2) == 0, "may_duplicate": r.IntN(2) == 0, "peers": r.IntN(2) == 0, "probes": r.IntN(2) == 0,
		"retry_after": r.IntN(2) == 0, "max_attempts": 1 + r.IntN(6), "conn_idle_ns": between(2*time.Second, time.Minute),
		"most_held": 5 + r.IntN(20000)}
	settings := map[string]any{"membership_mode": membershipMode, "accounts": accounts, "over_share_worth": r.Float64(), "tick_ns": between(0, 10*time.Millisecond),
		"weight_kind": []string{"none", "nominal", "rough", "live"}[r.IntN(4)]}
	targetWorkFactor, lateValue := r.Float64()*float64(r.IntN(2)), r.Float64()*float64(r.IntN(2))
	d.ChangeSettings = func(all map[string]any) {
		for k, v := range settings {
			all[k] = v
		}
		for k, v := range caps {
			all["caps"].(map[string]any)[k] = v
		}
		all["report"].(map[string]any)["how"] = reportSource
		for _, class := range all["classes"].([]map[string]any) {
			class["aim_stretch"], class["late_worth"] = targetWorkFactor, lateValue
		}
	}
	for range r.IntN(4) {
		f := generateFault(r, s, span)
		if f.Kind == scenario.FaultHeavy {
			f.Class = "viewer-clip" // scenario.Check accepts default classes only
		}
		s.Faults = append(s.Faults, f)
		if scenario.Check(s) != nil { // not valid together with the earlier faults
			s.Faults = s.Faults[:len(s.Faults)-1]
		}
	}
	if err := scenario.Check(s); err != nil {
		panic(fmt.Sprintf("sweep: seed %d generates an invalid scenario: %v", seed, err))
	}
	for i := range s.Zones {
		s.Zones[i].Nodes *= nodeFactor
	}
	return s, d
}

// RunDeployment simulates the deployment of a seed and judges it.
func RunDeployment(seed int64) *judge.Verdict {
	s, d := GenerateDeployment(seed)
	v := judge.Judge(memory.Run(s, memory.Options{Seed: seed, Deployment: d}))
	return &v
}

// RunDeployments simulates count deployments, starting with the seed first. It
// returns the first breach of each seed that broke a rule, and the number of tries.
func RunDeployments(first int64, count int) (broken map[int64]judge.Breach, tries int) {
	broken = map[int64]judge.Breach{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	seeds := make(chan int64)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				v := RunDeployment(seed)
				mu.Lock()
				if tries += v.Service.Tries; !v.Passed() {
					broken[seed] = v.Breaches[0]
				}
				mu.Unlock()
			}
		})
	}
	for i := range count {
		seeds <- first + int64(i)
	}
	close(seeds)
	workers.Wait()
	return broken, tries
}
