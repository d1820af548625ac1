// Package steered decides which of the proxies that a control service steers can
// be counted on: whether each accepts what it is sent, and acts on what it has
// accepted, by its own load reports. It does no I/O, reads no clock and starts no
// goroutine.
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
	maxOut     = 4096 // withdrawn servers that are kept
	maxLists   = 1024 // versions whose lists are kept
	maxLeft    = 1024 // proxies that are kept for the record after they have left
	strayTwice = 2    // reports in a row with sends to a withdrawn server, or without any, that change a verdict
)

// Settings of a table.
type Settings struct {
	Service       string            // name of the control service
	Incarnation   version.Timestamp // of the control service
	AnswerTimeout time.Duration     // in which a proxy must answer what it is sent
	Grace         time.Duration     // after it has accepted a withdrawal, in which sends may still go there
	MaxProxies    int               // that are kept; more are counted
}

// Server names a withdrawn server, by either name that load reports use.
type Server struct{ ID, Addr string }

// ServerLoad is what a load report says of one server, by either name.
type ServerLoad struct {
	Server
	Issued uint64
}

// is tells whether a report names this server, by either name that it gives.
func (s Server) is(named Server) bool {
	return named.ID != "" && named.ID == s.ID || named.Addr != "" && named.Addr == s.Addr
}

type proxy struct {
	version.Control
	joined     version.Timestamp
	sentAt     Time
	acceptedAt map[uint64]Time // when versions were accepted that withdraw something
	state      version.ProxyState
	why        string
	strays     uint64 // in the last report
	row        int    // reports in a row that had any; negative: that had none
	total      uint64
	refusal    string
}

type withdrawal struct {
	Server
	version uint64
}

// published is the list that versions rest on, from a number on.
type published struct {
	from uint64
	list version.List
}

// Table holds what is known of each proxy. It is not safe for concurrent use.
type Table struct {
	set     Settings
	proxies map[string]*proxy
	out     map[Server]withdrawal
	number  uint64
	lists   []published // oldest first
	left    []version.ProxyRecord
	Dropped uint64 // proxies and servers that there was no room for
}

// New makes a table that knows nothing.
func New(s Settings) *Table {
	return &Table{set: s, proxies: map[string]*proxy{}, out: map[Server]withdrawal{}}
}

// VerdictChange is a new verdict on a proxy.
type VerdictChange struct {
	Proxy string
	State version.ProxyState
	Why   string
	// Reliable is whether what it reports may be learnt from.
	Reliable           bool
	ReliabilityChanged bool // Reliable has changed
}

// ProxyJoined takes a proxy in, Left out; at is when, by the clock of records.
func (t *Table) ProxyJoined(at version.Timestamp, id string) {
	if t.proxies[id] != nil {
		return
	}
	if len(t.proxies) >= t.set.MaxProxies {
		t.Dropped++
		return
	}
	t.proxies[id] = &proxy{Control: version.Control{Service: t.set.Service, Incarnation: t.set.Incarnation, Published: t.number}, joined: at, acceptedAt: map[uint64]Time{}}
}

func (t *Table) ProxyLeft(at version.Timestamp, id string) {
	p := t.proxies[id]
	if p == nil {
		return
	}
	delete(t.proxies, id)
	row := p.steered(id)
	row.Left = at
	if t.left = append(t.left, row); len(t.left) > maxLeft {
		t.left = slices.Delete(t.left, 0, 1)
	}
}

// VersionPublished takes a new version, the list that it rests on, and the servers that
// it withdraws.
func (t *Table) VersionPublished(number uint64, list version.List, out []Server) {
	t.number = number
	if n := len(t.lists); n == 0 || t.lists[n-1].list != list {
		if t.lists = append(t.lists, published{number, list}); len(t.lists) > maxLists {
			t.lists = slices.Delete(t.lists, 0, 1)
		}
	}
	now := make(map[Server]withdrawal, len(out))
	for _, s := range out {
		w, known := t.out[s]
		if !known {
			if len(now) >= maxOut {
				t.Dropped++
				continue
			}
			w = withdrawal{s, number}
		}
		now[s] = w
	}
	t.out = now
	for _, p := range t.proxies {
		p.Published = number
	}
}

// VersionSent says that a version went out to a proxy, for a time after which the proxy
// drops it by itself; 0: it does not.
func (t *Table) VersionSent(now Time, id string, number uint64, lease time.Duration) {
	p := t.proxies[id]
	if p != nil && lease > 0 {
		p.LeaseEnds = now + lease
	}
	if p != nil && number > p.Sent {
		if p.Accepted >= p.Sent { // the oldest one without an answer counts
			p.sentAt = now
		}
		p.Sent = number
	}
}

