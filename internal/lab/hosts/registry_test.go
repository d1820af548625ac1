package hosts

import (
	"fmt"
	"testing"
	"time"
)

func names(l List) string {
	text := fmt.Sprintf("%d", l.Generation)
	if l.Reset {
		text += " all"
	}
	for _, e := range l.Instances {
		text += " " + e.InstanceID + "=" + e.Lifecycle
	}
	return text
}

func want(t *testing.T, l List, text string) {
	t.Helper()
	if got := names(l); got != text {
		t.Errorf("have %q, want %q", got, text)
	}
}

func TestChangesAreToldOnceAndLate(t *testing.T) {
	r := NewRegistry(40)
	r.Schedule(0, Entry{InstanceID: "a", Lifecycle: Up})
	r.Schedule(0, Entry{InstanceID: "b", Lifecycle: Up})
	r.Advance(0)
	want(t, r.All(), "42 all a=up b=up")
	r.Schedule(2*time.Second, Entry{InstanceID: "a", Lifecycle: Removed})
	r.Schedule(time.Second, Entry{InstanceID: "a", Lifecycle: Draining})
	if at, any := r.Next(); !any || at != time.Second {
		t.Errorf("next at %v, %v", at, any)
	}
	if got := r.Advance(999 * time.Millisecond); len(got) != 0 {
		t.Errorf("told early: %v", got)
	}
	r.Advance(time.Second)
	want(t, r.Since(42), "43 a=draining")
	r.Advance(2 * time.Second)
	want(t, r.Since(42), "44 a=removed")
	want(t, r.Since(44), "44")
	want(t, r.All(), "44 all b=up")
}

func TestAVersionItNeverHadGetsTheWholeList(t *testing.T) {
	r := NewRegistry(40)
	r.Schedule(0, Entry{InstanceID: "a", Lifecycle: Up})
	r.Advance(0)
	want(t, r.Since(39), "41 all a=up") // older than its log
	want(t, r.Since(99), "41 all a=up") // from another life
	r.Restart(3)
	want(t, r.Since(41), "3 all a=up")
	r.Schedule(1, Entry{InstanceID: "a", Lifecycle: Draining})
	r.Advance(1)
	want(t, r.Since(3), "4 a=draining")
}

func TestItsLogIsBounded(t *testing.T) {
	r := NewRegistry(0)
	for i := range 3 * maxChanges {
		r.Schedule(0, Entry{InstanceID: fmt.Sprint(i % 7), Lifecycle: Up})
	}
	r.Advance(0)
	if len(r.log) > maxChanges {
		t.Errorf("%d changes in the log", len(r.log))
	}
	if l := r.Since(uint64(3*maxChanges) - maxChanges); l.Reset || len(l.Instances) != 7 {
		t.Errorf("the oldest version in the log gives %s", names(l))
	}
	if l := r.Since(uint64(3*maxChanges) - maxChanges - 1); !l.Reset {
		t.Errorf("one older gives %s", names(l))
	}
}
