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
	h := newHarness(t, settings, 4)
	h.run(10*time.Second, 200, "cheap")
	h.reset()
	h.run(time.Second, 200, "cheap")
	warm := h.sent[2]
	h.handle(balance.ListUpdate{Kind: balance.ListChanges,
		Entries: []balance.Server{{ID: 2, Zone: "z", StartedAt: h.now}}})
	h.reset()
	h.run(time.Second, 200, "cheap")
	if cold := h.sent[2]; float64(cold) > 0.8*float64(warm) {
		t.Errorf("%d sends in the first second after its start, %d in the last before it", cold, warm)
	}
}
