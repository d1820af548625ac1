package clipserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
)

const timeout = 10 * time.Second

type fixture struct {
	*Server
	t        *testing.T
	addr     string
	mu       sync.Mutex
	recorded []history.Event
}

func newFixture(t *testing.T, change func(*clip.Machine)) *fixture {
	t.Helper()
	m, err := clip.NewMachine("std-6")
	if err != nil {
		t.Fatal(err)
	}
	m.HandshakeWork = 0
	if change != nil {
		change(&m)
	}
	start := time.Now()
	r := &fixture{t: t}
	r.Server = New(Config{Model: clip.NewServer("s", m, clip.OverloadLimit{Factor: 2.5, Window: time.Second}, clip.NewPod(8*time.Second)),
		Clock: func() time.Duration { return time.Since(start) },
		Record: func(e history.Event) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.recorded = append(r.recorded, e)
		}})
	if r.addr, err = r.Listen("n0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// waitFor waits until n events of a kind were recorded and returns them.
func (r *fixture) waitFor(kind history.Kind, n int) []history.Event {
	r.t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		var got []history.Event
		for _, e := range r.recorded {
			if e.Kind == kind {
				got = append(got, e)
			}
		}
		r.mu.Unlock()
		if len(got) >= n {
			return got
		}
		if time.Now().After(end) {
			r.t.Fatalf("%d events of kind %s, want %d", len(got), kind, n)
		}
	}
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func (r *fixture) dial() *client {
	r.t.Helper()
	c, err := net.DialTimeout("tcp", r.addr, timeout)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(try, key string, work time.Duration) {
	head := ""
	if key != "" {
		head = "Idempotency-Key: " + key + "\r\n"
	}
	fmt.Fprintf(c, "GET /clip/x?sid=1&work=%d HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n%s\r\n", work.Microseconds(), try, head)
}

func (c *client) read(within time.Duration) (*http.Response, string, error) {
	c.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

func (c *client) do(try, key string, work time.Duration) (*http.Response, string, error) {
	c.send(try, key, work)
	return c.read(timeout)
}

func TestServesRequestsAndProbesOfTheProtocol(t *testing.T) {
	r := newFixture(t, nil)
	c := r.dial()
	for i := range 3 { // on one connection
		try := fmt.Sprint("t", i)
		resp, body, err := c.do(try, "", 10*time.Millisecond)
		if err != nil || resp.StatusCode != 200 || body != AnswerBody("s", try) {
			t.Fatalf("%v %q %v", resp, body, err)
		}
	}
	a := r.waitFor(history.Attempt, 3)[0]
	if a.Node != "n0" || a.Verdict != history.Accepted || a.Work != 10*time.Millisecond || a.FirstByteAt > a.At {
		t.Errorf("recorded %+v", a)
	}
	if n := len(r.waitFor(history.EffectRun, 3)); n != 3 {
		t.Errorf("%d effects ran", n)
	}
	fmt.Fprintf(c, "GET /metrics/load HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp, body, err := c.read(timeout); err != nil || resp.StatusCode != 200 || !strings.HasPrefix(body, "inflight=") {
		t.Errorf("probe: %v %q %v", resp, body, err)
	}
	if p := r.waitFor(history.Probe, 1)[0]; p.Work == 0 {
		t.Error("a probe took no work")
	}
	fmt.Fprintf(c, "GET /clip/x HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp, _, err := c.read(timeout); err != nil || resp.StatusCode != 404 {
		t.Errorf("without an id: %v %v", resp, err)
	}
}

func TestFullServerAnswersNotStarted(t *testing.T) {
	r := newFixture(t, func(m *clip.Machine) { m.Slots, m.MaxQueue = 1, 0 })
	first, second := r.dial(), r.dial()
	first.send("t1", "", time.Second)
	r.waitFor(history.Attempt, 1)
	resp, _, err := second.do("t2", "", time.Millisecond)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Not-Started") != "1" {
		t.Errorf("%v %v", resp, err)
	}
	if a := r.waitFor(history.Attempt, 2)[1]; a.Verdict != history.Rejected {
		t.Errorf("recorded %+v", a)
	}
}

func TestConnectionsOverTheLimitAreRejected(t *testing.T) {
	r := newFixture(t, func(m *clip.Machine) { m.MaxConnections = 1 })
	r.dial()
	r.waitFor(history.Connect, 1)
	resp, _, err := r.dial().do("t", "", 0)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Not-Started") != "1" {
		t.Errorf("%v %v", resp, err)
	}
}

func TestFirstRequestOfAConnectionPaysForTheHandshake(t *testing.T) {
	r := newFixture(t, func(m *clip.Machine) { m.HandshakeWork = 20 * time.Millisecond })
	c := r.dial()
	c.do("t1", "", 10*time.Millisecond)
	c.do("t2", "", 10*time.Millisecond)
	if a := r.waitFor(history.Attempt, 2); a[0].Work != 30*time.Millisecond || a[1].Work != 10*time.Millisecond {
		t.Errorf("work %v and %v", a[0].Work, a[1].Work)
	}
}

func TestDuplicateKeyRunsNoEffect(t *testing.T) {
	r := newFixture(t, nil)
	c := r.dial()
	for _, try := range []string{"t1", "t2"} {
		if resp, _, err := c.do(try, "k", time.Millisecond); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v", resp, err)
		}
	}
	if len(r.waitFor(history.EffectRun, 1)) != 1 || len(r.waitFor(history.DuplicateDropped, 1)) != 1 {
		t.Error("the effect of one key ran twice")
	}
}

