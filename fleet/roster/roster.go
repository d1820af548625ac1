package roster

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Protocol constants.
const (
	// Members sent per period by full-state synchronization, on average.
	syncMembersPerPeriod = 24.0
	// Probes of suspects started per period, at most, in addition to the regular probe.
	maxSuspectProbes = 4
	maxPingsPerProbe = 3
	// Regular probes that may be unanswered at the same time.
	maxUnansweredProbes = 4
	// Members at the head of the probe order from which the next target is chosen.
	probeLookahead = 6
	// Members notified immediately of a suspicion raised by this process.
	suspicionFanout = 2
	// Failed own probes after which the minimum suspicion time applies.
	failuresForShortTimeout = 3
	// Processes of the fleet that probe the same suspect per period, on average.
	suspectProbersPerPeriod = 60.0
	// Probability per period of pinging a seed that never answered, if others are known.
	seedRetryProbability = 0.1
	// Seconds of the byte budget that may be spent in a burst.
	burstSeconds = 10.0
	// Seconds of the byte budget that may be overdrawn, so that answers to a flood of
	// datagrams do not suppress updates for long afterwards.
	maxDebtSeconds = 3.0
	// Updates per datagram while the budget is overdrawn.
	updatesOverBudget    = 2
	syncDatagramsPerTick = 2
	// Concurrent indirect probes on behalf of other processes.
	maxRelays = 256
	// Time until a gone member stops counting for the majority, if this process has one.
	goneExclusionDelay = 5 * time.Second
)

type member struct {
	Member
	transmits         int // datagrams that carried the present status
	suspectedAt       Time
	failedProbes      int  // consecutive own probes without an answer
	lastDatagram      Time // last datagram of this package from this incarnation
	lastNotified      Time // last time it was notified of its status or incarnation as known here
	lastDirect        Time // last time this process itself heard from it
	countsForMajority bool // it belongs to the last agreed fleet
}

// probe is a probe that is waiting for an answer.
type probe struct {
	memberID ID
	seq      uint32
	sent     Time
	pings    int  // sent so far
	indirect bool // indirect probes have been requested
	inRound  bool // the regular probe of a period, not one of a suspect
	nacks    int  // received from indirect probers
}

// relay is an indirect probe on behalf of another process.
type relay struct {
	seq      uint32 // the requester's
	to       netip.AddrPort
	sent     Time
	memberID ID
	nackSent bool
}

// Roster is one process's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	settings   Settings
	self       Member
	rng        *rand.Rand
	now        Time
	actions    []Action
	members    map[ID]*member
	byAddr     map[netip.AddrPort]ID
	seeds      []netip.AddrPort
	probeOrder []ID              // targets left in the current round
	probes     map[uint32]*probe // by sequence number
	relays     map[uint32]*relay // by own sequence number
	seq        uint32
	nextPeriod Time
	awareness  int  // Lifeguard's local health score; 0: healthy
	lastHeard  Time // from any member
	leaving    bool
	counts     Counts

	byteBudget  float64 // bytes available for updates; negative: datagrams carry few
	syncPending []ID    // members still to be sent to syncTo
	syncTo      netip.AddrPort
	nextSync    Time
}

// New creates the roster of a process that has just started. Seeds are the addresses of at
// least two other processes; their datagrams are accepted before they are members.
func New(settings Settings, self Member, seeds []netip.AddrPort, now Time, seed int64) *Roster {
	r := &Roster{settings: settings, self: self, rng: rand.New(rand.NewPCG(uint64(seed), 0x726f73)), now: now, members: map[ID]*member{},
		byAddr: map[netip.AddrPort]ID{}, relays: map[uint32]*relay{}, probes: map[uint32]*probe{}, seeds: slices.Clone(seeds), byteBudget: burstSeconds * settings.BytesPerSecond}
	r.self.Status = Alive
	r.nextPeriod = now + Time(r.rng.Float64()*float64(settings.ProbePeriod))
	return r
}

