// Package member makes a process a member of a fleet. It combines the exchange of list
// versions (package follow), membership (roster), the division of quotas and work (shares) and
// the choice of servers (subset) behind one interface of events and actions. It does no I/O,
// reads no clock and starts no goroutine.
package member

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"ivylock/fleet/follow"
	"ivylock/fleet/roster"
	"ivylock/fleet/shares"
	"ivylock/fleet/subset"
	"ivylock/fleet/version"
)

// Time is a reading of the caller's monotonic clock with Unix time as its origin.
type Time = time.Duration

// FirstControlID is the lowest number of a control service; nodes have lower numbers.
const FirstControlID = 1000

// incarnationTick is the resolution of the incarnation numbers passed to package shares.
const incarnationTick = time.Second / 16

// maxNodeSeeds is the number of configured nodes that are contacted on joining.
const maxNodeSeeds = 3

// Config configures a member.
type Config struct {
	Follow       follow.Settings
	Membership   bool  // detect which processes are alive
	ShareQuotas  bool  // divide quotas by demand
	ShareWork    bool  // divide the fleet's work by load
	Subsets      bool  // assign servers to live processes
	Guards       []int // numbers of the processes that lease slots; see shares.Quorum
	Slots        int   // with guards; see shares.Quorum
	MaxProcesses int   // with guards; see shares.Quorum

	Name  string
	Self  int // this process's number
	Nodes int // configured nodes, numbered from 0

	// AllowedPrefixes are the addresses from which datagrams are accepted in addition to the
	// configured ones. If there are none, processes are identified by their configured numbers,
	// each may reach the others at different addresses, and all addresses here are those of
	// roster.NumberedAddr.
	AllowedPrefixes []netip.Prefix
	Peers           []netip.AddrPort // configured nodes by number; with AllowedPrefixes only
	Addr            netip.AddrPort   // where others reach this process; with AllowedPrefixes only
	Seeds           []netip.AddrPort // further processes to contact on joining

	TenantQuotas                []shares.Quota
	Seed                        int64
	SettingsDigest, BuildDigest uint16
}

// Event is an input to Handle.
type Event interface{ event() }

// Events.
type (
	// DatagramReceived is a datagram of another process.
	DatagramReceived struct {
		From netip.AddrPort
		Data []byte
	}
	// SourceEvent is an event of the process's own source, or of operators.
	SourceEvent struct{ Event follow.Event }
	// Tick must be delivered about ten times a second.
	Tick struct{}
	// Resumed reports that the process was paused for a time.
	Resumed struct{ Gap time.Duration }
	// Leaving reports that the process is about to shut down gracefully.
	Leaving struct{}
)

func (DatagramReceived) event() {}
func (SourceEvent) event()      {}
func (Tick) event()             {}
func (Resumed) event()          {}
func (Leaving) event()          {}

// Action is an instruction to the caller.
type Action interface{ action() }

// Actions.
type (
	// Send asks the caller to send a datagram.
	Send struct {
		To   netip.AddrPort
		Data []byte
	}
	// Deliver passes on a payload for other packages that a process sent. Payloads of processes
	// that lag too far behind are not passed on.
	Deliver struct {
		From int
		Data []byte
	}
	// ServersChanged reports that the set of servers that may be used has changed.
	ServersChanged struct{}
	// QuerySource asks the caller to query its own source again at once.
	QuerySource struct{}
	// AllocationChanged reports changes of the quotas and the fraction of the work that this
	// process may use.
	AllocationChanged struct{ shares.Allocation }
	// FleetChanged reports all processes among which servers are divided, after a change.
	FleetChanged struct{ Processes []subset.Process }
	// Log is a line for the log.
	Log struct{ Line string }
)

func (Send) action()              {}
func (Deliver) action()           {}
func (ServersChanged) action()    {}
func (QuerySource) action()       {}
func (AllocationChanged) action() {}
func (FleetChanged) action()      {}
func (Log) action()               {}

