// Package accept keeps a listener accepting, with whatever errors the system fails an
// accept. net/http and gRPC end their service at any error that does not call itself
// temporary, and pause for up to a second after one that does.
package accept

import (
	"errors"
	"log"
	"net"
	"os"
	"sync"
	"time"
)

const (
	retryFirst = time.Millisecond     // after an accept that failed; it doubles
	retryLast  = 5 * time.Millisecond // the longest such wait: clients wait meanwhile
	logPause   = time.Second          // between two lines about accepts that fail
)

// Listener is a listener whose Accept fails only once it has been closed, or when a
// deadline that was set has passed. Its methods may be called from several goroutines.
type Listener struct {
	net.Listener
	failed func(error)
	once   sync.Once
	closed chan struct{}

	logMu    sync.Mutex
	loggedAt time.Time // of the last line about accepts that fail
	unlogged int       // that have failed since
}

// New makes one of a listener. Each accept that fails is told to failed, if that is not
// nil; it must not wait.
func New(l net.Listener, failed func(error)) *Listener {
	return &Listener{Listener: l, failed: failed, closed: make(chan struct{})}
}

// Accept waits for a connection. An accept that fails is made again within some
// milliseconds. The error is net.ErrClosed once the listener has been closed, or
// os.ErrDeadlineExceeded.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := retryFirst; ; pause = min(2*pause, retryLast) {
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
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// SetDeadline bounds how long an accept waits; false if the listener has no such thing.
func (l *Listener) SetDeadline(t time.Time) bool {
	inner, is := l.Listener.(interface{ SetDeadline(time.Time) error })
	return is && inner.SetDeadline(t) == nil
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

// report tells of an accept that failed, and logs it now and then.
func (l *Listener) report(err error) {
	if l.failed != nil {
		l.failed(err)
	}
	l.logMu.Lock()
	defer l.logMu.Unlock()
	if l.unlogged++; time.Since(l.loggedAt) < logPause {
		return
	}
	log.Printf("accept on %v: %v; it is made again; %d failed since the last such line", l.Addr(), err, l.unlogged)
	l.loggedAt, l.unlogged = time.Now(), 0
}
