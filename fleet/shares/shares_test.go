package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// delivery is a message in flight.
type delivery struct {
	at       time.Duration
	from, to ID
	payload  any
}

// world simulates a fleet in virtual time, with drifting clocks.
type world struct {
	t           interface{ Fatalf(string, ...any) }
	rng         *rand.Rand
	settings    Settings
	now         time.Duration
	nodes       []*Share // nil: not running
	incarnation []uint32
	pausedUntil []time.Duration
	clockRate   []float64
	demands     []float64 // units
	deliveries  []delivery
	lossRate    func(from, to ID) float64
	maxDelay    time.Duration
	maxSum      int64 // highest sum of allowances seen

	quorum  *Quorum // nil: permanent bases
	holders []*Holder
	guards  []*Guard
	greedy  func(i int) bool // whether a process claims all slots
}

// newSlotWorld creates a world with a quorum, in which the first run processes are running.
func newSlotWorld(t interface{ Fatalf(string, ...any) }, n, run int, total int64, seed uint64, guards ...ID) *world {
	w := newWorld(t, n, total, seed)
	w.quorum = &Quorum{Guards: guards, Slots: 64, MaxProcesses: 64, LeaseTime: slotLeaseTime, MaxClockDrift: w.settings.MaxClockDrift}
	w.greedy = func(int) bool { return false }
	w.settings.LeaseTime, w.settings.FloorFraction = quotaLeaseTime, slotFloorFraction
	for i := range w.nodes {
		w.nodes[i], w.incarnation[i] = nil, 0
		if i < run {
			w.start(i, true)
		}
	}
	return w
}

func newWorld(t interface{ Fatalf(string, ...any) }, n int, total int64, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), settings: Defaults(), now: time.Hour, nodes: make([]*Share, n), incarnation: make([]uint32, n),
		holders: make([]*Holder, n), guards: make([]*Guard, n), pausedUntil: make([]time.Duration, n), clockRate: make([]float64, n), demands: make([]float64, n), maxDelay: 10 * time.Millisecond}
	w.settings.Total, w.settings.Nodes = total, n
	w.lossRate = func(ID, ID) float64 { return 0 }
	for i := range w.nodes {
		w.clockRate[i] = 1
		w.start(i, true)
	}
	return w
}

func (w *world) clock(i int) Time { return time.Duration(float64(w.now) * w.clockRate[i]) }

func (w *world) start(i int, noPredecessor bool) {
	w.incarnation[i]++
	seed := int64(i) + int64(w.incarnation[i])*1000
	if w.quorum == nil {
		w.nodes[i] = New(w.settings, ID(i), w.incarnation[i], w.clock(i), seed, noPredecessor)
	} else {
		w.holders[i] = NewHolder(*w.quorum, ID(i), w.incarnation[i], w.clock(i), seed)
		w.nodes[i] = NewWithSlots(w.settings, w.holders[i], w.clock(i), seed)
		w.guards[i] = nil
		if slices.Contains(w.quorum.Guards, ID(i)) {
			w.guards[i] = NewGuard(*w.quorum, w.clock(i))
		}
	}
	w.nodes[i].SetDemand(w.demands[i])
}

func (w *world) kill(i int) { w.nodes[i] = nil }

// deliver passes a message to its receiver.
func (w *world) deliver(i int, from ID, payload any) []Message {
	switch m := payload.(type) {
	case Claim:
		if a, ok := w.guards[i].HandleClaim(w.clock(i), from, m); ok {
			return []Message{{from, a}}
		}
		return nil
	case ClaimReply:
		w.holders[i].HandleReply(w.clock(i), from, m)
		return nil
	}
	return w.nodes[i].Handle(w.clock(i), from, payload)
}

func (w *world) send(i int, out []Message) {
	for _, message := range out {
		for range 1 + w.rng.IntN(5)/4 { // one in five is duplicated
			if ID(i) == message.To || w.rng.Float64() >= w.lossRate(ID(i), message.To) {
				w.deliveries = append(w.deliveries, delivery{w.now + time.Duration(w.rng.Float64()*float64(w.maxDelay)), ID(i), message.To, message.Payload})
			}
		}
	}
}

