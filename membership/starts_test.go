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
	var startTimes StartTimes
	now := clocks(time.Minute, 3*time.Millisecond)
	now.Source = now.Process.Truncate(time.Second) - time.Second
	for name, reported := range map[string]Time{"old": epoch - time.Hour, "recent": now.Process - time.Second, "a little ahead": now.Process + time.Second, "long ago": 0} {
		if got := startTimes.Resolve(name, reported, 0, now); got != reported {
			t.Errorf("%s: %v, want %v", name, got, reported)
		}
	}
	if got := startTimes.Resolve("old", now.Process-2*time.Second, now.Process-10*time.Second, now); got != now.Process-2*time.Second {
		t.Errorf("restarted: %v", got-epoch)
	}
}

// However a wall clock steps, a server that restarts never counts as started before its restart,
// nor after the report was received; an outdated list changes nothing.
func TestClockStepNeverMakesColdServerWarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var startTimes StartTimes
		steps := rapid.SampledFrom([]time.Duration{0, 2 * time.Second, time.Hour, -2 * time.Second, -time.Hour})
		before, after := steps.Draw(t, "step before"), steps.Draw(t, "step between")
		firstStart := rapid.SampledFrom([]Time{0, epoch - time.Minute + before}).Draw(t, "first start")
		startTimes.Resolve("a", firstStart, 0, clocks(0, before))
		restarted := time.Duration(rapid.Int64Range(int64(time.Second), int64(100*time.Second)).Draw(t, "restarted"))
		receivedAt := restarted + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "late"))
		reported := epoch + restarted + after // the server's clock stepped with this machine's
		resolved := startTimes.Resolve("a", reported, epoch+restarted-time.Second, clocks(receivedAt, after))
		if resolved < epoch+restarted-clockTolerance {
			t.Fatalf("restarted at %v, resolved as %v (received at %v)", restarted, resolved-epoch, receivedAt)
		}
		if resolved > epoch+receivedAt+clockTolerance {
			t.Fatalf("received at %v, resolved as a start at %v", receivedAt, resolved-epoch)
		}
		if firstStart != 0 && reported != firstStart {
			if old := startTimes.Resolve("a", firstStart, epoch+receivedAt, clocks(receivedAt+time.Second, after)); old >= resolved {
				t.Fatalf("an outdated list counts as a new start: %v after %v", old-epoch, resolved-epoch)
			}
			if again := startTimes.Resolve("a", reported, epoch+receivedAt, clocks(receivedAt+2*time.Second, after)); again != resolved {
				t.Fatalf("the same start, reported again, resolves to %v after %v", again-epoch, resolved-epoch)
			}
		}
	})
}

// A restarted server whose own clock is behind counts as started after the last list with its older
// start.
func TestRestartIsDetectedWithServerClockBehind(t *testing.T) {
	var startTimes StartTimes
	startTimes.Resolve("a", epoch-time.Minute, 0, clocks(0, 0))
	now := 100 * time.Second
	lastConfirmed := epoch + now - 2*time.Second
	if resolved := startTimes.Resolve("a", epoch+now-time.Minute, lastConfirmed, clocks(now, 0)); resolved < lastConfirmed {
		t.Errorf("resolved as started %v ago", epoch+now-resolved)
	}
}

// A process that starts with a wrong clock detects that by its source's clock.
func TestSourceClockCorrectsWrongLocalClock(t *testing.T) {
	for _, wrong := range []time.Duration{time.Hour, -time.Hour} {
		var startTimes StartTimes
		now := epoch + wrong
		clocks := Clocks{Process: now, Wall: now, Source: epoch}
		if resolved := startTimes.Resolve("a", epoch-time.Second, 0, clocks); now-resolved > time.Second+sourceTolerance || resolved > now {
			t.Errorf("clock wrong by %v: started 1 s ago, resolved as %v ago", wrong, now-resolved)
		}
	}
}

func TestStartTimesOfRemovedServersAreDropped(t *testing.T) {
	var startTimes StartTimes
	for i := range 10 {
		startTimes.Resolve("a", epoch+Time(i), 0, clocks(0, 0))
	}
	startTimes.Resolve("b", epoch, 0, clocks(0, 0))
	if len(startTimes.servers["a"]) != maxKeptStarts {
		t.Errorf("%d starts are kept", len(startTimes.servers["a"]))
	}
	startTimes.RemoveUnlisted(func(name string) bool { return name == "b" })
	if len(startTimes.servers) != 1 {
		t.Errorf("%d servers are kept", len(startTimes.servers))
	}
}
