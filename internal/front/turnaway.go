package front

import (
	"io"
	"net"
	"time"

	"ivylock/internal/figures"
	"ivylock/internal/node"
)

const (
	// mostTurnedAway is how many connections are turned away at once. Each takes one of the
	// descriptors that are kept for the node itself.
	mostTurnedAway = 8
	// firstByteTime is how long the first byte of a request may take on a connection that
	// is turned away: a client writes right behind its connect.
	firstByteTime = 20 * time.Millisecond
)

// turnAway ends a connection for which there is no room while the listener is being
// emptied: the kernel would reset it when the listener closes, and a request on it would
// have no answer. It waits while as many as may be are being turned away.
func (c *clientConns) turnAway(nc net.Conn) {
	k, is := c.admit(nc).(*client)
	if !is {
		nc.Close()
		return
	}
	c.turningAway <- struct{}{}
	c.mu.Lock()
	c.open++ // the drain waits for it
	c.mu.Unlock()
	go func() {
		k.turnAway(c.endingAnswer())
		c.lingered()
		<-c.turningAway
	}()
}

// turnAway answers the request that comes on a connection that nobody serves, and closes
// the connection. One on which nothing has come is closed with no word.
func (c *client) turnAway(answer node.Response) {
	defer c.TCPConn.Close()
	c.SetReadDeadline(time.Now().Add(firstByteTime))
	if _, err := io.ReadFull(c.TCPConn, make([]byte, 1)); err != nil {
		c.closes(figures.ClosedForRoom)
		return
	}
	c.closes(figures.ClosedAnswered)
	c.conns.figures.RequestsTurned.Add(int(answer.Reason))
	c.refuse(answer.Status, answer.RetryAfter)
	if c.CloseWrite() == nil {
		c.discardRest()
	}
}
