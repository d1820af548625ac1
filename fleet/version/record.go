package version

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a record. What is over them is folded together or dropped, oldest
// first, and counted.
const (
	MaxIntervals   = 64
	MaxWithdrawals = 256
	MaxServers     = 4096
	MaxPeers       = 1024
	MaxChanges     = 64
	MaxRefusals    = 64
	MaxProxies     = 8192

	markBits  = 27 // a mark is 2^27 ns, about 134 ms
	mostMarks = 32 // marks of a server that are kept: those in which something was sent
)

// BucketLength is how long one mark of sends is at most.
const BucketLength = time.Duration(1) << markBits

// SendBucket counts the sends of one short time, from the first of them to the last.
type SendBucket struct {
	From  Timestamp `json:"from"`
	To    Timestamp `json:"to"`
	Sends uint64    `json:"sends"`
}

// SendCounter counts what this process writes to one server. It may be used by several
// goroutines; a send costs one comparison and one addition under a lock that
// nobody else wants.
type SendCounter struct {
	mu          sync.Mutex
	slot        int64
	count       uint64 // of the slot
	all         uint64
	first, last Time // of all
	since       Time // the slot's first
	marks       [mostMarks]struct {
		from, to Time
		count    uint64
	}
	next  int
	total *atomic.Uint64
}

// Add counts a send.
func (s *SendCounter) Add(now Time) {
	slot := int64(now) >> markBits
	s.mu.Lock()
	if slot != s.slot {
		s.turn(slot, now)
	}
	s.count++
	s.last = now
	s.mu.Unlock()
	s.total.Add(1)
}

func (s *SendCounter) turn(slot int64, now Time) {
	if s.count > 0 {
		m := &s.marks[s.next%mostMarks]
		m.from, m.to, m.count = s.since, s.last, s.count
		s.next++
		s.all += s.count
	} else {
		s.first = now
	}
	s.slot, s.count, s.since = slot, 0, now
}

// ServerSends is what was sent to one server, as a record tells it. Times are the
// hybrid clock's, as far as it was ahead when the record was taken.
type ServerSends struct {
	Name    string       `json:"name"`
	Sends   uint64       `json:"sends"`
	First   Timestamp    `json:"first,omitempty"`
	Last    Timestamp    `json:"last,omitempty"`
	Buckets []SendBucket `json:"marks,omitempty"` // the latest ones
}

func (s *SendCounter) server(name string, lag time.Duration) ServerSends {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ServerSends{Name: name, Sends: s.all + s.count}
	if out.Sends == 0 {
		return out
	}
	out.First, out.Last = TimestampOf(s.first+lag), TimestampOf(s.last+lag)
	for i := max(0, s.next-mostMarks); i < s.next; i++ {
		m := s.marks[i%mostMarks]
		out.Buckets = append(out.Buckets, SendBucket{TimestampOf(m.from + lag), TimestampOf(m.to + lag), m.count})
	}
	out.Buckets = append(out.Buckets, SendBucket{TimestampOf(s.since + lag), out.Last, s.count})
	return out
}

// OwnSource is the teller of what a process's own source said.
const OwnSource = -1

// Interval is a time in which a process acted on one version.
type Interval struct {
	Version Vector    `json:"version"`
	From    Timestamp `json:"from"`
	Until   Timestamp `json:"until"` // 0: still
	Sends   uint64    `json:"sends"`
}

// MergedIntervals stands for intervals that a record has no room for.
type MergedIntervals struct {
	Intervals uint64    `json:"intervals"`
	From      Timestamp `json:"from,omitempty"`
	Until     Timestamp `json:"until,omitempty"`
	Sends     uint64    `json:"sends"`
}

// Withdrawal is a server that wants nothing new, as a process came to know.
type Withdrawal struct {
	Server     string    `json:"server"` // name
	State      State     `json:"state"`
	List       List      `json:"list"`  // the version that says so
	KnownAt    Timestamp `json:"known"` // when this process knew
	ReportedBy int       `json:"from"`  // who told it: a process's number, or Own
	RestoredAt Timestamp `json:"again"` // when its own source gave the server back; 0: not yet
	RestoredBy List      `json:"back"`  // the version that gave it back
}

// PeerVersion is the last word that a process had of another.
type PeerVersion struct {
	Process         int       `json:"process"`
	Version         Vector    `json:"version"`
	LastHeard       Timestamp `json:"at"`   // this process's clock
	ClockLeadMillis int64     `json:"lead"` // ms by which the teller's stamp was ahead of this process's, at the latest word
	Count           uint64    `json:"count"`
}

