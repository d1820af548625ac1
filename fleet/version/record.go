package version

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a record. Entries beyond them are merged or dropped, oldest first, and
// counted.
const (
	MaxIntervals   = 64
	MaxWithdrawals = 256
	MaxServers     = 4096
	MaxPeers       = 1024
	MaxChanges     = 64
	MaxRefusals    = 64
	MaxProxies     = 8192

	bucketBits = 27 // a bucket is 2^27 ns, about 134 ms
	maxBuckets = 32 // non-empty buckets that are kept of a server
)

// BucketLength is the maximum time span of a send bucket.
const BucketLength = time.Duration(1) << bucketBits

// SendBucket is the number of sends in a short time span, from the first of them to the
// last.
type SendBucket struct {
	From  Timestamp `json:"from"`
	To    Timestamp `json:"to"`
	Sends uint64    `json:"sends"`
}

// SendCounter counts the sends to one server. It is safe for concurrent use.
type SendCounter struct {
	mu          sync.Mutex
	bucket      int64
	count       uint64 // of the current bucket
	completed   uint64
	first, last Time // of all sends
	bucketFirst Time // first send of the current bucket
	ring        [maxBuckets]struct {
		from, to Time
		count    uint64
	}
	next  int
	total *atomic.Uint64
}

// Add counts a send.
func (s *SendCounter) Add(now Time) {
	bucket := int64(now) >> bucketBits
	s.mu.Lock()
	if bucket != s.bucket {
		s.startBucket(bucket, now)
	}
	s.count++
	s.last = now
	s.mu.Unlock()
	s.total.Add(1)
}

func (s *SendCounter) startBucket(bucket int64, now Time) {
	if s.count > 0 {
		finished := &s.ring[s.next%maxBuckets]
		finished.from, finished.to, finished.count = s.bucketFirst, s.last, s.count
		s.next++
		s.completed += s.count
	} else {
		s.first = now
	}
	s.bucket, s.count, s.bucketFirst = bucket, 0, now
}

// ServerSends describes the sends to one server. Its times include the lead of the hybrid
// clock over the local one when the record was taken.
type ServerSends struct {
	Name    string       `json:"name"`
	Sends   uint64       `json:"sends"`
	First   Timestamp    `json:"first,omitempty"`
	Last    Timestamp    `json:"last,omitempty"`
	Buckets []SendBucket `json:"marks,omitempty"` // the latest ones
}

func (s *SendCounter) snapshot(name string, lead time.Duration) ServerSends {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ServerSends{Name: name, Sends: s.completed + s.count}
	if out.Sends == 0 {
		return out
	}
	out.First, out.Last = TimestampOf(s.first+lead), TimestampOf(s.last+lead)
	for i := max(0, s.next-maxBuckets); i < s.next; i++ {
		m := s.ring[i%maxBuckets]
		out.Buckets = append(out.Buckets, SendBucket{TimestampOf(m.from + lead), TimestampOf(m.to + lead), m.count})
	}
	out.Buckets = append(out.Buckets, SendBucket{TimestampOf(s.bucketFirst + lead), out.Last, s.count})
	return out
}

// OwnSource is the reporter of a withdrawal that a process received from its own source.
const OwnSource = -1

// Interval is a period in which a process acted on one version.
type Interval struct {
	Version Vector    `json:"version"`
	From    Timestamp `json:"from"`
	Until   Timestamp `json:"until"` // 0: until now
	Sends   uint64    `json:"sends"`
}

// MergedIntervals summarizes the oldest intervals, those beyond MaxIntervals.
type MergedIntervals struct {
	Intervals uint64    `json:"intervals"`
	From      Timestamp `json:"from,omitempty"`
	Until     Timestamp `json:"until,omitempty"`
	Sends     uint64    `json:"sends"`
}

// Withdrawal is the withdrawal of a server as a process learned of it.
type Withdrawal struct {
	Server     string    `json:"server"` // name
	State      State     `json:"state"`
	List       List      `json:"list"`  // version of the withdrawal
	KnownAt    Timestamp `json:"known"` // when this process learned of it
	ReportedBy int       `json:"from"`  // number of the process that reported it, or OwnSource
	RestoredAt Timestamp `json:"again"` // when the process could use the server again; 0: not yet
	RestoredBy List      `json:"back"`  // version of the restoration
}

