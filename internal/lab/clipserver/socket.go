package clipserver

import (
	"context"
	"net"
	"syscall"
)

// soReusePort is SO_REUSEPORT on Linux, which package syscall leaves out.
const soReusePort = 0xf

// place is an address that stays this server's also while no process listens
// there: a bound socket that does not listen keeps others from getting the
// port, and the kernel refuses connections to it.
type place struct {
	holder int // descriptor
	addr   string
}

func reusePort(network, address string, c syscall.RawConn) error {
	var bad error
	err := c.Control(func(fd uintptr) { bad = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) })
	if err != nil {
		return err
	}
	return bad
}

// newPlace takes a free loopback address.
func newPlace() (*place, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
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
		return nil, err
	}
	a := at.(*syscall.SockaddrInet4)
	return &place{fd, (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()}, nil
}

// listen begins to accept there.
func (p *place) listen() (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: reusePort}
	l, err := lc.Listen(context.Background(), "tcp4", p.addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

func (p *place) close() { syscall.Close(p.holder) }

// setBacklog changes how many connections the kernel accepts ahead of us.
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

// mute makes a listener deaf, as a machine that is cut off: its backlog is
// filled with connections of our own, so that the kernel drops all that comes.
// They are given back to be closed when it hears again.
func mute(l *net.TCPListener) ([]net.Conn, error) {
	if err := setBacklog(l, 0); err != nil {
		return nil, err
	}
	var fill []net.Conn
	for range 4 { // one fits into a backlog of 0; a late accept may have made room for another
		c, err := net.DialTimeout("tcp", l.Addr().String(), muteWait)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	return fill, nil
}
