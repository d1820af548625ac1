package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// oneRequest lets a module send one request and returns the Send.
func oneRequest(t *testing.T, class string) (node *harness, sent balance.Send) {
	t.Helper()
	node = newHarness(t, testSettings(), 4)
	for _, a := range node.module.Handle(node.now, balance.RequestArrived{ID: "x", Class: class,
		ClientTimeout: 2 * time.Second}) {
		if send, is := a.(balance.Send); is {
			return node, balance.Send{Sending: &balance.Sending{ID: send.ID, Server: send.Server}}
		}
	}
	t.Fatal("nothing was sent")
	return
}

func countActions(node *harness, event balance.Event) (sends, refusals, failures int) {
	node.now += 10 * time.Millisecond
	for _, a := range node.module.Handle(node.now, event) {
		switch a.(type) {
		case balance.Send:
			sends++
		case balance.Refuse:
			refusals++
		case balance.Fail:
			failures++
		}
	}
	return
}

// A consumed body cannot be sent again: a request that never ran must be refused, one that
// may have run must fail.
func TestConsumedBodyIsNotResent(t *testing.T) {
	for _, test := range []struct {
		class               string
		code                balance.OutcomeCode
		bodyConsumed        bool
		sends, refuse, fail int
	}{
		{"once", balance.ConnectFailed, false, 1, 0, 0},
		{"once", balance.ConnectFailed, true, 0, 1, 0},
		{"once", balance.Full, true, 0, 1, 0},
		{"once", balance.Reset, true, 0, 0, 1},
		{"dear", balance.Reset, true, 0, 1, 0},
	} {
		node, send := oneRequest(t, test.class)
		sends, refusals, failures := countActions(node, balance.AttemptEnded{ID: "x", Server: send.Server, Code: test.code,
			BodyConsumed: test.bodyConsumed})
		if sends != test.sends || refusals != test.refuse || failures != test.fail {
			t.Errorf("%+v: %d sends, %d refusals, %d failures", test, sends, refusals, failures)
		}
	}
}

// A started stream counts as the answer: its server is free for further requests however
// slowly the client reads, and there is no retry if it breaks.
func TestStartedStreamCountsAsAnswer(t *testing.T) {
	node, send := oneRequest(t, "once")
	countActions(node, balance.StreamStarted{ID: "x", Server: send.Server, Elapsed: 50 * time.Millisecond})
	fleet, servers := node.module.Learned()
	if fleet.Answers != 1 || fleet.MeanLatency != 0.05 || servers[send.Server].Rate == 0 {
		t.Errorf("learned %+v of the fleet, %+v of the server", fleet, servers[send.Server])
	}
	// A second event changes nothing.
	countActions(node, balance.StreamStarted{ID: "x", Server: send.Server, Elapsed: time.Second})
	node.now += time.Hour
	if a, b, c := countActions(node, balance.TimerFired{}); a+b+c != 0 {
		t.Error("the request ended at its deadline")
	}
	if a, _, _ := countActions(node, balance.AttemptEnded{ID: "x", Server: send.Server, Code: balance.Reset,
		RequestDone: true}); a != 0 {
		t.Error("the request was sent again")
	}
	if fleet, _ := node.module.Learned(); fleet.Answers != 1 {
		t.Errorf("%v answers recorded", fleet.Answers)
	}
}

// A successor process must continue with the measured state, but a warming server starts
// without tokens.
func TestMeasurementsAreCarriedOver(t *testing.T) {
	node := newHarness(t, testSettings(), 4)
	list := []balance.Server{{ID: 1, Zone: "z"}, {ID: 2, Zone: "z"}, {ID: 3, Zone: "z"},
		{ID: 4, Zone: "z", StartedAt: node.now}}
	node.handle(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
	for i := range 400 {
		node.now += 10 * time.Millisecond
		id := balance.RequestID(rune(i + 1))
		for _, a := range node.module.Handle(node.now, balance.RequestArrived{ID: id, Class: "cheap",
			ClientTimeout: 2 * time.Second}) {
			if s, is := a.(balance.Send); is {
				node.module.Handle(node.now+5*time.Millisecond,
					balance.AttemptEnded{ID: id, Server: s.Server, RequestDone: true, Elapsed: 5 * time.Millisecond})
			}
		}
		node.module.Handle(node.now+6*time.Millisecond, balance.TimerFired{})
	}
	fleet, servers := node.module.Learned()
	next := balance.New(testSettings(), 6)
	next.Restore(node.now, fleet, servers)
	next.Handle(node.now, balance.ListUpdate{Kind: balance.ListCached, Entries: list})
	restored, restoredServers := next.Learned()
	if restored.MeanLatency != fleet.MeanLatency || restored.MeanRate != fleet.MeanRate || len(restoredServers) != 4 ||
		restoredServers[1].Rate != servers[1].Rate {
		t.Errorf("learned  %+v\nrestored %+v", fleet, restored)
	}
	if !restoredServers[4].WarmingUp || restoredServers[4].WarmupStartedAt != servers[4].WarmupStartedAt {
		t.Errorf("warming server: %+v", restoredServers[4])
	}
	sent := 0
	for i := range 40 {
		for _, a := range next.Handle(node.now, balance.RequestArrived{ID: balance.RequestID(rune(i + 1)),
			Class: "cheap", ClientTimeout: 2 * time.Second}) {
			if s, is := a.(balance.Send); is && s.Server == 4 {
				sent++
			}
		}
	}
	if sent != 0 {
		t.Errorf("%d requests went to the warming server at once", sent)
	}
	invalid := balance.New(testSettings(), 6)
	invalid.Restore(node.now, balance.LearnedFleet{Answers: 5, MeanLatency: -1}, nil) // invalid state from a file
	if f, _ := invalid.Learned(); f.Answers != 0 {
		t.Error("invalid state was restored")
	}
}
