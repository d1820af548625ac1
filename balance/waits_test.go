package balance_test

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/readings"
)

// probingNode is a node of a large fleet whose probes return the waits that the test sets.
// It records its probes and messages.
type probingNode struct {
	*harness
	serverWait func(balance.ServerID) time.Duration
	probes     int
	messagesTo map[int]int
}

func newProbingNode(t *testing.T, nodes, self, servers int) *probingNode {
	return newSeededProbingNode(t, nodes, self, servers, 0)
}

func newSeededProbingNode(t *testing.T, nodes, self, servers int, seed int64) *probingNode {
	settings := testSettings()
	settings.Nodes, settings.Self, settings.AnswerGrace = nodes, self, 20*time.Millisecond
	settings.MayProbe, settings.MayMessage, settings.ReportSource = true, true, balance.ReportsFromProbes
	node := &probingNode{harness: newSeededHarness(t, settings, servers, seed), messagesTo: map[int]int{}}
	node.serverWait = func(balance.ServerID) time.Duration { return 0 }
	node.onOther = func(action balance.Action) {
		switch action := action.(type) {
		case balance.Probe:
			node.probes++
			elapsed, code := node.serverWait(action.Server), balance.OK
			if elapsed > 400*time.Millisecond {
				elapsed, code = 400*time.Millisecond, balance.ServerError
			}
			node.pendingEvents = append(node.pendingEvents,
				timedEvent{node.now + elapsed, balance.ProbeEnded{Server: action.Server, Code: code,
					Elapsed: elapsed}})
		case balance.SendMessage:
			if action.ToAll || action.To == self || action.To < 0 || action.To >= nodes || len(action.Data) > 256 {
				t.Errorf("%d bytes to %d", len(action.Data), action.To)
			}
			node.messagesTo[action.To]++
		}
	}
	node.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return node.serverWait(id) + 100*time.Millisecond, balance.OK
	}
	return node
}

// Idle servers must cause no refusals from the first request on. Guards against thresholds
// of zero before anything is measured.
func TestNoRefusalsAtIdleServers(t *testing.T) {
	node := newProbingNode(t, 300, 7, 175)
	node.run(30*time.Second, 10, "cheap")
	if node.refused+node.failed > 0 {
		t.Errorf("%d refused, %d failed of 300", node.refused, node.failed)
	}
}

