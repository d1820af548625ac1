// Package backend keeps connections to the servers that discovery names and
// sends messages over them: one write on one connection, so that it is known
// whether a message may have run. It decides nothing.
package backend

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/balance"
	"ivylock/guard"
	"ivylock/internal/bounded"
)

const (
	idleMargin = time.Second // an idle connection is closed this long before the backend may close it
	// A second answer to the request before may be on its way on a connection, and would be
	// taken for the next one's: it rests so long before it is used again, if another one can
	// be used, or if any server has sent such a thing, or what was no answer, of late.
	settleTime  = 20 * time.Millisecond
	spoiltLasts = time.Minute
)

// Server is one server. Its owner, a single goroutine, writes it; idle
// connections are the pool's.
type Server struct {
	ID             balance.ServerID
	Name           string                    // discovery's
	Removed        bool                      // not on the list any more
	InFlight       int                       // attempts and probes whose outcome is to come
	Location       guard.Location            // the loop's
	closed         atomic.Pointer[time.Time] // since when it drains or is gone: nothing new may be sent; nil: neither
	LastResponseAt balance.Time              // when it last answered an attempt or a probe; the loop's
	addr           string
	startedAt      balance.Time
	idle           []*conn // the warmest last
}

// Disable notes that the server drains or is gone: nothing new may be sent. Open takes it
// back.
func (b *Server) Disable(now time.Time) { b.closed.CompareAndSwap(nil, &now) }

// Enable notes that the server may be used.
func (b *Server) Enable() { b.closed.Store(nil) }

// Disabled tells whether nothing new may be sent.
func (b *Server) Disabled() bool { return b.closed.Load() != nil }

// DisabledAt tells since when; zero if the server may be used.
func (b *Server) DisabledAt() time.Time {
	if at := b.closed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// conn is a connection to a server; it carries one request at a time.
type conn struct {
	net.Conn
	r         *bounded.Reader
	addr      string
	startedAt balance.Time // of the process that it leads to, as far as known
	idleSince time.Time
	usedAt    time.Time // when it last brought an answer; zero: it carried nothing yet
	spoilt    bool      // something came on it that was no answer, or behind one
}

// Pool keeps the connections to all servers within one budget. Its methods may
// be called from several goroutines.
type Pool struct {
	// OnDialError is told of each connection that did not come up, if it is not nil. It
	// is set before the first exchange, and must not wait.
	OnDialError func(error)

	dial                     dialer
	connectTimeout, idleTime time.Duration
	settle                   time.Duration
	spoiltAt                 time.Time // when a server last sent what was no answer, or came behind one
	mu                       sync.Mutex
	open, most               int
	servers                  map[*Server]bool
}

// NewPool makes a pool of so many connections at most. A connection has
// connectTimeout to come up; one that has been idle for a little less than
// connIdle, after which servers may close it, is closed.
func NewPool(most int, connectTimeout, connIdle time.Duration) *Pool {
	return &Pool{dial: netDialer(connectTimeout), connectTimeout: connectTimeout, settle: settleTime, most: most, servers: map[*Server]bool{},
		idleTime: max(connIdle-idleMargin, connIdle/2)}
}

// Add takes a server in.
func (p *Pool) Add(b *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[b] = true
}

// Remove forgets a server that has no connection any more.
func (p *Pool) Remove(b *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(b)
	delete(p.servers, b)
}

// Update takes a server's new address and start. Connections to an older
// process lead nowhere.
func (p *Pool) Update(b *Server, addr string, startedAt balance.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.addr != addr || b.startedAt != startedAt {
		b.addr, b.startedAt = addr, startedAt
		p.dropIdle(b)
	}
}

// ServerCount tells how many servers the pool knows.
func (p *Pool) ServerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.servers)
}

// SetMaxConns changes how many connections there may be. Idle ones above it are
// closed; those in use go on.
func (p *Pool) SetMaxConns(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for p.open > p.most && p.evict() {
	}
}

// SetIdleTimeout changes how long connections are kept idle.
func (p *Pool) SetIdleTimeout(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTime = keep
}

// Enable tells how many connections there are.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseIdle closes a server's idle connections.
func (p *Pool) CloseIdle(b *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(b)
}

func (p *Pool) dropIdle(b *Server) {
	for _, c := range b.idle {
		c.Close()
	}
	p.open -= len(b.idle)
	b.idle = nil
}

// take gives the warmest idle connection that still stands and has rested, or nil and
// leave to open a new one; ok is false if the budget is spent.
func (p *Pool) take(b *Server) (c *conn, addr string, startedAt balance.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := p.rested(b, now); i >= 0; i = p.rested(b, now) {
		c := b.idle[i]
		b.idle = slices.Delete(b.idle, i, i+1)
		// Guards against spending an attempt, which may count as run, on a
		// connection that is known to be dead.
		if now.Sub(c.idleSince) < p.idleTime && bounded.OpenAndIdle(c.Conn) {
			return c, c.addr, c.startedAt, true
		}
		if bounded.HasUnread(c.Conn) {
			p.spoiltAt = now
		}
		p.open--
		c.Close()
	}
	if p.open >= p.most && !p.evict() {
		return nil, "", 0, false
	}
	p.open++
	return nil, b.addr, b.startedAt, true
}

// rested finds the idle connection that is to be used next: the warmest that has rested,
// else the one that has rested longest; -1: a new one.
func (p *Pool) rested(b *Server, now time.Time) int {
	for i := len(b.idle) - 1; i >= 0; i-- {
		if now.Sub(b.idle[i].usedAt) >= p.settle {
			return i
		}
	}
	if len(b.idle) == 0 || now.Sub(p.spoiltAt) < spoiltLasts {
		return -1
	}
	return 0
}

// spoilt takes that a server has sent what was no answer.
func (p *Pool) spoilt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoiltAt = time.Now()
}

// evict closes the idle connection that has waited longest.
func (p *Pool) evict() bool {
	var coldest *Server
	for b := range p.servers {
		if len(b.idle) > 0 && (coldest == nil || b.idle[0].idleSince.Before(coldest.idle[0].idleSince)) {
			coldest = b
		}
	}
	if coldest == nil {
		return false
	}
	coldest.idle[0].Close()
	coldest.idle = coldest.idle[1:]
	p.open--
	return true
}

// put keeps a connection for the next request.
func (p *Pool) put(b *Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Disabled() || c.addr != b.addr || c.startedAt != b.startedAt {
		c.Close()
		p.open--
		return
	}
	c.idleSince = time.Now()
	b.idle = append(b.idle, c)
}

// drop gives up a connection, or the leave to open one where c is nil.
func (p *Pool) drop(c *conn) {
	if c != nil {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// CloseExpired closes connections that have been idle for so long that their backend
// may soon close them: guards against a request crossing that close.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for b := range p.servers {
		for len(b.idle) > 0 && time.Since(b.idle[0].idleSince) >= p.idleTime {
			b.idle[0].Close()
			b.idle = b.idle[1:]
			p.open--
		}
	}
}
