package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"ivylock/internal/lab/soak"
)

// soak runs random faults against many real nodes, one seed after the other.
func (a *app) soak(ctx context.Context, args []string) int {
	b := soak.DefaultBounds
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	seeds := f.Int("seeds", 1, "how `many` seeds")
	from := f.Int64("from", 1, "the first `seed`")
	program := f.String("node", "", "the node's `program`; empty: it is built from this source tree")
	historyFile := f.String("history", "", "write the history of the last seed that did not hold to this `file`")
	f.IntVar(&b.MinNodes, "least", b.MinNodes, "processes, at `least`")
	f.IntVar(&b.MaxNodes, "most", b.MaxNodes, "processes, at `most`; 48 at most")
	f.DurationVar(&b.Length, "length", b.Length, "of the load of each seed")
	f.Float64Var(&b.FaultsPerSecond, "faults", b.FaultsPerSecond, "faults that begin in a second, on average")
	f.Float64Var(&b.RatePerNode, "rate", b.RatePerNode, "first tries a second for each node")
	f.BoolVar(&b.ClockSteps, "clock-steps", false, "wall clocks of nodes step, too; wants a node that was built with -tags faults")
	f.BoolVar(&b.SystemCalls, "system-calls", b.SystemCalls, "a part of nodes' system calls fails, too")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if b.MinNodes < 1 || b.MaxNodes > 48 || b.MinNodes > b.MaxNodes || *seeds < 1 || b.Length.Seconds() < 2 {
		return a.fail(ExitUsage, errors.New("soak: want 1 to 48 processes, one seed and 2 s or more"))
	}
	if *program == "" {
		built, clean, err := buildNode(ctx, map[bool][]string{true: {"-tags", "faults"}}[b.ClockSteps]...)
		if err != nil {
			return a.fail(ExitUsage, err)
		}
		defer clean()
		*program = built
	}
	failed := 0
	for i := range *seeds {
		r, err := soak.Run(ctx, *program, *from+int64(i), b)
		if err != nil {
			return a.fail(ExitFailed, err)
		}
		fmt.Fprintln(a.out, r.Summary())
		if r.Passed() {
			continue
		}
		failed++
		if err := writeFile(*historyFile, r.History.Write); err != nil {
			return a.fail(ExitFailed, err)
		}
	}
	fmt.Fprintf(a.out, "%d of %d seeds held\n", *seeds-failed, *seeds)
	if failed > 0 {
		return ExitFailed
	}
	return ExitPassed
}

// buildNode builds the node's program from this source tree into a temporary folder,
// which clean removes.
func buildNode(ctx context.Context, flags ...string) (program string, clean func(), err error) {
	dir, err := os.MkdirTemp("", "ivylab-build-")
	if err != nil {
		return "", nil, err
	}
	program = filepath.Join(dir, "ivylock")
	args := append([]string{"build", "-o", program}, flags...)
	if out, err := exec.CommandContext(ctx, "go", append(args, "ivylock/cmd/ivylock")...).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return "", nil, fmt.Errorf("the node could not be built here (-node names one that is): %w %s", err, strings.TrimSpace(string(out)))
	}
	return program, func() { os.RemoveAll(dir) }, nil
}
