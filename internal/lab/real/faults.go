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

var blackHole = link.Shape{State: link.BlackHole}

// action is one fault on sockets: what begins it and what ends it.
type action struct{ begin, end func() }

// fault plays one fault of the timeline.
func (h *Testbed) fault(ctx context.Context, f *scenario.Fault) {
	a := h.action(ctx, f)
	if !wait(ctx, f.At.Duration-h.Clock()) {
		return
	}
	h.rec.Add(history.Event{At: h.Clock(), Kind: history.Fault, Note: f.String()})
	if a.begin != nil {
		a.begin()
	}
	over := wait(ctx, f.At.Duration+f.For.Duration-h.Clock())
	if a.end != nil && over {
		a.end()
	}
	h.rec.Add(history.Event{At: h.Clock(), Kind: history.FaultEnd, Note: f.String()})
}

// each does something to every slot that a fault names, all at once.
func (h *Testbed) each(f *scenario.Fault, do func(*slot)) func() {
	servers, _ := h.s.Pick(f.Who)
	var hit []*slot
	for _, t := range h.slots {
		for _, x := range servers {
			if t.Name == x.Name {
				hit = append(hit, t)
			}
		}
	}
	return func() {
		var wg sync.WaitGroup
		for _, t := range hit {
			wg.Go(func() { do(t) })
		}
		wg.Wait()
	}
}

func (h *Testbed) action(ctx context.Context, f *scenario.Fault) action {
	each := func(do func(*slot)) func() { return h.each(f, do) }
	_, nodes := h.s.Pick(f.Who)
	switch f.What {
	case scenario.WhatSilent, scenario.WhatLost:
		return action{each(func(t *slot) { h.silence(ctx, t, f.For.Duration) }), each(h.restart)}
	case scenario.WhatLostNodes:
		silence := each(func(t *slot) { h.silence(ctx, t, f.For.Duration) })
		return action{func() { h.kill(nodes); silence() }, func() { each(h.restart)(); h.startAgain(nodes) }}
	case scenario.WhatHang:
		return action{each(func(t *slot) { t.server.Hang(true) }), each(func(t *slot) { t.server.Hang(false) })}
	case scenario.WhatKill:
		down := each(func(t *slot) {
			t.server.Kill()
			h.list(t, hosts.Removed)
		})
		return action{func() { h.kill(nodes); down() }, func() { each(h.restart)(); h.startAgain(nodes) }}
	case scenario.WhatTerm:
		return action{begin: func() { h.term(ctx, nodes) }, end: func() { h.startAgain(nodes) }}
	case scenario.WhatDrain:
		return action{each(func(t *slot) { h.list(t, hosts.Draining) }), each(func(t *slot) { h.list(t, hosts.Up) })}
	case scenario.WhatReplace:
		return action{each(h.takeAway), each(h.putNew)}
	case scenario.WhatLink:
		return action{h.setLinks(f.Who, link.Shape{Delay: f.Delay.Duration, Loss: f.Loss, State: link.State(f.State)}),
			h.setLinks(f.Who, link.Shape{})}
	case scenario.WhatSpoil:
		return action{each(func(t *slot) {
			h.mu.Lock()
			rng := rand.New(rand.NewPCG(h.rng.Uint64(), 1))
			h.mu.Unlock()
			t.server.Spoil(func() bool { return rng.Float64() < f.Part })
		}), each(func(t *slot) { t.server.Spoil(nil) })}
	case scenario.WhatOutage:
		return action{func() { h.hosts.SetDown(true) }, func() { h.hosts.SetDown(false) }}
	case scenario.WhatLag:
		lag := h.s.Hosts.Lag.Duration
		return action{func() { h.hosts.SetLag(lag + f.Delay.Duration) }, func() { h.hosts.SetLag(lag) }}
	case scenario.WhatStop, scenario.WhatHold:
		return h.standStill(nodes)
	case scenario.WhatNoFiles:
		return h.takeDescriptors(nodes)
	case scenario.WhatCalls:
		return h.failCalls(f, nodes)
	case scenario.WhatReload:
		return action{begin: func() { h.reload(nodes) }}
	case scenario.WhatMute:
		return action{begin: func() { h.hosts.HangWaitingCalls(names(nodes)) }}
	case scenario.WhatClock: // each process is told at its start
		return action{}
	case scenario.WhatIdle:
		return action{begin: each(func(t *slot) { t.server.CloseIdle() })}
	case scenario.WhatCut:
		set := func(state link.State) func() {
			return func() {
				for _, n := range nodes {
					h.fail(h.cuts[n.Name].Set(link.Shape{State: state}))
				}
			}
		}
		return action{set(link.BlackHole), set(link.Open)}
	case scenario.WhatPeers:
		usual := h.usualWay()
		bad := link.Shape{Delay: usual.Delay + f.Delay.Duration, Loss: max(usual.Loss, f.Loss), State: link.State(f.State), Jitter: f.Jitter.Duration, Double: f.Double}
		return action{func() { h.setWays(h.s.Ways(f), &bad) }, func() { h.setWays(h.s.Ways(f), nil) }}
	case scenario.WhatSplit:
		return action{func() { h.setWays(h.s.Ways(f), &blackHole) }, func() { h.setWays(h.s.Ways(f), nil) }}
	case scenario.WhatJoin:
		return action{begin: func() { h.startAgain(nodes) }}
	case scenario.WhatLeave:
		return action{begin: func() {
			h.term(ctx, nodes)
			go func() { // they have ended well before the run does
				if wait(ctx, h.lifeTime()) {
					h.gone(nodes)
				}
			}()
		}}
	case scenario.WhatForget:
		return action{begin: func() { h.hosts.Restart(1) }}
	case scenario.WhatFlap:
		stop := make(chan struct{})
		var flapping sync.WaitGroup
		return action{each(func(t *slot) { flapping.Go(func() { h.flap(t, f.Every.Duration, stop) }) }),
			func() { close(stop); flapping.Wait(); each(func(t *slot) { h.list(t, hosts.Up) })() }}
	}
	return action{} // heavy requests and slow readers come with the load
}

