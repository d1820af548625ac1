// Package member is one process's place in its fleet: it joins what package follow
// decides about versions, package roster about who lives, and package shares about
// parts of wholes, over one exchange of datagrams. Nodes and control services have it
// alike. It does no I/O, reads no clock and starts no goroutine: events in, actions out.
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

// FirstControlID is the lowest number that control services have; nodes have lower ones.
const FirstControlID = 1000

// lifeTick is how finely the lives of one process's parts are told apart.
const lifeTick = time.Second / 16

const mostSeeds = 3

// Config says what a process takes part in.
type Config struct {
	Follow       follow.Settings
	Membership   bool // it finds out who is alive
	ShareQuotas  bool // parts of quotas follow the traffic
	ShareWork    bool // and so does its part of all work
	Subsets      bool // who uses which server follows from who is alive
	Guards       []int
	Slots        int
	MaxProcesses int

	Name  string
	Self  int // number
	Nodes int // that the configuration numbers, from 0 on

	// AllowedPrefixes are the addresses whose datagrams are heard beside the configured ones;
	// none: processes are known by their configured numbers alone, each at addresses of
	// its own, and the addresses here are those of roster.NumberedAddr.
	AllowedPrefixes []netip.Prefix
	Peers           []netip.AddrPort // by number, of the configured nodes; with ranges alone
	Addr            netip.AddrPort   // where others reach this process; with ranges alone
	Seeds           []netip.AddrPort // others, beside Peers, that it asks who is there

	TenantQuotas                []shares.Quota
	Seed                        int64
	SettingsDigest, BuildDigest uint16 // digests
}

// Event is something that happened.
type Event interface{ event() }

// Events.
type (
	// DatagramReceived is any datagram of another process.
	DatagramReceived struct {
		From netip.AddrPort
		Data []byte
	}
	// SourceEvent is a word of the process's own source, or of operators.
	SourceEvent struct{ Event follow.Event }
	// Tick comes every tenth of a second or so.
	Tick struct{}
	// Resumed says that the process stood still for a time.
	Resumed struct{ Gap time.Duration }
	// Leaving says that it is about to end in order.
	Leaving struct{}
)

func (DatagramReceived) event() {}
func (SourceEvent) event()      {}
func (Tick) event()             {}
func (Resumed) event()          {}
func (Leaving) event()          {}

// Action is something the caller is to do.
type Action interface{ action() }

// Actions.
type (
	// Send sends a datagram.
	Send struct {
		To   netip.AddrPort
		Data []byte
	}
	// Deliver is what a datagram held that is not this package's, of a process that is to
	// be listened to.
	Deliver struct {
		From int
		Data []byte
	}
	// ServersChanged says that other servers may be used than before.
	ServersChanged struct{}
	// QuerySource asks the own source again, at once.
	QuerySource struct{}
	// AllocationChanged says what of the wholes is this process's by now.
	AllocationChanged struct{ shares.Allocation }
	// FleetChanged says which processes count for who uses which server.
	FleetChanged struct{ Processes []subset.Process }
	// Log is a line for the operators.
	Log struct{ Line string }
)

func (Send) action()              {}
func (Deliver) action()           {}
func (ServersChanged) action()    {}
func (QuerySource) action()       {}
func (AllocationChanged) action() {}
func (FleetChanged) action()      {}
func (Log) action()               {}

// Counts are a member's own figures.
type Counts struct {
	UnknownSenders  uint64 // datagrams of processes that are not known
	IgnoredRequests uint64 // messages about shares of processes that are too far behind
}

// Member is one process. It is not safe for concurrent use.
type Member struct {
	cfg    Config
	agent  *follow.Agent
	roster *roster.Roster    // nil: who lives is not found out
	parts  *shares.Allocator // nil: nothing is shared
	settle *subset.Damper    // nil: sets are those of the configured nodes
	bornAt Time
	now    Time
	out    []Action
	size   int // numbers that processes have, at most
	counts Counts
}

