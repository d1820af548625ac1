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

// Run plays the load and the timeline and gives the history. It returns early
// with ctx's error if ctx ends; the history up to there is still good.
func (h *Testbed) Run(ctx context.Context) (*history.History, error) {
	now := time.Now()
	h.unix = now
	h.base.Store(&now)
	var faults sync.WaitGroup
	for i := range h.s.Faults {
		f := &h.s.Faults[i]
		faults.Go(func() { h.fault(ctx, f) })
	}
	h.play(ctx, load.NewStreamOf(h.s, h.o.Deployment, h.o.Seed))
	faults.Wait()
	h.pending.Wait()
	if ctx.Err() == nil {
		wait(ctx, h.s.End()-h.Clock()) // a scenario ends with its last fault
	}
	events, dropped := h.rec.Take()
	h.mu.Lock()
	out := &history.History{Setup: h.setup, Events: events}
	h.mu.Unlock()
	if err := h.failed.Load(); err != nil {
		return out, *err
	}
	if dropped > 0 {
		return out, fmt.Errorf("%d events over the bound of %d: the history is not whole; shorten the scenario", dropped, history.MaxEvents)
	}
	return out, ctx.Err()
}

// fail notes the first thing that the lab itself could not do.
func (h *Testbed) fail(err error) {
	if err != nil {
		h.failed.CompareAndSwap(nil, &err)
	}
}

// wait sleeps unless ctx ends; it tells whether it slept.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// long is a wait that must end with the run.
const long = 100 * time.Millisecond

// play sends the orders at their times, whatever became of those before.
func (h *Testbed) play(ctx context.Context, st *load.Stream) {
	room := make(chan struct{}, maxOrders)
	for {
		o, more := st.Next()
		if !more {
			return
		}
		d := o.At - h.Clock()
		if d > long && !wait(ctx, d-long) || ctx.Err() != nil {
			return
		}
		alarm.Sleep(o.At - h.Clock()) // to a fraction of a millisecond
		select {
		case room <- struct{}{}:
		default:
			h.mu.Lock()
			h.waited++
			h.mu.Unlock()
			room <- struct{}{}
		}
		h.mu.Lock()
		h.late = append(h.late, h.Clock()-o.At)
		h.mu.Unlock()
		h.pending.Add(1)
		go func() {
			defer h.pending.Done()
			h.clients.Order(&o)
			<-room
		}()
	}
}

// LabStats tells how well the lab itself kept up.
type LabStats struct {
	LateP50, LateP99 time.Duration // orders sent after their time
	Waited           int           // orders that had to wait for the lab's bound
	NodeCPU          time.Duration // of all node processes, once Close is done
	Resent           int           // requests on connections that a node had closed
	Dialled          int
}

// LabStats gives the lab's own figures.
func (h *Testbed) LabStats() LabStats {
	h.mu.Lock()
	late := append([]time.Duration(nil), h.late...)
	o := LabStats{Waited: h.waited}
	h.mu.Unlock()
	o.LateP50, o.LateP99 = judge.Quantile(late, 0.5), judge.Quantile(late, 0.99)
	st := h.clients.Stats()
	o.Resent, o.Dialled = st.Resent, st.Dialled
	for _, n := range h.nodes {
		n.mu.Lock()
		o.NodeCPU += n.cpu
		n.mu.Unlock()
	}
	return o
}

// LateRequests tells how many requests were sent on connections of nodes that were told to end,
// and how many of them crossed the end of an unused connection.
func (h *Testbed) LateRequests() (late, crossed int) {
	st := h.clients.Stats()
	return st.Late, st.Crossed
}

// ServerStatus is a server as a screen shows it.
type ServerStatus struct {
	Name, Zone, Kind, State string
	Active, Waiting         int
	WarmRatio               float64 // of its capacity
}

// ServerStatuses gives all servers.
func (h *Testbed) ServerStatuses() []ServerStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ServerStatus
	for _, t := range h.slots {
		st, active, waiting, part := t.server.Look()
		r := ServerStatus{Name: t.id, Zone: t.Hall, Kind: t.Kind, State: t.state, Active: active, Waiting: waiting, WarmRatio: part}
		switch {
		case st == clip.Down:
			r.State = "down"
		case st == clip.Silent:
			r.State = "silent"
		case st == clip.Hung:
			r.State = "hung"
		}
		out = append(out, r)
	}
	return out
}
