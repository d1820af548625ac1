package front

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

// The events of a request show its attempts and why it ended as it did.
func TestRequestEventsAreLogged(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "reset" {
			return false
		}
		return nodetest.WriteResponse(c, "200 OK", "served")
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	for id, want := range map[string][]string{
		"served": {"request read", "attempt started", "attempt written", "attempt ended", "request ended"},
		"reset":  {"request read", "attempt started", "attempt written", "attempt ended", "request ended"},
	} {
		status, _, _ := n.mustRequest(t, "order", id, 3*time.Second)
		text := string(n.Events(id))
		for _, mark := range want {
			if !strings.Contains(text, mark+fmt.Sprintf(" request=%q", id)) {
				t.Errorf("%s: no %q in\n%s", id, mark, text)
			}
		}
		reason := map[string]string{"served": `reason="ok"`, "reset": `reason="reset"`}[id]
		if !strings.Contains(text, reason) || !strings.Contains(text, fmt.Sprintf("status=%d", status)) {
			t.Errorf("%s: neither %s nor its status %d in\n%s", id, reason, status, text)
		}
	}
	text := string(n.MetricsText())
	for _, metric := range []string{"app.attempts.ended.ok:1|c", "app.attempts.ended.reset:1|c", "app.requests.turned_down.no_server:1|c", "app.attempts.repeated:0|c"} {
		if !strings.Contains(text, metric) {
			t.Errorf("no %s in\n%s", metric, text)
		}
	}
}

// Each closed connection is counted by the reason of its close.
func TestConnectionClosesAreCountedByReason(t *testing.T) {
	t.Parallel()
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	has := func(metric string) func() bool {
		return func() bool { return strings.Contains(string(n.MetricsText()), metric) }
	}
	serve := func(id, more string) net.Conn {
		c := dial(t, n.url)
		io.WriteString(c, strings.Replace(getRequest(id), "\r\n\r\n", "\r\n"+more+"\r\n", 1))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: %v, %v", id, resp, err)
		}
		return c
	}
	serve("answered", "Connection: close\r\n")
	waitFor(t, "closed after its response", has("app.connections.closed.answered:1|c"))
	serve("left", "").Close()
	waitFor(t, "closed by its client", has("app.connections.closed.by_client:1|c"))
	serve("silent", "") // idle for clientIdleTimeout
	waitFor(t, "idle timeout", has("app.connections.closed.timeout:1|c"))
	serve("rests", "")
	n.stop()
	waitFor(t, "idle at the shutdown", has("app.connections.closed.draining:1|c"))
	if !has("app.connections.opened:4|c")() || !has("app.connections.closed.unanswered:0|c")() {
		t.Errorf("unexpected metrics:\n%s", n.MetricsText())
	}
}
