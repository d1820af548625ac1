package balance

// What nodes know of servers' waits where hundreds of them share the servers: a node's own counts and answers are too few
// there to tell a busy server from an idle one. Package readings says who asks whom and what a reading is worth; here is
// what follows from it for where a request goes and what is shed.

import (
	"cmp"
	"math"
	"time"

	"ivylock/readings"
)

const (
	unitGain   = 0.05 // weight of a new sample in the plain work of a mean request
	unitSwing  = 2.0  // times that work, up or down, that one word of another node may say
	tellMore   = 4    // nodes told of a server beside those that use it: some come to use it for a time
	slotsGain  = 0.05 // weight of a reading in the number of requests that a server works on at once
	slotsGuess = 4.0  // that number, before a server has told
	leastWork  = 0.2  // part of what an answer took, that its work was at least: waits are estimates
	ownSends   = 4.0  // requests that come to a server since its reading for each one that this node sends there, at most
	partKeeps  = 0.95 // of what earlier probes say of this node's part of the requests at servers, at each one
	lateAt     = 2.0  // times the set's mean, from which on a server's pace may make it unfit for a request
	badWord    = 4.0  // times its plain work, from which on what attempts took is held to be a failure's share
	farPart    = 5.0  // part of the delay that crossing zones counts as, for each point that it costs: 0.02 are a tenth
	waitPart   = 0.15 // part of the shortest aim that requests may wait at a server that is not crowded
	waitHigh   = 5.0  // H of a server, in quarters of that wait
	waitLow    = 2.0  // L
	waitBlock  = 31.0 // R: a little over that aim, which leaves no time for the work
)

// heed takes what the set's readings say together: the mean wait, and the wait from which on its servers are crowded.
func (m *Module) heed() {
	m.aimed = math.Inf(1)
	for _, c := range m.order {
		if c.TargetLatency > 0 {
			m.aimed = math.Min(m.aimed, waitPart*c.TargetLatency.Seconds())
		}
	}
	sum, weight, pace := 0.0, 1e-9, 0.0
	for _, s := range m.near {
		w := s.reading.Weight(m.now)
		sum, weight, pace = sum+w*s.reading.Wait, weight+w, pace+s.pace.Factor(m.now)/float64(len(m.near))
	}
	m.waits, m.pace = sum/weight, math.Max(pace, 1e-9)
}

// partOf is a server's size as a multiple of the mean one's.
func (m *Module) partOf(s *server) float64 {
	if m.size <= 0 || s.Size <= 0 {
		return 1
	}
	return s.Size / m.size
}

// told tells whether this node knows from readings how long servers make requests wait.
func (m *Module) told() bool {
	return m.crowd && m.toldAt > 0 && m.now-m.toldAt < readings.MaxAge
}

// each is what a request that waits at a server makes the next one wait, in s.
func (m *Module) each(s *server) float64 { return m.unit * m.slow(s) / m.slots / m.partOf(s) }

// waitAt is how long a request waits at a server: by its reading, which counts the less the older it is, and by what
// this node has sent there since. That stands for others' too, the less the more of all is this node's.
func (m *Module) waitAt(s *server) float64 {
	stand := math.Min(ownSends, ownSends/setConns*m.allThere/math.Max(m.ownThere, 1e-9))
	return s.reading.Estimate(m.now, m.waits) + stand*math.Min(s.later, s.n)*m.each(s)
}

// waitDepth is n of a server whose wait is told. What this node has sent there is a guess at what others have, which
// may crowd a server but not block it: only its next reading would free it again.
func (m *Module) waitDepth(s *server) float64 {
	told := 4 * s.reading.Estimate(m.now, m.waits) / m.aimed
	return math.Min(4*m.waitAt(s)/m.aimed, math.Max(told, waitBlock-1))
}

// expected is the delay of a mean request, by the wait if it is known, else by answers.
func (m *Module) expected(s *server) float64 {
	if m.told() {
		return m.waitAt(s) + m.unit*m.slow(s)/m.partOf(s)
	}
	return m.latencyOf(s)
}

// delayOf adds this node's own requests there, unless they are in, and what crossing zones is to cost.
func (m *Module) delayOf(s *server) float64 {
	cost := 1.0
	if s.Zone != m.set.Zone {
		cost += farPart * m.set.Penalties.CrossZone
	}
	if m.told() {
		return cost * m.expected(s)
	}
	return cost * (s.n + 1) * m.expected(s)
}

func (m *Module) byDelay(a, b *server) int { return cmp.Compare(m.delayOf(a), m.delayOf(b)) }

// unfit tells that a server is so much slower than the others that its mean request of a kind would not meet its aim.
func (m *Module) unfit(r *request, s *server) bool {
	left := r.class.TargetLatency - r.spent - (m.now - r.arrived)
	return m.told() && r.class.TargetLatency > 0 && m.slow(s) > lateAt &&
		m.waitAt(s)+m.unit*m.slow(s)*r.class.relative/m.partOf(s) > aimPart*left.Seconds()
}

// learnUnit takes what an answer took beyond the wait for the plain work of a mean request at a mean server, and what
// an attempt says of its server's pace.
func (m *Module) learnUnit(a *attempt, c *class, e *AttemptEnded) {
	if !m.crowd {
		return
	}
	switch e.Code {
	case OK:
		took := e.Elapsed.Seconds()
		t := math.Max(took-a.wait, took*leastWork) / c.relative * m.partOf(a.server)
		m.learnWork(t)
		a.server.pace.Record(m.now, t/m.unit)
	case TimedOut, ServerError, Reset:
		a.server.pace.Record(m.now, readings.MaxRatio)
	}
}

