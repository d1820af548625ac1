package link

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// maxDatagrams bounds what is on its way through one relay.
const maxDatagrams = 1024

// UDP is the address at which others reach one party. Who sends is told by the address
// that a datagram comes from; it goes on from the sender's own such address, as the
// protocol page wants it. It may be used by several goroutines.
type UDP struct {
	conn net.PacketConn
	to   func(from netip.AddrPort) []Hop
	told func(from netip.AddrPort, bytes, receivers int)
	way  atomic.Int64

	Dropped atomic.Int64 // over the bound, or lost on purpose
}

// Hop says through which socket a datagram goes on, to which address, and how the way
// there is; any state but Open drops all.
type Hop struct {
	From       net.PacketConn
	To         net.Addr
	Conditions Conditions
}

// NewUDP makes a relay on a loopback address of its own. For each datagram that comes,
// to says where it goes on; nowhere drops it. told, if not nil, hears of each that came
// and to how many it goes.
func NewUDP(to func(from netip.AddrPort) []Hop, told func(from netip.AddrPort, bytes, receivers int)) (*UDP, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &UDP{conn: c, to: to, told: told}
	go u.relay()
	return u, nil
}

// Addr is where it listens.
func (u *UDP) Addr() string { return u.conn.LocalAddr().String() }

// Conn is the socket itself: what is sent through it comes from Addr.
func (u *UDP) Conn() net.PacketConn { return u.conn }

// Close ends the relay.
func (u *UDP) Close() { u.conn.Close() }

func (u *UDP) relay() {
	buf := make([]byte, 64<<10)
	for {
		n, at, err := u.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		from := at.(*net.UDPAddr).AddrPort()
		hops := u.to(from)
		if u.told != nil {
			u.told(from, n, len(hops))
		}
		data := append([]byte(nil), buf[:n]...)
		for _, h := range hops {
			s := h.Conditions
			if s.State != Open || rand.Float64() < s.Loss || u.way.Load() >= maxDatagrams {
				u.Dropped.Add(1)
				continue
			}
			times := 1
			if rand.Float64() < s.DuplicateFraction {
				times = 2
			}
			for range times {
				u.way.Add(1)
				time.AfterFunc(s.Delay+time.Duration(rand.Float64()*float64(s.Jitter)), func() {
					defer u.way.Add(-1)
					h.From.WriteTo(data, h.To)
				})
			}
		}
	}
}
