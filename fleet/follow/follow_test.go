package follow

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"ivylock/fleet/version"

	"pgregory.net/rapid"
)

// A process that is cut off from the source does not use a drained server any more
// within half a second, as long as a neighbour is in reach, whatever the loss.
func TestAStragglerIsBroughtUp(t *testing.T) {
	for _, x := range []struct {
		loss  float64
		delay time.Duration
		worst time.Duration
		share float64 // of 100 drains within half a second
	}{{0, 0, 100 * time.Millisecond, 1}, {0.1, 0, 500 * time.Millisecond, 1}, {0.4, 0, 1200 * time.Millisecond, 0.99}, {0, time.Second, 1200 * time.Millisecond, 0}} {
		var took []time.Duration
		for seed := range uint64(100) {
			s := newSim(t, 9, 12, seed)
			s.lost = func(int, int) float64 { return x.loss }
			if x.delay > 0 { // a second late, and reordered
				s.delay = func(int, int) time.Duration { return x.delay + time.Duration(s.rng.IntN(100))*time.Millisecond }
			}
			s.run(3 * time.Second)
			s.cut[4] = true
			s.run(500 * time.Millisecond)
			s.set(version.Draining, "s-1", "s-2")
			took = append(took, s.outAt(4, "s-1", 5*time.Second))
		}
		slices.Sort(took)
		n := 0
		for _, d := range took {
			if d <= 500*time.Millisecond {
				n++
			}
		}
		t.Logf("loss %.1f, delay %v: p50 %v, p99 %v, worst %v", x.loss, x.delay, took[49], took[98], took[99])
		if worst := took[99]; worst > x.worst || float64(n) < 100*x.share {
			t.Errorf("loss %.1f, delay %v: worst %v, %d of 100 within 0.5 s", x.loss, x.delay, worst, n)
		}
	}
}

// What it has missed for long it asks for, also what the log of its neighbours
// does not reach back to, and through one neighbour alone that is cut off itself.
func TestWhatWasMissedIsAskedFor(t *testing.T) {
	s := newSim(t, 9, 200, 3)
	s.run(3 * time.Second)
	s.cut[4] = true
	deaf := true
	s.lost = func(from, to int) float64 {
		if deaf && (to == 4 || from == 4) {
			return 1
		}
		return 0
	}
	for i := range 40 {
		s.set(version.Removed, fmt.Sprintf("s-%d", i))
		s.run(50 * time.Millisecond)
	}
	for i := range 9 {
		s.agents[i].floor = s.agents[i].vector.List // as if the log had run over
		s.agents[i].log = nil
	}
	deaf = false
	if took := s.outAt(4, "s-39", 5*time.Second); took > 2*time.Second {
		t.Errorf("the newest withdrawal took %v", took)
	}
	s.outAt(4, "s-0", time.Second)
	for i := range 40 {
		if !s.agents[4].Withdrawn(fmt.Sprintf("s-%d", i)) {
			t.Fatalf("s-%d is still used", i)
		}
	}
	if s.agents[4].Withdrawn("s-77") {
		t.Error("a server is out that nobody withdrew")
	}
	s.run(3 * time.Second)
	if st := s.standingOf(4); st != Current {
		t.Errorf("it acts on all withdrawals and stands %v", st)
	}
	s.cut[4] = false
	s.run(2 * time.Second)
	if s.agents[4].Withdrawn("s-3") || len(s.agents[4].held) > 0 {
		t.Error("its own source has spoken, and words of neighbours still hold")
	}
}

// What gives work waits for the own source.
func TestWhatGivesWorkWaitsForTheOwnSource(t *testing.T) {
	s := newSim(t, 9, 12, 5)
	s.run(2 * time.Second)
	s.cut[4] = true
	s.set(version.Draining, "s-1")
	s.outAt(4, "s-1", time.Second)
	s.set(version.Up, "s-1")
	s.run(3 * time.Second)
	if !s.agents[4].Withdrawn("s-1") {
		t.Error("a neighbour's word gave work")
	}
	s.cut[4] = false
	s.run(1500 * time.Millisecond)
	if s.agents[4].Withdrawn("s-1") {
		t.Error("the own source's word does not hold")
	}
}

