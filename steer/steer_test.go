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

// testFleet simulates servers and proxies. Proxies send by the last published state, servers
// answer from a queue at their capacity, and each proxy reports once per second at its own offset.
type testFleet struct {
	t                *testing.T
	module           *Module
	now              Time
	state            *State
	servers          []Server
	capacity         map[ServerID]float64 // requests/s it can answer
	queue            map[ServerID]float64
	proxies          []*testProxy
	offered          float64 // requests/s of all proxies
	priorityFraction float64 // fraction of priority requests
	probes           map[ServerID]bool
	silent           map[ServerID]bool
	failing          map[ServerID]bool
	probesPass       bool // servers pass probes even if silent or failing
	rng              *rand.Rand

	states      []*State
	urgentCount int
	logLines    []string
	lastRate    map[ServerID]float64 // requests/s in the last step
	peakRate    map[ServerID]float64 // highest requests/s in a step
	dropped     float64
	sent        float64
}

type testProxy struct {
	id               ProxyID
	zone             string
	loadFraction     float64 // fraction of the offered load
	loads            map[ServerID]*Load
	priorityArrivals float64
	otherArrivals    float64
	nextReport       Time
	remainder        map[ServerID]float64
	silent           bool
}

const (
	step        = 20 * time.Millisecond
	requestTime = 0.03 // s; without a queue
)

