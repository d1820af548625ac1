package shares

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of a quorum. MaxSlots and MaxHolders, the bound of holders' IDs, keep a guard's reply
// within a datagram of 256 bytes.
const (
	MaxSlots   = 256
	MaxHolders = 1024
	MaxGuards  = 15
)

// Quorum describes how the shares of dead processes pass to live ones. What exceeds the
// floors is divided into slots. A slot is held by the process with leases of it from a
// majority of the guards (Gray and Cheriton, 1989; Gifford, 1979). A guard leases a slot to
// one process at a time, and the lease expires at the holder first, so two processes never
// hold the same slot. The state is kept in memory only: a restarted guard grants nothing
// until all leases of its former incarnation have expired. The quorum must be the same at
// all processes; claims under another one are ignored.
type Quorum struct {
	Guards        []ID          // an odd number, up to MaxGuards
	Slots         int           // 1 to MaxSlots
	MaxProcesses  int           // processes with a lower ID have a floor and hold slots; at most MaxHolders
	LeaseTime     time.Duration // of a slot
	MaxClockDrift float64       // as a fraction, in either direction
}

// Digest returns a hash of all settings of the quorum.
func (q *Quorum) Digest() uint16 {
	h := xxhash.New()
	for _, x := range append([]ID{ID(q.Slots), ID(q.MaxProcesses), ID(q.LeaseTime / time.Millisecond), ID(q.MaxClockDrift * 1e6)}, q.Guards...) {
		h.Write([]byte{byte(x >> 24), byte(x >> 16), byte(x >> 8), byte(x)})
	}
	return uint16(h.Sum64())
}

// majority returns the number of guards in a majority.
func (q *Quorum) majority() int { return len(q.Guards)/2 + 1 }

// guardLeaseTime returns how long a guard counts a lease. The holder counts LeaseTime from its
// request, by its own clock.
func (q *Quorum) guardLeaseTime() time.Duration {
	return time.Duration(float64(q.LeaseTime) * (1 + q.MaxClockDrift) / (1 - q.MaxClockDrift))
}

// SlotSet is a set of slots, numbered from 0 to MaxSlots-1.
type SlotSet [MaxSlots / 64]uint64

// Has reports whether the set contains a slot.
func (s *SlotSet) Has(i int) bool { return s[i/64]>>(i%64)&1 != 0 }

// Add adds a slot.
func (s *SlotSet) Add(i int) { s[i/64] |= 1 << (i % 64) }

// Remove removes a slot.
func (s *SlotSet) Remove(i int) { s[i/64] &^= 1 << (i % 64) }

// Messages between holders and guards.
type (
	// Claim asks a guard to lease slots or renew their leases. A leased slot that is not
	// requested any more is released. Rounds increase within an incarnation.
	Claim struct {
		QuorumDigest uint16
		Incarnation  uint32
		Round        uint32
		Requested    SlotSet
	}
	// ClaimReply answers a Claim.
	ClaimReply struct {
		Incarnation uint32
		Round       uint32
		Granted     SlotSet   // leased, counted from the claim
		Contested   SlotSet   // of the requested ones, those that another process claims
		Free        SlotSet   // leased to nobody
		Active      HolderSet // processes that claimed within a lease time
	}
)

// HolderSet is a set of processes with IDs below MaxHolders.
type HolderSet [MaxHolders / 64]uint64

// Has reports whether the set contains a process.
func (h *HolderSet) Has(id ID) bool { return id < MaxHolders && h[id/64]>>(id%64)&1 != 0 }

// Add adds a process; an ID of MaxHolders or more is ignored.
func (h *HolderSet) Add(id ID) {
	if id < MaxHolders {
		h[id/64] |= 1 << (id % 64)
	}
}

// Guard is a member of the quorum that leases slots. It is not safe for concurrent use.
type Guard struct {
	quorum        Quorum
	startedAt     Time
	started       bool
	slots         []slot
	lastClaims    map[ID]lastClaim
	IgnoredClaims uint64 // under another quorum, or out of order
}

// slot is the lease of a slot by a guard.
type slot struct {
	holder      ID
	incarnation uint32
	until       Time
	contender   ID
	contendedAt Time // 0: no other process claimed it
}

type lastClaim struct {
	incarnation, round uint32
	at                 Time
}

// slotLimit returns how many contested slots a process may keep at this guard: twice an equal
// share among recent claimants. A process that claims all slots is thereby limited to about
// three shares, since each guard may grant it different slots.
func (g *Guard) slotLimit(now Time) int {
	n := 0
	for id, c := range g.lastClaims {
		switch age := now - c.at; {
		case age < g.quorum.LeaseTime:
			n++
		case age > forgetAfterLeases*g.quorum.guardLeaseTime():
			delete(g.lastClaims, id)
		}
	}
	return 2 * ((g.quorum.Slots + n) / max(1, n))
}

