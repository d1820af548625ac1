package front

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/internal/eventlog"
)

// emptyBacklogTimeout is how long an accept waits before the backlog counts as empty.
const emptyBacklogTimeout = 2 * time.Millisecond

// Accept waits until the connection limit allows one more connection and then accepts it.
// It fails only once the listener is closed.
func (c *clientConns) Accept() (net.Conn, error) {
	for {
		hasRoom, err := c.waitForRoom()
		if err != nil {
			return nil, err
		}
		conn, err := c.acceptOnce()
		switch {
		case err == nil && hasRoom:
			return c.admit(conn), nil
		case err == nil:
			c.rejectConn(conn)
		case errors.Is(err, net.ErrClosed) || c.backlogDone(err):
			return nil, net.ErrClosed
		}
	}
}

// waitForRoom waits until the limit allows one more connection. While the backlog is being
// drained it does not wait but reports whether there is room. It returns net.ErrClosed once
// the listener is closed.
func (c *clientConns) waitForRoom() (hasRoom bool, err error) {
	for !c.makeRoom(time.Now()) {
		if c.drainingBacklog.Load() {
			return false, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-c.closed:
			return false, net.ErrClosed
		}
	}
	return true, nil
}

// acceptOnce waits for a connection, only briefly while the backlog is being drained.
func (c *clientConns) acceptOnce() (net.Conn, error) {
	if c.drainingBacklog.Load() {
		c.setAcceptDeadline()
	}
	return c.Listener.Accept()
}

// setAcceptDeadline makes a waiting accept time out soon. It returns false if the listener
// has no deadlines.
func (c *clientConns) setAcceptDeadline() bool {
	return c.Listener.SetDeadline(time.Now().Add(emptyBacklogTimeout))
}

// backlogDone reports whether an accept timed out because the backlog being drained is empty. It
// may also have timed out untried: between two tries after a failed one, or in a process pause.
func (c *clientConns) backlogDone(err error) bool {
	if !c.drainingBacklog.Load() || !errors.Is(err, os.ErrDeadlineExceeded) || c.Listener.HasWaiting() {
		return false
	}
	c.backlogOnce.Do(func() { close(c.backlogEmpty) })
	return true
}

// admit counts a connection and numbers it.
func (c *clientConns) admit(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	c.figures.ConnectionsOpened.Add(1)
	client := &clientConn{TCPConn: tcp, owner: c, number: c.lastNumber.Add(1), openedAt: time.Now()}
	c.history.Add(eventlog.Event{At: client.openedAt, Kind: eventlog.ConnectionOpened, Connection: client.number})
	return client
}

// Close closes the listener. The kernel resets what is still in the backlog; drainBacklog is
// called before. Starting another process with a shared socket may put it into blocking mode
// for all its users. An accept that blocks in the kernel then keeps the listener from closing
// until a client connects, so Close connects itself. It is harmless if another process
// accepts these connections.
func (c *clientConns) Close() error {
	c.close.Do(func() {
		close(c.closed)
		done := make(chan error, 1)
		go func() { done <- c.Listener.Close() }()
		for range unblockAttempts {
			select {
			case c.closeErr = <-done:
				return
			case <-time.After(unblockInterval):
			}
			addr := c.Listener.Addr()
			if conn, err := net.DialTimeout(addr.Network(), addr.String(), unblockInterval); err == nil {
				conn.Close()
			}
		}
	})
	return c.closeErr
}

// drainBacklog accepts what is in the backlog before the listener is closed, for timeout at
// most.
func (c *clientConns) drainBacklog(timeout time.Duration) {
	c.drainingBacklog.Store(true)
	if !c.setAcceptDeadline() {
		return
	}
	select {
	case <-c.backlogEmpty:
	case <-time.After(timeout):
	}
}

// listenerState is the progress of closing the listener.
type listenerState struct {
	drainingBacklog atomic.Bool
	backlogEmpty    chan struct{} // closed once the backlog is empty
	backlogOnce     sync.Once
	closed          chan struct{}
	close           sync.Once
	closeErr        error // from closing the listener
}
