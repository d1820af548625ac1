package real

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ivylock/internal/lab/caller"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/link"
	"ivylock/internal/lab/process"
	"ivylock/internal/lab/scenario"
)

var blackHole = link.Conditions{State: link.BlackHole}

// action applies a fault and reverts it. Either function may be nil.
type action struct{ begin, end func() }

// runFault applies one fault of the timeline at its time and reverts it at its end.
func (b *Testbed) runFault(ctx context.Context, f *scenario.Fault) {
	a := b.newAction(ctx, f)
	if !sleep(ctx, f.At.Duration-b.Clock()) {
		return
	}
	b.recorder.Add(history.Event{At: b.Clock(), Kind: history.FaultStarted, Note: f.String()})
	if a.begin != nil {
		a.begin()
	}
	elapsed := sleep(ctx, f.At.Duration+f.For.Duration-b.Clock())
	if a.end != nil && elapsed {
		a.end()
	}
	b.recorder.Add(history.Event{At: b.Clock(), Kind: history.FaultEnded, Note: f.String()})
}

// forEachSlot returns a function that calls do concurrently for every slot that a fault names, and waits.
func (b *Testbed) forEachSlot(f *scenario.Fault, do func(*slot)) func() {
	servers, _ := b.scenario.Select(f.Targets)
	var selected []*slot
	for _, t := range b.slots {
		for _, x := range servers {
			if t.Name == x.Name {
				selected = append(selected, t)
			}
		}
	}
	return func() {
		var wg sync.WaitGroup
		for _, t := range selected {
			wg.Go(func() { do(t) })
		}
		wg.Wait()
	}
}

