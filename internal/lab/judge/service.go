package judge

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ivylock/internal/lab/history"
)

// Weights of the service measure, and penalties in points of 100.
const (
	weightOverall          = 0.6
	weightWorstWindow      = 0.2
	weightWorstClass       = 0.2
	windowLength           = 10 * time.Second
	windowStep             = time.Second
	penaltyLateFailure     = 8.0
	penaltyWastedWork      = 5.0
	penaltyNewConnection   = 3.0
	penaltyOpenConnections = 3.0
	penaltyCrossZone       = 2.0
	penaltyProbe           = 1.0
	penaltyMessage         = 1.0
	connectionsPerServer   = 100
	bytesPerMessage        = 256
)

// ServiceMetrics are the service measure and the values it is computed from.
type ServiceMetrics struct {
	Score       float64      `json:"score"`       // in points of 100: the measure minus the penalties
	Measure     float64      `json:"measure"`     // 0 to 1
	OnTimeRatio float64      `json:"whole"`       // fraction of the requested value served within the target latency
	WorstWindow float64      `json:"worst_10s"`   // the same ratio in the worst 10 s
	WorstClass  float64      `json:"worst_class"` // the same ratio of the worst class
	Penalties   Penalties    `json:"penalties"`
	Classes     []ClassStats `json:"classes"`
	Orders      int          `json:"orders"`
	Tries       int          `json:"tries"`    // including retries of clients
	Attempts    int          `json:"attempts"` // those that reached a server
	Refused     int          `json:"refused"`  // tries
	Failed      int          `json:"failed"`   // tries
	Runs        int          `json:"runs"`     // of effects
}

// Penalties are in points of 100.
type Penalties struct {
	LateFailure     float64 `json:"LateFail"`
	WastedWork      float64 `json:"Waste"`
	NewConnections  float64
	OpenConnections float64
	CrossZone       float64 `json:"CrossHall"`
	Probes          float64
	Messages        float64
}

// Sum returns the total of the penalties.
func (p Penalties) Sum() float64 {
	return p.LateFailure + p.WastedWork + p.NewConnections + p.OpenConnections + p.CrossZone + p.Probes + p.Messages
}

// ClassStats are the results of one class.
type ClassStats struct {
	Class    string        `json:"class"`
	Orders   int           `json:"orders"`
	Served   int           `json:"served"` // orders, at any time
	OnTime   int           `json:"within"` // orders, within the target latency
	Refused  int           `json:"refused_tries"`
	Failed   int           `json:"failed_tries"` // including unanswered tries
	P50, P99 time.Duration // latency of served orders, from the first try
}

// order is a client's request over all its tries.
type order struct {
	id          string
	class       *history.Class
	requestedAt time.Duration
	servedAt    time.Duration // 0: not served
	endedAt     time.Duration // end of its last try
}

// tally accumulates the service measure and the penalties.
type tally struct {
	ServiceMetrics
	byClass                          map[string]*ClassStats
	latencies                        map[string][]time.Duration // by class, of served orders
	requestedValue, deliveredValue   float64
	requestedByStep, deliveredByStep []float64 // by windowStep
	lateValue                        float64   // of orders that failed after their target latency

	totalWork, wastedWork, newConnections, crossZoneAttempts, probes, messageBytes, openConnections, connectionSeconds float64
	lastEventAt                                                                                                        time.Duration

	connectionsByServer map[string]float64
}

func (y *tally) prepare(setup *history.Setup) {
	y.byClass, y.latencies, y.connectionsByServer = map[string]*ClassStats{}, map[string][]time.Duration{}, map[string]float64{}
	for _, class := range setup.Classes {
		y.Classes = append(y.Classes, ClassStats{Class: class.Name})
	}
	for i := range y.Classes {
		y.byClass[y.Classes[i].Class] = &y.Classes[i]
	}
	steps := int(setup.Length/windowStep) + 1
	y.requestedByStep, y.deliveredByStep = make([]float64, steps), make([]float64, steps)
}

// addEvent counts events that do not depend on the result of their try.
func (y *tally) addEvent(checker *Checker, e *history.Event) {
	y.connectionSeconds += y.openConnections * (e.At - y.lastEventAt).Seconds()
	y.lastEventAt = e.At
	switch e.Kind {
	case history.Probe:
		y.probes++
		y.totalWork, y.wastedWork = y.totalWork+e.Work.Seconds(), y.wastedWork+e.Work.Seconds()
	case history.Connect:
		y.openConnections++
		y.newConnections++
		y.connectionsByServer[e.Server]++
	case history.Disconnect:
		y.openConnections--
		y.connectionsByServer[e.Server]--
	case history.ServerStarted: // the connections of the previous process are closed
		y.openConnections -= y.connectionsByServer[e.Server]
		y.connectionsByServer[e.Server] = 0
	case history.Attempt:
		if checker.zoneOf[e.Node] != checker.server(e.Server).Zone {
			y.crossZoneAttempts++
		}
	case history.PeerMessage:
		y.messageBytes += float64(e.Bytes)
	}
}

// addLateRun counts a run whose try is closed as wasted work.
func (y *tally) addLateRun(work time.Duration) {
	y.Runs++
	y.totalWork, y.wastedWork = y.totalWork+work.Seconds(), y.wastedWork+work.Seconds()
}

