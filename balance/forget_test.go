package balance

import (
	"testing"
	"time"
)

// A removed server must be kept only while a request is in flight there. Guards against
// memory growth when servers are replaced continually.
func TestRemovedServersAreForgotten(t *testing.T) {
	module := New(Settings{MaxAttempts: 1, Classes: []Class{{Name: "c", Effect: Safe, TargetLatency: time.Second}}}, 1)
	list := func(at Time, id ServerID) {
		module.Handle(at, ListUpdate{Kind: ListFull, Entries: []Server{{ID: id}}})
	}
	for i := range 100 {
		list(time.Duration(i), ServerID(i))
	}
	if len(module.known) != 1 {
		t.Errorf("%d servers are known", len(module.known))
	}
	module.Handle(time.Second, RequestArrived{ID: "r", Class: "c", ClientTimeout: time.Minute})
	list(2*time.Second, 100)
	if module.known[99] == nil {
		t.Fatal("forgotten with a request in flight")
	}
	module.Handle(3*time.Second, AttemptEnded{ID: "r", Server: 99, Code: OK})
	if len(module.known) != 1 || module.known[100] == nil {
		t.Errorf("after the answer %d servers are known", len(module.known))
	}
}