// Counts returns the counters.
func (r *Roster) Counts() Counts { return r.counts }

// Handle processes an event and returns the resulting actions in order. The slice is reused
// by the next call.
func (r *Roster) Handle(now Time, e Event) []Action {
	r.byteBudget = min(burstSeconds*r.settings.BytesPerSecond, r.byteBudget+r.settings.BytesPerSecond*max(0, now-r.now).Seconds())
	r.now, r.actions = max(now, r.now), r.actions[:0]
	switch e := e.(type) {
	case DatagramReceived:
		r.handleDatagram(e)
	case PeerActive:
		switch m := r.members[e.ID]; {
		case m == nil || m.Status == Left:
		case m.Status != Gone:
			r.markHeard(m)
		// The partition may have healed: a probe notifies the member of its status here, so that
		// it can refute it.
		case r.now-m.lastNotified >= r.settings.ProbePeriod:
			m.lastNotified = r.now
			r.startProbe(m, false)
		}
	case Tick:
		r.tick()
	case Resumed:
		r.handleResumed(e)
	case Leaving:
		r.leaving = true
		r.self.Status, r.self.Refutations = Left, r.self.Refutations+1
		for _, m := range r.randomMembers(2*r.settings.IndirectProbes, func(m *member) bool { return m.Status == Alive }) {
			r.send(m.Addr, message{kind: ping, target: m.ID})
		}
	}
	return r.actions
}

