package balance

// What a process that takes over is told of what the one before it measured. Nothing is decided here.

import "time"

// LearnedFleet is what a module has measured of all servers together.
type LearnedFleet struct {
	Answers   float64        `json:"answers"`
	Mean      float64        `json:"mean"`
	Base      float64        `json:"base"`
	Aimed     float64        `json:"aimed"`
	FleetRate float64        `json:"fleetRate"`
	Peak      float64        `json:"peak"`
	Share     float64        `json:"share"`
	Chance    float64        `json:"chance"`
	AnswerAt  Time           `json:"answerAt"`
	Classes   []LearnedClass `json:"classes"`
}

// LearnedClass is what it has measured of one class.
type LearnedClass struct {
	Name     string        `json:"name"`
	Count    float64       `json:"count"`
	Latency  float64       `json:"latency"`
	Ambient  float64       `json:"ambient"`
	Base     float64       `json:"base"`
	Relative float64       `json:"relative"`
	Patience time.Duration `json:"patience"`
	Votes    int           `json:"votes"`
}

// LearnedServer is what it has measured of one server.
type LearnedServer struct {
	StartedAt Time          `json:"startedAt"`
	Since     Time          `json:"since"`
	Excess    float64       `json:"excess"`
	LatencyAt Time          `json:"latencyAt"`
	Rate      float64       `json:"rate"`
	RateAt    Time          `json:"rateAt"`
	Suspect   bool          `json:"suspect"`
	TrialAt   Time          `json:"trialAt"`
	TrialWait time.Duration `json:"trialWait"`
	Cold      bool          `json:"cold"`
	ColdSince Time          `json:"coldSince"`
}

// Learned tells what the module has measured, by its numbers for servers.
func (m *Module) Learned() (LearnedFleet, map[ServerID]LearnedServer) {
	f := LearnedFleet{Answers: m.answers, Mean: m.mean, Base: m.base, FleetRate: m.fleetRate, Peak: m.peak,
		Share: m.share, Chance: m.chance, AnswerAt: m.answerAt}
	if m.learned {
		f.Aimed = min(m.aimed, 1e9) // it may be infinite, which the form of the state has no word for
	}
	for _, c := range m.order {
		f.Classes = append(f.Classes, LearnedClass{Name: c.Name, Count: c.count, Latency: c.latency, Ambient: c.ambient,
			Base: c.base, Relative: c.relative, Patience: c.patience, Votes: c.votes})
	}
	servers := map[ServerID]LearnedServer{}
	for id, s := range m.known {
		servers[id] = LearnedServer{StartedAt: s.StartedAt, Since: s.since, Excess: s.excess, LatencyAt: s.latencyAt,
			Rate: s.rate, RateAt: s.rateAt, Suspect: s.suspect, TrialAt: s.trialAt, TrialWait: s.trialWait,
			Cold: s.cold, ColdSince: s.coldSince}
	}
	return f, servers
}

// Restore takes what another module of the same node measured a moment ago. It comes before the first event. A
// cold server's budget begins empty: what the other one has sent there counts.
func (m *Module) Restore(now Time, f LearnedFleet, servers map[ServerID]LearnedServer) {
	m.now = now
	if f.Answers > 0 && f.Mean > 0 && f.FleetRate > 0 && f.Peak > 0 && f.Share > 0 && f.Aimed > 0 && f.Base > 0 {
		m.answers, m.mean, m.base, m.aimed, m.fleetRate, m.peak = f.Answers, f.Mean, f.Base, f.Aimed, f.FleetRate, f.Peak
		m.share, m.chance, m.answerAt = f.Share, f.Chance, f.AnswerAt
		for _, l := range f.Classes {
			if c := m.classes[l.Name]; c != nil && l.Count > 0 && l.Latency > 0 && l.Ambient > 0 && l.Relative > 0 {
				c.count, c.latency, c.ambient, c.base, c.relative = l.Count, l.Latency, l.Ambient, l.Base, l.Relative
				c.patience, c.votes = l.Patience, l.Votes
			}
		}
	}
	for id, l := range servers {
		s := m.serverOf(id)
		s.ID, s.StartedAt, s.since = id, l.StartedAt, l.Since
		s.excess, s.latencyAt, s.rate, s.rateAt = l.Excess, l.LatencyAt, l.Rate, l.RateAt
		s.suspect, s.trialAt, s.trialWait = l.Suspect, l.TrialAt, l.TrialWait
		s.cold, s.coldSince, s.tokens, s.tokensAt = l.Cold, l.ColdSince, 0, now
		s.State = Gone // until the list says otherwise
	}
}
