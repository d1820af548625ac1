package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const epoch = Time(1_800_000_000 * time.Second) // Unix time at the process's start

func clocks(now, step time.Duration) Clocks {
	return Clocks{Process: epoch + now, Wall: epoch + now + step}
}

// Where no clock has stepped starts are what is told, to the nanosecond: processes that compare
// them agree.
func TestStartsAreWhatIsToldWhileClocksAgree(t *testing.T) {
	var s StartTimes
	c := clocks(time.Minute, 3*time.Millisecond)
	c.Source = c.Process.Truncate(time.Second) - time.Second
	for name, told := range map[string]Time{"old": epoch - time.Hour, "recent": c.Process - time.Second, "a little ahead": c.Process + time.Second, "long ago": 0} {
		if got := s.Resolve(name, told, 0, c); got != told {
			t.Errorf("%s: %v, want %v", name, got, told)
		}
	}
	if got := s.Resolve("old", c.Process-2*time.Second, c.Process-10*time.Second, c); got != c.Process-2*time.Second {
		t.Errorf("restarted: %v", got-epoch)
	}
}

// However a wall clock steps, a server that restarts while the list is followed never counts as
// started before it did, and never for long after it is told; a list that is behind changes
// nothing.
func TestAStepOfTheClockMakesNoColdServerWarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s StartTimes
		steps := rapid.SampledFrom([]time.Duration{0, 2 * time.Second, time.Hour, -2 * time.Second, -time.Hour})
		before, after := steps.Draw(t, "step before"), steps.Draw(t, "step between")
		firstStart := rapid.SampledFrom([]Time{0, epoch - time.Minute + before}).Draw(t, "first start")
		s.Resolve("a", firstStart, 0, clocks(0, before))
		restarted := time.Duration(rapid.Int64Range(int64(time.Second), int64(100*time.Second)).Draw(t, "restarted"))
		heard := restarted + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "late"))
		told := epoch + restarted + after // the server's clock stepped with this machine's
		at := s.Resolve("a", told, epoch+restarted-time.Second, clocks(heard, after))
		if at < epoch+restarted-clockNoise {
			t.Fatalf("restarted at %v, taken for %v (heard at %v)", restarted, at-epoch, heard)
		}
		if at > epoch+heard+clockNoise {
			t.Fatalf("heard at %v, taken for a start at %v", heard, at-epoch)
		}
		if firstStart != 0 && told != firstStart {
			if old := s.Resolve("a", firstStart, epoch+heard, clocks(heard+time.Second, after)); old >= at {
				t.Fatalf("a list that is behind is a start: %v after %v", old-epoch, at-epoch)
			}
			if again := s.Resolve("a", told, epoch+heard, clocks(heard+2*time.Second, after)); again != at {
				t.Fatalf("told again it is another start: %v after %v", again-epoch, at-epoch)
			}
		}
	})
}

// A server whose own clock is behind restarts: it did so after the list that told the older start.
func TestAServerWhoseClockIsBehindIsCold(t *testing.T) {
	var s StartTimes
	s.Resolve("a", epoch-time.Minute, 0, clocks(0, 0))
	now := 100 * time.Second
	confirmed := epoch + now - 2*time.Second
	if at := s.Resolve("a", epoch+now-time.Minute, confirmed, clocks(now, 0)); at < confirmed {
		t.Errorf("taken for started %v ago", epoch+now-at)
	}
}

// A process whose clock had stepped before its start finds that out by its source's.
func TestTheSourcesClockCounts(t *testing.T) {
	for _, wrong := range []time.Duration{time.Hour, -time.Hour} {
		var s StartTimes
		now := epoch + wrong
		c := Clocks{Process: now, Wall: now, Source: epoch}
		if at := s.Resolve("a", epoch-time.Second, 0, c); now-at > time.Second+sourceNoise || at > now {
			t.Errorf("clock wrong by %v: started 1 s ago, taken for %v ago", wrong, now-at)
		}
	}
}

func TestStartsOfServersThatAreGoneAreForgotten(t *testing.T) {
	var s StartTimes
	for i := range 10 {
		s.Resolve("a", epoch+Time(i), 0, clocks(0, 0))
	}
	s.Resolve("b", epoch, 0, clocks(0, 0))
	if len(s.servers["a"]) != keptStarts {
		t.Errorf("%d starts are kept", len(s.servers["a"]))
	}
	s.RemoveUnlisted(func(name string) bool { return name == "b" })
	if len(s.servers) != 1 {
		t.Errorf("%d servers are kept", len(s.servers))
	}
}
