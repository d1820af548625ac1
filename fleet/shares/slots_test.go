package shares

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var long = flag.Bool("shares-long", false, "more seeds and states")

// fractionInUse returns the fraction of the total in use; the demand must exceed the total.
func (w *world) fractionInUse() float64 {
	sum := 0.0
	for i, n := range w.nodes {
		if n != nil && w.now >= w.pausedUntil[i] {
			sum += min(w.demands[i], float64(n.Allowance(w.clock(i))))
		}
	}
	return sum / float64(w.settings.Total)
}

// recoveryTime runs for 8 s and returns the time of the last step in which the fraction in use
// was too low.
func (w *world) recoveryTime(fraction float64) time.Duration {
	from, last := w.now, time.Duration(0)
	for w.now-from < 8*time.Second {
		if w.step(); w.fractionInUse() < fraction {
			last = w.now - from
		}
	}
	return last
}

// After starts, crashes, partitions and changes of the fleet's size, most of the total must be
// in use again within seconds, with external guards and up to 30% loss.
func TestTotalIsUsedAgainAfterEachChange(t *testing.T) {
	recoveryTimes := map[string][]time.Duration{}
	seeds := uint64(1)
	if *long {
		seeds = 20
	}
	for seed := range seeds {
		for _, loss := range []float64{0, 0.1, 0.3} {
			w := newSlotWorld(t, 39, 0, 36000, seed, 36, 37, 38)
			w.quorum.MaxProcesses = 36
			w.rng = rand.New(rand.NewPCG(seed, 99))
			side := func(ID) int { return 0 }
			w.lossRate = func(a, b ID) float64 {
				if side(a) != side(b) {
					return 1
				}
				return loss
			}
			for i := range w.demands { // four processes would use the whole total
				w.demands[i] = 36000 / 4
			}
			w.demands[36], w.demands[37], w.demands[38] = 0, 0, 0
			start := func(from, to int) {
				for i := from; i < to; i++ {
					if w.nodes[i] == nil {
						w.start(i, false)
					}
				}
			}
			change := func(name string, fraction float64, do func()) {
				do()
				d := w.recoveryTime(fraction)
				key := fmt.Sprintf("%-22s loss %.1f", name, loss)
				recoveryTimes[key] = append(recoveryTimes[key], d)
			}
			start(36, 39)
			w.run(4 * time.Second) // restarted guards grant nothing for a lease time
			change("12 start", 0.9, func() { start(0, 12) })
			change("12 grow to 36", 0.9, func() { start(12, 36) })
			change("12 of 36 killed", 0.9, func() {
				for i := range 12 {
					w.kill(i)
				}
			})
			change("killed ones restart", 0.9, func() { start(0, 12) })
			change("25 of 36 killed", 0.9, func() {
				for i := range 25 {
					w.kill(i)
				}
			})
			change("25 restart", 0.9, func() { start(0, 25) })
			change("one guard is killed", 0.9, func() { w.kill(37) })
			change("killed ones restart", 0.9, func() { start(37, 38) })
			change("partition 24 and 12", 0.9, func() {
				side = func(id ID) int { return map[bool]int{true: 1}[id < 12 || id == 36] }
			})
			change("partition healed", 0.9, func() { side = func(ID) int { return 0 } })
			change("shrink to 6", 0.9, func() {
				for i := 6; i < 36; i++ {
					w.kill(i)
				}
			})
		}
	}
	for _, key := range slices.Sorted(keysOf(recoveryTimes)) {
		all := recoveryTimes[key]
		failed := 0
		for _, d := range all {
			if d > 5*time.Second && !strings.HasSuffix(key, "0.3") || d > 6*time.Second {
				failed++
			}
		}
		slices.Sort(all)
		t.Logf("%s: p50 %v, p99 %v", key, all[len(all)/2], all[len(all)-1])
		if failed > 0 {
			t.Errorf("%s: %d of %d recoveries took too long, worst %v", key, failed, len(all), all[len(all)-1])
		}
	}
}

// A process that claims all slots and releases none must not keep more than three equal
// shares.
func TestGreedyHolderKeepsThreeSharesAtMost(t *testing.T) {
	w := newSlotWorld(t, 8, 0, 6400, 3, 0, 1, 2)
	for i := range w.demands {
		w.demands[i] = 6400
	}
	for _, i := range []int{0, 1, 2, 7} {
		w.start(i, true)
	}
	w.greedy = func(i int) bool { return i == 7 }
	w.run(8 * time.Second)
	early := w.holders[7].HeldSlots(w.clock(7))
	for i := 3; i < 7; i++ {
		w.start(i, true)
	}
	w.run(20 * time.Second)
	if late := w.holders[7].HeldSlots(w.clock(7)); early < 12 || late > 27 {
		t.Errorf("it holds %d slots of 64 among four processes, and %d among eight", early, late)
	}
	if used := w.fractionInUse(); used < 0.9 {
		t.Errorf("%.2f of the total is in use, want 0.9", used)
	}
}

