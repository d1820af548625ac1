// Package listen opens the sockets that a program needs before it can start. A call that fails
// because the machine lacks a resource for a moment is retried.
package listen

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"time"

	"ivylock/internal/neterr"
)

const (
	// Timeout is how long a socket is tried for. A restarted node has 6 s to be ready.
	Timeout = 4 * time.Second

	minRetryDelay = 10 * time.Millisecond // doubles each time
	maxRetryDelay = 500 * time.Millisecond
)

// TCP listens on a TCP address. The error is the last one, or says that ctx was cancelled.
func TCP(ctx context.Context, addr string) (net.Listener, error) {
	return retry(ctx, addr, func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// UDP opens a socket for datagrams on an address. network is "udp", "udp4" or "udp6".
func UDP(ctx context.Context, config net.ListenConfig, network, addr string) (net.PacketConn, error) {
	return retry(ctx, addr, func() (net.PacketConn, error) { return config.ListenPacket(ctx, network, addr) })
}

// File returns a listener for an inherited listening socket, by a duplicate of its descriptor.
func File(ctx context.Context, file *os.File) (net.Listener, error) {
	return retry(ctx, file.Name(), func() (net.Listener, error) { return net.FileListener(file) })
}

// retry calls open until it succeeds. It gives up when the error is not a lack of resources, after
// Timeout, or when ctx is cancelled.
func retry[Socket any](ctx context.Context, name string, open func() (Socket, error)) (Socket, error) {
	deadline := time.Now().Add(Timeout)
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		socket, err := open()
		if err == nil || !neterr.IsResourceShortage(err) || time.Now().Add(delay).After(deadline) {
			return socket, err
		}
		log.Printf("opening %s is retried in %v: %v", name, delay, err)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return socket, fmt.Errorf("opening %s: %w: %w", name, context.Cause(ctx), err)
		}
	}
}
