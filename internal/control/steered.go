package control

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/balance"
	"ivylock/fleet/follow"
	"ivylock/fleet/steered"
	"ivylock/fleet/version"
	"ivylock/internal/discovery"
	"ivylock/internal/operator"
	"ivylock/internal/wallclock"
	"ivylock/internal/xds"
	"ivylock/steer"
)

const (
	verdictInterval = 100 * time.Millisecond
	drainGrace      = 500 * time.Millisecond // time to apply a withdrawal after accepting it
)

// proxyTracker feeds package steered with the streams' events and load reports, logs proxies that
// do not apply what they receive, and excludes their reports from package steer's estimates. It is
// safe for concurrent use.
type proxyTracker struct {
	post        func(steer.Event)
	log         *slog.Logger
	steadyClock wallclock.Steady
	mu          sync.Mutex
	table       *steered.Table
	fleet       *fleetMember // nil: not in a fleet
	hybridClock *version.HybridClock
	recorder    *version.Recorder       // records the lists that states are based on
	listVersion version.List            // version of the last list
	listed      map[string]bool         // servers in the last list
	published   map[steered.Server]bool // servers in published states, including withdrawn ones
	unreliable  atomic.Int64            // number of unreliable proxies
}

func newProxyTracker(
	control *operator.Control, fleet *fleetMember, post func(steer.Event), log *slog.Logger,
) *proxyTracker {
	tracker := &proxyTracker{post: post, log: log, fleet: fleet, steadyClock: wallclock.NewSteady(),
		hybridClock: &version.HybridClock{}, published: map[steered.Server]bool{}, listed: map[string]bool{}}
	tracker.recorder = version.NewRecorder(control.Name, -1, tracker.now(), tracker.hybridClock)
	incarnation := tracker.hybridClock.Last()
	if fleet != nil {
		incarnation = fleet.record().Incarnation
	}
	tracker.table = steered.New(steered.Settings{Service: control.Name, Incarnation: incarnation,
		AnswerTimeout: control.AckTimeout.Duration / 2, Grace: drainGrace, MaxProxies: control.MaxStreams})
	return tracker
}

// now returns the time for records: Unix time at the start plus monotonic time since.
func (p *proxyTracker) now() version.Time {
	return p.steadyClock.Now()
}

// locked calls f with the mutex held.
func (p *proxyTracker) locked(f func(now steered.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.steadyClock.Since())
}

// handleList records the version of a list from discovery and the servers it withdraws. In a
// fleet, the fleet's version of the list is used.
func (p *proxyTracker) handleList(list version.List, entries []discovery.Entry) {
	if p.fleet != nil {
		received := follow.ListReceived{Kind: follow.Full, Generation: uint64(list.Generation)}
		for _, entry := range entries {
			state := version.Up
			if discovery.LifecycleStates[entry.Lifecycle] == balance.Draining {
				state = version.Draining
			}
			received.Entries = append(received.Entries, follow.Entry{Name: entry.InstanceID, State: state,
				StartedAt: time.Duration(entry.StartedAtMs) * time.Millisecond})
		}
		list = p.fleet.handleList(received)
	}
	p.locked(func(steered.Time) {
		now := p.now()
		p.listVersion = list
		listed := map[string]bool{}
		for _, entry := range entries {
			listed[entry.InstanceID] = true
			if discovery.LifecycleStates[entry.Lifecycle] == balance.Ready {
				p.recorder.RecordRestored(now, entry.InstanceID, list)
			} else {
				p.recorder.RecordWithdrawal(now, entry.InstanceID, version.Draining, list, version.OwnSource)
			}
		}
		for id := range p.listed {
			if !listed[id] {
				p.recorder.RecordWithdrawal(now, id, version.Removed, list, version.OwnSource)
			}
		}
		p.listed = listed
		p.recorder.RecordVersion(now, version.Vector{List: list, Format: version.FormatVersion})
		p.recorder.RecordConfirmed(now)
		p.recorder.RecordApplied(list)
	})
}

// record returns the service's record of itself and its proxies.
func (p *proxyTracker) record() (record version.Record) {
	p.locked(func(steered.Time) {
		if p.fleet != nil {
			record = p.fleet.record()
		} else {
			record = p.recorder.Snapshot(p.now())
		}
		var dropped uint64
		record.ControlService = true
		record.Proxies, dropped = p.table.Record()
		record.Dropped += dropped
	})
	return record
}

