package balance

// Events, modes, thresholds and the periodic checks. The interface (settings, events, actions) is in
// api.go; the design is described in docs/design.md.

import (
	"math"
	"time"
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