func newTestFleet(t *testing.T, servers, proxies int, zones ...string) *testFleet {
	t.Helper()
	module, err := New(Settings{Classes: []balance.Class{{Name: "clip", TargetLatency: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	fleet := &testFleet{t: t, module: module, now: time.Hour,
		capacity: map[ServerID]float64{}, queue: map[ServerID]float64{},
		probes: map[ServerID]bool{}, silent: map[ServerID]bool{}, failing: map[ServerID]bool{},
		lastRate: map[ServerID]float64{}, peakRate: map[ServerID]float64{}, rng: rand.New(rand.NewPCG(1, 2)), priorityFraction: 0.3}
	for i := range servers {
		id := ServerID(fmt.Sprintf("s%02d", i))
		fleet.servers = append(fleet.servers, Server{ID: id, Addr: fmt.Sprintf("10.0.0.%d:80", i+1),
			Zone: zones[i%len(zones)], Cell: i / 3, RelativeSize: 1})
		fleet.capacity[id] = 100
	}
	for i := range proxies {
		proxy := &testProxy{id: ProxyID(fmt.Sprintf("p%d", i)), zone: zones[i%len(zones)],
			loadFraction: 1 / float64(proxies), loads: map[ServerID]*Load{}, remainder: map[ServerID]float64{},
			nextReport: fleet.now + time.Second + time.Duration(i)*37*time.Millisecond}
		fleet.proxies = append(fleet.proxies, proxy)
		fleet.feed(ProxyJoined{proxy.id, proxy.zone})
	}
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	return fleet
}

func (f *testFleet) feed(e Event) {
	for _, a := range f.module.Handle(f.now, e) {
		switch a := a.(type) {
		case Publish:
			if f.state != nil && a.State.Version <= f.state.Version {
				f.t.Errorf("version %d published after %d", a.State.Version, f.state.Version)
			}
			f.state = a.State
			f.states = append(f.states, a.State)
			if a.Urgent {
				f.urgentCount++
			}
		case Probe:
			f.probes[a.Server] = true
		case Log:
			f.logLines = append(f.logLines, a.Line)
		}
	}
}

// serverFractions returns the fraction of a view's requests that each server gets under the xDS
// rules: the first priority with a healthy server, then locality weights, then endpoint weights.
func serverFractions(view *View) map[ServerID]float64 {
	for priority := range uint32(4) {
		if out := priorityFractions(view, priority); len(out) > 0 {
			return out
		}
	}
	return nil
}

// priorityFractions is like serverFractions for a single priority.
func priorityFractions(view *View, priority uint32) map[ServerID]float64 {
	out := map[ServerID]float64{}
	for range 1 {
		total := 0.0
		for _, locality := range view.Localities {
			sum := 0.0
			for _, e := range locality.Endpoints {
				if e.Health == Healthy {
					sum += float64(e.Weight)
				}
			}
			if locality.Priority != priority || sum == 0 {
				continue
			}
			total += float64(locality.Weight)
			for _, e := range locality.Endpoints {
				if e.Health == Healthy {
					out[e.ID] = float64(locality.Weight) * float64(e.Weight) / sum
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

// run advances the simulation.
func (f *testFleet) run(length time.Duration) {
	seconds := step.Seconds()
	for end := f.now + length; f.now < end; {
		f.now += step
		arrived := map[ServerID]float64{}
		for _, proxy := range f.proxies {
			view := f.state.View(proxy.zone)
			arrivals := f.offered * proxy.loadFraction * seconds
			proxy.priorityArrivals, proxy.otherArrivals =
				proxy.priorityArrivals+arrivals*f.priorityFraction, proxy.otherArrivals+arrivals*(1-f.priorityFraction)
			admitted := arrivals*f.priorityFraction*(1-float64(view.DropPriorityPPM)/1e6) +
				arrivals*(1-f.priorityFraction)*(1-float64(view.DropOtherPPM)/1e6)
			f.dropped, f.sent = f.dropped+arrivals-admitted, f.sent+admitted
			for id, fraction := range serverFractions(view) {
				arrived[id] += admitted * fraction
				proxy.load(id).Issued += proxy.wholeRequests(id, admitted*fraction)
			}
		}
		for _, s := range f.servers {
			requests := arrived[s.ID]
			f.peakRate[s.ID], f.lastRate[s.ID] = math.Max(f.peakRate[s.ID], requests/seconds), requests/seconds
			queue := f.queue[s.ID] + requests
			answered := 0.0
			if !f.silent[s.ID] {
				answered = math.Min(queue, f.capacity[s.ID]*seconds)
			}
			if requests > 0 && queue > 200 { // clients time out
				queue = 200
			}
			f.queue[s.ID] = queue - answered
			// Each proxy gets answers in proportion to its fraction of the load.
			for _, proxy := range f.proxies {
				load := proxy.load(s.ID)
				if f.failing[s.ID] {
					load.Errors += proxy.wholeRequests(s.ID+"!", answered*proxy.loadFraction)
				} else {
					load.OK += proxy.wholeRequests(s.ID+"+", answered*proxy.loadFraction)
				}
			}
		}
		for _, proxy := range f.proxies {
			if f.now < proxy.nextReport {
				continue
			}
			proxy.nextReport += time.Second
			report := LoadReported{Proxy: proxy.id, Interval: time.Second,
				PriorityArrivals: uint64(proxy.priorityArrivals + 0.5), OtherArrivals: uint64(proxy.otherArrivals + 0.5)}
			for _, s := range f.servers {
				load := proxy.load(s.ID)
				load.Server = s.ID
				load.InFlight = uint64((f.queue[s.ID]+f.lastRate[s.ID]*requestTime)*proxy.loadFraction + f.rng.Float64())
				if load.Issued+load.OK+load.Errors+load.InFlight > 0 {
					report.Loads = append(report.Loads, *load)
				}
				*load = Load{}
			}
			proxy.priorityArrivals, proxy.otherArrivals = 0, 0
			if !proxy.silent {
				f.feed(report)
			}
		}
		if f.now%TickInterval == 0 {
			f.feed(Tick{})
		}
		for id := range f.probes {
			delete(f.probes, id)
			f.feed(ProbeResult{Server: id, OK: f.probesPass || !f.silent[id] && !f.failing[id]})
		}
	}
}

func (p *testProxy) load(id ServerID) *Load {
	if p.loads[id] == nil {
		p.loads[id] = &Load{}
	}
	return p.loads[id]
}

// wholeRequests converts fractional requests to whole ones, carrying the remainder over.
func (p *testProxy) wholeRequests(id ServerID, amount float64) uint64 {
	p.remainder[id] += amount
	whole := math.Floor(p.remainder[id])
	p.remainder[id] -= whole
	return uint64(whole)
}

func (f *testFleet) endpoint(id ServerID) Endpoint {
	f.t.Helper()
	for _, l := range f.state.View("").Localities {
		for _, e := range l.Endpoints {
			if e.ID == id {
				return e
			}
		}
	}
	f.t.Fatalf("%s is not in the published state", id)
	return Endpoint{}
}

func TestDrainIsPublishedAtOnceAndRelistedServerReturns(t *testing.T) {
	fleet := newTestFleet(t, 6, 4, "a")
	fleet.offered = 200
	fleet.run(5 * time.Second)
	urgentBefore := fleet.urgentCount
	fleet.servers[2].Draining = true
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	if fleet.urgentCount != urgentBefore+1 || fleet.endpoint("s02").Health != Draining {
		t.Errorf("%d urgent states, health %v", fleet.urgentCount-urgentBefore, fleet.endpoint("s02").Health)
	}
	fleet.servers[2].Draining = false
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	fleet.run(2 * time.Second)
	if fleet.endpoint("s02").Health != Healthy {
		t.Errorf("after the end of the drain: %v", fleet.endpoint("s02").Health)
	}
	fleet.feed(ListReceived{Kind: ListFull, Servers: append(slices.Clone(fleet.servers[:2]), fleet.servers[3:]...)})
	for _, l := range fleet.state.View("").Localities {
		for _, e := range l.Endpoints {
			if e.ID == "s02" {
				t.Error("a removed server is still published")
			}
		}
	}
}

func TestCachedListNeitherConfirmsNorUndoesDrain(t *testing.T) {
	m, err := New(Settings{Classes: []balance.Class{{Name: "clip", TargetLatency: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	list := []Server{{ID: "a", Addr: "h:1", Zone: "z", RelativeSize: 1},
		{ID: "b", Addr: "h:2", Zone: "z", RelativeSize: 1}}
	lastState := func(actions []Action) *State {
		var state *State
		for _, a := range actions {
			if p, ok := a.(Publish); ok {
				state = p.State
			}
		}
		return state
	}
	if state := lastState(m.Handle(time.Hour, ListReceived{Kind: ListCached, Servers: list})); state == nil ||
		state.Confirmed {
		t.Fatalf("cached list: state %+v", state)
	}
	drained := slices.Clone(list)
	drained[0].Draining = true
	if state := lastState(m.Handle(time.Hour, ListReceived{Kind: ListFull, Servers: drained})); state == nil ||
		!state.Confirmed {
		t.Fatalf("full list: state %+v", state)
	}
	m.Handle(time.Hour+time.Second, ListReceived{Kind: ListCached, Servers: list})
	m.Handle(time.Hour+2*time.Second, ListReceived{Kind: ListFailed})
	if !m.servers["a"].Draining {
		t.Error("a cached list undid a drain")
	}
}

func TestFasterServersGetHigherWeight(t *testing.T) {
	fleet := newTestFleet(t, 4, 3, "a")
	fleet.capacity["s00"], fleet.capacity["s01"] = 50, 50
	fleet.offered = 220 // capacity 300
	fleet.run(60 * time.Second)
	slow, fast := float64(fleet.endpoint("s00").Weight), float64(fleet.endpoint("s03").Weight)
	if ratio := fast / slow; ratio < 1.2 {
		t.Errorf("weights %v and %v", slow, fast)
	}
	if fleet.queue["s00"] > 30 {
		t.Errorf("%v requests queued at the slow server", fleet.queue["s00"])
	}
}

// Guards against oscillation: a weight changes at most once per second and by a limited factor.
func TestWeightChangesAreLimitedInRateAndSize(t *testing.T) {
	fleet := newTestFleet(t, 6, 5, "a")
	fleet.offered = 400
	fleet.run(20 * time.Second)
	first := len(fleet.states)
	start := fleet.now
	fleet.capacity["s00"] = 30
	fleet.run(30 * time.Second)
	published := len(fleet.states) - first
	if limit := int((fleet.now-start)/time.Second) + 1; published > limit {
		t.Errorf("%d states in %v", published, fleet.now-start)
	}
	if published == 0 {
		t.Fatal("nothing changed")
	}
	for i := first; i < len(fleet.states); i++ {
		before, after := serverFractions(fleet.states[i-1].View("a")), serverFractions(fleet.states[i].View("a"))
		for id := range after {
			// A fraction also moves with the other weights, and a blocking server's by two steps.
			if ratio := after[id] / before[id]; ratio > 1.25*1.25*1.02 || ratio < 1/(1.25*1.25*1.25*1.02) {
				t.Errorf("state %d: the fraction of %s went from %.3f to %.3f", i, id, before[id], after[id])
			}
		}
	}
}

// All proxies together stay below OverloadFactor times a cold server's current capacity, even if
// half of them report nothing.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for _, silent := range []bool{false, true} {
		fleet := newTestFleet(t, 6, 8, "a")
		fleet.offered = 500
		fleet.run(20 * time.Second)
		if silent {
			for _, p := range fleet.proxies[:4] {
				p.silent = true
			}
			fleet.run(4 * time.Second)
		}
		fleet.servers = append(fleet.servers, Server{ID: "new", Addr: "10.0.0.99:80", Zone: "a", RelativeSize: 1,
			StartedAt: fleet.now})
		fleet.capacity["new"] = 100
		began := fleet.now
		fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
		clear(fleet.peakRate)
		worst := 0.0
		for fleet.now < began+10*time.Second {
			warmth := math.Min(1, 0.32+0.68*(fleet.now-began).Seconds()/8.3)
			fleet.capacity["new"] = 100 * warmth
			fleet.run(step)
			worst = math.Max(worst, fleet.peakRate["new"]/(100*warmth))
			clear(fleet.peakRate)
		}
		if worst > 2.5 || worst == 0 {
			t.Errorf("silent proxies %v: %.2f times the cold server's capacity", silent, worst)
		}
		if fraction := serverFractions(fleet.state.View("a"))["new"]; fraction < 0.05 {
			t.Errorf("silent proxies %v: warm server gets a fraction of %.3f", silent, fraction)
		}
	}
}

// If only cold servers are left, the excess is dropped, other requests first.
func TestZoneOfColdServersShedsLoad(t *testing.T) {
	fleet := newTestFleet(t, 4, 4, "a")
	fleet.offered = 300
	fleet.run(20 * time.Second)
	for i := range fleet.servers {
		fleet.servers[i].ID += "'"
		fleet.servers[i].StartedAt = fleet.now
		fleet.capacity[fleet.servers[i].ID] = 32
	}
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	view := fleet.state.View("a")
	if view.DropOtherPPM == 0 || view.DropPriorityPPM > view.DropOtherPPM {
		t.Errorf("drops %d and %d ppm", view.DropPriorityPPM, view.DropOtherPPM)
	}
	clear(fleet.peakRate)
	fleet.run(200 * time.Millisecond)
	for _, s := range fleet.servers {
		if fleet.peakRate[s.ID] > 2.5*32 {
			t.Errorf("%s got %.0f requests/s", s.ID, fleet.peakRate[s.ID])
		}
	}
}

func TestOverloadShedsOtherRequestsFirstAndRecovers(t *testing.T) {
	fleet := newTestFleet(t, 4, 4, "a")
	fleet.offered = 300
	fleet.run(15 * time.Second)
	if view := fleet.state.View("a"); view.DropOtherPPM != 0 {
		t.Fatalf("drops %d ppm at three quarters of the capacity", view.DropOtherPPM)
	}
	fleet.offered = 800
	fleet.run(40 * time.Second)
	view := fleet.state.View("a")
	if view.DropOtherPPM < 500_000 || view.DropPriorityPPM >= view.DropOtherPPM {
		t.Errorf("at twice the capacity: drops %d and %d ppm", view.DropPriorityPPM, view.DropOtherPPM)
	}
	fleet.offered = 200
	fleet.run(40 * time.Second)
	if view := fleet.state.View("a"); view.DropOtherPPM != 0 || view.DropPriorityPPM != 0 {
		t.Errorf("after the overload: drops %d and %d ppm", view.DropPriorityPPM, view.DropOtherPPM)
	}
}

func TestSilentAndFailingServersAreExcludedAndReturn(t *testing.T) {
	for _, mode := range []string{"silent", "failing"} {
		fleet := newTestFleet(t, 6, 4, "a")
		fleet.offered = 300
		fleet.run(10 * time.Second)
		faulty := fleet.silent
		if mode == "failing" {
			faulty = fleet.failing
		}
		faulty["s01"] = true
		fleet.run(5 * time.Second)
		if fleet.endpoint("s01").Health != Excluded {
			t.Errorf("%s: %v after 5 s", mode, fleet.endpoint("s01").Health)
		}
		faulty["s01"] = false
		fleet.queue["s01"] = 0
		fleet.run(10 * time.Second)
		if fleet.endpoint("s01").Health != Healthy {
			t.Errorf("%s: %v after recovery", mode, fleet.endpoint("s01").Health)
		}
	}
}

// If all servers fail at once but pass their probes, most of them stay in use.
func TestExcludedFractionIsLimited(t *testing.T) {
	fleet := newTestFleet(t, 6, 4, "a")
	fleet.probesPass = true
	fleet.offered = 300
	fleet.run(10 * time.Second)
	for _, s := range fleet.servers {
		fleet.failing[s.ID] = true
	}
	fleet.run(10 * time.Second)
	excluded := 0
	for _, s := range fleet.servers {
		if fleet.endpoint(s.ID).Health == Excluded {
			excluded++
		}
	}
	if excluded > 2 {
		t.Errorf("%d of 6 are excluded", excluded)
	}
}

// A lost zone gets no requests once its servers fail their probes as well.
func TestLostZoneGetsNoRequests(t *testing.T) {
	fleet := newTestFleet(t, 9, 6, "a", "b", "c")
	fleet.offered = 300
	fleet.run(15 * time.Second)
	for _, s := range fleet.servers {
		fleet.silent[s.ID] = s.Zone == "a"
	}
	fleet.run(4 * time.Second)
	for id, fraction := range serverFractions(fleet.state.View("a")) {
		if fleet.silent[id] && fraction > 0 {
			t.Errorf("%s is lost and gets a fraction of %.2f", id, fraction)
		}
	}
}

func TestZonesTakeOverForDrainingZone(t *testing.T) {
	fleet := newTestFleet(t, 6, 6, "a", "b", "c")
	fleet.offered = 240
	fleet.run(15 * time.Second)
	view := fleet.state.View("a")
	if view.Localities[0].Zone != "a" || view.Localities[0].Priority != 0 || view.Localities[1].Priority != 1 {
		t.Fatalf("all zones healthy: %+v", view.Localities)
	}
	for i := range fleet.servers {
		if fleet.servers[i].Zone == "a" {
			fleet.servers[i].Draining = true
		}
	}
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	fractions := serverFractions(fleet.state.View("a"))
	sum := 0.0
	for id, fraction := range fractions {
		if id == "s00" || id == "s03" {
			t.Errorf("%s drains and gets a fraction of %.2f", id, fraction)
		}
		sum += fraction
	}
	if math.Abs(sum-1) > 0.01 {
		t.Errorf("fractions sum to %.2f", sum)
	}
	for _, l := range fleet.state.View("a").Localities {
		if l.Zone != "a" && l.Priority != 0 {
			t.Errorf("%s takes over with priority %d", l.Zone, l.Priority)
		}
	}
}

// An overloaded zone keeps what it can serve and spills the rest. When its load is back to normal
// it keeps all requests again, without oscillation.
func TestOverloadedZoneSpillsOver(t *testing.T) {
	fleet := newTestFleet(t, 9, 6, "a", "b", "c")
	fleet.offered = 600 // 200 per zone with capacity 300
	fleet.run(20 * time.Second)
	for _, p := range fleet.proxies {
		p.loadFraction = map[string]float64{"a": 0.35, "b": 0.075, "c": 0.075}[p.zone] // 420, 90 and 90 requests/s
	}
	localFraction := func() float64 {
		sum := 0.0
		for id, fraction := range serverFractions(fleet.state.View("a")) {
			for _, s := range fleet.servers {
				if s.ID == id && s.Zone == "a" {
					sum += fraction
				}
			}
		}
		return sum
	}
	fleet.run(15 * time.Second)
	for range 30 {
		fleet.run(time.Second)
		if fraction := localFraction(); fraction > 0.9 || fraction < 0.3 {
			t.Errorf("at 1.4 times its capacity the zone keeps %.2f", fraction)
		}
	}
	for _, s := range fleet.servers {
		if fleet.queue[s.ID] > 150 {
			t.Errorf("%.0f requests queued at %s", fleet.queue[s.ID], s.ID)
		}
	}
	for _, p := range fleet.proxies {
		p.loadFraction = 1.0 / 6
	}
	fleet.offered = 300
	fleet.run(90 * time.Second)
	if fraction := localFraction(); fraction < 0.99 {
		t.Errorf("at a third of its capacity the zone keeps %.2f", fraction)
	}
	swings, spilling := 0, fleet.spillsOver("a")
	for range 60 {
		fleet.run(time.Second)
		if now := fleet.spillsOver("a"); now != spilling {
			swings, spilling = swings+1, now
		}
	}
	if swings > 1 {
		t.Errorf("%d changes of spillover in a minute", swings)
	}
}

// spillsOver reports whether other zones take requests of a zone.
func (f *testFleet) spillsOver(zone string) bool {
	_, spilling := f.module.localFraction[zone]
	return spilling
}

// The request limit of a proxy is its share of what servers can hold or what it sends in a few
// seconds, rounded up to a power of two.
func TestRequestLimitFollowsServerCapacity(t *testing.T) {
	fleet := newTestFleet(t, 6, 4, "a")
	if n := fleet.state.View("a").MaxRequests; n != initialRequestLimit {
		t.Errorf("initial limit: %d", n)
	}
	fleet.offered = 400
	fleet.run(30 * time.Second)
	if n := fleet.state.View("a").MaxRequests; n != 512 { // 100 requests/s each for 3 s
		t.Errorf("limit of each of 4 proxies: %d", n)
	}
	fleet.offered = 40
	fleet.run(30 * time.Second)
	if n := fleet.state.View("a").MaxRequests; n >= 512 || n < minRequestLimit || n&(n-1) != 0 {
		t.Errorf("limit at a tenth of the load: %d", n)
	}
}

func TestBoundsAreEnforcedAndDiscardsCounted(t *testing.T) {
	m, err := New(Settings{Classes: []balance.Class{{TargetLatency: time.Second}}, MaxServers: 2, MaxProxies: 1})
	if err != nil {
		t.Fatal(err)
	}
	m.Handle(time.Hour, ListReceived{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "a"}}})
	m.Handle(time.Hour, ProxyJoined{Proxy: "p"})
	m.Handle(time.Hour, ProxyJoined{Proxy: "q"})
	m.Handle(time.Hour, LoadReported{Proxy: "q", Interval: time.Second})
	m.Handle(time.Hour, LoadReported{Proxy: "p", Interval: time.Second, Loads: []Load{{Server: "x", Issued: 1}}})
	if m.ServerCount() != 2 || m.ProxyCount() != 1 || m.Discarded.Servers != 1 ||
		m.Discarded.Proxies != 1 || m.Discarded.Loads != 2 {
		t.Errorf("%d servers, %d proxies, discarded %+v", m.ServerCount(), m.ProxyCount(), m.Discarded)
	}
	for _, settings := range []Settings{{}, {Classes: []balance.Class{{}}, WarmupStartFraction: 2},
		{Classes: []balance.Class{{}}, MaxWeightFactor: 0.5},
		{Classes: []balance.Class{{}}, OverloadFactor: 0.5}, {Classes: []balance.Class{{}}, WarmupTime: -1}} {
		if _, err := New(settings); err == nil {
			t.Errorf("settings accepted: %+v", settings)
		}
	}
}

// A proxy's load is forgotten when it leaves or stops reporting.
func TestReportsExpireWhenProxyIsSilentOrLeaves(t *testing.T) {
	m, _ := New(Settings{Classes: []balance.Class{{TargetLatency: time.Second}}})
	m.Handle(time.Hour, ListReceived{Kind: ListFull, Servers: []Server{{ID: "a"}}})
	m.Handle(time.Hour, ProxyJoined{Proxy: "p"})
	m.Handle(time.Hour, ProxyJoined{Proxy: "q"})
	for _, p := range []ProxyID{"p", "q"} {
		m.Handle(time.Hour, LoadReported{Proxy: p, Interval: time.Second, Loads: []Load{{Server: "a", InFlight: 5}}})
	}
	m.Handle(time.Hour, ProxyLeft{Proxy: "q"})
	if n := m.servers["a"].inFlight; n != 5 {
		t.Errorf("in flight after one proxy left: %v", n)
	}
	m.Handle(time.Hour+reportTTL+time.Second, Tick{})
	if n := m.servers["a"].inFlight; n != 0 {
		t.Errorf("in flight without reports: %v", n)
	}
}

// The same events lead to the same states, regardless of map order.
func TestDecisionsAreDeterministic(t *testing.T) {
	run := func() []string {
		fleet := newTestFleet(t, 9, 6, "a", "b", "c")
		fleet.offered = 500
		fleet.run(10 * time.Second)
		fleet.servers[4].Draining = true
		fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
		fleet.run(5 * time.Second)
		var out []string
		for _, state := range fleet.states {
			for _, zone := range []string{"", "a", "b", "c"} {
				out = append(out, fmt.Sprintf("%d %+v", state.Version, *state.View(zone)))
			}
		}
		return out
	}
	if a, b := run(), run(); !slices.Equal(a, b) {
		t.Error("two runs differ")
	}
}

// Proxies drop before they choose a zone. Zone weights must account for it where one zone drops
// nearly everything and another nothing.
func TestZoneWeightsAccountForDrops(t *testing.T) {
	fleet := newTestFleet(t, 6, 4, "a", "b")
	fleet.offered = 300 // capacity 600
	fleet.run(20 * time.Second)
	for _, p := range fleet.module.sortedProxies { // arrivals rise fivefold before the next report
		p.priorityRate, p.otherRate = 5*p.priorityRate, 5*p.otherRate
	}
	fleet.offered = 1500
	for i := range fleet.servers {
		if fleet.servers[i].Zone == "b" { // all servers of the zone restart, and others take part of its requests
			fleet.servers[i].ID += "'"
			fleet.servers[i].StartedAt = fleet.now
		}
	}
	fleet.module.localFraction["b"] = 0.6
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	sent := map[ServerID]float64{}
	for _, p := range fleet.proxies {
		view := fleet.state.View(p.zone)
		arrivals := fleet.offered * p.loadFraction
		admitted := arrivals*fleet.priorityFraction*(1-float64(view.DropPriorityPPM)/1e6) +
			arrivals*(1-fleet.priorityFraction)*(1-float64(view.DropOtherPPM)/1e6)
		for id, fraction := range serverFractions(view) {
			sent[id] += admitted * fraction
		}
	}
	for _, s := range fleet.servers {
		if rate := sent[s.ID]; s.Zone == "b" && (rate > 1.1*32 || rate < 10) {
			t.Errorf("%s has a capacity of 32 requests/s and is sent %.0f", s.ID, rate)
		}
	}
}

// Without any learned rate, as after all proxies moved from another control service, cold servers
// must not count as unlimited.
func TestColdServersAreLimitedBeforeRatesAreKnown(t *testing.T) {
	fleet := newTestFleet(t, 4, 4, "a")
	fleet.offered = 300
	fleet.run(2 * time.Second)
	for i := range fleet.servers {
		fleet.servers[i].ID += "'"
		fleet.servers[i].StartedAt = fleet.now
		fleet.capacity[fleet.servers[i].ID] = 100
	}
	for _, s := range fleet.module.servers {
		s.peakRate, s.answeredCount = 0, 0
	}
	fleet.module.unitPeakRate = 0
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	if v := fleet.state.View("a"); v.DropOtherPPM < 900_000 {
		t.Errorf("with four cold servers of unknown rate: drops %d ppm", v.DropOtherPPM)
	}
	fleet.run(12 * time.Second)
	for _, s := range fleet.servers {
		if fleet.lastRate[s.ID] < 10 {
			t.Errorf("%s is warm and gets %.1f requests/s", s.ID, fleet.lastRate[s.ID])
		}
	}
}

// While a server is normal, a sudden increase of arrivals is not shed, for example when proxies
// join or report late.
func TestLoadIncreaseIsNotShed(t *testing.T) {
	fleet := newTestFleet(t, 6, 8, "a")
	fleet.offered = 60 // a tenth of the capacity
	fleet.run(10 * time.Second)
	fleet.offered = 400 // two thirds of it
	for range 20 {
		fleet.run(time.Second)
		if v := fleet.state.View("a"); v.DropOtherPPM > 0 || v.DropPriorityPPM > 0 {
			t.Fatalf("drops %d and %d ppm at two thirds of the capacity", v.DropPriorityPPM, v.DropOtherPPM)
		}
	}
}

// A forward clock jump expires all reports but excludes no server and sheds nothing; later reports
// count again.
func TestClockJumpExcludesNoServer(t *testing.T) {
	fleet := newTestFleet(t, 6, 4, "a", "b")
	fleet.offered = 300
	fleet.run(20 * time.Second)
	linesBefore := len(fleet.logLines)
	fleet.now += time.Hour
	for _, p := range fleet.proxies {
		p.nextReport = fleet.now + time.Second
	}
	fleet.run(10 * time.Second)
	for _, s := range fleet.servers {
		if e := fleet.endpoint(s.ID); e.Health != Healthy {
			t.Errorf("%s is %v", s.ID, e.Health)
		}
	}
	if v := fleet.state.View("a"); v.DropOtherPPM > 0 {
		t.Errorf("drops %d ppm", v.DropOtherPPM)
	}
	if len(fleet.logLines) != linesBefore {
		t.Errorf("unexpected log lines: %q", fleet.logLines[linesBefore:])
	}
}

// A zone whose servers all drain stays published, so that proxies learn of the drains.
func TestFullyDrainingZoneIsStillPublished(t *testing.T) {
	fleet := newTestFleet(t, 4, 4, "a", "b")
	fleet.offered = 100
	fleet.run(10 * time.Second)
	for i := range fleet.servers {
		fleet.servers[i].Draining = fleet.servers[i].Zone == "a"
	}
	fleet.feed(ListReceived{Kind: ListFull, Servers: fleet.servers})
	for _, zone := range []string{"", "a", "b"} {
		draining := 0
		for _, l := range fleet.state.View(zone).Localities {
			for _, e := range l.Endpoints {
				if e.Health == Draining {
					draining++
				}
			}
		}
		if draining != 2 {
			t.Errorf("view %q has %d of 2 draining servers", zone, draining)
		}
	}
}
