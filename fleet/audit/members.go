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
	Digest    uint32   `json:"digest"`  // the same where the same ones are taken for alive
	Slots     int      `json:"seats"`   // that it holds of what the fleet shares
	HasQuorum bool     `json:"quorate"` // most guards of the seats answer it, if there are any
	Known     int      `json:"known"`
	Alive     int      `json:"alive"`
	Majority  bool     `json:"majority"` // most of the last agreed fleet are alive to it
	NotAlive  []string `json:"others"`   // those that are not, and what it takes them for
}

// Views tells how each process that finds out who is alive sees the fleet. Views
// differ, always: what one says is what it knows.
func (a *Audit) Views() []View {
	var out []View
	for _, l := range a.lives {
		if !l.last || len(l.Members) == 0 {
			continue
		}
		v := View{Process: l.Process, Digest: l.ViewDigest, Slots: l.Slots, HasQuorum: l.HasQuorum, Known: len(l.Members), Majority: l.Majority}
		for _, m := range l.Members {
			if m.Status == "alive" {
				v.Alive++
				continue
			}
			v.NotAlive = append(v.NotAlive, fmt.Sprintf("%s %s", a.name(m.Process), m.Status))
		}
		out = append(out, v)
	}
	return out
}

// SharedQuota is a whole that the fleet shares, as far as the records go. They are of
// different moments, so a sum may be off by what changed hands meanwhile.
type SharedQuota struct {
	Quota      string      `json:"whole"`
	Total      float64     `json:"all"` // the whole, by the largest settings
	EqualShare float64     `json:"base"`
	Held       float64     `json:"held"`
	Demand     float64     `json:"need"`
	Leases     []HeldLease `json:"parts"`
}

// HeldLease is one process's part.
type HeldLease struct {
	Process string `json:"process"`
	version.QuotaLease
}

// SharedQuotas tells what the processes hold of each whole.
func (a *Audit) SharedQuotas() []SharedQuota {
	by := map[string]*SharedQuota{}
	for _, l := range a.lives {
		for _, p := range l.Leases {
			if !l.last {
				continue
			}
			s := by[p.Quota]
			if s == nil {
				s = &SharedQuota{Quota: p.Quota}
				by[p.Quota] = s
			}
			s.EqualShare, s.Held, s.Demand, s.Total = s.EqualShare+p.EqualShare, s.Held+p.Held, s.Demand+p.Demand, max(s.Total, p.Total)
			s.Leases = append(s.Leases, HeldLease{l.Process, p})
		}
	}
	var out []SharedQuota
	for _, s := range by {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(x, y SharedQuota) int { return strings.Compare(x.Quota, y.Quota) })
	return out
}
