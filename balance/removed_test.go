package balance

import (
	"fmt"
	"testing"
	"time"
)

// An attempt ends at a server that was removed from the list, so that the server's index in
// the assignment is no longer valid. Guards against a crash, and against messages about it
// to nodes that use another server.
func TestAttemptEndsAfterServerRemoval(t *testing.T) {
	settings := Settings{Nodes: 60, MaxAttempts: 3, MayMessage: true, MayProbe: true, ReportSource: ReportsFromProbes,
		Classes: []Class{
			{Name: "clip", Value: 1, TargetLatency: time.Second, Deadline: 2 * time.Second, Effect: Safe}}}
	list := func(n int) (update ListUpdate) {
		update.Kind = ListFull
		for i := range n {
			update.Entries = append(update.Entries, Server{ID: ServerID(i + 1)})
		}
		return update
	}
	endedAttempts := 0
	for self := range settings.Nodes {
		settings.Self = self
		module := New(settings, int64(self))
		now := time.Hour
		module.Handle(now, list(12))
		inFlight := map[RequestID]Send{}
		for i := range 40 {
			now += 10 * time.Millisecond
			for _, a := range module.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "clip",
				ClientTimeout: 2 * time.Second}) {
				if send, is := a.(Send); is && send.Server > 4 {
					inFlight[send.ID] = send
				}
			}
		}
		module.Handle(now, list(4))
		for id, send := range inFlight {
			for _, a := range module.Handle(now, AttemptEnded{ID: id, Server: send.Server, Code: Reset}) {
				if message, is := a.(SendMessage); is {
					t.Errorf("node %d notifies %d of a removed server", self, message.To)
				}
			}
			endedAttempts++
		}
	}
	if endedAttempts < 100 {
		t.Errorf("%d attempts ended at removed servers", endedAttempts)
	}
}

// Hundreds of nodes in front of few servers all use a starting server. Only as many as
// would use it among more servers may send to it at once. Guards against first requests that
// together overload it.
func TestFewNodesSendToStartingServerAtOnce(t *testing.T) {
	for _, test := range []struct{ nodes, servers, least, most int }{
		{300, 6, 1, 3 * nodesPerServer}, {300, 3, 1, 3 * nodesPerServer},
		{300, 200, 1, nodesPerServer + extraPeers}} {
		senders := 0
		for self := range test.nodes {
			module := New(Settings{Nodes: test.nodes, Self: self, MaxAttempts: 3, WarmupTime: 8 * time.Second,
				WarmupStartFraction: 0.3}, int64(self))
			update := ListUpdate{Kind: ListFull}
			for i := range test.servers {
				update.Entries = append(update.Entries, Server{ID: ServerID(i + 1)})
			}
			module.Handle(time.Hour, update)
			module.Handle(time.Hour+time.Second, ListUpdate{Kind: ListChanges,
				Entries: []Server{{ID: 99, StartedAt: time.Hour}}})
			for _, srv := range module.inUse {
				if srv.ID == 99 && srv.tokens >= 1 {
					senders++
				}
			}
		}
		if senders < test.least || senders > test.most {
			t.Errorf("%d nodes, %d servers: %d nodes may send at once", test.nodes, test.servers, senders)
		}
	}
}

// A server that drains, or leaves the list, and returns with the same process must keep its
// start time; a process that started long ago counts as warm at once.
func TestRelistingIsNoRestart(t *testing.T) {
	const warmup = 8 * time.Second
	for name, state := range map[string]ServerState{"drains": Draining, "leaves": Removed} {
		for _, startedAt := range []Time{0, time.Hour} {
			module := New(Settings{Nodes: 3, MaxAttempts: 3, WarmupTime: warmup, WarmupStartFraction: 0.3}, 1)
			entry := Server{ID: 7, StartedAt: startedAt}
			now := time.Hour + time.Second
			module.Handle(now, ListUpdate{Kind: ListFull, Entries: []Server{{ID: 1}, {ID: 2}, entry}})
			for range 20 {
				now += 500 * time.Millisecond
				unavailable := entry
				unavailable.State = state
				module.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{unavailable}})
				now += 500 * time.Millisecond
				module.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{entry}})
				srv := module.known[7]
				module.warmupLimited(srv)
				if want := startedAt > 0 && now < startedAt+warmup; srv.warmup != want ||
					srv.warmup && srv.warmupStart != startedAt {
					t.Fatalf("%s, started at %v: warming up %v since %v at %v", name, startedAt, srv.warmup,
						srv.warmupStart, now)
				}
			}
		}
	}
}
