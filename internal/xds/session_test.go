package xds

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/anypb"
)

const ms = time.Millisecond

const lease = 240 * ms

// res makes a resource whose version is its content.
func res(name, version string, ttl time.Duration, live ...string) *Resource {
	return &Resource{Name: name, Version: version, Body: &anypb.Any{Value: []byte(version)}, TTL: ttl, live: live}
}

func snap(sets map[Type][]*Resource) *Snapshot {
	s := &Snapshot{}
	for t := range types {
		s.sets[t] = map[string]*Resource{}
		for _, r := range sets[t] {
			s.sets[t][r.Name] = r
		}
	}
	return s
}

func eds(r ...*Resource) *Snapshot { return snap(map[Type][]*Resource{Endpoint: r}) }

// want asks for a type on a fresh session.
func want(t *testing.T, s *Session, ty Type, names ...string) {
	t.Helper()
	if err := s.HandleRequest(0, Request{Type: ty, Names: names, Subscribe: names}); err != nil {
		t.Fatal(err)
	}
}

func ack(t *testing.T, s *Session, now time.Duration, r *Response, names ...string) {
	t.Helper()
	if err := s.HandleRequest(now, Request{Type: r.Type, Nonce: r.Nonce, Names: names}); err != nil {
		t.Fatal(err)
	}
}

func nack(t *testing.T, s *Session, now time.Duration, r *Response, names ...string) {
	t.Helper()
	if err := s.HandleRequest(now, Request{Type: r.Type, Nonce: r.Nonce, Names: names, RejectReason: "no"}); err != nil {
		t.Fatal(err)
	}
}

func names(r *Response) []string {
	if r == nil {
		return nil
	}
	out := []string{}
	for _, x := range r.Resources {
		out = append(out, x.Name+"="+x.Version)
	}
	return out
}

func both(t *testing.T, f func(t *testing.T, delta bool)) {
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprintf("delta=%v", delta), func(t *testing.T) { f(t, delta) })
	}
}

func TestAStreamGetsTheCurrentStateAndThenWhatChanges(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		s := NewSession(delta, false)
		want(t, s, Endpoint, "a", "b")
		if r := s.NextResponse(0); r != nil {
			t.Errorf("without a snapshot: %v", names(r))
		}
		s.SetSnapshot(0, eds(res("a", "1", 0), res("b", "1", 0), res("c", "1", 0)))
		r := s.NextResponse(0)
		if !slices.Equal(names(r), []string{"a=1", "b=1"}) {
			t.Fatalf("first: %v", names(r))
		}
		if x := s.NextResponse(0); x != nil {
			t.Errorf("without an answer: %v", names(x))
		}
		ack(t, s, 1, r, "a", "b")
		// Two changes before the next call: only the later one is sent.
		s.SetSnapshot(2, eds(res("a", "2", 0), res("b", "1", 0)))
		s.SetSnapshot(3, eds(res("a", "3", 0), res("b", "1", 0)))
		if r = s.NextResponse(3); !slices.Equal(names(r), []string{"a=3"}) {
			t.Errorf("a change: %v", names(r))
		}
	})
}

func TestARejectedUpdateIsNotRepeatedUntilItChanges(t *testing.T) {
	for _, ty := range []Type{Cluster, Endpoint} {
		both(t, func(t *testing.T, delta bool) {
			of := func(v string) *Snapshot {
				return snap(map[Type][]*Resource{ty: {res("a", v, 0)}})
			}
			s := NewSession(delta, false)
			want(t, s, ty, "a")
			s.SetSnapshot(0, of("1"))
			ack(t, s, 0, s.NextResponse(0), "a")
			s.SetSnapshot(1, of("2"))
			nack(t, s, 1, s.NextResponse(1), "a")
			for i := range 100 {
				if r := s.NextResponse(time.Duration(i) * time.Second); r != nil {
					t.Fatalf("%v: again %v", ty, names(r))
				}
				s.SetSnapshot(time.Duration(i)*time.Second, of("2"))
			}
			if a := s.asks[ty]; a.nacks != 1 || a.nack != "no" || a.has["a"].Version != "1" {
				t.Errorf("%v: %d rejections, %q, holds %v", ty, a.nacks, a.nack, a.has["a"].Version)
			}
			s.SetSnapshot(time.Hour, of("3"))
			if r := s.NextResponse(time.Hour); !slices.Equal(names(r), []string{"a=3"}) {
				t.Errorf("%v: the next one: %v", ty, names(r))
			}
		})
	}
}

