package guard

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For all deadlines, all requests must be answered before SIGKILL even if process pauses
// delay the signal and the timers, and connections must be accepted while they arrive.
func TestScheduleEndsBeforeKill(t *testing.T) {
	const pause = 150 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.Duration(rapid.Int64Range(50, 100_000).Draw(t, "deadline, ms")) * time.Millisecond
		kill := KillMargin + min(deadline, MaxDeadline)
		s := NewShutdownSchedule(deadline)
		if s.AcceptUntil < 0 || s.AcceptUntil > s.ServeUntil || s.ServeUntil > s.AnswerBy || s.AnswerBy > s.ExitBy {
			t.Fatalf("out of order: %+v", s)
		}
		if last := s.AcceptUntil + s.BacklogTime(); s.BacklogTime() < 0 || last > s.AnswerBy ||
			deadline >= 250*time.Millisecond && s.BacklogTime() < maxBacklogTime {
			t.Fatalf("%+v: the listener's backlog is accepted until %v", s, last)
		}
		if s.AnswerBy+2*pause >= kill {
			t.Fatalf("%+v: answered %v after the signal by a process that is paused twice, killed after %v", s,
				s.AnswerBy+2*pause, kill)
		}
		if s.ExitBy > s.ForceExitAt || s.ForceExitAt >= kill {
			t.Fatalf("%+v: the process ends after the kill at %v", s, kill)
		}
		if s.ServeUntil < trafficStopTime && deadline >= 250*time.Millisecond {
			t.Fatalf("%+v: requests are refused while connections still arrive", s)
		}
	})
}

func TestPhasesFollowSchedule(t *testing.T) {
	s := NewShutdownSchedule(1250 * time.Millisecond)
	for _, c := range []struct {
		since  time.Duration
		want   Phase
		serves bool
	}{
		{0, Draining, true}, {599 * time.Millisecond, Draining, true}, {600 * time.Millisecond, Finishing, true},
		{649 * time.Millisecond, Finishing, true}, {650 * time.Millisecond, Refusing, false},
		{1599 * time.Millisecond, Refusing, false},
		{1600 * time.Millisecond, Answering, false}, {1749 * time.Millisecond, Answering, false},
		{1750 * time.Millisecond, Ended, false},
	} {
		if got := s.Phase(c.since); got != c.want {
			t.Errorf("%v after the signal: %v, want %v", c.since, got, c.want)
		}
		if got := s.MayServe(c.since); got != c.serves {
			t.Errorf("%v after the signal: may serve %v", c.since, got)
		}
	}
	if Phase(-1).String() != "serving" || Phase(99).String() != "ended" {
		t.Error("a phase out of range has no name")
	}
}

// A process with delayed answers must exit once they are written and had time to arrive,
// and before SIGKILL in any case.
func TestProcessExitsAfterLastAnswer(t *testing.T) {
	s := NewShutdownSchedule(time.Second)
	const ms = time.Millisecond
	for _, c := range []struct {
		name           string
		since, settled time.Duration
		pending, want  bool
	}{
		{"before ExitBy", s.ExitBy - 1, 0, false, false},
		{"all written in time", s.ExitBy, s.AnswerBy, false, true},
		{"an answer is pending", s.ExitBy, s.AnswerBy, true, false},
		{"written just now", s.ExitBy + 10*ms, s.ExitBy + 10*ms, false, false},
		{"written late and delivered", s.ForceExitAt - 1, s.ForceExitAt - flushTime - 1, false, true},
		{"pending at ForceExitAt", s.ForceExitAt, s.ForceExitAt, true, true},
	} {
		if got := s.MayExit(c.since, c.settled, c.pending); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestEffectiveDeadlineIsLongest(t *testing.T) {
	for _, c := range []struct {
		deadlines []time.Duration
		want      time.Duration
	}{{nil, 0}, {[]time.Duration{0, time.Second, 500}, time.Second},
		{[]time.Duration{6 * time.Second}, MaxDeadline}} {
		if got := EffectiveDeadline(c.deadlines...); got != c.want {
			t.Errorf("of %v: %v", c.deadlines, got)
		}
	}
}
