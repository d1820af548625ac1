package shares

import (
	"math"
	"slices"
	"time"
)

const (
	quotaUnits      = 1000      // units per request per second
	workUnits       = 1_000_000 // units of the fleet's total work
	demandSmoothing = 0.2       // weight of a round's arrivals in the smoothed rate
	roundInterval   = 250 * time.Millisecond
	maxQuotas       = 200 // quotas have the resource numbers below it
	workNumber      = 250 // resource number of the fleet's work
	slotsNumber     = 251 // resource number of claims and their replies

	slotLeaseTime     = 2500 * time.Millisecond
	quotaLeaseTime    = 1250 * time.Millisecond // with slots; must be well below slotLeaseTime
	slotFloorFraction = 0.05                    // fraction of the total reserved for floors, with slots
)

// Quota is a rate limit shared under a name, such as a tenant's, in requests per second.
type Quota struct {
	Name string
	Rate float64
}

// Config describes what a process shares with the others.
type Config struct {
	Self         ID
	Incarnation  uint32
	Nodes        int     // processes with an equal base; not used with guards
	Quotas       []Quota // shared quotas; none: quotas are not shared
	ShareWork    bool    // the fractions of the fleet's work are shared
	Guards       []ID    // none: each process keeps its base permanently
	Slots        int     // with guards; see Quorum
	MaxProcesses int     // processes with a lower ID have a floor, with guards
	Seed         int64   // of the random choices
}

// Quorum returns the quorum that a configuration describes.
func (c *Config) Quorum() Quorum {
	return Quorum{Guards: c.Guards, Slots: c.Slots, MaxProcesses: c.MaxProcesses, LeaseTime: slotLeaseTime, MaxClockDrift: Defaults().MaxClockDrift}
}

// Datagram is an encoded message for a process.
type Datagram struct {
	To   ID
	Data []byte
}

// Allocation lists the changes of what this process may use.
type Allocation struct {
	Quotas map[string]float64 // requests per second by name; changed ones only
	// EquivalentNodes is the inverse of this process's fraction of the fleet's work, that is,
	// the number of processes if all had the same fraction as this one; 0: not changed.
	EquivalentNodes float64
}

// Holding is what a process holds of a resource, in the resource's unit.
type Holding struct {
	Name               string
	Base, Held, Demand float64
	Total              float64
}

// resource is the state of one shared resource: a quota or the fleet's work.
type resource struct {
	name     string
	number   uint8
	units    float64
	share    *Share
	arrivals float64 // since the last round
	rate     float64 // smoothed, per second
	reported int64   // allowance last returned by Allocation; -1: none yet
}

// Allocator shares all resources of one process with its peers. It is not safe for
// concurrent use.
type Allocator struct {
	cfg          Config
	resources    []*resource
	byName       map[string]*resource
	work         *resource // nil: not shared
	loads        LoadEstimator
	holder       *Holder // nil: no guards, or nothing to share
	guard        *Guard  // nil: this process is no guard
	nextRound    Time
	alive        int    // live processes, including this one
	Unrecognized uint64 // datagrams that are malformed or of an unknown resource
}

// NewAllocator creates the allocator of a process that has just started. Leases granted by a
// predecessor may still be in use, so at first the process may use its floor only.
func NewAllocator(cfg Config, now Time) *Allocator {
	a := &Allocator{cfg: cfg, byName: map[string]*resource{}, alive: max(1, cfg.Nodes)}
	if len(cfg.Guards) > 0 {
		q := cfg.Quorum()
		if len(cfg.Quotas) > 0 || cfg.ShareWork {
			a.holder = NewHolder(q, cfg.Self, cfg.Incarnation, now, cfg.Seed)
		}
		if slices.Contains(cfg.Guards, cfg.Self) {
			a.guard = NewGuard(q, now)
		}
	}
	for i, quota := range cfg.Quotas[:min(len(cfg.Quotas), maxQuotas)] {
		settings := Defaults()
		settings.Total, settings.MinLease = int64(quota.Rate*quotaUnits), quotaUnits/10
		x := a.add(quota.Name, uint8(i), quotaUnits, settings, now)
		a.byName[quota.Name] = x
	}
	if cfg.ShareWork {
		settings := Defaults()
		settings.Total, settings.MinLease, settings.Headroom = workUnits, workUnits/2000, 1
		a.work = a.add("work", workNumber, workUnits, settings, now)
	}
	return a
}

func (a *Allocator) add(name string, number uint8, units float64, settings Settings, now Time) *resource {
	r := &resource{name: name, number: number, units: units, reported: -1}
	seed := a.cfg.Seed + int64(number)
	if a.holder != nil {
		settings.LeaseTime, settings.FloorFraction = quotaLeaseTime, slotFloorFraction
		r.share = NewWithSlots(settings, a.holder, now, seed)
	} else {
		settings.Nodes = max(1, a.cfg.Nodes)
		r.share = New(settings, a.cfg.Self, a.cfg.Incarnation, now, seed, false)
	}
	a.resources = append(a.resources, r)
	return r
}

