package accept

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// Whatever error an accept fails with, it is retried within milliseconds, and each failure
// is reported.
func TestFailedAcceptIsRetriedAndCounted(t *testing.T) {
	inner := nodetest.NewFailingListener(t, 10)
	var failures atomic.Int64
	l := New(inner, func(error) { failures.Add(1) })
	defer l.Close()
	for errno := syscall.Errno(1); errno < 134; errno++ { // all error numbers of Linux
		const times = 3
		for range times {
			inner.Errors <- errno
		}
		dialled, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		failures.Store(0)
		accepted, err := l.Accept()
		if err != nil {
			t.Fatalf("%v: %v", errno, err)
		}
		if failures.Load() != times {
			t.Errorf("%v: %d failures were reported", errno, failures.Load())
		}
		accepted.Close()
		dialled.Close()
	}
}

// A listener that keeps failing is retried some hundred times a second until it is closed.
func TestPersistentAcceptErrorsEndWithTheListener(t *testing.T) {
	inner := nodetest.NewFailingListener(t, 10_000)
	for range cap(inner.Errors) {
		inner.Errors <- syscall.EMFILE
	}
	l := New(inner, nil)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	time.Sleep(200 * time.Millisecond)
	if calls := inner.Calls.Load(); calls < 10 || calls > 200 {
		t.Errorf("%d accepts in 0.2 s", calls)
	}
	l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	case <-time.After(nodetest.WaitTimeout):
		t.Error("Accept did not return")
	}
}

func TestSetDeadlineAppliesToTheListener(t *testing.T) {
	l := New(nodetest.NewFailingListener(t, 1), nil)
	defer l.Close()
	if !l.SetDeadline(time.Now()) {
		t.Fatal("SetDeadline is not supported")
	}
	if _, err := l.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
}

// Guards against serving clients late because each failed accept was followed by a pause while hundreds of
// clients waited.
func TestCrowdIsAcceptedSoonAlthoughAcceptsFail(t *testing.T) {
	const clients, failuresEach, limit = 300, 4, 300 * time.Millisecond
	inner := nodetest.NewFailingListener(t, clients*failuresEach)
	l := New(inner, nil)
	defer l.Close()
	for range clients {
		dialled, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer dialled.Close()
	}
	var took time.Duration
	for range clients {
		for range failuresEach {
			inner.Errors <- syscall.ECONNABORTED
		}
		start := time.Now()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		took += time.Since(start)
		accepted.Close()
	}
	if took > limit {
		t.Errorf("%d clients were accepted in %v", clients, took)
	}
}
