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

// failDials makes the pool's first count dials fail with errno.
func failDials(p *Pool, errno syscall.Errno, count int64) *atomic.Int64 {
	var dials atomic.Int64
	realDial := p.dial
	p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) <= count {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
		}
		return realDial(ctx, addr)
	}
	return &dials
}

// Dials that fail for lack of local resources are retried within the attempt. If the lack
// persists the outcome is Moot: the attempt has not run and the server is not to blame.
func TestLocalResourceExhaustionIsNotServerFailure(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	for _, testCase := range []struct {
		errno syscall.Errno
		count int64
		want  balance.OutcomeCode
		retry bool
	}{
		{syscall.EMFILE, 3, balance.OK, true}, {syscall.ENOBUFS, 3, balance.OK, true}, {syscall.EADDRNOTAVAIL, 3, balance.OK, true},
		{syscall.ENFILE, 1 << 30, balance.Moot, true}, {syscall.ENOMEM, 1 << 30, balance.Moot, true}, {syscall.ENETDOWN, 1 << 30, balance.Moot, true},
		{syscall.ECONNREFUSED, 1, balance.ConnectFailed, false}, {syscall.EHOSTUNREACH, 1, balance.ConnectFailed, false},
		{syscall.ETIMEDOUT, 1, balance.ConnectFailed, false}, {syscall.EPROTO, 1, balance.ConnectFailed, false},
	} {
		p := newPool()
		var reported atomic.Int64
		p.OnDialError = func(error) { reported.Add(1) }
		server := &Server{addr: b.Addr}
		p.Add(server)
		dials := failDials(p, testCase.errno, testCase.count)
		start := time.Now()
		if res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != testCase.want {
			t.Errorf("%v, %d times: outcome %d, want %d", testCase.errno, testCase.count, res.Code, testCase.want)
		}
		if retried := dials.Load() > 1; retried != testCase.retry {
			t.Errorf("%v: %d dials", testCase.errno, dials.Load())
		}
		if reported.Load() != min(dials.Load(), testCase.count) {
			t.Errorf("%v: %d of %d failed dials were reported", testCase.errno, reported.Load(), dials.Load())
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("%v: the exchange took %v", testCase.errno, took)
		}
		if want := map[bool]int{true: 1}[testCase.want == balance.OK]; p.OpenConns() != want {
			t.Errorf("%v: %d connections, want %d", testCase.errno, p.OpenConns(), want)
		}
	}
}

// A dial that finds no free descriptor closes an idle connection and is retried.
func TestDialWithoutDescriptorClosesIdleConnection(t *testing.T) {
	b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	p := newPool()
	idle, server := &Server{addr: b.Addr}, &Server{addr: b.Addr}
	p.Add(idle)
	p.Add(server)
	if res := p.Exchange(context.Background(), idle, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.OK || len(idle.idle) != 1 {
		t.Fatalf("outcome %d, %d idle", res.Code, len(idle.idle))
	}
	failDials(p, syscall.EMFILE, 1)
	if res := p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.OK {
		t.Errorf("outcome %d", res.Code)
	}
	if len(idle.idle) != 0 || p.OpenConns() != 1 {
		t.Errorf("%d idle connections at the other server, %d open", len(idle.idle), p.OpenConns())
	}
}

// An attempt that is cancelled while its dial is retried ends at once with the outcome Moot.
func TestDialRetryStopsOnCancellation(t *testing.T) {
	p := newPool()
	server := &Server{addr: "127.0.0.1:1"}
	p.Add(server)
	dials := failDials(p, syscall.ENOBUFS, 1<<30)
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(5*time.Millisecond, func() { cancel(context.Canceled) })
	if res := p.Exchange(ctx, server, Call{Request: NewRequest("GET", "/clip", nil)}); res.Code != balance.Moot {
		t.Errorf("outcome %d after %d dials", res.Code, dials.Load())
	}
}

// Dials are not retried beyond the connect timeout.
func TestDialRetriesStayWithinConnectTimeout(t *testing.T) {
	countDials := func(connectTimeout time.Duration) int64 {
		p := NewPool(1, connectTimeout, time.Minute)
		server := &Server{addr: "127.0.0.1:1"}
		p.Add(server)
		countDials := failDials(p, syscall.ENOBUFS, 1<<30)
		p.Exchange(context.Background(), server, Call{Request: NewRequest("GET", "/clip", nil)})
		return countDials.Load()
	}
	if short := countDials(time.Microsecond); short != 1 {
		t.Errorf("%d dials within 1 \u00b5s", short)
	}
	if long := countDials(time.Second); long < 2 {
		t.Errorf("%d dials within 1 s", long)
	}
}
