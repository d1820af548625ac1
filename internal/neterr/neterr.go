// Package neterr classifies the errors of system calls for metrics and logs.
package neterr

import (
	"errors"
	"syscall"
)

// names lists the errors that are distinguished; the last entry stands for all others.
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

// Names returns the names of the distinguished errors. The last one, "other", stands for all
// others.
func Names() []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = n.name
	}
	return out
}

// Index returns the index in Names of an error's name.
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

// IsLocalTransient reports whether an error is a temporary condition of this machine, such as
// exhausted descriptors, ports or memory, or an interrupted call. Nothing was sent, and the
// error says nothing about the peer.
func IsLocalTransient(err error) bool {
	return IsResourceShortage(err) || isAny(err, portShortage)
}

// IsResourceShortage reports whether an error is a temporary lack of descriptors, memory or
// network of this machine, or an interrupted call. A lack of ports is none: for a socket that
// listens on a given address it means that the address is not available.
func IsResourceShortage(err error) bool { return isAny(err, resourceShortage) }

var (
	resourceShortage = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN}
	portShortage     = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE}
)

// isAny reports whether an error is one of the given ones.
func isAny(err error, errnos []syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Name returns the name of an error.
func Name(err error) string { return names[Index(err)].name }
