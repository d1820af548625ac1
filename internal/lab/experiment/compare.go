package experiment

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Mean is a mean with its 95% interval over seeds.
type Mean struct {
	N               int
	Mean, HalfWidth float64 // half the interval's width; 0 with one value
}

// MeanOf gives the mean of some values, with Student's interval.
func MeanOf(x []float64) Mean {
	m := Mean{N: len(x), Mean: stat.Mean(x, nil)}
	if len(x) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
		m.HalfWidth = t * stat.StdErr(stat.StdDev(x, nil), float64(len(x)))
	}
	return m
}

// GroupKey is all seeds of one combination.
type Group struct {
	Cell        // its seed means nothing
	Rows        []Row
	Measure     Mean
	WorstWindow Mean
	Breaches    [5]int
}

// Groups puts rows together, in the order in which their combinations come.
func Groups(rows []Row) []Group {
	at := map[string]int{}
	var out []Group
	for _, r := range rows {
		i, known := at[r.GroupKey()]
		if !known {
			i = len(out)
			at[r.GroupKey()] = i
			out = append(out, Group{Cell: r.Cell})
		}
		out[i].Rows = append(out[i].Rows, r)
		for rule, n := range r.Breaches {
			out[i].Breaches[rule] += n
		}
	}
	for i := range out {
		g := &out[i]
		g.Measure = MeanOf(values(g.Rows, func(r Row) float64 { return r.Measure }))
		g.WorstWindow = MeanOf(values(g.Rows, func(r Row) float64 { return r.WorstWindow }))
	}
	return out
}

func values(rows []Row, of func(Row) float64) []float64 {
	out := make([]float64, len(rows))
	for i, r := range rows {
		out[i] = of(r)
	}
	return out
}

// Difference is what one combination gained or lost between two files.
type Difference struct {
	Group         string
	N             int     // days that are in both
	Mean          float64 // of the measure, the second less the first
	Low, High     float64 // 95% by bootstrap over the pairs
	Breaches      int     // more in the second
	Worse, Better bool    // beyond noise
}

const resamples = 4000

// Compare pairs the rows of two files by their cells and tells what differs
// beyond noise: where the whole interval lies on one side of 0 and the mean is
// further from it than least, or where a rule is broken more often. It errs if
// nothing is in both.
func Compare(a, b []Row, least float64) ([]Difference, error) {
	first := map[string]Row{}
	for _, r := range a {
		first[r.Key()] = r
	}
	type pairs struct {
		diffs    []float64
		breaches int
	}
	by := map[string]*pairs{}
	var order []string
	for _, r := range b {
		x, both := first[r.Key()]
		if !both {
			continue
		}
		p := by[r.GroupKey()]
		if p == nil {
			p = &pairs{}
			by[r.GroupKey()] = p
			order = append(order, r.GroupKey())
		}
		p.diffs = append(p.diffs, r.Measure-x.Measure)
		for rule := range r.Breaches {
			p.breaches += r.Breaches[rule] - x.Breaches[rule]
		}
	}
	if len(order) == 0 {
		return nil, errors.New("the two files have no cell in common")
	}
	var out []Difference
	rng := rand.New(rand.NewPCG(1, 2)) // the same verdict each time
	for _, g := range order {
		p := by[g]
		d := Difference{Group: g, N: len(p.diffs), Mean: stat.Mean(p.diffs, nil), Breaches: p.breaches}
		d.Low, d.High = bootstrap(rng, p.diffs)
		d.Worse = d.High < 0 && d.Mean < -least || p.breaches > 0
		d.Better = d.Low > 0 && d.Mean > least
		out = append(out, d)
	}
	return out, nil
}

// bootstrap gives the 95% interval of the mean by drawing the values anew.
func bootstrap(rng *rand.Rand, x []float64) (low, high float64) {
	if len(x) < 2 {
		return math.Inf(-1), math.Inf(1) // one pair tells nothing of noise
	}
	means := make([]float64, resamples)
	for i := range means {
		for range x {
			means[i] += x[rng.IntN(len(x))] / float64(len(x))
		}
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}

// Table words groups as a table: a line for each day's combination, a column
// for each way, with intervals and, in brackets, breaches.
func Table(groups []Group) string {
	var ways, days []string
	cells := map[string]Group{}
	for _, g := range groups {
		way, day, _ := strings.Cut(g.GroupKey(), " ")
		if !slices.Contains(ways, way) {
			ways = append(ways, way)
		}
		if !slices.Contains(days, day) {
			days = append(days, day)
		}
		cells[g.GroupKey()] = g
	}
	var b strings.Builder
	fmt.Fprintf(&b, "| day |")
	for _, w := range ways {
		fmt.Fprintf(&b, " %s |", w)
	}
	fmt.Fprintf(&b, "\n| --- |%s\n", strings.Repeat(" --- |", len(ways)))
	for _, d := range days {
		fmt.Fprintf(&b, "| %s |", d)
		for _, w := range ways {
			g, there := cells[w+" "+d]
			if !there {
				b.WriteString(" |")
				continue
			}
			fmt.Fprintf(&b, " %.3f", g.Measure.Mean)
			if g.Measure.HalfWidth > 0 {
				fmt.Fprintf(&b, " ± %.3f", g.Measure.HalfWidth)
			}
			if n := g.Breaches[1] + g.Breaches[2] + g.Breaches[3] + g.Breaches[4]; n > 0 {
				fmt.Fprintf(&b, " (%d)", n)
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
	return b.String()
}