// PeerVersion is the last message that a process received from a peer.
type PeerVersion struct {
	Process         int       `json:"process"`
	Version         Vector    `json:"version"`
	LastHeard       Timestamp `json:"at"`   // this process's clock
	ClockLeadMillis int64     `json:"lead"` // lead of the sender's timestamp at the last message, ms
	Count           uint64    `json:"count"`
}

// ModeChange is a change of a process's mode.
type ModeChange struct {
	At   Timestamp `json:"at"`
	Mode string    `json:"to"`
	Why  string    `json:"why"`
}

// Pause is a process pause.
type Pause struct {
	ResumedAt Timestamp     `json:"until"` // when the process resumed
	Duration  time.Duration `json:"for"`
}

// Record is what a process has acted on, for audits.
type Record struct {
	Process        string          `json:"process"`
	Number         int             `json:"number"`
	Incarnation    Timestamp       `json:"life"`  // start of the process
	TakenAt        Timestamp       `json:"at"`    // when the record was taken
	WallMillis     int64           `json:"wall"`  // the process's own clock at that time, ms
	Ended          bool            `json:"ended"` // the process ended normally after this record
	Intervals      []Interval      `json:"acts"`
	Merged         MergedIntervals `json:"folded"`
	Servers        []ServerSends   `json:"servers"`
	Withdrawals    []Withdrawal    `json:"withdrawals"`
	Dropped        uint64          `json:"dropped"` // withdrawals, servers and peers beyond the limits
	Peers          []PeerVersion   `json:"heard"`
	ModeChanges    []ModeChange    `json:"changes"`
	Pauses         []Pause         `json:"stops"`
	StaleRefusals  uint64          `json:"refused_old"`   // requests refused because the state was too old
	ClockRejected  int             `json:"clock_refused"` // timestamps rejected as too far ahead
	ClockLead      time.Duration   `json:"clock_lag"`     // largest lead of an accepted timestamp
	Confirmed      Timestamp       `json:"confirmed"`     // when its own source last answered
	AppliedVersion List            `json:"reached"`       // all withdrawals up to it are in force
	Predecessors   []Predecessor   `json:"before"`        // earlier processes of this node, oldest first
	Members        []Member        `json:"members"`       // its view of the membership; empty without membership
	Leases         []QuotaLease    `json:"parts"`         // of shared quotas
	Majority       bool            `json:"majority"`      // a majority of the last agreed fleet is alive
	ViewDigest     uint32          `json:"view"`          // digest of the processes that it considers alive
	Slots          int             `json:"seats"`         // slots of the fleet that it holds
	HasQuorum      bool            `json:"quorate"`       // a majority of the guards answers it
	// Withdrawals reported by peers that were not applied because of the limits.
	RefusedWithdrawals []Refusal     `json:"refused"`
	ServersInUse       []string      `json:"uses"`    // names in order; of a node
	Proxies            []ProxyRecord `json:"steers"`  // of a control service
	ControlService     bool          `json:"service"` // record of a control service; Number is unused
}

// Refusal is a withdrawal that a peer reported and a process did not apply.
type Refusal struct {
	Server     string    `json:"server"`
	List       List      `json:"list"` // version of the withdrawal
	ReportedBy int       `json:"from"` // last reporter
	First      Timestamp `json:"first"`
	Last       Timestamp `json:"last"`
	Count      uint64    `json:"times"`
}

// Member is a process of the fleet as another one sees it.
type Member struct {
	Process     int           `json:"process"`
	Status      string        `json:"status"`
	Incarnation uint32        `json:"life"`
	SinceHeard  time.Duration `json:"heard"` // duration since the last message; negative: never heard
}

// QuotaLease is what a process holds of a quota that the fleet shares, in its unit.
type QuotaLease struct {
	Quota      string  `json:"whole"`
	EqualShare float64 `json:"base"` // the quota divided equally
	Held       float64 `json:"held"`
	Demand     float64 `json:"need"`
	Total      float64 `json:"all"` // the whole quota
}

// Predecessor summarizes an earlier process of the same node.
type Predecessor struct {
	Incarnation Timestamp `json:"life"`
	Until       Timestamp `json:"until"`
	Sends       uint64    `json:"sends"`
	LastVersion Vector    `json:"last"`
}

// Recorder keeps the record of a running process. Only its SendCounters and
// CountStaleRefusal are safe for concurrent use.
type Recorder struct {
	record        Record
	clock         *HybridClock
	total         atomic.Uint64
	totalAtStart  uint64 // total at the start of the current interval
	counters      map[string]*SendCounter
	peers         map[int]*PeerVersion
	staleRefusals atomic.Uint64
}

