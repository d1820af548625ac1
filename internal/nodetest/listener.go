package nodetest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// FailingListener is a TCP listener on loopback whose accepts fail with the errors that
// a test puts into it, one each, before it accepts again.
type FailingListener struct {
	*net.TCPListener
	Errors chan syscall.Errno
	Calls  atomic.Int64 // of Accept
}

// NewFailingListener makes one that takes so many errors at once. It is closed with the
// test.
func NewFailingListener(t testing.TB, errors int) *FailingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &FailingListener{TCPListener: l.(*net.TCPListener), Errors: make(chan syscall.Errno, errors)}
}

// Accept fails with the next error, if there is one, as the system would.
func (l *FailingListener) Accept() (net.Conn, error) {
	l.Calls.Add(1)
	select {
	case errno := <-l.Errors:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	default:
		return l.TCPListener.Accept()
	}
}