// standStill has the processes that nodes have just then stand still, and go on. It waits
// for nobody: one that is being restarted may stand still as well.
func (h *Testbed) standStill(nodes []scenario.Node) action {
	stopped := map[string]*process.Process{}
	return action{func() {
		for _, x := range nodes {
			if p := h.nodes[x.Number].live.Load(); p != nil {
				p.Pause()
				stopped[x.Name] = p
				h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeStop, Node: x.Name})
			}
		}
	}, func() {
		for name, p := range stopped {
			p.Resume()
			h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeCont, Node: name})
		}
	}}
}

// takeDescriptors keeps processes from opening anything, by their limit of descriptors.
func (h *Testbed) takeDescriptors(nodes []scenario.Node) action {
	var limited []*process.Process
	return action{func() {
		for _, x := range nodes {
			if p := h.nodes[x.Number].live.Load(); p != nil && p.SetDescriptorLimit(0) == nil {
				limited = append(limited, p)
				h.rec.Add(history.Event{At: h.Clock(), Kind: history.NoFiles, Node: x.Name})
			}
		}
	}, func() {
		for _, p := range limited {
			p.SetDescriptorLimit(process.MaxDescriptors)
		}
	}}
}

// list lets discovery learn of a slot's server, late as it is.
func (h *Testbed) list(t *slot, lifecycle string) {
	h.mu.Lock()
	t.state = map[string]string{hosts.Draining: "draining"}[lifecycle]
	e := h.entry(t, lifecycle)
	h.mu.Unlock()
	h.hosts.Set(e)
}

func (h *Testbed) silence(ctx context.Context, t *slot, length time.Duration) {
	h.fail(t.server.Silence())
	h.mu.Lock()
	life := t.life
	h.mu.Unlock()
	if length <= silentNotice {
		return
	}
	go func() {
		if !wait(ctx, silentNotice) {
			return
		}
		h.mu.Lock()
		same := t.life == life && !h.stopping
		h.mu.Unlock()
		if same {
			h.list(t, hosts.Removed)
		}
	}()
}

// restart begins a new, cold process at a slot.
func (h *Testbed) restart(t *slot) {
	h.mu.Lock()
	t.life++
	t.start = h.Clock()
	h.mu.Unlock()
	h.fail(t.server.Start(true))
	h.list(t, hosts.Up)
}

// takeAway ends a slot's server for good.
func (h *Testbed) takeAway(t *slot) {
	h.list(t, hosts.Removed)
	h.mu.Lock()
	t.id = fmt.Sprintf("%s-r%d", t.Name, t.life+1)
	h.byID[t.id] = t
	h.mu.Unlock()
	m, err := h.model(t)
	if err != nil {
		h.fail(err)
		return
	}
	t.server.Replace(m)
}

// putNew starts the new one at its addresses.
func (h *Testbed) putNew(t *slot) { h.restart(t) }

func (h *Testbed) flap(t *slot, every time.Duration, stop <-chan struct{}) {
	for up := false; ; up = !up {
		lifecycle := hosts.Removed
		if up {
			lifecycle = hosts.Up
		}
		h.mu.Lock()
		e := h.entry(t, lifecycle)
		h.mu.Unlock()
		h.hosts.SetNow(e)
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
	}
}

