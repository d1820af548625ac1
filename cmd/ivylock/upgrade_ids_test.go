package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// Guards against running an id twice that comes again at the other process of an upgrade after its
// client has left.
func TestIDThatComesAgainDuringUpgradeRunsOnce(t *testing.T) {
	p := newPlatform(t)
	p.startReady()
	p.startReady() // both accept from now on
	const ids, repeats = 12, 6
	for i := range ids {
		id := fmt.Sprint("again-", i)
		first := p.sendOrder(t, id)
		for end := time.Now().Add(nodetest.WaitTimeout); p.executionsOf(id) == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the request does not run")
			}
		}
		first.Close()
		for range repeats {
			c := p.sendOrder(t, id)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusConflict {
				t.Errorf("%s: got %v, %v", id, resp, err)
			}
			c.Close()
		}
		if count := p.executionsOf(id); count != 1 {
			t.Errorf("%s ran %d times", id, count)
		}
	}
}

// sendOrder sends an unsafe request on a new connection.
func (p *platform) sendOrder(t *testing.T, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
	header, body := requestText("order", id, 3*time.Second)
	io.WriteString(c, header+body)
	return c
}

// executionsOf returns how often a backend has begun a request.
func (p *platform) executionsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.executions[id]
}
