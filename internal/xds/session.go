package xds

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

const (
	maxNames    = 4096            // resources of one type that a stream may ask for
	maxNameLen  = 512             // bytes
	gateFor     = 5 * time.Second // a route waits so long for its clusters to be acknowledged
	beatPart    = 3               // heartbeats in one lease
	neverTime   = time.Duration(math.MaxInt64)
	wildcard    = "*"
	maxNackText = 1024 // bytes of a proxy's complaint that are kept
)

// Request is what a proxy sends on a stream, of either variant.
type Request struct {
	Type            Type
	Nonce           string            // of the response that it answers; empty: none
	RejectReason    string            // why it rejects that response; empty: it accepts it
	Names           []string          // state of the world: all names that it wants
	Subscribe       []string          // incremental: further names
	Unsubscribe     []string          // incremental: names no longer wanted
	InitialVersions map[string]string // incremental, first request: versions it has
}

// Response is what a stream sends.
type Response struct {
	Type      Type
	Nonce     string
	Version   string
	Resources []*Resource
	Removed   []string // incremental
	Heartbeat bool     // the resources go without their bodies: they only stay valid for another TTL
}

// given is a resource as a proxy holds it.
type given struct {
	*Resource
	sure time.Duration // it has it at least until this time, if it has a TTL
	beat time.Duration // when the next heartbeat is due
}

// pending is a response without its answer.
type pending struct {
	*Response
	at time.Duration
}

// ask is the state of one type on a stream.
type ask struct {
	wanted  bool
	wild    bool
	names   map[string]bool
	has     map[string]given
	gone    map[string]bool // incremental: names told to be removed or absent
	out     *pending
	last    string            // nonce of the response that was sent last
	refused map[string]string // versions that the proxy rejected, by name
	whole   string            // state of the world: the version of all that it rejected last
	sent    string            // state of the world: the version of all that it was sent last
	acked   string            // the version it acknowledged last
	nack    string            // its last complaint
	nacks   uint64
}

// Session is the protocol of one stream: what a proxy has, what it wants and
// what is to be sent next. It does no I/O and reads no clock. Its memory is
// bounded by the names that it wants; it holds at most two responses without
// an answer, the older one a heartbeat.
//
// Leases. A resource with a TTL is dropped by the proxy when that has passed
// since it last came, with its body or by a heartbeat. A heartbeat is only
// sent when everything before it has been acknowledged, so the lease that it
// prolongs had come before the heartbeat was sent. So a heartbeat that left
// before a drain keeps the server in use for less than two TTLs after it,
// however late it comes: it must come within one, or finds nothing to prolong.
// A body has no such bound by itself; Overdue gives it one.
type Session struct {
	delta  bool
	leases bool
	snap   *Snapshot
	since  time.Duration // when the snapshot came
	asks   [types]ask
	nonce  uint64

	// StaleRequests counts requests that answered an older response.
	StaleRequests uint64
}

// NewSession gives one that has heard nothing. Without leases no TTL is told
// and no heartbeat sent.
func NewSession(delta, leases bool) *Session {
	return &Session{delta: delta, leases: leases}
}

// SetSnapshot gives the session a new snapshot.
func (s *Session) SetSnapshot(now time.Duration, snap *Snapshot) { s.snap, s.since = snap, now }

// HandleRequest handles a request. An error ends the stream.
func (s *Session) HandleRequest(now time.Duration, r Request) error {
	a := &s.asks[r.Type]
	first := !a.wanted
	if first {
		*a = ask{wanted: true, names: map[string]bool{}, has: map[string]given{}, gone: map[string]bool{}, refused: map[string]string{}}
	}
	if r.Nonce != "" && !first { // the first may still name one of an earlier stream
		switch {
		case a.out != nil && a.out.Nonce == r.Nonce:
			s.answered(now, a, r)
		case a.last == r.Nonce: // it has been answered: this one only changes what is wanted
		default:
			s.StaleRequests++
			if !s.delta {
				return nil // the protocol page: what answers an older response is ignored
			}
		}
	}
	if s.delta {
		if first && len(r.Subscribe) == 0 && r.Type.whole() {
			a.wild = true
		}
		if err := s.subscribe(a, r, first); err != nil {
			return err
		}
	} else if err := s.replace(a, r, first); err != nil {
		return err
	}
	if len(a.names) > maxNames {
		return fmt.Errorf("%v: more than %d resources asked for", r.Type, maxNames)
	}
	return nil
}

