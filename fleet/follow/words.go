package follow

import (
	"math/bits"
	"slices"

	"ivylock/fleet/version"
)

// push tells of withdrawals at once, and once more a little later.
func (a *Agent) push(since version.List, ws []word) {
	a.tellWords(a.some(a.set.PushFanout), since, ws)
	if len(a.repeats) < mostLog {
		a.repeats = append(a.repeats, repeat{a.now + repeatIn, since})
	}
}

// tellWords sends words, which are all there are between a version and what this
// process acts on, to some processes.
func (a *Agent) tellWords(to []int, since version.List, ws []word) {
	parts := (len(ws) + mostWords - 1) / mostWords
	if parts > mostParts {
		return // the receivers ask, and get the whole list
	}
	for _, p := range to {
		for part := range max(1, parts) {
			m := a.message(words)
			m.since, m.part, m.parts = since, part, max(1, parts)
			for _, w := range ws[part*mostWords : min(len(ws), (part+1)*mostWords)] {
				if w.list.Epoch == m.acts.Epoch && w.list.CompareGeneration(m.acts) != version.Newer {
					m.words = append(m.words, w)
				}
			}
			a.send(p, m)
		}
	}
}

// greet says hello to a process, with the newest withdrawals where this process can
// say that they are all there are since a version: so one that is heard by nobody
// keeps up too.
func (a *Agent) greet(to int) {
	if !a.listed || a.floor.Epoch != a.speaksFor().Epoch {
		a.send(to, a.message(hello))
		return
	}
	since, ws := a.floor, a.since(a.floor)
	slices.SortStableFunc(ws, func(x, y word) int { return int(int32(x.list.Generation - y.list.Generation)) })
	if n := len(ws) - greetWords; n > 0 {
		since, ws = ws[n-1].list, ws[n:]
	}
	a.tellWords([]int{to}, since, ws)
}

// seek asks a process that acts on newer withdrawals for what is missing here.
func (a *Agent) seek() {
	if a.now < a.nextAsk || !a.listed || a.set.ObserveOnly {
		return
	}
	best := -1
	for i := range a.peers {
		p := &a.peers[i]
		if p.heard == 0 || a.now-p.heard > hearWindow || p.acts.CompareGeneration(a.acts) != version.Newer || a.now < p.askedAt+p.askWait {
			continue
		}
		if best < 0 || p.heard > a.peers[best].heard {
			best = i
		}
	}
	if best < 0 {
		return
	}
	p := &a.peers[best]
	p.askedAt, p.askWait = a.now, min(askLast, max(askFirst, 2*p.askWait))
	a.nextAsk = a.now + askGap
	m := a.message(ask)
	m.since = a.acts
	a.send(best, m)
}

// answer tells a process what it has missed: the withdrawals since a version, one
// by one, or, if they are not all known here any more, which servers are up.
func (a *Agent) answer(to int, p *peer, since version.List) {
	if a.now-p.answeredAt < answerGap || !a.listed || p.answeredAt > a.now {
		return
	}
	p.answeredAt = a.now
	acts := a.speaksFor()
	if since.CompareGeneration(acts) != version.Older {
		a.send(to, a.message(hello)) // nothing is missing; it hears how fresh this is
		return
	}
	if since.Epoch == acts.Epoch && since.CompareGeneration(a.floor) != version.Older {
		a.tellWords([]int{to}, since, a.since(since))
		return
	}
	if acts.CompareGeneration(a.vector.List) == version.Newer {
		a.send(to, a.message(hello)) // what this process was told of others is not all of a list
		return
	}
	var up []version.Key
	for _, k := range a.keys() {
		if a.entries[k].state == version.Up {
			up = append(up, k)
		}
	}
	parts := max(1, (len(up)+mostKeys-1)/mostKeys)
	if parts > mostParts {
		return
	}
	for part := range parts {
		m := a.message(whole)
		m.part, m.parts, m.keys = part, parts, up[part*mostKeys:min(len(up), (part+1)*mostKeys)]
		a.send(to, m)
	}
}

