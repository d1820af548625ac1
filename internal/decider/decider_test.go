package decider_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/decider"
)

func settings() balance.Settings {
	return balance.Settings{Nodes: 1, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, ListPollInterval: 10 * time.Second,
		Classes: []balance.Class{{Name: "cheap", Value: 1, TargetLatency: time.Second, Deadline: 2 * time.Second, Effect: balance.Safe}}}
}

// Forty-eight nodes start in the same second while discovery turns nine of ten
// calls away for 20 s: all of them together call at a bounded rate, and each has its
// subscription before long. Meanwhile they serve from the list that they had.
func TestAHerdAsksDiscoveryAtABoundedRate(t *testing.T) {
	const nodes, step, length, crowded = 48, 5 * time.Millisecond, 30 * time.Second, 20 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	type node struct {
		*decider.Decider
		start, timer time.Duration
		subscribed   bool
		served       int
	}
	var all []*node
	for i := range nodes {
		s := settings()
		s.Nodes, s.Self, s.ListOnDemand = nodes, i, true
		all = append(all, &node{Decider: decider.New(s, int64(i)), start: time.Hour + time.Duration(rng.Int64N(int64(time.Second)))})
	}
	var list []balance.Server
	for i := range 24 {
		list = append(list, balance.Server{ID: balance.ServerID(i + 1), Zone: "z"})
	}
	calls := make([]int, length/time.Second)
	for now := time.Hour; now < time.Hour+length; now += step {
		for _, n := range all {
			if now < n.start {
				continue
			}
			handle := func(e balance.Event) (asks int) {
				for _, a := range n.Handle(now, e) {
					switch a := a.(type) {
					case balance.SetTimer:
						n.timer = now + a.After
					case balance.Subscribe:
						asks++
					case balance.Send:
						n.served++
					}
				}
				return asks
			}
			asks := 0
			if n.timer == 0 {
				asks += handle(balance.ListUpdate{Kind: balance.ListCached, Entries: list})
				asks += handle(balance.RequestArrived{ID: "first", Class: "cheap", ClientTimeout: time.Second})
			}
			if now >= n.timer {
				asks += handle(balance.TimerFired{})
			}
			for range asks {
				calls[(now-time.Hour)/time.Second]++
				if n.subscribed = rng.IntN(10) == 0 || now > time.Hour+crowded; n.subscribed {
					handle(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
				} else {
					handle(balance.ListUpdate{Kind: balance.ListFailed})
				}
			}
		}
	}
	t.Logf("calls in each second: %v", calls)
	for i, n := range calls {
		if n > 50 { // 40 a second, and chance
			t.Errorf("%d calls in second %d", n, i)
		}
	}
	for i, n := range all {
		if n.served != 1 || !n.subscribed {
			t.Errorf("node %d: %d sends, subscribed %v", i, n.served, n.subscribed)
		}
	}
}
