package node

import (
	"math"
	"time"

	"barrowscale/balance"
	"barrowscale/fleet/shares"
	"barrowscale/fleet/version"
)

const (
	quotaUnits = 1000 // of a request a second
	needGain   = 0.2  // weight of a tick's arrivals in a tenant's need
	quotaTick  = 250 * time.Millisecond
	mostWholes = 256
)

// quota is a tenant's quota as this node shares in it.
type quota struct {
	tenant  string
	share   *shares.Share
	arrived float64 // since the last tick
	rate    float64 // requests a second, smoothed
	told    int64   // what the module has been told
}

// quotas are all tenants' quotas, by their place in the settings. All is the loop's.
type quotas struct {
	all    []*quota
	by     map[string]*quota
	nextAt balance.Time
}

// newQuotas gives nil where parts are not shared. A process can't know whether it had a
// former life, so it begins as one that had.
func newQuotas(cfg *Config, now balance.Time) *quotas {
	if cfg.Fleet == nil || !cfg.Fleet.Quotas || len(cfg.Settings.Tenants) == 0 {
		return nil
	}
	q := &quotas{by: map[string]*quota{}}
	for i, t := range cfg.Settings.Tenants[:min(len(cfg.Settings.Tenants), mostWholes)] {
		set := shares.Defaults()
		set.Whole, set.Nodes, set.Least = int64(t.Quota*quotaUnits), max(1, len(cfg.Peers)), quotaUnits/10
		x := &quota{tenant: t.Name, told: -1, share: shares.New(set, shares.ID(cfg.Settings.Self), uint32(now/time.Second), now, cfg.Seed+int64(i), false)}
		q.all, q.by[t.Name] = append(q.all, x), x
	}
	return q
}

// arrived counts a request of a tenant: its need.
func (q *quotas) arrived(tenant string) {
	if q != nil && q.by[tenant] != nil {
		q.by[tenant].arrived++
	}
}

func (n *Node) quotaTell(whole int, out []shares.Tell) {
	for _, t := range out {
		n.peers.send(balance.SendMessage{To: int(t.To), Data: shares.Encode(uint8(whole), t.Say)})
	}
}

// quotaHear takes a message of another node.
func (n *Node) quotaHear(from int, data []byte) {
	whole, say, err := shares.Decode(data)
	if q := n.fleet.quotas; err == nil && q != nil && int(whole) < len(q.all) && n.fleet.agent.Uses(from) {
		n.quotaTell(int(whole), q.all[whole].share.Hear(n.now(), shares.ID(from), say))
	}
}

// quotaTick is a round, and what it comes to for the module. What has run out counts no
// more at once, so it is also called when the process has stood still.
func (n *Node) quotaTick() {
	q, now := n.fleet.quotas, n.now()
	if q == nil {
		return
	}
	round := now >= q.nextAt
	if round {
		q.nextAt = now + quotaTick
	}
	var others []shares.ID
	for i := range n.cfg.Peers {
		if i != n.cfg.Settings.Self && (n.fleet.roster == nil || !n.fleet.roster.Gone(rosterID(i))) {
			others = append(others, shares.ID(i))
		}
	}
	given := map[string]float64{}
	for i, x := range q.all {
		if round {
			x.rate += needGain * (x.arrived/quotaTick.Seconds() - x.rate)
			x.arrived = 0
			x.share.Need(math.Ceil(x.rate * quotaUnits))
		}
		n.quotaTell(i, x.share.Tick(now, others))
		if may := x.share.May(now); may != x.told {
			x.told = may
			given[x.tenant] = float64(may) / quotaUnits
		}
	}
	if len(given) > 0 {
		n.handle(balance.PartsGiven{Tenants: given})
	}
}

// parts tells what this node holds of each quota, for operators.
func (q *quotas) parts(now balance.Time) (out []version.Part) {
	if q == nil {
		return nil
	}
	for _, x := range q.all {
		out = append(out, version.Part{Whole: "quota " + x.tenant, Base: float64(x.share.Base()) / quotaUnits,
			Held: float64(x.share.May(now)) / quotaUnits, Need: x.rate})
	}
	return out
}
