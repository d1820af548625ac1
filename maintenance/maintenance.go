// Package maintenance decides what operators' words on single servers mean:
// which ones are out of use by hand, and from when on one that comes back
// counts as cold. It does no I/O and reads no clock. The list of servers goes
// through it on its way to the decision module (package balance), which so
// sees a server that is out by hand as one that drains.
package maintenance

import (
	"errors"
	"slices"

	"ivylock/balance"
)

// MaxTrackedIDs bounds the ids that the table remembers: those on the list, those
// out by hand, and others that were on the list before.
const MaxTrackedIDs = 16384

// ErrUnknown says that no server ever had the id, as far as this node knows.
var ErrUnknown = errors.New("no such backend")

// Record is what is kept of a server that was taken out by hand. Times are
// the decision module's, in Unix time.
type Record struct {
	ID            string       `json:"id"`
	InMaintenance bool         `json:"out"`               // out now
	EnteredAt     balance.Time `json:"entered"`           // the last word to take it out that changed something
	ExitedAt      balance.Time `json:"exited,omitempty"`  // the word to use it again; 0 while it is out
	StartedAt     balance.Time `json:"started,omitempty"` // the start that the list told at the word out
}

// Table holds all records. It is not safe for concurrent use.
type Table struct {
	records map[string]*Record
	known   map[string]bool // by id: on the list now
}

// New makes a table, with the records of an earlier process if there are any.
func New(records []Record) *Table {
	t := &Table{records: map[string]*Record{}, known: map[string]bool{}}
	for _, r := range records {
		if len(t.records) < MaxTrackedIDs && r.ID != "" {
			t.records[r.ID] = &r
			t.known[r.ID] = false
		}
	}
	return t
}

// SetListed tells that an id is on the list, or has left it.
func (t *Table) SetListed(id string, on bool) {
	if _, known := t.known[id]; !known && len(t.known) >= MaxTrackedIDs {
		t.makeRoom()
	}
	t.known[id] = on
}

// makeRoom forgets an id that is neither on the list nor out: guards against
// growth where servers are replaced for months.
func (t *Table) makeRoom() {
	for id, on := range t.known {
		if r := t.records[id]; !on && (r == nil || !r.InMaintenance) {
			delete(t.known, id)
			delete(t.records, id)
			return
		}
	}
}

// Enter takes a server out. A second word changes nothing. The error is
// ErrUnknown for an id that no server has had.
func (t *Table) Enter(id string, now, started balance.Time) error {
	if _, known := t.known[id]; !known {
		return ErrUnknown
	}
	if r := t.records[id]; r == nil || !r.InMaintenance {
		t.records[id] = &Record{ID: id, InMaintenance: true, EnteredAt: now, StartedAt: started}
	}
	return nil
}

// Exit uses a server again, however often it was taken out.
func (t *Table) Exit(id string, now balance.Time) error {
	if _, known := t.known[id]; !known {
		return ErrUnknown
	}
	if r := t.records[id]; r != nil && r.InMaintenance {
		r.InMaintenance, r.ExitedAt = false, now
	}
	return nil
}

// InMaintenance tells whether a server is out by hand.
func (t *Table) InMaintenance(id string) bool {
	r := t.records[id]
	return r != nil && r.InMaintenance
}

// Apply gives what the decision module is to see of a list entry. A server
// that is out drains, whatever the list says. One that came back is cold: it
// was restarted meanwhile, at a time that the list tells late or never, so
// until the list tells a start during that time the word to use it again
// counts as its start.
func (t *Table) Apply(id string, e balance.Server) balance.Server {
	r := t.records[id]
	switch {
	case r == nil:
	case r.InMaintenance:
		if e.State == balance.Ready {
			e.State = balance.Draining
		}
	case e.StartedAt <= max(r.StartedAt, r.EnteredAt):
		e.StartedAt = r.ExitedAt
	}
	return e
}

// PruneRecords drops the record of a server that is back in use for longer than it
// can be cold.
func (t *Table) PruneRecords(now, coldTime balance.Time) {
	for id, r := range t.records {
		if !r.InMaintenance && now-r.ExitedAt > 2*coldTime {
			delete(t.records, id)
		}
	}
}

// Records gives what a next process must know, in the order of their ids.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return out
}
