package perf

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/nodeconf"
	"ivylock/internal/lab/process"
	"ivylock/internal/lab/scenario"
)

// cost is the resource use of one node over a run.
type cost struct {
	cpu         time.Duration
	peakMB      float64 // of memory
	descriptors int     // maximum
	connections int64   // opened to servers
	listBytes   int64   // received from discovery
	served      float64 // fraction of the requests
}

func (c cost) String() string {
	return fmt.Sprintf("CPU %v, memory %.1f MB, %d descriptors, %d connections, %d kB of lists, %.3f served", c.cpu, c.peakMB, c.descriptors, c.connections, c.listBytes>>10, c.served)
}

// fleetRun is a run of one real node configured as a member of a large fleet. Half of the servers
// are replaced during the run.
type fleetRun struct {
	nodes, servers int
	length         time.Duration
}

const (
	replaceInterval = 100 * time.Millisecond
	runClients      = 4
	requestWork     = 20 * time.Millisecond
)

// Guards against resource use that grows with the size of the fleet beyond the documented limits: a
// node in a fleet of three times the nodes and sixteen times the servers, with the same traffic.
func TestWhatANodeOfALargeFleetNeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ivylock")
	if out, err := exec.Command("go", "build", "-o", program, "ivylock/cmd/ivylock").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	costs := make([]cost, 2)
	t.Run("runs", func(t *testing.T) {
		for i, r := range []fleetRun{{nodes: 300, servers: 200, length: 10 * time.Second}, {nodes: 900, servers: 3200, length: 10 * time.Second}} {
			t.Run(fmt.Sprint(r.servers), func(t *testing.T) {
				t.Parallel()
				costs[i] = r.measure(t, program)
				t.Log(costs[i])
			})
		}
	})
	small, large := costs[0], costs[1]
	const thousands = 3.2
	for _, bound := range []struct {
		name        string
		used, limit float64
	}{
		{"CPU seconds", large.cpu.Seconds(), 1.4*small.cpu.Seconds() + 0.02 + 0.03*thousands},
		{"MB of memory", large.peakMB, 1.5*small.peakMB + 8 + 4*thousands},
		{"descriptors", float64(large.descriptors), 2*float64(small.descriptors) + 40},
		{"connections made", float64(large.connections), 2.5*float64(small.connections) + 40},
		{"bytes of lists", float64(large.listBytes), 2*float64(small.listBytes) + 64<<10 + thousands*500<<10},
		{"fraction served, short of that in the small fleet", 0.85 * small.served, large.served},
	} {
		if bound.used > bound.limit {
			t.Errorf("%s: %.2f, %.2f at most", bound.name, bound.used, bound.limit)
		}
	}
}

// measure runs the node.
func (r fleetRun) measure(t *testing.T, program string) (c cost) {
	t.Helper()
	accepted := &atomic.Int64{}
	addrs := countingServers(t, accepted)
	addrOf := func(_, server string) string {
		n, _ := strconv.Atoi(strings.TrimPrefix(server, "s"))
		return addrs[n%len(addrs)]
	}
	startedAt := time.Now()
	service := hosts.NewService(1, func() time.Duration { return time.Since(startedAt) }, func(history.Event) {}, addrOf)
	defer service.Close()
	for i := range r.servers {
		service.SetNow(entryOf(i, hosts.Up))
	}
	discovery, err := service.Listen("n0")
	if err != nil {
		t.Fatal(err)
	}
	lists := &atomic.Int64{}
	conf := r.config(countingForwarder(t, discovery, lists), service.InitialList("n0"))
	node, err := process.StartNode(program, t.TempDir(), conf, process.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Kill()
	stop := make(chan bool)
	go r.replace(service, stop)
	go func() { // the number of descriptors varies
		for ; ; time.Sleep(50 * time.Millisecond) {
			select {
			case <-stop:
				return
			default:
				if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.Pid())); err == nil {
					c.descriptors = max(c.descriptors, len(open))
				}
			}
		}
	}()
	results, err := RunClosedLoop(ClientLoad{Addr: node.Addr, Clients: runClients, Length: r.length, Class: "viewer-clip", BodySize: SmallBody})
	if err != nil {
		t.Fatal(err)
	}
	stop <- true
	stop <- true
	c.cpu, c.peakMB, c.connections, c.listBytes = node.CPUTime(), peakMemory(t, node.Pid()), accepted.Load(), lists.Load()
	c.served = float64(results.Served) / float64(results.Requests)
	return c
}

// config returns the settings of the first node.
func (r fleetRun) config(discovery string, known hosts.List) nodeconf.Config {
	s := &scenario.Scenario{Zones: []scenario.Zone{{Name: "hall", Nodes: r.nodes, Servers: map[string]int{"fast-6": r.servers}}}}
	c := nodeconf.Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: discovery, Seed: "1", PeerListen: "127.0.0.1:0",
		Limits: nodeconf.Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, InitialList: known, Settings: nodeconf.Settings(s, 0)}
	for i := range r.nodes { // unused addresses
		c.Peers = append(c.Peers, fmt.Sprintf("127.9.%d.%d:9", i/250, i%250+1))
	}
	return c
}

// replace replaces half of the servers in steps, until it is stopped.
func (r fleetRun) replace(service *hosts.Service, stop chan bool) {
	steps := int(r.length / replaceInterval)
	for step, replaced := 1, 0; ; step++ {
		select {
		case <-stop:
			return
		case <-time.After(replaceInterval):
		}
		for ; replaced < min(step, steps)*r.servers/2/steps; replaced++ {
			service.SetNow(entryOf(replaced, hosts.Removed))
			e := entryOf(r.servers+replaced, hosts.Up)
			e.StartedAtMs = time.Now().UnixMilli()
			service.SetNow(e)
		}
	}
}

func entryOf(number int, lifecycle string) hosts.Entry {
	return hosts.Entry{InstanceID: fmt.Sprint("s", number), Zone: "hall", MachineType: "fast-6", Lifecycle: lifecycle, Weight: 1}
}

// countingServers starts a few servers that stand in for many, and counts their connections.
func countingServers(t *testing.T, accepted *atomic.Int64) (addrs []string) {
	t.Helper()
	for range 8 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		addrs = append(addrs, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				go serveConn(c, requestWork, SmallBody)
			}
		}()
	}
	return addrs
}

// countingForwarder starts a TCP forwarder that counts the bytes of the answers.
func countingForwarder(t *testing.T, to string, received *atomic.Int64) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			downstream, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", to)
			if err != nil {
				downstream.Close()
				continue
			}
			go func() { io.Copy(upstream, downstream); upstream.Close() }()
			go func() { io.Copy(counter{downstream, received}, upstream); downstream.Close() }()
		}
	}()
	return l.Addr().String()
}

// counter counts the bytes written.
type counter struct {
	io.Writer
	bytes *atomic.Int64
}

func (c counter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// peakMemory returns the peak resident memory of a process, in MB (VmHWM, proc(5)).
func peakMemory(t *testing.T, pid int) float64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	text, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kb, err := strconv.ParseFloat(text, 64)
	if !found || err != nil {
		t.Fatalf("no VmHWM: %v", err)
	}
	return kb / 1024
}
