package steered

import (
	"testing"
	"time"

	"ivylock/fleet/version"

	"pgregory.net/rapid"
)

const second = time.Second

func newTable() *Table {
	t := New(Settings{Service: "a", Incarnation: 1, AnswerTimeout: 2 * second, Grace: 500 * time.Millisecond, MaxProxies: 8})
	t.ProxyJoined(1, "p")
	t.VersionPublished(1, version.List{Generation: 40, Digest: 4}, nil)
	t.VersionSent(0, "p", 1, 0)
	t.VersionAnswered(0, "p", 1, "")
	t.UpdateVerdicts(0)
	return t
}

func stateOf(t *Table) string { return t.ProxyRecords()[0].State }

// A proxy that rejects, does not answer or does not apply what it is sent is reported as
// unreliable, and as reliable again once it complies.
func TestUnreliableProxiesAreReported(t *testing.T) {
	drained := []Server{{"a", "1:1"}}
	table := newTable()
	table.VersionPublished(2, version.List{Generation: 41, Digest: 5}, drained)
	table.VersionSent(second, "p", 2, 0)
	table.VersionAnswered(second, "p", 2, "")
	for i := range 6 {
		now := second + time.Duration(i+1)*500*time.Millisecond
		table.LoadReported(now, "p", 500*time.Millisecond, []ServerLoad{{Server{Addr: "1:1"}, 7}, {Server{ID: "b"}, 7}})
		c := table.UpdateVerdicts(now)
		if want := i == 2; want != (len(c) == 1 && c[0].State == version.ProxyNotApplying && !c[0].Reliable && c[0].ReliabilityChanged) {
			t.Errorf("report %d: %+v", i, c) // the first report lies within the grace period
		}
	}
	for i := range 2 {
		table.LoadReported(10*second, "p", 500*time.Millisecond, []ServerLoad{{Server{ID: "b"}, 7}})
		if c := table.UpdateVerdicts(10 * second); (len(c) == 1 && c[0].Reliable) != (i == 1) {
			t.Errorf("clean report %d: %+v", i, c)
		}
	}
	table = newTable()
	table.VersionPublished(2, version.List{Generation: 41, Digest: 5}, drained)
	table.VersionSent(second, "p", 2, 0)
	table.VersionAnswered(second, "p", 2, "no such field")
	if c := table.UpdateVerdicts(second); len(c) != 1 || c[0].State != version.ProxyRejecting {
		t.Errorf("%+v", c)
	}
	table.VersionSent(2*second, "p", 3, 0)
	table.VersionAnswered(2*second, "p", 3, "")
	if c := table.UpdateVerdicts(2 * second); len(c) != 1 || c[0].State != version.ProxyCurrent || !c[0].ReliabilityChanged {
		t.Errorf("%+v", c)
	}
	table.VersionSent(3*second, "p", 4, 0)
	table.VersionSent(4*second, "p", 5, 0)
	table.UpdateVerdicts(4 * second)
	if table.UpdateVerdicts(5 * second); stateOf(table) != version.ProxyPending.String() {
		t.Errorf("%v", stateOf(table))
	}
	if c := table.UpdateVerdicts(6 * second); len(c) != 1 || c[0].State != version.ProxyUnresponsive {
		t.Errorf("two versions without an answer: %+v", c)
	}
}

// A proxy that sends only to servers that are up is never reported as not applying.
func TestCompliantProxyIsNeverReported(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table, now, number := newTable(), time.Duration(0), uint64(1)
		withdrawn, accepted := map[Server]bool{}, map[Server]Time{}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(50, 700).Draw(r, "later")) * time.Millisecond
			switch srv := (Server{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "server")}); rapid.IntRange(0, 2).Draw(r, "what") {
			case 0:
				if withdrawn[srv] {
					delete(withdrawn, srv)
				} else {
					withdrawn[srv] = true
				}
				number++
				var list []Server
				for s := range withdrawn {
					list = append(list, s)
				}
				table.VersionPublished(number, version.List{Generation: uint32(number), Digest: 1}, list)
			case 1:
				table.VersionSent(now, "p", number, 0)
				table.VersionAnswered(now, "p", number, "")
				for s := range accepted {
					if !withdrawn[s] {
						delete(accepted, s)
					}
				}
				for s := range withdrawn {
					if _, known := accepted[s]; !known {
						accepted[s] = now
					}
				}
			default: // sends go to servers whose withdrawal it has not accepted or accepted only recently
				const interval = 500 * time.Millisecond
				var sends []ServerLoad
				for _, id := range []string{"a", "b", "c"} {
					srv := Server{ID: id}
					if since, known := accepted[srv]; !known || now-interval < since {
						sends = append(sends, ServerLoad{srv, 3})
					}
				}
				table.LoadReported(now, "p", interval, sends)
			}
			for _, c := range table.UpdateVerdicts(now) {
				if c.State == version.ProxyNotApplying {
					r.Fatalf("%+v", c)
				}
			}
		}
	})
}

// The record has the list that a proxy acts on, also if nothing had to be sent, and after
// the proxy has left.
func TestRecordHoldsListOfProxy(t *testing.T) {
	table := newTable()
	if r := table.ProxyRecords()[0]; r.BasedOn.Generation != 40 || r.Service != "a" {
		t.Errorf("%+v", r)
	}
	table.VersionPublished(2, version.List{Generation: 41, Digest: 5}, nil)
	table.VersionPublished(3, version.List{Generation: 41, Digest: 5}, nil)
	table.VersionHeld("p", 3)
	if r := table.ProxyRecords()[0]; r.BasedOn.Generation != 41 || r.Accepted != 3 {
		t.Errorf("%+v", r)
	}
	table.ProxyLeft(9, "p")
	if r, dropped := table.Record(); len(r) != 1 || r[0].Left != 9 || r[0].BasedOn.Generation != 41 || dropped != 0 {
		t.Errorf("%+v, %d dropped", r, dropped)
	}
}
