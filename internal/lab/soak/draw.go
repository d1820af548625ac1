// Package soak runs fleets of node processes under random faults that overlap in time, and checks that
// the rules hold and that no process reports a broken invariant. A seed determines the deployment, the
// load and the timeline.
package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ivylock/internal/lab/crowd"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/nodeconf"
	"ivylock/internal/lab/real"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/sysfault"
)

// Bounds limit what a soak generates.
type Bounds struct {
	MinNodes, MaxNodes int           // number of nodes, 1 to 48
	Length             time.Duration // of the load
	FaultsPerSecond    float64       // mean rate at which faults begin
	RatePerNode        float64       // orders per second and node
	ClockSteps         bool          // include steps of wall clocks; needs nodes built with -tags faults
	SystemCalls        bool          // include failing system calls; needs a main that supports sysfault.RunLauncher
}

// DefaultBounds are the bounds of a soak on a machine of eight cores.
var DefaultBounds = Bounds{MinNodes: 10, MaxNodes: 40, Length: 20 * time.Second, FaultsPerSecond: 2, RatePerNode: 12, SystemCalls: true}

// Limits of the rules that are the same for all seeds.
const (
	answerSlack    = 500 * time.Millisecond
	abandonSlack   = 100 * time.Millisecond
	notifyDeadline = 6 * time.Second
)

// Crowds of a soak: every second run has one, with a low memory limit.
const (
	crowdFraction  = 0.5
	maxCrowdNodes  = 3
	minCrowd       = 300 // clients of a node
	maxCrowd       = 560
	crowdMemoryMB  = 64
	soakMemoryMB   = 192
	soakSockets    = 1024
	signalFraction = 0.5 // of the runs: signals to processes that are told to end are repeated
)

// generateOptions returns the limits, the crowd and the signals of a seed. They are drawn on their own, so
// that the scenario of a seed does not depend on them.
func generateOptions(seed int64) real.Options {
	rng := rand.New(rand.NewPCG(uint64(seed), 0x63726f77))
	o := real.Options{Limits: nodeconf.Limits{Cores: 1, MemoryMB: soakMemoryMB, Sockets: soakSockets}}
	o.RepeatSignals = rng.Float64() < signalFraction
	if rng.Float64() < crowdFraction {
		o.Limits.MemoryMB = crowdMemoryMB
		shapes := []crowd.Shape{crowd.UnfinishedUploads, crowd.ManyFields}
		if rng.IntN(2) == 0 { // all clients alike
			shapes = shapes[rng.IntN(len(shapes)):][:1]
		}
		o.Crowd = &real.Crowd{Nodes: 1 + rng.IntN(maxCrowdNodes), Clients: minCrowd + rng.IntN(maxCrowd-minCrowd+1), Shapes: shapes}
	}
	return o
}

// generator generates the scenario of one seed.
type generator struct {
	*rand.Rand
	scenario *scenario.Scenario
	bounds   Bounds
}

func (g *generator) randomDuration(lo, hi time.Duration) time.Duration {
	return (lo + time.Duration(g.Int64N(int64(hi-lo)))).Round(10 * time.Millisecond)
}

func (g *generator) randomSpan(lo, hi time.Duration) scenario.Span {
	return scenario.Span{Duration: g.randomDuration(lo, hi)}
}

// Generate returns the scenario and the deployment of a seed.
func Generate(seed int64, b Bounds) (*scenario.Scenario, *load.Deployment) {
	g := &generator{Rand: rand.New(rand.NewPCG(uint64(seed), 0x736f616b)), bounds: b}
	g.scenario = &scenario.Scenario{Name: fmt.Sprintf("soak-%d", seed), Seed: seed, Length: scenario.Span{Duration: b.Length},
		Client: scenario.Client{Retries: g.IntN(3), TryTimeoutFraction: 0.5 + 0.3*g.Float64(), RetryAfterFraction: g.Float64(),
			AbandonFraction: 0.3 * g.Float64(), SlowWriteFraction: 0.1 * g.Float64(), LateConnections: 3 + g.IntN(6)},
		Discovery: scenario.Discovery{NotificationDelay: g.randomSpan(50*time.Millisecond, time.Second)},
		Net:       scenario.Net{PeerLoss: 0.1 * g.Float64()}}
	nodes := b.MinNodes + g.IntN(b.MaxNodes-b.MinNodes+1)
	g.addZones(nodes)
	deployment, work := g.newDeployment()
	capacity := 0.0
	for _, x := range g.scenario.Servers() {
		capacity += 6 * map[string]float64{"fast-6": 1.3, "std-6": 0.97, "slow-6": 0.7}[x.Kind]
	}
	g.scenario.Load.Rate = min(float64(nodes)*b.RatePerNode, 0.6*capacity/work)
	for range int(b.Length.Seconds() * b.FaultsPerSecond) {
		f := g.randomFault()
		g.add(f)
		switch {
		case f.Kind == scenario.FaultRestart && g.IntN(2) == 0:
			g.add(g.hangServers(f))
		case f.Kind == scenario.FaultDrain && g.IntN(3) > 0:
			for _, fault := range g.delayConnections(f) {
				g.add(fault)
			}
		}
	}
	for range 1 + int(b.Length/(4*time.Second)) { // last, so that the draws of the other kinds stay the same
		g.add(scenario.Fault{Kind: scenario.FaultNoDescriptors, At: g.randomSpan(200*time.Millisecond, b.Length), For: g.randomSpan(20*time.Millisecond, 150*time.Millisecond),
			Targets: randomNames(g, g.scenario.Nodes(), func(x scenario.Node) string { return x.Name }, len(g.scenario.Nodes()))})
	}
	if b.ClockSteps {
		g.addClockSteps()
	}
	g.addLateBodies()
	if b.SystemCalls {
		g.addCallFaults()
	}
	if err := scenario.Check(g.scenario); err != nil {
		panic(fmt.Sprintf("soak: seed %d generates an invalid scenario: %v", seed, err))
	}
	return g.scenario, deployment
}

