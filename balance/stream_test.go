package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// oneRequest lets a module send one request and returns the Send.
func oneRequest(t *testing.T, class string) (h *harness, s balance.Send) {
	t.Helper()
	h = newHarness(t, testSettings(), 4)
	for _, a := range h.module.Handle(h.now, balance.RequestArrived{ID: "x", Class: class,
		ClientTimeout: 2 * time.Second}) {
		if send, is := a.(balance.Send); is {
			return h, balance.Send{Sending: &balance.Sending{ID: send.ID, Server: send.Server}}
		}
	}
	t.Fatal("nothing was sent")
	return
}

func countActions(h *harness, event balance.Event) (sends, refusals, failures int) {
	h.now += 10 * time.Millisecond
	for _, a := range h.module.Handle(h.now, event) {
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

// A consumed body can not be sent again: a request that never ran must be refused, one that
// may have run must fail.
func TestConsumedBodyIsNotResent(t *testing.T) {
	for _, c := range []struct {
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
		h, s := oneRequest(t, c.class)
		sends, refusals, failures := countActions(h, balance.AttemptEnded{ID: "x", Server: s.Server, Code: c.code,
			BodyConsumed: c.bodyConsumed})
		if sends != c.sends || refusals != c.refuse || failures != c.fail {
			t.Errorf("%+v: %d sends, %d refusals, %d failures", c, sends, refusals, failures)
		}
	}
}

// A started stream counts as the answer: its server is free for further requests however
// slowly the client reads, and there is no retry if it breaks.
func TestStartedStreamCountsAsAnswer(t *testing.T) {
	h, s := oneRequest(t, "once")
	countActions(h, balance.StreamStarted{ID: "x", Server: s.Server, Elapsed: 50 * time.Millisecond})
	fleet, servers := h.module.Learned()
	if fleet.Answers != 1 || fleet.MeanLatency != 0.05 || servers[s.Server].Rate == 0 {
		t.Errorf("learned %+v of the fleet, %+v of the server", fleet, servers[s.Server])
	}
	// A second event changes nothing.
	countActions(h, balance.StreamStarted{ID: "x", Server: s.Server, Elapsed: time.Second})
	h.now += time.Hour
	if a, b, c := countActions(h, balance.TimerFired{}); a+b+c != 0 {
		t.Error("the request ended at its deadline")
	}
	if a, _, _ := countActions(h, balance.AttemptEnded{ID: "x", Server: s.Server, Code: balance.Reset,
		RequestDone: true}); a != 0 {
		t.Error("the request was sent again")
	}
	if fleet, _ := h.module.Learned(); fleet.Answers != 1 {
		t.Errorf("%v answers recorded", fleet.Answers)
	}
}

// A successor process must continue with the measured state, but a warming server starts
// without tokens.
func TestMeasurementsAreCarriedOver(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	list := []balance.Server{{ID: 1, Zone: "z"}, {ID: 2, Zone: "z"}, {ID: 3, Zone: "z"},
		{ID: 4, Zone: "z", StartedAt: h.now}}
	h.handle(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
	for i := range 400 {
		h.now += 10 * time.Millisecond
		id := balance.RequestID(rune(i + 1))
		for _, a := range h.module.Handle(h.now, balance.RequestArrived{ID: id, Class: "cheap",
			ClientTimeout: 2 * time.Second}) {
			if s, is := a.(balance.Send); is {
				h.module.Handle(h.now+5*time.Millisecond,
					balance.AttemptEnded{ID: id, Server: s.Server, RequestDone: true, Elapsed: 5 * time.Millisecond})
			}
		}
		h.module.Handle(h.now+6*time.Millisecond, balance.TimerFired{})
	}
	fleet, servers := h.module.Learned()
	next := balance.New(testSettings(), 6)
	next.Restore(h.now, fleet, servers)
	next.Handle(h.now, balance.ListUpdate{Kind: balance.ListCached, Entries: list})
	got, after := next.Learned()
	if got.MeanLatency != fleet.MeanLatency || got.MeanRate != fleet.MeanRate || len(after) != 4 ||
		after[1].Rate != servers[1].Rate {
		t.Errorf("learned  %+v\nrestored %+v", fleet, got)
	}
	if !after[4].WarmingUp || after[4].WarmupStartedAt != servers[4].WarmupStartedAt {
		t.Errorf("warming server: %+v", after[4])
	}
	to4 := 0
	for i := range 40 {
		for _, a := range next.Handle(h.now, balance.RequestArrived{ID: balance.RequestID(rune(i + 1)),
			Class: "cheap", ClientTimeout: 2 * time.Second}) {
			if s, is := a.(balance.Send); is && s.Server == 4 {
				to4++
			}
		}
	}
	if to4 != 0 {
		t.Errorf("%d requests went to the warming server at once", to4)
	}
	invalid := balance.New(testSettings(), 6)
	invalid.Restore(h.now, balance.LearnedFleet{Answers: 5, MeanLatency: -1}, nil) // invalid state from a file
	if f, _ := invalid.Learned(); f.Answers != 0 {
		t.Error("invalid state was restored")
	}
}
