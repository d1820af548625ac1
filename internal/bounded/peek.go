package bounded

import (
	"bytes"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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

// Unread returns how many bytes of a connection wait unread, and how many its receive buffer holds
// in all, overhead included; -1 if that is unknown. It does not block.
func Unread(c net.Conn) (unread, buffer int) {
	unread, err := inspect(c, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCINQ) })
	if err != nil {
		return -1, -1
	}
	buffer, err = inspect(c, func(fd int) (int, error) { return unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF) })
	if err != nil {
		return unread, -1
	}
	return unread, buffer
}

// Unacknowledged returns how many written bytes the other side's machine has not acknowledged
// (SIOCOUTQ); -1 if that is unknown. It does not block.
func Unacknowledged(c net.Conn) int {
	n, err := inspect(c, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	if err != nil {
		return -1
	}
	return n
}

func peek(c net.Conn) (n int, err error) {
	return inspect(c, func(fd int) (int, error) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
}

// inspect calls f with the descriptor of a connection.
func inspect(c net.Conn, f func(fd int) (int, error)) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Unlike Read and Write, Control does not wait for a concurrent one.
	if controlErr := raw.Control(func(fd uintptr) { n, err = f(int(fd)) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// peekPiece is the size of the buffer that unread data is copied to while its end is looked for.
const peekPiece = 64 << 10

// UnreadEndsWith reports whether the unread data of a connection ends with the given bytes. It neither
// blocks nor takes memory for the data: all but its end is copied to the same buffer.
func UnreadEndsWith(c net.Conn, end []byte) bool {
	unread, _ := Unread(c)
	if unread < len(end) {
		return false
	}
	tail, scratch := make([]byte, len(end)), make([]byte, min(peekPiece, unread))
	var buffers [][]byte
	for left := unread - len(end); left > 0; left -= len(scratch) {
		buffers = append(buffers, scratch[:min(left, len(scratch))])
	}
	n, err := inspect(c, func(fd int) (int, error) {
		n, _, _, _, err := unix.RecvmsgBuffers(fd, append(buffers, tail), nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	})
	return err == nil && n == unread && bytes.Equal(tail, end)
}
