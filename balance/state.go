package balance

// The state that balance.go keeps, and its source of random numbers. Nothing is decided here.

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ivylock/fleet/subset"
	"ivylock/readings"
)

// What is measured, and how it is smoothed.
const (
	rateTau     = 3.0  // s; smoothing of a server's rate of answers
	staleTau    = 3.0  // s; a latency that is not renewed drifts to the fleet's mean
	latencyGain = 0.1  // weight of a new latency in a server's smoothed one
	chanceGain  = 0.01 // weight of an outcome in the share that fails by chance
	classGain   = 0.02 // the same over all servers, where samples are many
	outlierCap  = 4.0  // multiple of the smoothed latency: a heavy request is no sick server
)

// Mode is the overload state of a server as this node sees it: the paper's s = 0, 1, 2.
type Mode int

const (
	Normal Mode = iota
	Overloaded
	Blocking
)

type server struct {
	Server
	mode, told, imposed Mode // by own count; by reports; by a full answer or a report, until it lapses
	imposedUntil        Time
	n, report, later    float64 // own attempts in flight; requests it last reported to hold; own ones since the reading
	reading             readings.Reading
	pace                readings.Slowdown
	dither              float64 // in [0,1), drawn each period
	excess, rate        float64 // s, smoothed latency of a mean request over m.mean; own answers each second, smoothed
	latencyAt, rateAt   Time
	since, reportAt     Time // first listed; last report
	strikes, unanswered int  // weighed failures since the last success; sends since the last answer
	fails               int  // failures since the last success
	muteSince           Time // the first of those sends
	suspect, cold       bool
	trialAt, coldSince  Time
	accusedAt, triedAt  Time
	trialWait           time.Duration
	tokens              float64 // sends that its budget allows while cold
	tokensAt            Time
	quietUntil          Time  // no log line about it until then
	users               []int // other nodes that use it, and the next to; see usersOf
	at                  int   // its place in the plan
}

type class struct {
	Class
	priority, over          float64       // the part of its requests that counts as priority ones; of those over their tenant's share
	limit                   time.Duration // after which an answer is worth nothing; 0: no such time is known
	count, latency          float64       // answers; s, smoothed over all servers
	ambient, base, relative float64       // s, m.mean at the times of its answers; the least that latency has been;
	// and its cost as a multiple of the mean request's
	votes    int
	patience time.Duration // the commonest one: that of first tries
}

type attempt struct {
	server                 *server
	sent                   Time
	wait                   float64 // what waitAt gave when it was sent
	say                    Sending
	ended, mayRun, stopped bool // mayRun: out, or ended without proof that it never ran
	counted                bool // among the server's attempts in flight: the server works on it
	begun                  bool // its answer is being passed on
}

type request struct {
	id                             RequestID
	class                          *class
	arrived, deadline              Time
	spent                          time.Duration // how long its client has waited before this try, at least
	attempts                       []*attempt
	out                            int
	priority, done, started, trial bool // done: it has its final answer; started: a stream has begun
	unheld, pending                bool // its body is used up: it can not be sent again; it is still coming
}

// divide takes how much of what all nodes share is this node's.
func (m *Module) divide(e ShareUpdate) {
	if e.EffectiveNodes >= 1 {
		m.nodes, m.least = e.EffectiveNodes, math.Min(e.EffectiveNodes, float64(m.set.Nodes))
	}
	for name, part := range e.TenantRates {
		if t := m.tenants[name]; t != nil && part >= 0 {
			t.perNode = part
		}
	}
}

