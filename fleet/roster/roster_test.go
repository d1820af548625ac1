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

// sim runs a fleet of rosters in virtual time.
type sim struct {
	rng             *rand.Rand
	now             Time
	seq             int
	queue           timerQueue
	nodes           []*Roster
	nodeByAddr      map[netip.AddrPort]int
	incarnation     []int // number of starts of each process
	up              []bool
	pausedUntil     []Time
	lastTick        []Time
	lossRate        func(from, to int) float64
	delay           func() time.Duration
	duplicateRate   float64
	falseSuspicions int           // suspicions of running processes
	falseGone       map[ID]int    // how often a running process was declared gone
	goneLearnedAt   map[ID][]Time // when others declared a killed process gone
	starved         []bool        // of CPU: ticks are delivered at random intervals
}

type timer struct {
	at  Time
	seq int
	do  func()
}
type timerQueue []timer

func (p timerQueue) Len() int { return len(p) }
func (p timerQueue) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p timerQueue) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *timerQueue) Push(x any)   { *p = append(*p, x.(timer)) }
func (p *timerQueue) Pop() any {
	n := len(*p) - 1
	x := (*p)[n]
	*p = (*p)[:n]
	return x
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7946)
}

func newSim(n int, seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, nodeByAddr: map[netip.AddrPort]int{}, falseGone: map[ID]int{}, goneLearnedAt: map[ID][]Time{}}
	s.lossRate = func(int, int) float64 { return 0 }
	s.delay = func() time.Duration { return time.Duration(2+s.rng.IntN(6)) * time.Millisecond }
	for range n {
		s.join()
	}
	return s
}

// join starts another process with two seeds.
func (s *sim) join() int {
	i := len(s.nodes)
	s.nodes, s.incarnation, s.up = append(s.nodes, nil), append(s.incarnation, 0), append(s.up, false)
	s.pausedUntil, s.lastTick, s.starved = append(s.pausedUntil, 0), append(s.lastTick, 0), append(s.starved, false)
	s.nodeByAddr[addr(i)] = i
	s.start(i)
	return i
}

func (s *sim) start(i int) {
	s.incarnation[i]++
	s.up[i] = true
	settings := Defaults()
	settings.AllowedPrefixes = []netip.Prefix{netip.MustParsePrefix("127.1.0.0/16")}
	var seeds []netip.AddrPort
	for _, k := range []int{0, 1, 2} {
		if k != i && len(seeds) < 2 {
			seeds = append(seeds, addr(k))
		}
	}
	s.nodes[i] = New(settings, Member{ID: ID(i + 1), Addr: addr(i), Incarnation: Incarnation(1000 + s.incarnation[i])}, seeds, s.now, int64(i)*1000+int64(s.incarnation[i]))
	s.lastTick[i] = s.now
	s.tick(i, s.incarnation[i])
}

func (s *sim) kill(i int) { s.up[i] = false; s.incarnation[i] += 0 }

func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, timer{s.now + d, s.seq, do})
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return
		}
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.do()
	}
}

func (s *sim) tick(i, incarnation int) {
	if s.incarnation[i] != incarnation || !s.up[i] {
		return
	}
	next := 100 * time.Millisecond
	if s.starved[i] { // ticks at random intervals
		next = time.Duration(s.rng.IntN(1200)) * time.Millisecond
		s.pausedUntil[i] = s.now + next - 1
	}
	s.schedule(next, func() { s.tick(i, incarnation) })
	if s.now < s.pausedUntil[i] && !s.starved[i] {
		return
	}
	if gap := s.now - s.lastTick[i]; gap > 400*time.Millisecond {
		s.inject(i, Resumed{gap})
	}
	s.lastTick[i] = s.now
	s.inject(i, Tick{})
}

func (s *sim) inject(i int, e Event) {
	for _, a := range s.nodes[i].Handle(s.now, e) {
		switch a := a.(type) {
		case Send:
			s.send(i, a.To, bytes.Clone(a.Data))
		case StatusChanged:
			if k := int(a.ID) - 1; a.Status == Suspect && k >= 0 && k < len(s.up) && s.up[k] {
				s.falseSuspicions++
			}
			if k := int(a.ID) - 1; a.Status == Gone && k >= 0 && k < len(s.up) {
				if s.up[k] && s.incarnation[k] == int(a.Incarnation) {
					s.falseGone[a.ID]++
				} else {
					s.goneLearnedAt[a.ID] = append(s.goneLearnedAt[a.ID], s.now)
				}
			}
		}
	}
}

