package real

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"ivylock/fleet/version"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/link"
	"ivylock/internal/lab/scenario"
)

// toDiscovery gives the address at which a node finds discovery: a link's, where
// the timeline cuts it off.
func (h *Testbed) toDiscovery(n scenario.Node, addr string) (string, error) {
	for i := range h.s.Faults {
		f := &h.s.Faults[i]
		if _, nodes := h.s.Pick(f.Who); f.What != scenario.WhatCut || !slices.Contains(nodes, n) {
			continue
		}
		l, err := link.NewTCP(func() string { return addr }, h.Clock)
		if err != nil {
			return "", err
		}
		h.cuts[n.Name] = l
		return l.Addr(), nil
	}
	return addr, nil
}

// operator writes a node's operator's file, if the scenario switches something
// on, and gives the environment that names it.
func (h *Testbed) operator(name string) ([]string, error) {
	if !h.s.Fleet || slices.Contains(h.o.WithoutFleet, name) {
		return nil, nil
	}
	path := filepath.Join(h.dir, name+".toml")
	text := "[fleet]\n"
	if !h.o.NoRecordFiles {
		text += fmt.Sprintf("record_file = %q\nrecord_every = \"200ms\"\n", h.recordFile(name))
	}
	text += h.s.Oper + "\n" + h.o.FleetSettings + "\n"
	return []string{"IVYLOCK_OPERATOR=" + path}, os.WriteFile(path, []byte(text), 0o600)
}

func (h *Testbed) recordFile(name string) string { return filepath.Join(h.dir, name+".record") }

// Records gives what the nodes have acted on: from their consoles, and from their
// files, which hold former processes' too. It is to be called before Close.
func (h *Testbed) Records() []version.Record {
	var out []version.Record
	for _, n := range h.nodes {
		raw, _ := os.ReadFile(h.recordFile(n.Name))
		found, _ := version.ReadLines(raw)
		if r, ok := n.record(); ok && len(found) > 0 {
			found[len(found)-1] = r
		}
		out = append(out, found...)
	}
	return out
}

// CurrentRecords gives what the nodes that run have on record now, from their consoles alone. All
// are asked at once: what moves from one to another meanwhile would count twice.
func (h *Testbed) CurrentRecords() []version.Record {
	records, found := make([]version.Record, len(h.nodes)), make([]bool, len(h.nodes))
	var all sync.WaitGroup
	for i, n := range h.nodes {
		all.Go(func() { records[i], found[i] = n.record() })
	}
	all.Wait()
	var out []version.Record
	for i, ok := range found {
		if ok {
			out = append(out, records[i])
		}
	}
	return out
}

var consoles = http.Client{Timeout: 2 * time.Second}

func (n *node) record() (r version.Record, ok bool) {
	n.mu.Lock()
	proc := n.proc
	n.mu.Unlock()
	if proc == nil {
		return r, false
	}
	resp, err := consoles.Get("http://" + proc.ConsoleAddr() + "/fleet/record")
	if err != nil {
		return r, false
	}
	defer resp.Body.Close()
	return r, json.NewDecoder(resp.Body).Decode(&r) == nil
}

// StartTime is the Unix time at which the lab's clock read 0.
func (h *Testbed) StartTime() time.Time { return h.unix }

// SendSpoofed sends a datagram to a node as if it came from another one.
func (h *Testbed) SendSpoofed(from, to int, data []byte) {
	h.nodes[to].mu.Lock()
	proc := h.nodes[to].proc
	h.nodes[to].mu.Unlock()
	if proc == nil {
		return
	}
	if at, err := net.ResolveUDPAddr("udp", proc.PeerAddr()); err == nil {
		h.relays[from].Conn().WriteTo(data, at)
	}
}

// Discovery is the stand-in, for what no scenario says.
func (h *Testbed) Discovery() *hosts.Service { return h.hosts }
