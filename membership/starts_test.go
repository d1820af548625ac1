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

// Without clock steps start times are exactly those reported, so that processes that compare them
// agree.
func TestStartTimesAreUnchangedWhileClocksAgree(t *testing.T) {
	var s StartTimes
	c := clocks(time.Minute, 3*time.Millisecond)
	c.Source = c.Process.Truncate(time.Second) - time.Second
	for name, reported := range map[string]Time{"old": epoch - time.Hour, "recent": c.Process - time.Second, "a little ahead": c.Process + time.Second, "long ago": 0} {
		if got := s.Resolve(name, reported, 0, c); got != reported {
			t.Errorf("%s: %v, want %v", name, got, reported)
		}
	}
	if got := s.Resolve("old", c.Process-2*time.Second, c.Process-10*time.Second, c); got != c.Process-2*time.Second {
		t.Errorf("restarted: %v", got-epoch)
	}
}

// However a wall clock steps, a server that restarts never counts as started before its restart,
// nor after the report was received; an outdated list changes nothing.
func TestClockStepNeverMakesColdServerWarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s StartTimes
		steps := rapid.SampledFrom([]time.Duration{0, 2 * time.Second, time.Hour, -2 * time.Second, -time.Hour})
		before, after := steps.Draw(t, "step before"), steps.Draw(t, "step between")
		firstStart := rapid.SampledFrom([]Time{0, epoch - time.Minute + before}).Draw(t, "first start")
		s.Resolve("a", firstStart, 0, clocks(0, before))
		restarted := time.Duration(rapid.Int64Range(int64(time.Second), int64(100*time.Second)).Draw(t, "restarted"))
		receivedAt := restarted + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "late"))
		reported := epoch + restarted + after // the server's clock stepped with this machine's
		at := s.Resolve("a", reported, epoch+restarted-time.Second, clocks(receivedAt, after))
		if at < epoch+restarted-clockTolerance {
			t.Fatalf("restarted at %v, resolved as %v (received at %v)", restarted, at-epoch, receivedAt)
		}
		if at > epoch+receivedAt+clockTolerance {
			t.Fatalf("received at %v, resolved as a start at %v", receivedAt, at-epoch)
		}
		if firstStart != 0 && reported != firstStart {
			if old := s.Resolve("a", firstStart, epoch+receivedAt, clocks(receivedAt+time.Second, after)); old >= at {
				t.Fatalf("an outdated list counts as a new start: %v after %v", old-epoch, at-epoch)
			}
			if again := s.Resolve("a", reported, epoch+receivedAt, clocks(receivedAt+2*time.Second, after)); again != at {
				t.Fatalf("reported again it is another start: %v after %v", again-epoch, at-epoch)
			}
		}
	})
}

// A restarted server whose own clock is behind counts as started after the last list with its older
// start.
func TestRestartIsDetectedWithServerClockBehind(t *testing.T) {
	var s StartTimes
	s.Resolve("a", epoch-time.Minute, 0, clocks(0, 0))
	now := 100 * time.Second
	lastConfirmed := epoch + now - 2*time.Second
	if at := s.Resolve("a", epoch+now-time.Minute, lastConfirmed, clocks(now, 0)); at < lastConfirmed {
		t.Errorf("resolved as started %v ago", epoch+now-at)
	}
}

// A process that starts with a wrong clock detects that by its source's clock.
func TestSourceClockCorrectsWrongLocalClock(t *testing.T) {
	for _, wrong := range []time.Duration{time.Hour, -time.Hour} {
		var s StartTimes
		now := epoch + wrong
		c := Clocks{Process: now, Wall: now, Source: epoch}
		if at := s.Resolve("a", epoch-time.Second, 0, c); now-at > time.Second+sourceTolerance || at > now {
			t.Errorf("clock wrong by %v: started 1 s ago, resolved as %v ago", wrong, now-at)
		}
	}
}

func TestStartTimesOfRemovedServersAreDropped(t *testing.T) {
	var s StartTimes
	for i := range 10 {
		s.Resolve("a", epoch+Time(i), 0, clocks(0, 0))
	}
	s.Resolve("b", epoch, 0, clocks(0, 0))
	if len(s.servers["a"]) != maxKeptStarts {
		t.Errorf("%d starts are kept", len(s.servers["a"]))
	}
	s.RemoveUnlisted(func(name string) bool { return name == "b" })
	if len(s.servers) != 1 {
		t.Errorf("%d servers are kept", len(s.servers))
	}
}