func (s *sim) send(from int, to netip.AddrPort, data []byte) {
	k, known := s.nodeByAddr[to]
	if !known || len(data) > MaxDatagram {
		return
	}
	copies := 1
	if s.rng.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() >= s.lossRate(from, k) {
			s.schedule(s.delay(), func() { s.deliver(from, k, data) })
		}
	}
}

func (s *sim) deliver(from, to int, data []byte) {
	switch {
	case !s.up[to]:
	case s.now < s.pausedUntil[to]:
		s.schedule(s.pausedUntil[to]-s.now+1, func() { s.deliver(from, to, data) })
	default:
		if gap := s.now - s.lastTick[to]; gap > 400*time.Millisecond {
			s.inject(to, Resumed{gap})
			s.lastTick[to] = s.now
		}
		s.inject(to, DatagramReceived{addr(from), data})
	}
}

// converged reports whether all running processes agree on the live members.
func (s *sim) converged() bool {
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

func (s *sim) runUntilConverged(limit time.Duration) time.Duration {
	start := s.now
	for !s.converged() && s.now-start < limit {
		s.run(100 * time.Millisecond)
	}
	return s.now - start
}

var large = flag.Bool("roster-large", false, "fleets of 150 to 1,000 processes too")
var huge = flag.Bool("roster-huge", false, "1,000 processes too")

// Checks join time, detection time, bandwidth and false positives by fleet size and loss.
func TestConvergenceBySizeAndLoss(t *testing.T) {
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
			s.lossRate = func(int, int) float64 { return loss }
			joinTime := s.runUntilConverged(2 * time.Minute)
			before, falseSuspicions := s.nodes[n-1].counts, s.falseSuspicions
			s.run(30 * time.Second)
			after, suspicionsPerHour := s.nodes[n-1].counts, float64(s.falseSuspicions-falseSuspicions)*120/float64(n)
			dead := n / 2
			s.kill(dead)
			killedAt := s.now
			detectionTime := s.runUntilConverged(2 * time.Minute)
			firstDetection := time.Duration(-1)
			if times := s.goneLearnedAt[ID(dead+1)]; len(times) > 0 {
				firstDetection = times[0] - killedAt
			}
			t.Logf("%4d processes, loss %.1f: joined after %v; death detected first after %v, by all after %v; %.0f bytes and %.1f datagrams per second; %d live processes declared gone; %.0f false suspicions per process and hour", n, loss,
				joinTime.Round(100*time.Millisecond), firstDetection.Round(100*time.Millisecond), detectionTime.Round(100*time.Millisecond), float64(after.Bytes-before.Bytes)/30, float64(after.Datagrams-before.Datagrams)/30, len(s.falseGone), suspicionsPerHour)
			if len(s.falseGone) > 0 && (loss < 0.3 || len(s.falseGone) > n/50) || !s.converged() || detectionTime > 2*time.Minute || float64(after.Bytes-before.Bytes)/30 > 1800 {
				t.Errorf("%d processes, loss %.1f: live processes declared gone: %v; views agree: %v after %v", n, loss, s.falseGone, s.converged(), detectionTime)
			}
		}
	}
}

