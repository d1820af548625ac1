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
	maxPending      = 1024 // peer reports kept, at most
	maxLog          = 512  // own withdrawals kept for answers to queries, at most
	queryInterval   = 50 * time.Millisecond
	minQueryRetry   = 150 * time.Millisecond // until the same peer is queried again; doubled each time
	maxQueryRetry   = 4 * time.Second
	answerInterval  = 100 * time.Millisecond // minimum, between two answers to one peer
	repeatDelay     = 150 * time.Millisecond // until withdrawals are pushed a second time
	peerTimeout     = 4 * time.Second        // since its last message; then a peer does not count as live
	distrustTime    = time.Minute            // during which reports of a peer are ignored after an unconfirmed one
	forgetAfter     = 30 * time.Second       // after which a silent peer is accepted with an older clock
	staleSourceHold = 2 * time.Second        // during which a source found stale still counts as stale
	// Maximum age of a reordered part of an answer, relative to the sender's newest datagram.
	reorderWindow = 2 * time.Second
	maxClockDrift = 1e-4 // between the clocks of two processes, as a ratio
)

// peer is the agent's state of another process.
type peer struct {
	lastHeard       Time              // last message; 0: never
	sentAt          Time              // when it was sent, by this process's clock
	timestamp       version.Timestamp // newest credible one
	aheadTimestamp  version.Timestamp // newest of those too far ahead to be credible
	offset          time.Duration     // least difference of local time to its timestamps: clock skew plus network delay
	offsetAt        Time
	vector          version.Vector
	applied         version.List
	age             time.Duration // of its source's last list when it was sent; negative: none
	mode            Mode
	queriedAt       Time          // when it was last queried
	queryWait       time.Duration // minimum time between queriedAt and the next query
	answeredAt      Time          // when a query of it was last answered
	distrustedUntil Time          // its reports are not counted until then
	lastSent        Time          // when anything was last sent to it
	behind          bool          // it acts on an outdated list
	parts           assembly
}

// assembly collects the parts of an answer that spans several datagrams.
type assembly struct {
	kind       kind
	to, since  version.List // versions between which the answer is complete
	total      int          // parts
	received   uint64       // bitmap of received parts
	applicable bool         // all withdrawals received so far could be applied
	keys       []version.Key
}

// pending is a withdrawal that peers reported and the own source has not reached yet.
type pending struct {
	withdrawal
	reporters     []int // peers that have it from their own sources
	firstReporter int   // peer that reported it first
	receivedAt    Time
	enforced      bool // the server is not used because of the report
}

// maxReporters is the number of reporters that are recorded of one withdrawal.
const maxReporters = 4

type entry struct {
	name      string
	state     version.State
	startedAt Time
}

// repeat is a scheduled second push of withdrawals.
type repeat struct {
	at    Time
	since version.List
}

// Agent keeps one process up to date with its fleet. It is not safe for concurrent use.
type Agent struct {
	settings       Settings
	fleet          Fleet
	rng            *rand.Rand
	clock          *version.HybridClock
	recorder       *version.Recorder
	now            Time
	actions        []Action
	vector         version.Vector
	digest         version.RunningDigest
	entries        map[version.Key]entry
	upCount        int          // entries in state Up
	listed         bool         // a list has been received
	listAt         Time         // when the own list last changed
	ownLog         []withdrawal // withdrawals by the own source since logFloor that are still in force
	logFloor       version.List
	pending        map[version.Key]*pending
	applied        version.List // all withdrawals up to it are in force here
	confirmed      Time         // when the own source last answered; 0: never
	peersConfirmed Time         // as of when peers confirmed the state in force here
	peers          []peer
	livePeers      int // peers that sent a message within peerTimeout, as of the last tick
	nextHello      Time
	nextQuery      Time
	repeats        []repeat
	mode           Mode
	reason         string
	started        Time
	resumedAt      Time
	holdUntil      Time
	reopenAt       Time
	sourceStaleAt  Time // when the source was last found stale; 0: never
	counts         Counts
}

// New returns the agent of a process that has just started. The digests of its settings
// and build are those of version.Digest.
func New(settings Settings, fleetView Fleet, now Time, seed int64, processName string, settingsDigest, buildDigest uint16) *Agent {
	clock := &version.HybridClock{}
	a := &Agent{settings: settings, fleet: fleetView, rng: rand.New(rand.NewPCG(uint64(seed), 0x666f6c6c)), clock: clock, now: now, started: now,
		recorder: version.NewRecorder(processName, fleetView.Self(), now, clock), entries: map[version.Key]entry{}, pending: map[version.Key]*pending{}}
	a.vector = version.Vector{Settings: settingsDigest, Build: buildDigest, Format: version.FormatVersion}
	a.nextHello = now + Time(a.rng.Float64()*float64(settings.HelloInterval))
	return a
}

