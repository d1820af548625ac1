// Package real runs a scenario on loopback sockets in real time: real nodes as
// processes, the stand-ins round them, one monotonic clock for all records.
package real

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/internal/lab/caller"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/clipserver"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/link"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/nodeconf"
	"ivylock/internal/lab/process"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/wallclock"
)

const (
	maxOrders    = 20_000 // that are open at once; beyond it the load waits, and the run says so
	frontNotice  = time.Second
	silentNotice = 5 * time.Second        // until discovery misses a machine that is cut off
	comingTime   = 300 * time.Millisecond // in which connections still come to a node that was told to end
)

// Options of a run.
type Options struct {
	Seed            int64               // 0: the scenario's
	Program         string              // the node
	Limits          nodeconf.Limits     // of each node; zero: one core, 192 MB, 1,024 descriptors
	FleetSettings   string              // more lines of the operators' section [fleet]
	WithoutFleet    []string            // nodes that know nothing of it
	NoRecordFiles   bool                // nodes write no record to a file: what their consoles say is enough
	ControlProgram  string              // the control service's program
	ControlServices int                 // control services that are of the fleet, numbered from member.FirstControlID on
	Deployment      *load.Deployment    // another one than the brief's; nil: that
	ObserveEvents   func(history.Event) // told of each event, one at a time; may be nil
}

// Testbed is one run.
type Testbed struct {
	s        *scenario.Scenario
	o        Options
	dir      string
	base     atomic.Pointer[time.Time] // nil: the load has not begun
	unix     time.Time                 // of base
	rec      history.Recorder
	setup    history.Setup
	mu       sync.Mutex
	slots    []*slot
	byID     map[string]*slot
	nodes    []*node
	hosts    *hosts.Service
	front    *caller.Front
	clients  *caller.Clients
	relays   []*link.UDP // by number: where others reach a node
	toAll    *link.UDP
	from     sync.Map              // netip.AddrPort of a node's process: its number
	ways     map[[2]int]link.Shape // of datagrams from node to node, where they are not as usual
	services []*process.Process
	cuts     map[string]*link.TCP // by node: the way to discovery, where the timeline cuts it
	late     []time.Duration      // how late orders were sent
	waited   int                  // orders that found maxOrders open
	stopping bool
	alarms   []ErrorLine
	watches  sync.WaitGroup
	rng      *rand.Rand // the timeline's own
	pending  sync.WaitGroup
	failed   atomic.Pointer[error]
}

// slot is a server's place: its addresses stay when the server is replaced.
type slot struct {
	scenario.Server
	id     string // on the list
	server *clipserver.Server
	pod    *clip.Pod
	speed  float64
	direct map[string]string    // node: address
	links  map[string]*link.TCP // node: the link in front, where the timeline has one
	start  time.Duration        // 0: long ago
	life   int
	state  string // for the screen: "", draining, silent, hung, down
}

// node is a node's place.
type node struct {
	scenario.Node
	conf nodeconf.Config
	mu   sync.Mutex
	proc *process.Process
	live atomic.Pointer[process.Process] // the latest process, which may have ended
	told bool                            // it was told to end, or killed
	life int
	cpu  time.Duration // of processes that have ended
	fail callFaults
}

// New starts the stand-ins and the nodes. Close ends all of it.
func New(ctx context.Context, s *scenario.Scenario, o Options) (*Testbed, error) {
	if o.Seed == 0 {
		o.Seed = s.Seed
	}
	if o.Limits == (nodeconf.Limits{}) {
		o.Limits = nodeconf.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
	}
	dir, err := os.MkdirTemp("", "ivylab-")
	if err != nil {
		return nil, err
	}
	h := &Testbed{s: s, o: o, dir: dir, byID: map[string]*slot{}, rng: rand.New(rand.NewPCG(uint64(o.Seed), 0x7265616c)), front: caller.NewFront(s.Nodes())}
	if o.ObserveEvents != nil {
		h.rec.Watch(o.ObserveEvents)
	}
	if h.o.Deployment == nil {
		h.o.Deployment = load.Brief(s)
	}
	h.setup = history.Setup{Scenario: s.Name, Seed: o.Seed, Length: s.Length.Duration, Classes: h.o.Deployment.Classes, Limits: h.o.Deployment.Limits}
	h.clients = &caller.Clients{Scenario: s, Front: h.front, Clock: h.Clock, Record: h.rec.Add, Slack: cmp.Or(h.o.Deployment.Limits.AnswerSlack, h.o.Deployment.Limits.Slack)}
	h.cuts = map[string]*link.TCP{}
	h.hosts = hosts.NewService(40, h.Clock, h.rec.Add, h.addr)
	for _, x := range s.Nodes() {
		h.nodes = append(h.nodes, &node{Node: x})
		h.setup.Nodes = append(h.setup.Nodes, history.Node{Name: x.Name, Hall: x.Hall})
	}
	err = errors.Join(h.startServers(), h.startRelays())
	if err == nil {
		err = h.startServices()
	}
	if err == nil {
		err = h.startNodes(ctx)
	}
	if err != nil {
		h.Close()
		return nil, err
	}
	h.hosts.SetLag(s.Hosts.Lag.Duration)
	return h, nil
}

