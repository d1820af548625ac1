package roster

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	pagesEvery     = 24.0            // members that are told in a period, about
	suspectsAtOnce = 4               // that are probed in a period beside the round's
	mostPings      = 3               // of a member by one probe
	probesAtOnce   = 4               // of the round that are out, where they are not answered
	ahead          = 6               // of the round's order that the next is chosen of
	tellOf         = 2               // members that are told of an own suspicion at once
	enough         = 3               // own probes that must have failed for a suspicion to end soon
	suspectsFirst  = 60.0            // processes that look at a suspect in a period, about
	seedsAgain     = 0.1             // part of the periods in which a seed that was never met is asked, where others are known
	purseLasts     = 10.0            // seconds of the budget that may be spent at once
	debtLasts      = 3.0             // seconds of it that are owed at most: a flood that is answered is not paid for after it
	fewUpdates     = 2               // in a datagram where the budget is spent
	pagesAtOnce    = 2               // datagrams of a view, a tick
	mostRelays     = 256             // probes on behalf of others that are out at once
	settle         = 5 * time.Second // after which one that is gone is not counted as of the fleet, where most are there
)

type member struct {
	Member
	told      int // times that its present status has been told
	suspectAt Time
	fails     int  // own probes of it that failed, since it was heard
	spoke     Time // when a datagram of this package's came of this very life
	toldOf    Time // when it was told last what it is taken for here
	direct    Time // when this process heard it itself
	counted   bool // one of the last agreed fleet
}

// probe is one that is out.
type probe struct {
	of    ID
	seq   uint32
	sent  Time
	pings int  // that it was sent
	asked bool // helpers have been asked
	round bool // it is the one of the round
	nacks int  // of helpers
}

// relay is a probe on behalf of another.
type relay struct {
	seq  uint32 // the other's
	to   netip.AddrPort
	sent Time
	of   ID
	done bool
}

// Roster is one process's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	set     Settings
	self    Member
	rng     *rand.Rand
	now     Time
	out     []Action
	members map[ID]*member
	byAddr  map[netip.AddrPort]ID
	seeds   []netip.AddrPort
	turn    []ID              // whom to probe next
	probes  map[uint32]*probe // that are out: one of the round, and those of suspects
	relays  map[uint32]*relay
	seq     uint32
	next    Time // beginning of the next period
	aware   int
	heard   Time // last word of anybody
	ended   bool
	counts  Counts

	purse     float64 // bytes that may be spent on news; under 0: only what a datagram needs is said
	pages     []ID    // that are still to be told to pagesTo
	pagesTo   netip.AddrPort
	nextPages Time
}

// New makes the roster of a process that has started with a life. Seeds are the
// addresses of some others, two at least; who has one of them is heard before it is a
// member.
func New(set Settings, self Member, seeds []netip.AddrPort, now Time, seed int64) *Roster {
	r := &Roster{set: set, self: self, rng: rand.New(rand.NewPCG(uint64(seed), 0x726f73)), now: now, members: map[ID]*member{},
		byAddr: map[netip.AddrPort]ID{}, relays: map[uint32]*relay{}, probes: map[uint32]*probe{}, seeds: slices.Clone(seeds), purse: purseLasts * set.BytesPerSecond}
	r.self.Status = Alive
	r.next = now + Time(r.rng.Float64()*float64(set.ProbePeriod))
	return r
}

// Counts gives the figures.
func (r *Roster) Counts() Counts { return r.counts }

