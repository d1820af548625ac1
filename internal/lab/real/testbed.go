// Package real runs a scenario in real time on loopback sockets: nodes run as child processes,
// surrounded by simulated clients, servers and discovery, and one monotonic clock times all records.
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
	maxOrders         = 20_000                 // open orders; further ones wait
	frontNoticeDelay  = time.Second            // until the clients' load balancer notices that a node was killed
	unreachableNotice = 5 * time.Second        // until discovery removes an unreachable server
	acceptAfterTerm   = 300 * time.Millisecond // for which new connections still arrive after SIGTERM
)

// Options are the settings of a run.
type Options struct {
	Seed            int64               // 0: the scenario's
	Program         string              // path of the node's program
	Limits          nodeconf.Limits     // of each node; zero: one core, 192 MB, 1,024 descriptors
	FleetSettings   string              // lines appended to the section [fleet] of the operator's file
	WithoutFleet    []string            // names of nodes that get no operator's file
	NoRecordFiles   bool                // nodes write no record files; records come from their consoles alone
	ControlProgram  string              // path of the control service's program
	ControlServices int                 // number of control services in the fleet; IDs start at member.FirstControlID
	Deployment      *load.Deployment    // nil: load.DefaultDeployment of the scenario
	ObserveEvents   func(history.Event) // receives each event, one at a time; may be nil
	Crowd           *Crowd              // nil: none
	RepeatSignals   bool                // a process that is told to end gets further signals until then
}

// Testbed runs one scenario. It owns the processes and the simulated clients, servers and discovery.
type Testbed struct {
	scenario        *scenario.Scenario
	options         Options
	dir             string
	clockStart      atomic.Pointer[time.Time] // nil until the load begins
	startTime       time.Time                 // when the load began
	recorder        history.Recorder
	setup           history.Setup
	mu              sync.Mutex
	slots           []*slot
	slotsByID       map[string]*slot
	nodes           []*node
	hosts           *hosts.Service
	front           *caller.Balancer // the clients' load balancer
	clients         *caller.Clients
	relays          []*link.UDP                // by process number: the address at which peers reach it
	broadcast       *link.UDP                  // relays to all nodes
	senders         sync.Map                   // process number by the netip.AddrPort from which it sends
	impairments     map[[2]int]link.Conditions // of datagrams, by sender and receiver; absent: defaultConditions
	controlServices []*process.Process
	discoveryLinks  map[string]*link.TCP // by node; only where the timeline cuts it
	sendDelays      []time.Duration      // between the planned and the actual start of each order
	throttled       int                  // orders that waited as maxOrders were open
	stopping        bool
	errorLines      []ErrorLine
	watchers        sync.WaitGroup
	rng             *rand.Rand // for the timeline
	pending         sync.WaitGroup
	firstErr        atomic.Pointer[error]
}

// slot holds a server. Its addresses stay the same when the server is replaced.
type slot struct {
	scenario.Server
	id          string // instance ID on discovery's list
	server      *clipserver.Server
	pod         *clip.Pod
	speed       float64
	addrs       map[string]string    // by node
	links       map[string]*link.TCP // by node; only where the timeline changes the link
	startedAt   time.Duration        // 0: before the run
	incarnation int
	state       string // for display: empty or draining
}

// node holds a node and its successive processes.
type node struct {
	scenario.Node
	config        nodeconf.Config
	mu            sync.Mutex
	proc          *process.Process
	latest        atomic.Pointer[process.Process] // the latest process, which may have ended
	stopRequested bool                            // proc was sent SIGTERM or SIGKILL
	incarnation   int
	cpuTime       time.Duration // of processes that have ended
	callFaults    callFaults
}