// A proxy that does not answer, or answers what is long past, is sent nothing
// more: its session does not grow.
func TestWhoDoesNotAnswerIsSentNothingMore(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		s := NewSession(delta, true)
		want(t, s, Endpoint, "a")
		s.SetSnapshot(0, eds(res("a", "0", lease)))
		first := s.NextResponse(0)
		for i := 1; i < 1000; i++ {
			now := time.Duration(i) * 10 * ms
			s.SetSnapshot(now, eds(res("a", fmt.Sprint(i), lease)))
			if r := s.NextResponse(now); r != nil {
				t.Fatalf("%d: %v", i, names(r))
			}
			s.HandleRequest(now, Request{Type: Endpoint, Nonce: "77", Names: []string{"a"}})
		}
		if s.StaleRequests != 999 || len(s.asks[Endpoint].has) != 0 {
			t.Errorf("%d stale answers, holds %d", s.StaleRequests, len(s.asks[Endpoint].has))
		}
		if at, ok := s.AckDeadline(time.Second); !ok || at != lease {
			t.Errorf("overdue at %v, %v", at, ok)
		}
		ack(t, s, 10*time.Second, first, "a")
		if r := s.NextResponse(10 * time.Second); !slices.Equal(names(r), []string{"a=999"}) {
			t.Errorf("after its answer: %v", names(r))
		}
	})
}

func TestHeartbeatsKeepALeaseAndAnUpdateDoesNotWaitForOne(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		s := NewSession(delta, true)
		want(t, s, Endpoint, "a")
		s.SetSnapshot(0, eds(res("a", "1", lease, "h:1", "h:2")))
		ack(t, s, 1*ms, s.NextResponse(0), "a")
		if w := s.NextWakeup(1 * ms); w != 80*ms {
			t.Errorf("next heartbeat at %v", w)
		}
		if r := s.NextResponse(79 * ms); r != nil {
			t.Errorf("early: %v", names(r))
		}
		beat := s.NextResponse(80 * ms)
		if beat == nil || !beat.Heartbeat {
			t.Fatalf("no heartbeat: %+v", beat)
		}
		// A drain while the heartbeat has no answer yet.
		s.SetSnapshot(90*ms, eds(res("a", "2", lease, "h:1")))
		r := s.NextResponse(90 * ms)
		if !slices.Equal(names(r), []string{"a=2"}) || r.Heartbeat {
			t.Fatalf("the drain: %v", names(r))
		}
		if x := s.NextResponse(91 * ms); x != nil {
			t.Errorf("a third without an answer: %v", names(x))
		}
		ack(t, s, 95*ms, beat, "a") // of the older one
		ack(t, s, 99*ms, r, "a")
		if got := s.asks[Endpoint].has["a"].Version; got != "2" {
			t.Errorf("holds %v", got)
		}
	})
}

// A heartbeat whose answer comes after the lease may have found nothing to
// prolong: the body is sent again.
func TestAfterALateHeartbeatTheBodyComesAgain(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		s := NewSession(delta, true)
		want(t, s, Endpoint, "a")
		s.SetSnapshot(0, eds(res("a", "1", lease)))
		ack(t, s, 0, s.NextResponse(0), "a")
		beat := s.NextResponse(80 * ms)
		ack(t, s, 241*ms, beat, "a")
		if r := s.NextResponse(241 * ms); r == nil || r.Heartbeat || !slices.Equal(names(r), []string{"a=1"}) {
			t.Errorf("%+v", r)
		}
	})
}

// The last good state of a proxy that rejects an update is prolonged only
// while it sends nobody where the update would not.
func TestARejectedDrainIsNotProlonged(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		for _, c := range []struct {
			name string
			live []string
			beat bool
		}{{"a drain", []string{"h:1"}, false}, {"a new server", []string{"h:1", "h:2", "h:3"}, true}} {
			s := NewSession(delta, true)
			want(t, s, Endpoint, "a")
			s.SetSnapshot(0, eds(res("a", "1", lease, "h:1", "h:2")))
			ack(t, s, 0, s.NextResponse(0), "a")
			s.SetSnapshot(10*ms, eds(res("a", "2", lease, c.live...)))
			nack(t, s, 11*ms, s.NextResponse(10*ms), "a")
			if r := s.NextResponse(100 * ms); (r != nil) != c.beat {
				t.Errorf("%s: %v", c.name, names(r))
			}
			if w := s.NextWakeup(100 * ms); w < 101*ms {
				t.Errorf("%s: it would wake at %v, for nothing", c.name, w)
			}
		}
	})
}

