package sysfault

import (
	"fmt"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"
)

// numbers are the system call numbers of each kind.
var numbers = map[Call][]uint32{
	Accept:  {unix.SYS_ACCEPT4},
	Socket:  {unix.SYS_SOCKET},
	Connect: {unix.SYS_CONNECT},
	SendTo:  {unix.SYS_SENDTO},
	Receive: {unix.SYS_RECVFROM},
	Write:   {unix.SYS_WRITE},
	Open:    {unix.SYS_OPENAT},
	Sync:    {unix.SYS_FSYNC},
	Rename:  {unix.SYS_RENAMEAT, unix.SYS_RENAMEAT2},
}

// architectures are the values of seccomp_data.arch (linux/audit.h) by GOARCH.
var architectures = map[string]uint32{"amd64": 0xC000003E, "arm64": 0xC00000B7}

// Offsets in struct seccomp_data (linux/seccomp.h).
const (
	offsetNumber       = 0
	offsetArchitecture = 4
)

// filter returns the BPF program that notifies the supervisor of calls of these kinds and allows all
// others.
func filter(calls []Call) ([]unix.SockFilter, error) {
	architecture, known := architectures[runtime.GOARCH]
	if !known {
		return nil, fmt.Errorf("system-call filter is not supported on %s", runtime.GOARCH)
	}
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	ret := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	program := []unix.SockFilter{
		load(offsetArchitecture),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: architecture, Jt: 1},
		ret(unix.SECCOMP_RET_ALLOW),
		load(offsetNumber),
	}
	for _, call := range calls {
		for _, number := range numbers[call] {
			program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: number, Jf: 1},
				ret(unix.SECCOMP_RET_USER_NOTIF))
		}
	}
	return append(program, ret(unix.SECCOMP_RET_ALLOW)), nil
}

// install installs the filter on the calling thread, which passes it on to the program it executes, and
// returns the descriptor on which the supervisor receives the calls.
func install(calls []Call) (listener int, err error) {
	program, err := filter(calls)
	if err != nil {
		return 0, err
	}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("setting no_new_privs: %w", err)
	}
	p := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&p)))
	if errno != 0 {
		return 0, fmt.Errorf("installing the seccomp filter: %w", errno)
	}
	return int(fd), nil
}
