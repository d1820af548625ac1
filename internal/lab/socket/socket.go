// Package socket has what the stand-ins need of the kernel to fail as machines
// do: an address that stays theirs while no process listens there, and a
// listener that falls silent. Linux only.
package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

// soReusePort is SO_REUSEPORT on Linux, which package syscall leaves out.
const soReusePort = 0xf

const (
	backlog   = 512
	muteTries = 8
	muteWait  = 30 * time.Millisecond // for a connection of our own to fill the backlog
)

// Place is a loopback address that stays its owner's also while no process
// listens there: a bound socket that does not listen keeps others from getting
// the port, and the kernel refuses connections to it.
type Place struct {
	holder int // descriptor
	Addr   string
}

func reusePort(network, address string, c syscall.RawConn) error {
	var bad error
	err := c.Control(func(fd uintptr) { bad = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) })
	if err != nil {
		return err
	}
	return bad
}

// NewPlace takes a free address.
func NewPlace() (*Place, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("place: %w", err)
	}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, soReusePort, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at syscall.Sockaddr
	if err == nil {
		at, err = syscall.Getsockname(fd)
	}
	if err != nil {
		syscall.Close(fd)
		return nil, fmt.Errorf("place: %w", err)
	}
	a := at.(*syscall.SockaddrInet4)
	return &Place{fd, (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()}, nil
}

// Listen begins to accept there. While an older listener of the place is open,
// the kernel divides connections between the two.
func (p *Place) Listen() (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: reusePort}
	l, err := lc.Listen(context.Background(), "tcp4", p.Addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// Close gives the address up.
func (p *Place) Close() { syscall.Close(p.holder) }

func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var bad error
	if err := raw.Control(func(fd uintptr) { bad = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return bad
}

// Mute makes a listener deaf, as a machine that is cut off: connections to it
// never come up, as its backlog is full of our own. Accept gives
// os.ErrDeadlineExceeded until Unmute. The caller keeps what Mute gives for
// that.
func Mute(l *net.TCPListener) ([]net.Conn, error) {
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		return nil, err
	}
	if err := setBacklog(l, 0); err != nil {
		return nil, err
	}
	var fill []net.Conn
	// A backlog of 0 takes one; a late accept may have made room for another.
	// Two in a row must fail: one alone may only mean a busy machine.
	for range muteTries {
		silent := 0
		for silent < 2 {
			c, err := net.DialTimeout("tcp", l.Addr().String(), muteWait)
			if err == nil {
				fill = append(fill, c)
				break
			}
			silent++
		}
		if silent == 2 {
			break
		}
	}
	return fill, nil
}

// Unmute lets a listener hear again. The caller's Accept will get our own
// connections first, which are reset by then.
func Unmute(l *net.TCPListener, fill []net.Conn) error {
	for _, c := range fill {
		Abort(c)
	}
	if err := setBacklog(l, backlog); err != nil {
		return err
	}
	return l.SetDeadline(time.Time{})
}

// Abort closes a connection with a reset.
func Abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