// ModeChange is a change of a process's standing.
type ModeChange struct {
	At   Timestamp `json:"at"`
	Mode string    `json:"to"`
	Why  string    `json:"why"`
}

// Pause is a time in which a process stood still.
type Pause struct {
	ResumedAt Timestamp     `json:"until"` // when it went on
	Duration  time.Duration `json:"for"`
}

// Record is what a process has acted on, for an audit.
type Record struct {
	Process            string          `json:"process"`
	Number             int             `json:"number"`
	Incarnation        Timestamp       `json:"life"`  // its start
	TakenAt            Timestamp       `json:"at"`    // when the record was taken
	WallMillis         int64           `json:"wall"`  // ms, the process's own clock then
	Ended              bool            `json:"ended"` // it ended in order after this record
	Intervals          []Interval      `json:"acts"`
	Merged             MergedIntervals `json:"folded"`
	Servers            []ServerSends   `json:"servers"`
	Withdrawals        []Withdrawal    `json:"withdrawals"`
	Dropped            uint64          `json:"dropped"` // withdrawals, servers and words that there was no room for
	Peers              []PeerVersion   `json:"heard"`
	ModeChanges        []ModeChange    `json:"changes"`
	Pauses             []Pause         `json:"stops"`
	StaleRefusals      uint64          `json:"refused_old"`   // requests refused as what it acts on was too old
	ClockRejected      int             `json:"clock_refused"` // stamps too far ahead to be believed
	ClockLead          time.Duration   `json:"clock_lag"`     // the most that another clock was ahead
	Confirmed          Timestamp       `json:"confirmed"`     // when its own source spoke last
	AppliedVersion     List            `json:"reached"`       // up to which all withdrawals are in force, by whoever told them
	Predecessors       []Predecessor   `json:"before"`        // former processes of this node, oldest first
	Members            []Member        `json:"members"`       // who it takes to be in the fleet; none where it does not find out
	Leases             []QuotaLease    `json:"parts"`         // of wholes that are shared
	Majority           bool            `json:"majority"`      // most of the last agreed fleet are among them
	ViewDigest         uint32          `json:"view"`          // digest of who it takes for alive
	Slots              int             `json:"seats"`         // of the fleet's that it holds
	HasQuorum          bool            `json:"quorate"`       // most guards of the seats answer it
	RefusedWithdrawals []Refusal       `json:"refused"`       // withdrawals of neighbours that were not taken, as too much would have been out
	ServersInUse       []string        `json:"uses"`          // servers that it uses now, by name and in order; a node's
	Proxies            []ProxyRecord   `json:"steers"`        // of a control service: how each proxy follows
	ControlService     bool            `json:"service"`       // a control service's; Number means nothing then
}

// Refusal is a withdrawal that a process was told of and did not take.
type Refusal struct {
	Server     string    `json:"server"`
	List       List      `json:"list"` // the version that says so
	ReportedBy int       `json:"from"` // who told it last
	First      Timestamp `json:"first"`
	Last       Timestamp `json:"last"`
	Count      uint64    `json:"times"`
}

// Member is a process of the fleet as another one takes it.
type Member struct {
	Process     int           `json:"process"`
	Status      string        `json:"status"`
	Incarnation uint32        `json:"life"`
	SinceHeard  time.Duration `json:"heard"` // ago; negative: never
}

// QuotaLease is what a process holds of a whole that the fleet shares, in its unit.
type QuotaLease struct {
	Quota      string  `json:"whole"`
	EqualShare float64 `json:"base"` // an equal part
	Held       float64 `json:"held"`
	Demand     float64 `json:"need"`
	Total      float64 `json:"all"` // the whole
}

// Incarnation sums up a former process of the same node.
type Predecessor struct {
	Incarnation Timestamp `json:"life"`
	Until       Timestamp `json:"until"`
	Sends       uint64    `json:"sends"`
	LastVersion Vector    `json:"last"`
}

// Recorder keeps a process's record. All but Sends is for one goroutine.
type Recorder struct {
	rec     Record
	clock   *HybridClock
	total   atomic.Uint64
	began   uint64 // total at the last interval's beginning
	sends   map[string]*SendCounter
	heard   map[int]*PeerVersion
	refused atomic.Uint64
}

