package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ivylock/internal/figures"
	"ivylock/internal/nodetest"
)

// countingNode is a node whose clients and servers keep their own counts. The first part of a
// request's id selects how servers respond.
type countingNode struct {
	*testNode
	t         *testing.T
	mu        sync.Mutex
	resume    chan bool
	attempts  map[string]int                         // received by servers, by kind of request
	ended     map[string]*[figures.NumOutcomes]int64 // by class
	cancelled map[string]int64                       // by class; the node may or may not count these
}

func newCountingNode(t *testing.T, maxOpen int) *countingNode {
	c := &countingNode{t: t, resume: make(chan bool), attempts: map[string]int{}, cancelled: map[string]int64{},
		ended: map[string]*[figures.NumOutcomes]int64{"clip": {}, "tag": {}, "order": {}}}
	var addrs []string
	for range 12 {
		addrs = append(addrs, nodetest.NewScriptedServer(t, c.serve).Addr)
	}
	cfg := nodeConfig(t, nodetest.ClosedAddr(t), addrs...)
	cfg.Settings.MaxOpenRequests = maxOpen
	c.testNode = startNode(t, cfg)
	return c
}

func (c *countingNode) serve(conn net.Conn, r *http.Request) bool {
	kind, _, _ := strings.Cut(r.Header.Get("Request-Id"), "-")
	c.mu.Lock()
	c.attempts[kind]++
	c.mu.Unlock()
	switch kind {
	case "error":
		return nodetest.WriteResponse(conn, "500 Internal Server Error", "no")
	case "full":
		return nodetest.WriteResponse(conn, "503 Service Unavailable\r\nNot-Started: 1", "")
	case "reset":
		return false
	case "held":
		<-c.resume
	case "long":
		return nodetest.WriteResponse(conn, "200 OK", strings.Repeat("x", 200000))
	case "cut":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 100000))
		return false
	}
	return nodetest.WriteResponse(conn, "200 OK", "done")
}

func (c *countingNode) requestOne(ctx context.Context, class, id string) {
	status, _, _, err := c.request(ctx, class, id, 5*time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		c.cancelled[class]++
	case err != nil && status == 0:
		c.t.Errorf("%s %s: %v", class, id, err)
	case err != nil: // a truncated response
		c.ended[class][figures.Faulted]++
	default:
		c.ended[class][figures.OutcomeOf(status)]++
	}
}

// mismatches lists the metrics that differ from what clients and servers counted.
func (c *countingNode) mismatches() (report string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class, want := range c.ended {
		extra := int64(0)
		for outcome := range figures.NumOutcomes {
			got := c.Metrics().RequestCount(class, outcome)
			if got < want[outcome] {
				report += fmt.Sprintf("%s, outcome %d: %d, clients counted %d\n", class, outcome, got, want[outcome])
			}
			extra += got - want[outcome]
		}
		if extra > c.cancelled[class] {
			report += fmt.Sprintf("%s: %d more than clients counted, of which %d were cancelled\n", class, extra, c.cancelled[class])
		}
	}
	sent := int64(0)
	for _, n := range c.attempts {
		sent += int64(n)
	}
	if got := c.Metrics().Relayed.Load(); got != sent {
		report += fmt.Sprintf("relayed %d, servers counted %d\n", got, sent)
	}
	if got := c.Metrics().OpenRequests.Load(); got != 0 {
		report += fmt.Sprintf("%d open\n", got)
	}
	return report
}

// All metrics match what clients and servers counted: served, rejected, failed, retried and
// cancelled requests, truncated responses, and requests that are not counted at all.
func TestMetricsMatchClientAndServerCounts(t *testing.T) {
	classes := []string{"clip", "tag", "order"}
	for name, run := range map[string]func(c *countingNode){
		"one after another": func(c *countingNode) {
			for j := range 12 {
				for i, kind := range []string{"long", "cut", "plain", "plain"} {
					c.requestOne(context.Background(), classes[(i+j)%3], fmt.Sprint(kind, "-", i, "-", j))
				}
			}
			for i, kind := range []string{"error", "reset", "full"} { // they make servers suspected or full
				for j := range 3 {
					c.requestOne(context.Background(), classes[j], fmt.Sprint(kind, "-", i, "-", j))
				}
			}
			for _, request := range []string{"GET /clip HTTP/1.1\r\nHost: x\r\n\r\n",
				"POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: b\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 9\r\nContent-Length: 9\r\n\r\nx"} {
				c.sendRaw(c.t, request) // malformed, and one with a truncated body
			}
			for _, kind := range []string{"long", "cut", "plain", "error", "reset", "full"} {
				if c.attempts[kind] == 0 {
					c.t.Errorf("no attempt of the kind %s", kind)
				}
			}
			if c.attempts["full"] <= 3 {
				c.t.Error("no request was retried")
			}
		},
		"above the open-request limit": func(c *countingNode) {
			ctx, cancel := context.WithCancel(context.Background())
			var all sync.WaitGroup
			for i := range 8 {
				all.Go(func() { c.requestOne(ctx, "clip", fmt.Sprint("held-gone-", i)) })
			}
			inFlight := func() int { c.mu.Lock(); defer c.mu.Unlock(); return c.attempts["held"] }
			for end := time.Now().Add(nodetest.WaitTimeout); inFlight() < 8 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			for i := range 60 {
				all.Go(func() { c.requestOne(context.Background(), "order", fmt.Sprint("held-", i)) })
			}
			for end := time.Now().Add(nodetest.WaitTimeout); c.Metrics().RequestCount("order", figures.Throttled) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			cancel()
			close(c.resume)
			all.Wait()
			if counts := c.ended["order"]; counts[figures.Fulfilled] == 0 || counts[figures.Throttled] == 0 || c.cancelled["clip"] == 0 {
				c.t.Errorf("not all outcomes occurred: %v, %d cancelled", *counts, c.cancelled["clip"])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCountingNode(t, 24)
			run(c)
			// Counts may follow the response.
			for end := time.Now().Add(nodetest.WaitTimeout); c.mismatches() != ""; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal(c.mismatches())
				}
			}
		})
	}
}
