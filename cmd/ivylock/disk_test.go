package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/lab/sysfault"
	"ivylock/internal/nodetest"
)

// diskCalls are the system calls that store the state for the next process.
var diskCalls = []sysfault.Call{sysfault.Open, sysfault.Write, sysfault.Sync, sysfault.Rename}

// startFaulty starts the program with failing disk calls and waits until it is ready.
func (p *platform) startFaulty(rules *sysfault.Rules) *process {
	p.t.Helper()
	c, err := sysfault.NewCommand(rules, diskCalls, os.Args[0])
	if err != nil {
		p.t.Fatal(err)
	}
	c.Env = append(c.Env, command(p.config).Env...)
	c.ExtraFiles = append(c.ExtraFiles, nil, nil, nil, p.socket)
	proc, err := p.run(c.Cmd, c.Start)
	if err != nil {
		p.t.Fatal(err)
	}
	p.waitReady(proc)
	return proc
}

// excludedBackends sends some requests and reports which backends got none.
func (p *platform) excludedBackends(name string) (excluded [2]bool) {
	p.t.Helper()
	before := [2]int64{p.requestCounts[0].Load(), p.requestCounts[1].Load()}
	served := 0
	for i := range 40 {
		if p.request("clip", fmt.Sprint("clip-", name, "-", i)) == nil {
			served++
		}
	}
	if served == 0 {
		return [2]bool{true, true}
	}
	for i := range excluded {
		excluded[i] = p.requestCounts[i].Load() == before[i]
	}
	return excluded
}

// Whatever disk call fails, requests are served, a maintenance command that was not stored
// is answered with an error, and a process that starts after a kill knows exactly the
// acknowledged commands.
func TestDiskErrorsLoseNoMaintenanceCommand(t *testing.T) {
	for call, errnos := range map[string][]string{"open": {"ENOSPC", "EIO", "EMFILE", "EACCES", "EROFS"}, "write": {"ENOSPC", "EIO", "EDQUOT"},
		"sync": {"EIO", "ENOSPC"}, "rename": {"ENOSPC", "EIO", "EROFS"}} {
		for _, errno := range errnos {
			t.Run(call+" "+errno, func(t *testing.T) {
				t.Parallel()
				p, rules := newPlatform(t), sysfault.NewRules(1)
				first := p.startFaulty(rules)
				if code := first.setMaintenance(t, "enter", "s-0"); code != http.StatusOK {
					t.Fatalf("enter: %d", code)
				}
				rule, err := sysfault.ParseRule(call, errno, 1)
				if err != nil {
					t.Fatal(err)
				}
				rules.Add(rule)
				if excluded := p.excludedBackends("before"); excluded != [2]bool{true, false} {
					t.Errorf("excluded while the disk fails: %v", excluded)
				}
				if code := first.setMaintenance(t, "enter", "s-1"); code == http.StatusOK {
					t.Error("a command that was not stored was acknowledged")
				}
				if rules.FailureCount(rule.Call) == 0 {
					t.Error("no call failed")
				}
				first.terminate(t, syscall.SIGKILL)
				second := p.startReady()
				if excluded := p.excludedBackends("after"); excluded != [2]bool{true, false} {
					t.Errorf("excluded by the next process: %v", excluded)
				}
				second.terminate(t, syscall.SIGTERM)
			})
		}
	}
}

// A process with intermittent disk errors is killed ten times. The next process knows the
// last acknowledged command, unless an unacknowledged one came after it.
func TestKillsWithIntermittentDiskErrors(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	p := newPlatform(t)
	certain, inMaintenance := true, false // whether the state of s-0 is certain, and that state
	for run := range 10 {
		rules := sysfault.NewRules(int64(run))
		proc := p.startFaulty(rules)
		if certain {
			want := map[bool]string{true: "app.out_of_rotation:1|g", false: "app.out_of_rotation:0|g"}[inMaintenance]
			for end := time.Now().Add(nodetest.WaitTimeout); !strings.Contains(proc.metrics(), want); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("process %d: no %s in\n%s", run, want, proc.metrics())
				}
			}
		}
		for _, name := range []string{"open ENOSPC", "write EIO", "sync EIO", "rename ENOSPC"} {
			call, errno, _ := strings.Cut(name, " ")
			rule, err := sysfault.ParseRule(call, errno, 0.15)
			if err != nil {
				t.Fatal(err)
			}
			rules.Add(rule)
		}
		for range 3 + rng.IntN(10) {
			operation := []string{"enter", "exit"}[rng.IntN(2)]
			if code := proc.setMaintenance(t, operation, "s-0"); code == http.StatusOK {
				certain, inMaintenance = true, operation == "enter"
			} else if operation == "enter" != inMaintenance {
				certain = false
			}
		}
		proc.terminate(t, syscall.SIGKILL)
	}
}
