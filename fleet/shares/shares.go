// Package shares divides a resource among the processes of a fleet, such as a tenant's quota
// or the rate at which a cold server may be sent requests, so that the sum of what all
// running processes may use never exceeds the total. It does no I/O, reads no clock and
// starts no goroutine.
//
// Each process has a base: an equal share of the total by the configured number of processes,
// for which no messages are needed. A fraction of the base, the floor, is permanently its
// own. The rest may be lent to a peer with more demand, as a lease. The borrower counts a
// lease from its request, the lender from its grant plus the possible clock drift, so a lease
// ends at the borrower before the lender uses the amount again, whatever messages are lost,
// late or duplicated and whichever process pauses (Gray and Cheriton, Leases, 1989). A
// restarted process keeps to its floor until all leases that its former incarnation may have
// granted have expired.
package shares

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock, which advances during process pauses.
type Time = time.Duration

// ID identifies a process.
type ID uint32

// Settings of a shared resource. They must be the same at all processes.
type Settings struct {
	Total         int64   // in units, such as thousandths of a request per second
	Nodes         int     // configured number of processes with a base
	FloorFraction float64 // of the base; never lent
	LeaseTime     time.Duration
	MaxClockDrift float64 // as a fraction, in either direction
	Headroom      float64 // multiple of its demand that a process keeps or requests
	OfferFanout   int     // peers that receive an offer per round
	MinLease      int64   // units
	MaxLeases     int     // granted or borrowed by one process, each
}

// Defaults returns the settings described in docs/members.md, without Total and Nodes.
func Defaults() Settings {
	return Settings{FloorFraction: 0.2, LeaseTime: 2 * time.Second, MaxClockDrift: 0.02, Headroom: 1.25, OfferFanout: 2, MinLease: 1, MaxLeases: 64}
}

// Messages between processes. Those about a lease carry the borrower's incarnation, so that a
// lease of a former incarnation is not mistaken for one of the present.
type (
	// Offer announces how much the sender could lend, in units, and its load in requests per
	// second, with a resolution of a thousandth.
	Offer struct {
		Spare int64
		Load  float64
	}
	// LeaseTerms identify a requested lease and its amount in units; a nonce that was granted
	// before requests a renewal.
	LeaseTerms struct {
		Incarnation uint32
		Nonce       uint32
		Amount      int64
	}
	// Grant answers a LeaseRequest. The duration starts when that round was requested.
	Grant struct {
		Incarnation uint32 // the borrower's
		Nonce       uint32
		Round       uint32
		Amount      int64
		Duration    time.Duration
	}
	// LeaseReturn ends a lease early, after the borrower stopped using it.
	LeaseReturn struct {
		Incarnation uint32
		Nonce       uint32
	}
)

// LeaseRequest asks for a lease or its renewal; each renewal has a later round.
type LeaseRequest struct {
	LeaseTerms
	Round uint32
}

// Message is a message to send.
type Message struct {
	To      ID
	Payload any
}

type leaseKey struct {
	to          ID
	incarnation uint32
	nonce       uint32
}

// grantedLease is an amount lent to a peer.
type grantedLease struct {
	amount int64
	until  Time
}

// maxPendingRounds is the number of rounds of a lease that may be in flight. A grant of any of
// them counts from when that round was requested.
const maxPendingRounds = 16

// maxOffers is the number of peers whose latest offer is kept.
const maxOffers = 1024

// borrowedLease is an amount borrowed, or requested, from a peer.
type borrowedLease struct {
	from        ID
	want        int64
	amount      int64 // 0: not granted yet
	until       Time
	round       uint32
	requestedAt [maxPendingRounds]Time // by round modulo maxPendingRounds
}

// requestTime returns when a round was requested, and whether that is still known.
func (b *borrowedLease) requestTime(round uint32) (Time, bool) {
	return b.requestedAt[round%maxPendingRounds], round <= b.round && b.round-round < maxPendingRounds
}

