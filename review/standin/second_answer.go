package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// secondAnswer: servers send a second copy of some answers a few milliseconds late. Every
// client must get the answer that a server made for its own request.
func secondAnswer(r *run) {
	const rounds, clients, load = 40, 4, 1500 * time.Millisecond
	for round := range rounds {
		r.logf("round %d", round)
		disc := r.newDiscovery()
		var answers atomic.Int64
		for i, name := range []string{"s-1", "s-2", "s-3"} {
			b := &backend{name: name, work: 20 * time.Millisecond}
			b.onRun = func(req *http.Request) { r.logf("%s runs request %s", name, req.Header.Get("Request-Id")) }
			if r.trouble {
				b.spoil = func(req *http.Request) time.Duration {
					if answers.Add(1)%20 != 0 {
						return 0
					}
					r.logf("%s sends its answer to request %s a second time in 5 ms", name, req.Header.Get("Request-Id"))
					return 5 * time.Millisecond
				}
			}
			r.startBackend(b)
			disc.set(name, b.addr, "up", i)
		}
		n := r.startNode(nodeSpec{name: "n0", discovery: disc.addr, initial: disc.list(true, 0)})
		r.awaitReady(n)
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() { r.checkOwnAnswers(n.addr, time.Now().Add(load)) })
		}
		wg.Wait()
		n.kill()
	}
}

// checkOwnAnswers sends one request after the other until a time.
func (r *run) checkOwnAnswers(addr string, until time.Time) {
	classes := []string{"viewer-clip", "cut-order", "broadcast-clip", "tag-event", "viewer-clip"}
	var c *client
	for i := 0; time.Now().Before(until); i++ {
		if c == nil {
			var err error
			if c, err = dialNode(addr); err != nil {
				r.failf("%v", err)
			}
		}
		class, id := classes[i%len(classes)], newID()
		body := ""
		if class == "cut-order" || class == "tag-event" {
			body = "clip 7"
		}
		r.logf("client sends %s %s", class, id)
		c.Write([]byte(head(class, id, time.Second, len(body)) + body))
		a := c.readAnswer(time.Now().Add(2 * time.Second))
		r.logf("client got %d for %s: %q %v", a.status, id, a.body, a.err)
		if a.status == http.StatusOK && a.body != answerTo(id) {
			r.breachf("%s %s was answered 200 with %q", class, id, a.body)
		}
		if a.err != nil || a.close {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
