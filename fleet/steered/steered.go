// Package steered decides which proxies of a control service are reliable: whether each
// accepts the versions that it is sent and, according to its own load reports, applies
// what it has accepted. It does no I/O, reads no clock and starts no goroutine.
package steered

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/version"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

const (
	maxWithdrawn   = 4096 // withdrawn servers that are tracked
	maxLists       = 1024 // lists that are kept, with the first version based on each
	maxDeparted    = 1024 // records of proxies that have left
	verdictReports = 2    // consecutive reports with late sends, or without, that change a verdict
)

// Settings are the parameters of a table.
type Settings struct {
	Service       string            // name of the control service
	Incarnation   version.Timestamp // of the control service
	AnswerTimeout time.Duration     // time in which a proxy must answer what it is sent
	Grace         time.Duration     // time for which sends to a server may continue after its withdrawal was accepted
	MaxProxies    int               // connected proxies, at most; further ones are counted as dropped
}

// Server identifies a withdrawn server by the names that load reports use: its ID or
// its address.
type Server struct{ ID, Addr string }

// ServerLoad is the entry of a load report for one server.
type ServerLoad struct {
	Server
	Issued uint64 // requests sent in the interval of the report
}

// matches reports whether the entry of a report has this server's ID or address.
func (s Server) matches(named Server) bool {
	return named.ID != "" && named.ID == s.ID || named.Addr != "" && named.Addr == s.Addr
}

type proxy struct {
	version.Control
	joined         version.Timestamp
	sentAt         Time            // when the oldest unanswered version was sent
	acceptedAt     map[uint64]Time // by version, of versions that withdraw servers
	state          version.ProxyState
	why            string
	lateSends      uint64 // in the last report
	streak         int    // consecutive reports with late sends; negative: without
	totalLateSends uint64
	rejection      string
}

type withdrawal struct {
	Server
	version uint64
}

// published is a list and the first version that is based on it.
type published struct {
	from uint64
	list version.List
}

// Table holds the state of each proxy. It is not safe for concurrent use.
type Table struct {
	settings  Settings
	proxies   map[string]*proxy
	withdrawn map[Server]withdrawal
	number    uint64                // newest published version
	lists     []published           // oldest first
	departed  []version.ProxyRecord // of proxies that have left, oldest first
	Dropped   uint64                // proxies and servers beyond the limits
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{settings: s, proxies: map[string]*proxy{}, withdrawn: map[Server]withdrawal{}}
}

// VerdictChange is a new verdict on a proxy.
type VerdictChange struct {
	Proxy string
	State version.ProxyState
	Why   string
	// Reliable reports whether the proxy accepts and applies what it is sent; see
	// version.ProxyState.Reliable.
	Reliable           bool
	ReliabilityChanged bool // Reliable has changed
}

// ProxyJoined adds a proxy that has connected; at is the timestamp for its record.
func (t *Table) ProxyJoined(at version.Timestamp, id string) {
	if t.proxies[id] != nil {
		return
	}
	if len(t.proxies) >= t.settings.MaxProxies {
		t.Dropped++
		return
	}
	t.proxies[id] = &proxy{Control: version.Control{Service: t.settings.Service, Incarnation: t.settings.Incarnation, Published: t.number}, joined: at, acceptedAt: map[uint64]Time{}}
}

// ProxyLeft removes a proxy that has disconnected and keeps its last record.
func (t *Table) ProxyLeft(leftAt version.Timestamp, id string) {
	p := t.proxies[id]
	if p == nil {
		return
	}
	delete(t.proxies, id)
	row := p.record(id)
	row.Left = leftAt
	if t.departed = append(t.departed, row); len(t.departed) > maxDeparted {
		t.departed = slices.Delete(t.departed, 0, 1)
	}
}

// VersionPublished records a new version, the list that it is based on, and the servers
// that it withdraws.
func (t *Table) VersionPublished(number uint64, list version.List, withdrawn []Server) {
	t.number = number
	if n := len(t.lists); n == 0 || t.lists[n-1].list != list {
		if t.lists = append(t.lists, published{number, list}); len(t.lists) > maxLists {
			t.lists = slices.Delete(t.lists, 0, 1)
		}
	}
	current := make(map[Server]withdrawal, len(withdrawn))
	for _, server := range withdrawn {
		w, known := t.withdrawn[server]
		if !known {
			if len(current) >= maxWithdrawn {
				t.Dropped++
				continue
			}
			w = withdrawal{server, number}
		}
		current[server] = w
	}
	t.withdrawn = current
	for _, p := range t.proxies {
		p.Published = number
	}
}

// VersionSent records that a version was sent to a proxy, which drops it when the lease
// has expired; a lease of 0 does not expire.
func (t *Table) VersionSent(now Time, id string, number uint64, lease time.Duration) {
	p := t.proxies[id]
	if p != nil && lease > 0 {
		p.LeaseEnds = now + lease
	}
	if p != nil && number > p.Sent {
		if p.Accepted >= p.Sent { // the oldest unanswered version counts
			p.sentAt = now
		}
		p.Sent = number
	}
}

