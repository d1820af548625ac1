package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// largeFleetSettings returns the settings of one of a thousand nodes.
func largeFleetSettings() balance.Settings {
	settings := testSettings()
	settings.Nodes, settings.AnswerGrace = 1000, 20*time.Millisecond
	return settings
}

// Idle servers must not count as overloaded. Guards against thresholds below one request.
func TestNoRefusalsWithFewRequestsAndManyServers(t *testing.T) {
	node := newHarness(t, largeFleetSettings(), 200)
	node.run(60*time.Second, 2, "cheap")
	if node.refused+node.failed > 0 {
		t.Errorf("%d refused, %d failed of 120", node.refused, node.failed)
	}
}

// A restarted node of a large fleet must shed after a few answers from servers that are too
// slow.
func TestRestartedNodeShedsAfterFewAnswers(t *testing.T) {
	node := newHarness(t, largeFleetSettings(), 40)
	node.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return 1400 * time.Millisecond, balance.OK
	}
	node.run(4500*time.Millisecond, 10, "cheap")
	if node.refused < 5 {
		t.Errorf("%d of 45 refused while every answer takes 1.4 s, target latency 1.5 s", node.refused)
	}
}

// Servers at their connection limit reject new connections; requests must be served
// elsewhere.
func TestServersAtConnectionLimit(t *testing.T) {
	node := newHarness(t, largeFleetSettings(), 60)
	node.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		if id%3 == 0 {
			return 100 * time.Millisecond, balance.ConnectFailed
		}
		return 50 * time.Millisecond, balance.OK
	}
	node.run(5*time.Second, 10, "cheap")
	node.reset()
	node.inTime = map[string]int{}
	node.run(20*time.Second, 10, "cheap")
	if node.inTime["cheap"] < 190 {
		t.Errorf("%d of 200 served in time, %d refused, %d failed", node.inTime["cheap"], node.refused, node.failed)
	}
}

// A request rejected as Full must not be retried over and over in a large fleet.
func TestFullServersGetNoRetryStorm(t *testing.T) {
	settings := largeFleetSettings()
	settings.Nodes = 100 // subsets are large enough that blocked servers do not limit the retries
	node := newHarness(t, settings, 60)
	node.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return time.Millisecond, balance.Full }
	node.run(10*time.Second, 10, "cheap")
	sent := 0
	for _, n := range node.sent {
		sent += n
	}
	if sent > 130 {
		t.Errorf("%d sends for 100 requests to servers that are all full", sent)
	}
}

// A large fleet that is slow as a whole must keep at least half of each subset.
func TestLargeFleetEjectsAtMostHalf(t *testing.T) {
	node := newHarness(t, largeFleetSettings(), 4) // with four servers the subset is all of them
	node.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return 10 * time.Millisecond, balance.ServerError
	}
	node.run(10*time.Second, 10, "once")
	if node.logLines > 2 {
		t.Errorf("%d of 4 servers ejected", node.logLines)
	}
}

func BenchmarkLargeFleetRequest(b *testing.B) {
	module := balance.New(largeFleetSettings(), 1)
	var list []balance.Server
	for i := range 500 {
		list = append(list, balance.Server{ID: balance.ServerID(i + 1)})
	}
	module.Handle(0, balance.ListUpdate{Kind: balance.ListCached, Entries: list})
	benchmarkRequests(b, module, 100*time.Millisecond)
}

// Idle servers whose service time is half of the target latency must not cause shedding.
// Guards against thresholds that depend on the target latencies alone.
func TestNoSheddingAtIdleServers(t *testing.T) {
	settings := largeFleetSettings()
	settings.Classes = settings.Classes[1:2] // target latency 1.5 s
	node := newHarness(t, settings, 40)
	node.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return 800 * time.Millisecond, balance.OK
	}
	node.run(60*time.Second, 5, "cheap")
	if node.refused > 15 {
		t.Errorf("%d of 300 refused at idle servers", node.refused)
	}
}

// A server allows fewer connections than there are nodes that use it, and begins to reject
// them all at one moment. The nodes must back off, and must not all return at the same time.
func TestRejectedNodesReturnDesynchronized(t *testing.T) {
	const interval, seconds = 100 * time.Millisecond, 10
	fleet := newTestFleet(t, 60, 12)
	rejected, from := map[int]int{}, time.Duration(0)
	for _, node := range fleet.nodes {
		node.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
			if from == 0 || id != 5 {
				return 50 * time.Millisecond, balance.OK
			}
			rejected[int((node.now-from)/interval)]++
			return time.Millisecond, balance.Full
		}
	}
	fleet.run(5*time.Second, 60, "cheap")
	from = fleet.nodes[0].now
	fleet.run(seconds*time.Second, 60, "cheap")
	total, most := 0, 0
	for i := 5 * int(time.Second/interval); i < seconds*int(time.Second/interval); i++ {
		total, most = total+rejected[i], max(most, rejected[i])
	}
	mean := float64(total) / 5 / float64(time.Second/interval)
	if total < 20 || mean*float64(time.Second/interval) > 20 || float64(most) > 4*mean+1 {
		t.Errorf("mean of %.1f rejected requests in %v, at most %d", mean, interval, most)
	}
	t.Log(mean, most, rejected)
}
