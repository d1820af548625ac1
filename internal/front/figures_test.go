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

// counted is a node whose clients and servers count for themselves. What a
// request meets is the first part of its id.
type counted struct {
	*running
	t        *testing.T
	mu       sync.Mutex
	held     chan bool
	attempts map[string]int                      // that servers read whole, by kind
	ended    map[string]*[figures.Outcomes]int64 // by class
	gone     map[string]int64                    // by class: counted or not
}

func newCounted(t *testing.T, mostOpen int) *counted {
	c := &counted{t: t, held: make(chan bool), attempts: map[string]int{}, gone: map[string]int64{},
		ended: map[string]*[figures.Outcomes]int64{"clip": {}, "tag": {}, "order": {}}}
	var addrs []string
	for range 12 {
		addrs = append(addrs, nodetest.NewRawServer(t, c.serve).Addr)
	}
	cfg := nodeConfig(t, nodetest.ClosedAddr(t), addrs...)
	cfg.Settings.MaxOpenRequests = mostOpen
	c.running = startNode(t, cfg)
	return c
}

func (c *counted) serve(conn net.Conn, r *http.Request) bool {
	kind, _, _ := strings.Cut(r.Header.Get("Request-Id"), "-")
	c.mu.Lock()
	c.attempts[kind]++
	c.mu.Unlock()
	switch kind {
	case "error":
		return nodetest.Reply(conn, "500 Internal Server Error", "no")
	case "full":
		return nodetest.Reply(conn, "503 Service Unavailable\r\nNot-Started: 1", "")
	case "reset":
		return false
	case "held":
		<-c.held
	case "long":
		return nodetest.Reply(conn, "200 OK", strings.Repeat("x", 200000))
	case "cut":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 100000))
		return false
	}
	return nodetest.Reply(conn, "200 OK", "done")
}

func (c *counted) askOne(ctx context.Context, class, id string) {
	status, _, _, err := c.ask(ctx, class, id, 5*time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		c.gone[class]++
	case err != nil && status == 0:
		c.t.Errorf("%s %s: %v", class, id, err)
	case err != nil: // an answer that broke off
		c.ended[class][figures.Faulted]++
	default:
		c.ended[class][figures.OutcomeOf(status)]++
	}
}

// wrong tells which figures are not what clients and servers counted.
func (c *counted) wrong() (wrong string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class, w := range c.ended {
		extra := int64(0)
		for o := range figures.Outcomes {
			got := c.Metrics().Of(class, o)
			if got < w[o] {
				wrong += fmt.Sprintf("%s, outcome %d: %d, clients counted %d\n", class, o, got, w[o])
			}
			extra += got - w[o]
		}
		if extra > c.gone[class] {
			wrong += fmt.Sprintf("%s: %d more than clients counted, of which %d are gone\n", class, extra, c.gone[class])
		}
	}
	sent := int64(0)
	for _, n := range c.attempts {
		sent += int64(n)
	}
	if got := c.Metrics().Relayed.Load(); got != sent {
		wrong += fmt.Sprintf("relayed %d, servers counted %d\n", got, sent)
	}
	if got := c.Metrics().Open.Load(); got != 0 {
		wrong += fmt.Sprintf("%d open\n", got)
	}
	return wrong
}

// All sums against what clients and servers counted themselves: served,
// refused by the module and at the door, failed, tried again, given up by the
// client, long answers that break off, and what is counted nowhere.
func TestEachSumIsWhatClientsAndServersCounted(t *testing.T) {
	classes := []string{"clip", "tag", "order"}
	for name, play := range map[string]func(c *counted){
		"one after another": func(c *counted) {
			for j := range 12 {
				for i, kind := range []string{"long", "cut", "plain", "plain"} {
					c.askOne(context.Background(), classes[(i+j)%3], fmt.Sprint(kind, "-", i, "-", j))
				}
			}
			for i, kind := range []string{"error", "reset", "full"} { // they make servers suspects, or full
				for j := range 3 {
					c.askOne(context.Background(), classes[j], fmt.Sprint(kind, "-", i, "-", j))
				}
			}
			for _, bad := range []string{"GET /clip HTTP/1.1\r\nHost: x\r\n\r\n",
				"POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: b\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 9\r\nContent-Length: 9\r\n\r\nx"} {
				c.send(c.t, bad) // malformed, and one whose body breaks off
			}
			for _, kind := range []string{"long", "cut", "plain", "error", "reset", "full"} {
				if c.attempts[kind] == 0 {
					c.t.Errorf("no attempt of the kind %s", kind)
				}
			}
			if c.attempts["full"] <= 3 {
				c.t.Error("nothing was tried again")
			}
		},
		"more at once than may be open": func(c *counted) {
			gone, goAway := context.WithCancel(context.Background())
			var all sync.WaitGroup
			for i := range 8 {
				all.Go(func() { c.askOne(gone, "clip", fmt.Sprint("held-gone-", i)) })
			}
			inFlight := func() int { c.mu.Lock(); defer c.mu.Unlock(); return c.attempts["held"] }
			for end := time.Now().Add(nodetest.Patience); inFlight() < 8 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			for i := range 60 {
				all.Go(func() { c.askOne(context.Background(), "order", fmt.Sprint("held-", i)) })
			}
			for end := time.Now().Add(nodetest.Patience); c.Metrics().Of("order", figures.Throttled) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			goAway()
			close(c.held)
			all.Wait()
			if w := c.ended["order"]; w[figures.Fulfilled] == 0 || w[figures.Throttled] == 0 || c.gone["clip"] == 0 {
				c.t.Errorf("not all of it happened: %v, gone %d", *w, c.gone["clip"])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCounted(t, 24)
			play(c)
			for end := time.Now().Add(nodetest.Patience); c.wrong() != ""; time.Sleep(time.Millisecond) { // a count may come just after the answer
				if time.Now().After(end) {
					t.Fatal(c.wrong())
				}
			}
		})
	}
}
