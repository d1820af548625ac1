package follow

import (
	"math/bits"
	"slices"

	"ivylock/fleet/version"
)

// pushWithdrawals notifies random peers of withdrawals at once, and schedules a
// repetition.
func (a *Agent) pushWithdrawals(since version.List, withdrawn []withdrawal) {
	a.sendWithdrawals(a.randomProcesses(a.settings.PushFanout), since, withdrawn)
	if len(a.repeats) < maxLog {
		a.repeats = append(a.repeats, repeat{a.now + repeatDelay, since})
	}
}

// sendWithdrawals sends all withdrawals between a version and the advertised one to some
// processes.
func (a *Agent) sendWithdrawals(to []int, since version.List, withdrawn []withdrawal) {
	parts := (len(withdrawn) + maxWithdrawals - 1) / maxWithdrawals
	if parts > maxParts {
		return // the receivers query and get the full list
	}
	for _, receiver := range to {
		for part := range max(1, parts) {
			msg := a.message(withdrawals)
			msg.since, msg.part, msg.parts = since, part, max(1, parts)
			for _, w := range withdrawn[part*maxWithdrawals : min(len(withdrawn), (part+1)*maxWithdrawals)] {
				if w.list.Epoch == msg.applied.Epoch && w.list.CompareGeneration(msg.applied) != version.Newer {
					msg.withdrawals = append(msg.withdrawals, w)
				}
			}
			a.send(receiver, msg)
		}
	}
}

// sendHello sends a hello, with the newest withdrawals if they are known to be complete
// since some version. So a process whose queries are lost is kept up to date too.
func (a *Agent) sendHello(to int) {
	if !a.listed || a.logFloor.Epoch != a.advertisedVersion().Epoch {
		a.send(to, a.message(hello))
		return
	}
	since, withdrawn := a.logFloor, a.since(a.logFloor)
	slices.SortStableFunc(withdrawn, func(x, y withdrawal) int { return int(int32(x.list.Generation - y.list.Generation)) })
	if n := len(withdrawn) - maxHelloWithdrawals; n > 0 {
		since, withdrawn = withdrawn[n-1].list, withdrawn[n:]
	}
	a.sendWithdrawals([]int{to}, since, withdrawn)
}

// queryMissing queries a peer that applies newer withdrawals for those that are missing
// here.
func (a *Agent) queryMissing() {
	if a.now < a.nextQuery || !a.listed || a.settings.ObserveOnly {
		return
	}
	best := -1
	for i := range a.peers {
		p := &a.peers[i]
		if p.lastHeard == 0 || a.now-p.lastHeard > peerTimeout || p.applied.CompareGeneration(a.applied) != version.Newer || a.now < p.queriedAt+p.queryWait {
			continue
		}
		if best < 0 || p.lastHeard > a.peers[best].lastHeard {
			best = i
		}
	}
	if best < 0 {
		return
	}
	p := &a.peers[best]
	p.queriedAt, p.queryWait = a.now, min(maxQueryRetry, max(minQueryRetry, 2*p.queryWait))
	a.nextQuery = a.now + queryInterval
	msg := a.message(query)
	msg.since = a.applied
	a.send(best, msg)
}

// answerQuery sends a process the withdrawals since a version one by one or, if the log
// does not reach back that far, the keys of all servers that are up.
func (a *Agent) answerQuery(to int, peerState *peer, since version.List) {
	if a.now-peerState.answeredAt < answerInterval || !a.listed || peerState.answeredAt > a.now {
		return
	}
	peerState.answeredAt = a.now
	advertised := a.advertisedVersion()
	if since.CompareGeneration(advertised) != version.Older {
		a.send(to, a.message(hello)) // nothing is missing; the hello confirms it
		return
	}
	if since.Epoch == advertised.Epoch && since.CompareGeneration(a.logFloor) != version.Older {
		a.sendWithdrawals([]int{to}, since, a.since(since))
		return
	}
	if advertised.CompareGeneration(a.vector.List) == version.Newer {
		a.send(to, a.message(hello)) // a list with peer reports on top is not a full list
		return
	}
	var up []version.Key
	for _, k := range a.keys() {
		if a.entries[k].state == version.Up {
			up = append(up, k)
		}
	}
	parts := max(1, (len(up)+maxKeys-1)/maxKeys)
	if parts > maxParts {
		return
	}
	for part := range parts {
		m := a.message(fullList)
		m.part, m.parts, m.keys = part, parts, up[part*maxKeys:min(len(up), (part+1)*maxKeys)]
		a.send(to, m)
	}
}

