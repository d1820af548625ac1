package steer

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"ivylock/balance"
	"ivylock/fleet/subset"
)

const (
	reportTTL           = 3 * time.Second         // how long a proxy's report counts
	decayTau            = 60.0                    // s; decay of peak rates, growth of the base delay
	baseTau             = 10.0                    // s; fall of the base delay
	rateTau             = 2.0                     // s; smoothing of rates and of requests in flight
	targetFraction      = 0.45                    // fraction of the shortest target latency a server's delay may take
	queueFactor         = 4.0                     // longest delay of a normal server, in multiples of the base delay
	minHighMark         = 8.0                     // least high mark of a server, in requests over all proxies
	lowFraction         = 0.7                     // low mark, as a fraction of the high mark
	blockFactor         = 2.0                     // blocking mark, as a multiple of the high mark
	minAnswered         = 30                      // completed requests before a server's estimates are used
	maxErrorFraction    = 0.5                     // error ratio from which a server is excluded
	minErrorSamples     = 8                       // completed requests needed for the error ratio
	silenceTimeout      = 1500 * time.Millisecond // silent after this long without a response to open requests
	maxExcludedFraction = 0.34                    // fraction of a zone's servers that load reports alone may exclude
	suspicionTime       = 2 * time.Second
	minExclusion        = 2 * time.Second // doubled for each further one in a row
	maxExclusion        = 30 * time.Second
	probeInterval       = 500 * time.Millisecond // for suspected and excluded servers
	fullUtilisation     = 0.95                   // reported utilisation from which a server is overloaded
	requiredProbes      = 2                      // successful ones in a row that end an exclusion
)

// server is a listed server with the estimates for it.
type server struct {
	Server
	weightUnset  bool   // weight is assigned at the end of the list update
	podName      string // zone and pod, the input of groupRanking
	groupRanking subset.GroupRanking
	warmupFrom   Time // start of the warm-up; valid only if cold
	cold         bool

	inFlight         float64 // sum of the proxies' last reports
	answerRate       float64 // successful responses per second; sum of the last reports
	smoothedRate     float64 // answerRate, smoothed
	peakRate         float64 // highest smoothedRate, scaled to a warm server; decays
	answeredCount    float64 // completed requests, errors included
	smoothedInFlight float64 // inFlight, smoothed
	silentSince      Time    // since when requests are open without a response; 0: not silent
	recent           struct{ ok, errors float64 }

	mode            balance.Mode
	overloadedUntil Time    // the server reported itself as full
	baseWeight      float64 // see updateBaseWeights
	weight          float64 // without the limit for cold servers; 1 is the mean

	suspectUntil  Time // probed until then
	excluded      bool
	excludedUntil Time // no return before then
	exclusions    int  // consecutive ones
	probedAt      Time
	goodProbes    int
}

// proxy is a connected proxy and its last report.
type proxy struct {
	id                      ProxyID
	zone                    string
	group                   int
	fullView                bool // it has enough traffic to see all servers
	reportedAt              Time // time of the last report; 0: none
	sendRate                float64
	priorityRate, otherRate float64 // arrivals per second
	reported                map[*server]serverReport
	// The proxy does not apply what it receives, so its reports do not show what servers can do.
	unreliable bool
}

// serverReport is a proxy's last report of a server. It counts until the proxy's next report, so
// that requests in flight and response rate belong to the same interval.
type serverReport struct{ inFlight, answerRate float64 }