// slow is how many times as long as at the mean of its set plain work takes at a server. The mean, for where all are
// slow or fail alike none is worse for it.
func (m *Module) slow(s *server) float64 { return s.pace.Factor(m.now) / m.pace }

// learnWork takes what the plain work of a mean request took, or has taken by another node's answers.
func (m *Module) learnWork(t float64) {
	if m.unit == 0 {
		m.unit = t
	}
	if t > 0 {
		m.unit += unitGain * (t - m.unit)
	}
}

// inquire asks a server for its load when it is this node's turn.
func (m *Module) inquire() {
	if !m.crowd || !m.set.MayProbe || m.set.ReportSource != ReportsFromProbes || len(m.near) == 0 ||
		!m.duty.Due(m.now, len(m.list), m.nodes, m.random()) {
		return
	}
	one, other := m.near[int(m.random()*float64(len(m.near)))], m.near[int(m.random()*float64(len(m.near)))]
	if readings.Staler(m.now, &one.reading, &other.reading) == &other.reading {
		one = other
	}
	one.reading.ProbedAt = m.now
	m.do(Probe{Server: one.ID})
}

// probed takes what a probe tells, and tells the other nodes.
func (m *Module) probed(e ProbeEnded) {
	m.duty.Done()
	s := m.known[e.Server]
	if s == nil || s.State != Ready {
		return
	}
	p := readings.ProbeResult{Elapsed: e.Elapsed, OK: e.Code == OK, Refused: e.Code == ServerError || e.Code == Full, Queued: -1, WaitPerRequest: m.each(s)}
	if r := e.Report; r != nil && r.HasInFlight {
		s.report, s.reportAt = r.InFlight, m.now
		m.ownThere, m.allThere = m.ownThere*partKeeps+s.n, m.allThere*partKeeps+math.Max(s.n, r.InFlight)
		if p.Queued = math.Max(0, r.InFlight-m.slots); r.HasQueue {
			p.Queued = r.Queue
		}
		if r.HasQueue && r.Queue > 0 && r.InFlight > r.Queue {
			m.slots += slotsGain * (r.InFlight - r.Queue - m.slots)
		}
	}
	wait, known := p.Wait()
	if !known {
		return
	}
	m.read(s, wait, m.now)
	m.tell(s, wait, 0)
}

// tell says to the other nodes that use a server what this one has read of it, and what it has seen of its pace.
func (m *Module) tell(s *server, wait float64, age time.Duration) {
	if !m.crowd || !m.set.MayMessage {
		return
	}
	ratio, count := s.pace.TakeUnreported()
	ratio /= m.pace // guards against a node that is slow itself, and would tell it of all servers
	data := readings.Encode(nil, m.now, m.unit,
		readings.PeerReading{Server: uint32(s.ID), Wait: wait, Age: age, Ratio: ratio, Attempts: count})
	for _, node := range m.usersOf(s) { // guards against a fleet that is busy with what its nodes tell one another
		m.do(SendMessage{To: node, Data: data})
	}
}

// hear takes what another node's attempts at a server came to. Where they brought nothing that counts as a failure
// of this node's own, and where a suspect answers them it is none any more: guards against a server that is found out by
// some requests of each node.
func (m *Module) hear(s *server, said readings.PeerReading) {
	s.pace.RecordPeer(m.now, said.Ratio, said.Attempts)
	switch {
	case said.Attempts == 0 || !m.crowd:
	case said.Ratio >= badWord && s.suspect: // one trial of the fleet's is enough; a word can not put them off for good
		s.trialAt = min(max(s.trialAt, m.now+m.jitter(s.trialWait)), s.triedAt+2*trialLast)
	case said.Ratio >= badWord:
		if s.strikes++; s.strikes >= suspectAt {
			m.accuse(s, "no answer to others")
		}
	case said.Ratio < lateAt && s.suspect && m.now-s.accusedAt > trialFirst:
		m.clear(s, true)
	}
}

// heard takes what another node was told. What is in no known form, older than what it said before or from a node that
// the settings do not count is turned away.
func (m *Module) heard(e MessageReceived) {
	if e.From < 0 || e.From == m.set.Self || !m.planner.Has(uint32(e.From)) {
		m.turnedAway++
		return
	}
	teller := m.tellers[uint32(e.From)]
	if teller == nil {
		teller = &readings.PeerState{}
		m.tellers[uint32(e.From)] = teller
	}
	work, err := readings.Decode(e.Data, m.now, teller, func(said readings.PeerReading) {
		if s := m.known[ServerID(said.Server)]; s != nil && s.State == Ready {
			m.read(s, said.Wait, m.now-said.Age)
			m.hear(s, said)
		}
	})
	if err != nil {
		m.turnedAway++
		return
	}
	if m.heardAt = m.now; m.crowd && work > 0 {
		if m.unit > 0 {
			work = math.Min(math.Max(work, m.unit/unitSwing), m.unit*unitSwing)
		}
		m.learnWork(work)
	}
}

// read takes a reading of a server, if it is news.
func (m *Module) read(s *server, wait float64, at Time) {
	if !s.reading.Update(wait, at) {
		return
	}
	s.later, m.toldAt = 0, m.now
}
