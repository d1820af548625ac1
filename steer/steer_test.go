package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivylock/balance"
)

// world is a fleet and its proxies in one process: each proxy sends by the
// state that it was last told, servers answer by a queue with their capacity,
// and reports come each second, at another moment from each proxy.
type world struct {
	t       *testing.T
	m       *Module
	now     Time
	state   *State
	list    []Server
	rate    map[ServerID]float64 // requests a second that it can answer
	queue   map[ServerID]float64
	proxies []*sender
	offered float64 // requests a second of all proxies
	prio    float64 // part of them of priority
	probes  map[ServerID]bool
	deaf    map[ServerID]bool
	failing map[ServerID]bool
	well    bool // servers pass probes whatever else they do
	rand    *rand.Rand

	published []*State
	urgent    int
	lines     []string
	flow      map[ServerID]float64 // what it was sent in the last step, a second
	peak      map[ServerID]float64 // the most that a server was sent in a step, a second
	dropped   float64
	sent      float64
}

type sender struct {
	id     ProxyID
	zone   string
	share  float64 // of what is offered
	loads  map[ServerID]*Load
	in1    float64
	in2    float64
	due    Time
	frac   map[ServerID]float64
	silent bool
}

const (
	step = 20 * time.Millisecond
	work = 0.03 // s that a request takes without a queue
)