// Module makes the decisions. It is not safe for concurrent use.
type Module struct {
	settings Settings
	now      Time
	actions  []Action

	servers       map[ServerID]*server
	sortedServers []*server // by ID
	byAddr        map[string]*server
	proxies       map[ProxyID]*proxy
	sortedProxies []*proxy // by ID, so that sums do not depend on map order
	confirmed     bool     // a full list was received since the start or the last process pause
	listReceived  bool     // a full list was received in this run

	unitPeakRate   float64 // peak rate of warm servers per base weight; kept when they are gone
	baseDelay      float64 // s; lowest mean delay, growing slowly
	meanDelay      float64 // s; current mean delay
	targetDelay    float64 // s; longest delay that the target latencies allow
	sheddingByZone map[string]*zoneShedding
	localFraction  map[string]float64    // fraction of their own requests that overloaded zones keep
	spilloverAt    Time                  // last update of localFraction
	weightsAt      Time                  // last update of the weights
	composingZones map[string]*zoneState // set while a state is composed
	lastState      *State
	publishedAt    Time // last publication that was not urgent
	dirty          bool // a change waits for WeightInterval
	urgent         bool

	// Discarded counts servers, proxies and loads that exceeded a limit or were unknown.
	Discarded struct{ Servers, Proxies, Loads uint64 }
}

// New returns a Module that knows no servers. It returns an error for settings out of range.
func New(settings Settings) (*Module, error) {
	setDefault := func(value *float64, defaultValue float64) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&settings.WarmupStartFraction, 0.32)
	setDefault(&settings.OverloadFactor, 2.5)
	setDefault(&settings.MaxWeightFactor, 1.25)
	if settings.WarmupTime == 0 {
		settings.WarmupTime = 8300 * time.Millisecond
	}
	if settings.WeightInterval == 0 {
		settings.WeightInterval = time.Second
	}
	if settings.MaxServers == 0 {
		settings.MaxServers = 4096
	}
	if settings.MaxProxies == 0 {
		settings.MaxProxies = 4096
	}
	switch {
	case len(settings.Classes) == 0:
		return nil, fmt.Errorf("steer: no request class")
	case !(settings.WarmupStartFraction > 0 && settings.WarmupStartFraction <= 1):
		return nil, fmt.Errorf("steer: WarmupStartFraction %v is not in (0, 1]", settings.WarmupStartFraction)
	case !(settings.OverloadFactor >= 1):
		return nil, fmt.Errorf("steer: OverloadFactor %v is less than 1", settings.OverloadFactor)
	case !(settings.MaxWeightFactor > 1):
		return nil, fmt.Errorf("steer: MaxWeightFactor %v is not over 1", settings.MaxWeightFactor)
	case settings.SubsetSize < 0:
		return nil, fmt.Errorf("steer: SubsetSize %d is negative", settings.SubsetSize)
	case settings.WarmupTime < 0, settings.WeightInterval < 0, settings.MaxServers < 0, settings.MaxProxies < 0:
		return nil, fmt.Errorf("steer: negative duration or limit")
	}
	m := &Module{settings: settings, servers: map[ServerID]*server{}, byAddr: map[string]*server{},
		proxies: map[ProxyID]*proxy{}, localFraction: map[string]float64{}, sheddingByZone: map[string]*zoneShedding{}}
	m.targetDelay = math.Inf(1)
	for _, c := range settings.Classes {
		if c.TargetLatency > 0 {
			m.targetDelay = math.Min(m.targetDelay, targetFraction*c.TargetLatency.Seconds())
		}
	}
	return m, nil
}

// Handle processes an event and returns the resulting actions in order. The slice is valid until
// the next call.
func (m *Module) Handle(now Time, e Event) []Action {
	m.now, m.actions = now, m.actions[:0]
	switch e := e.(type) {
	case ListReceived:
		m.handleList(e)
	case ProxyReliability:
		m.setReliability(e)
	case ProxyJoined:
		m.addProxy(e)
	case ProxyLeft:
		m.removeProxy(e.Proxy)
	case LoadReported:
		m.handleLoadReport(e)
	case ProbeResult:
		m.handleProbeResult(e)
	case ProcessPaused:
		m.urgent = m.urgent || m.confirmed
		m.confirmed = false
	case Tick:
		m.tick()
	}
	m.publish()
	return m.actions
}

// updateBaseWeights sets each server's base weight: its relative size from the list, or 1 for all
// if any server has none.
func (m *Module) updateBaseWeights() {
	allSized := true
	for _, s := range m.sortedServers {
		allSized = allSized && s.RelativeSize > 0
	}
	for _, s := range m.sortedServers {
		if s.baseWeight = 1; allSized {
			s.baseWeight = s.RelativeSize
		}
	}
}

