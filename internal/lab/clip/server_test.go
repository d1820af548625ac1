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

func server(limit OverloadLimit) *Server {
	return NewServer("s", machine(), limit, NewPod(8*time.Second))
}

var noLimit OverloadLimit // never reached

// drain runs the server until no job is left and returns when each job ended.
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

// near allows for rounding up to whole nanoseconds.
func near(got, want time.Duration) bool { return (got - want).Abs() < 10*time.Microsecond }

func TestJobDurationScalesWithCoreSpeed(t *testing.T) {
	for _, speed := range []float64{0.5, 1, 2} {
		s := server(noLimit)
		s.Machine.Speed = speed
		s.Submit(time.Second, Job{ID: 1, Work: 100 * ms})
		if got, want := drain(s)[1], time.Second+time.Duration(float64(100*ms)/speed); !near(got, want) {
			t.Errorf("speed %v: ended at %v, want %v", speed, got, want)
		}
	}
}

func TestJobsBeyondTheSlotsQueueAndThenAreRejected(t *testing.T) {
	s := server(noLimit)
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

func TestMoreSlotsThanCoresShareTheCores(t *testing.T) {
	s := server(noLimit)
	s.Machine.Slots = 4
	for id := uint64(1); id <= 4; id++ {
		s.Submit(0, Job{ID: id, Work: 100 * ms})
	}
	if ends := drain(s); !near(ends[4], 200*ms) {
		t.Errorf("ended at %v", ends)
	}
}

// A cold server starts with 32% of its capacity and reaches all of it linearly after 8.3 s.
func TestColdServerWarmsUpLinearly(t *testing.T) {
	s := server(noLimit)
	s.Start(10*time.Second, true)
	for at, want := range map[time.Duration]float64{10 * time.Second: 0.32, 14150 * ms: 0.66, 18300 * ms: 1, time.Minute: 1} {
		if got := s.WarmRatio(at); got < want-0.001 || got > want+0.001 {
			t.Errorf("at %v the server has %v of its capacity, want %v", at, got, want)
		}
	}
	// Work that takes 8.3 s at the mean ratio of the ramp ends when the server is warm.
	s.Submit(10*time.Second, Job{ID: 1, Work: time.Duration(0.66 * float64(8300*ms))})
	s.Submit(10*time.Second, Job{ID: 2, Work: time.Duration(0.66*float64(8300*ms)) + time.Second})
	if ends := drain(s); !near(ends[1], 18300*ms) || !near(ends[2], 19300*ms) {
		t.Errorf("ended at %v", ends)
	}
}

func TestColdServerGoesDownBeyondTheOverloadLimit(t *testing.T) {
	for _, c := range []struct {
		work       time.Duration // submitted every 10 ms for a second
		overloaded bool
	}{{14 * ms, false}, {30 * ms, true}} { // 0.32 of 2 cores does 6.4 ms of work in 10 ms; 2.5 times that is 16 ms
		s := server(OverloadLimit{Factor: 2.5, Window: time.Second, Allowance: 100 * ms})
		s.Machine.MaxQueue = 1000
		s.Start(0, true)
		overloaded := false
		for i := range 100 {
			_, f := s.Submit(time.Duration(i)*10*ms, Job{ID: uint64(i), Work: c.work})
			overloaded = overloaded || f
		}
		if overloaded != c.overloaded || (s.State() == Down) != c.overloaded {
			t.Errorf("%v every 10 ms: down %v, state %v", c.work, overloaded, s.State())
		}
	}
	warm := server(OverloadLimit{Factor: 2.5, Window: time.Second})
	for i := range 1000 {
		if _, overloaded := warm.Submit(0, Job{ID: uint64(i), Work: time.Second}); overloaded {
			t.Fatal("a warm server went down")
		}
	}
}

func TestPodDropsDuplicateKeysWithinItsWindow(t *testing.T) {
	pod := NewPod(8 * time.Second)
	a, b := NewServer("a", machine(), noLimit, pod), NewServer("b", machine(), noLimit, pod)
	var starts []JobStart
	a.OnJobStart = func(s JobStart) { starts = append(starts, s) }
	b.OnJobStart = a.OnJobStart
	a.Submit(0, Job{ID: 1, Key: "k", Work: 50 * ms})
	b.Submit(time.Second, Job{ID: 2, Key: "k", Work: 50 * ms})
	b.Submit(9*time.Second, Job{ID: 3, Key: "k", Work: 50 * ms})
	if len(starts) != 3 || starts[0].Duplicate || !starts[1].Duplicate || starts[2].Duplicate {
		t.Errorf("jobs started: %+v", starts)
	}
	// The memory of a pod is bounded.
	for i := range 3 * maxKeys {
		pod.RecordKey(time.Duration(i), string(rune(i))+"x")
	}
	if len(pod.seen) > maxKeys+1 {
		t.Errorf("the pod remembers %d keys", len(pod.seen))
	}
}

func TestCancelDropsQueuedWorkAndStopsRunningWorkWhereSupported(t *testing.T) {
	for _, stops := range []bool{false, true} {
		s := server(noLimit)
		s.Machine.CancelsRunning = stops
		for id := uint64(1); id <= 4; id++ {
			s.Submit(0, Job{ID: id, Work: 100 * ms})
		}
		s.Cancel(10*ms, 3) // queued
		s.Cancel(10*ms, 1) // running
		ends := drain(s)
		if _, ran := ends[3]; ran {
			t.Error("a cancelled job ran from the queue")
		}
		if _, ran := ends[1]; ran == stops {
			t.Errorf("CancelsRunning %v: a cancelled running job ended: %v", stops, ran)
		}
	}
}

func TestHungServerAcceptsAndAnswersNothing(t *testing.T) {
	s := server(noLimit)
	s.Submit(0, Job{ID: 1, Work: 100 * ms})
	s.SetState(50*ms, Hung)
	if v, _ := s.Submit(60*ms, Job{ID: 2, Work: 100 * ms}); v != history.Accepted {
		t.Errorf("verdict %s", v)
	}
	if done := s.Advance(time.Second); len(done) != 0 {
		t.Errorf("a hung server answered %v", done)
	}
}

func TestConnectionLimit(t *testing.T) {
	s := server(noLimit)
	s.Machine.MaxConnections = 2
	if !s.Connect() || !s.Connect() || s.Connect() {
		t.Error("the limit of 2 connections was not applied")
	}
	if s.Disconnect(); !s.Connect() {
		t.Error("a closed connection was not released")
	}
}

func TestLoadReportIsRenewedAtItsInterval(t *testing.T) {
	s := server(noLimit)
	s.Report(0)
	s.Submit(10*ms, Job{ID: 1, Work: time.Second})
	if l := s.Report(150 * ms); l.InFlight != 0 {
		t.Errorf("the report was renewed early: %+v", l)
	}
	if l := s.Report(200 * ms); l.InFlight != 1 {
		t.Errorf("the report is older than its interval: %+v", l)
	}
}

func BenchmarkServer(b *testing.B) {
	s := server(noLimit)
	s.Machine.Slots, s.Machine.MaxQueue = 6, 100
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += ms
		s.Submit(now, Job{ID: uint64(i), Work: ms})
		s.Advance(now)
	}
}
