package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deployment is a small zone: servers, discovery and nodes.
type deployment struct {
	servers   []*process
	entries   []entry
	discovery *discovery
	configs   []nodeConfig
	nodes     []*process

	mu   sync.Mutex
	runs []run
}

// run is a request that a server ran.
type run struct {
	At              time.Time
	Server, ID, Key string
}

var halls = []string{"hall-nord", "hall-syd", "hall-vest"}

// deploy starts servers, discovery and nodes.
func (l *lab) deploy(servers, nodes int, classes []class, adjust func(*nodeConfig)) *deployment {
	d := &deployment{}
	for i := range servers {
		name := fmt.Sprintf("s-%08x", 0x5be2a070+i)
		addr := freeAddr()
		listening := make(chan struct{})
		once := sync.OnceFunc(func() { close(listening) })
		d.servers = append(d.servers, l.start(name, "exec review/bin/standin-2 server -name "+name+" -addr "+addr, nil, nil, func(line string) {
			l.logf("%s: %s", name, line)
			fields := strings.Fields(line)
			if len(fields) > 1 && fields[1] == "listens" {
				once()
			}
			if len(fields) > 2 && fields[1] == "run" {
				at, _ := strconv.ParseInt(fields[0], 10, 64)
				key := ""
				if len(fields) > 4 {
					key = fields[3]
				}
				d.mu.Lock()
				d.runs = append(d.runs, run{time.Unix(0, at), name, fields[2], key})
				d.mu.Unlock()
			}
		}))
		select {
		case <-listening:
		case <-time.After(10 * time.Second):
			panic(cannotRun{fmt.Errorf("%s does not listen", name)})
		}
		d.entries = append(d.entries, entry{InstanceID: name, HostPort: addr, Zone: halls[i%3], MachineType: "std-6", Cell: i / 4, Lifecycle: "up", Weight: 1})
	}
	d.discovery = l.startDiscovery(d.entries)
	for i := range nodes {
		c := nodeConfig{Name: fmt.Sprintf("n%d", i), Listen: freeAddr(), Discovery: d.discovery.addr, Number: i, Nodes: nodes, Zone: halls[i%3],
			MemoryMB: 192, Sockets: 1024, Classes: classes, Known: d.discovery.full(), Membership: "on_request"}
		if adjust != nil {
			adjust(&c)
		}
		d.configs = append(d.configs, c)
		d.nodes = append(d.nodes, l.startNode(c))
	}
	return d
}

// ranAt returns the servers that ran a request, in order.
func (d *deployment) ranAt(id string) (ran []run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		if r.ID == id {
			ran = append(ran, r)
		}
	}
	return ran
}
