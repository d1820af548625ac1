package shares

import (
	"math"
	"slices"
	"time"
)

const (
	quotaUnits = 1000      // of a request a second
	workUnits  = 1_000_000 // of all that the fleet's processes do
	needGain   = 0.2       // weight of a round's arrivals in a need
	roundTime  = 250 * time.Millisecond
	mostWholes = 200 // that have a number in datagrams; above them:
	workWhole  = 250
	seatsWhole = 251

	leaseSeat = 2500 * time.Millisecond
	leaseLoan = 1250 * time.Millisecond // where bases are seats; well under theirs
	seatFloor = 0.05                    // part that is floors, where bases are seats
)

// Quota is one that is shared by name, such as a tenant's quota, in requests a second.
type Quota struct {
	Name string
	Rate float64
}

// Config says what a process shares with the others.
type Config struct {
	Self         ID
	Incarnation  uint32
	Nodes        int     // processes that have a base by agreement; without a quorum
	Quotas       []Quota // none: they are not shared
	ShareWork    bool    // the part of all work is
	Guards       []ID    // none: bases are the processes' own for ever
	Slots        int
	MaxProcesses int // processes that have a floor, where there are guards
	Seed         int64
}

// QuorumDigest is the one that a configuration names.
func (c *Config) Quorum() Quorum {
	return Quorum{Guards: c.Guards, Slots: c.Slots, MaxProcesses: c.MaxProcesses, LeaseTime: leaseSeat, MaxClockDrift: Defaults().MaxClockDrift}
}

// Datagram goes to a process.
type Datagram struct {
	To   ID
	Data []byte
}

// Allocation is what of the wholes is this process's by now.
type Allocation struct {
	Quotas map[string]float64 // requests a second, by name; those that have changed
	// EquivalentNodes is how many equal processes there would be, were each part of the fleet's
	// work as large as this one's; 0: it has not changed.
	EquivalentNodes float64
}

// Fraction is what a process holds of a whole, in its unit.
type Holding struct {
	Name               string
	Base, Held, Demand float64
	Total              float64 // the whole
}

// whole is one of them as this process shares in it.
type whole struct {
	name    string
	number  uint8
	units   float64
	share   *Share
	arrived float64 // since the last round
	rate    float64 // a second, smoothed
	told    int64
}

// Allocator is all that one process shares with the others. It is not safe for concurrent
// use.
type Allocator struct {
	cfg          Config
	wholes       []*whole
	by           map[string]*whole
	work         *whole // nil: the part of the work is not shared
	flows        LoadEstimator
	holder       *Holder
	guard        *Guard
	nextAt       Time
	living       int
	Unrecognized uint64 // datagrams in no known form, or of no whole that is shared here
}

// NewAllocator makes the parts of a process that starts now. It can't know whether it had a
// former life, so it begins as one that had.
func NewAllocator(cfg Config, now Time) *Allocator {
	p := &Allocator{cfg: cfg, by: map[string]*whole{}, living: max(1, cfg.Nodes)}
	if len(cfg.Guards) > 0 {
		q := cfg.Quorum()
		if len(cfg.Quotas) > 0 || cfg.ShareWork {
			p.holder = NewHolder(q, cfg.Self, cfg.Incarnation, now, cfg.Seed)
		}
		if slices.Contains(cfg.Guards, cfg.Self) {
			p.guard = NewGuard(q, now)
		}
	}
	for i, w := range cfg.Quotas[:min(len(cfg.Quotas), mostWholes)] {
		set := Defaults()
		set.Total, set.MinLease = int64(w.Rate*quotaUnits), quotaUnits/10
		x := p.add(w.Name, uint8(i), quotaUnits, set, now)
		p.by[w.Name] = x
	}
	if cfg.ShareWork {
		set := Defaults()
		set.Total, set.MinLease, set.Headroom = workUnits, workUnits/2000, 1
		p.work = p.add("work", workWhole, workUnits, set, now)
	}
	return p
}

func (p *Allocator) add(name string, number uint8, units float64, set Settings, now Time) *whole {
	w := &whole{name: name, number: number, units: units, told: -1}
	seed := p.cfg.Seed + int64(number)
	if p.holder != nil {
		set.LeaseTime, set.FloorFraction = leaseLoan, seatFloor
		w.share = NewWithSlots(set, p.holder, now, seed)
	} else {
		set.Nodes = max(1, p.cfg.Nodes)
		w.share = New(set, p.cfg.Self, p.cfg.Incarnation, now, seed, false)
	}
	p.wholes = append(p.wholes, w)
	return w
}