// ServerCount returns the number of known servers.
func (m *Module) ServerCount() int { return len(m.servers) }

// ProxyCount returns the number of connected proxies.
func (m *Module) ProxyCount() int { return len(m.proxies) }

func (m *Module) log(format string, args ...any) {
	m.actions = append(m.actions, Log{fmt.Sprintf(format, args...)})
}

// handleList applies a list. A list that may be out of date neither confirms anything nor ends a
// drain.
func (m *Module) handleList(e ListReceived) {
	switch {
	case e.Kind == ListFailed:
		return // keep the known servers: the source announced no drain
	case e.Kind == ListCached && m.listReceived:
		return // out of date: this run has received a full list
	}
	first := !m.listReceived
	seen := make(map[ServerID]bool, len(e.Servers))
	for _, entry := range e.Servers {
		if seen[entry.ID] {
			continue
		}
		srv := m.servers[entry.ID]
		if srv == nil && len(m.servers) >= m.settings.MaxServers {
			m.Discarded.Servers++
			continue
		}
		seen[entry.ID] = true
		switch {
		case srv == nil:
			srv = &server{Server: entry, weight: 1, weightUnset: true}
			m.servers[entry.ID] = srv
			m.dirty = true
			// A server that appears after the first full list has just started, whatever its
			// StartedAt says. For the first list only StartedAt is known.
			if entry.StartedAt > 0 && m.now-entry.StartedAt < m.settings.WarmupTime {
				m.startWarmup(srv, entry.StartedAt)
			} else if !first {
				m.startWarmup(srv, m.now)
			}
		case srv.Addr != entry.Addr || entry.StartedAt > srv.StartedAt:
			srv.Server, srv.excluded = entry, srv.excluded && srv.Addr == entry.Addr
			m.startWarmup(srv, max(entry.StartedAt, m.now-m.settings.WarmupTime))
			m.urgent = true
		default:
			if entry.Draining && !srv.Draining {
				m.urgent = true
			}
			if srv.Draining && !entry.Draining {
				m.dirty = true
			}
			if srv.Zone != entry.Zone || srv.Cell != entry.Cell || srv.RelativeSize != entry.RelativeSize {
				m.dirty = true
			}
			srv.Server = entry
		}
	}
	for id := range m.servers {
		if !seen[id] {
			m.removeServer(id)
			m.urgent = true
		}
	}
	m.sortedServers = m.sortedServers[:0]
	for _, srv := range m.servers {
		m.sortedServers = append(m.sortedServers, srv)
	}
	sort.Slice(m.sortedServers, func(i, j int) bool { return m.sortedServers[i].ID < m.sortedServers[j].ID })
	clear(m.byAddr)
	for _, srv := range m.sortedServers {
		m.byAddr[srv.Addr] = srv
	}
	for _, srv := range m.sortedServers {
		if podName := fmt.Sprint(srv.Zone, "/", srv.Cell); m.settings.SubsetSize > 0 && podName != srv.podName {
			srv.podName, srv.groupRanking = podName, subset.RankGroups(podName)
		}
	}
	m.updateBaseWeights()
	mean := 0.0
	for _, srv := range m.sortedServers {
		mean += srv.baseWeight / float64(len(m.sortedServers))
	}
	for _, srv := range m.sortedServers {
		if srv.weightUnset {
			srv.weightUnset, srv.weight =
				false, math.Min(maxRelativeWeight, math.Max(minRelativeWeight, srv.baseWeight/mean))
		}
	}
	if e.Kind == ListFull && !m.confirmed {
		m.confirmed, m.listReceived, m.urgent = true, true, true
	}
}

func (m *Module) removeServer(id ServerID) {
	s := m.servers[id]
	for _, p := range m.sortedProxies {
		delete(p.reported, s)
	}
	delete(m.servers, id)
}

