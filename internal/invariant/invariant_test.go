package invariant

import (
	"strings"
	"testing"
	"time"

	"ivylock/internal/eventlog"
)

func TestEachViolationIsCountedByItsKind(t *testing.T) {
	if int(kinds) != len(KindNames) || Kind(len(KindNames)).String() != "unknown" {
		t.Fatalf("%d kinds, %d words", kinds, len(KindNames))
	}
	now := time.Now()
	good := func() WrittenAttempt {
		return WrittenAttempt{Request: "r", At: now, Deadline: now.Add(time.Second), DrainGrace: 500 * time.Millisecond, SentTimeout: time.Second}
	}
	for _, c := range []struct {
		name  string
		spoil func(*WrittenAttempt)
		want  []Kind
	}{
		{"nothing", func(*WrittenAttempt) {}, nil},
		{"over a moment ago", func(w *WrittenAttempt) { w.EndedAt = now.Add(-WriteSlack) }, nil},
		{"over for long", func(w *WrittenAttempt) { w.EndedAt = now.Add(-WriteSlack - 1) }, []Kind{WrittenAfterEnd}},
		{"past its time", func(w *WrittenAttempt) { w.Deadline, w.SentTimeout = now.Add(-WriteSlack-1), 0 }, []Kind{WrittenAfterDeadline}},
		{"within the grace", func(w *WrittenAttempt) { w.DrainKnownAt = now.Add(-w.DrainGrace) }, nil},
		{"after the grace", func(w *WrittenAttempt) { w.DrainKnownAt = now.Add(-w.DrainGrace - 1) }, []Kind{WrittenToDraining}},
		{"while it ends", func(w *WrittenAttempt) { w.AfterIntake = true }, []Kind{WrittenDuringShutdown}},
		{"told a little more", func(w *WrittenAttempt) { w.SentTimeout += TimeoutSlack }, nil},
		{"told too much", func(w *WrittenAttempt) { w.SentTimeout += TimeoutSlack + 1 }, []Kind{TimeOverstated}},
		{"all at once", func(w *WrittenAttempt) {
			w.EndedAt, w.Deadline, w.DrainKnownAt, w.AfterIntake = now.Add(-time.Hour), now.Add(-time.Hour), now.Add(-time.Hour), true
		}, []Kind{WrittenAfterEnd, WrittenAfterDeadline, WrittenToDraining, WrittenDuringShutdown, TimeOverstated}},
	} {
		var got []Kind
		checker := New(func(kind int) { got = append(got, Kind(kind)) }, eventlog.New())
		w := good()
		c.spoil(&w)
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

func TestALateAnswerIsAViolation(t *testing.T) {
	var got []Kind
	c := New(func(kind int) { got = append(got, Kind(kind)) }, nil)
	now := time.Now()
	c.CheckAnswer("on time", now, now.Add(-AnswerSlack))
	c.CheckAnswer("late", now, now.Add(-AnswerSlack-1))
	if len(got) != 1 || got[0] != AnsweredLate {
		t.Errorf("counted %v", got)
	}
}

// However many violations there are, the log stays bounded and all are counted.
func TestViolationsDoNotFloodTheLog(t *testing.T) {
	events := eventlog.New()
	counted := 0
	c := New(func(int) { counted++ }, events)
	for range 10 * mostLines {
		c.Report(Unanswered, "r", "again")
	}
	if counted != 10*mostLines || c.Total() != 10*mostLines {
		t.Errorf("%d counted", counted)
	}
	if text := string(events.Text("r")); !strings.Contains(text, `violation request="r" reason="unanswered"`) {
		t.Errorf("the events have no violation:\n%.200s", text)
	}
}
