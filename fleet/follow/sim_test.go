package follow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ivylock/fleet/version"
)

// sim is a fleet of agents under virtual time, with a source that may be cut off
// and datagrams that may be lost, late and doubled.
type sim struct {
	t        testing.TB
	rng      *rand.Rand
	now      Time
	queue    planned
	seq      int
	agents   []*Agent
	stopped  []bool
	cut      []bool                     // from the source
	lost     func(from, to int) float64 // part of datagrams
	delay    func(from, to int) time.Duration
	skew     []time.Duration // of clocks
	doubled  float64
	lag      []time.Duration // of the source to a process
	list     map[string]version.State
	gen      uint64
	frozen   bool
	calls    []int
	lastAt   []Time // last tick of a process
	liar     func(from, to int, data []byte) []byte
	bytes    int
	standing map[Mode]int
}

type plan struct {
	at  Time
	seq int
	do  func()
}
type planned []plan

func (p planned) Len() int { return len(p) }
func (p planned) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p planned) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *planned) Push(x any)   { *p = append(*p, x.(plan)) }
func (p *planned) Pop() any {
	n := len(*p) - 1
	x := (*p)[n]
	*p = (*p)[:n]
	return x
}

const began = 1_800_000_000 * time.Second

func newSim(t testing.TB, n, servers int, seed uint64) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: began, stopped: make([]bool, n), cut: make([]bool, n), skew: make([]time.Duration, n),
		lag: make([]time.Duration, n), calls: make([]int, n), lastAt: make([]Time, n), gen: 40, list: map[string]version.State{}, standing: map[Mode]int{}}
	s.lost = func(int, int) float64 { return 0 }
	s.delay = func(int, int) time.Duration { return time.Duration(3+s.rng.IntN(4)) * time.Millisecond }
	for i := range servers {
		s.list[fmt.Sprintf("s-%d", i)] = version.Up
	}
	for i := range n {
		s.agents = append(s.agents, New(DefaultSettings(), StaticFleet{n, i}, s.now, int64(seed)*1000+int64(i), fmt.Sprintf("n%d", i), 7, 9))
		s.start(i)
	}
	return s
}

// start gives a process its first list and its ticks.
func (s *sim) start(i int) {
	s.handle(i, s.whole(Cached))
	s.lastAt[i] = s.now
	s.after(time.Duration(s.rng.IntN(100))*time.Millisecond, func() { s.ticks(i) })
	s.after(time.Duration(s.rng.IntN(1000))*time.Millisecond, func() { s.watch(i) })
}

func (s *sim) at(t Time, do func()) {
	s.seq++
	heap.Push(&s.queue, plan{t, s.seq, do})
}
func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

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

func (s *sim) ticks(i int) {
	s.after(100*time.Millisecond, func() { s.ticks(i) })
	if s.stopped[i] {
		return
	}
	if gap := s.now - s.lastAt[i]; gap > DefaultSettings().PauseThreshold {
		s.handle(i, Resumed{gap})
	}
	s.lastAt[i] = s.now
	s.handle(i, Tick{})
	st, _ := s.agents[i].Mode()
	s.standing[st]++
}

// watch is a call of the watch: answered each second where the source is in reach.
func (s *sim) watch(i int) {
	s.after(time.Second, func() { s.watch(i) })
	s.tell(i)
}

func (s *sim) tell(i int) {
	if s.cut[i] || s.stopped[i] || s.frozen {
		return
	}
	l := s.whole(Full)
	s.seq++
	call := s.seq
	s.after(s.lag[i]+time.Duration(1+s.rng.IntN(20))*time.Millisecond, func() {
		if !s.stopped[i] && !s.cut[i] && s.calls[i] < call { // a watch tells in order
			s.calls[i] = call
			s.handle(i, l)
		}
	})
}

func (s *sim) whole(k ListKind) ListReceived {
	l := ListReceived{Kind: k, Generation: s.gen}
	for i := range len(s.list) + 64 {
		name := fmt.Sprintf("s-%d", i)
		if st, known := s.list[name]; known && st != version.Removed {
			l.Entries = append(l.Entries, Entry{Name: name, State: st})
		}
	}
	return l
}

// set changes the list; all that are in reach hear of it at once.
func (s *sim) set(st version.State, names ...string) {
	s.gen++
	for _, n := range names {
		s.list[n] = st
	}
	for i := range s.agents {
		s.tell(i)
	}
}

func (s *sim) handle(i int, e Event) {
	for _, a := range s.agents[i].Handle(s.now+s.skew[i], e) {
		switch a := a.(type) {
		case Send:
			s.send(i, a.To, append([]byte(nil), a.Data...))
		case QuerySource:
			s.tell(i)
		}
	}
}

func (s *sim) send(from, to int, data []byte) {
	s.bytes += len(data)
	if len(data) > MaxDatagram {
		s.t.Fatalf("a datagram of %d bytes", len(data))
	}
	if s.liar != nil {
		if data = s.liar(from, to, data); data == nil {
			return
		}
	}
	times := 1
	if s.rng.Float64() < s.doubled {
		times = 2
	}
	for range times {
		if s.rng.Float64() < s.lost(from, to) {
			continue
		}
		s.after(s.delay(from, to), func() { s.arrive(from, to, data) })
	}
}

// arrive hands a datagram over, to a stopped process when it goes on.
func (s *sim) arrive(from, to int, data []byte) {
	if s.stopped[to] {
		s.after(10*time.Millisecond, func() { s.arrive(from, to, data) })
		return
	}
	if gap := s.now - s.lastAt[to]; gap > DefaultSettings().PauseThreshold { // as a loop does before all that waited
		s.handle(to, Resumed{gap})
		s.lastAt[to] = s.now
	}
	s.handle(to, DatagramReceived{from, data})
}

func (s *sim) stop(i int, d time.Duration) {
	s.stopped[i] = true
	s.after(d, func() { s.stopped[i] = false })
}

func (s *sim) standingOf(i int) Mode { st, _ := s.agents[i].Mode(); return st }

// outAt runs until a process does not use a server and gives how long it took.
func (s *sim) outAt(i int, name string, most time.Duration) time.Duration {
	from := s.now
	for s.now-from < most {
		if s.agents[i].Withdrawn(name) || s.agents[i].entries[version.KeyOf(name)].state != version.Up {
			return s.now - from
		}
		s.run(5 * time.Millisecond)
	}
	return most
}
