// Command standin plays the platform, discovery, the servers and the clients of one case of
// the review against the project's own node processes, and judges what they saw.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a case that hangs; a case may take 120 s.
const maxRun = 115 * time.Second

// cases are the cases by name; each file of a case adds its own.
var cases = map[string]func(*run){}

// run is one run of a case.
type run struct {
	root    string // of the repository
	tmp     string // temporary folder, removed at the end
	command string // that starts a node, from the deploy file
	trouble bool   // with the disruption
	late    lateness
	started time.Time

	mu       sync.Mutex
	record   *os.File
	nodes    []*nodeProcess
	kept     []io.Closer // see keep
	breaches int
}

// logf writes a line to the record, with the time since the start of the run.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breachf records that the rule was broken.
func (r *run) breachf(format string, args ...any) {
	r.logf("BROKEN: "+format, args...)
	fmt.Printf("broken: "+format+"\n", args...)
	r.mu.Lock()
	r.breaches++
	r.mu.Unlock()
}

// failf ends the run because the case could not be played.
func (r *run) failf(format string, args ...any) {
	r.logf("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	r.end(exitNotRun)
}

// end ends all processes that the run started and exits.
func (r *run) end(code int) {
	r.mu.Lock()
	nodes := r.nodes
	r.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	os.RemoveAll(r.tmp)
	os.Exit(code)
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE, in the folder of the case")
		os.Exit(exitNotRun)
	}
	r := &run{started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	folder, err := os.Getwd()
	if err == nil {
		r.root = filepath.Dir(filepath.Dir(folder))
		r.record, err = os.Create("record.txt")
	}
	if err == nil {
		r.tmp, err = os.MkdirTemp("", "review-")
	}
	if err == nil {
		r.command, err = deployCommand(filepath.Join(r.root, "deploy", "balancer.toml"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			r.failf("%v", s)
		case <-time.After(maxRun):
			r.failf("it took longer than %v", maxRun)
		}
	}()
	r.logf("case %s, with the disruption: %v", os.Args[1], r.trouble)
	cases[os.Args[1]](r)
	r.mu.Lock()
	breaches := r.breaches
	r.mu.Unlock()
	if breaches > 0 {
		r.logf("the rule was broken %d times", breaches)
		fmt.Printf("the rule was broken %d times\n", breaches)
		r.end(exitBroken)
	}
	r.logf("the rule held")
	fmt.Println("the rule held")
	r.end(exitHeld)
}
