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

// maxAge is the greatest age of a byte that is believed: the wall clock, by which the kernel tells it, may
// step.
const maxAge = time.Minute

// EnableReceiveTimestamps has the kernel note when bytes arrive at a connection, or at those that a listener will accept.
// It begins with the next segments.
func EnableReceiveTimestamps(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var bad error
	err = raw.Control(func(fd uintptr) { bad = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	return errors.Join(err, bad)
}

// Dial connects by TCP within a time, and has arrivals noted.
func Dial(addr string, within time.Duration) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: within, ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// AwaitArrival waits, within the read deadline, until there is something to read on a connection, and tells how
// long ago it arrived, as the kernel noted it: whoever reads it may have been kept from the processor since. 0
// where it did not. some is false at the end of the stream.
func AwaitArrival(c *net.TCPConn) (age time.Duration, some bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	var first [1]byte
	var control [64]byte
	var bad error
	err = raw.Read(func(fd uintptr) (done bool) {
		n, controls, _, _, err := unix.Recvmsg(int(fd), first[:], control[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) {
			return false
		}
		bad, some, age = err, n > 0, ageOf(control[:max(0, controls)])
		return true
	})
	return age, some, errors.Join(err, bad)
}

// ageOf reads SCM_TIMESTAMPNS, socket(7): a timespec of 16 bytes on 64-bit machines.
func ageOf(control []byte) time.Duration {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SCM_TIMESTAMPNS || len(m.Data) < 16 {
			continue
		}
		at := time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
		if age := time.Since(at); age > 0 && age < maxAge {
			return age
		}
	}
	return 0
}