// Members returns all known members including this process, sorted by ID.
func (r *Roster) Members() []Member {
	out := []Member{r.self}
	out[0].LastHeard = r.now
	for _, m := range r.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// AliveCount returns the number of members that are alive or suspected, including this
// process.
func (r *Roster) AliveCount() int {
	n := 1
	for _, m := range r.members {
		if m.Status == Alive || m.Status == Suspect {
			n++
		}
	}
	return n
}

// HasMajority reports whether more than half of the last agreed fleet is alive, not counting
// suspects.
func (r *Roster) HasMajority() bool {
	all, here := 1, 1
	for _, m := range r.members {
		if m.countsForMajority {
			all++
			if m.Status == Alive {
				here++
			}
		}
	}
	return 2*here > all
}

// Digest returns a hash of the live members, equal at processes with equal views.
func (r *Roster) Digest() uint32 {
	d := uint32(r.self.ID)*2654435761 + uint32(r.self.Incarnation)*40503
	for _, m := range r.members {
		if m.Status == Alive || m.Status == Suspect {
			d += uint32(m.ID)*2654435761 + uint32(m.Incarnation)*40503
		}
	}
	return d
}

// send queues a message with as many member updates as fit, those transmitted least often
// first.
func (r *Roster) send(to netip.AddrPort, msg message) {
	msg.id, msg.incarnation, msg.refutations, msg.digest = r.self.ID, r.self.Incarnation, r.self.Refutations, r.Digest()
	if r.leaving {
		msg.updates = append(msg.updates, update{Left, r.self.ID, r.self.Incarnation, r.self.Refutations, r.self.Addr})
	}
	limit := int(math.Ceil(r.settings.RetransmitMultiplier * math.Log10(float64(len(r.members)+2))))
	var pending []*member
	for _, x := range r.members {
		if x.transmits < limit && x.Addr != to {
			pending = append(pending, x)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int { return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(a.ID, b.ID)) })
	// A suspected receiver is always sent its own status, so that it can refute.
	if x := r.members[r.byAddr[to]]; x != nil && x.Status != Alive {
		msg.updates = append(msg.updates, x.update())
	}
	room := MaxUpdates
	if r.byteBudget < 0 {
		room = updatesOverBudget
	}
	for _, x := range pending[:max(0, min(len(pending), room-len(msg.updates)))] {
		x.transmits++
		msg.updates = append(msg.updates, x.update())
	}
	data := msg.append(make([]byte, 0, MaxDatagram))
	r.counts.Datagrams++
	r.counts.Bytes += uint64(len(data))
	r.byteBudget = max(-maxDebtSeconds*r.settings.BytesPerSecond, r.byteBudget-float64(len(data)))
	r.actions = append(r.actions, Send{to, data})
}

func (m *member) update() update { return update{m.Status, m.ID, m.Incarnation, m.Refutations, m.Addr} }

// accepts reports whether datagrams from an address are processed.
func (r *Roster) accepts(from netip.AddrPort) bool {
	if _, known := r.byAddr[from]; known || slices.Contains(r.seeds, from) {
		return true
	}
	return slices.ContainsFunc(r.settings.AllowedPrefixes, func(p netip.Prefix) bool { return p.Contains(from.Addr()) })
}

func (r *Roster) handleDatagram(e DatagramReceived) {
	msg, err := parse(e.Data)
	if err != nil {
		r.counts.Malformed++
		return
	}
	if !r.accepts(e.From) {
		r.counts.UnknownSenders++
		return
	}
	if msg.id == r.self.ID || r.leaving {
		return
	}
	if msg.id >= r.settings.IDLimit {
		r.counts.UnknownSenders++
		return
	}
	from := r.members[msg.id]
	switch {
	case from != nil && (msg.incarnation < from.Incarnation || msg.incarnation == from.Incarnation && from.Status == Left):
		r.counts.Stale++
		r.sendKnownIncarnation(from, e.From)
		return
	case from != nil && from.Addr != e.From && msg.incarnation == from.Incarnation:
		r.counts.UnknownSenders++ // another process's ID
		return
	}
	if from = r.applyUpdate(update{Alive, msg.id, msg.incarnation, msg.refutations, e.From}, msg.id, true); from == nil {
		return
	}
	for _, u := range msg.updates {
		if u.id == r.self.ID {
			r.refute(u)
		} else {
			r.applyUpdate(u, msg.id, false)
		}
	}
	if from.Status == Left {
		return
	}
	from.lastDatagram = r.now
	r.markHeard(from)
	r.syncIfDiffers(from, msg.digest)
	switch msg.kind {
	case ping:
		r.send(e.From, message{kind: ack, seq: msg.seq})
	case ack:
		r.handleAck(msg.seq, msg.id)
	case pingRequest:
		if len(r.relays) < maxRelays && msg.target != r.self.ID {
			r.seq++
			r.relays[r.seq] = &relay{seq: msg.seq, to: e.From, sent: r.now, memberID: msg.target}
			r.send(msg.targetAddr, message{kind: ping, seq: r.seq, target: msg.target})
		}
	case nack:
		if p := r.probes[msg.seq]; p != nil {
			p.nacks++
		}
	}
}

// sendKnownIncarnation notifies a process that uses an outdated incarnation of the one known
// here, so that it changes to a later one. An incarnation is outdated after a restart with a
// clock that was set back, or within the same second. Nothing is sent while the known
// incarnation is active: then the datagram is a delayed one of its predecessor.
func (r *Roster) sendKnownIncarnation(peer *member, to netip.AddrPort) {
	if r.now-peer.lastDatagram < r.settings.ProbePeriod || r.now-peer.lastNotified < r.settings.ProbePeriod {
		return
	}
	peer.lastNotified = r.now
	r.send(to, message{kind: stateSync, updates: []update{peer.update()}})
}

// syncIfDiffers starts sending all members to a process whose view differs, at most every
// other period and less often in a large fleet, so that the bandwidth does not grow with it.
func (r *Roster) syncIfDiffers(peer *member, digest uint32) {
	if digest == r.Digest() || r.now < r.nextSync || len(r.syncPending) > 0 {
		return
	}
	r.nextSync, r.syncTo = r.now+Time(max(2, float64(len(r.members))/syncMembersPerPeriod)*float64(r.settings.ProbePeriod)), peer.Addr
	for _, id := range r.sortedIDs() {
		if id != peer.ID {
			r.syncPending = append(r.syncPending, id)
		}
	}
	r.continueSync()
}

// continueSync sends the next datagrams of a full-state synchronization.
func (r *Roster) continueSync() {
	for range syncDatagramsPerTick {
		if len(r.syncPending) == 0 || r.byteBudget < 0 {
			return
		}
		n := min(len(r.syncPending), MaxUpdates-1) // one update is reserved for the receiver's own status
		msg := message{kind: stateSync}
		for _, id := range r.syncPending[:n] {
			if peer := r.members[id]; peer != nil {
				msg.updates = append(msg.updates, peer.update())
			}
		}
		r.syncPending = r.syncPending[n:]
		r.send(r.syncTo, msg)
	}
}

// markHeard records that this process itself heard from a member, which ends a suspicion.
func (r *Roster) markHeard(peer *member) {
	r.lastHeard = r.now
	peer.LastHeard, peer.lastDirect, peer.failedProbes = r.now, r.now, 0
	if peer.Status == Suspect {
		r.setStatus(peer, Alive)
	}
}

func (r *Roster) handleAck(seq uint32, from ID) {
	if p := r.probes[seq]; p != nil {
		delete(r.probes, seq)
		if p.inRound {
			r.awareness = max(0, r.awareness-1)
		}
		if from != p.memberID { // answered through an indirect prober
			if m := r.members[p.memberID]; m != nil {
				r.markHeard(m)
			}
		}
		return
	}
	if x := r.relays[seq]; x != nil && x.memberID == from {
		delete(r.relays, seq)
		r.send(x.to, message{kind: ack, seq: x.seq})
	}
}

// applyUpdate applies an update of a member: one of a later incarnation, of a later
// refutation count, or a worse status with the same numbers. fromSelf is set if the member
// itself sent the update. The result is nil if the member is not known and is not added.
func (r *Roster) applyUpdate(reported update, reporter ID, fromSelf bool) *member {
	target := r.members[reported.id]
	if target == nil {
		if reported.id >= r.settings.IDLimit {
			return nil
		}
		if !fromSelf && (reported.status == Gone || reported.status == Left) {
			return nil
		}
		if len(r.members) >= r.settings.MaxMembers {
			r.counts.MembersRejected++
			return nil
		}
		target = &member{Member: Member{ID: reported.id, Addr: reported.addr, Incarnation: reported.incarnation, Refutations: reported.refutations, StatusSince: r.now}, countsForMajority: true}
		r.members[reported.id], r.byAddr[reported.addr] = target, reported.id
		r.probeOrder = append(r.probeOrder, reported.id)
		r.setStatus(target, Alive)
		if reported.status != Suspect {
			return target
		}
	}
	switch {
	case reported.incarnation < target.Incarnation, reported.incarnation == target.Incarnation && int16(reported.refutations-target.Refutations) < 0:
		return target
	// A new incarnation must announce itself, and does not replace one that was heard from
	// within a period.
	case reported.incarnation > target.Incarnation:
		if reported.status != Alive && !fromSelf || !fromSelf && target.lastDatagram > 0 && r.now-target.lastDatagram < r.settings.ProbePeriod {
			return target
		}
		delete(r.byAddr, target.Addr)
		target.Incarnation, target.Refutations, target.Addr, target.failedProbes, target.countsForMajority = reported.incarnation, reported.refutations, reported.addr, 0, true
		r.byAddr[reported.addr] = reported.id
		r.setStatus(target, Alive)
	case reported.status == Alive:
		if newer := int16(reported.refutations-target.Refutations) > 0; newer && target.Status != Left {
			target.Refutations, target.failedProbes = reported.refutations, 0
			if target.Status != Alive {
				r.setStatus(target, Alive)
			} else {
				target.transmits = 0
			}
		}
	case reported.status == Left && target.Status != Left:
		target.Refutations = reported.refutations
		if fromSelf || reporter == reported.id || target.lastDirect == 0 || r.now-target.lastDirect > r.settings.ProbePeriod {
			target.countsForMajority = false
			r.setStatus(target, Left)
		}
	// A peer report that the member is suspected or gone makes it suspect here, never gone.
	case target.Status == Alive:
		if target.lastDirect > 0 && r.now-target.lastDirect < r.settings.ProbePeriod {
			return target // heard from within a period
		}
		target.Refutations = reported.refutations
		r.setStatus(target, Suspect)
	}
	return target
}

// setStatus changes a member's status and marks it for dissemination.
func (r *Roster) setStatus(peer *member, to Status) {
	peer.transmits, peer.Status, peer.StatusSince = 0, to, r.now
	if to == Suspect {
		peer.suspectedAt = r.now
	}
	r.actions = append(r.actions, StatusChanged{peer.ID, to, peer.Incarnation})
}

// refute answers a suspicion of this process, or a claim that it has left.
func (r *Roster) refute(reported update) {
	if newer := int32(uint32(reported.incarnation) - uint32(r.self.Incarnation)); newer > 0 || newer == 0 && reported.status == Left {
		// A former incarnation started with a clock that has been set back since.
		r.self.Incarnation, r.self.Refutations = reported.incarnation+1, 0
		r.counts.IncarnationsRaised++
		return
	}
	if reported.status == Alive || reported.incarnation != r.self.Incarnation || int16(reported.refutations-r.self.Refutations) < 0 {
		return
	}
	r.self.Refutations = reported.refutations + 1
	r.counts.Refuted++
	r.awareness = min(r.settings.MaxAwareness, r.awareness+1) // this process was too slow to answer
	for _, m := range r.randomMembers(r.settings.IndirectProbes, func(m *member) bool { return m.Status == Alive }) {
		r.send(m.Addr, message{kind: ping, target: m.ID})
	}
}

// scaleByAwareness extends a timeout by the local health score.
func (r *Roster) scaleByAwareness(d time.Duration) time.Duration {
	return d * time.Duration(1+r.awareness)
}

func (r *Roster) tick() {
	if r.leaving {
		return
	}
	for _, seq := range r.sortedProbes() {
		r.retryProbe(r.probes[seq])
	}
	r.continueSync()
	for seq, relayed := range r.relays {
		switch age := r.now - relayed.sent; {
		case age > 4*r.settings.ProbePeriod:
			delete(r.relays, seq)
		case age > r.settings.ProbeTimeout && !relayed.nackSent:
			relayed.nackSent = true
			r.send(relayed.to, message{kind: nack, seq: relayed.seq})
		}
	}
	if r.now >= r.nextPeriod {
		r.startPeriod()
	}
	r.expireMembers()
}

// retryProbe repeats a ping whose ack is late, and once requests indirect probes, so that a
// single lost datagram raises no suspicion.
func (r *Roster) retryProbe(pending *probe) {
	target := r.members[pending.memberID]
	if target == nil || pending.pings >= maxPingsPerProbe || r.now-pending.sent < time.Duration(pending.pings)*r.scaleByAwareness(r.settings.ProbeTimeout) {
		return
	}
	pending.pings++
	r.send(target.Addr, message{kind: ping, seq: pending.seq, target: pending.memberID})
	if pending.indirect {
		return
	}
	pending.indirect = true
	if pending.inRound { // start the next probe without waiting for the period's end
		r.nextPeriod = r.now
	}
	for _, prober := range r.randomMembers(r.settings.IndirectProbes, func(x *member) bool { return x.Status == Alive && x.ID != pending.memberID }) {
		r.send(prober.Addr, message{kind: pingRequest, seq: pending.seq, target: pending.memberID, targetAddr: target.Addr})
	}
}

// sortedProbes returns the sequence numbers of the pending probes in ascending order.
func (r *Roster) sortedProbes() []uint32 {
	out := make([]uint32, 0, len(r.probes))
	for seq := range r.probes {
		out = append(out, seq)
	}
	slices.Sort(out)
	return out
}

// startPeriod ends expired probes and starts those of the next period.
func (r *Roster) startPeriod() {
	newSuspects := 0
	for _, seq := range r.sortedProbes() {
		pending := r.probes[seq]
		if r.now-pending.sent < r.scaleByAwareness(r.settings.ProbePeriod) {
			continue
		}
		delete(r.probes, seq)
		// Nacks, or any message received since the probe was sent, show that this process is not
		// slow itself.
		if pending.inRound && pending.nacks == 0 && r.lastHeard <= pending.sent {
			r.awareness = min(r.settings.MaxAwareness, r.awareness+1)
		}
		if m := r.members[pending.memberID]; m != nil && m.lastDirect <= pending.sent && (m.Status == Alive || m.Status == Suspect) {
			if m.failedProbes++; m.Status == Alive {
				r.counts.Suspicions++
				r.setStatus(m, Suspect)
				newSuspects++
			}
		}
	}
	// Members heard from recently are notified; datagrams to dead ones would be lost.
	if newSuspects > 0 {
		for _, m := range r.randomMembers(suspicionFanout, func(m *member) bool { return m.Status == Alive && r.now-m.lastDirect < 2*r.settings.ProbePeriod }) {
			r.send(m.Addr, message{kind: ping, target: m.ID})
		}
	}
	r.nextPeriod = r.now + r.settings.ProbePeriod
	// Processes that know only some of the seeds keep pinging the others, so that separate
	// groups find each other.
	few := len(r.members) < len(r.seeds) || r.AliveCount() == 1
	for _, a := range r.seeds {
		if _, known := r.byAddr[a]; !known && a != r.self.Addr && (few || r.rng.Float64() < seedRetryProbability) {
			r.send(a, message{kind: ping})
		}
	}
	for _, m := range r.randomMembers(maxSuspectProbes, func(m *member) bool { return m.Status == Suspect && !r.isProbed(m.ID) }) {
		// Limits how many members probe a suspect in a period.
		if r.rng.Float64() < suspectProbersPerPeriod/float64(len(r.members)) {
			r.startProbe(m, false)
		}
	}
	if r.roundBusy() {
		return
	}
	for range len(r.probeOrder) + 1 {
		if len(r.probeOrder) == 0 {
			r.shuffleProbeOrder()
			if len(r.probeOrder) == 0 {
				return
			}
		}
		m := r.members[r.nextProbeTarget()]
		// Gone members are probed occasionally, since a partition may have healed.
		if m == nil || m.Status == Left || m.Status == Gone && r.rng.Float64() > 0.1 {
			continue
		}
		if m.lastDirect > 0 && r.now-m.lastDirect < r.settings.ProbePeriod && m.Status == Alive && len(r.pendingUpdates()) == 0 {
			r.counts.ProbesSkipped++
			return
		}
		r.startProbe(m, true)
		return
	}
}

// nextProbeTarget removes the next target from the probe order: among the first few, the
// one not heard from for the longest time.
func (r *Roster) nextProbeTarget() ID {
	best, since := 0, Time(math.MaxInt64)
	for i, id := range r.probeOrder[:min(probeLookahead, len(r.probeOrder))] {
		if m := r.members[id]; m != nil && m.Status == Alive && m.lastDirect < since {
			best, since = i, m.lastDirect
		}
	}
	id := r.probeOrder[best]
	r.probeOrder = slices.Delete(r.probeOrder, best, best+1)
	return id
}

func (r *Roster) startProbe(peer *member, inRound bool) {
	r.seq++
	r.probes[r.seq] = &probe{memberID: peer.ID, seq: r.seq, sent: r.now, pings: 1, inRound: inRound}
	r.counts.Probes++
	r.send(peer.Addr, message{kind: ping, seq: r.seq, target: peer.ID})
}

// isProbed reports whether a probe of a member is pending.
func (r *Roster) isProbed(id ID) bool {
	for _, p := range r.probes {
		if p.memberID == id {
			return true
		}
	}
	return false
}

// roundBusy reports whether the pending regular probes rule out another one.
func (r *Roster) roundBusy() bool {
	n := 0
	for _, p := range r.probes {
		if p.inRound {
			if n++; !p.indirect || n >= maxUnansweredProbes {
				return true
			}
		}
	}
	return false
}

// pendingUpdates returns the members whose status is still to be disseminated.
func (r *Roster) pendingUpdates() []ID {
	limit := int(math.Ceil(r.settings.RetransmitMultiplier * math.Log10(float64(len(r.members)+2))))
	var out []ID
	for id, m := range r.members {
		if m.transmits < limit {
			out = append(out, id)
		}
	}
	return out
}

// shuffleProbeOrder starts a round, in which each member is probed once in random order.
func (r *Roster) shuffleProbeOrder() {
	for id := range r.members {
		r.probeOrder = append(r.probeOrder, id)
	}
	slices.Sort(r.probeOrder)
	r.rng.Shuffle(len(r.probeOrder), func(i, j int) { r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i] })
}

