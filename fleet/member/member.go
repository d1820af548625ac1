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

// FirstService is the lowest number that control services have; nodes have lower ones.
const FirstService = 1000

// lifeTick is how finely the lives of one process's parts are told apart.
const lifeTick = time.Second / 16

const mostSeeds = 3

// Config says what a process takes part in.
type Config struct {
	Follow  follow.Settings
	Members bool // it finds out who is alive
	Quotas  bool // parts of quotas follow the traffic
	Work    bool // and so does its part of all work
	Subsets bool // who uses which server follows from who is alive
	Guards  []int
	Seats   int
	Most    int

	Name  string
	Self  int // number
	Nodes int // that the configuration numbers, from 0 on

	// Ranges are the addresses whose datagrams are heard beside the configured ones;
	// none: processes are known by their configured numbers alone, each at addresses of
	// its own, and the addresses here are those of roster.Numbered.
	Ranges []netip.Prefix
	Peers  []netip.AddrPort // by number, of the configured nodes; with ranges alone
	Addr   netip.AddrPort   // where others reach this process; with ranges alone
	Seeds  []netip.AddrPort // others, beside Peers, that it asks who is there

	Tenants         []shares.Whole
	Seed            int64
	Settings, Build uint16 // digests
}

// Event is something that happened.
type Event interface{ event() }

// Events.
type (
	// Heard is any datagram of another process.
	Heard struct {
		From netip.AddrPort
		Data []byte
	}
	// Source is a word of the process's own source, or of operators.
	Source struct{ Word follow.Event }
	// Ticked comes every tenth of a second or so.
	Ticked struct{}
	// Woke says that the process stood still for a time.
	Woke struct{ Gap time.Duration }
	// Ends says that it is about to end in order.
	Ends struct{}
)

func (Heard) event()  {}
func (Source) event() {}
func (Ticked) event() {}
func (Woke) event()   {}
func (Ends) event()   {}

// Action is something the caller is to do.
type Action interface{ action() }

// Actions.
type (
	// Tell sends a datagram.
	Tell struct {
		To   netip.AddrPort
		Data []byte
	}
	// Rest is what a datagram held that is not this package's, of a process that is to
	// be listened to.
	Rest struct {
		From int
		Data []byte
	}
	// Changed says that other servers may be used than before.
	Changed struct{}
	// AskSource asks the own source again, at once.
	AskSource struct{}
	// Given says what of the wholes is this process's by now.
	Given struct{ shares.Given }
	// Fleet says which processes count for who uses which server.
	Fleet struct{ Processes []subset.Process }
	// Log is a line for the operators.
	Log struct{ Line string }
)

func (Tell) action()      {}
func (Rest) action()      {}
func (Changed) action()   {}
func (AskSource) action() {}
func (Given) action()     {}
func (Fleet) action()     {}
func (Log) action()       {}

// Counts are a member's own figures.
type Counts struct {
	Strangers uint64 // datagrams of processes that are not known
	Unused    uint64 // messages about shares of processes that are too far behind
}

// Member is one process. It is not safe for concurrent use.
type Member struct {
	cfg    Config
	agent  *follow.Agent
	roster *roster.Roster  // nil: who lives is not found out
	parts  *shares.Parts   // nil: nothing is shared
	settle *subset.Settler // nil: sets are those of the configured nodes
	bornAt Time
	now    Time
	out    []Action
	size   int // numbers that processes have, at most
	counts Counts
}

// New makes the member of a process that starts now.
func New(cfg Config, now Time) *Member {
	m := &Member{cfg: cfg, now: now, size: max(cfg.Nodes, cfg.Self+1), bornAt: now}
	if cfg.Members {
		self := roster.Member{ID: roster.ID(cfg.Self), Addr: m.own(), Life: roster.Life(now / time.Second)}
		set := roster.Defaults()
		if set.Strangers = cfg.Ranges; len(cfg.Ranges) == 0 {
			set.Strangers = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/16")} // the numbers that the configuration has
		}
		m.roster = roster.New(set, self, m.seeds(), now, cfg.Seed)
	}
	m.agent = follow.New(cfg.Follow, fleetOf{m}, now, cfg.Seed, cfg.Name, cfg.Settings, cfg.Build)
	if cfg.Quotas || cfg.Work || slices.Contains(cfg.Guards, cfg.Self) {
		c := shares.Config{Self: shares.ID(cfg.Self), Life: uint32(now / lifeTick), Nodes: cfg.Nodes, Work: cfg.Work,
			Seats: cfg.Seats, Most: cfg.Most, Seed: cfg.Seed}
		if cfg.Quotas {
			c.Quotas = cfg.Tenants
		}
		for _, g := range cfg.Guards {
			c.Guards = append(c.Guards, shares.ID(g))
		}
		m.parts = shares.NewParts(c, now)
	}
	if cfg.Subsets && cfg.Members && cfg.Self < FirstService {
		var all []uint32
		for i := range cfg.Nodes {
			all = append(all, uint32(i))
		}
		m.settle = subset.NewSettler(uint32(cfg.Self), all)
	}
	return m
}

