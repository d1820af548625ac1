// Package command is ivylab's command line.
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

// The exit codes.
const (
	ExitPassed = 0
	ExitFailed = 1 // a rule, a figure, or the run itself
	ExitUsage  = 2 // unknown words or a bad file: nothing was started
)

const usage = `ivylab plays halls of clip servers, nodes and clients on this machine.

  ivylab demo                    the first look: 30 s with a drain and a silent server
  ivylab list                    the scenarios
  ivylab run NAME|FILE.toml      one scenario, with real nodes as processes
  ivylab sweep -seeds N          N random fault timelines in memory
  ivylab soak -seeds N           N times 10 to 40 real nodes under random faults that overlap
  ivylab bench                   the node on one core beside the standard library's proxy
  ivylab ceiling                 up to which rate the lab itself adds less than 1 ms
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
	rows     int // of the terminal; 0: there is none
}

// Run carries out a command line and gives the exit code. rows is the height
// of the terminal that out is, or 0 if it is none.
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
	case proxyWord:
		return a.reverseProxy(ctx, args[1:])
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return ExitPassed
	}
	fmt.Fprintf(errs, "ivylab: unknown command %q; there are demo, list, run, sweep, soak, bench, ceiling, xds-drain, xds-day, experiment, plot, compare and judge\n", args[0])
	return ExitUsage
}

// parse reads flags, and one word ahead of or behind them where a command
// takes one.
func (a *app) parse(f *flag.FlagSet, args []string, word *string) bool {
	f.SetOutput(a.err)
	if word != nil && len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		*word, args = args[0], args[1:]
	}
	if f.Parse(args) != nil {
		return false
	}
	rest := f.Args()
	if word != nil && *word == "" && len(rest) > 0 {
		*word, rest = rest[0], rest[1:]
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

// find gives a scenario by its name, or reads a file.
func find(word string) (*scenario.Scenario, error) {
	if word == "" {
		return nil, errors.New("which scenario? ivylab list shows them")
	}
	if strings.HasSuffix(word, ".toml") {
		raw, err := os.ReadFile(word)
		if err != nil {
			return nil, err
		}
		return scenario.Parse(word, raw)
	}
	s, err := scenario.LoadFile(scenarios.Files, word+".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no scenario %q; ivylab list shows them, and a file's name ends with .toml", word)
	}
	return s, err
}

// files are where a run's results go.
type files struct{ json, history, report string }

func (x *files) flags(f *flag.FlagSet) {
	f.StringVar(&x.json, "json", "", "write all figures by name to this `file`")
	f.StringVar(&x.history, "history", "", "write the history, one JSON line an event, to this `file`")
	f.StringVar(&x.report, "report", "", "write a self-contained HTML report to this `file`")
}

func (a *app) run(ctx context.Context, args []string) int {
	var word string
	var to files
	f := flag.NewFlagSet("run", flag.ContinueOnError)
	seed := f.Int64("seed", 0, "the `seed`; 0: the scenario's own")
	inMemory := f.Bool("memory", false, "in memory, under virtual time: the decision module without its sockets")
	program := f.String("node", "", "the node's `program`; empty: it is built from this source tree")
	to.flags(f)
	if !a.parse(f, args, &word) {
		return ExitUsage
	}
	s, err := find(word)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	if *inMemory {
		start := time.Now()
		h := memory.Run(s, memory.Options{Seed: *seed})
		return a.finish(s, h, nil, to, time.Since(start), nil)
	}
	return a.play(ctx, s, real.Options{Seed: *seed}, *program, to, false)
}

// play runs a scenario on sockets, with the screen if it is asked for.
func (a *app) play(ctx context.Context, s *scenario.Scenario, o real.Options, program string, to files, screen bool) int {
	if program == "" {
		built, clean, err := buildNode(ctx)
		if err != nil {
			return a.fail(ExitUsage, err)
		}
		defer clean()
		program = built
	}
	o.Program = program
	live := show.NewLiveView(load.ScenarioClasses(s))
	o.ObserveEvents = live.Add
	start := time.Now()
	hall, err := real.New(ctx, s, o)
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	over := make(chan struct{})
	shown := make(chan struct{})
	go func() {
		defer close(shown)
		a.follow(hall, live, s, over, screen)
	}()
	h, err := hall.Run(ctx)
	close(over)
	<-shown
	hall.Close()
	own := hall.LabStats()
	if err != nil && ctx.Err() != nil {
		fmt.Fprintln(a.err, "ivylab: stopped; all processes have ended")
		return ExitFailed
	}
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	return a.finish(s, h, &own, to, time.Since(start), nil)
}

// follow shows a run until it is over: a screen that changes, or plain lines.
func (a *app) follow(h *real.Testbed, l *show.LiveView, s *scenario.Scenario, over <-chan struct{}, screen bool) {
	every := 2 * time.Second
	if screen = screen && a.rows > 0; screen {
		every = 250 * time.Millisecond
		fmt.Fprint(a.out, "\x1b[?25l\x1b[2J")         // no cursor, a clean screen
		defer fmt.Fprint(a.out, "\x1b[?25h\x1b[0m\n") // as it was
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-over:
			return
		case <-t.C:
			if screen {
				text := l.Screen("ivylab "+s.Name, h.Clock(), s.Length.Duration, h.ServerStatuses(), a.rows-1)
				fmt.Fprint(a.out, "\x1b[H"+strings.ReplaceAll(text, "\n", "\x1b[K\n")+"\x1b[J")
			} else {
				fmt.Fprintln(a.out, l.Line(h.Clock(), h.ServerStatuses()))
			}
		}
	}
}

// Result is what run -json writes.
type Result struct {
	Scenario string         `json:"scenario"`
	Seed     int64          `json:"seed"`
	Passed   bool           `json:"held"`
	Failures []string       `json:"did_not_hold"`
	Verdict  *judge.Verdict `json:"verdict"`
	LabStats *real.LabStats `json:"lab,omitempty"` // the lab's own part, on sockets
	Elapsed  float64        `json:"took_s"`
	Events   int            `json:"events"`
}

// finish judges a run, writes what was asked for and prints the verdict.
func (a *app) finish(s *scenario.Scenario, h *history.History, own *real.LabStats, to files, took time.Duration, more []string) int {
	v := judge.Judge(h)
	left := append(holds.Check(s, h, &v), more...)
	r := Result{s.Name, h.Setup.Seed, len(left) == 0, left, &v, own, took.Seconds(), len(h.Events)}
	if err := to.write(h, &r); err != nil {
		return a.fail(ExitFailed, err)
	}
	a.verdict(h, &r)
	if to.report != "" {
		fmt.Fprintf(a.out, "report: %s\n", to.report)
	}
	if len(left) > 0 {
		return ExitFailed
	}
	return ExitPassed
}

func (x files) write(h *history.History, r *Result) error {
	return errors.Join(
		put(x.json, func(w io.Writer) error {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(r)
		}),
		put(x.history, h.Write),
		put(x.report, func(w io.Writer) error { return show.Report(w, h, r.Verdict, r.Failures) }))
}

// put writes a file; an empty path is none.
func put(path string, do func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(do(f), f.Close())
}

func (a *app) verdict(h *history.History, r *Result) {
	g := r.Verdict.Service
	fmt.Fprintf(a.out, "\n%s, seed %d: score %.1f (measure %.3f: whole %.3f, worst 10 s %.3f, worst class %.3f; penalties %.2f)\n",
		r.Scenario, r.Seed, g.Score, g.Measure, g.OnTimeRatio, g.WorstWindow, g.WorstClass, g.Penalties.Sum())
	fmt.Fprintf(a.out, "%d orders in %d tries and %d attempts; %d tries refused, %d failed; %d effects run\n", g.Orders, g.Tries, g.Attempts, g.Refused, g.Failed, g.Runs)
	for _, c := range g.Classes {
		fmt.Fprintf(a.out, "  %-16s %6d orders, %6d within aim, p50 %4d ms, p99 %5d ms, %d tries refused, %d failed\n",
			c.Class, c.Orders, c.OnTime, c.P50.Milliseconds(), c.P99.Milliseconds(), c.Refused, c.Failed)
	}
	if r.LabStats != nil {
		fmt.Fprintf(a.out, "the lab sent its orders late by %v (p50) and %v (p99)\n", r.LabStats.LateP50.Round(10*time.Microsecond), r.LabStats.LateP99.Round(10*time.Microsecond))
	} else {
		fmt.Fprintf(a.out, "%.0f s of the lab's time in %.2f s\n", h.Events[len(h.Events)-1].At.Seconds(), r.Elapsed)
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
	var word string
	f := flag.NewFlagSet("judge", flag.ContinueOnError)
	if !a.parse(f, args, &word) {
		return ExitUsage
	}
	file, err := os.Open(word)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	defer file.Close()
	h, err := history.Read(file)
	if err != nil {
		return a.fail(ExitUsage, fmt.Errorf("%s: %w", word, err))
	}
	v := judge.Judge(h)
	left := holds.BreachLines(&v)
	r := Result{h.Setup.Scenario, h.Setup.Seed, len(left) == 0, left, &v, &real.LabStats{}, 0, len(h.Events)}
	a.verdict(h, &r)
	if len(left) > 0 {
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
	res := sweep.Run(*first, *seeds, nil, func(x sweep.Finding) bool {
		fmt.Fprintf(a.out, "seed %d breaks %v\nshrunk in %d replays, it still breaks %v:\n\n%s\n", x.Seed, x.Breach, x.Replays, x.ShrunkBreach, x.TOML())
		return true
	})
	took := time.Since(start)
	fmt.Fprintf(a.out, "%d timelines, %d tries, %.0f s of the lab's time in %.1f s (%.0f timelines a minute): %d break a rule\n", res.Played, res.Tries,
		res.SimulatedTime.Seconds(), took.Seconds(), float64(res.Played)/took.Minutes(), len(res.Findings))
	if len(res.Findings) > 0 {
		var all []int64
		for _, x := range res.Findings {
			all = append(all, x.Seed)
		}
		slices.Sort(all)
		fmt.Fprintln(a.out, "seeds:", all)
		return ExitFailed
	}
	return ExitPassed
}
