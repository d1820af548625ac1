package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ivylock/internal/lab/fleet"
	"ivylock/internal/lab/policy"
)

const smallDesign = `name = "small"
ways = ["least", "chance"]
sizes = ["6x2"]
loads = [0.4, 0.8]
faults = ["quiet", "silent"]
seeds = 2
length = "3s"
`

func parseDesign(t *testing.T, text string) *Design {
	t.Helper()
	d, err := Parse("small.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against lost or repeated cells when a run is interrupted, also in the
// middle of a row.
func TestInterruptedRunIsResumed(t *testing.T) {
	d, dir := parseDesign(t, smallDesign), t.TempDir()
	complete, interrupted := filepath.Join(dir, "whole.rows"), filepath.Join(dir, "cut.rows")
	if err := Run(context.Background(), d, complete, "c1", nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if err := Run(ctx, d, interrupted, "c1", func(p Progress) {
		if p.Done >= 5 {
			cancel()
		}
	}); err == nil {
		t.Fatal("the run was not cancelled")
	}
	raw, err := os.ReadFile(interrupted)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(interrupted, raw[:len(raw)-7], 0o600); err != nil { // as left by a killed run
		t.Fatal(err)
	}
	before, err := Read(interrupted)
	if err != nil || len(before) == 0 {
		t.Fatalf("%d rows, %v", len(before), err)
	}
	runs := 0
	if err := Run(context.Background(), d, interrupted, "c1", func(p Progress) {
		runs++
		if p.Resumed != len(before) {
			t.Errorf("resumed with %d of %d rows", p.Resumed, len(before))
		}
	}); err != nil {
		t.Fatal(err)
	}
	rows, err := Read(interrupted)
	if err != nil || len(rows) != 16 || runs != 16-len(before) {
		t.Fatalf("%d rows after %d more cells, %v", len(rows), runs, err)
	}
	want, _ := Read(complete)
	byKey := map[string]Row{}
	for _, r := range want {
		byKey[r.Key()] = r
	}
	for _, r := range rows {
		if w := byKey[r.Key()]; r.Measure != w.Measure || r.Events != w.Events || w.Orders == 0 {
			t.Errorf("%s: %+v and %+v", r.Key(), r, w)
		}
	}
	if err := Run(context.Background(), d, interrupted, "c2", nil); err != nil { // rows of another commit do not count
		t.Fatal(err)
	}
	if rows, _ = Read(interrupted); len(rows) != 32 {
		t.Errorf("%d rows of two commits", len(rows))
	}
}

func TestReadReportsInvalidLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.rows")
	os.WriteFile(file, []byte("{\"way\":\"least\"}\nnonsense\n"), 0o600)
	if _, err := Read(file); err == nil || !strings.Contains(err.Error(), ":2:") {
		t.Errorf("got %v", err)
	}
}

// Compare must report significant differences only, and more broken rules as worse
// whatever the measure.
func TestCompareReportsSignificantDifferences(t *testing.T) {
	rows := func(shift, noise float64, breaches int) (out []Row) {
		for i := range 12 {
			c := Cell{policy.TwoChoices, fleet.Workload{Servers: 12, Proxies: 3, Load: 0.5, Seed: int64(i + 1)}}
			sign := float64(1 - 2*(i%2))
			r := Row{Cell: c, Measure: 0.8 + 0.02*float64(i) + shift + noise*sign}
			r.Breaches[4] = breaches
			out = append(out, r)
		}
		return out
	}
	for name, c := range map[string]struct {
		b             []Row
		worse, better bool
	}{
		"equal":        {rows(0, 0, 0), false, false},
		"noise":        {rows(-0.001, 0.02, 0), false, false},
		"worse":        {rows(-0.03, 0.005, 0), true, false},
		"better":       {rows(0.03, 0.005, 0), false, true},
		"too small":    {rows(-0.003, 0, 0), false, false},
		"broken rules": {rows(0.03, 0.005, 1), true, true},
	} {
		all, err := Compare(rows(0, 0, 0), c.b, 0.005)
		if err != nil || len(all) != 1 || all[0].Worse != c.worse || all[0].Better != c.better {
			t.Errorf("%s: %+v, %v", name, all, err)
		}
	}
	if _, err := Compare(rows(0, 0, 0), nil, 0); err == nil {
		t.Error("no error without a common cell")
	}
}

func TestParseRejectsInvalidDesigns(t *testing.T) {
	for text, want := range map[string]string{
		strings.Replace(smallDesign, "seeds = 2", "seed = 2", 1):             ":6: unknown key seed",
		strings.Replace(smallDesign, `"least"`, `"lest"`, 1):                 ":2: unknown way",
		strings.Replace(smallDesign, `"6x2"`, `"6 by 2"`, 1):                 ":3: sizes: \"6 by 2\" is no size",
		strings.Replace(smallDesign, `"6x2"`, `"6x2000"`, 1):                 ":3: sizes:",
		strings.Replace(smallDesign, `"silent"`, `"loud"`, 1):                ":5: fleet: unknown fault",
		strings.Replace(smallDesign, `0.8`, `8.0`, 1):                        ":4: fleet: want a load",
		strings.Replace(smallDesign, `"3s"`, `3`, 1):                         ":7: length",
		strings.Replace(smallDesign, `seeds = 2`, `seeds = 20000`, 1):        ":6: seeds",
		strings.Replace(smallDesign, `name = "small"`, `name = "a b"`, 1):    ":1: name",
		strings.Replace(smallDesign, `sizes = ["6x2"]`, `about = "none"`, 1): "no sizes",
	} {
		_, err := Parse("small.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v", want, err)
		}
	}
	d := parseDesign(t, smallDesign+"sample = 3\n")
	a, _ := d.Cells()
	b, _ := d.Cells()
	if len(a) != 6 || a[0] != b[0] || a[5] != b[5] {
		t.Errorf("a sample of 3 with 2 seeds: %d cells", len(a))
	}
}

func TestReportContainsTableAndFigures(t *testing.T) {
	var rows []Row
	for _, name := range []policy.Name{policy.TwoChoices, policy.Random} {
		for _, load := range []float64{0.3, 0.6} {
			for seed := range int64(3) {
				c := Cell{name, fleet.Workload{Servers: 12, Proxies: 3, Load: load, Fault: fleet.NoFault, Seed: seed}}
				rows = append(rows, Row{Cell: c, Measure: load + 0.01*float64(seed), P99: map[string]float64{"broadcast-clip": 100}})
			}
		}
	}
	rows[0].Breaches[4] = 2
	var page bytes.Buffer
	if err := Report(&page, "small", rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"12x3 load 0.3 quiet", "0.310 ± 0.025", "2 broken", "<svg"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != len(plottedValues) {
		t.Errorf("%d figures", n)
	}
}