// Recorder returns the process's record.
func (a *Agent) Recorder() *version.Recorder { return a.recorder }

// Counts returns the counters.
func (a *Agent) Counts() Counts { return a.counts }

// Mode returns the mode and the reason for it.
func (a *Agent) Mode() (Mode, string) { return a.mode, a.reason }

// Vector returns the versions that the process acts on.
func (a *Agent) Vector() version.Vector { return a.vector }

// AppliedVersion returns the version up to which all withdrawals are in force here.
func (a *Agent) AppliedVersion() version.List { return a.applied }

// Handle processes an event and returns the actions to carry out, in order. The slice
// is reused by the next call.
func (a *Agent) Handle(now Time, e Event) []Action {
	a.now, a.actions = max(now, a.now), a.actions[:0]
	switch e := e.(type) {
	case ListReceived:
		a.handleList(e)
	case DatagramReceived:
		a.handleDatagram(e)
	case Tick:
		a.handleTick()
	case Resumed:
		a.handleResumed(e)
	case MaintenanceChanged:
		a.vector.Maintenance = e.Digest
		a.recorder.RecordVersion(a.now, a.vector)
	}
	return a.actions
}

func (a *Agent) emit(x Action) { a.actions = append(a.actions, x) }

func (a *Agent) logf(format string, args ...any) { a.emit(Log{fmt.Sprintf(format, args...)}) }

// handleList applies a list from the own source.
func (a *Agent) handleList(event ListReceived) {
	before, generation := a.vector.List, uint32(event.Generation)
	next := version.List{Epoch: before.Epoch, Generation: generation}
	restarted := a.listed && next.CompareGeneration(before) == version.Older // discovery restarted
	if restarted {
		next.Epoch++
		a.ownLog, a.logFloor = a.ownLog[:0], next
		a.logf("discovery restarted: generation %d after %d, epoch %d", generation, before.Generation, next.Epoch)
	}
	var withdrawn []withdrawal
	present := map[version.Key]bool{}
	for _, x := range event.Entries {
		k := version.KeyOf(x.Name)
		present[k] = true
		if w, withdraws := a.updateEntry(k, x, next); withdraws {
			withdrawn = append(withdrawn, w)
		}
	}
	if event.Kind != Delta {
		for _, k := range a.keys() {
			if x := a.entries[k]; !present[k] {
				x.state = version.Removed
				w, _ := a.updateEntry(k, Entry{x.name, x.state, x.startedAt}, next)
				withdrawn = append(withdrawn, w)
			}
		}
	}
	next.Digest = a.digest.Short()
	a.vector.List = next
	if next != before {
		a.listAt = a.now
	}
	if event.Kind != Cached {
		a.confirmed = a.now
		a.recorder.RecordConfirmed(a.now)
	}
	if !a.listed {
		a.listed, a.logFloor, a.applied, withdrawn = true, next, next, nil
	}
	a.dropOvertaken()
	a.recorder.RecordVersion(a.now, a.vector)
	if len(withdrawn) > 0 {
		a.pushWithdrawals(before, withdrawn)
	}
	a.updateMode()
}

