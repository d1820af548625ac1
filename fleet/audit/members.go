package audit

import (
	"fmt"
	"slices"
	"strings"

	"ivylock/fleet/version"
)

// View is how one process sees the fleet.
type View struct {
	Process  string   `json:"process"`
	Digest   uint32   `json:"digest"`  // the same where the same ones are taken for alive
	Seats    int      `json:"seats"`   // that it holds of what the fleet shares
	Quorate  bool     `json:"quorate"` // most guards of the seats answer it, if there are any
	Known    int      `json:"known"`
	Alive    int      `json:"alive"`
	Majority bool     `json:"majority"` // most of the last agreed fleet are alive to it
	Others   []string `json:"others"`   // those that are not, and what it takes them for
}

// Views tells how each process that finds out who is alive sees the fleet. Views
// differ, always: what one says is what it knows.
func (a *Audit) Views() []View {
	var out []View
	for _, l := range a.lives {
		if !l.last || len(l.Members) == 0 {
			continue
		}
		v := View{Process: l.Process, Digest: l.View, Seats: l.Seats, Quorate: l.Quorate, Known: len(l.Members), Majority: l.Majority}
		for _, m := range l.Members {
			if m.Status == "alive" {
				v.Alive++
				continue
			}
			v.Others = append(v.Others, fmt.Sprintf("%s %s", a.name(m.Process), m.Status))
		}
		out = append(out, v)
	}
	return out
}

// Shared is a whole that the fleet shares, as far as the records go. They are of
// different moments, so a sum may be off by what changed hands meanwhile.
type Shared struct {
	Whole string  `json:"whole"`
	All   float64 `json:"all"` // the whole, by the largest settings
	Base  float64 `json:"base"`
	Held  float64 `json:"held"`
	Need  float64 `json:"need"`
	Parts []Held  `json:"parts"`
}

// Held is one process's part.
type Held struct {
	Process string `json:"process"`
	version.Part
}

// Shares tells what the processes hold of each whole.
func (a *Audit) Shares() []Shared {
	by := map[string]*Shared{}
	for _, l := range a.lives {
		for _, p := range l.Parts {
			if !l.last {
				continue
			}
			s := by[p.Whole]
			if s == nil {
				s = &Shared{Whole: p.Whole}
				by[p.Whole] = s
			}
			s.Base, s.Held, s.Need, s.All = s.Base+p.Base, s.Held+p.Held, s.Need+p.Need, max(s.All, p.All)
			s.Parts = append(s.Parts, Held{l.Process, p})
		}
	}
	var out []Shared
	for _, s := range by {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(x, y Shared) int { return strings.Compare(x.Whole, y.Whole) })
	return out
}
