package show

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/real"
)

const (
	statsWindow   = 5 * time.Second
	maxRemembered = 100_000 // open tries; beyond it, all open orders and tries are dropped
)

// LiveView shows a run in progress. Its methods are safe for concurrent use.
type LiveView struct {
	mu      sync.Mutex
	classes []history.Class
	byName  map[string]*history.Class
	orders  map[string]history.Event // first tries
	tries   map[string]history.Event
	answers []answer
	value   [2]float64 // of all requests so far: served within the target latency, requested
	refused int
	faults  map[string]time.Duration
	notes   []string
}

type answer struct {
	at, latency time.Duration
	class       string
	status      history.Status
	onTime      bool
}

// NewLiveView returns a view of a run with the given classes.
func NewLiveView(classes []history.Class) *LiveView {
	l := &LiveView{classes: classes, byName: map[string]*history.Class{}, orders: map[string]history.Event{}, tries: map[string]history.Event{},
		faults: map[string]time.Duration{}}
	for i := range classes {
		l.byName[classes[i].Name] = &classes[i]
	}
	return l
}

// Add processes an event.
func (l *LiveView) Add(e history.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.Kind {
	case history.OrderIssued, history.Try:
		if len(l.tries) > maxRemembered {
			l.tries, l.orders = map[string]history.Event{}, map[string]history.Event{}
		}
		if e.Kind == history.Try {
			l.tries[e.Try] = e
		}
		if _, known := l.orders[e.Order]; !known {
			l.orders[e.Order] = e
			if c := l.byName[e.Class]; c != nil {
				l.value[1] += c.Value
			}
		}
	case history.Answer:
		try, known := l.tries[e.Try]
		c := l.byName[try.Class]
		if !known || c == nil {
			return
		}
		delete(l.tries, e.Try)
		latency := e.At - l.orders[try.Order].At
		a := answer{e.At, latency, try.Class, e.Status, e.Status == history.Served && latency <= c.TargetLatency}
		if a.onTime {
			l.value[0] += c.Value
		}
		if e.Status == history.Refused {
			l.refused++
		}
		l.answers = append(l.answers, a)
	case history.FaultStarted:
		l.faults[e.Note] = e.At
	case history.FaultEnded:
		delete(l.faults, e.Note)
	case history.ServerOverloaded, history.NodeKilled, history.NodeTerminating, history.NodeExited, history.NodeReady:
		l.notes = append(l.notes, fmt.Sprintf("%5.1fs %s %s%s", e.At.Seconds(), e.Kind, e.Node, e.Server))
		l.notes = l.notes[max(0, len(l.notes)-3):]
	}
}

// classStats are the statistics of a class over statsWindow.
type classStats struct {
	name            string
	rate            float64
	onTime, refused float64 // fractions of the answers
	p50, p99        time.Duration
}

func (l *LiveView) recentStats(now time.Duration) []classStats {
	for len(l.answers) > 0 && l.answers[0].at < now-statsWindow {
		l.answers = l.answers[1:]
	}
	var stats []classStats
	for _, c := range l.classes {
		current := classStats{name: c.Name}
		var latencies []time.Duration
		n := 0.0
		for _, a := range l.answers {
			if a.class != c.Name {
				continue
			}
			n++
			switch {
			case a.status == history.Served:
				latencies = append(latencies, a.latency)
				if a.onTime {
					current.onTime++
				}
			case a.status == history.Refused:
				current.refused++
			}
		}
		if n > 0 {
			current.onTime, current.refused = current.onTime/n, current.refused/n
		}
		current.rate = n / min(statsWindow, max(now, time.Second)).Seconds()
		current.p50, current.p99 = judge.Quantile(latencies, 0.5), judge.Quantile(latencies, 0.99)
		stats = append(stats, current)
	}
	return stats
}

// Screen returns the text of the screen, limited to the given number of lines.
func (l *LiveView) Screen(title string, now, length time.Duration, rows []real.ServerStatus, lines int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%s   %5.1f s of %.0f s   worth served %5.1f%%   refused %d\n", title, now.Seconds(), length.Seconds(), 100*l.onTimeRatio(), l.refused)
	b.WriteString("now: " + l.activeFaults() + "\n")
	fmt.Fprintf(&b, "%-16s %9s %11s %9s %9s %9s\n", "last 5 s", "answers/s", "within aim", "refused", "p50", "p99")
	for _, f := range l.recentStats(now) {
		fmt.Fprintf(&b, "%-16s %9.0f %10.1f%% %8.1f%% %6d ms %6d ms\n", f.name, f.rate, 100*f.onTime, 100*f.refused, f.p50.Milliseconds(), f.p99.Milliseconds())
	}
	fmt.Fprintf(&b, "%-14s %-8s %-9s %-11s %9s %7s\n", "server", "kind", "state", "warm", "in flight", "queue")
	for _, r := range rows {
		state := r.State
		if state == "" {
			state = "up"
		}
		fmt.Fprintf(&b, "%-14s %-8s %-9s %-11s %9d %7d  %s\n", r.Name, r.Kind, state, formatWarmth(r.WarmRatio), r.Active+r.Waiting, r.Waiting, strings.Repeat("#", min(r.Active+r.Waiting, 30)))
	}
	for _, n := range l.notes {
		b.WriteString(n + "\n")
	}
	all := strings.SplitAfter(b.String(), "\n")
	return strings.Join(all[:min(len(all), max(1, lines))], "")
}

// Line returns the state of the run on one line.
func (l *LiveView) Line(now time.Duration, rows []real.ServerStatus) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("%5.1fs worth served %5.1f%%, refused %d;", now.Seconds(), 100*l.onTimeRatio(), l.refused)
	for _, f := range l.recentStats(now) {
		text += fmt.Sprintf(" %s %.0f/s p99 %d ms,", f.name, f.rate, f.p99.Milliseconds())
	}
	inFlight := 0
	for _, r := range rows {
		inFlight += r.Active + r.Waiting
	}
	return text + fmt.Sprintf(" in flight %d; now: %s", inFlight, l.activeFaults())
}

func (l *LiveView) onTimeRatio() float64 {
	if l.value[1] == 0 {
		return 1
	}
	return l.value[0] / l.value[1]
}

func (l *LiveView) activeFaults() string {
	if len(l.faults) == 0 {
		return "nothing wrong"
	}
	var all []string
	for note := range l.faults {
		all = append(all, note)
	}
	slices.Sort(all)
	return strings.Join(all, "; ")
}

func formatWarmth(ratio float64) string {
	if ratio >= 1 {
		return "warm"
	}
	return fmt.Sprintf("cold %.0f%%", 100*ratio)
}