// New makes the member of a process that starts now.
func New(cfg Config, now Time) *Member {
	m := &Member{cfg: cfg, now: now, size: max(cfg.Nodes, cfg.Self+1), bornAt: now}
	if cfg.Membership {
		self := roster.Member{ID: roster.ID(cfg.Self), Addr: m.own(), Incarnation: roster.Incarnation(now / time.Second)}
		set := roster.Defaults()
		if set.AllowedPrefixes = cfg.AllowedPrefixes; len(cfg.AllowedPrefixes) == 0 {
			set.AllowedPrefixes = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/16")} // the numbers that the configuration has
		}
		m.roster = roster.New(set, self, m.seeds(), now, cfg.Seed)
	}
	m.agent = follow.New(cfg.Follow, fleetOf{m}, now, cfg.Seed, cfg.Name, cfg.SettingsDigest, cfg.BuildDigest)
	if cfg.ShareQuotas || cfg.ShareWork || slices.Contains(cfg.Guards, cfg.Self) {
		c := shares.Config{Self: shares.ID(cfg.Self), Incarnation: uint32(now / lifeTick), Nodes: cfg.Nodes, ShareWork: cfg.ShareWork,
			Slots: cfg.Slots, MaxProcesses: cfg.MaxProcesses, Seed: cfg.Seed}
		if cfg.ShareQuotas {
			c.Quotas = cfg.TenantQuotas
		}
		for _, g := range cfg.Guards {
			c.Guards = append(c.Guards, shares.ID(g))
		}
		m.parts = shares.NewAllocator(c, now)
	}
	if cfg.Subsets && cfg.Membership && cfg.Self < FirstControlID {
		var all []uint32
		for i := range cfg.Nodes {
			all = append(all, uint32(i))
		}
		m.settle = subset.NewDamper(uint32(cfg.Self), all)
	}
	return m
}

func (m *Member) own() netip.AddrPort {
	if len(m.cfg.AllowedPrefixes) > 0 {
		return m.cfg.Addr
	}
	return roster.NumberedAddr(m.cfg.Self)
}

