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
	validity     = 3 * time.Second         // what a proxy reported counts this long
	memoryTau    = 60.0                    // s; in which a learnt rate or base delay is forgotten
	baseTau      = 10.0                    // s; in which the base delay falls at most
	rateTau      = 2.0                     // s; of a server's smoothed rate of answers
	aimPart      = 0.45                    // of the shortest aim that a server's delay may take
	queueFactor  = 4.0                     // delay a normal server may have, in its work without a queue
	leastHigh    = 8.0                     // H of a server at least, over all proxies
	lowPart      = 0.7                     // L as part of H
	blockPart    = 2.0                     // R as part of H
	learnCount   = 30                      // answers before a server's delay is believed
	suspectPart  = 0.5                     // of answers that are errors, from which a server is excluded
	suspectLeast = 8                       // answers and errors to judge that by
	silentAfter  = 1500 * time.Millisecond // requests out and none ended for so long: it is silent
	excludeMost  = 0.34                    // part of a hall that may be excluded on reports alone
	doubtFor     = 2 * time.Second
	excludeMin   = 2 * time.Second // an exclusion lasts at least so long; doubles
	excludeMax   = 30 * time.Second
	probeEvery   = 500 * time.Millisecond // of excluded servers
	fullUse      = 0.95                   // of a server, by its own word, from which it is overloaded
	probesOK     = 2                      // good probes in a row that bring a server back
)

// server is what is known of an entry.
type server struct {
	Server
	fresh    bool   // its weight is not set yet
	pod      string // by which it is in groups
	groups   subset.GroupRanking
	coldFrom Time // when its warm-up began; meaningless unless cold
	cold     bool

	n       float64 // in flight, over all proxies, as they last said
	flow    float64 // answers and errors a second, the same
	rate    float64 // answers a second, smoothed
	peak    float64 // the most of that, slowly forgotten
	answers float64
	load    float64 // n, smoothed as the rate is
	silent  Time    // since when requests are out and none has been answered; 0: not
	judged  struct{ ok, errors float64 }

	mode   balance.Mode
	told   Time    // until then it counts as overloaded by its own word
	size   float64 // see sizes
	weight float64 // before cold caps; 1 is the fleet's mean

	doubt    Time // until then it is probed
	excluded bool
	until    Time // it is not tried before
	holds    int  // exclusions in a row
	probedAt Time
	probesOK int
}

// proxy is what one proxy last said.
type proxy struct {
	id       ProxyID
	zone     string
	group    int
	whole    bool // it sends so much that it is told of all servers
	at       Time // of its last report; 0: none
	rate     float64
	in1, in2 float64 // arrivals a second
	said     map[*server]said
	// uncounted: it does not act on what it is told, so its reports show nothing of
	// what servers can do.
	uncounted bool
}

// said is what a proxy last said of a server; it counts until the next report,
// so that what is in flight and what is answered are of the same time.
type said struct{ n, flow float64 }

// Module makes the decisions. It is not safe for concurrent use.
type Module struct {
	set Settings
	now Time
	out []Action

	servers   map[ServerID]*server
	order     []*server // by id
	byAddr    map[string]*server
	proxies   map[ProxyID]*proxy
	present   []*proxy // by id: sums do not depend on a map's order
	confirmed bool     // a list has come fresh since this run began, or last stood still
	heard     bool     // a list has come fresh in this run

	unit      float64              // peak rate of warm servers by their size; outlives them
	base      float64              // s; the least mean delay, slowly growing
	mean      float64              // s; the present one
	aimed     float64              // s; delay that the aims allow
	shed      map[string]*shedding // by hall
	keep      map[string]float64   // parts that halls which are short keep of their own requests
	shared    Time                 // when those were last changed
	moved     Time                 // when weights were last changed
	composing map[string]*hall     // while a state is composed
	last      *State
	lastAt    Time // of the last publication that was not urgent
	dirty     bool // something changed that waits for WeightInterval
	urgent    bool

	// ProxyLeft counts what was left out at a bound.
	Discarded struct{ Servers, Proxies, Loads uint64 }
}

