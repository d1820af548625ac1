// Package maintenance keeps track of servers that operators took out of service manually, and
// decides from when a server that returns counts as cold. It does no I/O and reads no clock. Each
// list entry passes through Apply on its way to the decision module (package balance), to which a
// server in maintenance appears as draining.
package maintenance

import (
	"errors"
	"slices"

	"ivylock/balance"
)

// MaxTrackedIDs bounds the number of ids in the table: those on the list, those in maintenance, and
// others that were on the list before.
const MaxTrackedIDs = 16384

// ErrUnknown is returned for an id that no server has had, as far as this node knows.
var ErrUnknown = errors.New("no such backend")

// Record is the maintenance state of one server. Times are those of the decision module, in Unix
// time.
type Record struct {
	ID            string       `json:"id"`
	InMaintenance bool         `json:"out"`               // currently
	EnteredAt     balance.Time `json:"entered"`           // the last request that took it out of service
	ExitedAt      balance.Time `json:"exited,omitempty"`  // the request that ended it; 0 while in maintenance
	StartedAt     balance.Time `json:"started,omitempty"` // the listed start time when it was taken out of service
}

// Table holds the maintenance records. It is not safe for concurrent use.
type Table struct {
	records map[string]*Record
	known   map[string]bool // all tracked ids, and whether they are on the list now
}

// New returns a table with the records of an earlier process, if any.
func New(records []Record) *Table {
	t := &Table{records: map[string]*Record{}, known: map[string]bool{}}
	for _, record := range records {
		if len(t.records) < MaxTrackedIDs && record.ID != "" {
			t.records[record.ID] = &record
			t.known[record.ID] = false
		}
	}
	return t
}

// SetListed records that an id is on the list, or has left it.
func (t *Table) SetListed(id string, listed bool) {
	if _, known := t.known[id]; !known && len(t.known) >= MaxTrackedIDs {
		t.evictOne()
	}
	t.known[id] = listed
}

// evictOne drops an id that is neither on the list nor in maintenance: guards against unbounded
// growth where servers are replaced for months.
func (t *Table) evictOne() {
	for id, listed := range t.known {
		if record := t.records[id]; !listed && (record == nil || !record.InMaintenance) {
			delete(t.known, id)
			delete(t.records, id)
			return
		}
	}
}

// Enter takes a server out of service. Repeating it changes nothing. The error is ErrUnknown for an
// id that no server has had.
func (t *Table) Enter(id string, now, startedAt balance.Time) error {
	if _, known := t.known[id]; !known {
		return ErrUnknown
	}
	if record := t.records[id]; record == nil || !record.InMaintenance {
		t.records[id] = &Record{ID: id, InMaintenance: true, EnteredAt: now, StartedAt: startedAt}
	}
	return nil
}

// Exit returns a server to service, even if Enter was called repeatedly. The error is ErrUnknown for
// an id that no server has had.
func (t *Table) Exit(id string, now balance.Time) error {
	if _, known := t.known[id]; !known {
		return ErrUnknown
	}
	if record := t.records[id]; record != nil && record.InMaintenance {
		record.InMaintenance, record.ExitedAt = false, now
	}
	return nil
}

// InMaintenance reports whether a server is in maintenance.
func (t *Table) InMaintenance(id string) bool {
	record := t.records[id]
	return record != nil && record.InMaintenance
}

// Apply returns a list entry as the decision module is to see it. A server in maintenance is
// draining, whatever the list says. One that returned counts as cold: it was restarted meanwhile,
// and the list may report that late or never. Until the list reports a start after the beginning of
// the maintenance, the end of the maintenance counts as the start.
func (t *Table) Apply(id string, entry balance.Server) balance.Server {
	record := t.records[id]
	switch {
	case record == nil:
	case record.InMaintenance:
		if entry.State == balance.Ready {
			entry.State = balance.Draining
		}
	case entry.StartedAt <= max(record.StartedAt, record.EnteredAt):
		entry.StartedAt = record.ExitedAt
	}
	return entry
}

// PruneRecords drops the records of servers that have been back in service for longer than they can
// be cold.
func (t *Table) PruneRecords(now, warmupTime balance.Time) {
	for id, record := range t.records {
		if !record.InMaintenance && now-record.ExitedAt > 2*warmupTime {
			delete(t.records, id)
		}
	}
}

// Records returns the records for the next process, sorted by id.
func (t *Table) Records() []Record {
	sorted := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		sorted = append(sorted, *record)
	}
	slices.SortFunc(sorted, func(a, b Record) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return sorted
}
