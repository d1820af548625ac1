package command

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"ivylock/internal/lab/xdsdrain"
)

// xdsRestart measures for how long proxies controlled over xDS have no server when the control
// service is killed and started again.
func (a *app) xdsRestart(args []string) int {
	f := flag.NewFlagSet("xds-restart", flag.ContinueOnError)
	count := f.Int("restarts", 50, "restarts; 1 to 1,000")
	proxies := f.Int("proxies", 30, "proxies, of either variant in turn; 2 to 200")
	delay := f.Duration("delay", 50*time.Millisecond, "how long a call of discovery takes; 0 to 10 s")
	program := f.String("control", siblingProgram("ivylock-control"), "the control service's program")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if *count < 1 || *count > 1000 || *proxies < 2 || *proxies > 200 || *delay < 0 || *delay > 10*time.Second {
		return a.fail(ExitUsage, fmt.Errorf("xds-restart: 1 to 1000 restarts, 2 to 200 proxies, a delay of 0 to 10 s"))
	}
	testbed, err := xdsdrain.New(xdsdrain.Options{Program: *program, Seed: 1, Proxies: *proxies, LeasesOnly: true, DiscoveryDelay: *delay})
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	defer testbed.Close()
	gaps, without := map[string][]time.Duration{}, map[string]int{}
	for range *count {
		measurements, err := testbed.Restart()
		if err != nil {
			return a.fail(ExitFailed, err)
		}
		for _, m := range measurements {
			gaps[m.Variant] = append(gaps[m.Variant], m.NoServer)
			if !m.EndedWith {
				without[m.Variant]++
			}
		}
	}
	fmt.Fprintf(a.out, "%-8s %9s %8s %8s %18s\n", "variant", "restarts", "p50 ms", "max ms", "no server at end")
	code := ExitPassed
	for _, variant := range []string{"sotw", "delta"} {
		slices.Sort(gaps[variant])
		fmt.Fprintf(a.out, "%-8s %9d %8.0f %8.0f %18d\n", variant, *count, milliseconds(gaps[variant][len(gaps[variant])/2]), milliseconds(slices.Max(gaps[variant])), without[variant])
		if without[variant] > 0 {
			code = ExitFailed
		}
	}
	return code
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