func checkName(n string) error {
	if n == "" || len(n) > maxNameLen {
		return fmt.Errorf("a resource name of %d bytes; 1 to %d are allowed", len(n), maxNameLen)
	}
	return nil
}

func (s *Session) subscribe(a *ask, r Request, first bool) error {
	if len(r.Subscribe)+len(r.Unsubscribe) > 2*maxNames || len(r.InitialVersions) > maxNames {
		return fmt.Errorf("%v: more than %d resources in one request", r.Type, maxNames)
	}
	for _, n := range r.Subscribe {
		if err := checkName(n); err != nil {
			return err
		}
		if n == wildcard {
			a.wild = true
			continue
		}
		a.names[n] = true
		delete(a.has, n) // who asks again has lost it
		delete(a.gone, n)
	}
	for _, n := range r.Unsubscribe {
		if n == wildcard {
			a.wild = false
		}
		delete(a.names, n)
		if !a.wild {
			delete(a.has, n)
			delete(a.gone, n)
		}
	}
	if first {
		for n, v := range r.InitialVersions {
			// What has a lease is sent whole: it may just have run out.
			if x := s.snap.Get(r.Type, n); x != nil && x.Version == v && !s.leased(x) && (a.wild || a.names[n]) {
				a.has[n] = given{Resource: x}
			} else if x == nil && (a.wild || a.names[n]) && checkName(n) == nil {
				a.has[n] = given{Resource: &Resource{Name: n, Version: v}} // so that it is told to be gone
			}
		}
	}
	return nil
}

func (s *Session) replace(a *ask, r Request, first bool) error {
	if len(r.Names) > maxNames {
		return fmt.Errorf("%v: more than %d resources in one request", r.Type, maxNames)
	}
	if r.Type.whole() && first && len(r.Names) == 0 {
		a.wild = true
	}
	names := make(map[string]bool, len(r.Names))
	for _, n := range r.Names {
		if err := checkName(n); err != nil {
			return err
		}
		if n == wildcard && r.Type.whole() {
			a.wild = true
			continue
		}
		names[n] = true
	}
	if len(names) > 0 && r.Type.whole() {
		a.wild = len(r.Names) != len(names)
	}
	for n := range a.has {
		if !names[n] && !a.wild {
			delete(a.has, n)
		}
	}
	for n := range names {
		if !a.names[n] {
			a.sent = "" // a new name: even what has not changed is due
			delete(a.has, n)
		}
	}
	a.names = names
	return nil
}

// answered takes the proxy's word on the response that is out.
func (s *Session) answered(now time.Duration, a *ask, r Request) {
	out := a.out
	a.out = nil
	if r.RejectReason != "" {
		a.nacks++
		a.nack = r.RejectReason[:min(len(r.RejectReason), maxNackText)]
		a.whole = out.Version
		for n := range a.refused { // guards against names that come, are rejected and go
			if s.snap.Get(r.Type, n) == nil {
				delete(a.refused, n)
			}
		}
		for _, x := range out.Resources {
			a.refused[x.Name] = x.Version
		}
		return
	}
	a.acked, a.nack, a.whole = out.Version, "", ""
	for _, x := range out.Resources {
		delete(a.refused, x.Name)
		if !a.wild && !a.names[x.Name] {
			continue
		}
		delete(a.gone, x.Name)
		had, ok := a.has[x.Name]
		if out.Heartbeat && (!ok || had.Resource != x || now >= had.sure) {
			delete(a.has, x.Name) // it may have come after the lease had run out: send the body again
			continue
		}
		a.has[x.Name] = given{Resource: x, sure: out.at + x.TTL, beat: out.at + x.TTL/beatPart}
	}
	for _, n := range out.Removed {
		delete(a.has, n)
		if a.names[n] {
			a.gone[n] = true
		}
	}
	if !s.delta && out.Type.whole() && !out.Heartbeat {
		keep := map[string]bool{}
		for _, x := range out.Resources {
			keep[x.Name] = true
		}
		for n := range a.has {
			if !keep[n] {
				delete(a.has, n)
			}
		}
	}
}

