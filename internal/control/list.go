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

const maxKept = 16 << 20 // bytes of a kept list

// list is discovery's list as it was last told.
type list struct {
	told    uint32 // generation of the last answer
	epoch   uint16 // how often discovery was seen to begin anew
	seen    bool   // a whole one has come
	entries map[string]discovery.Entry
}

// apply takes a whole list or changes.
func (l *list) apply(n discovery.List) {
	if n.Full {
		if l.seen && int32(uint32(n.Generation)-l.told) < 0 {
			l.epoch++
		}
		l.seen = true
		clear(l.entries)
	}
	l.told = uint32(n.Generation)
	for _, x := range n.Instances {
		if discovery.LifecycleStates[x.Lifecycle] == balance.Removed {
			delete(l.entries, x.InstanceID)
		} else {
			l.entries[x.InstanceID] = x
		}
	}
}

// vector is the list's version, as nodes of the same discovery tell theirs.
func (l *list) vector() fleetversion.List {
	var sum fleetversion.RunningDigest
	states := map[balance.ServerState]fleetversion.State{balance.Ready: fleetversion.Up, balance.Draining: fleetversion.Draining}
	for _, x := range l.entries {
		sum.Add(fleetversion.KeyOf(x.InstanceID), states[discovery.LifecycleStates[x.Lifecycle]], time.Duration(x.StartedAtMs)*time.Millisecond)
	}
	return fleetversion.List{Epoch: l.epoch, Generation: l.told, Digest: sum.Short()}
}

// all gives the entries by name.
func (l *list) all() []discovery.Entry {
	out := make([]discovery.Entry, 0, len(l.entries))
	for _, x := range l.entries {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b discovery.Entry) int {
		if a.InstanceID < b.InstanceID {
			return -1
		}
		return 1
	})
	return out
}

// servers puts entries into steer's form; date is discovery's own time, if it told that.
// The same entry has the same start each time. A start before the engine's own zero was
// long ago.
func (e *Engine) servers(entries []discovery.Entry, date time.Time) []steer.Server {
	clocks := membership.Clocks{Process: e.clock.Now(), Wall: wallclock.Now()}
	if !date.IsZero() {
		clocks.Source = time.Duration(date.UnixNano())
	}
	out := make([]steer.Server, 0, len(entries))
	listed := map[string]bool{}
	for _, x := range entries {
		listed[x.InstanceID] = true
		started := steer.Time(0)
		if at := e.starts.Resolve(x.InstanceID, time.Duration(x.StartedAtMs)*time.Millisecond, e.listedAt, clocks); at > 0 {
			started = max(0, zero+at-e.clock.Origin())
		}
		out = append(out, steer.Server{ID: steer.ServerID(x.InstanceID), Addr: x.HostPort, Zone: x.Zone, Cell: x.Cell,
			RelativeSize: x.Weight, Draining: discovery.LifecycleStates[x.Lifecycle] == balance.Draining, StartedAt: started})
	}
	e.starts.RemoveUnlisted(func(name string) bool { return listed[name] })
	return out
}

func readList(path string) ([]discovery.Entry, error) {
	st, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if st.Size() > maxKept {
		return nil, errors.New(path + " is over 16 MiB")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var out []discovery.Entry
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, err
	}
	return out, nil
}

// writeList replaces the file whole: a crash leaves the old one or the new.
func writeList(path string, entries []discovery.Entry) error {
	raw, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	return durable.Write(path, raw)
}
