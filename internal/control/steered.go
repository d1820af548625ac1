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
	lookEvery  = 100 * time.Millisecond
	drainGrace = 500 * time.Millisecond // after a proxy has accepted a withdrawal
)

// proxies is the control service's side of package steered: it tells it what
// streams and load reports bring, names the proxies that do not follow, and has
// package steer learn nothing from them. It may be used by several goroutines.
type proxies struct {
	post    func(steer.Event)
	log     *slog.Logger
	steady  wallclock.Steady
	mu      sync.Mutex
	table   *steered.Table
	fleet   *fleet // nil: of none
	clock   *version.HybridClock
	rec     *version.Recorder       // of the lists that states rest on
	list    version.List            // the last one
	there   map[string]bool         // servers that it names
	known   map[steered.Server]bool // servers of the last state, whatever it says of them
	lagging atomic.Int64            // proxies that are not counted on now
}

func newSteered(c *operator.Control, f *fleet, post func(steer.Event), log *slog.Logger) *proxies {
	p := &proxies{post: post, log: log, fleet: f, steady: wallclock.NewSteady(), clock: &version.HybridClock{}, known: map[steered.Server]bool{}, there: map[string]bool{}}
	p.rec = version.NewRecorder(c.Name, -1, p.wall(), p.clock)
	life := p.clock.Last()
	if f != nil {
		life = f.record().Incarnation
	}
	p.table = steered.New(steered.Settings{Service: c.Name, Incarnation: life, AnswerTimeout: c.AckWithin.Duration / 2,
		Grace: drainGrace, MaxProxies: c.MaxStreams})
	return p
}

// wall is the clock of records: monotonic from the start on, with Unix time as its
// origin.
func (p *proxies) wall() version.Time {
	return p.steady.Now()
}

func (p *proxies) with(do func(now steered.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(p.steady.Since())
}

// listed takes the version of discovery's list and what it withdraws. Where the service
// is of a fleet the version is as the fleet counts it.
func (p *proxies) listed(v version.List, entries []discovery.Entry) {
	if p.fleet != nil {
		l := follow.ListReceived{Kind: follow.Full, Generation: uint64(v.Generation)}
		for _, x := range entries {
			state := version.Up
			if discovery.LifecycleStates[x.Lifecycle] == balance.Draining {
				state = version.Draining
			}
			l.Entries = append(l.Entries, follow.Entry{Name: x.InstanceID, State: state, StartedAt: time.Duration(x.StartedAtMs) * time.Millisecond})
		}
		v = p.fleet.listed(l)
	}
	p.with(func(steered.Time) {
		now := p.wall()
		p.list = v
		there := map[string]bool{}
		for _, x := range entries {
			there[x.InstanceID] = true
			if discovery.LifecycleStates[x.Lifecycle] == balance.Ready {
				p.rec.RecordRestored(now, x.InstanceID, v)
			} else {
				p.rec.RecordWithdrawal(now, x.InstanceID, version.Draining, v, version.OwnSource)
			}
		}
		for id := range p.there {
			if !there[id] {
				p.rec.RecordWithdrawal(now, id, version.Removed, v, version.OwnSource)
			}
		}
		p.there = there
		p.rec.RecordVersion(now, version.Vector{List: v, Format: version.FormatVersion})
		p.rec.RecordConfirmed(now)
		p.rec.RecordApplied(v)
	})
}

// record is what the service has on record of itself and its proxies.
func (p *proxies) record() (r version.Record) {
	p.with(func(steered.Time) {
		if p.fleet != nil {
			r = p.fleet.record()
		} else {
			r = p.rec.Snapshot(p.wall())
		}
		var dropped uint64
		r.ControlService = true
		r.Proxies, dropped = p.table.Record()
		r.Dropped += dropped
	})
	return r
}

// connect has a server's streams tell the table what they bring.
func (p *proxies) connect(cfg *xds.Config) {
	cfg.Joined = func(id steer.ProxyID, zone string) {
		p.with(func(steered.Time) { p.table.ProxyJoined(p.clock.Now(p.wall()), string(id)) })
		p.post(steer.ProxyJoined{Proxy: id, Zone: zone})
	}
	cfg.Left = func(id steer.ProxyID) {
		p.with(func(steered.Time) { p.table.ProxyLeft(p.clock.Now(p.wall()), string(id)) })
		p.post(steer.ProxyLeft{Proxy: id})
	}
	cfg.Loaded = func(l steer.LoadReported) {
		var sends []steered.ServerLoad
		for _, x := range l.Loads {
			sends = append(sends, steered.ServerLoad{Server: steered.Server{ID: string(x.Server), Addr: x.Addr}, Issued: x.Issued})
		}
		p.with(func(now steered.Time) { p.table.LoadReported(now, string(l.Proxy), l.Interval, sends) })
		p.post(l)
	}
	cfg.Sent = func(id steer.ProxyID, number uint64, lease time.Duration) {
		p.with(func(now steered.Time) { p.table.VersionSent(now, string(id), number, lease) })
	}
	cfg.Holds = func(id steer.ProxyID, number uint64) {
		p.with(func(steered.Time) { p.table.VersionHeld(string(id), number) })
	}
	cfg.Answered = func(id steer.ProxyID, number uint64, why string) {
		p.with(func(now steered.Time) { p.table.VersionAnswered(now, string(id), number, why) })
	}
}

// watch hands states on to a publisher, and tells the table what they withdraw:
// servers that drain, and those that are not there any more.
func (p *proxies) watch(to Publisher) Publisher { return watched{p, to} }

type watched struct {
	p  *proxies
	to Publisher
}

func (w watched) Publish(s *steer.State) {
	p := w.p
	p.with(func(steered.Time) {
		up, drains := map[steered.Server]bool{}, map[steered.Server]bool{}
		for _, v := range s.Views {
			for _, l := range v.Localities {
				for _, e := range l.Endpoints {
					x := steered.Server{ID: string(e.ID), Addr: e.Addr}
					if e.Health == steer.Draining {
						drains[x] = true
					} else {
						up[x] = true
					}
				}
			}
		}
		var out []steered.Server
		for x := range drains {
			out = append(out, x)
			p.known[x] = true
		}
		for x := range p.known {
			switch {
			case up[x] || drains[x]:
			case reused(up, x.Addr): // another server has its address: sends there are its
				delete(p.known, x)
			default:
				out = append(out, x)
			}
		}
		for x := range up {
			p.known[x] = true
		}
		if len(p.known) > 2*(len(up)+len(drains))+64 { // those that are gone are not told of for ever
			p.known = up
		}
		p.table.VersionPublished(s.Version, p.list, out)
	})
	w.to.Publish(s)
}

func reused(up map[steered.Server]bool, addr string) bool {
	for x := range up {
		if x.Addr == addr {
			return true
		}
	}
	return false
}

// look carries out new verdicts.
func (p *proxies) look() {
	var changed []steered.VerdictChange
	p.with(func(now steered.Time) {
		changed = p.table.UpdateVerdicts(now)
		p.lagging.Store(int64(p.table.UnreliableCount()))
	})
	for _, c := range changed {
		if c.ReliabilityChanged {
			p.post(steer.ProxyReliability{Proxy: steer.ProxyID(c.Proxy), Reliable: c.Reliable})
		}
		if !c.Reliable {
			p.log.Warn("a proxy does not follow", "proxy", c.Proxy, "state", c.State.String(), "why", c.Why)
		} else if c.ReliabilityChanged {
			p.log.Info("a proxy follows again", "proxy", c.Proxy)
		}
	}
}
