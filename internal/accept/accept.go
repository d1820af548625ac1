// Package accept provides a listener that keeps accepting after errors. net/http and gRPC
// stop serving after an error that is not marked as temporary, and pause for up to a second
// after one that is.
package accept

import (
	"errors"
	"log"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	promptRetries = 16                   // failed accepts in a row that are repeated at once
	minRetryDelay = time.Millisecond     // after further ones; doubles each time
	maxRetryDelay = 5 * time.Millisecond // kept short because clients are waiting
	logInterval   = time.Second          // between two log lines about failed accepts
)

// Listener is a listener whose Accept fails only after Close or when a deadline has passed.
// Its methods are safe for concurrent use.
type Listener struct {
	net.Listener
	onError func(error)
	once    sync.Once
	closed  chan struct{}

	logMu    sync.Mutex
	loggedAt time.Time // last log line about failed accepts
	unlogged int       // failed accepts since then
}

// New wraps l. onError, if not nil, is called for each failed accept and must not block.
func New(l net.Listener, onError func(error)) *Listener {
	return &Listener{Listener: l, onError: onError, closed: make(chan struct{})}
}

// Accept waits for a connection and retries failed accepts, the first ones at once: the failure may
// be that of one connection, and hundreds may wait behind it. The error is net.ErrClosed after Close, or
// os.ErrDeadlineExceeded.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minRetryDelay
	for failures := 1; ; failures++ {
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			return nc, nil
		case l.isClosed():
			return nil, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
		l.report(err)
		if failures <= promptRetries {
			continue
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// SetDeadline sets the deadline of Accept. It returns false if the listener does not
// support deadlines.
func (l *Listener) SetDeadline(t time.Time) bool {
	inner, is := l.Listener.(interface{ SetDeadline(time.Time) error })
	return is && inner.SetDeadline(t) == nil
}

// HasWaiting reports whether a connection waits to be accepted. It does not block; false if the
// listener has no socket.
func (l *Listener) HasWaiting() bool {
	inner, is := l.Listener.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	// Unlike Accept, Control is not kept from running by a deadline that has passed.
	controlErr := raw.Control(func(fd uintptr) {
		waiting, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return controlErr == nil && err == nil && waiting > 0
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// report passes a failed accept to onError and logs at most one line per logInterval.
func (l *Listener) report(err error) {
	if l.onError != nil {
		l.onError(err)
	}
	l.logMu.Lock()
	defer l.logMu.Unlock()
	if l.unlogged++; time.Since(l.loggedAt) < logInterval {
		return
	}
	log.Printf("accept on %v: %v; retrying; %d failures since the last such line", l.Addr(), err, l.unlogged)
	l.loggedAt, l.unlogged = time.Now(), 0
}
