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

// A control service is killed and begins anew at a lower version beside one that goes
// on, at first cut off from discovery, with the list from before a drain. Its proxies
// move to the other and back. None sends to the server that drains, and by the records
// of both services none has gone back or is behind, although the numbers of the one that
// began anew are lower; while it is cut off nobody is said to be current by it.
func TestAServiceThatBeginsAnewBesideOneThatGoesOn(t *testing.T) {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	var addrs []string
	var drains atomic.Bool
	for i := range 4 { // a server that drains fails its check
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i == 0 && drains.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		defer s.Close()
		addrs = append(addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	d := hosts.NewService(10, clock, func(history.Event) {}, func(_, server string) string { return addrs[server[len(server)-1]-'0'] })
	defer d.Close()
	entry := func(i int, lifecycle string) hosts.Entry {
		return hosts.Entry{InstanceID: fmt.Sprintf("s-00%d", i), Zone: "hall-nord", MachineType: "std-6", Lifecycle: lifecycle, Weight: 6}
	}
	for i := range 4 {
		d.SetNow(entry(i, hosts.Up))
	}
	toA, err := d.Listen("a")
	if err != nil {
		t.Fatal(err)
	}
	way, err := link.NewTCP(func() string { return toA }, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer way.Close()
	toB, err := d.Listen("b")
	if err != nil {
		t.Fatal(err)
	}
	text := func(name, listen, discovery string) string {
		return strings.NewReplacer("127.0.0.1:0", listen, "127.0.0.1:1\"", discovery+"\"\nname = \""+name+"\"\nconsole = \"127.0.0.1:0\"\nrecord_file = \""+
			filepath.Join(t.TempDir(), name)+"\"\nlist_file = \""+filepath.Join(t.TempDir(), name+".json")+"\"").Replace(good)
	}
	textA := text("a", free(t), way.Addr())
	a, b := serve(t, textA), serve(t, text("b", free(t), toB))

	type running struct {
		*xdsproxy.Proxy
		stop context.CancelFunc
	}
	var proxies []*running
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	follow := func(p *running) {
		own, stop := context.WithCancel(ctx)
		p.stop = stop
		go p.Run(own)
	}
	for i := range 4 {
		to := []string{a.addr, b.addr}
		if i%2 == 1 {
			to = []string{b.addr, a.addr}
		}
		p := &running{Proxy: xdsproxy.New(xdsproxy.Config{Controls: to, Delta: i > 1, Node: fmt.Sprintf("p%d", i), Zone: "hall-nord",
			Service: "clips", Clock: clock, Check: "/healthz"})}
		follow(p)
		proxies = append(proxies, p)
	}
	var drainedAt atomic.Int64
	var late, picks atomic.Int64
	for _, p := range proxies {
		go func() {
			for ctx.Err() == nil {
				s, _, ok := p.Pick("fetch")
				if at := time.Duration(drainedAt.Load()); ok && at > 0 {
					picks.Add(1)
					if s.Addr == addrs[0] && clock() > at+600*time.Millisecond {
						late.Add(1)
					}
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	// standing tells how the proxies stand by the consoles of the services that run.
	standing := func(services ...*service) *audit.Audit {
		var records []version.Record
		for _, s := range services {
			r, err := s.record()
			if err != nil {
				t.Fatalf("%v; its log: %s", err, s.said())
			}
			records = append(records, r)
		}
		return audit.New(records, audit.DefaultOptions())
	}
	until := func(what string, fits func() (bool, any)) {
		t.Helper()
		for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
			ok, got := fits()
			if ok {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("never: %s; last %+v", what, got)
			}
		}
	}
	all := func(state audit.State, accepted uint64, services ...*service) func() (bool, any) {
		return func() (bool, any) {
			got := standing(services...).Proxies()
			n := 0
			for _, p := range got {
				if strings.Contains(p.Proxy, " p") && p.State == state && p.Accepted >= accepted {
					n++
				}
			}
			return n == len(proxies), got
		}
	}
	until("all are current", all(audit.UpToDate, 1, a, b))
	for range 8 { // versions grow
		for _, lifecycle := range []string{hosts.Draining, hosts.Up} {
			d.SetNow(entry(3, lifecycle))
			time.Sleep(120 * time.Millisecond)
		}
	}
	until("all are current again", all(audit.UpToDate, 4, a, b))

	before, err := a.record()
	if err != nil {
		t.Fatal(err)
	}
	a.kill()
	drains.Store(true)
	d.SetNow(entry(0, hosts.Draining))
	drainedAt.Store(int64(clock()))
	until("all have moved and follow the drain", all(audit.UpToDate, 4, b))
	way.Set(link.Shape{State: link.BlackHole})
	a2 := serve(t, textA) // at the same address, with the list from before the drain
	for i := 0; i < 4; i += 2 {
		proxies[i].stop()
		follow(proxies[i])
	}
	asks := func(service string, state audit.State) func() (bool, any) {
		return func() (bool, any) {
			got := standing(a2, b).Proxies()
			n := 0
			for _, p := range got {
				if p.Service == service && p.State == state && p.Accepted > 0 {
					n++
				}
			}
			return n == 2, got
		}
	}
	until("what the one that began anew says is compared with nothing while it is cut off", asks("a", audit.StateUnknown))
	if r, _ := a2.record(); r.Proxies[0].Published >= before.Proxies[0].Published {
		t.Fatalf("it did not begin lower: %d after %d", r.Proxies[0].Published, before.Proxies[0].Published)
	}
	way.Set(link.Shape{})
	until("those that moved back are current by the one that began anew", asks("a", audit.UpToDate))
	until("all are current", all(audit.UpToDate, 1, a2, b))
	x := standing(a2, b)
	moved := 0
	for _, p := range x.Proxies() {
		for _, m := range p.ServiceChanges {
			if m.To != m.From && strings.HasPrefix(m.To, "a of") {
				moved++
			}
			if m.Relation == version.Older {
				t.Errorf("%s went back: %+v", p.Proxy, m)
			}
		}
	}
	if moved < 2 {
		t.Errorf("%d moves to the one that began anew are on record: %+v", moved, x.Proxies())
	}
	if late.Load() > 0 || picks.Load() < 500 {
		t.Errorf("%d of %d requests went to the server that drains", late.Load(), picks.Load())
	}
}
