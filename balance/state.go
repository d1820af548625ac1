package balance

// The state kept for the decisions, and the random number generator.

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ivylock/fleet/subset"
	"ivylock/readings"
)

// Smoothing of measurements.
const (
	rateTimeConstant = 3.0  // s, smoothing of a server's answer rate
	latencyDriftTime = 3.0  // s, drift of a stale latency towards the fleet's mean
	latencyGain      = 0.1  // weight of a sample in a server's latency
	failureRateGain  = 0.01 // weight of an outcome in the background failure rate
	classGain        = 0.02 // weight of a sample in means over all servers, which have many samples
	outlierCap       = 4.0  // multiple of the smoothed latency: a heavy request does not make a server slow
)

// Mode is the overload state of a server as this node sees it.
type Mode int

const (
	// Normal servers are preferred.
	Normal Mode = iota
	// Overloaded servers are used if there is no Normal one; some requests are shed.
	Overloaded
	// Blocking servers get no requests.
	Blocking
)

type server struct {
	Server
	// mode follows the node's own in-flight count, reportedMode the server's reports.
	// imposedMode is the effect of a rejection or a report until imposedUntil.
	mode, reportedMode, imposedMode Mode
	imposedUntil                    Time
	// Own attempts in flight; requests in the server's last report; own attempts since the
	// last reading.
	inFlight, reportedInFlight, sentSinceReading float64
	reading                                      readings.Reading
	slowdown                                     readings.Slowdown
	dither                                       float64 // in [0,1), drawn each period
	// Smoothed latency of a mean request minus Module.meanLatency, in s; own answers per
	// second, smoothed.
	excessLatency, rate float64
	latencyAt, rateAt   Time
	// Times of the first listing and of the last report.
	listedAt, reportAt Time
	// Weighted number of failures since the last success; sends since the last answer.
	failureScore, unanswered int
	failures                 int  // unweighted, since the last success
	silentSince              Time // first of the unanswered sends
	ejected, warmup          bool
	nextTrialAt, warmupStart Time
	ejectedAt, lastTrialAt   Time
	trialBackoff             time.Duration
	tokens                   float64 // sends allowed while warming up
	tokensAt                 Time
	logQuietUntil            Time  // no log line about this server until then
	users                    []int // other nodes that use it, and the next candidates; see nodesUsing
	planIndex                int   // index in the assignment
}

type class struct {
	Class
	// Fraction of requests that count as priority; the same for requests over their
	// tenant's quota.
	priority, overQuotaPriority float64
	valueLimit                  time.Duration // age at which an answer has no value; 0: unknown
	// Number of answers; latency smoothed over all servers, in s.
	count, latency float64
	// Module.meanLatency at the times of the class's answers and the lowest latency, both
	// in s; cost as a multiple of the mean request.
	fleetLatency, baseLatency, relativeCost float64
	firstTryVotes                           int
	firstTryTimeout                         time.Duration // most common timeout, which is that of first tries
}

type attempt struct {
	server                       *server
	sentAt                       Time
	waitAtSend                   float64 // result of Module.expectedWait
	sending                      Sending
	ended, mayHaveRun, cancelled bool // mayHaveRun: running, or ended without proof that it never ran
	counted                      bool // among the server's attempts in flight
	streaming                    bool // the answer is being streamed
	hopeless                     bool // the client's time was too short for an answer: no evidence on the server
	postponed                    bool // nothing was sent, and the request waits; see postpone
}

type request struct {
	id                RequestID
	class             *class
	arrived, deadline Time
	waited            time.Duration // minimum time the client spent on earlier tries
	attempts          []*attempt
	outstanding       int
	// done: the request has its final answer. streamStarted: its answer has begun.
	priority, done, streamStarted, trial bool
	// The body cannot be sent again; it has not been sent; its last byte has not come from the client.
	bodyConsumed, bodyPending, bodyArriving bool
	postponement                            postponement
}

