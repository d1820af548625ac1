package readings

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulateFleet lets nodes probe for some time and returns the times between two readings
// of a server, in s.
func simulateFleet(nodes, servers int, length time.Duration, alive func(node int, now Time) bool) (gaps []float64) {
	random := rand.New(rand.NewPCG(1, 2))
	schedules := make([]ProbeSchedule, nodes)
	known := make([]Reading, servers)
	last := make([]Time, servers)
	for now := Time(time.Second); now < time.Second+length; now += 5 * time.Millisecond {
		for node := range schedules {
			if !alive(node, now) || !schedules[node].Due(now, servers, float64(nodes), random.Float64()) {
				continue
			}
			chosen, other := random.IntN(servers), random.IntN(servers)
			if Staler(now, &known[chosen], &known[other]) == &known[other] {
				chosen = other
			}
			if last[chosen] > 0 {
				gaps = append(gaps, (now - last[chosen]).Seconds())
			}
			last[chosen] = now
			known[chosen].Update(0.1, now)
			schedules[node].Done()
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

// The probe rate at a server must not depend on the number of nodes.
func TestProbeRateIsIndependentOfNodeCount(t *testing.T) {
	for _, nodes := range []int{1, 3, 40, 120, 300} {
		gaps := simulateFleet(nodes, 30, 20*time.Second, func(int, Time) bool { return true })
		if m := mean(gaps) / ProbeInterval.Seconds(); m < 0.85 || m > 1.25 {
			t.Errorf("%d nodes: the mean probe interval of a server is %.2f of ProbeInterval", nodes, m)
		}
		worst := 0.0
		for _, g := range gaps {
			worst = math.Max(worst, g)
		}
		if worst > 1.5*MaxAge.Seconds() {
			t.Errorf("%d nodes: a server was not probed for %.1f s", nodes, worst)
		}
	}
}

// When 70 % of the nodes fail at once, the others must continue to probe at their own rate.
func TestProbesContinueAfterNodeFailures(t *testing.T) {
	gaps := simulateFleet(300, 175, 20*time.Second, func(n int, now Time) bool {
		return n < 90 || now < 5*time.Second
	})
	if m := mean(gaps); m > 4*ProbeInterval.Seconds() || m < 0.85*ProbeInterval.Seconds() {
		t.Errorf("mean probe interval %.2f s", m)
	}
}

// An unanswered probe must block only one slot, and a node with all slots blocked must
// resume when one is freed.
func TestUnansweredProbesAreBounded(t *testing.T) {
	var schedule ProbeSchedule
	probes := 0
	for now := Time(1); now < Time(time.Minute); now += 5 * time.Millisecond {
		if schedule.Due(now, 100, 1, 0.5) {
			probes++
		}
	}
	if probes != MaxProbesInFlight {
		t.Errorf("%d probes in flight", probes)
	}
	if schedule.Done(); !schedule.Due(Time(2*time.Minute), 100, 1, 0.5) {
		t.Error("no further probe although one has ended")
	}
}

func TestProbeResultWait(t *testing.T) {
	for _, test := range []struct {
		name   string
		result ProbeResult
		wait   float64
		known  bool
	}{
		{"deep probe: the queue became shorter while it waited",
			ProbeResult{Elapsed: 300 * time.Millisecond, OK: true, Queued: 2, WaitPerRequest: 0.05}, 0.2, true},
		{"shallow probe: the report counts",
			ProbeResult{Elapsed: 2 * time.Millisecond, OK: true, Queued: 8, WaitPerRequest: 0.05}, 0.4, true},
		{"no report",
			ProbeResult{Elapsed: 20 * time.Millisecond, OK: true, Queued: -1, WaitPerRequest: 0.05}, 0.02, true},
		{"the server gave up the probe after some time",
			ProbeResult{Elapsed: 400 * time.Millisecond, Refused: true}, 0.6, true},
		{"refused at once", ProbeResult{Elapsed: time.Millisecond, Refused: true}, 0, false},
		{"no answer", ProbeResult{Elapsed: time.Second}, 0, false},
	} {
		if wait, known := test.result.Wait(); math.Abs(wait-test.wait) > 1e-9 || known != test.known {
			t.Errorf("%s: %v, %v", test.name, wait, known)
		}
	}
}

func TestReadingWeightDecaysWithAge(t *testing.T) {
	var reading Reading
	if reading.Estimate(time.Second, 0.3) != 0.3 {
		t.Error("a server without a reading must be like the others")
	}
	reading.Update(1.3, 10*time.Second)
	if reading.Update(0.1, 9*time.Second) || reading.Update(math.NaN(), 11*time.Second) ||
		reading.Update(-1, 11*time.Second) || reading.Update(math.Inf(1), 11*time.Second) {
		t.Error("an older or invalid reading was accepted")
	}
	previous := math.Inf(1)
	for age := time.Duration(0); age <= MaxAge; age += 100 * time.Millisecond {
		estimate := reading.Estimate(10*time.Second+age, 0.3)
		if estimate >= previous || estimate < 0.3 {
			t.Errorf("at age %v: estimate %v after %v", age, estimate, previous)
		}
		previous = estimate
	}
	if estimate := reading.Estimate(10*time.Second+MaxAge+1, 0.3); estimate != 0.3 {
		t.Errorf("a reading beyond MaxAge counts: %v", estimate)
	}
	// A clock that steps back, or a reading from a node whose clock is ahead.
	if estimate := reading.Estimate(9*time.Second, 0.3); estimate != 1.3 {
		t.Errorf("a reading from the future: %v", estimate)
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) PeerReading {
			return PeerReading{Server: rapid.Uint32().Draw(t, "server"),
				Wait:     float64(rapid.IntRange(0, 65535).Draw(t, "wait, ms")) / 1000,
				Age:      time.Duration(rapid.IntRange(0, 65535).Draw(t, "age, ms")) * time.Millisecond,
				Attempts: float64(rapid.IntRange(0, 255).Draw(t, "attempts")),
				Ratio:    float64(rapid.IntRange(0, 255).Draw(t, "ratio")) / ratioScale}
		}), 1, MaxReadings).Draw(t, "readings")
		data := Encode(nil, time.Hour, 0.1234, sent...)
		if len(data) > 256 {
			t.Fatalf("%d bytes", len(data))
		}
		var received []PeerReading
		var sender PeerState
		serviceTime, err := Decode(data, time.Second, &sender, func(s PeerReading) { received = append(received, s) })
		if err != nil || math.Abs(serviceTime-0.1234) > 1e-9 || len(received) != len(sent) {
			t.Fatalf("%v, %v, %d of %d", serviceTime, err, len(received), len(sent))
		}
		for i := range sent {
			if received[i].Server != sent[i].Server || math.Abs(received[i].Wait-sent[i].Wait) > 1e-9 ||
				received[i].Age != sent[i].Age ||
				received[i].Attempts != sent[i].Attempts || received[i].Ratio != sent[i].Ratio {
				t.Fatalf("%+v was decoded as %+v", sent[i], received[i])
			}
		}
	})
	if data := Encode(nil, 0, 1e9,
		make([]PeerReading, MaxReadings+9)...); len(data) != headerSize+MaxReadings*entrySize {
		t.Errorf("%d bytes for too many readings", len(data))
	}
}

