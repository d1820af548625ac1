package node

import (
	"context"
	"errors"
	"time"

	"ivylock/balance"
	"ivylock/handoff"
	"ivylock/internal/backend"
	"ivylock/internal/discovery"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
)

// errBusy is returned when the loop does not accept a command or query in time.
var errBusy = errors.New("the node did not get to it in time; nothing was changed")

// command is a maintenance command for one server.
type command struct {
	id            string
	inMaintenance bool
	adopt         *handoff.State // instead of a command: the state of a newer process
	onlyIfNewer   bool           // adopt it only if its process is newer than this one by then
	result        chan commandResult
}

// commandResult is the outcome of a command.
type commandResult struct {
	state *handoff.State // after the command
	err   error
}

func classNames(s balance.Settings) []string {
	names := make([]string, 0, len(s.Classes))
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// Ready reports whether the process accepts clients: it is running and its state is
// current.
func (n *Node) Ready() bool { return n.ready.Load() && (n.fleet == nil || !n.fleet.notReady.Load()) }

// MetricsText returns the metrics as text.
func (n *Node) MetricsText() []byte { return n.metrics.Text() }

// Metrics returns the metrics, to which front ends add theirs.
func (n *Node) Metrics() *figures.Set { return n.metrics }

// History returns the latest events, to which front ends add theirs.
func (n *Node) History() *eventlog.Log { return n.history }

// Events returns the latest events as text, or only those of one request if its ID is
// given.
func (n *Node) Events(request string) []byte { return n.history.Text(request) }

// BackendPool returns the pool of connections to servers.
func (n *Node) BackendPool() *backend.Pool { return n.pool }

// SetMaintenance takes a server into or out of maintenance. When it returns nil, no new request
// is written to a server in maintenance, and the change is stored for the next process.
// Commands are handled before queued requests.
func (n *Node) SetMaintenance(ctx context.Context, id string, inMaintenance bool) error {
	if n.stateStore != nil {
		if err := n.stateStore.CheckOwner(); err != nil {
			return err
		}
	}
	cmd := command{id: id, inMaintenance: inMaintenance}
	// In force at once: the store may have to wait for a disk.
	if result := n.submitCommand(ctx, cmd); result.err != nil || n.stateStore == nil {
		return result.err
	}
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.storeCommand(ctx, cmd)
}

// storeCommand repeats a command, which changes nothing if it is in force, and stores it.
// Guards against the loss of a command that came between the Store that made this process the
// owner again and the adoption of the records found there. It must be called with storeMu held.
func (n *Node) storeCommand(ctx context.Context, cmd command) error {
	for {
		result := n.submitCommand(ctx, cmd)
		if result.err != nil {
			return result.err
		}
		newer, err := n.storeIfNewer(result.state)
		if newer == nil {
			return err
		}
		// A newer process owns the node: its records take precedence. If it has exited,
		// repeat the command on top of them.
		if result := n.submitCommand(ctx, command{adopt: newer}); result.err != nil || err != nil {
			return errors.Join(err, result.err)
		}
	}
}

// submitCommand has the loop apply a command. ctx limits only the wait for the loop to
// accept it.
func (n *Node) submitCommand(ctx context.Context, cmd command) commandResult {
	cmd.result = make(chan commandResult, 1)
	select {
	case n.commands <- cmd:
		return <-cmd.result
	case <-n.done:
	case <-ctx.Done():
	}
	return commandResult{err: errBusy}
}

// applyCommand applies a command of SetMaintenance. It must be called by the loop.
func (n *Node) applyCommand(cmd command) {
	var result commandResult
	if cmd.adopt != nil {
		if !cmd.onlyIfNewer || n.stateStore.IsNewer(cmd.adopt) {
			n.adoptMaintenance(cmd.adopt)
		}
		cmd.result <- result
		return
	}
	if cmd.inMaintenance {
		result.err = n.maintenance.Enter(cmd.id, n.now(), n.serverStart(n.list.Entries()[cmd.id].Payload, n.list.ReceivedAt()))
	} else {
		result.err = n.maintenance.Exit(cmd.id, n.now())
	}
	if result.err == nil {
		n.reportMaintenanceToFleet()
		n.reapplyList()
		result.state = n.handoffState()
	}
	cmd.result <- result
}

// reapplyList passes the whole list to the module again, as a cached list since it is not a
// new response of discovery.
func (n *Node) reapplyList() {
	entries := make([]discovery.Entry, 0, len(n.list.Entries()))
	for _, e := range n.list.Entries() {
		entries = append(entries, e.Payload)
	}
	n.applyEntries(balance.ListCached, entries, n.list.ReceivedAt())
}

// publish updates the metrics that only the loop can compute, and queues the state for the
// next process.
func (n *Node) publish() {
	avoided := 0
	for name := range n.list.Entries() {
		if n.maintenance.InMaintenance(name) || n.list.ExcludedByPeers(name) || n.module.Ejected(n.serverIDs[name]) || n.excludedByFleet(name, n.servers[n.serverIDs[name]]) {
			avoided++
		}
	}
	n.publishFleetMetrics()
	n.metrics.DatagramsIgnored.Store(n.module.DiscardedDatagrams())
	n.metrics.RegistryEntries.Store(int64(len(n.list.Entries())))
	n.metrics.OutOfRotation.Store(int64(avoided))
	if n.stateStore == nil || time.Since(n.stateQueuedAt) < saveInterval {
		return
	}
	n.stateQueuedAt = time.Now()
	select {
	case <-n.pendingState: // discard an older state that has not been written yet
	default:
	}
	n.pendingState <- n.handoffState()
}