// newAction returns the action of a fault.
func (b *Testbed) newAction(ctx context.Context, f *scenario.Fault) action {
	each := func(do func(*slot)) func() { return b.forEachSlot(f, do) }
	_, nodes := b.scenario.Select(f.Targets)
	switch f.Kind {
	case scenario.FaultSilent, scenario.FaultZoneLost:
		return action{each(func(t *slot) { b.silenceServer(ctx, t, f.For.Duration) }), each(b.restartServer)}
	case scenario.FaultZoneAndNodesLost:
		isolate := each(func(t *slot) { b.silenceServer(ctx, t, f.For.Duration) })
		return action{func() { b.killNodes(nodes); isolate() }, func() { each(b.restartServer)(); b.restartNodes(nodes) }}
	case scenario.FaultHang:
		return action{each(func(t *slot) { t.server.SetHung(true) }), each(func(t *slot) { t.server.SetHung(false) })}
	case scenario.FaultKill:
		down := each(func(t *slot) {
			t.server.Kill()
			b.announce(t, hosts.Removed)
		})
		return action{func() { b.killNodes(nodes); down() }, func() { each(b.restartServer)(); b.restartNodes(nodes) }}
	case scenario.FaultRestart:
		return action{begin: func() { b.terminateNodes(ctx, nodes) }, end: func() { b.restartNodes(nodes) }}
	case scenario.FaultDrain:
		return action{each(func(t *slot) { b.announce(t, hosts.Draining) }), each(func(t *slot) { b.announce(t, hosts.Up) })}
	case scenario.FaultReplace:
		return action{each(b.removeServer), each(b.startReplacement)}
	case scenario.FaultLink:
		return action{b.setLinks(f.Targets, link.Conditions{Delay: f.Delay.Duration, Loss: f.Loss, State: link.State(f.State)}),
			b.setLinks(f.Targets, link.Conditions{})}
	case scenario.FaultCorrupt:
		return action{each(func(t *slot) {
			b.mu.Lock()
			rng := rand.New(rand.NewPCG(b.rng.Uint64(), 1))
			b.mu.Unlock()
			t.server.CorruptAnswers(func() bool { return rng.Float64() < f.Fraction })
		}), each(func(t *slot) { t.server.CorruptAnswers(nil) })}
	case scenario.FaultLateBody:
		return action{each(func(t *slot) {
			b.mu.Lock()
			rng := rand.New(rand.NewPCG(b.rng.Uint64(), 1))
			b.mu.Unlock()
			t.server.DelayBodies(func() time.Duration {
				if rng.Float64() >= f.Fraction {
					return 0
				}
				return f.Delay.Duration
			})
		}), each(func(t *slot) { t.server.DelayBodies(nil) })}
	case scenario.FaultDiscoveryOutage:
		return action{func() { b.hosts.SetDown(true) }, func() { b.hosts.SetDown(false) }}
	case scenario.FaultDiscoveryDelay:
		lag := b.scenario.Discovery.NotificationDelay.Duration
		return action{func() { b.hosts.SetLag(lag + f.Delay.Duration) }, func() { b.hosts.SetLag(lag) }}
	case scenario.FaultPause, scenario.FaultBriefPause:
		return b.pauseProcesses(nodes)
	case scenario.FaultNoDescriptors:
		return b.exhaustDescriptors(nodes)
	case scenario.FaultSystemCalls:
		return b.failCalls(f, nodes)
	case scenario.FaultReload:
		return action{begin: func() { b.reloadNodes(nodes) }}
	case scenario.FaultWatchSilent:
		return action{begin: func() { b.hosts.HangWaitingCalls(nodeNames(nodes)) }}
	case scenario.FaultClockStep: // startNode passes the steps to each process
		return action{}
	case scenario.FaultIdleClose:
		return action{begin: each(func(t *slot) { t.server.CloseIdle() })}
	case scenario.FaultDiscoveryCut:
		set := func(state link.State) func() {
			return func() {
				for _, n := range nodes {
					b.setError(b.discoveryLinks[n.Name].Set(link.Conditions{State: state}))
				}
			}
		}
		return action{set(link.BlackHole), set(link.Open)}
	case scenario.FaultPeerLinks:
		usual := b.defaultConditions()
		bad := link.Conditions{Delay: usual.Delay + f.Delay.Duration, Loss: max(usual.Loss, f.Loss), State: link.State(f.State), Jitter: f.Jitter.Duration, DuplicateFraction: f.DuplicateFraction}
		return action{func() { b.setImpairments(b.scenario.PeerPaths(f), &bad) }, func() { b.setImpairments(b.scenario.PeerPaths(f), nil) }}
	case scenario.FaultPartition:
		return action{func() { b.setImpairments(b.scenario.PeerPaths(f), &blackHole) }, func() { b.setImpairments(b.scenario.PeerPaths(f), nil) }}
	case scenario.FaultJoin:
		return action{begin: func() { b.restartNodes(nodes) }}
	case scenario.FaultLeave:
		return action{begin: func() {
			b.terminateNodes(ctx, nodes)
			go func() { // they end long before the run does
				if sleep(ctx, b.shutdownTimeout()) {
					b.reapNodes(nodes)
				}
			}()
		}}
	case scenario.FaultDiscoveryRestart:
		return action{begin: func() { b.hosts.Restart(1) }}
	case scenario.FaultFlap:
		stop := make(chan struct{})
		var flapping sync.WaitGroup
		return action{each(func(t *slot) { flapping.Go(func() { b.flapServer(t, f.Interval.Duration, stop) }) }),
			func() { close(stop); flapping.Wait(); each(func(t *slot) { b.announce(t, hosts.Up) })() }}
	}
	return action{} // package load generates heavy requests and slow readers
}

// pauseProcesses returns the action that pauses and resumes the nodes' latest processes. It takes no
// node's lock, so a process that is starting or stopping may be paused as well.
func (b *Testbed) pauseProcesses(nodes []scenario.Node) action {
	paused := map[string]*process.Process{}
	return action{func() {
		for _, x := range nodes {
			if p := b.nodes[x.Number].latest.Load(); p != nil {
				p.Pause()
				paused[x.Name] = p
				b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodePaused, Node: x.Name})
			}
		}
	}, func() {
		for name, p := range paused {
			p.Resume()
			b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodeResumed, Node: name})
		}
	}}
}