// addLateBodies adds servers that write the bodies of some answers long after their heads.
func (g *generator) addLateBodies() {
	rng := rand.New(rand.NewPCG(uint64(g.scenario.Seed), 0x626f6479)) // of its own, so that the draws of the other kinds stay the same
	drawn := generator{Rand: rng, scenario: g.scenario, bounds: g.bounds}
	for range 1 + int(g.bounds.Length/(4*time.Second)) {
		g.add(scenario.Fault{Kind: scenario.FaultLateBody, At: drawn.randomSpan(200*time.Millisecond, g.bounds.Length), For: drawn.randomSpan(time.Second, 4*time.Second),
			Fraction: 0.05 + 0.45*rng.Float64(), Delay: drawn.randomSpan(100*time.Millisecond, 1200*time.Millisecond),
			Targets: randomNames(&drawn, g.scenario.Servers(), func(x scenario.Server) string { return x.Name }, 3)})
	}
}

// addClockSteps adds steps of the wall clocks of some machines, by seconds or by an hour.
func (g *generator) addClockSteps() {
	for range 2 + int(g.bounds.Length/(4*time.Second)) {
		f := scenario.Fault{Kind: scenario.FaultClockStep, At: g.randomSpan(100*time.Millisecond, g.bounds.Length),
			Targets: randomNames(g, g.scenario.Nodes(), func(x scenario.Node) string { return x.Name }, len(g.scenario.Nodes()))}
		if f.Delay = g.randomSpan(time.Second, 20*time.Second); g.IntN(2) == 0 {
			f.Delay.Duration = time.Hour
		}
		f.State = []string{"", "back"}[g.IntN(2)]
		g.add(f)
	}
}

// faultyCalls are the kinds of system calls that fail. Calls on files are omitted: nodes use files only
// where the platform holds the listening socket.
var faultyCalls = []sysfault.Call{sysfault.Accept, sysfault.Socket, sysfault.Connect, sysfault.SendTo, sysfault.Receive}

// addCallFaults adds faults in which a fraction of some nodes' system calls fail.
func (g *generator) addCallFaults() {
	for range 2 + int(g.bounds.Length/(3*time.Second)) {
		call := faultyCalls[g.IntN(len(faultyCalls))]
		names := slices.Sorted(maps.Keys(sysfault.Errors[call]))
		f := scenario.Fault{Kind: scenario.FaultSystemCalls, SystemCall: string(call), Errno: names[g.IntN(len(names))], Fraction: 0.05 + 0.75*g.Float64(),
			At: g.randomSpan(200*time.Millisecond, g.bounds.Length), For: g.randomSpan(50*time.Millisecond, 3*time.Second),
			Targets: randomNames(g, g.scenario.Nodes(), func(x scenario.Node) string { return x.Name }, len(g.scenario.Nodes()))}
		g.add(f)
	}
}

// add adds a fault, unless the scenario is invalid with it.
func (g *generator) add(f scenario.Fault) {
	g.scenario.Faults = append(g.scenario.Faults, f)
	if scenario.Check(g.scenario) != nil {
		g.scenario.Faults = g.scenario.Faults[:len(g.scenario.Faults)-1]
	}
}

