package shares

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxSlots is how many seats there may be, MaxHolders bounds the IDs of those who hold
// them: a guard's answer must go into a datagram of 256 bytes. MaxGuards bounds how many
// guards there may be.
const (
	MaxSlots   = 256
	MaxHolders = 1024
	MaxGuards  = 15
)

// QuorumDigest is the agreement by which what dead processes had goes to living ones. The
// part of each whole above the floors is cut into seats. A seat is held by whoever
// has a lease of it from most of a few guards (Gray and Cheriton, 1989; Gifford,
// 1979): two holders would need one guard that granted it to both, and a guard grants
// a seat to one at a time, for a time that runs out at the holder first. All is in
// memory; a guard that begins anew grants nothing until all that its former life may
// have granted has run out. It must be the same at all processes: a claim under
// another one is not answered.
type Quorum struct {
	Guards        []ID          // an odd number, one to MaxGuards
	Slots         int           // 1 to MaxSlots
	MaxProcesses  int           // processes that have a floor, and hold seats: those with a lower ID; MaxHolders at most
	LeaseTime     time.Duration // of a seat
	MaxClockDrift float64       // by which a clock may be fast or slow, as a part
}

// Digest tells quorums apart.
func (q *Quorum) Digest() uint16 {
	h := xxhash.New()
	for _, x := range append([]ID{ID(q.Slots), ID(q.MaxProcesses), ID(q.LeaseTime / time.Millisecond), ID(q.MaxClockDrift * 1e6)}, q.Guards...) {
		h.Write([]byte{byte(x >> 24), byte(x >> 16), byte(x >> 8), byte(x)})
	}
	return uint16(h.Sum64())
}

// needs is how many guards most are.
func (q *Quorum) needs() int { return len(q.Guards)/2 + 1 }

// granted is how long a guard counts a lease; the holder counts Lease by its own clock
// from when it asked.
func (q *Quorum) granted() time.Duration {
	return time.Duration(float64(q.LeaseTime) * (1 + q.MaxClockDrift) / (1 - q.MaxClockDrift))
}

// SlotSet is a set of seats.
type SlotSet [MaxSlots / 64]uint64

// Has, Add and Remove are a set's.
func (s *SlotSet) Has(i int) bool { return s[i/64]>>(i%64)&1 != 0 }
func (s *SlotSet) Add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s *SlotSet) Remove(i int)   { s[i/64] &^= 1 << (i % 64) }

// What holders and guards say to one another.
type (
	// Claim asks a guard for leases, or for their renewal, all at once; a seat that
	// was granted and is not named any more is given back. Rounds rise within a life.
	Claim struct {
		QuorumDigest uint16
		Incarnation  uint32
		Round        uint32
		Requested    SlotSet
	}
	// ClaimReply answers a Claim: what is granted for a lease from when it was asked for;
	// what others want of it; what nobody holds; and who has claimed within a lease.
	ClaimReply struct {
		Incarnation uint32
		Round       uint32
		Granted     SlotSet
		Contested   SlotSet
		Free        SlotSet
		Active      HolderSet
	}
)

// HolderSet is a set of processes.
type HolderSet [MaxHolders / 64]uint64

// Has and Add are a set's.
func (h *HolderSet) Has(id ID) bool { return id < MaxHolders && h[id/64]>>(id%64)&1 != 0 }
func (h *HolderSet) Add(id ID) {
	if id < MaxHolders {
		h[id/64] |= 1 << (id % 64)
	}
}

// Guard grants seats. It is not safe for concurrent use.
type Guard struct {
	q             Quorum
	bornAt        Time
	started       bool
	seats         []seat
	rounds        map[ID]heardClaim
	IgnoredClaims uint64 // claims under another quorum, or older than one that was heard
}

type seat struct {
	by       ID
	life     uint32
	until    Time
	wantedBy ID
	wantedAt Time // 0: nobody else asked for it
}

type heardClaim struct {
	life, round uint32
	at          Time
}

