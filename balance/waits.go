package balance

// Decisions based on wait readings. Where hundreds of nodes share the servers, a node's own
// counts and answers are too few to distinguish busy servers from idle ones. Package
// readings defines who probes whom and how readings age; this file applies them to server
// selection and shedding.

import (
	"cmp"
	"math"
	"time"

	"ivylock/readings"
)

const (
	serviceTimeGain      = 0.05 // weight of a sample in the service time of a mean request
	maxServiceTimeChange = 2.0  // largest factor between the service time and a peer's sample
	extraPeers           = 4    // notified nodes per server beyond those that use it: some come to use it for a time
	concurrencyGain      = 0.05 // weight of a reading in a server's concurrency
	initialConcurrency   = 4.0  // requests, before a server has reported
	minServiceFraction   = 0.2  // of the time an answer took, for the service time: waits are estimates
	peerSendsPerOwn      = 4.0  // requests a server gets since its reading per own send, at most
	shareDecay           = 0.95 // factor on the weight of earlier probes in the in-flight share
	slowThreshold        = 2.0  // multiple of the subset's mean slowdown
	failureRatio         = 4.0  // multiple of the service time that counts as a failure
	crossZoneWeight      = 5.0  // delay factor per point of the cross-zone penalty: 0.02 points are a tenth
	waitFraction         = 0.15 // of the shortest target latency
	waitHigh             = 5.0  // H, in quarters of the wait limit
	waitLow              = 2.0  // L
	waitBlock            = 31.0 // R: just over the shortest target latency, which leaves no time for the work
)

// applyReadings updates the mean wait and slowdown of the servers in use and the wait from
// which they count as overloaded.
func (m *Module) applyReadings() {
	m.targetLatency = math.Inf(1)
	for _, cls := range m.classOrder {
		if cls.TargetLatency > 0 {
			m.targetLatency = math.Min(m.targetLatency, waitFraction*cls.TargetLatency.Seconds())
		}
	}
	sum, weight, slowdown := 0.0, 1e-9, 0.0
	for _, srv := range m.inUse {
		readingWeight := srv.reading.Weight(m.now)
		sum, weight, slowdown = sum+readingWeight*srv.reading.Wait, weight+readingWeight,
			slowdown+srv.slowdown.Factor(m.now)/float64(len(m.inUse))
	}
	m.meanWait, m.slowdown = sum/weight, math.Max(slowdown, 1e-9)
}

// relativeSize returns a server's size as a multiple of the mean size.
func (m *Module) relativeSize(srv *server) float64 {
	if m.meanUsedSize <= 0 || srv.Size <= 0 {
		return 1
	}
	return srv.Size / m.meanUsedSize
}

// hasWaitReadings reports whether current readings of the servers' waits exist.
func (m *Module) hasWaitReadings() bool {
	return m.largeFleet && m.readingAt > 0 && m.now-m.readingAt < readings.MaxAge
}

// waitPerRequest returns the wait in s that one queued request causes at a server.
func (m *Module) waitPerRequest(srv *server) float64 {
	return m.serviceTime * m.slowdownOf(srv) / m.concurrency / m.relativeSize(srv)
}

// expectedWait returns the wait in s at a server: its reading, weighted by age, plus what
// was sent since. The sends of other nodes are estimated from this node's own: by a factor
// that is smaller the larger this node's share of all requests is.
func (m *Module) expectedWait(srv *server) float64 {
	sendFactor := math.Min(peerSendsPerOwn,
		peerSendsPerOwn/nodesPerServer*m.allInFlight/math.Max(m.ownInFlight, 1e-9))
	return srv.reading.Estimate(m.now, m.meanWait) +
		sendFactor*math.Min(srv.sentSinceReading, srv.inFlight)*m.waitPerRequest(srv)
}

// waitDepth returns n for a server with wait readings. This node's own sends are only an
// estimate of what the others sent, so they may make a server Overloaded but not Blocking:
// only its next reading would unblock it.
func (m *Module) waitDepth(srv *server) float64 {
	reported := 4 * srv.reading.Estimate(m.now, m.meanWait) / m.targetLatency
	return math.Min(4*m.expectedWait(srv)/m.targetLatency, math.Max(reported, waitBlock-1))
}