// Counts are a member's own counters.
type Counts struct {
	UnknownSenders  uint64 // datagrams of unknown processes
	IgnoredRequests uint64 // lease requests and offers of processes that lag too far behind
}

// Member is one process of a fleet. It is not safe for concurrent use.
type Member struct {
	cfg         Config
	agent       *follow.Agent
	roster      *roster.Roster    // nil: no failure detection
	allocator   *shares.Allocator // nil: nothing is shared
	damper      *subset.Damper    // nil: servers are divided among the configured nodes
	startedAt   Time
	now         Time
	actions     []Action
	numberLimit int // exclusive upper bound of known process numbers
	counts      Counts
}

// New creates the member of a process that has just started.
func New(cfg Config, now Time) *Member {
	m := &Member{cfg: cfg, now: now, numberLimit: max(cfg.Nodes, cfg.Self+1), startedAt: now}
	if cfg.Membership {
		self := roster.Member{ID: roster.ID(cfg.Self), Addr: m.ownAddr(), Incarnation: roster.Incarnation(now / time.Second)}
		settings := roster.Defaults()
		if settings.AllowedPrefixes = cfg.AllowedPrefixes; len(cfg.AllowedPrefixes) == 0 {
			// The placeholder addresses of numbered processes.
			settings.AllowedPrefixes = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/16")}
		}
		m.roster = roster.New(settings, self, m.seeds(), now, cfg.Seed)
	}
	m.agent = follow.New(cfg.Follow, followFleet{m}, now, cfg.Seed, cfg.Name, cfg.SettingsDigest, cfg.BuildDigest)
	if cfg.ShareQuotas || cfg.ShareWork || slices.Contains(cfg.Guards, cfg.Self) {
		sharesConfig := shares.Config{Self: shares.ID(cfg.Self), Incarnation: uint32(now / incarnationTick), Nodes: cfg.Nodes, ShareWork: cfg.ShareWork,
			Slots: cfg.Slots, MaxProcesses: cfg.MaxProcesses, Seed: cfg.Seed}
		if cfg.ShareQuotas {
			sharesConfig.Quotas = cfg.TenantQuotas
		}
		for _, guard := range cfg.Guards {
			sharesConfig.Guards = append(sharesConfig.Guards, shares.ID(guard))
		}
		m.allocator = shares.NewAllocator(sharesConfig, now)
	}
	if cfg.Subsets && cfg.Membership && cfg.Self < FirstControlID {
		var all []uint32
		for i := range cfg.Nodes {
			all = append(all, uint32(i))
		}
		m.damper = subset.NewDamper(uint32(cfg.Self), all)
	}
	return m
}

func (m *Member) ownAddr() netip.AddrPort {
	if len(m.cfg.AllowedPrefixes) > 0 {
		return m.cfg.Addr
	}
	return roster.NumberedAddr(m.cfg.Self)
}

