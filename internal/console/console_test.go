package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/nodetest"
	"ivylock/maintenance"
)

type fakeNode struct {
	ready atomic.Bool
	mu    sync.Mutex
	calls []string
	err   error
}

func (f *fakeNode) Ready() bool         { return f.ready.Load() }
func (f *fakeNode) MetricsText() []byte { return []byte("app.relayed:3|c\n") }
func (f *fakeNode) Events(request string) []byte {
	return []byte("events of " + request + "\n")
}
func (f *fakeNode) SetMaintenance(_ context.Context, id string, inMaintenance bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id == "nobody" {
		return maintenance.ErrUnknown
	}
	f.calls = append(f.calls, fmt.Sprint(id, inMaintenance))
	return f.err
}

func startConsole(t *testing.T) (*fakeNode, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeNode{}
	n.ready.Store(true)
	s := New(l, n)
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return n, l.Addr().String()
}

// doRequest sends one request on a new connection and checks that the server closes it.
func doRequest(t *testing.T, addr, text string) (status int, body string, header http.Header) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	raw, _ := io.ReadAll(resp.Body)
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%q: the connection was not closed: %v", text, err)
	}
	return resp.StatusCode, string(raw), resp.Header
}

func put(path, id string) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(id), id)
}

func TestConsoleRequests(t *testing.T) {
	n, addr := startConsole(t)
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	for _, c := range []struct {
		text string
		want int
		body string
	}{
		{get("/status"), 200, ""},
		{get("/status/metrics"), 200, "app.relayed:3|c\n"},
		{get("/status/events"), 200, "events of \n"},
		{get("/status/events?id=a%20b"), 200, "events of a b\n"},
		{put("/maintenance/enter", "s-1"), 200, ""},
		{put("/maintenance/exit", "s-1\n"), 200, ""},
		{"PUT /maintenance/enter HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ns-\r\n1\r\n1\r\n0\r\n\r\n", 200, ""},
		{put("/maintenance/enter", "nobody"), 404, ""},
		{put("/maintenance/enter", ""), 400, ""},
		{put("/maintenance/enter", strings.Repeat("x", maxIDBytes+1)), 413, ""},
		{get("/maintenance/enter"), 405, ""},
		{put("/status", ""), 405, ""},
		{get("/other"), 404, ""},
		{"nonsense\r\n\r\n", 400, ""},
	} {
		status, body, header := doRequest(t, addr, c.text)
		if status != c.want || c.body != "" && body != c.body {
			t.Errorf("%q: got %d %q", c.text, status, body)
		}
		if status == 405 && header.Get("Allow") == "" {
			t.Errorf("%q: 405 without an Allow header", c.text)
		}
	}
	if got := fmt.Sprint(n.calls); got != "[s-1true s-1false s-1true]" {
		t.Errorf("the node received %s", got)
	}
	n.ready.Store(false)
	if status, _, _ := doRequest(t, addr, get("/status")); status != 503 {
		t.Errorf("/status while the node is not ready: %d", status)
	}
	n.err = errors.New("busy")
	if status, _, _ := doRequest(t, addr, put("/maintenance/enter", "s-1")); status != 503 {
		t.Errorf("maintenance that the node rejected: %d", status)
	}
}

// Guards against idle connections and incomplete headers that block other requests.
func TestIncompleteRequestsDoNotDelayOthers(t *testing.T) {
	_, addr := startConsole(t)
	for i := range 200 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /status HT")
		}
	}
	slowest := time.Duration(0)
	for range 20 {
		began := time.Now()
		if status, _, _ := doRequest(t, addr, "GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
			t.Fatalf("got %d", status)
		}
		slowest = max(slowest, time.Since(began))
	}
	t.Logf("slowest response: %v", slowest)
}

func TestAcceptErrorsDoNotStopConsole(t *testing.T) {
	l := nodetest.NewFailingListener(t, 10)
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.EPROTO, syscall.EPERM} {
		l.Errors <- errno
	}
	s := New(l, &fakeNode{})
	defer s.Close()
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	if status, _, _ := doRequest(t, l.Addr().String(), "GET /status/metrics HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Errorf("got %d", status)
	}
	select {
	case err := <-served:
		t.Errorf("the console stopped: %v", err)
	default:
	}
}
