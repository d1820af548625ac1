// Package handoff decides how two processes of one node share what is one
// node's: who speaks for the operators' words, what the next process takes
// over, and how many connections each may hold while both run. It does no I/O
// and reads no clock; internal/handover does what it says with files.
package handoff

import (
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/fleet/version"
	"ivylock/maintenance"
)

// FormatVersion is the form of State that this build writes and reads.
const FormatVersion = 1

// MaxMeasurementAge is how old what a process has measured may be for the next one to
// build on it. Older, only the list and the operators' words are taken over.
const MaxMeasurementAge = 5 * time.Second

// clockNoise is how far ahead of a new process's clock a fresh state may be: the clock was
// slewed.
const clockNoise = 100 * time.Millisecond

// Entry is a server as discovery told it last.
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

// ServerMeasurements is what a process measured of one server, by discovery's name: the
// module's numbers differ from process to process.
type ServerMeasurements struct {
	InstanceID string `json:"instanceId"`
	balance.LearnedServer
}

// State is what a process tells the one that takes over from it.
type State struct {
	Version        int                  `json:"version"`
	Epoch          uint64               `json:"epoch"` // counts owners: the highest one speaks for the node
	Owner          int                  `json:"owner"` // the process that wrote it
	Node           string               `json:"node"`
	WrittenAt      balance.Time         `json:"at"` // Unix time
	Generation     uint64               `json:"generation"`
	ListReceivedAt balance.Time         `json:"listAt,omitempty"` // when discovery told it
	List           []Entry              `json:"list"`
	Maintenance    []maintenance.Record `json:"maintenance"`
	Fleet          balance.LearnedFleet `json:"fleet"`
	Servers        []ServerMeasurements `json:"servers"`
	// Record is what the process has acted on; nil where it keeps no record.
	Record *version.Record `json:"record,omitempty"`
}

// Ownership is what a process may do with the state that it finds.
type Ownership int

const (
	// Keep: the state is this process's own, or there is none; it may write.
	KeepOwnership Ownership = iota
	// Yield: a newer process owns it and runs. This one writes no more and
	// sends operators there.
	Yield
	// Reclaim: a newer process owned it and is dead. This one takes over the
	// operators' words that it finds there, and owns it again.
	Reclaim
)

// DecideOwnership tells a process with an epoch of its own what it may do with a state
// that it finds, nil if there is none that can be read.
func DecideOwnership(found *State, epoch uint64, ownerRuns bool) Ownership {
	switch {
	case found == nil || found.Epoch <= epoch:
		return KeepOwnership
	case ownerRuns:
		return Yield
	}
	return Reclaim
}

// UsableParts tells a new process called node, at a time, what of a state is for it:
// nothing of another node's, or in a form that it does not know, and nothing
// measured of one that is old.
func UsableParts(found *State, node string, now balance.Time) (words, measured bool) {
	if found == nil || found.Version != FormatVersion || found.Node != node {
		return false, false
	}
	return true, found.isFresh(now)
}

// isFresh tells whether a state was written a moment ago, by a clock that agrees with the
// reader's. The age of one from the future is not known: the clock was set back.
func (s *State) isFresh(now balance.Time) bool {
	age := now - s.WrittenAt
	return age >= -clockNoise && age <= MaxMeasurementAge
}

// MaintenanceRecords gives the operators' words of a state in the time of the process that takes over. How
// long ago a state was written that is not fresh is not known, as either clock may have stepped:
// it counts as written now, so that a server which was taken back into use before it is colder,
// and not warmer, than it is.
func MaintenanceRecords(found *State, now balance.Time) []maintenance.Record {
	words := slices.Clone(found.Maintenance)
	if found.isFresh(now) {
		return words
	}
	step := now - found.WrittenAt
	for i := range words {
		w := &words[i]
		w.EnteredAt += step
		if !w.InMaintenance {
			w.ExitedAt += step
		}
	}
	return words
}

// IsNewerList tells a process whether a list that another process of its node was
// told goes before its own. Both must hold, the later time and the higher
// version: the time alone would bring back what an old answer left out, the
// version alone what a discovery that began anew has dropped.
func IsNewerList(own, other State) bool {
	return other.ListReceivedAt > own.ListReceivedAt && other.Generation > own.Generation
}

// ConnectionLimit gives how many connections a process may hold of a node's full number
// while others run that hold so many. leastPart of the full number is always
// its own: a process that has just come must be able to begin, and one that
// ends has that much less by the time it is told.
func ConnectionLimit(full, others int, alone bool) int {
	if alone {
		return full
	}
	return max(full/leastPart, min(full-full/leastPart, full-others))
}

const leastPart = 4
