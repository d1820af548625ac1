package xds

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc/peer"
)

// connRegistry maps client addresses to TCP connections, so that the connection
// of a stream can be reset, which discards data in the kernel's send buffer.
type connRegistry struct {
	mu     sync.Mutex
	byAddr map[string]*net.TCPConn // keyed by the proxy's address
}

// track returns a listener that registers the connections it accepts.
func (c *connRegistry) track(l net.Listener) net.Listener { return &trackingListener{l, c} }

type trackingListener struct {
	net.Listener
	conns *connRegistry
}

func (w *trackingListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	tcpConn, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	key := tcpConn.RemoteAddr().String()
	w.conns.mu.Lock()
	defer w.conns.mu.Unlock()
	if w.conns.byAddr == nil {
		w.conns.byAddr = map[string]*net.TCPConn{}
	}
	w.conns.byAddr[key] = tcpConn
	return &trackedConn{TCPConn: tcpConn, key: key, conns: w.conns}, nil
}

// trackedConn removes itself from the registry when it is closed.
type trackedConn struct {
	*net.TCPConn
	key   string
	conns *connRegistry
}

func (c *trackedConn) Close() error {
	c.conns.mu.Lock()
	if c.conns.byAddr[c.key] == c.TCPConn {
		delete(c.conns.byAddr, c.key)
	}
	c.conns.mu.Unlock()
	return c.TCPConn.Close()
}

// abort resets the TCP connection that carries a stream's context.
func (c *connRegistry) abort(ctx context.Context) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return
	}
	c.mu.Lock()
	conn := c.byAddr[p.Addr.String()]
	c.mu.Unlock()
	if conn != nil {
		conn.SetLinger(0)
		conn.Close()
	}
}
