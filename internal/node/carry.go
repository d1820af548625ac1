package node

import (
	"errors"
	"log"
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/handoff"
	"ivylock/internal/discovery"
	"ivylock/internal/handover"
	"ivylock/maintenance"
)

// keepInterval is how old what a next process learns may be; what the list or
// an operator says is kept at once.
const keepInterval = 500 * time.Millisecond

// newsInterval is how late a process hears what another one of its node was
// told: well under the grace for drains.
const newsInterval = 50 * time.Millisecond

// StateStore keeps what the process that takes over from this one must know.
// internal/handover has one.
type StateStore interface {
	// Store keeps a state; handover.SharedDir says what the results mean.
	Store(*handoff.State) (newer *handoff.State, err error)
	// CheckOwner tells whether this process speaks for the node.
	CheckOwner() error
	// PollNewer gives what another process has written since the last call, or nil.
	PollNewer() *handoff.State
}

// TakeOver begins from what an earlier process of this node left, if found is
// not nil, and keeps with k what the next one must know. It comes before Run.
func (n *Node) TakeOver(found *handoff.State, k StateStore) {
	n.keeper, n.keep = k, make(chan *handoff.State, 1)
	words, measured := handoff.UsableParts(found, n.cfg.Name, n.now())
	if !words {
		return
	}
	n.byHand = maintenance.New(handoff.MaintenanceRecords(found, n.now()))
	if n.fleet != nil && found.Record != nil {
		n.fleet.agent.Recorder().AddPredecessor(*found.Record)
	}
	if len(found.List) > 0 && found.Generation >= n.cfg.InitialList.Generation {
		n.cfg.InitialList = listOf(found)
		n.list.ApplySiblingList(found.Generation, found.ListReceivedAt, entriesOf(n.cfg.InitialList))
	}
	if !measured {
		return
	}
	servers := map[balance.ServerID]balance.LearnedServer{}
	for _, l := range found.Servers {
		servers[n.idOf(l.InstanceID)] = l.LearnedServer
	}
	n.module.Restore(n.now(), found.Fleet, servers)
}

// listOf is the list in a state.
func listOf(s *handoff.State) discovery.List {
	list := discovery.List{Generation: s.Generation, Full: true}
	for _, e := range s.List {
		list.Instances = append(list.Instances, discovery.Entry(e))
	}
	return list
}

// state is what the next process must know, as of now.
func (n *Node) state() *handoff.State {
	s := &handoff.State{WrittenAt: n.now(), Generation: n.list.Generation(), ListReceivedAt: n.list.ReceivedAt(), Maintenance: n.byHand.Records()}
	for _, e := range n.list.Entries() {
		s.List = append(s.List, handoff.Entry(e.Payload))
	}
	if n.fleet != nil {
		rec := n.fleet.member.Record(n.now())
		s.Record = &rec
	}
	fleet, servers := n.module.Learned()
	s.Fleet = fleet
	for id, l := range servers {
		if b := n.servers[id]; b != nil && !b.Gone {
			s.Servers = append(s.Servers, handoff.ServerMeasurements{InstanceID: b.Name, LearnedServer: l})
		}
	}
	return s
}

// keepAll writes what the loop wants kept, until the loop has ended.
func (n *Node) keepAll() {
	news := time.NewTicker(newsInterval)
	defer news.Stop()
	for {
		select {
		case <-news.C:
			if s := n.keeper.PollNewer(); s != nil {
				n.post(overheard{s})
			}
		case s := <-n.keep:
			if err := n.store(s); err != nil && !errors.Is(err, handover.ErrTakenOver) {
				log.Printf("not kept for a next process: %v", err)
			}
		case <-n.done:
			return
		}
	}
}

// store keeps a state. Where a newer process has spoken for the node its words
// hold here too.
func (n *Node) store(s *handoff.State) error {
	newer, err := n.keepNow(s)
	if newer != nil {
		n.post(adopt{newer})
	}
	return err
}

// keepNow keeps a state, unless a later one is kept already: guards against a
// word that was answered yes and is then overwritten by what was queued before.
func (n *Node) keepNow(s *handoff.State) (newer *handoff.State, err error) {
	n.keptMu.Lock()
	defer n.keptMu.Unlock()
	if s.WrittenAt < n.kept {
		return nil, nil
	}
	if newer, err = n.keeper.Store(s); newer == nil && err == nil {
		n.kept = s.WrittenAt
	}
	return newer, err
}

// adoptWords takes over the words that operators gave to a newer process.
func (n *Node) adoptWords(s *handoff.State) {
	if slices.Equal(s.Maintenance, n.byHand.Records()) {
		return // guards against a busy loop: what changes the list is kept at once, and so finds the newer state again
	}
	n.byHand = maintenance.New(s.Maintenance)
	for name := range n.list.Entries() {
		n.byHand.SetListed(name, true)
	}
	n.reapplyList()
}

// takeOthersList takes a list that another process of the node was told, if it goes
// before this one's own: guards against a drain that was told to the old
// process after the new one had read its state, while discovery is silent.
func (n *Node) takeOthersList(s *handoff.State) {
	if handoff.IsNewerList(handoff.State{Generation: n.list.Generation(), ListReceivedAt: n.list.ReceivedAt()}, *s) {
		n.takeNews(discovery.Update{Kind: balance.ListCached, List: listOf(s)})
		n.list.ApplySiblingList(s.Generation, s.ListReceivedAt, entriesOf(listOf(s)))
	}
}