// Clock is the lab's clock: 0 until the load begins.
func (h *Testbed) Clock() time.Duration {
	if base := h.base.Load(); base != nil {
		return time.Since(*base)
	}
	return 0
}

func (h *Testbed) startServers() error {
	rng := rand.New(rand.NewPCG(uint64(h.o.Seed), 0x73706565))
	pods := map[int]*clip.Pod{}
	for _, x := range h.s.Servers() {
		pod, window := x.Pod, h.o.Deployment.Limits.KeyWindow
		if common := h.o.Deployment.Common(); common > 0 {
			pod, window = -1, common
		}
		if pods[pod] == nil {
			pods[pod] = clip.NewPod(window)
		}
		r := clip.SpeedRange[x.Kind]
		t := &slot{Server: x, id: x.Name, pod: pods[pod], speed: r[0] + (r[1]-r[0])*rng.Float64(),
			direct: map[string]string{}, links: map[string]*link.TCP{}}
		m, err := h.model(t)
		if err != nil {
			return err
		}
		t.server = clipserver.New(clipserver.Config{Model: m, Clock: h.Clock, Record: h.rec.Add, Entered: t.entered})
		for _, n := range h.nodes {
			if t.direct[n.Name], err = t.server.Listen(n.Name); err != nil {
				return err
			}
		}
		h.slots = append(h.slots, t)
		h.byID[t.id] = t
	}
	for _, f := range h.s.Faults { // links only where the timeline changes them
		if f.What != scenario.WhatLink {
			continue
		}
		for _, p := range h.pairs(f.Who) {
			if p.slot.links[p.node] != nil {
				continue
			}
			l, err := link.NewTCP(func() string { return p.slot.direct[p.node] }, h.Clock)
			if err != nil {
				return err
			}
			p.slot.links[p.node] = l
		}
	}
	for _, t := range h.slots {
		h.hosts.Set(h.entry(t, hosts.Up))
	}
	return nil
}

// model makes the model of the server at a slot, under its present id.
func (h *Testbed) model(t *slot) (*clip.Server, error) {
	m, err := clip.Of(t.Kind)
	if err != nil {
		return nil, err
	}
	m.Speed = t.speed
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setup.Servers = append(h.setup.Servers, history.Server{Name: t.id, Hall: t.Hall, Kind: t.Kind, Pod: t.Pod})
	l := h.o.Deployment.Limits
	return clip.NewServer(t.id, m, clip.Fall{Factor: l.FallFactor, Time: l.FallTime, Spare: l.FallSpare}, t.pod), nil
}

// pair is one node's way to one server.
type pair struct {
	node string
	slot *slot
}

// pairs lists the ways that a fault's names mean: to the servers, from the
// nodes, or, where both are named, between them.
func (h *Testbed) pairs(who []string) []pair {
	servers, nodes := h.s.Pick(who)
	if len(servers) == 0 {
		servers = h.s.Servers()
	}
	if len(nodes) == 0 {
		nodes = h.s.Nodes()
	}
	var out []pair
	for _, x := range servers {
		for _, t := range h.slots {
			if t.Name != x.Name {
				continue
			}
			for _, n := range nodes {
				out = append(out, pair{n.Name, t})
			}
		}
	}
	return out
}