// New gives a module that knows no server. It errs on settings out of range.
func New(set Settings) (*Module, error) {
	def := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	def(&set.WarmupStartFraction, 0.32)
	def(&set.OverloadFactor, 2.5)
	def(&set.MaxWeightFactor, 1.25)
	if set.WarmupTime == 0 {
		set.WarmupTime = 8300 * time.Millisecond
	}
	if set.WeightInterval == 0 {
		set.WeightInterval = time.Second
	}
	if set.MaxServers == 0 {
		set.MaxServers = 4096
	}
	if set.MaxProxies == 0 {
		set.MaxProxies = 4096
	}
	switch {
	case len(set.Classes) == 0:
		return nil, fmt.Errorf("steer: no request class")
	case !(set.WarmupStartFraction > 0 && set.WarmupStartFraction <= 1):
		return nil, fmt.Errorf("steer: ColdFrom %v is not in (0, 1]", set.WarmupStartFraction)
	case !(set.OverloadFactor >= 1):
		return nil, fmt.Errorf("steer: OverloadFactor %v is under 1", set.OverloadFactor)
	case !(set.MaxWeightFactor > 1):
		return nil, fmt.Errorf("steer: ChangeBy %v is not over 1", set.MaxWeightFactor)
	case set.SubsetSize < 0:
		return nil, fmt.Errorf("steer: Subset %d is under 0", set.SubsetSize)
	case set.WarmupTime < 0, set.WeightInterval < 0, set.MaxServers < 0, set.MaxProxies < 0:
		return nil, fmt.Errorf("steer: a negative time or bound")
	}
	m := &Module{set: set, servers: map[ServerID]*server{}, byAddr: map[string]*server{}, proxies: map[ProxyID]*proxy{}, keep: map[string]float64{}, shed: map[string]*shedding{}}
	m.aimed = math.Inf(1)
	for _, c := range set.Classes {
		if c.TargetLatency > 0 {
			m.aimed = math.Min(m.aimed, aimPart*c.TargetLatency.Seconds())
		}
	}
	return m, nil
}

// Handle takes an event and returns what is to be done about it, in order.
// The slice is valid until the next call.
func (m *Module) Handle(now Time, e Event) []Action {
	m.now, m.out = now, m.out[:0]
	switch e := e.(type) {
	case ListReceived:
		m.listed(e)
	case ProxyReliability:
		m.counted(e)
	case ProxyJoined:
		m.joined(e)
	case ProxyLeft:
		m.left(e.Proxy)
	case LoadReported:
		m.loaded(e)
	case ProbeResult:
		m.probed(e)
	case ProcessPaused:
		m.urgent = m.urgent || m.confirmed
		m.confirmed = false
	case Tick:
		m.tick()
	}
	m.publish()
	return m.out
}

// sizes gives each server the size by which it is weighed first: the list's,
// or 1 for all where any has none.
func (m *Module) sizes() {
	known := true
	for _, s := range m.order {
		known = known && s.RelativeSize > 0
	}
	for _, s := range m.order {
		if s.size = 1; known {
			s.size = s.RelativeSize
		}
	}
}

// ServerCount and Proxies are how many are known.
func (m *Module) ServerCount() int { return len(m.servers) }
func (m *Module) ProxyCount() int  { return len(m.proxies) }

func (m *Module) log(format string, args ...any) {
	m.out = append(m.out, Log{fmt.Sprintf(format, args...)})
}