// VersionAnswered says that a proxy has taken a version, or why it has not.
func (t *Table) VersionAnswered(now Time, id string, number uint64, why string) {
	p := t.proxies[id]
	if p == nil {
		return
	}
	if why != "" {
		p.Rejected, p.refusal = max(p.Rejected, number), why
		return
	}
	if number < p.Accepted {
		return
	}
	p.Accepted = number
	p.BasedOn = t.on(number)
	for s := range t.out { // at most one time a version, and only those that are still out
		if v := t.out[s].version; v <= number {
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

// VersionHeld says that a proxy has all that a version has for it, also where nothing of
// it had to be sent.
func (t *Table) VersionHeld(id string, number uint64) {
	if p := t.proxies[id]; p != nil && number > p.Accepted {
		p.Accepted, p.BasedOn = number, t.on(number)
	}
}

// on gives the list that a version rests on; none if that is not known any more.
func (t *Table) on(number uint64) version.List {
	for _, p := range slices.Backward(t.lists) {
		if p.from <= number {
			return p.list
		}
	}
	return version.List{}
}

func (t *Table) withdraws(v uint64) bool {
	for _, w := range t.out {
		if w.version == v {
			return true
		}
	}
	return false
}

// LoadReported takes a proxy's load report over an interval that ends now. Sends count
// as strays where the whole of it lies after the grace.
func (t *Table) LoadReported(now Time, id string, interval time.Duration, loads []ServerLoad) {
	p := t.proxies[id]
	if p == nil {
		return
	}
	p.strays = 0
	for _, l := range loads {
		for _, w := range t.out {
			if !w.is(l.Server) {
				continue
			}
			if at, accepted := p.acceptedAt[w.version]; accepted && now-interval >= at+t.set.Grace {
				p.strays += l.Issued
			}
		}
	}
	p.total += p.strays
	switch {
	case p.strays > 0:
		p.row = max(p.row, 0) + 1
	default:
		p.row = min(p.row, 0) - 1
	}
}

// UpdateVerdicts gives the verdicts that have changed, by proxy.
func (t *Table) UpdateVerdicts(now Time) []VerdictChange {
	var out []VerdictChange
	for id, p := range t.proxies {
		strays := uint64(0)
		if p.row >= strayTwice || p.state == version.ProxyNotApplying && p.row > -strayTwice {
			strays = max(1, p.strays)
		}
		state := p.Evaluate(now, p.sentAt, t.set.AnswerTimeout, strays)
		if state == p.state {
			continue
		}
		c := VerdictChange{Proxy: id, State: state, Reliable: state.Reliable(), ReliabilityChanged: state.Reliable() != p.state.Reliable()}
		switch state {
		case version.ProxyUnresponsive:
			c.Why = fmt.Sprintf("version %d has been without an answer for %v", p.Sent, (now - p.sentAt).Round(time.Millisecond))
		case version.ProxyRejecting:
			c.Why = fmt.Sprintf("it turned version %d down: %s", p.Rejected, p.refusal)
		case version.ProxyNotApplying:
			c.Why = fmt.Sprintf("it accepted version %d and reports sends to servers that it withdraws, %d in all", p.Accepted, p.total)
		}
		p.state, p.why = state, c.Why
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y VerdictChange) int { return cmp.Compare(x.Proxy, y.Proxy) })
	return out
}

func (p *proxy) steered(id string) version.ProxyRecord {
	return version.ProxyRecord{Proxy: id, Control: p.Control, State: p.state.String(), Why: p.why, LateSends: p.total, Joined: p.joined}
}

// ProxyRecords lists all proxies that are there, by name.
func (t *Table) ProxyRecords() []version.ProxyRecord {
	out := make([]version.ProxyRecord, 0, len(t.proxies))
	for id, p := range t.proxies {
		out = append(out, p.steered(id))
	}
	slices.SortFunc(out, func(x, y version.ProxyRecord) int { return cmp.Compare(x.Proxy, y.Proxy) })
	return out
}

// Record lists them for a record: those that are there, then those that have left,
// the latest first. What is over the bound is dropped, and how much that is, told.
func (t *Table) Record() (rows []version.ProxyRecord, dropped uint64) {
	rows = t.ProxyRecords()
	for _, x := range slices.Backward(t.left) {
		rows = append(rows, x)
	}
	n := min(len(rows), version.MaxProxies)
	return rows[:n], uint64(len(rows)-n) + t.Dropped
}

// UnreliableCount counts the proxies that are not counted on.
func (t *Table) UnreliableCount() int {
	n := 0
	for _, p := range t.proxies {
		if !p.state.Reliable() {
			n++
		}
	}
	return n
}
