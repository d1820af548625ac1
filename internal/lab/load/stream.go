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
	Key               string        // for keyed classes
	Tenant            string        // "": nobody's
	Work              time.Duration // on a core of speed 1, at whatever server
	SlowReader        bool          // its client reads slowly
	HonoursRetryAfter bool          // its client follows Retry-After
	RetryJitter       [2]float64    // draws for the waits before its own retries
	AbandonAfter      time.Duration // its client goes away so long after each try was sent; 0: it stays
	WritePieces       int           // its tries are written in so many pieces, with a pause between them; 0: at once
}

// Stream gives the orders of a scenario one by one, the same for the same
// seed.
type Stream struct {
	s       *scenario.Scenario
	classes []history.Class
	tenants []string
	total   float64
	rng     *rand.Rand
	habits  *rand.Rand // for what only some scenarios ask: the orders do not shift by it
	at      time.Duration
	n       int
	halls   []string
}

// NewStream begins a stream.
func NewStream(s *scenario.Scenario, seed int64) *Stream {
	return NewDeploymentStream(s, DefaultDeployment(s), seed)
}

// NewDeploymentStream begins a stream in another deployment than the brief's.
func NewDeploymentStream(s *scenario.Scenario, d *Deployment, seed int64) *Stream {
	st := &Stream{s: s, classes: d.Classes, tenants: d.Tenants, rng: rand.New(rand.NewPCG(uint64(seed), 0x6c6f6164)),
		habits: rand.New(rand.NewPCG(uint64(seed), 0x686162697473))}
	for _, c := range st.classes {
		st.total += c.Share
	}
	for _, h := range s.Zones {
		if h.Nodes > 0 {
			st.halls = append(st.halls, h.Name)
		}
	}
	return st
}

// ScenarioClasses gives the class table with a scenario's own shares and work.
func ScenarioClasses(s *scenario.Scenario) []history.Class {
	out := append([]history.Class(nil), Classes...)
	for i := range out {
		if part, set := s.Load.Shares[out[i].Name]; set {
			out[i].Share = part
		}
		out[i].WorkLow = time.Duration(float64(out[i].WorkLow) * s.Load.WorkFactor)
		out[i].WorkHigh = time.Duration(float64(out[i].WorkHigh) * s.Load.WorkFactor)
	}
	return out
}

// rate is the rate of first tries at a time.
func (st *Stream) rate(at time.Duration) float64 {
	l := st.s.Load
	if l.RampTo == 0 {
		return l.Rate
	}
	return l.Rate + (l.RampTo-l.Rate)*at.Seconds()/st.s.Length.Seconds()
}

// Next gives the next order; ok is false at the end of the load.
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
	pick := st.rng.Float64() * st.total
	for i := range st.classes {
		if o.Class = &st.classes[i]; pick < o.Class.Share {
			break
		}
		pick -= o.Class.Share
	}
	o.Zone = st.halls[st.rng.IntN(len(st.halls))]
	// Work is lognormal with a coefficient of variation of 1, as the brief gives
	// a range of means only.
	const sigma = 0.8326 // sqrt(ln(1 + cv*cv))
	mean := (o.Class.WorkLow + o.Class.WorkHigh) / 2
	o.Work = time.Duration(float64(mean) * math.Exp(sigma*st.rng.NormFloat64()-sigma*sigma/2))
	if o.Class.Effect == history.Keyed {
		o.Key = fmt.Sprintf("k%016x", st.rng.Uint64())
	}
	o.HonoursRetryAfter = st.rng.Float64() < st.s.Client.RetryAfterFraction
	o.RetryJitter = [2]float64{st.rng.Float64(), st.rng.Float64()}
	if st.habits.Float64() < st.s.Client.AbandonFraction {
		o.AbandonAfter = time.Duration((0.01 + 0.9*st.habits.Float64()) * st.s.Client.TryTimeoutFraction * float64(o.Class.Deadline))
	}
	if st.habits.Float64() < st.s.Client.SlowWriteFraction {
		o.WritePieces = 2 + st.habits.IntN(5)
	}
	hit := st.rng.Float64() // one draw whatever the faults, so that orders do not shift
	for _, f := range st.s.Faults {
		if st.at < f.At.Duration || st.at >= f.At.Duration+f.For.Duration || hit >= f.Fraction {
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

// orderID words the number of an order in seven digits or more.
func orderID(n int) string {
	b := make([]byte, 0, 12)
	b = append(b, 'o')
	for least := 1_000_000; n < least && least > 1; least /= 10 {
		b = append(b, '0')
	}
	return string(strconv.AppendInt(b, int64(n), 10))
}

// MaxRetryAfter is the longest wait that clients follow.
const MaxRetryAfter = 2 * time.Second

// TryTimeout is how long a client waits for a try that it sends now: a share of
// the deadline, and no longer than what is left of that.
func TryTimeout(s *scenario.Scenario, o *Order, now time.Duration) time.Duration {
	try := time.Duration(s.Client.TryTimeoutFraction * float64(o.Class.Deadline))
	return min(try, o.At+o.Class.Deadline-now)
}

// NextRetry tells whether a client tries again after try number n (0 first) and
// after what wait. Safe requests are retried after anything that is no answer
// of worth; others only if the last try cannot have run.
func NextRetry(s *scenario.Scenario, o *Order, n int, st history.Status, retryAfter, now time.Duration) (wait time.Duration, ok bool) {
	harmless := st == history.Refused || st == history.Unreachable
	if n >= s.Client.Retries || st == history.Served || st == history.Abandoned || !harmless && o.Class.Effect != history.Safe {
		return 0, false
	}
	wait = time.Duration((0.5 + o.RetryJitter[n%len(o.RetryJitter)]) * float64(s.Client.Backoff.Duration) * math.Pow(2, float64(n)))
	if o.HonoursRetryAfter && retryAfter > 0 {
		wait = max(wait, min(retryAfter, MaxRetryAfter))
	}
	return wait, now+wait < o.At+o.Class.Deadline
}
