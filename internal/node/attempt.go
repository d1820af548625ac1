package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"ivylock/balance"
	"ivylock/fleet/version"
	"ivylock/guard"
	"ivylock/internal/backend"
	"ivylock/internal/eventlog"
)

// The node's attempts and probes at servers.

// attempt is one send of a request to one backend.
type attempt struct {
	request *Request
	number  int
	server  *backend.Server
	chosen  time.Time // when the module chose it
	sentAt  time.Time // the attempt's goroutine's
	end     time.Time // when its time is over
	latest  time.Time // after which nothing of it may be written; zero: no such bound
	cancel  func()
	sends   *version.SendCounter // nil: not counted
	timer   *time.Timer          // ends it when its time is over
	told    time.Duration        // of the client's time, to the server; the attempt's goroutine's
	mayRun  bool                 // it is out, or has ended without proof that it never ran; the loop's
}

// send starts an attempt. Its outcome comes back as an attemptDone, always.
func (n *Node) send(s balance.Send) {
	r, b := n.requests[s.ID], n.servers[s.Server]
	if r == nil {
		return
	}
	if b == nil { // guards against an attempt that never ends
		n.sendNowhere(r, s.Server)
		return
	}
	now := time.Now()
	a := &attempt{request: r, number: len(r.attempts), server: b, chosen: now, sentAt: now, mayRun: true}
	unsafe := n.checkRepeat(a)
	if s.WriteWithin != 0 {
		a.latest = a.sentAt.Add(s.WriteWithin)
	}
	if n.fleet != nil {
		a.sends = n.fleet.agent.Recorder().SendCounter(b.Name)
	}
	timeout := time.Until(r.Deadline)
	if s.Timeout != 0 {
		timeout = min(timeout, s.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a.cancel = func() { cancel(context.Canceled) }
	a.end = a.sentAt.Add(timeout)
	a.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	r.attempts = append(r.attempts, a)
	r.out++
	b.Out++
	if a.number > 0 {
		n.figures.AttemptsRepeated.Add(1)
	}
	n.note(a, eventlog.AttemptStarted, "")
	if unsafe { // guards against an effect that happens twice, whatever led to it
		cancel(context.Canceled)
	}
	go func() {
		defer a.cancel()
		defer a.timer.Stop()
		res := n.attempt(ctx, a)
		elapsed := time.Since(a.sentAt)
		if !res.Began.IsZero() { // a server's work ends with its first byte: the rest is the network's pace
			elapsed = res.Began.Sub(a.sentAt)
		}
		n.post(attemptDone{a, res, elapsed})
	}()
}

// sendNowhere ends an attempt at a server that the node does not know (any more).
func (n *Node) sendNowhere(r *Request, id balance.ServerID) {
	now := time.Now()
	a := &attempt{request: r, number: len(r.attempts), server: &backend.Server{ID: id, Gone: true, Out: 1}, chosen: now, sentAt: now, cancel: func() {}}
	r.attempts = append(r.attempts, a)
	r.out++
	go n.post(attemptDone{a, backend.Result{Code: balance.Moot}, 0})
}

// attempt sends a request once.
func (n *Node) attempt(ctx context.Context, a *attempt) backend.Result {
	r, b := a.request, a.server
	var req *http.Request
	if r.BodyStream == nil {
		req = backend.NewRequest(r.Method, r.URI, r.Body)
	} else {
		req = backend.NewStreamed(r.Method, r.URI, io.MultiReader(bytes.NewReader(r.Body), r.BodyStream), r.BodyStream.Length())
	}
	req.Header.Set("Request-Id", string(r.ID))
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return n.pool.Exchange(ctx, b, backend.Call{
		Request: req,
		Word: func(req *http.Request) { // what is left now: the connection may have come up late
			left := time.Until(a.end)
			if r.BodyStream != nil {
				left = min(left, r.BodyStream.Timeout())
			}
			a.told = guard.ForwardedTimeout(left)
			req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(a.told.Milliseconds(), 10))
		},
		MayWrite: func() bool {
			if why := n.lastLook(ctx, a); why != guard.Permitted {
				n.figures.AttemptsWithheld.Add(int(why))
				n.note(a, eventlog.AttemptWithheld, n.figures.AttemptsWithheld.Word(int(why)))
				return false
			}
			if a.sends != nil {
				a.sends.Add(n.now())
			}
			return true
		},
		Wrote: func() {
			n.figures.Relayed.Add(1)
			n.note(a, eventlog.AttemptWritten, "")
			n.checkWritten(a)
			if r.BodyStream != nil { // its time runs from now on, and so does the server's
				n.post(balance.RequestBodySent{ID: r.ID})
				a.sentAt = time.Now()
				a.timer.Reset(time.Until(r.BodyStream.Deadline()))
			}
		},
		Begun: func(s *backend.Stream) {
			a.timer.Stop() // what is passed on has all the time that its client takes
			n.post(attemptBegun{a, s, time.Since(a.sentAt)})
		},
	})
}

// note keeps an event of an attempt.
func (n *Node) note(a *attempt, kind eventlog.Kind, reason string) {
	n.history.Add(eventlog.Event{Kind: kind, Request: string(a.request.ID), Attempt: a.number, Server: a.server.Name, Reason: reason})
}

func (n *Node) attemptEnded(e attemptDone) {
	r := e.request
	r.out--
	e.mayRun = e.Code != balance.Full && e.Code != balance.ConnectFailed && e.Code != balance.Moot
	n.figures.AttemptsEnded.Add(int(e.Code))
	n.note(e.attempt, eventlog.AttemptEnded, n.figures.AttemptsEnded.Word(int(e.Code)))
	if e.Code == balance.OK {
		e.server.Answered = n.now()
		n.finish(r, Response{Status: http.StatusOK, Body: e.Body})
	}
	n.outcome = balance.AttemptEnded{ID: r.ID, Attempt: e.number, Server: e.server.ID, RequestDone: r.isOver(),
		Elapsed: e.elapsed, Code: e.Code, Report: e.Report, BodyConsumed: r.spent.Load()}
	n.handle(&n.outcome)
	n.forgetRequest(r)
	e.server.Out--
	n.forgetServer(e.server)
}

// answerBegun passes on an answer that is too long to be held. From here on the
// request has its final answer, and can not be tried again.
func (n *Node) answerBegun(e attemptBegun) {
	r := e.request
	if !n.finish(r, Response{Status: http.StatusOK, Body: e.Start, BodyStream: e.Stream}) {
		e.Stream.Done(backend.ErrUnread)
		return
	}
	n.handle(balance.StreamStarted{ID: r.ID, Attempt: e.number, Server: e.server.ID, Elapsed: e.elapsed})
}

func (n *Node) probe(p balance.Probe) {
	b, sentAt := n.servers[p.Server], time.Now()
	if b == nil {
		return
	}
	b.Out++
	go func() {
		res := n.pool.Probe(b)
		n.post(probeDone{b, balance.ProbeEnded{Server: b.ID, Code: res.Code, Elapsed: time.Since(sentAt), Report: res.Report}})
	}()
}
