package roster

import (
	"bytes"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sim is a fleet of rosters under virtual time.
type sim struct {
	rng     *rand.Rand
	now     Time
	seq     int
	queue   plans
	nodes   []*Roster
	at      map[netip.AddrPort]int
	life    []int // counts processes
	up      []bool
	asleep  []Time
	ticked  []Time
	lost    func(from, to int) float64
	delay   func() time.Duration
	doubled float64
	doubts  int        // times that a process that was up was suspected by one
	gone    map[ID]int // times that a process that was up was taken for gone
	learnt  map[ID][]Time
	slowed  []bool
}

type plan struct {
	at  Time
	seq int
	do  func()
}
type plans []plan

func (p plans) Len() int { return len(p) }
func (p plans) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p plans) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *plans) Push(x any)   { *p = append(*p, x.(plan)) }
func (p *plans) Pop() any {
	n := len(*p) - 1
	x := (*p)[n]
	*p = (*p)[:n]
	return x
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7946)
}

func newSim(n int, seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, at: map[netip.AddrPort]int{}, gone: map[ID]int{}, learnt: map[ID][]Time{}}
	s.lost = func(int, int) float64 { return 0 }
	s.delay = func() time.Duration { return time.Duration(2+s.rng.IntN(6)) * time.Millisecond }
	for range n {
		s.join()
	}
	return s
}

// join starts one more process, which knows two others.
func (s *sim) join() int {
	i := len(s.nodes)
	s.nodes, s.life, s.up = append(s.nodes, nil), append(s.life, 0), append(s.up, false)
	s.asleep, s.ticked, s.slowed = append(s.asleep, 0), append(s.ticked, 0), append(s.slowed, false)
	s.at[addr(i)] = i
	s.start(i)
	return i
}

func (s *sim) start(i int) {
	s.life[i]++
	s.up[i] = true
	set := Defaults()
	set.AllowedPrefixes = []netip.Prefix{netip.MustParsePrefix("127.1.0.0/16")}
	var seeds []netip.AddrPort
	for _, k := range []int{0, 1, 2} {
		if k != i && len(seeds) < 2 {
			seeds = append(seeds, addr(k))
		}
	}
	s.nodes[i] = New(set, Member{ID: ID(i + 1), Addr: addr(i), Incarnation: Incarnation(1000 + s.life[i])}, seeds, s.now, int64(i)*1000+int64(s.life[i]))
	s.ticked[i] = s.now
	s.tick(i, s.life[i])
}

func (s *sim) kill(i int) { s.up[i] = false; s.life[i] += 0 }

func (s *sim) plan(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, plan{s.now + d, s.seq, do})
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return
		}
		p := heap.Pop(&s.queue).(plan)
		s.now = p.at
		p.do()
	}
}

func (s *sim) tick(i, life int) {
	if s.life[i] != life || !s.up[i] {
		return
	}
	next := 100 * time.Millisecond
	if s.slowed[i] { // starved: it runs now and then
		next = time.Duration(s.rng.IntN(1200)) * time.Millisecond
		s.asleep[i] = s.now + next - 1
	}
	s.plan(next, func() { s.tick(i, life) })
	if s.now < s.asleep[i] && !s.slowed[i] {
		return
	}
	if gap := s.now - s.ticked[i]; gap > 400*time.Millisecond {
		s.do(i, Resumed{gap})
	}
	s.ticked[i] = s.now
	s.do(i, Tick{})
}

func (s *sim) do(i int, e Event) {
	for _, a := range s.nodes[i].Handle(s.now, e) {
		switch a := a.(type) {
		case Send:
			s.send(i, a.To, bytes.Clone(a.Data))
		case StatusChanged:
			if k := int(a.ID) - 1; a.Status == Suspect && k >= 0 && k < len(s.up) && s.up[k] {
				s.doubts++
			}
			if k := int(a.ID) - 1; a.Status == Gone && k >= 0 && k < len(s.up) {
				if s.up[k] && s.life[k] == int(a.Incarnation) {
					s.gone[a.ID]++
				} else {
					s.learnt[a.ID] = append(s.learnt[a.ID], s.now)
				}
			}
		}
	}
}

