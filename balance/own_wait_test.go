package balance_test

import (
	"fmt"
	"testing"
	"time"

	"ivylock/balance"
)

// Servers that answer at once can serve all requests that this node's single core can
// process. Guards
// against refusals because the node counts its own queueing delay as server latency.
func TestLocalQueueDelayIsNotServerLatency(t *testing.T) {
	const exchangeTime = 50 * time.Microsecond // CPU time of an exchange
	settings := testSettings()
	settings.Classes[1].Effect = balance.Safe
	module := balance.New(settings, 1)
	now, next := time.Hour, 0
	module.Handle(now, balance.ListUpdate{Kind: balance.ListCached,
		Entries: []balance.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}})
	type sent struct {
		id     balance.RequestID
		server balance.ServerID
		at     time.Duration
	}
	var inFlight []sent // in processing order
	play := func(clients int, length time.Duration) (requests, refused int) {
		idle, tick := clients-len(inFlight), now
		for end := now + length; now < end; now += exchangeTime {
			if now >= tick {
				module.Handle(now, balance.TimerFired{})
				tick = now + 25*time.Millisecond
			}
			if len(inFlight) > 0 {
				oldest := inFlight[0]
				inFlight = inFlight[1:]
				module.Handle(now, balance.AttemptEnded{ID: oldest.id, Server: oldest.server, RequestDone: true,
					Elapsed: now - oldest.at})
				idle++
			}
			for n := idle; n > 0; n-- { // clients retry at once, refused ones in the next round
				next++
				requests++
				id := balance.RequestID(fmt.Sprint(next))
				for _, a := range module.Handle(now, balance.RequestArrived{ID: id, Class: "cheap",
					ClientTimeout: time.Second}) {
					switch a := a.(type) {
					case balance.Send:
						inFlight = append(inFlight, sent{id, a.Server, now})
						idle--
					case balance.Refuse:
						refused++
					}
				}
			}
		}
		return requests, refused
	}
	play(1, 3*time.Second) // learns the latency without load
	for _, clients := range []int{16, 64, 200} {
		if requests, refused := play(clients, 3*time.Second); refused*100 > requests {
			t.Errorf("%d clients: %d of %d refused", clients, refused, requests)
		}
	}
}