type tenant struct {
	perNode, tokens float64
	at              Time
}

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	set                     Settings
	rng                     uint64
	now, periodAt           Time
	out, spare              []Action     // what this call and the last one gave
	timer                   Action       // the one timer
	pools                   [2][]*server // pick's
	unused                  []*request   // over and forgotten, for the next ones
	classes                 map[string]*class
	order                   []*class
	tenants                 map[string]*tenant
	known                   map[ServerID]*server
	list                    []*server // those not gone, in this node's own order
	near                    []*server // those that it uses
	requests                map[RequestID]*request
	open                    []*request // in order of arrival
	duty                    readings.ProbeSchedule
	pace                    float64                        // the mean pace of the servers in use
	tellers                 map[uint32]*readings.PeerState // by number
	planner                 *subset.Planner                // who uses which server
	planned                 *subset.Plan
	mine                    int     // servers at the front of list that are this node's set
	heardAt                 Time    // of the last reading that another node told; 0: none did
	turnedAway              int64   // datagrams
	waits, slots            float64 // s, mean wait of all servers; how many requests one works on at once
	busy                    float64 // requests that this node has out, smoothed
	toldAt                  Time    // of the last reading of any
	size                    float64 // of the mean server in use; 0: sizes tell nothing
	ticking, learned        bool
	answers                 float64
	mean, base, aimed       float64 // s: smoothed latency; uncrowded; at which every class still meets its aim
	fleetRate, peak         float64 // answers each second from the mean server; the most that this has been
	ownThere, allThere      float64 // requests at servers when they were asked, this node's and all; the latest count most
	share                   float64 // this node's part of all requests at servers
	n1, n2, q1, q2          float64 // priority and other arrivals of this period; drop probabilities
	fill, ticks             float64 // sum of how far the fleet was above H, over this period's ticks
	in1, in2, flow, crowded float64 // arrivals a period, smoothed; how many are let in; how many found none normal
	nodes                   float64 // equal nodes, were each one's part of what they share as large as this one's
	least                   float64 // the same, but no more than the settings have: windows are no smaller for want of talk
	sharing                 float64 // by how much the nodes that share a server exceed crowdAt; 1 at least
	answerAt                Time    // of the last answer
	chance                  float64 // share of attempts that fail at servers that work, smoothed
	floor                   float64 // s; the least m.mean seen lately
	unit                    float64 // s, the same of all servers
	bad                     int     // suspects among the servers in use
	crowd                   bool    // so many nodes share a server that the own count there says nothing
	budget                  float64 // further attempts allowed
}

// New makes the module of a node that has just started.
func New(s Settings, seed int64) *Module {
	m := &Module{set: s, rng: uint64(seed)*2 + 1, budget: retryBurst, flow: math.Inf(1), floor: math.Inf(1), sharing: 1, slots: slotsGuess, pace: 1, classes: map[string]*class{},
		tenants: map[string]*tenant{}, known: map[ServerID]*server{}, requests: map[RequestID]*request{},
		tellers: map[uint32]*readings.PeerState{}, planner: subset.NewPlanner(subset.Settings{})}
	m.set.Nodes = max(1, s.Nodes)
	all := make([]subset.Process, m.set.Nodes)
	for i := range all {
		all[i].ID = uint32(i)
	}
	m.planner.SetFleet(all)
	m.nodes = float64(m.set.Nodes)
	m.least = m.nodes
	m.share, m.ownThere, m.allThere = 1/m.nodes, 1, setConns
	if !s.RetryAfterSupported {
		m.set.MaxRetryAfter = 0
	}
	top := 0.0
	for _, c := range s.Classes {
		top = math.Max(top, c.Value)
	}
	for _, c := range s.Classes {
		k := m.classOf(c.Name)
		k.Class, k.priority, k.over = c, rank(c.Value, top), rank(c.Value*s.OverQuotaValueFactor, top)
		if k.limit = c.TargetLatency; c.LateValueFraction > 0 || c.TargetWorkFactor > 0 { // a stretched aim is known by the work alone
			k.limit = 0
		}
	}
	for _, t := range s.Tenants {
		m.tenants[t.Name] = &tenant{perNode: t.Quota / float64(m.set.Nodes)}
	}
	return m
}

// classOf knows every class: one that the settings lack is unsafe and of no worth.
func (m *Module) classOf(name string) *class {
	if m.classes[name] == nil {
		m.classes[name] = &class{relative: 1}
		m.order = append(m.order, m.classes[name])
	}
	return m.classes[name]
}

