// Package soak runs many real nodes under random faults that overlap in time, and tells
// whether the rules held and each process kept its own invariants. A seed names its
// deployment, its load and its timeline for good.
package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/sysfault"
)

// Bounds say what a soak draws from.
type Bounds struct {
	MinNodes, MaxNodes int           // processes, 1 to 48
	Length             time.Duration // of the load
	FaultsPerSecond    float64       // how many faults begin, on average
	RatePerNode        float64       // first tries a second
	ClockSteps         bool          // wall clocks step: the nodes are built with -tags faults
	SystemCalls        bool          // system calls fail; whoever plays calls sysfault.RunLauncher where that is to be
}

// DefaultBounds are the bounds of a run by hand on eight cores.
var DefaultBounds = Bounds{MinNodes: 10, MaxNodes: 40, Length: 20 * time.Second, FaultsPerSecond: 2, RatePerNode: 12, SystemCalls: true}

// The rules' figures that a soak draws nothing of: the standing page's.
const (
	answerSlack = 500 * time.Millisecond
	leaveSlack  = 100 * time.Millisecond
	toldLatest  = 6 * time.Second
)

// drawer draws one soak.
type drawer struct {
	*rand.Rand
	s      *scenario.Scenario
	bounds Bounds
}

func (d *drawer) between(lo, hi time.Duration) time.Duration {
	return (lo + time.Duration(d.Int64N(int64(hi-lo)))).Round(10 * time.Millisecond)
}

func (d *drawer) span(lo, hi time.Duration) scenario.Span {
	return scenario.Span{Duration: d.between(lo, hi)}
}

// Generate gives the scenario and the deployment of a seed.
func Generate(seed int64, b Bounds) (*scenario.Scenario, *load.Deployment) {
	d := &drawer{Rand: rand.New(rand.NewPCG(uint64(seed), 0x736f616b)), bounds: b}
	d.s = &scenario.Scenario{Name: fmt.Sprintf("soak-%d", seed), Seed: seed, Length: scenario.Span{Duration: b.Length},
		Client: scenario.Client{Retries: d.IntN(3), TryShare: 0.5 + 0.3*d.Float64(), Honour: d.Float64(),
			Leaves: 0.3 * d.Float64(), Pieces: 0.1 * d.Float64(), Late: 3 + d.IntN(6)},
		Hosts: scenario.Hosts{Lag: d.span(50*time.Millisecond, time.Second)},
		Net:   scenario.Net{Lost: 0.1 * d.Float64()}}
	nodes := b.MinNodes + d.IntN(b.MaxNodes-b.MinNodes+1)
	d.drawHalls(nodes)
	deployment, work := d.drawDeployment()
	capacity := 0.0
	for _, x := range d.s.Servers() {
		capacity += 6 * map[string]float64{"fast-6": 1.3, "std-6": 0.97, "slow-6": 0.7}[x.Kind]
	}
	d.s.Load.Rate = min(float64(nodes)*b.RatePerNode, 0.6*capacity/work)
	for range int(b.Length.Seconds() * b.FaultsPerSecond) {
		f := d.drawFault()
		d.add(f)
		switch {
		case f.What == scenario.WhatTerm && d.IntN(2) == 0:
			d.add(d.hangAround(f))
		case f.What == scenario.WhatDrain && d.IntN(3) > 0:
			for _, with := range d.lateConnections(f) {
				d.add(with)
			}
		}
	}
	for range 1 + int(b.Length/(4*time.Second)) { // after all others, so that a seed's stay what they were
		d.add(scenario.Fault{What: scenario.WhatNoFiles, At: d.span(200*time.Millisecond, b.Length), For: d.span(20*time.Millisecond, 150*time.Millisecond),
			Who: some(d, d.s.Nodes(), func(x scenario.Node) string { return x.Name }, len(d.s.Nodes()))})
	}
	if b.ClockSteps {
		d.drawClockSteps()
	}
	if b.SystemCalls {
		d.drawSystemCalls()
	}
	if err := scenario.Check(d.s); err != nil {
		panic(fmt.Sprintf("soak: seed %d draws what can't be played: %v", seed, err))
	}
	return d.s, deployment
}

// drawClockSteps has the wall clocks of some machines step, by seconds or by an hour.
func (d *drawer) drawClockSteps() {
	for range 2 + int(d.bounds.Length/(4*time.Second)) {
		f := scenario.Fault{What: scenario.WhatClock, At: d.span(100*time.Millisecond, d.bounds.Length),
			Who: some(d, d.s.Nodes(), func(x scenario.Node) string { return x.Name }, len(d.s.Nodes()))}
		if f.Delay = d.span(time.Second, 20*time.Second); d.IntN(2) == 0 {
			f.Delay.Duration = time.Hour
		}
		f.State = []string{"", "back"}[d.IntN(2)]
		d.add(f)
	}
}

// failing are the kinds of system calls that are drawn. Files play no part where the platform
// holds no listening socket.
var failing = []sysfault.Call{sysfault.Accept, sysfault.Socket, sysfault.Connect, sysfault.SendTo, sysfault.Receive}

