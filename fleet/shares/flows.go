package shares

import (
	"slices"
	"time"
)

const (
	flowLasts = 5 * time.Second // a process's word of its flow
	maxFlows  = 4096
)

// LoadEstimator puts together what processes say of how much they have to do: the part of the
// whole flow that is this one's. Each hears some of the others, drawn at random, so
// the mean of those that it has heard of late stands for all. It is not safe for
// concurrent use.
type LoadEstimator struct {
	others map[ID]flow
}

type flow struct {
	rate float64
	at   Time
}

// Handle takes a process's word of its flow.
func (f *LoadEstimator) Report(now Time, from ID, rate float64) {
	if f.others == nil {
		f.others = map[ID]flow{}
	}
	if _, known := f.others[from]; known || len(f.others) < maxFlows {
		f.others[from] = flow{max(0, rate), now}
	}
}

// Fraction is the part of the whole that is the process's own with a flow, among so many
// living processes, itself counted; an equal part where nothing flows. One teller that
// is wrong counts for four times the median of the others at most.
func (f *LoadEstimator) Fraction(now Time, own float64, living int) float64 {
	if living <= 1 {
		return 1
	}
	var rates []float64
	for id, x := range f.others {
		if now-x.at > flowLasts {
			delete(f.others, id)
			continue
		}
		rates = append(rates, x.rate)
	}
	if len(rates) == 0 {
		return 1 / float64(living)
	}
	bound := 4 * max(median(rates), own)
	sum := 0.0
	for _, r := range rates {
		sum += min(r, bound)
	}
	all := own + sum/float64(len(rates))*float64(living-1)
	if all <= 0 {
		return 1 / float64(living)
	}
	return own / all
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}