// listed takes a list. A drain is never undone by a list that may be old, and
// a list that may be old confirms nothing.
func (m *Module) listed(e ListReceived) {
	switch {
	case e.Kind == ListFailed:
		return // what is known stays: nobody can have been told of a drain
	case e.Kind == ListCached && m.heard:
		return // older than what this run has seen itself
	}
	first := !m.heard
	seen := make(map[ServerID]bool, len(e.Servers))
	for _, x := range e.Servers {
		if seen[x.ID] {
			continue
		}
		s := m.servers[x.ID]
		if s == nil && len(m.servers) >= m.set.MaxServers {
			m.Discarded.Servers++
			continue
		}
		seen[x.ID] = true
		switch {
		case s == nil:
			s = &server{Server: x, weight: 1, fresh: true}
			m.servers[x.ID] = s
			m.dirty = true
			// What is new in a run that knew the list has just been started,
			// whatever it says; in the first list its word is all there is.
			if x.StartedAt > 0 && m.now-x.StartedAt < m.set.WarmupTime {
				m.startCold(s, x.StartedAt)
			} else if !first {
				m.startCold(s, m.now)
			}
		case s.Addr != x.Addr || x.StartedAt > s.StartedAt:
			s.Server, s.excluded = x, s.excluded && s.Addr == x.Addr
			m.startCold(s, max(x.StartedAt, m.now-m.set.WarmupTime))
			m.urgent = true
		default:
			if x.Draining && !s.Draining {
				m.urgent = true
			}
			if s.Draining && !x.Draining {
				m.dirty = true
			}
			if s.Zone != x.Zone || s.Cell != x.Cell || s.RelativeSize != x.RelativeSize {
				m.dirty = true
			}
			s.Server = x
		}
	}
	for id := range m.servers {
		if !seen[id] {
			m.forget(id)
			m.urgent = true
		}
	}
	m.order = m.order[:0]
	for _, s := range m.servers {
		m.order = append(m.order, s)
	}
	sort.Slice(m.order, func(i, j int) bool { return m.order[i].ID < m.order[j].ID })
	clear(m.byAddr)
	for _, s := range m.order {
		m.byAddr[s.Addr] = s
	}
	for _, s := range m.order {
		if name := fmt.Sprint(s.Zone, "/", s.Cell); m.set.SubsetSize > 0 && name != s.pod {
			s.pod, s.groups = name, subset.RankGroups(name)
		}
	}
	m.sizes()
	mean := 0.0
	for _, s := range m.order {
		mean += s.size / float64(len(m.order))
	}
	for _, s := range m.order {
		if s.fresh {
			s.fresh, s.weight = false, math.Min(mostPart, math.Max(leastPart, s.size/mean))
		}
	}
	if e.Kind == ListFull && !m.confirmed {
		m.confirmed, m.heard, m.urgent = true, true, true
	}
}

func (m *Module) forget(id ServerID) {
	s := m.servers[id]
	for _, p := range m.present {
		delete(p.said, s)
	}
	delete(m.servers, id)
}

func (m *Module) startCold(s *server, at Time) {
	s.cold, s.coldFrom, s.fresh, s.silent = true, at, true, 0
	s.n, s.flow, s.load, s.rate, s.answers = 0, 0, 0, 0, 0 // its peak is of a warm server, and stays
	for _, p := range m.present {
		delete(p.said, s)
	}
}

// warmth is the part of its capacity that a server has now.
func (m *Module) warmth(s *server) float64 {
	if !s.cold {
		return 1
	}
	f := m.set.WarmupStartFraction + (1-m.set.WarmupStartFraction)*float64(m.now-s.coldFrom)/float64(m.set.WarmupTime)
	return math.Min(1, math.Max(m.set.WarmupStartFraction, f))
}

func (m *Module) joined(e ProxyJoined) {
	if p := m.proxies[e.Proxy]; p != nil {
		p.zone = e.Zone
		return
	}
	if len(m.proxies) >= m.set.MaxProxies {
		m.Discarded.Proxies++
		return
	}
	p := &proxy{id: e.Proxy, zone: e.Zone, group: subset.GroupOf(string(e.Proxy)), said: map[*server]said{}}
	m.proxies[e.Proxy] = p
	i, _ := slices.BinarySearchFunc(m.present, p, byID)
	m.present = slices.Insert(m.present, i, p)
	m.dirty = m.dirty || m.anyCold() // it may send to them: the others get less
}

func (m *Module) left(id ProxyID) {
	if p := m.proxies[id]; p != nil {
		m.unlearn(p)
		m.silence(p)
		delete(m.proxies, id)
		i, _ := slices.BinarySearchFunc(m.present, p, byID)
		m.present = slices.Delete(m.present, i, i+1)
	}
}

// unlearn takes from the rates that servers have shown what they have shown to
// a proxy. Guards against two control services that both count on all of a
// server since its proxies have moved from one to the other: a cold server
// would be sent what both think that it can do.
func (m *Module) unlearn(p *proxy) {
	for s, x := range p.said {
		if s.flow > 0 {
			s.peak *= 1 - math.Min(1, x.flow/s.flow)
		}
	}
}

