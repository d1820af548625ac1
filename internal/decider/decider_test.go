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

// Guards against synchronized retries: nodes that start together while discovery rejects most
// calls must retry at a bounded rate, and still serve from the cached list.
func TestFleetStartSubscribesAtBoundedRate(t *testing.T) {
	const nodes, step, duration, rejecting = 48, 5 * time.Millisecond, 30 * time.Second, 20 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	type node struct {
		*decider.Decider
		start, timer time.Duration
		subscribed   bool
		sends        int
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
	calls := make([]int, duration/time.Second)
	for now := time.Hour; now < time.Hour+duration; now += step {
		for _, n := range all {
			if now < n.start {
				continue
			}
			handle := func(e balance.Event) (subscribes int) {
				for _, a := range n.Handle(now, e) {
					switch a := a.(type) {
					case balance.SetTimer:
						n.timer = now + a.After
					case balance.Subscribe:
						subscribes++
					case balance.Send:
						n.sends++
					}
				}
				return subscribes
			}
			subscribes := 0
			if n.timer == 0 {
				subscribes += handle(balance.ListUpdate{Kind: balance.ListCached, Entries: list})
				subscribes += handle(balance.RequestArrived{ID: "first", Class: "cheap", ClientTimeout: time.Second})
			}
			if now >= n.timer {
				subscribes += handle(balance.TimerFired{})
			}
			for range subscribes {
				calls[(now-time.Hour)/time.Second]++
				if n.subscribed = rng.IntN(10) == 0 || now > time.Hour+rejecting; n.subscribed {
					handle(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
				} else {
					handle(balance.ListUpdate{Kind: balance.ListFailed})
				}
			}
		}
	}
	t.Logf("calls in each second: %v", calls)
	for i, n := range calls {
		if n > 50 { // 40/s expected, plus random variation
			t.Errorf("%d calls in second %d", n, i)
		}
	}
	for i, n := range all {
		if n.sends != 1 || !n.subscribed {
			t.Errorf("node %d: %d sends, subscribed %v", i, n.sends, n.subscribed)
		}
	}
}