func TestClosedConnectionCancelsItsJob(t *testing.T) {
	r := newFixture(t, func(m *clip.Machine) { m.Slots = 1 })
	r.dial().send("t1", "", 200*time.Millisecond)
	r.waitFor(history.Attempt, 1)
	waiting := r.dial()
	waiting.send("t2", "", time.Millisecond)
	r.waitFor(history.Attempt, 2)
	waiting.Close()
	r.waitFor(history.Disconnect, 1)
	third := r.dial()
	if _, _, err := third.do("t3", "", time.Millisecond); err != nil {
		t.Fatal(err)
	}
	for _, e := range r.waitFor(history.EffectRun, 2) {
		if e.Try == "t2" {
			t.Error("a job cancelled in the queue ran")
		}
	}
}

func TestKilledServerResetsAndRefusesAndRestartsCold(t *testing.T) {
	r := newFixture(t, nil)
	c := r.dial()
	c.send("t1", "", time.Minute)
	r.waitFor(history.Attempt, 1)
	r.Kill()
	if _, _, err := c.read(timeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v", err)
	}
	if _, err := net.DialTimeout("tcp", r.addr, timeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v", err)
	}
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	if _, body, err := r.dial().do("t2", "", time.Millisecond); err != nil || body != AnswerBody("s", "t2") {
		t.Errorf("after the restart: %q %v", body, err)
	}
	if s := r.waitFor(history.ServerStarted, 2)[1]; s.ColdFraction != 0.32 || s.WarmupTime != 8300*time.Millisecond {
		t.Errorf("started as %+v", s)
	}
}

func TestIsolatedServerDoesNotAnswerAndResetsOnRestart(t *testing.T) {
	r := newFixture(t, nil)
	c := r.dial()
	r.waitFor(history.Connect, 1)
	if err := r.Isolate(); err != nil {
		t.Fatal(err)
	}
	c.send("t1", "", time.Millisecond)
	if _, _, err := c.read(200 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v", err)
	}
	if n, err := net.DialTimeout("tcp", r.addr, 200*time.Millisecond); err == nil {
		n.Close()
		t.Error("a new connection was established")
	}
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.read(timeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection: %v", err)
	}
	if _, body, err := r.dial().do("t2", "", time.Millisecond); err != nil || body != AnswerBody("s", "t2") {
		t.Errorf("after the restart: %q %v", body, err)
	}
}

func TestHungServerAcceptsAndAnswersNothing(t *testing.T) {
	r := newFixture(t, nil)
	r.SetHung(true)
	c := r.dial()
	c.send("t1", "", time.Millisecond)
	if _, _, err := c.read(200 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	if a := r.waitFor(history.Attempt, 1)[0]; a.Verdict != history.Accepted {
		t.Errorf("recorded %+v", a)
	}
	r.SetHung(false)
	if _, _, err := r.dial().do("t2", "", time.Millisecond); err != nil {
		t.Errorf("afterwards: %v", err)
	}
}

func TestCorruptedAnswerIsIncomplete(t *testing.T) {
	r := newFixture(t, nil)
	r.CorruptAnswers(func() bool { return true })
	if _, _, err := r.dial().do("t1", "", time.Millisecond); err == nil {
		t.Error("a corrupted answer was complete")
	}
	r.waitFor(history.AnswerCorrupted, 1)
}

// A late body follows its head, unless the connection ends before.
func TestLateBodyFollowsItsHead(t *testing.T) {
	r := newFixture(t, nil)
	const delay = 100 * time.Millisecond
	r.DelayBodies(func() time.Duration { return delay })
	start := time.Now()
	if _, body, err := r.dial().do("t1", "", time.Millisecond); err != nil || body != AnswerBody("s", "t1") {
		t.Errorf("got %q, %v", body, err)
	}
	if took := time.Since(start); took < delay {
		t.Errorf("the body came after %v", took)
	}
	c := r.dial()
	c.send("t2", "", time.Millisecond)
	r.waitFor(history.LateBody, 2)
	c.Close()
	r.waitFor(history.BodyCutOff, 1)
	r.DelayBodies(nil)
	if _, _, err := r.dial().do("t3", "", time.Millisecond); err != nil {
		t.Errorf("afterwards: %v", err)
	}
	if got := len(r.waitFor(history.BodyCutOff, 1)); got != 1 {
		t.Errorf("%d bodies cut off", got)
	}
}

func TestOverloadedColdServerGoesDown(t *testing.T) {
	r := newFixture(t, nil)
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	var all []*client
	for range 8 {
		all = append(all, r.dial())
	}
	for i, c := range all { // 0.32 of 6 cores, 2.5 times that: 4.8 s of work in a second
		c.send(fmt.Sprint("t", i), "", time.Second)
	}
	r.waitFor(history.ServerOverloaded, 1)
	if _, err := net.DialTimeout("tcp", r.addr, timeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("it still accepts connections: %v", err)
	}
}

func TestReplacementAnswersAtTheOldAddress(t *testing.T) {
	r := newFixture(t, nil)
	m, _ := clip.NewMachine("fast-6")
	r.Replace(clip.NewServer("s-r1", m, clip.OverloadLimit{}, clip.NewPod(time.Second)))
	if _, err := net.DialTimeout("tcp", r.addr, timeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("before its start: %v", err)
	}
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	if _, body, err := r.dial().do("t1", "", time.Millisecond); err != nil || body != AnswerBody("s-r1", "t1") {
		t.Errorf("%q %v", body, err)
	}
}
