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

// mail is a message that is on its way.
type mail struct {
	at       time.Duration
	from, to ID
	say      any
}

// world is a fleet of shares under virtual time, with clocks that run apart.
type world struct {
	t      interface{ Fatalf(string, ...any) }
	rng    *rand.Rand
	set    Settings
	now    time.Duration
	nodes  []*Share // nil: not running
	life   []uint32
	asleep []time.Duration
	rate   []float64 // of clocks
	needs  []float64
	mails  []mail
	lost   func(from, to ID) float64
	late   time.Duration
	most   int64 // that all may use, of what was seen

	q       *Quorum // nil: bases are the processes' own
	holders []*Holder
	guards  []*Guard
	greedy  func(i int) bool
}

// newSeated is a world with a quorum. Of its processes those run at first that are below
// a number.
func newSeated(t interface{ Fatalf(string, ...any) }, n, run int, whole int64, seed uint64, guards ...ID) *world {
	w := newWorld(t, n, whole, seed)
	w.q = &Quorum{Guards: guards, Slots: 64, MaxProcesses: 64, LeaseTime: leaseSeat, MaxClockDrift: w.set.MaxClockDrift}
	w.greedy = func(int) bool { return false }
	w.set.LeaseTime, w.set.FloorFraction = leaseLoan, seatFloor
	for i := range w.nodes {
		w.nodes[i], w.life[i] = nil, 0
		if i < run {
			w.start(i, true)
		}
	}
	return w
}

func newWorld(t interface{ Fatalf(string, ...any) }, n int, whole int64, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), set: Defaults(), now: time.Hour, nodes: make([]*Share, n), life: make([]uint32, n),
		holders: make([]*Holder, n), guards: make([]*Guard, n), asleep: make([]time.Duration, n), rate: make([]float64, n), needs: make([]float64, n), late: 10 * time.Millisecond}
	w.set.Total, w.set.Nodes = whole, n
	w.lost = func(ID, ID) float64 { return 0 }
	for i := range w.nodes {
		w.rate[i] = 1
		w.start(i, true)
	}
	return w
}

func (w *world) clock(i int) Time { return time.Duration(float64(w.now) * w.rate[i]) }

func (w *world) start(i int, first bool) {
	w.life[i]++
	seed := int64(i) + int64(w.life[i])*1000
	if w.q == nil {
		w.nodes[i] = New(w.set, ID(i), w.life[i], w.clock(i), seed, first)
	} else {
		w.holders[i] = NewHolder(*w.q, ID(i), w.life[i], w.clock(i), seed)
		w.nodes[i] = NewWithSlots(w.set, w.holders[i], w.clock(i), seed)
		w.guards[i] = nil
		if slices.Contains(w.q.Guards, ID(i)) {
			w.guards[i] = NewGuard(*w.q, w.clock(i))
		}
	}
	w.nodes[i].SetDemand(w.needs[i])
}

// kill ends a process.
func (w *world) kill(i int) { w.nodes[i] = nil }

// hear hands a message to its receiver.
func (w *world) hear(i int, from ID, say any) []Message {
	switch m := say.(type) {
	case Claim:
		if a, ok := w.guards[i].HandleClaim(w.clock(i), from, m); ok {
			return []Message{{from, a}}
		}
		return nil
	case ClaimReply:
		w.holders[i].HandleReply(w.clock(i), from, m)
		return nil
	}
	return w.nodes[i].Handle(w.clock(i), from, say)
}

func (w *world) post(i int, out []Message) {
	for _, t := range out {
		for range 1 + w.rng.IntN(5)/4 { // one in five comes twice
			if ID(i) == t.To || w.rng.Float64() >= w.lost(ID(i), t.To) {
				w.mails = append(w.mails, mail{w.now + time.Duration(w.rng.Float64()*float64(w.late)), ID(i), t.To, t.Payload})
			}
		}
	}
}

// step lets 10 ms pass; the whole is checked at each.
func (w *world) step() {
	w.now += 10 * time.Millisecond
	keep := w.mails[:0]
	var due []mail
	for _, m := range w.mails {
		if m.at <= w.now && w.now >= w.asleep[m.to] {
			due = append(due, m)
		} else {
			keep = append(keep, m)
		}
	}
	w.mails = keep
	w.check()
	for _, m := range due {
		if w.nodes[m.to] != nil {
			w.post(int(m.to), w.hear(int(m.to), m.from, m.say))
			w.check()
		}
	}
	for i, n := range w.nodes {
		if n == nil || w.now < w.asleep[i] {
			continue
		}
		var others []ID
		for k := range w.nodes {
			if k != i {
				others = append(others, ID(k))
			}
		}
		if w.q != nil {
			if w.greedy(i) { // it takes all seats for its own by right
				w.holders[i].view, w.holders[i].rule = 0, all
			} else if w.holders[i].view == 0 {
				w.holders[i].rule = placed
			}
			w.post(i, w.holders[i].Tick(w.clock(i), func(int) int { return n.SpareSlots(w.clock(i)) }))
		}
		w.post(i, n.Tick(w.clock(i), others))
	}
	w.check()
}

