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
	MostIntervals   = 64
	MostWithdrawals = 256
	MostServers     = 4096
	MostHeard       = 1024
	MostChanges     = 64
	MostRefusals    = 64
	MostSteered     = 8192

	markBits  = 27 // a mark is 2^27 ns, about 134 ms
	mostMarks = 32 // marks of a server that are kept: those in which something was sent
)

// MarkLength is how long one mark of sends is at most.
const MarkLength = time.Duration(1) << markBits

// Mark counts the sends of one short time, from the first of them to the last.
type Mark struct {
	From  Stamp  `json:"from"`
	To    Stamp  `json:"to"`
	Sends uint64 `json:"sends"`
}

// Sends counts what this process writes to one server. It may be used by several
// goroutines; a send costs one comparison and one addition under a lock that
// nobody else wants.
type Sends struct {
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

// Sent counts a send.
func (s *Sends) Sent(now Time) {
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

func (s *Sends) turn(slot int64, now Time) {
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

// Server is what was sent to one server, as a record tells it. Times are the
// hybrid clock's, as far as it was ahead when the record was taken.
type Server struct {
	Name  string `json:"name"`
	Sends uint64 `json:"sends"`
	First Stamp  `json:"first,omitempty"`
	Last  Stamp  `json:"last,omitempty"`
	Marks []Mark `json:"marks,omitempty"` // the latest ones
}

func (s *Sends) server(name string, lag time.Duration) Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Server{Name: name, Sends: s.all + s.count}
	if out.Sends == 0 {
		return out
	}
	out.First, out.Last = StampOf(s.first+lag), StampOf(s.last+lag)
	for i := max(0, s.next-mostMarks); i < s.next; i++ {
		m := s.marks[i%mostMarks]
		out.Marks = append(out.Marks, Mark{StampOf(m.from + lag), StampOf(m.to + lag), m.count})
	}
	out.Marks = append(out.Marks, Mark{StampOf(s.since + lag), out.Last, s.count})
	return out
}

// Own is the teller of what a process's own source said.
const Own = -1

// Interval is a time in which a process acted on one version.
type Interval struct {
	Version Vector `json:"version"`
	From    Stamp  `json:"from"`
	Until   Stamp  `json:"until"` // 0: still
	Sends   uint64 `json:"sends"`
}

// Folded stands for intervals that a record has no room for.
type Folded struct {
	Intervals uint64 `json:"intervals"`
	From      Stamp  `json:"from,omitempty"`
	Until     Stamp  `json:"until,omitempty"`
	Sends     uint64 `json:"sends"`
}

// Withdrawal is a server that wants nothing new, as a process came to know.
type Withdrawal struct {
	Server string `json:"server"` // name
	State  State  `json:"state"`
	List   List   `json:"list"`  // the version that says so
	Known  Stamp  `json:"known"` // when this process knew
	From   int    `json:"from"`  // who told it: a process's number, or Own
	Again  Stamp  `json:"again"` // when its own source gave the server back; 0: not yet
	Back   List   `json:"back"`  // the version that gave it back
}

// Heard is the last word that a process had of another.
type Heard struct {
	Process int    `json:"process"`
	Version Vector `json:"version"`
	At      Stamp  `json:"at"`   // this process's clock
	Lead    int64  `json:"lead"` // ms by which the teller's stamp was ahead of this process's, at the latest word
	Count   uint64 `json:"count"`
}

// Change is a change of a process's standing.
type Change struct {
	At  Stamp  `json:"at"`
	To  string `json:"to"`
	Why string `json:"why"`
}

// Stop is a time in which a process stood still.
type Stop struct {
	Until Stamp         `json:"until"` // when it went on
	For   time.Duration `json:"for"`
}

// Record is what a process has acted on, for an audit.
type Record struct {
	Process      string        `json:"process"`
	Number       int           `json:"number"`
	Life         Stamp         `json:"life"`  // its start
	At           Stamp         `json:"at"`    // when the record was taken
	Wall         int64         `json:"wall"`  // ms, the process's own clock then
	Ended        bool          `json:"ended"` // it ended in order after this record
	Acts         []Interval    `json:"acts"`
	Folded       Folded        `json:"folded"`
	Servers      []Server      `json:"servers"`
	Withdrawals  []Withdrawal  `json:"withdrawals"`
	Dropped      uint64        `json:"dropped"` // withdrawals, servers and words that there was no room for
	Heard        []Heard       `json:"heard"`
	Changes      []Change      `json:"changes"`
	Stops        []Stop        `json:"stops"`
	RefusedOld   uint64        `json:"refused_old"`   // requests refused as what it acts on was too old
	ClockRefused int           `json:"clock_refused"` // stamps too far ahead to be believed
	ClockLag     time.Duration `json:"clock_lag"`     // the most that another clock was ahead
	Confirmed    Stamp         `json:"confirmed"`     // when its own source spoke last
	Reached      List          `json:"reached"`       // up to which all withdrawals are in force, by whoever told them
	Before       []Life        `json:"before"`        // former processes of this node, oldest first
	Members      []Member      `json:"members"`       // who it takes to be in the fleet; none where it does not find out
	Parts        []Part        `json:"parts"`         // of wholes that are shared
	Majority     bool          `json:"majority"`      // most of the last agreed fleet are among them
	View         uint32        `json:"view"`          // digest of who it takes for alive
	Seats        int           `json:"seats"`         // of the fleet's that it holds
	Quorate      bool          `json:"quorate"`       // most guards of the seats answer it
	Refused      []Refusal     `json:"refused"`       // withdrawals of neighbours that were not taken, as too much would have been out
	Uses         []string      `json:"uses"`          // servers that it uses now, by name and in order; a node's
	Steers       []Steered     `json:"steers"`        // of a control service: how each proxy follows
	Service      bool          `json:"service"`       // a control service's; Number means nothing then
}

// Refusal is a withdrawal that a process was told of and did not take.
type Refusal struct {
	Server string `json:"server"`
	List   List   `json:"list"` // the version that says so
	From   int    `json:"from"` // who told it last
	First  Stamp  `json:"first"`
	Last   Stamp  `json:"last"`
	Times  uint64 `json:"times"`
}

// Member is a process of the fleet as another one takes it.
type Member struct {
	Process int           `json:"process"`
	Status  string        `json:"status"`
	Life    uint32        `json:"life"`
	Heard   time.Duration `json:"heard"` // ago; negative: never
}

// Part is what a process holds of a whole that the fleet shares, in its unit.
type Part struct {
	Whole string  `json:"whole"`
	Base  float64 `json:"base"` // an equal part
	Held  float64 `json:"held"`
	Need  float64 `json:"need"`
	All   float64 `json:"all"` // the whole
}

// Life sums up a former process of the same node.
type Life struct {
	Life  Stamp  `json:"life"`
	Until Stamp  `json:"until"`
	Sends uint64 `json:"sends"`
	Last  Vector `json:"last"`
}

// Recorder keeps a process's record. All but Sends is for one goroutine.
type Recorder struct {
	rec     Record
	clock   *Clock
	total   atomic.Uint64
	began   uint64 // total at the last interval's beginning
	sends   map[string]*Sends
	heard   map[int]*Heard
	refused atomic.Uint64
}

// NewRecorder begins a record of a process at a time.
func NewRecorder(process string, number int, now Time, clock *Clock) *Recorder {
	return &Recorder{rec: Record{Process: process, Number: number, Life: clock.Now(now)}, clock: clock,
		sends: map[string]*Sends{}, heard: map[int]*Heard{}}
}

// Sends gives the counter of a server, which lasts while the server may still be asked about.
func (r *Recorder) Sends(name string) *Sends {
	s := r.sends[name]
	if s == nil {
		s = &Sends{total: &r.total}
		if len(r.sends) >= MostServers {
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

// Acts says that from now on the process acts on a version.
func (r *Recorder) Acts(now Time, v Vector) {
	at := r.clock.Now(now)
	if n := len(r.rec.Acts); n > 0 {
		last := &r.rec.Acts[n-1]
		if last.Version.Compare(v) == Same {
			return
		}
		last.Until, last.Sends = at, r.total.Load()-r.began
	}
	r.began = r.total.Load()
	v.Clock = at
	if r.rec.Acts = append(r.rec.Acts, Interval{Version: v, From: at}); len(r.rec.Acts) > MostIntervals {
		old := r.rec.Acts[0]
		f := &r.rec.Folded
		if f.Intervals++; f.Intervals == 1 {
			f.From = old.From
		}
		f.Until, f.Sends = old.Until, f.Sends+old.Sends
		r.rec.Acts = slices.Delete(r.rec.Acts, 0, 1)
	}
}

// Withdrawn says that a server wants nothing new, by a version, told by a
// process or Own. The first teller of a version counts.
func (r *Recorder) Withdrawn(now Time, name string, s State, l List, from int) {
	for i := len(r.rec.Withdrawals) - 1; i >= 0; i-- {
		w := &r.rec.Withdrawals[i]
		if w.Server != name || w.Again != 0 {
			continue
		}
		if w.State = max(w.State, s); w.List.Order(l) == Older {
			w.List = l // a later word of what is known: draining, then removed
		}
		return
	}
	r.rec.Withdrawals = append(r.rec.Withdrawals, Withdrawal{Server: name, State: s, List: l, Known: r.clock.Now(now), From: from})
	if len(r.rec.Withdrawals) > MostWithdrawals {
		old := r.rec.Withdrawals[0]
		r.rec.Withdrawals = slices.Delete(r.rec.Withdrawals, 0, 1)
		r.rec.Dropped++
		if old.State == Gone && old.Again == 0 {
			r.forget(old.Server)
		}
	}
}

// Again says that a server may be used again, by a version of the own list. It is stamped by the process's own
// clock, as sends are, and put beside the fleet's with them when the record is taken: the fleet's clock runs ahead
// of the own one from time to time, and sends that follow would seem to come before.
func (r *Recorder) Again(now Time, name string, l List) {
	for i := len(r.rec.Withdrawals) - 1; i >= 0; i-- {
		if w := &r.rec.Withdrawals[i]; w.Server == name && w.Again == 0 {
			w.Again, w.Back = StampOf(now), l
		}
	}
}

// Hears notes a word of another process.
func (r *Recorder) Hears(now Time, from int, v Vector) {
	h := r.heard[from]
	if h == nil {
		if len(r.heard) >= MostHeard {
			r.rec.Dropped++
			return
		}
		h = &Heard{Process: from}
		r.heard[from] = h
	}
	h.Version, h.At, h.Lead = v, r.clock.Last(), (v.Clock.Time() - max(now, r.clock.Last().Time())).Milliseconds()
	h.Count++
}

// Stands notes a change of standing.
func (r *Recorder) Stands(now Time, to, why string) {
	if r.rec.Changes = append(r.rec.Changes, Change{r.clock.Now(now), to, why}); len(r.rec.Changes) > MostChanges {
		r.rec.Changes = slices.Delete(r.rec.Changes, 0, 1)
		r.rec.Dropped++
	}
}

// Stopped notes that the process stood still until now.
func (r *Recorder) Stopped(now Time, gap time.Duration) {
	if r.rec.Stops = append(r.rec.Stops, Stop{r.clock.Now(now), gap}); len(r.rec.Stops) > MostChanges {
		r.rec.Stops = slices.Delete(r.rec.Stops, 0, 1)
		r.rec.Dropped++
	}
}

// Refuses notes that a neighbour's word of a withdrawal was not taken.
func (r *Recorder) Refuses(now Time, server string, l List, from int) {
	at := r.clock.Now(now)
	for i := range r.rec.Refused {
		if x := &r.rec.Refused[i]; x.Server == server {
			x.From, x.Last, x.Times = from, at, x.Times+1
			if x.List.Order(l) == Older {
				x.List = l
			}
			return
		}
	}
	if r.rec.Refused = append(r.rec.Refused, Refusal{server, l, from, at, at, 1}); len(r.rec.Refused) > MostRefusals {
		r.rec.Refused = slices.Delete(r.rec.Refused, 0, 1)
		r.rec.Dropped++
	}
}

// RefusedOld counts a request that was refused for the age of what is known.
func (r *Recorder) RefusedOld() { r.refused.Add(1) }

// Confirmed notes that the process's own source spoke.
func (r *Recorder) Confirmed(now Time) { r.rec.Confirmed = r.clock.Now(now) }

// Reached notes up to which version all withdrawals are in force.
func (r *Recorder) Reached(l List) { r.rec.Reached = l }

// Former takes the record of the process before this one, of the same node.
func (r *Recorder) Former(old Record) {
	l := Life{Life: old.Life, Until: old.At, Sends: old.Folded.Sends}
	for _, a := range old.Acts {
		l.Sends, l.Last = l.Sends+a.Sends, a.Version
	}
	r.rec.Before = append(old.Before, l)
	if n := len(r.rec.Before) - MostChanges; n > 0 {
		r.rec.Before = r.rec.Before[n:]
		r.rec.Dropped += uint64(n)
	}
	for _, w := range old.Withdrawals { // what it knew, this one knows
		if w.Again == 0 && len(r.rec.Withdrawals) < MostWithdrawals {
			r.rec.Withdrawals = append(r.rec.Withdrawals, w)
		}
	}
}

// Take gives the record as of now. It shares nothing with the recorder.
func (r *Recorder) Take(now Time) Record {
	out := r.rec
	out.At, out.Wall = r.clock.Now(now), now.Milliseconds()
	out.Acts = slices.Clone(r.rec.Acts)
	if n := len(out.Acts); n > 0 {
		out.Acts[n-1].Sends = r.total.Load() - r.began
	}
	out.Withdrawals, out.Changes, out.Stops = slices.Clone(r.rec.Withdrawals), slices.Clone(r.rec.Changes), slices.Clone(r.rec.Stops)
	out.Before, out.Refused = slices.Clone(r.rec.Before), slices.Clone(r.rec.Refused)
	out.RefusedOld, out.ClockRefused, out.ClockLag = r.refused.Load(), r.clock.Refused, r.clock.WorstLag
	lag := max(0, out.At.Time()-now)
	for i := range out.Withdrawals {
		if w := &out.Withdrawals[i]; w.Again != 0 {
			w.Again = StampOf(w.Again.Time() + lag)
		}
	}
	for name, s := range r.sends {
		if x := s.server(name, lag); x.Sends > 0 {
			out.Servers = append(out.Servers, x)
		}
	}
	slices.SortFunc(out.Servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range r.heard {
		out.Heard = append(out.Heard, *h)
	}
	slices.SortFunc(out.Heard, func(a, b Heard) int { return a.Process - b.Process })
	return out
}
