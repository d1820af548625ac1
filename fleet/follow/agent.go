package follow

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ivylock/fleet/version"
)

const (
	mostHeld   = 1024 // words of neighbours that are kept
	mostLog    = 512  // own withdrawals that can be told one by one
	askGap     = 50 * time.Millisecond
	askFirst   = 150 * time.Millisecond // until the same process is asked again; doubles
	askLast    = 4 * time.Second
	answerGap  = 100 * time.Millisecond // between two answers to one process
	repeatIn   = 150 * time.Millisecond // after which a push goes out once more
	hearWindow = 4 * time.Second        // in which a process counts as heard
	doubtTime  = time.Minute            // for which a process is not believed alone that was not borne out
	forgetTime = 30 * time.Second       // after which a silent process may come back with an older clock
	frozenFor  = 2 * time.Second        // for which a source that was found to be silent is taken for it
	overtake   = 2 * time.Second        // by which a datagram may be older than its sender's newest and still be a part of an answer
	drift      = 1e-4                   // that clocks of two processes run apart at most, as a part
)

// peer is what an agent knows of another process.
type peer struct {
	heard      Time // last word; 0: never
	sent       Time // when that was sent, by this process's clock
	stamp      version.Timestamp
	offset     time.Duration // least of (own clock less the stamp) so far: its clock's, and the network's least delay
	offsetAt   Time
	vector     version.Vector
	acts       version.List
	age        time.Duration // of its source's word when it was sent; negative: none
	standing   Mode
	askedAt    Time
	askWait    time.Duration
	answeredAt Time
	doubtUntil Time
	told       Time // when it was last told anything
	behind     bool // it acts on what is too old
	parts      assembly
}

// assembly collects the parts of an answer.
type assembly struct {
	kind      kind
	to, since version.List
	total     int
	got       uint64
	ok        bool // all words so far could be acted on
	keys      []version.Key
}

// held is a neighbour's word that the own source has not caught up with.
type held struct {
	word
	tellers []int // that have it of their own sources; at most mostTellers
	via     int   // who told it first
	at      Time
	acted   bool
}

const mostTellers = 4

type entry struct {
	name      string
	state     version.State
	startedAt Time
}

// repeat is a push that goes out once more.
type repeat struct {
	at    Time
	since version.List
}

// Agent decides for one process. It is not safe for concurrent use.
type Agent struct {
	set       Settings
	fleet     Fleet
	rng       *rand.Rand
	clock     *version.HybridClock
	rec       *version.Recorder
	now       Time
	out       []Action
	vector    version.Vector
	sum       version.RunningDigest
	entries   map[version.Key]entry
	up        int // entries that are
	listed    bool
	listAt    Time   // when the own list last changed
	log       []word // own withdrawals since floor that stand
	floor     version.List
	held      map[version.Key]*held
	acts      version.List // all withdrawals up to it are in force here
	confirmed Time         // when the own source spoke last; 0: never
	vouched   Time         // as of when neighbours showed that what is acted on here was current
	peers     []peer
	hearing   int // peers heard within hearWindow, as of the last tick
	nextHello Time
	nextAsk   Time
	repeats   []repeat
	standing  Mode
	why       string
	started   Time
	wokeAt    Time
	holdUntil Time
	reopenAt  Time
	frozenAt  Time // when so much of the fleet was last seen to be behind that it is the source that is
	counts    Counts
}

// New makes the agent of a process that starts now. Settings and build are
// digests (version.Digest).
func New(set Settings, f Fleet, now Time, seed int64, process string, settings, build uint16) *Agent {
	clock := &version.HybridClock{}
	a := &Agent{set: set, fleet: f, rng: rand.New(rand.NewPCG(uint64(seed), 0x666f6c6c)), clock: clock, now: now, started: now,
		rec: version.NewRecorder(process, f.Self(), now, clock), entries: map[version.Key]entry{}, held: map[version.Key]*held{}}
	a.vector = version.Vector{Settings: settings, Build: build, Format: version.FormatVersion}
	a.nextHello = now + Time(a.rng.Float64()*float64(set.HelloInterval))
	return a
}

