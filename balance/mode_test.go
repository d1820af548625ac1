package balance

import (
	"math"
	"testing"
	"time"
)

func TestNextModeThresholds(t *testing.T) {
	const low, high, block = 3, 5, 9
	for _, test := range []struct {
		from Mode
		n    float64
		want Mode
	}{
		{Normal, 4, Normal}, {Normal, 5, Overloaded}, // exceeds H-1
		{Normal, 8, Overloaded}, {Normal, 9, Blocking}, // exceeds R-1
		{Overloaded, 3, Overloaded}, {Overloaded, 2, Normal}, // below L
		{Overloaded, 8, Overloaded}, {Overloaded, 9, Blocking},
		{Blocking, 6, Blocking}, {Blocking, 5, Overloaded}, // below H+1
	} {
		if got := NextMode(test.from, test.n, low, high, block); got != test.want {
			t.Errorf("from %v at n=%v: %v, want %v", test.from, test.n, got, test.want)
		}
	}
}

func TestShedSplit(t *testing.T) {
	for _, test := range []struct{ q, n1, n2, q1, q2 float64 }{
		{0.3, 50, 50, 0, 0.6},  // shedding other requests suffices
		{0.5, 50, 50, 0, 1},    // all other requests
		{0.75, 50, 50, 0.5, 1}, // some priority requests too
		{1, 50, 50, 1, 1},
		{0.4, 50, 0, 0.4, 0}, // no other requests: q1 = q
		{0.4, 0, 50, 0, 0.4}, // no priority requests: q1 = 0
		{1, 0, 50, 0, 1},
		{0, 10, 10, 0, 0},
	} {
		q1, q2 := ShedSplit(test.q, test.n1, test.n2)
		if math.Abs(q1-test.q1) > 1e-9 || math.Abs(q2-test.q2) > 1e-9 {
			t.Errorf("q=%v N1=%v N2=%v: q1=%v q2=%v, want %v %v", test.q, test.n1, test.n2, q1, q2, test.q1, test.q2)
		}
	}
}

func TestPriorityFractionIsGraded(t *testing.T) {
	if priorityFraction(12, 12) != 1 || priorityFraction(1, 12) != 0 || priorityFraction(0, 0) != 0 {
		t.Error("want 1 for the highest value, 0 for a twelfth of it and for none")
	}
	if fraction := priorityFraction(5, 10); fraction < 0.4 || fraction > 0.5 {
		t.Errorf("half of the highest value gives %v", fraction)
	}
}

// A tenant with less than one request per second at this node must be within its quota at
// times. Guards against a token bucket that never holds a whole token.
func TestSmallTenantRateAllowsARequest(t *testing.T) {
	limited := &tenant{rate: 0.5}
	for _, test := range []struct {
		at   time.Duration
		want bool
	}{{time.Second, false}, {3 * time.Second, true}, {4 * time.Second, true}, {5 * time.Second, false}} {
		if got := limited.takeToken(test.at); got != test.want {
			t.Errorf("at %v: within quota %v, want %v", test.at, got, test.want)
		}
	}
}

// Guards against a low H that limits its own rate after servers were slow. A warming server
// gets a lower H.
func TestHighThresholdFollowsPeakRates(t *testing.T) {
	module := New(Settings{}, 1)
	module.now, module.learned = 10*time.Minute, true
	module.baseLatency, module.meanLatency, module.targetLatency, module.peakRate, module.meanRate =
		0.08, 0.3, 0.25, 30, 10
	srv := &server{rate: 10, rateAt: module.now}
	if high, least := module.highThreshold(srv), busyFactor*module.baseLatency*module.peakRate; high < 0.9*least {
		t.Errorf("H of a slow server is %.1f, peak rates require %.1f", high, least)
	}
	warm := module.highThreshold(srv)
	if srv.warmup = true; module.highThreshold(srv) > 0.7*warm {
		t.Errorf("H of a warming server is %.1f, of a warm one %.1f", module.highThreshold(srv), warm)
	}
}