// Views must converge after partitions, restarts, pauses, starvation and faulty members,
// without declaring live processes gone.
func TestConvergenceAfterFaults(t *testing.T) {
	for _, x := range []struct {
		name   string
		inject func(s *sim)
		check  func(t *testing.T, s *sim)
	}{
		{"partition into 4 and 8, healed", func(s *sim) {
			s.lossRate = func(a, b int) float64 { return map[bool]float64{true: 1}[(a < 4) != (b < 4)] }
			s.run(90 * time.Second)
		}, func(t *testing.T, s *sim) {
			if s.nodes[0].HasMajority() || !s.nodes[11].HasMajority() {
				t.Error("the smaller side has a majority, or the larger has none")
			}
			if s.nodes[0].AliveCount() != 4 || s.nodes[11].AliveCount() != 8 {
				t.Errorf("sides see %d and %d alive, want 4 and 8", s.nodes[0].AliveCount(), s.nodes[11].AliveCount())
			}
			s.falseGone = map[ID]int{} // the two sides rightly declared each other gone
			s.lossRate = func(int, int) float64 { return 0 }
		}},
		{"8 of 12 killed at once and restarted", func(s *sim) {
			for i := range 8 {
				s.kill(i)
			}
			s.run(60 * time.Second)
			for i := range 8 {
				s.start(i)
			}
		}, func(*testing.T, *sim) {}},
		{"quick restart under the same ID", func(s *sim) { s.kill(5); s.run(500 * time.Millisecond); s.start(5); s.run(3 * time.Second) }, func(t *testing.T, s *sim) {
			for i := range 12 {
				for _, m := range s.nodes[i].Members() {
					if m.ID == 6 && (m.Incarnation != 1002 || m.Status != Alive) {
						t.Errorf("node %d sees incarnation %d, %v, want 1002, alive", i, m.Incarnation, m.Status)
					}
				}
			}
		}},
		{"restart with the clock set back by a minute", func(s *sim) { s.kill(5); s.run(2 * time.Second); s.incarnation[5] -= 60; s.start(5) }, func(*testing.T, *sim) {}},
		{"orderly leave and restart within a second", func(s *sim) {
			s.inject(5, Leaving{})
			s.kill(5)
			s.run(400 * time.Millisecond)
			s.incarnation[5]--
			s.start(5)
		}, func(*testing.T, *sim) {}},
		{"datagrams 3 s late for a minute", func(s *sim) {
			s.delay = func() time.Duration { return time.Duration(2500+s.rng.IntN(1000)) * time.Millisecond }
			s.run(time.Minute)
			s.delay = func() time.Duration { return 5 * time.Millisecond }
			s.falseGone = map[ID]int{} // the delay exceeds any suspicion timeout, like a crash
		}, func(*testing.T, *sim) {}},
		{"process paused for 3 s", func(s *sim) { s.pausedUntil[3] = s.now + 3*time.Second; s.run(20 * time.Second) }, func(*testing.T, *sim) {}},
		{"loss in one direction only", func(s *sim) {
			s.lossRate = func(a, _ int) float64 { return map[bool]float64{true: 0.5}[a == 2] }
			s.run(60 * time.Second)
			s.lossRate = func(int, int) float64 { return 0 }
		}, func(*testing.T, *sim) {}},
		{"starved of CPU", func(s *sim) { s.starved[7] = true; s.run(90 * time.Second); s.starved[7] = false }, func(t *testing.T, s *sim) {
			for id := range s.falseGone {
				if id != 8 {
					t.Errorf("healthy process %d was declared gone", id)
				}
			}
			s.falseGone = map[ID]int{}
		}},
		{"faulty member reports all others gone", func(s *sim) {
			for range 200 {
				s.run(100 * time.Millisecond)
				m := message{kind: ping, id: 1, incarnation: 1001, refutations: 0}
				for id := ID(2); id < 12; id++ {
					m.updates = append(m.updates, update{Gone, id, 1001, 1000, addr(0)})
				}
				for to := 1; to < 12; to++ {
					s.deliver(0, to, m.append(nil))
				}
			}
		}, func(*testing.T, *sim) {}},
		{"faulty member claims all IDs", func(s *sim) {
			for k := range 200 {
				s.run(50 * time.Millisecond)
				m := message{kind: ping, id: 1, incarnation: 1001, updates: []update{{Alive, ID(2 + k%11), 1900, 1, addr(0)}, {Left, ID(2 + k%11), 1001, 9, addr(0)}}}
				s.deliver(0, 1+k%11, m.append(nil))
				s.deliver(0, 1+k%11, (&message{kind: ping, id: ID(2 + k%11), incarnation: 1001}).append(nil))
			}
		}, func(*testing.T, *sim) {}},
		{"grown from 12 to 36, shrunk to 6", func(s *sim) {
			for range 24 {
				s.join()
				s.run(200 * time.Millisecond)
			}
			s.runUntilConverged(time.Minute)
			for i := 6; i < 36; i++ {
				s.kill(i)
			}
		}, func(*testing.T, *sim) {}},
		{"oversized datagrams and unknown senders", func(s *sim) {
			for range 50 {
				s.inject(3, DatagramReceived{addr(4), make([]byte, 300)})
				s.inject(3, DatagramReceived{netip.MustParseAddrPort("127.9.9.9:1"), (&message{kind: ping, id: 99}).append(nil)})
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
				if s.runUntilConverged(time.Minute); !s.converged() {
					t.Fatal("members do not converge at the start")
				}
				x.inject(s)
				x.check(t, s)
				if took := s.runUntilConverged(3 * time.Minute); !s.converged() {
					t.Errorf("seed %d: views differ after %v", seed, took)
				}
				if len(s.falseGone) > 0 {
					t.Errorf("seed %d: live processes declared gone: %v", seed, s.falseGone)
				}
			}
		})
	}
}