// seeds returns the addresses to contact on joining: configured ones; the guards, which should
// learn of the process soon; and the next nodes by number, so that each is contacted by some.
func (m *Member) seeds() []netip.AddrPort {
	out := slices.Clone(m.cfg.Seeds)
	numbers := slices.Clone(m.cfg.Guards)
	for i := 1; i < m.cfg.Nodes && i <= maxNodeSeeds; i++ {
		numbers = append(numbers, (m.cfg.Self+i)%m.cfg.Nodes)
	}
	for _, number := range numbers {
		if a, ok := m.Addr(number); ok && a != m.ownAddr() && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Addr returns the address of a process and whether it is known.
func (m *Member) Addr(number int) (netip.AddrPort, bool) {
	if len(m.cfg.AllowedPrefixes) == 0 {
		return roster.NumberedAddr(number), number < m.cfg.Nodes
	}
	if m.roster != nil {
		if a, ok := m.roster.Addr(roster.ID(number)); ok {
			return a, true
		}
	}
	if number < len(m.cfg.Peers) {
		return m.cfg.Peers[number], true
	}
	return netip.AddrPort{}, false
}

// numberOf returns the number of the process with an address and whether it is known.
func (m *Member) numberOf(a netip.AddrPort) (int, bool) {
	if len(m.cfg.AllowedPrefixes) == 0 {
		n, ok := roster.NumberOf(a)
		return n, ok && n < m.cfg.Nodes
	}
	if m.roster != nil {
		if id, ok := m.roster.IDAt(a); ok {
			return int(id), true
		}
	}
	i := slices.Index(m.cfg.Peers, a)
	return i, i >= 0
}

// followFleet implements follow.Fleet.
type followFleet struct{ m *Member }

func (f followFleet) Size() int { return f.m.numberLimit }
func (f followFleet) Self() int { return f.m.cfg.Self }
func (f followFleet) IsAlive(number int) bool {
	m := f.m
	if m.roster == nil {
		return number < m.cfg.Nodes
	}
	if _, known := m.roster.Addr(roster.ID(number)); !known {
		return number < m.cfg.Nodes
	}
	return !m.roster.IsGone(roster.ID(number))
}

// Handle processes an event and returns the resulting actions in order. The slice is reused
// by the next call.
func (m *Member) Handle(now Time, e Event) []Action {
	m.now, m.actions = max(now, m.now), m.actions[:0]
	switch e := e.(type) {
	case DatagramReceived:
		m.handleDatagram(e)
	case SourceEvent:
		m.follow(e.Event)
	case Tick:
		m.gossip(roster.Tick{})
		m.allocate()
		m.updateView()
		m.follow(follow.Tick{})
	// Expired leases must be out of use before anything else is done.
	case Resumed:
		m.allocate()
		m.gossip(roster.Resumed{Gap: e.Gap})
		m.follow(follow.Resumed{Gap: e.Gap})
	case Leaving:
		m.gossip(roster.Leaving{})
	}
	return m.actions
}

func (m *Member) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Member) send(number int, data []byte) {
	if to, ok := m.Addr(number); ok && number != m.cfg.Self {
		m.emit(Send{to, data})
	}
}

// gossip passes an event to the roster and carries out its actions.
func (m *Member) gossip(e roster.Event) {
	if m.roster == nil {
		return
	}
	for _, a := range m.roster.Handle(m.now, e) {
		switch a := a.(type) {
		case roster.Send:
			m.emit(Send{a.To, a.Data})
		case roster.StatusChanged:
			m.numberLimit = max(m.numberLimit, int(a.ID)+1)
			m.emit(Log{fmt.Sprintf("process %d is %v, incarnation %d", a.ID, a.Status, a.Incarnation)})
		}
	}
}

// follow passes an event to the agent and carries out its actions.
func (m *Member) follow(e follow.Event) {
	for _, a := range m.agent.Handle(m.now, e) {
		switch a := a.(type) {
		case follow.Send:
			m.send(a.To, a.Data)
		case follow.EligibilityChanged:
			m.emit(ServersChanged{})
		case follow.QuerySource:
			m.emit(QuerySource{})
		case follow.Log:
			m.emit(Log{a.Line})
		}
	}
}

// allocate runs a round of the allocator.
func (m *Member) allocate() {
	if m.allocator == nil {
		return
	}
	m.sendAll(m.allocator.Tick(m.now, m.liveNodes()))
	m.reportAllocation()
}

// updateView reports the nodes among which servers are divided, if they changed. Configured
// nodes that are still unknown count as present until subset.StartupGrace after the start.
func (m *Member) updateView() {
	if m.damper == nil {
		return
	}
	observations := []subset.Observation{{ID: uint32(m.cfg.Self), State: subset.Present}}
	inStartupGrace := m.now-m.startedAt < subset.StartupGrace
	known := map[roster.ID]bool{roster.ID(m.cfg.Self): true}
	for _, x := range m.roster.Members() {
		if known[x.ID] = true; int(x.ID) == m.cfg.Self || x.ID >= FirstControlID {
			continue
		}
		switch x.Status {
		case roster.Alive:
			observations = append(observations, subset.Observation{ID: uint32(x.ID), State: subset.Present})
		case roster.Suspect:
			observations = append(observations, subset.Observation{ID: uint32(x.ID), State: subset.Suspected})
		}
	}
	for i := range m.cfg.Nodes {
		if inStartupGrace && !known[roster.ID(i)] {
			observations = append(observations, subset.Observation{ID: uint32(i), State: subset.Present})
		}
	}
	m.damper.Observe(m.now, observations)
	if all, changed := m.damper.View(); changed {
		m.emit(FleetChanged{all})
	}
}

func (m *Member) reportAllocation() {
	if allocation, changed := m.allocator.Allocation(m.now); changed {
		m.emit(AllocationChanged{allocation})
	}
}

func (m *Member) sendAll(all []shares.Datagram) {
	for _, d := range all {
		m.send(int(d.To), d.Data)
	}
}

// liveNodes returns the nodes considered alive, including this one.
func (m *Member) liveNodes() (out []shares.ID) {
	for i := range min(m.numberLimit, FirstControlID) {
		if i == m.cfg.Self || (followFleet{m}).IsAlive(i) {
			out = append(out, shares.ID(i))
		}
	}
	return out
}

// handleDatagram dispatches a datagram to packages follow, shares and roster, or delivers it.
func (m *Member) handleDatagram(e DatagramReceived) {
	from, known := m.numberOf(e.From)
	if !known {
		if m.roster != nil && roster.IsMessage(e.Data) { // possibly a process that is joining
			m.gossip(roster.DatagramReceived{From: e.From, Data: e.Data})
		} else {
			m.counts.UnknownSenders++
		}
		return
	}
	data := e.Data
	if !roster.IsMessage(data) { // any message shows that the sender is alive
		m.gossip(roster.PeerActive{ID: roster.ID(from)})
	}
	if follow.IsFleetDatagram(data) {
		m.follow(follow.DatagramReceived{From: from, Data: data})
		if data = follow.Payload(data); len(data) == 0 {
			return
		}
	}
	switch {
	case shares.IsMessage(data):
		if m.allocator == nil {
			return
		}
		// Requests of a process that lags behind are ignored; its grants and returns count.
		if shares.IsRequest(data) && !m.agent.TrustsPeer(from) {
			m.counts.IgnoredRequests++
			return
		}
		m.sendAll(m.allocator.Handle(m.now, shares.ID(from), data))
	case roster.IsMessage(data):
		m.gossip(roster.DatagramReceived{From: e.From, Data: data})
	case m.agent.TrustsPeer(from):
		m.emit(Deliver{from, data})
	}
}

// Wrap returns an outgoing message, embedded in a hello if one is due for the receiver.
func (m *Member) Wrap(now Time, to int, data []byte) []byte {
	if to < 0 || to >= m.numberLimit {
		return data
	}
	return m.agent.Wrap(now, to, data)
}

// CountRequest counts an arriving request as demand for its tenant's quota and for work.
func (m *Member) CountRequest(tenant string) {
	if m.allocator != nil {
		m.allocator.CountRequest(tenant)
	}
}

// Agent returns the agent that decides about list versions.
func (m *Member) Agent() *follow.Agent { return m.agent }

// Roster returns the roster, or nil without membership.
func (m *Member) Roster() *roster.Roster { return m.roster }

// Counts returns the member's own counters.
func (m *Member) Counts() Counts { return m.counts }

// Record returns the process's record, with its view of the fleet and its holdings.
func (m *Member) Record(now Time) version.Record {
	record := m.agent.Recorder().Snapshot(now)
	if m.allocator != nil {
		for _, holding := range m.allocator.Holdings(now) {
			record.Leases = append(record.Leases, version.QuotaLease{Quota: holding.Name, EqualShare: holding.Base, Held: holding.Held, Demand: holding.Demand, Total: holding.Total})
		}
		record.Slots, record.HasQuorum = m.allocator.HeldSlots(now), m.allocator.HasQuorum(now)
	}
	if m.roster == nil {
		return record
	}
	record.Majority, record.ViewDigest = m.roster.HasMajority(), m.roster.Digest()
	for _, x := range m.roster.Members() {
		sinceHeard := time.Duration(-1)
		if x.LastHeard > 0 {
			sinceHeard = now - x.LastHeard
		}
		record.Members = append(record.Members, version.Member{Process: int(x.ID), Status: x.Status.String(), Incarnation: uint32(x.Incarnation), SinceHeard: sinceHeard})
	}
	return record
}

// Figure is a metric.
type Figure struct {
	Name  string
	Kind  string // c: counter; g: gauge
	Value int64
}

// Figures returns all metrics of the member.
func (m *Member) Figures(now Time) []Figure {
	counts, vector := m.agent.Counts(), m.agent.Vector()
	mode, _ := m.agent.Mode()
	out := []Figure{{"standing", "g", int64(mode)}, {"epoch", "g", int64(vector.List.Epoch)}, {"generation", "g", int64(vector.List.Generation)},
		{"acts_on", "g", int64(m.agent.AppliedVersion().Generation)}, {"hellos", "c", int64(counts.Hellos)}, {"asks", "c", int64(counts.Queries)},
		{"answers", "c", int64(counts.Answers)}, {"bytes", "c", int64(counts.Bytes)}, {"acted", "c", int64(counts.Applied)},
		{"over_bound", "c", int64(counts.OverLimit)}, {"doubted", "c", int64(counts.Reverted)}, {"malformed", "c", int64(counts.Malformed)},
		{"old", "c", int64(counts.Stale)}, {"unused", "c", int64(counts.Ignored + m.counts.IgnoredRequests)}, {"dropped", "c", int64(counts.Dropped)},
		{"strangers", "c", int64(m.counts.UnknownSenders)}}
	if m.roster != nil {
		out = append(out, m.rosterFigures()...)
	}
	if m.allocator != nil {
		for _, holding := range m.allocator.Holdings(now) {
			// In thousandths.
			out = append(out, Figure{"held." + figureName(holding.Name), "g", int64(1000 * holding.Held / max(holding.Total, 1e-9))})
		}
		quorate := int64(0)
		if m.allocator.HasQuorum(now) {
			quorate = 1
		}
		out = append(out, Figure{"seats", "g", int64(m.allocator.HeldSlots(now))}, Figure{"quorate", "g", quorate})
	}
	return out
}

func (m *Member) rosterFigures() []Figure {
	alive, suspect, gone, longestSilence := int64(0), int64(0), int64(0), Time(0)
	for _, x := range m.roster.Members() {
		switch x.Status {
		case roster.Alive:
			alive++
			longestSilence = max(longestSilence, m.now-x.LastHeard)
		case roster.Suspect:
			suspect++
		case roster.Gone:
			gone++
		}
	}
	majority := int64(0)
	if m.roster.HasMajority() {
		majority = 1
	}
	counts := m.roster.Counts()
	return []Figure{{"members", "g", alive}, {"suspected", "g", suspect}, {"gone", "g", gone}, {"majority", "g", majority},
		{"view_age_ms", "g", longestSilence.Milliseconds()}, {"probes", "c", int64(counts.Probes)}, {"covered", "c", int64(counts.ProbesSkipped)},
		{"refuted", "c", int64(counts.Refuted)}, {"roster_bytes", "c", int64(counts.Bytes)}}
}

// figureName replaces the characters that a metric's name must not contain.
func figureName(name string) string {
	out := []byte(name)
	for i, b := range out {
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9') {
			out[i] = '_'
		}
	}
	return string(out)
}
