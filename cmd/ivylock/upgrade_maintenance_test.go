package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/nodetest"
)

// keepOrdering sends orders from many clients, each on a connection of its own with pauses of
// up to 0.4 s, until stop is closed: an ending process gets requests for as long as it keeps
// its connections.
func (p *platform) keepOrdering(stop chan bool) *sync.WaitGroup {
	const clients, maxPause = 100, 400 * time.Millisecond
	var load sync.WaitGroup
	for c := range clients {
		sender := &platform{url: p.url, client: &http.Client{Transport: &http.Transport{}, Timeout: nodetest.WaitTimeout}}
		load.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(maxPause)):
				}
				// With one server left, some requests are refused.
				if err := sender.request("order", fmt.Sprint("order-", c, "-", i)); err != nil && !strings.HasPrefix(err.Error(), "503 ") {
					p.t.Errorf("order %d of client %d: %v", i, c, err)
				}
			}
		})
	}
	return &load
}

// awaitRequests waits until a backend has got some more requests.
func (p *platform) awaitRequests(backend int) {
	p.t.Helper()
	want := p.requestCounts[backend].Load() + 20
	for end := time.Now().Add(nodetest.WaitTimeout); p.requestCounts[backend].Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("backend %d gets no requests", backend)
		}
	}
}

// Guards against an ending process that sends to a server which the new process has taken out
// of service: also if the list has changed just before, so that the ending process has stored
// its state a moment ago, it sends nothing new after the grace for drains.
func TestMaintenanceDuringUpgradeBindsEndingProcess(t *testing.T) {
	const grace = 500 * time.Millisecond // drain_grace_ns of the configuration
	p := newPlatform(t)
	p.startDiscovery(func(history.Event) {})
	old := p.startReady()
	stop := make(chan bool)
	load := p.keepOrdering(stop)
	for round := range 6 {
		p.awaitRequests(0)
		next := p.startReady()
		p.hosts.SetNow(hosts.Entry{InstanceID: "s-1", Zone: "z", MachineType: "m", Lifecycle: hosts.Up, Weight: 1 + float64(round+1)/10})
		time.Sleep(3 * time.Millisecond)
		old.Process.Signal(syscall.SIGTERM)
		if code := next.setMaintenance(t, "enter", "s-0"); code != 200 {
			t.Fatalf("enter: %d", code)
		}
		enteredAt := time.Now()
		time.Sleep(2 * grace)
		p.mu.Lock()
		delay := p.lastRequestAt[0].Sub(enteredAt)
		p.mu.Unlock()
		if delay > grace {
			t.Errorf("round %d: a server out of service got a request %v after the answer to the operator", round, delay)
		}
		t.Logf("round %d: last request %v after the answer", round, delay)
		if code := next.setMaintenance(t, "exit", "s-0"); code != 200 {
			t.Fatalf("exit: %d", code)
		}
		old.terminate(t, syscall.SIGTERM)
		old = next
	}
	close(stop)
	load.Wait()
}