// since lists the withdrawals in force here that are newer than a version: the
// own source's, and what neighbours said beyond it.
func (a *Agent) since(l version.List) []word {
	var out []word
	for _, w := range a.log {
		if w.list.CompareGeneration(l) == version.Newer {
			out = append(out, w)
		}
	}
	if a.ownFresh() {
		return out
	}
	for _, k := range a.heldKeys() {
		if h := a.held[k]; h.acted && h.list.CompareGeneration(l) == version.Newer {
			w := h.word
			w.hearsay = true
			out = append(out, w)
		}
	}
	return out
}

// collect takes a part of an answer and tells whether all are there.
func (p *peer) collect(m *message, ok bool) bool {
	s := &p.parts
	if s.kind != m.kind || s.to != m.acts || s.since != m.since || s.total != m.parts {
		*s = assembly{kind: m.kind, to: m.acts, since: m.since, total: m.parts, ok: true}
	}
	if bit := uint64(1) << m.part; s.got&bit == 0 {
		s.got |= bit
		s.ok = s.ok && ok
		s.keys = append(s.keys, m.keys...)
	}
	return bits.OnesCount64(s.got) == s.total
}

// takeWords takes withdrawals that a neighbour tells of.
func (a *Agent) takeWords(from int, p *peer, m *message) {
	changed, ok := false, true
	for _, w := range m.words {
		acted, sound := a.take(from, p, w)
		changed, ok = changed || acted, ok && sound
	}
	if p.collect(m, ok) {
		if p.parts.ok && m.since.Epoch == a.acts.Epoch && m.since.CompareGeneration(a.acts) != version.Newer {
			a.reached(p, m.acts)
		}
		p.parts = assembly{}
	}
	if changed {
		a.do(EligibilityChanged{})
	}
}

// takeWhole takes which servers a neighbour's list has up. What this one's has
// besides, as of an older version, has been withdrawn.
func (a *Agent) takeWhole(from int, p *peer, m *message) {
	if m.acts.CompareGeneration(a.vector.List) != version.Newer || !p.collect(m, true) {
		return
	}
	up := map[version.Key]bool{}
	for _, k := range p.parts.keys {
		up[k] = true
	}
	p.parts = assembly{}
	changed, ok := false, true
	for _, k := range a.keys() {
		if a.entries[k].state == version.Up && !up[k] {
			acted, sound := a.take(from, p, word{key: k, state: version.Draining, list: m.acts})
			changed, ok = changed || acted, ok && sound
		}
	}
	if ok {
		a.reached(p, m.acts)
	}
	if changed {
		a.do(EligibilityChanged{})
	}
}

// reached takes that all withdrawals up to a version are in force here by now, if
// enough neighbours have that version: one that claims a huge one must not keep
// this process from asking the others.
func (a *Agent) reached(p *peer, to version.List) {
	p.askWait = 0
	if to.CompareGeneration(a.acts) != version.Newer || a.backing(to) < a.quorum() {
		return
	}
	to.Digest = 0
	a.acts = to
	a.rec.RecordApplied(to)
}

// backing counts the processes heard of late that act on a version or a newer one.
func (a *Agent) backing(to version.List) int {
	n := 0
	for i := range a.peers {
		if p := &a.peers[i]; p.heard > 0 && a.now-p.heard <= hearWindow && p.acts.CompareGeneration(to) != version.Older {
			n++
		}
	}
	return n
}

// take takes one neighbour's word that a server wants nothing new. It is acted on
// at once if the own source has not spoken of a later version, within bounds on
// how much of the list neighbours can take out: one alone a smaller part than
// several that agree. sound says that nothing stands against having it in force.
func (a *Agent) take(from int, p *peer, w word) (acted, sound bool) {
	if a.set.ObserveOnly {
		return false, false
	}
	if w.list.CompareGeneration(a.vector.List) != version.Newer {
		return false, true // the own source's word holds
	}
	h := a.held[w.key]
	if h == nil {
		if len(a.held) >= mostHeld {
			a.counts.Dropped++
			return false, false
		}
		h = &held{word: w, via: from, at: a.now}
		a.held[w.key] = h
	}
	if w.list.CompareGeneration(h.list) == version.Newer {
		h.list, h.state = w.list, max(h.state, w.state)
	}
	if teller := teller(from, w); !slices.Contains(h.tellers, teller) && len(h.tellers) < mostTellers && a.now >= p.doubtUntil {
		h.tellers = append(h.tellers, teller)
	}
	x, known := a.entries[w.key]
	if h.acted || !known || x.state != version.Up {
		return false, true
	}
	if !a.mayTake(h) {
		a.counts.OverLimit++
		a.rec.RecordRefusal(a.now, x.name, w.list, from)
		return false, false
	}
	h.acted = true
	a.counts.Applied++
	a.rec.RecordWithdrawal(a.now, x.name, w.state, w.list, from)
	return true, true
}

