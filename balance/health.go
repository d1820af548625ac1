package balance

// Health of servers: outcomes, ejection, trials and slow start.

import (
	"fmt"
	"math"

	"ivylock/readings"
)

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
