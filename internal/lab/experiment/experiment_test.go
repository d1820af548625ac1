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

const small = `name = "small"
ways = ["least", "chance"]
sizes = ["6x2"]
loads = [0.4, 0.8]
faults = ["quiet", "silent"]
seeds = 2
length = "3s"
`

func design(t *testing.T, text string) *Design {
	t.Helper()
	d, err := Parse("small.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// A run that ends at any moment, also in the middle of a row, goes on where it
// was: no finished day is played again, and the rows are those of one run.
func TestARunGoesOnWhereItWas(t *testing.T) {
	d, dir := design(t, small), t.TempDir()
	whole, cut := filepath.Join(dir, "whole.rows"), filepath.Join(dir, "cut.rows")
	if err := Run(context.Background(), d, whole, "c1", nil); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	if err := Run(ctx, d, cut, "c1", func(p Progress) {
		if p.Done >= 5 {
			stop()
		}
	}); err == nil {
		t.Fatal("it was not ended")
	}
	raw, err := os.ReadFile(cut)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cut, raw[:len(raw)-7], 0o600); err != nil { // as a kill leaves it
		t.Fatal(err)
	}
	before, err := Read(cut)
	if err != nil || len(before) == 0 {
		t.Fatalf("%d rows, %v", len(before), err)
	}
	played := 0
	if err := Run(context.Background(), d, cut, "c1", func(p Progress) {
		played++
		if p.Resumed != len(before) {
			t.Errorf("it found %d of %d", p.Resumed, len(before))
		}
	}); err != nil {
		t.Fatal(err)
	}
	rows, err := Read(cut)
	if err != nil || len(rows) != 16 || played != 16-len(before) {
		t.Fatalf("%d rows after %d more days, %v", len(rows), played, err)
	}
	want, _ := Read(whole)
	by := map[string]Row{}
	for _, r := range want {
		by[r.Key()] = r
	}
	for _, r := range rows {
		if w := by[r.Key()]; r.Measure != w.Measure || r.Events != w.Events || w.Orders == 0 {
			t.Errorf("%s: %+v and %+v", r.Key(), r, w)
		}
	}
	if err := Run(context.Background(), d, cut, "c2", nil); err != nil { // another commit's rows do not count
		t.Fatal(err)
	}
	if rows, _ = Read(cut); len(rows) != 32 {
		t.Errorf("%d rows of two commits", len(rows))
	}
}

func TestWhatIsNoRowIsSaid(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.rows")
	os.WriteFile(file, []byte("{\"way\":\"least\"}\nnonsense\n"), 0o600)
	if _, err := Read(file); err == nil || !strings.Contains(err.Error(), ":2:") {
		t.Errorf("got %v", err)
	}
}

// A difference beyond noise is found, one within it is not, and more broken
// rules are worse whatever the measure.
func TestCompareTellsNoiseFromADifference(t *testing.T) {
	rows := func(shift, noise float64, broken int) (out []Row) {
		for i := range 12 {
			c := Cell{policy.TwoChoices, fleet.Workload{Servers: 12, Proxies: 3, Load: 0.5, Seed: int64(i + 1)}}
			sign := float64(1 - 2*(i%2))
			r := Row{Cell: c, Measure: 0.8 + 0.02*float64(i) + shift + noise*sign}
			r.Breaches[4] = broken
			out = append(out, r)
		}
		return out
	}
	for name, c := range map[string]struct {
		b           []Row
		worse, more bool
	}{
		"the same":     {rows(0, 0, 0), false, false},
		"noise":        {rows(-0.001, 0.02, 0), false, false},
		"worse":        {rows(-0.03, 0.005, 0), true, false},
		"better":       {rows(0.03, 0.005, 0), false, true},
		"too little":   {rows(-0.003, 0, 0), false, false},
		"broken rules": {rows(0.03, 0.005, 1), true, true},
	} {
		all, err := Compare(rows(0, 0, 0), c.b, 0.005)
		if err != nil || len(all) != 1 || all[0].Worse != c.worse || all[0].Better != c.more {
			t.Errorf("%s: %+v, %v", name, all, err)
		}
	}
	if _, err := Compare(rows(0, 0, 0), nil, 0); err == nil {
		t.Error("nothing in common is no verdict")
	}
}

func TestDesignsAreReadStrictly(t *testing.T) {
	for text, want := range map[string]string{
		strings.Replace(small, "seeds = 2", "seed = 2", 1):             ":6: unknown key seed",
		strings.Replace(small, `"least"`, `"lest"`, 1):                 ":2: unknown way",
		strings.Replace(small, `"6x2"`, `"6 by 2"`, 1):                 ":3: sizes: \"6 by 2\" is no size",
		strings.Replace(small, `"6x2"`, `"6x2000"`, 1):                 ":3: sizes:",
		strings.Replace(small, `"silent"`, `"loud"`, 1):                ":5: fleet: unknown fault",
		strings.Replace(small, `0.8`, `8.0`, 1):                        ":4: fleet: want a load",
		strings.Replace(small, `"3s"`, `3`, 1):                         ":7: length",
		strings.Replace(small, `seeds = 2`, `seeds = 20000`, 1):        ":6: seeds",
		strings.Replace(small, `name = "small"`, `name = "a b"`, 1):    ":1: name",
		strings.Replace(small, `sizes = ["6x2"]`, `about = "none"`, 1): "no sizes",
	} {
		_, err := Parse("small.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v", want, err)
		}
	}
	d := design(t, small+"sample = 3\n")
	a, _ := d.Cells()
	b, _ := d.Cells()
	if len(a) != 6 || a[0] != b[0] || a[5] != b[5] {
		t.Errorf("a sample of 3 with 2 seeds: %d cells", len(a))
	}
}

func TestFiguresAndPageAreDrawn(t *testing.T) {
	var rows []Row
	for _, way := range []policy.Name{policy.TwoChoices, policy.Random} {
		for _, load := range []float64{0.3, 0.6} {
			for seed := range int64(3) {
				c := Cell{way, fleet.Workload{Servers: 12, Proxies: 3, Load: load, Fault: fleet.NoFault, Seed: seed}}
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
			t.Errorf("the page does not say %q", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != len(shown) {
		t.Errorf("%d figures", n)
	}
}