// hangServers returns a fault in which most servers hang around the time of a restart of nodes.
func (g *generator) hangServers(restart scenario.Fault) scenario.Fault {
	f := scenario.Fault{Kind: scenario.FaultHang, At: restart.At, For: g.randomSpan(time.Second, 5*time.Second)}
	f.At.Duration = max(0, f.At.Duration-g.randomDuration(0, 300*time.Millisecond))
	servers := g.scenario.Servers()
	for _, i := range g.Perm(len(servers))[:max(1, len(servers)-1-g.IntN(1+len(servers)/3))] {
		f.Targets = append(f.Targets, servers[i].Name)
	}
	return f
}

// delayConnections returns faults that close idle connections to servers just before they drain and
// delay the establishment of new ones.
func (g *generator) delayConnections(drain scenario.Fault) []scenario.Fault {
	late := scenario.Fault{Kind: scenario.FaultLink, State: "black-hole", Targets: drain.Targets, At: drain.At, For: g.randomSpan(500*time.Millisecond, 1200*time.Millisecond)}
	late.At.Duration = max(100*time.Millisecond, late.At.Duration-g.randomDuration(50*time.Millisecond, 500*time.Millisecond))
	idle := scenario.Fault{Kind: scenario.FaultIdleClose, Targets: drain.Targets, At: late.At}
	idle.At.Duration -= 50 * time.Millisecond
	return []scenario.Fault{idle, late}
}

// addZones adds zones with the given total number of nodes, and random servers.
func (g *generator) addZones(nodes int) {
	zones := 1 + g.IntN(3)
	for i := range zones {
		z := scenario.Zone{Name: fmt.Sprintf("hall-%c", 'a'+i), Nodes: nodes / zones, PodSize: 2 + g.IntN(4), Servers: map[string]int{}}
		if i < nodes%zones {
			z.Nodes++
		}
		for range 3 + g.IntN(4) {
			z.Servers[[]string{"fast-6", "std-6", "slow-6"}[g.IntN(3)]]++
		}
		g.scenario.Zones = append(g.scenario.Zones, z)
	}
}

// newDeployment returns random settings with classes of each effect, and the mean work of a request in
// seconds.
func (g *generator) newDeployment() (*load.Deployment, float64) {
	out := &load.Deployment{Limits: load.Limits}
	out.Limits.AnswerSlack, out.Limits.AbandonSlack, out.Limits.OverloadNotifiedOnly = answerSlack, abandonSlack, true
	out.Limits.NotifyDeadline = notifyDeadline
	longest := g.randomDuration(300*time.Millisecond, 4*time.Second)
	work, shares := 0.0, 0.0
	for i, effect := range []history.Effect{history.Safe, history.Keyed, history.Unsafe, history.Safe, history.Keyed}[:3+g.IntN(3)] {
		low := g.randomDuration(10*time.Millisecond, 60*time.Millisecond)
		c := history.Class{Name: fmt.Sprintf("class-%d", i), Share: 0.2 + g.Float64(), WorkLow: low, WorkHigh: 2 * low,
			Deadline: g.randomDuration(longest/2, longest+time.Millisecond*20), Value: float64(1 + g.IntN(12)), Effect: effect,
			Scope: []history.Scope{history.PodScope, history.ZoneScope, history.GlobalScope}[g.IntN(3)], DedupWindow: g.randomDuration(500*time.Millisecond, 8*time.Second)}
		c.TargetLatency = time.Duration((0.3 + 0.7*g.Float64()) * float64(c.Deadline))
		work, shares = work+c.Share*1.5*low.Seconds(), shares+c.Share
		out.Classes = append(out.Classes, c)
	}
	mode, report := []string{"on_request", "pushed"}[g.IntN(2)], []string{"none", "probe", "answers"}[g.IntN(3)]
	caps := map[string]any{"cancel": g.IntN(3) > 0, "may_duplicate": g.IntN(2) == 0, "peers": g.IntN(4) > 0, "probes": g.IntN(2) == 0,
		"retry_after": g.IntN(2) == 0, "max_attempts": 1 + g.IntN(5), "conn_idle_ns": g.randomDuration(2*time.Second, time.Minute),
		"connect_timeout_ns": []time.Duration{g.randomDuration(100*time.Millisecond, 500*time.Millisecond), g.randomDuration(1200*time.Millisecond, 2500*time.Millisecond)}[g.IntN(2)]}
	out.ChangeSettings = func(all map[string]any) {
		all["membership_mode"] = mode
		for k, v := range caps {
			all["caps"].(map[string]any)[k] = v
		}
		all["report"].(map[string]any)["how"] = report
	}
	return out, work / shares
}

