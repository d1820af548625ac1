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
	"ivylock/internal/neterr"
)

const (
	maxDatagram = 256

	readRetryFirst = time.Millisecond // after a read that failed; it doubles
	readRetryLast  = 50 * time.Millisecond
)

// peers exchanges datagrams with the other nodes.
type peers struct {
	conn    net.PacketConn
	addrs   []net.Addr // by node number
	all     net.Addr
	numbers map[string]int // by address
	open    bool           // processes are known by their addresses, which is not for the socket to judge
	ranges  []netip.Prefix // of addresses that are heard beside those
	count   *figures.Set
}

func (p *peers) hears(a netip.Addr) bool {
	return slices.ContainsFunc(p.ranges, func(r netip.Prefix) bool { return r.Contains(a) })
}

// openPeers gives nil where the configuration names no address to listen on.
func openPeers(c *Config, count *figures.Set) (*peers, error) {
	if c.PeerListen == "" || !c.Settings.MayMessage {
		return nil, nil
	}
	p := &peers{numbers: map[string]int{}, count: count}
	if c.Fleet != nil {
		p.ranges, p.open = c.Fleet.Member.AllowedPrefixes, len(c.Fleet.Member.AllowedPrefixes) > 0
	}
	for i, addr := range append(c.Peers[:len(c.Peers):len(c.Peers)], c.PeerBroadcast) {
		a, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			return nil, fmt.Errorf("peer %q: %w", addr, err)
		}
		if i == len(c.Peers) {
			p.all = a
			break
		}
		p.addrs = append(p.addrs, a)
		p.numbers[a.String()] = i
	}
	lc := net.ListenConfig{}
	if _, port, err := net.SplitHostPort(c.PeerListen); err == nil && port != "0" {
		lc.Control = shareAddress // of port 0 the kernel would give two such processes the same one now and then
	}
	conn, err := lc.ListenPacket(context.Background(), "udp", c.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.conn = conn
	return p, nil
}

// shareAddress lets the process that takes over bind the address beside the
// one that ends; what comes then goes to the one that bound last.
func shareAddress(_, _ string, raw syscall.RawConn) error {
	var err error
	if told := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	}); told != nil {
		return told
	}
	return err
}

// receive passes on datagrams until the socket is closed. One from a
// stranger, or too long, is dropped and counted. fleet is whether they go
// to the node's member of it first. A read that fails is counted and made again.
func (p *peers) receive(post func(any), fleet bool) {
	buf := make([]byte, maxDatagram+1)
	for pause := readRetryFirst; ; {
		n, from, err := p.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.count.DatagramErrors.Add(neterr.Number(err))
			time.Sleep(pause)
			pause = min(2*pause, readRetryLast)
			continue
		}
		pause = readRetryFirst
		at := from.(*net.UDPAddr).AddrPort()
		number, known := p.numbers[from.String()]
		if !known && !p.hears(at.Addr().Unmap()) || n > maxDatagram {
			p.count.Strangers.Add(1)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		switch {
		case p.open:
			post(fleetHeard{From: netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), Data: data})
		case fleet:
			post(fleetHeard{From: roster.NumberedAddr(number), Data: data})
		default:
			post(balance.MessageReceived{From: number, Data: data})
		}
	}
}

// send may lose the message, as the network may.
func (p *peers) send(m balance.SendMessage) {
	if p == nil || len(m.Data) > maxDatagram || !m.ToAll && (m.To < 0 || m.To >= len(p.addrs)) {
		return
	}
	to := p.all
	if !m.ToAll {
		to = p.addrs[m.To]
	}
	p.write(m.Data, to)
}

// sendTo sends to a process of the fleet, by the address that stands for it there.
func (p *peers) sendTo(to netip.AddrPort, data []byte) {
	if p == nil || len(data) > maxDatagram {
		return
	}
	if number, ok := roster.NumberOf(to); !p.open && ok {
		p.send(balance.SendMessage{To: number, Data: data})
		return
	}
	p.write(data, net.UDPAddrFromAddrPort(to))
}

// write sends a datagram once. One that can't be sent is lost, as the network may lose
// it, and counted.
func (p *peers) write(data []byte, to net.Addr) {
	if _, err := p.conn.WriteTo(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		p.count.DatagramErrors.Add(neterr.Number(err))
	}
}
