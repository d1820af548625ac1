package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"ivylock/fleet/version"
)

// Proxy says how one steered proxy stands, by the records of the control services
// that it asked.
type Proxy struct {
	Proxy          string          `json:"proxy"`
	Service        string          `json:"service"` // that it asks, or asked last
	Accepted       uint64          `json:"accepted"`
	BasedOn        version.List    `json:"on"` // the list that what it accepted rests on
	State          State           `json:"state"`
	Verdict        string          `json:"verdict"` // the service's own
	Why            string          `json:"why"`
	Confidence     Confidence      `json:"sure"`
	ServiceChanges []ServiceChange `json:"moves"` // from service to service, oldest first
}

// ServiceChange is a proxy's change from one control service, or one life of it, to the next.
type ServiceChange struct {
	From     string            `json:"from"`
	To       string            `json:"to"`
	At       version.Timestamp `json:"at"` // by the clock of the one that it went to
	Relation version.Relation  `json:"-"`
	Result   string            `json:"went"` // what it accepted there against what it had: same, newer, older, apart
}

// newestSteered is the newest list that the control services rest on: of those that
// can be compared, that which none of the others is newer than.
func (a *Audit) newestSteered() (best version.List, found bool) {
	for _, l := range a.services {
		if n := len(l.Intervals); n > 0 && !l.Ended && l.last {
			if v := l.Intervals[n-1].Version.List; !found || v.CompareIndependent(best) == version.Newer {
				best, found = v, true
			}
		}
	}
	return best, found
}

// Proxies says how each proxy stands that a control service has on record.
func (a *Audit) Proxies() []Proxy {
	by := map[string][]version.ProxyRecord{}
	for _, l := range a.services {
		for _, r := range l.Proxies {
			by[r.Proxy] = append(by[r.Proxy], r)
		}
	}
	newest, known := a.newestSteered()
	var out []Proxy
	for name, rows := range by {
		slices.SortStableFunc(rows, func(x, y version.ProxyRecord) int { return cmp.Compare(x.Joined, y.Joined) })
		out = append(out, a.proxy(name, rows, newest, known))
	}
	slices.SortFunc(out, func(x, y Proxy) int { return strings.Compare(x.Proxy, y.Proxy) })
	return out
}

// proxy judges one by what the services have of it, in the order in which it came to
// them.
func (a *Audit) proxy(name string, rows []version.ProxyRecord, newest version.List, known bool) Proxy {
	p := Proxy{Proxy: name, State: StateUnknown, Confidence: Unknown}
	there := 0
	last := rows[len(rows)-1]
	for _, r := range rows {
		if r.Left == 0 && !a.ended(r) {
			there++
			last = r
		}
	}
	for i := 1; i < len(rows); i++ {
		x, y := rows[i-1], rows[i]
		if x.Accepted == 0 || y.Accepted == 0 {
			continue
		}
		rel := y.Compare(x.Control)
		p.ServiceChanges = append(p.ServiceChanges, ServiceChange{From: lifeName(x), To: lifeName(y), At: y.Joined, Relation: rel, Result: rel.String()})
	}
	p.Service, p.Accepted, p.BasedOn, p.Verdict = last.Service, last.Accepted, last.BasedOn, last.State
	switch rel := last.BasedOn.CompareIndependent(newest); {
	case there == 0:
		p.Why = "it has left " + last.Service + ", and no service on record has it"
	case last.Accepted == 0:
		p.Why = "it has accepted nothing yet"
	case !known || rel == version.Incomparable:
		p.Why = "the list that it acts on can't be compared with the newest one"
	case rel == version.Older:
		p.State, p.Confidence = Behind, Certain
		p.Why = fmt.Sprintf("it acts on %v by %s, and the newest is %v", last.BasedOn, last.Service, newest)
		if last.Why != "" {
			p.Why += ": " + last.Why
		}
	case !follows(last.State):
		p.State, p.Confidence, p.Why = Behind, Certain, last.State
		if last.Why != "" {
			p.Why += ": " + last.Why
		}
	default:
		p.State, p.Confidence = UpToDate, Certain
	}
	if there > 1 {
		if p.Confidence == Certain {
			p.Confidence = Likely
		}
		p.Why = strings.TrimPrefix(p.Why+fmt.Sprintf("; %d services have it", there), "; ")
	}
	for _, m := range p.ServiceChanges {
		if m.Relation == version.Older {
			p.Why = strings.TrimPrefix(p.Why+fmt.Sprintf("; it went back when it moved from %s to %s", m.From, m.To), "; ")
		}
	}
	return p
}

// follows tells whether a service's verdict is one of a proxy that can be counted on.
func follows(state string) bool {
	for _, s := range []version.ProxyState{version.ProxyUnresponsive, version.ProxyRejecting, version.ProxyNotApplying} {
		if state == s.String() {
			return false
		}
	}
	return true
}

// ended tells whether the life of the service that a row is of is over.
func (a *Audit) ended(r version.ProxyRecord) bool {
	i := slices.IndexFunc(a.services, func(l *life) bool { return l.Process == r.Service && l.Incarnation == r.Incarnation })
	return i < 0 || a.services[i].Ended || !a.services[i].last
}

func lifeName(r version.ProxyRecord) string { return r.Service + " of " + FormatTime(r.Incarnation) }

// Regressions lists the moves by which proxies went back in time.
func (a *Audit) Regressions() []ServiceChange {
	var out []ServiceChange
	for _, p := range a.Proxies() {
		for _, m := range p.ServiceChanges {
			if m.Relation == version.Older {
				out = append(out, m)
			}
		}
	}
	return out
}
