// Package socket provides sockets with which the lab's servers fail like real machines: an address
// that stays reserved while no process listens there, and a listener that drops everything. It runs
// on Linux only.
package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

// soReusePort is SO_REUSEPORT on Linux, which package syscall lacks.
const soReusePort = 0xf

const (
	backlog   = 512
	fillTries = 8
	// fillTimeout is the time for a connection of our own to fill the backlog.
	fillTimeout = 30 * time.Millisecond
)

// ReservedAddr is a loopback address that stays reserved while no process listens there: a bound
// socket that does not listen keeps the port, and the kernel refuses connections to it.
type ReservedAddr struct {
	fd   int // bound socket
	Addr string
}

func reusePort(network, address string, c syscall.RawConn) error {
	var opErr error
	err := c.Control(func(fd uintptr) { opErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) })
	if err != nil {
		return err
	}
	return opErr
}

// ReserveAddr reserves a free address.
func ReserveAddr() (*ReservedAddr, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve address: %w", err)
	}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, soReusePort, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var sockaddr syscall.Sockaddr
	if err == nil {
		sockaddr, err = syscall.Getsockname(fd)
	}
	if err != nil {
		syscall.Close(fd)
		return nil, fmt.Errorf("reserve address: %w", err)
	}
	inet4 := sockaddr.(*syscall.SockaddrInet4)
	return &ReservedAddr{fd, (&net.TCPAddr{IP: inet4.Addr[:], Port: inet4.Port}).String()}, nil
}

// Listen starts to listen at the address. While an older listener there is open, the kernel
// distributes connections between the two.
func (a *ReservedAddr) Listen() (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: reusePort}
	l, err := lc.Listen(context.Background(), "tcp4", a.Addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// Close releases the address.
func (a *ReservedAddr) Close() { syscall.Close(a.fd) }

func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var opErr error
	if err := raw.Control(func(fd uintptr) { opErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return opErr
}

// BlackHole is a listener that never answers, as on an isolated machine: its backlog is full, so
// the kernel drops connection requests. Nothing that was sent to it is delivered later.
type BlackHole struct {
	listener *net.TCPListener
	fillers  []net.Conn
}

// BlackHole takes over the address from its listener, which may be nil and is closed. Connections
// that it has not accepted are reset.
func (a *ReservedAddr) BlackHole(replaced *net.TCPListener) (*BlackHole, error) {
	l, err := a.Listen() // before the old one closes, so that no connection is refused in between
	if err != nil {
		return nil, err
	}
	b := &BlackHole{listener: l}
	if err := setBacklog(l, 0); err != nil {
		b.Close()
		return nil, err
	}
	if replaced != nil {
		replaced.Close()
	}
	b.fillBacklog()
	return b, nil
}

// fillBacklog connects until no more connections are established.
func (b *BlackHole) fillBacklog() {
	// A backlog of 0 takes one connection, ours or a client's; handshakes in progress may take
	// another. Two attempts in a row must fail, as one may fail on a busy machine.
	for range fillTries {
		failed := 0
		for failed < 2 {
			c, err := net.DialTimeout("tcp", b.listener.Addr().String(), fillTimeout)
			if err == nil {
				b.fillers = append(b.fillers, c)
				break
			}
			failed++
		}
		if failed == 2 {
			return
		}
	}
}

// Close closes the listener. Waiting connections and unfinished handshakes are reset.
func (b *BlackHole) Close() {
	b.listener.Close()
	for _, c := range b.fillers {
		Abort(c)
	}
}

// Abort closes a connection with a reset.
func Abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
