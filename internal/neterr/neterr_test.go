package neterr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestWhatIsOfThisMachineAlone(t *testing.T) {
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

func TestErrorsAreNamedHoweverTheyAreWrapped(t *testing.T) {
	words := Names()
	for want, err := range map[string]error{
		"EMFILE": syscall.EMFILE, "ENOBUFS": os.NewSyscallError("accept4", syscall.ENOBUFS),
		"EPROTO": fmt.Errorf("x: %w", &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EPROTO)}),
		"other":  errors.New("something else"),
	} {
		if got := Name(err); got != want || words[Index(err)] != want {
			t.Errorf("%v is named %s", err, got)
		}
	}
	if Name(nil) != "other" || Name(syscall.EXDEV) != "other" {
		t.Error("what is not told apart has a name")
	}
	seen := map[string]bool{}
	for _, w := range words {
		if seen[w] {
			t.Errorf("%s stands there twice", w)
		}
		seen[w] = true
	}
}
