package real

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ivylock/internal/lab/alarm"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/load"
)

// Run plays the load and the timeline and returns the history. If ctx ends it returns early with
// ctx's error and the history up to then.
func (b *Testbed) Run(ctx context.Context) (*history.History, error) {
	now := time.Now()
	b.startTime = now
	b.clockStart.Store(&now)
	var faults sync.WaitGroup
	for i := range b.scenario.Faults {
		f := &b.scenario.Faults[i]
		faults.Go(func() { b.runFault(ctx, f) })
	}
	stopCrowd := b.startCrowd(ctx)
	b.playLoad(ctx, load.NewDeploymentStream(b.scenario, b.options.Deployment, b.options.Seed))
	faults.Wait()
	stopCrowd()
	b.pending.Wait()
	if ctx.Err() == nil {
		sleep(ctx, b.scenario.End()-b.Clock()) // the last fault may end after the load
	}
	events, dropped := b.recorder.Snapshot()
	b.mu.Lock()
	out := &history.History{Setup: b.setup, Events: events}
	b.mu.Unlock()
	if err := b.firstErr.Load(); err != nil {
		return out, *err
	}
	if dropped > 0 {
		return out, fmt.Errorf("%d events beyond the maximum of %d were dropped: the history is incomplete; shorten the scenario", dropped, history.MaxEvents)
	}
	return out, ctx.Err()
}

// setError stores an error of the lab itself, unless it has one already.
func (b *Testbed) setError(err error) {
	if err != nil {
		b.firstErr.CompareAndSwap(nil, &err)
	}
}

// sleep waits for a duration. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// preciseSleep is the end of the wait for an order's time, which uses a precise timer and ignores the
// context.
const preciseSleep = 100 * time.Millisecond

// playLoad starts each order at its time, whether or not earlier ones have finished (open loop).
func (b *Testbed) playLoad(ctx context.Context, st *load.Stream) {
	open := make(chan struct{}, maxOrders)
	for {
		o, more := st.Next()
		if !more {
			return
		}
		d := o.At - b.Clock()
		if d > preciseSleep && !sleep(ctx, d-preciseSleep) || ctx.Err() != nil {
			return
		}
		alarm.Sleep(o.At - b.Clock())
		select {
		case open <- struct{}{}:
		default:
			b.mu.Lock()
			b.throttled++
			b.mu.Unlock()
			open <- struct{}{}
		}
		b.mu.Lock()
		b.sendDelays = append(b.sendDelays, b.Clock()-o.At)
		b.mu.Unlock()
		b.pending.Add(1)
		go func() {
			defer b.pending.Done()
			b.clients.Send(&o)
			<-open
		}()
	}
}

// LabStats are measures of the lab itself: whether it kept up with the load.
type LabStats struct {
	LateP50, LateP99 time.Duration // delay of orders against their planned time
	Waited           int           // orders that waited as maxOrders were open
	NodeCPU          time.Duration // processor time of all node processes; complete after Close
	Resent           int           // requests repeated as the node had closed the connection
	Dialled          int           // connections that clients opened
}

// LabStats returns the measures of the lab itself.
func (b *Testbed) LabStats() LabStats {
	b.mu.Lock()
	delays := append([]time.Duration(nil), b.sendDelays...)
	o := LabStats{Waited: b.throttled}
	b.mu.Unlock()
	o.LateP50, o.LateP99 = judge.Quantile(delays, 0.5), judge.Quantile(delays, 0.99)
	st := b.clients.Stats()
	o.Resent, o.Dialled = st.Resent, st.Dialled
	for _, n := range b.nodes {
		n.mu.Lock()
		o.NodeCPU += n.cpuTime
		n.mu.Unlock()
	}
	return o
}

// LateRequests returns how many requests were sent on connections of nodes that had been sent
// SIGTERM, and how many of these met an unused connection that the node was just closing.
func (b *Testbed) LateRequests() (late, closeRaces int) {
	st := b.clients.Stats()
	return st.LateRequests, st.CloseRaces
}

// ServerStatus is the state of a server for display.
type ServerStatus struct {
	Name, Zone, Kind, State string
	Active, Waiting         int
	WarmRatio               float64 // capacity as a fraction of the warm server's
}

// ServerStatuses returns the state of all servers.
func (b *Testbed) ServerStatuses() []ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServerStatus
	for _, t := range b.slots {
		state, active, waiting, warmRatio := t.server.Status()
		r := ServerStatus{Name: t.id, Zone: t.Zone, Kind: t.Kind, State: t.state, Active: active, Waiting: waiting, WarmRatio: warmRatio}
		switch {
		case state == clip.Down:
			r.State = "down"
		case state == clip.Isolated:
			r.State = "silent"
		case state == clip.Hung:
			r.State = "hung"
		}
		out = append(out, r)
	}
	return out
}