func (m *Module) startWarmup(s *server, since Time) {
	s.cold, s.warmupFrom, s.weightUnset, s.silentSince = true, since, true, 0
	// peakRate is that of the warm server and stays.
	s.inFlight, s.answerRate, s.smoothedInFlight, s.smoothedRate, s.answeredCount = 0, 0, 0, 0, 0
	for _, p := range m.sortedProxies {
		delete(p.reported, s)
	}
}

// warmupFraction returns the fraction of its capacity that a server has now.
func (m *Module) warmupFraction(s *server) float64 {
	if !s.cold {
		return 1
	}
	fraction := m.settings.WarmupStartFraction +
		(1-m.settings.WarmupStartFraction)*float64(m.now-s.warmupFrom)/float64(m.settings.WarmupTime)
	return math.Min(1, math.Max(m.settings.WarmupStartFraction, fraction))
}

func (m *Module) addProxy(e ProxyJoined) {
	if p := m.proxies[e.Proxy]; p != nil {
		p.zone = e.Zone
		return
	}
	if len(m.proxies) >= m.settings.MaxProxies {
		m.Discarded.Proxies++
		return
	}
	p := &proxy{id: e.Proxy, zone: e.Zone, group: subset.GroupOf(string(e.Proxy)), reported: map[*server]serverReport{}}
	m.proxies[e.Proxy] = p
	i, _ := slices.BinarySearchFunc(m.sortedProxies, p, byID)
	m.sortedProxies = slices.Insert(m.sortedProxies, i, p)
	m.dirty = m.dirty || m.anyWarmingUp() // the new proxy adds traffic to cold servers
}

func (m *Module) removeProxy(id ProxyID) {
	if p := m.proxies[id]; p != nil {
		m.discountPeakRates(p)
		m.clearReport(p)
		delete(m.proxies, id)
		i, _ := slices.BinarySearchFunc(m.sortedProxies, p, byID)
		m.sortedProxies = slices.Delete(m.sortedProxies, i, i+1)
	}
}

// discountPeakRates reduces the servers' peak rates by the proxy's fraction of their traffic.
// Guards against two control services that both count on a server's whole capacity after its
// proxies moved from one to the other, and overload it together while it is cold.
func (m *Module) discountPeakRates(p *proxy) {
	for srv, report := range p.reported {
		if srv.answerRate > 0 {
			srv.peakRate *= 1 - math.Min(1, report.answerRate/srv.answerRate)
		}
	}
}

func byID(a, b *proxy) int { return strings.Compare(string(a.id), string(b.id)) }

// withdrawReport subtracts a proxy's last report from the servers' sums.
func (m *Module) withdrawReport(p *proxy) {
	for srv, report := range p.reported {
		srv.inFlight, srv.answerRate =
			math.Max(0, srv.inFlight-report.inFlight), math.Max(0, srv.answerRate-report.answerRate)
	}
	clear(p.reported)
}

// setReliability sets whether a proxy's reports are used for estimates.
func (m *Module) setReliability(e ProxyReliability) {
	if p := m.proxies[e.Proxy]; p != nil && p.unreliable == e.Reliable {
		p.unreliable = !e.Reliable
		if p.unreliable {
			m.discountPeakRates(p)
			for srv, report := range p.reported {
				srv.answerRate = math.Max(0, srv.answerRate-report.answerRate)
				p.reported[srv] = serverReport{inFlight: report.inFlight}
			}
		}
	}
}

// clearReport discards all that a proxy has reported.
func (m *Module) clearReport(p *proxy) {
	m.withdrawReport(p)
	p.reportedAt, p.sendRate, p.priorityRate, p.otherRate = 0, 0, 0, 0
}