func (s *sim) send(from int, to netip.AddrPort, data []byte) {
	k, known := s.at[to]
	if !known || len(data) > MaxDatagram {
		return
	}
	times := 1
	if s.rng.Float64() < s.doubled {
		times = 2
	}
	for range times {
		if s.rng.Float64() >= s.lost(from, k) {
			s.plan(s.delay(), func() { s.arrive(from, k, data) })
		}
	}
}

func (s *sim) arrive(from, to int, data []byte) {
	switch {
	case !s.up[to]:
	case s.now < s.asleep[to]:
		s.plan(s.asleep[to]-s.now+1, func() { s.arrive(from, to, data) })
	default:
		if gap := s.now - s.ticked[to]; gap > 400*time.Millisecond {
			s.do(to, Resumed{gap})
			s.ticked[to] = s.now
		}
		s.do(to, DatagramReceived{addr(from), data})
	}
}

// agree tells whether all that are up take the same ones for alive, and those alone.
func (s *sim) agree() bool {
	up := 0
	for _, u := range s.up {
		if u {
			up++
		}
	}
	for i, r := range s.nodes {
		if s.up[i] && (r.AliveCount() != up || r.Digest() != s.nodes[slices.Index(s.up, true)].Digest()) {
			return false
		}
	}
	return true
}

func (s *sim) until(most time.Duration) time.Duration {
	from := s.now
	for !s.agree() && s.now-from < most {
		s.run(100 * time.Millisecond)
	}
	return s.now - from
}

var large = flag.Bool("roster-large", false, "fleets of 150 to 1,000 processes too")
var huge = flag.Bool("roster-huge", false, "1,000 processes too")

// IDAt each size and loss: how soon all know all, and know of a death, what it costs, and
// how many that live are taken for gone.
func TestSizesAndLosses(t *testing.T) {
	sizes := []int{3, 12, 48}
	if *large {
		sizes = append(sizes, 150, 300)
		if *huge {
			sizes = append(sizes, 1000)
		}
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.1, 0.3} {
			s := newSim(n, uint64(n))
			s.lost = func(int, int) float64 { return loss }
			joined := s.until(2 * time.Minute)
			before, doubts := s.nodes[n-1].counts, s.doubts
			s.run(30 * time.Second)
			after, wrong := s.nodes[n-1].counts, float64(s.doubts-doubts)*120/float64(n)
			dead := n / 2
			s.kill(dead)
			from := s.now
			took := s.until(2 * time.Minute)
			first := time.Duration(-1)
			if l := s.learnt[ID(dead+1)]; len(l) > 0 {
				first = l[0] - from
			}
			t.Logf("%4d, loss %.1f: all know all after %v; death known first after %v, to all after %v; %.0f bytes and %.1f datagrams a second; %d false; a process suspects a live one %.0f times an hour", n, loss,
				joined.Round(100*time.Millisecond), first.Round(100*time.Millisecond), took.Round(100*time.Millisecond), float64(after.Bytes-before.Bytes)/30, float64(after.Datagrams-before.Datagrams)/30, len(s.gone), wrong)
			if len(s.gone) > 0 && (loss < 0.3 || len(s.gone) > n/50) || !s.agree() || took > 2*time.Minute || float64(after.Bytes-before.Bytes)/30 > 1800 {
				t.Errorf("%d, loss %.1f: %v false, agree %v after %v", n, loss, s.gone, s.agree(), took)
			}
		}
	}
}

