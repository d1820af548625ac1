package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime"
	"time"

	"ivylock/internal/lab/real"
	"ivylock/internal/lab/scenario"
)

// Requests per second, so that the machine does not become the bottleneck.
const (
	ratePerCore = 60.0
	maxRate     = 300.0
)

// demo runs a scenario with a drain and a silent server on the live screen.
func (a *app) demo(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("demo", flag.ContinueOnError)
	seconds := f.Float64("seconds", 30, "how `long`; the faults keep their places in it")
	rate := f.Float64("rate", 0, "first tries a `second`; 0: fit for this machine")
	program := f.String("node", "", "the node's `program`; empty: it is built from this source tree")
	outputs := outputFiles{}
	outputs.flags(f)
	f.Set("report", "ivylab-demo.html")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if *seconds < 5 || *seconds > 600 {
		return a.fail(ExitUsage, errors.New("-seconds: want 5 to 600"))
	}
	if *rate == 0 {
		*rate = min(maxRate, ratePerCore*float64(runtime.NumCPU()))
	}
	s := demoScenario(*seconds, *rate)
	if err := scenario.Check(s); err != nil {
		return a.fail(ExitUsage, err)
	}
	fmt.Fprintf(a.out, "One discovery, 12 clip servers in three halls, three nodes as processes, %.0f requests a second for %.0f s.\n", *rate, *seconds)
	fmt.Fprintln(a.out, "hall-nord.1 drains, later hall-vest.2 goes silent and comes back cold. Ctrl-C ends it.")
	return a.runWithProcesses(ctx, s, real.Options{}, *program, outputs, true)
}

func demoScenario(seconds, rate float64) *scenario.Scenario {
	at := func(fraction float64) scenario.Span {
		return scenario.Span{Duration: time.Duration(fraction * seconds * float64(time.Second))}
	}
	s := &scenario.Scenario{Name: "demo", Seed: 1, Length: at(1), Load: scenario.Load{Rate: rate},
		Client: scenario.Client{Retries: 2, RetryAfterFraction: 0.85},
		Faults: []scenario.Fault{
			{At: at(0.2), For: at(0.25), Kind: scenario.FaultDrain, Targets: []string{"hall-nord.1"}},
			{At: at(0.5), For: at(0.25), Kind: scenario.FaultSilent, Targets: []string{"hall-vest.2"}},
		},
		Requirements: scenario.Requirements{RequireFaults: true, MinServed: 0.5}}
	for _, name := range []string{"hall-nord", "hall-syd", "hall-vest"} {
		s.Zones = append(s.Zones, scenario.Zone{Name: name, Nodes: 1, Servers: map[string]int{"fast-6": 2, "std-6": 1, "slow-6": 1}})
	}
	return s
}
