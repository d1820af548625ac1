package neterr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestIsLocalTransient(t *testing.T) {
	for err, want := range map[error]bool{
		syscall.EMFILE: true, os.NewSyscallError("socket", syscall.ENOBUFS): true, syscall.EADDRNOTAVAIL: true, syscall.EINTR: true,
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EAGAIN)}: true,
		syscall.ECONNREFUSED: false, syscall.EHOSTUNREACH: false, syscall.ETIMEDOUT: false, syscall.EPROTO: false, errors.New("x"): false,
	} {
		if got := IsLocalTransient(err); got != want {
			t.Errorf("%v: %v", err, got)
		}
	}
}

func TestWrappedErrorsAreNamed(t *testing.T) {
	names := Names()
	for want, err := range map[string]error{
		"EMFILE": syscall.EMFILE, "ENOBUFS": os.NewSyscallError("accept4", syscall.ENOBUFS),
		"EPROTO": fmt.Errorf("x: %w", &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EPROTO)}),
		"other":  errors.New("something else"),
	} {
		if got := Name(err); got != want || names[Index(err)] != want {
			t.Errorf("name of %v is %s", err, got)
		}
	}
	if Name(nil) != "other" || Name(syscall.EXDEV) != "other" {
		t.Error("an error that is not distinguished has its own name")
	}
	seen := map[string]bool{}
	for _, w := range names {
		if seen[w] {
			t.Errorf("duplicate name %s", w)
		}
		seen[w] = true
	}
}
