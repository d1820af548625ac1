package socket

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

const patience = 10 * time.Second

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

func TestAPlaceRefusesUntilSomebodyListensAndKeepsItsPort(t *testing.T) {
	p, err := ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for range 3 { // a process that comes and goes
		if _, err := net.DialTimeout("tcp", p.Addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("with no process: %v", err)
		}
		l, err := p.Listen()
		if err != nil {
			t.Fatal(err)
		}
		got := accept(l)
		c, err := net.DialTimeout("tcp", p.Addr, patience)
		if err != nil {
			t.Fatal(err)
		}
		(<-got).Close()
		c.Close()
		l.Close()
	}
}

func TestASilencedPlaceTakesNothingUntilItIsHeardAgain(t *testing.T) {
	p, err := ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	l, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	waits, err := net.DialTimeout("tcp", p.Addr, patience) // in the backlog
	if err != nil {
		t.Fatal(err)
	}
	defer waits.Close()
	silence, err := p.BlackHole(l)
	if err != nil {
		t.Fatal(err)
	}
	if len(silence.fill) == 0 {
		t.Fatal("nothing fills its backlog")
	}
	if c, err := net.DialTimeout("tcp", p.Addr, 300*time.Millisecond); err == nil {
		c.Close()
		t.Fatal("a connection came up")
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatal("it refuses, and should say nothing")
	}
	if l, err = p.Listen(); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	silence.Close()
	got := accept(l)
	c, err := net.DialTimeout("tcp", p.Addr, patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case s := <-got:
		if s.RemoteAddr().String() != c.LocalAddr().String() {
			t.Errorf("an older connection came up, from %v", s.RemoteAddr())
		}
	case <-time.After(patience):
		t.Fatal("it does not hear again")
	}
	waits.SetReadDeadline(time.Now().Add(patience))
	if _, err := waits.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("what waited: %v", err)
	}
}
