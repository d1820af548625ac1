package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// The arrival time comes from the kernel, however late and often it is read, and nothing is
// consumed.
func TestArrivalTimeDoesNotDependOnTheReader(t *testing.T) {
	const delay = 150 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := EnableReceiveTimestamps(l.(*net.TCPListener)); err != nil {
		t.Fatal(err)
	}
	c, err := Dial(l.Addr().String(), timeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for _, direction := range [][2]*net.TCPConn{{c, nc.(*net.TCPConn)}, {nc.(*net.TCPConn), c}} {
		from, to := direction[0], direction[1]
		io.WriteString(from, "a")
		written := time.Now()
		for range 2 {
			time.Sleep(delay)
			age, readable, err := AwaitArrival(to)
			if deviation := time.Since(written) - age; err != nil || !readable || deviation > delay/3 || deviation < -delay/3 {
				t.Errorf("%v, %v: age %v, but written %v ago", readable, err, age, time.Since(written))
			}
		}
		if n, err := to.Read(make([]byte, 8)); n != 1 || err != nil {
			t.Errorf("read %d, %v", n, err)
		}
	}
	c.SetReadDeadline(time.Now().Add(delay))
	if _, _, err := AwaitArrival(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without data: %v", err)
	}
	nc.Close()
	c.SetReadDeadline(time.Time{})
	if _, readable, err := AwaitArrival(c); readable || err != nil {
		t.Errorf("at the end of the stream: %v, %v", readable, err)
	}
}