// How processes stand under each kind of cut, and that they come back.
func TestWhoIsShutOut(t *testing.T) {
	for _, x := range []struct {
		name  string
		nodes int
		cut   func(s *sim) // what is done to node 0, or to all
		at    time.Duration
		want  Mode // of node 0
		rest  Mode // of the others
	}{
		{"cut off from both", 9, func(s *sim) { s.cut[0] = true; s.lost = only(0, 1) }, 7 * time.Second, Closed, Current},
		{"the same, a little earlier", 9, func(s *sim) { s.cut[0] = true; s.lost = only(0, 1) }, 4500 * time.Millisecond, Narrowed, Current},
		{"from the source alone", 9, func(s *sim) { s.cut[0] = true }, 12 * time.Second, Current, Current},
		{"from neighbours alone", 9, func(s *sim) { s.lost = only(0, 1) }, 12 * time.Second, Current, Current},
		{"the source alone, 40% lost", 9, func(s *sim) { s.cut[0] = true; s.lost = func(int, int) float64 { return 0.4 } }, 12 * time.Second, Current, Current},
		{"hears, is not heard", 9, func(s *sim) {
			s.cut[0] = true
			s.lost = func(from, _ int) float64 { return map[bool]float64{true: 1}[from == 0] }
		}, 12 * time.Second, Current, Current},
		{"is heard, does not hear", 9, func(s *sim) {
			s.cut[0] = true
			s.lost = func(_, to int) float64 { return map[bool]float64{true: 1}[to == 0] }
		}, 12 * time.Second, Closed, Current},
		{"the source is frozen", 9, func(s *sim) { s.frozen = true }, 30 * time.Second, Held, Held},
		{"frozen, 40% lost", 9, func(s *sim) { s.frozen = true; s.lost = func(int, int) float64 { return 0.4 } }, 30 * time.Second, Held, Held},
		{"frozen, 60 processes", 60, func(s *sim) { s.frozen = true }, 30 * time.Second, Held, Held},
		{"a third is cut off", 9, func(s *sim) {
			for i := range 3 {
				s.cut[i] = true
			}
			s.lost = func(from, to int) float64 { return map[bool]float64{true: 1}[(from < 3) != (to < 3)] }
		}, 8 * time.Second, Closed, Current},
		{"alone", 1, func(s *sim) { s.frozen = true }, 30 * time.Second, Current, Current},
	} {
		for seed := range uint64(20) {
			s := newSim(t, x.nodes, 12, seed)
			s.run(3 * time.Second)
			x.cut(s)
			s.run(x.at)
			if got := s.standingOf(0); got != x.want {
				t.Errorf("%s, seed %d: stands %v, want %v", x.name, seed, got, x.want)
			}
			for i := max(1, x.nodes-2); i < x.nodes; i++ {
				if got := s.standingOf(i); got != x.rest {
					t.Errorf("%s, seed %d: node %d stands %v, want %v", x.name, seed, i, got, x.rest)
				}
			}
			clear(s.cut)
			s.frozen, s.lost = false, func(int, int) float64 { return 0 }
			s.run(3 * time.Second)
			if got := s.standingOf(0); got != Current {
				t.Errorf("%s, seed %d: healed, it stands %v", x.name, seed, got)
			}
		}
	}
}

func only(node int, loss float64) func(int, int) float64 {
	return func(from, to int) float64 {
		if from == node || to == node {
			return loss
		}
		return 0
	}
}

