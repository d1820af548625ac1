// Package handoff decides how the processes of one node share its state: which process owns the
// operators' requests, what the next process takes over, and how many connections each may hold
// while both run. It does no I/O and reads no clock; internal/handover carries out its decisions
// with files.
package handoff

import (
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/fleet/version"
	"ivylock/maintenance"
)

// FormatVersion is the version of State's format that this build writes and reads.
const FormatVersion = 1

// MaxMeasurementAge is the age up to which the next process uses the measurements of a state. From
// an older state it takes only the list and the maintenance records.
const MaxMeasurementAge = 5 * time.Second

// clockTolerance is how far a fresh state may be ahead of the reader's clock, which may have been
// slewed.
const clockTolerance = 100 * time.Millisecond

// Entry is a server as last listed by discovery.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// ServerMeasurements are the measurements of one server, by its name in discovery: the numeric ids
// of the decision module differ between processes.
type ServerMeasurements struct {
	InstanceID string `json:"instanceId"`
	balance.LearnedServer
}

// State is the state that a process leaves for the one that takes over.
type State struct {
	Version        int                  `json:"version"`
	Epoch          uint64               `json:"epoch"` // counts owners: the highest one owns the node
	Owner          int                  `json:"owner"` // the process that wrote the state
	Node           string               `json:"node"`
	WrittenAt      balance.Time         `json:"at"` // Unix time
	Generation     uint64               `json:"generation"`
	ListReceivedAt balance.Time         `json:"listAt,omitempty"` // when discovery sent it
	List           []Entry              `json:"list"`
	Maintenance    []maintenance.Record `json:"maintenance"`
	Fleet          balance.LearnedFleet `json:"fleet"`
	Servers        []ServerMeasurements `json:"servers"`
	// Record is the version record of the process; nil: it keeps none.
	Record *version.Record `json:"record,omitempty"`
}

// SiblingStates are the states that other processes of the node have written since a process last
// looked. Both are nil if there are none.
type SiblingStates struct {
	// Owner is the state that the owner left. Its maintenance records are authoritative for the
	// processes that are older than its writer.
	Owner *State
	// List is the state with the latest list, of an older or a newer process.
	List *State
}

// Ownership is what a process may do with the state that it finds.
type Ownership int

const (
	// KeepOwnership: the state is this process's own, or there is none; it may write.
	KeepOwnership Ownership = iota
	// Yield: a newer process owns the state and is running. This one stops writing and refers
	// operators to the owner.
	Yield
	// Reclaim: a newer process owned the state and has died. This one takes over the maintenance
	// records found there and becomes the owner again.
	Reclaim
)

// DecideOwnership returns what a process with the given epoch may do with the state that it finds;
// nil: no readable state.
func DecideOwnership(found *State, epoch uint64, ownerRuns bool) Ownership {
	switch {
	case found == nil || found.Epoch <= epoch:
		return KeepOwnership
	case ownerRuns:
		return Yield
	}
	return Reclaim
}

// UsableParts reports which parts of a state a new process of a node may use: none of another
// node's state or of an unknown format, and no measurements of an old state.
func UsableParts(found *State, node string, now balance.Time) (records, measurements bool) {
	if found == nil || found.Version != FormatVersion || found.Node != node {
		return false, false
	}
	return true, found.isFresh(now)
}

// isFresh reports whether the state was written recently by a clock that agrees with the reader's.
// A state from the future has an unknown age: the clock was set back.
func (s *State) isFresh(now balance.Time) bool {
	age := now - s.WrittenAt
	return age >= -clockTolerance && age <= MaxMeasurementAge
}

// MaintenanceRecords returns the maintenance records of a state in the time of the reader. The age
// of a state that is not fresh is unknown, as either clock may have stepped: it counts as written
// now, so that a server that returned to service counts as colder than it is rather than warmer.
func MaintenanceRecords(found *State, now balance.Time) []maintenance.Record {
	records := slices.Clone(found.Maintenance)
	if found.isFresh(now) {
		return records
	}
	step := now - found.WrittenAt
	for i := range records {
		record := &records[i]
		record.EnteredAt += step
		if !record.InMaintenance {
			record.ExitedAt += step
		}
	}
	return records
}

// IsNewerList reports whether a list received by another process of the node supersedes a process's
// own. It must be both received later and of a higher generation: the time alone would bring back
// servers from an outdated answer, the generation alone those that a restarted discovery has
// dropped.
func IsNewerList(own, other State) bool {
	return other.ListReceivedAt > own.ListReceivedAt && other.Generation > own.Generation
}

// ConnectionLimit returns how many of a node's total connections a process may hold: all if it is
// the only one, else those that the other processes do not hold. At least a quarter is reserved: a
// new process must be able to begin, and an ending one releases that much by the time it is
// notified.
func ConnectionLimit(total, others int, alone bool) int {
	if alone {
		return total
	}
	return max(total/reservedDivisor, min(total-total/reservedDivisor, total-others))
}

// MemoryShare returns the part of a node's memory that a process may use: all if it is the only one,
// else half. Memory is not released as fast as connections, so what others hold does not count.
func MemoryShare(alone bool) float64 {
	if alone {
		return 1
	}
	return 0.5
}

// reservedDivisor is the divisor of the total that gives the connections reserved for each process.
const reservedDivisor = 4
