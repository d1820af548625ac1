package balance

// The decision logic of a node. The interface (settings, events, actions) is in api.go; the
// design is described in docs/design.md.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"ivylock/fleet/subset"
	"ivylock/readings"
)

const (
	tickInterval          = 25 * time.Millisecond  // of the periodic checks: well under any target
	modeValidity          = time.Second            // the paper's oc-validity: an imposed mode expires after it
	shedInterval          = 500 * time.Millisecond // update period of q1 and q2, well under a disturbance
	targetFraction        = 0.4                    // of a target latency, for the class's mean: tails are long
	queueFactor           = 3.0                    // multiple of the unloaded latency: keeps cores busy
	baseLatencyNoise      = 0.15                   // relative, of a class's mean latency, by chance alone
	lowFraction           = 0.5                    // L / H: the hysteresis
	blockFactor           = 2.0                    // R / H: leaves room for priority requests
	localQueueDelay       = 0.025                  // s: a wait this short may be this node's own, for a core
	busyFactor            = 1.5                    // multiple of the in-flight count at peak rates
	priorityValueFloor    = 0.1                    // of the highest value: requests up to it never have priority
	initialWindow         = 4.0                    // requests per server, over all nodes, at first: no flood
	reportMargin          = 1.25                   // multiple of H for server load reports, which are late
	minWindow             = 2.0                    // requests per server, over all nodes, in a quiet fleet too
	minAnswersPerServer   = 2.0                    // per server, before measurements are used
	warmupMinRate         = 4.0                    // 1/s, over all nodes, if there is no warm server to compare
	warmupGrowth          = 0.6                    // of the overload factor times the answer rate it has shown
	fleetRateWeight       = 0.3                    // weight of the mean rate of all servers in H, against noise
	peakDecayTime         = 600.0                  // s, for peak rates and unloaded latency: over a disturbance
	ejectionThreshold     = 3                      // failures in a row, or unanswered sends: not chance
	maxRunProbability     = 1e-4                   // a run of failures less probable than this by chance is none
	silenceFactor         = 4.0                    // multiple of the expected latency until silence counts
	hopelessFraction      = 0.5                    // of the expected latency: no answer is expected in less time
	minTrialBackoff       = 500 * time.Millisecond // doubles with each trial
	maxTrialBackoff       = 4 * time.Second        // well under what disturbances last
	retryRatio            = 0.1                    // retries per arrival: prevents a retry storm of this node
	retryBurst            = 10.0                   // retries saved up at most
	openFraction          = 0.8                    // of MaxOpenRequests, for non-priority requests
	retryAfterFraction    = 0.15                   // of the target latency, jittered
	idleLatencyFactor     = 1.2                    // of the lowest mean latency: least target latency
	arrivalGain           = 0.3                    // weight of a period in the smoothed arrivals
	minAdmitFraction      = 0.02                   // of the arrivals: admitted to learn how servers do
	nodesPerServer        = 9                      // in a large fleet: each node costs a server connections
	largeFleetEnter       = 28                     // nodes from which on own counts say too little of a server
	largeFleetExit        = 20                     // nodes up to which they say enough
	minSubsetSize         = 4                      // servers: two choices and two spare
	serversPerRequest     = 1.5                    // servers used per open request
	openGain              = 0.1                    // weight of a period in the smoothed open requests
	ownSampleNodes        = 10.0                   // nodes per server up to which a node's own samples suffice
	largeFleetIdleTimeout = 5 * time.Second        // longer costs the server more than a new one
	largeFleetDepth       = 3.2                    // load n at targetFraction of a target latency
	candidates            = 2                      // servers compared for a non-priority request
)

// NextMode returns the mode that follows the given one at n requests in flight. low, high
// and block are the thresholds L, H and R, in requests; the mode changes with hysteresis.
func NextMode(mode Mode, n, low, high, block float64) Mode {
	switch {
	case mode != Blocking && n > block-1:
		return Blocking
	case mode == Normal && n > high-1, mode == Blocking && n < high+1:
		return Overloaded
	case mode == Overloaded && n < low:
		return Normal
	}
	return mode
}

