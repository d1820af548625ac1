// Package neterr names the errors of system calls, for figures and logs.
package neterr

import (
	"errors"
	"syscall"
)

// names are the errors that are told apart, in the order of their numbers; the last
// one stands for all others.
var names = []struct {
	errno syscall.Errno
	name  string
}{
	{syscall.ECONNABORTED, "ECONNABORTED"}, {syscall.EMFILE, "EMFILE"}, {syscall.ENFILE, "ENFILE"}, {syscall.ENOBUFS, "ENOBUFS"},
	{syscall.ENOMEM, "ENOMEM"}, {syscall.EADDRNOTAVAIL, "EADDRNOTAVAIL"}, {syscall.EADDRINUSE, "EADDRINUSE"}, {syscall.ENETUNREACH, "ENETUNREACH"},
	{syscall.ENETDOWN, "ENETDOWN"}, {syscall.EHOSTUNREACH, "EHOSTUNREACH"}, {syscall.EPROTO, "EPROTO"}, {syscall.EPERM, "EPERM"},
	{syscall.EACCES, "EACCES"}, {syscall.EAGAIN, "EAGAIN"}, {syscall.EINTR, "EINTR"}, {syscall.ETIMEDOUT, "ETIMEDOUT"},
	{syscall.ECONNREFUSED, "ECONNREFUSED"}, {syscall.ECONNRESET, "ECONNRESET"}, {syscall.EPIPE, "EPIPE"}, {syscall.EMSGSIZE, "EMSGSIZE"},
	{syscall.EIO, "EIO"}, {syscall.ENOSPC, "ENOSPC"}, {syscall.EROFS, "EROFS"}, {0, "other"},
}

// Names gives the names, by their numbers.
func Names() []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = n.name
	}
	return out
}

// Index gives the number of an error's name.
func Index(err error) int {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		for i, n := range names {
			if n.errno == errno {
				return i
			}
		}
	}
	return len(names) - 1
}

// IsLocalTransient tells that an error is for a moment and of this machine alone: it had no
// descriptor, port or memory left, or was interrupted. Nothing went out, and it says
// nothing of the other side.
func IsLocalTransient(err error) bool {
	for _, errno := range exhausted {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

var exhausted = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN}

// Name names an error.
func Name(err error) string { return names[Index(err)].name }