// since returns the withdrawals in force here that are newer than a version: the own
// source's, and those that peers reported beyond it.
func (a *Agent) since(base version.List) []withdrawal {
	var result []withdrawal
	for _, w := range a.ownLog {
		if w.list.CompareGeneration(base) == version.Newer {
			result = append(result, w)
		}
	}
	if a.ownSourceFresh() {
		return result
	}
	for _, k := range a.pendingKeys() {
		if report := a.pending[k]; report.enforced && report.list.CompareGeneration(base) == version.Newer {
			w := report.withdrawal
			w.relayed = true
			result = append(result, w)
		}
	}
	return result
}

// collect adds a part of an answer and reports whether the answer is complete.
func (p *peer) collect(msg *message, applicable bool) bool {
	answer := &p.parts
	if answer.kind != msg.kind || answer.to != msg.applied || answer.since != msg.since || answer.total != msg.parts {
		*answer = assembly{kind: msg.kind, to: msg.applied, since: msg.since, total: msg.parts, applicable: true}
	}
	if bit := uint64(1) << msg.part; answer.received&bit == 0 {
		answer.received |= bit
		answer.applicable = answer.applicable && applicable
		answer.keys = append(answer.keys, msg.keys...)
	}
	return bits.OnesCount64(answer.received) == answer.total
}

// handleWithdrawals processes withdrawals that a peer reports.
func (a *Agent) handleWithdrawals(from int, sender *peer, msg *message) {
	changed, applicable := false, true
	for _, w := range msg.withdrawals {
		enforced, inForce := a.applyWithdrawal(from, sender, w)
		changed, applicable = changed || enforced, applicable && inForce
	}
	if sender.collect(msg, applicable) {
		if sender.parts.applicable && msg.since.Epoch == a.applied.Epoch && msg.since.CompareGeneration(a.applied) != version.Newer {
			a.advanceApplied(sender, msg.applied)
		}
		sender.parts = assembly{}
	}
	if changed {
		a.emit(EligibilityChanged{})
	}
}

// handleFullList processes the keys of the servers that are up in a peer's list.
// Servers of an older own list that are missing there have been withdrawn.
func (a *Agent) handleFullList(from int, sender *peer, msg *message) {
	if msg.applied.CompareGeneration(a.vector.List) != version.Newer || !sender.collect(msg, true) {
		return
	}
	up := map[version.Key]bool{}
	for _, k := range sender.parts.keys {
		up[k] = true
	}
	sender.parts = assembly{}
	changed, applicable := false, true
	for _, k := range a.keys() {
		if a.entries[k].state == version.Up && !up[k] {
			enforced, inForce := a.applyWithdrawal(from, sender, withdrawal{key: k, state: version.Draining, list: msg.applied})
			changed, applicable = changed || enforced, applicable && inForce
		}
	}
	if applicable {
		a.advanceApplied(sender, msg.applied)
	}
	if changed {
		a.emit(EligibilityChanged{})
	}
}

// advanceApplied records that all withdrawals up to a version are in force here, if
// enough peers have that version. Otherwise a single peer with a huge version could keep
// this process from querying the others.
func (a *Agent) advanceApplied(sender *peer, to version.List) {
	sender.queryWait = 0
	if to.CompareGeneration(a.applied) != version.Newer || a.countAtLeast(to) < a.quorum() {
		return
	}
	to.Digest = 0
	a.applied = to
	a.recorder.RecordApplied(to)
}

// countAtLeast counts the live peers that apply a version or a newer one.
func (a *Agent) countAtLeast(to version.List) int {
	n := 0
	for i := range a.peers {
		if p := &a.peers[i]; p.lastHeard > 0 && a.now-p.lastHeard <= peerTimeout && p.applied.CompareGeneration(to) != version.Older {
			n++
		}
	}
	return n
}

// applyWithdrawal processes one withdrawal that a peer reports. It is enforced at once
// unless the own source has reached that version, within limits on how much of the list
// peers may withdraw; the limit for a single peer is lower than for several that agree.
// inForce reports whether the withdrawal is in force here or superseded by the own source.
func (a *Agent) applyWithdrawal(from int, sender *peer, received withdrawal) (enforced, inForce bool) {
	if a.settings.ObserveOnly {
		return false, false
	}
	if received.list.CompareGeneration(a.vector.List) != version.Newer {
		return false, true // the own source takes precedence
	}
	report := a.pending[received.key]
	if report == nil {
		if len(a.pending) >= maxPending {
			a.counts.Dropped++
			return false, false
		}
		report = &pending{withdrawal: received, firstReporter: from, receivedAt: a.now}
		a.pending[received.key] = report
	}
	if received.list.CompareGeneration(report.list) == version.Newer {
		report.list, report.state = received.list, max(report.state, received.state)
	}
	if reporter := reporter(from, received); !slices.Contains(report.reporters, reporter) && len(report.reporters) < maxReporters && a.now >= sender.distrustedUntil {
		report.reporters = append(report.reporters, reporter)
	}
	server, known := a.entries[received.key]
	if report.enforced || !known || server.state != version.Up {
		return false, true
	}
	if !a.withinLimits(report) {
		a.counts.OverLimit++
		a.recorder.RecordRefusal(a.now, server.name, received.list, from)
		return false, false
	}
	report.enforced = true
	a.counts.Applied++
	a.recorder.RecordWithdrawal(a.now, server.name, received.state, received.list, from)
	return true, true
}