// seeds are whom a process asks who is there: the next ones of the configuration, so
// that each is somebody's, the guards, which are to hear it soon, and those that are
// named.
func (m *Member) seeds() []netip.AddrPort {
	out := slices.Clone(m.cfg.Seeds)
	ask := slices.Clone(m.cfg.Guards)
	for i := 1; i < m.cfg.Nodes && i <= mostSeeds; i++ {
		ask = append(ask, (m.cfg.Self+i)%m.cfg.Nodes)
	}
	for _, number := range ask {
		if a, ok := m.Addr(number); ok && a != m.own() && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Addr is where a process is reached; false: that is not known.
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

// number is whose address it is; false: nobody's that is known.
func (m *Member) number(a netip.AddrPort) (int, bool) {
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

// fleetOf is the fleet as package follow asks for it.
type fleetOf struct{ m *Member }

func (f fleetOf) Size() int { return f.m.size }
func (f fleetOf) Self() int { return f.m.cfg.Self }
func (f fleetOf) IsAlive(number int) bool {
	m := f.m
	if m.roster == nil {
		return number < m.cfg.Nodes
	}
	if _, known := m.roster.Addr(roster.ID(number)); !known {
		return number < m.cfg.Nodes
	}
	return !m.roster.IsGone(roster.ID(number))
}

// Handle takes an event and returns what is to be done, in order. The slice is reused by
// the next call.
func (m *Member) Handle(now Time, e Event) []Action {
	m.now, m.out = max(now, m.now), m.out[:0]
	switch e := e.(type) {
	case DatagramReceived:
		m.hear(e)
	case SourceEvent:
		m.follow(e.Event)
	case Tick:
		m.roll(roster.Tick{})
		m.share()
		m.view()
		m.follow(follow.Tick{})
	case Resumed:
		m.share() // what has run out must not be used by what comes next
		m.roll(roster.Resumed{Gap: e.Gap})
		m.follow(follow.Resumed{Gap: e.Gap})
	case Leaving:
		m.roll(roster.Leaving{})
	}
	return m.out
}

func (m *Member) do(a Action) { m.out = append(m.out, a) }

func (m *Member) tell(number int, data []byte) {
	if to, ok := m.Addr(number); ok && number != m.cfg.Self {
		m.do(Send{to, data})
	}
}

// roll gives an event to the roster and takes what it says.
func (m *Member) roll(e roster.Event) {
	if m.roster == nil {
		return
	}
	for _, a := range m.roster.Handle(m.now, e) {
		switch a := a.(type) {
		case roster.Send:
			m.do(Send{a.To, a.Data})
		case roster.StatusChanged:
			m.size = max(m.size, int(a.ID)+1)
			m.do(Log{fmt.Sprintf("process %d is %v, life %d", a.ID, a.Status, a.Incarnation)})
		}
	}
}

func (m *Member) follow(e follow.Event) {
	for _, a := range m.agent.Handle(m.now, e) {
		switch a := a.(type) {
		case follow.Send:
			m.tell(a.To, a.Data)
		case follow.EligibilityChanged:
			m.do(ServersChanged{})
		case follow.QuerySource:
			m.do(QuerySource{})
		case follow.Log:
			m.do(Log{a.Line})
		}
	}
}

// share is a round of the shares, and what it comes to.
func (m *Member) share() {
	if m.parts == nil {
		return
	}
	m.post(m.parts.Tick(m.now, m.living()))
	m.given()
}

// view says which nodes count for who uses which server, if that has changed. One that
// the configuration has and nobody has met counts for a while from this process's start.
func (m *Member) view() {
	if m.settle == nil {
		return
	}
	seen := []subset.Observation{{ID: uint32(m.cfg.Self), State: subset.Present}}
	unmet := m.now-m.bornAt < subset.StartupGrace
	met := map[roster.ID]bool{roster.ID(m.cfg.Self): true}
	for _, x := range m.roster.Members() {
		if met[x.ID] = true; int(x.ID) == m.cfg.Self || x.ID >= FirstControlID {
			continue
		}
		switch x.Status {
		case roster.Alive:
			seen = append(seen, subset.Observation{ID: uint32(x.ID), State: subset.Present})
		case roster.Suspect:
			seen = append(seen, subset.Observation{ID: uint32(x.ID), State: subset.Suspected})
		}
	}
	for i := range m.cfg.Nodes {
		if unmet && !met[roster.ID(i)] {
			seen = append(seen, subset.Observation{ID: uint32(i), State: subset.Present})
		}
	}
	m.settle.Observe(m.now, seen)
	if all, changed := m.settle.View(); changed {
		m.do(FleetChanged{all})
	}
}

func (m *Member) given() {
	if g, changed := m.parts.Allocation(m.now); changed {
		m.do(AllocationChanged{g})
	}
}

func (m *Member) post(all []shares.Datagram) {
	for _, d := range all {
		m.tell(int(d.To), d.Data)
	}
}

// living lists the nodes that this process takes for alive, itself among them.
func (m *Member) living() (out []shares.ID) {
	for i := range min(m.size, FirstControlID) {
		if i == m.cfg.Self || (fleetOf{m}).IsAlive(i) {
			out = append(out, shares.ID(i))
		}
	}
	return out
}

// hear takes a datagram: all of package follow's, roster's or shares', or the rest.
func (m *Member) hear(e DatagramReceived) {
	from, known := m.number(e.From)
	if !known {
		if m.roster != nil && roster.IsMessage(e.Data) { // it may be one that joins
			m.roll(roster.DatagramReceived{From: e.From, Data: e.Data})
		} else {
			m.counts.UnknownSenders++
		}
		return
	}
	data := e.Data
	if !roster.IsMessage(data) { // whatever it says, it lives
		m.roll(roster.PeerActive{ID: roster.ID(from)})
	}
	if follow.IsFleetDatagram(data) {
		m.follow(follow.DatagramReceived{From: from, Data: data})
		if data = follow.Payload(data); len(data) == 0 {
			return
		}
	}
	switch {
	case shares.IsMessage(data):
		if m.parts == nil {
			return
		}
		if shares.IsRequest(data) && !m.agent.TrustsPeer(from) { // a straggler claims nothing; what it gives back or grants counts
			m.counts.IgnoredRequests++
			return
		}
		m.post(m.parts.Handle(m.now, shares.ID(from), data))
	case roster.IsMessage(data):
		m.roll(roster.DatagramReceived{From: e.From, Data: data})
	case m.agent.TrustsPeer(from):
		m.do(Deliver{from, data})
	}
}

// Wrap puts what the process has to say anyway to another one into a hello, if one is
// due.
func (m *Member) Wrap(now Time, to int, data []byte) []byte {
	if to < 0 || to >= m.size {
		return data
	}
	return m.agent.Wrap(now, to, data)
}

// CountRequest counts a request: its tenant's need, and of the work.
func (m *Member) CountRequest(tenant string) {
	if m.parts != nil {
		m.parts.CountRequest(tenant)
	}
}

// Agent is what decides about versions; Roster who lives, nil if that is not found out.
func (m *Member) Agent() *follow.Agent   { return m.agent }
func (m *Member) Roster() *roster.Roster { return m.roster }

// Counts gives the member's own figures.
func (m *Member) Counts() Counts { return m.counts }

// Record gives what the process has on record, with whom it knows and what it holds.
func (m *Member) Record(now Time) version.Record {
	r := m.agent.Recorder().Snapshot(now)
	if m.parts != nil {
		for _, p := range m.parts.Holdings(now) {
			r.Leases = append(r.Leases, version.QuotaLease{Quota: p.Name, EqualShare: p.Base, Held: p.Held, Demand: p.Demand, Total: p.Total})
		}
		r.Slots, r.HasQuorum = m.parts.HeldSlots(now), m.parts.HasQuorum(now)
	}
	if m.roster == nil {
		return r
	}
	r.Majority, r.ViewDigest = m.roster.HasMajority(), m.roster.Digest()
	for _, x := range m.roster.Members() {
		heard := time.Duration(-1)
		if x.LastHeard > 0 {
			heard = now - x.LastHeard
		}
		r.Members = append(r.Members, version.Member{Process: int(x.ID), Status: x.Status.String(), Incarnation: uint32(x.Incarnation), SinceHeard: heard})
	}
	return r
}

// Figure is one of the member's figures: kind c for one that grows, g for one that
// moves.
type Figure struct {
	Name  string
	Kind  string
	Value int64
}

// Figures gives all of them.
func (m *Member) Figures(now Time) []Figure {
	c, v := m.agent.Counts(), m.agent.Vector()
	standing, _ := m.agent.Mode()
	out := []Figure{{"standing", "g", int64(standing)}, {"epoch", "g", int64(v.List.Epoch)}, {"generation", "g", int64(v.List.Generation)},
		{"acts_on", "g", int64(m.agent.AppliedVersion().Generation)}, {"hellos", "c", int64(c.Hellos)}, {"asks", "c", int64(c.Queries)},
		{"answers", "c", int64(c.Answers)}, {"bytes", "c", int64(c.Bytes)}, {"acted", "c", int64(c.Applied)},
		{"over_bound", "c", int64(c.OverLimit)}, {"doubted", "c", int64(c.Reverted)}, {"malformed", "c", int64(c.Malformed)},
		{"old", "c", int64(c.Stale)}, {"unused", "c", int64(c.Ignored + m.counts.IgnoredRequests)}, {"dropped", "c", int64(c.Dropped)},
		{"strangers", "c", int64(m.counts.UnknownSenders)}}
	if m.roster != nil {
		out = append(out, m.rosterFigures()...)
	}
	if m.parts != nil {
		for _, p := range m.parts.Holdings(now) {
			out = append(out, Figure{"held." + figureName(p.Name), "g", int64(1000 * p.Held / max(p.Total, 1e-9))}) // in thousandths of the whole
		}
		quorate := int64(0)
		if m.parts.HasQuorum(now) {
			quorate = 1
		}
		out = append(out, Figure{"seats", "g", int64(m.parts.HeldSlots(now))}, Figure{"quorate", "g", quorate})
	}
	return out
}

func (m *Member) rosterFigures() []Figure {
	alive, suspect, gone, oldest := int64(0), int64(0), int64(0), Time(0)
	for _, x := range m.roster.Members() {
		switch x.Status {
		case roster.Alive:
			alive++
			oldest = max(oldest, m.now-x.LastHeard)
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
	c := m.roster.Counts()
	return []Figure{{"members", "g", alive}, {"suspected", "g", suspect}, {"gone", "g", gone}, {"majority", "g", majority},
		{"view_age_ms", "g", oldest.Milliseconds()}, {"probes", "c", int64(c.Probes)}, {"covered", "c", int64(c.ProbesSkipped)},
		{"refuted", "c", int64(c.Refuted)}, {"roster_bytes", "c", int64(c.Bytes)}}
}

// figureName words a whole's name as figures' names have it.
func figureName(whole string) string {
	out := []byte(whole)
	for i, b := range out {
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9') {
			out[i] = '_'
		}
	}
	return string(out)
}
