package guard

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the deadlines are, all is answered before SIGKILL may come, also by a process that
// sees the signal and its timers late; new connections are accepted for as long as they come.
func TestAScheduleEndsBeforeTheKill(t *testing.T) {
	const heldUpOnce = 150 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.Duration(rapid.Int64Range(50, 100_000).Draw(t, "deadline, ms")) * time.Millisecond
		kill := KillMargin + min(deadline, LongestDeadline)
		s := ScheduleFor(deadline)
		if s.Accept < 0 || s.Accept > s.Intake || s.Intake > s.Answer || s.Answer > s.End {
			t.Fatalf("out of order: %+v", s)
		}
		if last := s.Accept + s.Empty(); s.Empty() < 0 || last > s.Answer || deadline >= 250*time.Millisecond && s.Empty() < emptyTime {
			t.Fatalf("%+v: what waits at the listener is accepted until %v", s, last)
		}
		if s.Answer+2*heldUpOnce >= kill {
			t.Fatalf("%+v: answered %v after the signal by a process that is held up twice, killed after %v", s, s.Answer+2*heldUpOnce, kill)
		}
		if s.End > s.Last || s.Last >= kill {
			t.Fatalf("%+v: it ends after the kill at %v", s, kill)
		}
		if s.Intake < comingTime && deadline >= 250*time.Millisecond {
			t.Fatalf("%+v: it takes nothing while connections still come", s)
		}
	})
}

func TestPhasesFollowTheTime(t *testing.T) {
	s := ScheduleFor(1250 * time.Millisecond)
	for _, c := range []struct {
		since time.Duration
		want  Phase
		takes bool
	}{
		{0, Draining, true}, {599 * time.Millisecond, Draining, true}, {600 * time.Millisecond, Finishing, true},
		{649 * time.Millisecond, Finishing, true}, {650 * time.Millisecond, Refusing, false}, {1599 * time.Millisecond, Refusing, false},
		{1600 * time.Millisecond, Answering, false}, {1749 * time.Millisecond, Answering, false}, {1750 * time.Millisecond, Ended, false},
	} {
		if got := s.Phase(c.since); got != c.want {
			t.Errorf("%v after the signal: %v, want %v", c.since, got, c.want)
		}
		if got := s.MayTake(c.since); got != c.takes {
			t.Errorf("%v after the signal: may take %v", c.since, got)
		}
	}
	if Phase(-1).String() != "serving" || Phase(99).String() != "ended" {
		t.Error("a phase out of range has no name")
	}
}

// A process that gives its answers late ends once they are written and had time to arrive, and
// in any case before SIGKILL.
func TestAProcessEndsWithItsLastAnswer(t *testing.T) {
	s := ScheduleFor(time.Second)
	const ms = time.Millisecond
	for _, c := range []struct {
		name           string
		since, settled time.Duration
		owed, want     bool
	}{
		{"before its end", s.End - 1, 0, false, false},
		{"all written in time", s.End, s.Answer, false, true},
		{"an answer is owed", s.End, s.Answer, true, false},
		{"written just now", s.End + 10*ms, s.End + 10*ms, false, false},
		{"written late, and arrived", s.Last - 1, s.Last - flushTime - 1, false, true},
		{"owed at the very end", s.Last, s.Last, true, true},
	} {
		if got := s.MayEnd(c.since, c.settled, c.owed); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestTheLongestDeadlineCounts(t *testing.T) {
	for _, c := range []struct {
		deadlines []time.Duration
		want      time.Duration
	}{{nil, 0}, {[]time.Duration{0, time.Second, 500}, time.Second}, {[]time.Duration{6 * time.Second}, LongestDeadline}} {
		if got := Longest(c.deadlines...); got != c.want {
			t.Errorf("of %v: %v", c.deadlines, got)
		}
	}
}