// reporter returns the peer that a report counts for: all relayed reports count as one.
func reporter(from int, w withdrawal) int {
	if w.relayed {
		return -1
	}
	return from
}

// independentReporters counts the peers that have the withdrawal from their own
// sources. Relayed reports count as one, and only if there is no other.
func (p *pending) independentReporters() int {
	n := len(p.reporters)
	if n > 1 && slices.Contains(p.reporters, -1) {
		n--
	}
	return n
}

// withinLimits reports whether a withdrawal may be enforced, given how much of the list
// peers have already withdrawn.
func (a *Agent) withinLimits(candidate *pending) bool {
	singleReporter, total := 0, 0
	for k, report := range a.pending {
		if server, known := a.entries[k]; !report.enforced || !known || server.state != version.Up {
			continue
		}
		if total++; report.independentReporters() < 2 {
			singleReporter++
		}
	}
	limit := func(fraction float64) int { return max(1, int(fraction*float64(a.upCount))) }
	switch {
	case candidate.independentReporters() == 0:
		return false
	case candidate.independentReporters() == 1 && singleReporter >= limit(a.settings.OnePeerFraction):
		return false
	}
	return total < limit(a.settings.AllPeersFraction)
}

// expireUnconfirmed drops reports that the own source, although live since, has not
// confirmed in time, and ignores their reporters for a while.
func (a *Agent) expireUnconfirmed() {
	changed := false
	for _, serverKey := range a.pendingKeys() {
		report := a.pending[serverKey]
		if a.retracted(report) {
			a.drop(serverKey, report)
			changed = changed || report.enforced
			for _, reporter := range report.reporters { // limits a peer that repeats it
				if reporter >= 0 {
					a.peers[reporter].distrustedUntil = a.now + distrustTime/4
				}
			}
			continue
		}
		wait := a.settings.UnconfirmedTimeout
		if report.independentReporters() > 1 { // several sources agree: the own one may be late
			wait *= 4
		}
		if a.confirmed < report.receivedAt+wait || a.now-a.confirmed > a.settings.NarrowAfter {
			continue
		}
		a.drop(serverKey, report)
		a.counts.Reverted++
		for _, reporter := range report.reporters {
			if reporter >= 0 && report.independentReporters() == 1 {
				a.peers[reporter].distrustedUntil = a.now + distrustTime
			}
		}
		if report.enforced {
			changed = true
			a.logf("process %d withdrew %s, which the own source has not confirmed in %v: using it again", report.firstReporter, a.entries[serverKey].name, wait)
		}
	}
	if changed {
		a.emit(EligibilityChanged{})
	}
}

// drop removes a report that the own source does not confirm, and resets the applied
// version to the own list's: withdrawals beyond it must be received again.
func (a *Agent) drop(serverKey version.Key, report *pending) {
	delete(a.pending, serverKey)
	if a.applied.CompareGeneration(a.vector.List) == version.Newer {
		a.applied, a.peersConfirmed = a.vector.List, a.confirmed
	}
	if x, known := a.entries[serverKey]; known && report.enforced {
		a.recorder.RecordRestored(a.now, x.name, a.vector.List)
	}
}

// retracted reports whether a report no longer has a supporter: the own source has
// answered since, and all reporters now have the own source's list.
func (a *Agent) retracted(report *pending) bool {
	if a.confirmed <= report.receivedAt || !a.ownSourceFresh() {
		return false
	}
	own := a.vector.List
	hasOwnList := func(number int) bool {
		p := &a.peers[number]
		return p.lastHeard > report.receivedAt && p.vector.List.Generation == own.Generation && p.vector.List.Digest == own.Digest
	}
	for _, number := range report.reporters {
		if number >= 0 && !hasOwnList(number) {
			return false
		}
	}
	return hasOwnList(report.firstReporter)
}