// keys returns the servers of the own list in a fixed order.
func (a *Agent) keys() []version.Key {
	out := make([]version.Key, 0, len(a.entries))
	for k := range a.entries {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// updateEntry applies an entry of the own list and reports whether it withdraws a
// server that was in use before.
func (a *Agent) updateEntry(serverKey version.Key, update Entry, listVersion version.List) (change withdrawal, withdraws bool) {
	previous, known := a.entries[serverKey]
	if known {
		a.digest.Remove(serverKey, previous.state, previous.startedAt)
		if previous.state == version.Up {
			a.upCount--
		}
	}
	change = withdrawal{key: serverKey, state: update.State, list: listVersion}
	if update.State == version.Removed {
		delete(a.entries, serverKey)
	} else {
		a.entries[serverKey] = entry{update.Name, update.State, update.StartedAt}
		a.digest.Add(serverKey, update.State, update.StartedAt)
	}
	if update.State == version.Up {
		a.upCount++
		a.ownLog = slices.DeleteFunc(a.ownLog, func(o withdrawal) bool { return o.key == serverKey })
		if !known || previous.state != version.Up {
			a.recorder.RecordRestored(a.now, update.Name, listVersion)
		}
		return change, false
	}
	if !known && update.State == version.Removed || known && previous.state >= update.State {
		return change, false
	}
	a.ownLog = slices.DeleteFunc(a.ownLog, func(o withdrawal) bool { return o.key == serverKey })
	if a.ownLog = append(a.ownLog, change); len(a.ownLog) > maxLog {
		a.logFloor = a.ownLog[0].list
		a.ownLog = slices.Delete(a.ownLog, 0, 1)
	}
	if a.listed {
		a.recorder.RecordWithdrawal(a.now, update.Name, update.State, listVersion, version.OwnSource)
	}
	return change, true
}

// dropOvertaken drops peer reports that the own source has caught up with: the own
// source takes precedence.
func (a *Agent) dropOvertaken() {
	changed := false
	for _, k := range a.pendingKeys() {
		report := a.pending[k]
		if report.list.CompareGeneration(a.vector.List) == version.Newer {
			continue
		}
		delete(a.pending, k)
		changed = changed || report.enforced
		if server, known := a.entries[k]; known && server.state == version.Up && report.enforced {
			a.recorder.RecordRestored(a.now, server.name, a.vector.List)
		}
	}
	if a.applied.CompareGeneration(a.vector.List) != version.Newer {
		a.applied = a.vector.List
	}
	a.recorder.RecordApplied(a.applied)
	if changed {
		a.emit(EligibilityChanged{})
	}
}

func (a *Agent) pendingKeys() []version.Key {
	out := make([]version.Key, 0, len(a.pending))
	for k := range a.pending {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Withdrawn reports whether a server that is up in the own list must not be used
// because a peer reported a newer withdrawal.
func (a *Agent) Withdrawn(name string) bool {
	if len(a.pending) == 0 {
		return false
	}
	report := a.pending[version.KeyOf(name)]
	return report != nil && report.enforced
}

// MinAnswerTime returns the time since which a server must have answered to be used, or
// 0 if there is no such limit. There is one while the mode is Narrowed or Closed.
func (a *Agent) MinAnswerTime(now Time) Time {
	if a.mode != Narrowed && a.mode != Closed {
		return 0
	}
	return max(1, now-a.settings.NarrowAfter/2)
}

// AcceptsRequests reports whether the process takes new requests.
func (a *Agent) AcceptsRequests() bool { return a.mode != Closed }

// HoldUntil returns the time until which requests must wait, or 0: after a process
// pause the state must be confirmed first.
func (a *Agent) HoldUntil() Time { return a.holdUntil }

// TrustsPeer reports whether load readings and suspicions sent by another process may be
// used. A false result counts as an ignored datagram.
func (a *Agent) TrustsPeer(from int) bool {
	if a.settings.ObserveOnly || from < 0 || from >= len(a.peers) || !a.peers[from].behind {
		return true
	}
	a.counts.Ignored++
	return false
}

// message returns a datagram of a kind that describes the current state.
func (a *Agent) message(k kind) message {
	msg := message{kind: k, vector: a.vector, age: -1, mode: a.mode, applied: a.advertisedVersion()}
	msg.vector.Clock = a.clock.Now(a.now)
	if a.confirmed > 0 {
		msg.age = a.now - a.confirmed
	}
	return msg
}

// advertisedVersion returns the version up to which this process notifies peers of
// withdrawals: that of its own source while that is live, else also what peers reported.
// So a report does not keep circulating after all of its original reporters have
// retracted it.
func (a *Agent) advertisedVersion() version.List {
	if a.ownSourceFresh() {
		return a.vector.List
	}
	return a.applied
}

// ownSourceFresh reports whether the own source has answered recently.
func (a *Agent) ownSourceFresh() bool {
	return a.confirmed > 0 && a.now-a.confirmed <= a.settings.NarrowAfter
}

func (a *Agent) send(to int, msg message) {
	data := msg.append(make([]byte, 0, MaxDatagram))
	switch msg.kind {
	case hello:
		a.counts.Hellos++
	case query:
		a.counts.Queries++
	default:
		a.counts.Answers++
		if msg.kind == withdrawals {
			a.counts.Withdrawals += uint64(len(msg.withdrawals))
		}
	}
	a.counts.Bytes += uint64(len(data))
	a.growPeers()
	a.peers[to].lastSent = a.now
	a.emit(Send{to, data})
}

// growPeers makes room for all processes of the fleet.
func (a *Agent) growPeers() {
	if n := a.fleet.Size(); n > len(a.peers) {
		a.peers = append(a.peers, make([]peer, n-len(a.peers))...)
	}
}

// Wrap returns a datagram that carries another package's message to a peer in a hello,
// or the message itself if the peer does not know the format, there is no room, or no
// hello is due.
func (a *Agent) Wrap(now Time, to int, data []byte) []byte {
	a.growPeers()
	if to < 0 || to >= len(a.peers) || len(data) > MaxDatagram-headerSize {
		return data
	}
	receiver := &a.peers[to]
	if receiver.lastHeard == 0 || now-receiver.lastHeard > forgetAfter || now-receiver.lastSent < a.settings.HelloInterval {
		return data
	}
	a.now = max(a.now, now)
	msg := a.message(hello)
	msg.payload = data
	receiver.lastSent = now
	a.counts.Hellos++
	a.counts.Bytes += headerSize
	return msg.append(make([]byte, 0, MaxDatagram))
}

// Payload returns what a datagram carries for other packages: the whole datagram if it
// is of another format, the payload of a hello, and nil for the other kinds.
func Payload(data []byte) []byte {
	if !IsFleetDatagram(data) {
		return data
	}
	if len(data) > headerSize && data[1] == byte(hello) {
		return data[headerSize:]
	}
	return nil
}

// otherProcesses returns the other processes that are not known to be gone.
func (a *Agent) otherProcesses() []int {
	size, self := a.fleet.Size(), a.fleet.Self()
	out := make([]int, 0, max(0, size-1))
	for i := range size {
		if i != self && a.fleet.IsAlive(i) {
			out = append(out, i)
		}
	}
	return out
}

// randomProcesses returns up to n other processes, drawn at random.
func (a *Agent) randomProcesses(n int) []int {
	all := a.otherProcesses()
	a.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// handleTick runs the periodic checks.
func (a *Agent) handleTick() {
	a.growPeers()
	a.livePeers = 0
	for i := range a.peers {
		if p := &a.peers[i]; p.lastHeard > 0 && a.now-p.lastHeard <= peerTimeout {
			a.livePeers++
		}
	}
	if a.now >= a.nextHello {
		a.nextHello = a.now + Time(float64(a.settings.HelloInterval)*(0.75+0.5*a.rng.Float64()))
		uncertain := a.listed && a.now-a.confirmedAsOf() > a.settings.NarrowAfter/2
		for _, to := range a.randomProcesses(a.settings.HelloFanout) {
			// Any receiver may be able to confirm the list.
			if a.sendHello(to); uncertain {
				m := a.message(query)
				m.since = a.applied
				a.send(to, m)
			}
		}
	}
	for len(a.repeats) > 0 && a.repeats[0].at <= a.now {
		since := a.repeats[0].since
		a.repeats = a.repeats[1:]
		if since.Epoch == a.advertisedVersion().Epoch && since.CompareGeneration(a.logFloor) != version.Older {
			// Includes what has arrived meanwhile: the message must be complete up to
			// the current version.
			a.sendWithdrawals(a.randomProcesses(a.settings.PushFanout), since, a.since(since))
		}
	}
	a.expireUnconfirmed()
	a.markBehindPeers()
	a.queryMissing()
	a.updateMode()
}

// handleDatagram processes a datagram from a peer.
func (a *Agent) handleDatagram(event DatagramReceived) {
	a.growPeers()
	if event.From < 0 || event.From >= len(a.peers) || event.From == a.fleet.Self() {
		a.counts.Malformed++
		return
	}
	msg, err := parse(event.Data)
	if err != nil {
		a.counts.Malformed++
		return
	}
	sender := &a.peers[event.From]
	newest := *sender.newestTimestamp(a.now, msg.vector.Clock)
	if sender.lastHeard > 0 && a.now-sender.lastHeard < forgetAfter && msg.vector.Clock <= newest {
		a.counts.Stale++ // duplicated, late or replayed
		if msg.kind == hello || newest.Sub(msg.vector.Clock) > reorderWindow {
			return
		}
		// A reordered part of an answer: its withdrawals are still valid, but its
		// sender's state is outdated.
	} else {
		a.updatePeer(event.From, sender, &msg)
	}
	switch msg.kind {
	case query:
		a.answerQuery(event.From, sender, msg.since)
	case withdrawals:
		a.handleWithdrawals(event.From, sender, &msg)
	case fullList:
		a.handleFullList(event.From, sender, &msg)
	}
	a.queryMissing()
	if a.holdUntil > 0 || a.mode == Closed || a.mode == Narrowed {
		a.updateMode()
	}
}

// newestTimestamp returns the newest timestamp of the sender that a received one is compared with.
// Guards against a timestamp far ahead that makes later, credible ones stale.
func (p *peer) newestTimestamp(now Time, received version.Timestamp) *version.Timestamp {
	if version.Credible(now, received) {
		return &p.timestamp
	}
	return &p.aheadTimestamp
}

// updatePeer stores the sender's state from its newest datagram.
func (a *Agent) updatePeer(from int, sender *peer, msg *message) {
	*sender.newestTimestamp(a.now, msg.vector.Clock) = msg.vector.Clock
	sender.sentAt = a.now
	if a.clock.Observe(a.now, msg.vector.Clock) {
		sender.sentAt = a.estimateSentAt(sender, msg)
	}
	sender.lastHeard, sender.vector, sender.applied, sender.age, sender.mode = a.now, msg.vector, msg.applied, msg.age, msg.mode
	a.recorder.RecordPeer(a.now, from, msg.vector)
	a.adoptEpoch(sender)
}

// estimateSentAt returns when a datagram was sent, by this process's clock. Time in transit counts:
// a datagram that was queued during a process pause has aged by its length.
func (a *Agent) estimateSentAt(sender *peer, msg *message) Time {
	apparentDelay := a.now - msg.vector.Clock.Time()
	sender.offset += Time(maxClockDrift * float64(a.now-sender.offsetAt))
	if sender.lastHeard == 0 || a.now-sender.lastHeard >= forgetAfter || apparentDelay < sender.offset {
		sender.offset = apparentDelay
	}
	sender.offsetAt = a.now
	return a.now - (apparentDelay - sender.offset)
}

// adoptEpoch adopts the epoch that most peers with the identical list have. Epochs
// differ if this process started or was cut off during a discovery restart, or counted
// one that did not happen. The list's content does not change.
func (a *Agent) adoptEpoch(sender *peer) {
	own := a.vector.List
	if theirs := sender.vector.List; !a.listed || theirs.Generation != own.Generation || theirs.Digest != own.Digest || theirs.Epoch == own.Epoch {
		return
	}
	supporters, chosen := map[uint16]int{own.Epoch: 1}, own.Epoch
	for i := range a.peers {
		other := &a.peers[i]
		if list := other.vector.List; other.lastHeard > 0 && a.now-other.lastHeard <= peerTimeout && list.Generation == own.Generation && list.Digest == own.Digest {
			supporters[list.Epoch]++
		}
	}
	for epoch, n := range supporters {
		if n > supporters[chosen] || n == supporters[chosen] && int16(epoch-chosen) > 0 {
			chosen = epoch
		}
	}
	if chosen == own.Epoch || supporters[chosen] < a.quorum() {
		return
	}
	a.logf("adopted discovery epoch %d in place of %d from %d peers with the same list", chosen, own.Epoch, supporters[chosen])
	a.vector.List.Epoch = chosen
	a.ownLog, a.logFloor = a.ownLog[:0], a.vector.List
	if a.applied.Epoch == own.Epoch {
		a.applied = a.vector.List
	}
	a.dropOvertaken()
	a.recorder.RecordVersion(a.now, a.vector)
}

// quorum returns how many peers must agree, so that no single peer is trusted: two, or
// one if fewer are live.
func (a *Agent) quorum() int { return min(2, max(1, a.livePeers)) }

// handleResumed processes the end of a process pause.
func (a *Agent) handleResumed(e Resumed) {
	a.recorder.RecordPause(a.now, e.Gap)
	if a.settings.ObserveOnly {
		return
	}
	a.resumedAt, a.holdUntil = a.now, a.now+a.settings.PauseHold
	a.logf("stood still for %v; all it believes is old until somebody says it is not", e.Gap.Round(time.Millisecond))
	a.emit(QuerySource{})
	for _, to := range a.randomProcesses(3) {
		m := a.message(query)
		m.since = a.applied
		a.send(to, m)
	}
}

// expectedPeers returns the expected number of other processes from which a message is
// received within a window, if each sends hellos to random peers and nothing is lost.
func (a *Agent) expectedPeers(processes int, window time.Duration) float64 {
	if processes == 0 {
		return 0
	}
	hellos := float64(a.settings.HelloFanout) * float64(window) / float64(a.settings.HelloInterval)
	return float64(processes) * (1 - math.Exp(-hellos/float64(processes)))
}