// drawSystemCalls has a part of some nodes' system calls fail, for some of the time.
func (d *drawer) drawSystemCalls() {
	for range 2 + int(d.bounds.Length/(3*time.Second)) {
		call := failing[d.IntN(len(failing))]
		names := slices.Sorted(maps.Keys(sysfault.Errors[call]))
		f := scenario.Fault{What: scenario.WhatCalls, Call: string(call), Error: names[d.IntN(len(names))], Part: 0.05 + 0.75*d.Float64(),
			At: d.span(200*time.Millisecond, d.bounds.Length), For: d.span(50*time.Millisecond, 3*time.Second),
			Who: some(d, d.s.Nodes(), func(x scenario.Node) string { return x.Name }, len(d.s.Nodes()))}
		d.add(f)
	}
}

// add takes a fault in, unless it can't be carried out together with the others.
func (d *drawer) add(f scenario.Fault) {
	d.s.Faults = append(d.s.Faults, f)
	if scenario.Check(d.s) != nil {
		d.s.Faults = d.s.Faults[:len(d.s.Faults)-1]
	}
}

// hangAround has most servers hang while nodes are told to end.
func (d *drawer) hangAround(restart scenario.Fault) scenario.Fault {
	f := scenario.Fault{What: scenario.WhatHang, At: restart.At, For: d.span(time.Second, 5*time.Second)}
	f.At.Duration = max(0, f.At.Duration-d.between(0, 300*time.Millisecond))
	servers := d.s.Servers()
	for _, i := range d.Perm(len(servers))[:max(1, len(servers)-1-d.IntN(1+len(servers)/3))] {
		f.Who = append(f.Who, servers[i].Name)
	}
	return f
}

// lateConnections has connections to servers come up late, or not at all, just before they
// drain, and ends those that there are.
func (d *drawer) lateConnections(drain scenario.Fault) []scenario.Fault {
	late := scenario.Fault{What: scenario.WhatLink, State: "black-hole", Who: drain.Who, At: drain.At, For: d.span(500*time.Millisecond, 1200*time.Millisecond)}
	late.At.Duration = max(100*time.Millisecond, late.At.Duration-d.between(50*time.Millisecond, 500*time.Millisecond))
	idle := scenario.Fault{What: scenario.WhatIdle, Who: drain.Who, At: late.At}
	idle.At.Duration -= 50 * time.Millisecond
	return []scenario.Fault{idle, late}
}

func (d *drawer) drawHalls(nodes int) {
	halls := 1 + d.IntN(3)
	for i := range halls {
		h := scenario.Hall{Name: fmt.Sprintf("hall-%c", 'a'+i), Nodes: nodes / halls, PodSize: 2 + d.IntN(4), Servers: map[string]int{}}
		if i < nodes%halls {
			h.Nodes++
		}
		for range 3 + d.IntN(4) {
			h.Servers[[]string{"fast-6", "std-6", "slow-6"}[d.IntN(3)]]++
		}
		d.s.Halls = append(d.s.Halls, h)
	}
}

// drawDeployment draws classes of each effect and the other settings, and gives the mean
// work of a request in seconds.
func (d *drawer) drawDeployment() (*load.Deployment, float64) {
	out := &load.Deployment{Limits: load.Limits}
	out.Limits.AnswerSlack, out.Limits.LeaveSlack, out.Limits.FallTold = answerSlack, leaveSlack, true
	out.Limits.ToldLatest = toldLatest
	longest := d.between(300*time.Millisecond, 4*time.Second)
	work, shares := 0.0, 0.0
	for i, effect := range []history.Effect{history.Safe, history.Keyed, history.Unsafe, history.Safe, history.Keyed}[:3+d.IntN(3)] {
		low := d.between(10*time.Millisecond, 60*time.Millisecond)
		c := history.Class{Name: fmt.Sprintf("class-%d", i), Share: 0.2 + d.Float64(), WorkLow: low, WorkHigh: 2 * low,
			Deadline: d.between(longest/2, longest+time.Millisecond*20), Worth: float64(1 + d.IntN(12)), Effect: effect,
			Scope: []history.Scope{history.Pods, history.Halls, history.All}[d.IntN(3)], Window: d.between(500*time.Millisecond, 8*time.Second)}
		c.Aim = time.Duration((0.3 + 0.7*d.Float64()) * float64(c.Deadline))
		work, shares = work+c.Share*1.5*low.Seconds(), shares+c.Share
		out.Classes = append(out.Classes, c)
	}
	mode, report := []string{"on_request", "pushed"}[d.IntN(2)], []string{"none", "probe", "answers"}[d.IntN(3)]
	caps := map[string]any{"cancel": d.IntN(3) > 0, "may_duplicate": d.IntN(2) == 0, "peers": d.IntN(4) > 0, "probes": d.IntN(2) == 0,
		"retry_after": d.IntN(2) == 0, "max_attempts": 1 + d.IntN(5), "conn_idle_ns": d.between(2*time.Second, time.Minute),
		"connect_timeout_ns": []time.Duration{d.between(100*time.Millisecond, 500*time.Millisecond), d.between(1200*time.Millisecond, 2500*time.Millisecond)}[d.IntN(2)]}
	out.Settings = func(all map[string]any) {
		all["membership_mode"] = mode
		for k, v := range caps {
			all["caps"].(map[string]any)[k] = v
		}
		all["report"].(map[string]any)["how"] = report
	}
	return out, work / shares
}

