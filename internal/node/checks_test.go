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

// A repeat that the class does not allow is not written, whoever asked for it, and a refusal of
// what may have run becomes a failure; both are counted.
func TestUnsafeRepeatsAndRefusalsAreStoppedAndCounted(t *testing.T) {
	first, sameCell, elsewhere := &backend.Server{ID: 1, Name: "a", Place: guard.Location{Cell: 1}},
		&backend.Server{ID: 2, Name: "b", Place: guard.Location{Cell: 1}}, &backend.Server{ID: 3, Name: "c", Place: guard.Location{Cell: 2}}
	for _, c := range []struct {
		class   string
		to      *backend.Server
		after   time.Duration
		mayRun  bool
		repeat  bool // is broken
		refusal bool
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
		r.attempts = []*attempt{{request: r, server: first, chosen: now, mayRun: c.mayRun}}
		again := &attempt{request: r, number: 1, server: c.to, chosen: now.Add(c.after), mayRun: true}
		if got := n.checkRepeat(again); got != c.repeat {
			t.Errorf("%+v: the repeat breaks the rule: %v", c, got)
		}
		want := http.StatusServiceUnavailable
		if c.refusal {
			want = http.StatusBadGateway
		}
		if got := n.checkRefusal(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.TurnedShed}); got.Status != want || got.Reason != figures.TurnedShed {
			t.Errorf("%+v: answered %+v", c, got)
		}
		if got := n.checkRefusal(r, Response{Status: http.StatusBadGateway}); got.Status != http.StatusBadGateway {
			t.Errorf("%+v: a failure became %+v", c, got)
		}
		counted := n.figures.InvariantsBroken.Of(int(invariant.RepeatedUnsafely)) == 1 == c.repeat &&
			n.figures.InvariantsBroken.Of(int(invariant.RefusedUnsafely)) == 1 == c.refusal
		if !counted {
			t.Errorf("%+v: not counted:\n%s", c, n.Figures())
		}
	}
}

// Nothing is taken that is read after the intake of a process that ends, whenever it comes to
// look: also one that was held up between reading and looking.
func TestWhatIsReadAfterTheIntakeIsRefusedAtOnce(t *testing.T) {
	n := testNode(t)
	told := time.Now()
	n.SetShutdownSchedule(guard.ShutdownSchedule{AcceptUntil: time.Second, ServeUntil: 2 * time.Second, AnswerBy: 3 * time.Second, ExitBy: 4 * time.Second})
	early := &Request{ReadAt: told.Add(time.Hour)}
	n.Submit(early)
	if len(n.events) != 1 {
		t.Error("a process that was not told to end does not take a request")
	}
	n.life.end(told)
	n.life.end(told.Add(time.Hour)) // the first word counts
	n.Submit(&Request{ReadAt: told.Add(2*time.Second - 1)})
	if len(n.events) != 2 {
		t.Error("what was read before the end of the intake is not taken")
	}
	select {
	case a := <-n.Submit(&Request{ReadAt: told.Add(2 * time.Second)}):
		if a.Status != http.StatusServiceUnavailable || a.RetryAfter <= 0 || a.Reason != figures.TurnedEnding {
			t.Errorf("answered %+v", a)
		}
	default:
		t.Error("what was read after the intake has no answer")
	}
	if len(n.events) != 2 {
		t.Error("what was read after the intake reached the loop")
	}
}

// An answer that is passed on in pieces, and that came just before its client left, is given
// up: else its attempt would never end.
func TestAnAnswerThatNobodyTakesIsGivenUp(t *testing.T) {
	n := testNode(t)
	r := &Request{RequestArrived: balance.RequestArrived{ID: "r", Class: "clip"}, answer: make(chan Response, 1)}
	var ended error
	stream := backend.NewStream(nil, func(err error) { ended = err })
	if !n.finish(r, Response{Status: http.StatusOK, BodyStream: stream}) {
		t.Fatal("it has an answer already")
	}
	n.Abandon(r)
	if ended != backend.ErrUnread {
		t.Errorf("its passing on ended with %v", ended)
	}
}

// An attempt at a server that the node does not know ends all the same, as one that never ran.
func TestAnAttemptAtAnUnknownServerEnds(t *testing.T) {
	n := testNode(t)
	r := &Request{RequestArrived: balance.RequestArrived{ID: "r", Class: "order"}, answer: make(chan Response, 1)}
	n.requests[r.ID] = r
	n.send(balance.Send{Sending: &balance.Sending{ID: "r", Server: 99}})
	select {
	case e := <-n.events:
		done, is := e.(attemptDone)
		if !is || done.Code != balance.Moot || done.number != 0 {
			t.Fatalf("got %+v", e)
		}
		n.attemptEnded(done)
	case <-time.After(nodetest.Patience):
		t.Fatal("it does not end")
	}
	if r.out != 0 || len(r.attempts) != 1 || r.attempts[0].mayRun {
		t.Errorf("left: %+v", r)
	}
}

// Nothing is written for a client that has gone, although nobody has told the node yet.
func TestTheLastLookSeesAClientThatHasGone(t *testing.T) {
	n := New(testConfig(t, "127.0.0.1:1", "127.0.0.1:2"))
	for _, left := range []bool{false, true} {
		r := &Request{Deadline: time.Now().Add(time.Minute), ClientGone: func() bool { return left }}
		want := map[bool]guard.WithholdReason{false: guard.Permitted, true: guard.WithheldRequestDone}[left]
		if why := n.lastLook(context.Background(), &attempt{request: r, server: &backend.Server{}}); why != want {
			t.Errorf("left %v: %v", left, why)
		}
	}
}
