package balance

import (
	"testing"
	"time"
)

// A removed server must be kept only while a request is in flight there. Guards against
// memory growth when servers are replaced continually.
func TestRemovedServersAreForgotten(t *testing.T) {
	m := New(Settings{MaxAttempts: 1, Classes: []Class{{Name: "c", Effect: Safe, TargetLatency: time.Second}}}, 1)
	list := func(at Time, id ServerID) {
		m.Handle(at, ListUpdate{Kind: ListFull, Entries: []Server{{ID: id}}})
	}
	for i := range 100 {
		list(time.Duration(i), ServerID(i))
	}
	if len(m.known) != 1 {
		t.Errorf("%d servers are known", len(m.known))
	}
	m.Handle(time.Second, RequestArrived{ID: "r", Class: "c", ClientTimeout: time.Minute})
	list(2*time.Second, 100)
	if m.known[99] == nil {
		t.Fatal("forgotten with a request in flight")
	}
	m.Handle(3*time.Second, AttemptEnded{ID: "r", Server: 99, Code: OK})
	if len(m.known) != 1 || m.known[100] == nil {
		t.Errorf("after the answer %d servers are known", len(m.known))
	}
}