// If half of the servers have long waits, most requests must go to the others, although the
// node's own answers are too few to distinguish them.
func TestServersWithShorterWaitsArePreferred(t *testing.T) {
	node := newProbingNode(t, 300, 7, 175)
	slow := func(id balance.ServerID) bool { return id%2 == 0 }
	node.serverWait = func(id balance.ServerID) time.Duration {
		if slow(id) {
			return 40 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	node.run(10*time.Second, 10, "cheap")
	node.reset()
	node.run(60*time.Second, 10, "cheap")
	toSlow, all := 0, 0
	for id, n := range node.sent {
		if all += n; slow(id) {
			toSlow += n
		}
	}
	if all < 550 || float64(toSlow) > 0.42*float64(all) {
		t.Errorf("%d of %d requests went to the slow half", toSlow, all)
	}
}

// A node without own probes must shed by the waits that a peer reports, low-value requests
// first.
func TestPeerWaitReportsShedLowValueRequests(t *testing.T) {
	sender, receiver := newProbingNode(t, 300, 7, 175), newProbingNode(t, 300, 8, 175)
	sender.serverWait = func(balance.ServerID) time.Duration { return 200 * time.Millisecond }
	receiver.serverWait = sender.serverWait
	forward := receiver.onOther
	receiver.onOther = func(a balance.Action) {
		if _, probe := a.(balance.Probe); !probe {
			forward(a)
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	serve := func(length time.Duration) (dear, cheap int) {
		receiver.refused = 0
		for range int(length / (50 * time.Millisecond)) {
			for range 22 { // the probes of the other 299 nodes
				probe := balance.ProbeEnded{Server: balance.ServerID(1 + random.IntN(175)),
					Elapsed: 200 * time.Millisecond}
				for _, a := range sender.module.Handle(sender.now, probe) {
					if message, is := a.(balance.SendMessage); is && message.To == 8 {
						receiver.handle(balance.MessageReceived{From: 7, Data: message.Data})
					}
				}
			}
			sender.run(50*time.Millisecond, 0, "")
			before := receiver.refused
			receiver.run(25*time.Millisecond, 40, "dear")
			dear += receiver.refused - before
			before = receiver.refused
			receiver.run(25*time.Millisecond, 40, "cheap")
			cheap += receiver.refused - before
		}
		return dear, cheap
	}
	serve(5 * time.Second)
	if dear, cheap := serve(5 * time.Second); cheap < 60 || dear > cheap/4 {
		t.Errorf("refused: %d of 100 dear ones, %d of 100 cheap ones", dear, cheap)
	}
}

// After all servers were slow for 3 s, the node must serve all requests again within 10 s,
// although refusals leave it without own answers. Guards against an overload state that
// never ends.
func TestRecoveryFromOverloadWithinTenSeconds(t *testing.T) {
	node := newProbingNode(t, 300, 7, 175)
	node.run(10*time.Second, 10, "cheap")
	node.serverWait = func(balance.ServerID) time.Duration { return 1500 * time.Millisecond }
	node.run(3*time.Second, 30, "cheap")
	if node.refused == 0 {
		t.Error("nothing was shed while all servers were slow")
	}
	node.serverWait = func(balance.ServerID) time.Duration { return 5 * time.Millisecond }
	node.run(10*time.Second, 10, "cheap")
	node.refused, node.failed = 0, 0
	node.run(20*time.Second, 10, "cheap")
	if node.refused+node.failed > 0 {
		t.Errorf("%d refused, %d failed of 200 after the overload", node.refused, node.failed)
	}
}

// A server that fails fast has a short queue and must nevertheless get less load.
func TestFastFailingServerGetsLessLoad(t *testing.T) {
	node := newProbingNode(t, 300, 7, 12)
	node.serverWait = func(balance.ServerID) time.Duration { return 60 * time.Millisecond }
	node.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		if id == 3 && rand.IntN(2) == 0 {
			return time.Millisecond, balance.ServerError
		}
		return 160 * time.Millisecond, balance.OK
	}
	node.run(10*time.Second, 40, "cheap")
	node.reset()
	node.run(30*time.Second, 40, "cheap")
	total, servers := 0, 0
	for id, sent := range node.sent {
		if id != 3 {
			total, servers = total+sent, servers+1
		}
	}
	if servers == 0 || float64(node.sent[3]) > 0.8*float64(total)/float64(servers) {
		t.Errorf("the failing server got %d requests, the others a mean of %d", node.sent[3],
			total/max(1, servers))
	}
}

// Truncated, malformed, duplicate or foreign datagrams must change nothing and be counted;
// a reading of an unlisted server must attract no request.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	node := newProbingNode(t, 300, 7, 175)
	valid := readings.Encode(nil, node.now, 0.1, readings.PeerReading{Server: 1, Wait: 9, Ratio: 15, Attempts: 9})
	unlisted := readings.Encode(nil, node.now+time.Second, 0.1, readings.PeerReading{Server: 9999})
	invalid := [][]byte{nil, []byte("x"), []byte(strings.Repeat("\xb2", 256)), valid[:len(valid)-1], append(valid, 0),
		[]byte("\xb1" + string(valid[1:]))}
	for _, data := range invalid {
		node.handle(balance.MessageReceived{From: 3, Data: data})
	}
	for _, from := range []int{-1, 300, 1 << 30} {
		node.handle(balance.MessageReceived{From: from, Data: valid})
	}
	for range 3 { // only the first is new
		node.handle(balance.MessageReceived{From: 4, Data: unlisted})
	}
	if n := node.module.DiscardedDatagrams(); n != int64(len(invalid)+3+2) {
		t.Errorf("%d datagrams were discarded", n)
	}
	node.run(10*time.Second, 10, "cheap")
	if node.refused+node.failed > 0 || node.sent[9999] > 0 {
		t.Errorf("%d refused, %d failed of 100, %d sent to an unlisted server", node.refused, node.failed,
			node.sent[9999])
	}
}

// The probe rate at a server must not depend on the number of nodes, and each reading must
// go to the other nodes that use the server.
func TestProbeRateIsIndependentOfFleetSize(t *testing.T) {
	for _, nodes := range []int{100, 300, 1000} {
		servers := nodes * 7 / 12
		sum := 0.0
		for self := range 40 {
			node := newProbingNode(t, nodes, self, servers)
			node.run(20*time.Second, 5, "cheap")
			sum += float64(node.probes)
			if len(node.messagesTo) < 20 || len(node.messagesTo) > 160 { // the nodes that use its few servers
				t.Errorf("node %d of %d notifies %d others", self, nodes, len(node.messagesTo))
			}
		}
		each := sum / 40 / 20 * float64(nodes) / float64(servers) // per second and server
		if math.Abs(each-2.5) > 0.4 {
			t.Errorf("%d nodes: %.2f probes per second and server", nodes, each)
		}
	}
}