// forgetAfterLeases is the number of lease times after which a process's last claim is
// forgotten; any claim still in flight is older than all leases by then.
const forgetAfterLeases = 20

// NewGuard creates a guard that has just started. It grants nothing for a lease time, since a
// former incarnation may have granted leases.
func NewGuard(quorum Quorum, now Time) *Guard {
	return &Guard{quorum: quorum, startedAt: now, slots: make([]slot, quorum.Slots), lastClaims: map[ID]lastClaim{}}
}

// maxClaimants bounds the processes whose last claim a guard keeps.
const maxClaimants = 4096

// HandleClaim returns the reply to a claim, and false if the claim is ignored. Leases of a
// process's former incarnation are not passed on to the later one; they expire.
func (g *Guard) HandleClaim(now Time, from ID, claim Claim) (ClaimReply, bool) {
	last, known := g.lastClaims[from]
	switch {
	// Another quorum, too many claimants, a round out of order, or a former incarnation (also
	// after a clock was set back).
	case claim.QuorumDigest != g.quorum.Digest(), !known && len(g.lastClaims) >= maxClaimants,
		known && claim.Incarnation == last.incarnation && int32(claim.Round-last.round) <= 0,
		known && int32(claim.Incarnation-last.incarnation) < 0 && now-last.at < g.quorum.LeaseTime:
		g.IgnoredClaims++
		return ClaimReply{}, false
	}
	g.lastClaims[from] = lastClaim{claim.Incarnation, claim.Round, now}
	out := ClaimReply{Incarnation: claim.Incarnation, Round: claim.Round}
	mayGrant := now-g.startedAt >= g.quorum.guardLeaseTime()
	slotLimit, grantedCount := g.slotLimit(now), 0
	for id, last := range g.lastClaims {
		if now-last.at < g.quorum.guardLeaseTime() {
			out.Active.Add(id)
		}
	}
	for i := range g.slots {
		s := &g.slots[i]
		held := now < s.until
		mine := held && s.holder == from && s.incarnation == claim.Incarnation
		requested := claim.Requested.Has(i)
		switch {
		// Released: the holder stops using a slot before its claim omits it.
		case mine && !requested:
			s.until = 0
			held = false
		// Above the limit and contested: the lease is left to expire.
		case requested && (mine || !held) && grantedCount >= slotLimit && s.contender != from && s.contendedAt > 0 && now-s.contendedAt < 2*g.quorum.LeaseTime:
			out.Contested.Add(i)
		case requested && mayGrant && (mine || !held):
			grantedCount++
			s.holder, s.incarnation, s.until = from, claim.Incarnation, now+g.quorum.guardLeaseTime()
			held = true
			out.Granted.Add(i)
			if s.contendedAt > 0 && now-s.contendedAt < g.quorum.LeaseTime && s.contender != from {
				out.Contested.Add(i)
			}
		case requested && held:
			s.contender, s.contendedAt = from, now
		}
		if !held && mayGrant {
			out.Free.Add(i)
		}
	}
	return out, true
}

// Holder claims and holds slots for a process. It is not safe for concurrent use.
type Holder struct {
	quorum        Quorum
	self          ID
	incarnation   uint32
	rng           *rand.Rand
	round         uint32
	requestedAt   [maxPendingRounds]Time                     // by round modulo maxPendingRounds
	until         map[ID][]Time                              // lease expiry by guard and slot
	heldUntil     []Time                                     // by slot: expiry of the leases from a majority
	replies       map[ID]*ClaimReply                         // the latest by guard
	lastReply     map[ID]Time                                // by guard
	assigned      SlotSet                                    // slots that placement assigns to this process
	requested     SlotSet                                    // slots in the last claim
	firstRound    []uint32                                   // by slot: first of the consecutive rounds requesting it
	backoffUntil  []Time                                     // by slot: not requested until then
	unservedSince []Time                                     // by slot: since when requested without success, or 0
	freeSince     []Time                                     // by slot: since when a majority reports it free, or 0
	next          Time                                       // time of the next round
	pendingReturn int                                        // contested slots that back a granted lease
	quorumSince   Time                                       // when a majority first replied; 0: not yet
	viewDigest    uint64                                     // of the processes among which slots are placed
	placement     func(slots int, ids []ID, self ID) SlotSet // assigns slots to a process
}

