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

const patience = 10 * time.Second

type rig struct {
	*Server
	t    *testing.T
	addr string
	mu   sync.Mutex
	seen []history.Event
}

func newRig(t *testing.T, change func(*clip.Machine)) *rig {
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
	r := &rig{t: t}
	r.Server = New(Config{Model: clip.NewServer("s", m, clip.OverloadLimit{Factor: 2.5, Window: time.Second}, clip.NewPod(8*time.Second)),
		Clock: func() time.Duration { return time.Since(start) },
		Record: func(e history.Event) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.seen = append(r.seen, e)
		}})
	if r.addr, err = r.Listen("n0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// count waits until so many events of a kind were recorded.
func (r *rig) want(kind history.Kind, n int) []history.Event {
	r.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		var got []history.Event
		for _, e := range r.seen {
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

func (r *rig) dial() *client {
	r.t.Helper()
	c, err := net.DialTimeout("tcp", r.addr, patience)
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

func (c *client) ask(try, key string, work time.Duration) (*http.Response, string, error) {
	c.send(try, key, work)
	return c.read(patience)
}

func TestItServesInTheProtocolsForm(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	for i := range 3 { // on one connection
		try := fmt.Sprint("t", i)
		resp, body, err := c.ask(try, "", 10*time.Millisecond)
		if err != nil || resp.StatusCode != 200 || body != AnswerBody("s", try) {
			t.Fatalf("%v %q %v", resp, body, err)
		}
	}
	a := r.want(history.Attempt, 3)[0]
	if a.Node != "n0" || a.Verdict != history.Accepted || a.Work != 10*time.Millisecond || a.FirstByteAt > a.At {
		t.Errorf("recorded %+v", a)
	}
	if n := len(r.want(history.EffectRun, 3)); n != 3 {
		t.Errorf("%d effects ran", n)
	}
	fmt.Fprintf(c, "GET /metrics/load HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp, body, err := c.read(patience); err != nil || resp.StatusCode != 200 || !strings.HasPrefix(body, "inflight=") {
		t.Errorf("probe: %v %q %v", resp, body, err)
	}
	if p := r.want(history.Probe, 1)[0]; p.Work == 0 {
		t.Error("a probe costs no work")
	}
	fmt.Fprintf(c, "GET /clip/x HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp, _, err := c.read(patience); err != nil || resp.StatusCode != 404 {
		t.Errorf("without an id: %v %v", resp, err)
	}
}

func TestAFullServerSaysThatItNeverRan(t *testing.T) {
	r := newRig(t, func(m *clip.Machine) { m.Slots, m.MaxQueue = 1, 0 })
	first, second := r.dial(), r.dial()
	first.send("t1", "", time.Second)
	r.want(history.Attempt, 1)
	resp, _, err := second.ask("t2", "", time.Millisecond)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Not-Started") != "1" {
		t.Errorf("%v %v", resp, err)
	}
	if a := r.want(history.Attempt, 2)[1]; a.Verdict != history.Rejected {
		t.Errorf("recorded %+v", a)
	}
}

func TestConnectionsOverTheCapAreTurnedAway(t *testing.T) {
	r := newRig(t, func(m *clip.Machine) { m.MaxConnections = 1 })
	r.dial()
	r.want(history.Connect, 1)
	resp, _, err := r.dial().ask("t", "", 0)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Not-Started") != "1" {
		t.Errorf("%v %v", resp, err)
	}
}

func TestAHandshakeCostsTheFirstRequest(t *testing.T) {
	r := newRig(t, func(m *clip.Machine) { m.HandshakeWork = 20 * time.Millisecond })
	c := r.dial()
	c.ask("t1", "", 10*time.Millisecond)
	c.ask("t2", "", 10*time.Millisecond)
	if a := r.want(history.Attempt, 2); a[0].Work != 30*time.Millisecond || a[1].Work != 10*time.Millisecond {
		t.Errorf("work %v and %v", a[0].Work, a[1].Work)
	}
}

func TestARepeatOfAKeyRunsNothing(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	for _, try := range []string{"t1", "t2"} {
		if resp, _, err := c.ask(try, "k", time.Millisecond); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v", resp, err)
		}
	}
	if len(r.want(history.EffectRun, 1)) != 1 || len(r.want(history.DuplicateDropped, 1)) != 1 {
		t.Error("the key ran twice")
	}
}

func TestAClosedConnectionCancels(t *testing.T) {
	r := newRig(t, func(m *clip.Machine) { m.Slots = 1 })
	r.dial().send("t1", "", 200*time.Millisecond)
	r.want(history.Attempt, 1)
	waiting := r.dial()
	waiting.send("t2", "", time.Millisecond)
	r.want(history.Attempt, 2)
	waiting.Close()
	r.want(history.Disconnect, 1)
	third := r.dial()
	if _, _, err := third.ask("t3", "", time.Millisecond); err != nil {
		t.Fatal(err)
	}
	for _, e := range r.want(history.EffectRun, 2) {
		if e.Try == "t2" {
			t.Error("what was cancelled while it waited ran")
		}
	}
}

func TestAKilledServerResetsAndRefusesAndComesBackCold(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	c.send("t1", "", time.Minute)
	r.want(history.Attempt, 1)
	r.Kill()
	if _, _, err := c.read(patience); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v", err)
	}
	if _, err := net.DialTimeout("tcp", r.addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new one: %v", err)
	}
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	if _, body, err := r.dial().ask("t2", "", time.Millisecond); err != nil || body != AnswerBody("s", "t2") {
		t.Errorf("afterwards: %q %v", body, err)
	}
	if s := r.want(history.ServerStarted, 2)[1]; s.ColdFraction != 0.32 || s.WarmupTime != 8300*time.Millisecond {
		t.Errorf("started as %+v", s)
	}
}