// Handle takes an event and returns what is to be done, in order. The slice is
// reused by the next call.
func (r *Roster) Handle(now Time, e Event) []Action {
	r.purse = min(purseLasts*r.set.BytesPerSecond, r.purse+r.set.BytesPerSecond*max(0, now-r.now).Seconds())
	r.now, r.out = max(now, r.now), r.out[:0]
	switch e := e.(type) {
	case DatagramReceived:
		r.hear(e)
	case PeerActive:
		switch m := r.members[e.ID]; {
		case m == nil || m.Status == Left:
		case m.Status != Gone:
			r.lives(m)
		case r.now-m.toldOf >= r.set.ProbePeriod: // a split has healed: it is told what it is taken for, and refutes it
			m.toldOf = r.now
			r.look(m, false)
		}
	case Tick:
		r.tick()
	case Resumed:
		r.woke(e)
	case Leaving:
		r.ended = true
		r.self.Status, r.self.Refutations = Left, r.self.Refutations+1
		for _, m := range r.some(2*r.set.IndirectProbes, func(m *member) bool { return m.Status == Alive }) {
			r.send(m.Addr, message{kind: ping, target: m.ID})
		}
	}
	return r.out
}

// MaxMembers lists all that are known, this one among them, by name.
func (r *Roster) Members() []Member {
	out := []Member{r.self}
	out[0].LastHeard = r.now
	for _, m := range r.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// AliveCount is how many are taken for alive or suspected, this one among them: a
// suspicion may be wrong.
func (r *Roster) AliveCount() int {
	n := 1
	for _, m := range r.members {
		if m.Status == Alive || m.Status == Suspect {
			n++
		}
	}
	return n
}

// HasMajority tells whether most of the last agreed fleet are heard by this process or
// by those it hears: suspects do not count.
func (r *Roster) HasMajority() bool {
	all, here := 1, 1
	for _, m := range r.members {
		if m.counted {
			all++
			if m.Status == Alive {
				here++
			}
		}
	}
	return 2*here > all
}

// Digest is the same at processes with the same view of who lives.
func (r *Roster) Digest() uint32 {
	d := uint32(r.self.ID)*2654435761 + uint32(r.self.Incarnation)*40503
	for _, m := range r.members {
		if m.Status == Alive || m.Status == Suspect {
			d += uint32(m.ID)*2654435761 + uint32(m.Incarnation)*40503
		}
	}
	return d
}

// send tells a process something, with as many updates as there is room for: those
// that have been told least often first.
func (r *Roster) send(to netip.AddrPort, m message) {
	m.id, m.life, m.incarnation, m.digest = r.self.ID, r.self.Incarnation, r.self.Refutations, r.Digest()
	if r.ended {
		m.updates = append(m.updates, said{Left, r.self.ID, r.self.Incarnation, r.self.Refutations, r.self.Addr})
	}
	limit := int(math.Ceil(r.set.RetransmitMultiplier * math.Log10(float64(len(r.members)+2))))
	var news []*member
	for _, x := range r.members {
		if x.told < limit && x.Addr != to {
			news = append(news, x)
		}
	}
	slices.SortFunc(news, func(a, b *member) int { return cmp.Or(cmp.Compare(a.told, b.told), cmp.Compare(a.ID, b.ID)) })
	if x := r.members[r.byAddr[to]]; x != nil && x.Status != Alive { // it must hear of a suspicion at once, to refute it
		m.updates = append(m.updates, x.said())
	}
	room := MaxUpdates
	if r.purse < 0 {
		room = fewUpdates
	}
	for _, x := range news[:max(0, min(len(news), room-len(m.updates)))] {
		x.told++
		m.updates = append(m.updates, x.said())
	}
	data := m.append(make([]byte, 0, MaxDatagram))
	r.counts.Datagrams++
	r.counts.Bytes += uint64(len(data))
	r.purse = max(-debtLasts*r.set.BytesPerSecond, r.purse-float64(len(data)))
	r.out = append(r.out, Send{to, data})
}

func (m *member) said() said { return said{m.Status, m.ID, m.Incarnation, m.Refutations, m.Addr} }

// hears tells whether datagrams of an address are taken.
func (r *Roster) hears(from netip.AddrPort) bool {
	if _, known := r.byAddr[from]; known || slices.Contains(r.seeds, from) {
		return true
	}
	return slices.ContainsFunc(r.set.AllowedPrefixes, func(p netip.Prefix) bool { return p.Contains(from.Addr()) })
}

func (r *Roster) hear(e DatagramReceived) {
	m, err := parse(e.Data)
	if err != nil {
		r.counts.Malformed++
		return
	}
	if !r.hears(e.From) {
		r.counts.UnknownSenders++
		return
	}
	if m.id == r.self.ID || r.ended {
		return
	}
	if m.id >= r.set.IDLimit {
		r.counts.UnknownSenders++
		return
	}
	from := r.members[m.id]
	switch {
	case from != nil && (m.life < from.Incarnation || m.life == from.Incarnation && from.Status == Left):
		r.counts.Stale++
		r.tellLife(from, e.From)
		return
	case from != nil && from.Addr != e.From && m.life == from.Incarnation:
		r.counts.UnknownSenders++ // somebody else's name
		return
	}
	if from = r.take(said{Alive, m.id, m.life, m.incarnation, e.From}, m.id, true); from == nil {
		return
	}
	for _, u := range m.updates {
		if u.id == r.self.ID {
			r.refute(u)
		} else {
			r.take(u, m.id, false)
		}
	}
	if from.Status == Left {
		return
	}
	from.spoke = r.now
	r.lives(from)
	r.compare(from, m.digest)
	switch m.kind {
	case ping:
		r.send(e.From, message{kind: ack, seq: m.seq})
	case ack:
		r.acked(m.seq, m.id)
	case pingFor:
		if len(r.relays) < mostRelays && m.target != r.self.ID {
			r.seq++
			r.relays[r.seq] = &relay{seq: m.seq, to: e.From, sent: r.now, of: m.target}
			r.send(m.at, message{kind: ping, seq: r.seq, target: m.target})
		}
	case nack:
		if p := r.probes[m.seq]; p != nil {
			p.nacks++
		}
	}
}

// tellLife tells a process that speaks under a life that is over here which one is
// known: one whose clock was set back before it started, or that started anew within a
// second, takes a later life then. Not while that other life is heard: then it is a
// former one's datagram that was late.
func (r *Roster) tellLife(m *member, to netip.AddrPort) {
	if r.now-m.spoke < r.set.ProbePeriod || r.now-m.toldOf < r.set.ProbePeriod {
		return
	}
	m.toldOf = r.now
	r.send(to, message{kind: page, updates: []said{m.said()}})
}

// compare tells another process all members if its view differs: at most every other
// period, more rarely in a large fleet, so that the bytes a second do not grow with it,
// and in turns of a few datagrams.
func (r *Roster) compare(m *member, digest uint32) {
	if digest == r.Digest() || r.now < r.nextPages || len(r.pages) > 0 {
		return
	}
	r.nextPages, r.pagesTo = r.now+Time(max(2, float64(len(r.members))/pagesEvery)*float64(r.set.ProbePeriod)), m.Addr
	for _, id := range r.ids() {
		if id != m.ID {
			r.pages = append(r.pages, id)
		}
	}
	r.turnPage()
}

// turnPage sends the next datagrams of a view.
func (r *Roster) turnPage() {
	for range pagesAtOnce {
		if len(r.pages) == 0 || r.purse < 0 {
			return
		}
		n := min(len(r.pages), MaxUpdates-1) // one is left for what the receiver must know of itself
		m := message{kind: page}
		for _, id := range r.pages[:n] {
			if x := r.members[id]; x != nil {
				m.updates = append(m.updates, x.said())
			}
		}
		r.pages = r.pages[n:]
		r.send(r.pagesTo, m)
	}
}

// lives takes that a member was heard by this process itself: a suspicion is over here.
func (r *Roster) lives(m *member) {
	r.heard = r.now
	m.LastHeard, m.direct, m.fails = r.now, r.now, 0
	if m.Status == Suspect {
		r.become(m, Alive)
	}
}

func (r *Roster) acked(seq uint32, by ID) {
	if p := r.probes[seq]; p != nil {
		delete(r.probes, seq)
		if p.round {
			r.aware = max(0, r.aware-1)
		}
		if by != p.of { // through a helper
			if m := r.members[p.of]; m != nil {
				r.lives(m)
			}
		}
		return
	}
	if x := r.relays[seq]; x != nil && x.of == by {
		delete(r.relays, seq)
		r.send(x.to, message{kind: ack, seq: x.seq})
	}
}

// take takes what is said of a member: what is of a later life, or of a later
// incarnation, or worse news of the same one. direct is whether it says so itself.
func (r *Roster) take(u said, by ID, direct bool) *member {
	m := r.members[u.id]
	if m == nil {
		if u.id >= r.set.IDLimit {
			return nil
		}
		if !direct && (u.status == Gone || u.status == Left) {
			return nil
		}
		if len(r.members) >= r.set.MaxMembers {
			r.counts.MembersRejected++
			return nil
		}
		m = &member{Member: Member{ID: u.id, Addr: u.addr, Incarnation: u.life, Refutations: u.incarnation, StatusSince: r.now}, counted: true}
		r.members[u.id], r.byAddr[u.addr] = m, u.id
		r.turn = append(r.turn, u.id)
		r.become(m, Alive)
		if u.status != Suspect {
			return m
		}
	}
	switch {
	case u.life < m.Incarnation, u.life == m.Incarnation && int16(u.incarnation-m.Refutations) < 0:
		return m
	case u.life > m.Incarnation:
		if u.status != Alive && !direct || !direct && m.spoke > 0 && r.now-m.spoke < r.set.ProbePeriod {
			return m // a new life tells of itself; nobody takes the name of one that is heard now
		}
		delete(r.byAddr, m.Addr)
		m.Incarnation, m.Refutations, m.Addr, m.fails, m.counted = u.life, u.incarnation, u.addr, 0, true
		r.byAddr[u.addr] = u.id
		r.become(m, Alive)
	case u.status == Alive:
		if newer := int16(u.incarnation-m.Refutations) > 0; newer && m.Status != Left {
			m.Refutations, m.fails = u.incarnation, 0
			if m.Status != Alive {
				r.become(m, Alive)
			} else {
				m.told = 0
			}
		}
	case u.status == Left && m.Status != Left:
		m.Refutations = u.incarnation
		if direct || by == u.id || m.direct == 0 || r.now-m.direct > r.set.ProbePeriod {
			m.counted = false
			r.become(m, Left)
		}
	case m.Status == Alive: // suspected or gone, says another: nobody is buried by that alone
		if m.direct > 0 && r.now-m.direct < r.set.ProbePeriod {
			return m // it has just been heard here
		}
		m.Refutations = u.incarnation
		r.become(m, Suspect)
	}
	return m
}

// become changes a member's status, which is news.
func (r *Roster) become(m *member, to Status) {
	m.told, m.Status, m.StatusSince = 0, to, r.now
	if to == Suspect {
		m.suspectAt = r.now
	}
	r.out = append(r.out, StatusChanged{m.ID, to, m.Incarnation})
}

// refute answers a suspicion of this process itself.
func (r *Roster) refute(u said) {
	if newer := int32(uint32(u.life) - uint32(r.self.Incarnation)); newer > 0 || newer == 0 && u.status == Left {
		r.self.Incarnation, r.self.Refutations = u.life+1, 0 // a former life of this process, by a clock that has been set back since
		r.counts.IncarnationsRaised++
		return
	}
	if u.status == Alive || u.life != r.self.Incarnation || int16(u.incarnation-r.self.Refutations) < 0 {
		return
	}
	r.self.Refutations = u.incarnation + 1
	r.counts.Refuted++
	r.aware = min(r.set.MaxAwareness, r.aware+1) // it was too slow to answer
	for _, m := range r.some(r.set.IndirectProbes, func(m *member) bool { return m.Status == Alive }) {
		r.send(m.Addr, message{kind: ping, target: m.ID})
	}
}

// slow is what own slowness stretches times by.
func (r *Roster) slow(d time.Duration) time.Duration { return d * time.Duration(1+r.aware) }

func (r *Roster) tick() {
	if r.ended {
		return
	}
	for _, seq := range r.outstanding() {
		r.insist(r.probes[seq])
	}
	r.turnPage()
	for seq, x := range r.relays {
		switch age := r.now - x.sent; {
		case age > 4*r.set.ProbePeriod:
			delete(r.relays, seq)
		case age > r.set.ProbeTimeout && !x.done:
			x.done = true
			r.send(x.to, message{kind: nack, seq: x.seq})
		}
	}
	if r.now >= r.next {
		r.period()
	}
	r.decide()
}

// insist asks again for an ack that is late: the member itself, so that one lost datagram
// is no doubt, and, once, others who may reach it.
func (r *Roster) insist(p *probe) {
	m := r.members[p.of]
	if m == nil || p.pings >= mostPings || r.now-p.sent < time.Duration(p.pings)*r.slow(r.set.ProbeTimeout) {
		return
	}
	p.pings++
	r.send(m.Addr, message{kind: ping, seq: p.seq, target: p.of})
	if p.asked {
		return
	}
	p.asked = true
	if p.round { // where many are dead at once the next is not waited for
		r.next = r.now
	}
	for _, h := range r.some(r.set.IndirectProbes, func(x *member) bool { return x.Status == Alive && x.ID != p.of }) {
		r.send(h.Addr, message{kind: pingFor, seq: p.seq, target: p.of, at: m.Addr})
	}
}

// outstanding lists the probes that are out, in a fixed order.
func (r *Roster) outstanding() []uint32 {
	out := make([]uint32, 0, len(r.probes))
	for seq := range r.probes {
		out = append(out, seq)
	}
	slices.Sort(out)
	return out
}

// period ends the probes that have not been answered, and begins the next.
func (r *Roster) period() {
	news := 0
	for _, seq := range r.outstanding() {
		p := r.probes[seq]
		if r.now-p.sent < r.slow(r.set.ProbePeriod) { // slow itself: it gives more time
			continue
		}
		delete(r.probes, seq)
		// IndirectProbes that answered say that it is not this process, as does whoever was heard
		// meanwhile: where most are dead no helper answers.
		if p.round && p.nacks == 0 && r.heard <= p.sent {
			r.aware = min(r.set.MaxAwareness, r.aware+1)
		}
		if m := r.members[p.of]; m != nil && m.direct <= p.sent && (m.Status == Alive || m.Status == Suspect) {
			if m.fails++; m.Status == Alive {
				r.counts.Suspicions++
				r.become(m, Suspect)
				news++
			}
		}
	}
	if news > 0 { // those that were heard just now are told: what goes to the dead is lost
		for _, m := range r.some(tellOf, func(m *member) bool { return m.Status == Alive && r.now-m.direct < 2*r.set.ProbePeriod }) {
			r.send(m.Addr, message{kind: ping, target: m.ID})
		}
	}
	r.next = r.now + r.set.ProbePeriod
	// It is alone, or has not met all whom it was told of: processes that began in islands
	// would else never hear of one another.
	few := len(r.members) < len(r.seeds) || r.AliveCount() == 1
	for _, a := range r.seeds {
		if _, known := r.byAddr[a]; !known && a != r.self.Addr && (few || r.rng.Float64() < seedsAgain) {
			r.send(a, message{kind: ping})
		}
	}
	for _, m := range r.some(suspectsAtOnce, func(m *member) bool { return m.Status == Suspect && !r.asked(m.ID) }) {
		if r.rng.Float64() < suspectsFirst/float64(len(r.members)) { // each is to see for itself; not all at once
			r.look(m, false)
		}
	}
	if r.rounds() {
		return
	}
	for range len(r.turn) + 1 {
		if len(r.turn) == 0 {
			r.round()
			if len(r.turn) == 0 {
				return
			}
		}
		m := r.members[r.silent()]
		if m == nil || m.Status == Left || m.Status == Gone && r.rng.Float64() > 0.1 { // one that is gone is tried now and then: a split may have healed
			continue
		}
		if m.direct > 0 && r.now-m.direct < r.set.ProbePeriod && m.Status == Alive && len(r.news()) == 0 {
			r.counts.ProbesSkipped++
			return
		}
		r.look(m, true)
		return
	}
}

// silent takes the next to be probed off the turn: of the first few the one that was heard
// longest ago.
func (r *Roster) silent() ID {
	best, since := 0, Time(math.MaxInt64)
	for i, id := range r.turn[:min(ahead, len(r.turn))] {
		if m := r.members[id]; m != nil && m.Status == Alive && m.direct < since {
			best, since = i, m.direct
		}
	}
	id := r.turn[best]
	r.turn = slices.Delete(r.turn, best, best+1)
	return id
}

// look probes a member.
func (r *Roster) look(m *member, round bool) {
	r.seq++
	r.probes[r.seq] = &probe{of: m.ID, seq: r.seq, sent: r.now, pings: 1, round: round}
	r.counts.Probes++
	r.send(m.Addr, message{kind: ping, seq: r.seq, target: m.ID})
}

// asked tells whether a member is being probed; rounds whether no further probe of the
// round is to begin.
func (r *Roster) asked(id ID) bool {
	for _, p := range r.probes {
		if p.of == id {
			return true
		}
	}
	return false
}

func (r *Roster) rounds() bool {
	n := 0
	for _, p := range r.probes {
		if p.round {
			if n++; !p.asked || n >= probesAtOnce {
				return true
			}
		}
	}
	return false
}

// news lists members of whom there is something left to tell.
func (r *Roster) news() []ID {
	limit := int(math.Ceil(r.set.RetransmitMultiplier * math.Log10(float64(len(r.members)+2))))
	var out []ID
	for id, m := range r.members {
		if m.told < limit {
			out = append(out, id)
		}
	}
	return out
}

// round puts all members in a new random order: each is probed once a round.
func (r *Roster) round() {
	for id := range r.members {
		r.turn = append(r.turn, id)
	}
	slices.Sort(r.turn)
	r.rng.Shuffle(len(r.turn), func(i, j int) { r.turn[i], r.turn[j] = r.turn[j], r.turn[i] })
}

// over tells whether a suspicion has lasted long enough: the less time, the more this
// process has seen of it itself.
func (r *Roster) over(m *member) bool {
	least := r.set.SuspicionMultiplier * math.Max(1, math.Log10(float64(len(r.members)+1))) * float64(r.set.ProbePeriod)
	age := float64(r.now-max(m.suspectAt, m.direct)) / float64(1+r.aware/2)
	switch {
	case m.fails >= enough:
		return age >= least
	case m.fails > 0:
		return age >= least*r.set.SuspicionMaxMultiplier
	}
	return age >= 2*least*r.set.SuspicionMaxMultiplier
}

// decide ends suspicions that were not refuted, and forgets who is gone for long.
func (r *Roster) decide() {
	for _, id := range r.ids() {
		m := r.members[id]
		switch {
		case m.Status == Suspect && r.over(m):
			r.become(m, Gone)
		case m.Status == Gone && m.counted && r.now-m.StatusSince > settle && r.HasMajority():
			m.counted = false
		case (m.Status == Gone || m.Status == Left) && !m.counted && r.now-m.StatusSince > r.set.ForgetAfter:
			delete(r.members, id)
			delete(r.byAddr, m.Addr)
		}
	}
}

func (r *Roster) ids() []ID {
	out := make([]ID, 0, len(r.members))
	for id := range r.members {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// some draws members that fit.
func (r *Roster) some(n int, fits func(*member) bool) []*member {
	var all []*member
	for _, id := range r.ids() {
		if m := r.members[id]; fits(m) {
			all = append(all, m)
		}
	}
	r.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// woke takes that this process stood still: the silence that it sees is its own.
func (r *Roster) woke(e Resumed) {
	r.aware = min(r.set.MaxAwareness, r.aware+2)
	clear(r.probes)
	for _, m := range r.members {
		if m.Status == Suspect {
			m.suspectAt = r.now
		}
		if m.direct > 0 {
			m.direct += e.Gap
		}
	}
	r.next = r.now
}