func all(seats int, _ []ID, _ ID) (out SlotSet) {
	for i := range seats {
		out.Add(i)
	}
	return out
}

// check holds the invariant: those that run, and those that stand still and would use
// what they may the moment they go on.
func (w *world) check() {
	sum := int64(0)
	for i, n := range w.nodes {
		if n != nil {
			sum += n.Allowance(w.clock(i))
		}
	}
	if w.most = max(w.most, sum); sum > w.set.Total {
		w.t.Fatalf("all together may use %d of %d", sum, w.set.Total)
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *world) need(units ...float64) {
	for i, u := range units {
		if w.needs[i] = u; w.nodes[i] != nil {
			w.nodes[i].SetDemand(u)
		}
	}
}

// In every timeline the sum of what all may use stays within the whole: crashes,
// restarts, stops, losses, splits, doubled and late messages, clocks 2% apart.
func TestTheWholeIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(r, "processes")
		whole, seed := int64(rapid.IntRange(64, 10000).Draw(r, "whole")), rapid.Uint64().Draw(r, "seed")
		w := newWorld(r, n, whole, seed)
		run := n
		if seated := rapid.Bool().Draw(r, "seated"); seated {
			run = rapid.IntRange(1, n).Draw(r, "run")
			guards := [][]ID{{0}, {0, 1, 2}, {0, 1, 2, 3, 4}}[rapid.IntRange(0, min(2, (n-1)/2)).Draw(r, "guards")]
			w = newSeated(r, n, run, whole, seed, guards...)
			greedy := rapid.IntRange(1, 3).Draw(r, "greedy")
			w.greedy = func(i int) bool { return (int(w.now/time.Second)+i)%greedy == 0 } // whatever its view is, it is wrong
		}
		for i := range w.rate {
			w.rate[i] = 1 + float64(rapid.IntRange(-20, 20).Draw(r, "clock"))/1000
		}
		for i := range run { // with their clocks
			w.life[i] = 0
			w.start(i, true)
		}
		w.late = time.Duration(rapid.SampledFrom([]int{10, 100, 600, 1500}).Draw(r, "late")) * time.Millisecond
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.6}).Draw(r, "loss")
		cut := 0
		w.lost = func(a, b ID) float64 {
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
				w.asleep[i] = w.now + time.Duration(rapid.IntRange(0, 8000).Draw(r, "stop"))*time.Millisecond
			case 3:
				cut = rapid.IntRange(0, n).Draw(r, "cut")
			default:
				w.needs[i] = float64(rapid.IntRange(0, int(w.set.Total)).Draw(r, "need"))
				if w.nodes[i] != nil {
					w.nodes[i].SetDemand(w.needs[i])
				}
			}
			w.run(time.Duration(rapid.IntRange(0, 6000).Draw(r, "then")) * time.Millisecond)
		}
	})
}