// applyShares applies this node's share of the fleet-wide limits.
func (m *Module) applyShares(update ShareUpdate) {
	if update.EffectiveNodes >= 1 {
		m.effectiveNodes, m.windowNodes =
			update.EffectiveNodes, math.Min(update.EffectiveNodes, float64(m.settings.Nodes))
	}
	for name, share := range update.TenantRates {
		if t := m.tenants[name]; t != nil && share >= 0 {
			t.rate = share
		}
	}
}

type tenant struct {
	rate, tokens float64
	refilledAt   Time
}

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	settings              Settings
	rngState              uint64
	now, periodStart      Time
	actions, spareActions []Action     // results of the current and the previous call
	timer                 Action       // the only timer
	pools                 [2][]*server // scratch space of pickServer
	recycled              []*request   // finished requests for reuse
	classes               map[string]*class
	classOrder            []*class
	tenants               map[string]*tenant
	known                 map[ServerID]*server
	servers               []*server // all that are not removed, in this node's order of preference
	inUse                 []*server // the subset this node sends to
	requests              map[RequestID]*request
	open                  []*request // in order of arrival
	probes                readings.ProbeSchedule
	slowdown              float64                        // mean over the servers in use
	peers                 map[uint32]*readings.PeerState // by node number
	planner               *subset.Planner                // assigns servers to nodes
	assignment            *subset.Plan
	subsetSize            int   // number of entries of servers, from the front, that are assigned to this node
	peerReadingAt         Time  // last reading received from a peer; 0: none
	discarded             int64 // datagrams
	// Mean wait of all servers, in s; requests that a server works on at once.
	meanWait, concurrency float64
	smoothedOpen          float64 // number of open requests, smoothed
	readingAt             Time    // last reading, own or received
	meanUsedSize          float64 // of the servers in use; 0: unknown
	ticking, learned      bool
	answers               float64
	// Smoothed latency, unloaded latency, and the latency at which every class meets its
	// target, all in s.
	meanLatency, baseLatency, targetLatency float64
	// Answers per second of the mean server, and the highest value of that.
	meanRate, peakRate float64
	// Own and total requests at probed servers, decaying sums.
	ownInFlight, allInFlight float64
	inFlightShare            float64 // this node's share of all requests at servers
	// Priority (1) and other arrivals (2) of this period; their drop probabilities.
	n1, n2, q1, q2 float64
	// Sum of how far the fleet was above H over the ticks of this period, and the number of
	// ticks.
	overloadSum, ticks float64
	// Smoothed priority and other arrivals per period; admitted arrivals per period;
	// arrivals that found no Normal server.
	arrivals1, arrivals2, admitted, noNormal float64
	// Number of nodes if each had this node's share of the fleet-wide limits.
	effectiveNodes float64
	windowNodes    float64 // effectiveNodes, at most the configured number
	sampleScarcity float64 // nodes per server relative to ownSampleNodes; 1 in a small fleet
	lastAnswerAt   Time    // time of the last answer
	failureRate    float64 // background failure rate of healthy servers, smoothed
	minLatency     float64 // s, lowest recent meanLatency
	serviceTime    float64 // s, of a mean request at a mean server
	ejectedCount   int     // ejected servers among those in use
	largeFleet     bool    // so many nodes share a server that own counts are too small
	retryTokens    float64 // retries allowed
}