// Recorder is the process's record.
func (a *Agent) Recorder() *version.Recorder { return a.rec }

// Counts gives the figures.
func (a *Agent) Counts() Counts { return a.counts }

// Mode tells how the process stands and why.
func (a *Agent) Mode() (Mode, string) { return a.standing, a.why }

// Vector is what the process acts on.
func (a *Agent) Vector() version.Vector { return a.vector }

// AppliedVersion is the version up to which all withdrawals are in force here.
func (a *Agent) AppliedVersion() version.List { return a.acts }

// Handle takes an event and returns what is to be done, in order. The slice is
// reused by the next call.
func (a *Agent) Handle(now Time, e Event) []Action {
	a.now, a.out = max(now, a.now), a.out[:0]
	switch e := e.(type) {
	case ListReceived:
		a.list(e)
	case DatagramReceived:
		a.hear(e)
	case Tick:
		a.tick()
	case Resumed:
		a.woke(e)
	case MaintenanceChanged:
		a.vector.Maintenance = e.Digest
		a.rec.RecordVersion(a.now, a.vector)
	}
	return a.out
}

func (a *Agent) do(x Action) { a.out = append(a.out, x) }

func (a *Agent) logf(format string, args ...any) { a.do(Log{fmt.Sprintf(format, args...)}) }

// list takes a word of the own source.
func (a *Agent) list(e ListReceived) {
	before, gen := a.vector.List, uint32(e.Generation)
	next := version.List{Epoch: before.Epoch, Generation: gen}
	begun := a.listed && next.CompareGeneration(before) == version.Older // discovery began anew
	if begun {
		next.Epoch++
		a.log, a.floor = a.log[:0], next
		a.logf("discovery began anew: generation %d after %d, epoch %d", gen, before.Generation, next.Epoch)
	}
	var fresh []word
	named := map[version.Key]bool{}
	for _, x := range e.Entries {
		k := version.KeyOf(x.Name)
		named[k] = true
		if w, news := a.put(k, x, next); news {
			fresh = append(fresh, w)
		}
	}
	if e.Kind != Delta {
		for _, k := range a.keys() {
			if x := a.entries[k]; !named[k] {
				x.state = version.Removed
				w, _ := a.put(k, Entry{x.name, x.state, x.startedAt}, next)
				fresh = append(fresh, w)
			}
		}
	}
	next.Digest = a.sum.Short()
	a.vector.List = next
	if next != before {
		a.listAt = a.now
	}
	if e.Kind != Cached {
		a.confirmed = a.now
		a.rec.RecordConfirmed(a.now)
	}
	if !a.listed {
		a.listed, a.floor, a.acts, fresh = true, next, next, nil
	}
	a.overtaken()
	a.rec.RecordVersion(a.now, a.vector)
	if len(fresh) > 0 {
		a.push(before, fresh)
	}
	a.stand()
}

