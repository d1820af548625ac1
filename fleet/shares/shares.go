// Package shares divides a whole among the processes of a fleet, such as a tenant's
// quota or the rate at which a cold server may be sent to, so that in every timeline
// all running processes together may use no more than the whole. It does no I/O,
// reads no clock and starts no goroutine.
//
// Each process has a base, an equal part of the whole by the agreed number of
// processes: that needs no talk. A part of the base, the floor, is its own for ever;
// the rest it may lend to another that has more to do, for the time of a lease. It
// takes what it lends from its own first. A borrower counts a lease from when it
// asked, the lender from when it granted, each by its own clock and with the drift
// that clocks may have on its own side; so a lease is over at the borrower before the
// lender uses it again, whatever was lost, late, doubled or asleep (Gray and
// Cheriton, Leases, 1989). Nothing is minted: a process that starts anew keeps to its
// floor until all that its former life may have lent has run out.
package shares

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock, which goes on while the process
// stands still.
type Time = time.Duration

// ID names a process.
type ID uint32

// Settings of a whole, the same at all processes.
type Settings struct {
	Total         int64         // in units, such as requests a second times 1,000
	Nodes         int           // the agreed number of processes that have a base
	FloorFraction float64       // part of a base that is never lent
	LeaseTime     time.Duration // for which something is lent
	MaxClockDrift float64       // by which a clock may be fast or slow, as a part
	Headroom      float64       // multiple of what a process needs that it keeps or asks for
	OfferFanout   int           // others that hear of a spare or a need in a round
	MinLease      int64         // units that are worth lending
	MaxLeases     int           // loans that one process has out at most
}

// Defaults are the settings of docs/members.md, but for the whole and the nodes.
func Defaults() Settings {
	return Settings{FloorFraction: 0.2, LeaseTime: 2 * time.Second, MaxClockDrift: 0.02, Headroom: 1.25, OfferFanout: 2, MinLease: 1, MaxLeases: 64}
}

// What processes say to one another. Every message has its sender's life, so that
// what a former life was granted is not taken for this one's.
type (
	// Offer tells how much the sender could lend, and how much it has to do, requests
	// a second (to a thousandth).
	Offer struct {
		Spare int64
		Load  float64
	}
	// LeaseTerms asks for a loan, or, with a nonce that has been granted, for its renewal.
	LeaseTerms struct {
		Incarnation uint32
		Nonce       uint32
		Amount      int64
	}
	// Grant answers an Ask: so much, for a time from when it was asked for. Round is
	// that of the Ask.
	Grant struct {
		Incarnation uint32 // the borrower's
		Nonce       uint32
		Round       uint32
		Amount      int64
		Duration    time.Duration
	}
	// LeaseReturn ends a loan before its time; the borrower has stopped using it.
	LeaseReturn struct {
		Incarnation uint32
		Nonce       uint32
	}
)

// LeaseRequest is an Ask's round: each renewal has a later one.
type LeaseRequest struct {
	LeaseTerms
	Round uint32
}

// Message sends a message.
type Message struct {
	To      ID
	Payload any
}

type loanKey struct {
	to    ID
	life  uint32
	nonce uint32
}

// loan is what this process has lent.
type loan struct {
	amount int64
	until  Time
}

// rounds is how many rounds of a loan may be on their way at once: an answer to any of
// them counts, from when that one was asked for.
const rounds = 16

const maxOffers = 1024 // that are remembered

// debt is what it has borrowed, or asked for.
type debt struct {
	from   ID
	want   int64
	amount int64 // 0: not granted yet
	until  Time
	round  uint32
	asked  [rounds]Time // when, by round modulo their number
}

// askedAt is when a round was asked for; false: too long ago to be known.
func (d *debt) askedAt(round uint32) (Time, bool) {
	return d.asked[round%rounds], round <= d.round && d.round-round < rounds
}

func (d *debt) ask(now Time, round uint32) { d.round, d.asked[round%rounds] = round, now }

type offer struct {
	spare int64
	at    Time
}

// Share is one process's part of one whole. It is not safe for concurrent use.
type Share struct {
	set      Settings
	self     ID
	life     uint32
	rng      *rand.Rand
	base     int64
	floor    int64
	holder   *Holder // nil: the base is this process's own for ever
	seat     int64   // what a seat is worth
	flow     float64
	bornTill Time // until then a former life's loans may be out
	need     float64
	nonce    uint32
	loans    map[loanKey]*loan
	debts    map[uint32]*debt
	offers   map[ID]offer
	next     Time
}

// New makes the share of a process that starts now; first is whether there was no
// former life of it, as far as the operator can promise.
func New(set Settings, self ID, life uint32, now Time, seed int64, first bool) *Share {
	s := &Share{set: set, self: self, life: life, rng: rand.New(rand.NewPCG(uint64(seed), 0x7368)), loans: map[loanKey]*loan{},
		debts: map[uint32]*debt{}, offers: map[ID]offer{}, next: now}
	s.base = set.Total / int64(max(1, set.Nodes))
	s.floor = int64(set.FloorFraction * float64(s.base))
	if !first {
		s.bornTill = now + s.lent()
	}
	return s
}

