package xds

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc/peer"
)

// conns finds the connection that a stream came by, so that it can be broken
// for good: what is still in the kernel's buffers is dropped, not sent later.
type conns struct {
	mu sync.Mutex
	by map[string]*net.TCPConn // by the proxy's address
}

// watch gives a listener whose connections are known.
func (c *conns) watch(l net.Listener) net.Listener { return &watched{l, c} }

type watched struct {
	net.Listener
	conns *conns
}

func (w *watched) Accept() (net.Conn, error) {
	n, err := w.Listener.Accept()
	t, ok := n.(*net.TCPConn)
	if err != nil || !ok {
		return n, err
	}
	key := t.RemoteAddr().String()
	w.conns.mu.Lock()
	defer w.conns.mu.Unlock()
	if w.conns.by == nil {
		w.conns.by = map[string]*net.TCPConn{}
	}
	w.conns.by[key] = t
	return &known{TCPConn: t, key: key, conns: w.conns}, nil
}

// known is forgotten when it is closed.
type known struct {
	*net.TCPConn
	key   string
	conns *conns
}

func (k *known) Close() error {
	k.conns.mu.Lock()
	if k.conns.by[k.key] == k.TCPConn {
		delete(k.conns.by, k.key)
	}
	k.conns.mu.Unlock()
	return k.TCPConn.Close()
}

// abort resets the connection of a stream.
func (c *conns) abort(ctx context.Context) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return
	}
	c.mu.Lock()
	t := c.by[p.Addr.String()]
	c.mu.Unlock()
	if t != nil {
		t.SetLinger(0)
		t.Close()
	}
}