// suspicionExpired reports whether a suspicion has lasted long enough to declare the member
// gone. The required time is shorter after failed probes by this process itself, and longer
// while its local health score is high.
func (r *Roster) suspicionExpired(peer *member) bool {
	least := r.settings.SuspicionMultiplier * math.Max(1, math.Log10(float64(len(r.members)+1))) * float64(r.settings.ProbePeriod)
	age := float64(r.now-max(peer.suspectedAt, peer.lastDirect)) / float64(1+r.awareness/2)
	switch {
	case peer.failedProbes >= failuresForShortTimeout:
		return age >= least
	case peer.failedProbes > 0:
		return age >= least*r.settings.SuspicionMaxMultiplier
	}
	return age >= 2*least*r.settings.SuspicionMaxMultiplier
}

// expireMembers declares members gone whose suspicion expired, and removes old ones.
func (r *Roster) expireMembers() {
	for _, id := range r.sortedIDs() {
		peer := r.members[id]
		switch {
		case peer.Status == Suspect && r.suspicionExpired(peer):
			r.setStatus(peer, Gone)
		case peer.Status == Gone && peer.countsForMajority && r.now-peer.StatusSince > goneExclusionDelay && r.HasMajority():
			peer.countsForMajority = false
		case (peer.Status == Gone || peer.Status == Left) && !peer.countsForMajority && r.now-peer.StatusSince > r.settings.ForgetAfter:
			delete(r.members, id)
			delete(r.byAddr, peer.Addr)
		}
	}
}

func (r *Roster) sortedIDs() []ID {
	out := make([]ID, 0, len(r.members))
	for id := range r.members {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// randomMembers returns up to n randomly chosen members that match.
func (r *Roster) randomMembers(n int, match func(*member) bool) []*member {
	var all []*member
	for _, id := range r.sortedIDs() {
		if m := r.members[id]; match(m) {
			all = append(all, m)
		}
	}
	r.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// handleResumed accounts for a pause of this process, during which it could not hear from
// members: suspicions start again, and silence does not include the pause.
func (r *Roster) handleResumed(e Resumed) {
	r.awareness = min(r.settings.MaxAwareness, r.awareness+2)
	clear(r.probes)
	for _, m := range r.members {
		if m.Status == Suspect {
			m.suspectedAt = r.now
		}
		if m.lastDirect > 0 {
			m.lastDirect += e.Gap
		}
	}
	r.nextPeriod = r.now
}
