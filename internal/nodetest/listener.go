package nodetest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// FailingListener is a TCP listener on loopback whose next accepts fail with the errors in
// Errors, one each.
type FailingListener struct {
	*net.TCPListener
	Errors chan syscall.Errno
	Calls  atomic.Int64 // calls of Accept
}

// NewFailingListener returns a listener that holds up to the given number of errors. It is
// closed when the test ends.
func NewFailingListener(t testing.TB, errors int) *FailingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &FailingListener{TCPListener: l.(*net.TCPListener), Errors: make(chan syscall.Errno, errors)}
}

// Accept returns the next error, if there is one, wrapped as package net does.
func (l *FailingListener) Accept() (net.Conn, error) {
	l.Calls.Add(1)
	select {
	case errno := <-l.Errors:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	default:
		return l.TCPListener.Accept()
	}
}
