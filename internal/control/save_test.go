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

// A blocked disk must not delay a drain, and a failed write is retried.
func TestBlockedDiskDoesNotDelayDrain(t *testing.T) {
	discoveryStub, addr := startDiscoveryStub(t, 1)
	discoveryStub.SetNow(listEntry("s0", hosts.Up))
	publisher := &publisherStub{}
	file := filepath.Join(t.TempDir(), "list.json")
	engine, err := NewEngine(Config{Steer: steer.Settings{Classes: []balance.Class{{TargetLatency: time.Second}}},
		Discovery: addr, ListFile: file, Publisher: publisher})
	if err != nil {
		t.Fatal(err)
	}
	var writes atomic.Int64
	writeStarted, release := make(chan bool, 1), make(chan bool)
	engine.writeList = func(path string, entries []discovery.Entry) error {
		if writes.Add(1) == 1 {
			writeStarted <- true
			<-release
			return syscall.ENOSPC
		}
		return writeList(path, entries)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { engine.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	<-writeStarted
	discoveryStub.SetNow(listEntry("s0", hosts.Draining))
	publisher.waitFor(t, "a drain while the disk is blocked", confirmedHealth("s0", steer.Draining))
	close(release)
	for end := time.Now().Add(nodetest.WaitTimeout); ; time.Sleep(10 * time.Millisecond) {
		if cached, err := readList(file); err == nil && len(cached) == 1 && cached[0].Lifecycle == "draining" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the list is not saved after %d writes", writes.Load())
		}
	}
}
