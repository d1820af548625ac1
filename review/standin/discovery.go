package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery plays the service that lists the servers: whole lists, and watches for changes.
type discovery struct {
	addr string

	mu         sync.Mutex
	generation uint64
	entries    map[string]object // by instance id
	changedAt  map[string]uint64 // generation of the last change
	changed    chan struct{}     // closed at the next change
}

func (r *run) newDiscovery() *discovery {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.failf("%v", err)
	}
	d := &discovery{addr: l.Addr().String(), generation: 40, entries: map[string]object{}, changedAt: map[string]uint64{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.serve)
	go http.Serve(l, mux)
	return d
}

// set adds or changes a server.
func (d *discovery) set(id, addr, lifecycle string, cell int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.entries[id] = object{"instanceId": id, "hostPort": addr, "zone": "hall-nord", "machineType": "std-6", "cell": cell,
		"lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}
	d.changedAt[id] = d.generation
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the whole list, or the changes after a generation.
func (d *discovery) list(whole bool, from uint64) object {
	d.mu.Lock()
	defer d.mu.Unlock()
	instances := []object{}
	for id, entry := range d.entries {
		if whole || d.changedAt[id] > from {
			instances = append(instances, entry)
		}
	}
	return object{"generation": d.generation, "reset": whole, "instances": instances}
}

func (d *discovery) serve(w http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseUint(req.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	if err == nil {
		end := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
		for waiting := true; waiting; {
			d.mu.Lock()
			newer, changed := d.generation > from, d.changed
			d.mu.Unlock()
			if newer {
				break
			}
			select {
			case <-changed:
			case <-end:
				waiting = false
			case <-req.Context().Done():
				return
			}
		}
	}
	raw, _ := json.Marshal(d.list(err != nil, from))
	w.Header().Set("Content-Type", "application/json")
	w.Write(raw)
}
