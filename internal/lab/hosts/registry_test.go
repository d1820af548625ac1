package hosts

import (
	"fmt"
	"testing"
	"time"
)

// summary formats a list as its generation, "all" for a full list, and its entries.
func summary(l List) string {
	text := fmt.Sprintf("%d", l.Generation)
	if l.Reset {
		text += " all"
	}
	for _, e := range l.Instances {
		text += " " + e.InstanceID + "=" + e.Lifecycle
	}
	return text
}

func expectList(t *testing.T, l List, text string) {
	t.Helper()
	if got := summary(l); got != text {
		t.Errorf("got %q, want %q", got, text)
	}
}

func TestChangesAreListedOnceWhenDue(t *testing.T) {
	r := NewRegistry(40)
	r.Schedule(0, Entry{InstanceID: "a", Lifecycle: Up})
	r.Schedule(0, Entry{InstanceID: "b", Lifecycle: Up})
	r.Advance(0)
	expectList(t, r.All(), "42 all a=up b=up")
	r.Schedule(2*time.Second, Entry{InstanceID: "a", Lifecycle: Removed})
	r.Schedule(time.Second, Entry{InstanceID: "a", Lifecycle: Draining})
	if at, any := r.Next(); !any || at != time.Second {
		t.Errorf("next change at %v, %v; want 1s", at, any)
	}
	if got := r.Advance(999 * time.Millisecond); len(got) != 0 {
		t.Errorf("changes before they are due: %v", got)
	}
	r.Advance(time.Second)
	expectList(t, r.Since(42), "43 a=draining")
	r.Advance(2 * time.Second)
	expectList(t, r.Since(42), "44 a=removed")
	expectList(t, r.Since(44), "44")
	expectList(t, r.All(), "44 all b=up")
}

func TestUnknownVersionGetsFullList(t *testing.T) {
	r := NewRegistry(40)
	r.Schedule(0, Entry{InstanceID: "a", Lifecycle: Up})
	r.Advance(0)
	expectList(t, r.Since(39), "41 all a=up") // older than the change log
	expectList(t, r.Since(99), "41 all a=up") // from before a restart
	r.Restart(3)
	expectList(t, r.Since(41), "3 all a=up")
	r.Schedule(1, Entry{InstanceID: "a", Lifecycle: Draining})
	r.Advance(1)
	expectList(t, r.Since(3), "4 a=draining")
}

func TestChangeLogIsBounded(t *testing.T) {
	r := NewRegistry(0)
	for i := range 3 * maxChanges {
		r.Schedule(0, Entry{InstanceID: fmt.Sprint(i % 7), Lifecycle: Up})
	}
	r.Advance(0)
	if len(r.changeLog) > maxChanges {
		t.Errorf("the log has %d changes", len(r.changeLog))
	}
	if l := r.Since(uint64(3*maxChanges) - maxChanges); l.Reset || len(l.Instances) != 7 {
		t.Errorf("for the oldest version in the log: %s", summary(l))
	}
	if l := r.Since(uint64(3*maxChanges) - maxChanges - 1); !l.Reset {
		t.Errorf("for a version before the log: %s", summary(l))
	}
}