func (s *Session) leased(r *Resource) bool { return s.leases && r.TTL > 0 }

// NextResponse gives what is to be sent now, or nil. The caller sends it before it
// calls again.
func (s *Session) NextResponse(now time.Duration) *Response {
	if s.snap == nil {
		return nil
	}
	for t := range types {
		a := &s.asks[t]
		if !a.wanted || a.out != nil && !a.out.Heartbeat {
			continue
		}
		if r := s.update(now, t, a); r != nil {
			return s.send(now, a, r)
		}
		if a.out != nil || !s.leases {
			continue
		}
		if r := s.beats(now, t, a); r != nil {
			return s.send(now, a, r)
		}
	}
	return nil
}

func (s *Session) send(now time.Duration, a *ask, r *Response) *Response {
	s.nonce++
	r.Nonce = strconv.FormatUint(s.nonce, 10)
	a.out, a.last = &pending{r, now}, r.Nonce
	if !r.Heartbeat {
		a.sent = r.Version
	}
	return r
}

// target gives what a proxy should have of a type.
func (s *Session) target(now time.Duration, t Type, a *ask) []*Resource {
	var set []*Resource
	names := s.snap.Names(t)
	if !a.wild {
		names = names[:0]
		for n := range a.names {
			names = append(names, n)
		}
	}
	seen := map[string]bool{}
	for _, n := range names {
		x := s.snap.Get(t, n)
		if x != nil && t == Route && !s.ready(now, x) {
			x = a.has[n].Resource // until its clusters are there, the old one
		}
		if x != nil {
			set = append(set, x)
			seen[n] = true
		}
	}
	if t == Cluster && a.wild {
		for n := range s.inUse(now) {
			if x, ok := a.has[n]; ok && !seen[n] {
				set = append(set, x.Resource)
			}
		}
	}
	sortByName(set)
	return set
}

// ready says whether a proxy that follows all clusters has acknowledged those
// that a route names, and their endpoints.
func (s *Session) ready(now time.Duration, x *Resource) bool {
	c, e := &s.asks[Cluster], &s.asks[Endpoint]
	if !c.wanted || !c.wild || now-s.since >= gateFor {
		return true
	}
	for _, n := range x.refs {
		if _, ok := c.has[n]; !ok {
			return false
		}
		if s.snap.Get(Endpoint, n) == nil {
			continue
		}
		if _, ok := e.has[n]; !ok {
			return false
		}
	}
	return true
}

// inUse gives the clusters that the proxy's routes still name.
func (s *Session) inUse(now time.Duration) map[string]bool {
	used := map[string]bool{}
	if now-s.since >= gateFor {
		return used
	}
	for _, x := range s.asks[Route].has {
		for _, n := range x.refs {
			used[n] = true
		}
	}
	// Until it has answered, a proxy may have either.
	if out := s.asks[Route].out; out != nil {
		for _, x := range out.Resources {
			for _, n := range x.refs {
				used[n] = true
			}
		}
	}
	return used
}