// ShedSplit returns the drop probabilities of priority (q1) and other requests (q2) for an
// overall drop probability q, given the numbers of their arrivals, n1 and n2.
func ShedSplit(q, n1, n2 float64) (q1, q2 float64) {
	if n2 == 0 {
		return q, 0
	}
	q2 = math.Min(1, q*(n1+n2)/n2)
	if n1 > 0 {
		q1 = math.Max(0, (q*(n1+n2)-q2*n2)/n1)
	}
	return q1, q2
}

// priorityFraction returns the fraction of a class's requests that counts as priority. It
// is graded, because values of classes may lie close together.
func priorityFraction(value, maxValue float64) float64 {
	return math.Max(0, (value/math.Max(maxValue, 1e-9)-priorityValueFloor)/(1-priorityValueFloor))
}

// Handle processes an event and returns the resulting actions in order. The returned slice
// is reused by the next call but one.
func (m *Module) Handle(now Time, event Event) []Action {
	m.now, m.actions, m.spareActions = now, m.spareActions[:0], m.actions
	if !m.ticking {
		m.ticking, m.periodStart = true, now
		m.timer = SetTimer{After: max(tickInterval, m.settings.MinTick)} // the only timer in use
		m.emit(m.timer)
	}
	switch event := event.(type) {
	case RequestArrived:
		m.handleArrival(&event)
	case *RequestArrived:
		m.handleArrival(event)
	case ListUpdate:
		m.applyListUpdate(event)
	case AttemptEnded:
		m.ended(&event)
	case *AttemptEnded:
		m.ended(event)
	case StreamStarted:
		m.streamStarted(event)
	case RequestBodySent:
		m.handleBodySent(event.ID)
	case RequestBodyReceived:
		m.handleBodyReceived(event)
	case FinalAnswerDue:
		if req := m.requests[event.ID]; req != nil && !req.done && !req.streamStarted {
			m.finish(req, CauseShutdown)
		}
	case RequestAbandoned:
		if req := m.requests[event.ID]; req != nil && !req.done {
			m.close(req)
		}
	case ProbeEnded:
		m.handleProbe(event)
	case MessageReceived:
		m.handleMessage(event)
	case ShareUpdate:
		m.applyShares(event)
	case FleetChanged:
		m.applyFleet(event)
	case TimerFired, *TimerFired:
		m.tick()
		m.emit(m.timer)
	}
	return m.actions
}

// updateThresholds recomputes the fleet-wide inputs of the thresholds.
func (m *Module) updateThresholds() {
	rate, count, own, all := 0.0, 0.0, 0.0, 0.0
	for _, srv := range m.inUse {
		if !srv.ejected && !srv.warmup {
			rate, count = rate+m.rateOf(srv), count+1
		}
		if srv.reportedInFlight > 0 && m.now-srv.reportAt < 2*modeValidity {
			own, all = own+srv.inFlight, all+srv.reportedInFlight
		}
	}
	if all > 0 {
		m.inFlightShare += (own/all - m.inFlightShare) * tickInterval.Seconds() / rateTimeConstant
	}
	if m.largeFleet && m.now-m.lastAnswerAt > modeValidity {
		m.meanLatency *= 1 - tickInterval.Seconds() // prevents blocking all servers on outdated latency
	}
	m.meanRate = rate / math.Max(1, count) // in a large fleet single servers have too few samples
	m.learned = m.answers > 0 && m.answers >= minAnswersPerServer*float64(len(m.inUse))/m.sampleScarcity
	if m.hasWaitReadings() {
		m.applyReadings()
	}
	if !m.learned {
		return
	}
	growth := 1 + tickInterval.Seconds()/peakDecayTime
	m.peakRate = math.Max(m.peakRate/growth, m.meanRate)
	m.baseLatency = m.meanLatency
	if !m.hasWaitReadings() {
		m.targetLatency = math.Inf(1)
	}
	baseLatency, latency := 0.0, 0.0
	for _, cls := range m.classOrder {
		expected := m.meanLatency * cls.relativeCost
		if cls.baseLatency *= growth; cls.count >= 1/classGain &&
			(cls.baseLatency == 0 || cls.latency < cls.baseLatency*(1-baseLatencyNoise)) {
			cls.baseLatency = cls.latency / (1 - baseLatencyNoise)
		}
		if cls.baseLatency > 0 {
			baseLatency, latency = baseLatency+cls.baseLatency, latency+expected
			m.baseLatency = m.meanLatency * baseLatency / latency
		}
		if cls.count > 0 && cls.TargetLatency > 0 && !m.hasWaitReadings() {
			m.targetLatency = math.Min(m.targetLatency,
				m.meanLatency*targetFraction*cls.TargetLatency.Seconds()/expected)
		}
	}
	if m.largeFleet && !m.hasWaitReadings() { // prevents shedding at idle servers with long service times
		m.minLatency = math.Min(m.minLatency*growth, m.meanLatency)
		m.targetLatency = math.Max(m.targetLatency,
			idleLatencyFactor*math.Min(m.minLatency, m.targetLatency))
	}
}