// Make before break: endpoints after their clusters, routes after both, and a
// cluster goes only when no route names it any more.
func TestNothingIsNamedBeforeItIsThereOrAfterItIsGone(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		of := func(cluster string) *Snapshot {
			route := res("r", "to-"+cluster, 0)
			route.refs = []string{cluster}
			return snap(map[Type][]*Resource{Cluster: {res(cluster, "1", 0)}, Endpoint: {res(cluster, "1", 0)}, Route: {route}})
		}
		s := NewSession(delta, false)
		// What a proxy has and what its routes name.
		has, route := map[string]bool{}, ""
		endpoints := map[string]bool{}
		settle := func(now time.Duration) {
			for range 20 {
				r := s.NextResponse(now)
				if r == nil {
					return
				}
				var wants []string
				switch r.Type {
				case Cluster:
					if !delta {
						clear(has)
					}
					for _, x := range r.Resources {
						has[x.Name] = true
					}
					for _, n := range r.Removed {
						delete(has, n)
					}
					if route != "" && !has[route] {
						t.Fatalf("the route names %s, which is gone", route)
					}
				case Endpoint:
					for _, x := range r.Resources {
						endpoints[x.Name] = true
						wants = append(wants, x.Name)
					}
				case Route:
					route = r.Resources[0].Version[len("to-"):]
					if !has[route] || !endpoints[route] {
						t.Fatalf("the route names %s before it is there", route)
					}
					wants = []string{"r"}
				}
				if r.Type == Endpoint {
					wants = nil
					for n := range has {
						wants = append(wants, n)
					}
				}
				if err := s.HandleRequest(now, Request{Type: r.Type, Nonce: r.Nonce, Names: wants}); err != nil {
					t.Fatal(err)
				}
				if r.Type == Cluster { // a proxy asks for the endpoints of its clusters
					var all []string
					for n := range has {
						all = append(all, n)
					}
					if err := s.HandleRequest(now, Request{Type: Endpoint, Names: all, Subscribe: all}); err != nil {
						t.Fatal(err)
					}
				}
			}
			t.Fatal("it does not settle")
		}
		s.SetSnapshot(0, of("one"))
		want(t, s, Cluster)
		want(t, s, Route, "r")
		settle(0)
		if route != "one" {
			t.Fatalf("first route %q", route)
		}
		for i, next := range []string{"two", "three", "one"} {
			now := time.Duration(i+1) * 100 * ms
			s.SetSnapshot(now, of(next))
			settle(now)
			if route != next || len(has) != 1 || !has[next] {
				t.Errorf("after the change to %s: route %q, clusters %v", next, route, has)
			}
		}
	})
}

// A route whose clusters are rejected waits, but not for ever.
func TestARouteDoesNotWaitForEver(t *testing.T) {
	s := NewSession(false, false)
	route := res("r", "1", 0)
	route.refs = []string{"a"}
	s.SetSnapshot(0, snap(map[Type][]*Resource{Cluster: {res("a", "1", 0)}, Route: {route}}))
	want(t, s, Cluster)
	want(t, s, Route, "r")
	nack(t, s, 0, s.NextResponse(0))
	if r := s.NextResponse(time.Second); r != nil {
		t.Fatalf("at once: %v", names(r))
	}
	if w := s.NextWakeup(time.Second); w != gateFor {
		t.Errorf("wakes at %v", w)
	}
	if r := s.NextResponse(gateFor); !slices.Equal(names(r), []string{"r=1"}) {
		t.Errorf("after %v: %v", gateFor, names(r))
	}
}

