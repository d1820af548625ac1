package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// A server that is listed as restarted must not get requests at the rate of the former warm
// process. Found by ivylab sweep, seed 429: a zone fails for 190 ms and returns cold.
func TestRestartedServerDropsItsFormerRate(t *testing.T) {
	settings := testSettings()
	settings.WarmupStartFraction, settings.OverloadFactor = 0.32, 2.5
	node := newHarness(t, settings, 4)
	node.run(10*time.Second, 200, "cheap")
	node.reset()
	node.run(time.Second, 200, "cheap")
	warm := node.sent[2]
	node.handle(balance.ListUpdate{Kind: balance.ListChanges,
		Entries: []balance.Server{{ID: 2, Zone: "z", StartedAt: node.now}}})
	node.reset()
	node.run(time.Second, 200, "cheap")
	if cold := node.sent[2]; float64(cold) > 0.8*float64(warm) {
		t.Errorf("%d sends in the first second after its start, %d in the last before it", cold, warm)
	}
}
