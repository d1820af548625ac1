package main

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	soReusePort   = 15
	fillerTimeout = 100 * time.Millisecond
)

// listenReusable listens at an address that a second listener may take over.
func listenReusable(addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// vanish lets the machine of a server vanish: open connections stay open and silent, and new
// ones never come up, as a second listener takes over whose backlog is full: the kernel drops
// what arrives there.
func (r *run) vanish(b *backend) {
	l, err := listenReusable(b.addr)
	if err != nil {
		r.failf("%v", err)
	}
	raw, err := l.SyscallConn()
	if err != nil {
		r.failf("%v", err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		r.failf("%v", err)
	}
	b.vanished.Store(true)
	b.listener.Close()
	r.keep(l)
	for failed := 0; failed < 2; {
		c, err := net.DialTimeout("tcp4", b.addr, fillerTimeout)
		if err != nil {
			failed++
			continue
		}
		r.keep(c)
	}
	r.logf("the machine of %s has vanished", b.name)
}

// keep keeps a socket open up to the end of the run: the garbage collector would close it.
func (r *run) keep(c io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, c)
}