// Three processes explored exhaustively in small: every order of delivery, loss,
// doubling, crash, restart and passing of time, to a depth.
func TestThreeProcessesExhaustively(t *testing.T) {
	set := Defaults()
	set.Total, set.Nodes, set.LeaseTime, set.FloorFraction, set.MaxClockDrift = 6, 3, 8, 0.5, 0
	type state struct {
		now   Time
		nodes [3]*Share
		life  [3]uint32
		mails []mail
	}
	copyOf := func(s state) state {
		for i, n := range s.nodes {
			if n == nil {
				continue
			}
			c := *n
			c.rng = rand.New(rand.NewPCG(1, 1))
			c.loans, c.debts, c.offers = map[loanKey]*loan{}, map[uint32]*debt{}, map[ID]offer{}
			for k, l := range n.loans {
				x := *l
				c.loans[k] = &x
			}
			for k, d := range n.debts {
				x := *d
				c.debts[k] = &x
			}
			for k, o := range n.offers {
				c.offers[k] = o
			}
			s.nodes[i] = &c
		}
		s.mails = slices.Clone(s.mails)
		return s
	}
	name := func(s state) string {
		var b strings.Builder
		fmt.Fprint(&b, s.now, s.life)
		for _, n := range s.nodes {
			if n != nil {
				fmt.Fprint(&b, "|", n.bornTill, n.nonce, n.next)
				for _, k := range n.nonces() {
					fmt.Fprint(&b, k, *n.debts[k])
				}
				var loans []string
				for k, l := range n.loans {
					loans = append(loans, fmt.Sprint(k, *l))
				}
				slices.Sort(loans)
				fmt.Fprint(&b, loans, len(n.offers))
			}
		}
		var mails []string
		for _, m := range s.mails {
			mails = append(mails, fmt.Sprint(m.from, m.to, m.say))
		}
		slices.Sort(mails)
		fmt.Fprint(&b, mails)
		return b.String()
	}
	first := state{now: 100}
	for i := range first.nodes {
		first.nodes[i] = New(set, ID(i), 1, first.now, 1, true)
		first.life[i] = 1
	}
	first.nodes[0].SetDemand(4) // it needs more than its base of 2, the others nothing
	seen, level := map[string]bool{name(first): true}, []state{first}
	const depth, most = 12, 40_000
	for range depth {
		var next []state
		add := func(s state) {
			sum := int64(0)
			for _, n := range s.nodes {
				if n != nil {
					sum += n.Allowance(s.now)
				}
			}
			if sum > set.Total {
				t.Fatalf("all together may use %d of %d: %s", sum, set.Total, name(s))
			}
			if k := name(s); !seen[k] && len(seen) < most && len(s.mails) < 5 {
				seen[k] = true
				next = append(next, s)
			}
		}
		post := func(s *state, i int, out []Message) {
			for _, x := range out {
				s.mails = append(s.mails, mail{0, ID(i), x.To, x.Payload})
			}
		}
		for _, s := range level {
			for k := range s.mails {
				for _, twice := range []bool{false, true} { // delivered; delivered and still on its way
					c := copyOf(s)
					m := c.mails[k]
					if !twice {
						c.mails = slices.Delete(c.mails, k, k+1)
					}
					if n := c.nodes[m.to]; n != nil {
						post(&c, int(m.to), n.Handle(c.now, m.from, m.say))
					}
					add(c)
				}
				c := copyOf(s)
				c.mails = slices.Delete(c.mails, k, k+1) // lost
				add(c)
			}
			for i := range 3 {
				c := copyOf(s)
				if n := c.nodes[i]; n != nil {
					post(&c, i, n.Tick(c.now, []ID{ID((i + 1) % 3), ID((i + 2) % 3)}))
					add(c)
					c = copyOf(s)
					c.nodes[i] = nil
					add(c)
				} else {
					c.life[i]++
					c.nodes[i] = New(set, ID(i), c.life[i], c.now, 1, false)
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
		t.Errorf("%d states are too few to tell", len(seen))
	}
}

// Allocator follow the need, settle and do not swing, and fall back by themselves.
func TestPartsFollowTheNeed(t *testing.T) {
	for _, n := range []int{3, 12, 48, -3, -12, -48} {
		seated := n < 0
		n := max(n, -n)
		w := newWorld(t, n, 1000*int64(n), 5)
		if seated {
			w = newSeated(t, n, n, 1000*int64(n), 5, 0, 1, 2)
			w.q.MaxProcesses = n
			w.run(4 * time.Second) // guards that begin grant nothing for a lease
		}
		began := w.now
		needs := make([]float64, n)
		for i := range needs {
			needs[i] = 400
		}
		needs[0] = min(2400, 500*float64(n)) // one has six times the traffic, or nearly four
		w.need(needs...)
		settled := time.Duration(-1)
		low, high := int64(1<<62), int64(0)
		for range 1500 {
			w.step()
			may := w.nodes[0].Allowance(w.clock(0))
			if settled < 0 && may >= int64(needs[0]) {
				settled = w.now - began
			}
			if w.now > began+8*time.Second {
				low, high = min(low, may), max(high, may)
			}
		}
		t.Logf("%d processes, seated %v: one with %.0f of %d needs %v; then between %d and %d", n, seated, needs[0], w.nodes[0].Base(w.clock(0)), settled, low, high)
		if settled < 0 || settled > 5*time.Second || low < int64(needs[0]) || float64(high) > 1.6*needs[0] {
			t.Errorf("%d processes: settled %v, then %d to %d of %.0f", n, settled, low, high, needs[0])
		}
		for i := range w.nodes {
			if may := w.nodes[i].Allowance(w.clock(i)); float64(may) < needs[i] {
				t.Errorf("process %d may use %d and needs %.0f", i, may, needs[i])
			}
		}
		w.lost = func(ID, ID) float64 { return 1 } // all talk ends: all falls back
		w.run(4 * time.Second)
		for i, x := range w.nodes {
			if x.Allowance(w.clock(i)) != x.Base(w.clock(i)) || seated && x.Allowance(w.clock(i)) != x.floor {
				t.Errorf("process %d has %d without talk", i, x.Allowance(w.clock(i)))
			}
		}
	}
}

// Nine in ten of the whole are in use again soon after needs change all over, and after
// one in three was killed and came back; while they are away their bases are dark.
func TestTheWholeIsInUseAgain(t *testing.T) {
	w := newWorld(t, 24, 24000, 9)
	w.lost = func(ID, ID) float64 { return 0.1 }
	demand := func() (used, could float64) {
		for i, n := range w.nodes {
			if n != nil {
				used += min(w.needs[i], float64(n.Allowance(w.clock(i))))
				could += w.needs[i]
			}
		}
		return used, could
	}
	needs := make([]float64, 24)
	for round := range 4 {
		sum := 0.0
		for i := range needs {
			needs[i] = 100 + 2000*w.rng.Float64()
			sum += needs[i]
		}
		for i := range needs {
			needs[i] *= 0.75 * 24000 / sum // three quarters of the whole is wanted
		}
		w.need(needs...)
		w.run(5 * time.Second)
		if used, could := demand(); used < 0.9*could {
			t.Errorf("round %d: %.0f of %.0f wanted is in use after 5 s", round, used, could)
		}
	}
	for i := range 8 {
		w.kill(i)
	}
	w.run(5 * time.Second)
	dark, _ := demand()
	for i := range 8 {
		w.start(i, false)
	}
	w.run(5 * time.Second)
	used, could := demand()
	t.Logf("of %.0f wanted %.0f while a third is away, %.0f 5 s after it is back", could, dark, used)
	if used < 0.9*could {
		t.Errorf("%.0f of %.0f wanted is in use", used, could)
	}
}

// What is written is what is read, and nothing else is.
func TestMessages(t *testing.T) {
	var set SlotSet
	for _, i := range []int{0, 63, 64, MaxSlots - 1} {
		set.Add(i)
	}
	for _, m := range []any{Offer{7, 12.5}, LeaseRequest{LeaseTerms{1, 2, 3}, 4}, Grant{1, 2, 3, 4, 1500 * time.Millisecond}, LeaseReturn{1, 2},
		Claim{9, 1, 2, set}, Claim{9, 1, 2, SlotSet{}}, ClaimReply{1, 2, set, SlotSet{}, set, HolderSet{1, 1 << 63}}, ClaimReply{}} {
		raw := Encode(3, m)
		if whole, back, err := Decode(raw); err != nil || whole != 3 || back != m || len(raw) > 256 {
			t.Errorf("%+v came back as %+v, %v, of %d bytes", m, back, err, len(raw))
		}
		if _, _, err := Decode(raw[:len(raw)-1]); err == nil {
			t.Errorf("%+v, cut short, is read", m)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(0, Offer{7, 1}))
	f.Add(Encode(1, ClaimReply{1, 2, SlotSet{1}, SlotSet{2}, SlotSet{3}, HolderSet{4}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if whole, say, err := Decode(raw); err == nil && Encode(whole, say) == nil {
			t.Errorf("%x is read and can't be written", raw)
		}
	})
}

// A process finds its part of the fleet's flow from what it hears of some others; one
// that claims a huge flow takes little of it.
func TestThePartOfTheFlow(t *testing.T) {
	var f LoadEstimator
	now := time.Hour
	if p := f.Fraction(now, 10, 8); p != 1./8 {
		t.Errorf("without a word its part is %.3f", p)
	}
	for i := range 6 {
		f.Report(now, ID(i), 10)
	}
	if p := f.Fraction(now, 60, 13); p < 0.33 || p > 0.34 {
		t.Errorf("60 of 60 and 12 times 10 is a third, not %.3f", p)
	}
	f.Report(now, 6, 1e9)
	if p := f.Fraction(now, 10, 8); p < 0.08 {
		t.Errorf("a liar leaves it %.3f", p)
	}
	if p := f.Fraction(now+time.Minute, 10, 8); p != 1./8 {
		t.Errorf("old words are worth %.3f", p)
	}
}