func (m *Module) serverOf(id ServerID) *server {
	if m.known[id] == nil {
		m.known[id] = &server{since: m.now, quietUntil: m.now}
	}
	return m.known[id]
}

// usersOf gives the other nodes that use a server, and those that would be the next to.
func (m *Module) usersOf(s *server) []int {
	if s.users == nil {
		for _, id := range slices.Concat(m.planned.Users(s.at), m.planned.NextUsers(s.at, tellMore)) {
			if int(id) != m.set.Self {
				s.users = append(s.users, int(id))
			}
		}
	}
	return s.users
}

// NodesUsing lists the other nodes that use a server of the list, and those that would be the next to; none where each node uses
// all servers.
func (m *Module) NodesUsing(id ServerID) []int {
	if s := m.known[id]; s != nil && s.State != Removed && m.crowd {
		return m.usersOf(s)
	}
	return nil
}

// ServersInUse lists the servers that the node uses now: its set by the fleet's plan, and those beyond it that it takes as it sends
// much or as servers of its set are suspected.
func (m *Module) ServersInUse() []ServerID {
	ids := make([]ServerID, len(m.near))
	for i, s := range m.near {
		ids[i] = s.ID
	}
	return ids
}

// Ejected tells whether a server is left out by the module's own choice.
func (m *Module) Ejected(id ServerID) bool {
	s := m.known[id]
	return s != nil && s.suspect
}

// DiscardedDatagrams tells how many datagrams of other nodes were of no use.
func (m *Module) DiscardedDatagrams() int64 { return m.turnedAway }

// maxUnused bounds the requests that are kept for reuse; more are left to the garbage collector.
const maxUnused = 1024

// newRequest gives an empty request, a used one if there is any: no garbage on the ordinary path.
func (m *Module) newRequest() *request {
	n := len(m.unused) - 1
	if n < 0 {
		return &request{}
	}
	r := m.unused[n]
	m.unused = m.unused[:n]
	attempts := r.attempts[:0]
	*r = request{attempts: attempts}
	return r
}

// newAttempt gives a request one more attempt, empty. One that the request had in an earlier life is used again.
func (r *request) newAttempt() *attempt {
	if n := len(r.attempts); n < cap(r.attempts) && r.attempts[:n+1][n] != nil {
		r.attempts = r.attempts[:n+1]
		*r.attempts[n] = attempt{}
		return r.attempts[n]
	}
	r.attempts = append(r.attempts, &attempt{})
	return r.attempts[len(r.attempts)-1]
}

// free takes back a request that nobody knows any more: it is over and nothing is out.
func (m *Module) free(r *request) {
	if len(m.unused) < maxUnused && m.requests[r.id] != r {
		m.unused = append(m.unused, r)
	}
}

// drop forgets a server that is gone with nothing out: guards against growth where servers are replaced all day.
func (m *Module) drop(s *server) {
	if s.State == Removed && s.n <= 0 && m.known[s.ID] == s {
		delete(m.known, s.ID)
	}
}

func (m *Module) do(a Action) { m.out = append(m.out, a) }

// note logs a line about a server, at most one in 5 s, so that one that fails and recovers all the time fills no disk.
func (m *Module) note(s *server, line string) {
	if m.now >= s.quietUntil {
		s.quietUntil = m.now + 5*time.Second
		m.do(Log{fmt.Sprintf("server %d %s", s.ID, line)})
	}
}

func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }

// random gives a number in [0,1) (splitmix64).
func (m *Module) random() float64 {
	m.rng += 0x9e3779b97f4a7c15
	return float64(mix(m.rng)>>11) / (1 << 53)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.random()))
}

// rateOf is unbiased from the first second on.
func (m *Module) rateOf(s *server) float64 {
	return s.rate * decay(m.now-s.rateAt, rateTau) / (1 - decay(m.now-s.since+tickEvery, rateTau))
}

// latencyOf lets a value that is not renewed drift to the fleet's mean, so that the server is tried again.
func (m *Module) latencyOf(s *server) float64 {
	return m.mean + s.excess*decay(m.now-s.latencyAt, staleTau*m.sharing)
}

