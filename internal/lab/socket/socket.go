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

// ReservedAddr is a loopback address that stays its owner's also while no process
// listens there: a bound socket that does not listen keeps others from getting
// the port, and the kernel refuses connections to it.
type ReservedAddr struct {
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

// ReserveAddr takes a free address.
func ReserveAddr() (*ReservedAddr, error) {
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
	return &ReservedAddr{fd, (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()}, nil
}

// Listen begins to accept there. While an older listener of the place is open,
// the kernel divides connections between the two.
func (p *ReservedAddr) Listen() (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: reusePort}
	l, err := lc.Listen(context.Background(), "tcp4", p.Addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// Close gives the address up.
func (p *ReservedAddr) Close() { syscall.Close(p.holder) }

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

// BlackHole is a listener that answers nobody, as a machine that is cut off: its backlog is full, so the
// kernel drops what asks for a connection. Nothing that was sent to it comes up later.
type BlackHole struct {
	listener *net.TCPListener
	fill     []net.Conn
}

// BlackHole takes the place over from its listener, which may be nil and is closed. What waits there
// unaccepted is reset.
func (p *ReservedAddr) BlackHole(old *net.TCPListener) (*BlackHole, error) {
	l, err := p.Listen() // before the old one ends, so that nobody is refused between the two
	if err != nil {
		return nil, err
	}
	s := &BlackHole{listener: l}
	if err := setBacklog(l, 0); err != nil {
		s.Close()
		return nil, err
	}
	if old != nil {
		old.Close()
	}
	s.fillBacklog()
	return s, nil
}

// fillBacklog connects until nothing more comes up.
func (s *BlackHole) fillBacklog() {
	// A backlog of 0 takes one, or a client's; handshakes under way may still take another.
	// Two in a row must fail: one alone may only mean a busy machine.
	for range muteTries {
		failed := 0
		for failed < 2 {
			c, err := net.DialTimeout("tcp", s.listener.Addr().String(), muteWait)
			if err == nil {
				s.fill = append(s.fill, c)
				break
			}
			failed++
		}
		if failed == 2 {
			return
		}
	}
}

// Close closes it. All that waits there, also handshakes half done, is reset.
func (s *BlackHole) Close() {
	s.listener.Close()
	for _, c := range s.fill {
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
