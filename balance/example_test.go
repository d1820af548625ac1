package balance_test

import (
	"fmt"
	"time"

	"ivylock/balance"
)

// Direct use of the module, without a wire protocol.
func Example() {
	module := balance.New(balance.Settings{
		Nodes: 1, MaxAttempts: 3, WarmupStartFraction: 0.5, WarmupTime: 5 * time.Second,
		Classes: []balance.Class{{Name: "page", Value: 1, TargetLatency: time.Second, Deadline: 2 * time.Second,
			Effect: balance.Safe}},
	}, 1)
	clock := 10 * time.Second
	module.Handle(clock, balance.ListUpdate{Kind: balance.ListCached,
		Entries: []balance.Server{{ID: 7, State: balance.Ready}}})
	for _, a := range module.Handle(clock, balance.RequestArrived{ID: "r1", Class: "page", ClientTimeout: time.Second}) {
		if s, ok := a.(balance.Send); ok {
			fmt.Printf("send %s to server %d for %v\n", s.ID, s.Server, s.Timeout)
		}
	}
	// Output: send r1 to server 7 for 1s
}