// step advances the time by 10 ms and checks the invariant.
func (w *world) step() {
	w.now += 10 * time.Millisecond
	keep := w.deliveries[:0]
	var due []delivery
	for _, m := range w.deliveries {
		if m.at <= w.now && w.now >= w.pausedUntil[m.to] {
			due = append(due, m)
		} else {
			keep = append(keep, m)
		}
	}
	w.deliveries = keep
	w.check()
	for _, m := range due {
		if w.nodes[m.to] != nil {
			w.send(int(m.to), w.deliver(int(m.to), m.from, m.payload))
			w.check()
		}
	}
	for i, n := range w.nodes {
		if n == nil || w.now < w.pausedUntil[i] {
			continue
		}
		var others []ID
		for k := range w.nodes {
			if k != i {
				others = append(others, ID(k))
			}
		}
		if w.quorum != nil {
			if w.greedy(i) { // placement assigns it all slots
				w.holders[i].viewDigest, w.holders[i].placement = 0, allSlots
			} else if w.holders[i].viewDigest == 0 {
				w.holders[i].placement = rendezvousPlacement
			}
			w.send(i, w.holders[i].Tick(w.clock(i), func(int) int { return n.SpareSlots(w.clock(i)) }))
		}
		w.send(i, n.Tick(w.clock(i), others))
	}
	w.check()
}

func allSlots(slots int, _ []ID, _ ID) (out SlotSet) {
	for i := range slots {
		out.Add(i)
	}
	return out
}

// check verifies that the allowances never exceed the total, including those of paused
// processes, which would use them on resuming.
func (w *world) check() {
	sum := int64(0)
	for i, n := range w.nodes {
		if n != nil {
			sum += n.Allowance(w.clock(i))
		}
	}
	if w.maxSum = max(w.maxSum, sum); sum > w.settings.Total {
		w.t.Fatalf("sum of allowances %d exceeds the total %d", sum, w.settings.Total)
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *world) setDemands(units ...float64) {
	for i, u := range units {
		if w.demands[i] = u; w.nodes[i] != nil {
			w.nodes[i].SetDemand(u)
		}
	}
}

// The sum of all allowances must not exceed the total under crashes, restarts, pauses, losses,
// partitions, duplicated and late messages and clock drift.
func TestTotalIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(r, "processes")
		total, seed := int64(rapid.IntRange(64, 10000).Draw(r, "whole")), rapid.Uint64().Draw(r, "seed")
		w := newWorld(r, n, total, seed)
		run := n
		if withSlots := rapid.Bool().Draw(r, "seated"); withSlots {
			run = rapid.IntRange(1, n).Draw(r, "run")
			guards := [][]ID{{0}, {0, 1, 2}, {0, 1, 2, 3, 4}}[rapid.IntRange(0, min(2, (n-1)/2)).Draw(r, "guards")]
			w = newSlotWorld(r, n, run, total, seed, guards...)
			greedy := rapid.IntRange(1, 3).Draw(r, "greedy")
			// Assigns all slots, whatever the view.
			w.greedy = func(i int) bool { return (int(w.now/time.Second)+i)%greedy == 0 }
		}
		for i := range w.clockRate {
			w.clockRate[i] = 1 + float64(rapid.IntRange(-20, 20).Draw(r, "clock"))/1000
		}
		for i := range run { // restarted with the drifting clocks
			w.incarnation[i] = 0
			w.start(i, true)
		}
		w.maxDelay = time.Duration(rapid.SampledFrom([]int{10, 100, 600, 1500}).Draw(r, "late")) * time.Millisecond
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.6}).Draw(r, "loss")
		cut := 0
		w.lossRate = func(a, b ID) float64 {
			if (int(a) < cut) != (int(b) < cut) {
				return 1
			}
			return loss
		}
		for range rapid.IntRange(1, 12).Draw(r, "events") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				w.kill(i)
			case 1:
				w.kill(i)
				w.start(i, false)
			case 2:
				w.pausedUntil[i] = w.now + time.Duration(rapid.IntRange(0, 8000).Draw(r, "stop"))*time.Millisecond
			case 3:
				cut = rapid.IntRange(0, n).Draw(r, "cut")
			default:
				w.demands[i] = float64(rapid.IntRange(0, int(w.settings.Total)).Draw(r, "need"))
				if w.nodes[i] != nil {
					w.nodes[i].SetDemand(w.demands[i])
				}
			}
			w.run(time.Duration(rapid.IntRange(0, 6000).Draw(r, "then")) * time.Millisecond)
		}
	})
}

