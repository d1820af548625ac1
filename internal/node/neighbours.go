package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/membership"
)

// What nodes tell one another of the list: a node that discovery did not answer for a while tells of the
// servers that left meanwhile, and one that discovery does not answer asks others what it missed.

const (
	questionEvery = membership.NotifiedAfter / 8 // a change is to be heard of well before it counts as told, though some datagrams are lost
	questionTo    = 2                            // nodes asked at once: some know no more themselves
	answerEvery   = questionEvery / 2            // to one node, at most
)

// sendWithdrawals tells the nodes that use them of servers that leave. It is asked before the module
// knows, which then has no users of theirs any more.
func (n *Node) sendWithdrawals(left []string) {
	if n.peers == nil || n.fleet != nil {
		return
	}
	keys := map[int]membership.Departures{}
	for _, name := range left {
		id := n.ids[name]
		for _, user := range n.module.NodesUsing(id) {
			keys[user] = append(keys[user], uint32(id))
		}
	}
	for user, of := range keys {
		n.sendLeft(user, of)
	}
}

func (n *Node) sendLeft(to int, keys membership.Departures) {
	for part := range slices.Chunk(keys, membership.MaxDepartures) {
		n.peers.send(balance.SendMessage{To: to, Data: membership.Encode(part)})
	}
}

// askNeighbours asks two other nodes for what this one missed, now and then while discovery is not heard.
func (n *Node) askNeighbours() {
	if n.peers == nil || n.fleet != nil || !n.list.SourceLost() || n.list.Generation() == 0 || time.Since(n.askedAt) < questionEvery {
		return
	}
	n.askedAt = time.Now()
	question := membership.Encode(membership.ChangesQuery{Generation: n.list.Generation()})
	others := len(n.peers.addrs) - 1
	for range min(questionTo, others) {
		to := rand.IntN(others)
		if to >= n.cfg.Settings.Self {
			to++
		}
		n.figures.QuestionsAsked.Add(1)
		n.peers.send(balance.SendMessage{To: to, Data: question})
	}
}

// takeDatagram takes what another node says or asks of the list.
func (n *Node) takeDatagram(from int, data []byte) {
	datagram, err := membership.Decode(data)
	if err != nil {
		n.figures.WordsMalformed.Add(1)
		return
	}
	switch d := datagram.(type) {
	case membership.Departures:
		n.takeWithdrawals(d)
	case membership.Restarts:
		n.takeRestarts(d)
	case membership.ChangesQuery:
		n.answerNeighbour(from, d)
	}
}

// takeWithdrawals takes a neighbour's word that servers leave.
func (n *Node) takeWithdrawals(keys membership.Departures) {
	var names []string
	for _, key := range keys {
		if b := n.servers[balance.ServerID(key)]; b != nil {
			names = append(names, b.Name)
		}
	}
	if n.list.ApplyPeerDepartures(n.now(), names) {
		n.takeWord()
	}
}

// takeRestarts takes a neighbour's word that servers were restarted.
func (n *Node) takeRestarts(servers membership.Restarts) {
	var restarted []membership.Change
	for _, r := range servers {
		if b := n.servers[balance.ServerID(r.Key)]; b != nil {
			restarted = append(restarted, membership.Change{Name: b.Name, StartedAt: r.StartedAt})
		}
	}
	if n.list.ApplyPeerRestarts(n.now(), restarted) {
		n.takeWord()
	}
}

// takeWord acts on a neighbour's word that holds.
func (n *Node) takeWord() {
	n.figures.WordsTaken.Add(1)
	n.reapplyList()
}

// checkWithdrawals looks whether the own source has said what neighbours did.
func (n *Node) checkWithdrawals() {
	doubt, changed := n.list.ReviewPeerReports(n.now())
	if doubt && n.source != nil {
		n.source.HedgeWatch()
	}
	if changed {
		n.takeWord()
	}
}

// answerNeighbour tells a node what it missed, if this one was told more; not more often than one asks.
func (n *Node) answerNeighbour(to int, question membership.ChangesQuery) {
	if n.peers == nil || to < 0 || time.Since(n.answeredAt[to]) < answerEvery {
		return
	}
	var left membership.Departures
	var restarted membership.Restarts
	for _, c := range n.list.ChangesSince(question.Generation) {
		id, known := n.ids[c.Name]
		if !known { // it has left, and is forgotten
			id = hashOf(c.Name)
		}
		if c.StartedAt == 0 {
			left = append(left, uint32(id))
		} else {
			restarted = append(restarted, membership.Restart{Key: uint32(id), StartedAt: c.StartedAt})
		}
	}
	if len(left) == 0 && len(restarted) == 0 {
		return
	}
	n.answeredAt[to] = time.Now()
	n.figures.QuestionsAnswered.Add(1)
	n.sendLeft(to, left)
	for part := range slices.Chunk(restarted, membership.MaxRestarts) {
		n.peers.send(balance.SendMessage{To: to, Data: membership.Encode(part)})
	}
}
