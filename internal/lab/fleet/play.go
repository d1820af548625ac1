package fleet

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/policy"
	"ivylock/internal/lab/scenario"
)

// linger is how long the judge waits for what is late: a request that a server
// has taken ends within some seconds.
const linger = 10 * time.Second

// Result is what became of a day.
type Result struct {
	judge.Verdict
	// DispersionIndex is by how much the requests that a server gets in a second vary from
	// second to second, over their mean (index of dispersion), over all servers
	// and the middle of the day: 1 where they come by chance, far more where
	// proxies go all for one server and then all for another.
	DispersionIndex float64
	Steps           uint64        // what happened in the model
	SimulatedTime   time.Duration // the day's length, with its end
}

// Run plays a day in a way to choose servers. The same day and way give the
// same result.
func Run(d Workload, way policy.Name) (Result, error) {
	s, err := d.Scenario()
	if err != nil {
		return Result{}, err
	}
	return play(d, s, way, memory.Options{}, nil), nil
}

// play plays a day's scenario, which may have been changed, and tells of each
// event. Of the options it takes the mutant.
func play(d Workload, s *scenario.Scenario, way policy.Name, with memory.Options, also func(*history.Event)) Result {
	controls := policy.ControlPlane{Services: d.ControlServices, SubsetSize: d.SubsetSize, ReportDelay: d.ReportDelay, FrozenFraction: d.FrozenFraction, FrozenStart: s.Length.Duration / 3}
	if d.ControlServices > 1 {
		controls.OutageStart, controls.OutageEnd = s.Length.Duration*2/5, s.Length.Duration*3/4
	}
	o := policy.OptionsWithControls(way, d.Seed, controls)
	o.Mutant = with.Mutant
	var live *judge.Checker
	last := time.Duration(0)
	sent := swing{length: s.Length.Duration, by: map[string][]float64{}}
	o.ObserveEvents = func(setup *history.Setup) func(*history.Event) {
		live = judge.NewChecker(setup)
		live.Retention = linger
		return func(e *history.Event) {
			last = e.At
			sent.event(e)
			live.Add(e)
			if also != nil {
				also(e)
			}
		}
	}
	h := memory.Run(s, o)
	return Result{Verdict: live.Verdict(), DispersionIndex: sent.index(), Steps: h.Steps, SimulatedTime: last}
}

// swing counts what servers are sent in each second.
type swing struct {
	length time.Duration
	by     map[string][]float64
}

func (w *swing) event(e *history.Event) {
	if e.Kind != history.Attempt || e.At >= w.length {
		return
	}
	n := w.by[e.Server]
	if n == nil {
		n = make([]float64, int(w.length/time.Second)+1)
		w.by[e.Server] = n
	}
	n[e.At/time.Second]++
}

// index gives the mean of all servers' indices of dispersion, each by its mean.
func (w *swing) index() float64 {
	names := make([]string, 0, len(w.by))
	for name := range w.by {
		names = append(names, name)
	}
	slices.Sort(names) // a sum does not depend on a map's order
	sum, weight := 0.0, 0.0
	for _, name := range names {
		n := w.by[name]
		middle := n[len(n)/4 : max(len(n)/4+1, len(n)*3/4)]
		mean, variance := stat.MeanVariance(middle, nil)
		if mean > 0 && len(middle) > 1 {
			sum, weight = sum+variance, weight+mean
		}
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
