package balance

// State handed over to a successor process.

import "time"

// LearnedFleet is the measured state of all servers together. Latencies are in s, rates in
// answers per second of the mean server.
type LearnedFleet struct {
	Answers               float64        `json:"answers"`
	MeanLatency           float64        `json:"mean"`
	BaseLatency           float64        `json:"base"`
	TargetLatency         float64        `json:"aimed"`
	MeanRate              float64        `json:"fleetRate"`
	PeakRate              float64        `json:"peak"`
	InFlightShare         float64        `json:"share"`
	BackgroundFailureRate float64        `json:"chance"`
	LastAnswerAt          Time           `json:"answerAt"`
	Classes               []LearnedClass `json:"classes"`
}

// LearnedClass is the measured state of one class. Latencies are in s.
type LearnedClass struct {
	Name            string        `json:"name"`
	Count           float64       `json:"count"`
	Latency         float64       `json:"latency"`
	FleetLatency    float64       `json:"ambient"`
	BaseLatency     float64       `json:"base"`
	RelativeCost    float64       `json:"relative"`
	FirstTryTimeout time.Duration `json:"patience"`
	FirstTryVotes   int           `json:"votes"`
}

// LearnedServer is the measured state of one server. ExcessLatency is in s, Rate in answers
// per second to this node.
type LearnedServer struct {
	StartedAt       Time          `json:"startedAt"`
	FirstListedAt   Time          `json:"since"`
	ExcessLatency   float64       `json:"excess"`
	LatencyAt       Time          `json:"latencyAt"`
	Rate            float64       `json:"rate"`
	RateAt          Time          `json:"rateAt"`
	Ejected         bool          `json:"suspect"`
	NextTrialAt     Time          `json:"trialAt"`
	TrialBackoff    time.Duration `json:"trialWait"`
	WarmingUp       bool          `json:"cold"`
	WarmupStartedAt Time          `json:"coldSince"`
}

// Learned returns the measured state, with servers by the module's IDs.
func (m *Module) Learned() (LearnedFleet, map[ServerID]LearnedServer) {
	fleet := LearnedFleet{Answers: m.answers, MeanLatency: m.meanLatency, BaseLatency: m.baseLatency,
		MeanRate: m.meanRate, PeakRate: m.peakRate,
		InFlightShare: m.inFlightShare, BackgroundFailureRate: m.failureRate, LastAnswerAt: m.lastAnswerAt}
	if m.learned {
		fleet.TargetLatency = min(m.targetLatency, 1e9) // JSON has no infinity
	}
	for _, cls := range m.classOrder {
		fleet.Classes = append(fleet.Classes, LearnedClass{Name: cls.Name, Count: cls.count, Latency: cls.latency,
			FleetLatency: cls.fleetLatency,
			BaseLatency:  cls.baseLatency, RelativeCost: cls.relativeCost, FirstTryTimeout: cls.firstTryTimeout,
			FirstTryVotes: cls.firstTryVotes})
	}
	servers := map[ServerID]LearnedServer{}
	for id, srv := range m.known {
		servers[id] = LearnedServer{StartedAt: srv.StartedAt, FirstListedAt: srv.listedAt,
			ExcessLatency: srv.excessLatency, LatencyAt: srv.latencyAt,
			Rate: srv.rate, RateAt: srv.rateAt, Ejected: srv.ejected, NextTrialAt: srv.nextTrialAt,
			TrialBackoff: srv.trialBackoff,
			WarmingUp:    srv.warmup, WarmupStartedAt: srv.warmupStart}
	}
	return fleet, servers
}

// Restore loads the state measured by the previous process of the same node. Call it before
// the first event. A warming server starts without tokens, because the previous process has
// already sent to it.
func (m *Module) Restore(now Time, fleet LearnedFleet, servers map[ServerID]LearnedServer) {
	m.now = now
	if fleet.Answers > 0 && fleet.MeanLatency > 0 && fleet.MeanRate > 0 && fleet.PeakRate > 0 &&
		fleet.InFlightShare > 0 && fleet.TargetLatency > 0 && fleet.BaseLatency > 0 {
		m.answers, m.meanLatency, m.baseLatency, m.targetLatency, m.meanRate, m.peakRate = fleet.Answers,
			fleet.MeanLatency, fleet.BaseLatency, fleet.TargetLatency, fleet.MeanRate, fleet.PeakRate
		m.inFlightShare, m.failureRate, m.lastAnswerAt = fleet.InFlightShare, fleet.BackgroundFailureRate,
			fleet.LastAnswerAt
		for _, learned := range fleet.Classes {
			if cls := m.classes[learned.Name]; cls != nil && learned.Count > 0 && learned.Latency > 0 &&
				learned.FleetLatency > 0 && learned.RelativeCost > 0 {
				cls.count, cls.latency, cls.fleetLatency, cls.baseLatency, cls.relativeCost = learned.Count,
					learned.Latency, learned.FleetLatency, learned.BaseLatency, learned.RelativeCost
				cls.firstTryTimeout, cls.firstTryVotes = learned.FirstTryTimeout, learned.FirstTryVotes
			}
		}
	}
	for id, learned := range servers {
		srv := m.serverOf(id)
		srv.ID, srv.StartedAt, srv.listedAt = id, learned.StartedAt, learned.FirstListedAt
		srv.excessLatency, srv.latencyAt, srv.rate, srv.rateAt = learned.ExcessLatency, learned.LatencyAt,
			learned.Rate, learned.RateAt
		srv.ejected, srv.nextTrialAt, srv.trialBackoff = learned.Ejected, learned.NextTrialAt, learned.TrialBackoff
		srv.warmup, srv.warmupStart, srv.tokens, srv.tokensAt = learned.WarmingUp, learned.WarmupStartedAt, 0, now
		srv.State = Removed // until a list update names it
	}
}
