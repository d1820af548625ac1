package invariant

import (
	"strings"
	"testing"
	"time"

	"ivylock/internal/eventlog"
)

func TestViolationsAreCountedByKind(t *testing.T) {
	if int(numKinds) != len(KindNames) || Kind(len(KindNames)).String() != "unknown" {
		t.Fatalf("%d kinds, %d names", numKinds, len(KindNames))
	}
	now := time.Now()
	validAttempt := func() WrittenAttempt {
		return WrittenAttempt{Request: "r", At: now, Deadline: now.Add(time.Second), DrainGrace: 500 * time.Millisecond, SentTimeout: time.Second}
	}
	for _, c := range []struct {
		name   string
		change func(*WrittenAttempt)
		want   []Kind
	}{
		{"no violation", func(*WrittenAttempt) {}, nil},
		{"written just after the end", func(w *WrittenAttempt) { w.EndedAt = now.Add(-WriteSlack) }, nil},
		{"written long after the end", func(w *WrittenAttempt) { w.EndedAt = now.Add(-WriteSlack - 1) }, []Kind{WrittenAfterEnd}},
		{"written after the deadline", func(w *WrittenAttempt) { w.Deadline, w.SentTimeout = now.Add(-WriteSlack-1), 0 }, []Kind{WrittenAfterDeadline}},
		{"within the drain grace", func(w *WrittenAttempt) { w.DrainKnownAt = now.Add(-w.DrainGrace) }, nil},
		{"after the drain grace", func(w *WrittenAttempt) { w.DrainKnownAt = now.Add(-w.DrainGrace - 1) }, []Kind{WrittenToDraining}},
		{"during shutdown", func(w *WrittenAttempt) { w.AfterIntake = true }, []Kind{WrittenDuringShutdown}},
		{"sent timeout slightly too long", func(w *WrittenAttempt) { w.SentTimeout += TimeoutSlack }, nil},
		{"sent timeout too long", func(w *WrittenAttempt) { w.SentTimeout += TimeoutSlack + 1 }, []Kind{TimeOverstated}},
		{"all violations", func(w *WrittenAttempt) {
			w.EndedAt, w.Deadline, w.DrainKnownAt, w.AfterIntake = now.Add(-time.Hour), now.Add(-time.Hour), now.Add(-time.Hour), true
		}, []Kind{WrittenAfterEnd, WrittenAfterDeadline, WrittenToDraining, WrittenDuringShutdown, TimeOverstated}},
	} {
		var got []Kind
		checker := New(func(kind int) { got = append(got, Kind(kind)) }, eventlog.New())
		w := validAttempt()
		c.change(&w)
		checker.CheckWrite(w)
		if len(got) != len(c.want) || checker.Total() != int64(len(c.want)) {
			t.Errorf("%s: counted %v, want %v", c.name, got, c.want)
			continue
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: counted %v, want %v", c.name, got, c.want)
			}
		}
	}
}

func TestLateAnswerIsViolation(t *testing.T) {
	var got []Kind
	c := New(func(kind int) { got = append(got, Kind(kind)) }, nil)
	now := time.Now()
	c.CheckAnswer("on time", now, now.Add(-AnswerSlack))
	c.CheckAnswer("late", now, now.Add(-AnswerSlack-1))
	if len(got) != 1 || got[0] != AnsweredLate {
		t.Errorf("counted %v", got)
	}
}

// All violations are counted, but only a bounded number is logged.
func TestViolationLogIsBounded(t *testing.T) {
	events := eventlog.New()
	counted := 0
	c := New(func(int) { counted++ }, events)
	for range 10 * maxLoggedViolations {
		c.Report(Unanswered, "r", "again")
	}
	if counted != 10*maxLoggedViolations || c.Total() != 10*maxLoggedViolations {
		t.Errorf("%d counted", counted)
	}
	if text := string(events.Text("r")); !strings.Contains(text, `violation request="r" reason="unanswered"`) {
		t.Errorf("the events contain no violation:\n%.200s", text)
	}
}
