// Package link injects faults into the network between two parties, with a proxy for TCP and a
// relay for datagrams. It does not interpret what they carry.
package link

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/internal/lab/socket"
)

// State is the state of a link, apart from delay and loss.
type State string

// The states.
const (
	Open      State = ""
	HalfOpen  State = "half-open"  // what the dialler sends is lost; the other direction works
	Reset     State = "reset"      // open connections are reset, new ones too
	BlackHole State = "black-hole" // nothing passes in either direction, without any notice
)

// Conditions describe how a link behaves.
type Conditions struct {
	Delay          time.Duration // one way
	Loss           float64       // fraction of segments that cost a retransmission
	BytesPerSecond int           // each way; 0: no limit
	State          State
	// For datagrams only: the maximum addition to the delay, and the fraction that arrives twice.
	Jitter            time.Duration
	DuplicateFraction float64
}

const (
	segment           = 16 << 10               // bytes relayed at once
	maxQueued         = 64                     // segments queued in one direction; then the sender waits
	retransmitTimeout = 200 * time.Millisecond // cost of a lost segment: the minimum retransmission timeout of TCP
	maxConns          = 4096                   // of one proxy; further ones are closed at once
	dialTimeout       = 2 * time.Second
	// maxEnded is the number of ended connections whose time of entry is still known.
	maxEnded = 4096
)

// TCP is a proxy in front of one address. It is safe for concurrent use.
type TCP struct {
	reserved    *socket.ReservedAddr
	target      func() string
	clock       func() time.Duration
	mu          sync.Mutex
	listener    *net.TCPListener  // nil in a black hole
	blackHole   *socket.BlackHole // nil outside a black hole
	conditions  Conditions
	changed     chan struct{} // closed when the conditions change
	pairs       map[*pair]bool
	byLocalAddr map[string]*pair // by the address that the target sees; includes some ended pairs
	endedAddrs  []string         // keys of byLocalAddr whose pairs have ended, oldest first
	closed      bool
	Refused     atomic.Int64 // connections beyond maxConns
}

// pair is one connection through the proxy.
type pair struct {
	downstream, upstream *net.TCPConn
	firstByteAt          atomic.Int64 // when the first byte of the dialler's latest burst arrived
	answered             atomic.Bool  // the target has sent something since
	aborted              atomic.Bool  // the connection is reset: queued segments are lost
}

// NewTCP listens on a loopback address of its own and forwards connections to target, which is
// called for each.
func NewTCP(target func() string, clock func() time.Duration) (*TCP, error) {
	reserved, err := socket.ReserveAddr()
	if err != nil {
		return nil, err
	}
	p := &TCP{reserved: reserved, target: target, clock: clock, changed: make(chan struct{}), pairs: map[*pair]bool{}, byLocalAddr: map[string]*pair{}}
	if err := p.listen(); err != nil {
		reserved.Close()
		return nil, err
	}
	return p, nil
}