// New returns the module of a node that has just started.
func New(config Settings, seed int64) *Module {
	module := &Module{settings: config, rngState: uint64(seed)*2 + 1, retryTokens: retryBurst, admitted: math.Inf(1),
		minLatency: math.Inf(1), sampleScarcity: 1, concurrency: initialConcurrency, slowdown: 1,
		classes: map[string]*class{}, tenants: map[string]*tenant{}, known: map[ServerID]*server{},
		requests: map[RequestID]*request{},
		peers:    map[uint32]*readings.PeerState{}, planner: subset.NewPlanner(subset.Settings{})}
	module.settings.Nodes = max(1, config.Nodes)
	nodes := make([]subset.Process, module.settings.Nodes)
	for i := range nodes {
		nodes[i].ID = uint32(i)
	}
	module.planner.SetFleet(nodes)
	module.effectiveNodes = float64(module.settings.Nodes)
	module.windowNodes = module.effectiveNodes
	module.inFlightShare, module.ownInFlight, module.allInFlight = 1/module.effectiveNodes, 1, nodesPerServer
	if !config.RetryAfterSupported {
		module.settings.MaxRetryAfter = 0
	}
	maxValue := 0.0
	for _, spec := range config.Classes {
		maxValue = math.Max(maxValue, spec.Value)
	}
	for _, spec := range config.Classes {
		state := module.classOf(spec.Name)
		state.Class, state.priority, state.overQuotaPriority = spec, priorityFraction(spec.Value, maxValue),
			priorityFraction(spec.Value*config.OverQuotaValueFactor, maxValue)
		// A target that depends on the work is unknown.
		if state.valueLimit = spec.TargetLatency; spec.LateValueFraction > 0 || spec.TargetWorkFactor > 0 {
			state.valueLimit = 0
		}
	}
	for _, quota := range config.Tenants {
		module.tenants[quota.Name] = &tenant{rate: quota.Quota / float64(module.settings.Nodes)}
	}
	return module
}

// classOf returns the state of a class. A class missing in the settings is Unsafe and has
// no value.
func (m *Module) classOf(name string) *class {
	if m.classes[name] == nil {
		m.classes[name] = &class{relativeCost: 1}
		m.classOrder = append(m.classOrder, m.classes[name])
	}
	return m.classes[name]
}

func (m *Module) serverOf(id ServerID) *server {
	if m.known[id] == nil {
		m.known[id] = &server{listedAt: m.now, logQuietUntil: m.now}
	}
	return m.known[id]
}

// nodesUsing returns the other nodes that use a server and the next candidates.
func (m *Module) nodesUsing(srv *server) []int {
	if srv.users == nil {
		for _, id := range slices.Concat(m.assignment.Users(srv.planIndex),
			m.assignment.NextUsers(srv.planIndex, extraPeers)) {
			if int(id) != m.settings.Self {
				srv.users = append(srv.users, int(id))
			}
		}
	}
	return srv.users
}

// NodesUsing returns the other nodes that use a listed server and the next candidates. It
// returns none where each node uses all servers.
func (m *Module) NodesUsing(id ServerID) []int {
	if srv := m.known[id]; srv != nil && srv.State != Removed && m.largeFleet {
		return m.nodesUsing(srv)
	}
	return nil
}

// ServersInUse returns the servers that the node uses: its assigned subset, and further
// servers while it has many open requests or servers of its subset are ejected.
func (m *Module) ServersInUse() []ServerID {
	ids := make([]ServerID, len(m.inUse))
	for i, srv := range m.inUse {
		ids[i] = srv.ID
	}
	return ids
}

// Ejected reports whether a server is excluded as an outlier.
func (m *Module) Ejected(id ServerID) bool {
	srv := m.known[id]
	return srv != nil && srv.ejected
}

// DiscardedDatagrams returns the number of datagrams from peers that were not usable.
func (m *Module) DiscardedDatagrams() int64 { return m.discarded }

// maxRecycled bounds the requests kept for reuse.
const maxRecycled = 1024

// newRequest returns an empty request, recycled if possible to avoid an allocation.
func (m *Module) newRequest() *request {
	n := len(m.recycled) - 1
	if n < 0 {
		return &request{}
	}
	req := m.recycled[n]
	m.recycled = m.recycled[:n]
	attempts := req.attempts[:0]
	*req = request{attempts: attempts}
	return req
}

