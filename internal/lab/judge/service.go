package judge

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ivylock/internal/lab/history"
)

// The weights of the service measure and the points in 100 of the penalties,
// from the brief.
const (
	weightWhole  = 0.6
	weightWorst  = 0.2
	weightClass  = 0.2
	window       = 10 * time.Second
	windowStep   = time.Second
	priceLate    = 8.0
	priceWaste   = 5.0
	priceNew     = 3.0
	priceOpen    = 3.0
	priceCross   = 2.0
	priceProbe   = 1.0
	priceMessage = 1.0
	openUnit     = 100 // connections a clip server
	messageUnit  = 256 // bytes
)

// ServiceMetrics is the service measure with all it is made of.
type ServiceMetrics struct {
	Score       float64      `json:"score"`       // in 100: the measure less the penalties
	Measure     float64      `json:"measure"`     // 0 to 1
	OnTimeRatio float64      `json:"whole"`       // worth within aim over worth asked for
	WorstWindow float64      `json:"worst_10s"`   // the same in the worst 10 s
	WorstClass  float64      `json:"worst_class"` // the same of the worst class
	Penalties   Penalties    `json:"penalties"`
	Classes     []ClassStats `json:"classes"`
	Orders      int          `json:"orders"`   // first tries
	Tries       int          `json:"tries"`    // with the clients' own
	Attempts    int          `json:"attempts"` // that reached a server
	Refused     int          `json:"refused"`  // tries
	Failed      int          `json:"failed"`   // tries
	Runs        int          `json:"runs"`     // of effects
}

// Penalties are points in 100.
type Penalties struct {
	LateFailure, WastedWork, NewConnections, OpenConnections, CrossZone, Probes, Messages float64
}

// Sum gives all points together.
func (p Penalties) Sum() float64 {
	return p.LateFailure + p.WastedWork + p.NewConnections + p.OpenConnections + p.CrossZone + p.Probes + p.Messages
}

// ClassStats is one class's part.
type ClassStats struct {
	Class    string        `json:"class"`
	Orders   int           `json:"orders"`
	Served   int           `json:"served"` // orders, at any time
	OnTime   int           `json:"within"` // orders, within the aim
	Refused  int           `json:"refused_tries"`
	Failed   int           `json:"failed_tries"` // and lost ones
	P50, P99 time.Duration // of served orders, from the first try on
}

// order is a client's request over all its tries.
type order struct {
	id     string
	class  *history.Class
	at     time.Duration
	served time.Duration // when; 0: not yet
	ended  time.Duration // of its last try
}

// tally adds up the service measure and the penalties.
type tally struct {
	ServiceMetrics
	byClass        map[string]*ClassStats
	took           map[string][]time.Duration // by class, of served orders
	asked, got     float64                    // worth
	askedAt, gotAt []float64                  // the same by steps of a window
	late           float64                    // worth of orders that failed after their aim

	work, wasted, fresh, crossed, probes, bytes, open, area float64
	last                                                    time.Duration
	at                                                      map[string]float64 // open connections by server
}

func (y *tally) begin(setup *history.Setup) {
	y.byClass, y.took, y.at = map[string]*ClassStats{}, map[string][]time.Duration{}, map[string]float64{}
	for _, cl := range setup.Classes {
		y.Classes = append(y.Classes, ClassStats{Class: cl.Name})
	}
	for i := range y.Classes {
		y.byClass[y.Classes[i].Class] = &y.Classes[i]
	}
	steps := int(setup.Length/windowStep) + 1
	y.askedAt, y.gotAt = make([]float64, steps), make([]float64, steps)
}

// event takes what counts whatever becomes of the try.
func (y *tally) event(l *Checker, e *history.Event) {
	y.area += y.open * (e.At - y.last).Seconds()
	y.last = e.At
	switch e.Kind {
	case history.Probe:
		y.probes++
		y.work, y.wasted = y.work+e.Work.Seconds(), y.wasted+e.Work.Seconds()
	case history.Connect:
		y.open++
		y.fresh++
		y.at[e.Server]++
	case history.Disconnect:
		y.open--
		y.at[e.Server]--
	case history.Start: // those of an older process are gone
		y.open -= y.at[e.Server]
		y.at[e.Server] = 0
	case history.Attempt:
		if l.halls[e.Node] != l.server(e.Server).Hall {
			y.crossed++
		}
	case history.Message:
		y.bytes += float64(e.Bytes)
	}
}

// lateRun takes a run whose try has been heard already: nobody waits for it.
func (y *tally) lateRun(work time.Duration) {
	y.Runs++
	y.work, y.wasted = y.work+work.Seconds(), y.wasted+work.Seconds()
}