// expectedDelay returns the latency in s of a mean request, by wait readings if there are
// any, else by answers.
func (m *Module) expectedDelay(srv *server) float64 {
	if m.hasWaitReadings() {
		return m.expectedWait(srv) + m.serviceTime*m.slowdownOf(srv)/m.relativeSize(srv)
	}
	return m.latencyOf(srv)
}

// selectionCost returns the expected delay, scaled by this node's own requests there
// (unless the wait readings include them) and by the penalty for crossing zones.
func (m *Module) selectionCost(srv *server) float64 {
	cost := 1.0
	if srv.Zone != m.settings.Zone {
		cost += crossZoneWeight * m.settings.Penalties.CrossZone
	}
	if m.hasWaitReadings() {
		return cost * m.expectedDelay(srv)
	}
	return cost * (srv.inFlight + 1) * m.expectedDelay(srv)
}

func (m *Module) compareCost(a, b *server) int {
	return cmp.Compare(m.selectionCost(a), m.selectionCost(b))
}

// tooSlowFor reports whether a slow server would miss the target latency of a mean request
// of the class.
func (m *Module) tooSlowFor(req *request, srv *server) bool {
	timeLeft := req.class.TargetLatency - req.waited - (m.now - req.arrived)
	return m.hasWaitReadings() && req.class.TargetLatency > 0 && m.slowdownOf(srv) > slowThreshold &&
		m.expectedWait(srv)+m.serviceTime*m.slowdownOf(srv)*req.class.relativeCost/m.relativeSize(srv) >
			targetFraction*timeLeft.Seconds()
}

// learnServiceTime updates the service time of a mean request from the time an answer took
// beyond the wait, and the server's slowdown from the outcome of the attempt.
func (m *Module) learnServiceTime(att *attempt, cls *class, event *AttemptEnded) {
	if !m.largeFleet {
		return
	}
	switch event.Code {
	case OK:
		elapsed := event.Elapsed.Seconds()
		sample := math.Max(elapsed-att.waitAtSend, elapsed*minServiceFraction) /
			cls.relativeCost * m.relativeSize(att.server)
		m.updateServiceTime(sample)
		att.server.slowdown.Record(m.now, sample/m.serviceTime)
	case TimedOut, ServerError, Reset:
		att.server.slowdown.Record(m.now, readings.MaxRatio)
	}
}

// slowdownOf returns a server's service time relative to the mean of the servers in use.
// Where all are equally slow, it is 1 for each.
func (m *Module) slowdownOf(srv *server) float64 { return srv.slowdown.Factor(m.now) / m.slowdown }

// updateServiceTime records a sample of the service time of a mean request, in s.
func (m *Module) updateServiceTime(sample float64) {
	if m.serviceTime == 0 {
		m.serviceTime = sample
	}
	if sample > 0 {
		m.serviceTime += serviceTimeGain * (sample - m.serviceTime)
	}
}

// probeIfDue probes a server when it is this node's turn.
func (m *Module) probeIfDue() {
	if !m.largeFleet || !m.settings.MayProbe || m.settings.ReportSource != ReportsFromProbes || len(m.inUse) == 0 ||
		!m.probes.Due(m.now, len(m.servers), m.effectiveNodes, m.random()) {
		return
	}
	target, other :=
		m.inUse[int(m.random()*float64(len(m.inUse)))], m.inUse[int(m.random()*float64(len(m.inUse)))]
	if readings.Staler(m.now, &target.reading, &other.reading) == &other.reading {
		target = other
	}
	target.reading.ProbedAt = m.now
	m.emit(Probe{Server: target.ID})
}