// highThreshold returns H: by Little's law, the requests this node may have in flight at a
// server that answers within the target latencies. The rate includes the mean of all
// servers, so that noise does not starve a server. The queue stays a small multiple of the service
// time, because overloaded servers may become slower. H also keeps a server busy when all
// servers are slow.
func (m *Module) highThreshold(srv *server) float64 {
	if !m.learned {
		return initialWindow / m.windowNodes
	}
	rate := (1-fleetRateWeight)*m.rateOf(srv) +
		fleetRateWeight*m.meanRate*math.Min(1, m.meanLatency/m.latencyOf(srv))
	// Prevents shedding at idle servers.
	target := math.Min(math.Max(queueFactor*m.baseLatency, localQueueDelay), m.targetLatency)
	busyLatency := m.baseLatency * m.peakRate / m.meanRate
	if !srv.warmup { // prevents a low H from limiting its own rate
		busyLatency *= busyFactor
	}
	high := rate * math.Max(busyLatency, target*math.Min(3, target/m.meanLatency))
	return math.Max(high, minWindow/m.windowNodes)
}

// updateMode updates and returns a server's mode. H is rounded randomly, which preserves
// its mean. In a large fleet a node's own in-flight count is nearly always 0, so n is the
// expected delay relative to the target latency.
func (m *Module) updateMode(srv *server) Mode {
	if high := math.Floor(m.highThreshold(srv) + srv.dither); !m.largeFleet {
		srv.mode = NextMode(srv.mode, srv.inFlight, lowFraction*high, high, blockFactor*high+1)
	} else if m.hasWaitReadings() && m.targetLatency > 0 {
		srv.mode = NextMode(srv.mode, m.waitDepth(srv), waitLow, waitHigh, waitBlock)
	} else if m.learned {
		srv.mode = NextMode(srv.mode, largeFleetDepth*m.expectedDelay(srv)/m.targetLatency, 3, 5, 9)
	}
	if m.now < srv.imposedUntil && srv.imposedMode > srv.mode {
		return srv.imposedMode
	}
	return srv.mode
}

// imposeMode sets a lower bound on a server's mode for modeValidity.
func (m *Module) imposeMode(srv *server, mode Mode) {
	srv.imposedMode, srv.imposedUntil = mode, m.now+modeValidity
	if m.largeFleet { // prevents synchronized returns of rejected nodes
		srv.imposedUntil = m.now + m.jitter(modeValidity)
	}
}

// applyReport imposes a mode according to a server's load report, which is delayed and
// counts the requests of all nodes. The thresholds of this node are scaled by its share of
// the reported requests.
func (m *Module) applyReport(srv *server, report *Report) {
	if report == nil || !report.HasInFlight {
		return
	}
	srv.reportedInFlight, srv.reportAt = report.InFlight, m.now
	high := reportMargin * m.highThreshold(srv) / math.Max(m.inFlightShare, 1e-9)
	srv.reportedMode = NextMode(srv.reportedMode, srv.reportedInFlight, lowFraction*high, high,
		blockFactor*high+1)
	// Never Blocking: on a delayed report all nodes would stop at once and leave the server idle.
	m.imposeMode(srv, min(srv.reportedMode, Overloaded))
}