// Views must converge after any sequence of crashes, restarts and losses.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(r, "processes")
		s := newSim(n, rapid.Uint64().Draw(r, "seed"))
		loss := rapid.Float64Range(0, 0.4).Draw(r, "loss")
		s.lossRate, s.duplicateRate = func(int, int) float64 { return loss }, 0.2
		maxDelayMillis := rapid.IntRange(0, 250).Draw(r, "late")
		s.delay = func() time.Duration { return time.Duration(s.rng.IntN(maxDelayMillis+1)) * time.Millisecond }
		for range rapid.IntRange(0, 8).Draw(r, "events") {
			s.run(time.Duration(rapid.IntRange(0, 20000).Draw(r, "later")) * time.Millisecond)
			switch i := rapid.IntRange(0, n-1).Draw(r, "who"); {
			case s.up[i] && slices.Index(s.up, true) != i:
				s.kill(i)
			case !s.up[i]:
				s.start(i)
			}
		}
		s.lossRate, s.duplicateRate = func(int, int) float64 { return 0 }, 0
		if s.runUntilConverged(5 * time.Minute); !s.converged() {
			r.Fatalf("views differ after 5 minutes")
		}
	})
}

// Processes whose only known seed died during a start with packet loss must still find the
// others.
func TestLossyStartLeavesNoIsolatedGroups(t *testing.T) {
	for seed := range uint64(60) {
		s := newSim(5, seed)
		s.lossRate, s.duplicateRate = func(int, int) float64 { return 0.125 }, 0.2
		s.delay = func() time.Duration { return time.Duration(s.rng.IntN(1)) }
		s.run(300 * time.Millisecond)
		s.kill(2)
		s.lossRate, s.duplicateRate = func(int, int) float64 { return 0 }, 0
		if s.runUntilConverged(2 * time.Minute); !s.converged() {
			t.Fatalf("seed %d: views differ after 2 minutes", seed)
		}
	}
}

// Answering a flood of datagrams overdraws the byte budget; a process that missed a restart
// meanwhile must still learn of it soon, even if other traffic replaces nearly all probes.
func TestFloodDoesNotDelayLaterUpdates(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(6, seed)
		s.runUntilConverged(time.Minute)
		floodEnd := s.now + 30*time.Second
		var flood, traffic func()
		flood = func() {
			for to := range 5 {
				s.deliver(5, to, (&message{kind: ping, id: 6, incarnation: Incarnation(1000 + s.incarnation[5]), target: ID(to + 1)}).append(nil))
			}
			if s.now < floodEnd {
				s.schedule(9*time.Millisecond, flood)
			}
		}
		traffic = func() {
			for i := range s.nodes {
				for k := range s.nodes {
					if i != k && s.up[i] && s.up[k] {
						s.inject(i, PeerActive{ID(k + 1)})
					}
				}
			}
			s.schedule(300*time.Millisecond, traffic)
		}
		flood()
		traffic()
		s.run(5 * time.Second)
		s.lossRate = func(_, to int) float64 { return map[bool]float64{true: 1}[to == 0] }
		s.kill(3)
		s.start(3)
		s.run(floodEnd - s.now)
		s.lossRate = func(int, int) float64 { return 0 }
		if took := s.runUntilConverged(2 * time.Minute); took > 15*time.Second {
			t.Errorf("seed %d: views converged %v after the flood, want 15 s at most", seed, took)
		}
	}
}

func FuzzHandleDatagram(f *testing.F) {
	f.Add((&message{kind: pingRequest, id: 2, incarnation: 1, target: 3, targetAddr: addr(2), updates: []update{{Gone, 3, 1, 1, addr(2)}}}).append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newSim(3, 1)
		s.run(5 * time.Second)
		s.inject(0, DatagramReceived{addr(1), data})
		s.run(time.Second)
		if m, err := parse(data); err == nil {
			if decoded, err := parse(m.append(nil)); err != nil || fmt.Sprint(decoded) != fmt.Sprint(m) {
				t.Errorf("re-encoded datagram differs from what was parsed: %v", err)
			}
		}
	})
}
