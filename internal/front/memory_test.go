package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ivylock/guard"
	"ivylock/internal/nodetest"
)

// Guards against memory that is held but not counted, or counted for good: whatever clients do, what is
// held stays within the limit, and all of it is returned once they have gone.
func TestMemoryIsCountedAndReturned(t *testing.T) {
	t.Parallel()
	server := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(100 * time.Millisecond)
		return nodetest.WriteResponse(c, "200 OK", strings.Repeat("x", 50_000))
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server.Addr, server.Addr, server.Addr, server.Addr))
	const limit = 1 << 20
	n.Memory().SetLimit(limit)
	post := func(id string, length, written int) string {
		return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", id, length, strings.Repeat("x", written))
	}
	peak := int64(0)
	stop := make(chan bool)
	var watcher, clients sync.WaitGroup
	watcher.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				peak = max(peak, n.Memory().HeldBy(guard.RequestBodies)+n.Memory().HeldBy(guard.BodiesReadAhead)+n.Memory().HeldBy(guard.PipelinedRequests))
			}
		}
	})
	for i := range 60 {
		id := fmt.Sprint("m", i)
		text := []string{post(id, 60_000, 60_000), post(id, 60_000, 40_000), post(id, 300_000, 300_000), post(id, 300_000, 100_000),
			getRequest(id) + strings.Repeat(getRequest(id+"b"), 100)}[i%5]
		c := dial(t, n.url)
		clients.Go(func() {
			go io.WriteString(c, text)
			if i%3 == 0 { // leaves
				time.Sleep(50 * time.Millisecond)
				c.Close()
				return
			}
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				io.Copy(io.Discard, resp.Body)
			}
			c.Close()
		})
	}
	clients.Wait()
	waitFor(t, "all memory is returned", func() bool { return n.Memory().Held() == 0 })
	close(stop)
	watcher.Wait()
	if peak > limit || peak < limit/4 {
		t.Errorf("%d bytes were held for requests, with a limit of %d", peak, limit)
	}
	if n.Memory().Refused(guard.RequestBodies) == 0 {
		t.Error("there was memory for all bodies")
	}
	if held := n.Memory().String(); !strings.Contains(held, "buffers: 0 of") {
		t.Error(held)
	}
}

// A body without memory is refused within the client's time, with a hint when to come back, and the next
// one is served once there is memory.
func TestBodyWithoutMemoryIsRefusedInTime(t *testing.T) {
	t.Parallel()
	server := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "done") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server.Addr))
	limit := n.Memory().Limit()
	order := func(id string, timeout time.Duration) (*http.Response, time.Duration) {
		c := dial(t, n.url)
		fmt.Fprintf(c, "POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: order\r\nRequest-Timeout-Ms: %d\r\nContent-Length: 20000\r\n\r\n%s", id, timeout.Milliseconds(), strings.Repeat("x", 20_000))
		sent := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		return resp, time.Since(sent)
	}
	for _, timeout := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
		n.Memory().SetLimit(0)
		resp, took := order(fmt.Sprint("none", timeout), timeout)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1.000" || took > timeout {
			t.Errorf("time %v: got %v after %v", timeout, resp, took)
		}
		time.AfterFunc(timeout/8, func() { n.Memory().SetLimit(limit) })
		n.Memory().SetLimit(0)
		if resp, took := order(fmt.Sprint("late", timeout), timeout); resp.StatusCode != http.StatusOK && timeout > time.Second || took > timeout {
			t.Errorf("time %v, memory after an eighth: got %v after %v", timeout, resp, took)
		}
	}
	if count := server.RequestCount(); count == 0 {
		t.Error("nothing was served")
	}
}
