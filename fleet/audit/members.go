package audit

import "fmt"

// View is how one process sees the fleet.
type View struct {
	Process  string   `json:"process"`
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
		v := View{Process: l.Process, Known: len(l.Members), Majority: l.Majority}
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