// updateShedding sets q1 and q2. They apply only where no server is in Normal mode: other
// requests are dropped first, and more priority requests the closer the fleet is to R.
func (m *Module) updateShedding() {
	q, total := 0.0, m.n1+m.n2
	if total > 0 {
		q = (m.n2 + m.n1*m.overloadSum/m.ticks) / total
	}
	m.arrivals1, m.arrivals2 =
		m.arrivals1+arrivalGain*(m.n1-m.arrivals1), m.arrivals2+arrivalGain*(m.n2-m.arrivals2)
	// A large fleet has few arrivals per node and period: smooth them.
	if m.q1, m.q2 = ShedSplit(q, m.n1, m.n2); m.largeFleet && total > 0 {
		arrivals := m.arrivals1 + m.arrivals2
		m.admitted = math.Max(minAdmitFraction*arrivals,
			math.Min(1.5*arrivals, m.admitted)*(1.1-0.3*m.noNormal/total))
		m.q1, m.q2 = ShedSplit(math.Max(0, 1-m.admitted/arrivals), m.arrivals1, m.arrivals2)
	}
	if m.hasWaitReadings() { // the wait shows the overload: drop non-priority requests only
		m.q1, m.q2 = 0, 1
	}
	if m.smoothedOpen += openGain *
		(float64(len(m.requests)) - m.smoothedOpen); m.isLargeFleet() != m.largeFleet {
		m.replan()
	} else if m.largeFleet {
		m.chooseSubset()
	}
	m.n1, m.n2, m.noNormal, m.overloadSum, m.ticks, m.periodStart = 0, 0, 0, 0, 0, m.now
	for _, srv := range m.inUse {
		srv.dither = m.random()
	}
}

// recordOutcome processes the outcome of an attempt. Failures also count as slow answers,
// so that a server that fails fast attracts no load. A server that answers a trial request
// may have restarted without a list update and is treated as warming up.
func (m *Module) recordOutcome(srv *server, req *request, event *AttemptEnded) {
	switch event.Code {
	case Cancelled, Moot:
	case Full:
		srv.unanswered = 0
		m.imposeMode(srv, Blocking)
	case OK:
		m.updateFailureRate(srv)
		srv.rate, srv.rateAt, srv.unanswered =
			srv.rate*decay(m.now-srv.rateAt, rateTimeConstant)+1/rateTimeConstant, m.now, 0
		m.learnLatency(srv, req.class, event.Elapsed)
		if srv.failureScore = 0; srv.ejected {
			m.reinstate(srv, req.trial)
			m.notifyPeers(srv, 0, readings.NoReadingAge)
		}
	default:
		if m.largeFleet && event.Code == TimedOut {
			m.learnLatency(srv, req.class, max(event.Elapsed, req.class.TargetLatency))
		} else {
			m.updateServerLatency(srv, req.class, max(event.Elapsed, req.class.TargetLatency))
		}
		srv.failures++
		if srv.failureScore++; event.Code == ConnectFailed || event.Code == Reset {
			srv.failureScore++ // connection failures count twice
		}
		if srv.ejected {
			m.notifyPeers(srv, 0, readings.NoReadingAge)
		} else if srv.failureScore >= ejectionThreshold &&
			math.Pow(m.failureRate, float64(srv.failures)) < maxRunProbability {
			m.eject(srv, fmt.Sprintf("failures in a row, last outcome code %d", event.Code))
		}
	}
}

// eject excludes an outlier. A large fleet keeps half of each subset, because all servers
// look bad when the fleet is slow.
func (m *Module) eject(srv *server, reason string) {
	if srv.ejected || m.largeFleet && 2*m.ejectedCount >= len(m.inUse) {
		return
	}
	srv.ejected, srv.ejectedAt, srv.lastTrialAt = true, m.now, m.now
	srv.trialBackoff, srv.nextTrialAt = minTrialBackoff, m.now+m.jitter(minTrialBackoff)
	m.logServer(srv, fmt.Sprintf("suspect: %s; only trial requests", reason))
	m.chooseSubset()
	m.notifyPeers(srv, 0, readings.NoReadingAge)
}

// reinstate ends an ejection. The server may have restarted without a list update, so the
// caller may have it warm up.
func (m *Module) reinstate(srv *server, warmup bool) {
	srv.ejected, srv.failureScore, srv.unanswered = false, 0, 0
	m.chooseSubset()
	if warmup {
		m.startWarmup(srv, m.now)
	}
	m.logServer(srv, fmt.Sprintf("answers again; cold start assumed: %v", srv.warmup))
}