// NewRecorder begins a record of a process at a time.
func NewRecorder(process string, number int, now Time, clock *HybridClock) *Recorder {
	return &Recorder{rec: Record{Process: process, Number: number, Incarnation: clock.Now(now)}, clock: clock,
		sends: map[string]*SendCounter{}, heard: map[int]*PeerVersion{}}
}

// SendCounter gives the counter of a server, which lasts while the server may still be asked about.
func (r *Recorder) SendCounter(name string) *SendCounter {
	s := r.sends[name]
	if s == nil {
		s = &SendCounter{total: &r.total}
		if len(r.sends) >= MaxServers {
			r.rec.Dropped++ // it counts, in the total alone
			return s
		}
		r.sends[name] = s
	}
	return s
}

// forget drops a server that is gone for good once its withdrawal has gone out
// of the record.
func (r *Recorder) forget(name string) {
	if !slices.ContainsFunc(r.rec.Withdrawals, func(w Withdrawal) bool { return w.Server == name }) {
		delete(r.sends, name)
	}
}

// Intervals says that from now on the process acts on a version.
func (r *Recorder) RecordVersion(now Time, v Vector) {
	at := r.clock.Now(now)
	if n := len(r.rec.Intervals); n > 0 {
		last := &r.rec.Intervals[n-1]
		if last.Version.Compare(v) == Same {
			return
		}
		last.Until, last.Sends = at, r.total.Load()-r.began
	}
	r.began = r.total.Load()
	v.Clock = at
	if r.rec.Intervals = append(r.rec.Intervals, Interval{Version: v, From: at}); len(r.rec.Intervals) > MaxIntervals {
		old := r.rec.Intervals[0]
		f := &r.rec.Merged
		if f.Intervals++; f.Intervals == 1 {
			f.From = old.From
		}
		f.Until, f.Sends = old.Until, f.Sends+old.Sends
		r.rec.Intervals = slices.Delete(r.rec.Intervals, 0, 1)
	}
}

// RecordWithdrawal says that a server wants nothing new, by a version, told by a
// process or Own. The first teller of a version counts.
func (r *Recorder) RecordWithdrawal(now Time, name string, s State, l List, from int) {
	for i := len(r.rec.Withdrawals) - 1; i >= 0; i-- {
		w := &r.rec.Withdrawals[i]
		if w.Server != name || w.RestoredAt != 0 {
			continue
		}
		if w.State = max(w.State, s); w.List.CompareGeneration(l) == Older {
			w.List = l // a later word of what is known: draining, then removed
		}
		return
	}
	r.rec.Withdrawals = append(r.rec.Withdrawals, Withdrawal{Server: name, State: s, List: l, KnownAt: r.clock.Now(now), ReportedBy: from})
	if len(r.rec.Withdrawals) > MaxWithdrawals {
		old := r.rec.Withdrawals[0]
		r.rec.Withdrawals = slices.Delete(r.rec.Withdrawals, 0, 1)
		r.rec.Dropped++
		if old.State == Removed && old.RestoredAt == 0 {
			r.forget(old.Server)
		}
	}
}

// RestoredAt says that a server may be used again, by a version of the own list. It is stamped by the process's own
// clock, as sends are, and put beside the fleet's with them when the record is taken: the fleet's clock runs ahead
// of the own one from time to time, and sends that follow would seem to come before.
func (r *Recorder) RecordRestored(now Time, name string, l List) {
	for i := len(r.rec.Withdrawals) - 1; i >= 0; i-- {
		if w := &r.rec.Withdrawals[i]; w.Server == name && w.RestoredAt == 0 {
			w.RestoredAt, w.RestoredBy = TimestampOf(now), l
		}
	}
}

// RecordPeer notes a word of another process.
func (r *Recorder) RecordPeer(now Time, from int, v Vector) {
	h := r.heard[from]
	if h == nil {
		if len(r.heard) >= MaxPeers {
			r.rec.Dropped++
			return
		}
		h = &PeerVersion{Process: from}
		r.heard[from] = h
	}
	h.Version, h.LastHeard, h.ClockLeadMillis = v, r.clock.Last(), (v.Clock.Time() - max(now, r.clock.Last().Time())).Milliseconds()
	h.Count++
}

// RecordMode notes a change of standing.
func (r *Recorder) RecordMode(now Time, to, why string) {
	if r.rec.ModeChanges = append(r.rec.ModeChanges, ModeChange{r.clock.Now(now), to, why}); len(r.rec.ModeChanges) > MaxChanges {
		r.rec.ModeChanges = slices.Delete(r.rec.ModeChanges, 0, 1)
		r.rec.Dropped++
	}
}