// CountRequest counts a request: a tenant's need, and of the work.
func (p *Allocator) CountRequest(tenant string) {
	if w := p.by[tenant]; w != nil {
		w.arrived++
	}
	if p.work != nil {
		p.work.arrived++
	}
}

// Tick comes every tenth of a second or so, and when the process has stood still. living
// is whom it takes for alive, itself among them.
func (p *Allocator) Tick(now Time, living []ID) (out []Datagram) {
	p.living = max(1, len(living))
	if p.holder != nil {
		out = p.wrap(out, seatsWhole, p.holder.Tick(now, func(int) int { return p.spares(now) }))
	}
	round := now >= p.nextAt
	if round {
		p.nextAt = now + roundTime
	}
	others := slices.DeleteFunc(slices.Clone(living), func(id ID) bool { return id == p.cfg.Self })
	for _, w := range p.wholes {
		if round {
			w.rate += needGain * (w.arrived/roundTime.Seconds() - w.rate)
			w.arrived = 0
			w.share.SetDemand(math.Ceil(w.rate * w.units))
			if w == p.work {
				w.share.SetLoad(max(w.rate, 1/w.units)) // also of one that has nothing to do
				w.share.SetDemand(p.flows.Fraction(now, w.rate, p.living) * workUnits)
			}
		}
		out = p.wrap(out, w.number, w.share.Tick(now, others))
	}
	return out
}

func (p *Allocator) spares(now Time) int {
	n := MaxSlots
	for _, w := range p.wholes {
		n = min(n, w.share.SpareSlots(now))
	}
	return n
}

// wrap words messages; what this process says to itself, as a holder to its own guard,
// it hears at once.
func (p *Allocator) wrap(out []Datagram, number uint8, all []Message) []Datagram {
	for _, t := range all {
		data := Encode(number, t.Payload)
		if t.To == p.cfg.Self {
			if c, is := t.Payload.(Claim); is && p.guard != nil {
				at := p.holder.asked[c.Round%rounds]
				if a, ok := p.guard.HandleClaim(at, t.To, c); ok {
					p.holder.HandleReply(at, t.To, a)
				}
			}
			continue
		}
		out = append(out, Datagram{t.To, data})
	}
	return out
}

// Handle takes a datagram.
func (p *Allocator) Handle(now Time, from ID, data []byte) []Datagram {
	number, say, err := Decode(data)
	if err != nil || from == p.cfg.Self {
		p.Unrecognized++
		return nil
	}
	switch m := say.(type) {
	case Claim:
		if p.guard != nil {
			if a, ok := p.guard.HandleClaim(now, from, m); ok {
				return []Datagram{{from, Encode(number, a)}}
			}
		}
		return nil
	case ClaimReply:
		if p.holder != nil {
			p.holder.HandleReply(now, from, m)
		}
		return nil
	case Offer:
		if number == workWhole {
			p.flows.Report(now, from, m.Load)
		}
	}
	i := slices.IndexFunc(p.wholes, func(w *whole) bool { return w.number == number })
	if i < 0 {
		p.Unrecognized++
		return nil
	}
	return p.wrap(nil, number, p.wholes[i].share.Handle(now, from, say))
}

// Allocation tells what has changed since the last call. It is to be called before what was
// given is used after a pause: what has run out counts no more.
func (p *Allocator) Allocation(now Time) (g Allocation, changed bool) {
	for _, w := range p.wholes {
		may := w.share.Allowance(now)
		if may == w.told {
			continue
		}
		w.told, changed = may, true
		if w == p.work {
			g.EquivalentNodes = workUnits / float64(max(1, may))
			continue
		}
		if g.Quotas == nil {
			g.Quotas = map[string]float64{}
		}
		g.Quotas[w.name] = float64(may) / w.units
	}
	return g, changed
}

// HeldSlots tells what the process holds of each whole, for operators.
func (p *Allocator) Holdings(now Time) (out []Holding) {
	for _, w := range p.wholes {
		name, unit, all := "quota "+w.name, w.units, float64(w.share.set.Total)
		if w == p.work {
			name = "work"
		}
		out = append(out, Holding{Name: name, Base: float64(w.share.Base(now)) / unit, Held: float64(w.share.Allowance(now)) / unit,
			Demand: w.share.need / unit, Total: all / unit})
	}
	return out
}

// HasQuorum tells whether most guards answer; true where there are none.
func (p *Allocator) HasQuorum(now Time) bool { return p.holder == nil || p.holder.HasQuorum(now) }

// Slots counts the seats that the process holds; 0 where there are no guards.
func (p *Allocator) HeldSlots(now Time) int {
	if p.holder == nil {
		return 0
	}
	return p.holder.HeldSlots(now)
}
