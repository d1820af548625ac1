package balance

// Routing of requests to servers: arrivals, attempts, retries and refusals.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maySend applies every rule on sending; each send passes it.
func (m *Module) maySend(req *request, srv *server) bool {
	if req.done || req.streamStarted || req.bodyConsumed || m.now >= req.deadline ||
		len(req.attempts)-req.postponement.count >= max(1, m.settings.MaxAttempts) ||
		srv.State != Ready || req.outstanding >= 2 || req.outstanding > 0 && !m.settings.MayOverlap {
		return false
	}
	// The latest write time, not counting a dial.
	written := m.now + max(m.settings.MinTick, m.settings.MaxProcessPause)
	for _, att := range req.attempts {
		if att.server == srv && !att.postponed {
			return false
		}
		if att.mayHaveRun &&
			!req.class.RetryRules().MayRetry(att.server.Location(), att.sentAt, srv.Location(), written) {
			return false
		}
	}
	return true
}

// mayRefuse reports whether the request may be refused: a refusal promises that a retry by
// the client is harmless.
func (m *Module) mayRefuse(req *request) bool {
	for _, att := range req.attempts {
		if att.mayHaveRun && !req.class.RetryRules().MayRefuse() {
			return false
		}
	}
	return true
}

// send starts an attempt. Every attempt goes through it.
func (m *Module) send(req *request, srv *server, timeout time.Duration) bool {
	if srv == nil || !m.maySend(req, srv) {
		return false
	}
	att := req.newAttempt()
	att.server, att.sentAt, att.mayHaveRun, att.waitAtSend = srv, m.now, true, m.expectedWait(srv)
	att.hopeless = m.isHopeless(req, srv)
	req.outstanding++
	if srv.tokens--; !m.largeFleet { // charges expensive classes for their cost
		srv.tokens -= req.class.relativeCost - 1
	}
	if !req.bodyPending { // slow uploads do not count as server load
		m.countInFlight(att)
	}
	if cls := req.class; cls.valueLimit > 0 && m.largeFleet {
		timeout = max(m.settings.MinTick, min(timeout, cls.valueLimit-m.waitOf(req)))
	}
	att.sending = Sending{ID: req.id, Server: srv.ID, Timeout: min(timeout, req.deadline-m.now),
		WriteWithin: m.retryWriteWindow(req)}
	m.emit(Send{&att.sending})
	return true
}

// retryWriteWindow returns how long a retry may take until it is written: the rest of the
// deduplication window that began with the first attempt that may have run. It returns 0 if
// there is no such bound.
func (m *Module) retryWriteWindow(req *request) (left time.Duration) {
	for _, att := range req.attempts[:len(req.attempts)-1] {
		if att.mayHaveRun && req.class.Effect == Keyed {
			left = min(cmp.Or(left, req.class.DedupWindow), att.sentAt+req.class.DedupWindow-m.now)
		}
	}
	return left
}

// finish gives the final answer if no server did: a refusal where that is allowed, else a
// failure.
func (m *Module) finish(req *request, cause Cause) {
	if m.mayRefuse(req) {
		retryAfter := m.jitter(time.Duration(retryAfterFraction * float64(req.class.TargetLatency)))
		m.emit(Refuse{ID: req.id, RetryAfter: min(retryAfter, m.settings.MaxRetryAfter), Cause: cause})
	} else {
		m.emit(Fail{ID: req.id, Cause: cause})
	}
	m.close(req)
}

func (m *Module) handleArrival(event *RequestArrived) {
	if m.requests[event.ID] != nil {
		return
	}
	cls := m.classOf(event.Class)
	req := m.newRequest()
	req.id, req.class, req.arrived, req.deadline = event.ID, cls, m.now, m.now+event.ClientTimeout
	req.bodyPending, req.bodyArriving = event.BodyPending, event.BodyPending
	m.requests[event.ID], m.open = req, append(m.open, req)
	req.waited = m.earlierWait(cls, event)
	priority := cls.priority
	if t := m.tenants[event.Tenant]; t != nil && !t.takeToken(m.now) { // over the tenant's quota
		priority = cls.overQuotaPriority
	}
	req.priority = m.random() < priority && !m.tooLate(req, 0)
	m.n2++
	if req.priority {
		m.n1, m.n2 = m.n1+1, m.n2-1
	}
	m.retryTokens = math.Min(retryBurst/m.sampleScarcity, m.retryTokens+retryRatio)
	// A trial leaves time for a second attempt, also when all servers are slow.
	timeout := max(m.settings.ConnectTimeout, time.Duration(silenceFactor*m.meanLatency*cls.relativeCost*1e9))
	if srv := m.trialServer(req); m.send(req, srv, min(timeout, cls.TargetLatency/3)) {
		srv.trialBackoff = min(2*srv.trialBackoff, maxTrialBackoff)
		req.trial, srv.lastTrialAt, srv.nextTrialAt = true, m.now, m.now+m.jitter(srv.trialBackoff)
		return
	}
	m.route(req)
}