func (b *borrowedLease) recordRequest(now Time, round uint32) {
	b.round, b.requestedAt[round%maxPendingRounds] = round, now
}

type offer struct {
	spare int64
	at    Time
}

// Share is one process's share of a resource. It is not safe for concurrent use.
type Share struct {
	settings        Settings
	self            ID
	incarnation     uint32
	rng             *rand.Rand
	base            int64
	floor           int64
	holder          *Holder // nil: the base is permanent
	slotUnits       int64   // units per slot
	load            float64
	restrictedUntil Time // until then leases of a former incarnation may be in use
	demand          float64
	nonce           uint32
	grantedLeases   map[leaseKey]*grantedLease
	borrowedLeases  map[uint32]*borrowedLease
	offers          map[ID]offer
	next            Time // time of the next round
}

// New creates the share of a process that has just started. noPredecessor asserts that no
// former incarnation of the process has granted leases.
func New(settings Settings, self ID, incarnation uint32, now Time, seed int64, noPredecessor bool) *Share {
	s := &Share{settings: settings, self: self, incarnation: incarnation, rng: rand.New(rand.NewPCG(uint64(seed), 0x7368)), grantedLeases: map[leaseKey]*grantedLease{},
		borrowedLeases: map[uint32]*borrowedLease{}, offers: map[ID]offer{}, next: now}
	s.base = settings.Total / int64(max(1, settings.Nodes))
	s.floor = int64(settings.FloorFraction * float64(s.base))
	if !noPredecessor {
		s.restrictedUntil = now + s.lenderLeaseTime()
	}
	return s
}

// NewWithSlots creates the share of a process whose base consists of the slots it holds, plus
// a floor if its ID is below the quorum's MaxProcesses. In this case FloorFraction is a
// fraction of an equal share among MaxProcesses.
func NewWithSlots(settings Settings, holder *Holder, now Time, seed int64) *Share {
	s := New(settings, holder.self, holder.incarnation, now, seed, true)
	maxProcesses := int64(max(1, holder.quorum.MaxProcesses))
	floor := int64(settings.FloorFraction * float64(settings.Total) / float64(maxProcesses))
	s.holder, s.floor, s.slotUnits = holder, 0, (settings.Total-maxProcesses*floor)/int64(holder.quorum.Slots)
	if int64(holder.self) < maxProcesses {
		s.floor = floor
	}
	return s
}

// lenderTime returns how long the lender counts a lease that the borrower counts for d.
func (s *Share) lenderTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.settings.MaxClockDrift) / (1 - s.settings.MaxClockDrift))
}

func (s *Share) lenderLeaseTime() time.Duration { return s.lenderTime(s.settings.LeaseTime) }

// Allowance returns how much the process may use now. It must be called before each use,
// since leases expire, also during a process pause.
func (s *Share) Allowance(now Time) int64 {
	allowance := s.unlent(now)
	for _, lease := range s.borrowedLeases {
		if now < lease.until {
			allowance += lease.amount
		}
	}
	return max(0, allowance)
}

// held returns what the process holds at a present or future time, including what it lent.
func (s *Share) held(at Time) int64 {
	switch {
	case s.holder != nil:
		return s.floor + s.slotUnits*int64(s.holder.HeldSlots(at))
	case at < s.restrictedUntil:
		return s.floor
	}
	return s.base
}

// pendingReturn returns the units of slots that must be returned to others once the leases
// granted from them have expired.
func (s *Share) pendingReturn() int64 {
	if s.holder == nil {
		return 0
	}
	return s.slotUnits * int64(s.holder.pendingReturn)
}

// outstanding returns the amount lent now and when the last of these leases expires.
func (s *Share) outstanding(now Time) (amount int64, last Time) {
	for _, l := range s.grantedLeases {
		if now < l.until {
			amount, last = amount+l.amount, max(last, l.until)
		}
	}
	return amount, last
}

// unlent returns what the process holds and has not lent.
func (s *Share) unlent(now Time) int64 {
	if now < s.restrictedUntil {
		return s.floor
	}
	lent, _ := s.outstanding(now)
	return s.held(now) - lent
}