// NewRecorder starts the record of a process.
func NewRecorder(process string, number int, now Time, clock *HybridClock) *Recorder {
	return &Recorder{record: Record{Process: process, Number: number, Incarnation: clock.Now(now)}, clock: clock,
		counters: map[string]*SendCounter{}, peers: map[int]*PeerVersion{}}
}

// SendCounter returns the counter of a server, which it creates at the first call. Sends
// to servers beyond MaxServers are counted in the total only.
func (r *Recorder) SendCounter(name string) *SendCounter {
	s := r.counters[name]
	if s == nil {
		s = &SendCounter{total: &r.total}
		if len(r.counters) >= MaxServers {
			r.record.Dropped++ // counted in the total only
			return s
		}
		r.counters[name] = s
	}
	return s
}

// dropCounter drops the counter of a removed server if the record has no withdrawal of
// it any more.
func (r *Recorder) dropCounter(name string) {
	if !slices.ContainsFunc(r.record.Withdrawals, func(w Withdrawal) bool { return w.Server == name }) {
		delete(r.counters, name)
	}
}

// RecordVersion records that the process acts on a version from now on.
func (r *Recorder) RecordVersion(now Time, vector Vector) {
	at := r.clock.Now(now)
	if n := len(r.record.Intervals); n > 0 {
		last := &r.record.Intervals[n-1]
		if last.Version.Compare(vector) == Same {
			return
		}
		last.Until, last.Sends = at, r.total.Load()-r.totalAtStart
	}
	r.totalAtStart = r.total.Load()
	vector.Clock = at
	if r.record.Intervals = append(r.record.Intervals, Interval{Version: vector, From: at}); len(r.record.Intervals) > MaxIntervals {
		old := r.record.Intervals[0]
		merged := &r.record.Merged
		if merged.Intervals++; merged.Intervals == 1 {
			merged.From = old.From
		}
		merged.Until, merged.Sends = old.Until, merged.Sends+old.Sends
		r.record.Intervals = slices.Delete(r.record.Intervals, 0, 1)
	}
}

// RecordWithdrawal records the withdrawal of a server, as of a version, reported by a
// process or OwnSource. The first reporter is kept.
func (r *Recorder) RecordWithdrawal(now Time, name string, state State, list List, reporter int) {
	for i := len(r.record.Withdrawals) - 1; i >= 0; i-- {
		w := &r.record.Withdrawals[i]
		if w.Server != name || w.RestoredAt != 0 {
			continue
		}
		if w.State = max(w.State, state); w.List.CompareGeneration(list) == Older {
			w.List = list // a later state: draining, then removed
		}
		return
	}
	r.record.Withdrawals = append(r.record.Withdrawals, Withdrawal{Server: name, State: state, List: list, KnownAt: r.clock.Now(now), ReportedBy: reporter})
	if len(r.record.Withdrawals) > MaxWithdrawals {
		old := r.record.Withdrawals[0]
		r.record.Withdrawals = slices.Delete(r.record.Withdrawals, 0, 1)
		r.record.Dropped++
		if old.State == Removed && old.RestoredAt == 0 {
			r.dropCounter(old.Server)
		}
	}
}

// RecordRestored records that a server may be used again, as of a version of the own
// list. Like sends it has a time of the local clock, and both are shifted to the hybrid
// clock when the record is taken. Otherwise sends after the restoration could appear to
// precede it while the hybrid clock is ahead.
func (r *Recorder) RecordRestored(now Time, name string, list List) {
	for i := len(r.record.Withdrawals) - 1; i >= 0; i-- {
		if w := &r.record.Withdrawals[i]; w.Server == name && w.RestoredAt == 0 {
			w.RestoredAt, w.RestoredBy = TimestampOf(now), list
		}
	}
}

// RecordPeer records a message from a peer with the peer's versions.
func (r *Recorder) RecordPeer(now Time, from int, vector Vector) {
	peer := r.peers[from]
	if peer == nil {
		if len(r.peers) >= MaxPeers {
			r.record.Dropped++
			return
		}
		peer = &PeerVersion{Process: from}
		r.peers[from] = peer
	}
	peer.Version, peer.LastHeard, peer.ClockLeadMillis = vector, r.clock.Last(), (vector.Clock.Time() - max(now, r.clock.Last().Time())).Milliseconds()
	peer.Count++
}

