// Package hosts is a simulated discovery service: a versioned list of servers
// whose changes become visible after a lag. Registry is the model, without I/O or
// clock; Service serves it over HTTP.
package hosts

import (
	"sort"
	"time"
)

// Entry is a server in the list, as encoded in the protocol.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"` // as seen by the node; set by Service
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // up, draining or, in changes only, removed
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time; 0: started long ago
}

// The lifecycle states.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// maxChanges limits the change log. A watch from an older version gets the full
// list.
const maxChanges = 256

// List is a response: the full list, or the changes since a version.
type List struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Registry is the model of the list. It is not safe for concurrent use.
type Registry struct {
	entries    map[string]Entry
	lastChange map[string]uint64 // by server: generation of its last change
	changeLog  []string          // servers of the last maxChanges changes
	generation uint64
	pending    []change
	cachedAll  List // latest result of All
}

type change struct {
	at time.Duration
	Entry
}

// NewRegistry returns a registry with an empty list of the given generation.
func NewRegistry(generation uint64) *Registry {
	return &Registry{entries: map[string]Entry{}, lastChange: map[string]uint64{}, generation: generation}
}

// Generation returns the version of the list.
func (r *Registry) Generation() uint64 { return r.generation }

// Schedule schedules a change of an entry for the given time.
func (r *Registry) Schedule(at time.Duration, e Entry) {
	i := sort.Search(len(r.pending), func(i int) bool { return r.pending[i].at > at })
	r.pending = append(r.pending, change{})
	copy(r.pending[i+1:], r.pending[i:])
	r.pending[i] = change{at, e}
}

// Next returns the time of the next scheduled change.
func (r *Registry) Next() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return r.pending[0].at, true
}

// Advance applies the changes that are due and returns them.
func (r *Registry) Advance(now time.Duration) []Entry {
	var out []Entry
	for len(r.pending) > 0 && r.pending[0].at <= now {
		e := r.pending[0].Entry
		r.pending = r.pending[1:]
		r.apply(e)
		out = append(out, e)
	}
	return out
}

func (r *Registry) apply(e Entry) {
	r.generation++
	r.entries[e.InstanceID], r.lastChange[e.InstanceID] = e, r.generation
	if r.changeLog = append(r.changeLog, e.InstanceID); len(r.changeLog) > maxChanges {
		r.changeLog = r.changeLog[1:]
	}
}

// All returns the full list, without removed servers. Callers must not modify it.
func (r *Registry) All() List {
	if r.cachedAll.Reset && r.cachedAll.Generation == r.generation {
		return r.cachedAll
	}
	l := List{Generation: r.generation, Reset: true, Instances: []Entry{}}
	for _, e := range r.entries {
		if e.Lifecycle != Removed {
			l.Instances = append(l.Instances, e)
		}
	}
	sort.Slice(l.Instances, func(i, j int) bool { return l.Instances[i].InstanceID < l.Instances[j].InstanceID })
	r.cachedAll = l
	return l
}

// Since returns the changes since a version: each server once, in order of its
// last change. For a version that is too old or was never reached, as after a
// restart, it returns the full list.
func (r *Registry) Since(version uint64) List {
	if version > r.generation || r.generation-version > uint64(len(r.changeLog)) {
		return r.All()
	}
	l := List{Generation: r.generation, Instances: []Entry{}}
	for i, id := range r.changeLog[len(r.changeLog)-int(r.generation-version):] {
		if r.lastChange[id] == version+uint64(i)+1 {
			l.Instances = append(l.Instances, r.entries[id])
		}
	}
	return l
}

// Restart resets the generation, possibly to a lower one. It keeps the entries
// and clears the change log.
func (r *Registry) Restart(generation uint64) {
	r.generation, r.changeLog, r.lastChange, r.cachedAll = generation, nil, map[string]uint64{}, List{}
}
