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

// Finding is a seed whose timeline breaks a rule, with the smallest timeline found
// that still breaks that rule.
type Finding struct {
	Seed         int64
	Breach       judge.Breach // the first breach of the generated timeline
	Shrunk       *scenario.Scenario
	ShrunkBreach judge.Breach // the first breach of the same rule in Shrunk
	Replays      int          // runs needed for shrinking
}

// TOML returns the shrunk timeline as a scenario file.
func (f *Finding) TOML() string {
	raw, err := toml.Marshal(f.Shrunk)
	if err != nil {
		return "# " + err.Error() + "\n"
	}
	return string(raw)
}

// Result is the result of a sweep.
type Result struct {
	Findings      []Finding
	Played        int
	Tries         int           // over all timelines
	SimulatedTime time.Duration // over all timelines
}

// Run simulates the timelines of count seeds, starting with first, on all cores.
// It calls onFinding for each finding, one at a time, and stops early if onFinding
// returns false.
func Run(first int64, count int, mutant memory.Mutant, onFinding func(Finding) bool) Result {
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		next   = first
		result Result
		stop   bool
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
				result.Played++
				result.Tries += v.Service.Tries
				if n := len(h.Events); n > 0 {
					result.SimulatedTime += h.Events[n-1].At
				}
				if found != nil {
					result.Findings = append(result.Findings, *found)
					if onFinding != nil && !onFinding(*found) {
						stop = true
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return result
}
