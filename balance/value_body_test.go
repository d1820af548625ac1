package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// Guards against a refusal as worthless while the client still sends: its time begins with the last byte.
func TestValueOfAnswerCountsFromLastByteOfBody(t *testing.T) {
	settings := testSettings()
	for _, arrived := range []bool{false, true} {
		module := balance.New(settings, 1)
		now := time.Hour
		module.Handle(now, balance.ListUpdate{Kind: balance.ListCached, Entries: []balance.Server{{ID: 1}, {ID: 2}}})
		var first balance.ServerID
		for _, action := range module.Handle(now, balance.RequestArrived{ID: "long", Class: "cheap", ClientTimeout: time.Minute, BodyPending: true}) {
			if send, ok := action.(balance.Send); ok {
				first = send.Server
			}
		}
		if arrived {
			module.Handle(now, balance.RequestBodyReceived{ID: "long", ClientTimeout: time.Minute})
		}
		now += 10 * settings.Classes[1].TargetLatency
		again := false
		for _, action := range module.Handle(now, balance.AttemptEnded{ID: "long", Server: first, Code: balance.ConnectFailed}) {
			_, sent := action.(balance.Send)
			again = again || sent
		}
		if again == arrived {
			t.Errorf("body arrived: %v, sent again: %v", arrived, again)
		}
	}
}
