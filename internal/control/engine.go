// Package control runs the control service: it feeds package steer with the server list, load
// reports and probe results, and delivers the resulting states to proxies. All decisions are made
// in package steer.
package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"ivylock/balance"
	fleetversion "ivylock/fleet/version"
	"ivylock/internal/discovery"
	"ivylock/internal/wallclock"
	"ivylock/membership"
	"ivylock/steer"
)

const (
	maxQueuedEvents = 4096 // senders block when the queue is full
	warnAfter       = 3    // consecutive discovery failures before a warning

	// A process pause longer than this may have hidden a drain. It is shorter than a lease and
	// than the 500 ms within which a drain must take effect.
	maxLoopPause = 250 * time.Millisecond
)

// Publisher delivers states to proxies.
type Publisher interface{ Publish(*steer.State) }

// Config configures an Engine.
type Config struct {
	Steer     steer.Settings
	Discovery string                                      // host:port of the discovery service
	ListFile  string                                      // path of the stored list; empty: the list is not stored
	Probe     func(ctx context.Context, addr string) bool // health check of a server; nil: none
	Publisher Publisher
	Log       *slog.Logger // nil: discards all lines

	// OnList, if not nil, is called with the version of each list from discovery before any state
	// based on it is published.
	OnList func(v fleetversion.List, entries []discovery.Entry)
}

// Engine runs a steer.Module. The module is used on the goroutine of Run only; Post may be called
// from any goroutine.
type Engine struct {
	config     Config
	writeList  func(path string, entries []discovery.Entry) error
	module     *steer.Module
	events     chan any
	done       chan struct{}
	clock      wallclock.Steady
	servers    serverList
	client     *discovery.Client
	loopedAt   atomic.Int64 // last iteration of the event loop, by now; 0: not started
	failures   int
	savedAt    time.Time
	listDirty  bool
	saving     chan struct{} // closed when the current write of the list ends; nil: none
	startTimes membership.StartTimes
	listedAt   membership.Time // when discovery last sent a list; 0: never
	probes     chan struct{}   // limits concurrent probes

	// PublishedStates counts all states and UrgentStates the urgent ones; DiscardedEntries counts
	// servers, proxies and loads that exceeded a limit or were unknown.
	PublishedStates, UrgentStates, DiscardedEntries atomic.Int64
}

// NewEngine returns an engine, or an error if the settings are invalid.
func NewEngine(cfg Config) (*Engine, error) {
	module, err := steer.New(cfg.Steer)
	if err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	e := &Engine{config: cfg, writeList: writeList, module: module, events: make(chan any, maxQueuedEvents),
		done: make(chan struct{}), clock: wallclock.NewSteady(), probes: make(chan struct{}, 64),
		servers: serverList{entries: map[string]discovery.Entry{}}}
	return e, nil
}

// Post queues an event for the module. It blocks while the queue is full and discards the event
// once the engine has ended.
func (e *Engine) Post(event steer.Event) { e.enqueue(event) }

func (e *Engine) enqueue(event any) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// clockOffset is the module's time at the engine's start; 0 means never.
const clockOffset = time.Hour

func (e *Engine) now() steer.Time { return e.clock.Since() + clockOffset }

// Run processes events until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	if e.config.ListFile != "" {
		if cached, err := readList(e.config.ListFile); err != nil {
			e.config.Log.Warn("cannot read the stored list", "err", err)
		} else if len(cached) > 0 {
			e.dispatch(ctx, steer.ListReceived{Kind: steer.ListCached, Servers: e.steerServers(cached, time.Time{})})
		}
	}
	e.startDiscovery()
	defer func() { e.client.Close() }()
	defer e.waitForSave()
	tick := time.NewTicker(steer.TickInterval)
	defer tick.Stop()
	e.loopedAt.Store(int64(e.now()))
	for {
		if pause := e.now() - steer.Time(e.loopedAt.Load()); pause > maxLoopPause {
			e.resync(ctx, pause)
		}
		e.loopedAt.Store(int64(e.now()))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.dispatch(ctx, steer.Tick{})
			e.DiscardedEntries.Store(
				int64(e.module.Discarded.Servers + e.module.Discarded.Proxies + e.module.Discarded.Loads))
			e.saveList()
		case event := <-e.events:
			switch event := event.(type) {
			case saveResult:
				e.handleSaveResult(event)
			case discovery.Update:
				if event.Source == e.client {
					e.handleUpdate(ctx, event)
				}
			case steer.Event:
				e.dispatch(ctx, event)
			}
		}
	}
}

// Alive reports whether the event loop is not stalled; it is true before the loop starts. If
// the loop is stalled, published states may predate a drain that is still queued.
func (e *Engine) Alive() bool {
	loopedAt := e.loopedAt.Load()
	return loopedAt == 0 || e.now()-steer.Time(loopedAt) <= maxLoopPause
}

// resync requests the full list again after a process pause; nothing is confirmed until it
// arrives. Guards against extending the TTL of servers that began to drain during the pause.
func (e *Engine) resync(ctx context.Context, pause time.Duration) {
	e.config.Log.Warn("process pause detected; requesting the full list", "for", pause)
	e.dispatch(ctx, steer.ProcessPaused{})
	e.client.Close()
	// Run ignores updates of the previous client, which may predate a drain.
	e.startDiscovery()
}

// startDiscovery starts a discovery client, which requests the full list first.
func (e *Engine) startDiscovery() {
	e.client = discovery.New(e.config.Discovery, membership.Settings{Seed: int64(e.clock.Origin())},
		membership.InitialState{}, func(update discovery.Update) { e.enqueue(update) })
}

// handleUpdate applies an update from discovery.
func (e *Engine) handleUpdate(ctx context.Context, update discovery.Update) {
	if update.Kind == balance.ListFailed {
		if e.failures++; e.failures == warnAfter {
			e.config.Log.Warn("discovery does not respond; keeping the current list", "addr", e.config.Discovery)
		}
		e.dispatch(ctx, steer.ListReceived{Kind: steer.ListFailed})
		return
	}
	e.failures = 0
	e.servers.apply(update.List)
	e.listDirty = true
	entries := e.servers.sortedEntries()
	if e.config.OnList != nil {
		e.config.OnList(e.servers.version(), entries)
	}
	e.dispatch(ctx, steer.ListReceived{Kind: steer.ListFull, Servers: e.steerServers(entries, update.List.Date)})
	e.listedAt = e.clock.Now()
}

// dispatch passes an event to the module and performs the actions.
func (e *Engine) dispatch(ctx context.Context, event steer.Event) {
	for _, action := range e.module.Handle(e.now(), event) {
		switch action := action.(type) {
		case steer.Publish:
			e.PublishedStates.Add(1)
			if action.Urgent {
				e.UrgentStates.Add(1)
			}
			e.config.Publisher.Publish(action.State)
		case steer.Probe:
			e.probe(ctx, action.Server)
		case steer.Log:
			e.config.Log.Info(action.Line)
		}
	}
}

// probe starts a health check of a server. It does nothing if too many are running; the module
// repeats its request.
func (e *Engine) probe(ctx context.Context, id steer.ServerID) {
	entry, found := e.servers.entries[string(id)]
	if !found || e.config.Probe == nil {
		return
	}
	select {
	case e.probes <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-e.probes }()
		started := time.Now()
		ok := e.config.Probe(ctx, entry.HostPort)
		e.enqueue(steer.ProbeResult{Server: id, OK: ok, Elapsed: time.Since(started)})
	}()
}