func newWorld(t *testing.T, servers, proxies int, zones ...string) *world {
	t.Helper()
	m, err := New(Settings{Classes: []balance.Class{{Name: "clip", TargetLatency: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, m: m, now: time.Hour, rate: map[ServerID]float64{}, queue: map[ServerID]float64{},
		probes: map[ServerID]bool{}, deaf: map[ServerID]bool{}, failing: map[ServerID]bool{}, flow: map[ServerID]float64{}, peak: map[ServerID]float64{},
		rand: rand.New(rand.NewPCG(1, 2)), prio: 0.3}
	for i := range servers {
		id := ServerID(fmt.Sprintf("s%02d", i))
		w.list = append(w.list, Server{ID: id, Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: zones[i%len(zones)], Cell: i / 3, RelativeSize: 1})
		w.rate[id] = 100
	}
	for i := range proxies {
		p := &sender{id: ProxyID(fmt.Sprintf("p%d", i)), zone: zones[i%len(zones)], share: 1 / float64(proxies),
			loads: map[ServerID]*Load{}, frac: map[ServerID]float64{}, due: w.now + time.Second + time.Duration(i)*37*time.Millisecond}
		w.proxies = append(w.proxies, p)
		w.feed(ProxyJoined{p.id, p.zone})
	}
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	return w
}

func (w *world) feed(e Event) {
	for _, a := range w.m.Handle(w.now, e) {
		switch a := a.(type) {
		case Publish:
			if w.state != nil && a.State.Version <= w.state.Version {
				w.t.Errorf("version %d after %d", a.State.Version, w.state.Version)
			}
			w.state = a.State
			w.published = append(w.published, a.State)
			if a.Urgent {
				w.urgent++
			}
		case Probe:
			w.probes[a.Server] = true
		case Log:
			w.lines = append(w.lines, a.Line)
		}
	}
}

// parts gives the part of a view's requests that each server gets, by the
// rules of the published protocol: the first priority with a healthy server,
// localities by weight, endpoints by weight within them.
func parts(v *View) map[ServerID]float64 {
	for p := range uint32(4) {
		if out := partsOf(v, p); len(out) > 0 {
			return out
		}
	}
	return nil
}

// partsOf gives the same for one priority.
func partsOf(v *View, p uint32) map[ServerID]float64 {
	out := map[ServerID]float64{}
	for range 1 {
		total := 0.0
		for _, l := range v.Localities {
			sum := 0.0
			for _, e := range l.Endpoints {
				if e.Health == Healthy {
					sum += float64(e.Weight)
				}
			}
			if l.Priority != p || sum == 0 {
				continue
			}
			total += float64(l.Weight)
			for _, e := range l.Endpoints {
				if e.Health == Healthy {
					out[e.ID] = float64(l.Weight) * float64(e.Weight) / sum
				}
			}
		}
		if total > 0 {
			for id := range out {
				out[id] /= total
			}
			return out
		}
	}
	return out
}

// run lets time pass.
func (w *world) run(length time.Duration) {
	sec := step.Seconds()
	for end := w.now + length; w.now < end; {
		w.now += step
		arrived := map[ServerID]float64{}
		for _, p := range w.proxies {
			v := w.state.View(p.zone)
			in := w.offered * p.share * sec
			p.in1, p.in2 = p.in1+in*w.prio, p.in2+in*(1-w.prio)
			pass := in*w.prio*(1-float64(v.DropPriorityPPM)/1e6) + in*(1-w.prio)*(1-float64(v.DropOtherPPM)/1e6)
			w.dropped, w.sent = w.dropped+in-pass, w.sent+pass
			for id, part := range parts(v) {
				arrived[id] += pass * part
				p.load(id).Issued += p.whole(id, pass*part)
			}
		}
		for _, s := range w.list {
			n := arrived[s.ID]
			w.peak[s.ID], w.flow[s.ID] = math.Max(w.peak[s.ID], n/sec), n/sec
			q := w.queue[s.ID] + n
			done := 0.0
			if !w.deaf[s.ID] {
				done = math.Min(q, w.rate[s.ID]*sec)
			}
			if n > 0 && q > 200 { // clients give up
				q = 200
			}
			w.queue[s.ID] = q - done
			// The answers go to proxies by what they sent; shares of the total do.
			for _, p := range w.proxies {
				l := p.load(s.ID)
				if w.failing[s.ID] {
					l.Errors += p.whole(s.ID+"!", done*p.share)
				} else {
					l.OK += p.whole(s.ID+"+", done*p.share)
				}
			}
		}
		for _, p := range w.proxies {
			if w.now < p.due {
				continue
			}
			p.due += time.Second
			e := LoadReported{Proxy: p.id, Interval: time.Second, PriorityArrivals: uint64(p.in1 + 0.5), OtherArrivals: uint64(p.in2 + 0.5)}
			for _, s := range w.list {
				l := p.load(s.ID)
				l.Server = s.ID
				l.InFlight = uint64((w.queue[s.ID]+w.flow[s.ID]*work)*p.share + w.rand.Float64())
				if l.Issued+l.OK+l.Errors+l.InFlight > 0 {
					e.Loads = append(e.Loads, *l)
				}
				*l = Load{}
			}
			p.in1, p.in2 = 0, 0
			if !p.silent {
				w.feed(e)
			}
		}
		if w.now%TickInterval == 0 {
			w.feed(Tick{})
		}
		for id := range w.probes {
			delete(w.probes, id)
			w.feed(ProbeResult{Server: id, OK: w.well || !w.deaf[id] && !w.failing[id]})
		}
	}
}

func (p *sender) load(id ServerID) *Load {
	if p.loads[id] == nil {
		p.loads[id] = &Load{}
	}
	return p.loads[id]
}

// whole turns parts of requests into whole ones over time.
func (p *sender) whole(id ServerID, n float64) uint64 {
	p.frac[id] += n
	k := math.Floor(p.frac[id])
	p.frac[id] -= k
	return uint64(k)
}

func (w *world) endpoint(id ServerID) Endpoint {
	w.t.Helper()
	for _, l := range w.state.View("").Localities {
		for _, e := range l.Endpoints {
			if e.ID == id {
				return e
			}
		}
	}
	w.t.Fatalf("%s is not told", id)
	return Endpoint{}
}

func TestADrainIsPublishedAtOnceAndARelistedServerComesBack(t *testing.T) {
	w := newWorld(t, 6, 4, "a")
	w.offered = 200
	w.run(5 * time.Second)
	before := w.urgent
	w.list[2].Draining = true
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	if w.urgent != before+1 || w.endpoint("s02").Health != Draining {
		t.Errorf("%d urgent states, health %v", w.urgent-before, w.endpoint("s02").Health)
	}
	w.list[2].Draining = false
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	w.run(2 * time.Second)
	if w.endpoint("s02").Health != Healthy {
		t.Errorf("after its return: %v", w.endpoint("s02").Health)
	}
	w.feed(ListReceived{Kind: ListFull, Servers: append(slices.Clone(w.list[:2]), w.list[3:]...)})
	for _, l := range w.state.View("").Localities {
		for _, e := range l.Endpoints {
			if e.ID == "s02" {
				t.Error("a removed server is still told")
			}
		}
	}
}

func TestAnOldListConfirmsNothingAndUndoesNoDrain(t *testing.T) {
	m, err := New(Settings{Classes: []balance.Class{{Name: "clip", TargetLatency: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	list := []Server{{ID: "a", Addr: "h:1", Zone: "z", RelativeSize: 1}, {ID: "b", Addr: "h:2", Zone: "z", RelativeSize: 1}}
	last := func(out []Action) *State {
		var st *State
		for _, a := range out {
			if p, ok := a.(Publish); ok {
				st = p.State
			}
		}
		return st
	}
	if st := last(m.Handle(time.Hour, ListReceived{Kind: ListCached, Servers: list})); st == nil || st.Confirmed {
		t.Fatalf("of a kept list: %+v", st)
	}
	drained := slices.Clone(list)
	drained[0].Draining = true
	if st := last(m.Handle(time.Hour, ListReceived{Kind: ListFull, Servers: drained})); st == nil || !st.Confirmed {
		t.Fatalf("of a fresh one: %+v", st)
	}
	m.Handle(time.Hour+time.Second, ListReceived{Kind: ListCached, Servers: list})
	m.Handle(time.Hour+2*time.Second, ListReceived{Kind: ListFailed})
	if !m.servers["a"].Draining {
		t.Error("a kept list undid a drain")
	}
}

func TestFasterServersGetMore(t *testing.T) {
	w := newWorld(t, 4, 3, "a")
	w.rate["s00"], w.rate["s01"] = 50, 50
	w.offered = 220 // of 300
	w.run(60 * time.Second)
	slow, fast := float64(w.endpoint("s00").Weight), float64(w.endpoint("s03").Weight)
	if r := fast / slow; r < 1.2 {
		t.Errorf("weights %v and %v", slow, fast)
	}
	if w.queue["s00"] > 30 {
		t.Errorf("%v wait at the slow one", w.queue["s00"])
	}
}

// Weights may not flap: each server's changes at most once a second, and by at
// most the stated factor.
func TestWeightsChangeSeldomAndLittle(t *testing.T) {
	w := newWorld(t, 6, 5, "a")
	w.offered = 400
	w.run(20 * time.Second)
	from := len(w.published)
	start := w.now
	w.rate["s00"] = 30
	w.run(30 * time.Second)
	n := len(w.published) - from
	if most := int((w.now-start)/time.Second) + 1; n > most {
		t.Errorf("%d states in %v", n, w.now-start)
	}
	if n == 0 {
		t.Fatal("nothing changed")
	}
	for i := from; i < len(w.published); i++ {
		a, b := parts(w.published[i-1].View("a")), parts(w.published[i].View("a"))
		for id := range b {
			// A part moves with all the others too; a blocked server's two steps.
			if r := b[id] / a[id]; r > 1.25*1.25*1.02 || r < 1/(1.25*1.25*1.25*1.02) {
				t.Errorf("state %d: the part of %s went from %.3f to %.3f", i, id, a[id], b[id])
			}
		}
	}
}

// TotalTimeout proxies together stay under the stated multiple of what a cold server
// can do at that moment, with as few as all proxies silent on their loads.
func TestAColdServerIsNotPushedOver(t *testing.T) {
	for _, silent := range []bool{false, true} {
		w := newWorld(t, 6, 8, "a")
		w.offered = 500
		w.run(20 * time.Second)
		if silent {
			for _, p := range w.proxies[:4] {
				p.silent = true
			}
			w.run(4 * time.Second)
		}
		w.list = append(w.list, Server{ID: "new", Addr: "10.0.0.99:80", Zone: "a", RelativeSize: 1, StartedAt: w.now})
		w.rate["new"] = 100
		began := w.now
		w.feed(ListReceived{Kind: ListFull, Servers: w.list})
		clear(w.peak)
		worst := 0.0
		for w.now < began+10*time.Second {
			warm := math.Min(1, 0.32+0.68*(w.now-began).Seconds()/8.3)
			w.rate["new"] = 100 * warm
			w.run(step)
			worst = math.Max(worst, w.peak["new"]/(100*warm))
			clear(w.peak)
		}
		if worst > 2.5 || worst == 0 {
			t.Errorf("silent %v: %.2f times its capacity", silent, worst)
		}
		if part := parts(w.state.View("a"))["new"]; part < 0.05 {
			t.Errorf("silent %v: warm, and its part is %.3f", silent, part)
		}
	}
}

// With none but cold servers the rest is refused, other requests first.
func TestAColdHallTakesOnlyWhatItCan(t *testing.T) {
	w := newWorld(t, 4, 4, "a")
	w.offered = 300
	w.run(20 * time.Second)
	for i := range w.list {
		w.list[i].ID += "'"
		w.list[i].StartedAt = w.now
		w.rate[w.list[i].ID] = 32
	}
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	v := w.state.View("a")
	if v.DropOtherPPM == 0 || v.DropPriorityPPM > v.DropOtherPPM {
		t.Errorf("drops %d and %d of a million", v.DropPriorityPPM, v.DropOtherPPM)
	}
	clear(w.peak)
	w.run(200 * time.Millisecond)
	for _, s := range w.list {
		if w.peak[s.ID] > 2.5*32 {
			t.Errorf("%s got %.0f a second", s.ID, w.peak[s.ID])
		}
	}
}

func TestOverloadShedsOthersFirstAndLapses(t *testing.T) {
	w := newWorld(t, 4, 4, "a")
	w.offered = 300
	w.run(15 * time.Second)
	if v := w.state.View("a"); v.DropOtherPPM != 0 {
		t.Fatalf("dropped at three quarters of the capacity: %d", v.DropOtherPPM)
	}
	w.offered = 800
	w.run(40 * time.Second)
	v := w.state.View("a")
	if v.DropOtherPPM < 500_000 || v.DropPriorityPPM >= v.DropOtherPPM {
		t.Errorf("at twice the capacity: drops %d and %d of a million", v.DropPriorityPPM, v.DropOtherPPM)
	}
	w.offered = 200
	w.run(40 * time.Second)
	if v := w.state.View("a"); v.DropOtherPPM != 0 || v.DropPriorityPPM != 0 {
		t.Errorf("afterwards: drops %d and %d", v.DropPriorityPPM, v.DropOtherPPM)
	}
}

func TestASilentServerAndAFailingOneAreExcludedAndComeBack(t *testing.T) {
	for _, how := range []string{"silent", "failing"} {
		w := newWorld(t, 6, 4, "a")
		w.offered = 300
		w.run(10 * time.Second)
		bad := w.deaf
		if how == "failing" {
			bad = w.failing
		}
		bad["s01"] = true
		w.run(5 * time.Second)
		if w.endpoint("s01").Health != Excluded {
			t.Errorf("%s: %v after 5 s", how, w.endpoint("s01").Health)
		}
		bad["s01"] = false
		w.queue["s01"] = 0
		w.run(10 * time.Second)
		if w.endpoint("s01").Health != Healthy {
			t.Errorf("%s: %v after its return", how, w.endpoint("s01").Health)
		}
	}
}

// When all fail at once and pass their probes it is not the servers: most stay
// in use.
func TestNoMoreThanAPartIsExcluded(t *testing.T) {
	w := newWorld(t, 6, 4, "a")
	w.well = true
	w.offered = 300
	w.run(10 * time.Second)
	for _, s := range w.list {
		w.failing[s.ID] = true
	}
	w.run(10 * time.Second)
	out := 0
	for _, s := range w.list {
		if w.endpoint(s.ID).Health == Excluded {
			out++
		}
	}
	if out > 2 {
		t.Errorf("%d of 6 are excluded", out)
	}
}

// A hall that is lost is left alone once its servers fail their probes too.
func TestALostHallIsLeftToTheOthers(t *testing.T) {
	w := newWorld(t, 9, 6, "a", "b", "c")
	w.offered = 300
	w.run(15 * time.Second)
	for _, s := range w.list {
		w.deaf[s.ID] = s.Zone == "a"
	}
	w.run(4 * time.Second)
	for id, part := range parts(w.state.View("a")) {
		if w.deaf[id] && part > 0 {
			t.Errorf("%s is lost and gets %.2f", id, part)
		}
	}
}

func TestHallsStandInForOneAnother(t *testing.T) {
	w := newWorld(t, 6, 6, "a", "b", "c")
	w.offered = 240
	w.run(15 * time.Second)
	v := w.state.View("a")
	if v.Localities[0].Zone != "a" || v.Localities[0].Priority != 0 || v.Localities[1].Priority != 1 {
		t.Fatalf("at peace: %+v", v.Localities)
	}
	for i := range w.list {
		if w.list[i].Zone == "a" {
			w.list[i].Draining = true
		}
	}
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	got := parts(w.state.View("a"))
	sum := 0.0
	for id, part := range got {
		if id == "s00" || id == "s03" {
			t.Errorf("%s drains and gets %.2f", id, part)
		}
		sum += part
	}
	if math.Abs(sum-1) > 0.01 {
		t.Errorf("parts sum to %.2f", sum)
	}
	for _, l := range w.state.View("a").Localities {
		if l.Zone != "a" && l.Priority != 0 {
			t.Errorf("%s stands in with priority %d", l.Zone, l.Priority)
		}
	}
}

// A hall that is short keeps what it can take and spreads the rest; when its
// load is back to normal it takes all again, and it does not swing meanwhile.
func TestAShortHallSpillsOver(t *testing.T) {
	w := newWorld(t, 9, 6, "a", "b", "c")
	w.offered = 600 // 200 a hall, of 300
	w.run(20 * time.Second)
	for _, p := range w.proxies {
		p.share = map[string]float64{"a": 0.35, "b": 0.075, "c": 0.075}[p.zone] // 420, 90 and 90
	}
	own := func() float64 {
		sum := 0.0
		for id, part := range parts(w.state.View("a")) {
			for _, s := range w.list {
				if s.ID == id && s.Zone == "a" {
					sum += part
				}
			}
		}
		return sum
	}
	w.run(15 * time.Second)
	for range 30 {
		w.run(time.Second)
		if part := own(); part > 0.9 || part < 0.3 {
			t.Errorf("at 1.4 times its capacity it keeps %.2f", part)
		}
	}
	for _, s := range w.list {
		if w.queue[s.ID] > 150 {
			t.Errorf("%.0f wait at %s", w.queue[s.ID], s.ID)
		}
	}
	for _, p := range w.proxies {
		p.share = 1.0 / 6
	}
	w.offered = 300
	w.run(90 * time.Second)
	if part := own(); part < 0.99 {
		t.Errorf("at a third of its capacity it keeps %.2f", part)
	}
	swings, before := 0, w.short("a")
	for range 60 {
		w.run(time.Second)
		if now := w.short("a"); now != before {
			swings, before = swings+1, now
		}
	}
	if swings > 1 {
		t.Errorf("%d swings in a minute", swings)
	}
}

// short says whether others stand in for a hall.
func (w *world) short(zone string) bool { _, short := w.m.keep[zone]; return short }

// The limit of one proxy is its part of what all servers may hold, or what it
// sends in some seconds, and changes by powers of two.
func TestLimitsFollowWhatServersHold(t *testing.T) {
	w := newWorld(t, 6, 4, "a")
	if n := w.state.View("a").MaxRequests; n != firstOut {
		t.Errorf("before anything is known: %d", n)
	}
	w.offered = 400
	w.run(30 * time.Second)
	if n := w.state.View("a").MaxRequests; n != 512 { // 100 a second each for 3 s
		t.Errorf("for each of 4 proxies: %d", n)
	}
	w.offered = 40
	w.run(30 * time.Second)
	if n := w.state.View("a").MaxRequests; n >= 512 || n < leastOut || n&(n-1) != 0 {
		t.Errorf("at a tenth of the load: %d", n)
	}
}

func TestBoundsAreKeptAndCounted(t *testing.T) {
	m, err := New(Settings{Classes: []balance.Class{{TargetLatency: time.Second}}, MaxServers: 2, MaxProxies: 1})
	if err != nil {
		t.Fatal(err)
	}
	m.Handle(time.Hour, ListReceived{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "a"}}})
	m.Handle(time.Hour, ProxyJoined{Proxy: "p"})
	m.Handle(time.Hour, ProxyJoined{Proxy: "q"})
	m.Handle(time.Hour, LoadReported{Proxy: "q", Interval: time.Second})
	m.Handle(time.Hour, LoadReported{Proxy: "p", Interval: time.Second, Loads: []Load{{Server: "x", Issued: 1}}})
	if m.ServerCount() != 2 || m.ProxyCount() != 1 || m.Discarded.Servers != 1 || m.Discarded.Proxies != 1 || m.Discarded.Loads != 2 {
		t.Errorf("%d servers, %d proxies, left out %+v", m.ServerCount(), m.ProxyCount(), m.Discarded)
	}
	for _, bad := range []Settings{{}, {Classes: []balance.Class{{}}, WarmupStartFraction: 2}, {Classes: []balance.Class{{}}, MaxWeightFactor: 0.5},
		{Classes: []balance.Class{{}}, OverloadFactor: 0.5}, {Classes: []balance.Class{{}}, WarmupTime: -1}} {
		if _, err := New(bad); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// What a proxy reported is forgotten when it leaves or falls silent.
func TestASilentProxysLoadLapses(t *testing.T) {
	m, _ := New(Settings{Classes: []balance.Class{{TargetLatency: time.Second}}})
	m.Handle(time.Hour, ListReceived{Kind: ListFull, Servers: []Server{{ID: "a"}}})
	m.Handle(time.Hour, ProxyJoined{Proxy: "p"})
	m.Handle(time.Hour, ProxyJoined{Proxy: "q"})
	for _, p := range []ProxyID{"p", "q"} {
		m.Handle(time.Hour, LoadReported{Proxy: p, Interval: time.Second, Loads: []Load{{Server: "a", InFlight: 5}}})
	}
	m.Handle(time.Hour, ProxyLeft{Proxy: "q"})
	if n := m.servers["a"].n; n != 5 {
		t.Errorf("after one left: %v", n)
	}
	m.Handle(time.Hour+validity+time.Second, Tick{})
	if n := m.servers["a"].n; n != 0 {
		t.Errorf("after silence: %v", n)
	}
}

// The same events give the same states, whatever the order of maps.
func TestItIsDeterministic(t *testing.T) {
	run := func() []string {
		w := newWorld(t, 9, 6, "a", "b", "c")
		w.offered = 500
		w.run(10 * time.Second)
		w.list[4].Draining = true
		w.feed(ListReceived{Kind: ListFull, Servers: w.list})
		w.run(5 * time.Second)
		var out []string
		for _, st := range w.published {
			for _, z := range []string{"", "a", "b", "c"} {
				out = append(out, fmt.Sprintf("%d %+v", st.Version, *st.View(z)))
			}
		}
		return out
	}
	if a, b := run(), run(); !slices.Equal(a, b) {
		t.Error("two runs differ")
	}
}

// Drops come before the choice of a hall. So where one hall takes nearly
// nothing and another all that is meant for it, each gets what it may have: the
// weights are by what is let in.
func TestDropsAndHallsAreJoined(t *testing.T) {
	w := newWorld(t, 6, 4, "a", "b")
	w.offered = 300 // of 600
	w.run(20 * time.Second)
	for _, p := range w.m.present { // now many more come, of which the other hall has seen none yet
		p.in1, p.in2 = 5*p.in1, 5*p.in2
	}
	w.offered = 1500
	for i := range w.list {
		if w.list[i].Zone == "b" { // all of them come back cold, and others stand in for a part
			w.list[i].ID += "'"
			w.list[i].StartedAt = w.now
		}
	}
	w.m.keep["b"] = 0.6
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	flow := map[ServerID]float64{}
	for _, p := range w.proxies {
		v := w.state.View(p.zone)
		in := w.offered * p.share
		pass := in*w.prio*(1-float64(v.DropPriorityPPM)/1e6) + in*(1-w.prio)*(1-float64(v.DropOtherPPM)/1e6)
		for id, part := range parts(v) {
			flow[id] += pass * part
		}
	}
	for _, s := range w.list {
		if f := flow[s.ID]; s.Zone == "b" && (f > 1.1*32 || f < 10) {
			t.Errorf("%s may have 32 a second and is sent %.0f", s.ID, f)
		}
	}
}

// A service that has learnt nothing, as all its proxies have just come from
// another one, does not take cold servers for servers without a bound.
func TestColdServersAreBoundedBeforeAnythingIsLearnt(t *testing.T) {
	w := newWorld(t, 4, 4, "a")
	w.offered = 300
	w.run(2 * time.Second)
	for i := range w.list {
		w.list[i].ID += "'"
		w.list[i].StartedAt = w.now
		w.rate[w.list[i].ID] = 100
	}
	for _, s := range w.m.servers {
		s.peak, s.answers = 0, 0
	}
	w.m.unit = 0
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	if v := w.state.View("a"); v.DropOtherPPM < 900_000 {
		t.Errorf("with four cold servers that nothing is known of it drops %d of a million", v.DropOtherPPM)
	}
	w.run(12 * time.Second)
	for _, s := range w.list {
		if w.flow[s.ID] < 10 {
			t.Errorf("%s is warm and gets %.1f a second", s.ID, w.flow[s.ID])
		}
	}
}

// ProxyCount that come or report later than others are no crowd: while a server is
// normal nothing is refused, however much more comes from one second to the next.
func TestMoreThanBeforeIsNoCrowd(t *testing.T) {
	w := newWorld(t, 6, 8, "a")
	w.offered = 60 // a tenth of what they can do
	w.run(10 * time.Second)
	w.offered = 400 // two thirds, at once
	for range 20 {
		w.run(time.Second)
		if v := w.state.View("a"); v.DropOtherPPM > 0 || v.DropPriorityPPM > 0 {
			t.Fatalf("dropped at two thirds of the capacity: %d and %d of a million", v.DropPriorityPPM, v.DropOtherPPM)
		}
	}
}

// A clock that steps forward makes all reports old, and nothing else: nobody is
// excluded and nothing refused for it, and the next reports are believed.
func TestAClockThatStepsExcludesNobody(t *testing.T) {
	w := newWorld(t, 6, 4, "a", "b")
	w.offered = 300
	w.run(20 * time.Second)
	before := len(w.lines)
	w.now += time.Hour
	for _, p := range w.proxies {
		p.due = w.now + time.Second
	}
	w.run(10 * time.Second)
	for _, s := range w.list {
		if e := w.endpoint(s.ID); e.Health != Healthy {
			t.Errorf("%s is %v", s.ID, e.Health)
		}
	}
	if v := w.state.View("a"); v.DropOtherPPM > 0 {
		t.Errorf("drops %d of a million", v.DropOtherPPM)
	}
	if len(w.lines) != before {
		t.Errorf("it says %q", w.lines[before:])
	}
}

// A hall of which all servers drain is still told, so that proxies know of the
// drains.
func TestAHallThatDrainsAsAWholeIsStillTold(t *testing.T) {
	w := newWorld(t, 4, 4, "a", "b")
	w.offered = 100
	w.run(10 * time.Second)
	for i := range w.list {
		w.list[i].Draining = w.list[i].Zone == "a"
	}
	w.feed(ListReceived{Kind: ListFull, Servers: w.list})
	for _, zone := range []string{"", "a", "b"} {
		told := 0
		for _, l := range w.state.View(zone).Localities {
			for _, e := range l.Endpoints {
				if e.Health == Draining {
					told++
				}
			}
		}
		if told != 2 {
			t.Errorf("view %q tells of %d drains of 2", zone, told)
		}
	}
}