// exhaustDescriptors returns the action that keeps processes from opening descriptors, by a limit of 0.
func (b *Testbed) exhaustDescriptors(nodes []scenario.Node) action {
	var limited []*process.Process
	return action{func() {
		for _, x := range nodes {
			if p := b.nodes[x.Number].latest.Load(); p != nil && p.SetDescriptorLimit(0) == nil {
				limited = append(limited, p)
				b.recorder.Add(history.Event{At: b.Clock(), Kind: history.DescriptorsExhausted, Node: x.Name})
			}
		}
	}, func() {
		for _, p := range limited {
			p.SetDescriptorLimit(process.MaxDescriptors)
		}
	}}
}

// announce changes the lifecycle of a slot's server at discovery, which publishes it with its delay.
func (b *Testbed) announce(t *slot, lifecycle string) {
	b.mu.Lock()
	t.state = map[string]string{hosts.Draining: "draining"}[lifecycle]
	e := b.listEntry(t, lifecycle)
	b.mu.Unlock()
	b.hosts.Set(e)
}

// silenceServer makes a server unreachable. Discovery removes it if that lasts for long.
func (b *Testbed) silenceServer(ctx context.Context, t *slot, length time.Duration) {
	b.setError(t.server.Isolate())
	b.mu.Lock()
	incarnation := t.incarnation
	b.mu.Unlock()
	if length <= unreachableNotice {
		return
	}
	go func() {
		if !sleep(ctx, unreachableNotice) {
			return
		}
		b.mu.Lock()
		same := t.incarnation == incarnation && !b.stopping
		b.mu.Unlock()
		if same {
			b.announce(t, hosts.Removed)
		}
	}()
}

// restartServer starts a new, cold server process in a slot.
func (b *Testbed) restartServer(t *slot) {
	b.mu.Lock()
	t.incarnation++
	t.startedAt = b.Clock()
	b.mu.Unlock()
	b.setError(t.server.Start(true))
	b.announce(t, hosts.Up)
}

// removeServer stops a slot's server for good and gives the slot the ID of its replacement.
func (b *Testbed) removeServer(t *slot) {
	b.announce(t, hosts.Removed)
	b.mu.Lock()
	t.id = fmt.Sprintf("%s-r%d", t.Name, t.incarnation+1)
	b.slotsByID[t.id] = t
	b.mu.Unlock()
	m, err := b.newModel(t)
	if err != nil {
		b.setError(err)
		return
	}
	t.server.Replace(m)
}

// startReplacement starts the new server of a slot.
func (b *Testbed) startReplacement(t *slot) { b.restartServer(t) }

// flapServer removes and adds a slot's server at discovery in turns, without discovery's delay.
func (b *Testbed) flapServer(t *slot, every time.Duration, stop <-chan struct{}) {
	for up := false; ; up = !up {
		lifecycle := hosts.Removed
		if up {
			lifecycle = hosts.Up
		}
		b.mu.Lock()
		e := b.listEntry(t, lifecycle)
		b.mu.Unlock()
		b.hosts.SetNow(e)
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
	}
}

// setLinks returns a function that changes the links of all routes that a fault's names select. It
// does so concurrently, as a change to a black hole takes a while.
func (b *Testbed) setLinks(targets []string, to link.Conditions) func() {
	return func() {
		var all sync.WaitGroup
		for _, p := range b.routes(targets) {
			all.Go(func() { b.setError(p.slot.links[p.node].Set(to)) })
		}
		all.Wait()
	}
}

// killNodes sends SIGKILL to the processes of nodes, concurrently. The clients' load balancer notices
// it later.
func (b *Testbed) killNodes(nodes []scenario.Node) {
	var all sync.WaitGroup
	for _, x := range nodes {
		all.Go(func() { b.killNode(b.nodes[x.Number]) })
	}
	all.Wait()
}

func (b *Testbed) killNode(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc == nil {
		return
	}
	n.stopRequested = true
	b.front.MarkKilled(n.Name, n.incarnation)
	b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodeKilled, Node: n.Name})
	n.proc.Kill()
	n.cpuTime += n.proc.FinalCPUTime()
	n.proc = nil
	incarnation := n.incarnation
	time.AfterFunc(frontNoticeDelay, func() { b.front.Remove(n.Name, incarnation) })
}