// New starts the simulated servers and discovery, the control services and the nodes. Close stops them all.
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
	b := &Testbed{scenario: s, options: o, dir: dir, slotsByID: map[string]*slot{}, rng: rand.New(rand.NewPCG(uint64(o.Seed), 0x7265616c)), front: caller.NewBalancer(s.Nodes())}
	if o.ObserveEvents != nil {
		b.recorder.Observe(o.ObserveEvents)
	}
	if b.options.Deployment == nil {
		b.options.Deployment = load.DefaultDeployment(s)
	}
	b.setup = history.Setup{Scenario: s.Name, Seed: o.Seed, Length: s.Length.Duration, Classes: b.options.Deployment.Classes, Limits: b.options.Deployment.Limits}
	b.clients = &caller.Clients{Scenario: s, Balancer: b.front, Clock: b.Clock, Record: b.recorder.Add, Slack: cmp.Or(b.options.Deployment.Limits.AnswerSlack, b.options.Deployment.Limits.Slack)}
	b.discoveryLinks = map[string]*link.TCP{}
	b.hosts = hosts.NewService(40, b.Clock, b.recorder.Add, b.serverAddr)
	for _, x := range s.Nodes() {
		b.nodes = append(b.nodes, &node{Node: x})
		b.setup.Nodes = append(b.setup.Nodes, history.Node{Name: x.Name, Zone: x.Zone})
	}
	err = errors.Join(b.startServers(), b.startRelays())
	if err == nil {
		err = b.startServices()
	}
	if err == nil {
		err = b.startNodes(ctx)
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	b.hosts.SetLag(s.Discovery.NotificationDelay.Duration)
	return b, nil
}

// Clock returns the time since the load began; 0 before that.
func (b *Testbed) Clock() time.Duration {
	if base := b.clockStart.Load(); base != nil {
		return time.Since(*base)
	}
	return 0
}

func (b *Testbed) startServers() error {
	rng := rand.New(rand.NewPCG(uint64(b.options.Seed), 0x73706565))
	pods := map[int]*clip.Pod{}
	for _, x := range b.scenario.Servers() {
		pod, window := x.Pod, b.options.Deployment.Limits.KeyWindow
		if common := b.options.Deployment.SharedKeyWindow(); common > 0 {
			pod, window = -1, common
		}
		if pods[pod] == nil {
			pods[pod] = clip.NewPod(window)
		}
		speeds := clip.SpeedRange[x.Kind]
		t := &slot{Server: x, id: x.Name, pod: pods[pod], speed: speeds[0] + (speeds[1]-speeds[0])*rng.Float64(),
			addrs: map[string]string{}, links: map[string]*link.TCP{}}
		model, err := b.newModel(t)
		if err != nil {
			return err
		}
		t.server = clipserver.New(clipserver.Config{Model: model, Clock: b.Clock, Record: b.recorder.Add, FirstByteAt: t.firstByteAt})
		for _, n := range b.nodes {
			if t.addrs[n.Name], err = t.server.Listen(n.Name); err != nil {
				return err
			}
		}
		b.slots = append(b.slots, t)
		b.slotsByID[t.id] = t
	}
	for _, f := range b.scenario.Faults { // links are added only where the timeline changes them
		if f.Kind != scenario.FaultLink {
			continue
		}
		for _, p := range b.routes(f.Targets) {
			if p.slot.links[p.node] != nil {
				continue
			}
			l, err := link.NewTCP(func() string { return p.slot.addrs[p.node] }, b.Clock)
			if err != nil {
				return err
			}
			p.slot.links[p.node] = l
		}
	}
	for _, t := range b.slots {
		b.hosts.Set(b.listEntry(t, hosts.Up))
	}
	return nil
}

// newModel creates the model of the server in a slot, under the slot's current ID.
func (b *Testbed) newModel(t *slot) (*clip.Server, error) {
	machine, err := clip.NewMachine(t.Kind)
	if err != nil {
		return nil, err
	}
	machine.Speed = t.speed
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup.Servers = append(b.setup.Servers, history.Server{Name: t.id, Zone: t.Zone, Kind: t.Kind, Pod: t.Pod})
	l := b.options.Deployment.Limits
	return clip.NewServer(t.id, machine, clip.OverloadLimit{Factor: l.OverloadFactor, Window: l.OverloadWindow, Allowance: l.OverloadAllowance}, t.pod), nil
}

// route is the path from one node to one server.
type route struct {
	node string
	slot *slot
}

// routes lists the routes that a fault's names select: those to the named servers, those from the
// named nodes or, if both are named, those between them.
func (b *Testbed) routes(targets []string) []route {
	servers, nodes := b.scenario.Select(targets)
	if len(servers) == 0 {
		servers = b.scenario.Servers()
	}
	if len(nodes) == 0 {
		nodes = b.scenario.Nodes()
	}
	var out []route
	for _, x := range servers {
		for _, t := range b.slots {
			if t.Name != x.Name {
				continue
			}
			for _, n := range nodes {
				out = append(out, route{n.Name, t})
			}
		}
	}
	return out
}

// firstByteAt returns when the first byte of the latest burst on a connection reached the link in front of
// the server, if the node has one.
func (t *slot) firstByteAt(node, remote string) (time.Duration, bool) {
	if l := t.links[node]; l != nil {
		return l.FirstByteAt(remote)
	}
	return 0, false
}

