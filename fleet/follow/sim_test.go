package follow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ivylock/fleet/version"
)

// sim simulates a fleet of agents in virtual time. Processes can be cut off from the
// source; datagrams can be lost, delayed and duplicated.
type sim struct {
	t             testing.TB
	rng           *rand.Rand
	now           Time
	queue         eventQueue
	seq           int
	agents        []*Agent
	paused        []bool
	cut           []bool                     // from the source
	lossRate      func(from, to int) float64 // fraction of datagrams lost
	delay         func(from, to int) time.Duration
	skew          []time.Duration // of clocks
	duplicateRate float64
	lag           []time.Duration // delay from the source to a process
	list          map[string]version.State
	generation    uint64
	sourceFrozen  bool
	lastCall      []int                                  // sequence number of the last list delivered
	lastTick      []Time                                 // of each process
	tamper        func(from, to int, data []byte) []byte // modifies a datagram; nil drops it
	bytes         int
	modeTicks     map[Mode]int // number of ticks by mode
}

type scheduledEvent struct {
	at  Time
	seq int
	do  func()
}
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	*q = (*q)[:n]
	return x
}

const startTime = 1_800_000_000 * time.Second

func newSim(t testing.TB, processes, servers int, seed uint64) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, paused: make([]bool, processes), cut: make([]bool, processes), skew: make([]time.Duration, processes),
		lag: make([]time.Duration, processes), lastCall: make([]int, processes), lastTick: make([]Time, processes), generation: 40, list: map[string]version.State{}, modeTicks: map[Mode]int{}}
	s.lossRate = func(int, int) float64 { return 0 }
	s.delay = func(int, int) time.Duration { return time.Duration(3+s.rng.IntN(4)) * time.Millisecond }
	for i := range servers {
		s.list[fmt.Sprintf("s-%d", i)] = version.Up
	}
	for i := range processes {
		s.agents = append(s.agents, New(DefaultSettings(), StaticFleet{processes, i}, s.now, int64(seed)*1000+int64(i), fmt.Sprintf("n%d", i), 7, 9))
		s.start(i)
	}
	return s
}

// start delivers the first list to a process and schedules its ticks.
func (s *sim) start(i int) {
	s.handle(i, s.fullList(Cached))
	s.lastTick[i] = s.now
	s.scheduleAfter(time.Duration(s.rng.IntN(100))*time.Millisecond, func() { s.tickLoop(i) })
	s.scheduleAfter(time.Duration(s.rng.IntN(1000))*time.Millisecond, func() { s.pollLoop(i) })
}

func (s *sim) scheduleAt(t Time, do func()) {
	s.seq++
	heap.Push(&s.queue, scheduledEvent{t, s.seq, do})
}
func (s *sim) scheduleAfter(d time.Duration, do func()) { s.scheduleAt(s.now+d, do) }

func (s *sim) run(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return
		}
		event := heap.Pop(&s.queue).(scheduledEvent)
		s.now = event.at
		event.do()
	}
}

func (s *sim) tickLoop(i int) {
	s.scheduleAfter(100*time.Millisecond, func() { s.tickLoop(i) })
	if s.paused[i] {
		return
	}
	if gap := s.now - s.lastTick[i]; gap > DefaultSettings().PauseThreshold {
		s.handle(i, Resumed{gap})
	}
	s.lastTick[i] = s.now
	s.handle(i, Tick{})
	mode, _ := s.agents[i].Mode()
	s.modeTicks[mode]++
}

// pollLoop delivers the list every second while the source is reachable.
func (s *sim) pollLoop(i int) {
	s.scheduleAfter(time.Second, func() { s.pollLoop(i) })
	s.deliverList(i)
}

func (s *sim) deliverList(i int) {
	if s.cut[i] || s.paused[i] || s.sourceFrozen {
		return
	}
	l := s.fullList(Full)
	s.seq++
	call := s.seq
	s.scheduleAfter(s.lag[i]+time.Duration(1+s.rng.IntN(20))*time.Millisecond, func() {
		if !s.paused[i] && !s.cut[i] && s.lastCall[i] < call { // an older list never follows a newer one
			s.lastCall[i] = call
			s.handle(i, l)
		}
	})
}

func (s *sim) fullList(k ListKind) ListReceived {
	l := ListReceived{Kind: k, Generation: s.generation}
	for i := range len(s.list) + 64 {
		name := fmt.Sprintf("s-%d", i)
		if st, known := s.list[name]; known && st != version.Removed {
			l.Entries = append(l.Entries, Entry{Name: name, State: st})
		}
	}
	return l
}

// setState changes the list and notifies all processes that are reachable.
func (s *sim) setState(st version.State, names ...string) {
	s.generation++
	for _, n := range names {
		s.list[n] = st
	}
	for i := range s.agents {
		s.deliverList(i)
	}
}

func (s *sim) handle(i int, e Event) {
	for _, a := range s.agents[i].Handle(s.now+s.skew[i], e) {
		switch a := a.(type) {
		case Send:
			s.send(i, a.To, append([]byte(nil), a.Data...))
		case QuerySource:
			s.deliverList(i)
		}
	}
}

func (s *sim) send(from, to int, data []byte) {
	s.bytes += len(data)
	if len(data) > MaxDatagram {
		s.t.Fatalf("a datagram of %d bytes exceeds the limit", len(data))
	}
	if s.tamper != nil {
		if data = s.tamper(from, to, data); data == nil {
			return
		}
	}
	times := 1
	if s.rng.Float64() < s.duplicateRate {
		times = 2
	}
	for range times {
		if s.rng.Float64() < s.lossRate(from, to) {
			continue
		}
		s.scheduleAfter(s.delay(from, to), func() { s.arrive(from, to, data) })
	}
}

// arrive delivers a datagram. A paused process receives it after it has resumed.
func (s *sim) arrive(from, to int, data []byte) {
	if s.paused[to] {
		s.scheduleAfter(10*time.Millisecond, func() { s.arrive(from, to, data) })
		return
	}
	// A resumed process handles the pause before queued events.
	if gap := s.now - s.lastTick[to]; gap > DefaultSettings().PauseThreshold {
		s.handle(to, Resumed{gap})
		s.lastTick[to] = s.now
	}
	s.handle(to, DatagramReceived{from, data})
}

func (s *sim) pause(i int, d time.Duration) {
	s.paused[i] = true
	s.scheduleAfter(d, func() { s.paused[i] = false })
}

func (s *sim) modeOf(i int) Mode { mode, _ := s.agents[i].Mode(); return mode }

// timeUntilWithdrawn runs until a process no longer uses a server and returns the time
// it took.
func (s *sim) timeUntilWithdrawn(i int, name string, limit time.Duration) time.Duration {
	start := s.now
	for s.now-start < limit {
		if s.agents[i].Withdrawn(name) || s.agents[i].entries[version.KeyOf(name)].state != version.Up {
			return s.now - start
		}
		s.run(5 * time.Millisecond)
	}
	return limit
}