func (m *Member) own() netip.AddrPort {
	if len(m.cfg.Ranges) > 0 {
		return m.cfg.Addr
	}
	return roster.Numbered(m.cfg.Self)
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
	if len(m.cfg.Ranges) == 0 {
		return roster.Numbered(number), number < m.cfg.Nodes
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
	if len(m.cfg.Ranges) == 0 {
		n, ok := roster.Number(a)
		return n, ok && n < m.cfg.Nodes
	}
	if m.roster != nil {
		if id, ok := m.roster.At(a); ok {
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
func (f fleetOf) Lives(number int) bool {
	m := f.m
	if m.roster == nil {
		return number < m.cfg.Nodes
	}
	if _, known := m.roster.Addr(roster.ID(number)); !known {
		return number < m.cfg.Nodes
	}
	return !m.roster.Gone(roster.ID(number))
}

// Handle takes an event and returns what is to be done, in order. The slice is reused by
// the next call.
func (m *Member) Handle(now Time, e Event) []Action {
	m.now, m.out = max(now, m.now), m.out[:0]
	switch e := e.(type) {
	case Heard:
		m.hear(e)
	case Source:
		m.follow(e.Word)
	case Ticked:
		m.roll(roster.Ticked{})
		m.share()
		m.view()
		m.follow(follow.Ticked{})
	case Woke:
		m.share() // what has run out must not be used by what comes next
		m.roll(roster.Woke{Gap: e.Gap})
		m.follow(follow.Woke{Gap: e.Gap})
	case Ends:
		m.roll(roster.Ends{})
	}
	return m.out
}

func (m *Member) do(a Action) { m.out = append(m.out, a) }

func (m *Member) tell(number int, data []byte) {
	if to, ok := m.Addr(number); ok && number != m.cfg.Self {
		m.do(Tell{to, data})
	}
}

// roll gives an event to the roster and takes what it says.
func (m *Member) roll(e roster.Event) {
	if m.roster == nil {
		return
	}
	for _, a := range m.roster.Handle(m.now, e) {
		switch a := a.(type) {
		case roster.Tell:
			m.do(Tell{a.To, a.Data})
		case roster.Changed:
			m.size = max(m.size, int(a.ID)+1)
			m.do(Log{fmt.Sprintf("process %d is %v, life %d", a.ID, a.Status, a.Life)})
		}
	}
}

func (m *Member) follow(e follow.Event) {
	for _, a := range m.agent.Handle(m.now, e) {
		switch a := a.(type) {
		case follow.Tell:
			m.tell(a.To, a.Data)
		case follow.Changed:
			m.do(Changed{})
		case follow.AskSource:
			m.do(AskSource{})
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
	seen := []subset.Seen{{ID: uint32(m.cfg.Self), State: subset.There}}
	unmet := m.now-m.bornAt < subset.Unmet
	met := map[roster.ID]bool{roster.ID(m.cfg.Self): true}
	for _, x := range m.roster.Members() {
		if met[x.ID] = true; int(x.ID) == m.cfg.Self || x.ID >= FirstService {
			continue
		}
		switch x.Status {
		case roster.Alive:
			seen = append(seen, subset.Seen{ID: uint32(x.ID), State: subset.There})
		case roster.Suspect:
			seen = append(seen, subset.Seen{ID: uint32(x.ID), State: subset.Doubtful})
		}
	}
	for i := range m.cfg.Nodes {
		if unmet && !met[roster.ID(i)] {
			seen = append(seen, subset.Seen{ID: uint32(i), State: subset.There})
		}
	}
	m.settle.See(m.now, seen)
	if all, changed := m.settle.View(); changed {
		m.do(Fleet{all})
	}
}

func (m *Member) given() {
	if g, changed := m.parts.Given(m.now); changed {
		m.do(Given{g})
	}
}

func (m *Member) post(all []shares.Datagram) {
	for _, d := range all {
		m.tell(int(d.To), d.Data)
	}
}

// living lists the nodes that this process takes for alive, itself among them.
func (m *Member) living() (out []shares.ID) {
	for i := range min(m.size, FirstService) {
		if i == m.cfg.Self || (fleetOf{m}).Lives(i) {
			out = append(out, shares.ID(i))
		}
	}
	return out
}

// hear takes a datagram: all of package follow's, roster's or shares', or the rest.
func (m *Member) hear(e Heard) {
	from, known := m.number(e.From)
	if !known {
		if m.roster != nil && roster.Ours(e.Data) { // it may be one that joins
			m.roll(roster.Heard{From: e.From, Data: e.Data})
		} else {
			m.counts.Strangers++
		}
		return
	}
	data := e.Data
	if !roster.Ours(data) { // whatever it says, it lives
		m.roll(roster.Told{ID: roster.ID(from)})
	}
	if follow.Ours(data) {
		m.follow(follow.Heard{From: from, Data: data})
		if data = follow.Unwrap(data); len(data) == 0 {
			return
		}
	}
	switch {
	case shares.Ours(data):
		if m.parts == nil {
			return
		}
		if shares.Asks(data) && !m.agent.Uses(from) { // a straggler claims nothing; what it gives back or grants counts
			m.counts.Unused++
			return
		}
		m.post(m.parts.Hear(m.now, shares.ID(from), data))
	case roster.Ours(data):
		m.roll(roster.Heard{From: e.From, Data: data})
	case m.agent.Uses(from):
		m.do(Rest{from, data})
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

// Arrived counts a request: its tenant's need, and of the work.
func (m *Member) Arrived(tenant string) {
	if m.parts != nil {
		m.parts.Arrived(tenant)
	}
}

// Agent is what decides about versions; Roster who lives, nil if that is not found out.
func (m *Member) Agent() *follow.Agent   { return m.agent }
func (m *Member) Roster() *roster.Roster { return m.roster }

// Counts gives the member's own figures.
func (m *Member) Counts() Counts { return m.counts }

// Record gives what the process has on record, with whom it knows and what it holds.
func (m *Member) Record(now Time) version.Record {
	r := m.agent.Recorder().Take(now)
	if m.parts != nil {
		for _, p := range m.parts.Held(now) {
			r.Parts = append(r.Parts, version.Part{Whole: p.Whole, Base: p.Base, Held: p.Held, Need: p.Need, All: p.All})
		}
		r.Seats, r.Quorate = m.parts.Seats(now), m.parts.Quorate(now)
	}
	if m.roster == nil {
		return r
	}
	r.Majority, r.View = m.roster.Majority(), m.roster.Digest()
	for _, x := range m.roster.Members() {
		heard := time.Duration(-1)
		if x.Heard > 0 {
			heard = now - x.Heard
		}
		r.Members = append(r.Members, version.Member{Process: int(x.ID), Status: x.Status.String(), Life: uint32(x.Life), Heard: heard})
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
	standing, _ := m.agent.Standing()
	out := []Figure{{"standing", "g", int64(standing)}, {"epoch", "g", int64(v.List.Epoch)}, {"generation", "g", int64(v.List.Generation)},
		{"acts_on", "g", int64(m.agent.Acts().Generation)}, {"hellos", "c", int64(c.Hellos)}, {"asks", "c", int64(c.Asks)},
		{"answers", "c", int64(c.Answers)}, {"bytes", "c", int64(c.Bytes)}, {"acted", "c", int64(c.Acted)},
		{"over_bound", "c", int64(c.OverBound)}, {"doubted", "c", int64(c.Doubted)}, {"malformed", "c", int64(c.Malformed)},
		{"old", "c", int64(c.Old)}, {"unused", "c", int64(c.Unused + m.counts.Unused)}, {"dropped", "c", int64(c.Dropped)},
		{"strangers", "c", int64(m.counts.Strangers)}}
	if m.roster != nil {
		out = append(out, m.rosterFigures()...)
	}
	if m.parts != nil {
		for _, p := range m.parts.Held(now) {
			out = append(out, Figure{"held." + figureName(p.Whole), "g", int64(1000 * p.Held / max(p.All, 1e-9))}) // in thousandths of the whole
		}
		quorate := int64(0)
		if m.parts.Quorate(now) {
			quorate = 1
		}
		out = append(out, Figure{"seats", "g", int64(m.parts.Seats(now))}, Figure{"quorate", "g", quorate})
	}
	return out
}

func (m *Member) rosterFigures() []Figure {
	alive, suspect, gone, oldest := int64(0), int64(0), int64(0), Time(0)
	for _, x := range m.roster.Members() {
		switch x.Status {
		case roster.Alive:
			alive++
			oldest = max(oldest, m.now-x.Heard)
		case roster.Suspect:
			suspect++
		case roster.Gone:
			gone++
		}
	}
	majority := int64(0)
	if m.roster.Majority() {
		majority = 1
	}
	c := m.roster.Counts()
	return []Figure{{"members", "g", alive}, {"suspected", "g", suspect}, {"gone", "g", gone}, {"majority", "g", majority},
		{"view_age_ms", "g", oldest.Milliseconds()}, {"probes", "c", int64(c.Probes)}, {"covered", "c", int64(c.Covered)},
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
