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
	killMargin   = 700 * time.Millisecond // SIGKILL comes no sooner than this and the longest deadline after SIGTERM
	longestGrace = 3 * time.Second        // of a deadline that counts for it
)

// hangingServers are servers of which all but one take requests and answer none once they
// hang. They know which requests they have seen.
type hangingServers struct {
	addrs []string
	hang  atomic.Bool
	ended chan bool
	seen  sync.Map // Request-Id
}

func newHangingServers(t *testing.T, count int) *hangingServers {
	s := &hangingServers{ended: make(chan bool)}
	t.Cleanup(func() { close(s.ended) })
	for i := range count {
		b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
			s.seen.Store(r.Header.Get("Request-Id"), true)
			if s.hang.Load() && i > 0 {
				<-s.ended
				return false
			}
			return nodetest.Reply(c, "200 OK", "answer to "+r.Header.Get("Request-Id"))
		})
		s.addrs = append(s.addrs, b.Addr)
	}
	return s
}

// How far a client's connection has come before the node is told to end.
type connectionKind string

const (
	unused   connectionKind = "unused"    // it has carried nothing
	used     connectionKind = "used"      // it has carried a request
	late     connectionKind = "late"      // it is opened after SIGTERM
	halfHead connectionKind = "half head" // it has carried the first half of a head
	halfBody connectionKind = "half body" // it has carried a head and half of a body
)

// lateRequest is a request that a client sends on one connection after SIGTERM.
type lateRequest struct {
	id       string
	kind     connectionKind
	conn     net.Conn
	reader   *bufio.Reader
	rest     string        // what of the request is still to be sent
	after    time.Duration // when, from SIGTERM on
	sent     time.Duration // when it was, from SIGTERM on
	answered time.Duration // when its answer was whole; 0: never
	status   int
	skipped  bool // the node had ended the connection, or answered on it, before the request was whole
	failure  error
}

// orderText words a request of a class that a test's configuration has.
func orderText(class, id string, patience time.Duration) (head, body string) {
	body = "pay-" + id
	method, key := "POST", ""
	switch class {
	case "clip":
		method, body = "GET", ""
	case "tag":
		key = "Idempotency-Key: key-" + id + "\r\n"
	}
	head = fmt.Sprintf("%s /%s/a HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n%s", method, class, id, class, patience.Milliseconds(), key)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return head + "\r\n", body
}

// open connects and brings the connection to where its kind wants it.
func (r *lateRequest) open(addr, class string, patience time.Duration) error {
	c, err := net.DialTimeout("tcp", addr, nodetest.Patience)
	if err != nil {
		return err
	}
	r.conn, r.reader = c, bufio.NewReader(c)
	head, body := orderText(class, r.id, patience)
	r.rest = head + body
	begun := 0
	switch r.kind {
	case used:
		head, body := orderText(class, "first-"+r.id, patience)
		if _, err := io.WriteString(c, head+body); err != nil {
			return err
		}
		resp, err := http.ReadResponse(r.reader, nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	case halfHead:
		begun = len(head) / 2
	case halfBody:
		begun = len(head) + len(body)/2
	}
	_, err = io.WriteString(c, r.rest[:begun])
	r.rest = r.rest[begun:]
	return err
}

// send sends the request, if its connection still stands, and waits for the answer.
func (r *lateRequest) send(told time.Time, until time.Time) {
	if !bounded.OpenAndIdle(r.conn) { // the connection has ended, or an answer has come before the request was whole
		r.skipped = true
		if r.kind == unused || r.kind == used {
			r.conn.SetReadDeadline(time.Now().Add(time.Second))
			if b, err := r.reader.ReadByte(); err == nil {
				r.skipped, r.failure = false, fmt.Errorf("an answer, beginning with %q, came unasked", b)
			}
		}
		return
	}
	if _, err := io.WriteString(r.conn, r.rest); err != nil {
		r.skipped = true
		return
	}
	r.sent = time.Since(told)
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
	r.status, r.answered = resp.StatusCode, time.Since(told)
}

// lost tells whether the request was lost: it was whole, has no whole answer, and no client
// may send it once more, as a server has seen it or the node had begun to read it.
func (r *lateRequest) lost(s *hangingServers) bool {
	if r.skipped || r.answered > 0 {
		return false
	}
	_, seen := s.seen.Load(r.id)
	return seen || r.kind == halfHead || r.kind == halfBody
}

// startServing starts the program and tells where it serves.
func startServing(t *testing.T, config string, env ...string) (c *exec.Cmd, addr string, log *syncLog) {
	t.Helper()
	c, log = command(config), &syncLog{}
	c.Env = append(append(c.Env, env...), "GORACE=atexit_sleep_ms=0") // the race detector's own wait at the end is no part of a shutdown
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	for end := time.Now().Add(nodetest.Patience); ; time.Sleep(time.Millisecond) {
		if _, at, found := strings.Cut(log.String(), " serves on "); found {
			if addr, _, found = strings.Cut(at, "\n"); found {
				return c, addr, log
			}
		}
		if time.Now().After(end) {
			t.Fatalf("it does not serve: %s", log)
		}
	}
}

// syncLog keeps what a process has logged.
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

// lateRequests draws up requests of each kind of connection, sent at times over the whole
// shutdown, two at each.
func lateRequests(life time.Duration) (all []*lateRequest) {
	times := []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 590 * time.Millisecond, 610 * time.Millisecond, 650 * time.Millisecond, 690 * time.Millisecond}
	for at := 750 * time.Millisecond; at < life-200*time.Millisecond; at += 150 * time.Millisecond {
		times = append(times, at)
	}
	times = append(times, life-150*time.Millisecond, life-100*time.Millisecond, life-50*time.Millisecond)
	for _, kind := range []connectionKind{unused, used, late, halfHead, halfBody} {
		for i, at := range times {
			if kind == late && at < 500*time.Millisecond {
				continue
			}
			for k := range 2 {
				all = append(all, &lateRequest{id: fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(string(kind), " ", "-"), i, k), kind: kind, after: at})
			}
		}
	}
	return all
}

