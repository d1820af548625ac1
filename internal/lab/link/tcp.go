// Package link puts faults on the network between two parties: a proxy for any
// TCP pair and one for datagrams. It knows nothing of what they say.
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

// State is what a link does beside delay.
type State string

// The states.
const (
	Open      State = ""
	HalfOpen  State = "half-open"  // what the dialler sends is lost; the other way works
	Reset     State = "reset"      // all is reset, and new connections are
	BlackHole State = "black-hole" // nothing passes either way, nobody is told
)

// Conditions is how a link behaves.
type Conditions struct {
	Delay          time.Duration // one way
	Loss           float64       // share of segments that cost a retransmission
	BytesPerSecond int           // bytes a second each way; 0: no limit
	State          State
	// Of datagrams alone: up to so much on top of the delay, and the share that
	// comes twice.
	Jitter            time.Duration
	DuplicateFraction float64
}

const (
	segment    = 16 << 10               // bytes that pass at once
	inFlight   = 64                     // segments on the way at once; then the sender waits
	retransmit = 200 * time.Millisecond // what a lost segment costs: TCP's least time-out
	maxConns   = 4096                   // pairs of one proxy; beyond it a connection is closed at once
	dialTime   = 2 * time.Second
	remembered = 4096 // connections that have ended whose times of entry are still known
)

// TCP is a proxy in front of one address. Its methods may be called from
// several goroutines.
type TCP struct {
	place    *socket.ReservedAddr
	target   func() string
	clock    func() time.Duration
	mu       sync.Mutex
	listener *net.TCPListener  // nil while it is a black hole
	silence  *socket.BlackHole // while it is one
	shape    Conditions
	changed  chan struct{} // closed when the shape changes
	pairs    map[*pair]bool
	byLocal  map[string]*pair // by the address that the target sees; also some that have ended
	ended    []string         // addresses of byLocal whose pairs have ended, oldest first
	closed   bool
	Refused  atomic.Int64 // connections over the bound
}

// pair is one connection through the proxy.
type pair struct {
	near, far *net.TCPConn
	entered   atomic.Int64 // when the first byte of the latest burst of the dialler came
	answered  atomic.Bool  // the other side has spoken since
	cut       atomic.Bool  // it is reset: what is still on its way is lost
}

// NewTCP listens on a loopback address of its own and passes connections on
// to target, which is asked anew for each.
func NewTCP(target func() string, clock func() time.Duration) (*TCP, error) {
	place, err := socket.ReserveAddr()
	if err != nil {
		return nil, err
	}
	p := &TCP{place: place, target: target, clock: clock, changed: make(chan struct{}), pairs: map[*pair]bool{}, byLocal: map[string]*pair{}}
	if err := p.listen(); err != nil {
		place.Close()
		return nil, err
	}
	return p, nil
}