// newAttempt adds an empty attempt to a request, reusing the memory of an earlier one.
func (r *request) newAttempt() *attempt {
	if n := len(r.attempts); n < cap(r.attempts) && r.attempts[:n+1][n] != nil {
		r.attempts = r.attempts[:n+1]
		*r.attempts[n] = attempt{}
		return r.attempts[n]
	}
	r.attempts = append(r.attempts, &attempt{})
	return r.attempts[len(r.attempts)-1]
}

// recycle keeps a finished request without attempts in flight for reuse.
func (m *Module) recycle(req *request) {
	if len(m.recycled) < maxRecycled && m.requests[req.id] != req {
		m.recycled = append(m.recycled, req)
	}
}

// forgetRemoved deletes a removed server without attempts in flight, so that replaced
// servers do not accumulate.
func (m *Module) forgetRemoved(srv *server) {
	if srv.State == Removed && srv.inFlight <= 0 && m.known[srv.ID] == srv {
		delete(m.known, srv.ID)
	}
}

func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }

// logServer logs a line about a server, at most once in 5 s.
func (m *Module) logServer(srv *server, line string) {
	if m.now >= srv.logQuietUntil {
		srv.logQuietUntil = m.now + 5*time.Second
		m.emit(Log{fmt.Sprintf("server %d %s", srv.ID, line)})
	}
}

// decay returns exp(-since/tau), with tau in s.
func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }

// random returns a number in [0,1) (splitmix64).
func (m *Module) random() float64 {
	m.rngState += 0x9e3779b97f4a7c15
	return float64(mix(m.rngState)>>11) / (1 << 53)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// jitter draws uniformly from 0.5 to 1.5 times a duration.
func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.random()))
}

// rateOf returns a server's smoothed answer rate, corrected for the time since it was
// listed.
func (m *Module) rateOf(srv *server) float64 {
	return srv.rate * decay(m.now-srv.rateAt, rateTimeConstant) /
		(1 - decay(m.now-srv.listedAt+tickInterval, rateTimeConstant))
}

// latencyOf returns a server's smoothed latency. A stale value drifts to the fleet's mean,
// so that the server is tried again.
func (m *Module) latencyOf(srv *server) float64 {
	return m.meanLatency + srv.excessLatency*decay(m.now-srv.latencyAt, latencyDriftTime*m.sampleScarcity)
}

// learnLatency records the latency of an answer. Means start unweighted, because the first
// answers are those of short requests.
func (m *Module) learnLatency(srv *server, cls *class, elapsed time.Duration) {
	seconds := math.Max(elapsed.Seconds(), 1e-6)
	m.answers++
	cls.count++
	gain, sample := classGain, seconds
	if m.largeFleet { // few samples: weight them by time, and correct for the class
		gain, sample =
			math.Max(classGain, math.Min(0.1, (m.now-m.lastAnswerAt).Seconds()/latencyDriftTime)),
			seconds/cls.relativeCost
	}
	m.lastAnswerAt = m.now
	m.meanLatency += math.Max(gain, 1/m.answers) * (sample - m.meanLatency)
	cls.latency += math.Max(classGain, 1/cls.count) * (seconds - cls.latency)
	cls.fleetLatency += math.Max(classGain, 1/cls.count) * (m.meanLatency - cls.fleetLatency)
	// Relative to meanLatency at the same times: a rare class would keep an outdated cost.
	cls.relativeCost = cls.latency / cls.fleetLatency
	m.updateServerLatency(srv, cls, elapsed)
}

// updateFailureRate counts the failures before an answer as background failures unless the
// server was ejected: where all servers fail at times, a short run of failures is no sign
// of a bad server.
func (m *Module) updateFailureRate(srv *server) {
	if !srv.ejected {
		for range srv.failures {
			m.failureRate += failureRateGain * (1 - m.failureRate)
		}
		m.failureRate -= failureRateGain * m.failureRate
	}
	srv.failures = 0
}

