package backend

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
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
	// dialYields is how often what is ready runs before a dial counts as timed out.
	dialYields = 4
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// dialResult is the result of a dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// netDialer returns a dialFunc for TCP with the given timeout per dial.
func netDialer(timeout time.Duration) dialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		results := make(chan dialResult, 1)
		go func() {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
			results <- dialResult{conn, err}
		}()
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case result := <-results:
			return result.conn, result.err
		case <-timer.C:
		}
		return endDial(results, cancel, addr)
	}
}

// endDial returns the result of a dial whose time is over. A process that gets little of a processor may
// notice that before it notices the connection, so what is ready runs first.
func endDial(results <-chan dialResult, cancel func(), addr string) (net.Conn, error) {
	for range dialYields {
		runtime.Gosched()
		select {
		case result := <-results:
			return result.conn, result.err
		default:
		}
	}
	cancel()
	if result := <-results; result.err == nil {
		return result.conn, nil
	}
	return nil, fmt.Errorf("dial %s: %w", addr, os.ErrDeadlineExceeded)
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
