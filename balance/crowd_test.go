package balance_test

import (
	"fmt"
	"testing"
	"time"

	"barrowscale/balance"
)

// crowdSettings are those of one of a thousand nodes.
func crowdSettings() balance.Settings {
	s := rigSettings()
	s.Nodes, s.AnswerSlack = 1000, 20*time.Millisecond
	return s
}

func probing(s balance.Settings) balance.Settings {
	s.MayProbe, s.ReportVia = true, balance.ReportProbe
	return s
}

// A node of a thousand uses a small and steady part of the servers, and each server is in about as many sets.
func TestSubsetIsSmallSteadyAndEven(t *testing.T) {
	const servers, nodes = 200, 400
	shared := map[balance.ServerID]int{}
	for self := range nodes {
		s := crowdSettings()
		s.Self = self
		r := newRig(t, s, servers)
		r.run(2*time.Second, 50, "cheap")
		if len(r.sent) < 2 || len(r.sent) > 20 {
			t.Fatalf("node %d used %d servers", self, len(r.sent))
		}
		for id := range r.sent {
			shared[id]++
		}
	}
	for id := balance.ServerID(1); id <= servers; id++ {
		if shared[id] < 4 || shared[id] > 40 { // 16 on average
			t.Errorf("server %d is used by %d nodes", id, shared[id])
		}
	}
}

// A node with two requests a second in front of two hundred idle servers refuses none of them: guards against
// windows of less than a request, by which nearly every server counts as overloaded while idle.
func TestFewRequestsManyServersNothingRefused(t *testing.T) {
	r := newRig(t, crowdSettings(), 200)
	r.run(60*time.Second, 2, "cheap")
	if r.refused+r.failed > 0 {
		t.Errorf("%d refused, %d failed of 120", r.refused, r.failed)
	}
}

// A request that waits for probes gets its answer in time, whatever its patience and though no probe returns.
// Guards against one lost at its deadline while it was held.
func TestHeldRequestIsAnsweredInTime(t *testing.T) {
	for patience := time.Duration(0); patience <= 200*time.Millisecond; patience += 5 * time.Millisecond {
		r := newRig(t, probing(crowdSettings()), 10)
		r.run(time.Second, 0, "")
		r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return time.Hour, balance.TimedOut }
		id := balance.RequestID("cheap1")
		r.feed(balance.RequestArrived{ID: id, Class: "cheap", Patience: patience})
		r.run(patience+20*time.Millisecond, 0, "")
		if len(r.sent) == 0 && r.refused+r.failed == 0 {
			t.Errorf("patience %v: neither sent nor answered %v later", patience, patience+20*time.Millisecond)
		}
	}
}

// Of two servers that were asked, the one that holds less gets the request.
func TestProbedChoiceHoldsLess(t *testing.T) {
	r := newRig(t, probing(crowdSettings()), 2)
	r.run(time.Second, 0, "")
	holds := map[balance.ServerID]float64{1: 9, 2: 1}
	for i := range 20 {
		id := balance.RequestID(fmt.Sprint("cheap", i))
		actions := r.m.Handle(r.now, balance.RequestArrived{ID: id, Class: "cheap", Patience: time.Second})
		for _, a := range actions {
			p, ok := a.(balance.Probe)
			if !ok {
				continue
			}
			r.feed(balance.ProbeEnded{Server: p.Server, Code: balance.OK,
				Report: &balance.Report{InFlight: holds[p.Server], HasInFlight: true}})
		}
		r.run(100*time.Millisecond, 0, "")
	}
	if r.sent[1] > 0 || r.sent[2] != 20 {
		t.Errorf("sends: %v, all 20 belong to server 2", r.sent)
	}
}

// A node that has just started, one of a thousand, in front of servers that are far too slow: it sheds after a few
// answers. Guards against a restart of many nodes that all call every server normal for seconds.
func TestRestartedNodeShedsSoon(t *testing.T) {
	r := newRig(t, crowdSettings(), 40)
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return 1400 * time.Millisecond, balance.OK
	}
	r.run(4500*time.Millisecond, 10, "cheap")
	if r.refused < 5 {
		t.Errorf("%d of 45 refused while every answer takes 1.4 s of an aim of 1.5 s", r.refused)
	}
}

// Servers at their connection limit fail each connect but answer others: the node's requests are served elsewhere.
func TestConnectionCapMet(t *testing.T) {
	r := newRig(t, crowdSettings(), 60)
	r.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		if id%3 == 0 {
			return 100 * time.Millisecond, balance.ConnectFailed
		}
		return 50 * time.Millisecond, balance.OK
	}
	r.run(5*time.Second, 10, "cheap")
	r.reset()
	r.inTime = map[string]int{}
	r.run(20*time.Second, 10, "cheap")
	if r.inTime["cheap"] < 190 {
		t.Errorf("%d of 200 served in time, %d refused, %d failed", r.inTime["cheap"], r.refused, r.failed)
	}
}

// A request turned away as full is not sent again and again in a crowd. Guards against a storm at full servers.
func TestFullServersMeetNoStorm(t *testing.T) {
	s := crowdSettings()
	s.Nodes = 100 // its set is large enough that a block of a server for a second does not hide the storm
	r := newRig(t, s, 60)
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return time.Millisecond, balance.Full }
	r.run(10*time.Second, 10, "cheap")
	sent := 0
	for _, n := range r.sent {
		sent += n
	}
	if sent > 130 {
		t.Errorf("%d sends for 100 requests to servers that are all full", sent)
	}
}

// In a crowd at most half of a set is ejected, so that a fleet that is slow as a whole keeps its servers.
func TestCrowdEjectsAtMostHalf(t *testing.T) {
	r := newRig(t, crowdSettings(), 4) // with four servers the set is all of them
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return 10 * time.Millisecond, balance.ServerError
	}
	r.run(10*time.Second, 10, "once")
	if r.accused > 2 {
		t.Errorf("%d of 4 servers ejected", r.accused)
	}
}

func BenchmarkCrowdRequest(b *testing.B) {
	m := balance.New(crowdSettings(), 1)
	var list []balance.Server
	for i := range 500 {
		list = append(list, balance.Server{ID: balance.ServerID(i + 1)})
	}
	m.Handle(0, balance.ListUpdate{Kind: balance.ListCached, Entries: list})
	benchmarkRequests(b, m, 100*time.Millisecond)
}

// Servers whose plain work takes half of an aim are not shed at while idle. Guards against thresholds drawn from
// the aims alone, by which a quiet day refused one request in six.
func TestIdleServersAreNotShedAt(t *testing.T) {
	s := crowdSettings()
	s.Classes = s.Classes[1:2] // an aim of 1.5 s
	r := newRig(t, s, 40)
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return 800 * time.Millisecond, balance.OK }
	r.run(60*time.Second, 5, "cheap")
	if r.refused > 15 {
		t.Errorf("%d of 300 refused at servers that are idle", r.refused)
	}
}
