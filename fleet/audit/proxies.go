package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"ivylock/fleet/version"
)

// Proxy is the state of one proxy, derived from the records of its control services.
type Proxy struct {
	Proxy          string          `json:"proxy"`
	Service        string          `json:"service"` // the current or last control service
	Accepted       uint64          `json:"accepted"`
	BasedOn        version.List    `json:"on"` // list that the accepted version is based on
	State          State           `json:"state"`
	Verdict        string          `json:"verdict"` // the state on record at the service
	Why            string          `json:"why"`
	Confidence     Confidence      `json:"sure"`
	ServiceChanges []ServiceChange `json:"moves"` // oldest first
}

// ServiceChange is a proxy's move from one control service, or incarnation of it, to
// the next.
type ServiceChange struct {
	From     string            `json:"from"`
	To       string            `json:"to"`
	At       version.Timestamp `json:"at"` // by the clock of the new service
	Relation version.Relation  `json:"-"`
	Result   string            `json:"went"` // version accepted there relative to the former: same, newer, older, apart
}

// serviceLists returns the lists that control services act on.
func (a *Audit) serviceLists() (lists []version.List) {
	for _, service := range a.services {
		if n := len(service.Intervals); n > 0 && !service.Ended && service.latest {
			lists = append(lists, service.Intervals[n-1].Version.List)
		}
	}
	return lists
}

// compareWithAll relates a list to all lists that control services act on: Older if one is newer,
// which is then returned, otherwise Incomparable if one can't be compared with it, or there is none.
func compareWithAll(own version.List, lists []version.List) (relation version.Relation, newest version.List) {
	newest, comparable := own, len(lists) > 0
	for _, list := range lists {
		switch own.CompareIndependent(list) {
		case version.Older:
			if newest == own || list.CompareIndependent(newest) == version.Newer {
				newest = list
			}
		case version.Incomparable:
			comparable = false
		}
	}
	switch {
	case newest != own:
		return version.Older, newest
	case !comparable:
		return version.Incomparable, newest
	}
	return version.Same, newest
}

// Proxies returns the state of each proxy that a control service has on record.
func (a *Audit) Proxies() []Proxy {
	byProxy := map[string][]version.ProxyRecord{}
	for _, service := range a.services {
		for _, r := range service.Proxies {
			byProxy[r.Proxy] = append(byProxy[r.Proxy], r)
		}
	}
	lists := a.serviceLists()
	var out []Proxy
	for name, records := range byProxy {
		slices.SortStableFunc(records, func(x, y version.ProxyRecord) int { return cmp.Compare(x.Joined, y.Joined) })
		out = append(out, a.judgeProxy(name, records, lists))
	}
	slices.SortFunc(out, func(x, y Proxy) int { return strings.Compare(x.Proxy, y.Proxy) })
	return out
}

// judgeProxy judges a proxy by its records at the services, which are in the order in
// which it joined them.
func (a *Audit) judgeProxy(name string, records []version.ProxyRecord, lists []version.List) Proxy {
	p := Proxy{Proxy: name, State: StateUnknown, Confidence: Unknown}
	active := 0
	last := records[len(records)-1]
	for _, r := range records {
		if r.Left == 0 && !a.incarnationEnded(r) {
			active++
			last = r
		}
	}
	for i := 1; i < len(records); i++ {
		x, y := records[i-1], records[i]
		if x.Accepted == 0 || y.Accepted == 0 {
			continue
		}
		relation := y.Compare(x.Control)
		p.ServiceChanges = append(p.ServiceChanges, ServiceChange{From: incarnationName(x), To: incarnationName(y), At: y.Joined, Relation: relation, Result: relation.String()})
	}
	p.Service, p.Accepted, p.BasedOn, p.Verdict = last.Service, last.Accepted, last.BasedOn, last.State
	switch relation, newest := compareWithAll(last.BasedOn, lists); {
	case active == 0:
		p.Why = "it has left " + last.Service + ", and no service on record has it"
	case last.Accepted == 0:
		p.Why = "it has accepted nothing yet"
	case relation == version.Incomparable:
		p.Why = "the list that it acts on can't be compared with the newest one"
	case relation == version.Older:
		p.State, p.Confidence = Behind, Certain
		p.Why = fmt.Sprintf("it acts on %v by %s, and the newest is %v", last.BasedOn, last.Service, newest)
		if last.Why != "" {
			p.Why += ": " + last.Why
		}
	case !reliableState(last.State):
		p.State, p.Confidence, p.Why = Behind, Certain, last.State
		if last.Why != "" {
			p.Why += ": " + last.Why
		}
	default:
		p.State, p.Confidence = UpToDate, Certain
	}
	if active > 1 {
		if p.Confidence == Certain {
			p.Confidence = Likely
		}
		p.Why = strings.TrimPrefix(p.Why+fmt.Sprintf("; %d services have it", active), "; ")
	}
	for _, m := range p.ServiceChanges {
		if m.Relation == version.Older {
			p.Why = strings.TrimPrefix(p.Why+fmt.Sprintf("; it went back when it moved from %s to %s", m.From, m.To), "; ")
		}
	}
	return p
}

// reliableState reports whether a service's verdict is that of a reliable proxy.
func reliableState(state string) bool {
	for _, s := range []version.ProxyState{version.ProxyUnresponsive, version.ProxyRejecting, version.ProxyNotApplying} {
		if state == s.String() {
			return false
		}
	}
	return true
}

// incarnationEnded reports whether the incarnation of a service has ended that a proxy's
// record is from.
func (a *Audit) incarnationEnded(r version.ProxyRecord) bool {
	i := slices.IndexFunc(a.services, func(service *incarnation) bool {
		return service.Process == r.Service && service.Incarnation == r.Incarnation
	})
	return i < 0 || a.services[i].Ended || !a.services[i].latest
}

func incarnationName(r version.ProxyRecord) string {
	return r.Service + " of " + FormatTime(r.Incarnation)
}

// Regressions lists the moves after which proxies accepted an older list.
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