// setLinks changes all ways that a fault's names mean, at once: one that turns into a black hole takes a while.
func (h *Testbed) setLinks(who []string, to link.Shape) func() {
	return func() {
		var all sync.WaitGroup
		for _, p := range h.pairs(who) {
			all.Go(func() { h.fail(p.slot.links[p.node].Set(to)) })
		}
		all.Wait()
	}
}

// kill ends nodes by SIGKILL, all at once. The front notices later.
func (h *Testbed) kill(nodes []scenario.Node) {
	var all sync.WaitGroup
	for _, x := range nodes {
		all.Go(func() { h.killOne(h.nodes[x.Number]) })
	}
	all.Wait()
}

func (h *Testbed) killOne(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc == nil {
		return
	}
	n.told = true
	h.front.Killed(n.Name, n.life)
	h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeKilled, Node: n.Name})
	n.proc.Kill()
	n.cpu += n.proc.FinalCPUTime()
	n.proc = nil
	life := n.life
	time.AfterFunc(frontNotice, func() { h.front.Down(n.Name, life) })
}

// term is the word of a planned restart. A process that still runs when its time is up
// is killed, as early as the platform may.
func (h *Testbed) term(ctx context.Context, nodes []scenario.Node) {
	for _, x := range nodes {
		n := h.nodes[x.Number]
		n.mu.Lock()
		if p := n.proc; p != nil {
			h.sendLate(n)
			h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeTerm, Node: n.Name})
			n.told = true
			p.Terminate()
			life := n.life
			time.AfterFunc(comingTime, func() { h.front.Down(n.Name, life) }) // connections still come for a while
			kill := time.AfterFunc(h.lifeTime(), func() {
				h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeOver, Node: n.Name})
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

// sendLate sends requests to a process that is told to end, on connections that it has and on
// new ones. The caller holds the node's lock.
func (h *Testbed) sendLate(n *node) {
	if h.s.Client.Late == 0 {
		return
	}
	place := caller.Place{Node: n.Name, Addr: n.proc.Addr, Life: n.life}
	h.mu.Lock()
	seed := h.rng.Int64()
	h.mu.Unlock()
	h.pending.Add(1)
	go func() {
		defer h.pending.Done()
		h.clients.Ending(place, h.o.Deployment.Classes, h.s.Client.Late, h.lifeTime(), seed)
	}()
}

// The protocol page's figures of a planned restart. They are worded here once more, and not
// taken from the program that is under test.
const (
	killMargin      = 700 * time.Millisecond // SIGKILL comes this and the longest deadline after SIGTERM
	longestDeadline = 3 * time.Second        // of a deadline that counts for it
)

// lifeTime is how long after SIGTERM a process lives at the least.
func (h *Testbed) lifeTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range h.o.Deployment.Classes {
		longest = max(longest, c.Deadline)
	}
	return killMargin + min(longest, longestDeadline)
}

// reload gives nodes a new configuration, with another address of discovery.
func (h *Testbed) reload(nodes []scenario.Node) {
	for _, x := range nodes {
		n := h.nodes[x.Number]
		n.mu.Lock()
		if n.proc != nil && !n.told {
			addr, err := h.hosts.Listen(n.Name)
			if err == nil {
				n.conf.Discovery = addr
				err = n.proc.Reload(h.dir, n.conf)
			}
			h.fail(err)
			h.rec.Add(history.Event{At: h.Clock(), Kind: history.Reloaded, Node: n.Name})
		}
		n.mu.Unlock()
	}
}

func names(nodes []scenario.Node) (out []string) {
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	return out
}

// gone takes nodes that were told to end for ended.
func (h *Testbed) gone(nodes []scenario.Node) {
	for _, x := range nodes {
		n := h.nodes[x.Number]
		n.mu.Lock()
		h.end(n)
		n.mu.Unlock()
	}
}

// end waits for a node's process that was told to end: it ends, or is killed when its
// time is up, which the history then shows. The caller holds the node's lock.
func (h *Testbed) end(n *node) {
	p := n.proc
	if p == nil || !n.told {
		return
	}
	<-p.Ended()
	h.rec.Add(history.Event{At: h.Clock(), Kind: history.NodeEnded, Node: n.Name})
	n.cpu += p.FinalCPUTime()
	n.proc = nil
}

// startAgain starts nodes anew. One that was told to end has ended first.
func (h *Testbed) startAgain(nodes []scenario.Node) {
	for _, x := range nodes {
		n := h.nodes[x.Number]
		n.mu.Lock()
		h.end(n)
		n.mu.Unlock()
		h.fail(h.startNode(n)) // unless it runs already
	}
}
