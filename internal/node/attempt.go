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

// Attempts and probes at servers.

// attempt is one transmission of a request to one backend.
type attempt struct {
	request          *Request
	number           int
	server           *backend.Server
	chosenAt         time.Time // when the module chose the server
	sentAt           time.Time // owned by the attempt's goroutine
	deadline         time.Time // when the attempt times out
	writeBy          time.Time // latest time for writing its first byte; zero: no limit
	cancel           func()
	sends            *version.SendCounter // nil: not counted
	timer            *attemptTimer        // cancels the attempt at its deadline
	forwardedTimeout time.Duration        // timeout sent to the server; owned by the attempt's goroutine
	postponed        bool                 // nothing was sent, as the client is not known to be connected, which may change
	mayHaveRun       bool                 // in flight, or ended without proof that it did not run; owned by the loop
}

// send starts an attempt. Exactly one attemptDone reports its outcome.
func (n *Node) send(send balance.Send) {
	r, server := n.requests[send.ID], n.servers[send.Server]
	if r == nil {
		return
	}
	if server == nil { // the attempt must end even if its server is unknown
		n.failUnknownServer(r, send.Server)
		return
	}
	now := time.Now()
	a := &attempt{request: r, number: len(r.attempts), server: server, chosenAt: now, sentAt: now, mayHaveRun: true}
	unsafe := n.checkRetry(a)
	if send.WriteWithin != 0 {
		a.writeBy = a.sentAt.Add(send.WriteWithin)
	}
	if n.fleet != nil {
		a.sends = n.fleet.agent.Recorder().SendCounter(server.Name)
	}
	timeout := time.Until(r.finalDeadline())
	if send.Timeout != 0 {
		timeout = min(timeout, send.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a.cancel = func() { cancel(context.Canceled) }
	a.deadline = a.sentAt.Add(timeout)
	a.timer = newAttemptTimer(a.deadline, func() { cancel(context.DeadlineExceeded) })
	r.attempts = append(r.attempts, a)
	r.outstanding++
	server.InFlight++
	if a.number > 0 {
		n.metrics.AttemptsRepeated.Add(1)
	}
	n.logEvent(a, eventlog.AttemptStarted, "")
	if unsafe { // prevents a second execution of an unsafe request
		cancel(context.Canceled)
	}
	go func() {
		defer a.cancel()
		defer a.timer.stop()
		res := n.attempt(ctx, a)
		elapsed := time.Since(a.sentAt)
		// The server's work ends with its first byte; the rest depends on the network.
		if !res.FirstByteAt.IsZero() {
			elapsed = res.FirstByteAt.Sub(a.sentAt)
		}
		n.post(attemptDone{a, res, elapsed})
	}()
}

// limitToClientTime limits a request and its attempts to the client's time, which has begun with
// the last byte of the request's body.
func (n *Node) limitToClientTime(r *Request) {
	if n.requests[r.ID] != r || r.hasEnded() {
		return
	}
	deadline := r.BodyStream.Deadline()
	n.handle(balance.RequestBodyReceived{ID: r.ID, ClientTimeout: time.Until(deadline)})
	for _, a := range r.attempts {
		if a.timer != nil {
			a.timer.shorten(deadline)
		}
	}
}

// failUnknownServer ends an attempt at a server that the node does not know or no longer knows.
func (n *Node) failUnknownServer(r *Request, id balance.ServerID) {
	now := time.Now()
	a := &attempt{request: r, number: len(r.attempts), server: &backend.Server{ID: id, Removed: true, InFlight: 1}, chosenAt: now, sentAt: now, cancel: func() {}}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	go n.post(attemptDone{a, backend.Result{Code: balance.Moot}, 0})
}

// attempt sends a request once.
func (n *Node) attempt(ctx context.Context, a *attempt) backend.Result {
	r, server := a.request, a.server
	var req *http.Request
	if r.BodyStream == nil {
		req = backend.NewRequest(r.Method, r.URI, r.Body)
	} else {
		req = backend.NewStreamedRequest(r.Method, r.URI, io.MultiReader(bytes.NewReader(r.Body), r.BodyStream), r.BodyStream.Length())
	}
	req.Header.Set("Request-Id", string(r.ID))
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	stallTimeout := time.Duration(0)
	if r.BodyStream != nil && r.BodyStream.Length() < 0 { // its end may have come unnoticed
		stallTimeout = r.BodyStream.Timeout()
	}
	return n.pool.Exchange(ctx, server, backend.Call{
		Request:      req,
		StallTimeout: stallTimeout,
		// Computed now because connecting may have taken long.
		Prepare: func(req *http.Request) {
			left := time.Until(a.deadline)
			if r.BodyStream != nil {
				left = min(left, r.BodyStream.Timeout(), time.Until(r.BodyStream.Deadline()))
			}
			a.forwardedTimeout = guard.ForwardedTimeout(left)
			req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(a.forwardedTimeout.Milliseconds(), 10))
		},
		MayWrite: func() bool {
			if reason := n.checkBeforeWrite(ctx, a); reason != guard.Permitted {
				n.metrics.AttemptsWithheld.Add(int(reason))
				n.logEvent(a, eventlog.AttemptWithheld, n.metrics.AttemptsWithheld.Label(int(reason)))
				a.postponed = reason == guard.WithheldClientUnverified && guard.MayAwaitPresence(time.Since(r.ReadAt), r.BodyStream.Timeout())
				return false
			}
			if a.sends != nil {
				a.sends.Add(n.now())
			}
			return true
		},
		OnWritten: func() {
			n.metrics.Relayed.Add(1)
			n.logEvent(a, eventlog.AttemptWritten, "")
			n.checkWritten(a)
			if r.BodyStream != nil { // both the client's and the server's timeout start when the body has been sent
				n.post(balance.RequestBodySent{ID: r.ID})
				a.sentAt = time.Now()
				a.timer.reset(r.BodyStream.Deadline())
			}
		},
		// The client's time limits the body, not an earlier time limit of the attempt: the server is
		// writing.
		OnPendingBody: func() { a.timer.reset(r.finalDeadline()) },
		OnStream: func(s *backend.Stream) {
			a.timer.stop() // a streamed response has no further time limit
			if !n.post(responseStarted{a, s, time.Since(a.sentAt)}) {
				s.Done(backend.ErrAbandoned) // the request has been answered
			}
		},
	})
}

// logEvent records an event of an attempt in the history.
func (n *Node) logEvent(a *attempt, kind eventlog.Kind, reason string) {
	n.history.Add(eventlog.Event{Kind: kind, Request: string(a.request.ID), Attempt: a.number, Server: a.server.Name, Reason: reason})
}

func (n *Node) attemptEnded(e attemptDone) {
	r := e.request
	r.outstanding--
	e.mayHaveRun = e.Code != balance.Full && e.Code != balance.ConnectFailed && e.Code != balance.Moot
	n.metrics.AttemptsEnded.Add(int(e.Code))
	if e.Err != nil {
		n.logEvent(e.attempt, eventlog.ResponseFailed, e.Err.Error())
	}
	n.logEvent(e.attempt, eventlog.AttemptEnded, n.metrics.AttemptsEnded.Label(int(e.Code)))
	if e.Code == balance.OK {
		e.server.LastResponseAt = n.now()
		n.finish(r, Response{Status: http.StatusOK, Body: e.Body})
	}
	n.outcome = balance.AttemptEnded{ID: r.ID, Attempt: e.number, Server: e.server.ID, RequestDone: r.hasEnded(),
		Elapsed: e.elapsed, Code: e.Code, Report: e.Report, BodyConsumed: r.bodyConsumed.Load(), Postponed: e.postponed}
	n.handle(&n.outcome)
	n.removeRequest(r)
	e.server.InFlight--
	n.removeServer(e.server)
}

// startStream forwards a response that is too long to be buffered. It is the final response
// of its request, which cannot be retried afterwards.
func (n *Node) startStream(e responseStarted) {
	r := e.request
	if !n.finish(r, Response{Status: http.StatusOK, Body: e.Prefix, BodyStream: e.Stream}) {
		e.Stream.Done(backend.ErrAbandoned)
		return
	}
	n.handle(balance.StreamStarted{ID: r.ID, Attempt: e.number, Server: e.server.ID, Elapsed: e.elapsed})
}

func (n *Node) probe(probe balance.Probe) {
	server, sentAt := n.servers[probe.Server], time.Now()
	if server == nil {
		return
	}
	server.InFlight++
	go func() {
		res := n.pool.Probe(server)
		n.post(probeDone{server, balance.ProbeEnded{Server: server.ID, Code: res.Code, Elapsed: time.Since(sentAt), Report: res.Report}})
	}()
}
