package backend

import (
	"context"
	"net"
	"time"

	"ivylock/internal/neterr"
)

const (
	dialRetryFirst = time.Millisecond // after a dial that this machine failed; it doubles
	dialRetryLast  = 8 * time.Millisecond
	// dialRetryTime is for how long such a dial is made again at most, where the
	// settings' time for a connection is not shorter: another server may have an
	// idle connection, which needs none.
	dialRetryTime = 50 * time.Millisecond
)

// dialer opens a connection.
type dialer func(ctx context.Context, addr string) (net.Conn, error)

// netDialer opens TCP connections, each of which has so long to come up.
func netDialer(timeout time.Duration) dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		d := net.Dialer{Timeout: timeout}
		return d.DialContext(ctx, "tcp", addr)
	}
}

// connect opens a connection to a server. What the machine had no room for is tried
// again for a short time.
func (p *Pool) connect(ctx context.Context, addr string) (net.Conn, error) {
	end := time.Now().Add(min(dialRetryTime, p.connectTimeout))
	for pause := dialRetryFirst; ; pause = min(2*pause, dialRetryLast) {
		nc, err := p.dial(ctx, addr)
		if err == nil {
			return nc, nil
		}
		if p.OnDialError != nil && ctx.Err() == nil {
			p.OnDialError(err)
		}
		if !neterr.Exhausted(err) || !time.Now().Add(pause).Before(end) {
			return nil, err
		}
		p.makeRoom()
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// makeRoom closes an idle connection, as the machine has no room for a new one.
func (p *Pool) makeRoom() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evict()
}
