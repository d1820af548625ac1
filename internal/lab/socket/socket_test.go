package socket

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

const timeout = 10 * time.Second

func accept(l *net.TCPListener) <-chan net.Conn {
	out := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			out <- c
		}
	}()
	return out
}

func TestReservedAddrRefusesWithoutAListenerAndKeepsItsPort(t *testing.T) {
	p, err := ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for range 3 { // a process that restarts
		if _, err := net.DialTimeout("tcp", p.Addr, timeout); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("with no process: %v", err)
		}
		l, err := p.Listen()
		if err != nil {
			t.Fatal(err)
		}
		got := accept(l)
		c, err := net.DialTimeout("tcp", p.Addr, timeout)
		if err != nil {
			t.Fatal(err)
		}
		(<-got).Close()
		c.Close()
		l.Close()
	}
}

func TestBlackHoleAcceptsNothingUntilItIsClosed(t *testing.T) {
	p, err := ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	l, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	waiting, err := net.DialTimeout("tcp", p.Addr, timeout) // stays in the backlog
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	blackHole, err := p.BlackHole(l)
	if err != nil {
		t.Fatal(err)
	}
	if len(blackHole.fillers) == 0 {
		t.Fatal("no connection fills the backlog")
	}
	if c, err := net.DialTimeout("tcp", p.Addr, 300*time.Millisecond); err == nil {
		c.Close()
		t.Fatal("a connection was established")
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatal("the connection was refused instead of dropped")
	}
	if l, err = p.Listen(); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	blackHole.Close()
	got := accept(l)
	c, err := net.DialTimeout("tcp", p.Addr, timeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case s := <-got:
		if s.RemoteAddr().String() != c.LocalAddr().String() {
			t.Errorf("an older connection was accepted, from %v", s.RemoteAddr())
		}
	case <-time.After(timeout):
		t.Fatal("no connection was accepted after the black hole")
	}
	waiting.SetReadDeadline(time.Now().Add(timeout))
	if _, err := waiting.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection in the backlog: %v", err)
	}
}