// trialServer returns an ejected server whose trial is due, unless the request is Unsafe.
func (m *Module) trialServer(req *request) *server {
	for _, srv := range m.inUse {
		if req.class.Effect != Unsafe && srv.ejected && m.now >= srv.nextTrialAt && m.maySend(req, srv) {
			return srv
		}
	}
	return nil
}

// startWarmup begins slow start. It cuts the answer rate, which may stem from a previous,
// warm process.
func (m *Module) startWarmup(srv *server, at Time) {
	srv.warmup, srv.warmupStart, srv.tokens, srv.tokensAt = true, at, 1, m.now
	// Prevents all nodes of the server from sending at once.
	if !m.largeFleet || m.random()*m.sampleScarcity*ownSampleNodes > nodesPerServer {
		srv.tokens = m.random()
	}
	srv.rate *= m.settings.WarmupStartFraction
	srv.reading, srv.slowdown = readings.Reading{}, readings.Slowdown{}
}

// warmupLimited reports whether a warming server's token budget is used up. Tokens accrue
// at the rate at which warm servers answer this node, scaled by the warmup progress: this
// node's share of the server's present capacity at most.
func (m *Module) warmupLimited(srv *server) bool {
	progress := (m.now - srv.warmupStart).Seconds() / math.Max(m.settings.WarmupTime.Seconds(), 1e-9)
	if srv.warmup = srv.warmup && progress < 1; !srv.warmup {
		return false
	}
	fraction := m.settings.WarmupStartFraction + (1-m.settings.WarmupStartFraction)*math.Max(0, progress)
	rate := math.Max(fraction*math.Max(m.meanRate, warmupMinRate/m.effectiveNodes),
		// Not by rateOf, which is noisy for a new server.
		warmupGrowth*m.settings.OverloadFactor*srv.rate*decay(m.now-srv.rateAt, rateTimeConstant))
	srv.tokens, srv.tokensAt = math.Min(2, srv.tokens+rate*(m.now-srv.tokensAt).Seconds()), m.now
	return srv.tokens < 1
}

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

// tick runs the periodic checks.
func (m *Module) tick() {
	m.updateThresholds()
	m.probeIfDue()
	overloadSum, count := 0.0, 1e-9
	for _, srv := range m.inUse {
		// Silence: several sends and no answer for a multiple of the expected latency.
		if srv.unanswered >= ejectionThreshold && m.meanLatency > 0 &&
			(m.now-srv.silentSince).Seconds() > silenceFactor*math.Max(m.meanLatency, m.latencyOf(srv)) {
			m.eject(srv, "no answer")
		}
		if srv.ejected {
			continue
		}
		if count++; m.updateMode(srv) != Normal {
			high := math.Floor(m.highThreshold(srv) + srv.dither)
			overloadSum += math.Min(1, math.Max(0, (srv.inFlight-high)/(blockFactor*high+1-high)))
		}
	}
	m.overloadSum, m.ticks = m.overloadSum+overloadSum/count, m.ticks+1
	open := m.open[:0]
	for _, req := range m.open {
		if !req.done && !req.streamStarted && m.now >= req.deadline {
			m.finish(req, CauseDeadline) // also if an outcome never arrives
		}
		m.resumePostponed(req)
		if !req.done {
			open = append(open, req)
		} else if req.outstanding == 0 {
			m.recycle(req)
		}
	}
	m.open = open
	if m.now-m.periodStart >= shedInterval {
		m.updateShedding()
	}
}

func (m *Module) applyListUpdate(update ListUpdate) {
	if update.Kind == ListFailed {
		return
	}
	if update.Kind != ListChanges {
		for _, srv := range m.servers {
			srv.State = Removed
		}
	}
	for _, entry := range update.Entries {
		srv := m.serverOf(entry.ID)
		// A new start: measurements of the previous process do not apply.
		if entry.State == Ready && entry.StartedAt > srv.StartedAt {
			srv.ejected, srv.failureScore, srv.unanswered, srv.imposedUntil = false, 0, 0, m.now
			m.startWarmup(srv, entry.StartedAt)
		}
		if entry.State != Ready {
			// A start announced while draining counts once the server is ready.
			entry.StartedAt = srv.StartedAt
		}
		srv.Server = entry
	}
	m.servers = m.servers[:0]
	for _, srv := range m.known {
		if srv.State != Removed {
			m.servers = append(m.servers, srv)
		} else {
			srv.users = []int{} // no longer in the assignment
		}
		m.forgetRemoved(srv)
	}
	m.replan()
}

