// Package handover lets a new process take over from one that serves: the
// listener that the platform holds for both.
package handover

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// InheritedFDEnv is the variable that names the descriptor of the clients'
// listening socket, where the platform holds it.
const InheritedFDEnv = "PROXY_INHERITED_FD"

// Listen gives the clients' listener: the inherited one if fd names one, else
// a new one at addr. Closing it leaves the platform's socket as it is, with
// the connections that wait there.
func Listen(addr, fd string) (l net.Listener, inherited bool, err error) {
	if fd == "" {
		l, err = net.Listen("tcp", addr)
		return l, false, err
	}
	n, err := strconv.ParseUint(fd, 10, 16)
	if err != nil {
		return nil, false, fmt.Errorf("%s: %q is no descriptor", InheritedFDEnv, fd)
	}
	f := os.NewFile(uintptr(n), "clients")
	if f == nil {
		return nil, false, fmt.Errorf("%s: %d is no descriptor", InheritedFDEnv, n)
	}
	defer f.Close() // FileListener has its own
	if l, err = net.FileListener(f); err != nil {
		return nil, false, fmt.Errorf("%s: descriptor %d: %w", InheritedFDEnv, n, err)
	}
	return l, true, nil
}
