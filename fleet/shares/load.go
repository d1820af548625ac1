package shares

import (
	"slices"
	"time"
)

const (
	reportLifetime = 5 * time.Second // of a peer's load report
	maxReports     = 4096
)

// LoadEstimator estimates this process's fraction of the fleet's load from peers' load
// reports. Each process receives reports of some random peers; their mean is the estimate for
// all others. It is not safe for concurrent use.
type LoadEstimator struct {
	reports map[ID]loadReport
}

type loadReport struct {
	rate float64
	at   Time
}

// Report records a peer's load, in requests per second.
func (e *LoadEstimator) Report(now Time, from ID, rate float64) {
	if e.reports == nil {
		e.reports = map[ID]loadReport{}
	}
	if _, known := e.reports[from]; known || len(e.reports) < maxReports {
		e.reports[from] = loadReport{max(0, rate), now}
	}
}

// Fraction returns the fraction of the fleet's load that is this process's own, given its
// load and the number of live processes including itself; an equal fraction if there is no
// load. A single peer's report counts for at most four times the median or the own load,
// whichever is larger.
func (e *LoadEstimator) Fraction(now Time, own float64, alive int) float64 {
	if alive <= 1 {
		return 1
	}
	var rates []float64
	for id, report := range e.reports {
		if now-report.at > reportLifetime {
			delete(e.reports, id)
			continue
		}
		rates = append(rates, report.rate)
	}
	if len(rates) == 0 {
		return 1 / float64(alive)
	}
	bound := 4 * max(median(rates), own)
	sum := 0.0
	for _, r := range rates {
		sum += min(r, bound)
	}
	total := own + sum/float64(len(rates))*float64(alive-1)
	if total <= 0 {
		return 1 / float64(alive)
	}
	return own / total
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}
