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

// errBusy says that the loop took no word in time.
var errBusy = errors.New("the node did not get to it in time; nothing was changed")

// word is what an operator says of one server.
type word struct {
	id     string
	out    bool
	adopt  *handoff.State // instead of a word: those of a newer process
	answer chan heard
}

// heard is what the loop made of a word.
type heard struct {
	state *handoff.State // after it
	err   error
}

func classNames(s balance.Settings) []string {
	names := make([]string, 0, len(s.Classes))
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// Ready tells whether this process takes clients: not before it runs, nor while
// it can't show that what it acts on is current.
func (n *Node) Ready() bool { return n.ready.Load() && (n.fleet == nil || !n.fleet.shut.Load()) }

// Figures gives the figures as text.
func (n *Node) Figures() []byte { return n.figures.Text() }

// Metrics gives the figures themselves, for fronts.
func (n *Node) Metrics() *figures.Set { return n.figures }

// History gives the latest events, for fronts to add theirs.
func (n *Node) History() *eventlog.Log { return n.history }

// Events words the latest events, those of one request if it is named.
func (n *Node) Events(request string) []byte { return n.history.Text(request) }

// BackendPool gives the pool of connections to servers.
func (n *Node) BackendPool() *backend.Pool { return n.pool }

// Maintain takes a server out of use by hand, or uses it again. Once it has
// returned nothing new is written to one that was taken out, and the process
// that takes over from this one knows. A word is heard before all requests
// that wait.
func (n *Node) Maintain(ctx context.Context, id string, out bool) error {
	if n.keeper != nil {
		if err := n.keeper.CheckOwner(); err != nil {
			return err
		}
	}
	w := word{id: id, out: out}
	for {
		h := n.say(ctx, w)
		if h.err != nil || n.keeper == nil {
			return h.err
		}
		newer, err := n.keepNow(h.state)
		if newer == nil {
			return err
		}
		// A newer process spoke for the node: its words come first. If it has
		// died this one is said again on top of them.
		if h := n.say(ctx, word{adopt: newer}); h.err != nil || err != nil {
			return errors.Join(err, h.err)
		}
	}
}

// say has the loop hear a word. Once the loop has it, it is a matter of
// microseconds.
func (n *Node) say(ctx context.Context, w word) heard {
	w.answer = make(chan heard, 1)
	select {
	case n.words <- w:
		return <-w.answer
	case <-n.done:
	case <-ctx.Done():
	}
	return heard{err: errBusy}
}

// maintain is the loop's side of Maintain.
func (n *Node) maintain(w word) {
	var h heard
	if w.adopt != nil {
		n.adoptWords(w.adopt)
		w.answer <- h
		return
	}
	if w.out {
		h.err = n.byHand.Enter(w.id, n.now(), n.startOf(n.list.Entries()[w.id].Payload, n.list.ReceivedAt()))
	} else {
		h.err = n.byHand.Exit(w.id, n.now())
	}
	if h.err == nil {
		n.fleetWorded()
		n.reapplyList()
		h.state = n.state()
	}
	w.answer <- h
}

// reapplyList tells the module the whole list anew, in the form of one that was held
// before: it is no answer of discovery.
func (n *Node) reapplyList() {
	entries := make([]discovery.Entry, 0, len(n.list.Entries()))
	for _, e := range n.list.Entries() {
		entries = append(entries, e.Payload)
	}
	n.applyEntries(balance.ListCached, entries, n.list.ReceivedAt())
}

// publish publishes what only the loop knows, and has it kept for a process that
// takes over.
func (n *Node) publish() {
	avoided := 0
	for name := range n.list.Entries() {
		if n.byHand.InMaintenance(name) || n.list.ExcludedByPeers(name) || n.module.Ejected(n.ids[name]) || n.fleetOut(name, n.servers[n.ids[name]]) {
			avoided++
		}
	}
	n.fleetFigures()
	n.figures.WordsTurnedAway.Store(n.module.DiscardedDatagrams())
	n.figures.Registry.Store(int64(len(n.list.Entries())))
	n.figures.OutOfRotation.Store(int64(avoided))
	if n.keeper == nil || time.Since(n.keepAt) < keepInterval {
		return
	}
	n.keepAt = time.Now()
	select {
	case <-n.keep: // an older one that has not been written yet
	default:
	}
	n.keep <- n.state()
}
