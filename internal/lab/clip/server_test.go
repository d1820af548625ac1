package clip

import (
	"testing"
	"time"

	"ivylock/internal/lab/history"
)

const ms = time.Millisecond

func machine() Machine {
	m, err := NewMachine("std-6")
	if err != nil {
		panic(err)
	}
	m.Cores, m.Slots, m.MaxQueue, m.Speed = 2, 2, 2, 1
	return m
}

func server(fall OverloadLimit) *Server {
	return NewServer("s", machine(), fall, NewPod(8*time.Second))
}

var none OverloadLimit // never falls

// drain lets the server work and gives when each job ended.
func drain(s *Server) map[uint64]time.Duration {
	ends := map[uint64]time.Duration{}
	for {
		t, any := s.NextCompletion()
		if !any {
			return ends
		}
		for _, d := range s.Advance(t) {
			ends[d.ID] = t
		}
	}
}

// near allows for the rounding up to whole nanoseconds.
func near(got, want time.Duration) bool { return (got - want).Abs() < 10*time.Microsecond }

func TestAJobTakesItsWorkOverTheCoresSpeed(t *testing.T) {
	for _, speed := range []float64{0.5, 1, 2} {
		s := server(none)
		s.Machine.Speed = speed
		s.Submit(time.Second, Job{ID: 1, Work: 100 * ms})
		if got, want := drain(s)[1], time.Second+time.Duration(float64(100*ms)/speed); !near(got, want) {
			t.Errorf("speed %v: ended at %v, want %v", speed, got, want)
		}
	}
}

func TestJobsBeyondTheSlotsWaitAndBeyondThatAreTurnedAway(t *testing.T) {
	s := server(none)
	for id := uint64(1); id <= 5; id++ {
		v, _ := s.Submit(0, Job{ID: id, Work: 100 * ms})
		if want := map[bool]history.Verdict{true: history.Accepted, false: history.Rejected}[id <= 4]; v != want {
			t.Errorf("job %d: %s", id, v)
		}
	}
	if l := s.Report(0); l.InFlight != 4 || l.Queue != 2 {
		t.Errorf("report %+v", l)
	}
	ends := drain(s)
	if !near(ends[1], 100*ms) || !near(ends[4], 200*ms) {
		t.Errorf("ended at %v", ends)
	}
}

func TestMoreSlotsThanCoresShareThem(t *testing.T) {
	s := server(none)
	s.Machine.Slots = 4
	for id := uint64(1); id <= 4; id++ {
		s.Submit(0, Job{ID: id, Work: 100 * ms})
	}
	if ends := drain(s); !near(ends[4], 200*ms) {
		t.Errorf("ended at %v", ends)
	}
}

// A cold start: 32% of the capacity, all of it after 8.3 s, evenly in between.
func TestAColdServerWarmsEvenly(t *testing.T) {
	s := server(none)
	s.Start(10*time.Second, true)
	for at, want := range map[time.Duration]float64{10 * time.Second: 0.32, 14150 * ms: 0.66, 18300 * ms: 1, time.Minute: 1} {
		if got := s.WarmRatio(at); got < want-0.001 || got > want+0.001 {
			t.Errorf("at %v it has %v of its capacity, want %v", at, got, want)
		}
	}
	// Work that takes 8.3 s at the mean of the ramp ends when it is warm.
	s.Submit(10*time.Second, Job{ID: 1, Work: time.Duration(0.66 * float64(8300*ms))})
	s.Submit(10*time.Second, Job{ID: 2, Work: time.Duration(0.66*float64(8300*ms)) + time.Second})
	if ends := drain(s); !near(ends[1], 18300*ms) || !near(ends[2], 19300*ms) {
		t.Errorf("ended at %v", ends)
	}
}

