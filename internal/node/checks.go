package node

import (
	"context"
	"net/http"
	"time"

	"ivylock/guard"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
)

// Safety checks by packages guard and invariant: whether an attempt may be written, and
// whether what was done was allowed.

// checkBeforeWrite decides, just before the first byte, whether an attempt may be written.
func (n *Node) checkBeforeWrite(ctx context.Context, a *attempt) guard.WithholdReason {
	r := a.request
	clientSeenAt := time.Time{}
	if r.ClientSeenAt != nil {
		clientSeenAt = r.ClientSeenAt() // may wait
	}
	state := guard.Attempt{Now: time.Now(), ClientSeenAt: clientSeenAt, Deadline: r.finalDeadline(), DedupWindowEnd: a.writeBy, RequestDone: r.hasEnded() || r.ClientGone != nil && r.ClientGone(),
		Cancelled: ctx.Err() != nil, ServerUnavailable: a.server.Disabled(), ProcessPaused: n.fleet != nil && n.fleet.paused(n.now())}
	reason := state.CheckWrite()
	if reason == guard.Permitted && r.BodyStream != nil && r.bodyConsumed.Swap(true) { // it can be read once
		state.BodyConsumed = true
		reason = state.CheckWrite()
	}
	return reason
}

// checkWritten checks the invariants of an attempt that has been written.
func (n *Node) checkWritten(a *attempt) {
	r := a.request
	written := invariant.WrittenAttempt{Request: string(r.ID), At: time.Now(), Deadline: r.finalDeadline(), DrainKnownAt: a.server.DisabledAt(),
		DrainGrace: n.cfg.Settings.DrainGrace, SentTimeout: a.forwardedTimeout, AfterIntake: a.number == 0 && !n.lifecycle.mayServe(r.ReadAt)}
	if end := r.ended.Load(); end != nil {
		written.EndedAt = end.at
	}
	// Its last byte is written long after the first, and its timeout starts only then.
	if r.BodyStream != nil {
		written.EndedAt, written.DrainKnownAt, written.SentTimeout = time.Time{}, time.Time{}, 0
	}
	n.checker.CheckWrite(written)
}

// checkRetry reports whether an attempt would break the retry rules of its class, given the
// earlier attempts. It must be called before the attempt is added to its request.
func (n *Node) checkRetry(a *attempt) (broken bool) {
	r := a.request
	for _, earlier := range r.attempts {
		if !earlier.mayHaveRun {
			continue
		}
		if !n.retryRules[r.Class].MayRetry(earlier.server.Location, earlier.chosenAt.Sub(n.start), a.server.Location, a.chosenAt.Sub(n.start)) {
			n.checker.Report(invariant.RepeatedUnsafely, string(r.ID), "attempt %d at %s although attempt %d at %s may have run", a.number, a.server.Name, earlier.number, earlier.server.Name)
			return true
		}
	}
	return false
}

// checkRefusal returns the response that a request may get: if an attempt may have run and
// the client must not retry, a refusal becomes a failure.
func (n *Node) checkRefusal(r *Request, resp Response) Response {
	if figures.OutcomeOf(resp.Status) != figures.Throttled || n.retryRules[r.Class].MayRefuse() {
		return resp
	}
	for _, a := range r.attempts {
		if a.mayHaveRun {
			n.checker.Report(invariant.RefusedUnsafely, string(r.ID), "refused although attempt %d at %s may have run", a.number, a.server.Name)
			return Response{Status: http.StatusBadGateway, Reason: resp.Reason}
		}
	}
	return resp
}

// Checker returns the counter of invariant violations, to which front ends add theirs.
func (n *Node) Checker() *invariant.Checker { return n.checker }