// handleLoadReport applies a load report. Loads of unknown servers are discarded.
func (m *Module) handleLoadReport(e LoadReported) {
	p := m.proxies[e.Proxy]
	if p == nil || e.Interval <= 0 {
		m.Discarded.Loads++
		return
	}
	seconds := math.Max(e.Interval.Seconds(), 0.01)
	m.withdrawReport(p)
	sendRate := 0.0
	for _, load := range e.Loads {
		srv := m.servers[load.Server]
		if load.Server == "" {
			srv = m.byAddr[load.Addr]
		}
		if srv == nil {
			m.Discarded.Loads++
			continue
		}
		// Guards against faulty reports: no server has that many open requests of one proxy.
		inFlight := math.Min(float64(load.InFlight), 1e5)
		answerRate := float64(load.OK) / seconds // without errors: a full server returns those fast
		if p.unreliable {
			answerRate = 0
		}
		previous := p.reported[srv]
		p.reported[srv] = serverReport{previous.inFlight + inFlight, previous.answerRate + answerRate}
		srv.inFlight += inFlight
		srv.answerRate += answerRate
		sendRate += float64(load.Issued) / seconds
		if p.unreliable { // its open requests still load the server
			continue
		}
		srv.answeredCount += float64(load.OK + load.Errors)
		srv.recent.ok += float64(load.OK)
		srv.recent.errors += float64(load.Errors)
		if load.Utilisation >= fullUtilisation {
			srv.overloadedUntil = m.now + reportTTL // expires unless reported again
		}
		if load.OK > 0 {
			srv.silentSince = 0
		} else if load.InFlight > 0 && srv.silentSince == 0 {
			srv.silentSince = m.now
		}
	}
	p.reportedAt, p.sendRate = m.now, sendRate
	p.priorityRate, p.otherRate = float64(e.PriorityArrivals)/seconds, float64(e.OtherArrivals)/seconds
}

// handleProbeResult applies the outcome of a probe. A failed one excludes a suspected server.
// Successful ones end an exclusion; the server then counts as cold, since it may have been
// restarted.
func (m *Module) handleProbeResult(e ProbeResult) {
	s := m.servers[e.Server]
	switch {
	case s == nil:
	case !s.excluded && m.now < s.suspectUntil && !e.OK:
		m.exclude(s, "responds neither to requests nor to a probe")
	case !s.excluded:
	case !e.OK:
		s.goodProbes = 0
		s.excludedUntil = max(s.excludedUntil, m.now+probeInterval)
	default:
		if s.goodProbes++; s.goodProbes < requiredProbes || m.now < s.excludedUntil {
			return
		}
		s.excluded, s.goodProbes = false, 0
		m.startWarmup(s, m.now)
		s.weightUnset, s.weight, m.dirty = false, math.Min(1, s.weight), true
		m.log("server %s responds again", s.ID)
	}
}

func (m *Module) anyWarmingUp() bool {
	return slices.ContainsFunc(m.sortedServers, func(s *server) bool { return s.cold })
}

// tick expires old reports, updates the estimates and revises the decisions.
func (m *Module) tick() {
	for _, p := range m.sortedProxies {
		if p.reportedAt != 0 && m.now-p.reportedAt > reportTTL {
			m.clearReport(p)
		}
	}
	m.updateEstimates()
	m.detectFailures()
	m.updateWeights()
	m.updateShedding()
	m.updateSpillover()
	if m.lastState != nil && m.requestLimit() != m.lastState.View("").MaxRequests {
		m.dirty = true
	}
	for _, s := range m.sortedServers {
		if (s.excluded || m.now < s.suspectUntil) && m.now-s.probedAt >= probeInterval {
			s.probedAt = m.now
			m.actions = append(m.actions, Probe{s.ID})
		}
		if s.cold {
			m.dirty = true
			if m.now-s.warmupFrom >= m.settings.WarmupTime {
				s.cold = false
			}
		}
	}
}

