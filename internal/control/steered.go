package control

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"barrowscale/fleet/steered"
	"barrowscale/fleet/version"
	"barrowscale/internal/operator"
	"barrowscale/internal/xds"
	"barrowscale/steer"
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
	start   time.Time
	mu      sync.Mutex
	table   *steered.Table
	known   map[steered.Server]bool // servers of the last state, whatever it says of them
	lagging atomic.Int64            // proxies that are not counted on now
}

func newSteered(c *operator.Control, post func(steer.Event), log *slog.Logger) *proxies {
	start := time.Now()
	return &proxies{post: post, log: log, start: start, known: map[steered.Server]bool{},
		table: steered.New(steered.Settings{Life: version.StampOf(time.Duration(start.UnixNano())), Within: c.AckWithin.Duration / 2,
			Grace: drainGrace, Proxies: c.MaxStreams})}
}

func (p *proxies) with(do func(now steered.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(time.Since(p.start))
}

// connect has a server's streams tell the table what they bring.
func (p *proxies) connect(cfg *xds.Config) {
	cfg.Joined = func(id steer.ProxyID, zone string) {
		p.with(func(steered.Time) { p.table.Joined(string(id)) })
		p.post(steer.Joined{Proxy: id, Zone: zone})
	}
	cfg.Left = func(id steer.ProxyID) {
		p.with(func(steered.Time) { p.table.Left(string(id)) })
		p.post(steer.Left{Proxy: id})
	}
	cfg.Loaded = func(l steer.Loaded) {
		var sends []steered.Sends
		for _, x := range l.Loads {
			sends = append(sends, steered.Sends{Server: steered.Server{ID: string(x.Server), Addr: x.Addr}, Issued: x.Issued})
		}
		p.with(func(now steered.Time) { p.table.Loaded(now, string(l.Proxy), l.Interval, sends) })
		p.post(l)
	}
	cfg.Sent = func(id steer.ProxyID, number uint64, lease time.Duration) {
		p.with(func(now steered.Time) { p.table.Sent(now, string(id), number, lease) })
	}
	cfg.Answered = func(id steer.ProxyID, number uint64, why string) {
		p.with(func(now steered.Time) { p.table.Answered(now, string(id), number, why) })
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
		p.table.Published(s.Version, out)
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
	var changed []steered.Change
	p.with(func(now steered.Time) {
		changed = p.table.Tick(now)
		n := int64(0)
		for _, r := range p.table.Rows() {
			if !r.State.Follows() {
				n++
			}
		}
		p.lagging.Store(n)
	})
	for _, c := range changed {
		if c.Turned {
			p.post(steer.Counted{Proxy: steer.ProxyID(c.Proxy), On: c.Counted})
		}
		if !c.Counted {
			p.log.Warn("a proxy does not follow", "proxy", c.Proxy, "state", c.State.String(), "why", c.Why)
		} else if c.Turned {
			p.log.Info("a proxy follows again", "proxy", c.Proxy)
		}
	}
}

// Proxies tells how each steered proxy follows.
func (s *Service) Proxies() []steered.Row {
	var out []steered.Row
	s.steered.with(func(steered.Time) { out = s.steered.table.Rows() })
	return out
}
