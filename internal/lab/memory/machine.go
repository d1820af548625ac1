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

// machine is a simulated server with its own id in the discovery list. A
// replacement takes over the address of the machine it replaces.
type machine struct {
	scenario.Server
	id               balance.ServerID
	world            *world
	model            *clip.Server
	startedAt        time.Duration // 0: before the run
	incarnation      int           // incremented with each process; a connection belongs to one
	unreachable      bool
	replacement      *machine // machine that has taken over its address
	jobEvent         uint64   // sequence number of the latest jobEnd event
	inFlight         map[uint64]*attempt
	inFlightOrder    []uint64 // keys of inFlight in order of arrival
	errorProbability float64
}

// addServer adds a server that has been running since before the run.
func (w *world) addServer(server scenario.Server) {
	c := w.newMachine(server)
	w.record(c.model.Start(w.now, false))
	w.publish(c, hosts.Up, 0)
}

func (w *world) newMachine(server scenario.Server) *machine {
	hardware, err := clip.NewMachine(server.Kind)
	if err != nil {
		panic(err) // scenario.Check accepts known kinds only
	}
	speeds := clip.SpeedRange[server.Kind]
	hardware.Speed = speeds[0] + (speeds[1]-speeds[0])*w.rng.Float64()
	pod, window := server.Pod, w.setup.Limits.KeyWindow
	if common := w.deployment.SharedKeyWindow(); common > 0 {
		pod, window = -1, common
	}
	if w.pods[pod] == nil {
		w.pods[pod] = clip.NewPod(window)
	}
	limits := w.setup.Limits
	c := &machine{Server: server, id: balance.ServerID(len(w.machines) + 1), world: w, inFlight: map[uint64]*attempt{},
		model: clip.NewServer(server.Name, hardware, clip.OverloadLimit{Factor: limits.OverloadFactor, Window: limits.OverloadWindow, Allowance: limits.OverloadAllowance}, w.pods[pod])}
	c.model.OnJobStart = func(b clip.JobStart) {
		kind := history.EffectRun
		if b.Duplicate {
			kind = history.DuplicateDropped
		}
		w.record(history.Event{Kind: kind, Try: b.Try, Server: server.Name, Work: b.Work, Key: b.Key})
	}
	w.machines = append(w.machines, c)
	w.byName[server.Name] = c
	w.setup.Servers = append(w.setup.Servers, history.Server{Name: server.Name, Zone: server.Zone, Kind: server.Kind, Pod: server.Pod})
	return c
}

// listEntry returns the entry of the machine in the discovery list.
func (c *machine) listEntry(lifecycle string) hosts.Entry {
	entry := hosts.Entry{InstanceID: c.Name, HostPort: c.Name + ":80", Zone: c.Zone, MachineType: c.Kind, Cell: c.Pod,
		Lifecycle: lifecycle, Weight: c.model.Machine.Capacity()}
	if c.startedAt > 0 {
		entry.StartedAtMs = (Epoch + c.startedAt).Milliseconds()
	}
	return entry
}

// publish makes a change of the machine visible in discovery after a lag.
func (w *world) publish(c *machine, lifecycle string, lag time.Duration) {
	e := c.listEntry(lifecycle)
	w.registry.Schedule(w.now+lag, e)
	w.after(lag, w.publishChanges)
}

// current returns the machine that serves the address now.
func (c *machine) current() *machine {
	for c.replacement != nil {
		c = c.replacement
	}
	return c
}

// crash ends the process. Its connections are reset, unless the machine is unreachable.
func (c *machine) crash() {
	c.model.SetState(c.world.now, clip.Down)
	c.incarnation++
	c.resetAttempts()
}

// resetAttempts resets the connections of all attempts in flight.
func (c *machine) resetAttempts() {
	for _, id := range c.inFlightOrder {
		if a := c.inFlight[id]; a != nil {
			a.respond(balance.Reset)
		}
	}
	c.inFlight, c.inFlightOrder = map[uint64]*attempt{}, nil
}