// SpareSlots returns how many slots can be released without revoking a granted lease.
func (s *Share) SpareSlots(now Time) int {
	lent, last := s.outstanding(now)
	if lent == 0 {
		return MaxSlots
	}
	return max(0, s.holder.HeldSlots(last)-int((lent+s.slotUnits-1)/max(1, s.slotUnits)))
}

// Base returns the equal share of the total, or what the process's slots amount to now.
func (s *Share) Base(now Time) int64 {
	if s.holder != nil {
		return s.held(now)
	}
	return s.base
}

// SetLoad sets the load to report to peers; see LoadEstimator.
func (s *Share) SetLoad(rate float64) { s.load = rate }

// SetDemand sets how much the process can use now, in units.
func (s *Share) SetDemand(units float64) { s.demand = units }

// desired returns how much the process wants to have.
func (s *Share) desired() int64 { return max(s.floor, int64(s.demand*s.settings.Headroom)) }

// Tick expires leases, requests new leases and renewals, and sends offers. others lists the
// peers that may receive offers.
func (s *Share) Tick(now Time, others []ID) []Message {
	var out []Message
	for k, l := range s.grantedLeases {
		if now >= l.until {
			delete(s.grantedLeases, k)
		}
	}
	if now < s.next {
		return nil
	}
	s.next = now + s.settings.LeaseTime/8
	allowance, want := s.Allowance(now), s.desired()
	for _, nonce := range s.sortedNonces() {
		lease := s.borrowedLeases[nonce]
		switch {
		case lease.amount == 0 && now-lease.requestedAt[0] >= s.settings.LeaseTime/2, lease.amount > 0 && now >= lease.until:
			delete(s.borrowedLeases, nonce) // unanswered or expired
		// The request or its grant may be lost: repeated, and counted from the first request.
		case lease.amount == 0:
			out = append(out, Message{lease.from, LeaseRequest{LeaseTerms{s.incarnation, nonce, lease.want}, 0}})
		// More than the demand: returned at once.
		case lease.amount > 0 && allowance-lease.amount >= want+want/8:
			allowance -= lease.amount
			delete(s.borrowedLeases, nonce)
			out = append(out, Message{lease.from, LeaseReturn{s.incarnation, nonce}})
		case lease.until-now < s.settings.LeaseTime*5/8:
			lease.recordRequest(now, lease.round+1)
			out = append(out, Message{lease.from, LeaseRequest{LeaseTerms{s.incarnation, nonce, lease.amount}, lease.round}})
		}
	}
	if missing := want - allowance; missing >= s.settings.MinLease {
		out = append(out, s.borrow(now, missing)...)
	}
	spare, _ := s.spare(now)
	for range min(s.settings.OfferFanout, len(others)) {
		if spare >= s.settings.MinLease || s.load > 0 {
			out = append(out, Message{others[s.rng.IntN(len(others))], Offer{spare, s.load}})
		}
	}
	return out
}

