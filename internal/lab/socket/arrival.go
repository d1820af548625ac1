package socket

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxAge is the maximum age of a byte that is trusted: the kernel stamps by the wall clock, which
// may step.
const maxAge = time.Minute

// EnableReceiveTimestamps makes the kernel stamp the bytes that arrive at a connection, or at those
// that a listener will accept, from the next segments on.
func EnableReceiveTimestamps(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var opErr error
	err = raw.Control(func(fd uintptr) { opErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	return errors.Join(err, opErr)
}

// Dial connects by TCP and enables receive timestamps.
func Dial(addr string, timeout time.Duration) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: timeout, ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// AwaitArrival waits, within the read deadline, until a connection is readable. It returns how long
// ago the first byte arrived by the kernel's timestamp, as its reader may have been delayed since;
// 0 without a timestamp. readable is false at the end of the stream.
func AwaitArrival(c *net.TCPConn) (age time.Duration, readable bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	var peeked [1]byte
	var oob [64]byte
	var opErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		n, oobLen, _, _, err := unix.Recvmsg(int(fd), peeked[:], oob[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) {
			return false
		}
		opErr, readable, age = err, n > 0, timestampAge(oob[:max(0, oobLen)])
		return true
	})
	return age, readable, errors.Join(err, opErr)
}

// timestampAge reads SCM_TIMESTAMPNS, see socket(7): a timespec of 16 bytes on 64-bit machines.
func timestampAge(oob []byte) time.Duration {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SCM_TIMESTAMPNS || len(m.Data) < 16 {
			continue
		}
		stamp := time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
		if age := time.Since(stamp); age > 0 && age < maxAge {
			return age
		}
	}
	return 0
}