// restart starts a new, cold process.
func (c *machine) restart() {
	c.incarnation++
	c.unreachable = false
	c.resetAttempts()
	c.startedAt = c.world.now
	c.world.record(c.model.Start(c.world.now, true))
	c.world.publish(c, hosts.Up, c.world.discoveryLag)
}

// replace ends the process and, after a delay, starts a server with a new id at
// the same address.
func (w *world) replace(c *machine, after time.Duration) {
	c.crash()
	w.publish(c, hosts.Removed, w.discoveryLag)
	w.after(after, func() {
		server := c.Server
		server.Name = fmt.Sprintf("%s-r%d", c.Name, len(w.machines))
		successor := w.newMachine(server)
		successor.startedAt = w.now
		w.record(successor.model.Start(w.now, true))
		w.publish(successor, hosts.Up, w.discoveryLag)
		c.replacement = successor
	})
}

// receive handles an attempt whose last byte has arrived.
func (c *machine) receive(a *attempt, work time.Duration) {
	w := c.world
	first := w.now - a.linkDelay
	if a.probe {
		w.record(history.Event{Kind: history.Probe, Node: a.node.Name, Server: c.Name, Work: work})
	}
	c.completeJobs()
	verdict, overloaded := c.model.Submit(w.now, clip.Job{ID: a.id, Try: a.tryID, Key: a.key, Work: work, Probe: a.probe})
	if !a.probe {
		w.record(history.Event{Kind: history.Attempt, Try: a.tryID, Node: a.node.Name, Server: c.Name, Work: work, FirstByteAt: first, Verdict: verdict})
	}
	c.inFlight[a.id] = a
	c.inFlightOrder = append(c.inFlightOrder, a.id)
	if len(c.inFlightOrder) > 2*len(c.inFlight)+64 {
		kept := c.inFlightOrder[:0]
		for _, id := range c.inFlightOrder {
			if c.inFlight[id] != nil {
				kept = append(kept, id)
			}
		}
		c.inFlightOrder = kept
	}
	switch {
	case overloaded:
		w.record(history.Event{Kind: history.ServerOverloaded, Server: c.Name})
		c.crash()
		w.publish(c, hosts.Removed, w.discoveryLag)
	case verdict == history.Rejected:
		delete(c.inFlight, a.id)
		a.respond(balance.Full)
	default:
		c.completeJobs()
	}
}

// completeJobs answers the jobs that are done and schedules the end of the next one.
func (c *machine) completeJobs() {
	for _, d := range c.model.Advance(c.world.now) {
		a := c.inFlight[d.ID]
		if a == nil {
			continue
		}
		delete(c.inFlight, d.ID)
		if a.probe || c.world.loadReports {
			load := c.model.Report(c.world.now)
			a.report = &balance.Report{InFlight: float64(load.InFlight), Queue: float64(load.Queue), HasInFlight: true, HasQueue: true,
				Utilisation: load.Utilisation, Rate: load.CompletionRate}
		}
		if !a.probe && c.errorProbability > 0 && c.world.rng.Float64() < c.errorProbability {
			c.world.record(history.Event{Kind: history.AnswerCorrupted, Try: a.tryID, Server: c.Name})
			a.respond(balance.ServerError)
			continue
		}
		a.respond(balance.OK)
	}
	at, planned := c.model.NextCompletion()
	if !planned {
		return
	}
	c.jobEvent++
	c.world.schedule(at, c, jobEnd, c.jobEvent)
}

// jobEnd is the end of a job. Its argument is the sequence number of the event;
// only the latest is valid.
const jobEnd eventKind = 0

func (c *machine) handleEvent(_ eventKind, arg uint64) {
	if c.jobEvent == arg {
		c.completeJobs()
	}
}

// cancelAttempt handles a connection that the node has closed.
func (c *machine) cancelAttempt(a *attempt) {
	if c.inFlight[a.id] == a {
		delete(c.inFlight, a.id)
		c.completeJobs()
		c.model.Cancel(c.world.now, a.id)
		c.completeJobs()
	}
}