// The total must not be exceeded in any order of delivery, loss, duplication, crash, restart
// and passing of time among three processes, explored exhaustively to a depth.
func TestQuotaLeasesExhaustively(t *testing.T) {
	settings := Defaults()
	settings.Total, settings.Nodes, settings.LeaseTime, settings.FloorFraction, settings.MaxClockDrift = 6, 3, 8, 0.5, 0
	type state struct {
		now         Time
		nodes       [3]*Share
		incarnation [3]uint32
		deliveries  []delivery
	}
	copyOf := func(s state) state {
		for i, n := range s.nodes {
			if n == nil {
				continue
			}
			c := *n
			c.rng = rand.New(rand.NewPCG(1, 1))
			c.grantedLeases, c.borrowedLeases, c.offers = map[leaseKey]*grantedLease{}, map[uint32]*borrowedLease{}, map[ID]offer{}
			for k, l := range n.grantedLeases {
				x := *l
				c.grantedLeases[k] = &x
			}
			for k, d := range n.borrowedLeases {
				x := *d
				c.borrowedLeases[k] = &x
			}
			for k, o := range n.offers {
				c.offers[k] = o
			}
			s.nodes[i] = &c
		}
		s.deliveries = slices.Clone(s.deliveries)
		return s
	}
	fingerprint := func(s state) string {
		var b strings.Builder
		fmt.Fprint(&b, s.now, s.incarnation)
		for _, n := range s.nodes {
			if n != nil {
				fmt.Fprint(&b, "|", n.restrictedUntil, n.nonce, n.next)
				for _, k := range n.sortedNonces() {
					fmt.Fprint(&b, k, *n.borrowedLeases[k])
				}
				var grantedLeases []string
				for k, l := range n.grantedLeases {
					grantedLeases = append(grantedLeases, fmt.Sprint(k, *l))
				}
				slices.Sort(grantedLeases)
				fmt.Fprint(&b, grantedLeases, len(n.offers))
			}
		}
		var deliveries []string
		for _, m := range s.deliveries {
			deliveries = append(deliveries, fmt.Sprint(m.from, m.to, m.payload))
		}
		slices.Sort(deliveries)
		fmt.Fprint(&b, deliveries)
		return b.String()
	}
	first := state{now: 100}
	for i := range first.nodes {
		first.nodes[i] = New(settings, ID(i), 1, first.now, 1, true)
		first.incarnation[i] = 1
	}
	first.nodes[0].SetDemand(4) // twice its base of 2; the others have no demand
	seen, level := map[string]bool{fingerprint(first): true}, []state{first}
	const depth, maxStates = 12, 40_000
	for range depth {
		var next []state
		add := func(s state) {
			sum := int64(0)
			for _, n := range s.nodes {
				if n != nil {
					sum += n.Allowance(s.now)
				}
			}
			if sum > settings.Total {
				t.Fatalf("sum of allowances %d exceeds the total %d: %s", sum, settings.Total, fingerprint(s))
			}
			if k := fingerprint(s); !seen[k] && len(seen) < maxStates && len(s.deliveries) < 5 {
				seen[k] = true
				next = append(next, s)
			}
		}
		send := func(s *state, i int, out []Message) {
			for _, x := range out {
				s.deliveries = append(s.deliveries, delivery{0, ID(i), x.To, x.Payload})
			}
		}
		for _, s := range level {
			for k := range s.deliveries {
				for _, twice := range []bool{false, true} { // delivered; delivered and still in flight
					c := copyOf(s)
					m := c.deliveries[k]
					if !twice {
						c.deliveries = slices.Delete(c.deliveries, k, k+1)
					}
					if n := c.nodes[m.to]; n != nil {
						send(&c, int(m.to), n.Handle(c.now, m.from, m.payload))
					}
					add(c)
				}
				c := copyOf(s)
				c.deliveries = slices.Delete(c.deliveries, k, k+1) // lost
				add(c)
			}
			for i := range 3 {
				c := copyOf(s)
				if n := c.nodes[i]; n != nil {
					send(&c, i, n.Tick(c.now, []ID{ID((i + 1) % 3), ID((i + 2) % 3)}))
					add(c)
					c = copyOf(s)
					c.nodes[i] = nil
					add(c)
				} else {
					c.incarnation[i]++
					c.nodes[i] = New(settings, ID(i), c.incarnation[i], c.now, 1, false)
					add(c)
				}
			}
			for _, d := range []Time{1, 4} {
				c := copyOf(s)
				c.now += d
				add(c)
			}
		}
		level = next
	}
	t.Logf("%d states", len(seen))
	if len(seen) < 10_000 {
		t.Errorf("only %d states explored", len(seen))
	}
}

