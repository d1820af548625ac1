package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
)

// Order is a client's request over all its tries.
type Order struct {
	ID                string
	At                time.Duration // of the first try
	Class             *history.Class
	Zone              string
	Key               string        // of keyed classes
	Tenant            string        // "": none
	Work              time.Duration // on a core of speed 1, the same at every server
	SlowReader        bool          // the client reads slowly
	HonoursRetryAfter bool
	RetryJitter       [2]float64    // random draws for the client's backoff
	AbandonAfter      time.Duration // when the client disconnects after sending a try; 0: never
	WritePieces       int           // a try is written in this many pieces, with a pause between them; 0: at once
}

// Stream generates the orders of a scenario. The same seed gives the same orders.
type Stream struct {
	s       *scenario.Scenario
	classes []history.Class
	tenants []string
	total   float64
	rng     *rand.Rand
	// clientRNG draws behaviour that only some scenarios enable, so that it does not shift the
	// orders.
	clientRNG *rand.Rand
	at        time.Duration
	n         int
	zones     []string
}

// NewStream begins a stream of the default deployment.
func NewStream(s *scenario.Scenario, seed int64) *Stream {
	return NewDeploymentStream(s, DefaultDeployment(s), seed)
}

// NewDeploymentStream begins a stream of a deployment.
func NewDeploymentStream(s *scenario.Scenario, d *Deployment, seed int64) *Stream {
	st := &Stream{s: s, classes: d.Classes, tenants: d.Tenants, rng: rand.New(rand.NewPCG(uint64(seed), 0x6c6f6164)),
		clientRNG: rand.New(rand.NewPCG(uint64(seed), 0x686162697473))}
	for _, c := range st.classes {
		st.total += c.Share
	}
	for _, h := range s.Zones {
		if h.Nodes > 0 {
			st.zones = append(st.zones, h.Name)
		}
	}
	return st
}

// ScenarioClasses returns the default classes with a scenario's shares and work.
func ScenarioClasses(s *scenario.Scenario) []history.Class {
	classes := append([]history.Class(nil), Classes...)
	for i := range classes {
		if share, set := s.Load.Shares[classes[i].Name]; set {
			classes[i].Share = share
		}
		classes[i].WorkLow = time.Duration(float64(classes[i].WorkLow) * s.Load.WorkFactor)
		classes[i].WorkHigh = time.Duration(float64(classes[i].WorkHigh) * s.Load.WorkFactor)
	}
	return classes
}

// rate is the rate of first tries at a time.
func (st *Stream) rate(at time.Duration) float64 {
	l := st.s.Load
	if l.RampTo == 0 {
		return l.Rate
	}
	return l.Rate + (l.RampTo-l.Rate)*at.Seconds()/st.s.Length.Seconds()
}

// Next returns the next order; ok is false at the end of the load.
func (st *Stream) Next() (o Order, ok bool) {
	st.at += time.Duration(st.rng.ExpFloat64() / st.rate(st.at) * 1e9)
	if st.at >= st.s.Length.Duration {
		return Order{}, false
	}
	st.n++
	o = Order{ID: orderID(st.n), At: st.at}
	if len(st.tenants) > 0 {
		o.Tenant = st.tenants[st.n%len(st.tenants)]
	}
	draw := st.rng.Float64() * st.total
	for i := range st.classes {
		if o.Class = &st.classes[i]; draw < o.Class.Share {
			break
		}
		draw -= o.Class.Share
	}
	o.Zone = st.zones[st.rng.IntN(len(st.zones))]
	// Work is lognormal with a coefficient of variation of 1.
	const sigma = 0.8326 // sqrt(ln(1 + cv*cv))
	mean := (o.Class.WorkLow + o.Class.WorkHigh) / 2
	o.Work = time.Duration(float64(mean) * math.Exp(sigma*st.rng.NormFloat64()-sigma*sigma/2))
	if o.Class.Effect == history.Keyed {
		o.Key = fmt.Sprintf("k%016x", st.rng.Uint64())
	}
	o.HonoursRetryAfter = st.rng.Float64() < st.s.Client.RetryAfterFraction
	o.RetryJitter = [2]float64{st.rng.Float64(), st.rng.Float64()}
	if st.clientRNG.Float64() < st.s.Client.AbandonFraction {
		o.AbandonAfter = time.Duration((0.01 + 0.9*st.clientRNG.Float64()) * st.s.Client.TryTimeoutFraction * float64(o.Class.Deadline))
	}
	if st.clientRNG.Float64() < st.s.Client.SlowWriteFraction {
		o.WritePieces = 2 + st.clientRNG.IntN(5)
	}
	faultDraw := st.rng.Float64() // drawn whatever the faults, so that orders do not shift
	for _, f := range st.s.Faults {
		if st.at < f.At.Duration || st.at >= f.At.Duration+f.For.Duration || faultDraw >= f.Fraction {
			continue
		}
		switch {
		case f.Kind == scenario.FaultHeavy && f.Class == o.Class.Name:
			o.Work = time.Duration(f.Factor * float64(mean))
		case f.Kind == scenario.FaultSlowReader:
			o.SlowReader = true
		}
	}
	return o, true
}

// orderID formats the number of an order with at least seven digits.
func orderID(n int) string {
	b := make([]byte, 0, 12)
	b = append(b, 'o')
	for threshold := 1_000_000; n < threshold && threshold > 1; threshold /= 10 {
		b = append(b, '0')
	}
	return string(strconv.AppendInt(b, int64(n), 10))
}

// MaxRetryAfter is the longest Retry-After that clients follow.
const MaxRetryAfter = 2 * time.Second

// TryTimeout is how long a client waits for a try sent now: a fraction of the deadline, but no
// longer than what is left of it.
func TryTimeout(s *scenario.Scenario, o *Order, now time.Duration) time.Duration {
	timeout := time.Duration(s.Client.TryTimeoutFraction * float64(o.Class.Deadline))
	return min(timeout, o.At+o.Class.Deadline-now)
}

// NextRetry reports whether a client retries after try number n, counted from 0, and how long it
// waits first. Safe requests are retried unless they were served or the client disconnected; others only if the
// last try cannot have run.
func NextRetry(s *scenario.Scenario, o *Order, n int, status history.Status, retryAfter, now time.Duration) (wait time.Duration, ok bool) {
	notRun := status == history.Refused || status == history.Unreachable
	if n >= s.Client.Retries || status == history.Served || status == history.Abandoned || !notRun && o.Class.Effect != history.Safe {
		return 0, false
	}
	wait = time.Duration((0.5 + o.RetryJitter[n%len(o.RetryJitter)]) * float64(s.Client.Backoff.Duration) * math.Pow(2, float64(n)))
	if o.HonoursRetryAfter && retryAfter > 0 {
		wait = max(wait, min(retryAfter, MaxRetryAfter))
	}
	return wait, now+wait < o.At+o.Class.Deadline
}
