package sysfault

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is struct seccomp_notif: a call that waits for its answer.
type notification struct {
	id           uint64
	thread       uint32 // of the caller
	flags        uint32
	number       int32
	architecture uint32
	instruction  uint64
	args         [6]uint64
}

// response is struct seccomp_notif_resp: the answer.
type response struct {
	id    uint64
	value int64
	errno int32 // negative
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

// answerOne takes a call and answers it. A call whose thread has been interrupted or has ended
// meanwhile wants no answer.
func (s *supervisor) answerOne() {
	var call notification
	if s.control(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&call)) != nil {
		return
	}
	answer := response{id: call.id}
	kind := s.kinds[call.number]
	if errno := s.rules.judge(kind, func() bool { return s.applies(kind, &call) }); errno != 0 {
		answer.errno = -int32(errno)
	} else {
		answer.flags = unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE
	}
	s.control(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&answer))
}

// applies tells whether a call of a kind is one that may be made to fail: of writes those to
// files alone.
func (s *supervisor) applies(kind Call, call *notification) bool {
	if kind != Write {
		return true
	}
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", call.thread, call.args[0]))
	return err == nil && strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "/dev/")
}

func (s *supervisor) control(request uint, argument unsafe.Pointer) error {
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), uintptr(request), uintptr(argument)); errno != 0 {
		return errno
	}
	return nil
}