// teller is whom a word counts for: hearsay, whoever passes it on, for one.
func teller(from int, w word) int {
	if w.hearsay {
		return -1
	}
	return from
}

// backers is how many processes have a word of their own sources; hearsay, whoever
// passes it on, is worth one where nobody else tells it.
func (h *held) backers() int {
	n := len(h.tellers)
	if n > 1 && slices.Contains(h.tellers, -1) {
		n--
	}
	return n
}

// mayTake tells whether a word may take its server out, by how much of the list
// neighbours have taken out already.
func (a *Agent) mayTake(h *held) bool {
	one, all := 0, 0
	for k, o := range a.held {
		if x, known := a.entries[k]; !o.acted || !known || x.state != version.Up {
			continue
		}
		if all++; o.backers() < 2 {
			one++
		}
	}
	limit := func(part float64) int { return max(1, int(part*float64(a.up))) }
	switch {
	case h.backers() == 0:
		return false
	case h.backers() == 1 && one >= limit(a.set.OnePeerFraction):
		return false
	}
	return all < limit(a.set.AllPeersFraction)
}

// doubt drops words that the own source, which has spoken since, does not bear out
// for so long that it would have, and believes their tellers no more by
// themselves.
func (a *Agent) doubt() {
	changed := false
	for _, k := range a.heldKeys() {
		h := a.held[k]
		if a.takenBack(h) {
			a.drop(k, h)
			changed = changed || h.acted
			for _, t := range h.tellers { // guards against one that tells it over and over
				if t >= 0 {
					a.peers[t].doubtUntil = a.now + doubtTime/4
				}
			}
			continue
		}
		wait := a.set.UnconfirmedTimeout
		if h.backers() > 1 { // several sources against one: it may be the own one that is late
			wait *= 4
		}
		if a.confirmed < h.at+wait || a.now-a.confirmed > a.set.NarrowAfter {
			continue
		}
		a.drop(k, h)
		a.counts.Reverted++
		for _, t := range h.tellers {
			if t >= 0 && h.backers() == 1 {
				a.peers[t].doubtUntil = a.now + doubtTime
			}
		}
		if h.acted {
			changed = true
			a.logf("process %d withdrew %s and the own source does not for %v: it is used again", h.via, a.entries[k].name, wait)
		}
	}
	if changed {
		a.do(EligibilityChanged{})
	}
}

// drop forgets a word that the own source does not bear out: all that is beyond it is
// heard anew.
func (a *Agent) drop(k version.Key, h *held) {
	delete(a.held, k)
	if a.acts.CompareGeneration(a.vector.List) == version.Newer {
		a.acts, a.vouched = a.vector.List, a.confirmed
	}
	if x, known := a.entries[k]; known && h.acted {
		a.rec.RecordRestored(a.now, x.name, a.vector.List)
	}
}

// takenBack tells whether a word has nobody behind it any more: the own source has
// spoken since, and whoever told it now has the very list that the own source gives.
func (a *Agent) takenBack(h *held) bool {
	if a.confirmed <= h.at || !a.ownFresh() {
		return false
	}
	own := a.vector.List
	same := func(t int) bool {
		p := &a.peers[t]
		return p.heard > h.at && p.vector.List.Generation == own.Generation && p.vector.List.Digest == own.Digest
	}
	for _, t := range h.tellers {
		if t >= 0 && !same(t) {
			return false
		}
	}
	return same(h.via)
}
