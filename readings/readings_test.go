package readings

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet lets nodes ask for a time and gives each server's times between two readings, in s.
func fleet(nodes, servers int, length time.Duration, lives func(node int, now Time) bool) (gaps []float64) {
	r := rand.New(rand.NewPCG(1, 2))
	duties := make([]ProbeSchedule, nodes)
	seen := make([]Reading, servers)
	last := make([]Time, servers)
	for now := Time(time.Second); now < time.Second+length; now += 5 * time.Millisecond {
		for n := range duties {
			if !lives(n, now) || !duties[n].Due(now, servers, float64(nodes), r.Float64()) {
				continue
			}
			a, b := r.IntN(servers), r.IntN(servers)
			if Staler(now, &seen[a], &seen[b]) == &seen[b] {
				a = b
			}
			if last[a] > 0 {
				gaps = append(gaps, (now - last[a]).Seconds())
			}
			last[a] = now
			seen[a].Update(0.1, now)
			duties[n].Done()
		}
	}
	return gaps
}

func mean(v []float64) (sum float64) {
	for _, x := range v {
		sum += x / float64(len(v))
	}
	return sum
}

// However many nodes there are, a server is asked as often.
func TestAServerIsAskedAsOftenByFewNodesAsByMany(t *testing.T) {
	for _, nodes := range []int{1, 3, 40, 120, 300} {
		gaps := fleet(nodes, 30, 20*time.Second, func(int, Time) bool { return true })
		if m := mean(gaps) / ProbeInterval.Seconds(); m < 0.85 || m > 1.25 {
			t.Errorf("%d nodes: a server is asked each %.2f of the interval", nodes, m)
		}
		worst := 0.0
		for _, g := range gaps {
			worst = math.Max(worst, g)
		}
		if worst > 1.5*MaxAge.Seconds() {
			t.Errorf("%d nodes: one was not asked for %.1f s", nodes, worst)
		}
	}
}

// Seven in ten nodes die at once: the others ask on, no more than before.
func TestNodesThatDieLeaveOlderReadingsOnly(t *testing.T) {
	gaps := fleet(300, 175, 20*time.Second, func(n int, now Time) bool { return n < 90 || now < 5*time.Second })
	if m := mean(gaps); m > 4*ProbeInterval.Seconds() || m < 0.85*ProbeInterval.Seconds() {
		t.Errorf("asked each %.2f s", m)
	}
}

// A server that does not answer holds up no more than one turn, and all of them together stop a node's asking until
// one is back.
func TestProbesThatHangAreBounded(t *testing.T) {
	var d ProbeSchedule
	asked := 0
	for now := Time(1); now < Time(time.Minute); now += 5 * time.Millisecond {
		if d.Due(now, 100, 1, 0.5) {
			asked++
		}
	}
	if asked != MaxProbesInFlight {
		t.Errorf("%d probes are out", asked)
	}
	if d.Done(); !d.Due(Time(2*time.Minute), 100, 1, 0.5) {
		t.Error("it asks no more although one is back")
	}
}

func TestWaitOfAProbe(t *testing.T) {
	for _, c := range []struct {
		what  string
		p     ProbeResult
		wait  float64
		known bool
	}{
		{"deep: it waited itself, and the queue is shorter now", ProbeResult{Elapsed: 300 * time.Millisecond, OK: true, Queued: 2, WaitPerRequest: 0.05}, 0.2, true},
		{"shallow: what it tells counts", ProbeResult{Elapsed: 2 * time.Millisecond, OK: true, Queued: 8, WaitPerRequest: 0.05}, 0.4, true},
		{"no report", ProbeResult{Elapsed: 20 * time.Millisecond, OK: true, Queued: -1, WaitPerRequest: 0.05}, 0.02, true},
		{"the server gave it up after a time", ProbeResult{Elapsed: 400 * time.Millisecond, Refused: true}, 0.6, true},
		{"turned away at once", ProbeResult{Elapsed: time.Millisecond, Refused: true}, 0, false},
		{"no answer", ProbeResult{Elapsed: time.Second}, 0, false},
	} {
		if wait, known := c.p.Wait(); math.Abs(wait-c.wait) > 1e-9 || known != c.known {
			t.Errorf("%s: %v, %v", c.what, wait, known)
		}
	}
}

func TestAReadingLosesWeightWithAge(t *testing.T) {
	var r Reading
	if r.Estimate(time.Second, 0.3) != 0.3 {
		t.Error("a server that nobody asked is like the others")
	}
	r.Update(1.3, 10*time.Second)
	if r.Update(0.1, 9*time.Second) || r.Update(math.NaN(), 11*time.Second) || r.Update(-1, 11*time.Second) || r.Update(math.Inf(1), 11*time.Second) {
		t.Error("an older reading, or one that is none, was taken")
	}
	last := math.Inf(1)
	for age := time.Duration(0); age <= MaxAge; age += 100 * time.Millisecond {
		s := r.Estimate(10*time.Second+age, 0.3)
		if s >= last || s < 0.3 {
			t.Errorf("%v: %v after %v", age, s, last)
		}
		last = s
	}
	if s := r.Estimate(10*time.Second+MaxAge+1, 0.3); s != 0.3 {
		t.Errorf("a useless reading counts: %v", s)
	}
	// A clock that steps back, or a reading from a node whose clock is ahead.
	if s := r.Estimate(9*time.Second, 0.3); s != 1.3 {
		t.Errorf("a reading of the future: %v", s)
	}
}

func TestWhatIsToldIsHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		said := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) PeerReading {
			return PeerReading{Server: rapid.Uint32().Draw(t, "server"), Wait: float64(rapid.IntRange(0, 65535).Draw(t, "ms")) / 1000,
				Age:      time.Duration(rapid.IntRange(0, 65535).Draw(t, "age")) * time.Millisecond,
				Attempts: float64(rapid.IntRange(0, 255).Draw(t, "count")), Ratio: float64(rapid.IntRange(0, 255).Draw(t, "ratio")) / part}
		}), 1, MaxReadings).Draw(t, "said")
		data := Encode(nil, time.Hour, 0.1234, said...)
		if len(data) > 256 {
			t.Fatalf("%d bytes", len(data))
		}
		var heard []PeerReading
		var from PeerState
		work, err := Decode(data, time.Second, &from, func(s PeerReading) { heard = append(heard, s) })
		if err != nil || math.Abs(work-0.1234) > 1e-9 || len(heard) != len(said) {
			t.Fatalf("%v, %v, %d of %d", work, err, len(heard), len(said))
		}
		for i := range said {
			if heard[i].Server != said[i].Server || math.Abs(heard[i].Wait-said[i].Wait) > 1e-9 || heard[i].Age != said[i].Age ||
				heard[i].Attempts != said[i].Attempts || heard[i].Ratio != said[i].Ratio {
				t.Fatalf("%+v was heard as %+v", said[i], heard[i])
			}
		}
	})
	if data := Encode(nil, 0, 1e9, make([]PeerReading, MaxReadings+9)...); len(data) != head+MaxReadings*each {
		t.Errorf("%d bytes of too many readings", len(data))
	}
}

// Without evidence a server is like the others; a row of slow answers shows, and is forgotten.
func TestPaceFollowsTheEvidence(t *testing.T) {
	var p Slowdown
	if s := p.Factor(time.Second); s != 1 {
		t.Errorf("%v without evidence", s)
	}
	for i := range 30 {
		p.Record(time.Duration(10+i/10)*time.Second, 4)
	}
	if s := p.Factor(13 * time.Second); s < 2.8 || s > 4 {
		t.Errorf("%v after thirty attempts that took four times their work", s)
	}
	if s := p.Factor(13*time.Second + 5*SlowdownDecayTime); s > 1.2 {
		t.Errorf("%v long after", s)
	}
	if ratio, count := p.TakeUnreported(); ratio != 4 || count != 30 {
		t.Errorf("tells %v, %v", ratio, count)
	}
	if _, count := p.TakeUnreported(); count != 0 {
		t.Errorf("tells of %v attempts twice", count)
	}
	// One word of another node, and one heavy request, are bounded.
	var q Slowdown
	q.Record(time.Second, 1000)
	q.RecordPeer(time.Second, math.Inf(1), math.Inf(1))
	q.RecordPeer(time.Second, math.NaN(), 3)
	q.RecordPeer(time.Second, 2, -3)
	if s := q.Factor(time.Second); !(s <= (neutral+MaxRatio+worstOf*mostOf)/(neutral+1+mostOf)) {
		t.Errorf("%v", s)
	}
}

// A datagram that comes twice, or after a later one, is turned away; a sender that was away is believed again,
// whatever its clock says by then, and a clock that goes round is no matter.
func TestOldWordsAreTurnedAway(t *testing.T) {
	var from PeerState
	heard := func(now, sent Time) bool {
		_, err := Decode(Encode(nil, sent, 0.1, PeerReading{Server: 1}), now, &from, func(PeerReading) {})
		return err == nil
	}
	for _, c := range []struct {
		now, sent Time
		want      bool
	}{
		{time.Second, 65 * time.Second, true},
		{time.Second + 20*time.Millisecond, 65 * time.Second, false},                       // doubled
		{time.Second + 30*time.Millisecond, 64 * time.Second, false},                       // late
		{2 * time.Second, 66 * time.Second, true},                                          // its two bytes have gone round
		{2 * time.Second, 65*time.Second + 500*time.Millisecond, false},                    // late
		{2*time.Second + SlowdownDecayTime, 10 * time.Second, true},                        // a new process, after a time
		{2*time.Second + SlowdownDecayTime + time.Second, 11 * time.Second, true},          // and on
		{2*time.Second + SlowdownDecayTime + time.Second, 10500 * time.Millisecond, false}, // late
	} {
		if got := heard(c.now, c.sent); got != c.want {
			t.Errorf("at %v, sent at its %v: %v", c.now, c.sent, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(nil, 0, 0.3, PeerReading{Server: 1, Wait: 0.2, Age: time.Second, Ratio: 2, Attempts: 3}))
	f.Add([]byte{form})
	f.Fuzz(func(t *testing.T, data []byte) {
		n := 0
		_, err := Decode(data, time.Second, new(PeerState), func(s PeerReading) {
			n++
			if !(s.Wait >= 0 && s.Wait < 66) || !(s.Ratio >= 0 && s.Ratio <= 16) || !(s.Attempts >= 0 && s.Attempts <= 255) || s.Age < 0 || s.Age > 66*time.Second {
				t.Errorf("%+v", s)
			}
		})
		if (err == nil) != (n > 0) || n > MaxReadings {
			t.Errorf("%d readings, %v", n, err)
		}
	})
}
