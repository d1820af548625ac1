package link

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// maxDatagrams bounds the datagrams in transit through one relay.
const maxDatagrams = 1024

// UDP is a relay for the datagrams to one party, which others reach at the relay's address. A
// datagram's source address identifies its sender. It is forwarded from the address of the sender's
// own relay, as the protocol requires. It is safe for concurrent use.
type UDP struct {
	conn      net.PacketConn
	route     func(from netip.AddrPort) []Hop
	observe   func(from netip.AddrPort, bytes, receivers int)
	inTransit atomic.Int64

	Dropped atomic.Int64 // beyond maxDatagrams, or lost by a fault
}

// Hop is the next step of a datagram: the socket that it is sent from, its destination, and the
// conditions in between. In any state but Open it is dropped.
type Hop struct {
	From       net.PacketConn
	To         net.Addr
	Conditions Conditions
}

// NewUDP makes a relay on a loopback address of its own. route returns the hops for each datagram
// that arrives; none drops it. observe, if not nil, is called for each that arrived, with the
// number of its hops.
func NewUDP(route func(from netip.AddrPort) []Hop, observe func(from netip.AddrPort, bytes, receivers int)) (*UDP, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &UDP{conn: c, route: route, observe: observe}
	go u.relay()
	return u, nil
}

// Addr returns the address of the relay.
func (u *UDP) Addr() string { return u.conn.LocalAddr().String() }

// Conn returns the socket of the relay: what is sent through it comes from Addr.
func (u *UDP) Conn() net.PacketConn { return u.conn }

// Close ends the relay.
func (u *UDP) Close() { u.conn.Close() }

func (u *UDP) relay() {
	buf := make([]byte, 64<<10)
	for {
		n, sender, err := u.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		from := sender.(*net.UDPAddr).AddrPort()
		hops := u.route(from)
		if u.observe != nil {
			u.observe(from, n, len(hops))
		}
		data := append([]byte(nil), buf[:n]...)
		for _, h := range hops {
			s := h.Conditions
			if s.State != Open || rand.Float64() < s.Loss || u.inTransit.Load() >= maxDatagrams {
				u.Dropped.Add(1)
				continue
			}
			copies := 1
			if rand.Float64() < s.DuplicateFraction {
				copies = 2
			}
			for range copies {
				u.inTransit.Add(1)
				time.AfterFunc(s.Delay+time.Duration(rand.Float64()*float64(s.Jitter)), func() {
					defer u.inTransit.Add(-1)
					h.From.WriteTo(data, h.To)
				})
			}
		}
	}
}