// serverAddr returns the address at which a node reaches a server.
func (b *Testbed) serverAddr(node, server string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.slotsByID[server]
	if t == nil {
		return ""
	}
	if l := t.links[node]; l != nil {
		return l.Addr()
	}
	return t.addrs[node]
}

// listEntry returns the entry of a slot's server on discovery's list.
func (b *Testbed) listEntry(t *slot, lifecycle string) hosts.Entry {
	e := hosts.Entry{InstanceID: t.id, Zone: t.Zone, MachineType: t.Kind, Cell: t.Pod, Lifecycle: lifecycle,
		Weight: 6 * t.speed}
	if t.startedAt > 0 {
		e.StartedAtMs = b.startTime.Add(t.startedAt).UnixMilli()
	}
	return e
}

// startRelays opens the UDP relays between processes. A datagram sent to a process's relay is
// forwarded to that process from the relay of its sender.
func (b *Testbed) startRelays() error {
	b.relays, b.impairments = make([]*link.UDP, len(b.nodes)+b.options.ControlServices), map[[2]int]link.Conditions{}
	sender := func(from netip.AddrPort) (int, bool) {
		i, known := b.senders.Load(from)
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
		to, err := net.ResolveUDPAddr("udp", b.peerAddr(j))
		if err != nil {
			return nil
		}
		b.mu.Lock()
		conditions, impaired := b.impairments[[2]int{i, j}]
		relay := b.relays[i]
		b.mu.Unlock()
		if !impaired {
			conditions = b.defaultConditions()
		} else {
			b.recorder.Add(history.Event{At: b.Clock(), Kind: history.DatagramFault, Node: b.processName(i)})
		}
		return []link.Hop{{From: relay.Conn(), To: to, Conditions: conditions}}
	}
	record := func(from netip.AddrPort, bytes, receivers int) {
		if i, known := sender(from); known {
			for range receivers {
				b.recorder.Add(history.Event{At: b.Clock(), Kind: history.PeerMessage, Node: b.processName(i), Bytes: bytes})
			}
		}
	}
	for j := range b.relays {
		u, err := link.NewUDP(func(from netip.AddrPort) []link.Hop { return hop(from, j) }, record)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.relays[j] = u
		b.mu.Unlock()
	}
	var err error
	b.broadcast, err = link.NewUDP(func(from netip.AddrPort) (all []link.Hop) {
		for j := range b.nodes {
			all = append(all, hop(from, j)...)
		}
		return all
	}, record)
	return err
}

// peerAddr returns the address for datagrams of a process, or an empty string if the process does
// not run. Control services are numbered after the nodes.
func (b *Testbed) peerAddr(number int) string {
	if k := number - len(b.nodes); k >= 0 {
		b.mu.Lock()
		defer b.mu.Unlock()
		if k < len(b.controlServices) {
			return b.controlServices[k].PeerAddr()
		}
		return ""
	}
	b.nodes[number].mu.Lock()
	defer b.nodes[number].mu.Unlock()
	if b.nodes[number].proc == nil {
		return ""
	}
	return b.nodes[number].proc.PeerAddr()
}

// defaultConditions returns the delay and loss of datagrams that no fault impairs.
func (b *Testbed) defaultConditions() link.Conditions {
	return link.Conditions{Delay: b.scenario.Net.PeerDelay.Duration, Loss: b.scenario.Net.PeerLoss}
}

// setImpairments changes the delay and loss of datagrams; nil restores the default.
func (b *Testbed) setImpairments(pairs [][2]int, to *link.Conditions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range pairs {
		if to == nil {
			delete(b.impairments, p)
		} else {
			b.impairments[p] = *to
		}
	}
}

// startNodes configures all nodes and starts, concurrently, those that do not join later.
func (b *Testbed) startNodes(ctx context.Context) error {
	errs := make([]error, len(b.nodes))
	var wg sync.WaitGroup
	for i, n := range b.nodes {
		addr, err := b.hosts.Listen(n.Name)
		if err == nil {
			addr, err = b.discoveryAddr(n.Node, addr)
		}
		if err != nil {
			return err
		}
		var peers []string
		for _, r := range b.relays {
			peers = append(peers, r.Addr())
		}
		if first := b.scenario.InitialNodes(); n.Number < first { // its settings predate the nodes that join later
			peers = peers[:first]
		}
		n.config = nodeconf.Config{Name: n.Name, Listen: "127.0.0.1:0", Discovery: addr, Limits: b.options.Limits,
			PeerListen: "127.0.0.1:0", Peers: peers, PeerBroadcast: b.broadcast.Addr(), Settings: nodeconf.DeploymentSettings(b.scenario, n.Number, b.options.Deployment)}
		if b.scenario.Fleet {
			n.config.Console = "127.0.0.1:0"
		}
		if n.Number < b.scenario.InitialNodes() {
			wg.Go(func() { errs[i] = b.startNode(n) })
		}
	}
	wg.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Join(errs...)
}