// NewHolder creates the holder of a process that has just started and holds nothing.
func NewHolder(quorum Quorum, self ID, incarnation uint32, now Time, seed int64) *Holder {
	h := &Holder{quorum: quorum, self: self, incarnation: incarnation, rng: rand.New(rand.NewPCG(uint64(seed), 0x73656174)), until: map[ID][]Time{}, replies: map[ID]*ClaimReply{},
		lastReply: map[ID]Time{}, heldUntil: make([]Time, quorum.Slots), firstRound: make([]uint32, quorum.Slots), backoffUntil: make([]Time, quorum.Slots), unservedSince: make([]Time, quorum.Slots), freeSince: make([]Time, quorum.Slots), next: now, placement: rendezvousPlacement}
	for _, g := range quorum.Guards {
		h.until[g] = make([]Time, quorum.Slots)
	}
	return h
}

// updateHeldUntil recomputes until when a slot may be used.
func (h *Holder) updateHeldUntil(i int) {
	var all [MaxGuards]Time
	u := all[:0]
	for _, g := range h.quorum.Guards {
		u = append(u, h.until[g][i])
	}
	slices.SortFunc(u, func(a, b Time) int { return cmp.Compare(b, a) })
	h.heldUntil[i] = u[h.quorum.majority()-1]
}

// HeldSlots returns the number of slots that may be used at a time.
func (h *Holder) HeldSlots(at Time) int {
	n := 0
	for _, until := range h.heldUntil {
		if at < until {
			n++
		}
	}
	return n
}

// HasQuorum reports whether a majority of the guards replied within a lease time.
func (h *Holder) HasQuorum(now Time) bool {
	n := 0
	for _, g := range h.quorum.Guards {
		if at, ok := h.lastReply[g]; ok && now-at < h.quorum.LeaseTime {
			n++
		}
	}
	return n >= h.quorum.majority()
}

// assignSlots determines which slots this process should hold, among the processes that a
// majority of the guards reports as claimants. The guards' reports make all processes place
// alike, and reassign a dead process's slots when its leases have expired.
func (h *Holder) assignSlots(now Time) {
	if int(h.self) >= h.quorum.MaxProcesses {
		return
	}
	votes, answers := map[ID]int{h.self: h.quorum.majority()}, 0
	for _, g := range h.quorum.Guards {
		reply := h.replies[g]
		if reply == nil || now-h.lastReply[g] >= h.quorum.LeaseTime/2 {
			continue
		}
		answers++
		for id := range ID(min(h.quorum.MaxProcesses, MaxHolders)) {
			if reply.Active.Has(id) {
				votes[id]++
			}
		}
	}
	if answers < h.quorum.majority() {
		return
	}
	if h.quorumSince == 0 {
		h.quorumSince = now
	}
	if now-h.quorumSince < h.quorum.LeaseTime/5 { // lets processes that start together appear in the replies first
		return
	}
	var alive []ID
	for id, n := range votes {
		if n >= h.quorum.majority() {
			alive = append(alive, id)
		}
	}
	slices.Sort(alive)
	viewDigest := uint64(len(alive))
	for _, id := range alive {
		viewDigest = xxhash.Sum64(pair(viewDigest, uint64(id)))
	}
	if viewDigest != h.viewDigest {
		h.viewDigest, h.assigned = viewDigest, h.placement(h.quorum.Slots, alive, h.self)
	}
}