// most is how many seats one process keeps of this guard that others want: twice its
// equal part among those that have asked of late. Guards against one that claims all,
// which then has three parts at most, as each guard may grant it others.
func (g *Guard) most(now Time) int {
	n := 0
	for id, c := range g.rounds {
		switch age := now - c.at; {
		case age < g.q.LeaseTime:
			n++
		case age > forgetAfter*g.q.granted():
			delete(g.rounds, id)
		}
	}
	return 2 * ((g.q.Slots + n) / max(1, n))
}

// forgetAfter is how many leases after its last claim a process's rounds are forgotten:
// all that it may still have on its way is older than any lease by then.
const forgetAfter = 20

// NewGuard makes a guard that starts now. It grants nothing for a lease, as it may have
// had a former life.
func NewGuard(q Quorum, now Time) *Guard {
	return &Guard{q: q, bornAt: now, seats: make([]seat, q.Slots), rounds: map[ID]heardClaim{}}
}

// maxHolders bounds the processes whose rounds a guard remembers.
const maxHolders = 4096

// Handle answers a claim. One of a later life of a process counts as another process's:
// what the former one has runs out.
func (g *Guard) HandleClaim(now Time, from ID, c Claim) (ClaimReply, bool) {
	last, known := g.rounds[from]
	switch {
	case c.QuorumDigest != g.q.Digest(), !known && len(g.rounds) >= maxHolders,
		known && c.Incarnation == last.life && int32(c.Round-last.round) <= 0,
		known && int32(c.Incarnation-last.life) < 0 && now-last.at < g.q.LeaseTime: // a former life's, or a clock was set back
		g.IgnoredClaims++
		return ClaimReply{}, false
	}
	g.rounds[from] = heardClaim{c.Incarnation, c.Round, now}
	out := ClaimReply{Incarnation: c.Incarnation, Round: c.Round}
	born := now-g.bornAt >= g.q.granted()
	most, has := g.most(now), 0
	for id, c := range g.rounds {
		if now-c.at < g.q.granted() {
			out.Active.Add(id)
		}
	}
	for i := range g.seats {
		s := &g.seats[i]
		held := now < s.until
		mine := held && s.by == from && s.life == c.Incarnation
		want := c.Requested.Has(i)
		switch {
		case mine && !want: // given back: the holder has stopped using it before it said so
			s.until = 0
			held = false
		case want && (mine || !held) && has >= most && s.wantedBy != from && s.wantedAt > 0 && now-s.wantedAt < 2*g.q.LeaseTime: // it runs out
			out.Contested.Add(i)
		case want && born && (mine || !held):
			has++
			s.by, s.life, s.until = from, c.Incarnation, now+g.q.granted()
			held = true
			out.Granted.Add(i)
			if s.wantedAt > 0 && now-s.wantedAt < g.q.LeaseTime && s.wantedBy != from {
				out.Contested.Add(i)
			}
		case want && held:
			s.wantedBy, s.wantedAt = from, now
		}
		if !held && born {
			out.Free.Add(i)
		}
	}
	return out, true
}

// Holder is a process's side of the quorum. It is not safe for concurrent use.
type Holder struct {
	q      Quorum
	self   ID
	life   uint32
	rng    *rand.Rand
	round  uint32
	asked  [rounds]Time       // when, by round modulo their number
	until  map[ID][]Time      // by guard and seat
	sure   []Time             // until when a seat may be used, by most guards
	answer map[ID]*ClaimReply // the newest
	heard  map[ID]Time
	target SlotSet
	want   SlotSet
	from   []uint32 // first round of those in a row, up to the last, in which a seat was asked for
	shyOf  []Time   // until then a seat is not asked for again
	since  []Time   // when a seat was first asked for without success; 0: it was not
	free   []Time   // since when a seat has been free at most guards; 0: it is not
	next   Time
	owed   int                                        // seats that others are to have, and that are lent
	met    Time                                       // when most guards had answered first; 0: not yet
	view   uint64                                     // digest of those among whom seats are placed
	rule   func(seats int, ids []ID, self ID) SlotSet // by which seats are placed
}

