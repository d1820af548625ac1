// Package handover lets a new process of a node take over from a running one: through the listening
// socket that the platform holds for both and through a shared directory.
package handover

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"

	"ivylock/internal/listen"
)

// InheritedFDEnv is the environment variable with the descriptor of the listening socket for
// clients, if the platform holds it.
const InheritedFDEnv = "PROXY_INHERITED_FD"

// Listen returns the listener for clients: the inherited one if fd is set, otherwise a new one at
// addr. Closing an inherited one leaves the platform's socket open, with the connections in its
// backlog.
func Listen(ctx context.Context, addr, fd string) (listener net.Listener, inherited bool, err error) {
	if fd == "" {
		listener, err = listen.TCP(ctx, addr)
		return listener, false, err
	}
	number, err := strconv.ParseUint(fd, 10, 16)
	if err != nil {
		return nil, false, fmt.Errorf("%s: %q is not a file descriptor", InheritedFDEnv, fd)
	}
	file := os.NewFile(uintptr(number), "clients")
	if file == nil {
		return nil, false, fmt.Errorf("%s: %d is not a file descriptor", InheritedFDEnv, number)
	}
	defer file.Close() // the listener has a duplicate of the descriptor
	if listener, err = listen.File(ctx, file); err != nil {
		return nil, false, fmt.Errorf("%s: descriptor %d: %w", InheritedFDEnv, number, err)
	}
	return listener, true, nil
}