// A source that was down for long comes back to one process after the other: nobody
// closes or narrows meanwhile, however few they are.
func TestASourceComesBackToOneAfterTheOther(t *testing.T) {
	for _, n := range []int{3, 4, 9, 30} {
		for seed := range uint64(20) {
			s := newSim(t, n, 12, seed)
			s.run(3 * time.Second)
			s.frozen = true
			s.run(12 * time.Second)
			clear(s.standing)
			s.frozen = false
			for i := range n {
				s.cut[i] = i > 0
				s.after(time.Duration(i)*2*time.Second*3/time.Duration(n), func() { s.cut[i] = false })
			}
			s.run(10 * time.Second)
			if s.standing[Closed]+s.standing[Narrowed] > 0 {
				t.Errorf("%d processes, seed %d: %v", n, seed, s.standing)
			}
		}
	}
}

// A process that says that all withdrawals up to a version are in force there has them
// all, also where the words of one version are told again after the next one was lost.
func TestWhoSaysThatItHasAllHasAll(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(t, 9, 40, seed)
		s.run(3 * time.Second)
		s.cut[4] = true
		gens := map[string]uint64{}
		for i := range 12 {
			name, loss := fmt.Sprintf("s-%d", i), float64(i%2)
			s.lost = func(int, int) float64 { return loss }
			s.set(version.Draining, name)
			gens[name] = s.gen
			for range 12 {
				s.run(10 * time.Millisecond)
				a := s.agents[4]
				for name, gen := range gens {
					if uint64(a.AppliedVersion().Generation) >= gen && !a.Withdrawn(name) {
						t.Fatalf("seed %d: it acts on %v, and uses %s, withdrawn by %d", seed, a.AppliedVersion(), name, gen)
					}
				}
				if loss == 1 && s.rng.IntN(3) == 0 {
					loss = 0
				}
			}
		}
	}
}

// Discovery begins anew at a lower generation while half of the processes are cut
// off from it: their higher number does not win, with them or with the others.
func TestTheOldHigherNumberDoesNotWin(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, 8, 12, seed)
		s.gen = 41
		s.run(3 * time.Second)
		for i := range 4 {
			s.cut[i] = true
		}
		s.gen = 1
		s.run(1500 * time.Millisecond)
		s.set(version.Draining, "s-3")
		for i := range 8 {
			if took := s.outAt(i, "s-3", 2*time.Second); took > time.Second {
				t.Fatalf("seed %d: node %d used a server for %v that discovery's new beginning drains", seed, i, took)
			}
		}
		clear(s.cut)
		s.run(3 * time.Second)
		s.set(version.Up, "s-3")
		s.run(2 * time.Second)
		for i := range 8 {
			if s.agents[i].Withdrawn("s-3") || s.agents[i].vector.List != s.agents[7].vector.List {
				t.Errorf("seed %d: node %d is at %v, node 7 at %v", seed, i, s.agents[i].vector.List, s.agents[7].vector.List)
			}
		}
	}
}