func TestAResourceThatGoesIsToldGone(t *testing.T) {
	s := NewSession(true, false)
	want(t, s, Endpoint, "a", "never")
	s.SetSnapshot(0, eds(res("a", "1", 0)))
	r := s.NextResponse(0)
	if !slices.Equal(names(r), []string{"a=1"}) || !slices.Equal(r.Removed, []string{"never"}) {
		t.Fatalf("%v, gone %v", names(r), r.Removed)
	}
	ack(t, s, 0, r)
	if r := s.NextResponse(0); r != nil {
		t.Errorf("again: %v, gone %v", names(r), r.Removed)
	}
	s.SetSnapshot(1, eds())
	if r = s.NextResponse(1); r == nil || !slices.Equal(r.Removed, []string{"a"}) {
		t.Errorf("%+v", r)
	}
	ack(t, s, 1, r)
	s.SetSnapshot(2, eds(res("never", "1", 0)))
	if r = s.NextResponse(2); !slices.Equal(names(r), []string{"never=1"}) {
		t.Errorf("%v", names(r))
	}
}

// A proxy that comes back on the incremental variant with what it has is sent
// the rest; what has a lease is sent whole, as that may just have run out.
func TestWhoComesBackKeepsWhatIsCurrent(t *testing.T) {
	s := NewSession(true, true)
	s.SetSnapshot(0, snap(map[Type][]*Resource{Cluster: {res("a", "1", 0), res("b", "2", 0)}, Endpoint: {res("a", "1", lease)}}))
	if err := s.HandleRequest(0, Request{Type: Cluster, InitialVersions: map[string]string{"a": "1", "b": "1", "old": "1"}}); err != nil {
		t.Fatal(err)
	}
	if err := s.HandleRequest(0, Request{Type: Endpoint, Subscribe: []string{"a"}, InitialVersions: map[string]string{"a": "1"}}); err != nil {
		t.Fatal(err)
	}
	r := s.NextResponse(0)
	if !slices.Equal(names(r), []string{"b=2"}) || !slices.Equal(r.Removed, []string{"old"}) {
		t.Errorf("clusters: %v, gone %v", names(r), r.Removed)
	}
	if r = s.NextResponse(0); r == nil || r.Heartbeat || !slices.Equal(names(r), []string{"a=1"}) {
		t.Errorf("endpoints: %+v", r)
	}
}

func TestBoundsOfARequest(t *testing.T) {
	many := make([]string, maxNames+1)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	for _, r := range []Request{
		{Names: many}, {Names: []string{""}}, {Names: []string{string(make([]byte, maxNameLen+1))}},
	} {
		if NewSession(false, false).HandleRequest(0, r) == nil {
			t.Errorf("state of the world: %d names are taken", len(r.Names))
		}
		if NewSession(true, false).HandleRequest(0, Request{Subscribe: r.Names}) == nil {
			t.Errorf("incremental: %d names are taken", len(r.Names))
		}
	}
	s := NewSession(true, false) // in several requests
	if s.HandleRequest(0, Request{Subscribe: many[:maxNames]}) != nil || s.HandleRequest(0, Request{Subscribe: many[maxNames:]}) == nil {
		t.Error("more than the bound in two requests")
	}
}

// A proxy as the protocol page wants it, over a connection that holds back
// what is under way for any time until it is broken. It must not use a server
// for longer than two leases after the control service was told of its drain.
func TestALeaseEndsInTimeWhateverTheNetworkDoes(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		late, breaks := 0, 0
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			any := func(d time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(d))) }
			drain := 300*ms + any(300*ms)
			bad, good := drain-any(500*ms), drain+any(800*ms) // the network is bad in between
			before, after := eds(res("a", "1", lease, "h:1", "h:2")), eds(res("a", "2", lease, "h:1"))
			type flying struct {
				at time.Duration
				r  *Response
			}
			var s *Session
			var down, up []flying
			var last [2]time.Duration // deliveries are in order
			var holds *Resource
			until, connect := time.Duration(0), time.Duration(0)
			pass := func(way int, now time.Duration) time.Duration {
				at := now + any(30*ms)
				if at >= bad && at < good {
					at = now + any(3*lease)
				}
				last[way] = max(last[way], at)
				return last[way]
			}
			for now := time.Duration(0); now < 3*time.Second; now += ms {
				state := before
				if now >= drain {
					state = after
				}
				if s == nil && now >= connect {
					s, last = NewSession(delta, true), [2]time.Duration{}
					want(t, s, Endpoint, "a")
				}
				if s != nil {
					if s.snap != state {
						s.SetSnapshot(now, state)
					}
					for len(up) > 0 && up[0].at <= now {
						ack(t, s, now, up[0].r, "a")
						up = up[1:]
					}
					for r := s.NextResponse(now); r != nil; r = s.NextResponse(now) {
						down = append(down, flying{pass(0, now), r})
					}
					if at, ok := s.AckDeadline(time.Second); ok && now >= at {
						breaks++
						s, down, up, connect = nil, nil, nil, now+any(100*ms)
					}
				}
				if holds != nil && now >= until {
					holds = nil
				}
				for len(down) > 0 && down[0].at <= now {
					r := down[0].r
					down = down[1:]
					switch x := r.Resources[0]; {
					case !r.Heartbeat:
						holds, until = x, now+lease
					case holds != nil && holds.Version == x.Version:
						until = now + lease
					}
					up = append(up, flying{pass(1, now), r})
				}
				if holds != nil && slices.Contains(holds.live, "h:2") && now > drain {
					if now > drain+2*lease {
						t.Fatalf("seed %d: at %v it uses a server that drained at %v", seed, now, drain)
					}
					late++
				}
			}
			if holds == nil || holds.Version != "2" {
				t.Fatalf("seed %d: in the end it holds %+v", seed, holds)
			}
		}
		if late == 0 || breaks == 0 {
			t.Errorf("nothing came late (%d) or nothing was broken (%d)", late, breaks)
		}
	})
}

