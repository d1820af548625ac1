package node

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"

	"barrowscale/balance"
	"barrowscale/fleet/follow"
	"barrowscale/fleet/roster"
	"barrowscale/fleet/shares"
)

const maxDatagram = 256

// peers exchanges datagrams with the other nodes.
type peers struct {
	conn    net.PacketConn
	addrs   []net.Addr // by node number
	all     net.Addr
	numbers map[string]int // by address
}

// openPeers gives nil where the configuration names no address to listen on.
func openPeers(c *Config) (*peers, error) {
	if c.PeerListen == "" || !c.Settings.MayMessage {
		return nil, nil
	}
	p := &peers{numbers: map[string]int{}}
	for i, addr := range append(c.Peers[:len(c.Peers):len(c.Peers)], c.PeersAll) {
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
	lc := net.ListenConfig{Control: shareAddress}
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
// stranger, or too long, is dropped and counted. fleet is whether the node takes
// those of package follow.
func (p *peers) receive(post func(any), fleet bool, strangers *atomic.Int64) {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		number, known := p.numbers[from.String()]
		if !known || n > maxDatagram {
			strangers.Add(1)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if fleet && follow.Ours(data) {
			post(fleetHeard{From: number, Data: data})
			if data = follow.Unwrap(data); len(data) == 0 {
				continue
			}
		}
		if fleet && shares.Ours(data) {
			post(quotaHeard{From: number, Data: data})
			continue
		}
		if fleet && roster.Ours(data) {
			post(rosterHeard{From: number, Data: data})
			continue
		}
		post(balance.MessageReceived{From: number, Data: data})
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
	p.conn.WriteTo(m.Data, to)
}
