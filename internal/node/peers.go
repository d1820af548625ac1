package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"ivylock/balance"
	"ivylock/fleet/roster"
	"ivylock/internal/figures"
	"ivylock/internal/listen"
	"ivylock/internal/neterr"
)

const (
	maxDatagram = 256 // bytes

	minReadRetry = time.Millisecond // after a failed read; doubles each time
	maxReadRetry = 50 * time.Millisecond
)

// peers exchanges datagrams with the other nodes.
type peers struct {
	conn            net.PacketConn
	addrs           []net.Addr // by node number
	broadcast       net.Addr
	numbers         map[string]int // by address
	byAddress       bool           // processes are identified by address; package member authorizes them
	allowedPrefixes []netip.Prefix // accepted besides addrs
	metrics         *figures.Set
}

func (p *peers) allowed(a netip.Addr) bool {
	return slices.ContainsFunc(p.allowedPrefixes, func(r netip.Prefix) bool { return r.Contains(a) })
}

// openPeers returns nil if the configuration has no address to listen on.
func openPeers(ctx context.Context, cfg *Config, metrics *figures.Set) (*peers, error) {
	if cfg.PeerListen == "" || !cfg.Settings.MayMessage {
		return nil, nil
	}
	p := &peers{numbers: map[string]int{}, metrics: metrics}
	if cfg.Fleet != nil {
		p.allowedPrefixes, p.byAddress = cfg.Fleet.Member.AllowedPrefixes, len(cfg.Fleet.Member.AllowedPrefixes) > 0
	}
	for i, addr := range append(cfg.Peers[:len(cfg.Peers):len(cfg.Peers)], cfg.PeerBroadcast) {
		a, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			return nil, fmt.Errorf("peer %q: %w", addr, err)
		}
		if i == len(cfg.Peers) {
			p.broadcast = a
			break
		}
		p.addrs = append(p.addrs, a)
		p.numbers[a.String()] = i
	}
	lc := net.ListenConfig{}
	if _, port, err := net.SplitHostPort(cfg.PeerListen); err == nil && port != "0" {
		// Not with port 0: the kernel could assign the same port to two such processes.
		lc.Control = setReuseAddr
	}
	conn, err := listen.UDP(ctx, lc, "udp", cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.conn = conn
	return p, nil
}

// setReuseAddr lets the process that takes over bind the address while the old one still
// runs. Datagrams then go to the socket bound last.
func setReuseAddr(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// receive posts datagrams until the socket is closed. Datagrams from unknown senders and
// oversized ones are dropped and counted. With fleet set they are posted as fleet
// datagrams. Failed reads are counted and retried.
func (p *peers) receive(post func(any), fleet bool) {
	buf := make([]byte, maxDatagram+1)
	for pause := minReadRetry; ; {
		n, from, err := p.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.metrics.DatagramErrors.Add(neterr.Index(err))
			time.Sleep(pause)
			pause = min(2*pause, maxReadRetry)
			continue
		}
		pause = minReadRetry
		at := from.(*net.UDPAddr).AddrPort()
		number, known := p.numbers[from.String()]
		if !known && !p.allowed(at.Addr().Unmap()) || n > maxDatagram {
			p.metrics.UnknownSenders.Add(1)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		switch {
		case p.byAddress:
			post(fleetDatagram{From: netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), Data: data})
		case fleet:
			post(fleetDatagram{From: roster.NumberedAddr(number), Data: data})
		default:
			post(balance.MessageReceived{From: number, Data: data})
		}
	}
}

// send sends a message; it may be lost.
func (p *peers) send(m balance.SendMessage) {
	if p == nil || len(m.Data) > maxDatagram || !m.ToAll && (m.To < 0 || m.To >= len(p.addrs)) {
		return
	}
	to := p.broadcast
	if !m.ToAll {
		to = p.addrs[m.To]
	}
	p.write(m.Data, to)
}

// sendTo sends a datagram to a process of the fleet. The address may encode a node number.
func (p *peers) sendTo(to netip.AddrPort, data []byte) {
	if p == nil || len(data) > maxDatagram {
		return
	}
	if number, ok := roster.NumberOf(to); !p.byAddress && ok {
		p.send(balance.SendMessage{To: number, Data: data})
		return
	}
	p.write(data, net.UDPAddrFromAddrPort(to))
}

// write sends a datagram once. Failures are counted and not retried.
func (p *peers) write(data []byte, to net.Addr) {
	if _, err := p.conn.WriteTo(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		p.metrics.DatagramErrors.Add(neterr.Index(err))
	}
}
