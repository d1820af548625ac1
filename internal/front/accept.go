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

// emptyTime is for how long nothing comes at a listener that is empty.
const emptyTime = 2 * time.Millisecond

// Accept waits until there is room for one more connection, and then for that. It
// fails only once the listening has been ended.
func (c *clientConns) Accept() (net.Conn, error) {
	for {
		room, err := c.waitForRoom()
		if err != nil {
			return nil, err
		}
		nc, err := c.acceptOnce()
		switch {
		case err == nil && room:
			return c.admit(nc), nil
		case err == nil:
			c.turnAway(nc)
		case errors.Is(err, net.ErrClosed) || c.isEmpty(err):
			return nil, net.ErrClosed
		}
	}
}

// waitForRoom waits until there is room for one more connection; while the listener is
// being emptied it does not wait, and tells whether there is. The error is net.ErrClosed
// once the listening has been ended.
func (c *clientConns) waitForRoom() (room bool, err error) {
	for !c.room(time.Now()) {
		if c.emptying.Load() {
			return false, nil
		}
		select {
		case <-time.After(roomPause):
		case <-c.closed:
			return false, net.ErrClosed
		}
	}
	return true, nil
}

// acceptOnce waits for a connection; while the listener is being emptied not for long.
func (c *clientConns) acceptOnce() (net.Conn, error) {
	if c.emptying.Load() {
		c.setAcceptDeadline()
	}
	return c.Listener.Accept()
}

// setAcceptDeadline has an accept that waits end soon; false if the listener has no
// such thing.
func (c *clientConns) setAcceptDeadline() bool {
	return c.Listener.SetDeadline(time.Now().Add(emptyTime))
}

// isEmpty tells that an accept has found nothing at a listener that is being emptied.
func (c *clientConns) isEmpty(err error) bool {
	if !c.emptying.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.once.Do(func() { close(c.emptied) })
	return true
}

// admit counts a connection and gives it a number.
func (c *clientConns) admit(nc net.Conn) net.Conn {
	tcp, is := nc.(*net.TCPConn)
	if !is {
		return nc
	}
	c.figures.ConnectionsOpened.Add(1)
	k := &client{TCPConn: tcp, conns: c, number: c.numbers.Add(1), opened: time.Now()}
	c.history.Add(eventlog.Event{At: k.opened, Kind: eventlog.ConnectionOpened, Connection: k.number})
	return k
}

// Close ends the listening. What waits there is reset by the kernel, but for what was accepted
// by empty, which comes before. Where the socket is shared, whoever
// starts another process on it may make it a blocking one for all, and an accept
// that blocks in the kernel then keeps the close waiting for the next client: so the
// close itself comes as one. Connections that others take instead do no harm.
func (c *clientConns) Close() error {
	c.close.Do(func() {
		close(c.closed)
		ended := make(chan error, 1)
		go func() { ended <- c.Listener.Close() }()
		for range kicks {
			select {
			case c.end = <-ended:
				return
			case <-time.After(kickPause):
			}
			a := c.Listener.Addr()
			if kick, err := net.DialTimeout(a.Network(), a.String(), kickPause); err == nil {
				kick.Close()
			}
		}
	})
	return c.end
}

// empty accepts what waits at the listener, for so long at most, before that is closed.
func (c *clientConns) empty(within time.Duration) {
	c.emptying.Store(true)
	if !c.setAcceptDeadline() {
		return
	}
	select {
	case <-c.emptied:
	case <-time.After(within):
	}
}

// closing is the state of a listener's end.
type closing struct {
	emptying atomic.Bool
	emptied  chan struct{} // closed when nothing waits at the listener
	once     sync.Once
	closed   chan struct{}
	close    sync.Once
	end      error // of the listener's close
}
