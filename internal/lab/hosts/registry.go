// Package hosts is a stand-in discovery: the list of clip servers with
// versions, told late. Registry is the model, without I/O or clock; Service
// puts it on a socket.
package hosts

import (
	"sort"
	"time"
)

// Entry is a server in the form of the protocol page.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"` // may differ from node to node: the service fills it in
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // up, draining or, among changes only, removed
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time; 0: long ago
}

// The lifecycles.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// maxChanges bounds the log of changes: a watch from an older version gets the
// whole list.
const maxChanges = 256

// List is an answer: the whole list, or what changed since a version.
type List struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Registry is the model. It is not safe for concurrent use.
type Registry struct {
	entries    map[string]Entry
	changed    map[string]uint64 // by server: the version of its last change
	log        []string          // servers by change, the last maxChanges
	generation uint64
	pending    []change
	whole      List // as of its generation, kept for whoever asks next
}

type change struct {
	at time.Duration
	Entry
}

// NewRegistry makes one whose list has a version.
func NewRegistry(generation uint64) *Registry {
	return &Registry{entries: map[string]Entry{}, changed: map[string]uint64{}, generation: generation}
}

// Generation is the version of the list.
func (r *Registry) Generation() uint64 { return r.generation }

// Schedule lets the list learn of an entry at a time: it is told late.
func (r *Registry) Schedule(at time.Duration, e Entry) {
	i := sort.Search(len(r.pending), func(i int) bool { return r.pending[i].at > at })
	r.pending = append(r.pending, change{})
	copy(r.pending[i+1:], r.pending[i:])
	r.pending[i] = change{at, e}
}

// Next tells when the list learns something next.
func (r *Registry) Next() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return r.pending[0].at, true
}

// Advance applies what is due and gives it.
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
	r.entries[e.InstanceID], r.changed[e.InstanceID] = e, r.generation
	if r.log = append(r.log, e.InstanceID); len(r.log) > maxChanges {
		r.log = r.log[1:]
	}
}

// All gives the whole list; removed servers are not in it. It is not to be
// changed.
func (r *Registry) All() List {
	if r.whole.Reset && r.whole.Generation == r.generation {
		return r.whole
	}
	l := List{Generation: r.generation, Reset: true, Instances: []Entry{}}
	for _, e := range r.entries {
		if e.Lifecycle != Removed {
			l.Instances = append(l.Instances, e)
		}
	}
	sort.Slice(l.Instances, func(i, j int) bool { return l.Instances[i].InstanceID < l.Instances[j].InstanceID })
	r.whole = l
	return l
}

// Since gives what changed after a version, each server once, in the order of
// the last change. A version that is too old, or that this service has never
// had, as after a restart, gets the whole list.
func (r *Registry) Since(version uint64) List {
	if version > r.generation || r.generation-version > uint64(len(r.log)) {
		return r.All()
	}
	l := List{Generation: r.generation, Instances: []Entry{}}
	for i, id := range r.log[len(r.log)-int(r.generation-version):] {
		if r.changed[id] == version+uint64(i)+1 {
			l.Instances = append(l.Instances, r.entries[id])
		}
	}
	return l
}

// Restart makes the service begin again from a version, which may be lower,
// with the entries it has and no log of changes.
func (r *Registry) Restart(generation uint64) {
	r.generation, r.log, r.changed, r.whole = generation, nil, map[string]uint64{}, List{}
}
