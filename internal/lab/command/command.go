// Package command implements the command line of ivylab.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/holds"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/real"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/show"
	"ivylock/internal/lab/sweep"
	"ivylock/scenarios"
)

// Exit codes.
const (
	ExitPassed = 0
	ExitFailed = 1 // a broken rule, an unmet requirement or a failed run
	ExitUsage  = 2 // wrong usage or an invalid file: nothing was started
)

const usage = `ivylab plays halls of clip servers, nodes and clients on this machine.

  ivylab demo                    the first look: 30 s with a drain and a silent server
  ivylab list                    the scenarios
  ivylab run NAME|FILE.toml      one scenario, with real nodes as processes
  ivylab sweep -seeds N          N random fault timelines in memory
  ivylab soak -seeds N           N times 10 to 40 real nodes under random faults that overlap
  ivylab bench                   the node on one core beside the standard library's proxy
  ivylab ceiling                 up to which rate the lab itself adds less than 1 ms
  ivylab xds-restart             how long a restart of the control service leaves proxies without servers
  ivylab xds-drain               how long proxies steered over xDS send to a drained server
  ivylab xds-day                 days through nodes, through steered proxies, and without steering
  ivylab experiment FILE         the days of a design in memory, in several ways to choose a server
  ivylab plot FILE.rows          figures and a page of what an experiment gave
  ivylab compare A.rows B.rows   what differs between two experiments beyond noise
  ivylab judge FILE              the verdict on a history that run -history wrote

Each takes -h. Exit code 0: all that was asked held; 1: it did not; 2: nothing was started.
`

type app struct {
	out, err io.Writer
	rows     int // of the terminal; 0: no terminal
}

// Run executes a command line and returns the exit code. rows is the height of the
// terminal that out writes to, or 0 if it is none.
func Run(ctx context.Context, args []string, out, errs io.Writer, rows int) int {
	a := &app{out, errs, rows}
	if len(args) == 0 {
		fmt.Fprint(errs, usage)
		return ExitUsage
	}
	switch args[0] {
	case "demo":
		return a.demo(ctx, args[1:])
	case "list":
		return a.list(args[1:])
	case "run":
		return a.run(ctx, args[1:])
	case "sweep":
		return a.sweep(args[1:])
	case "soak":
		return a.soak(ctx, args[1:])
	case "judge":
		return a.judge(args[1:])
	case "bench":
		return a.bench(ctx, args[1:])
	case "ceiling":
		return a.ceiling(ctx, args[1:])
	case "xds-restart":
		return a.xdsRestart(args[1:])
	case "xds-drain":
		return a.xdsDrain(ctx, args[1:])
	case "xds-day":
		return a.xdsDay(ctx, args[1:])
	case "experiment":
		return a.experiment(ctx, args[1:])
	case "plot":
		return a.plot(args[1:])
	case "compare":
		return a.compare(args[1:])
	case reverseProxyCommand:
		return a.reverseProxy(ctx, args[1:])
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return ExitPassed
	}
	fmt.Fprintf(errs, "ivylab: unknown command %q; there are demo, list, run, sweep, soak, bench, ceiling, xds-drain, xds-restart, xds-day, experiment, plot, compare and judge\n", args[0])
	return ExitUsage
}

// parse parses flags and, if operand is not nil, one operand before or after them.
func (a *app) parse(f *flag.FlagSet, args []string, operand *string) bool {
	f.SetOutput(a.err)
	if operand != nil && len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		*operand, args = args[0], args[1:]
	}
	if f.Parse(args) != nil {
		return false
	}
	rest := f.Args()
	if operand != nil && *operand == "" && len(rest) > 0 {
		*operand, rest = rest[0], rest[1:]
	}
	if len(rest) > 0 {
		fmt.Fprintf(a.err, "ivylab %s: %q is one word too many\n", f.Name(), rest[0])
		return false
	}
	return true
}

func (a *app) fail(code int, err error) int {
	fmt.Fprintln(a.err, "ivylab:", err)
	return code
}

func (a *app) list(args []string) int {
	f := flag.NewFlagSet("list", flag.ContinueOnError)
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	files, err := fs.Glob(scenarios.Files, "*.toml")
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	for _, file := range files {
		s, err := scenario.LoadFile(scenarios.Files, file)
		if err != nil {
			return a.fail(ExitUsage, err)
		}
		fmt.Fprintf(a.out, "%-14s %4.0f s  %s\n", s.Name, s.Length.Seconds(), s.Description)
	}
	return ExitPassed
}

// findScenario loads a scenario by its name or from a file.
func findScenario(name string) (*scenario.Scenario, error) {
	if name == "" {
		return nil, errors.New("which scenario? ivylab list shows them")
	}
	if strings.HasSuffix(name, ".toml") {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		return scenario.Parse(name, raw)
	}
	s, err := scenario.LoadFile(scenarios.Files, name+".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no scenario %q; ivylab list shows them, and a file's name ends with .toml", name)
	}
	return s, err
}

