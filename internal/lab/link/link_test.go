package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const timeout = 10 * time.Second

// echo starts a server that returns what it receives.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func proxy(t *testing.T) *TCP {
	t.Helper()
	start, target := time.Now(), echo(t)
	p, err := NewTCP(func() string { return target }, func() time.Duration { return time.Since(start) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *TCP) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", p.Addr(), timeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends a line and waits for it to come back.
func roundTrip(c net.Conn, within time.Duration) (took time.Duration, err error) {
	start := time.Now()
	c.SetDeadline(start.Add(within))
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return 0, err
	}
	_, err = bufio.NewReader(c).ReadString('\n')
	return time.Since(start), err
}

func set(t *testing.T, p *TCP, s Conditions) {
	t.Helper()
	if err := p.Set(s); err != nil {
		t.Fatal(err)
	}
}

func TestLinkDelaysLosesAndLimitsTheRate(t *testing.T) {
	p := proxy(t)
	c := dial(t, p)
	if _, err := roundTrip(c, timeout); err != nil {
		t.Fatal(err)
	}
	set(t, p, Conditions{Delay: 60 * time.Millisecond})
	if took, err := roundTrip(c, timeout); err != nil || took < 120*time.Millisecond {
		t.Errorf("the round trip took %v, %v", took, err)
	}
	set(t, p, Conditions{Loss: 1})
	if took, err := roundTrip(c, timeout); err != nil || took < 2*retransmitTimeout {
		t.Errorf("with every segment lost once it took %v, %v", took, err)
	}
	set(t, p, Conditions{BytesPerSecond: 60})
	if took, err := roundTrip(c, timeout); err != nil || took < 180*time.Millisecond {
		t.Errorf("6 bytes each way at 60 a second took %v, %v", took, err)
	}
}

func TestBlackHoleDropsEverythingAndResetsWhenItEnds(t *testing.T) {
	p := proxy(t)
	c := dial(t, p)
	if _, err := roundTrip(c, timeout); err != nil {
		t.Fatal(err)
	}
	set(t, p, Conditions{State: BlackHole})
	if _, err := roundTrip(c, 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v", err)
	}
	if n, err := net.DialTimeout("tcp", p.Addr(), 200*time.Millisecond); err == nil {
		n.Close()
		t.Error("a new connection was established")
	}
	set(t, p, Conditions{})
	if _, err := roundTrip(c, timeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection after the black hole: %v", err)
	}
	if _, err := roundTrip(dial(t, p), timeout); err != nil {
		t.Errorf("a new connection after the black hole: %v", err)
	}
}

func TestHalfOpenLinkLosesWhatTheDiallerSends(t *testing.T) {
	p := proxy(t)
	c := dial(t, p)
	set(t, p, Conditions{State: HalfOpen})
	if _, err := roundTrip(c, 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	if _, err := roundTrip(dial(t, p), 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a new connection: %v", err)
	}
}

func TestResetBreaksOpenAndNewConnections(t *testing.T) {
	p := proxy(t)
	c := dial(t, p)
	if _, err := roundTrip(c, timeout); err != nil {
		t.Fatal(err)
	}
	set(t, p, Conditions{State: Reset})
	if _, err := roundTrip(c, timeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v", err)
	}
	// The reset may arrive while the dialler is still connecting or after it.
	n, err := net.DialTimeout("tcp", p.Addr(), timeout)
	if err == nil {
		defer n.Close()
		_, err = roundTrip(n, timeout)
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a new connection: %v", err)
	}
}

// A request counts as sent when it enters a slow link, not when it is delivered.
func TestFirstByteIsStampedAtEntry(t *testing.T) {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p, err := NewTCP(l.Addr().String, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	set(t, p, Conditions{Delay: 150 * time.Millisecond})
	c := dial(t, p)
	before := clock()
	io.WriteString(c, "hello\n")
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := bufio.NewReader(s).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	got, known := p.FirstByteAt(s.RemoteAddr().String())
	if !known || got < before || clock()-got < 150*time.Millisecond {
		t.Errorf("entered at %v, %v; sent at %v, read at %v", got, known, before, clock())
	}
}

func TestDatagramsAreForwardedFromTheSendersAddressDelayedOrDropped(t *testing.T) {
	receiver, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	var mu sync.Mutex
	observed := 0
	forwarder, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer forwarder.Close()
	var conditions atomic.Pointer[Conditions]
	conditions.Store(&Conditions{Delay: 50 * time.Millisecond})
	relay, err := NewUDP(func(netip.AddrPort) []Hop { return []Hop{{forwarder, receiver.LocalAddr(), *conditions.Load()}} }, func(_ netip.AddrPort, bytes, receivers int) {
		mu.Lock()
		defer mu.Unlock()
		observed += bytes * receivers
	})
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	sender, err := net.Dial("udp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	start := time.Now()
	io.WriteString(sender, "one")
	buf := make([]byte, 16)
	receiver.SetReadDeadline(time.Now().Add(timeout))
	n, from, err := receiver.ReadFrom(buf)
	if err != nil || string(buf[:n]) != "one" || from.String() != forwarder.LocalAddr().String() || time.Since(start) < 50*time.Millisecond {
		t.Errorf("%q from %v after %v, %v", buf[:n], from, time.Since(start), err)
	}
	conditions.Store(&Conditions{Loss: 1})
	io.WriteString(sender, "two")
	for end := time.Now().Add(timeout); relay.Dropped.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing was dropped")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if observed != 6 {
		t.Errorf("%d bytes were observed", observed)
	}
}