// route sends a request to the server chosen by pickServer, or sheds it.
func (m *Module) route(req *request) {
	srv, mode := m.pickServer(req)
	if mode != Normal {
		m.noNormal++
	}
	overLimit := !req.priority &&
		float64(len(m.requests)) > openFraction*float64(m.settings.MaxOpenRequests) &&
		m.settings.MaxOpenRequests > 0
	shed := overLimit ||
		mode == Overloaded && (req.priority && m.random() < m.q1 || !req.priority && m.random() < m.q2)
	latency := m.meanLatency * req.class.relativeCost
	cause := CauseNoServer
	switch {
	case shed:
		srv, cause = nil, CauseShed
	case mode == Blocking:
		srv = nil
	case (m.largeFleet || mode != Normal) && m.tooLate(req, latency):
		srv, cause = nil, CauseTooLate
	}
	if !m.send(req, srv, req.deadline) {
		m.finish(req, cause)
	}
}

// takeToken takes a token of the tenant's quota, if one is available.
func (t *tenant) takeToken(now Time) bool {
	t.tokens, t.refilledAt =
		math.Min(math.Max(2, t.rate), t.tokens+t.rate*(now-t.refilledAt).Seconds()), now
	ok := t.tokens >= 1
	if ok {
		t.tokens--
	}
	return ok
}

// pickServer chooses between two random Normal servers, or Overloaded ones if there are
// none; the lower selection cost wins. With wait readings, a priority request chooses among
// the whole subset: such requests are too few to overload one server.
func (m *Module) pickServer(req *request) (best *server, mode Mode) {
	pools := &m.pools // reused to avoid allocations
	pools[0], pools[1] = pools[0][:0], pools[1][:0]
	useReadings, left := m.hasWaitReadings(), candidates
	if req.priority {
		left = len(m.inUse)
	}
	for i, srv := range m.inUse {
		if useReadings { // random candidates: keeps nodes from all choosing the idlest server
			k := i + int(m.random()*float64(len(m.inUse)-i))
			m.inUse[i], m.inUse[k] = m.inUse[k], m.inUse[i]
			srv = m.inUse[i]
		}
		if srv.ejected || !m.maySend(req, srv) || m.warmupLimited(srv) {
			continue
		}
		mode := m.updateMode(srv)
		if mode == Normal && m.tooSlowFor(req, srv) {
			mode = Overloaded
		}
		if mode != Blocking {
			pools[mode] = append(pools[mode], srv)
		}
		if left--; useReadings && left <= 0 {
			break
		}
	}
	for i, pool := range pools {
		if len(pool) == 0 {
			continue
		}
		if useReadings {
			return slices.MinFunc(pool, m.compareCost), Mode(i)
		}
		k := int(m.random() * float64(len(pool)))
		best, other := pool[k], pool[(k+1+int(m.random()*float64(len(pool)-1)))%len(pool)]
		if m.selectionCost(other) < m.selectionCost(best) {
			best = other
		}
		return best, Mode(i)
	}
	return nil, Blocking
}

// ended processes the end of an attempt.
func (m *Module) ended(event *AttemptEnded) {
	req := m.requests[event.ID]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) ||
		req.attempts[event.Attempt].ended {
		return
	}
	att := req.attempts[event.Attempt]
	att.ended, att.mayHaveRun =
		true, event.Code != Full && event.Code != ConnectFailed && event.Code != Moot
	req.outstanding--
	req.bodyConsumed = req.bodyConsumed || event.BodyConsumed
	att.uncountInFlight()
	m.forgetRemoved(att.server)
	m.applyReport(att.server, event.Report)
	m.learnServiceTime(att, req.class, event)
	if !att.streaming || event.Code != OK {
		if !att.hopeless || event.Code != TimedOut {
			m.recordOutcome(att.server, req, event)
		}
	}
	switch {
	case req.done && req.outstanding == 0:
		delete(m.requests, req.id)
	case event.RequestDone && !req.done:
		m.close(req)
	case !req.done && req.outstanding == 0 && req.bodyConsumed:
		m.finish(req, CauseBodyConsumed)
	case !req.done && req.outstanding == 0 && event.Postponed:
		m.postpone(req, att)
	case !req.done && req.outstanding == 0:
		m.retry(req, att.mayHaveRun || m.largeFleet && event.Code == Full)
	}
}

// waitOf returns how long the client has waited at least, which begins with the last byte of its request.
func (m *Module) waitOf(req *request) time.Duration {
	if req.bodyArriving {
		return req.waited
	}
	return req.waited + m.now - req.arrived
}

// tooLate reports whether an answer that arrives after the given number of seconds has no
// value.
func (m *Module) tooLate(req *request, after float64) bool {
	waited := m.waitOf(req).Seconds()
	return req.class.valueLimit > 0 && waited > 0 && waited+after >= req.class.valueLimit.Seconds()
}

// retry makes a further attempt under the same rules as a first one. If limited, it takes a
// token of the retry budget.
func (m *Module) retry(req *request, limited bool) {
	if m.tooLate(req, 0) {
		m.finish(req, CauseTooLate)
		return
	}
	if limited && m.retryTokens < 1 {
		m.finish(req, CauseRetryBudget)
		return
	}
	if limited {
		m.retryTokens--
	}
	m.route(req)
}