// listen begins to accept. The caller holds the lock, or is the only one that knows p.
func (p *TCP) listen() error {
	l, err := p.place.Listen()
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

// Addr is where it listens.
func (p *TCP) Addr() string { return p.place.Addr }

// Set changes the link for what passes from now on. What stood on a link that
// was reset, half-open or a black hole is reset when that begins or ends.
func (p *TCP) Set(s Conditions) error {
	p.mu.Lock()
	old := p.shape
	p.shape = s
	err := p.silenceOrListen(old.State == BlackHole, s.State == BlackHole)
	var cut []net.Conn
	if s.State == Reset || old.State != Open && s.State == Open {
		cut = p.all()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	for _, c := range cut {
		socket.Abort(c)
	}
	return err
}

// silenceOrListen begins or ends a black hole: nothing comes up in it, and nothing that was sent to it comes
// up later. The caller holds the lock.
func (p *TCP) silenceOrListen(was, is bool) error {
	switch {
	case was == is || p.closed:
		return nil
	case is:
		silence, err := p.place.BlackHole(p.listener)
		if err != nil {
			return err
		}
		p.silence, p.listener = silence, nil
		return nil
	}
	err := p.listen()
	if p.silence != nil {
		p.silence.Close()
		p.silence = nil
	}
	return err
}

// all lists every connection. The caller holds the lock.
func (p *TCP) all() []net.Conn {
	var out []net.Conn
	for c := range p.pairs {
		c.cut.Store(true)
		if out = append(out, c.near); c.far != nil {
			out = append(out, c.far)
		}
	}
	return out
}

// FirstByteAt tells when the first byte of the latest burst of a connection came
// to the proxy, by the address from which the target sees it.
func (p *TCP) FirstByteAt(remote string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byLocal[remote]
	if c == nil {
		return 0, false
	}
	return time.Duration(c.entered.Load()), true
}

// Close ends the proxy and all its connections.
func (p *TCP) Close() {
	p.mu.Lock()
	p.closed = true
	all := p.all()
	if p.listener != nil {
		p.listener.Close()
	}
	if p.silence != nil {
		p.silence.Close()
	}
	p.place.Close()
	p.mu.Unlock()
	for _, c := range all {
		socket.Abort(c)
	}
}

func (p *TCP) now() (Conditions, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shape, p.changed
}

func (p *TCP) accept(l *net.TCPListener) {
	for {
		near, err := l.AcceptTCP()
		switch {
		case err == nil:
			if c := p.admit(l, near); c != nil {
				go p.serve(c)
			}
		case errors.Is(err, net.ErrClosed):
			return
		default: // the machine is short of something
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// admit keeps a connection that came up at the present listener; else it is reset, and nil.
func (p *TCP) admit(l *net.TCPListener, near *net.TCPConn) *pair {
	c := &pair{near: near}
	c.answered.Store(true)
	p.mu.Lock()
	full := len(p.pairs) >= maxConns
	if p.closed || p.listener != l || full || p.shape.State == Reset {
		p.mu.Unlock()
		if full {
			p.Refused.Add(1)
		}
		socket.Abort(near)
		return nil
	}
	p.pairs[c] = true
	p.mu.Unlock()
	return c
}

// forget drops a pair that has ended. Its time of entry stays known for a while: a server that was held up
// may accept the connection only now.
func (p *TCP) forget(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
	if c.far == nil {
		return
	}
	p.ended = append(p.ended, c.far.LocalAddr().String())
	if len(p.ended) <= remembered {
		return
	}
	oldest := p.ended[0]
	p.ended = p.ended[1:]
	if x := p.byLocal[oldest]; x != nil && !p.pairs[x] { // else the port is in use again
		delete(p.byLocal, oldest)
	}
}

func (p *TCP) serve(c *pair) {
	near := c.near
	defer near.Close()
	defer p.forget(c)
	go p.expect(c) // what is sent while the other side is dialled has entered the link
	nc, err := net.DialTimeout("tcp", p.target(), dialTime)
	if err != nil {
		socket.Abort(near)
		return
	}
	far := nc.(*net.TCPConn)
	defer far.Close()
	p.mu.Lock()
	c.far = far
	p.byLocal[far.LocalAddr().String()] = c
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(c, near, far, true) })
	wg.Go(func() { p.pass(c, far, near, false) })
	wg.Wait()
}

// expect waits for what the dialler sends next, without reading it, and notes when it entered the link: when
// the kernel had it, not when this process, which shares the machine with all others, came to look.
func (p *TCP) expect(c *pair) {
	age, some, err := socket.AwaitArrival(c.near)
	if err == nil && some && c.answered.CompareAndSwap(true, false) {
		c.entered.Store(int64(p.clock() - age))
	}
}

// hold waits while the link is in one of the states; it gives false once the
// proxy is closed.
func (p *TCP) hold(states ...State) bool {
	for {
		s, changed := p.now()
		held := false
		for _, h := range states {
			held = held || s.State == h
		}
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed || !held {
			return !closed
		}
		select {
		case <-changed:
		case <-time.After(time.Second): // looks whether it was closed
		}
	}
}

// parcel is a segment on its way.
type parcel struct {
	data []byte
	due  time.Time
}

// pass carries one way until it ends. Segments keep their order, so one that
// is lost delays those behind it.
func (p *TCP) pass(c *pair, from, to net.Conn, out bool) {
	way := make(chan parcel, inFlight)
	go func() {
		defer close(way)
		last := time.Time{}
		for {
			buf := make([]byte, segment)
			if out {
				p.expect(c)
			}
			n, err := from.Read(buf)
			if n > 0 {
				if !out {
					c.answered.Store(true)
				}
				s, _ := p.now()
				due := time.Now().Add(s.Delay)
				if s.Loss > 0 && rand.Float64() < s.Loss {
					due = due.Add(retransmit)
				}
				if s.BytesPerSecond > 0 {
					due = later(due, last).Add(time.Duration(float64(n) / float64(s.BytesPerSecond) * 1e9))
				}
				last = later(due, last)
				way <- parcel{buf[:n], last}
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range way {
		time.Sleep(time.Until(x.due))
		lost := []State{BlackHole}
		if out {
			lost = append(lost, HalfOpen)
		}
		if !p.hold(lost...) || c.cut.Load() {
			socket.Abort(from)
			break
		}
		if _, err := to.Write(x.data); err != nil {
			socket.Abort(from) // so that the reader ends, and its peer hears of it
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	for range way {
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
