// Package show presents runs: a live screen or, without a terminal, lines of text
// during the run, and an HTML report of its history.
package show

import (
	"time"

	"ivylock/internal/lab/history"
)

// Series holds values of a history for each of its seconds.
type Series struct {
	Seconds     int
	OnTimeValue []float64            // fraction of the requested value served within target latency; -1: no requests
	Refused     []float64            // number of refused tries
	Sent        map[string][]float64 // by server: number of attempts that it received
	InFlight    map[string][]float64 // by server: mean number of attempts in progress
	Faults      []FaultInterval
}

// FaultInterval is the time during which a fault was active, since the start of the lab.
type FaultInterval struct {
	From, To time.Duration
	Text     string
}

// NewSeries computes the series of a history.
func NewSeries(h *history.History) Series {
	end := h.Setup.Length
	for _, e := range h.Events {
		if e.Kind == history.FaultEnded {
			end = max(end, e.At)
		}
	}
	s := Series{Seconds: int(end/time.Second) + 1, Sent: map[string][]float64{}, InFlight: map[string][]float64{}}
	s.OnTimeValue, s.Refused = make([]float64, s.Seconds), make([]float64, s.Seconds)
	second := func(t time.Duration) int { return min(max(int(t/time.Second), 0), s.Seconds-1) }
	for _, server := range h.Setup.Servers {
		s.Sent[server.Name], s.InFlight[server.Name] = make([]float64, s.Seconds), make([]float64, s.Seconds)
	}
	classes := map[string]*history.Class{}
	for i := range h.Setup.Classes {
		classes[h.Setup.Classes[i].Name] = &h.Setup.Classes[i]
	}
	type order struct {
		class *history.Class
		at    time.Duration
	}
	orders, tries, served := map[string]order{}, map[string]string{}, map[string]bool{}
	requested := make([]float64, s.Seconds)
	open := map[string][]history.Event{} // by try: attempts in progress
	faultStart := map[string]time.Duration{}
	for _, e := range h.Events {
		switch e.Kind {
		case history.OrderIssued, history.Try:
			if e.Kind == history.Try {
				tries[e.Try] = e.Order
			}
			if _, known := orders[e.Order]; !known && classes[e.Class] != nil {
				orders[e.Order] = order{classes[e.Class], e.At}
				requested[second(e.At)] += classes[e.Class].Value
			}
		case history.Attempt:
			if s.Sent[e.Server] != nil {
				s.Sent[e.Server][second(e.At)]++
				if e.Verdict == history.Accepted {
					open[e.Try] = append(open[e.Try], e)
				}
			}
		case history.Answer:
			for _, attempt := range open[e.Try] { // attempts that outlive their try are not counted further
				for t := attempt.At; t < e.At; {
					next := min((t/time.Second+1)*time.Second, e.At)
					s.InFlight[attempt.Server][second(t)] += (next - t).Seconds()
					t = next
				}
			}
			delete(open, e.Try)
			first, known := orders[tries[e.Try]]
			switch {
			case e.Status == history.Refused:
				s.Refused[second(e.At)]++
			case e.Status == history.Served && known && !served[tries[e.Try]]:
				served[tries[e.Try]] = true
				if e.At-first.at <= first.class.TargetLatency {
					s.OnTimeValue[second(first.at)] += first.class.Value
				}
			}
		case history.FaultStarted:
			faultStart[e.Note] = e.At
		case history.FaultEnded:
			s.Faults = append(s.Faults, FaultInterval{faultStart[e.Note], e.At, e.Note})
		}
	}
	for i := range s.OnTimeValue {
		if requested[i] == 0 {
			s.OnTimeValue[i] = -1
		} else {
			s.OnTimeValue[i] /= requested[i]
		}
	}
	return s
}