func (s *Share) sortedNonces() []uint32 {
	out := make([]uint32, 0, len(s.borrowedLeases))
	for n := range s.borrowedLeases {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// borrow requests leases from the peers with the largest offers, at most half of each, so
// that several borrowers get something.
func (s *Share) borrow(now Time, missing int64) []Message {
	type from struct {
		ID
		offer
	}
	var all []from
	for id, o := range s.offers {
		if now-o.at > s.settings.LeaseTime || o.spare < s.settings.MinLease {
			delete(s.offers, id)
			continue
		}
		all = append(all, from{id, o})
	}
	slices.SortFunc(all, func(a, b from) int { return cmp.Or(cmp.Compare(b.spare, a.spare), cmp.Compare(a.ID, b.ID)) })
	for _, lease := range s.borrowedLeases {
		if lease.amount == 0 {
			missing -= lease.want // requested and not answered yet
		}
	}
	var out []Message
	for _, f := range all {
		if missing < s.settings.MinLease || len(s.borrowedLeases) >= s.settings.MaxLeases {
			break
		}
		want := min(missing, max(s.settings.MinLease, f.spare/2))
		missing -= want
		s.nonce++
		lease := &borrowedLease{from: f.ID, want: want}
		lease.recordRequest(now, 0)
		s.borrowedLeases[s.nonce] = lease
		delete(s.offers, f.ID)
		out = append(out, Message{f.ID, LeaseRequest{LeaseTerms: LeaseTerms{s.incarnation, s.nonce, want}}})
	}
	return out
}

// spare returns how much can be lent and for how long, keeping the floor and the process's
// own demand. The time is a lease or, if its slots are not held for that long, half of one.
func (s *Share) spare(now Time) (amount int64, duration time.Duration) {
	if now < s.restrictedUntil || len(s.grantedLeases) >= s.settings.MaxLeases {
		return 0, 0
	}
	lent, _ := s.outstanding(now)
	for _, d := range []time.Duration{s.settings.LeaseTime, s.settings.LeaseTime / 2} {
		if amount = min(s.Allowance(now)-s.desired(), s.held(now+s.lenderTime(d))-s.pendingReturn()-lent-s.floor); amount > 0 {
			return amount, d
		}
	}
	return 0, 0
}

// Handle processes a message. Inapplicable messages are dropped; the total is never exceeded
// whichever messages are lost.
func (s *Share) Handle(now Time, from ID, payload any) []Message {
	switch m := payload.(type) {
	case Offer:
		if m.Spare > 0 && len(s.offers) < maxOffers {
			s.offers[from] = offer{m.Spare, now}
		}
	case LeaseRequest:
		return s.lend(now, from, m)
	case Grant:
		s.handleGrant(now, from, m)
	case LeaseReturn:
		delete(s.grantedLeases, leaseKey{from, m.Incarnation, m.Nonce})
	}
	return nil
}

// lend grants what can be spared. A lease that is in use is renewed with its amount, if what
// backs it is held for long enough.
func (s *Share) lend(now Time, to ID, request LeaseRequest) []Message {
	key := leaseKey{to, request.Incarnation, request.Nonce}
	lease := s.grantedLeases[key]
	amount, duration := s.spare(now)
	if lease == nil || now >= lease.until {
		amount = min(request.Amount, amount)
		if request.Round > 0 || amount < s.settings.MinLease || amount <= 0 { // an expired lease needs a new nonce
			return nil
		}
		lease = &grantedLease{amount: amount}
		s.grantedLeases[key] = lease
	} else {
		if request.Round > 0 && s.Allowance(now) < s.desired() { // the lender's own demand comes first
			return nil
		}
		if duration = s.renewableFor(now); duration == 0 {
			return nil
		}
	}
	lease.until = max(lease.until, now+s.lenderTime(duration))
	return []Message{{to, Grant{request.Incarnation, request.Nonce, request.Round, lease.amount, duration}}}
}

// renewableFor returns the duration for which everything lent could be renewed; 0: not at all.
func (s *Share) renewableFor(now Time) time.Duration {
	lent, _ := s.outstanding(now)
	for _, d := range []time.Duration{s.settings.LeaseTime, s.settings.LeaseTime / 2} {
		if s.held(now+s.lenderTime(d))-s.pendingReturn()-lent >= 0 {
			return d
		}
	}
	return 0
}

// handleGrant puts a granted lease into use, counted from the request of that round.
func (s *Share) handleGrant(now Time, from ID, grant Grant) {
	lease := s.borrowedLeases[grant.Nonce]
	if grant.Incarnation != s.incarnation || lease == nil || lease.from != from || grant.Amount <= 0 || lease.amount > 0 && grant.Amount != lease.amount || grant.Duration <= 0 || grant.Duration > s.settings.LeaseTime {
		return
	}
	at, known := lease.requestTime(grant.Round)
	if until := at + grant.Duration; known && until > now {
		lease.amount, lease.until = grant.Amount, max(lease.until, until)
	}
}