// updateServerLatency updates a server's latency. The sample is capped, so that one
// expensive request does not mark its server as slow.
func (m *Module) updateServerLatency(srv *server, cls *class, elapsed time.Duration) {
	latency := m.latencyOf(srv)
	latency += latencyGain *
		(math.Min(elapsed.Seconds()/cls.relativeCost, outlierCap*math.Max(latency, m.meanLatency)) - latency)
	srv.excessLatency, srv.latencyAt = latency-m.meanLatency, m.now
}

// close cancels the attempts in flight and forgets the request once they have ended.
func (m *Module) close(req *request) {
	req.done = true
	for i := range req.attempts {
		m.cancelAttempt(req, i)
	}
	if req.outstanding == 0 {
		delete(m.requests, req.id)
	}
}

func (m *Module) cancelAttempt(req *request, i int) {
	if att := req.attempts[i]; m.settings.MayCancel && !att.ended && !att.cancelled && !req.streamStarted {
		att.cancelled = true
		m.emit(CancelAttempt{ID: req.id, Attempt: i})
	}
}

// earlierWait returns how long a client has waited before this try. First tries share one
// timeout, which is the most common one; a try with another timeout has the rest of the
// client's total time.
func (m *Module) earlierWait(cls *class, event *RequestArrived) time.Duration {
	if (event.ClientTimeout - cls.firstTryTimeout).Abs() < cls.firstTryTimeout/100 {
		cls.firstTryVotes = min(cls.firstTryVotes+2, 50)
		return 0
	}
	if cls.firstTryVotes--; cls.firstTryVotes < 0 {
		cls.firstTryTimeout, cls.firstTryVotes = event.ClientTimeout, 0
	}
	if m.settings.RetriesMarked && !event.ClientRetry || event.ClientTimeout == cls.firstTryTimeout {
		return 0
	}
	return max(0, cls.Deadline-event.ClientTimeout)
}

// streamStarted counts the start of a streamed answer as the answer: the rest depends
// on how fast the client reads and not on the server.
func (m *Module) streamStarted(event StreamStarted) {
	req := m.requests[event.ID]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) || req.streamStarted ||
		req.attempts[event.Attempt].ended {
		return
	}
	att := req.attempts[event.Attempt]
	m.recordOutcome(att.server, req, &AttemptEnded{Elapsed: event.Elapsed, Code: OK})
	req.streamStarted, att.streaming = true, true
	att.uncountInFlight()
}

// countInFlight adds an attempt to its server's in-flight count.
func (m *Module) countInFlight(att *attempt) {
	if srv := att.server; !att.counted {
		att.counted, att.sentAt = true, m.now
		srv.inFlight++
		srv.sentSinceReading++
		if att.hopeless {
			return
		}
		if srv.unanswered++; srv.unanswered == 1 {
			srv.silentSince = m.now
		}
	}
}

// isHopeless reports whether the client's time is far shorter than a server's answer takes. That
// such an attempt gets no answer says nothing about the server.
func (m *Module) isHopeless(req *request, srv *server) bool {
	expected := math.Min(m.meanLatency, m.latencyOf(srv)) * math.Min(1, req.class.relativeCost)
	return (req.deadline - m.now).Seconds() < hopelessFraction*expected
}

func (a *attempt) uncountInFlight() {
	if a.counted {
		a.counted = false
		a.server.inFlight--
	}
}

// handleBodySent processes the end of a request body that was still arriving.
func (m *Module) handleBodySent(id RequestID) {
	if req := m.requests[id]; req != nil && req.bodyPending {
		req.bodyPending = false
		for _, att := range req.attempts {
			if !att.ended {
				m.countInFlight(att)
			}
		}
	}
}

// handleBodyReceived sets the deadline of a request that had none before its last byte. The client's
// time counts from now on.
func (m *Module) handleBodyReceived(event RequestBodyReceived) {
	if req := m.requests[event.ID]; req != nil {
		if req.bodyArriving {
			req.bodyArriving, req.arrived = false, m.now
		}
		req.deadline = min(req.deadline, m.now+event.ClientTimeout)
	}
}