// listen starts accepting connections. The caller holds the lock, or is the only user of p.
func (p *TCP) listen() error {
	l, err := p.reserved.Listen()
	if err != nil {
		return err
	}
	if err := socket.EnableReceiveTimestamps(l); err != nil {
		l.Close()
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// Addr returns the address of the proxy.
func (p *TCP) Addr() string { return p.reserved.Addr }

// Set changes the conditions for everything that passes from now on. Connections are reset when the
// state becomes Reset, and when the link becomes Open again.
func (p *TCP) Set(s Conditions) error {
	p.mu.Lock()
	old := p.conditions
	p.conditions = s
	err := p.setBlackHole(old.State == BlackHole, s.State == BlackHole)
	var conns []net.Conn
	if s.State == Reset || old.State != Open && s.State == Open {
		conns = p.abortAll()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	for _, c := range conns {
		socket.Abort(c)
	}
	return err
}

// setBlackHole begins or ends a black hole: no connection is established in it, and nothing that
// was sent to it arrives later. The caller holds the lock.
func (p *TCP) setBlackHole(was, is bool) error {
	switch {
	case was == is || p.closed:
		return nil
	case is:
		blackHole, err := p.reserved.BlackHole(p.listener)
		if err != nil {
			return err
		}
		p.blackHole, p.listener = blackHole, nil
		return nil
	}
	err := p.listen()
	if p.blackHole != nil {
		p.blackHole.Close()
		p.blackHole = nil
	}
	return err
}

// abortAll marks every pair as aborted and returns their connections. The caller holds the lock.
func (p *TCP) abortAll() []net.Conn {
	var conns []net.Conn
	for c := range p.pairs {
		c.aborted.Store(true)
		if conns = append(conns, c.downstream); c.upstream != nil {
			conns = append(conns, c.upstream)
		}
	}
	return conns
}

// FirstByteAt returns when the first byte of the latest burst of a connection reached the proxy, by
// the remote address that the target sees.
func (p *TCP) FirstByteAt(remote string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byLocalAddr[remote]
	if c == nil {
		return 0, false
	}
	return time.Duration(c.firstByteAt.Load()), true
}

// Close ends the proxy and all its connections.
func (p *TCP) Close() {
	p.mu.Lock()
	p.closed = true
	conns := p.abortAll()
	if p.listener != nil {
		p.listener.Close()
	}
	if p.blackHole != nil {
		p.blackHole.Close()
	}
	p.reserved.Close()
	p.mu.Unlock()
	for _, c := range conns {
		socket.Abort(c)
	}
}

func (p *TCP) current() (Conditions, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions, p.changed
}

func (p *TCP) accept(l *net.TCPListener) {
	for {
		downstream, err := l.AcceptTCP()
		switch {
		case err == nil:
			if c := p.admit(l, downstream); c != nil {
				go p.serve(c)
			}
		case errors.Is(err, net.ErrClosed):
			return
		default: // a resource is exhausted, such as file descriptors
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// admit keeps a connection that the present listener accepted; otherwise it resets the connection
// and returns nil.
func (p *TCP) admit(l *net.TCPListener, downstream *net.TCPConn) *pair {
	c := &pair{downstream: downstream}
	c.answered.Store(true)
	p.mu.Lock()
	full := len(p.pairs) >= maxConns
	if p.closed || p.listener != l || full || p.conditions.State == Reset {
		p.mu.Unlock()
		if full {
			p.Refused.Add(1)
		}
		socket.Abort(downstream)
		return nil
	}
	p.pairs[c] = true
	p.mu.Unlock()
	return c
}

// forget drops a pair that has ended. Its time of entry stays known for a while, as a delayed
// server may accept the connection only now.
func (p *TCP) forget(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
	if c.upstream == nil {
		return
	}
	p.endedAddrs = append(p.endedAddrs, c.upstream.LocalAddr().String())
	if len(p.endedAddrs) <= maxEnded {
		return
	}
	oldest := p.endedAddrs[0]
	p.endedAddrs = p.endedAddrs[1:]
	if x := p.byLocalAddr[oldest]; x != nil && !p.pairs[x] { // otherwise the port is in use again
		delete(p.byLocalAddr, oldest)
	}
}

func (p *TCP) serve(c *pair) {
	downstream := c.downstream
	defer downstream.Close()
	defer p.forget(c)
	go p.awaitBurst(c) // what is sent during the dial has entered the link
	nc, err := net.DialTimeout("tcp", p.target(), dialTimeout)
	if err != nil {
		socket.Abort(downstream)
		return
	}
	upstream := nc.(*net.TCPConn)
	defer upstream.Close()
	p.mu.Lock()
	c.upstream = upstream
	p.byLocalAddr[upstream.LocalAddr().String()] = c
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, downstream, upstream, true) })
	wg.Go(func() { p.forward(c, upstream, downstream, false) })
	wg.Wait()
}

// awaitBurst waits for the next bytes of the dialler, without reading them, and records when they
// entered the link. That is when the kernel received them, which may be long before this process
// reads them.
func (p *TCP) awaitBurst(c *pair) {
	age, readable, err := socket.AwaitArrival(c.downstream)
	if err == nil && readable && c.answered.CompareAndSwap(true, false) {
		c.firstByteAt.Store(int64(p.clock() - age))
	}
}

// waitWhile waits while the link is in one of the states. It reports false once the proxy is
// closed.
func (p *TCP) waitWhile(states ...State) bool {
	for {
		conditions, changed := p.current()
		matches := false
		for _, state := range states {
			matches = matches || conditions.State == state
		}
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed || !matches {
			return !closed
		}
		select {
		case <-changed:
		case <-time.After(time.Second): // to check for Close
		}
	}
}

// delayedSegment is a segment in transit.
type delayedSegment struct {
	data []byte
	due  time.Time
}

// forward relays one direction until it ends. Segments keep their order, so a lost one delays those
// behind it.
func (p *TCP) forward(c *pair, from, to net.Conn, outbound bool) {
	queue := make(chan delayedSegment, maxQueued)
	go func() {
		defer close(queue)
		last := time.Time{}
		for {
			buf := make([]byte, segment)
			if outbound {
				p.awaitBurst(c)
			}
			n, err := from.Read(buf)
			if n > 0 {
				if !outbound {
					c.answered.Store(true)
				}
				s, _ := p.current()
				due := time.Now().Add(s.Delay)
				if s.Loss > 0 && rand.Float64() < s.Loss {
					due = due.Add(retransmitTimeout)
				}
				if s.BytesPerSecond > 0 {
					due = latest(due, last).Add(time.Duration(float64(n) / float64(s.BytesPerSecond) * 1e9))
				}
				last = latest(due, last)
				queue <- delayedSegment{buf[:n], last}
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range queue {
		time.Sleep(time.Until(x.due))
		blocking := []State{BlackHole}
		if outbound {
			blocking = append(blocking, HalfOpen)
		}
		if !p.waitWhile(blocking...) || c.aborted.Load() {
			socket.Abort(from)
			break
		}
		if _, err := to.Write(x.data); err != nil {
			socket.Abort(from) // ends the reader and notifies its peer
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	for range queue {
	}
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