func TestAColdServerFallsOverPastItsMultiple(t *testing.T) {
	for _, c := range []struct {
		work time.Duration // each 10 ms for a second
		fell bool
	}{{14 * ms, false}, {30 * ms, true}} { // it can do 0.32 x 2 cores: 6.4 ms each 10 ms, 16 at 2.5 times that
		s := server(OverloadLimit{Factor: 2.5, Window: time.Second, Allowance: 100 * ms})
		s.Machine.MaxQueue = 1000
		s.Start(0, true)
		fell := false
		for i := range 100 {
			_, f := s.Submit(time.Duration(i)*10*ms, Job{ID: uint64(i), Work: c.work})
			fell = fell || f
		}
		if fell != c.fell || (s.State() == Down) != c.fell {
			t.Errorf("%v each 10 ms: fell %v, state %v", c.work, fell, s.State())
		}
	}
	warm := server(OverloadLimit{Factor: 2.5, Window: time.Second})
	for i := range 1000 {
		if _, fell := warm.Submit(0, Job{ID: uint64(i), Work: time.Second}); fell {
			t.Fatal("a warm server fell over")
		}
	}
}

func TestAPodDropsRepeatsForItsWindow(t *testing.T) {
	pod := NewPod(8 * time.Second)
	a, b := NewServer("a", machine(), none, pod), NewServer("b", machine(), none, pod)
	var begun []JobStart
	a.OnJobStart = func(s JobStart) { begun = append(begun, s) }
	b.OnJobStart = a.OnJobStart
	a.Submit(0, Job{ID: 1, Key: "k", Work: 50 * ms})
	b.Submit(time.Second, Job{ID: 2, Key: "k", Work: 50 * ms})
	b.Submit(9*time.Second, Job{ID: 3, Key: "k", Work: 50 * ms})
	if len(begun) != 3 || begun[0].Duplicate || !begun[1].Duplicate || begun[2].Duplicate {
		t.Errorf("begun %+v", begun)
	}
	for i := range 3 * maxKeys { // its memory is bounded
		pod.RecordKey(time.Duration(i), string(rune(i))+"x")
	}
	if len(pod.seen) > maxKeys+1 {
		t.Errorf("it remembers %d keys", len(pod.seen))
	}
}

func TestACancelDropsWaitingWorkAndStopsRunningWorkOnlyWhereItMay(t *testing.T) {
	for _, stops := range []bool{false, true} {
		s := server(none)
		s.Machine.CancelsRunning = stops
		for id := uint64(1); id <= 4; id++ {
			s.Submit(0, Job{ID: id, Work: 100 * ms})
		}
		s.Cancel(10*ms, 3) // waits
		s.Cancel(10*ms, 1) // runs
		ends := drain(s)
		if _, ran := ends[3]; ran {
			t.Error("waiting work that was cancelled ran")
		}
		if _, ran := ends[1]; ran == stops {
			t.Errorf("stops %v: running work ended %v", stops, ran)
		}
	}
}

func TestAHungServerTakesAndAnswersNothing(t *testing.T) {
	s := server(none)
	s.Submit(0, Job{ID: 1, Work: 100 * ms})
	s.SetState(50*ms, Hung)
	if v, _ := s.Submit(60*ms, Job{ID: 2, Work: 100 * ms}); v != history.Accepted {
		t.Errorf("it %s", v)
	}
	if done := s.Advance(time.Second); len(done) != 0 {
		t.Errorf("it answered %v", done)
	}
}

func TestItHoldsSoManyConnections(t *testing.T) {
	s := server(none)
	s.Machine.MaxConnections = 2
	if !s.Connect() || !s.Connect() || s.Connect() {
		t.Error("the cap of 2 is not kept")
	}
	if s.Disconnect(); !s.Connect() {
		t.Error("a place that was given up is not free")
	}
}

func TestTheLoadReportHasAnAge(t *testing.T) {
	s := server(none)
	s.Report(0)
	s.Submit(10*ms, Job{ID: 1, Work: time.Second})
	if l := s.Report(150 * ms); l.InFlight != 0 {
		t.Errorf("the report is fresh: %+v", l)
	}
	if l := s.Report(200 * ms); l.InFlight != 1 {
		t.Errorf("the report is older than stated: %+v", l)
	}
}

func BenchmarkServer(b *testing.B) {
	s := server(none)
	s.Machine.Slots, s.Machine.MaxQueue = 6, 100
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += ms
		s.Submit(now, Job{ID: uint64(i), Work: ms})
		s.Advance(now)
	}
}
