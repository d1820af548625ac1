package control

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/discovery"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/nodetest"
	"ivylock/steer"
)

// A disk that stands still holds up no drain, and a write that failed is made again.
func TestADiskThatStandsStillHoldsUpNoDrain(t *testing.T) {
	h, addr := listAt(t, 1)
	h.SetNow(entry("s0", hosts.Up))
	to := &sink{}
	file := filepath.Join(t.TempDir(), "list.json")
	e, err := NewEngine(Config{Steer: steer.Settings{Classes: []balance.Class{{TargetLatency: time.Second}}}, Discovery: addr, ListFile: file, Publisher: to})
	if err != nil {
		t.Fatal(err)
	}
	var writes atomic.Int64
	began, release := make(chan bool, 1), make(chan bool)
	e.write = func(path string, entries []discovery.Entry) error {
		if writes.Add(1) == 1 {
			began <- true
			<-release
			return syscall.ENOSPC
		}
		return writeList(path, entries)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	<-began
	h.SetNow(entry("s0", hosts.Draining))
	to.until(t, "a drain while the disk stands still", is("s0", steer.Draining))
	close(release)
	for end := time.Now().Add(nodetest.Patience); ; time.Sleep(10 * time.Millisecond) {
		if kept, err := readList(file); err == nil && len(kept) == 1 && kept[0].Lifecycle == "draining" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d writes, and the list is not kept", writes.Load())
		}
	}
}
