package node

import (
	"context"
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

// saveInterval is the period of storing the state for the next process. Changes by
// discovery or operators are stored at once.
const saveInterval = 500 * time.Millisecond

// siblingPollInterval limits the delay after which a process sees the list and the
// maintenance records of another process of its node. It is well below the grace for drains.
const siblingPollInterval = 50 * time.Millisecond

// StateStore stores the state for the process that takes over from this one.
// internal/handover implements it.
type StateStore interface {
	// Store writes a state; see handover.SharedDir for the results.
	Store(*handoff.State) (newer *handoff.State, err error)
	// CheckOwner returns an error if another process owns the node's state.
	CheckOwner() error
	// PollSiblings returns what other processes have written since the last call. It does
	// not wait for Store.
	PollSiblings() handoff.SiblingStates
	// IsNewer reports whether a state was written by a newer process than this one. It does
	// not block.
	IsNewer(*handoff.State) bool
}

// TakeOver restores the state that an earlier process of this node left, if found is not
// nil, and stores this process's state in the given store. It must be called before Run.
func (n *Node) TakeOver(found *handoff.State, store StateStore) {
	n.stateStore, n.pendingState = store, make(chan *handoff.State, 1)
	usable, measured := handoff.UsableParts(found, n.cfg.Name, n.now())
	if !usable {
		return
	}
	n.maintenance = maintenance.New(handoff.MaintenanceRecords(found, n.now()))
	if n.fleet != nil && found.Record != nil {
		n.fleet.agent.Recorder().AddPredecessor(*found.Record)
	}
	if len(found.List) > 0 && found.Generation >= n.cfg.InitialList.Generation {
		n.cfg.InitialList = discoveryList(found)
		n.list.ApplySiblingList(found.Generation, found.ListReceivedAt, membershipEntries(n.cfg.InitialList))
	}
	if !measured {
		return
	}
	servers := map[balance.ServerID]balance.LearnedServer{}
	for _, learned := range found.Servers {
		servers[n.serverID(learned.InstanceID)] = learned.LearnedServer
	}
	n.module.Restore(n.now(), found.Fleet, servers)
}

// discoveryList returns the server list in a state.
func discoveryList(state *handoff.State) discovery.List {
	list := discovery.List{Generation: state.Generation, Full: true}
	for _, e := range state.List {
		list.Instances = append(list.Instances, discovery.Entry(e))
	}
	return list
}

// handoffState returns the current state for the next process.
func (n *Node) handoffState() *handoff.State {
	state := &handoff.State{WrittenAt: n.now(), Generation: n.list.Generation(), ListReceivedAt: n.list.ReceivedAt(), Maintenance: n.maintenance.Records()}
	for _, e := range n.list.Entries() {
		state.List = append(state.List, handoff.Entry(e.Payload))
	}
	if n.fleet != nil {
		rec := n.fleet.member.Record(n.now())
		state.Record = &rec
	}
	fleet, servers := n.module.Learned()
	state.Fleet = fleet
	for id, learned := range servers {
		if server := n.servers[id]; server != nil && !server.Removed {
			state.Servers = append(state.Servers, handoff.ServerMeasurements{InstanceID: server.Name, LearnedServer: learned})
		}
	}
	return state
}

// runStateStore writes the queued states until the loop has ended.
func (n *Node) runStateStore() {
	for {
		select {
		case state := <-n.pendingState:
			if err := n.store(state); err != nil && !errors.Is(err, handover.ErrTakenOver) {
				log.Printf("not kept for a next process: %v", err)
			}
		case <-n.done:
			return
		}
	}
}

// runSiblingPoll applies what other processes of the node write, until the loop has ended. It
// is separate from runStateStore, whose disk operations may take longer than the grace for
// drains.
func (n *Node) runSiblingPoll() {
	poll := time.NewTicker(siblingPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			n.pollSiblings()
		case <-n.done:
			return
		}
	}
}

// pollSiblings applies what other processes of the node have written since the last call.
// Maintenance records are applied like an operator's command, before queued events: a server
// that the newer process took out of service gets nothing new from this one either.
func (n *Node) pollSiblings() {
	siblings := n.stateStore.PollSiblings()
	if siblings.Owner != nil && n.stateStore.IsNewer(siblings.Owner) {
		n.submitCommand(context.Background(), command{adopt: siblings.Owner, onlyIfNewer: true})
	}
	if siblings.List != nil {
		n.post(siblingState{siblings.List})
	}
}

// store writes a state. If a newer process owns the node, its maintenance records are
// adopted, before any other command is accepted.
func (n *Node) store(state *handoff.State) error {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	newer, err := n.storeIfNewer(state)
	if newer != nil {
		n.submitCommand(context.Background(), command{adopt: newer})
	}
	return err
}

// storeIfNewer writes a state unless a later one is stored already, so that an older queued
// state cannot overwrite an acknowledged command. It must be called with storeMu held.
func (n *Node) storeIfNewer(state *handoff.State) (newer *handoff.State, err error) {
	if state.WrittenAt < n.storedAt {
		return nil, nil
	}
	if newer, err = n.stateStore.Store(state); newer == nil && err == nil {
		n.storedAt = state.WrittenAt
	}
	return newer, err
}

// adoptMaintenance replaces the maintenance records by those of a newer process.
func (n *Node) adoptMaintenance(state *handoff.State) {
	if slices.Equal(state.Maintenance, n.maintenance.Records()) {
		// Prevents a busy loop: reapplying the list stores the state at once, which finds
		// the newer one again.
		return
	}
	n.maintenance = maintenance.New(state.Maintenance)
	for name := range n.list.Entries() {
		n.maintenance.SetListed(name, true)
	}
	n.reapplyList()
}

// adoptSiblingList applies the list of another process of the node if it is newer than this
// one's. It covers a drain that the old process received after the new one had read its
// state, while discovery is unreachable.
func (n *Node) adoptSiblingList(state *handoff.State) {
	if handoff.IsNewerList(handoff.State{Generation: n.list.Generation(), ListReceivedAt: n.list.ReceivedAt()}, *state) {
		n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: discoveryList(state)})
		n.list.ApplySiblingList(state.Generation, state.ListReceivedAt, membershipEntries(discoveryList(state)))
	}
}
