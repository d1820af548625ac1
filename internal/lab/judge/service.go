package judge

import (
	"cmp"
	"math"
	"slices"
	"time"

	"barrowscale/internal/lab/history"
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

// Service is the service measure with all it is made of.
type Service struct {
	Score      float64      `json:"score"`       // in 100: the measure less the penalties
	Measure    float64      `json:"measure"`     // 0 to 1
	Whole      float64      `json:"whole"`       // worth within aim over worth asked for
	WorstTen   float64      `json:"worst_10s"`   // the same in the worst 10 s
	WorstClass float64      `json:"worst_class"` // the same of the worst class
	Penalties  Penalties    `json:"penalties"`
	Classes    []ClassCount `json:"classes"`
	Orders     int          `json:"orders"`   // first tries
	Tries      int          `json:"tries"`    // with the clients' own
	Attempts   int          `json:"attempts"` // that reached a server
	Refused    int          `json:"refused"`  // tries
	Failed     int          `json:"failed"`   // tries
	Runs       int          `json:"runs"`     // of effects
}

// Penalties are points in 100.
type Penalties struct {
	LateFail, Waste, NewConnections, OpenConnections, CrossHall, Probes, Messages float64
}

// Sum gives all points together.
func (p Penalties) Sum() float64 {
	return p.LateFail + p.Waste + p.NewConnections + p.OpenConnections + p.CrossHall + p.Probes + p.Messages
}

// ClassCount is one class's part.
type ClassCount struct {
	Class    string        `json:"class"`
	Orders   int           `json:"orders"`
	Served   int           `json:"served"` // orders, at any time
	Within   int           `json:"within"` // orders, within the aim
	Refused  int           `json:"refused_tries"`
	Failed   int           `json:"failed_tries"` // and lost ones
	P50, P99 time.Duration // of served orders, from the first try on
}

// order is a client's request over all its tries.
type order struct {
	class  *history.Class
	at     time.Duration
	served time.Duration // when; 0: not yet
	ended  time.Duration // of its last try
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

func service(c *hearing) Service {
	orders := map[string]*order{}
	var list []*order
	s := Service{Tries: len(c.order)}
	byClass := map[string]*ClassCount{}
	for _, cl := range c.Setup.Classes {
		s.Classes = append(s.Classes, ClassCount{Class: cl.Name})
	}
	for i := range s.Classes {
		byClass[s.Classes[i].Class] = &s.Classes[i]
	}
	servedBy := map[string]string{} // try: the server whose answer counted
	orderOf := func(e history.Event) *order {
		o := orders[e.Order]
		if o == nil {
			o = &order{class: c.classes[e.Class], at: e.At}
			orders[e.Order] = o
			list = append(list, o)
			byClass[e.Class].Orders++
		}
		return o
	}
	for _, e := range c.asks { // also those that no node took
		if c.classes[e.Class] != nil {
			orderOf(e)
		}
	}
	for _, t := range c.order {
		if t.class == nil {
			continue
		}
		o, count := orderOf(t.sent), byClass[t.class.Name]
		o.ended = max(o.ended, t.sent.Deadline)
		s.Attempts, s.Runs = s.Attempts+len(t.attempts), s.Runs+len(t.runs)
		if len(t.answers) == 0 {
			count.Failed++
			continue
		}
		a := t.answers[0]
		o.ended = a.At
		switch a.Status {
		case history.Served:
			servedBy[t.sent.Try] = a.Server
			if o.served == 0 {
				o.served = a.At
			}
		case history.Refused:
			s.Refused++
			count.Refused++
		default:
			s.Failed++
			count.Failed++
		}
	}
	s.Orders = len(list)
	s.Whole, s.WorstTen, s.WorstClass = shares(c, list, byClass)
	s.Measure = weightWhole*s.Whole + weightWorst*s.WorstTen + weightClass*s.WorstClass
	s.Penalties = penalties(c, list, servedBy)
	s.Score = 100*s.Measure - s.Penalties.Sum()
	return s
}

func (o *order) within() bool { return o.served > 0 && o.served-o.at <= o.class.Aim }

// shares gives the three parts of the measure and fills in the classes.
func shares(c *hearing, list []*order, byClass map[string]*ClassCount) (whole, worst, worstClass float64) {
	asked, got := 0.0, 0.0
	steps := int(c.Setup.Length/windowStep) + 1
	askedAt, gotAt := make([]float64, steps), make([]float64, steps)
	took := map[string][]time.Duration{}
	for _, o := range list {
		k, i := byClass[o.class.Name], min(max(int(o.at/windowStep), 0), steps-1)
		asked, askedAt[i] = asked+o.class.Worth, askedAt[i]+o.class.Worth
		if o.served > 0 {
			k.Served++
			took[k.Class] = append(took[k.Class], o.served-o.at)
		}
		if o.within() {
			k.Within++
			got, gotAt[i] = got+o.class.Worth, gotAt[i]+o.class.Worth
		}
	}
	worst, worstClass = share(got, asked), 1
	n := int(window / windowStep)
	for i := 0; i+n <= int(c.Setup.Length/windowStep); i++ {
		a, g := 0.0, 0.0
		for j := i; j < i+n; j++ {
			a, g = a+askedAt[j], g+gotAt[j]
		}
		worst = math.Min(worst, share(g, a))
	}
	for name, k := range byClass {
		worstClass = math.Min(worstClass, share(float64(k.Within), float64(k.Orders)))
		k.P50, k.P99 = Quantile(took[name], 0.5), Quantile(took[name], 0.99)
	}
	return share(got, asked), worst, worstClass
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

func penalties(c *hearing, list []*order, servedBy map[string]string) Penalties {
	worth, late := 0.0, 0.0
	for _, o := range list {
		worth += o.class.Worth
		if o.served == 0 && o.ended-o.at > o.class.Aim {
			late += o.class.Worth
		}
	}
	hall := map[string]string{}
	for _, n := range c.Setup.Nodes {
		hall[n.Name] = n.Hall
	}
	var asked, wasted, fresh, crossed, probes, bytes, open, area float64
	last, at := time.Duration(0), map[string]float64{} // open connections by server
	for _, e := range c.Events {
		area += open * (e.At - last).Seconds()
		last = e.At
		switch e.Kind {
		case history.Run:
			asked += e.Work.Seconds()
			if servedBy[e.Try] != e.Server {
				wasted += e.Work.Seconds()
			}
		case history.Probe:
			probes++
			asked, wasted = asked+e.Work.Seconds(), wasted+e.Work.Seconds()
		case history.Connect:
			open++
			fresh++
			at[e.Server]++
		case history.Disconnect:
			open--
			at[e.Server]--
		case history.Start: // those of an older process are gone
			open -= at[e.Server]
			at[e.Server] = 0
		case history.Attempt:
			if hall[e.Node] != c.servers[e.Server].Hall {
				crossed++
			}
		case history.Message:
			bytes += float64(e.Bytes)
		}
	}
	n := math.Max(1, float64(len(list)))
	per := func(price, part, whole float64) float64 {
		if whole <= 0 {
			return 0
		}
		return price * part / whole
	}
	return Penalties{LateFail: per(priceLate, late, worth), Waste: per(priceWaste, wasted, asked),
		NewConnections:  per(priceNew, fresh, n),
		OpenConnections: per(priceOpen, area/math.Max(1e-9, last.Seconds()), openUnit*float64(len(c.servers))),
		CrossHall:       per(priceCross, crossed, n), Probes: per(priceProbe, probes, n),
		Messages: per(priceMessage, bytes, messageUnit*n)}
}