// NewWithSlots makes the share of a process whose base is the seats that it holds, and a
// floor if its ID is below the quorum's bound. Floor is a part of what would be each
// process's if there were Most of them.
func NewWithSlots(set Settings, h *Holder, now Time, seed int64) *Share {
	s := New(set, h.self, h.life, now, seed, true)
	most := int64(max(1, h.q.MaxProcesses))
	floor := int64(set.FloorFraction * float64(set.Total) / float64(most))
	s.holder, s.floor, s.seat = h, 0, (set.Total-most*floor)/int64(h.q.Slots)
	if int64(h.self) < most {
		s.floor = floor
	}
	return s
}

// counted is how long a lender counts a loan that its borrower counts for a time.
func (s *Share) counted(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.set.MaxClockDrift) / (1 - s.set.MaxClockDrift))
}

func (s *Share) lent() time.Duration { return s.counted(s.set.LeaseTime) }

// Allowance is how much the process may use at a time. It is to be asked before each use:
// what has run out counts no more, also after a stop.
func (s *Share) Allowance(now Time) int64 {
	may := s.own(now)
	for _, d := range s.debts {
		if now < d.until {
			may += d.amount
		}
	}
	return max(0, may)
}

// has is what the process holds at a time, now or later, lent or not.
func (s *Share) has(at Time) int64 {
	switch {
	case s.holder != nil:
		return s.floor + s.seat*int64(s.holder.HeldSlots(at))
	case at < s.bornTill:
		return s.floor
	}
	return s.base
}

// owed is what others are to have of its seats: it is lent no longer.
func (s *Share) owed() int64 {
	if s.holder == nil {
		return 0
	}
	return s.seat * int64(s.holder.owed)
}

// out is what is lent now, and until when the last of it is.
func (s *Share) out(now Time) (amount int64, last Time) {
	for _, l := range s.loans {
		if now < l.until {
			amount, last = amount+l.amount, max(last, l.until)
		}
	}
	return amount, last
}

// own is what is left of what it holds.
func (s *Share) own(now Time) int64 {
	if now < s.bornTill {
		return s.floor
	}
	lent, _ := s.out(now)
	return s.has(now) - lent
}

// SpareSlots is how many seats could be given up without a loan that they stand for.
func (s *Share) SpareSlots(now Time) int {
	lent, last := s.out(now)
	if lent == 0 {
		return MaxSlots
	}
	return max(0, s.holder.HeldSlots(last)-int((lent+s.seat-1)/max(1, s.seat)))
}

// Base is an equal part of the whole, or what the process's seats come to now.
func (s *Share) Base(now Time) int64 {
	if s.holder != nil {
		return s.has(now)
	}
	return s.base
}

// Load takes how much the process has to do, for others to hear; Flows puts theirs
// together.
func (s *Share) SetLoad(rate float64) { s.flow = rate }

// SetDemand takes how much the process has a use for now.
func (s *Share) SetDemand(units float64) { s.need = units }

// keep is how much it wants to have.
func (s *Share) keep() int64 { return max(s.floor, int64(s.need*s.set.Headroom)) }

// Tick is a round: loans end, renewals and new loans are asked for. others are those
// that may be talked to.
func (s *Share) Tick(now Time, others []ID) []Message {
	var out []Message
	for k, l := range s.loans {
		if now >= l.until {
			delete(s.loans, k)
		}
	}
	if now < s.next {
		return nil
	}
	s.next = now + s.set.LeaseTime/8
	may, want := s.Allowance(now), s.keep()
	for _, nonce := range s.nonces() {
		d := s.debts[nonce]
		switch {
		case d.amount == 0 && now-d.asked[0] >= s.set.LeaseTime/2, d.amount > 0 && now >= d.until:
			delete(s.debts, nonce) // no answer, or over
		case d.amount == 0: // the ask or its answer may be lost: the same once more, counted from the first
			out = append(out, Message{d.from, LeaseRequest{LeaseTerms{s.life, nonce, d.want}, 0}})
		case d.amount > 0 && may-d.amount >= want+want/8: // more than it needs: back at once
			may -= d.amount
			delete(s.debts, nonce)
			out = append(out, Message{d.from, LeaseReturn{s.life, nonce}})
		case d.until-now < s.set.LeaseTime*5/8:
			d.ask(now, d.round+1)
			out = append(out, Message{d.from, LeaseRequest{LeaseTerms{s.life, nonce, d.amount}, d.round}})
		}
	}
	if missing := want - may; missing >= s.set.MinLease {
		out = append(out, s.borrow(now, missing)...)
	}
	spare, _ := s.spare(now)
	for range min(s.set.OfferFanout, len(others)) {
		if spare >= s.set.MinLease || s.flow > 0 {
			out = append(out, Message{others[s.rng.IntN(len(others))], Offer{spare, s.flow}})
		}
	}
	return out
}