// isLargeFleet reports whether so many nodes share the servers that a node's own in-flight
// count is too little information. Between the two bounds a node uses peer readings if it
// receives any, so that nodes that exchange readings agree.
func (m *Module) isLargeFleet() bool {
	n := m.planner.ProcessCount()
	return n >= largeFleetEnter ||
		n > largeFleetExit && (m.largeFleet || m.peerReadingAt > 0 && m.now-m.peerReadingAt < modeValidity)
}

// applyFleet applies a change of the fleet's nodes and drops the state of departed peers.
func (m *Module) applyFleet(event FleetChanged) {
	if !m.planner.SetFleet(event.Nodes) {
		return
	}
	for id := range m.peers {
		if !m.planner.Has(id) {
			delete(m.peers, id)
		}
	}
	m.replan()
}

// replan detects a large fleet and orders the list for this node: its assigned subset
// first, then the servers for which it is the next candidate.
func (m *Module) replan() {
	largeFleet := m.largeFleet
	// Idle connections cost servers more than new ones.
	if m.largeFleet = m.isLargeFleet(); m.largeFleet && !largeFleet {
		m.emit(SetConnIdleTimeout{Timeout: largeFleetIdleTimeout})
	} else if largeFleet && !m.largeFleet {
		m.emit(SetConnIdleTimeout{Timeout: m.settings.ConnIdleTimeout})
	}
	users := math.MaxInt32 // in a small fleet each node uses all servers
	if m.largeFleet {
		users = nodesPerServer
	}
	m.planner.SetSettings(subset.Settings{UsersPerServer: users, MinServers: minSubsetSize})
	slices.SortFunc(m.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	all, size := make([]subset.Server, len(m.servers)), m.meanSize(m.servers)
	for i, srv := range m.servers {
		all[i].Key, srv.planIndex, srv.users = uint64(srv.ID), i, nil
		if size > 0 { // larger servers get proportionally more nodes
			all[i].RelativeSize = srv.Size / size
		}
	}
	m.assignment = m.planner.Plan(all)
	assigned, next := m.assignment.ServersFor(uint32(m.settings.Self))
	listed := slices.Clone(m.servers)
	m.servers, m.subsetSize = m.servers[:0], len(assigned)
	for _, i := range slices.Concat(assigned, next) {
		m.servers = append(m.servers, listed[i])
	}
	m.chooseSubset()
}

// chooseSubset selects the servers that this node uses, which bounds the connections per
// server. A node with many open requests also uses servers for which it is the next
// candidate. Ejected servers are replaced.
func (m *Module) chooseSubset() {
	m.inUse, m.ejectedCount = m.inUse[:0], 0
	needed := max(minSubsetSize, int(math.Ceil(serversPerRequest*m.smoothedOpen)))
	for i, srv := range m.servers { // the assigned subset first, then the next candidates
		if srv.State != Ready || i >= m.subsetSize && needed <= 0 {
			continue
		}
		if m.inUse = append(m.inUse, srv); srv.ejected {
			m.ejectedCount++
		} else {
			needed--
		}
	}
	m.meanUsedSize = m.meanSize(m.inUse)
	if m.largeFleet {
		slots := float64(m.planner.ProcessCount() * minSubsetSize)
		m.sampleScarcity = math.Max(nodesPerServer,
			slots/math.Max(1, float64(len(m.servers)))) / ownSampleNodes
	}
}

// meanSize returns the mean size of some servers, or 0 if sizes are not comparable.
func (m *Module) meanSize(servers []*server) (size float64) {
	for _, srv := range servers {
		if m.settings.SizeKnown && !m.settings.SizeLive && srv.Size > 0 {
			size += srv.Size / float64(len(servers))
		}
	}
	return size
}
