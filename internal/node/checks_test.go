package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/guard"
	"ivylock/internal/backend"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
	"ivylock/internal/nodetest"
)

func testNode(t *testing.T) *Node {
	t.Helper()
	c, err := ParseConfig([]byte(nodetest.ConfigJSON(nodetest.ClosedAddr(t))))
	if err != nil {
		t.Fatal(err)
	}
	return New(c)
}

// A retry that the class does not allow is not written, and a refusal of a request that may
// have run becomes a failure. Both are counted.
func TestUnsafeRetriesAndRefusalsAreBlockedAndCounted(t *testing.T) {
	first, sameCell, elsewhere := &backend.Server{ID: 1, Name: "a", Location: guard.Location{Cell: 1}},
		&backend.Server{ID: 2, Name: "b", Location: guard.Location{Cell: 1}}, &backend.Server{ID: 3, Name: "c", Location: guard.Location{Cell: 2}}
	for _, c := range []struct {
		class         string
		to            *backend.Server
		after         time.Duration
		mayHaveRun    bool
		unsafeRetry   bool // breaks the retry rules
		unsafeRefusal bool
	}{
		{"clip", elsewhere, time.Hour, true, false, false},
		{"order", elsewhere, 0, true, true, true},
		{"order", elsewhere, 0, false, false, false},
		{"tag", sameCell, 0, true, false, true},
		{"tag", elsewhere, 0, true, true, true},
		{"tag", sameCell, 8 * time.Second, true, true, true},
		{"no class of ours", sameCell, 0, true, true, true},
	} {
		n := testNode(t)
		r := &Request{RequestArrived: balance.RequestArrived{ID: "r", Class: c.class}}
		now := time.Now()
		r.attempts = []*attempt{{request: r, server: first, chosenAt: now, mayHaveRun: c.mayHaveRun}}
		retry := &attempt{request: r, number: 1, server: c.to, chosenAt: now.Add(c.after), mayHaveRun: true}
		if got := n.checkRetry(retry); got != c.unsafeRetry {
			t.Errorf("%+v: the retry breaks the rules: %v", c, got)
		}
		want := http.StatusServiceUnavailable
		if c.unsafeRefusal {
			want = http.StatusBadGateway
		}
		if got := n.checkRefusal(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.RejectedShed}); got.Status != want || got.Reason != figures.RejectedShed {
			t.Errorf("%+v: answered %+v", c, got)
		}
		if got := n.checkRefusal(r, Response{Status: http.StatusBadGateway}); got.Status != http.StatusBadGateway {
			t.Errorf("%+v: a failure became %+v", c, got)
		}
		counted := n.metrics.InvariantViolations.Value(int(invariant.RepeatedUnsafely)) == 1 == c.unsafeRetry &&
			n.metrics.InvariantViolations.Value(int(invariant.RefusedUnsafely)) == 1 == c.unsafeRefusal
		if !counted {
			t.Errorf("%+v: wrong counts:\n%s", c, n.MetricsText())
		}
	}
}

// A request that is read after the intake of a terminating process is refused, also if the
// process was paused between reading and checking.
func TestRequestsReadAfterIntakeAreRefusedAtOnce(t *testing.T) {
	n := testNode(t)
	signalledAt := time.Now()
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: time.Second, ServeUntil: 2 * time.Second, AnswerBy: 3 * time.Second, ExitBy: 4 * time.Second})
	early := &Request{ReadAt: signalledAt.Add(time.Hour)}
	n.Submit(early)
	if len(n.events) != 1 {
		t.Error("a process that is not shutting down does not accept a request")
	}
	n.lifecycle.beginShutdown(signalledAt)
	n.lifecycle.beginShutdown(signalledAt.Add(time.Hour)) // only the first call counts
	n.Submit(&Request{ReadAt: signalledAt.Add(2*time.Second - 1)})
	if len(n.events) != 2 {
		t.Error("a request read before the end of the intake is not accepted")
	}
	select {
	case a := <-n.Submit(&Request{ReadAt: signalledAt.Add(2 * time.Second)}):
		if a.Status != http.StatusServiceUnavailable || a.RetryAfter <= 0 || a.Reason != figures.RejectedShutdown {
			t.Errorf("got %+v", a)
		}
	default:
		t.Error("a request read after the intake has no response")
	}
	if len(n.events) != 2 {
		t.Error("a request read after the intake reached the loop")
	}
}

// A streamed response that was given just before its client disconnected is closed.
// Otherwise its attempt would never end.
func TestAbandonedStreamedResponseIsClosed(t *testing.T) {
	n := testNode(t)
	r := &Request{RequestArrived: balance.RequestArrived{ID: "r", Class: "clip"}, response: make(chan Response, 1)}
	var ended error
	stream := backend.NewStream(nil, func(err error) { ended = err })
	if !n.finish(r, Response{Status: http.StatusOK, BodyStream: stream}) {
		t.Fatal("the request has a response already")
	}
	n.Abandon(r)
	if ended != backend.ErrAbandoned {
		t.Errorf("the stream ended with %v", ended)
	}
}

// An attempt at an unknown server ends as one that never ran.
func TestAttemptAtUnknownServerEnds(t *testing.T) {
	n := testNode(t)
	r := &Request{RequestArrived: balance.RequestArrived{ID: "r", Class: "order"}, response: make(chan Response, 1)}
	n.requests[r.ID] = r
	n.send(balance.Send{Sending: &balance.Sending{ID: "r", Server: 99}})
	select {
	case e := <-n.events:
		done, is := e.(attemptDone)
		if !is || done.Code != balance.Moot || done.number != 0 {
			t.Fatalf("got %+v", e)
		}
		n.attemptEnded(done)
	case <-time.After(nodetest.WaitTimeout):
		t.Fatal("the attempt does not end")
	}
	if r.outstanding != 0 || len(r.attempts) != 1 || r.attempts[0].mayHaveRun {
		t.Errorf("remaining state: %+v", r)
	}
}

// The check before the write detects a disconnected client that has not been reported yet.
func TestNothingIsWrittenForADepartedClient(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
	for _, disconnected := range []bool{false, true} {
		r := &Request{Deadline: time.Now().Add(time.Minute), ClientGone: func() bool { return disconnected }}
		want := map[bool]guard.WithholdReason{false: guard.Permitted, true: guard.WithheldRequestDone}[disconnected]
		if why := n.checkBeforeWrite(context.Background(), &attempt{request: r, server: &backend.Server{}}); why != want {
			t.Errorf("client disconnected %v: %v", disconnected, why)
		}
	}
}