// terminateNodes sends SIGTERM to the processes of nodes, as for a planned restart. It kills a process
// that outlives the shutdown timeout, the earliest time at which the platform may send SIGKILL.
func (b *Testbed) terminateNodes(ctx context.Context, nodes []scenario.Node) {
	for _, x := range nodes {
		n := b.nodes[x.Number]
		n.mu.Lock()
		if p := n.proc; p != nil {
			b.sendLateRequests(n)
			b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodeTerminating, Node: n.Name})
			n.stopRequested = true
			p.Terminate()
			b.repeatSignals(p)
			incarnation := n.incarnation
			time.AfterFunc(acceptAfterTerm, func() { b.front.Remove(n.Name, incarnation) })
			kill := time.AfterFunc(b.shutdownTimeout(), func() {
				b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodeForceKilled, Node: n.Name})
				p.Kill()
			})
			go func() {
				<-p.Ended()
				kill.Stop()
			}()
		}
		n.mu.Unlock()
	}
}

// sendLateRequests sends requests to a process that is about to be sent SIGTERM, on open connections
// and on new ones. The caller holds the node's lock.
func (b *Testbed) sendLateRequests(n *node) {
	if b.scenario.Client.LateConnections == 0 {
		return
	}
	target := caller.Target{Node: n.Name, Addr: n.proc.Addr, Incarnation: n.incarnation}
	b.mu.Lock()
	seed := b.rng.Int64()
	b.mu.Unlock()
	b.pending.Add(1)
	go func() {
		defer b.pending.Done()
		b.clients.SendDuringShutdown(target, b.options.Deployment.Classes, b.scenario.Client.LateConnections, b.shutdownTimeout(), seed)
	}()
}

// The protocol's times of a planned restart. They are repeated here, as the lab must not take them
// from the program under test.
const (
	killMargin      = 700 * time.Millisecond // from the end of the longest deadline to SIGKILL
	longestDeadline = 3 * time.Second        // longer deadlines of classes don't delay SIGKILL further
)

// shutdownTimeout is the time from SIGTERM to SIGKILL.
func (b *Testbed) shutdownTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range b.options.Deployment.Classes {
		longest = max(longest, c.Deadline)
	}
	return killMargin + min(longest, longestDeadline)
}

// reloadNodes gives running nodes a new configuration, with another address of discovery.
func (b *Testbed) reloadNodes(nodes []scenario.Node) {
	for _, x := range nodes {
		n := b.nodes[x.Number]
		n.mu.Lock()
		if n.proc != nil && !n.stopRequested {
			addr, err := b.hosts.Listen(n.Name)
			if err == nil {
				n.config.Discovery = addr
				err = n.proc.Reload(b.dir, n.config)
			}
			b.setError(err)
			b.recorder.Add(history.Event{At: b.Clock(), Kind: history.ConfigReloaded, Node: n.Name})
		}
		n.mu.Unlock()
	}
}

func nodeNames(nodes []scenario.Node) (out []string) {
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	return out
}

// reapNodes waits for the end of those processes of nodes that were sent SIGTERM.
func (b *Testbed) reapNodes(nodes []scenario.Node) {
	for _, x := range nodes {
		n := b.nodes[x.Number]
		n.mu.Lock()
		b.reapNode(n)
		n.mu.Unlock()
	}
}

// reapNode waits for the end of a node's process if it was sent SIGTERM. The process exits by itself or
// is killed at the shutdown timeout. The caller holds the node's lock.
func (b *Testbed) reapNode(n *node) {
	p := n.proc
	if p == nil || !n.stopRequested {
		return
	}
	<-p.Ended()
	b.recorder.Add(history.Event{At: b.Clock(), Kind: history.NodeExited, Node: n.Name})
	n.cpuTime += p.FinalCPUTime()
	n.proc = nil
}

// restartNodes starts the next processes of nodes, after those that were sent SIGTERM have ended.
func (b *Testbed) restartNodes(nodes []scenario.Node) {
	for _, x := range nodes {
		n := b.nodes[x.Number]
		n.mu.Lock()
		b.reapNode(n)
		n.mu.Unlock()
		b.setError(b.startNode(n))
	}
}
