package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// A server that has just been restarted, as the list tells, must not be sent work at the rate of the warm process
// before it. Found by ivylab sweep, seed 429: a hall that is lost for 190 ms and comes back cold.
func TestARestartedServerKeepsNothingOfItsOlderRate(t *testing.T) {
	s := rigSettings()
	s.WarmupStartFraction, s.OverloadFactor = 0.32, 2.5
	r := newRig(t, s, 4)
	r.run(10*time.Second, 200, "cheap")
	r.reset()
	r.run(time.Second, 200, "cheap")
	warm := r.sent[2]
	r.feed(balance.ListUpdate{Kind: balance.ListChanges, Entries: []balance.Server{{ID: 2, Zone: "z", StartedAt: r.now}}})
	r.reset()
	r.run(time.Second, 200, "cheap")
	if cold := r.sent[2]; float64(cold) > 0.8*float64(warm) {
		t.Errorf("%d sends in the first second after its start, %d in the last before it", cold, warm)
	}
}