// rendezvousPlacement returns the slots for which a process ranks first by rendezvous hashing.
// Shares are slightly uneven, which quota leases make up for. In return a process that joins
// or leaves moves only its own slots, so short differences between views cause no conflicts.
func rendezvousPlacement(slots int, ids []ID, self ID) (out SlotSet) {
	for i := range slots {
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

// Tick starts a round when one is due: it renews leases, claims assigned slots that are
// missing, and releases contested slots assigned to others. spare returns how many of the held
// slots may be released.
func (h *Holder) Tick(now Time, spare func(held int) int) []Message {
	if now < h.next {
		return nil
	}
	h.next = now + h.quorum.LeaseTime/8
	if h.round > 0 && !h.answered() { // a datagram was lost: retried sooner
		h.next = now + h.quorum.LeaseTime/20
	}
	h.updateFree(now)
	h.assignSlots(now)
	held, release := 0, SlotSet{}
	for i := range h.quorum.Slots {
		if now < h.heldUntil[i] {
			held++
		}
	}
	remaining := spare(held)
	h.pendingReturn = 0
	for i := range h.quorum.Slots {
		switch {
		case now >= h.heldUntil[i] || h.assigned.Has(i) || !h.isContested(i):
		case remaining > 0:
			release.Add(i)
			remaining--
		default: // backs a granted lease: returned once that has expired
			h.pendingReturn++
		}
	}
	before := h.requested
	h.requested = SlotSet{}
	for i := range h.quorum.Slots {
		until := h.heldUntil[i]
		switch {
		case release.Has(i):
			h.backoffUntil[i] = now + h.quorum.LeaseTime
		case now < until:
			h.requested.Add(i)
			h.unservedSince[i] = 0
		case now < h.backoffUntil[i]:
		case h.assigned.Has(i) || h.isUnclaimed(now, i):
			if h.unservedSince[i] == 0 {
				h.unservedSince[i] = now
			}
			// Split vote: another process has leases from some guards, so this one backs off.
			if now-h.unservedSince[i] > h.quorum.LeaseTime/4 && h.isSplit(now, i) {
				h.unservedSince[i], h.backoffUntil[i] = 0, now+Time(float64(h.quorum.LeaseTime)*(0.2+0.4*h.rng.Float64()))
				continue
			}
			h.requested.Add(i)
		default:
			h.unservedSince[i] = 0
		}
	}
	h.round++
	h.requestedAt[h.round%maxPendingRounds] = now
	for i := range h.quorum.Slots {
		switch {
		// A slot that is not claimed is released; it must be out of use before a guard is notified.
		case !h.requested.Has(i):
			for _, g := range h.quorum.Guards {
				h.until[g][i] = 0
			}
			h.heldUntil[i] = 0
		case !before.Has(i):
			h.firstRound[i] = h.round
		}
	}
	out := make([]Message, 0, len(h.quorum.Guards))
	for _, g := range h.quorum.Guards {
		out = append(out, Message{g, Claim{h.quorum.Digest(), h.incarnation, h.round, h.requested}})
	}
	return out
}

// answered reports whether a majority of the guards replied to the last round or the one
// before.
func (h *Holder) answered() bool {
	n := 0
	for _, g := range h.quorum.Guards {
		if a := h.replies[g]; a != nil && h.round-a.Round <= 1 {
			n++
		}
	}
	return n >= h.quorum.majority()
}

// updateFree tracks which slots a majority of the guards reports free.
func (h *Holder) updateFree(now Time) {
	for i := range h.quorum.Slots {
		n := 0
		for _, g := range h.quorum.Guards {
			if a := h.replies[g]; a != nil && now-h.lastReply[g] < h.quorum.LeaseTime && a.Free.Has(i) {
				n++
			}
		}
		switch {
		case n < h.quorum.majority():
			h.freeSince[i] = 0
		case h.freeSince[i] == 0:
			h.freeSince[i] = now
		}
	}
}

// isUnclaimed reports whether a slot has been free for so long that any process may claim it.
// A random choice limits how many do so at once.
func (h *Holder) isUnclaimed(now Time, i int) bool {
	return h.freeSince[i] > 0 && now-h.freeSince[i] > h.quorum.LeaseTime && (h.unservedSince[i] > 0 || h.rng.Float64() < 0.1)
}

// isContested reports whether a majority of the guards reports that another process claims a
// slot.
func (h *Holder) isContested(i int) bool {
	n := 0
	for _, g := range h.quorum.Guards {
		if a := h.replies[g]; a != nil && a.Contested.Has(i) {
			n++
		}
	}
	return n >= h.quorum.majority()
}

// isSplit reports whether some guards have leased a slot to this process, but no majority.
func (h *Holder) isSplit(now Time, i int) bool {
	n := 0
	for _, g := range h.quorum.Guards {
		if now < h.until[g][i] {
			n++
		}
	}
	return n > 0 && n < h.quorum.majority()
}

// HandleReply processes a guard's reply. Leases count from when they were requested.
func (h *Holder) HandleReply(now Time, from ID, reply ClaimReply) {
	until, isGuard := h.until[from]
	if !isGuard || reply.Incarnation != h.incarnation || h.round-reply.Round >= maxPendingRounds || reply.Round > h.round {
		return
	}
	if old := h.replies[from]; old == nil || int32(reply.Round-old.Round) >= 0 {
		h.replies[from] = &reply
	}
	h.lastReply[from] = now
	end := h.requestedAt[reply.Round%maxPendingRounds] + h.quorum.LeaseTime
	for i := range h.quorum.Slots {
		// A slot not requested in some later round may have been leased to another process.
		if reply.Granted.Has(i) && h.requested.Has(i) && int32(reply.Round-h.firstRound[i]) >= 0 {
			until[i] = max(until[i], end)
			h.updateHeldUntil(i)
		}
	}
}
