package balance

// What a process that takes over is told of what the one before it measured. Nothing is decided here.

import "time"

// LearnedFleet is what a module has measured of all servers together.
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

// LearnedClass is what it has measured of one class.
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

// LearnedServer is what it has measured of one server.
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

// Learned tells what the module has measured, by its numbers for servers.
func (m *Module) Learned() (LearnedFleet, map[ServerID]LearnedServer) {
	f := LearnedFleet{Answers: m.answers, MeanLatency: m.mean, BaseLatency: m.base, MeanRate: m.fleetRate, PeakRate: m.peak,
		InFlightShare: m.share, BackgroundFailureRate: m.chance, LastAnswerAt: m.answerAt}
	if m.learned {
		f.TargetLatency = min(m.aimed, 1e9) // it may be infinite, which the form of the state has no word for
	}
	for _, c := range m.order {
		f.Classes = append(f.Classes, LearnedClass{Name: c.Name, Count: c.count, Latency: c.latency, FleetLatency: c.ambient,
			BaseLatency: c.base, RelativeCost: c.relative, FirstTryTimeout: c.patience, FirstTryVotes: c.votes})
	}
	servers := map[ServerID]LearnedServer{}
	for id, s := range m.known {
		servers[id] = LearnedServer{StartedAt: s.StartedAt, FirstListedAt: s.since, ExcessLatency: s.excess, LatencyAt: s.latencyAt,
			Rate: s.rate, RateAt: s.rateAt, Ejected: s.suspect, NextTrialAt: s.trialAt, TrialBackoff: s.trialWait,
			WarmingUp: s.cold, WarmupStartedAt: s.coldSince}
	}
	return f, servers
}

// Restore takes what another module of the same node measured a moment ago. It comes before the first event. A
// cold server's budget begins empty: what the other one has sent there counts.
func (m *Module) Restore(now Time, f LearnedFleet, servers map[ServerID]LearnedServer) {
	m.now = now
	if f.Answers > 0 && f.MeanLatency > 0 && f.MeanRate > 0 && f.PeakRate > 0 && f.InFlightShare > 0 && f.TargetLatency > 0 && f.BaseLatency > 0 {
		m.answers, m.mean, m.base, m.aimed, m.fleetRate, m.peak = f.Answers, f.MeanLatency, f.BaseLatency, f.TargetLatency, f.MeanRate, f.PeakRate
		m.share, m.chance, m.answerAt = f.InFlightShare, f.BackgroundFailureRate, f.LastAnswerAt
		for _, l := range f.Classes {
			if c := m.classes[l.Name]; c != nil && l.Count > 0 && l.Latency > 0 && l.FleetLatency > 0 && l.RelativeCost > 0 {
				c.count, c.latency, c.ambient, c.base, c.relative = l.Count, l.Latency, l.FleetLatency, l.BaseLatency, l.RelativeCost
				c.patience, c.votes = l.FirstTryTimeout, l.FirstTryVotes
			}
		}
	}
	for id, l := range servers {
		s := m.serverOf(id)
		s.ID, s.StartedAt, s.since = id, l.StartedAt, l.FirstListedAt
		s.excess, s.latencyAt, s.rate, s.rateAt = l.ExcessLatency, l.LatencyAt, l.Rate, l.RateAt
		s.suspect, s.trialAt, s.trialWait = l.Ejected, l.NextTrialAt, l.TrialBackoff
		s.cold, s.coldSince, s.tokens, s.tokensAt = l.WarmingUp, l.WarmupStartedAt, 0, now
		s.State = Removed // until the list says otherwise
	}
}
