package control

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"slices"
	"time"

	"ivylock/balance"
	fleetversion "ivylock/fleet/version"
	"ivylock/internal/discovery"
	"ivylock/internal/durable"
	"ivylock/internal/wallclock"
	"ivylock/membership"
	"ivylock/steer"
)

const maxListBytes = 16 << 20 // size limit of a stored list

// serverList is the last list received from discovery.
type serverList struct {
	generation   uint32 // of the last response
	epoch        uint16 // number of discovery restarts seen
	fullReceived bool   // a full list was received
	entries      map[string]discovery.Entry
}

// apply applies a full list or a list of changes.
func (l *serverList) apply(update discovery.List) {
	if update.Full {
		if l.fullReceived && int32(uint32(update.Generation)-l.generation) < 0 {
			l.epoch++
		}
		l.fullReceived = true
		clear(l.entries)
	}
	l.generation = uint32(update.Generation)
	for _, entry := range update.Instances {
		if discovery.LifecycleStates[entry.Lifecycle] == balance.Removed {
			delete(l.entries, entry.InstanceID)
		} else {
			l.entries[entry.InstanceID] = entry
		}
	}
}

// version returns the list's version, computed as nodes do for the same discovery.
func (l *serverList) version() fleetversion.List {
	var digest fleetversion.RunningDigest
	states := map[balance.ServerState]fleetversion.State{
		balance.Ready: fleetversion.Up, balance.Draining: fleetversion.Draining}
	for _, entry := range l.entries {
		digest.Add(fleetversion.KeyOf(entry.InstanceID), states[discovery.LifecycleStates[entry.Lifecycle]],
			time.Duration(entry.StartedAtMs)*time.Millisecond)
	}
	return fleetversion.List{Epoch: l.epoch, Generation: l.generation, Digest: digest.Short()}
}

// sortedEntries returns the entries sorted by ID.
func (l *serverList) sortedEntries() []discovery.Entry {
	entries := make([]discovery.Entry, 0, len(l.entries))
	for _, entry := range l.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b discovery.Entry) int {
		if a.InstanceID < b.InstanceID {
			return -1
		}
		return 1
	})
	return entries
}

// steerServers converts entries for package steer; date is discovery's time, zero if unknown. An
// entry's start time is the same on each call. Starts before the origin of the engine's clock are
// 0, which means long ago.
func (e *Engine) steerServers(entries []discovery.Entry, date time.Time) []steer.Server {
	clocks := membership.Clocks{Process: e.clock.Now(), Wall: wallclock.Now()}
	if !date.IsZero() {
		clocks.Source = time.Duration(date.UnixNano())
	}
	servers := make([]steer.Server, 0, len(entries))
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.InstanceID] = true
		started := steer.Time(0)
		if start := e.startTimes.Resolve(entry.InstanceID,
			time.Duration(entry.StartedAtMs)*time.Millisecond, e.listedAt, clocks); start > 0 {
			started = max(0, clockOffset+start-e.clock.Origin())
		}
		servers = append(servers, steer.Server{ID: steer.ServerID(entry.InstanceID), Addr: entry.HostPort,
			Zone: entry.Zone, Cell: entry.Cell, RelativeSize: entry.Weight,
			Draining: discovery.LifecycleStates[entry.Lifecycle] == balance.Draining, StartedAt: started})
	}
	e.startTimes.RemoveUnlisted(func(name string) bool { return listed[name] })
	return servers
}

// readList reads the stored list; a missing file is an empty list.
func readList(path string) ([]discovery.Entry, error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() > maxListBytes {
		return nil, errors.New(path + " exceeds 16 MiB")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var entries []discovery.Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, err
	}
	return entries, nil
}

// writeList replaces the file atomically.
func writeList(path string, entries []discovery.Entry) error {
	data, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	return durable.WriteFile(path, data)
}