func byID(a, b *proxy) int { return strings.Compare(string(a.id), string(b.id)) }

// unsay takes back what a proxy said of servers.
func (m *Module) unsay(p *proxy) {
	for s, x := range p.said {
		s.n, s.flow = math.Max(0, s.n-x.n), math.Max(0, s.flow-x.flow)
	}
	clear(p.said)
}

// counted takes whether a proxy's reports are learnt from.
func (m *Module) counted(e ProxyReliability) {
	if p := m.proxies[e.Proxy]; p != nil && p.uncounted == e.Reliable {
		p.uncounted = !e.Reliable
		if p.uncounted {
			m.unlearn(p)
			for s, x := range p.said {
				s.flow = math.Max(0, s.flow-x.flow)
				p.said[s] = said{n: x.n}
			}
		}
	}
}

// silence takes back what a proxy has reported.
func (m *Module) silence(p *proxy) {
	m.unsay(p)
	p.at, p.rate, p.in1, p.in2 = 0, 0, 0, 0
}

// loaded takes a report. Counts of servers that are not listed are left out.
func (m *Module) loaded(e LoadReported) {
	p := m.proxies[e.Proxy]
	if p == nil || e.Interval <= 0 {
		m.Discarded.Loads++
		return
	}
	sec := math.Max(e.Interval.Seconds(), 0.01)
	m.unsay(p)
	rate := 0.0
	for _, l := range e.Loads {
		s := m.servers[l.Server]
		if l.Server == "" {
			s = m.byAddr[l.Addr]
		}
		if s == nil {
			m.Discarded.Loads++
			continue
		}
		// Guards against one liar: no proxy has more out than a server can hold.
		n := math.Min(float64(l.InFlight), 1e5)
		flow := float64(l.OK) / sec // errors are no answers: a full server gives them fast
		if p.uncounted {
			flow = 0
		}
		x := p.said[s]
		p.said[s] = said{x.n + n, x.flow + flow}
		s.n += n
		s.flow += flow
		rate += float64(l.Issued) / sec
		if p.uncounted { // what it has out weighs on a server all the same
			continue
		}
		s.answers += float64(l.OK + l.Errors)
		s.judged.ok += float64(l.OK)
		s.judged.errors += float64(l.Errors)
		if l.Utilisation >= fullUse {
			s.told = m.now + validity // its own word, which lapses
		}
		if l.OK > 0 {
			s.silent = 0
		} else if l.InFlight > 0 && s.silent == 0 {
			s.silent = m.now
		}
	}
	p.at, p.rate = m.now, rate
	p.in1, p.in2 = float64(e.PriorityArrivals)/sec, float64(e.OtherArrivals)/sec
}

// probed takes a probe. A server in doubt is excluded when it fails one; good
// ones bring an excluded server back, as a cold one, since it may have been
// restarted.
func (m *Module) probed(e ProbeResult) {
	s := m.servers[e.Server]
	switch {
	case s == nil:
	case !s.excluded && m.now < s.doubt && !e.OK:
		m.exclude(s, "answers neither requests nor a probe")
	case !s.excluded:
	case !e.OK:
		s.probesOK = 0
		s.until = max(s.until, m.now+probeEvery)
	default:
		if s.probesOK++; s.probesOK < probesOK || m.now < s.until {
			return
		}
		s.excluded, s.probesOK = false, 0
		m.startCold(s, m.now)
		s.fresh, s.weight, m.dirty = false, math.Min(1, s.weight), true
		m.log("server %s answers again", s.ID)
	}
}

func (m *Module) anyCold() bool {
	return slices.ContainsFunc(m.order, func(s *server) bool { return s.cold })
}

// tick renews what is known of all servers, then decides.
func (m *Module) tick() {
	for _, p := range m.present {
		if p.at != 0 && m.now-p.at > validity {
			m.silence(p)
		}
	}
	m.survey()
	m.suspect()
	m.move()
	m.divide()
	m.share()
	if m.last != nil && m.limit() != m.last.View("").MaxRequests {
		m.dirty = true
	}
	for _, s := range m.order {
		if (s.excluded || m.now < s.doubt) && m.now-s.probedAt >= probeEvery {
			s.probedAt = m.now
			m.out = append(m.out, Probe{s.ID})
		}
		if s.cold {
			m.dirty = true
			if m.now-s.coldFrom >= m.set.WarmupTime {
				s.cold = false
			}
		}
	}
}