func (s *Share) nonces() []uint32 {
	out := make([]uint32, 0, len(s.debts))
	for n := range s.debts {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// borrow asks those that have offered most, half of it at most, so that several who
// are short get something.
func (s *Share) borrow(now Time, missing int64) []Message {
	type from struct {
		ID
		offer
	}
	var all []from
	for id, o := range s.offers {
		if now-o.at > s.set.LeaseTime || o.spare < s.set.MinLease {
			delete(s.offers, id)
			continue
		}
		all = append(all, from{id, o})
	}
	slices.SortFunc(all, func(a, b from) int { return cmp.Or(cmp.Compare(b.spare, a.spare), cmp.Compare(a.ID, b.ID)) })
	for _, d := range s.debts {
		if d.amount == 0 {
			missing -= d.want // asked for and not answered yet
		}
	}
	var out []Message
	for _, f := range all {
		if missing < s.set.MinLease || len(s.debts) >= s.set.MaxLeases {
			break
		}
		want := min(missing, max(s.set.MinLease, f.spare/2))
		missing -= want
		s.nonce++
		d := &debt{from: f.ID, want: want}
		d.ask(now, 0)
		s.debts[s.nonce] = d
		delete(s.offers, f.ID)
		out = append(out, Message{f.ID, LeaseRequest{LeaseTerms: LeaseTerms{s.life, s.nonce, want}}})
	}
	return out
}

// spare is what it could lend, nothing of the floor and nothing that it needs, and for
// how long: for a lease, or a shorter time where its own seats are not sure for that
// long.
func (s *Share) spare(now Time) (amount int64, lasts time.Duration) {
	if now < s.bornTill || len(s.loans) >= s.set.MaxLeases {
		return 0, 0
	}
	lent, _ := s.out(now)
	for _, d := range []time.Duration{s.set.LeaseTime, s.set.LeaseTime / 2} {
		if amount = min(s.Allowance(now)-s.keep(), s.has(now+s.counted(d))-s.owed()-lent-s.floor); amount > 0 {
			return amount, d
		}
	}
	return 0, 0
}

// Handle takes a message. What does not fit is dropped: every message may be lost, so
// none is ever needed for the whole to be kept.
func (s *Share) Handle(now Time, from ID, say any) []Message {
	switch m := say.(type) {
	case Offer:
		if m.Spare > 0 && len(s.offers) < maxOffers {
			s.offers[from] = offer{m.Spare, now}
		}
	case LeaseRequest:
		return s.lend(now, from, m)
	case Grant:
		s.granted(now, from, m)
	case LeaseReturn:
		delete(s.loans, loanKey{from, m.Incarnation, m.Nonce})
	}
	return nil
}

// lend grants what can be spared. A loan that still runs is prolonged as it is, as far
// as what stands behind it is sure.
func (s *Share) lend(now Time, to ID, m LeaseRequest) []Message {
	k := loanKey{to, m.Incarnation, m.Nonce}
	l := s.loans[k]
	amount, d := s.spare(now)
	if l == nil || now >= l.until {
		amount = min(m.Amount, amount)
		if m.Round > 0 || amount < s.set.MinLease || amount <= 0 { // one that is over begins anew, under a new nonce
			return nil
		}
		l = &loan{amount: amount}
		s.loans[k] = l
	} else {
		if m.Round > 0 && s.Allowance(now) < s.keep() { // it needs it itself: it lets the lease run out
			return nil
		}
		if d = s.sure(now); d == 0 {
			return nil
		}
	}
	l.until = max(l.until, now+s.counted(d))
	return []Message{{to, Grant{m.Incarnation, m.Nonce, m.Round, l.amount, d}}}
}

// sure is for how long all that is lent could be prolonged; 0: not at all.
func (s *Share) sure(now Time) time.Duration {
	lent, _ := s.out(now)
	for _, d := range []time.Duration{s.set.LeaseTime, s.set.LeaseTime / 2} {
		if s.has(now+s.counted(d))-s.owed()-lent >= 0 {
			return d
		}
	}
	return 0
}

// granted takes a loan into use, from when that round was asked for.
func (s *Share) granted(now Time, from ID, m Grant) {
	d := s.debts[m.Nonce]
	if m.Incarnation != s.life || d == nil || d.from != from || m.Amount <= 0 || d.amount > 0 && m.Amount != d.amount || m.Duration <= 0 || m.Duration > s.set.LeaseTime {
		return
	}
	at, known := d.askedAt(m.Round)
	if until := at + m.Duration; known && until > now {
		d.amount, d.until = m.Amount, max(d.until, until)
	}
}
