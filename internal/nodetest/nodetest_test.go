package nodetest

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A closed address refuses connections and cannot be bound by another listener.
func TestClosedAddr(t *testing.T) {
	addr := ClosedAddr(t)
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialled: %v", err)
	}
	if l, err := net.Listen("tcp", addr); err == nil {
		l.Close()
		t.Error("another listener was bound to the address")
	}
}