// attach registers the tracker for the events of the server's streams.
func (p *proxyTracker) attach(config *xds.Config) {
	config.OnJoined = func(id steer.ProxyID, zone string) {
		p.locked(func(steered.Time) { p.table.ProxyJoined(p.hybridClock.Now(p.now()), string(id)) })
		p.post(steer.ProxyJoined{Proxy: id, Zone: zone})
	}
	config.OnLeft = func(id steer.ProxyID) {
		p.locked(func(steered.Time) { p.table.ProxyLeft(p.hybridClock.Now(p.now()), string(id)) })
		p.post(steer.ProxyLeft{Proxy: id})
	}
	config.OnLoadReport = func(report steer.LoadReported) {
		var loads []steered.ServerLoad
		for _, load := range report.Loads {
			loads = append(loads, steered.ServerLoad{
				Server: steered.Server{ID: string(load.Server), Addr: load.Addr}, Issued: load.Issued})
		}
		p.locked(func(now steered.Time) { p.table.LoadReported(now, string(report.Proxy), report.Interval, loads) })
		p.post(report)
	}
	config.OnSent = func(id steer.ProxyID, version uint64, lease time.Duration) {
		p.locked(func(now steered.Time) { p.table.VersionSent(now, string(id), version, lease) })
	}
	config.OnInSync = func(id steer.ProxyID, version uint64) {
		p.locked(func(steered.Time) { p.table.VersionHeld(string(id), version) })
	}
	config.OnAckOrNack = func(id steer.ProxyID, version uint64, reason string) {
		p.locked(func(now steered.Time) { p.table.VersionAnswered(now, string(id), version, reason) })
	}
}

// publisher wraps a Publisher and records which servers each state withdraws, by a drain or a
// removal.
func (p *proxyTracker) publisher(next Publisher) Publisher { return trackingPublisher{p, next} }

type trackingPublisher struct {
	tracker *proxyTracker
	next    Publisher
}

func (p trackingPublisher) Publish(state *steer.State) {
	tracker := p.tracker
	tracker.locked(func(steered.Time) {
		up, draining := map[steered.Server]bool{}, map[steered.Server]bool{}
		for _, view := range state.Views {
			for _, locality := range view.Localities {
				for _, endpoint := range locality.Endpoints {
					server := steered.Server{ID: string(endpoint.ID), Addr: endpoint.Addr}
					if endpoint.Health == steer.Draining {
						draining[server] = true
					} else {
						up[server] = true
					}
				}
			}
		}
		var withdrawn []steered.Server
		for server := range draining {
			withdrawn = append(withdrawn, server)
			tracker.published[server] = true
		}
		for server := range tracker.published {
			switch {
			case up[server] || draining[server]:
			case addressInUse(up, server.Addr): // the address belongs to another server now
				delete(tracker.published, server)
			default:
				withdrawn = append(withdrawn, server)
			}
		}
		for server := range up {
			tracker.published[server] = true
		}
		if len(tracker.published) > 2*(len(up)+len(draining))+64 { // bounds the memory for removed servers
			tracker.published = up
		}
		tracker.table.VersionPublished(state.Version, tracker.listVersion, withdrawn)
	})
	p.next.Publish(state)
}

func addressInUse(up map[steered.Server]bool, addr string) bool {
	for server := range up {
		if server.Addr == addr {
			return true
		}
	}
	return false
}

// updateVerdicts applies and logs changed verdicts.
func (p *proxyTracker) updateVerdicts() {
	var changes []steered.VerdictChange
	p.locked(func(now steered.Time) {
		changes = p.table.UpdateVerdicts(now)
		p.unreliable.Store(int64(p.table.UnreliableCount()))
	})
	for _, change := range changes {
		if change.ReliabilityChanged {
			p.post(steer.ProxyReliability{Proxy: steer.ProxyID(change.Proxy), Reliable: change.Reliable})
		}
		if !change.Reliable {
			p.log.Warn("a proxy does not follow", "proxy", change.Proxy, "state", change.State.String(), "why", change.Why)
		} else if change.ReliabilityChanged {
			p.log.Info("a proxy follows again", "proxy", change.Proxy)
		}
	}
}
