package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// Servers that all fail at times must not be ejected; a server that always fails must be.
func TestBackgroundFailuresDoNotEject(t *testing.T) {
	node := newHarness(t, testSettings(), 6)
	attempts, dead := map[balance.ServerID]int{}, false
	node.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		attempts[id]++
		if dead && id == 1 || attempts[id]%20 < 2 { // one attempt in ten fails, two in a row
			return 20 * time.Millisecond, balance.Reset
		}
		return 50 * time.Millisecond, balance.OK
	}
	node.run(10*time.Second, 100, "cheap")
	node.logLines = 0
	node.run(20*time.Second, 100, "cheap")
	if node.logLines > 0 {
		t.Errorf("%d log lines about ejections where all servers fail alike", node.logLines)
	}
	dead = true
	node.run(2*time.Second, 100, "cheap")
	node.reset()
	node.run(5*time.Second, 100, "cheap")
	if node.sent[1] > 20 {
		t.Errorf("%d of 500 sends to a server that always fails", node.sent[1])
	}
}

// Low-value requests must not use up the open requests that are reserved for priority ones.
func TestOnlyPriorityRequestsNearOpenLimit(t *testing.T) {
	settings := testSettings()
	settings.MaxOpenRequests = 20
	node := newHarness(t, settings, 30)
	node.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return time.Hour, balance.TimedOut }
	total := func() (n int) {
		for _, sent := range node.sent {
			n += sent
		}
		return n
	}
	node.run(100*time.Millisecond, 300, "cheap")
	cheap := total()
	if cheap < 14 || cheap > 16 {
		t.Errorf("%d cheap requests open of 20 at most", cheap)
	}
	node.run(20*time.Millisecond, 200, "dear")
	if dear := total() - cheap; dear != 4 {
		t.Errorf("%d of 4 dear requests were sent", dear)
	}
}