// A liar shuts nobody out, whatever it claims, and takes out a quarter of the list at
// most, from those alone whose own source is silent, or else for a while.
func TestALiarShutsNobodyOut(t *testing.T) {
	lies := map[string]func(s *sim) func(from, to int, data []byte) []byte{
		"a huge generation": func(*sim) func(int, int, []byte) []byte {
			return func(from, _ int, data []byte) []byte {
				if from == 0 {
					data[4], data[31] = 0x70, 0x70 // generations of the list and of what it acts on
				}
				return data
			}
		},
		"a huge epoch": func(*sim) func(int, int, []byte) []byte {
			return func(from, _ int, data []byte) []byte {
				if from == 0 {
					data[2], data[29] = 0x70, 0x70
				}
				return data
			}
		},
		"a clock an hour ahead": func(*sim) func(int, int, []byte) []byte {
			return func(from, _ int, data []byte) []byte {
				if from == 0 {
					v, _ := version.ParseVector(data[2:])
					v.Clock = v.Clock.Add(time.Hour)
					copy(data[2:], v.Append(nil))
				}
				return data
			}
		},
		"every server withdrawn": func(s *sim) func(int, int, []byte) []byte {
			return func(from, _ int, data []byte) []byte {
				if from != 0 {
					return data
				}
				m, _ := parse(data)
				m.kind, m.part, m.parts, m.since = words, 0, 1, m.acts
				m.acts.Generation += 5
				for i := range 12 {
					m.words = append(m.words, word{key: version.KeyOf(fmt.Sprintf("s-%d", i)), state: version.Removed, list: m.acts})
				}
				m.rest = nil
				return m.append(nil)
			}
		},
		"an old word again": func(s *sim) func(int, int, []byte) []byte {
			var first []byte
			return func(from, _ int, data []byte) []byte {
				if from == 0 {
					if first == nil {
						first = bytes.Clone(data)
					}
					return bytes.Clone(first)
				}
				return data
			}
		},
	}
	for name, lie := range lies {
		s := newSim(t, 9, 12, 11)
		s.run(2 * time.Second)
		s.liar = lie(s)
		s.cut[5] = true
		most := 0
		for range 150 {
			s.run(100 * time.Millisecond)
			for i := 1; i < 9; i++ {
				if st := s.standingOf(i); st != Current {
					t.Fatalf("%s: node %d stands %v", name, i, st)
				}
				out := 0
				for k := range 12 {
					if s.agents[i].Withdrawn(fmt.Sprintf("s-%d", k)) {
						out++
					}
				}
				most = max(most, out)
				for j := 1; j < 9; j++ {
					if s.agents[i].peers[j].behind {
						t.Fatalf("%s: node %d does not listen to node %d", name, i, j)
					}
				}
			}
		}
		if most > 3 {
			t.Errorf("%s: %d of 12 servers were out by one liar's word", name, most)
		}
		s.set(version.Draining, "s-7")
		if took := s.outAt(5, "s-7", 3*time.Second); took > 500*time.Millisecond {
			t.Errorf("%s: the drain took %v to reach the node that is cut off", name, took)
		}
		s.liar = nil
		for i := 1; i < 9; i++ {
			if out := s.agents[i].Withdrawn("s-2"); i != 5 && out {
				t.Errorf("%s: node %d, whose source speaks, still goes by the lie", name, i)
			}
		}
	}
}

// A process that stood still waits for a sign that what it believes holds, and does
// not take what was sent to it meanwhile for one.
func TestAProcessThatWakesBelievesNothingOld(t *testing.T) {
	for _, stop := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second} {
		for seed := range uint64(20) {
			s := newSim(t, 9, 12, seed)
			s.run(3 * time.Second)
			s.stop(2, stop)
			s.cut[2] = seed%2 == 0
			s.run(stop / 2)
			s.set(version.Draining, "s-1")
			s.run(stop - stop/2 + 5*time.Millisecond)
			woke := s.now
			for s.now < woke+2*time.Second {
				s.run(5 * time.Millisecond)
				a := s.agents[2]
				holds := a.HoldUntil() > s.now || s.now-s.lastAt[2] > a.set.PauseThreshold
				if uses := !a.Withdrawn("s-1") && a.entries[version.KeyOf("s-1")].state == version.Up; uses && !holds && a.MinAnswerTime(s.now) == 0 {
					t.Fatalf("stopped for %v, seed %d: %v after it went on it uses a server that drains", stop, seed, s.now-woke)
				}
			}
			if st := s.standingOf(2); st != Current {
				t.Errorf("stopped for %v, seed %d: it stands %v", stop, seed, st)
			}
		}
	}
}

