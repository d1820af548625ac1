package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/bounded"
	"ivylock/internal/nodetest"
)

const (
	killMargin = 700 * time.Millisecond // SIGKILL follows SIGTERM no sooner than this plus the longest deadline
	maxGrace   = 3 * time.Second        // upper limit on the deadline in that sum
)

// hangingServers are servers that record the requests they receive. Once hang is set, all
// but the first stop answering.
type hangingServers struct {
	addrs []string
	hang  atomic.Bool
	ended chan bool
	seen  sync.Map // by Request-Id
}

func newHangingServers(t *testing.T, count int) *hangingServers {
	s := &hangingServers{ended: make(chan bool)}
	t.Cleanup(func() { close(s.ended) })
	for i := range count {
		b := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			s.seen.Store(r.Header.Get("Request-Id"), true)
			if s.hang.Load() && i > 0 {
				<-s.ended
				return false
			}
			return nodetest.WriteResponse(c, "200 OK", "answer to "+r.Header.Get("Request-Id"))
		})
		s.addrs = append(s.addrs, b.Addr)
	}
	return s
}

// connectionKind is the state of a client's connection when the node receives SIGTERM.
type connectionKind string

const (
	unused        connectionKind = "unused"    // nothing sent
	used          connectionKind = "used"      // one request completed
	late          connectionKind = "late"      // opened after SIGTERM
	partialHeader connectionKind = "half head" // half of a header sent
	partialBody   connectionKind = "half body" // a header and half of a body sent
)

// lateRequest is a request that a client completes after SIGTERM.
type lateRequest struct {
	id       string
	kind     connectionKind
	conn     net.Conn
	reader   *bufio.Reader
	unsent   string        // remainder of the request
	sendAt   time.Duration // planned time after SIGTERM
	sent     time.Duration // actual time after SIGTERM
	answered time.Duration // when the response was complete; 0: never
	status   int
	skipped  bool // the node closed the connection, or answered on it, before the request was complete
	failure  error
}

// requestText returns a request of a class of the test configuration.
func requestText(class, id string, clientTimeout time.Duration) (header, body string) {
	body = "pay-" + id
	method, key := "POST", ""
	switch class {
	case "clip":
		method, body = "GET", ""
	case "tag":
		key = "Idempotency-Key: key-" + id + "\r\n"
	}
	header = fmt.Sprintf("%s /%s/a HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n%s", method, class, id, class, clientTimeout.Milliseconds(), key)
	if body != "" {
		header += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return header + "\r\n", body
}

// open connects and sends as much as the connection's kind requires.
func (r *lateRequest) open(addr, class string, clientTimeout time.Duration) error {
	c, err := net.DialTimeout("tcp", addr, nodetest.WaitTimeout)
	if err != nil {
		return err
	}
	r.conn, r.reader = c, bufio.NewReader(c)
	header, body := requestText(class, r.id, clientTimeout)
	r.unsent = header + body
	sentBytes := 0
	switch r.kind {
	case used:
		header, body := requestText(class, "first-"+r.id, clientTimeout)
		if _, err := io.WriteString(c, header+body); err != nil {
			return err
		}
		resp, err := http.ReadResponse(r.reader, nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	case partialHeader:
		sentBytes = len(header) / 2
	case partialBody:
		sentBytes = len(header) + len(body)/2
	}
	_, err = io.WriteString(c, r.unsent[:sentBytes])
	r.unsent = r.unsent[sentBytes:]
	return err
}

// send sends the remainder, if the connection is still open, and waits for the response.
func (r *lateRequest) send(signalledAt time.Time, until time.Time) {
	if !bounded.OpenAndIdle(r.conn) { // closed, or answered before the request was complete
		r.skipped = true
		if r.kind == unused || r.kind == used {
			r.conn.SetReadDeadline(time.Now().Add(time.Second))
			if b, err := r.reader.ReadByte(); err == nil {
				r.skipped, r.failure = false, fmt.Errorf("an unexpected response, beginning with %q", b)
			}
		}
		return
	}
	if _, err := io.WriteString(r.conn, r.unsent); err != nil {
		r.skipped = true
		return
	}
	r.sent = time.Since(signalledAt)
	r.conn.SetReadDeadline(until)
	resp, err := http.ReadResponse(r.reader, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		r.failure = err
		return
	}
	r.status, r.answered = resp.StatusCode, time.Since(signalledAt)
}

// lost reports whether a complete request got no complete response and must not be retried,
// because a server received it or the node had begun to read it.
func (r *lateRequest) lost(s *hangingServers) bool {
	if r.skipped || r.answered > 0 {
		return false
	}
	_, seen := s.seen.Load(r.id)
	return seen || r.kind == partialHeader || r.kind == partialBody
}

// startServing starts the program and returns the address that it serves on.
func startServing(t *testing.T, config string, env ...string) (c *exec.Cmd, addr string, log *syncLog) {
	t.Helper()
	c, log = command(config), &syncLog{}
	c.Env = append(append(c.Env, env...), "GORACE=atexit_sleep_ms=0") // skip the race detector's delay at exit
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	for end := time.Now().Add(nodetest.WaitTimeout); ; time.Sleep(time.Millisecond) {
		if _, at, found := strings.Cut(log.String(), " serves on "); found {
			if addr, _, found = strings.Cut(at, "\n"); found {
				return c, addr, log
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the node does not serve: %s", log)
		}
	}
}

// syncLog collects the log of a process.
type syncLog struct {
	mu   sync.Mutex
	text []byte
}

func (l *syncLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, b...)
	return len(b), nil
}

func (l *syncLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}

// lateRequests returns two requests per kind of connection for each of several times during
// the shutdown.
func lateRequests(killAfter time.Duration) (requests []*lateRequest) {
	times := []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 590 * time.Millisecond, 610 * time.Millisecond, 650 * time.Millisecond, 690 * time.Millisecond}
	for at := 750 * time.Millisecond; at < killAfter-200*time.Millisecond; at += 150 * time.Millisecond {
		times = append(times, at)
	}
	times = append(times, killAfter-150*time.Millisecond, killAfter-100*time.Millisecond, killAfter-50*time.Millisecond)
	for _, kind := range []connectionKind{unused, used, late, partialHeader, partialBody} {
		for i, at := range times {
			if kind == late && at < 500*time.Millisecond {
				continue
			}
			for k := range 2 {
				requests = append(requests, &lateRequest{id: fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(string(kind), " ", "-"), i, k), kind: kind, sendAt: at})
			}
		}
	}
	return requests
}

