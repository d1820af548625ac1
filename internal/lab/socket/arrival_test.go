package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// When a byte arrived is told by the kernel, however late it is looked for, and as often as it is; nothing is read.
func TestAnArrivalIsToldHoweverLateItIsLookedFor(t *testing.T) {
	const late = 150 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := EnableReceiveTimestamps(l.(*net.TCPListener)); err != nil {
		t.Fatal(err)
	}
	c, err := Dial(l.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for _, way := range [][2]*net.TCPConn{{c, nc.(*net.TCPConn)}, {nc.(*net.TCPConn), c}} {
		from, to := way[0], way[1]
		io.WriteString(from, "a")
		written := time.Now()
		for range 2 {
			time.Sleep(late)
			age, some, err := AwaitArrival(to)
			if off := time.Since(written) - age; err != nil || !some || off > late/3 || off < -late/3 {
				t.Errorf("%v, %v: %v old, and written %v ago", some, err, age, time.Since(written))
			}
		}
		if n, err := to.Read(make([]byte, 8)); n != 1 || err != nil {
			t.Errorf("read %d, %v", n, err)
		}
	}
	c.SetReadDeadline(time.Now().Add(late))
	if _, _, err := AwaitArrival(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %v", err)
	}
	nc.Close()
	c.SetReadDeadline(time.Time{})
	if _, some, err := AwaitArrival(c); some || err != nil {
		t.Errorf("at the end: %v, %v", some, err)
	}
}
