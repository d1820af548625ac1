package command

import (
	"context"
	"flag"
	"fmt"
	"io/fs"
	"runtime"
	"strings"
	"sync"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/policy"
	"ivylock/internal/lab/scenario"
	"ivylock/scenarios"
)

// xdsDay simulates each scenario under every policy.
func (a *app) xdsDay(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("xds-day", flag.ContinueOnError)
	seeds := f.Int("seeds", 5, "runs of each, with further seeds; 1 to 100")
	loadFactor := f.Float64("load", 1, "times each scenario's own load; 0.1 to 10")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if *seeds < 1 || *seeds > 100 || !(*loadFactor >= 0.1 && *loadFactor <= 10) {
		return a.fail(ExitUsage, fmt.Errorf("xds-day: -seeds must be from 1 to 100, -load from 0.1 to 10"))
	}
	files, err := fs.Glob(scenarios.Files, "*.toml")
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	type result struct {
		measure  float64
		breaches int
	}
	names := make([]string, len(files))
	results := make([][]result, len(files))
	slots := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, file := range files {
		s, err := scenario.LoadFile(scenarios.Files, file)
		if err != nil {
			return a.fail(ExitUsage, err)
		}
		s.Load.Rate *= *loadFactor
		names[i], results[i] = s.Name, make([]result, len(policy.All))
		for j, name := range policy.All {
			for seed := range *seeds {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					if ctx.Err() != nil {
						return
					}
					v := judge.Judge(memory.Run(s, policy.Options(name, s.Seed+int64(seed))))
					mu.Lock()
					defer mu.Unlock()
					results[i][j].measure += v.Service.Measure / float64(*seeds)
					for _, n := range v.Counts {
						results[i][j].breaches += n
					}
				})
			}
		}
	}
	wg.Wait()
	if ctx.Err() != nil {
		return ExitFailed
	}
	fmt.Fprintf(a.out, "%-12s", "measure")
	for _, name := range policy.All {
		fmt.Fprintf(a.out, " %16s", name)
	}
	fmt.Fprintln(a.out)
	sums := make([]result, len(policy.All))
	line := func(name string, rs []result, divisor float64) {
		var b strings.Builder
		for _, r := range rs {
			cell := fmt.Sprintf("%.3f", r.measure/divisor)
			if r.breaches > 0 {
				cell += fmt.Sprintf(" (%d broken)", r.breaches)
			}
			fmt.Fprintf(&b, " %16s", cell)
		}
		fmt.Fprintf(a.out, "%-12s%s\n", name, b.String())
	}
	for i, name := range names {
		line(name, results[i], 1)
		for j, r := range results[i] {
			sums[j].measure += r.measure
			sums[j].breaches += r.breaches
		}
	}
	line("mean", sums, float64(len(names)))
	return ExitPassed
}