func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, true)
	f.Add([]byte{200, 13, 77, 13, 77, 0, 0, 1, 255, 254}, false)
	f.Fuzz(func(t *testing.T, data []byte, delta bool) {
		s := NewSession(delta, true)
		now := time.Duration(0)
		sent := map[Type]int{}
		for i, b := range data {
			now += time.Duration(b) * ms
			ty := Type(b % 4)
			name := fmt.Sprint(b % 7)
			switch b / 4 % 6 {
			case 0:
				s.SetSnapshot(now, snap(map[Type][]*Resource{ty: {res(name, fmt.Sprint(i), time.Duration(b%2)*lease)}}))
			case 1:
				s.HandleRequest(now, Request{Type: ty, Names: []string{name}, Subscribe: []string{name}})
			case 2:
				s.HandleRequest(now, Request{Type: ty, Nonce: fmt.Sprint(s.nonce), Names: []string{name}, Unsubscribe: []string{name}})
			case 3:
				s.HandleRequest(now, Request{Type: ty, Nonce: fmt.Sprint(s.nonce), RejectReason: "no"})
			case 4:
				s.HandleRequest(now, Request{Type: ty, Nonce: fmt.Sprint(b), InitialVersions: map[string]string{name: "1"}, Names: []string{"*", name}})
			}
			for n := 0; ; n++ {
				r := s.NextResponse(now)
				if r == nil {
					break
				}
				sent[r.Type]++
				if n > 2*int(types) {
					t.Fatal("it sends without an answer")
				}
			}
			if w := s.NextWakeup(now); w <= now {
				t.Fatalf("at %v it would wake at %v", now, w)
			}
			s.AckDeadline(time.Second)
		}
	})
}

// A proxy may ask for more when it has answered all that it was sent: it names
// the last nonce once more. Only what answers an older response is ignored.
func TestMoreNamesAfterAnAnswerAreNotStale(t *testing.T) {
	s := NewSession(false, false)
	s.SetSnapshot(0, eds(res("a", "1", 0), res("b", "1", 0), res("c", "1", 0)))
	want(t, s, Endpoint, "a")
	first := s.NextResponse(0)
	ack(t, s, 0, first, "a")
	ack(t, s, 0, first, "a", "b") // the same nonce again, with another name
	second := s.NextResponse(0)
	if got := names(second); !slices.Contains(got, "b=1") {
		t.Fatalf("asked for b as well, got %v", got)
	}
	ack(t, s, 0, first, "a", "b", "c") // it has not read the second one yet
	if r := s.NextResponse(0); r != nil {
		t.Errorf("an answer to an older response was believed: %v", names(r))
	}
	ack(t, s, 0, second, "a", "b", "c")
	if got := names(s.NextResponse(0)); !slices.Contains(got, "c=1") {
		t.Errorf("asked for c as well, got %v", got)
	}
	if s.StaleRequests != 1 {
		t.Errorf("%d stale requests", s.StaleRequests)
	}
}