// Splits, restarts, stops, starvation and liars.
func TestTheFleetThroughFaults(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(s *sim)
		must func(t *testing.T, s *sim)
	}{
		{"a split into 4 and 8, healed", func(s *sim) {
			s.lost = func(a, b int) float64 { return map[bool]float64{true: 1}[(a < 4) != (b < 4)] }
			s.run(90 * time.Second)
		}, func(t *testing.T, s *sim) {
			if s.nodes[0].HasMajority() || !s.nodes[11].HasMajority() {
				t.Error("the smaller side is the majority, or the larger is not")
			}
			if s.nodes[0].AliveCount() != 4 || s.nodes[11].AliveCount() != 8 {
				t.Errorf("%d and %d alive", s.nodes[0].AliveCount(), s.nodes[11].AliveCount())
			}
			s.gone = map[ID]int{} // of the other side: that was right as far as anybody could know
			s.lost = func(int, int) float64 { return 0 }
		}},
		{"seven in ten killed at once and back", func(s *sim) {
			for i := range 8 {
				s.kill(i)
			}
			s.run(60 * time.Second)
			for i := range 8 {
				s.start(i)
			}
		}, func(*testing.T, *sim) {}},
		{"back under its name at once", func(s *sim) { s.kill(5); s.run(500 * time.Millisecond); s.start(5); s.run(3 * time.Second) }, func(t *testing.T, s *sim) {
			for i := range 12 {
				for _, m := range s.nodes[i].Members() {
					if m.ID == 6 && (m.Incarnation != 1002 || m.Status != Alive) {
						t.Errorf("node %d has life %d, %v", i, m.Incarnation, m.Status)
					}
				}
			}
		}},
		{"back, its clock set back by a minute", func(s *sim) { s.kill(5); s.run(2 * time.Second); s.life[5] -= 60; s.start(5) }, func(*testing.T, *sim) {}},
		{"ended in order and back within a second", func(s *sim) {
			s.do(5, Leaving{})
			s.kill(5)
			s.run(400 * time.Millisecond)
			s.life[5]--
			s.start(5)
		}, func(*testing.T, *sim) {}},
		{"words 3 s late for a minute", func(s *sim) {
			s.delay = func() time.Duration { return time.Duration(2500+s.rng.IntN(1000)) * time.Millisecond }
			s.run(time.Minute)
			s.delay = func() time.Duration { return 5 * time.Millisecond }
			s.gone = map[ID]int{} // later than any suspicion lasts: a process can't tell that from a death
		}, func(*testing.T, *sim) {}},
		{"stopped for 3 s", func(s *sim) { s.asleep[3] = s.now + 3*time.Second; s.run(20 * time.Second) }, func(*testing.T, *sim) {}},
		{"one direction only", func(s *sim) {
			s.lost = func(a, _ int) float64 { return map[bool]float64{true: 0.5}[a == 2] }
			s.run(60 * time.Second)
			s.lost = func(int, int) float64 { return 0 }
		}, func(*testing.T, *sim) {}},
		{"starved of CPU", func(s *sim) { s.slowed[7] = true; s.run(90 * time.Second); s.slowed[7] = false }, func(t *testing.T, s *sim) {
			for id := range s.gone {
				if id != 8 {
					t.Errorf("process %d, which is well, was taken for gone", id)
				}
			}
			s.gone = map[ID]int{}
		}},
		{"a liar that buries all", func(s *sim) {
			for range 200 {
				s.run(100 * time.Millisecond)
				m := message{kind: ping, id: 1, life: 1001, incarnation: 0}
				for id := ID(2); id < 12; id++ {
					m.updates = append(m.updates, said{Gone, id, 1001, 1000, addr(0)})
				}
				for to := 1; to < 12; to++ {
					s.arrive(0, to, m.append(nil))
				}
			}
		}, func(*testing.T, *sim) {}},
		{"a liar that claims all names", func(s *sim) {
			for k := range 200 {
				s.run(50 * time.Millisecond)
				m := message{kind: ping, id: 1, life: 1001, updates: []said{{Alive, ID(2 + k%11), 1900, 1, addr(0)}, {Left, ID(2 + k%11), 1001, 9, addr(0)}}}
				s.arrive(0, 1+k%11, m.append(nil))
				s.arrive(0, 1+k%11, (&message{kind: ping, id: ID(2 + k%11), life: 1001}).append(nil))
			}
		}, func(*testing.T, *sim) {}},
		{"grown from 12 to 36, shrunk to 6", func(s *sim) {
			for range 24 {
				s.join()
				s.run(200 * time.Millisecond)
			}
			s.until(time.Minute)
			for i := 6; i < 36; i++ {
				s.kill(i)
			}
		}, func(*testing.T, *sim) {}},
		{"forged, oversized, unknown", func(s *sim) {
			for range 50 {
				s.do(3, DatagramReceived{addr(4), make([]byte, 300)})
				s.do(3, DatagramReceived{netip.MustParseAddrPort("127.9.9.9:1"), (&message{kind: ping, id: 99}).append(nil)})
			}
		}, func(t *testing.T, s *sim) {
			if c := s.nodes[3].Counts(); c.Malformed != 50 || c.UnknownSenders != 50 || s.nodes[3].AliveCount() != 12 {
				t.Errorf("%+v, %d alive", c, s.nodes[3].AliveCount())
			}
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSim(12, seed)
				if s.until(time.Minute); !s.agree() {
					t.Fatal("they do not meet")
				}
				x.do(s)
				x.must(t, s)
				if took := s.until(3 * time.Minute); !s.agree() {
					t.Errorf("seed %d: no agreement after %v", seed, took)
				}
				if len(s.gone) > 0 {
					t.Errorf("seed %d: taken for gone, and alive: %v", seed, s.gone)
				}
			}
		})
	}
}