// update gives a response with what has changed, or nil. What the proxy has
// rejected is not sent again until it changes.
func (s *Session) update(now time.Duration, t Type, a *ask) *Response {
	set := s.target(now, t, a)
	var changed []*Resource
	for _, x := range set {
		if had, ok := a.has[x.Name]; (!ok || had.Version != x.Version) && a.refused[x.Name] != x.Version {
			changed = append(changed, x)
		}
	}
	if s.delta {
		var removed []string
		wanted := map[string]bool{}
		for _, x := range set {
			wanted[x.Name] = true
		}
		for n := range a.has {
			if !wanted[n] {
				removed = append(removed, n)
			}
		}
		for n := range a.names {
			if _, ok := a.has[n]; !ok && !wanted[n] && !a.gone[n] && s.snap.Get(t, n) == nil {
				removed = append(removed, n)
			}
		}
		if len(changed)+len(removed) == 0 {
			return nil
		}
		return &Response{Type: t, Version: sum(set), Resources: changed, Removed: removed}
	}
	version := sum(set)
	if t.whole() {
		if version == a.sent || version == a.whole {
			return nil
		}
		return &Response{Type: t, Version: version, Resources: set}
	}
	if len(changed) == 0 {
		return nil
	}
	return &Response{Type: t, Version: sum(changed), Resources: changed}
}

// OnInSync tells whether the proxy has acknowledged all that the snapshot has for it,
// of every type that it must have to act on it.
func (s *Session) InSync() bool {
	if s.snap == nil || !s.asks[Cluster].wanted {
		return false
	}
	for t := range types {
		a := &s.asks[t]
		if !a.wanted {
			if t == Endpoint && len(s.snap.sets[t]) > 0 {
				return false
			}
			continue
		}
		if a.out != nil && !a.out.Heartbeat || a.nack != "" {
			return false
		}
		for n, x := range s.snap.sets[t] {
			if had, ok := a.has[n]; (a.wild || a.names[n]) && (!ok || had.Version != x.Version) {
				return false
			}
		}
	}
	return true
}

// beats gives the heartbeats that are due, or nil. A proxy that rejected an
// update has its last good one prolonged only while that one lets no request
// go where the update would not.
func (s *Session) beats(now time.Duration, t Type, a *ask) *Response {
	var due []*Resource
	for n, had := range a.has {
		if had.TTL == 0 || now < had.beat {
			continue
		}
		x := s.snap.Get(t, n)
		if x == nil || x.Version != had.Version && !had.covers(x) {
			continue
		}
		due = append(due, had.Resource)
	}
	if len(due) == 0 {
		return nil
	}
	sortByName(due)
	return &Response{Type: t, Version: a.acked, Resources: due, Heartbeat: true}
}

// NextWakeup is when Next may have something to send although nothing has happened.
func (s *Session) NextWakeup(now time.Duration) time.Duration {
	at := neverTime
	for t := range types {
		a := &s.asks[t]
		if !a.wanted {
			continue
		}
		if s.leases && a.out == nil {
			for _, had := range a.has {
				switch {
				case had.TTL == 0:
				case had.beat > now:
					at = min(at, had.beat)
				default: // due and not sent: it may not be prolonged for now
					at = min(at, now+had.TTL/beatPart)
				}
			}
		}
	}
	if s.snap != nil && now-s.since < gateFor {
		at = min(at, s.since+gateFor)
	}
	return at
}

// AckTimeouts is when the first response without an answer has waited too long:
// within, or, for a body with a lease, that lease. One that is held back
// longer could reach the proxy after its leases had run out and bring back
// what has been drained meanwhile; the connection must be broken before.
func (s *Session) AckDeadline(within time.Duration) (at time.Duration, ok bool) {
	at = neverTime
	for t := range types {
		out := s.asks[t].out
		if out == nil {
			continue
		}
		ok = true
		wait := within
		for _, x := range out.Resources {
			if s.leased(x) && !out.Heartbeat {
				wait = min(wait, x.TTL)
			}
		}
		at = min(at, out.at+wait)
	}
	return at, ok
}
