package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// Guards against a refusal because attempts were withheld while the client was not known to be
// connected: nothing was sent, so they don't use up the attempts or the servers.
func TestWithheldAttemptsDoNotUseUpRequest(t *testing.T) {
	settings := testSettings()
	module := balance.New(settings, 1)
	now, sent := time.Hour, 0
	module.Handle(now, balance.ListUpdate{Kind: balance.ListCached, Entries: []balance.Server{{ID: 1}}})
	attemptsIn := func(actions []balance.Action) (n int) {
		for _, action := range actions {
			switch action.(type) {
			case balance.Send:
				n++
			case balance.Refuse, balance.Fail:
				t.Fatalf("%T after %v", action, now-time.Hour)
			}
		}
		return n
	}
	sent = attemptsIn(module.Handle(now, balance.RequestArrived{ID: "long", Class: "cheap", ClientTimeout: 9 * time.Second, BodyPending: true}))
	const withheld = 20
	for open := sent; sent < withheld; {
		for ; open > 0; open-- {
			if n := attemptsIn(module.Handle(now, balance.AttemptEnded{ID: "long", Attempt: sent - 1, Server: 1, Code: balance.Moot, Postponed: true})); n > 0 {
				t.Fatal("the next attempt follows at once")
			}
		}
		now += 25 * time.Millisecond
		open = attemptsIn(module.Handle(now, balance.TimerFired{}))
		sent += open
		if now > time.Hour+8*time.Second {
			t.Fatalf("%d attempts in 8 s", sent)
		}
	}
	for _, action := range module.Handle(now, balance.AttemptEnded{ID: "long", Attempt: sent - 1, Server: 1, Code: balance.OK, RequestDone: true}) {
		if _, refused := action.(balance.Refuse); refused {
			t.Error("refused after it was served")
		}
	}
	now += 10 * time.Second
	if n := attemptsIn(module.Handle(now, balance.TimerFired{})); n > 0 {
		t.Error("sent again after it was served")
	}
}

// A request that waits for its client is answered at its deadline, or when the process shuts down.
func TestPostponedRequestIsAnswered(t *testing.T) {
	for name, event := range map[string]balance.Event{"deadline": balance.TimerFired{}, "shutdown": balance.FinalAnswerDue{ID: "long"}} {
		module := balance.New(testSettings(), 1)
		now := time.Hour
		module.Handle(now, balance.ListUpdate{Kind: balance.ListCached, Entries: []balance.Server{{ID: 1}}})
		module.Handle(now, balance.RequestArrived{ID: "long", Class: "cheap", ClientTimeout: time.Second, BodyPending: true})
		module.Handle(now, balance.AttemptEnded{ID: "long", Server: 1, Code: balance.Moot, Postponed: true})
		if name == "deadline" {
			now += time.Second
		}
		refused := 0
		for _, action := range module.Handle(now, event) {
			switch action.(type) {
			case balance.Send:
				t.Errorf("%s: sent", name)
			case balance.Refuse:
				refused++
			}
		}
		if refused != 1 {
			t.Errorf("%s: %d refusals", name, refused)
		}
		now += time.Second
		for _, action := range module.Handle(now, balance.TimerFired{}) {
			if _, sent := action.(balance.Send); sent {
				t.Errorf("%s: sent afterwards", name)
			}
		}
	}
}