func (t *slot) entered(node, remote string) (time.Duration, bool) {
	if l := t.links[node]; l != nil {
		return l.Entered(remote)
	}
	return 0, false
}

// addr is where a node reaches a server.
func (h *Testbed) addr(node, server string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.byID[server]
	if t == nil {
		return ""
	}
	if l := t.links[node]; l != nil {
		return l.Addr()
	}
	return t.direct[node]
}

// entry words a slot's server for the list.
func (h *Testbed) entry(t *slot, lifecycle string) hosts.Entry {
	e := hosts.Entry{InstanceID: t.id, Zone: t.Hall, MachineType: t.Kind, Cell: t.Pod, Lifecycle: lifecycle,
		Weight: 6 * t.speed}
	if t.start > 0 {
		e.StartedAtMs = h.unix.Add(t.start).UnixMilli()
	}
	return e
}

// startRelays opens the ways between nodes. What a node sends to the address at which
// others reach one goes on from the address at which they reach the sender.
func (h *Testbed) startRelays() error {
	h.relays, h.ways = make([]*link.UDP, len(h.nodes)+h.o.ControlServices), map[[2]int]link.Shape{}
	sender := func(from netip.AddrPort) (int, bool) {
		i, known := h.from.Load(from)
		if !known {
			return 0, false
		}
		return i.(int), true
	}
	hop := func(from netip.AddrPort, j int) []link.Hop {
		i, known := sender(from)
		if !known || i == j {
			return nil
		}
		to, err := net.ResolveUDPAddr("udp", h.datagrams(j))
		if err != nil {
			return nil
		}
		h.mu.Lock()
		shape, bad := h.ways[[2]int{i, j}]
		back := h.relays[i]
		h.mu.Unlock()
		if !bad {
			shape = h.usualWay()
		} else {
			h.rec.Add(history.Event{At: h.Clock(), Kind: history.Hindered, Node: h.name(i)})
		}
		return []link.Hop{{From: back.Conn(), To: to, Shape: shape}}
	}
	told := func(from netip.AddrPort, bytes, receivers int) {
		if i, known := sender(from); known {
			for range receivers {
				h.rec.Add(history.Event{At: h.Clock(), Kind: history.Message, Node: h.name(i), Bytes: bytes})
			}
		}
	}
	for j := range h.relays {
		u, err := link.NewUDP(func(from netip.AddrPort) []link.Hop { return hop(from, j) }, told)
		if err != nil {
			return err
		}
		h.mu.Lock()
		h.relays[j] = u
		h.mu.Unlock()
	}
	var err error
	h.toAll, err = link.NewUDP(func(from netip.AddrPort) (all []link.Hop) {
		for j := range h.nodes {
			all = append(all, hop(from, j)...)
		}
		return all
	}, told)
	return err
}

// datagrams is where a process takes datagrams; empty: it does not run. Numbers behind
// the nodes' are control services'.
func (h *Testbed) datagrams(number int) string {
	if k := number - len(h.nodes); k >= 0 {
		h.mu.Lock()
		defer h.mu.Unlock()
		if k < len(h.services) {
			return h.services[k].PeerAddr()
		}
		return ""
	}
	h.nodes[number].mu.Lock()
	defer h.nodes[number].mu.Unlock()
	if h.nodes[number].proc == nil {
		return ""
	}
	return h.nodes[number].proc.PeerAddr()
}

// usualWay is how datagrams go where no fault hinders them.
func (h *Testbed) usualWay() link.Shape {
	return link.Shape{Delay: h.s.Net.Messages.Duration, Loss: h.s.Net.Lost}
}

// setWays changes how datagrams go; nil: as usual.
func (h *Testbed) setWays(ways [][2]int, to *link.Shape) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range ways {
		if to == nil {
			delete(h.ways, w)
		} else {
			h.ways[w] = *to
		}
	}
}

