package link

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"
)

// lateArrival is how long after it was written a byte may be stamped as entering a link.
const lateArrival = 100 * time.Millisecond

// The time at which bytes entered is still known to a server that accepts the connection only after its
// dialler has closed it, as a machine that was held up does.
func TestTheEntryIsKnownAfterTheDiallerClosed(t *testing.T) {
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
	time.Sleep(2 * lateArrival) // the pair has ended by now
	s, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if entered, known := p.FirstByteAt(s.RemoteAddr().String()); !known || entered > written+lateArrival {
		t.Errorf("written at %v, entered at %v, known %v", written, entered, known)
	}
}

// What is written to a link just before it turns into a black hole, on connections that come up at that
// moment, comes out at once or never: the kernel's own retransmissions must not bring it out after the fault
// has ended, seconds after the dialler closed.
func TestWhatIsWrittenIntoABlackHoleNeverComesOutLate(t *testing.T) {
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
				if after := entered - time.Duration(binary.BigEndian.Uint64(sent[:])); after > lateArrival {
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
					c, err := net.DialTimeout("tcp", p.Addr(), lateArrival)
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
		time.Sleep(2 * lateArrival)
		set(t, p, Conditions{})
	}
	time.Sleep(3500 * time.Millisecond) // the kernel repeats the answer to a SYN after 1 s and 3 s
	for {
		select {
		case after := <-late:
			t.Errorf("came out %v after it was written", after)
		default:
			return
		}
	}
}
