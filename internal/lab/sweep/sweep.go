package sweep

import (
	"runtime"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/scenario"
)

// Finding is a seed whose timeline breaks a rule, and the least timeline that
// still breaks that rule.
type Finding struct {
	Seed         int64
	Breach       judge.Breach // the first of the timeline as drawn
	Shrunk       *scenario.Scenario
	ShrunkBreach judge.Breach // the first of the shrunk one
	Replays      int          // runs that the shrinking took
}

// TOML words the shrunk timeline as a scenario file.
func (f *Finding) TOML() string {
	raw, err := toml.Marshal(f.Shrunk)
	if err != nil {
		return "# " + err.Error() + "\n"
	}
	return string(raw)
}

// Result is what a sweep found.
type Result struct {
	Findings      []Finding
	Played        int
	Tries         int           // tries, over all timelines
	SimulatedTime time.Duration // time that was played
}

// Run plays the timelines of the seeds from first on, count of them, on all
// cores. It is told of every finding at once, one at a time, and stops early
// if told returns false.
func Run(first int64, count int, mutant memory.Mutant, told func(Finding) bool) Result {
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		next = first
		res  Result
		stop bool
	)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				if stop || seed >= first+int64(count) {
					mu.Unlock()
					return
				}
				mu.Unlock()
				s := Generate(seed)
				h := memory.Run(s, memory.Options{Seed: seed, Mutant: mutant})
				v := judge.Judge(h)
				var found *Finding
				if !v.Passed() {
					f := shrink(s, v.Breaches[0], mutant)
					f.Seed = seed
					found = &f
				}
				mu.Lock()
				res.Played++
				res.Tries += v.Service.Tries
				if n := len(h.Events); n > 0 {
					res.SimulatedTime += h.Events[n-1].At
				}
				if found != nil {
					res.Findings = append(res.Findings, *found)
					if told != nil && !told(*found) {
						stop = true
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return res
}
