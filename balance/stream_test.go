package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// oneRequest has a module with servers send one request, and gives the send.
func oneRequest(t *testing.T, class string) (r *rig, s balance.Send) {
	t.Helper()
	r = newRig(t, rigSettings(), 4)
	for _, a := range r.m.Handle(r.now, balance.RequestArrived{ID: "x", Class: class, ClientTimeout: 2 * time.Second}) {
		if send, is := a.(balance.Send); is {
			return r, balance.Send{Sending: &balance.Sending{ID: send.ID, Server: send.Server}}
		}
	}
	t.Fatal("nothing was sent")
	return
}

func actions(r *rig, e balance.Event) (sends, refusals, failures int) {
	r.now += 10 * time.Millisecond
	for _, a := range r.m.Handle(r.now, e) {
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

// A body that is used up can not be sent again: what never ran is refused,
// what may have run fails.
func TestABodyThatIsUsedUpIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		class             string
		code              balance.OutcomeCode
		spent             bool
		sends, refuse, no int
	}{
		{"once", balance.ConnectFailed, false, 1, 0, 0},
		{"once", balance.ConnectFailed, true, 0, 1, 0},
		{"once", balance.Full, true, 0, 1, 0},
		{"once", balance.Reset, true, 0, 0, 1},
		{"dear", balance.Reset, true, 0, 1, 0},
	} {
		r, s := oneRequest(t, c.class)
		sends, refusals, failures := actions(r, balance.AttemptEnded{ID: "x", Server: s.Server, Code: c.code, BodyConsumed: c.spent})
		if sends != c.sends || refusals != c.refuse || failures != c.no {
			t.Errorf("%+v: %d sends, %d refusals, %d failures", c, sends, refusals, failures)
		}
	}
}

// An answer that has begun is an answer: its server is free again however
// slowly the client reads, and nothing more is tried when it breaks off.
func TestABegunAnswerIsTheAnswer(t *testing.T) {
	r, s := oneRequest(t, "once")
	actions(r, balance.StreamStarted{ID: "x", Server: s.Server, Elapsed: 50 * time.Millisecond})
	fleet, servers := r.m.Learned()
	if fleet.Answers != 1 || fleet.MeanLatency != 0.05 || servers[s.Server].Rate == 0 {
		t.Errorf("learnt %+v of the fleet, %+v of the server", fleet, servers[s.Server])
	}
	actions(r, balance.StreamStarted{ID: "x", Server: s.Server, Elapsed: time.Second}) // told twice: no more is learnt
	r.now += time.Hour
	if a, b, c := actions(r, balance.TimerFired{}); a+b+c != 0 {
		t.Error("its deadline ended it")
	}
	if a, _, _ := actions(r, balance.AttemptEnded{ID: "x", Server: s.Server, Code: balance.Reset, RequestDone: true}); a != 0 {
		t.Error("it was sent again")
	}
	if fleet, _ := r.m.Learned(); fleet.Answers != 1 {
		t.Errorf("%v answers were learnt", fleet.Answers)
	}
}

// What one module has learnt the next one goes on from, but a cold server's
// budget, which begins empty.
func TestLearntIsCarriedOver(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	list := []balance.Server{{ID: 1, Zone: "z"}, {ID: 2, Zone: "z"}, {ID: 3, Zone: "z"}, {ID: 4, Zone: "z", StartedAt: r.now}}
	r.feed(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
	for i := range 400 {
		r.now += 10 * time.Millisecond
		id := balance.RequestID(rune(i + 1))
		for _, a := range r.m.Handle(r.now, balance.RequestArrived{ID: id, Class: "cheap", ClientTimeout: 2 * time.Second}) {
			if s, is := a.(balance.Send); is {
				r.m.Handle(r.now+5*time.Millisecond, balance.AttemptEnded{ID: id, Server: s.Server, RequestDone: true, Elapsed: 5 * time.Millisecond})
			}
		}
		r.m.Handle(r.now+6*time.Millisecond, balance.TimerFired{})
	}
	fleet, servers := r.m.Learned()
	next := balance.New(rigSettings(), 6)
	next.Restore(r.now, fleet, servers)
	next.Handle(r.now, balance.ListUpdate{Kind: balance.ListCached, Entries: list})
	got, after := next.Learned()
	if got.MeanLatency != fleet.MeanLatency || got.MeanRate != fleet.MeanRate || len(after) != 4 || after[1].Rate != servers[1].Rate {
		t.Errorf("learnt %+v\nnow    %+v", fleet, got)
	}
	if !after[4].WarmingUp || after[4].WarmupStartedAt != servers[4].WarmupStartedAt {
		t.Errorf("the cold server is %+v", after[4])
	}
	to4 := 0
	for i := range 40 {
		for _, a := range next.Handle(r.now, balance.RequestArrived{ID: balance.RequestID(rune(i + 1)), Class: "cheap", ClientTimeout: 2 * time.Second}) {
			if s, is := a.(balance.Send); is && s.Server == 4 {
				to4++
			}
		}
	}
	if to4 != 0 {
		t.Errorf("%d requests went to the cold server at once", to4)
	}
	odd := balance.New(rigSettings(), 6)
	odd.Restore(r.now, balance.LearnedFleet{Answers: 5, MeanLatency: -1}, nil) // never from us, but a file may say it
	if f, _ := odd.Learned(); f.Answers != 0 {
		t.Error("it believed nonsense")
	}
}
