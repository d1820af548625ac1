package audit

import (
	"fmt"
	"slices"
	"strings"

	"ivylock/fleet/version"
)

// View is how one process sees the fleet.
type View struct {
	Process   string   `json:"process"`
	Digest    uint32   `json:"digest"`   // equal for equal sets of live processes
	Slots     int      `json:"seats"`    // slots of the fleet that it holds
	HasQuorum bool     `json:"quorate"`  // a majority of the guards answers it, if there are guards
	Known     int      `json:"known"`    // processes that it knows, including itself
	Alive     int      `json:"alive"`    // processes that it considers alive
	Majority  bool     `json:"majority"` // it considers a majority of the last agreed fleet alive
	NotAlive  []string `json:"others"`   // names of the processes that it does not consider alive, with their status
}

// Views returns the view of each process that tracks the membership. Views may differ for
// a time without a fault.
func (a *Audit) Views() []View {
	var out []View
	for _, process := range a.incarnations {
		if !process.latest || len(process.Members) == 0 {
			continue
		}
		v := View{Process: process.Process, Digest: process.ViewDigest, Slots: process.Slots, HasQuorum: process.HasQuorum, Known: len(process.Members), Majority: process.Majority}
		for _, m := range process.Members {
			if m.Status == "alive" {
				v.Alive++
				continue
			}
			v.NotAlive = append(v.NotAlive, fmt.Sprintf("%s %s", a.nodeName(m.Process), m.Status))
		}
		out = append(out, v)
	}
	return out
}

// SharedQuota is a quota that the fleet shares, as far as recorded, in its unit. Records
// are taken at different times, so sums may be wrong by leases granted or returned in
// between.
type SharedQuota struct {
	Quota      string      `json:"whole"`
	Total      float64     `json:"all"` // the whole quota, by the largest settings
	EqualShare float64     `json:"base"`
	Held       float64     `json:"held"`
	Demand     float64     `json:"need"`
	Leases     []HeldLease `json:"parts"`
}

// HeldLease is the lease of one process.
type HeldLease struct {
	Process string `json:"process"`
	version.QuotaLease
}

// SharedQuotas returns what the processes hold of each quota.
func (a *Audit) SharedQuotas() []SharedQuota {
	byQuota := map[string]*SharedQuota{}
	for _, process := range a.incarnations {
		for _, lease := range process.Leases {
			if !process.latest {
				continue
			}
			quota := byQuota[lease.Quota]
			if quota == nil {
				quota = &SharedQuota{Quota: lease.Quota}
				byQuota[lease.Quota] = quota
			}
			quota.EqualShare, quota.Held, quota.Demand, quota.Total = quota.EqualShare+lease.EqualShare, quota.Held+lease.Held, quota.Demand+lease.Demand, max(quota.Total, lease.Total)
			quota.Leases = append(quota.Leases, HeldLease{process.Process, lease})
		}
	}
	var out []SharedQuota
	for _, s := range byQuota {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(x, y SharedQuota) int { return strings.Compare(x.Quota, y.Quota) })
	return out
}
