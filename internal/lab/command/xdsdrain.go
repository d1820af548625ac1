package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ivylock/internal/lab/xdsdrain"
)

// maxDrainDelay is the longest time after the notification of a drain in which the
// rule on drains allows new requests.
const maxDrainDelay = 500 * time.Millisecond

// xdsDrain measures how long proxies controlled over xDS send to a drained server,
// under faults.
func (a *app) xdsDrain(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("xds-drain", flag.ContinueOnError)
	count := f.Int("drains", 203, "drains, dealt over the faults; 7 to 10,000")
	fixtures := f.Int("halls", 4, "halls at once; 1 to 16")
	seed := f.Uint64("seed", 1, "of the choices")
	program := f.String("control", siblingProgram("ivylock-control"), "the control service's program")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if *count < len(xdsdrain.Faults) || *count > 10000 || *fixtures < 1 || *fixtures > 16 {
		return a.fail(ExitUsage, fmt.Errorf("xds-drain: 7 to 10000 drains in 1 to 16 halls"))
	}
	jobs := make(chan xdsdrain.Fault)
	var mu sync.Mutex
	var all []xdsdrain.Measurement
	var firstErr error
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fail := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		if firstErr == nil {
			firstErr = err
		}
		cancel()
	}
	var workers sync.WaitGroup
	for i := range *fixtures {
		workers.Go(func() {
			fixture, err := xdsdrain.New(xdsdrain.Options{Program: *program, Seed: *seed + uint64(i)})
			if err != nil {
				fail(err)
				return
			}
			defer fixture.Close()
			for fault := range jobs {
				drains, err := fixture.Drain(fault)
				if err != nil {
					fail(fmt.Errorf("%s: %w", fault, err))
					return
				}
				mu.Lock()
				all = append(all, drains...)
				mu.Unlock()
			}
		})
	}
dispatch:
	for i := range *count {
		select {
		case jobs <- xdsdrain.Faults[i%len(xdsdrain.Faults)]:
		case <-ctx.Done():
			break dispatch
		}
	}
	close(jobs)
	workers.Wait()
	if firstErr != nil {
		return a.fail(ExitFailed, firstErr)
	}
	fmt.Fprintf(a.out, "%-15s %7s %8s %8s %8s %10s %8s\n", "fault", "drains", "p50 ms", "p99 ms", "max ms", "no server", "streams")
	code := ExitPassed
	for _, s := range xdsdrain.Summarise(all) {
		ms := func(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d)/1e6) }
		fmt.Fprintf(a.out, "%-15s %7d %8s %8s %8s %9.1f%% %8d\n", s.Fault, s.Drains, ms(s.P50), ms(s.P99), ms(s.Max), 100*s.NoServerRatio, s.Streams)
		if s.Max > maxDrainDelay {
			code = ExitFailed
		}
	}
	if ctx.Err() != nil {
		return ExitFailed
	}
	if code != ExitPassed {
		fmt.Fprintf(a.out, "a drained server got a new request later than %v\n", maxDrainDelay)
	}
	return code
}

// siblingProgram returns the path of a program in the folder of this one.
func siblingProgram(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}