// In any timeline of deaths, restarts and losses all agree in the end, and a datagram
// never holds more than 256 bytes.
func TestAllAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(r, "processes")
		s := newSim(n, rapid.Uint64().Draw(r, "seed"))
		loss := rapid.Float64Range(0, 0.4).Draw(r, "loss")
		s.lost, s.doubled = func(int, int) float64 { return loss }, 0.2
		late := rapid.IntRange(0, 250).Draw(r, "late")
		s.delay = func() time.Duration { return time.Duration(s.rng.IntN(late+1)) * time.Millisecond }
		for range rapid.IntRange(0, 8).Draw(r, "events") {
			s.run(time.Duration(rapid.IntRange(0, 20000).Draw(r, "later")) * time.Millisecond)
			switch i := rapid.IntRange(0, n-1).Draw(r, "who"); {
			case s.up[i] && slices.Index(s.up, true) != i:
				s.kill(i)
			case !s.up[i]:
				s.start(i)
			}
		}
		s.lost, s.doubled = func(int, int) float64 { return 0 }, 0
		if s.until(5 * time.Minute); !s.agree() {
			r.Fatalf("no agreement")
		}
	})
}

// Five processes begin while datagrams are lost, and the third dies at once: those that
// knew nobody else but it are no island.
func TestNoIslandsAreLeftFromTheStart(t *testing.T) {
	for seed := range uint64(60) {
		s := newSim(5, seed)
		s.lost, s.doubled = func(int, int) float64 { return 0.125 }, 0.2
		s.delay = func() time.Duration { return time.Duration(s.rng.IntN(1)) }
		s.run(300 * time.Millisecond)
		s.kill(2)
		s.lost, s.doubled = func(int, int) float64 { return 0 }, 0
		if s.until(2 * time.Minute); !s.agree() {
			t.Fatalf("seed %d: no agreement", seed)
		}
	}
}

// A flood of datagrams, each of which is answered, spends the budget for news far beyond what it has. A process that missed a
// restart meanwhile hears of it soon after all the same, also where other talk spares nearly all probes.
func TestAFloodDoesNotSpendTheBudgetOfLater(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(6, seed)
		s.until(time.Minute)
		flooded := s.now + 30*time.Second
		var flood, talk func()
		flood = func() {
			for to := range 5 {
				s.arrive(5, to, (&message{kind: ping, id: 6, life: Incarnation(1000 + s.life[5]), target: ID(to + 1)}).append(nil))
			}
			if s.now < flooded {
				s.plan(9*time.Millisecond, flood)
			}
		}
		talk = func() {
			for i := range s.nodes {
				for k := range s.nodes {
					if i != k && s.up[i] && s.up[k] {
						s.do(i, PeerActive{ID(k + 1)})
					}
				}
			}
			s.plan(300*time.Millisecond, talk)
		}
		flood()
		talk()
		s.run(5 * time.Second)
		s.lost = func(_, to int) float64 { return map[bool]float64{true: 1}[to == 0] }
		s.kill(3)
		s.start(3)
		s.run(flooded - s.now)
		s.lost = func(int, int) float64 { return 0 }
		if took := s.until(2 * time.Minute); took > 15*time.Second {
			t.Errorf("seed %d: all agree %v after the flood", seed, took)
		}
	}
}

func FuzzHear(f *testing.F) {
	f.Add((&message{kind: pingFor, id: 2, life: 1, target: 3, at: addr(2), updates: []said{{Gone, 3, 1, 1, addr(2)}}}).append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newSim(3, 1)
		s.run(5 * time.Second)
		s.do(0, DatagramReceived{addr(1), data})
		s.run(time.Second)
		if m, err := parse(data); err == nil {
			if again, err := parse(m.append(nil)); err != nil || fmt.Sprint(again) != fmt.Sprint(m) {
				t.Errorf("what was read is not what is written: %v", err)
			}
		}
	})
}
