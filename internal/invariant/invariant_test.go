package invariant

import (
	"strings"
	"testing"
	"time"

	"ivylock/internal/eventlog"
)

func TestEachViolationIsCountedByItsKind(t *testing.T) {
	if int(kinds) != len(Words) || Kind(len(Words)).String() != "unknown" {
		t.Fatalf("%d kinds, %d words", kinds, len(Words))
	}
	now := time.Now()
	good := func() Written {
		return Written{Request: "r", At: now, Deadline: now.Add(time.Second), DrainGrace: 500 * time.Millisecond, Told: time.Second}
	}
	for _, c := range []struct {
		name  string
		spoil func(*Written)
		want  []Kind
	}{
		{"nothing", func(*Written) {}, nil},
		{"over a moment ago", func(w *Written) { w.Over = now.Add(-EndSlack) }, nil},
		{"over for long", func(w *Written) { w.Over = now.Add(-EndSlack - 1) }, []Kind{WrittenAfterEnd}},
		{"past its time", func(w *Written) { w.Deadline, w.Told = now.Add(-EndSlack-1), 0 }, []Kind{WrittenAfterDeadline}},
		{"within the grace", func(w *Written) { w.ServerClosed = now.Add(-w.DrainGrace) }, nil},
		{"after the grace", func(w *Written) { w.ServerClosed = now.Add(-w.DrainGrace - 1) }, []Kind{WrittenToDraining}},
		{"while it ends", func(w *Written) { w.TooLate = true }, []Kind{WrittenWhileEnding}},
		{"told a little more", func(w *Written) { w.Told += TimeSlack }, nil},
		{"told too much", func(w *Written) { w.Told += TimeSlack + 1 }, []Kind{TimeOverstated}},
		{"all at once", func(w *Written) {
			w.Over, w.Deadline, w.ServerClosed, w.TooLate = now.Add(-time.Hour), now.Add(-time.Hour), now.Add(-time.Hour), true
		}, []Kind{WrittenAfterEnd, WrittenAfterDeadline, WrittenToDraining, WrittenWhileEnding, TimeOverstated}},
	} {
		var got []Kind
		checker := New(func(kind int) { got = append(got, Kind(kind)) }, eventlog.New())
		w := good()
		c.spoil(&w)
		checker.Wrote(w)
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
	c.Answered("on time", now, now.Add(-LateSlack))
	c.Answered("late", now, now.Add(-LateSlack-1))
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
		c.Broken(Unanswered, "r", "again")
	}
	if counted != 10*mostLines || c.Total() != 10*mostLines {
		t.Errorf("%d counted", counted)
	}
	if text := string(events.Text("r")); !strings.Contains(text, `violation request="r" reason="unanswered"`) {
		t.Errorf("the events have no violation:\n%.200s", text)
	}
}