// kinds are the faults that are drawn, with their weights.
var kinds = []struct {
	what   string
	weight int
}{
	{scenario.WhatTerm, 8}, {scenario.WhatHold, 8}, {scenario.WhatHang, 6}, {scenario.WhatKill, 5}, {scenario.WhatDrain, 5},
	{scenario.WhatLink, 5}, {scenario.WhatIdle, 4}, {scenario.WhatReplace, 3}, {scenario.WhatReload, 3}, {scenario.WhatMute, 3},
	{scenario.WhatSilent, 2}, {scenario.WhatSpoil, 2}, {scenario.WhatFlap, 2}, {scenario.WhatOutage, 2}, {scenario.WhatLag, 1},
	{scenario.WhatLost, 1}, {scenario.WhatPeers, 1}, {scenario.WhatSlow, 1},
}

func (d *drawer) drawKind() string {
	all := 0
	for _, k := range kinds {
		all += k.weight
	}
	pick := d.IntN(all)
	for _, k := range kinds {
		if pick -= k.weight; pick < 0 {
			return k.what
		}
	}
	return scenario.WhatTerm
}

// some gives one to most names of a list.
func some[T any](d *drawer, of []T, name func(T) string, most int) (out []string) {
	for _, i := range d.Perm(len(of))[:1+d.IntN(min(most, len(of)))] {
		out = append(out, name(of[i]))
	}
	return out
}

func (d *drawer) drawFault() scenario.Fault {
	f := scenario.Fault{What: d.drawKind(), At: d.span(200*time.Millisecond, d.bounds.Length-200*time.Millisecond),
		For: d.span(300*time.Millisecond, 5*time.Second)}
	servers, nodes := d.s.Servers(), d.s.Nodes()
	server := func(x scenario.Server) string { return x.Name }
	node := func(x scenario.Node) string { return x.Name }
	switch f.What {
	case scenario.WhatTerm:
		f.Who = some(d, nodes, node, max(1, len(nodes)/5))
		f.For = d.span(200*time.Millisecond, 3*time.Second) // the next process waits for the end of this one
	case scenario.WhatHold:
		f.Who, f.For = some(d, nodes, node, max(1, len(nodes)/3)), d.span(20*time.Millisecond, 150*time.Millisecond)
	case scenario.WhatReload, scenario.WhatMute:
		f.Who, f.For = some(d, nodes, node, len(nodes)), scenario.Span{}
	case scenario.WhatKill:
		if f.Who = some(d, servers, server, 1); d.IntN(2) == 0 {
			f.Who = some(d, nodes, node, max(1, len(nodes)/8))
		}
	case scenario.WhatHang:
		f.Who = some(d, servers, server, max(1, len(servers)*2/3))
	case scenario.WhatLost:
		f.Who = []string{d.s.Halls[d.IntN(len(d.s.Halls))].Name}
	case scenario.WhatLink:
		f.Who = some(d, servers, server, 2)
		if d.IntN(2) == 0 {
			f.Who = append(f.Who, some(d, nodes, node, 2)...)
		}
		if d.IntN(4) == 0 {
			f.Delay, f.Loss = d.span(5*time.Millisecond, 60*time.Millisecond), 0.05*d.Float64()
		} else {
			f.State = []string{"half-open", "reset", "black-hole"}[d.IntN(3)]
		}
	case scenario.WhatSpoil:
		f.Who, f.Part = some(d, servers, server, 2), 0.05+0.5*d.Float64()
	case scenario.WhatLag:
		f.Delay = d.span(100*time.Millisecond, time.Second)
	case scenario.WhatFlap:
		f.Who, f.Every = some(d, servers, server, 1), d.span(50*time.Millisecond, time.Second)
	case scenario.WhatReplace:
		f.Who, f.For = some(d, servers, server, 1), d.span(200*time.Millisecond, 2*time.Second)
	case scenario.WhatIdle:
		f.Who, f.For = some(d, servers, server, len(servers)), scenario.Span{}
	case scenario.WhatPeers:
		f.Who, f.Loss, f.Jitter = some(d, nodes, node, len(nodes)), 0.5*d.Float64(), d.span(10*time.Millisecond, 300*time.Millisecond)
	case scenario.WhatSlow:
		f.Part = 0.5 * d.Float64()
	case scenario.WhatOutage:
	default:
		f.Who = some(d, servers, server, 2)
	}
	return f
}
