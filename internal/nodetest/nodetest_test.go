package nodetest

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Nobody answers at a closed address, and nobody else gets it.
func TestAClosedAddressStaysClosed(t *testing.T) {
	addr := ClosedAddr(t)
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialled: %v", err)
	}
	if l, err := net.Listen("tcp", addr); err == nil {
		l.Close()
		t.Error("another listens there")
	}
}
