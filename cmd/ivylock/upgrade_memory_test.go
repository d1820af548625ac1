package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// Guards against two processes of an upgrade that take the memory limit of their node twice.
func TestProcessesOfUpgradeShareMemory(t *testing.T) {
	p := newPlatform(t)
	old := p.startReady()
	full := old.buffersKB(t)
	next := p.startReady()
	wait := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(nodetest.WaitTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: the old process has %d kB, the next one %d, alone %d", what, old.buffersKB(t), next.buffersKB(t), full)
			}
		}
	}
	wait("both run", func() bool { return old.buffersKB(t)+next.buffersKB(t) <= full })
	old.terminate(t, syscall.SIGTERM)
	wait("the next one is alone", func() bool { return next.buffersKB(t) == full })
}

// buffersKB returns the memory that a process may use for buffers.
func (proc *process) buffersKB(t *testing.T) (kilobytes int) {
	t.Helper()
	_, rest, found := strings.Cut(proc.metrics(), "app.memory.limit_kb:")
	if _, err := fmt.Sscan(strings.Replace(rest, "|", " ", 1), &kilobytes); err != nil && found {
		t.Fatal(err)
	}
	return kilobytes
}
