// Package sysfault has system calls of a process fail as the machine below it would have them
// fail. The process is an ordinary build of the program: a seccomp filter hands the calls that
// may fail to the lab, which answers each with an error or lets it go on. No privilege is
// needed, and nothing outside the process is touched.
package sysfault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Call is a kind of system call that can be made to fail.
type Call string

// The calls.
const (
	Accept  Call = "accept"  // of a connection
	Socket  Call = "socket"  // a new one
	Connect Call = "connect" // of a connection or a datagram socket
	SendTo  Call = "sendto"  // a datagram
	Receive Call = "receive" // a datagram; a look at what waits on a connection
	Write   Call = "write"   // to a file; writes to connections and pipes go on
	Open    Call = "open"    // of a file
	Sync    Call = "sync"    // of a file or folder to the disk
	Rename  Call = "rename"  // of a file
)

// Calls are all kinds, in the order of their names.
var Calls = slices.Sorted(slices.Values([]Call{Accept, Socket, Connect, SendTo, Receive, Write, Open, Sync, Rename}))

// Errors are the errors that a call may end with, by their names: what accept(2), socket(2),
// connect(2), send(2), recv(2), write(2), open(2), fsync(2) and rename(2) list and what a
// machine short of something, or without a network for a moment, gives.
var Errors = map[Call]map[string]syscall.Errno{
	Accept: errnos(syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
		syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EINTR),
	Socket: errnos(syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM),
	Connect: errnos(syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EPERM, syscall.ENOBUFS,
		syscall.EINTR, syscall.ETIMEDOUT),
	SendTo:  errnos(syscall.ENOBUFS, syscall.EPERM, syscall.ECONNREFUSED, syscall.EMSGSIZE, syscall.EHOSTUNREACH, syscall.EINTR),
	Receive: errnos(syscall.ECONNREFUSED, syscall.ENOMEM, syscall.EINTR),
	Write:   errnos(syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EINTR),
	Open:    errnos(syscall.ENOSPC, syscall.EIO, syscall.EMFILE, syscall.EACCES, syscall.EROFS),
	Sync:    errnos(syscall.EIO, syscall.ENOSPC),
	Rename:  errnos(syscall.ENOSPC, syscall.EIO, syscall.EROFS),
}

// errnos names errors.
func errnos(all ...syscall.Errno) map[string]syscall.Errno {
	named := map[string]syscall.Errno{}
	for _, e := range all {
		named[unix.ErrnoName(e)] = e
	}
	return named
}

// Rule has a part of the calls of a kind fail.
type Rule struct {
	Call        Call
	Errno       syscall.Errno
	Probability float64 // of the calls, 0 to 1
}

// ParseRule makes the rule of a call and an error by their names, such as "accept" and "ENOBUFS".
func ParseRule(call, errno string, part float64) (Rule, error) {
	known, is := Errors[Call(call)]
	if !is {
		return Rule{}, fmt.Errorf("unknown call %q; there are %s", call, list(Calls))
	}
	number, is := known[errno]
	if !is {
		names := make([]string, 0, len(known))
		for name := range known {
			names = append(names, name)
		}
		slices.Sort(names)
		return Rule{}, fmt.Errorf("%s does not end with %q; it may end with %s", call, errno, strings.Join(names, ", "))
	}
	if part <= 0 || part > 1 {
		return Rule{}, fmt.Errorf("a part of %v of the calls is not over 0 and up to 1", part)
	}
	return Rule{Call(call), number, part}, nil
}

func list(calls []Call) string {
	names := make([]string, len(calls))
	for i, c := range calls {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}

// Rules are what holds for a process now, and what they have done. Their methods may be
// called from several goroutines.
type Rules struct {
	mu     sync.Mutex
	rng    *rand.Rand
	rules  []Rule
	failed map[Call]int
}

// NewRules makes the rules of a process, of which none holds yet.
func NewRules(seed int64) *Rules {
	return &Rules{rng: rand.New(rand.NewPCG(uint64(seed), 0x73797366)), failed: map[Call]int{}}
}

// Add has a rule hold until Remove.
func (r *Rules) Add(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = append(r.rules, rule)
}

// Remove ends a rule that was added.
func (r *Rules) Remove(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.rules, rule); i >= 0 {
		r.rules = slices.Delete(r.rules, i, i+1)
	}
}

// FailureCount tells how many calls of a kind have been made to fail.
func (r *Rules) FailureCount(call Call) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed[call]
}

// judge gives the error with which a call is to end; 0 if it goes on. applies is asked
// whether a rule that would have it fail is meant for this very call.
func (r *Rules) judge(call Call, applies func() bool) syscall.Errno {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rule := range r.rules {
		if rule.Call != call || r.rng.Float64() >= rule.Probability || !applies() {
			continue
		}
		r.failed[call]++
		return rule.Errno
	}
	return 0
}
