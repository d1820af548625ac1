package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ivylock/fleet/audit"
	"ivylock/fleet/version"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/link"
	"ivylock/internal/lab/xdsproxy"
)

// Control service A is killed and restarts at a lower version, first cut off from discovery and
// with a list from before a drain, while B keeps running. Proxies move to B and back. No proxy may
// send to the draining server, appear to go back to an older list or appear to lag; while A is cut
// off, its proxies must not count as up to date.
func TestRestartedServiceBesideRunningOne(t *testing.T) {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	var addrs []string
	var drained atomic.Bool
	for i := range 4 { // a draining server fails its health check
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i == 0 && drained.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		defer s.Close()
		addrs = append(addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	discovery := hosts.NewService(10, clock, func(history.Event) {},
		func(_, server string) string { return addrs[server[len(server)-1]-'0'] })
	defer discovery.Close()
	entry := func(i int, lifecycle string) hosts.Entry {
		return hosts.Entry{InstanceID: fmt.Sprintf("s-00%d", i), Zone: "hall-nord", MachineType: "std-6",
			Lifecycle: lifecycle, Weight: 6}
	}
	for i := range 4 {
		discovery.SetNow(entry(i, hosts.Up))
	}
	discoveryA, err := discovery.Listen("a")
	if err != nil {
		t.Fatal(err)
	}
	linkA, err := link.NewTCP(func() string { return discoveryA }, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer linkA.Close()
	discoveryB, err := discovery.Listen("b")
	if err != nil {
		t.Fatal(err)
	}
	config := func(name, listen, discovery string) string {
		return strings.NewReplacer("127.0.0.1:0", listen, "127.0.0.1:1\"",
			discovery+"\"\nname = \""+name+"\"\nconsole = \"127.0.0.1:0\"\nrecord_file = \""+
				filepath.Join(t.TempDir(), name)+"\"\nlist_file = \""+
				filepath.Join(t.TempDir(), name+".json")+"\"").Replace(minimalConfig)
	}
	configA := config("a", freeAddr(t), linkA.Addr())
	a, b := startControl(t, configA), startControl(t, config("b", freeAddr(t), discoveryB))

	type runningProxy struct {
		*xdsproxy.Proxy
		stop context.CancelFunc
	}
	var proxies []*runningProxy
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startProxy := func(p *runningProxy) {
		proxyCtx, stop := context.WithCancel(ctx)
		p.stop = stop
		go p.Run(proxyCtx)
	}
	for i := range 4 {
		controls := []string{a.addr, b.addr}
		if i%2 == 1 {
			controls = []string{b.addr, a.addr}
		}
		p := &runningProxy{Proxy: xdsproxy.New(xdsproxy.Config{ControlServices: controls, Delta: i > 1,
			NodeID: fmt.Sprintf("p%d", i), Zone: "hall-nord", Service: "clips", Clock: clock, HealthCheckPath: "/healthz"})}
		startProxy(p)
		proxies = append(proxies, p)
	}
	var drainedAt atomic.Int64
	var lateSends, picks atomic.Int64
	for _, p := range proxies {
		go func() {
			for ctx.Err() == nil {
				s, _, ok := p.Pick("fetch")
				if at := time.Duration(drainedAt.Load()); ok && at > 0 {
					picks.Add(1)
					if s.Addr == addrs[0] && clock() > at+600*time.Millisecond {
						lateSends.Add(1)
					}
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	// auditOf audits the proxies from the records of the given services.
	auditOf := func(processes ...*controlProcess) *audit.Audit {
		var records []version.Record
		for _, s := range processes {
			record, err := s.fetchRecord()
			if err != nil {
				t.Fatalf("%v; log: %s", err, s.logText())
			}
			records = append(records, record)
		}
		return audit.New(records, audit.DefaultOptions())
	}
	waitUntil := func(what string, holds func() (bool, any)) {
		t.Helper()
		for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
			ok, got := holds()
			if ok {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("condition not reached: %s; last %+v", what, got)
			}
		}
	}
	allProxies := func(state audit.State, accepted uint64, processes ...*controlProcess) func() (bool, any) {
		return func() (bool, any) {
			got := auditOf(processes...).Proxies()
			n := 0
			for _, p := range got {
				if strings.Contains(p.Proxy, " p") && p.State == state && p.Accepted >= accepted {
					n++
				}
			}
			return n == len(proxies), got
		}
	}
	waitUntil("all proxies are up to date", allProxies(audit.UpToDate, 1, a, b))
	for range 8 { // raises the version
		for _, lifecycle := range []string{hosts.Draining, hosts.Up} {
			discovery.SetNow(entry(3, lifecycle))
			time.Sleep(120 * time.Millisecond)
		}
	}
	waitUntil("all proxies are up to date again", allProxies(audit.UpToDate, 4, a, b))

	before, err := a.fetchRecord()
	if err != nil {
		t.Fatal(err)
	}
	a.kill()
	drained.Store(true)
	discovery.SetNow(entry(0, hosts.Draining))
	drainedAt.Store(int64(clock()))
	waitUntil("all proxies have moved to B and apply the drain", allProxies(audit.UpToDate, 4, b))
	linkA.Set(link.Conditions{State: link.BlackHole})
	restartedA := startControl(t, configA) // same address, list from before the drain
	for i := 0; i < 4; i += 2 {
		proxies[i].stop()
		startProxy(proxies[i])
	}
	twoProxiesOf := func(service string, state audit.State) func() (bool, any) {
		return func() (bool, any) {
			got := auditOf(restartedA, b).Proxies()
			n := 0
			for _, p := range got {
				if p.Service == service && p.State == state && p.Accepted > 0 {
					n++
				}
			}
			return n == 2, got
		}
	}
	waitUntil("the proxies of restarted A have an unknown state while it is cut off",
		twoProxiesOf("a", audit.StateUnknown))
	if record, _ := restartedA.fetchRecord(); record.Proxies[0].Published >= before.Proxies[0].Published {
		t.Fatalf("version after the restart is not lower: %d after %d",
			record.Proxies[0].Published, before.Proxies[0].Published)
	}
	linkA.Set(link.Conditions{})
	waitUntil("the proxies that moved back to A are up to date", twoProxiesOf("a", audit.UpToDate))
	waitUntil("all proxies are up to date", allProxies(audit.UpToDate, 1, restartedA, b))
	finalAudit := auditOf(restartedA, b)
	moved := 0
	for _, p := range finalAudit.Proxies() {
		for _, change := range p.ServiceChanges {
			if change.To != change.From && strings.HasPrefix(change.To, "a of") {
				moved++
			}
			if change.Relation == version.Older {
				t.Errorf("%s went back to an older list: %+v", p.Proxy, change)
			}
		}
	}
	if moved < 2 {
		t.Errorf("%d moves to restarted A are on record: %+v", moved, finalAudit.Proxies())
	}
	if lateSends.Load() > 0 || picks.Load() < 500 {
		t.Errorf("%d of %d requests went to the draining server", lateSends.Load(), picks.Load())
	}
}
