package steered

import (
	"testing"
	"time"

	"ivylock/fleet/version"

	"pgregory.net/rapid"
)

const s = time.Second

func table() *Table {
	t := New(Settings{Service: "a", Incarnation: 1, AnswerTimeout: 2 * s, Grace: 500 * time.Millisecond, MaxProxies: 8})
	t.ProxyJoined(1, "p")
	t.VersionPublished(1, version.List{Generation: 40, Digest: 4}, nil)
	t.VersionSent(0, "p", 1, 0)
	t.VersionAnswered(0, "p", 1, "")
	t.UpdateVerdicts(0)
	return t
}

func state(t *Table) string { return t.ProxyRecords()[0].State }

// A proxy that accepts and goes on sending, one that refuses, one that is silent: each
// is named, and counted on again once it follows.
func TestWhoDoesNotFollow(t *testing.T) {
	drained := []Server{{"a", "1:1"}}
	x := table()
	x.VersionPublished(2, version.List{Generation: 41, Digest: 5}, drained)
	x.VersionSent(s, "p", 2, 0)
	x.VersionAnswered(s, "p", 2, "")
	for i := range 6 {
		now := s + time.Duration(i+1)*500*time.Millisecond
		x.LoadReported(now, "p", 500*time.Millisecond, []ServerLoad{{Server{Addr: "1:1"}, 7}, {Server{ID: "b"}, 7}})
		c := x.UpdateVerdicts(now)
		if want := i == 2; want != (len(c) == 1 && c[0].State == version.ProxyNotApplying && !c[0].Reliable && c[0].ReliabilityChanged) {
			t.Errorf("report %d: %+v", i, c) // the first lies within the grace
		}
	}
	for i := range 2 {
		x.LoadReported(10*s, "p", 500*time.Millisecond, []ServerLoad{{Server{ID: "b"}, 7}})
		if c := x.UpdateVerdicts(10 * s); (len(c) == 1 && c[0].Reliable) != (i == 1) {
			t.Errorf("clean report %d: %+v", i, c)
		}
	}
	x = table()
	x.VersionPublished(2, version.List{Generation: 41, Digest: 5}, drained)
	x.VersionSent(s, "p", 2, 0)
	x.VersionAnswered(s, "p", 2, "no such field")
	if c := x.UpdateVerdicts(s); len(c) != 1 || c[0].State != version.ProxyRejecting {
		t.Errorf("%+v", c)
	}
	x.VersionSent(2*s, "p", 3, 0)
	x.VersionAnswered(2*s, "p", 3, "")
	if c := x.UpdateVerdicts(2 * s); len(c) != 1 || c[0].State != version.ProxyCurrent || !c[0].ReliabilityChanged {
		t.Errorf("%+v", c)
	}
	x.VersionSent(3*s, "p", 4, 0)
	x.VersionSent(4*s, "p", 5, 0)
	x.UpdateVerdicts(4 * s)
	if x.UpdateVerdicts(5 * s); state(x) != version.ProxyPending.String() {
		t.Errorf("%v", state(x))
	}
	if c := x.UpdateVerdicts(6 * s); len(c) != 1 || c[0].State != version.ProxyUnresponsive {
		t.Errorf("it was sent two versions and answers none: %+v", c)
	}
}

// A proxy that sends only to what is up, however its reports and answers fall, is
// never said not to act.
func TestWhoFollowsIsNotAccused(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x, now, number := table(), time.Duration(0), uint64(1)
		out, accepted := map[Server]bool{}, map[Server]Time{}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(50, 700).Draw(r, "later")) * time.Millisecond
			switch srv := (Server{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "server")}); rapid.IntRange(0, 2).Draw(r, "what") {
			case 0:
				if out[srv] {
					delete(out, srv)
				} else {
					out[srv] = true
				}
				number++
				var list []Server
				for s := range out {
					list = append(list, s)
				}
				x.VersionPublished(number, version.List{Generation: uint32(number), Digest: 1}, list)
			case 1:
				x.VersionSent(now, "p", number, 0)
				x.VersionAnswered(now, "p", number, "")
				for s := range accepted {
					if !out[s] {
						delete(accepted, s)
					}
				}
				for s := range out {
					if _, known := accepted[s]; !known {
						accepted[s] = now
					}
				}
			default: // it sends to what it has not accepted as withdrawn; within the grace to all
				const interval = 500 * time.Millisecond
				var sends []ServerLoad
				for _, id := range []string{"a", "b", "c"} {
					srv := Server{ID: id}
					if since, known := accepted[srv]; !known || now-interval < since {
						sends = append(sends, ServerLoad{srv, 3})
					}
				}
				x.LoadReported(now, "p", interval, sends)
			}
			for _, c := range x.UpdateVerdicts(now) {
				if c.State == version.ProxyNotApplying {
					r.Fatalf("%+v", c)
				}
			}
		}
	})
}

// What a proxy holds of a version is told with the list behind it, also where nothing of
// it had to be sent, and after it has left.
func TestTheRecordTellsWhichListAProxyActsOn(t *testing.T) {
	x := table()
	if r := x.ProxyRecords()[0]; r.BasedOn.Generation != 40 || r.Service != "a" {
		t.Errorf("%+v", r)
	}
	x.VersionPublished(2, version.List{Generation: 41, Digest: 5}, nil)
	x.VersionPublished(3, version.List{Generation: 41, Digest: 5}, nil)
	x.VersionHeld("p", 3)
	if r := x.ProxyRecords()[0]; r.BasedOn.Generation != 41 || r.Accepted != 3 {
		t.Errorf("%+v", r)
	}
	x.ProxyLeft(9, "p")
	if r, dropped := x.Record(); len(r) != 1 || r[0].Left != 9 || r[0].BasedOn.Generation != 41 || dropped != 0 {
		t.Errorf("%+v, %d dropped", r, dropped)
	}
}
