package balance_test

import (
	"fmt"
	"testing"
	"time"

	"ivylock/balance"
)

// Servers that answer at once have room for whatever the node's own core gets done. Guards against a node that takes
// its own wait for that core for its servers' latency: it had learned the latency of a quiet time, and refused seven
// of eight requests of 64 clients while its servers stood idle.
func TestTheNodesOwnWaitIsNotItsServers(t *testing.T) {
	const core = 50 * time.Microsecond // of the node's one core, for each exchange
	s := rigSettings()
	s.Classes[1].Effect = balance.Safe
	m := balance.New(s, 1)
	now, next := time.Hour, 0
	m.Handle(now, balance.ListUpdate{Kind: balance.ListCached, Entries: []balance.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}})
	type sent struct {
		id     balance.RequestID
		server balance.ServerID
		at     time.Duration
	}
	var out []sent // in the order in which the core takes them
	play := func(clients int, length time.Duration) (asked, refused int) {
		idle, tick := clients-len(out), now
		for end := now + length; now < end; now += core {
			if now >= tick {
				m.Handle(now, balance.TimerFired{})
				tick = now + 25*time.Millisecond
			}
			if len(out) > 0 {
				x := out[0]
				out = out[1:]
				m.Handle(now, balance.AttemptEnded{ID: x.id, Server: x.server, RequestDone: true, Elapsed: now - x.at})
				idle++
			}
			for n := idle; n > 0; n-- { // each asks again at once, a refused one in the next round
				next++
				asked++
				id := balance.RequestID(fmt.Sprint(next))
				for _, a := range m.Handle(now, balance.RequestArrived{ID: id, Class: "cheap", ClientTimeout: time.Second}) {
					switch a := a.(type) {
					case balance.Send:
						out = append(out, sent{id, a.Server, now})
						idle--
					case balance.Refuse:
						refused++
					}
				}
			}
		}
		return asked, refused
	}
	play(1, 3*time.Second) // a quiet time: it learns how fast they are
	for _, clients := range []int{16, 64, 200} {
		if asked, refused := play(clients, 3*time.Second); refused*100 > asked {
			t.Errorf("%d clients: %d of %d refused", clients, refused, asked)
		}
	}
}