// updateEstimates updates rates, delays and modes.
func (m *Module) updateEstimates() {
	seconds := TickInterval.Seconds()
	inFlight, answerRate := 0.0, 0.0
	for _, s := range m.sortedServers {
		s.smoothedRate += (s.answerRate - s.smoothedRate) * seconds / rateTau
		s.smoothedInFlight += (s.inFlight - s.smoothedInFlight) * seconds / rateTau
		s.peakRate = math.Max(s.peakRate*(1-seconds/decayTau), s.smoothedRate/m.warmupFraction(s))
		if !s.excluded && s.answeredCount >= minAnswered {
			inFlight, answerRate = inFlight+s.smoothedInFlight, answerRate+s.smoothedRate
		}
	}
	if answerRate > 0 && inFlight > 0 {
		m.meanDelay = inFlight / answerRate // Little's law
		if m.baseDelay == 0 {
			m.baseDelay = m.meanDelay
		}
		// The decrease is limited too: a backlog being worked off looks like fast responses for a
		// moment.
		m.baseDelay = math.Max(math.Min(m.baseDelay*(1+seconds/decayTau), m.meanDelay), m.baseDelay*(1-seconds/baseTau))
	}
	peakSum, weightSum := 0.0, 0.0
	for _, s := range m.sortedServers {
		if s.answeredCount >= minAnswered && !s.cold {
			peakSum, weightSum = peakSum+s.peakRate, weightSum+s.baseWeight
		}
	}
	if weightSum > 0 && peakSum > 0 { // keep the last value while no warm server is known
		m.unitPeakRate = peakSum / weightSum
	}
	for _, s := range m.sortedServers {
		if s.answeredCount < minAnswered || m.baseDelay == 0 {
			s.mode = balance.Normal // not enough data to judge it
			continue
		}
		high := m.highMark(s)
		s.mode = balance.NextMode(s.mode, s.inFlight, lowFraction*high, high, blockFactor*high+1)
		if m.now < s.overloadedUntil {
			s.mode = max(s.mode, balance.Overloaded)
		}
	}
}

// highMark returns the requests in flight from which a server is overloaded: by Little's law those
// that it can hold while its responses meet the target latency.
func (m *Module) highMark(s *server) float64 {
	return math.Max(minHighMark, s.peakRate*math.Min(queueFactor*m.baseDelay, m.targetDelay))
}

// expectedDelay returns the delay in seconds of a request sent to the server now, 0 if unknown.
func (m *Module) expectedDelay(s *server) float64 {
	if s.answeredCount < minAnswered || s.smoothedInFlight <= 0 {
		return 0
	}
	return s.smoothedInFlight / math.Max(s.smoothedRate, 0.1)
}

// detectFailures looks for servers that fail or are silent. Load reports alone exclude only a
// fraction of a zone, since simultaneous failures of all servers may have another cause. Suspected
// servers are probed and excluded when the probe fails as well.
func (m *Module) detectFailures() {
	total, excluded := map[string]int{}, map[string]int{}
	for _, s := range m.sortedServers {
		total[s.Zone]++
		if s.excluded {
			excluded[s.Zone]++
		}
	}
	for _, s := range m.sortedServers {
		ended := s.recent.ok + s.recent.errors
		// Guards against excluding overloaded servers one after the other because they reject
		// requests.
		failing := ended >= minErrorSamples && s.recent.errors >= maxErrorFraction*ended && s.mode == balance.Normal
		silent := s.silentSince > 0 && m.now-s.silentSince >= silenceTimeout
		if ended >= minErrorSamples || silent {
			s.recent.ok, s.recent.errors = 0, 0
		}
		if s.excluded {
			continue
		}
		switch {
		case failing || s.silentSince > 0:
			s.suspectUntil = m.now + suspicionTime
		case ended >= minErrorSamples:
			s.exclusions, s.suspectUntil = max(0, s.exclusions-1), 0
		}
		if (failing || silent) && float64(excluded[s.Zone]+1) <= math.Max(1, maxExcludedFraction*float64(total[s.Zone])) {
			excluded[s.Zone]++
			m.exclude(s, map[bool]string{true: "fails", false: "is silent"}[failing])
		}
	}
}

func (m *Module) exclude(s *server, reason string) {
	s.excluded, s.suspectUntil, s.goodProbes, s.silentSince = true, 0, 0, 0
	s.excludedUntil = m.now + min(maxExclusion, minExclusion<<min(s.exclusions, 4))
	s.exclusions++
	m.urgent = true
	m.log("server %s %s: excluded", s.ID, reason)
}
