package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ivylock/fleet/follow"
	"ivylock/fleet/member"
	"ivylock/fleet/version"
	"ivylock/internal/build"
	"ivylock/internal/operator"
	"ivylock/internal/wallclock"
)

const (
	fleetTick   = 100 * time.Millisecond
	maxDatagram = 256
)

// fleet is the control service's place among the processes of the fleet: it tells and
// hears which list it acts on, knows who lives, and may be a guard of what nodes share.
// It acts on nobody's word: what proxies are told rests on its own discovery. It may be
// used by several goroutines.
type fleet struct {
	log    *slog.Logger
	conn   net.PacketConn
	ranges []netip.Prefix
	wake   time.Duration // a gap in the ticks that counts as a stop
	clock  wallclock.Steady
	mu     sync.Mutex
	member *member.Member
	turnAt version.Time
}

// joinFleet opens the socket and makes the member; nil where the operator's file has
// the control service in no fleet.
func joinFleet(c *operator.Control, f *operator.Fleet, log *slog.Logger) (*fleet, error) {
	if c.FleetListen == "" || f == nil {
		return nil, nil
	}
	conn, err := net.ListenPacket("udp4", c.FleetListen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	cfg := f.Member()
	cfg.Follow.ObserveOnly = true
	cfg.Name, cfg.Self, cfg.ShareQuotas, cfg.ShareWork, cfg.Seeds = c.Name, c.FleetID, false, false, c.Seeds()
	cfg.Addr, cfg.BuildDigest = conn.LocalAddr().(*net.UDPAddr).AddrPort(), build.Digest()
	x := &fleet{log: log, conn: conn, ranges: cfg.AllowedPrefixes, wake: cfg.Follow.PauseThreshold, clock: wallclock.NewSteady()}
	x.turnAt = x.now()
	cfg.Seed = int64(x.turnAt)
	x.member = member.New(cfg, x.now())
	log.Info("takes datagrams", "fleet", cfg.Addr.String())
	return x, nil
}

// now is monotonic from the start on, with Unix time as its origin.
func (x *fleet) now() version.Time { return x.clock.Now() }

// run takes datagrams and ticks until the context ends.
func (x *fleet) run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		x.receive()
	}()
	tick := time.NewTicker(fleetTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			x.handle(member.Tick{})
		case <-ctx.Done():
			x.handle(member.Leaving{})
			x.conn.Close()
			<-received
			return
		}
	}
}

func (x *fleet) receive() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := x.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maxDatagram {
			continue
		}
		at := from.(*net.UDPAddr).AddrPort()
		if slices.ContainsFunc(x.ranges, func(r netip.Prefix) bool { return r.Contains(at.Addr().Unmap()) }) {
			x.handle(member.DatagramReceived{From: netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), Data: slices.Clone(buf[:n])})
		}
	}
}

// handle gives an event to the member and sends what it wants sent. What it says of
// servers is for nodes: here the engine's own list decides.
func (x *fleet) handle(e member.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	if gap := now - x.turnAt; gap > x.wake {
		x.carry(x.member.Handle(now, member.Resumed{Gap: gap}))
	}
	x.turnAt = now
	x.carry(x.member.Handle(now, e))
}

func (x *fleet) carry(all []member.Action) {
	for _, a := range all {
		switch a := a.(type) {
		case member.Send:
			x.conn.WriteTo(a.Data, net.UDPAddrFromAddrPort(a.To))
		case member.Log:
			x.log.Info("fleet: " + a.Line)
		}
	}
}

// listed tells the fleet of a list of discovery's, and gives the version that it has
// there: the count of discovery's beginnings is the fleet's.
func (x *fleet) listed(l follow.ListReceived) version.List {
	x.handle(member.SourceEvent{Event: l})
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.member.Agent().Vector().List
}

// record is what the member has on record.
func (x *fleet) record() version.Record {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.member.Record(x.now())
}

func (x *fleet) figures() (out []figure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range x.member.Figures(x.now()) {
		out = append(out, figure{"fleet." + f.Name, f.Kind, f.Value})
	}
	return out
}
