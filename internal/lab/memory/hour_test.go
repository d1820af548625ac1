package memory

import (
	"runtime"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/scenario"
)

// Guards against state that grows with the number of faults: the heap after an hour of
// consecutive faults is close to that after ten minutes, and no rule is broken.
func TestHeapStaysBoundedOverAnHourOfFaults(t *testing.T) {
	s := &scenario.Scenario{Name: "hour", Seed: 3, Length: scenario.Span{Duration: time.Minute}, Load: scenario.Load{Rate: 12},
		Client: scenario.Client{Retries: 2, RetryAfterFraction: 0.8}, Zones: []scenario.Zone{
			{Name: "hall-nord", Nodes: 1, Servers: map[string]int{"fast-6": 2, "std-6": 2}}, {Name: "hall-syd", Nodes: 1, Servers: map[string]int{"std-6": 3}}}}
	if err := scenario.Check(s); err != nil {
		t.Fatal(err)
	}
	s.Length.Duration = time.Hour // scenario.Check allows at most ten minutes
	span := func(d time.Duration) scenario.Span { return scenario.Span{Duration: d} }
	for i, at := 0, 10*time.Second; at < time.Hour-time.Minute; i, at = i+1, at+12*time.Second {
		f := scenario.Fault{At: span(at), For: span(6 * time.Second), Targets: []string{s.Servers()[i%7].Name}}
		switch i % 8 {
		case 0:
			f.Kind = scenario.FaultDrain
		case 1:
			f.Kind = scenario.FaultKill
		case 2:
			f.Kind = scenario.FaultSilent
		case 3:
			f.Kind, f.Interval = scenario.FaultFlap, span(500*time.Millisecond)
		case 4:
			f.Kind = scenario.FaultHang
		case 5:
			f.Kind, f.State = scenario.FaultLink, "reset"
		case 6:
			f.Kind, f.Fraction = scenario.FaultCorrupt, 0.3
		case 7:
			f.Kind, f.Targets = scenario.FaultDiscoveryOutage, nil
		}
		s.Faults = append(s.Faults, f)
	}
	var heap []uint64
	next, tries := 10*time.Minute, 0
	var checker *judge.Checker
	Run(s, Options{ObserveEvents: func(setup *history.Setup) func(*history.Event) {
		checker = judge.NewChecker(setup)
		checker.Retention = time.Minute
		return func(e *history.Event) {
			checker.Add(e)
			if e.Kind == history.Try {
				tries++
			}
			if e.At >= next {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				heap, next = append(heap, m.HeapAlloc), next+10*time.Minute
			}
		}
	}})
	v := checker.Verdict()
	t.Logf("%d tries, %d faults, heap every ten minutes: %v", tries, len(s.Faults), heap)
	for _, b := range v.Breaches {
		t.Error(b)
	}
	if len(heap) < 6 || tries < 40_000 {
		t.Fatalf("%d heap samples, %d tries; want at least 6 and 40000", len(heap), tries)
	}
	if last := heap[len(heap)-1]; last > heap[0]+heap[0]/4+1<<20 {
		t.Errorf("the heap grew from %d to %d bytes", heap[0], last)
	}
}
