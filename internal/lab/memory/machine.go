package memory

import (
	"fmt"
	"time"

	"ivylock/balance"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/scenario"
)

// machine is a clip server process under its id on the list, at an address. A
// replacement has the address of the one before it.
type machine struct {
	scenario.Server
	id        balance.ServerID
	w         *world
	model     *clip.Server
	startedAt time.Duration // 0: long ago
	life      int           // counts processes: a connection belongs to one
	silent    bool
	next      *machine // it was replaced: its address leads there
	armed     uint64   // the latest plan for its next end of a job
	out       map[uint64]*attempt
	order     []uint64 // of out, for a stable order
	spoil     float64
}

// addServer adds one that has run for long.
func (w *world) addServer(x scenario.Server) {
	c := w.newMachine(x)
	w.record(c.model.Start(w.now, false))
	w.list(c, hosts.Up, 0)
}

func (w *world) newMachine(x scenario.Server) *machine {
	m, err := clip.Of(x.Kind)
	if err != nil {
		panic(err) // the scenario was checked
	}
	r := clip.SpeedRange[x.Kind]
	m.Speed = r[0] + (r[1]-r[0])*w.rng.Float64()
	pod, window := x.Pod, w.setup.Limits.KeyWindow
	if common := w.deploy.Common(); common > 0 {
		pod, window = -1, common
	}
	if w.pods[pod] == nil {
		w.pods[pod] = clip.NewPod(window)
	}
	l := w.setup.Limits
	c := &machine{Server: x, id: balance.ServerID(len(w.machines) + 1), w: w, out: map[uint64]*attempt{},
		model: clip.NewServer(x.Name, m, clip.Fall{Factor: l.FallFactor, Time: l.FallTime, Spare: l.FallSpare}, w.pods[pod])}
	c.model.Begun = func(b clip.Started) {
		kind := history.Run
		if b.Repeat {
			kind = history.Repeat
		}
		w.record(history.Event{Kind: kind, Try: b.Try, Server: x.Name, Work: b.Work, Key: b.Key})
	}
	w.machines = append(w.machines, c)
	w.byName[x.Name] = c
	w.setup.Servers = append(w.setup.Servers, history.Server{Name: x.Name, Hall: x.Hall, Kind: x.Kind, Pod: x.Pod})
	return c
}

// entry words the machine for the list.
func (c *machine) entry(lifecycle string) hosts.Entry {
	e := hosts.Entry{InstanceID: c.Name, HostPort: c.Name + ":80", Zone: c.Hall, MachineType: c.Kind, Cell: c.Pod,
		Lifecycle: lifecycle, Weight: c.model.Machine.Capacity()}
	if c.startedAt > 0 {
		e.StartedAtMs = (Epoch + c.startedAt).Milliseconds()
	}
	return e
}

// list lets discovery learn of the machine after a lag.
func (w *world) list(c *machine, lifecycle string, lag time.Duration) {
	e := c.entry(lifecycle)
	w.registry.Schedule(w.now+lag, e)
	w.after(lag, w.news)
}

// process is the one that answers at the machine's address now.
func (c *machine) process() *machine {
	for c.next != nil {
		c = c.next
	}
	return c
}

// die ends the process: connections are reset, unless the machine is cut off.
func (c *machine) die() {
	c.model.SetState(c.w.now, clip.Down)
	c.life++
	c.reset()
}

// reset breaks all attempts that are out.
func (c *machine) reset() {
	for _, id := range c.order {
		if a := c.out[id]; a != nil {
			a.back(balance.Reset)
		}
	}
	c.out, c.order = map[uint64]*attempt{}, nil
}

// restart begins a new, cold process.
func (c *machine) restart() {
	c.life++
	c.silent = false
	c.reset()
	c.startedAt = c.w.now
	c.w.record(c.model.Start(c.w.now, true))
	c.w.list(c, hosts.Up, c.w.lag)
}

// replace ends the process for good and starts a new server, under a new id,
// at its address after a while.
func (w *world) replace(c *machine, after time.Duration) {
	c.die()
	w.list(c, hosts.Removed, w.lag)
	w.after(after, func() {
		x := c.Server
		x.Name = fmt.Sprintf("%s-r%d", c.Name, len(w.machines))
		n := w.newMachine(x)
		n.startedAt = w.now
		w.record(n.model.Start(w.now, true))
		w.list(n, hosts.Up, w.lag)
		c.next = n
	})
}

// arrive takes an attempt whose last byte has come.
func (c *machine) arrive(a *attempt, work time.Duration) {
	w := c.w
	first := w.now - a.extra
	if a.probe {
		w.record(history.Event{Kind: history.Probe, Node: a.node.Name, Server: c.Name, Work: work})
	}
	c.finish()
	verdict, fell := c.model.Offer(w.now, clip.Job{ID: a.id, Try: a.try, Key: a.key, Work: work, Probe: a.probe})
	if !a.probe {
		w.record(history.Event{Kind: history.Attempt, Try: a.try, Node: a.node.Name, Server: c.Name, Work: work, First: first, Verdict: verdict})
	}
	c.out[a.id] = a
	c.order = append(c.order, a.id)
	if len(c.order) > 2*len(c.out)+64 {
		kept := c.order[:0]
		for _, id := range c.order {
			if c.out[id] != nil {
				kept = append(kept, id)
			}
		}
		c.order = kept
	}
	switch {
	case fell:
		w.record(history.Event{Kind: history.Fell, Server: c.Name})
		c.die()
		w.list(c, hosts.Removed, w.lag)
	case verdict == history.Turned:
		delete(c.out, a.id)
		a.back(balance.Full)
	default:
		c.finish()
	}
}

// finish answers the jobs that are done by now and plans for the next one.
func (c *machine) finish() {
	for _, d := range c.model.Advance(c.w.now) {
		a := c.out[d.ID]
		if a == nil {
			continue
		}
		delete(c.out, d.ID)
		if a.probe || c.w.reports {
			l := c.model.Report(c.w.now)
			a.report = &balance.Report{InFlight: float64(l.InFlight), Queue: float64(l.Queue), HasInFlight: true, HasQueue: true,
				Utilisation: l.Utilisation, Rate: l.Rate}
		}
		if !a.probe && c.spoil > 0 && c.w.rng.Float64() < c.spoil {
			c.w.record(history.Event{Kind: history.Spoilt, Try: a.try, Server: c.Name})
			a.back(balance.ServerError)
			continue
		}
		a.back(balance.OK)
	}
	t, any := c.model.Next()
	if !any {
		return
	}
	c.armed++
	c.w.plan(t, c, jobEnds, c.armed)
}

// jobEnds happens to a machine; the number is the plan's, of which only the
// latest counts.
const jobEnds what = 0

func (c *machine) happen(_ what, n uint64) {
	if c.armed == n {
		c.finish()
	}
}

// left tells that an attempt's connection was closed by the node.
func (c *machine) left(a *attempt) {
	if c.out[a.id] == a {
		delete(c.out, a.id)
		c.finish()
		c.model.Cancel(c.w.now, a.id)
		c.finish()
	}
}