// RecordMode records a mode change.
func (r *Recorder) RecordMode(now Time, mode, why string) {
	if r.record.ModeChanges = append(r.record.ModeChanges, ModeChange{r.clock.Now(now), mode, why}); len(r.record.ModeChanges) > MaxChanges {
		r.record.ModeChanges = slices.Delete(r.record.ModeChanges, 0, 1)
		r.record.Dropped++
	}
}

// RecordPause records a pause of the process that ends now.
func (r *Recorder) RecordPause(now Time, duration time.Duration) {
	if r.record.Pauses = append(r.record.Pauses, Pause{r.clock.Now(now), duration}); len(r.record.Pauses) > MaxChanges {
		r.record.Pauses = slices.Delete(r.record.Pauses, 0, 1)
		r.record.Dropped++
	}
}

// RecordRefusal records that a withdrawal reported by a peer was not applied.
func (r *Recorder) RecordRefusal(now Time, server string, list List, reporter int) {
	at := r.clock.Now(now)
	for i := range r.record.RefusedWithdrawals {
		if x := &r.record.RefusedWithdrawals[i]; x.Server == server {
			x.ReportedBy, x.Last, x.Count = reporter, at, x.Count+1
			if x.List.CompareGeneration(list) == Older {
				x.List = list
			}
			return
		}
	}
	if r.record.RefusedWithdrawals = append(r.record.RefusedWithdrawals, Refusal{server, list, reporter, at, at, 1}); len(r.record.RefusedWithdrawals) > MaxRefusals {
		r.record.RefusedWithdrawals = slices.Delete(r.record.RefusedWithdrawals, 0, 1)
		r.record.Dropped++
	}
}

// CountStaleRefusal counts a request that was refused because the state was too old.
func (r *Recorder) CountStaleRefusal() { r.staleRefusals.Add(1) }

// RecordConfirmed records that the process's own source answered.
func (r *Recorder) RecordConfirmed(now Time) { r.record.Confirmed = r.clock.Now(now) }

// RecordApplied records the version up to which all withdrawals are in force.
func (r *Recorder) RecordApplied(list List) { r.record.AppliedVersion = list }

// AddPredecessor adds the record of the previous process of the same node.
func (r *Recorder) AddPredecessor(previous Record) {
	summary := Predecessor{Incarnation: previous.Incarnation, Until: previous.TakenAt, Sends: previous.Merged.Sends}
	for _, a := range previous.Intervals {
		summary.Sends, summary.LastVersion = summary.Sends+a.Sends, a.Version
	}
	r.record.Predecessors = append(previous.Predecessors, summary)
	if n := len(r.record.Predecessors) - MaxChanges; n > 0 {
		r.record.Predecessors = r.record.Predecessors[n:]
		r.record.Dropped += uint64(n)
	}
	for _, w := range previous.Withdrawals { // this process also knows what the predecessor knew
		if w.RestoredAt == 0 && len(r.record.Withdrawals) < MaxWithdrawals {
			r.record.Withdrawals = append(r.record.Withdrawals, w)
		}
	}
}

// Snapshot returns the record as of now. It shares no memory with the recorder.
func (r *Recorder) Snapshot(now Time) Record {
	out := r.record
	out.TakenAt, out.WallMillis = r.clock.Now(now), now.Milliseconds()
	out.Intervals = slices.Clone(r.record.Intervals)
	if n := len(out.Intervals); n > 0 {
		out.Intervals[n-1].Sends = r.total.Load() - r.totalAtStart
	}
	out.Withdrawals, out.ModeChanges, out.Pauses = slices.Clone(r.record.Withdrawals), slices.Clone(r.record.ModeChanges), slices.Clone(r.record.Pauses)
	out.Predecessors, out.RefusedWithdrawals = slices.Clone(r.record.Predecessors), slices.Clone(r.record.RefusedWithdrawals)
	out.StaleRefusals, out.ClockRejected, out.ClockLead = r.staleRefusals.Load(), r.clock.Rejected, r.clock.MaxLead
	lead := max(0, out.TakenAt.Time()-now)
	for i := range out.Withdrawals {
		if w := &out.Withdrawals[i]; w.RestoredAt != 0 {
			w.RestoredAt = TimestampOf(w.RestoredAt.Time() + lead)
		}
	}
	for name, s := range r.counters {
		if x := s.snapshot(name, lead); x.Sends > 0 {
			out.Servers = append(out.Servers, x)
		}
	}
	slices.SortFunc(out.Servers, func(a, b ServerSends) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range r.peers {
		out.Peers = append(out.Peers, *h)
	}
	slices.SortFunc(out.Peers, func(a, b PeerVersion) int { return a.Process - b.Process })
	return out
}