// Allowances must follow demand without oscillating, and fall back without messages.
func TestAllowanceFollowsDemand(t *testing.T) {
	for _, n := range []int{3, 12, 48, -3, -12, -48} {
		withSlots := n < 0
		n := max(n, -n)
		w := newWorld(t, n, 1000*int64(n), 5)
		if withSlots {
			w = newSlotWorld(t, n, n, 1000*int64(n), 5, 0, 1, 2)
			w.quorum.MaxProcesses = n
			w.run(4 * time.Second) // guards that start grant nothing for a lease time
		}
		changedAt := w.now
		demands := make([]float64, n)
		for i := range demands {
			demands[i] = 400
		}
		demands[0] = min(2400, 500*float64(n)) // six times the others' demand, or nearly four
		w.setDemands(demands...)
		metAfter := time.Duration(-1)
		low, high := int64(1<<62), int64(0)
		for range 1500 {
			w.step()
			allowance := w.nodes[0].Allowance(w.clock(0))
			if metAfter < 0 && allowance >= int64(demands[0]) {
				metAfter = w.now - changedAt
			}
			if w.now > changedAt+8*time.Second {
				low, high = min(low, allowance), max(high, allowance)
			}
		}
		t.Logf("%d processes, slots %v: demand %.0f with base %d met after %v; then allowance between %d and %d", n, withSlots, demands[0], w.nodes[0].Base(w.clock(0)), metAfter, low, high)
		if metAfter < 0 || metAfter > 5*time.Second || low < int64(demands[0]) || float64(high) > 1.6*demands[0] {
			t.Errorf("%d processes: met after %v, then allowance %d to %d for demand %.0f", n, metAfter, low, high, demands[0])
		}
		for i := range w.nodes {
			if allowance := w.nodes[i].Allowance(w.clock(i)); float64(allowance) < demands[i] {
				t.Errorf("process %d: allowance %d for demand %.0f", i, allowance, demands[i])
			}
		}
		w.lossRate = func(ID, ID) float64 { return 1 } // no messages arrive any more
		w.run(4 * time.Second)
		for i, x := range w.nodes {
			if x.Allowance(w.clock(i)) != x.Base(w.clock(i)) || withSlots && x.Allowance(w.clock(i)) != x.floor {
				t.Errorf("process %d: allowance %d without messages", i, x.Allowance(w.clock(i)))
			}
		}
	}
}

