package backend

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against taking a server for dead because this process got no processor while it connected.
func TestDialSucceedsWhileProcessorIsBusy(t *testing.T) {
	const timeout, spinners, dials = 100 * time.Millisecond, 30, 4
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	defer stop.Store(true)
	for range spinners {
		go func() {
			for !stop.Load() {
			}
		}()
	}
	dial := netDialer(timeout)
	for range dials {
		conn, err := dial(context.Background(), listener.Addr().String())
		if err != nil {
			t.Errorf("a server that accepts connections: %v", err)
			continue
		}
		conn.Close()
	}
}
