package node

import (
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/discovery"
)

// A server that started a moment ago counts as such after a step of the wall clock, whether
// or not discovery reports its own time.
func TestRestartedServerWarmsUpAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		for _, dated := range []bool{false, true} {
			n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
			n.origin -= step // the wall clock at start, given its present value
			entry := discovery.Entry{InstanceID: "a", HostPort: "127.0.0.1:2", Lifecycle: "up"}
			update := func(kind balance.ListKind, startedAgo time.Duration) {
				if entry.StartedAtMs = 0; startedAgo > 0 {
					entry.StartedAtMs = time.Now().Add(-startedAgo).UnixMilli()
				}
				list := discovery.List{Generation: n.list.Generation() + 1, Full: kind == balance.ListFull, Instances: []discovery.Entry{entry}}
				if dated {
					list.Date = time.Now().Truncate(time.Second)
				}
				n.applyListUpdate(discovery.Update{Kind: kind, List: list})
			}
			update(balance.ListFull, 0)
			update(balance.ListChanges, time.Second)
			age := n.now() - n.serverStart(entry, n.list.ReceivedAt())
			if age < -time.Second || age > 1500*time.Millisecond {
				t.Errorf("step %v, discovery reports its time %v: the server counts as started %v ago", step, dated, age)
			}
		}
	}
}

// A node whose clock is wrong from the start uses discovery's clock.
func TestWrongStartClockIsCorrectedByDiscovery(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
	sourceTime := time.Now().Add(-time.Hour)
	entry := discovery.Entry{InstanceID: "a", HostPort: "127.0.0.1:2", Lifecycle: "up", StartedAtMs: sourceTime.Add(-time.Second).UnixMilli()}
	n.applyListUpdate(discovery.Update{Kind: balance.ListFull, List: discovery.List{Generation: 1, Full: true, Instances: []discovery.Entry{entry}, Date: sourceTime}})
	if age := n.now() - n.serverStart(entry, 0); age > 7*time.Second {
		t.Errorf("the server counts as started %v ago", age)
	}
}