// Nine tenths of the demand must be met soon after it changes, and after a third of the
// processes restarts; without a quorum their bases stay unused meanwhile.
func TestTotalIsUsedAgainAfterRestarts(t *testing.T) {
	w := newWorld(t, 24, 24000, 9)
	w.lossRate = func(ID, ID) float64 { return 0.1 }
	demand := func() (used, demanded float64) {
		for i, n := range w.nodes {
			if n != nil {
				used += min(w.demands[i], float64(n.Allowance(w.clock(i))))
				demanded += w.demands[i]
			}
		}
		return used, demanded
	}
	demands := make([]float64, 24)
	for round := range 4 {
		sum := 0.0
		for i := range demands {
			demands[i] = 100 + 2000*w.rng.Float64()
			sum += demands[i]
		}
		for i := range demands {
			demands[i] *= 0.75 * 24000 / sum // the demand is three quarters of the total
		}
		w.setDemands(demands...)
		w.run(5 * time.Second)
		if used, demanded := demand(); used < 0.9*demanded {
			t.Errorf("round %d: %.0f of %.0f demanded is in use after 5 s", round, used, demanded)
		}
	}
	for i := range 8 {
		w.kill(i)
	}
	w.run(5 * time.Second)
	usedWhileDown, _ := demand()
	for i := range 8 {
		w.start(i, false)
	}
	w.run(5 * time.Second)
	used, demanded := demand()
	t.Logf("of %.0f demanded, in use: %.0f while a third is down, %.0f 5 s after its restart", demanded, usedWhileDown, used)
	if used < 0.9*demanded {
		t.Errorf("%.0f of %.0f demanded is in use", used, demanded)
	}
}

// Messages must survive encoding and decoding; truncated ones must be rejected.
func TestMessageRoundTrip(t *testing.T) {
	var set SlotSet
	for _, i := range []int{0, 63, 64, MaxSlots - 1} {
		set.Add(i)
	}
	for _, m := range []any{Offer{7, 12.5}, LeaseRequest{LeaseTerms{1, 2, 3}, 4}, Grant{1, 2, 3, 4, 1500 * time.Millisecond}, LeaseReturn{1, 2},
		Claim{9, 1, 2, set}, Claim{9, 1, 2, SlotSet{}}, ClaimReply{1, 2, set, SlotSet{}, set, HolderSet{1, 1 << 63}}, ClaimReply{}} {
		raw := Encode(3, m)
		if resource, back, err := Decode(raw); err != nil || resource != 3 || back != m || len(raw) > 256 {
			t.Errorf("%+v decoded as %+v, error %v, %d bytes", m, back, err, len(raw))
		}
		if _, _, err := Decode(raw[:len(raw)-1]); err == nil {
			t.Errorf("%+v: truncated datagram was decoded", m)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(0, Offer{7, 1}))
	f.Add(Encode(1, ClaimReply{1, 2, SlotSet{1}, SlotSet{2}, SlotSet{3}, HolderSet{4}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if resource, payload, err := Decode(raw); err == nil && Encode(resource, payload) == nil {
			t.Errorf("%x is decoded but can't be encoded", raw)
		}
	})
}

// The load fraction must follow peers' reports and limit the effect of an excessive one.
func TestLoadFraction(t *testing.T) {
	var f LoadEstimator
	now := time.Hour
	if p := f.Fraction(now, 10, 8); p != 1./8 {
		t.Errorf("fraction without reports is %.3f, want 1/8", p)
	}
	for i := range 6 {
		f.Report(now, ID(i), 10)
	}
	if p := f.Fraction(now, 60, 13); p < 0.33 || p > 0.34 {
		t.Errorf("fraction of 60 among 60 and 12 times 10 is %.3f, want a third", p)
	}
	f.Report(now, 6, 1e9)
	if p := f.Fraction(now, 10, 8); p < 0.08 {
		t.Errorf("fraction with one excessive report is %.3f, want 0.08 at least", p)
	}
	if p := f.Fraction(now+time.Minute, 10, 8); p != 1./8 {
		t.Errorf("fraction after reports expired is %.3f, want 1/8", p)
	}
}