// VersionAnswered records that a proxy accepted a version or, with a reason, that it
// rejected it.
func (t *Table) VersionAnswered(now Time, id string, number uint64, reason string) {
	p := t.proxies[id]
	if p == nil {
		return
	}
	if reason != "" {
		p.Rejected, p.rejection = max(p.Rejected, number), reason
		return
	}
	if number < p.Accepted {
		return
	}
	p.Accepted = number
	p.BasedOn = t.listOf(number)
	for server := range t.withdrawn { // one time per version, only for versions with servers that are still withdrawn
		if v := t.withdrawn[server].version; v <= number {
			if _, known := p.acceptedAt[v]; !known {
				p.acceptedAt[v] = now
			}
		}
	}
	for v := range p.acceptedAt {
		if !t.withdraws(v) {
			delete(p.acceptedAt, v)
		}
	}
}

// VersionHeld records that a proxy is up to date with a version of which nothing had to
// be sent to it.
func (t *Table) VersionHeld(id string, number uint64) {
	if p := t.proxies[id]; p != nil && number > p.Accepted {
		p.Accepted, p.BasedOn = number, t.listOf(number)
	}
}

// listOf returns the list that a version is based on, or none if it is no longer known.
func (t *Table) listOf(number uint64) version.List {
	for _, p := range slices.Backward(t.lists) {
		if p.from <= number {
			return p.list
		}
	}
	return version.List{}
}

func (t *Table) withdraws(v uint64) bool {
	for _, w := range t.withdrawn {
		if w.version == v {
			return true
		}
	}
	return false
}

// LoadReported records a proxy's load report for an interval that ends now. Sends to
// withdrawn servers are late if the whole interval is after the grace period.
func (t *Table) LoadReported(now Time, id string, interval time.Duration, loads []ServerLoad) {
	p := t.proxies[id]
	if p == nil {
		return
	}
	p.lateSends = 0
	for _, load := range loads {
		for _, removed := range t.withdrawn {
			if !removed.matches(load.Server) {
				continue
			}
			if at, accepted := p.acceptedAt[removed.version]; accepted && now-interval >= at+t.settings.Grace {
				p.lateSends += load.Issued
			}
		}
	}
	p.totalLateSends += p.lateSends
	switch {
	case p.lateSends > 0:
		p.streak = max(p.streak, 0) + 1
	default:
		p.streak = min(p.streak, 0) - 1
	}
}

// UpdateVerdicts judges all proxies and returns the verdicts that have changed, by proxy.
func (t *Table) UpdateVerdicts(now Time) []VerdictChange {
	var out []VerdictChange
	for id, p := range t.proxies {
		lateSends := uint64(0)
		if p.streak >= verdictReports || p.state == version.ProxyNotApplying && p.streak > -verdictReports {
			lateSends = max(1, p.lateSends)
		}
		state := p.Evaluate(now, p.sentAt, t.settings.AnswerTimeout, lateSends)
		if state == p.state {
			continue
		}
		change := VerdictChange{Proxy: id, State: state, Reliable: state.Reliable(), ReliabilityChanged: state.Reliable() != p.state.Reliable()}
		switch state {
		case version.ProxyUnresponsive:
			change.Why = fmt.Sprintf("version %d has been without an answer for %v", p.Sent, (now - p.sentAt).Round(time.Millisecond))
		case version.ProxyRejecting:
			change.Why = fmt.Sprintf("it turned version %d down: %s", p.Rejected, p.rejection)
		case version.ProxyNotApplying:
			change.Why = fmt.Sprintf("it accepted version %d and reports sends to servers that it withdraws, %d in all", p.Accepted, p.totalLateSends)
		}
		p.state, p.why = state, change.Why
		out = append(out, change)
	}
	slices.SortFunc(out, func(x, y VerdictChange) int { return cmp.Compare(x.Proxy, y.Proxy) })
	return out
}

func (p *proxy) record(id string) version.ProxyRecord {
	return version.ProxyRecord{Proxy: id, Control: p.Control, State: p.state.String(), Why: p.why, LateSends: p.totalLateSends, Joined: p.joined}
}

// ProxyRecords lists the connected proxies by name.
func (t *Table) ProxyRecords() []version.ProxyRecord {
	out := make([]version.ProxyRecord, 0, len(t.proxies))
	for id, p := range t.proxies {
		out = append(out, p.record(id))
	}
	slices.SortFunc(out, func(x, y version.ProxyRecord) int { return cmp.Compare(x.Proxy, y.Proxy) })
	return out
}

// Record returns the proxies for a record: those that are connected, then those that
// have left, the latest first. It also returns how many were dropped.
func (t *Table) Record() (rows []version.ProxyRecord, dropped uint64) {
	rows = t.ProxyRecords()
	for _, x := range slices.Backward(t.departed) {
		rows = append(rows, x)
	}
	n := min(len(rows), version.MaxProxies)
	return rows[:n], uint64(len(rows)-n) + t.Dropped
}

// UnreliableCount returns the number of connected proxies that are not reliable.
func (t *Table) UnreliableCount() int {
	n := 0
	for _, p := range t.proxies {
		if !p.state.Reliable() {
			n++
		}
	}
	return n
}
