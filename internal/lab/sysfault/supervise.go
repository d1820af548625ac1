package sysfault

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is struct seccomp_notif: a call that waits for a response.
type notification struct {
	id           uint64
	thread       uint32 // ID of the calling thread
	flags        uint32
	number       int32
	architecture uint32
	instruction  uint64
	args         [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32 // negated
	flags uint32
}

// supervisor answers the calls of one process.
type supervisor struct {
	listener int
	rules    *Rules
	kinds    map[int32]Call
}

func newSupervisor(listener int, rules *Rules) *supervisor {
	s := &supervisor{listener: listener, rules: rules, kinds: map[int32]Call{}}
	for call, all := range numbers {
		for _, number := range all {
			s.kinds[int32(number)] = call
		}
	}
	return s
}

// run answers calls until the last thread that could make one has ended.
func (s *supervisor) run() {
	defer unix.Close(s.listener)
	for {
		waiting := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(waiting, -1); err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		switch events := waiting[0].Revents; {
		case events&unix.POLLIN != 0:
			s.answerOne()
		case events&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
			return
		}
	}
}

// answerOne receives a call and responds to it. Errors are ignored: the calling thread may have been
// interrupted or have ended meanwhile.
func (s *supervisor) answerOne() {
	var call notification
	if s.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&call)) != nil {
		return
	}
	resp := response{id: call.id}
	kind := s.kinds[call.number]
	if errno := s.rules.decide(kind, func() bool { return s.applies(kind, &call) }); errno != 0 {
		resp.errno = -int32(errno)
	} else {
		resp.flags = unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE
	}
	s.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&resp))
}

// applies reports whether a call may be made to fail: of writes, only those to files.
func (s *supervisor) applies(kind Call, call *notification) bool {
	if kind != Write {
		return true
	}
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", call.thread, call.args[0]))
	return err == nil && strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "/dev/")
}

func (s *supervisor) ioctl(request uint, argument unsafe.Pointer) error {
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), uintptr(request), uintptr(argument)); errno != 0 {
		return errno
	}
	return nil
}