// NewHolder makes the holder of a process that starts now, which has nothing.
func NewHolder(q Quorum, self ID, life uint32, now Time, seed int64) *Holder {
	h := &Holder{q: q, self: self, life: life, rng: rand.New(rand.NewPCG(uint64(seed), 0x73656174)), until: map[ID][]Time{}, answer: map[ID]*ClaimReply{},
		heard: map[ID]Time{}, sure: make([]Time, q.Slots), from: make([]uint32, q.Slots), shyOf: make([]Time, q.Slots), since: make([]Time, q.Slots), free: make([]Time, q.Slots), next: now, rule: placed}
	for _, g := range q.Guards {
		h.until[g] = make([]Time, q.Slots)
	}
	return h
}

// settle finds out until when a seat may be used.
func (h *Holder) settle(i int) {
	var all [MaxGuards]Time
	u := all[:0]
	for _, g := range h.q.Guards {
		u = append(u, h.until[g][i])
	}
	slices.SortFunc(u, func(a, b Time) int { return cmp.Compare(b, a) })
	h.sure[i] = u[h.q.needs()-1]
}

// HeldSlots counts the seats that may be used at a time.
func (h *Holder) HeldSlots(at Time) int {
	n := 0
	for _, until := range h.sure {
		if at < until {
			n++
		}
	}
	return n
}

// HasQuorum tells whether most guards have answered within a lease.
func (h *Holder) HasQuorum(now Time) bool {
	n := 0
	for _, g := range h.q.Guards {
		if at, ok := h.heard[g]; ok && now-at < h.q.LeaseTime {
			n++
		}
	}
	return n >= h.q.needs()
}

// place says which seats are this process's by right, among those who claim any by the
// word of most guards. So all place alike, and what a dead process held is placed anew
// when its leases have run out, whoever else has noticed its death.
func (h *Holder) place(now Time) {
	if int(h.self) >= h.q.MaxProcesses {
		return
	}
	votes, answers := map[ID]int{h.self: h.q.needs()}, 0
	for _, g := range h.q.Guards {
		a := h.answer[g]
		if a == nil || now-h.heard[g] >= h.q.LeaseTime/2 {
			continue
		}
		answers++
		for id := range ID(min(h.q.MaxProcesses, MaxHolders)) {
			if a.Active.Has(id) {
				votes[id]++
			}
		}
	}
	if answers < h.q.needs() {
		return
	}
	if h.met == 0 {
		h.met = now
	}
	if now-h.met < h.q.LeaseTime/5 { // those that start together are to know of one another first
		return
	}
	var living []ID
	for id, n := range votes {
		if n >= h.q.needs() {
			living = append(living, id)
		}
	}
	slices.Sort(living)
	view := uint64(len(living))
	for _, id := range living {
		view = xxhash.Sum64(pair(view, uint64(id)))
	}
	if view != h.view {
		h.view, h.target = view, h.rule(h.q.Slots, living, h.self)
	}
}

// placed gives the seats that are a process's among some: those for which it is the
// first by rendezvous hashing. Parts are not quite even so, which loans see to; in return
// a process that comes or goes moves its own seats alone, so that processes with views
// that differ for a moment do not claim one another's.
func placed(seats int, ids []ID, self ID) (out SlotSet) {
	for i := range seats {
		first := slices.MaxFunc(ids, func(a, b ID) int {
			return cmp.Compare(xxhash.Sum64(pair(uint64(a), uint64(i))), xxhash.Sum64(pair(uint64(b), uint64(i))))
		})
		if first == self {
			out.Add(i)
		}
	}
	return out
}

func pair(a, b uint64) []byte {
	var out [16]byte
	for k := range 8 {
		out[k], out[8+k] = byte(a>>(8*k)), byte(b>>(8*k))
	}
	return out[:]
}

