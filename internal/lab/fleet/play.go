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

// judgeRetention is how long the judge keeps a request: one that a server has accepted ends within
// some seconds.
const judgeRetention = 10 * time.Second

// Result is the outcome of a workload.
type Result struct {
	judge.Verdict
	// DispersionIndex is the variance of the requests that a server receives in a second over their
	// mean, for all servers over the middle half of the load. It is 1 for random choice and far
	// more if the proxies all move from one server to another.
	DispersionIndex float64
	Steps           uint64        // steps of the model
	SimulatedTime   time.Duration // up to the last event
}

// Run runs a workload under a balancing policy. The same workload and policy give the same result.
func Run(w Workload, policyName policy.Name) (Result, error) {
	s, err := w.Scenario()
	if err != nil {
		return Result{}, err
	}
	return runScenario(w, s, policyName, memory.Options{}, nil), nil
}

// runScenario runs a workload's scenario, which the caller may have changed. observe, if not nil,
// is called for each event. Of the options only the mutant is used.
func runScenario(w Workload, s *scenario.Scenario, policyName policy.Name, options memory.Options, observe func(*history.Event)) Result {
	controlPlane := policy.ControlPlane{Services: w.ControlServices, SubsetSize: w.SubsetSize, ReportDelay: w.ReportDelay, FrozenFraction: w.FrozenFraction, FrozenStart: s.Length.Duration / 3}
	if w.ControlServices > 1 {
		controlPlane.OutageStart, controlPlane.OutageEnd = s.Length.Duration*2/5, s.Length.Duration*3/4
	}
	o := policy.OptionsWithControls(policyName, w.Seed, controlPlane)
	o.Mutant = options.Mutant
	var checker *judge.Checker
	end := time.Duration(0)
	attempts := attemptCounter{length: s.Length.Duration, perSecond: map[string][]float64{}}
	o.ObserveEvents = func(setup *history.Setup) func(*history.Event) {
		checker = judge.NewChecker(setup)
		checker.Retention = judgeRetention
		return func(e *history.Event) {
			end = e.At
			attempts.add(e)
			checker.Add(e)
			if observe != nil {
				observe(e)
			}
		}
	}
	h := memory.Run(s, o)
	return Result{Verdict: checker.Verdict(), DispersionIndex: attempts.dispersionIndex(), Steps: h.Steps, SimulatedTime: end}
}

// attemptCounter counts the attempts that each server receives in each second.
type attemptCounter struct {
	length    time.Duration
	perSecond map[string][]float64
}

func (c *attemptCounter) add(e *history.Event) {
	if e.Kind != history.Attempt || e.At >= c.length {
		return
	}
	counts := c.perSecond[e.Server]
	if counts == nil {
		counts = make([]float64, int(c.length/time.Second)+1)
		c.perSecond[e.Server] = counts
	}
	counts[e.At/time.Second]++
}

// dispersionIndex returns the mean of all servers' indices of dispersion, weighted by their means.
func (c *attemptCounter) dispersionIndex() float64 {
	names := make([]string, 0, len(c.perSecond))
	for name := range c.perSecond {
		names = append(names, name)
	}
	slices.Sort(names) // floating-point sums depend on the order
	sum, weight := 0.0, 0.0
	for _, name := range names {
		counts := c.perSecond[name]
		middle := counts[len(counts)/4 : max(len(counts)/4+1, len(counts)*3/4)]
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
