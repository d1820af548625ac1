// Package nodetest contains helpers for tests of the node's packages: a configuration,
// addresses, listeners and scripted servers.
package nodetest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout bounds waits in tests; it is far longer than any wait of a passing test.
const WaitTimeout = 20 * time.Second

// ConfigJSON returns a valid configuration with the given servers.
func ConfigJSON(discovery string, servers ...string) string {
	instances := []map[string]any{}
	for i, addr := range servers {
		instances = append(instances, map[string]any{"instanceId": fmt.Sprintf("s-%d", i), "hostPort": addr,
			"zone": "z", "machineType": "m", "cell": i, "lifecycle": "up", "weight": 1, "startedAtMs": 0})
	}
	known, _ := json.Marshal(map[string]any{"generation": 7, "reset": true, "instances": instances})
	return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":` + string(known) + `,"settings":{"balancers":1,
		"caps":{"cancel":true,"conn_idle_ns":60000000000,"connect_timeout_ns":250000000,"max_attempts":4,
		"max_retry_after_ns":2000000000,"may_duplicate":true,"most_held":20000,"multiplex":1,"retry_after":true},
		"classes":[
		{"name":"clip","effect":"retryable","aim_ns":600000000,"give_up_ns":2000000000,"importance":12,"key_scope":"all"},
		{"name":"tag","effect":"dedup","aim_ns":1500000000,"give_up_ns":4000000000,"importance":1,"key_scope":"cell","dedup_window_ns":8000000000},
		{"name":"order","effect":"fragile","aim_ns":2000000000,"give_up_ns":6000000000,"importance":1,"key_scope":"all"}],
		"invariants":{"ask_within_ns":10000000000,"cold_from":0.3,"cold_ns":8000000000,"drain_grace_ns":500000000,
		"overload_factor":2.5,"tip_after_ns":1000000000},"membership_mode":"on_request","report":{"how":"none"},
		"tick_ns":5000000,"zone":"z"}}`
}

// ClosedAddr returns a loopback address that refuses connections until the test ends. A bound
// socket that does not listen reserves its port.
func ClosedAddr(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
}

// FreeAddr returns a loopback address that was free to listen on.
func FreeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// ScriptedServer handles the requests of each connection with a function of the test.
type ScriptedServer struct {
	Addr     string
	mu       sync.Mutex
	requests []*http.Request
}

// RequestCount returns the number of requests received.
func (s *ScriptedServer) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// NewScriptedServer starts a server that calls serve for each request; serve reports whether
// the connection stays open.
func NewScriptedServer(t testing.TB, serve func(c net.Conn, r *http.Request) bool) *ScriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &ScriptedServer{Addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					s.mu.Lock()
					s.requests = append(s.requests, req)
					s.mu.Unlock()
					if !serve(c, req) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// WriteResponse writes a complete response. It reports whether the write succeeded.
func WriteResponse(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// BlockedListener is a listener whose backlog is full until Release is called, so that the
// kernel drops connection attempts. Clients retry after 1 s, then at most once a second.
type BlockedListener struct {
	*net.TCPListener
	backlog []net.Conn
}

// NewBlockedListener returns a listener on loopback.
func NewBlockedListener(t testing.TB) *BlockedListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "held")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	blocked := &BlockedListener{TCPListener: l.(*net.TCPListener)}
	for range 8 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return blocked
		}
		blocked.backlog = append(blocked.backlog, c)
	}
	t.Fatal("the backlog does not fill up")
	return nil
}

// Release empties the backlog and makes it longer, so that connections succeed from then on.
func (l *BlockedListener) Release(t testing.TB) {
	t.Helper()
	const releasedBacklog = 128 // connections
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	controlErr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), releasedBacklog) })
	if err := errors.Join(controlErr, err); err != nil {
		t.Fatal(err)
	}
	for _, c := range l.backlog {
		got, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		got.Close()
		c.Close()
	}
	l.backlog = nil
}
