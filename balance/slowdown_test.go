package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/readings"
)

// testFleet is a large fleet of nodes that share servers and receive each other's messages.
type testFleet struct {
	nodes          []*probingNode
	dropMessage    func(from, to int) bool // drops a datagram if true
	rewriteMessage func(from int, data []byte) []byte
}

func newTestFleet(t *testing.T, nodes, servers int) *testFleet {
	return newSeededTestFleet(t, nodes, servers, 0)
}

func newSeededTestFleet(t *testing.T, nodes, servers int, seed int64) *testFleet {
	fleet := &testFleet{dropMessage: func(int, int) bool { return false },
		rewriteMessage: func(_ int, data []byte) []byte { return data }}
	for self := range nodes {
		node := newSeededProbingNode(t, nodes, self, servers, seed)
		node.serverWait = func(balance.ServerID) time.Duration { return 2 * time.Millisecond }
		onOther := node.onOther
		node.onOther = func(action balance.Action) {
			if onOther(action); true {
				if message, is := action.(balance.SendMessage); is && !fleet.dropMessage(self, message.To) {
					to := fleet.nodes[message.To]
					to.pendingEvents = append(to.pendingEvents, timedEvent{to.now + 10*time.Millisecond,
						balance.MessageReceived{From: self, Data: fleet.rewriteMessage(self, message.Data)}})
				}
			}
		}
		fleet.nodes = append(fleet.nodes, node)
	}
	return fleet
}

// run gives each node rate requests per second and returns the sends per server.
func (fleet *testFleet) run(length time.Duration, rate float64, class string) map[balance.ServerID]int {
	for _, node := range fleet.nodes {
		node.reset()
	}
	for end := fleet.nodes[0].now + length; fleet.nodes[0].now < end; {
		for _, node := range fleet.nodes {
			node.run(250*time.Millisecond, rate, class)
		}
	}
	sent := map[balance.ServerID]int{}
	for _, node := range fleet.nodes {
		for id, n := range node.sent {
			sent[id] += n
		}
	}
	return sent
}

// slowDown makes a server answer after the given time, without a visible queue.
func (fleet *testFleet) slowDown(id balance.ServerID, latency time.Duration) {
	for _, node := range fleet.nodes {
		normalDelay := node.delay
		node.delay = func(s balance.ServerID) (time.Duration, balance.OutcomeCode) {
			if s == id {
				return latency, balance.OK
			}
			return normalDelay(s)
		}
	}
}

// meanOfOthers returns the mean number of sends to the servers other than id.
func meanOfOthers(sent map[balance.ServerID]int, id balance.ServerID) float64 {
	sum, servers := 0.0, 0.0
	for server, sends := range sent {
		if server != id {
			sum, servers = sum+float64(sends), servers+1
		}
	}
	return sum / max(1, servers)
}

// A new server is six times slower than the others, without a visible queue. Each node
// sends it one request in two seconds, too few to detect it alone; peer reports must reveal
// it.
func TestFleetDetectsSlowNewServer(t *testing.T) {
	shares := map[bool]float64{}
	for _, withReports := range []bool{true, false} {
		fleet := newTestFleet(t, 60, 12)
		if !withReports {
			fleet.rewriteMessage = func(_ int, data []byte) []byte { // the same readings, without attempts
				return encodeReading(fleet, 0.1, decodeReading(t, data))
			}
		}
		fleet.run(5*time.Second, 1, "dear")
		fleet.slowDown(5, 600*time.Millisecond)
		fleet.run(4*time.Second, 1, "dear")
		sent := fleet.run(6*time.Second, 1, "dear")
		shares[withReports] = float64(sent[5]) / meanOfOthers(sent, 5)
	}
	if shares[true] > 0.15 || shares[true] > shares[false]/2 {
		t.Errorf("relative load with peer reports %.2f, without %.2f", shares[true], shares[false])
	}
}

// encodeReading encodes a reading as a node does.
func encodeReading(fleet *testFleet, serviceTime float64, reading readings.PeerReading) []byte {
	return readings.Encode(nil, fleet.nodes[0].now, serviceTime, reading)
}

func decodeReading(t *testing.T, data []byte) (reading readings.PeerReading) {
	if _, err := readings.Decode(data, 0, new(readings.PeerState),
		func(decoded readings.PeerReading) { reading = decoded }); err != nil {
		t.Fatal(err)
	}
	reading.Ratio, reading.Attempts = 0, 0
	return reading
}

// One node reports every server as ten times slower than it is, and a third of all
// datagrams are lost: the load must stay even, because a report counts only as a few
// attempts. Single seeds may deviate by chance, so the bounds apply to the mean over seeds.
func TestFaultyPeerReportsHaveLittleEffect(t *testing.T) {
	const seeds = 24
	least, most, outOfBounds := 0.0, 0.0, 0
	for seed := range int64(seeds) {
		fleet := newSeededTestFleet(t, 60, 12, seed)
		fleet.dropMessage = func(from, to int) bool { return (from+to)%3 == 0 }
		fleet.rewriteMessage = func(from int, data []byte) []byte {
			if from != 5 {
				return data
			}
			reading := decodeReading(t, data)
			reading.Ratio, reading.Attempts = 15, 255
			return encodeReading(fleet, 1, reading)
		}
		fleet.run(5*time.Second, 4, "cheap")
		sent := fleet.run(10*time.Second, 4, "cheap")
		low, high := 1.0, 1.0
		for id, n := range sent {
			ratio := float64(n) / meanOfOthers(sent, id)
			low, high = min(low, ratio), max(high, ratio)
		}
		least, most = least+low/seeds, most+high/seeds
		if low < 0.2 || high > 2 {
			outOfBounds++
		}
		for i, node := range fleet.nodes {
			if node.refused+node.failed > 0 {
				t.Errorf("seed %d, node %d: %d refused, %d failed", seed, i, node.refused, node.failed)
			}
		}
	}
	t.Logf("relative load of a server, mean over seeds: least %.2f, most %.2f; outside 0.2 to 2 with %d of %d seeds",
		least,
		most, outOfBounds, seeds)
	if least < 0.2 || most > 2 {
		t.Errorf("relative load of a server from %.2f to %.2f", least, most)
	}
}

// If all servers slow down alike, none may be avoided and no request that can be answered
// in time may be refused.
func TestUniformSlowdownCausesNoRefusals(t *testing.T) {
	fleet := newTestFleet(t, 60, 12)
	fleet.run(5*time.Second, 2, "cheap")
	for id := range 12 {
		fleet.slowDown(balance.ServerID(id+1), 700*time.Millisecond)
	}
	fleet.run(10*time.Second, 2, "cheap")
	for i, node := range fleet.nodes {
		if node.refused+node.failed > 0 {
			t.Errorf("node %d: %d refused, %d failed", i, node.refused, node.failed)
		}
	}
}
