package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"ivylock/internal/lab/experiment"
)

// commit names the source that this program was built from; where the build
// did not note it, that of the folder it is called in.
func commit() string {
	if id := builtFrom(); id != "unknown" {
		return id
	}
	id, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	changed := ""
	if out, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no", "--", "*.go").Output(); err != nil || len(out) > 0 {
		changed = "+"
	}
	return strings.TrimSpace(string(id)) + changed
}

func builtFrom() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	id, changed := "unknown", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			id = s.Value[:min(12, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				changed = "+"
			}
		}
	}
	return id + changed
}

// experiment plays a design.
func (a *app) experiment(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("experiment", flag.ContinueOnError)
	out := f.String("out", "", "the `file` of rows; empty: the design's name and .rows")
	name := ""
	if !a.parse(f, args, &name) {
		return ExitUsage
	}
	if name == "" {
		return a.fail(ExitUsage, errors.New("experiment: want the file of a design; docs/experiments.md has one"))
	}
	d, err := experiment.Load(name)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	if *out == "" {
		*out = d.Name + ".rows"
	}
	started := time.Now()
	told := time.Time{}
	err = experiment.Run(ctx, d, *out, commit(), func(p experiment.Progress) {
		if time.Since(told) < time.Second && p.Done < p.Total {
			return
		}
		told = time.Now()
		line := fmt.Sprintf("%d of %d days, %v left; %s: %.3f", p.Done, p.Total, p.Remaining.Round(time.Second), p.Last.GroupKey(), p.Last.Measure)
		if a.rows > 0 {
			fmt.Fprintf(a.err, "\r\x1b[K%s", line)
		} else {
			fmt.Fprintln(a.err, line)
		}
	})
	if a.rows > 0 {
		fmt.Fprintln(a.err)
	}
	if err != nil {
		if errors.Is(err, context.Canceled) {
			err = fmt.Errorf("ended; what is done is in %s, and the same command goes on from there", *out)
		}
		return a.fail(ExitFailed, err)
	}
	rows, err := experiment.Read(*out)
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	var mine []experiment.Row
	for _, r := range rows {
		if r.Commit == commit() {
			mine = append(mine, r)
		}
	}
	fmt.Fprintf(a.out, "%s, commit %s, %v\n\n%s", d.Name, commit(), time.Since(started).Round(time.Second), experiment.Table(experiment.Groups(mine)))
	return ExitPassed
}

// plot draws a file of rows.
func (a *app) plot(args []string) int {
	f := flag.NewFlagSet("plot", flag.ContinueOnError)
	out := f.String("out", "", "the `folder` for the figures and the page; empty: the file's name without .rows")
	name := ""
	if !a.parse(f, args, &name) {
		return ExitUsage
	}
	if name == "" {
		return a.fail(ExitUsage, errors.New("plot: want a file of rows, as experiment writes it"))
	}
	rows, err := experiment.Read(name)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	if len(rows) == 0 {
		return a.fail(ExitUsage, fmt.Errorf("%s has no rows", name))
	}
	if *out == "" {
		*out = strings.TrimSuffix(name, ".rows") + "-plots"
	}
	if err := os.MkdirAll(*out, 0o755); err != nil {
		return a.fail(ExitFailed, err)
	}
	figures, err := experiment.Figures(rows)
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	for i, x := range figures {
		if err := os.WriteFile(filepath.Join(*out, fmt.Sprintf("figure-%02d.svg", i+1)), x.SVG, 0o644); err != nil {
			return a.fail(ExitFailed, err)
		}
	}
	page, err := os.Create(filepath.Join(*out, "report.html"))
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	defer page.Close()
	if err := experiment.Report(page, strings.TrimSuffix(filepath.Base(name), ".rows"), rows); err != nil {
		return a.fail(ExitFailed, err)
	}
	fmt.Fprintf(a.out, "%d figures and report.html in %s\n", len(figures), *out)
	return ExitPassed
}

// compare tells what differs beyond noise between two files of rows.
func (a *app) compare(args []string) int {
	f := flag.NewFlagSet("compare", flag.ContinueOnError)
	least := f.Float64("least", 0.005, "a difference of the measure under this does not count")
	if f.SetOutput(a.err); f.Parse(args) != nil {
		return ExitUsage
	}
	if f.NArg() != 2 || *least < 0 {
		return a.fail(ExitUsage, errors.New("compare: want two files of rows, the older one first"))
	}
	var rows [2][]experiment.Row
	for i := range rows {
		var err error
		if rows[i], err = experiment.Read(f.Arg(i)); err != nil {
			return a.fail(ExitUsage, err)
		}
	}
	all, err := experiment.Compare(rows[0], rows[1], *least)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	worse := 0
	for _, d := range all {
		word := ""
		switch {
		case d.Worse:
			word = "WORSE"
			worse++
		case d.Better:
			word = "better"
		}
		fmt.Fprintf(a.out, "%-44s %3d days  %+.4f  [%+.4f, %+.4f]  %+d broken  %s\n", d.Group, d.N, d.Mean, d.Low, d.High, d.Breaches, word)
	}
	fmt.Fprintf(a.out, "%d of %d worse\n", worse, len(all))
	if worse > 0 {
		return ExitFailed
	}
	return ExitPassed
}