func TestASilentServerSaysNothingAndResetsWhenItIsBack(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	r.want(history.Connect, 1)
	if err := r.Isolate(); err != nil {
		t.Fatal(err)
	}
	c.send("t1", "", time.Millisecond)
	if _, _, err := c.read(200 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v", err)
	}
	if n, err := net.DialTimeout("tcp", r.addr, 200*time.Millisecond); err == nil {
		n.Close()
		t.Error("a new one came up")
	}
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.read(patience); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection: %v", err)
	}
	if _, body, err := r.dial().ask("t2", "", time.Millisecond); err != nil || body != AnswerBody("s", "t2") {
		t.Errorf("afterwards: %q %v", body, err)
	}
}

func TestAHungServerTakesAndAnswersNothing(t *testing.T) {
	r := newRig(t, nil)
	r.SetHung(true)
	c := r.dial()
	c.send("t1", "", time.Millisecond)
	if _, _, err := c.read(200 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	if a := r.want(history.Attempt, 1)[0]; a.Verdict != history.Accepted {
		t.Errorf("recorded %+v", a)
	}
	r.SetHung(false)
	if _, _, err := r.dial().ask("t2", "", time.Millisecond); err != nil {
		t.Errorf("afterwards: %v", err)
	}
}

func TestASpoiltAnswerIsNoAnswer(t *testing.T) {
	r := newRig(t, nil)
	r.CorruptAnswers(func() bool { return true })
	if _, _, err := r.dial().ask("t1", "", time.Millisecond); err == nil {
		t.Error("it came whole")
	}
	r.want(history.AnswerCorrupted, 1)
}

func TestAColdServerThatIsPushedFallsOver(t *testing.T) {
	r := newRig(t, nil)
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
	r.want(history.ServerOverloaded, 1)
	if _, err := net.DialTimeout("tcp", r.addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("it still answers: %v", err)
	}
}

func TestAReplacementAnswersAtTheOldAddress(t *testing.T) {
	r := newRig(t, nil)
	m, _ := clip.NewMachine("fast-6")
	r.Replace(clip.NewServer("s-r1", m, clip.OverloadLimit{}, clip.NewPod(time.Second)))
	if _, err := net.DialTimeout("tcp", r.addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("before its start: %v", err)
	}
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	if _, body, err := r.dial().ask("t1", "", time.Millisecond); err != nil || body != AnswerBody("s-r1", "t1") {
		t.Errorf("%q %v", body, err)
	}
}
