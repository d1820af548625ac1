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
	recent   = 5 * time.Second // the figures of a screen are of so long
	maxKnown = 100_000         // orders and tries that it remembers
)

// LiveView follows a run as it goes on. Its methods may be called from several
// goroutines.
type LiveView struct {
	mu      sync.Mutex
	classes []history.Class
	byName  map[string]*history.Class
	orders  map[string]history.Event // first tries
	tries   map[string]history.Event
	answers []answered
	worth   [2]float64 // of the whole run: within its aim, asked for
	refused int
	faults  map[string]time.Duration
	notes   []string
}

type answered struct {
	at, took time.Duration
	class    string
	status   history.Status
	within   bool
}

// NewLiveView makes one for a class table.
func NewLiveView(classes []history.Class) *LiveView {
	l := &LiveView{classes: classes, byName: map[string]*history.Class{}, orders: map[string]history.Event{}, tries: map[string]history.Event{},
		faults: map[string]time.Duration{}}
	for i := range classes {
		l.byName[classes[i].Name] = &classes[i]
	}
	return l
}

// Add takes an event.
func (l *LiveView) Add(e history.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.Kind {
	case history.OrderIssued, history.Try:
		if len(l.tries) > maxKnown {
			l.tries, l.orders = map[string]history.Event{}, map[string]history.Event{}
		}
		if e.Kind == history.Try {
			l.tries[e.Try] = e
		}
		if _, known := l.orders[e.Order]; !known {
			l.orders[e.Order] = e
			if c := l.byName[e.Class]; c != nil {
				l.worth[1] += c.Value
			}
		}
	case history.Answer:
		t, known := l.tries[e.Try]
		c := l.byName[t.Class]
		if !known || c == nil {
			return
		}
		delete(l.tries, e.Try)
		took := e.At - l.orders[t.Order].At
		a := answered{e.At, took, t.Class, e.Status, e.Status == history.Served && took <= c.TargetLatency}
		if a.within {
			l.worth[0] += c.Value
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

// figures are those of the last seconds.
type figures struct {
	name            string
	rate            float64
	within, refused float64 // shares of the answers
	p50, p99        time.Duration
}

func (l *LiveView) figures(now time.Duration) []figures {
	for len(l.answers) > 0 && l.answers[0].at < now-recent {
		l.answers = l.answers[1:]
	}
	var out []figures
	for _, c := range l.classes {
		f := figures{name: c.Name}
		var took []time.Duration
		n := 0.0
		for _, a := range l.answers {
			if a.class != c.Name {
				continue
			}
			n++
			switch {
			case a.status == history.Served:
				took = append(took, a.took)
				if a.within {
					f.within++
				}
			case a.status == history.Refused:
				f.refused++
			}
		}
		if n > 0 {
			f.within, f.refused = f.within/n, f.refused/n
		}
		f.rate = n / min(recent, max(now, time.Second)).Seconds()
		f.p50, f.p99 = judge.Quantile(took, 0.5), judge.Quantile(took, 0.99)
		out = append(out, f)
	}
	return out
}

// Screen words the whole screen, in so many lines at most.
func (l *LiveView) Screen(title string, now, length time.Duration, rows []real.ServerStatus, lines int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%s   %5.1f s of %.0f s   worth served %5.1f%%   refused %d\n", title, now.Seconds(), length.Seconds(), 100*l.share(), l.refused)
	b.WriteString("now: " + l.now() + "\n")
	fmt.Fprintf(&b, "%-16s %9s %11s %9s %9s %9s\n", "last 5 s", "answers/s", "within aim", "refused", "p50", "p99")
	for _, f := range l.figures(now) {
		fmt.Fprintf(&b, "%-16s %9.0f %10.1f%% %8.1f%% %6d ms %6d ms\n", f.name, f.rate, 100*f.within, 100*f.refused, f.p50.Milliseconds(), f.p99.Milliseconds())
	}
	fmt.Fprintf(&b, "%-14s %-8s %-9s %-11s %9s %7s\n", "server", "kind", "state", "warm", "in flight", "queue")
	for _, r := range rows {
		state := r.State
		if state == "" {
			state = "up"
		}
		fmt.Fprintf(&b, "%-14s %-8s %-9s %-11s %9d %7d  %s\n", r.Name, r.Kind, state, warmth(r.WarmRatio), r.Active+r.Waiting, r.Waiting, strings.Repeat("#", min(r.Active+r.Waiting, 30)))
	}
	for _, n := range l.notes {
		b.WriteString(n + "\n")
	}
	all := strings.SplitAfter(b.String(), "\n")
	return strings.Join(all[:min(len(all), max(1, lines))], "")
}

// Line words the state on one line.
func (l *LiveView) Line(now time.Duration, rows []real.ServerStatus) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("%5.1fs worth served %5.1f%%, refused %d;", now.Seconds(), 100*l.share(), l.refused)
	for _, f := range l.figures(now) {
		text += fmt.Sprintf(" %s %.0f/s p99 %d ms,", f.name, f.rate, f.p99.Milliseconds())
	}
	held := 0
	for _, r := range rows {
		held += r.Active + r.Waiting
	}
	return text + fmt.Sprintf(" in flight %d; now: %s", held, l.now())
}

func (l *LiveView) share() float64 {
	if l.worth[1] == 0 {
		return 1
	}
	return l.worth[0] / l.worth[1]
}

func (l *LiveView) now() string {
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

func warmth(part float64) string {
	if part >= 1 {
		return "warm"
	}
	return fmt.Sprintf("cold %.0f%%", 100*part)
}