// faultKinds are the kinds of random faults, with their weights.
var faultKinds = []struct {
	kind   string
	weight int
}{
	{scenario.FaultRestart, 8}, {scenario.FaultBriefPause, 8}, {scenario.FaultHang, 6}, {scenario.FaultKill, 5}, {scenario.FaultDrain, 5},
	{scenario.FaultLink, 5}, {scenario.FaultIdleClose, 4}, {scenario.FaultReplace, 3}, {scenario.FaultReload, 3}, {scenario.FaultWatchSilent, 3},
	{scenario.FaultSilent, 2}, {scenario.FaultCorrupt, 2}, {scenario.FaultFlap, 2}, {scenario.FaultDiscoveryOutage, 2}, {scenario.FaultDiscoveryDelay, 1},
	{scenario.FaultZoneLost, 1}, {scenario.FaultPeerLinks, 1}, {scenario.FaultSlowReader, 1},
}

func (g *generator) randomKind() string {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	pick := g.IntN(total)
	for _, k := range faultKinds {
		if pick -= k.weight; pick < 0 {
			return k.kind
		}
	}
	return scenario.FaultRestart
}

// randomNames returns the names of one to limit random elements of a list.
func randomNames[T any](g *generator, of []T, name func(T) string, limit int) (out []string) {
	for _, i := range g.Perm(len(of))[:1+g.IntN(min(limit, len(of)))] {
		out = append(out, name(of[i]))
	}
	return out
}

func (g *generator) randomFault() scenario.Fault {
	f := scenario.Fault{Kind: g.randomKind(), At: g.randomSpan(200*time.Millisecond, g.bounds.Length-200*time.Millisecond),
		For: g.randomSpan(300*time.Millisecond, 5*time.Second)}
	servers, nodes := g.scenario.Servers(), g.scenario.Nodes()
	server := func(x scenario.Server) string { return x.Name }
	node := func(x scenario.Node) string { return x.Name }
	switch f.Kind {
	case scenario.FaultRestart:
		f.Targets = randomNames(g, nodes, node, max(1, len(nodes)/5))
		f.For = g.randomSpan(200*time.Millisecond, 3*time.Second) // the next process starts when this one has ended
	case scenario.FaultBriefPause:
		f.Targets, f.For = randomNames(g, nodes, node, max(1, len(nodes)/3)), g.randomSpan(20*time.Millisecond, 150*time.Millisecond)
	case scenario.FaultReload, scenario.FaultWatchSilent:
		f.Targets, f.For = randomNames(g, nodes, node, len(nodes)), scenario.Span{}
	case scenario.FaultKill:
		if f.Targets = randomNames(g, servers, server, 1); g.IntN(2) == 0 {
			f.Targets = randomNames(g, nodes, node, max(1, len(nodes)/8))
		}
	case scenario.FaultHang:
		f.Targets = randomNames(g, servers, server, max(1, len(servers)*2/3))
	case scenario.FaultZoneLost:
		f.Targets = []string{g.scenario.Zones[g.IntN(len(g.scenario.Zones))].Name}
	case scenario.FaultLink:
		f.Targets = randomNames(g, servers, server, 2)
		if g.IntN(2) == 0 {
			f.Targets = append(f.Targets, randomNames(g, nodes, node, 2)...)
		}
		if g.IntN(4) == 0 {
			f.Delay, f.Loss = g.randomSpan(5*time.Millisecond, 60*time.Millisecond), 0.05*g.Float64()
		} else {
			f.State = []string{"half-open", "reset", "black-hole"}[g.IntN(3)]
		}
	case scenario.FaultCorrupt:
		f.Targets, f.Fraction = randomNames(g, servers, server, 2), 0.05+0.5*g.Float64()
	case scenario.FaultDiscoveryDelay:
		f.Delay = g.randomSpan(100*time.Millisecond, time.Second)
	case scenario.FaultFlap:
		f.Targets, f.Interval = randomNames(g, servers, server, 1), g.randomSpan(50*time.Millisecond, time.Second)
	case scenario.FaultReplace:
		f.Targets, f.For = randomNames(g, servers, server, 1), g.randomSpan(200*time.Millisecond, 2*time.Second)
	case scenario.FaultIdleClose:
		f.Targets, f.For = randomNames(g, servers, server, len(servers)), scenario.Span{}
	case scenario.FaultPeerLinks:
		f.Targets, f.Loss, f.Jitter = randomNames(g, nodes, node, len(nodes)), 0.5*g.Float64(), g.randomSpan(10*time.Millisecond, 300*time.Millisecond)
	case scenario.FaultSlowReader:
		f.Fraction = 0.5 * g.Float64()
	case scenario.FaultDiscoveryOutage:
	default:
		f.Targets = randomNames(g, servers, server, 2)
	}
	return f
}
