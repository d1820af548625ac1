package node

import (
	"context"
	"errors"
	"time"

	"barrowscale/balance"
	"barrowscale/internal/discovery"
	"barrowscale/internal/figures"
)

// errBusy says that the loop took no word in time.
var errBusy = errors.New("the node did not get to it in time; nothing was changed")

// word is an operator's word on one server.
type word struct {
	id     string
	out    bool
	answer chan error
}

func classNames(s balance.Settings) []string {
	names := make([]string, 0, len(s.Classes))
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// Ready tells whether this process takes clients.
func (n *Node) Ready() bool { return n.ready.Load() }

// Figures gives the figures as text.
func (n *Node) Figures() []byte { return n.figures.Text() }

// Count gives the figures themselves, for fronts.
func (n *Node) Count() *figures.Set { return n.figures }

// Maintain takes a server out of use by hand, or uses it again. Once it has
// returned nothing new is written to one that was taken out. A word is heard
// before all requests that wait.
func (n *Node) Maintain(ctx context.Context, id string, out bool) error {
	w := word{id, out, make(chan error, 1)}
	select {
	case n.words <- w:
		return <-w.answer // the loop has it: this is a matter of microseconds
	case <-n.done:
	case <-ctx.Done():
	}
	return errBusy
}

// maintain is the loop's side of Maintain. The module gets the whole list
// anew, in the form of one that was held before: it is no answer of discovery.
func (n *Node) maintain(w word) error {
	var err error
	if w.out {
		err = n.byHand.Enter(w.id, n.now(), time.Duration(n.listed[w.id].StartedAtMs)*time.Millisecond)
	} else {
		err = n.byHand.Exit(w.id, n.now())
	}
	if err != nil {
		return err
	}
	entries := make([]discovery.Entry, 0, len(n.listed))
	for _, e := range n.listed {
		entries = append(entries, e)
	}
	n.apply(balance.ListCached, entries)
	return nil
}

// look publishes what only the loop knows.
func (n *Node) look() {
	avoided := 0
	for name := range n.listed {
		if n.byHand.Out(name) || n.module.Suspected(n.ids[name]) {
			avoided++
		}
	}
	n.figures.Registry.Store(int64(len(n.listed)))
	n.figures.OutOfRotation.Store(int64(avoided))
}
