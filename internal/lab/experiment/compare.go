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

// Mean is a mean over seeds with its 95% confidence interval.
type Mean struct {
	N               int
	Mean, HalfWidth float64 // HalfWidth is half the width of the interval; 0 for one value
}

// MeanOf returns the mean of values with the interval of Student's t-distribution.
func MeanOf(values []float64) Mean {
	m := Mean{N: len(values), Mean: stat.Mean(values, nil)}
	if len(values) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.975)
		m.HalfWidth = t * stat.StdErr(stat.StdDev(values, nil), float64(len(values)))
	}
	return m
}

// Group holds the rows of one combination of factors over all seeds.
type Group struct {
	Cell        // its Seed has no meaning
	Rows        []Row
	Measure     Mean
	WorstWindow Mean
	Breaches    [5]int
}

// Groups groups rows by combination, in order of first occurrence.
func Groups(rows []Row) []Group {
	index := map[string]int{}
	var out []Group
	for _, r := range rows {
		i, known := index[r.GroupKey()]
		if !known {
			i = len(out)
			index[r.GroupKey()] = i
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

// Difference compares one combination between two files.
type Difference struct {
	Group         string
	N             int     // cells in both files
	Mean          float64 // of the measure, second file minus first
	Low, High     float64 // 95% interval by bootstrap over the pairs
	Breaches      int     // second file minus first
	Worse, Better bool    // whether the difference is significant
}

const resamples = 4000

// Compare pairs the rows of two files by their cells. A difference is significant
// if the whole interval lies on one side of 0 and the mean differs from 0 by more
// than minDifference; more broken rules are always worse. It fails if the files
// have no cell in common.
func Compare(baseline, changed []Row, minDifference float64) ([]Difference, error) {
	first := map[string]Row{}
	for _, r := range baseline {
		first[r.Key()] = r
	}
	type pairs struct {
		diffs    []float64
		breaches int
	}
	groups := map[string]*pairs{}
	var order []string
	for _, r := range changed {
		old, found := first[r.Key()]
		if !found {
			continue
		}
		pair := groups[r.GroupKey()]
		if pair == nil {
			pair = &pairs{}
			groups[r.GroupKey()] = pair
			order = append(order, r.GroupKey())
		}
		pair.diffs = append(pair.diffs, r.Measure-old.Measure)
		for rule := range r.Breaches {
			pair.breaches += r.Breaches[rule] - old.Breaches[rule]
		}
	}
	if len(order) == 0 {
		return nil, errors.New("the two files have no cell in common")
	}
	var out []Difference
	rng := rand.New(rand.NewPCG(1, 2)) // fixed seed, for reproducible results
	for _, group := range order {
		pair := groups[group]
		d := Difference{Group: group, N: len(pair.diffs), Mean: stat.Mean(pair.diffs, nil), Breaches: pair.breaches}
		d.Low, d.High = bootstrap(rng, pair.diffs)
		d.Worse = d.High < 0 && d.Mean < -minDifference || pair.breaches > 0
		d.Better = d.Low > 0 && d.Mean > minDifference
		out = append(out, d)
	}
	return out, nil
}

// bootstrap returns the 95% interval of the mean by resampling.
func bootstrap(rng *rand.Rand, values []float64) (low, high float64) {
	if len(values) < 2 {
		return math.Inf(-1), math.Inf(1) // one pair has no variance
	}
	means := make([]float64, resamples)
	for i := range means {
		for range values {
			means[i] += values[rng.IntN(len(values))] / float64(len(values))
		}
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}

// Table formats groups as a Markdown table with a row for each workload and a
// column for each policy: mean, interval and, in brackets, the number of breaches.
func Table(groups []Group) string {
	var policies, workloads []string
	cells := map[string]Group{}
	for _, g := range groups {
		policy, workload, _ := strings.Cut(g.GroupKey(), " ")
		if !slices.Contains(policies, policy) {
			policies = append(policies, policy)
		}
		if !slices.Contains(workloads, workload) {
			workloads = append(workloads, workload)
		}
		cells[g.GroupKey()] = g
	}
	var b strings.Builder
	fmt.Fprintf(&b, "| day |")
	for _, policy := range policies {
		fmt.Fprintf(&b, " %s |", policy)
	}
	fmt.Fprintf(&b, "\n| --- |%s\n", strings.Repeat(" --- |", len(policies)))
	for _, workload := range workloads {
		fmt.Fprintf(&b, "| %s |", workload)
		for _, policy := range policies {
			g, found := cells[policy+" "+workload]
			if !found {
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