// orderOf returns the order of an event and creates it if necessary. It returns
// nil for an unknown class.
func (c *Checker) orderOf(e *history.Event) *order {
	class := c.classes[e.Class]
	if class == nil {
		return nil
	}
	o := c.orders[e.Order]
	if o == nil {
		o = &order{id: e.Order, class: class, requestedAt: e.At}
		c.orders[e.Order] = o
		c.orderQueue = append(c.orderQueue, o)
		c.tally.byClass[e.Class].Orders++
	}
	return o
}

// addTry adds a try.
func (y *tally) addTry(checker *Checker, t *try) {
	if t.class == nil {
		return
	}
	o, count := checker.orders[t.order], y.byClass[t.class.Name]
	if o == nil {
		return
	}
	o.endedAt = max(o.endedAt, t.deadline)
	y.Attempts, y.Runs = y.Attempts+len(t.attempts), y.Runs+len(t.runs)
	servedBy := ""
	if t.answerCount == 0 {
		count.Failed++
	} else {
		a := t.firstAnswer
		o.endedAt = a.at
		switch a.status {
		case history.Served:
			servedBy = a.server
			if o.servedAt == 0 {
				o.servedAt = a.at
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
		y.totalWork += r.work.Seconds()
		if servedBy != r.server {
			y.wastedWork += r.work.Seconds()
		}
	}
}

// closeOrder adds an order.
func (y *tally) closeOrder(o *order) {
	y.Orders++
	stats, step := y.byClass[o.class.Name], min(max(int(o.requestedAt/windowStep), 0), len(y.requestedByStep)-1)
	value := o.class.Value
	y.requestedValue, y.requestedByStep[step] = y.requestedValue+value, y.requestedByStep[step]+value
	switch {
	case o.servedAt > 0:
		stats.Served++
		y.latencies[stats.Class] = append(y.latencies[stats.Class], o.servedAt-o.requestedAt)
	case o.endedAt-o.requestedAt > o.class.TargetLatency:
		y.lateValue += value
	}
	if o.onTime() {
		stats.OnTime++
		y.deliveredValue, y.deliveredByStep[step] = y.deliveredValue+value, y.deliveredByStep[step]+value
	}
}

// metrics returns the final metrics.
func (y *tally) metrics(checker *Checker) ServiceMetrics {
	result := &y.ServiceMetrics
	result.OnTimeRatio, result.WorstWindow, result.WorstClass = y.ratios(checker.setup.Length)
	result.Measure = weightOverall*result.OnTimeRatio + weightWorstWindow*result.WorstWindow + weightWorstClass*result.WorstClass
	result.Penalties = y.penalties(len(checker.setup.Servers))
	result.Score = 100*result.Measure - result.Penalties.Sum()
	return *result
}

// ratio returns amount / total, or 1 if total is 0.
func ratio(amount, total float64) float64 {
	if total == 0 {
		return 1
	}
	return amount / total
}

func (o *order) onTime() bool {
	return o.servedAt > 0 && o.servedAt-o.requestedAt <= o.class.TargetLatency
}

// ratios returns the three components of the measure and completes the classes.
func (y *tally) ratios(length time.Duration) (overall, worstWindow, worstClass float64) {
	worstWindow, worstClass = ratio(y.deliveredValue, y.requestedValue), 1
	steps := int(windowLength / windowStep)
	for i := 0; i+steps <= int(length/windowStep); i++ {
		requested, delivered := 0.0, 0.0
		for j := i; j < i+steps; j++ {
			requested, delivered = requested+y.requestedByStep[j], delivered+y.deliveredByStep[j]
		}
		worstWindow = math.Min(worstWindow, ratio(delivered, requested))
	}
	for name, stats := range y.byClass {
		worstClass = math.Min(worstClass, ratio(float64(stats.OnTime), float64(stats.Orders)))
		stats.P50, stats.P99 = Quantile(y.latencies[name], 0.5), Quantile(y.latencies[name], 0.99)
	}
	return ratio(y.deliveredValue, y.requestedValue), worstWindow, worstClass
}

// Quantile returns the q-quantile of d, or 0 if d is empty. It sorts d.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.SortFunc(d, cmp.Compare)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

func (y *tally) penalties(servers int) Penalties {
	orders := math.Max(1, float64(y.Orders))
	charge := func(penalty, amount, total float64) float64 {
		if total <= 0 {
			return 0
		}
		return penalty * amount / total
	}
	return Penalties{LateFailure: charge(penaltyLateFailure, y.lateValue, y.requestedValue), WastedWork: charge(penaltyWastedWork, y.wastedWork, y.totalWork),
		NewConnections:  charge(penaltyNewConnection, y.newConnections, orders),
		OpenConnections: charge(penaltyOpenConnections, y.connectionSeconds/math.Max(1e-9, y.lastEventAt.Seconds()), connectionsPerServer*float64(servers)),
		CrossZone:       charge(penaltyCrossZone, y.crossZoneAttempts, orders), Probes: charge(penaltyProbe, y.probes, orders),
		Messages: charge(penaltyMessage, y.messageBytes, bytesPerMessage*orders)}
}
