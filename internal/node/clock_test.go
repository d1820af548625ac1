package node

import (
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/discovery"
)

// Whichever way the wall clock stepped since the node's start, a server that is told to have
// started a moment ago has started a moment ago; so it has for a node whose own clock was wrong
// at its start, where discovery tells its time.
func TestAServerIsColdThoughTheClockStepped(t *testing.T) {
	for _, step := range []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		for _, told := range []bool{false, true} {
			n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
			n.origin -= step // what the wall clock was at the start, by what it is now
			entry := discovery.Entry{InstanceID: "a", HostPort: "127.0.0.1:2", Lifecycle: "up"}
			news := func(kind balance.ListKind, startedAgo time.Duration) {
				if entry.StartedAtMs = 0; startedAgo > 0 {
					entry.StartedAtMs = time.Now().Add(-startedAgo).UnixMilli()
				}
				list := discovery.List{Generation: n.list.Generation() + 1, Full: kind == balance.ListFull, Instances: []discovery.Entry{entry}}
				if told {
					list.Date = time.Now().Truncate(time.Second)
				}
				n.takeNews(discovery.Update{Kind: kind, List: list})
			}
			news(balance.ListFull, 0)
			news(balance.ListChanges, time.Second)
			age := n.now() - n.startOf(entry, n.list.ReceivedAt())
			if age < -time.Second || age > 1500*time.Millisecond {
				t.Errorf("step %v, discovery tells its time %v: it counts as started %v ago", step, told, age)
			}
		}
	}
}

// A node whose clock is wrong from its start on goes by discovery's.
func TestAWrongClockAtTheStartIsFoundOut(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
	discoverysTime := time.Now().Add(-time.Hour)
	entry := discovery.Entry{InstanceID: "a", HostPort: "127.0.0.1:2", Lifecycle: "up", StartedAtMs: discoverysTime.Add(-time.Second).UnixMilli()}
	n.takeNews(discovery.Update{Kind: balance.ListFull, List: discovery.List{Generation: 1, Full: true, Instances: []discovery.Entry{entry}, Date: discoverysTime}})
	if age := n.now() - n.startOf(entry, 0); age > 7*time.Second {
		t.Errorf("it counts as started %v ago", age)
	}
}