// keys lists the own list's servers in a fixed order.
func (a *Agent) keys() []version.Key {
	out := make([]version.Key, 0, len(a.entries))
	for k := range a.entries {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// put takes an entry of the own list; news is whether it takes away work that the
// list gave before.
func (a *Agent) put(k version.Key, x Entry, at version.List) (w word, news bool) {
	old, known := a.entries[k]
	if known {
		a.sum.Remove(k, old.state, old.startedAt)
		if old.state == version.Up {
			a.up--
		}
	}
	w = word{key: k, state: x.State, list: at}
	if x.State == version.Removed {
		delete(a.entries, k)
	} else {
		a.entries[k] = entry{x.Name, x.State, x.StartedAt}
		a.sum.Add(k, x.State, x.StartedAt)
	}
	if x.State == version.Up {
		a.up++
		a.log = slices.DeleteFunc(a.log, func(o word) bool { return o.key == k })
		if !known || old.state != version.Up {
			a.rec.RecordRestored(a.now, x.Name, at)
		}
		return w, false
	}
	if !known && x.State == version.Removed || known && old.state >= x.State {
		return w, false
	}
	a.log = slices.DeleteFunc(a.log, func(o word) bool { return o.key == k })
	if a.log = append(a.log, w); len(a.log) > mostLog {
		a.floor = a.log[0].list
		a.log = slices.Delete(a.log, 0, 1)
	}
	if a.listed {
		a.rec.RecordWithdrawal(a.now, x.Name, x.State, at, version.OwnSource)
	}
	return w, true
}

// overtaken drops words of neighbours that the own source has caught up with: its
// word goes before theirs.
func (a *Agent) overtaken() {
	changed := false
	for _, k := range a.heldKeys() {
		h := a.held[k]
		if h.list.CompareGeneration(a.vector.List) == version.Newer {
			continue
		}
		delete(a.held, k)
		changed = changed || h.acted
		if x, known := a.entries[k]; known && x.state == version.Up && h.acted {
			a.rec.RecordRestored(a.now, x.name, a.vector.List)
		}
	}
	if a.acts.CompareGeneration(a.vector.List) != version.Newer {
		a.acts = a.vector.List
	}
	a.rec.RecordApplied(a.acts)
	if changed {
		a.do(EligibilityChanged{})
	}
}

func (a *Agent) heldKeys() []version.Key {
	out := make([]version.Key, 0, len(a.held))
	for k := range a.held {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Withdrawn tells whether a server that the own list has up is not to be used, by a
// neighbour's newer word.
func (a *Agent) Withdrawn(name string) bool {
	if len(a.held) == 0 {
		return false
	}
	h := a.held[version.KeyOf(name)]
	return h != nil && h.acted
}

// MinAnswerTime is the time since which a server must have answered to be used; 0 if none
// need have. It is for a process that has narrowed.
func (a *Agent) MinAnswerTime(now Time) Time {
	if a.standing != Narrowed && a.standing != Closed {
		return 0
	}
	return max(1, now-a.set.NarrowAfter/2)
}

// AcceptsRequests tells whether the process takes new requests.
func (a *Agent) AcceptsRequests() bool { return a.standing != Closed }

// HoldUntil tells until when requests are to wait, 0 if they need not: the process
// stood still and has not heard yet whether what it believes still holds.
func (a *Agent) HoldUntil() Time { return a.holdUntil }

// TrustsPeer tells whether another process's readings and suspicions are to be used.
func (a *Agent) TrustsPeer(from int) bool {
	if a.set.ObserveOnly || from < 0 || from >= len(a.peers) || !a.peers[from].behind {
		return true
	}
	a.counts.Ignored++
	return false
}

// message words a datagram as of now.
func (a *Agent) message(k kind) message {
	m := message{kind: k, vector: a.vector, age: -1, standing: a.standing, acts: a.speaksFor()}
	m.vector.Clock = a.clock.Now(a.now)
	if a.confirmed > 0 {
		m.age = a.now - a.confirmed
	}
	return m
}

// speaksFor is the version up to which this process tells others of withdrawals: its
// own source's as long as that speaks, else also what it has of others. Guards
// against a word that goes round after all who knew of it first have taken it back.
func (a *Agent) speaksFor() version.List {
	if a.ownFresh() {
		return a.vector.List
	}
	return a.acts
}

// ownFresh tells whether the own source has spoken of late.
func (a *Agent) ownFresh() bool { return a.confirmed > 0 && a.now-a.confirmed <= a.set.NarrowAfter }

func (a *Agent) send(to int, m message) {
	data := m.append(make([]byte, 0, MaxDatagram))
	switch m.kind {
	case hello:
		a.counts.Hellos++
	case ask:
		a.counts.Queries++
	default:
		a.counts.Answers++
		if m.kind == words {
			a.counts.Withdrawals += uint64(len(m.words))
		}
	}
	a.counts.Bytes += uint64(len(data))
	a.grow()
	a.peers[to].told = a.now
	a.do(Send{to, data})
}

// grow makes room for all processes of the fleet.
func (a *Agent) grow() {
	if n := a.fleet.Size(); n > len(a.peers) {
		a.peers = append(a.peers, make([]peer, n-len(a.peers))...)
	}
}

// Wrap puts what the process has to say anyway to another one into a hello, where
// that one knows the form, there is room and a hello is due to it.
func (a *Agent) Wrap(now Time, to int, data []byte) []byte {
	a.grow()
	if to < 0 || to >= len(a.peers) || len(data) > MaxDatagram-head {
		return data
	}
	p := &a.peers[to]
	if p.heard == 0 || now-p.heard > forgetTime || now-p.told < a.set.HelloInterval {
		return data
	}
	a.now = max(a.now, now)
	m := a.message(hello)
	m.rest = data
	p.told = now
	a.counts.Hellos++
	a.counts.Bytes += head
	return m.append(make([]byte, 0, MaxDatagram))
}

// Payload gives what is not the fleet's own of a datagram: all of one in another
// form, what a hello carries, nothing of the others.
func Payload(data []byte) []byte {
	if !IsFleetDatagram(data) {
		return data
	}
	if len(data) > head && data[1] == byte(hello) {
		return data[head:]
	}
	return nil
}

// others lists the processes beside this one that are not known to be gone.
func (a *Agent) others() []int {
	size, self := a.fleet.Size(), a.fleet.Self()
	out := make([]int, 0, max(0, size-1))
	for i := range size {
		if i != self && a.fleet.IsAlive(i) {
			out = append(out, i)
		}
	}
	return out
}

// some draws processes other than this one.
func (a *Agent) some(n int) []int {
	all := a.others()
	a.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// tick is the round of checks.
func (a *Agent) tick() {
	a.grow()
	a.hearing = 0
	for i := range a.peers {
		if p := &a.peers[i]; p.heard > 0 && a.now-p.heard <= hearWindow {
			a.hearing++
		}
	}
	if a.now >= a.nextHello {
		a.nextHello = a.now + Time(float64(a.set.HelloInterval)*(0.75+0.5*a.rng.Float64()))
		unsure := a.listed && a.now-a.shown() > a.set.NarrowAfter/2
		for _, to := range a.some(a.set.HelloFanout) {
			if a.greet(to); unsure { // whoever it is can say whether this list is current
				m := a.message(ask)
				m.since = a.acts
				a.send(to, m)
			}
		}
	}
	for len(a.repeats) > 0 && a.repeats[0].at <= a.now {
		since := a.repeats[0].since
		a.repeats = a.repeats[1:]
		if since.Epoch == a.speaksFor().Epoch && since.CompareGeneration(a.floor) != version.Older {
			a.tellWords(a.some(a.set.PushFanout), since, a.since(since)) // what has come meanwhile too: words are all there are up to now
		}
	}
	a.doubt()
	a.exclude()
	a.seek()
	a.stand()
}

// hear takes a datagram.
func (a *Agent) hear(e DatagramReceived) {
	a.grow()
	if e.From < 0 || e.From >= len(a.peers) || e.From == a.fleet.Self() {
		a.counts.Malformed++
		return
	}
	m, err := parse(e.Data)
	if err != nil {
		a.counts.Malformed++
		return
	}
	p := &a.peers[e.From]
	if p.heard > 0 && a.now-p.heard < forgetTime && m.vector.Clock <= p.stamp {
		a.counts.Stale++ // doubled, late, or said again by somebody else
		if m.kind == hello || p.stamp.Sub(m.vector.Clock) > overtake {
			return
		}
		// A part of an answer that another one overtook: what it says is of a
		// version and still true, but not how its sender stands.
	} else {
		a.know(e.From, p, &m)
	}
	switch m.kind {
	case ask:
		a.answer(e.From, p, m.since)
	case words:
		a.takeWords(e.From, p, &m)
	case whole:
		a.takeWhole(e.From, p, &m)
	}
	a.seek()
	if a.holdUntil > 0 || a.standing == Closed || a.standing == Narrowed {
		a.stand()
	}
}

// know takes how another process stands by its newest datagram.
func (a *Agent) know(from int, p *peer, m *message) {
	a.clock.Observe(a.now, m.vector.Clock)
	// How long it was on its way: what waited while this process stood still is as
	// old as it is.
	off := a.now - m.vector.Clock.Time()
	p.offset += Time(drift * float64(a.now-p.offsetAt))
	if p.heard == 0 || a.now-p.heard >= forgetTime || off < p.offset {
		p.offset = off
	}
	p.offsetAt = a.now
	p.heard, p.stamp, p.vector, p.acts, p.age, p.standing = a.now, m.vector.Clock, m.vector, m.acts, m.age, m.standing
	p.sent = a.now - (off - p.offset)
	a.rec.RecordPeer(a.now, from, m.vector)
	a.sameEpoch(p)
}

// sameEpoch takes the count of discovery's beginnings from most of those that have the
// very same list: this process started, or was cut off, meanwhile, or saw another
// discovery for a while and counted its coming back as a beginning. The content being
// the same, nothing that is acted on changes.
func (a *Agent) sameEpoch(p *peer) {
	own := a.vector.List
	if its := p.vector.List; !a.listed || its.Generation != own.Generation || its.Digest != own.Digest || its.Epoch == own.Epoch {
		return
	}
	votes, best := map[uint16]int{own.Epoch: 1}, own.Epoch
	for i := range a.peers {
		o := &a.peers[i]
		if l := o.vector.List; o.heard > 0 && a.now-o.heard <= hearWindow && l.Generation == own.Generation && l.Digest == own.Digest {
			votes[l.Epoch]++
		}
	}
	for e, n := range votes {
		if n > votes[best] || n == votes[best] && int16(e-best) > 0 {
			best = e
		}
	}
	if best == own.Epoch || votes[best] < a.quorum() {
		return
	}
	a.logf("takes epoch %d of discovery, after %d, from %d neighbours with the same list", best, own.Epoch, votes[best])
	a.vector.List.Epoch = best
	a.log, a.floor = a.log[:0], a.vector.List
	if a.acts.Epoch == own.Epoch {
		a.acts = a.vector.List
	}
	a.overtaken()
	a.rec.RecordVersion(a.now, a.vector)
}

// quorum is how many processes must say a thing that one alone is not believed:
// two, where so many are heard.
func (a *Agent) quorum() int { return min(2, max(1, a.hearing)) }

// woke takes that the process stood still.
func (a *Agent) woke(e Resumed) {
	a.rec.RecordPause(a.now, e.Gap)
	if a.set.ObserveOnly {
		return
	}
	a.wokeAt, a.holdUntil = a.now, a.now+a.set.PauseHold
	a.logf("stood still for %v; all it believes is old until somebody says it is not", e.Gap.Round(time.Millisecond))
	a.do(QuerySource{})
	for _, to := range a.some(3) {
		m := a.message(ask)
		m.since = a.acts
		a.send(to, m)
	}
}

// expected is how many of so many others are heard in a time, when each says hello
// to some at random and nothing is lost.
func (a *Agent) expected(others int, in time.Duration) float64 {
	if others == 0 {
		return 0
	}
	hellos := float64(a.set.HelloFanout) * float64(in) / float64(a.set.HelloInterval)
	return float64(others) * (1 - math.Exp(-hellos/float64(others)))
}
