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
	"ivylock/internal/listen"
	"ivylock/internal/operator"
	"ivylock/internal/wallclock"
)

const (
	fleetTickInterval = 100 * time.Millisecond
	maxDatagram       = 256 // bytes
)

// fleetMember is the control service's membership in a fleet. It exchanges list versions and
// liveness with the other processes and may guard the quotas that nodes share. It does not apply
// peer reports: proxies are steered by the service's own discovery only. It is safe for concurrent
// use.
type fleetMember struct {
	log            *slog.Logger
	conn           net.PacketConn
	allowed        []netip.Prefix
	pauseThreshold time.Duration // time between two events from which the process counts as paused
	clock          wallclock.Steady
	mu             sync.Mutex
	member         *member.Member
	handledAt      version.Time // last event
}

// joinFleet opens the socket and creates the member. It returns nil if the operator's file puts
// the control service in no fleet.
func joinFleet(ctx context.Context, control *operator.Control, fleet *operator.Fleet, log *slog.Logger) (*fleetMember, error) {
	if control.FleetListen == "" || fleet == nil {
		return nil, nil
	}
	conn, err := listen.UDP(ctx, net.ListenConfig{}, "udp4", control.FleetListen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	config := fleet.MemberConfig()
	config.Follow.ObserveOnly = true
	config.Name, config.Self, config.ShareQuotas, config.ShareWork, config.Seeds =
		control.Name, control.FleetID, false, false, control.SeedAddrs()
	config.Addr, config.BuildDigest = conn.LocalAddr().(*net.UDPAddr).AddrPort(), build.Digest()
	joined := &fleetMember{log: log, conn: conn, allowed: config.AllowedPrefixes,
		pauseThreshold: config.Follow.PauseThreshold, clock: wallclock.NewSteady()}
	joined.handledAt = joined.now()
	config.Seed = int64(joined.handledAt)
	joined.member = member.New(config, joined.now())
	log.Info("receiving datagrams", "fleet", config.Addr.String())
	return joined, nil
}

// now returns Unix time at the start plus monotonic time since.
func (f *fleetMember) now() version.Time { return f.clock.Now() }

// run receives datagrams and ticks until the context ends.
func (f *fleetMember) run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		f.receive()
	}()
	tick := time.NewTicker(fleetTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.handle(member.Tick{})
		case <-ctx.Done():
			f.handle(member.Leaving{})
			f.conn.Close()
			<-received
			return
		}
	}
}

func (f *fleetMember) receive() {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := f.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maxDatagram {
			continue
		}
		source := from.(*net.UDPAddr).AddrPort()
		if slices.ContainsFunc(f.allowed, func(prefix netip.Prefix) bool {
			return prefix.Contains(source.Addr().Unmap())
		}) {
			f.handle(member.DatagramReceived{
				From: netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), Data: slices.Clone(buffer[:n])})
		}
	}
}

// handle passes an event to the member and performs the actions. Those about servers are for nodes
// and are ignored, as the engine uses its own list.
func (f *fleetMember) handle(event member.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if gap := now - f.handledAt; gap > f.pauseThreshold {
		f.perform(f.member.Handle(now, member.Resumed{Gap: gap}))
	}
	f.handledAt = now
	f.perform(f.member.Handle(now, event))
}

func (f *fleetMember) perform(actions []member.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case member.Send:
			f.conn.WriteTo(action.Data, net.UDPAddrFromAddrPort(action.To))
		case member.Log:
			f.log.Info("fleet: " + action.Line)
		}
	}
}

// handleList passes a list from discovery to the member and returns its version in the fleet,
// where the epoch is the fleet's.
func (f *fleetMember) handleList(list follow.ListReceived) version.List {
	f.handle(member.SourceEvent{Event: list})
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.Agent().Vector().List
}

// record returns the member's record.
func (f *fleetMember) record() version.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.Record(f.now())
}

func (f *fleetMember) metrics() (metrics []metric) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, figure := range f.member.Figures(f.now()) {
		metrics = append(metrics, metric{"fleet." + figure.Name, figure.Kind, figure.Value})
	}
	return metrics
}
