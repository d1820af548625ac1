package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// Guards against leaving out servers that all fail alike now and then, and
// against keeping one that only fails.
func TestAShortRowOfFailuresTellsNothingWhereAllFailNowAndThen(t *testing.T) {
	r := newRig(t, rigSettings(), 6)
	attempts, dead := map[balance.ServerID]int{}, false
	r.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		attempts[id]++
		if dead && id == 1 || attempts[id]%20 < 2 { // two in a row, one in ten
			return 20 * time.Millisecond, balance.Reset
		}
		return 50 * time.Millisecond, balance.OK
	}
	r.run(10*time.Second, 100, "cheap")
	r.accused = 0
	r.run(20*time.Second, 100, "cheap")
	if r.accused > 0 {
		t.Errorf("%d lines on suspects where all servers fail alike", r.accused)
	}
	dead = true
	r.run(2*time.Second, 100, "cheap")
	r.reset()
	r.run(5*time.Second, 100, "cheap")
	if r.sent[1] > 20 {
		t.Errorf("%d of 500 sends to a server that only fails", r.sent[1])
	}
}

// Guards against clients that run out of connections, where the next request
// finds none whatever its worth.
func TestNearTheOpenLimitOnlyPriorityRequestsAreTaken(t *testing.T) {
	s := rigSettings()
	s.MaxOpenRequests = 20
	r := newRig(t, s, 30)
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return time.Hour, balance.TimedOut }
	total := func() (n int) {
		for _, sent := range r.sent {
			n += sent
		}
		return n
	}
	r.run(100*time.Millisecond, 300, "cheap")
	cheap := total()
	if cheap < 14 || cheap > 16 {
		t.Errorf("%d cheap requests open of 20 at most", cheap)
	}
	r.run(20*time.Millisecond, 200, "dear")
	if dear := total() - cheap; dear != 4 {
		t.Errorf("%d of 4 dear requests were sent", dear)
	}
}