// Two sources that disagree: each process's own one wins, and nobody is shut out.
func TestTwoSourcesThatDisagree(t *testing.T) {
	s := newSim(t, 8, 12, 4)
	s.run(2 * time.Second)
	other := s.whole(Full) // what half of the processes are told for 5 s
	other.Entries = slices.Clone(other.Entries)
	other.Entries[3].State = version.Draining
	other.Generation++
	for range 50 {
		for i := range 4 {
			s.cut[i] = true
			s.handle(i, other)
		}
		s.run(100 * time.Millisecond)
		for i := range 8 {
			if st := s.standingOf(i); st != Current {
				t.Fatalf("node %d stands %v", i, st)
			}
		}
	}
	clear(s.cut)
	s.gen = other.Generation + 1
	s.run(3 * time.Second)
	for i := range 8 {
		if s.agents[i].Withdrawn("s-3") {
			t.Errorf("node %d still goes by the other source", i)
		}
	}
}

// In any timeline without a cut nobody is shut out or left unheard, and what the
// source has withdrawn is out at all that it tells.
func TestNobodyIsShutOutWithoutAFault(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(r, "nodes")
		s := newSim(t, n, 12, rapid.Uint64().Draw(r, "seed"))
		loss := rapid.Float64Range(0, 0.6).Draw(r, "loss")
		s.lost = func(int, int) float64 { return loss }
		s.doubled = rapid.Float64Range(0, 0.5).Draw(r, "doubled")
		late := time.Duration(rapid.IntRange(0, 1000).Draw(r, "late")) * time.Millisecond
		s.delay = func(int, int) time.Duration { return time.Duration(s.rng.Float64() * float64(late)) }
		for i := range n {
			s.lag[i] = time.Duration(rapid.IntRange(0, 900).Draw(r, "lag")) * time.Millisecond
			s.skew[i] = time.Duration(rapid.IntRange(-2000, 2000).Draw(r, "skew")) * time.Millisecond
		}
		for range rapid.IntRange(1, 12).Draw(r, "changes") {
			name := fmt.Sprintf("s-%d", rapid.IntRange(0, 11).Draw(r, "server"))
			s.set(rapid.SampledFrom([]version.State{version.Up, version.Draining, version.Removed}).Draw(r, "state"), name)
			s.run(time.Duration(rapid.IntRange(0, 1500).Draw(r, "then")) * time.Millisecond)
		}
		s.run(2 * time.Second)
		if s.standing[Narrowed]+s.standing[Closed]+s.standing[Held] > 0 {
			r.Fatalf("standings %v", s.standing)
		}
		for i := range n {
			if s.agents[i].counts.Ignored > 0 || s.agents[i].vector.List.Digest != s.agents[0].vector.List.Digest {
				r.Fatalf("node %d is at %v, node 0 at %v", i, s.agents[i].vector.List, s.agents[0].vector.List)
			}
			for k := range 12 {
				if name := fmt.Sprintf("s-%d", k); s.agents[i].Withdrawn(name) {
					r.Fatalf("node %d, at the newest version, leaves out %s by a word", i, name)
				}
			}
		}
	})
}

func FuzzHear(f *testing.F) {
	m := message{kind: words, parts: 1, words: []word{{key: 1, state: version.Removed}}}
	f.Add(m.append(nil))
	m = message{kind: whole, parts: 2, keys: []version.Key{1, 2}}
	f.Add(m.append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newSim(t, 3, 8, 1)
		a := s.agents[0]
		a.Handle(began+time.Second, DatagramReceived{1, data})
		if m, err := parse(data); err == nil && !bytes.Equal(m.append(nil), data) && m.kind != hello {
			if again, err := parse(m.append(nil)); err != nil || len(again.words) != len(m.words) || len(again.keys) != len(m.keys) {
				t.Errorf("what was read is not what is written: %v", err)
			}
		}
		out := 0
		for i := range 8 {
			if a.Withdrawn(fmt.Sprintf("s-%d", i)) {
				out++
			}
		}
		if out > 2 {
			t.Errorf("one datagram took out %d of 8 servers", out)
		}
	})
}
