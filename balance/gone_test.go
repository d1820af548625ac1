package balance

import (
	"fmt"
	"testing"
	"time"
)

// What is out at a server ends after the list has lost it, and with it others, so that its place in the plan of who uses
// what is nobody's any more. Guards against a crash, and against words about it to nodes that use another server.
func TestAnAttemptEndsAtAServerThatIsGone(t *testing.T) {
	s := Settings{Nodes: 60, MaxAttempts: 3, MayMessage: true, MayProbe: true, ReportSource: ReportsFromProbes,
		Classes: []Class{{Name: "clip", Value: 1, TargetLatency: time.Second, Deadline: 2 * time.Second, Effect: Safe}}}
	list := func(n int) (u ListUpdate) {
		u.Kind = ListFull
		for i := range n {
			u.Entries = append(u.Entries, Server{ID: ServerID(i + 1)})
		}
		return u
	}
	crossed := 0
	for self := range s.Nodes {
		s.Self = self
		m := New(s, int64(self))
		now := time.Hour
		m.Handle(now, list(12))
		out := map[RequestID]Send{}
		for i := range 40 {
			now += 10 * time.Millisecond
			for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "clip", ClientTimeout: 2 * time.Second}) {
				if send, is := a.(Send); is && send.Server > 4 {
					out[send.ID] = send
				}
			}
		}
		m.Handle(now, list(4))
		for id, send := range out {
			for _, a := range m.Handle(now, AttemptEnded{ID: id, Server: send.Server, Code: Reset}) {
				if tell, is := a.(SendMessage); is {
					t.Errorf("node %d tells %d of a server that is gone", self, tell.To)
				}
			}
			crossed++
		}
	}
	if crossed < 100 {
		t.Errorf("%d attempts ended at servers that were gone", crossed)
	}
}

// Hundreds of nodes in front of a few servers all use a server that starts: as many as would use it of many send it one at
// once, and no more. Guards against a start that is pushed over by the sum of first requests.
func TestAStartIsNotMetByAllAtOnce(t *testing.T) {
	for _, x := range []struct{ nodes, servers, least, most int }{{300, 6, 1, 3 * setConns}, {300, 3, 1, 3 * setConns}, {300, 200, 1, setConns + tellMore}} {
		at := 0
		for self := range x.nodes {
			m := New(Settings{Nodes: x.nodes, Self: self, MaxAttempts: 3, WarmupTime: 8 * time.Second, WarmupStartFraction: 0.3}, int64(self))
			u := ListUpdate{Kind: ListFull}
			for i := range x.servers {
				u.Entries = append(u.Entries, Server{ID: ServerID(i + 1)})
			}
			m.Handle(time.Hour, u)
			m.Handle(time.Hour+time.Second, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: 99, StartedAt: time.Hour}}})
			for _, s := range m.near {
				if s.ID == 99 && s.tokens >= 1 {
					at++
				}
			}
		}
		if at < x.least || at > x.most {
			t.Errorf("%d nodes, %d servers: %d may send it one at once", x.nodes, x.servers, at)
		}
	}
}

// A server that goes up and down on the list, or leaves it and comes back, while its process runs on, is as warm as its
// process: its start counts from when it was, and one of long ago is warm at once.
func TestBeingListedAgainIsNoStart(t *testing.T) {
	const cold = 8 * time.Second
	for name, away := range map[string]ServerState{"drains": Draining, "leaves": Removed} {
		for _, startedAt := range []Time{0, time.Hour} {
			m := New(Settings{Nodes: 3, MaxAttempts: 3, WarmupTime: cold, WarmupStartFraction: 0.3}, 1)
			entry := Server{ID: 7, StartedAt: startedAt}
			now := time.Hour + time.Second
			m.Handle(now, ListUpdate{Kind: ListFull, Entries: []Server{{ID: 1}, {ID: 2}, entry}})
			for range 20 {
				now += 500 * time.Millisecond
				gone := entry
				gone.State = away
				m.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{gone}})
				now += 500 * time.Millisecond
				m.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{entry}})
				s := m.known[7]
				m.paced(s)
				if want := startedAt > 0 && now < startedAt+cold; s.cold != want || s.cold && s.coldSince != startedAt {
					t.Fatalf("%s, started at %v: cold %v since %v at %v", name, startedAt, s.cold, s.coldSince, now)
				}
			}
		}
	}
}