// startNode starts a node's next process and registers it, unless one runs already.
func (b *Testbed) startNode(n *node) error {
	b.mu.Lock()
	stopping := b.stopping
	b.mu.Unlock()
	if stopping {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc != nil {
		return nil
	}
	n.incarnation++
	n.config.Seed = fmt.Sprintf("%016x", uint64(b.options.Seed)*1_000_003+uint64(n.Number)*101+uint64(n.incarnation))
	n.config.InitialList = b.hosts.InitialList(n.Name)
	environment, err := b.writeOperatorFile(n.Name)
	if err != nil {
		return err
	}
	if steps := b.clockSteps(n.Node); len(steps) > 0 {
		environment = append(environment, wallclock.StepsVariable+"="+wallclock.FormatSteps(steps))
	}
	options := process.Options{Environment: environment, FaultyCalls: b.faultyCalls(n.Node)}
	if len(options.FaultyCalls) > 0 {
		options.FaultRules = n.callFaults.newRules(b.options.Seed*1_000_003 + int64(n.Number)*101 + int64(n.incarnation))
	}
	proc, err := process.StartNode(b.options.Program, b.dir, n.config, options)
	if err != nil {
		return err
	}
	n.proc, n.stopRequested = proc, false
	n.latest.Store(proc)
	incarnation := n.incarnation
	b.watchers.Go(func() { b.watchProcess(n, proc, incarnation) })
	b.watchers.Go(func() { b.watchMemory(n, proc) })
	if text := proc.PeerAddr(); text != "" { // empty if its settings allow no peers
		at, err := netip.ParseAddrPort(text) // datagrams from any other address are dropped
		if err != nil {
			return fmt.Errorf("%s: address for datagrams: %w", n.Name, err)
		}
		b.senders.Store(at, n.Number)
	}
	b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodeReady, Node: n.Name})
	b.front.Add(caller.Target{Node: n.Name, Addr: proc.Addr, Incarnation: n.incarnation})
	return nil
}

// watchProcess waits for the end of a node's process, collects its error lines and records a crash
// if the lab did not stop the process.
func (b *Testbed) watchProcess(n *node, p *process.Process, incarnation int) {
	<-p.Ended()
	<-p.LogDrained()
	n.mu.Lock()
	crashed := !n.stopRequested && n.incarnation == incarnation
	n.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	crashed = crashed && !b.stopping
	if crashed {
		b.setError(fmt.Errorf("%s crashed: %s", n.Name, strings.Join(p.Log(), "; ")))
		b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodeCrashed, Node: n.Name, Note: strings.Join(p.Log(), "; ")})
	}
	for _, line := range p.ErrorLines() {
		b.errorLines = append(b.errorLines, ErrorLine{Node: n.Name, Line: line})
	}
}

// ErrorLine is a log line in which a node's process reports a broken invariant, a panic or a data race.
type ErrorLine struct{ Node, Line string }

// ErrorLines returns the error lines of processes that have ended; after Close, of all processes.
func (b *Testbed) ErrorLines() []ErrorLine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.errorLines)
}

// Close stops all processes, closes all connections and removes the run's files.
func (b *Testbed) Close() {
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	b.clients.Close()
	for _, n := range b.nodes {
		n.mu.Lock()
		if n.proc != nil {
			n.proc.Kill()
			n.cpuTime += n.proc.FinalCPUTime()
			n.proc = nil
		}
		n.mu.Unlock()
	}
	for _, x := range b.controlServices {
		x.Kill()
	}
	b.watchers.Wait()
	b.hosts.Close()
	for _, l := range b.discoveryLinks {
		l.Close()
	}
	for _, t := range b.slots {
		for _, l := range t.links {
			l.Close()
		}
		t.server.Close()
	}
	for _, u := range append(b.relays, b.broadcast) {
		if u != nil {
			u.Close()
		}
	}
	os.RemoveAll(b.dir)
}