// handleProbe processes a probe result and notifies the peers.
func (m *Module) handleProbe(event ProbeEnded) {
	m.probes.Done()
	srv := m.known[event.Server]
	if srv == nil || srv.State != Ready {
		return
	}
	probe := readings.ProbeResult{Elapsed: event.Elapsed, OK: event.Code == OK,
		Refused: event.Code == ServerError || event.Code == Full, Queued: -1,
		WaitPerRequest: m.waitPerRequest(srv)}
	if report := event.Report; report != nil && report.HasInFlight {
		srv.reportedInFlight, srv.reportAt = report.InFlight, m.now
		m.ownInFlight, m.allInFlight = m.ownInFlight*shareDecay+srv.inFlight,
			m.allInFlight*shareDecay+math.Max(srv.inFlight, report.InFlight)
		if probe.Queued = math.Max(0, report.InFlight-m.concurrency); report.HasQueue {
			probe.Queued = report.Queue
		}
		if report.HasQueue && report.Queue > 0 && report.InFlight > report.Queue {
			m.concurrency += concurrencyGain * (report.InFlight - report.Queue - m.concurrency)
		}
	}
	wait, known := probe.Wait()
	if !known {
		return
	}
	m.updateReading(srv, wait, m.now)
	m.notifyPeers(srv, wait, 0)
}

// notifyPeers sends a reading of a server and its observed slowdown to the other nodes that
// use it.
func (m *Module) notifyPeers(srv *server, wait float64, age time.Duration) {
	if !m.largeFleet || !m.settings.MayMessage {
		return
	}
	ratio, attempts := srv.slowdown.TakeUnreported()
	ratio /= m.slowdown // a slow node does not report all servers as slow
	data := readings.Encode(nil, m.now, m.serviceTime,
		readings.PeerReading{Server: uint32(srv.ID), Wait: wait, Age: age, Ratio: ratio, Attempts: attempts})
	for _, node := range m.nodesUsing(srv) { // only nodes that use the server: bounds the messages in the fleet
		m.emit(SendMessage{To: node, Data: data})
	}
}

// applyPeerAttempts processes the outcomes of a peer's attempts at a server. Failures count
// as this node's own, and a success reinstates an ejected server, so that the nodes need
// not each detect it with their own requests.
func (m *Module) applyPeerAttempts(srv *server, reading readings.PeerReading) {
	srv.slowdown.RecordPeer(m.now, reading.Ratio, reading.Attempts)
	switch {
	case reading.Attempts == 0 || !m.largeFleet:
	case reading.Ratio >= failureRatio && srv.ejected:
		// One trial per fleet suffices; reports cannot postpone trials indefinitely.
		srv.nextTrialAt = min(max(srv.nextTrialAt, m.now+m.jitter(srv.trialBackoff)),
			srv.lastTrialAt+2*maxTrialBackoff)
	case reading.Ratio >= failureRatio:
		if srv.failureScore++; srv.failureScore >= ejectionThreshold {
			m.eject(srv, "no answer to peers")
		}
	case reading.Ratio < slowThreshold && srv.ejected && m.now-srv.ejectedAt > minTrialBackoff:
		m.reinstate(srv, true)
	}
}

// handleMessage processes a datagram from a peer. It discards datagrams that are malformed,
// outdated or from an unknown node.
func (m *Module) handleMessage(event MessageReceived) {
	if event.From < 0 || event.From == m.settings.Self || !m.planner.Has(uint32(event.From)) {
		m.discarded++
		return
	}
	peer := m.peers[uint32(event.From)]
	if peer == nil {
		peer = &readings.PeerState{}
		m.peers[uint32(event.From)] = peer
	}
	reported, err := readings.Decode(event.Data, m.now, peer, func(reading readings.PeerReading) {
		if srv := m.known[ServerID(reading.Server)]; srv != nil && srv.State == Ready {
			m.updateReading(srv, reading.Wait, m.now-reading.Age)
			m.applyPeerAttempts(srv, reading)
		}
	})
	if err != nil {
		m.discarded++
		return
	}
	if m.peerReadingAt = m.now; m.largeFleet && reported > 0 {
		if m.serviceTime > 0 {
			reported = math.Min(math.Max(reported, m.serviceTime/maxServiceTimeChange),
				m.serviceTime*maxServiceTimeChange)
		}
		m.updateServiceTime(reported)
	}
}

// updateReading stores a reading of a server if it is newer.
func (m *Module) updateReading(srv *server, wait float64, at Time) {
	if !srv.reading.Update(wait, at) {
		return
	}
	srv.sentSinceReading, m.readingAt = 0, m.now
}
