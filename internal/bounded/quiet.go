package bounded

import (
	"errors"
	"net"
	"syscall"
)

// OpenAndIdle tells whether a connection stands and nothing has come on it that is
// still unread. It does not wait, and may be asked while another goroutine
// reads.
func OpenAndIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnread tells whether something has come on a connection that is still unread; its end
// is nothing. It does not wait either.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// PeerClosed tells whether the other side has closed or reset a connection, and nothing that is
// unread came before that. It does not wait either.
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
	told := raw.Control(func(fd uintptr) { // Read would wait for the one who reads
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if told != nil {
		return 0, told
	}
	return n, err
}
