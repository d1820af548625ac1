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

// diskCalls are the system calls by which a process keeps what the next one takes over.
var diskCalls = []sysfault.Call{sysfault.Open, sysfault.Write, sysfault.Sync, sysfault.Rename}

// upFaulty starts the program, whose calls to the disk fail as the rules say, and waits for
// its yes.
func (p *platform) upFaulty(rules *sysfault.Rules) *process {
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
	p.waitForYes(proc)
	return proc
}

// outOf tells which of the two backends a process leaves out, by what they get of some
// requests.
func (p *platform) outOf(name string) (out [2]bool) {
	p.t.Helper()
	before := [2]int64{p.backends[0].Load(), p.backends[1].Load()}
	served := 0
	for i := range 40 {
		if p.ask("clip", fmt.Sprint("clip-", name, "-", i)) == nil {
			served++
		}
	}
	if served == 0 {
		return [2]bool{true, true}
	}
	for i := range out {
		out[i] = p.backends[i].Load() == before[i]
	}
	return out
}

// Whatever fails on the disk, with whatever error: requests are served on, a word of an
// operator that is not on the disk is answered with an error, and a process that begins after
// a kill in that time knows each word that was answered yes, and whole.
func TestADiskThatFailsLosesNoWord(t *testing.T) {
	for call, errors := range map[string][]string{"open": {"ENOSPC", "EIO", "EMFILE", "EACCES", "EROFS"}, "write": {"ENOSPC", "EIO", "EDQUOT"},
		"sync": {"EIO", "ENOSPC"}, "rename": {"ENOSPC", "EIO", "EROFS"}} {
		for _, errno := range errors {
			t.Run(call+" "+errno, func(t *testing.T) {
				t.Parallel()
				p, rules := newPlatform(t), sysfault.NewRules(1)
				one := p.upFaulty(rules)
				if code := one.maintain(t, "enter", "s-0"); code != http.StatusOK {
					t.Fatalf("enter: %d", code)
				}
				rule, err := sysfault.RuleOf(call, errno, 1)
				if err != nil {
					t.Fatal(err)
				}
				rules.Add(rule)
				if out := p.outOf("before"); out != [2]bool{true, false} {
					t.Errorf("out while the disk fails: %v", out)
				}
				if code := one.maintain(t, "enter", "s-1"); code == http.StatusOK {
					t.Error("yes to a word that is not on the disk")
				}
				if rules.Failed(rule.Call) == 0 {
					t.Error("nothing failed")
				}
				one.end(t, syscall.SIGKILL)
				two := p.up()
				if out := p.outOf("after"); out != [2]bool{true, false} {
					t.Errorf("out at the next process: %v", out)
				}
				two.end(t, syscall.SIGTERM)
			})
		}
	}
}

// A process whose disk fails now and then is killed at some moment, ten times over: the next
// one knows the last word that was answered yes, unless an unanswered one came after it.
func TestKillsUnderADiskThatFailsNowAndThen(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	p := newPlatform(t)
	known, out := true, false // whether it is certain what holds of s-0, and what does
	for life := range 10 {
		rules := sysfault.NewRules(int64(life))
		proc := p.upFaulty(rules)
		if known {
			want := map[bool]string{true: "app.out_of_rotation:1|g", false: "app.out_of_rotation:0|g"}[out]
			for end := time.Now().Add(nodetest.Patience); !strings.Contains(proc.figures(), want); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("process %d: no %s in\n%s", life, want, proc.figures())
				}
			}
		}
		for _, name := range []string{"open ENOSPC", "write EIO", "sync EIO", "rename ENOSPC"} {
			call, errno, _ := strings.Cut(name, " ")
			rule, err := sysfault.RuleOf(call, errno, 0.15)
			if err != nil {
				t.Fatal(err)
			}
			rules.Add(rule)
		}
		for range 3 + rng.IntN(10) {
			word := []string{"enter", "exit"}[rng.IntN(2)]
			if code := proc.maintain(t, word, "s-0"); code == http.StatusOK {
				known, out = true, word == "enter"
			} else if word == "enter" != out {
				known = false
			}
		}
		proc.end(t, syscall.SIGKILL)
	}
}