// Without samples a server is like the others; slow answers must show and fade.
func TestSlowdownFollowsSamples(t *testing.T) {
	var slowdown Slowdown
	if factor := slowdown.Factor(time.Second); factor != 1 {
		t.Errorf("factor %v without samples", factor)
	}
	for i := range 30 {
		slowdown.Record(time.Duration(10+i/10)*time.Second, 4)
	}
	if factor := slowdown.Factor(13 * time.Second); factor < 2.8 || factor > 4 {
		t.Errorf("factor %v after thirty attempts at four times their service time", factor)
	}
	if factor := slowdown.Factor(13*time.Second + 5*SlowdownDecayTime); factor > 1.2 {
		t.Errorf("factor %v after the samples have decayed", factor)
	}
	if ratio, count := slowdown.TakeUnreported(); ratio != 4 || count != 30 {
		t.Errorf("unreported %v, %v", ratio, count)
	}
	if _, count := slowdown.TakeUnreported(); count != 0 {
		t.Errorf("%v attempts are reported twice", count)
	}
	// The effect of one peer report and of one expensive request must be bounded.
	var bounded Slowdown
	bounded.Record(time.Second, 1000)
	bounded.RecordPeer(time.Second, math.Inf(1), math.Inf(1))
	bounded.RecordPeer(time.Second, math.NaN(), 3)
	bounded.RecordPeer(time.Second, 2, -3)
	if factor := bounded.Factor(time.Second); !(factor <=
		(priorAttempts+MaxRatio+maxPeerRatio*maxPeerAttempts)/(priorAttempts+1+maxPeerAttempts)) {
		t.Errorf("factor %v is out of bounds", factor)
	}
}

// Duplicate and reordered datagrams must be rejected; a sender that returns after a pause
// must be accepted with any clock, and the clock may wrap around.
func TestOutdatedDatagramsAreRejected(t *testing.T) {
	var sender PeerState
	accepted := func(now, sent Time) bool {
		_, err := Decode(Encode(nil, sent, 0.1, PeerReading{Server: 1}), now, &sender, func(PeerReading) {})
		return err == nil
	}
	for _, test := range []struct {
		now, sent Time
		want      bool
	}{
		{time.Second, 65 * time.Second, true},
		{time.Second + 20*time.Millisecond, 65 * time.Second, false},                       // duplicate
		{time.Second + 30*time.Millisecond, 64 * time.Second, false},                       // late
		{2 * time.Second, 66 * time.Second, true},                                          // clock wrapped around
		{2 * time.Second, 65*time.Second + 500*time.Millisecond, false},                    // late
		{2*time.Second + SlowdownDecayTime, 10 * time.Second, true},                        // new process
		{2*time.Second + SlowdownDecayTime + time.Second, 11 * time.Second, true},          // its next datagram
		{2*time.Second + SlowdownDecayTime + time.Second, 10500 * time.Millisecond, false}, // late
	} {
		if got := accepted(test.now, test.sent); got != test.want {
			t.Errorf("received at %v, sent at %v by the sender's clock: %v", test.now, test.sent, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(nil, 0, 0.3, PeerReading{Server: 1, Wait: 0.2, Age: time.Second, Ratio: 2, Attempts: 3}))
	f.Add([]byte{formatID})
	f.Fuzz(func(t *testing.T, data []byte) {
		count := 0
		_, err := Decode(data, time.Second, new(PeerState), func(reading PeerReading) {
			count++
			if !(reading.Wait >= 0 && reading.Wait < 66) || !(reading.Ratio >= 0 && reading.Ratio <= 16) ||
				!(reading.Attempts >= 0 && reading.Attempts <= 255) || reading.Age < 0 ||
				reading.Age > 66*time.Second {
				t.Errorf("%+v", reading)
			}
		})
		if (err == nil) != (count > 0) || count > MaxReadings {
			t.Errorf("%d readings, %v", count, err)
		}
	})
}