// outputFiles are the paths for the results of a run; empty paths are skipped.
type outputFiles struct{ json, history, report string }

func (x *outputFiles) flags(f *flag.FlagSet) {
	f.StringVar(&x.json, "json", "", "write all figures by name to this `file`")
	f.StringVar(&x.history, "history", "", "write the history, one JSON line an event, to this `file`")
	f.StringVar(&x.report, "report", "", "write a self-contained HTML report to this `file`")
}

func (a *app) run(ctx context.Context, args []string) int {
	var name string
	var outputs outputFiles
	f := flag.NewFlagSet("run", flag.ContinueOnError)
	seed := f.Int64("seed", 0, "the `seed`; 0: the scenario's own")
	inMemory := f.Bool("memory", false, "in memory, under virtual time: the decision module without its sockets")
	program := f.String("node", "", "the node's `program`; empty: it is built from this source tree")
	outputs.flags(f)
	if !a.parse(f, args, &name) {
		return ExitUsage
	}
	s, err := findScenario(name)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	if *inMemory {
		start := time.Now()
		hist := memory.Run(s, memory.Options{Seed: *seed})
		return a.finish(s, hist, nil, outputs, time.Since(start), nil)
	}
	return a.runWithProcesses(ctx, s, real.Options{Seed: *seed}, *program, outputs, false)
}

// runWithProcesses runs a scenario with real processes. It shows progress on a live
// screen if screen is set, otherwise as lines.
func (a *app) runWithProcesses(ctx context.Context, s *scenario.Scenario, options real.Options, program string, outputs outputFiles, screen bool) int {
	if program == "" {
		built, clean, err := buildNode(ctx)
		if err != nil {
			return a.fail(ExitUsage, err)
		}
		defer clean()
		program = built
	}
	options.Program = program
	live := show.NewLiveView(load.ScenarioClasses(s))
	options.ObserveEvents = live.Add
	start := time.Now()
	testbed, err := real.New(ctx, s, options)
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	done := make(chan struct{})
	displayed := make(chan struct{})
	go func() {
		defer close(displayed)
		a.showProgress(testbed, live, s, done, screen)
	}()
	hist, err := testbed.Run(ctx)
	close(done)
	<-displayed
	testbed.Close()
	labStats := testbed.LabStats()
	if err != nil && ctx.Err() != nil {
		fmt.Fprintln(a.err, "ivylab: stopped; all processes have ended")
		return ExitFailed
	}
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	return a.finish(s, hist, &labStats, outputs, time.Since(start), nil)
}

// showProgress shows a run until it ends, on a live screen or as lines.
func (a *app) showProgress(testbed *real.Testbed, live *show.LiveView, s *scenario.Scenario, done <-chan struct{}, screen bool) {
	interval := 2 * time.Second
	if screen = screen && a.rows > 0; screen {
		interval = 250 * time.Millisecond
		fmt.Fprint(a.out, "\x1b[?25l\x1b[2J")         // hide the cursor, clear the screen
		defer fmt.Fprint(a.out, "\x1b[?25h\x1b[0m\n") // show the cursor again
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if screen {
				text := live.Screen("ivylab "+s.Name, testbed.Clock(), s.Length.Duration, testbed.ServerStatuses(), a.rows-1)
				fmt.Fprint(a.out, "\x1b[H"+strings.ReplaceAll(text, "\n", "\x1b[K\n")+"\x1b[J")
			} else {
				fmt.Fprintln(a.out, live.Line(testbed.Clock(), testbed.ServerStatuses()))
			}
		}
	}
}

// Result is the JSON output of run -json.
type Result struct {
	Scenario string         `json:"scenario"`
	Seed     int64          `json:"seed"`
	Passed   bool           `json:"held"`
	Failures []string       `json:"did_not_hold"`
	Verdict  *judge.Verdict `json:"verdict"`
	LabStats *real.LabStats `json:"lab,omitempty"` // runs with processes only
	Elapsed  float64        `json:"took_s"`
	Events   int            `json:"events"`
}

// finish judges a run, writes the output files and prints the verdict.
func (a *app) finish(s *scenario.Scenario, hist *history.History, labStats *real.LabStats, outputs outputFiles, elapsed time.Duration, extraFailures []string) int {
	v := judge.Judge(hist)
	failures := append(holds.Check(s, hist, &v), extraFailures...)
	r := Result{s.Name, hist.Setup.Seed, len(failures) == 0, failures, &v, labStats, elapsed.Seconds(), len(hist.Events)}
	if err := outputs.write(hist, &r); err != nil {
		return a.fail(ExitFailed, err)
	}
	a.printVerdict(hist, &r)
	if outputs.report != "" {
		fmt.Fprintf(a.out, "report: %s\n", outputs.report)
	}
	if len(failures) > 0 {
		return ExitFailed
	}
	return ExitPassed
}

