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

// sourceCommit returns the commit that this program was built from or, if the build
// did not record it, the commit of the working directory.
func sourceCommit() string {
	if id := buildCommit(); id != "unknown" {
		return id
	}
	id, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	suffix := ""
	if out, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no", "--", "*.go").Output(); err != nil || len(out) > 0 {
		suffix = "+"
	}
	return strings.TrimSpace(string(id)) + suffix
}

func buildCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	id, suffix := "unknown", ""
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			id = setting.Value[:min(12, len(setting.Value))]
		case "vcs.modified":
			if setting.Value == "true" {
				suffix = "+"
			}
		}
	}
	return id + suffix
}

// experiment runs a design.
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
	shownAt := time.Time{}
	err = experiment.Run(ctx, d, *out, sourceCommit(), func(p experiment.Progress) {
		if time.Since(shownAt) < time.Second && p.Done < p.Total {
			return
		}
		shownAt = time.Now()
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
	var current []experiment.Row
	for _, r := range rows {
		if r.Commit == sourceCommit() {
			current = append(current, r)
		}
	}
	fmt.Fprintf(a.out, "%s, commit %s, %v\n\n%s", d.Name, sourceCommit(), time.Since(started).Round(time.Second), experiment.Table(experiment.Groups(current)))
	return ExitPassed
}

// plot plots a file of rows.
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
	for i, figure := range figures {
		if err := os.WriteFile(filepath.Join(*out, fmt.Sprintf("figure-%02d.svg", i+1)), figure.SVG, 0o644); err != nil {
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

// compare reports significant differences between two files of rows.
func (a *app) compare(args []string) int {
	f := flag.NewFlagSet("compare", flag.ContinueOnError)
	minDifference := f.Float64("least", 0.005, "a difference of the measure under this does not count")
	if f.SetOutput(a.err); f.Parse(args) != nil {
		return ExitUsage
	}
	if f.NArg() != 2 || *minDifference < 0 {
		return a.fail(ExitUsage, errors.New("compare: want two files of rows, the older one first"))
	}
	var rows [2][]experiment.Row
	for i := range rows {
		var err error
		if rows[i], err = experiment.Read(f.Arg(i)); err != nil {
			return a.fail(ExitUsage, err)
		}
	}
	all, err := experiment.Compare(rows[0], rows[1], *minDifference)
	if err != nil {
		return a.fail(ExitUsage, err)
	}
	worse := 0
	for _, d := range all {
		verdict := ""
		switch {
		case d.Worse:
			verdict = "WORSE"
			worse++
		case d.Better:
			verdict = "better"
		}
		fmt.Fprintf(a.out, "%-44s %3d days  %+.4f  [%+.4f, %+.4f]  %+d broken  %s\n", d.Group, d.N, d.Mean, d.Low, d.High, d.Breaches, verdict)
	}
	fmt.Fprintf(a.out, "%d of %d worse\n", worse, len(all))
	if worse > 0 {
		return ExitFailed
	}
	return ExitPassed
}