// RecordPause notes that the process stood still until now.
func (r *Recorder) RecordPause(now Time, gap time.Duration) {
	if r.rec.Pauses = append(r.rec.Pauses, Pause{r.clock.Now(now), gap}); len(r.rec.Pauses) > MaxChanges {
		r.rec.Pauses = slices.Delete(r.rec.Pauses, 0, 1)
		r.rec.Dropped++
	}
}

// RecordRefusal notes that a neighbour's word of a withdrawal was not taken.
func (r *Recorder) RecordRefusal(now Time, server string, l List, from int) {
	at := r.clock.Now(now)
	for i := range r.rec.RefusedWithdrawals {
		if x := &r.rec.RefusedWithdrawals[i]; x.Server == server {
			x.ReportedBy, x.Last, x.Count = from, at, x.Count+1
			if x.List.CompareGeneration(l) == Older {
				x.List = l
			}
			return
		}
	}
	if r.rec.RefusedWithdrawals = append(r.rec.RefusedWithdrawals, Refusal{server, l, from, at, at, 1}); len(r.rec.RefusedWithdrawals) > MaxRefusals {
		r.rec.RefusedWithdrawals = slices.Delete(r.rec.RefusedWithdrawals, 0, 1)
		r.rec.Dropped++
	}
}

// StaleRefusals counts a request that was refused for the age of what is known.
func (r *Recorder) CountStaleRefusal() { r.refused.Add(1) }

// RecordConfirmed notes that the process's own source spoke.
func (r *Recorder) RecordConfirmed(now Time) { r.rec.Confirmed = r.clock.Now(now) }

// AppliedVersion notes up to which version all withdrawals are in force.
func (r *Recorder) RecordApplied(l List) { r.rec.AppliedVersion = l }

// AddPredecessor takes the record of the process before this one, of the same node.
func (r *Recorder) AddPredecessor(old Record) {
	l := Predecessor{Incarnation: old.Incarnation, Until: old.TakenAt, Sends: old.Merged.Sends}
	for _, a := range old.Intervals {
		l.Sends, l.LastVersion = l.Sends+a.Sends, a.Version
	}
	r.rec.Predecessors = append(old.Predecessors, l)
	if n := len(r.rec.Predecessors) - MaxChanges; n > 0 {
		r.rec.Predecessors = r.rec.Predecessors[n:]
		r.rec.Dropped += uint64(n)
	}
	for _, w := range old.Withdrawals { // what it knew, this one knows
		if w.RestoredAt == 0 && len(r.rec.Withdrawals) < MaxWithdrawals {
			r.rec.Withdrawals = append(r.rec.Withdrawals, w)
		}
	}
}

// Snapshot gives the record as of now. It shares nothing with the recorder.
func (r *Recorder) Snapshot(now Time) Record {
	out := r.rec
	out.TakenAt, out.WallMillis = r.clock.Now(now), now.Milliseconds()
	out.Intervals = slices.Clone(r.rec.Intervals)
	if n := len(out.Intervals); n > 0 {
		out.Intervals[n-1].Sends = r.total.Load() - r.began
	}
	out.Withdrawals, out.ModeChanges, out.Pauses = slices.Clone(r.rec.Withdrawals), slices.Clone(r.rec.ModeChanges), slices.Clone(r.rec.Pauses)
	out.Predecessors, out.RefusedWithdrawals = slices.Clone(r.rec.Predecessors), slices.Clone(r.rec.RefusedWithdrawals)
	out.StaleRefusals, out.ClockRejected, out.ClockLead = r.refused.Load(), r.clock.Rejected, r.clock.MaxLead
	lag := max(0, out.TakenAt.Time()-now)
	for i := range out.Withdrawals {
		if w := &out.Withdrawals[i]; w.RestoredAt != 0 {
			w.RestoredAt = TimestampOf(w.RestoredAt.Time() + lag)
		}
	}
	for name, s := range r.sends {
		if x := s.server(name, lag); x.Sends > 0 {
			out.Servers = append(out.Servers, x)
		}
	}
	slices.SortFunc(out.Servers, func(a, b ServerSends) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range r.heard {
		out.Peers = append(out.Peers, *h)
	}
	slices.SortFunc(out.Peers, func(a, b PeerVersion) int { return a.Process - b.Process })
	return out
}