// No request that a node reads after SIGTERM is lost, even if most servers hang and SIGKILL
// follows as early as the settings allow. Each is answered before that, or its connection
// closes before it is read. The process has exited by then.
func TestShutdownLosesNoRequest(t *testing.T) {
	for _, longest := range []time.Duration{300 * time.Millisecond, 750 * time.Millisecond, 1250 * time.Millisecond, 2430 * time.Millisecond, 6 * time.Second} {
		t.Run(fmt.Sprint(longest), func(t *testing.T) {
			t.Parallel()
			servers := newHangingServers(t, 6)
			config := nodetest.ConfigJSON(nodetest.ClosedAddr(t), servers.addrs...)
			for _, deadline := range []string{"2000000000", "4000000000", "6000000000"} {
				config = strings.Replace(config, `"give_up_ns":`+deadline, fmt.Sprintf(`"give_up_ns":%d`, longest), 1)
			}
			c, addr, log := startServing(t, write(t, config))
			killAfter := killMargin + min(longest, maxGrace)
			clientTimeout := longest * 77 / 100
			requests := lateRequests(killAfter)
			classes := []string{"clip", "tag", "order"}
			var opened sync.WaitGroup
			for i, r := range requests {
				if r.kind != late && r.kind != unused {
					opened.Go(func() {
						class := classes[i%3]
						if r.kind == partialBody {
							class = "order"
						}
						if err := r.open(addr, class, clientTimeout); err != nil {
							t.Errorf("%s: %v", r.id, err)
						}
					})
				}
			}
			opened.Wait()
			for i, r := range requests { // opened last, so that they do not reach the idle timeout
				if r.kind == unused {
					if err := r.open(addr, classes[i%3], clientTimeout); err != nil {
						t.Fatalf("%s: %v", r.id, err)
					}
				}
			}
			servers.hang.Store(true)
			time.Sleep(100 * time.Millisecond)
			signalledAt := time.Now()
			if err := c.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			var sent sync.WaitGroup
			for i, r := range requests {
				sent.Go(func() {
					if r.kind == late {
						time.Sleep(time.Until(signalledAt.Add(time.Duration(i%4+1) * 100 * time.Millisecond)))
						if err := r.open(addr, classes[i%3], clientTimeout); err != nil {
							r.skipped = true
							return
						}
					}
					defer r.conn.Close()
					time.Sleep(time.Until(signalledAt.Add(r.sendAt)))
					r.send(signalledAt, signalledAt.Add(killAfter+time.Second))
				})
			}
			ended := make(chan error, 1)
			go func() { ended <- c.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("exited with %v", err)
				}
				t.Logf("exited %v after SIGTERM, %v before SIGKILL", time.Since(signalledAt), killAfter-time.Since(signalledAt))
			case <-time.After(time.Until(signalledAt.Add(killAfter))):
				c.Process.Kill()
				t.Errorf("still running %v after SIGTERM", killAfter)
			}
			sent.Wait()
			unread, answered := 0, map[int]int{}
			for _, r := range requests {
				switch {
				case r.lost(servers):
					t.Errorf("lost: sent %v after SIGTERM on a connection of kind %q: %v", r.sent, r.kind, r.failure)
				case r.answered > r.sent+clientTimeout+500*time.Millisecond:
					t.Errorf("late: sent %v after SIGTERM on a connection of kind %q, answered %d at %v", r.sent, r.kind, r.status, r.answered)
				case r.skipped:
				case r.answered > 0:
					answered[r.status]++
				default:
					unread++ // the node did not read it
					t.Logf("not read: sent %v after SIGTERM on a connection of kind %q: %v", r.sent, r.kind, r.failure)
				}
			}
			if unread > len(requests)/20 {
				t.Errorf("%d of %d requests were not read before their connections closed", unread, len(requests))
			}
			if strings.Contains(log.String(), "invariant broken") {
				t.Error("the process logged a broken invariant")
			}
			t.Logf("%d requests, responses by status %v", len(requests), answered)
			if t.Failed() {
				t.Logf("log:\n%s", log)
			}
		})
	}
}
