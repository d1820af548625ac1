// Package backend manages connections to the servers named by discovery and sends
// messages over them. Each message is written once on one connection, so that the
// caller knows whether it may have run.
package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/balance"
	"ivylock/guard"
	"ivylock/internal/bounded"
	"ivylock/internal/membudget"
)

const idleMargin = time.Second // idle connections are closed this long before the server may close them

// Server is one backend server. A single owner goroutine writes its exported fields; the
// pool owns its idle connections.
type Server struct {
	ID             balance.ServerID
	Name           string                    // instance ID in discovery
	Removed        bool                      // no longer listed by discovery
	InFlight       int                       // attempts and probes without an outcome yet
	Location       guard.Location            // used by the owner only
	disabledAt     atomic.Pointer[time.Time] // when sending was disabled; nil if it is enabled
	LastResponseAt balance.Time              // to an attempt or a probe; used by the owner only
	addr           string
	startedAt      balance.Time
	idle           []*conn       // most recently used last
	reuseWaits     time.Duration // in all since connOpenedAt; see Pool.reserve
	connOpenedAt   time.Time     // when a connection was last opened
}

// Disable forbids new messages to the server, which drains or has been removed. Enable
// reverts it.
func (s *Server) Disable(now time.Time) { s.disabledAt.CompareAndSwap(nil, &now) }

// Enable allows new messages to the server.
func (s *Server) Enable() { s.disabledAt.Store(nil) }

// Disabled reports whether new messages are forbidden.
func (s *Server) Disabled() bool { return s.disabledAt.Load() != nil }

// DisabledAt returns when the server was disabled; zero if it is enabled.
func (s *Server) DisabledAt() time.Time {
	if at := s.disabledAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	reader         *bounded.Reader
	addr           string
	startedAt      balance.Time // start of the server process that it leads to, as far as known
	idleSince      time.Time
	lastResponseAt time.Time // zero if it has carried no request yet
}

// Pool manages the connections to all servers within one limit. It is safe for
// concurrent use.
type Pool struct {
	// OnDialError, if not nil, is called for each failed dial. It is set before the
	// first exchange and must not block.
	OnDialError func(error)
	// Memory is for responses that are buffered; nil: no limit. It is set before the first exchange.
	Memory *membudget.Budget

	dial                        dialFunc
	connectTimeout, idleTimeout time.Duration
	maxIdleTimeout              time.Duration // servers may close connections that are idle for longer
	reuseDelay                  time.Duration
	mu                          sync.Mutex
	open, maxConns              int
	servers                     map[*Server]bool
}

// NewPool returns a pool of at most maxConns connections. A dial may take connectTimeout.
// Servers may close connections that were idle for idleTimeout; the pool closes them a
// little earlier.
func NewPool(maxConns int, connectTimeout, idleTimeout time.Duration) *Pool {
	maxIdleTimeout := max(idleTimeout-idleMargin, idleTimeout/2)
	return &Pool{dial: netDialer(connectTimeout), connectTimeout: connectTimeout, reuseDelay: reuseDelay, maxConns: maxConns, servers: map[*Server]bool{},
		idleTimeout: maxIdleTimeout, maxIdleTimeout: maxIdleTimeout}
}

// Add adds a server.
func (p *Pool) Add(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[server] = true
}

// Remove closes a server's idle connections and removes it.
func (p *Pool) Remove(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(server)
	delete(p.servers, server)
}

// Update sets a server's address and start time. If either has changed, idle connections
// lead to a former process and are closed.
func (p *Pool) Update(server *Server, addr string, startedAt balance.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if server.addr != addr || server.startedAt != startedAt {
		server.addr, server.startedAt = addr, startedAt
		p.closeIdle(server)
	}
}

// ServerCount returns the number of servers in the pool.
func (p *Pool) ServerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.servers)
}

// SetMaxConns sets the connection limit. Idle connections above it are closed; those in
// use continue.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
	for p.open > p.maxConns && p.evictIdle() {
	}
}

// SetIdleTimeout sets how long connections are kept idle, at most until a little before servers
// may close them.
func (p *Pool) SetIdleTimeout(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeout = min(timeout, p.maxIdleTimeout)
}

// OpenConns returns the number of connections.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseIdle closes a server's idle connections.
func (p *Pool) CloseIdle(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(server)
}

func (p *Pool) closeIdle(server *Server) {
	for _, c := range server.idle {
		c.Close()
	}
	p.open -= len(server.idle)
	server.idle = nil
}

// evictIdle closes the connection that has been idle longest.
func (p *Pool) evictIdle() bool {
	var oldest *Server
	for server := range p.servers {
		if len(server.idle) > 0 && (oldest == nil || server.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = server
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].Close()
	oldest.idle = oldest.idle[1:]
	p.open--
	return true
}

// leadsTo reports whether a connection leads to the process that a server runs as now, as far as known.
// The caller holds the lock.
func (p *Pool) leadsTo(server *Server, c *conn) bool {
	return p.servers[server] && c.addr == server.addr && c.startedAt == server.startedAt
}

// isCurrent is leadsTo for a connection in use.
func (p *Pool) isCurrent(server *Server, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leadsTo(server, c)
}

// release returns a connection to the idle list.
func (p *Pool) release(server *Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if server.Disabled() || !p.leadsTo(server, c) {
		c.Close()
		p.open--
		return
	}
	c.idleSince = time.Now()
	server.idle = append(server.idle, c)
}

// discard closes a connection, or releases the reservation for a new one if c is nil.
func (p *Pool) discard(c *conn) {
	if c != nil {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// CloseExpired closes connections that were idle for so long that their server may soon
// close them. Guards against sending a request on a connection that is being closed.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server := range p.servers {
		for len(server.idle) > 0 && time.Since(server.idle[0].idleSince) >= p.idleTimeout {
			server.idle[0].Close()
			server.idle = server.idle[1:]
			p.open--
		}
	}
}
