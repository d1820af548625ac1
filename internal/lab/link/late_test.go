package link

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"
)

// maxEntryDelay is how long after a byte was written its entry into a link may be stamped.
const maxEntryDelay = 100 * time.Millisecond

// The time at which bytes entered the link is still known to a slow server that accepts the
// connection only after the dialler has closed it.
func TestEntryTimeIsKnownAfterTheDiallerClosed(t *testing.T) {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	p, err := NewTCP(target.Addr().String, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := dial(t, p)
	if _, err := io.WriteString(c, "hello"); err != nil {
		t.Fatal(err)
	}
	written := clock()
	c.Close()
	time.Sleep(2 * maxEntryDelay) // until the pair has ended
	s, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if entered, known := p.FirstByteAt(s.RemoteAddr().String()); !known || entered > written+maxEntryDelay {
		t.Errorf("written at %v, entered at %v, known %v", written, entered, known)
	}
}

// What is written just before a link becomes a black hole arrives at once or never: retransmissions
// by the kernel must not deliver it after the fault has ended.
func TestBlackHoleNeverDeliversDataLate(t *testing.T) {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	p, err := NewTCP(target.Addr().String, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	late := make(chan time.Duration, 1024)
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var sent [8]byte
				if _, err := io.ReadFull(c, sent[:]); err != nil {
					return
				}
				entered, known := p.FirstByteAt(c.RemoteAddr().String())
				if !known {
					entered = clock()
				}
				if after := entered - time.Duration(binary.BigEndian.Uint64(sent[:])); after > maxEntryDelay {
					late <- after
				}
			}()
		}
	}()
	const rounds, diallers = 10, 16
	for range rounds {
		stop := make(chan struct{})
		for range diallers {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					c, err := net.DialTimeout("tcp", p.Addr(), maxEntryDelay)
					if err != nil {
						continue
					}
					c.Write(binary.BigEndian.AppendUint64(nil, uint64(clock())))
					time.Sleep(time.Millisecond)
					c.Close()
				}
			}()
		}
		time.Sleep(5 * time.Millisecond)
		set(t, p, Conditions{State: BlackHole})
		close(stop)
		time.Sleep(2 * maxEntryDelay)
		set(t, p, Conditions{})
	}
	time.Sleep(3500 * time.Millisecond) // the kernel repeats its answer to a SYN after 1 s and 3 s
	for {
		select {
		case after := <-late:
			t.Errorf("data arrived %v after it was written", after)
		default:
			return
		}
	}
}