func keysOf(m map[string][]time.Duration) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// No slot may have two holders in any order of delivery, loss, duplication, crash, restart and
// passing of time, explored exhaustively to a depth.
func TestSlotLeasesExhaustively(t *testing.T) {
	q := Quorum{Guards: []ID{0, 1, 2}, Slots: 2, MaxProcesses: 3, LeaseTime: 8}
	type state struct {
		now         Time
		h           [3]*Holder
		g           [3]*Guard
		incarnation [3]uint32
		deliveries  []delivery
	}
	copyOf := func(s state) state {
		for i := range s.h {
			if s.h[i] == nil {
				continue
			}
			h, g := *s.h[i], *s.g[i]
			h.rng = rand.New(rand.NewPCG(1, 1))
			h.until, h.replies, h.lastReply = map[ID][]Time{}, map[ID]*ClaimReply{}, map[ID]Time{}
			for k, v := range s.h[i].until {
				h.until[k] = slices.Clone(v)
			}
			for k, v := range s.h[i].replies {
				h.replies[k] = v
			}
			for k, v := range s.h[i].lastReply {
				h.lastReply[k] = v
			}
			h.heldUntil, h.firstRound, h.backoffUntil, h.unservedSince, h.freeSince = slices.Clone(h.heldUntil), slices.Clone(h.firstRound), slices.Clone(h.backoffUntil), slices.Clone(h.unservedSince), slices.Clone(h.freeSince)
			g.slots, g.lastClaims = slices.Clone(g.slots), map[ID]lastClaim{}
			for k, v := range s.g[i].lastClaims {
				g.lastClaims[k] = v
			}
			s.h[i], s.g[i] = &h, &g
		}
		s.deliveries = slices.Clone(s.deliveries)
		return s
	}
	fingerprint := func(s state) string {
		var b strings.Builder
		fmt.Fprint(&b, s.now, s.incarnation)
		for i, h := range s.h {
			if h != nil {
				fmt.Fprint(&b, "|", h.round, h.next, h.until, h.requested, h.firstRound, h.backoffUntil, h.unservedSince, h.freeSince, s.g[i].startedAt, s.g[i].slots, s.g[i].lastClaims)
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
	start := func(s *state, i int) {
		s.incarnation[i]++
		s.h[i], s.g[i] = NewHolder(q, ID(i), s.incarnation[i], s.now, 1), NewGuard(q, s.now)
		s.h[i].placement, s.h[i].assigned = allSlots, allSlots(q.Slots, nil, 0) // each claims both slots
	}
	first := state{now: 100}
	for i := range 3 {
		start(&first, i)
	}
	first.now += 8 // the guards start granting
	depth, maxStates := 16, 12_000
	if *long {
		depth, maxStates = 30, 600_000
	}
	seen, level, holding := map[string]bool{fingerprint(first): true}, []state{first}, 0
	for range depth {
		var next []state
		add := func(s state) {
			for slot := range q.Slots {
				holders := 0
				for _, h := range s.h {
					if h != nil && s.now < h.heldUntil[slot] {
						holders++
						holding++
					}
				}
				if holders > 1 {
					t.Fatalf("slot %d is held by %d processes: %s", slot, holders, fingerprint(s))
				}
			}
			if k := fingerprint(s); !seen[k] && len(seen) < maxStates && len(s.deliveries) < 7 {
				seen[k] = true
				next = append(next, s)
			}
		}
		for _, s := range level {
			for k := range s.deliveries {
				for _, twice := range []bool{false, true} {
					c := copyOf(s)
					m := c.deliveries[k]
					if !twice {
						c.deliveries = slices.Delete(c.deliveries, k, k+1)
					}
					if c.h[m.to] == nil {
						continue
					}
					switch x := m.payload.(type) {
					case Claim:
						if a, ok := c.g[m.to].HandleClaim(c.now, m.from, x); ok {
							c.deliveries = append(c.deliveries, delivery{0, m.to, m.from, a})
						}
					case ClaimReply:
						c.h[m.to].HandleReply(c.now, m.from, x)
					}
					add(c)
				}
				c := copyOf(s)
				c.deliveries = slices.Delete(c.deliveries, k, k+1)
				add(c)
			}
			for i := range 3 {
				c := copyOf(s)
				if c.h[i] == nil {
					start(&c, i)
					add(c)
					continue
				}
				for _, x := range c.h[i].Tick(c.now, func(int) int { return 2 }) {
					c.deliveries = append(c.deliveries, delivery{0, ID(i), x.To, x.Payload})
				}
				add(c)
				c = copyOf(s)
				c.h[i], c.g[i] = nil, nil
				add(c)
			}
			for _, d := range []Time{1, 5} {
				c := copyOf(s)
				c.now += d
				add(c)
			}
		}
		level = next
	}
	t.Logf("%d states, slots held in %d", len(seen), holding)
	if len(seen) < 10_000 || holding < 1000 {
		t.Errorf("only %d states explored, with slots held in %d", len(seen), holding)
	}
}
