package front

import (
	"io"
	"net"
	"time"

	"ivylock/internal/figures"
	"ivylock/internal/node"
)

const (
	// maxRejecting limits the connections that are rejected at once. Each uses one of the
	// descriptors reserved for the node itself.
	maxRejecting = 8
	// firstByteTimeout limits the wait for the first byte on a connection that is rejected:
	// clients write right after the connect.
	firstByteTimeout = 20 * time.Millisecond
)

// rejectConn rejects a connection above the limit while the backlog is being drained.
// Otherwise the kernel would reset it when the listener closes, and its request would get no
// response. It blocks while maxRejecting connections are being rejected.
func (c *clientConns) rejectConn(conn net.Conn) {
	client, ok := c.admit(conn).(*clientConn)
	if !ok {
		conn.Close()
		return
	}
	c.rejecting <- struct{}{}
	c.mu.Lock()
	c.open++ // makes the shutdown wait for it
	c.mu.Unlock()
	go func() {
		client.reject(c.shutdownResponse())
		c.onLingerEnd()
		<-c.rejecting
	}()
}

// reject answers the request on a connection that is not served, and closes the connection.
// If nothing arrives it is closed without a response.
func (c *clientConn) reject(response node.Response) {
	defer c.TCPConn.Close()
	c.SetReadDeadline(time.Now().Add(firstByteTimeout))
	if _, err := io.ReadFull(c.TCPConn, make([]byte, 1)); err != nil {
		c.recordClose(figures.ClosedEvicted)
		return
	}
	c.recordClose(figures.ClosedAnswered)
	c.owner.figures.RequestsRejected.Add(int(response.Reason))
	c.writeRejection(response.Status, response.RetryAfter)
	if c.CloseWrite() == nil {
		c.discardRest(lingerTimeout)
	}
}
