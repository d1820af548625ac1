package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ivylock/internal/nodetest"
)

// A process without file descriptors accepts the waiting clients as soon as it gets some,
// counts the errors and retries connections to servers.
func TestDescriptorExhaustionIsSurvived(t *testing.T) {
	t.Parallel()
	servers := newHangingServers(t, 3)
	config := write(t, nodetest.ConfigJSON(nodetest.ClosedAddr(t), servers.addrs...))
	c, addr, log := startServing(t, config, "PROXY_CONSOLE=127.0.0.1:0")
	_, console, _ := strings.Cut(log.String(), " hears operators on ")
	console, _, _ = strings.Cut(console, "\n")
	var usual unix.Rlimit
	if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, nil, &usual); err != nil {
		t.Fatal(err)
	}
	limit := func(most uint64) {
		t.Helper()
		if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: usual.Max}, nil); err != nil {
			t.Fatal(err)
		}
	}
	limit(0)
	const clients = 50
	var waiting []net.Conn
	for i := range clients {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		head, body := requestText("clip", "waits-"+string(rune('A'+i)), 10*time.Second)
		if _, err := io.WriteString(conn, head+body); err != nil {
			t.Fatal(err)
		}
		waiting = append(waiting, conn)
	}
	time.Sleep(300 * time.Millisecond)
	limit(usual.Cur)
	from := time.Now()
	var waits []time.Duration
	for _, conn := range waiting {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		// Load shedding of the burst is allowed.
		if err != nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got %v, %v", resp, err)
			continue
		}
		waits = append(waits, time.Since(from))
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		t.Logf("answered after the limit was raised: median %v, last %v", waits[len(waits)/2], waits[len(waits)-1])
		if last := waits[len(waits)-1]; last > 2*time.Second {
			t.Errorf("the last one was answered %v after the limit was raised", last)
		}
	}
	resp, err := http.Get("http://" + console + "/status/metrics")
	if err != nil {
		t.Fatal(err)
	}
	metrics, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if !strings.Contains(string(metrics), "app.accept.errors.EMFILE:") || strings.Contains(string(metrics), "app.accept.errors.EMFILE:0|c") {
		t.Error("no error was counted")
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}
