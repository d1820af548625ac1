// Package sysfault injects failures into the system calls of a child process. The program is an ordinary
// build: a seccomp filter notifies the lab of the calls that may fail, and the lab answers each with an
// error or lets it continue. This needs no privileges and affects no other process.
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

// The kinds of system calls.
const (
	Accept  Call = "accept"  // accepts a connection
	Socket  Call = "socket"  // creates a socket
	Connect Call = "connect" // connects a stream or datagram socket
	SendTo  Call = "sendto"  // sends a datagram
	Receive Call = "receive" // receives a datagram, or peeks at a connection
	Write   Call = "write"   // writes to a file; writes to connections and pipes always continue
	Open    Call = "open"    // opens a file
	Sync    Call = "sync"    // flushes a file or directory to disk
	Rename  Call = "rename"  // renames a file
)

// Calls are all kinds, sorted by name.
var Calls = slices.Sorted(slices.Values([]Call{Accept, Socket, Connect, SendTo, Receive, Write, Open, Sync, Rename}))

// Errors maps each kind of call to the errors that can be injected into it, by name. They are those errors
// of the calls' manual pages (section 2) that occur when a machine lacks a resource or loses its network.
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

// errnos returns a map from the errors' names to the errors.
func errnos(all ...syscall.Errno) map[string]syscall.Errno {
	named := map[string]syscall.Errno{}
	for _, e := range all {
		named[unix.ErrnoName(e)] = e
	}
	return named
}

// Rule makes calls of one kind fail with an error, each call with the given probability.
type Rule struct {
	Call        Call
	Errno       syscall.Errno
	Probability float64 // above 0, up to 1
}

// ParseRule returns the rule for a call and an error, given by names such as "accept" and "ENOBUFS". It
// returns an error if Errors lacks the pair, or unless the probability is above 0 and at most 1.
func ParseRule(call, errno string, probability float64) (Rule, error) {
	known, ok := Errors[Call(call)]
	if !ok {
		return Rule{}, fmt.Errorf("unknown call %q; there are %s", call, joinNames(Calls))
	}
	number, ok := known[errno]
	if !ok {
		names := make([]string, 0, len(known))
		for name := range known {
			names = append(names, name)
		}
		slices.Sort(names)
		return Rule{}, fmt.Errorf("%s does not end with %q; it may end with %s", call, errno, strings.Join(names, ", "))
	}
	if probability <= 0 || probability > 1 {
		return Rule{}, fmt.Errorf("the part of the calls must be above 0 and at most 1; it is %v", probability)
	}
	return Rule{Call(call), number, probability}, nil
}

func joinNames(calls []Call) string {
	names := make([]string, len(calls))
	for i, c := range calls {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}

// Rules is the set of rules in effect for a process, with counts of the failed calls. It is safe for
// concurrent use.
type Rules struct {
	mu     sync.Mutex
	rng    *rand.Rand
	rules  []Rule
	failed map[Call]int
}

// NewRules returns an empty set of rules. The seed determines the random choice of the calls that fail.
func NewRules(seed int64) *Rules {
	return &Rules{rng: rand.New(rand.NewPCG(uint64(seed), 0x73797366)), failed: map[Call]int{}}
}

// Add puts a rule into effect until Remove.
func (r *Rules) Add(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = append(r.rules, rule)
}

// Remove removes one rule equal to the given one; without effect if there is none.
func (r *Rules) Remove(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.rules, rule); i >= 0 {
		r.rules = slices.Delete(r.rules, i, i+1)
	}
}

// FailureCount returns how many calls of a kind these rules have made fail.
func (r *Rules) FailureCount(call Call) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed[call]
}

// decide returns the error with which a call fails, or 0 if it continues. It calls applies only for a
// call that would fail, and skips the rule if it returns false.
func (r *Rules) decide(call Call, applies func() bool) syscall.Errno {
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