func (x outputFiles) write(h *history.History, r *Result) error {
	return errors.Join(
		writeFile(x.json, func(w io.Writer) error {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(r)
		}),
		writeFile(x.history, h.Write),
		writeFile(x.report, func(w io.Writer) error { return show.Report(w, h, r.Verdict, r.Failures) }))
}

// writeFile writes a file unless the path is empty.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

func (a *app) printVerdict(hist *history.History, r *Result) {
	service := r.Verdict.Service
	fmt.Fprintf(a.out, "\n%s, seed %d: score %.1f (measure %.3f: whole %.3f, worst 10 s %.3f, worst class %.3f; penalties %.2f)\n",
		r.Scenario, r.Seed, service.Score, service.Measure, service.OnTimeRatio, service.WorstWindow, service.WorstClass, service.Penalties.Sum())
	fmt.Fprintf(a.out, "%d orders in %d tries and %d attempts; %d tries refused, %d failed; %d effects run\n", service.Orders, service.Tries, service.Attempts, service.Refused, service.Failed, service.Runs)
	for _, c := range service.Classes {
		fmt.Fprintf(a.out, "  %-16s %6d orders, %6d within aim, p50 %4d ms, p99 %5d ms, %d tries refused, %d failed\n",
			c.Class, c.Orders, c.OnTime, c.P50.Milliseconds(), c.P99.Milliseconds(), c.Refused, c.Failed)
	}
	if r.LabStats != nil {
		fmt.Fprintf(a.out, "the lab sent its orders late by %v (p50) and %v (p99)\n", r.LabStats.LateP50.Round(10*time.Microsecond), r.LabStats.LateP99.Round(10*time.Microsecond))
	} else {
		fmt.Fprintf(a.out, "%.0f s of the lab's time in %.2f s\n", hist.Events[len(hist.Events)-1].At.Seconds(), r.Elapsed)
	}
	if r.Passed {
		fmt.Fprintln(a.out, "HELD: the four rules were kept, and all that the scenario asks")
		return
	}
	for _, line := range r.Failures {
		fmt.Fprintln(a.out, "DID NOT HOLD:", line)
	}
}

func (a *app) judge(args []string) int {
	var path string
	f := flag.NewFlagSet("judge", flag.ContinueOnError)
	if !a.parse(f, args, &path) {
		return ExitUsage
	}
	file, err := os.Open(path)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	defer file.Close()
	hist, err := history.Read(file)
	if err != nil {
		return a.fail(ExitUsage, fmt.Errorf("%s: %w", path, err))
	}
	v := judge.Judge(hist)
	failures := holds.BreachLines(&v)
	r := Result{hist.Setup.Scenario, hist.Setup.Seed, len(failures) == 0, failures, &v, &real.LabStats{}, 0, len(hist.Events)}
	a.printVerdict(hist, &r)
	if len(failures) > 0 {
		return ExitFailed
	}
	return ExitPassed
}

func (a *app) sweep(args []string) int {
	f := flag.NewFlagSet("sweep", flag.ContinueOnError)
	seeds := f.Int("seeds", 500, "how many `timelines`")
	first := f.Int64("from", 1, "the first `seed`")
	deployments := f.Bool("deployments", false, "of deployments that are drawn too, not the brief's")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if *seeds < 1 || *seeds > 1_000_000 {
		return a.fail(ExitUsage, errors.New("-seeds: want 1 to 1,000,000"))
	}
	start := time.Now()
	if *deployments {
		broken, tries := sweep.RunDeployments(*first, *seeds)
		for _, seed := range slices.Sorted(maps.Keys(broken)) {
			fmt.Fprintf(a.out, "seed %d breaks %v\n", seed, broken[seed])
		}
		fmt.Fprintf(a.out, "%d deployments, %d tries in %.1f s: %d break a rule\n", *seeds, tries, time.Since(start).Seconds(), len(broken))
		if len(broken) > 0 {
			return ExitFailed
		}
		return ExitPassed
	}
	result := sweep.Run(*first, *seeds, nil, func(finding sweep.Finding) bool {
		fmt.Fprintf(a.out, "seed %d breaks %v\nshrunk in %d replays, it still breaks %v:\n\n%s\n", finding.Seed, finding.Breach, finding.Replays, finding.ShrunkBreach, finding.TOML())
		return true
	})
	elapsed := time.Since(start)
	fmt.Fprintf(a.out, "%d timelines, %d tries, %.0f s of the lab's time in %.1f s (%.0f timelines a minute): %d break a rule\n", result.Played, result.Tries,
		result.SimulatedTime.Seconds(), elapsed.Seconds(), float64(result.Played)/elapsed.Minutes(), len(result.Findings))
	if len(result.Findings) > 0 {
		var foundSeeds []int64
		for _, finding := range result.Findings {
			foundSeeds = append(foundSeeds, finding.Seed)
		}
		slices.Sort(foundSeeds)
		fmt.Fprintln(a.out, "seeds:", foundSeeds)
		return ExitFailed
	}
	return ExitPassed
}
