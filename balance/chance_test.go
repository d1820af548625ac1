package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// Servers that all fail at times must not be ejected; a server that always fails must be.
func TestBackgroundFailuresDoNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	attempts, dead := map[balance.ServerID]int{}, false
	h.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		attempts[id]++
		if dead && id == 1 || attempts[id]%20 < 2 { // one attempt in ten fails, two in a row
			return 20 * time.Millisecond, balance.Reset
		}
		return 50 * time.Millisecond, balance.OK
	}
	h.run(10*time.Second, 100, "cheap")
	h.logLines = 0
	h.run(20*time.Second, 100, "cheap")
	if h.logLines > 0 {
		t.Errorf("%d log lines about ejections where all servers fail alike", h.logLines)
	}
	dead = true
	h.run(2*time.Second, 100, "cheap")
	h.reset()
	h.run(5*time.Second, 100, "cheap")
	if h.sent[1] > 20 {
		t.Errorf("%d of 500 sends to a server that always fails", h.sent[1])
	}
}

// Low-value requests must not use up the open requests that are reserved for priority ones.
func TestOnlyPriorityRequestsNearOpenLimit(t *testing.T) {
	settings := testSettings()
	settings.MaxOpenRequests = 20
	h := newHarness(t, settings, 30)
	h.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return time.Hour, balance.TimedOut }
	total := func() (n int) {
		for _, sent := range h.sent {
			n += sent
		}
		return n
	}
	h.run(100*time.Millisecond, 300, "cheap")
	cheap := total()
	if cheap < 14 || cheap > 16 {
		t.Errorf("%d cheap requests open of 20 at most", cheap)
	}
	h.run(20*time.Millisecond, 200, "dear")
	if dear := total() - cheap; dear != 4 {
		t.Errorf("%d of 4 dear requests were sent", dear)
	}
}