// orderOf gives the order that an event belongs to, a new one if it is the
// first of it; nil if its class is not known.
func (l *Checker) orderOf(e *history.Event) *order {
	cl := l.classes[e.Class]
	if cl == nil {
		return nil
	}
	o := l.orders[e.Order]
	if o == nil {
		o = &order{id: e.Order, class: cl, at: e.At}
		l.orders[e.Order] = o
		l.waiting = append(l.waiting, o)
		l.tally.byClass[e.Class].Orders++
	}
	return o
}

// try adds up one try.
func (y *tally) try(l *Checker, t *try) {
	if t.class == nil {
		return
	}
	o, count := l.orders[t.order], y.byClass[t.class.Name]
	if o == nil {
		return
	}
	o.ended = max(o.ended, t.deadline)
	y.Attempts, y.Runs = y.Attempts+len(t.attempts), y.Runs+len(t.runs)
	servedBy := ""
	if t.answers == 0 {
		count.Failed++
	} else {
		a := t.answer
		o.ended = a.at
		switch a.status {
		case history.Served:
			servedBy = a.server
			if o.served == 0 {
				o.served = a.at
			}
		case history.Refused:
			y.Refused++
			count.Refused++
		default:
			y.Failed++
			count.Failed++
		}
	}
	for _, r := range t.runs {
		y.work += r.work.Seconds()
		if servedBy != r.server {
			y.wasted += r.work.Seconds()
		}
	}
}

// close adds up an order.
func (y *tally) close(o *order) {
	y.Orders++
	k, i := y.byClass[o.class.Name], min(max(int(o.at/windowStep), 0), len(y.askedAt)-1)
	worth := o.class.Worth
	y.asked, y.askedAt[i] = y.asked+worth, y.askedAt[i]+worth
	switch {
	case o.served > 0:
		k.Served++
		y.took[k.Class] = append(y.took[k.Class], o.served-o.at)
	case o.ended-o.at > o.class.Aim:
		y.late += worth
	}
	if o.within() {
		k.OnTime++
		y.got, y.gotAt[i] = y.got+worth, y.gotAt[i]+worth
	}
}

// service gives the measure, at the end.
func (y *tally) service(l *Checker) ServiceMetrics {
	s := &y.ServiceMetrics
	s.OnTimeRatio, s.WorstWindow, s.WorstClass = y.shares(l.setup.Length)
	s.Measure = weightWhole*s.OnTimeRatio + weightWorst*s.WorstWindow + weightClass*s.WorstClass
	s.Penalties = y.penalties(len(l.setup.Servers))
	s.Score = 100*s.Measure - s.Penalties.Sum()
	return *s
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

func (o *order) within() bool { return o.served > 0 && o.served-o.at <= o.class.Aim }

// shares gives the three parts of the measure and fills in the classes.
func (y *tally) shares(length time.Duration) (whole, worst, worstClass float64) {
	worst, worstClass = share(y.got, y.asked), 1
	n := int(window / windowStep)
	for i := 0; i+n <= int(length/windowStep); i++ {
		a, g := 0.0, 0.0
		for j := i; j < i+n; j++ {
			a, g = a+y.askedAt[j], g+y.gotAt[j]
		}
		worst = math.Min(worst, share(g, a))
	}
	for name, k := range y.byClass {
		worstClass = math.Min(worstClass, share(float64(k.OnTime), float64(k.Orders)))
		k.P50, k.P99 = Quantile(y.took[name], 0.5), Quantile(y.took[name], 0.99)
	}
	return share(y.got, y.asked), worst, worstClass
}

// Quantile gives the value under which a part q of all lies; 0 for none. It
// sorts its argument.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.SortFunc(d, cmp.Compare)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

func (y *tally) penalties(servers int) Penalties {
	n := math.Max(1, float64(y.Orders))
	per := func(price, part, whole float64) float64 {
		if whole <= 0 {
			return 0
		}
		return price * part / whole
	}
	return Penalties{LateFailure: per(priceLate, y.late, y.asked), WastedWork: per(priceWaste, y.wasted, y.work),
		NewConnections:  per(priceNew, y.fresh, n),
		OpenConnections: per(priceOpen, y.area/math.Max(1e-9, y.last.Seconds()), openUnit*float64(servers)),
		CrossZone:       per(priceCross, y.crossed, n), Probes: per(priceProbe, y.probes, n),
		Messages: per(priceMessage, y.bytes, messageUnit*n)}
}