// startNodes starts all nodes at once.
func (h *Testbed) startNodes(ctx context.Context) error {
	errs := make([]error, len(h.nodes))
	var wg sync.WaitGroup
	for i, n := range h.nodes {
		addr, err := h.hosts.Listen(n.Name)
		if err == nil {
			addr, err = h.toDiscovery(n.Node, addr)
		}
		if err != nil {
			return err
		}
		var peers []string
		for _, r := range h.relays {
			peers = append(peers, r.Addr())
		}
		if first := h.s.AtFirst(); n.Number < first { // its settings are older than those of nodes that join
			peers = peers[:first]
		}
		n.conf = nodeconf.Config{Name: n.Name, Listen: "127.0.0.1:0", Discovery: addr, Limits: h.o.Limits,
			PeerListen: "127.0.0.1:0", Peers: peers, PeerBroadcast: h.toAll.Addr(), Settings: nodeconf.DeploymentSettings(h.s, n.Number, h.o.Deployment)}
		if h.s.Fleet {
			n.conf.Console = "127.0.0.1:0"
		}
		if n.Number < h.s.AtFirst() {
			wg.Go(func() { errs[i] = h.startNode(n) })
		}
	}
	wg.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Join(errs...)
}

// startNode starts a node's next process and takes it in.
func (h *Testbed) startNode(n *node) error {
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	if stopping {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc != nil {
		return nil
	}
	n.life++
	n.conf.Seed = fmt.Sprintf("%016x", uint64(h.o.Seed)*1_000_003+uint64(n.Number)*101+uint64(n.life))
	n.conf.InitialList = h.hosts.InitialList(n.Name)
	more, err := h.operator(n.Name)
	if err != nil {
		return err
	}
	if steps := h.clockSteps(n.Node); len(steps) > 0 {
		more = append(more, wallclock.StepsVariable+"="+wallclock.FormatSteps(steps))
	}
	options := process.Options{Environment: more, FaultyCalls: h.callsOf(n.Node)}
	if len(options.FaultyCalls) > 0 {
		options.FaultRules = n.fail.begin(h.o.Seed*1_000_003 + int64(n.Number)*101 + int64(n.life))
	}
	proc, err := process.StartNode(h.o.Program, h.dir, n.conf, options)
	if err != nil {
		return err
	}
	n.proc, n.told = proc, false
	n.live.Store(proc)
	life := n.life
	h.watches.Go(func() { h.watch(n, proc, life) })
	if text := proc.PeerAddr(); text != "" { // else its settings allow none
		at, err := netip.ParseAddrPort(text) // what comes from elsewhere is nobody's, and is dropped
		if err != nil {
			return fmt.Errorf("%s takes datagrams: %w", n.Name, err)
		}
		h.from.Store(at, n.Number)
	}
	h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeUp, Node: n.Name})
	h.front.Up(caller.Place{Node: n.Name, Addr: proc.Addr, Life: n.life})
	return nil
}

// watch waits for the end of a node's process, and keeps what it said of broken
// invariants, or of a crash: an end that nobody told it.
func (h *Testbed) watch(n *node, p *process.Process, life int) {
	<-p.Ended()
	<-p.LogDrained()
	n.mu.Lock()
	crashed := !n.told && n.life == life
	n.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	crashed = crashed && !h.stopping
	if crashed {
		h.fail(fmt.Errorf("%s crashed: %s", n.Name, strings.Join(p.Log(), "; ")))
		h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeCrash, Node: n.Name, Note: strings.Join(p.Log(), "; ")})
	}
	for _, line := range p.ErrorLines() {
		h.alarms = append(h.alarms, ErrorLine{Node: n.Name, Line: line})
	}
}

// ErrorLine is what a node's process said of itself: a broken invariant, or a panic.
type ErrorLine struct{ Node, Line string }

// ErrorLines gives what processes have said that have ended; all of them after Close.
func (h *Testbed) ErrorLines() []ErrorLine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.alarms)
}

// Close ends every process, connection and file of the run.
func (h *Testbed) Close() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.clients.Close()
	for _, n := range h.nodes {
		n.mu.Lock()
		if n.proc != nil {
			n.proc.Kill()
			n.cpu += n.proc.FinalCPUTime()
			n.proc = nil
		}
		n.mu.Unlock()
	}
	for _, x := range h.services {
		x.Kill()
	}
	h.watches.Wait()
	h.hosts.Close()
	for _, l := range h.cuts {
		l.Close()
	}
	for _, t := range h.slots {
		for _, l := range t.links {
			l.Close()
		}
		t.server.Close()
	}
	for _, u := range append(h.relays, h.toAll) {
		if u != nil {
			u.Close()
		}
	}
	os.RemoveAll(h.dir)
}