// survey renews rates, delays and modes.
func (m *Module) survey() {
	step := TickInterval.Seconds()
	n, rate := 0.0, 0.0
	for _, s := range m.order {
		s.rate += (s.flow - s.rate) * step / rateTau
		s.load += (s.n - s.load) * step / rateTau
		s.peak = math.Max(s.peak*(1-step/memoryTau), s.rate/m.warmth(s))
		if !s.excluded && s.answers >= learnCount {
			n, rate = n+s.load, rate+s.rate
		}
	}
	if rate > 0 && n > 0 {
		m.mean = n / rate // Little's law
		if m.base == 0 {
			m.base = m.mean
		}
		// It follows downwards too by steps: a backlog that is worked off looks
		// like quick answers for a moment.
		m.base = math.Max(math.Min(m.base*(1+step/memoryTau), m.mean), m.base*(1-step/baseTau))
	}
	peak, size := 0.0, 0.0
	for _, s := range m.order {
		if s.answers >= learnCount && !s.cold {
			peak, size = peak+s.peak, size+s.size
		}
	}
	if size > 0 && peak > 0 { // what was learnt holds while there is nobody to learn from
		m.unit = peak / size
	}
	for _, s := range m.order {
		if s.answers < learnCount || m.base == 0 {
			s.mode = balance.Normal // nothing is held against what is not known
			continue
		}
		h := m.high(s)
		s.mode = balance.NextMode(s.mode, s.n, lowPart*h, h, blockPart*h+1)
		if m.now < s.told {
			s.mode = max(s.mode, balance.Overloaded)
		}
	}
}

// high is H of a server: by Little's law, the requests that it may have while
// its answers come as fast as the aims want.
func (m *Module) high(s *server) float64 {
	return math.Max(leastHigh, s.peak*math.Min(queueFactor*m.base, m.aimed))
}

// delay is what a request sent there now has to expect, in seconds; 0 where
// that is not known.
func (m *Module) delay(s *server) float64 {
	if s.answers < learnCount || s.load <= 0 {
		return 0
	}
	return s.load / math.Max(s.rate, 0.1)
}

// suspect looks for servers that fail or are silent. On reports alone no more
// than a part of a hall is excluded: when all fail at once, it may not be the
// servers. Whoever is in doubt is probed, and goes when that fails too.
func (m *Module) suspect() {
	total, out := map[string]int{}, map[string]int{}
	for _, s := range m.order {
		total[s.Zone]++
		if s.excluded {
			out[s.Zone]++
		}
	}
	for _, s := range m.order {
		done := s.judged.ok + s.judged.errors
		// Guards against taking out, one after the other, servers that turn
		// requests away because they are full.
		bad := done >= suspectLeast && s.judged.errors >= suspectPart*done && s.mode == balance.Normal
		silent := s.silent > 0 && m.now-s.silent >= silentAfter
		if done >= suspectLeast || silent {
			s.judged.ok, s.judged.errors = 0, 0
		}
		if s.excluded {
			continue
		}
		switch {
		case bad || s.silent > 0:
			s.doubt = m.now + doubtFor
		case done >= suspectLeast:
			s.holds, s.doubt = max(0, s.holds-1), 0
		}
		if (bad || silent) && float64(out[s.Zone]+1) <= math.Max(1, excludeMost*float64(total[s.Zone])) {
			out[s.Zone]++
			m.exclude(s, map[bool]string{true: "fails", false: "is silent"}[bad])
		}
	}
}

func (m *Module) exclude(s *server, why string) {
	s.excluded, s.doubt, s.probesOK, s.silent = true, 0, 0, 0
	s.until = m.now + min(excludeMax, excludeMin<<min(s.holds, 4))
	s.holds++
	m.urgent = true
	m.log("server %s %s: excluded", s.ID, why)
}