// No request that a node reads after SIGTERM is lost, on whatever connection it comes, up to
// a SIGKILL that comes as early as the settings allow, while most servers hang: it is served,
// refused or failed before that, or its connection ends before it was read. And the process
// has ended by then.
func TestNoRequestIsLostInAShutdown(t *testing.T) {
	for _, longest := range []time.Duration{300 * time.Millisecond, 750 * time.Millisecond, 1250 * time.Millisecond, 2430 * time.Millisecond, 6 * time.Second} {
		t.Run(fmt.Sprint(longest), func(t *testing.T) {
			t.Parallel()
			servers := newHangingServers(t, 6)
			config := nodetest.ConfigJSON(nodetest.ClosedAddr(t), servers.addrs...)
			for _, deadline := range []string{"2000000000", "4000000000", "6000000000"} {
				config = strings.Replace(config, `"give_up_ns":`+deadline, fmt.Sprintf(`"give_up_ns":%d`, longest), 1)
			}
			c, addr, log := startServing(t, write(t, config))
			life := killMargin + min(longest, longestGrace)
			patience := longest * 77 / 100
			all := lateRequests(life)
			classes := []string{"clip", "tag", "order"}
			var opened sync.WaitGroup
			for i, r := range all {
				if r.kind != late && r.kind != unused {
					opened.Go(func() {
						class := classes[i%3]
						if r.kind == halfBody {
							class = "order"
						}
						if err := r.open(addr, class, patience); err != nil {
							t.Errorf("%s: %v", r.id, err)
						}
					})
				}
			}
			opened.Wait()
			for i, r := range all { // last, so that the longest silence that a node allows is not over
				if r.kind == unused {
					if err := r.open(addr, classes[i%3], patience); err != nil {
						t.Fatalf("%s: %v", r.id, err)
					}
				}
			}
			servers.hang.Store(true)
			time.Sleep(100 * time.Millisecond)
			told := time.Now()
			if err := c.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			var sent sync.WaitGroup
			for i, r := range all {
				sent.Go(func() {
					if r.kind == late {
						time.Sleep(time.Until(told.Add(time.Duration(i%4+1) * 100 * time.Millisecond)))
						if err := r.open(addr, classes[i%3], patience); err != nil {
							r.skipped = true
							return
						}
					}
					defer r.conn.Close()
					time.Sleep(time.Until(told.Add(r.after)))
					r.send(told, told.Add(life+time.Second))
				})
			}
			ended := make(chan error, 1)
			go func() { ended <- c.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("it ended with %v", err)
				}
				t.Logf("it ended %v after SIGTERM, %v before SIGKILL would come", time.Since(told), life-time.Since(told))
			case <-time.After(time.Until(told.Add(life))):
				c.Process.Kill()
				t.Errorf("it still ran %v after SIGTERM", life)
			}
			sent.Wait()
			crossed, answered := 0, map[int]int{}
			for _, r := range all {
				switch {
				case r.lost(servers):
					t.Errorf("lost: sent %v after SIGTERM on a connection of kind %q: %v", r.sent, r.kind, r.failure)
				case r.answered > r.sent+patience+500*time.Millisecond:
					t.Errorf("late: sent %v after SIGTERM on a connection of kind %q, answered %d at %v", r.sent, r.kind, r.status, r.answered)
				case r.skipped:
				case r.answered > 0:
					answered[r.status]++
				default:
					crossed++ // it was never read
					t.Logf("crossed: sent %v after SIGTERM on a connection of kind %q: %v", r.sent, r.kind, r.failure)
				}
			}
			if crossed > len(all)/20 {
				t.Errorf("%d of %d requests crossed the end of their connections", crossed, len(all))
			}
			if strings.Contains(log.String(), "invariant broken") {
				t.Error("the process says that it broke an invariant")
			}
			t.Logf("%d requests, answered by status %v", len(all), answered)
			if t.Failed() {
				t.Logf("its log:\n%s", log)
			}
		})
	}
}