// Tick is a round: leases are renewed, what is missing is asked for, and what others
// want and is not this process's by right is given back, as far as may says that it
// can be spared.
func (h *Holder) Tick(now Time, spare func(held int) int) []Message {
	if now < h.next {
		return nil
	}
	h.next = now + h.q.LeaseTime/8
	if h.round > 0 && !h.answered() { // something was lost
		h.next = now + h.q.LeaseTime/20
	}
	h.look(now)
	h.place(now)
	held, give := 0, SlotSet{}
	for i := range h.q.Slots {
		if now < h.sure[i] {
			held++
		}
	}
	left := spare(held)
	h.owed = 0
	for i := range h.q.Slots {
		switch {
		case now >= h.sure[i] || h.target.Has(i) || !h.wanted(i):
		case left > 0:
			give.Add(i)
			left--
		default: // lent: it is given back when that has run out
			h.owed++
		}
	}
	before := h.want
	h.want = SlotSet{}
	for i := range h.q.Slots {
		until := h.sure[i]
		switch {
		case give.Has(i):
			h.shyOf[i] = now + h.q.LeaseTime
		case now < until:
			h.want.Add(i)
			h.since[i] = 0
		case now < h.shyOf[i]:
		case h.target.Has(i) || h.orphan(now, i):
			if h.since[i] == 0 {
				h.since[i] = now
			}
			if now-h.since[i] > h.q.LeaseTime/4 && h.split(now, i) { // another has a part of the guards: one gives way
				h.since[i], h.shyOf[i] = 0, now+Time(float64(h.q.LeaseTime)*(0.2+0.4*h.rng.Float64()))
				continue
			}
			h.want.Add(i)
		default:
			h.since[i] = 0
		}
	}
	h.round++
	h.asked[h.round%rounds] = now
	for i := range h.q.Slots {
		switch {
		case !h.want.Has(i): // what is not asked for is given back, and not used any more before a guard hears of it
			for _, g := range h.q.Guards {
				h.until[g][i] = 0
			}
			h.sure[i] = 0
		case !before.Has(i):
			h.from[i] = h.round
		}
	}
	out := make([]Message, 0, len(h.q.Guards))
	for _, g := range h.q.Guards {
		out = append(out, Message{g, Claim{h.q.Digest(), h.life, h.round, h.want}})
	}
	return out
}

// answered tells whether most guards have answered the last round but one or a later
// one.
func (h *Holder) answered() bool {
	n := 0
	for _, g := range h.q.Guards {
		if a := h.answer[g]; a != nil && h.round-a.Round <= 1 {
			n++
		}
	}
	return n >= h.q.needs()
}

// look finds out which seats nobody holds.
func (h *Holder) look(now Time) {
	for i := range h.q.Slots {
		n := 0
		for _, g := range h.q.Guards {
			if a := h.answer[g]; a != nil && now-h.heard[g] < h.q.LeaseTime && a.Free.Has(i) {
				n++
			}
		}
		switch {
		case n < h.q.needs():
			h.free[i] = 0
		case h.free[i] == 0:
			h.free[i] = now
		}
	}
}

// orphan tells whether a seat has been free for so long that whose it is by right does
// not take it: then anybody may, a few at a time.
func (h *Holder) orphan(now Time, i int) bool {
	return h.free[i] > 0 && now-h.free[i] > h.q.LeaseTime && (h.since[i] > 0 || h.rng.Float64() < 0.1)
}

// wanted tells whether most guards say that another asks for a seat.
func (h *Holder) wanted(i int) bool {
	n := 0
	for _, g := range h.q.Guards {
		if a := h.answer[g]; a != nil && a.Contested.Has(i) {
			n++
		}
	}
	return n >= h.q.needs()
}

// split tells whether some guards have granted a seat, and too few.
func (h *Holder) split(now Time, i int) bool {
	n := 0
	for _, g := range h.q.Guards {
		if now < h.until[g][i] {
			n++
		}
	}
	return n > 0 && n < h.q.needs()
}

// Handle takes a guard's answer: leases count from when they were asked for.
func (h *Holder) HandleReply(now Time, from ID, a ClaimReply) {
	until, guard := h.until[from]
	if !guard || a.Incarnation != h.life || h.round-a.Round >= rounds || a.Round > h.round {
		return
	}
	if old := h.answer[from]; old == nil || int32(a.Round-old.Round) >= 0 {
		h.answer[from] = &a
	}
	h.heard[from] = now
	end := h.asked[a.Round%rounds] + h.q.LeaseTime
	for i := range h.q.Slots {
		// What was not asked for in a later round the guard may have given to another.
		if a.Granted.Has(i) && h.want.Has(i) && int32(a.Round-h.from[i]) >= 0 {
			until[i] = max(until[i], end)
			h.settle(i)
		}
	}
}
