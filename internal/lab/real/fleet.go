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

// discoveryAddr returns the address at which a node reaches discovery: that of a link, if the timeline
// cuts the node off.
func (b *Testbed) discoveryAddr(n scenario.Node, addr string) (string, error) {
	for i := range b.scenario.Faults {
		f := &b.scenario.Faults[i]
		if _, nodes := b.scenario.Select(f.Targets); f.Kind != scenario.FaultDiscoveryCut || !slices.Contains(nodes, n) {
			continue
		}
		l, err := link.NewTCP(func() string { return addr }, b.Clock)
		if err != nil {
			return "", err
		}
		b.discoveryLinks[n.Name] = l
		return l.Addr(), nil
	}
	return addr, nil
}

// writeOperatorFile writes a node's operator's file and returns the environment variable that names
// it; without effect if the node has no fleet settings.
func (b *Testbed) writeOperatorFile(name string) ([]string, error) {
	if !b.scenario.Fleet || slices.Contains(b.options.WithoutFleet, name) {
		return nil, nil
	}
	path := filepath.Join(b.dir, name+".toml")
	text := "[fleet]\n"
	if !b.options.NoRecordFiles {
		text += fmt.Sprintf("record_file = %q\nrecord_every = \"200ms\"\n", b.recordFile(name))
	}
	text += b.scenario.OperatorConfig + "\n" + b.options.FleetSettings + "\n"
	return []string{"IVYLOCK_OPERATOR=" + path}, os.WriteFile(path, []byte(text), 0o600)
}

func (b *Testbed) recordFile(name string) string { return filepath.Join(b.dir, name+".record") }

// Records returns the fleet records of all nodes: from their files, which include those of former
// processes, and the latest ones from their consoles. Call it before Close.
func (b *Testbed) Records() []version.Record {
	var out []version.Record
	for _, n := range b.nodes {
		raw, _ := os.ReadFile(b.recordFile(n.Name))
		found, _ := version.ReadLines(raw)
		if r, ok := n.record(); ok && len(found) > 0 {
			found[len(found)-1] = r
		}
		out = append(out, found...)
	}
	return out
}

// CurrentRecords returns the fleet records of the running nodes, from their consoles alone. It queries
// all consoles concurrently, as a lease that moves between two queries would count twice.
func (b *Testbed) CurrentRecords() []version.Record {
	records, found := make([]version.Record, len(b.nodes)), make([]bool, len(b.nodes))
	var all sync.WaitGroup
	for i, n := range b.nodes {
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

var consoleClient = http.Client{Timeout: 2 * time.Second}

// record returns the fleet record from the console of the running process.
func (n *node) record() (r version.Record, ok bool) {
	n.mu.Lock()
	proc := n.proc
	n.mu.Unlock()
	if proc == nil {
		return r, false
	}
	resp, err := consoleClient.Get("http://" + proc.ConsoleAddr() + "/fleet/record")
	if err != nil {
		return r, false
	}
	defer resp.Body.Close()
	return r, json.NewDecoder(resp.Body).Decode(&r) == nil
}

// StartTime returns the wall-clock time at which the lab's clock was 0.
func (b *Testbed) StartTime() time.Time { return b.startTime }

// SendSpoofed sends a datagram to a node with another node's source address.
func (b *Testbed) SendSpoofed(from, to int, data []byte) {
	b.nodes[to].mu.Lock()
	proc := b.nodes[to].proc
	b.nodes[to].mu.Unlock()
	if proc == nil {
		return
	}
	if at, err := net.ResolveUDPAddr("udp", proc.PeerAddr()); err == nil {
		b.relays[from].Conn().WriteTo(data, at)
	}
}

// Discovery returns the simulated discovery, for changes that scenarios can't express.
func (b *Testbed) Discovery() *hosts.Service { return b.hosts }
