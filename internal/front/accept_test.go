package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"ivylock/guard"
	"ivylock/internal/node"
	"ivylock/internal/nodetest"
)

// Whatever an accept fails with, the node goes on, and serves within milliseconds; each failure
// is counted by its name.
func TestAcceptsThatFailAreMadeAgain(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	l := nodetest.NewFailingListener(t, 100)
	cfg := nodeConfig(t, nodetest.ClosedAddr(t), b.Addr)
	n := &running{Node: node.New(cfg), cfg: cfg, url: "http://" + l.Addr().String(), ended: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}}}
	n.SetShutdownSchedule(quickSchedule)
	n.front = New(n.Node, l, cfg.Settings.Classes, cfg.ClientSockets(), cfg.BodyBudget())
	ctx, stop := context.WithCancel(context.Background())
	go func() { n.ended <- n.Run(ctx, n.front) }()
	var slowest time.Duration
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EAGAIN, syscall.EINVAL} {
		for range 4 {
			l.Errors <- errno
		}
		began := time.Now()
		for i := range 2 { // the first lets an accept go that waits already
			c := dial(t, n.url)
			io.WriteString(c, get(errno.Error()[:4]+string(rune('0'+i))))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%v: %v, %v", errno, resp, err)
			}
			c.Close()
		}
		slowest = max(slowest, time.Since(began))
	}
	if slowest > time.Second {
		t.Errorf("a client waited %v", slowest)
	}
	for _, figure := range []string{"app.accept.errors.ENOBUFS:4|c", "app.accept.errors.EPROTO:4|c", "app.accept.errors.other:4|c"} {
		if !strings.Contains(string(n.Figures()), figure) {
			t.Errorf("no %s in\n%s", figure, n.Figures())
		}
	}
	stop()
	if err := <-n.ended; err != nil {
		t.Errorf("it ended with %v", err)
	}
	n.keptInvariants(t)
}

// An accept that fails all the time costs some hundred calls a second, and the node still ends
// when it is told to.
func TestAcceptsThatFailForEverDoNotSpin(t *testing.T) {
	t.Parallel()
	l := nodetest.NewFailingListener(t, 100_000)
	for range cap(l.Errors) {
		l.Errors <- syscall.EMFILE
	}
	cfg := nodeConfig(t, nodetest.ClosedAddr(t))
	n := node.New(cfg)
	n.SetShutdownSchedule(guard.ShutdownSchedule{})
	f := New(n, l, cfg.Settings.Classes, cfg.ClientSockets(), cfg.BodyBudget())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, f) }()
	time.Sleep(500 * time.Millisecond)
	if calls := l.Calls.Load(); calls < 20 || calls > 500 {
		t.Errorf("%d accepts in 0.5 s", calls)
	}
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(nodetest.Patience):
		t.Error("it goes on")
	}
}

// What waits at the listener when it is closed has been accepted: the kernel would reset it.
func TestWhatWaitsAtTheListenerIsAcceptedBeforeItCloses(t *testing.T) {
	t.Parallel()
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.Reply(c, "200 OK", "served") })
	for range 20 {
		n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
		var waiting []net.Conn
		for range 10 {
			waiting = append(waiting, dial(t, n.url))
		}
		n.stop() // the listener is closed at once
		for i, c := range waiting {
			// Those that have been accepted may end, as they have carried nothing for long enough.
			if _, err := io.WriteString(c, get(string(rune('a'+i)))); err != nil {
				continue
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("connection %d was reset", i)
			} else if err == nil && !slices.Contains([]int{200, 503}, resp.StatusCode) {
				t.Errorf("connection %d: %s", i, resp.Status)
			}
		}
		if err := <-n.ended; err != nil {
			t.Error(err)
		}
	}
}

// A request that comes in the moment in which its connection ends for its silence is refused
// and not cut off.
func TestARequestThatComesAsItsConnectionTimesOutIsRefused(t *testing.T) {
	t.Parallel()
	theirs, ours, conns := accepted(t)
	ours.SetReadDeadline(time.Unix(1, 0))
	if _, err := ours.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	io.WriteString(theirs, get("crossing"))
	wait(t, "it is there", func() bool { return !quiet(ours) })
	ours.Close() // as net/http does
	conns.onConnState(ours, http.StateClosed)
	resp, err := http.ReadResponse(bufio.NewReader(theirs), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v", resp, err)
	}
	theirs.Close()
	wait(t, "its descriptor is free", func() bool { return conns.count() == 0 })
}

func quiet(c *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.state().UnreadData
}

// Where all room is taken by open requests, what waits at the listener when it closes is
// refused with an answer, or ends with no reset where nothing has come: the kernel would reset
// it, and a request that a client has sent whole to an accepted connection is taken.
func TestWhoFindsNoRoomAtAShutdownIsRefused(t *testing.T) {
	t.Parallel()
	hang := make(chan bool)
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool { <-hang; return nodetest.Reply(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	n.front.SetMaxConns(1)
	open := dial(t, n.url)
	io.WriteString(open, get("open"))
	wait(t, "it is open", func() bool { return n.Metrics().Open.Load() == 1 })
	var waiting []net.Conn
	for i := range 24 {
		c := dial(t, n.url)
		if i%3 > 0 {
			io.WriteString(c, get("w"+string(rune('a'+i))))
		}
		waiting = append(waiting, c)
	}
	n.stop()
	for i, c := range waiting {
		c.SetReadDeadline(time.Now().Add(nodetest.Patience))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		switch {
		case i%3 > 0 && err != nil:
			t.Errorf("request %d has no answer: %v", i, err)
		case i%3 > 0 && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == ""):
			t.Errorf("request %d: %s, %v", i, resp.Status, resp.Header)
		case i%3 == 0 && !errors.Is(err, io.ErrUnexpectedEOF):
			t.Errorf("connection %d on which nothing came: %v, %v", i, resp, err)
		}
		c.Close()
	}
	close(hang)
	if resp, err := http.ReadResponse(bufio.NewReader(open), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the open request: %v, %v", resp, err)
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	if got := n.front.Connections(); got != 0 {
		t.Errorf("%d connections are counted", got)
	}
}

// What waits at a socket that the platform holds is left to the next process.
func TestWhatWaitsAtAKeptSocketIsLeftToTheNextProcess(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	cfg := nodeConfig(t, nodetest.ClosedAddr(t))
	n := node.New(cfg)
	n.SetShutdownSchedule(quickSchedule)
	f := New(n, l, cfg.Settings.Classes, 1, cfg.BodyBudget())
	f.SharedListener = true
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, f) }()
	url := "http://" + l.Addr().String()
	first := dial(t, url) // takes all room, as it has sent a part of a request
	io.WriteString(first, "GET ")
	wait(t, "it is in", func() bool { return f.Connections() == 1 })
	waiting := dial(t, url)
	io.WriteString(waiting, get("waits"))
	stop()
	next, err := net.FileListener(held)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	next.(*net.TCPListener).SetDeadline(time.Now().Add(nodetest.Patience))
	<-f.clients.closed
	c, err := next.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err != nil || r.Header.Get("Request-Id") != "waits" {
		t.Errorf("the next process gets %v, %v", r, err)
	}
	first.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
