package backend

import (
	"context"
	"errors"
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/internal/bounded"
)

// reuseDelay is how long a connection carries no request after a response. HTTP/1.1
// responses name no request, so a second copy of a response that arrives some
// milliseconds late would be matched to the next request on the connection.
const reuseDelay = 20 * time.Millisecond

const (
	// maxMeanWaiting is the mean number of requests waiting for reuse of a server's
	// connections from which on it gets another connection.
	maxMeanWaiting = 0.05
	// freeWaits is how long requests may wait in all after a connection was opened before the
	// mean counts: a few waits in a row are preferred to a dial, which may fail.
	freeWaits = 4 * reuseDelay
)

// errConnLimit is returned if the pool's connection limit is reached and no connection is
// idle.
var errConnLimit = errors.New("connection limit reached")

// reservation is the right to use one connection of the pool.
type reservation struct {
	conn      *conn         // nil: the caller opens a new one
	wait      time.Duration // until conn may carry a request
	addr      string        // of the server
	startedAt balance.Time  // of the server process at addr, as far as known
}

// acquire returns a connection that may carry a request now, or the right to open one. It
// waits up to reuseDelay for a connection that has just carried a response. The error is
// errConnLimit, or that of ctx if it ends meanwhile.
func (p *Pool) acquire(ctx context.Context, server *Server) (reservation, error) {
	for {
		reserved, err := p.reserve(server)
		if err != nil || reserved.wait == 0 {
			return reserved, err
		}
		select {
		case <-ctx.Done():
			p.release(server, reserved.conn)
			return reservation{}, ctx.Err()
		case <-time.After(reserved.wait):
		}
		if bounded.OpenAndIdle(reserved.conn.Conn) {
			return reserved, nil
		}
		p.discard(reserved.conn)
	}
}

// reserve takes the most recently used idle connection whose reuse delay is over, else the
// one whose delay ends first. A new one is to be opened if there is none, or if too many
// requests wait.
func (p *Pool) reserve(server *Server) (reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		i, wait := p.pickIdle(server, now)
		if i == noIdleConn || wait > 0 && p.open < p.maxConns && tooManyWait(server, wait, now) {
			break
		}
		c := server.idle[i]
		server.idle = slices.Delete(server.idle, i, i+1)
		// Guards against using an attempt, which might count as run, on a connection
		// that is known to be closed or carries bytes that belong to no request.
		if now.Sub(c.idleSince) < p.idleTimeout && bounded.OpenAndIdle(c.Conn) {
			server.reuseWaits += wait
			return reservation{conn: c, wait: wait, addr: c.addr, startedAt: c.startedAt}, nil
		}
		p.open--
		c.Close()
	}
	if p.open >= p.maxConns && !p.evictIdle() {
		return reservation{}, errConnLimit
	}
	p.open++
	server.reuseWaits, server.connOpenedAt = 0, time.Now()
	return reservation{addr: server.addr, startedAt: server.startedAt}, nil
}

// tooManyWait reports whether, with one more wait, more than maxMeanWaiting requests have
// waited in the mean since the server's last connection was opened.
func tooManyWait(server *Server, wait time.Duration, now time.Time) bool {
	waited := server.reuseWaits + wait - freeWaits
	return waited.Seconds() > maxMeanWaiting*now.Sub(server.connOpenedAt).Seconds()
}

// noIdleConn is the index that pickIdle returns for a server without idle connections.
const noIdleConn = -1

// pickIdle returns the index of the idle connection to use next and how long it has to wait
// for its reuse delay, or noIdleConn.
func (p *Pool) pickIdle(server *Server, now time.Time) (index int, wait time.Duration) {
	index = noIdleConn
	for i := len(server.idle) - 1; i >= 0; i-- {
		left := p.reuseDelay - now.Sub(server.idle[i].lastResponseAt)
		if left <= 0 {
			return i, 0
		}
		if index == noIdleConn || left < wait {
			index, wait = i, left
		}
	}
	return index, wait
}
