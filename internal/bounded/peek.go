package bounded

import (
	"errors"
	"net"
	"syscall"
)

// OpenAndIdle reports whether a connection is open and has no unread data. It does not
// block, and may be called while another goroutine reads.
func OpenAndIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnread reports whether a connection has unread data. A closed connection has none. It
// does not block.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// PeerClosed reports whether the other side has closed or reset a connection and no unread
// data precedes that. It does not block.
func PeerClosed(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}

var errNoSocket = errors.New("no socket")

func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { // unlike Read, Control does not wait for a concurrent reader
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
