package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery serves the list of servers as the protocol page describes it.
type discovery struct {
	addr  string
	delay time.Duration // of each answer
	// onAnswer, if not nil, is called with each call and its answer.
	onAnswer func(query string, answer list)
	// changesSinceZero: the log goes back to version 0, which had no entries, so a watch from 0 is
	// answered with all entries as changes.
	changesSinceZero bool

	mu         sync.Mutex
	generation int
	entries    map[string]entry
	changedAt  map[string]int // generation of each entry's last change
	removed    map[string]entry
	changed    chan struct{} // closed at the next change
}

func (l *lab) startDiscovery(entries []entry) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &discovery{addr: listener.Addr().String(), generation: 41, entries: map[string]entry{}, changedAt: map[string]int{}, removed: map[string]entry{}, changed: make(chan struct{})}
	for _, e := range entries {
		d.entries[e.InstanceID], d.changedAt[e.InstanceID] = e, 41
	}
	go http.Serve(listener, d)
	return d
}

// set changes an entry; the lifecycle "removed" removes it.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.changedAt[e.InstanceID] = d.generation
	if e.Lifecycle == "removed" {
		delete(d.entries, e.InstanceID)
		d.removed[e.InstanceID] = e
	} else {
		d.entries[e.InstanceID] = e
		delete(d.removed, e.InstanceID)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// full returns the whole list.
func (d *discovery) full() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0, true)
}

func (d *discovery) since(from int, reset bool) list {
	answer := list{Generation: d.generation, Reset: reset, Instances: []entry{}}
	for id, e := range d.entries {
		if reset || d.changedAt[id] > from {
			answer.Instances = append(answer.Instances, e)
		}
	}
	if !reset {
		for id, e := range d.removed {
			if d.changedAt[id] > from {
				answer.Instances = append(answer.Instances, e)
			}
		}
	}
	return answer
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	whole := err != nil || from < 0 || from == 0 && !d.changesSinceZero
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(hold, 60000))*time.Millisecond)
	defer cancel()
	for {
		d.mu.Lock()
		reset := whole || from > d.generation
		answer, changed := d.since(from, reset), d.changed
		d.mu.Unlock()
		if reset || answer.Generation > from || ctx.Err() != nil {
			time.Sleep(d.delay)
			if d.onAnswer != nil {
				d.onAnswer(r.URL.RawQuery, answer)
			}
			raw, _ := json.Marshal(answer)
			w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
