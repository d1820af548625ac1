package backend

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/nodetest"
)

// failing makes a pool's dials fail with an errno, so many times.
func failing(p *Pool, errno syscall.Errno, times int64) *atomic.Int64 {
	var calls atomic.Int64
	real := p.dial
	p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if calls.Add(1) <= times {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
		}
		return real(ctx, addr)
	}
	return &calls
}

// What the machine has no room for, for a moment, is tried again within the attempt; for longer
// it ends an attempt that is known not to have run and is no fault of the server.
func TestWhatTheMachineHasNoRoomForIsNoFaultOfTheServer(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "") })
	for _, c := range []struct {
		errno syscall.Errno
		times int64
		want  balance.OutcomeCode
		again bool
	}{
		{syscall.EMFILE, 3, balance.OK, true}, {syscall.ENOBUFS, 3, balance.OK, true}, {syscall.EADDRNOTAVAIL, 3, balance.OK, true},
		{syscall.ENFILE, 1 << 30, balance.Moot, true}, {syscall.ENOMEM, 1 << 30, balance.Moot, true}, {syscall.ENETDOWN, 1 << 30, balance.Moot, true},
		{syscall.ECONNREFUSED, 1, balance.ConnectFailed, false}, {syscall.EHOSTUNREACH, 1, balance.ConnectFailed, false},
		{syscall.ETIMEDOUT, 1, balance.ConnectFailed, false}, {syscall.EPROTO, 1, balance.ConnectFailed, false},
	} {
		p := newPool()
		var told atomic.Int64
		p.OnDialError = func(error) { told.Add(1) }
		to := &Server{addr: b.Addr}
		p.Add(to)
		calls := failing(p, c.errno, c.times)
		began := time.Now()
		if res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != c.want {
			t.Errorf("%v, %d times: outcome %d, want %d", c.errno, c.times, res.Code, c.want)
		}
		if again := calls.Load() > 1; again != c.again {
			t.Errorf("%v: %d dials", c.errno, calls.Load())
		}
		if told.Load() != min(calls.Load(), c.times) {
			t.Errorf("%v: %d of %d were told", c.errno, told.Load(), calls.Load())
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("%v: it took %v", c.errno, took)
		}
		if want := map[bool]int{true: 1}[c.want == balance.OK]; p.OpenConns() != want {
			t.Errorf("%v: %d connections are counted, want %d", c.errno, p.OpenConns(), want)
		}
	}
}

// An idle connection gives its descriptor to the dial that found none.
func TestADialThatFindsNoDescriptorFreesOne(t *testing.T) {
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "") })
	p := newPool()
	idle, to := &Server{addr: b.Addr}, &Server{addr: b.Addr}
	p.Add(idle)
	p.Add(to)
	if res := p.Exchange(context.Background(), idle, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.OK || len(idle.idle) != 1 {
		t.Fatalf("outcome %d, %d idle", res.Code, len(idle.idle))
	}
	failing(p, syscall.EMFILE, 1)
	if res := p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.OK {
		t.Errorf("outcome %d", res.Code)
	}
	if len(idle.idle) != 0 || p.OpenConns() != 1 {
		t.Errorf("%d idle at the other, %d open", len(idle.idle), p.OpenConns())
	}
}

// An attempt that is called off while its dial is made again ends at once, and never ran.
func TestADialThatIsMadeAgainIsCalledOff(t *testing.T) {
	p := newPool()
	to := &Server{addr: "127.0.0.1:1"}
	p.Add(to)
	calls := failing(p, syscall.ENOBUFS, 1<<30)
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(5*time.Millisecond, func() { cancel(context.Canceled) })
	if res := p.Exchange(ctx, to, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.Moot {
		t.Errorf("outcome %d after %d dials", res.Code, calls.Load())
	}
}

// Dials are not made again for longer than the settings give a connection.
func TestDialsAreMadeAgainWithinTheTimeForAConnection(t *testing.T) {
	calls := func(connectTimeout time.Duration) int64 {
		p := NewPool(1, connectTimeout, time.Minute)
		to := &Server{addr: "127.0.0.1:1"}
		p.Add(to)
		calls := failing(p, syscall.ENOBUFS, 1<<30)
		p.Exchange(context.Background(), to, Call{Request: NewRequest("GET", "/clip", nil)})
		return calls.Load()
	}
	if short := calls(time.Microsecond); short != 1 {
		t.Errorf("%d dials within 1 \u00b5s", short)
	}
	if long := calls(time.Second); long < 2 {
		t.Errorf("%d dials within 1 s", long)
	}
}
