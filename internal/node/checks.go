package node

import (
	"context"
	"net/http"
	"time"

	"ivylock/guard"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
)

// The node's side of packages guard and invariant: what is known of an attempt before
// its first byte, and what is checked of what was done.

// lastLook tells whether an attempt may be written, just before its first byte.
func (n *Node) lastLook(ctx context.Context, a *attempt) guard.WithholdReason {
	r := a.request
	look := guard.Attempt{Now: time.Now(), Deadline: r.Deadline, DedupWindowEnd: a.latest, RequestDone: r.isOver() || r.ClientGone != nil && r.ClientGone(),
		Cancelled: ctx.Err() != nil, ServerUnavailable: a.server.Closed(), ProcessPaused: n.fleet != nil && n.fleet.stoodStill(n.now())}
	why := look.CheckWrite()
	if why == guard.Permitted && r.BodyStream != nil && r.spent.Swap(true) { // guards against a second reader of what can be read once
		look.BodyConsumed = true
		why = look.CheckWrite()
	}
	return why
}

// checkWritten checks an attempt that has been written.
func (n *Node) checkWritten(a *attempt) {
	r := a.request
	w := invariant.Written{Request: string(r.ID), At: time.Now(), Deadline: r.Deadline, ServerClosed: a.server.ClosedAt(),
		DrainGrace: n.cfg.Settings.DrainGrace, Told: a.told, TooLate: a.number == 0 && !n.life.mayTake(r.ReadAt)}
	if over := r.over.Load(); over != nil {
		w.Over = over.at
	}
	if r.BodyStream != nil { // its last byte is written long after its first one, and its time counts from then on
		w.Over, w.ServerClosed, w.Told = time.Time{}, time.Time{}, 0
	}
	n.checker.Wrote(w)
}

// checkRepeat tells whether an attempt would break the rules on repeats, by what the
// node knows of the earlier ones. It comes before the attempt is one of the request's.
func (n *Node) checkRepeat(a *attempt) (broken bool) {
	r := a.request
	for _, e := range r.attempts {
		if !e.mayRun {
			continue
		}
		if !n.repeats[r.Class].MayRetry(e.server.Place, e.chosen.Sub(n.start), a.server.Place, a.chosen.Sub(n.start)) {
			n.checker.Broken(invariant.RepeatedUnsafely, string(r.ID), "attempt %d at %s although attempt %d at %s may have run", a.number, a.server.Name, e.number, e.server.Name)
			return true
		}
	}
	return false
}

// checkRefusal gives the answer that a request may have: one that may have run and that a
// client must not repeat is failed and not refused.
func (n *Node) checkRefusal(r *Request, answer Response) Response {
	if figures.OutcomeOf(answer.Status) != figures.Throttled || n.repeats[r.Class].MayRefuse() {
		return answer
	}
	for _, a := range r.attempts {
		if a.mayRun {
			n.checker.Broken(invariant.RefusedUnsafely, string(r.ID), "refused although attempt %d at %s may have run", a.number, a.server.Name)
			return Response{Status: http.StatusBadGateway, Reason: answer.Reason}
		}
	}
	return answer
}

// Checker counts violations of invariants, for fronts to add theirs.
func (n *Node) Checker() *invariant.Checker { return n.checker }
