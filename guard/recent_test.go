package guard

import (
	"testing"
	"time"
)

func TestRecentIDsAreForgottenByAgeAndNumber(t *testing.T) {
	var r RecentIDs
	if r.Contains(1, 0) {
		t.Error("an id that was never added is known")
	}
	r.Add(1, time.Second)
	r.Add(2, 2*time.Second)
	r.Add(1, 3*time.Second)
	if end := 3*time.Second + RecentIDWindow; !r.Contains(1, end) || r.Contains(1, end+1) || r.Contains(2, end) {
		t.Error("ids are not forgotten by their age")
	}
	r.Add(3, 2*time.Second+RecentIDWindow+1)
	if len(r.seenAt) != 2 || !r.Contains(1, 3*time.Second+RecentIDWindow) {
		t.Errorf("%d ids are kept, want that of the second time and the newest", len(r.seenAt))
	}
	now := time.Minute
	for i := range uint64(3 * maxRecentIDs) {
		r.Add(100+i, now)
	}
	if len(r.seenAt) > maxRecentIDs || len(r.order) > 2*maxRecentIDs+1 || !r.Contains(99+3*maxRecentIDs, now) || r.Contains(100, now) {
		t.Errorf("%d ids are kept in %d places", len(r.seenAt), len(r.order))
	}
}