// CountRequest counts an arriving request as demand for its tenant's quota and for work.
func (a *Allocator) CountRequest(tenant string) {
	if r := a.byName[tenant]; r != nil {
		r.arrivals++
	}
	if a.work != nil {
		a.work.arrivals++
	}
}

// Tick must be called about ten times a second and after a process pause. alive lists the
// processes considered alive, including this one.
func (a *Allocator) Tick(now Time, alive []ID) (out []Datagram) {
	a.alive = max(1, len(alive))
	if a.holder != nil {
		out = a.encodeAll(out, slotsNumber, a.holder.Tick(now, func(int) int { return a.spareSlots(now) }))
	}
	newRound := now >= a.nextRound
	if newRound {
		a.nextRound = now + roundInterval
	}
	others := slices.DeleteFunc(slices.Clone(alive), func(id ID) bool { return id == a.cfg.Self })
	for _, r := range a.resources {
		if newRound {
			r.rate += demandSmoothing * (r.arrivals/roundInterval.Seconds() - r.rate)
			r.arrivals = 0
			r.share.SetDemand(math.Ceil(r.rate * r.units))
			if r == a.work {
				// Not 0 even without requests, so that peers receive a load report.
				r.share.SetLoad(max(r.rate, 1/r.units))
				r.share.SetDemand(a.loads.Fraction(now, r.rate, a.alive) * workUnits)
			}
		}
		out = a.encodeAll(out, r.number, r.share.Tick(now, others))
	}
	return out
}

// spareSlots returns the number of slots that no granted lease depends on.
func (a *Allocator) spareSlots(now Time) int {
	n := MaxSlots
	for _, r := range a.resources {
		n = min(n, r.share.SpareSlots(now))
	}
	return n
}

// encodeAll encodes messages. A claim to this process's own guard is handled at once.
func (a *Allocator) encodeAll(out []Datagram, number uint8, messages []Message) []Datagram {
	for _, message := range messages {
		data := Encode(number, message.Payload)
		if message.To == a.cfg.Self {
			if c, is := message.Payload.(Claim); is && a.guard != nil {
				at := a.holder.requestedAt[c.Round%maxPendingRounds]
				if reply, ok := a.guard.HandleClaim(at, message.To, c); ok {
					a.holder.HandleReply(at, message.To, reply)
				}
			}
			continue
		}
		out = append(out, Datagram{message.To, data})
	}
	return out
}

// Handle processes a datagram and returns the datagrams to send in response.
func (a *Allocator) Handle(now Time, from ID, data []byte) []Datagram {
	number, payload, err := Decode(data)
	if err != nil || from == a.cfg.Self {
		a.Unrecognized++
		return nil
	}
	switch m := payload.(type) {
	case Claim:
		if a.guard != nil {
			if reply, ok := a.guard.HandleClaim(now, from, m); ok {
				return []Datagram{{from, Encode(number, reply)}}
			}
		}
		return nil
	case ClaimReply:
		if a.holder != nil {
			a.holder.HandleReply(now, from, m)
		}
		return nil
	case Offer:
		if number == workNumber {
			a.loads.Report(now, from, m.Load)
		}
	}
	i := slices.IndexFunc(a.resources, func(r *resource) bool { return r.number == number })
	if i < 0 {
		a.Unrecognized++
		return nil
	}
	return a.encodeAll(nil, number, a.resources[i].share.Handle(now, from, payload))
}

// Allocation returns the changes since the last call. After a process pause it must be called
// before any allocation is used, since leases may have expired.
func (a *Allocator) Allocation(now Time) (allocation Allocation, changed bool) {
	for _, r := range a.resources {
		allowance := r.share.Allowance(now)
		if allowance == r.reported {
			continue
		}
		r.reported, changed = allowance, true
		if r == a.work {
			allocation.EquivalentNodes = workUnits / float64(max(1, allowance))
			continue
		}
		if allocation.Quotas == nil {
			allocation.Quotas = map[string]float64{}
		}
		allocation.Quotas[r.name] = float64(allowance) / r.units
	}
	return allocation, changed
}

// Holdings returns what the process holds of each resource, for operators.
func (a *Allocator) Holdings(now Time) (out []Holding) {
	for _, r := range a.resources {
		name, unit, total := "quota "+r.name, r.units, float64(r.share.settings.Total)
		if r == a.work {
			name = "work"
		}
		out = append(out, Holding{Name: name, Base: float64(r.share.Base(now)) / unit, Held: float64(r.share.Allowance(now)) / unit,
			Demand: r.share.demand / unit, Total: total / unit})
	}
	return out
}

// HasQuorum reports whether a majority of the guards answers; true without guards.
func (a *Allocator) HasQuorum(now Time) bool { return a.holder == nil || a.holder.HasQuorum(now) }

// HeldSlots returns the number of slots that the process holds; 0 without guards.
func (a *Allocator) HeldSlots(now Time) int {
	if a.holder == nil {
		return 0
	}
	return a.holder.HeldSlots(now)
}
