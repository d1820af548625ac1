package backend

import (
	"context"
	"net"
	"time"

	"ivylock/internal/neterr"
)

const (
	dialRetryMinDelay = time.Millisecond // doubled with each retry
	dialRetryMaxDelay = 8 * time.Millisecond
	// dialRetryTimeout limits the retries of a dial that failed for lack of local
	// resources, if the connect timeout is not shorter. Another server may have an idle
	// connection that needs no dial.
	dialRetryTimeout = 50 * time.Millisecond
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// netDialer returns a dialFunc for TCP with the given timeout per dial.
func netDialer(timeout time.Duration) dialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout}
		return dialer.DialContext(ctx, "tcp", addr)
	}
}

// connect opens a connection to a server. Dials that fail for lack of local resources are
// retried for a short time.
func (p *Pool) connect(ctx context.Context, addr string) (net.Conn, error) {
	deadline := time.Now().Add(min(dialRetryTimeout, p.connectTimeout))
	for delay := dialRetryMinDelay; ; delay = min(2*delay, dialRetryMaxDelay) {
		netConn, err := p.dial(ctx, addr)
		if err == nil {
			return netConn, nil
		}
		if p.OnDialError != nil && ctx.Err() == nil {
			p.OnDialError(err)
		}
		if !neterr.IsLocalTransient(err) || !time.Now().Add(delay).Before(deadline) {
			return nil, err
		}
		p.closeOldestIdle()
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(delay):
		}
	}
}

// closeOldestIdle closes an idle connection to free local resources for a new one.
func (p *Pool) closeOldestIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evictIdle()
}
