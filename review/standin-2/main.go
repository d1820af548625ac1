// Command standin-2 holds the stand-ins and the cases of the second review: clients, servers and
// discovery of the protocol page, in the standard library alone.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"time"
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

var cases = map[string]func(*lab) (broken bool){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serverMain(os.Args[2:])
		return
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 server ... | CASE")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]]))
}

func runCase(run func(*lab) bool) (code int) {
	defer func() {
		if failed, ok := recover().(error); ok {
			var reason cannotRun
			fmt.Fprintln(os.Stderr, "could not run:", failed)
			if !errors.As(failed, &reason) {
				panic(failed)
			}
			code = 2
		}
	}()
	l := newLab()
	defer l.end()
	time.AfterFunc(caseTimeout, func() {
		l.logf("verdict: none, the case takes too long")
		l.end()
		os.Exit(2)
	})
	broken := run(l)
	l.mu.Lock()
	failed := l.failed
	l.mu.Unlock()
	check(failed)
	if broken {
		l.logf("verdict: the rule was broken")
		return 1
	}
	l.logf("verdict: the rule held")
	return 0
}

// newID returns 16 random hexadecimal digits.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