// learn takes the latency of an answer. Means are plain at first, as the first answers are those of short
// requests.
func (m *Module) learn(s *server, c *class, took time.Duration) {
	t := math.Max(took.Seconds(), 1e-6)
	m.answers++
	c.count++
	gain, l := classGain, t
	if m.crowd { // few samples: follow time, and take the mix of classes out
		gain, l = math.Max(classGain, math.Min(0.1, (m.now-m.answerAt).Seconds()/staleTau)), t/c.relative
	}
	m.answerAt = m.now
	m.mean += math.Max(gain, 1/m.answers) * (l - m.mean)
	c.latency += math.Max(classGain, 1/c.count) * (t - c.latency)
	c.ambient += math.Max(classGain, 1/c.count) * (m.mean - c.ambient)
	c.relative = c.latency / c.ambient // not to m.mean: a rare class must not keep a past trouble's latency
	m.weigh(s, c, took)
}

// blame takes the failures before an answer for chance, unless the server was a suspect by then: where all
// servers fail now and then, a short row of failures tells nothing of one.
func (m *Module) blame(s *server) {
	if !s.suspect {
		for range s.fails {
			m.chance += chanceGain * (1 - m.chance)
		}
		m.chance -= chanceGain * m.chance
	}
	s.fails = 0
}

// weigh takes a server's latency, capped, as a heavy request tells of itself and not of its server.
func (m *Module) weigh(s *server, c *class, took time.Duration) {
	l := m.latencyOf(s)
	l += latencyGain * (math.Min(took.Seconds()/c.relative, outlierCap*math.Max(l, m.mean)) - l)
	s.excess, s.latencyAt = l-m.mean, m.now
}

// close forgets a request once its attempts are in; those still out are called off.
func (m *Module) close(r *request) {
	r.done = true
	for i := range r.attempts {
		m.stop(r, i)
	}
	if r.out == 0 {
		delete(m.requests, r.id)
	}
}

func (m *Module) stop(r *request, i int) {
	if a := r.attempts[i]; m.set.MayCancel && !a.ended && !a.stopped && !r.started {
		a.stopped = true
		m.do(CancelAttempt{ID: r.id, Attempt: i})
	}
}

// spentBefore tells how long a client has waited before this try. First tries all have the same patience, and
// are the largest such group; a try with another one has what is left of its client's total.
func (m *Module) spentBefore(c *class, e *RequestArrived) time.Duration {
	if (e.ClientTimeout - c.patience).Abs() < c.patience/100 {
		c.votes = min(c.votes+2, 50)
		return 0
	}
	if c.votes--; c.votes < 0 {
		c.patience, c.votes = e.ClientTimeout, 0
	}
	if m.set.RetriesMarked && !e.ClientRetry || e.ClientTimeout == c.patience {
		return 0
	}
	return max(0, c.Deadline-e.ClientTimeout)
}

// started takes the beginning of an answer that is passed on in pieces for its answer: what is left is the
// client's pace, not the server's work.
func (m *Module) started(e StreamStarted) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.started || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	m.judge(a.server, r, &AttemptEnded{Elapsed: e.Elapsed, Code: OK})
	r.started, a.begun = true, true
	a.uncount()
}

// count takes an attempt in among those in flight at its server.
func (m *Module) count(a *attempt) {
	if s := a.server; !a.counted {
		a.counted, a.sent = true, m.now
		s.n++
		s.later++
		if s.unanswered++; s.unanswered == 1 {
			s.muteSince = m.now
		}
	}
}

func (a *attempt) uncount() {
	if a.counted {
		a.counted = false
		a.server.n--
	}
}

// whole takes the last byte of a request whose body was still coming.
func (m *Module) whole(id RequestID) {
	if r := m.requests[id]; r != nil && r.pending {
		r.pending = false
		for _, a := range r.attempts {
			if !a.ended {
				m.count(a)
			}
		}
	}
}
