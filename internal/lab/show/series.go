// Package show turns a run into what a person looks at: one changing screen
// while it goes on, plain lines where there is no terminal, and an HTML report
// of its history.
package show

import (
	"time"

	"ivylock/internal/lab/history"
)

// Series are figures by second of a history.
type Series struct {
	Seconds     int
	OnTimeValue []float64            // share of the worth asked for that came within its aim; -1: nothing was asked
	Refused     []float64            // tries refused
	Sent        map[string][]float64 // by server: attempts that came
	InFlight    map[string][]float64 // by server: mean of the attempts it held
	Faults      []FaultInterval
}

// FaultInterval is a fault on the axis of time.
type FaultInterval struct {
	From, To time.Duration
	Text     string
}

// NewSeries counts a history by seconds.
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
	for _, x := range h.Setup.Servers {
		s.Sent[x.Name], s.InFlight[x.Name] = make([]float64, s.Seconds), make([]float64, s.Seconds)
	}
	classes := map[string]*history.Class{}
	for i := range h.Setup.Classes {
		classes[h.Setup.Classes[i].Name] = &h.Setup.Classes[i]
	}
	type order struct {
		class *history.Class
		at    time.Duration
	}
	orders, tries, done := map[string]order{}, map[string]string{}, map[string]bool{}
	asked := make([]float64, s.Seconds)
	open := map[string][]history.Event{} // by try: attempts that are out
	begun := map[string]time.Duration{}
	for _, e := range h.Events {
		switch e.Kind {
		case history.OrderIssued, history.Try:
			if e.Kind == history.Try {
				tries[e.Try] = e.Order
			}
			if _, known := orders[e.Order]; !known && classes[e.Class] != nil {
				orders[e.Order] = order{classes[e.Class], e.At}
				asked[second(e.At)] += classes[e.Class].Value
			}
		case history.Attempt:
			if s.Sent[e.Server] != nil {
				s.Sent[e.Server][second(e.At)]++
				if e.Verdict == history.Accepted {
					open[e.Try] = append(open[e.Try], e)
				}
			}
		case history.Answer:
			for _, a := range open[e.Try] { // what a server holds for others goes unseen here
				for t := a.At; t < e.At; {
					next := min((t/time.Second+1)*time.Second, e.At)
					s.InFlight[a.Server][second(t)] += (next - t).Seconds()
					t = next
				}
			}
			delete(open, e.Try)
			o, known := orders[tries[e.Try]]
			switch {
			case e.Status == history.Refused:
				s.Refused[second(e.At)]++
			case e.Status == history.Served && known && !done[tries[e.Try]]:
				done[tries[e.Try]] = true
				if e.At-o.at <= o.class.TargetLatency {
					s.OnTimeValue[second(o.at)] += o.class.Value
				}
			}
		case history.FaultStarted:
			begun[e.Note] = e.At
		case history.FaultEnded:
			s.Faults = append(s.Faults, FaultInterval{begun[e.Note], e.At, e.Note})
		}
	}
	for i := range s.OnTimeValue {
		if asked[i] == 0 {
			s.OnTimeValue[i] = -1
		} else {
			s.OnTimeValue[i] /= asked[i]
		}
	}
	return s
}
