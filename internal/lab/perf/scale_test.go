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

// cost is what one node needed over a run.
type cost struct {
	cpu         time.Duration
	peakMB      float64 // of memory
	descriptors int     // at most
	connections int64   // made to servers
	listBytes   int64   // from discovery
	served      float64 // share of the requests
}

func (c cost) String() string {
	return fmt.Sprintf("CPU %v, memory %.1f MB, %d descriptors, %d connections, %d kB of lists, %.3f served", c.cpu, c.peakMB, c.descriptors, c.connections, c.listBytes>>10, c.served)
}

// day is a run of one real node, which takes itself for one of many. Half of the servers are
// replaced meanwhile.
type day struct {
	nodes, servers int
	length         time.Duration
}

const (
	replaceEvery = 100 * time.Millisecond
	dayClients   = 4
	dayWork      = 20 * time.Millisecond
)

// A node of a fleet of three times the nodes and sixteen times the servers, with the same
// traffic, needs only so much more: the standing page's table of what may grow.
func TestWhatANodeOfALargeFleetNeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ivylock")
	if out, err := exec.Command("go", "build", "-o", program, "ivylock/cmd/ivylock").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	costs := make([]cost, 2)
	t.Run("runs", func(t *testing.T) {
		for i, d := range []day{{nodes: 300, servers: 200, length: 10 * time.Second}, {nodes: 900, servers: 3200, length: 10 * time.Second}} {
			t.Run(fmt.Sprint(d.servers), func(t *testing.T) {
				t.Parallel()
				costs[i] = d.measure(t, program)
				t.Log(costs[i])
			})
		}
	})
	usual, large := costs[0], costs[1]
	const thousands = 3.2
	for _, x := range []struct {
		what       string
		need, most float64
	}{
		{"CPU seconds", large.cpu.Seconds(), 1.4*usual.cpu.Seconds() + 0.02 + 0.03*thousands},
		{"MB of memory", large.peakMB, 1.5*usual.peakMB + 8 + 4*thousands},
		{"descriptors", float64(large.descriptors), 2*float64(usual.descriptors) + 40},
		{"connections made", float64(large.connections), 2.5*float64(usual.connections) + 40},
		{"bytes of lists", float64(large.listBytes), 2*float64(usual.listBytes) + 64<<10 + thousands*500<<10},
		{"share served, short of the usual", 0.85 * usual.served, large.served},
	} {
		if x.need > x.most {
			t.Errorf("%s: %.2f, %.2f at most", x.what, x.need, x.most)
		}
	}
}

// measure plays the day.
func (d day) measure(t *testing.T, program string) (c cost) {
	t.Helper()
	made := &atomic.Int64{}
	addrs := countingServers(t, made)
	addrOf := func(_, server string) string {
		n, _ := strconv.Atoi(strings.TrimPrefix(server, "s"))
		return addrs[n%len(addrs)]
	}
	began := time.Now()
	service := hosts.NewService(1, func() time.Duration { return time.Since(began) }, func(history.Event) {}, addrOf)
	defer service.Close()
	for i := range d.servers {
		service.SetNow(entryOf(i, hosts.Up))
	}
	discovery, err := service.Listen("n0")
	if err != nil {
		t.Fatal(err)
	}
	lists := &atomic.Int64{}
	conf := d.config(countingForwarder(t, discovery, lists), service.InitialList("n0"))
	node, err := process.StartNode(program, t.TempDir(), conf, process.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Kill()
	stop := make(chan bool)
	go d.replace(service, stop)
	go func() { // descriptors come and go
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
	f, err := RunClosedLoop(ClientLoad{Addr: node.Addr, Clients: dayClients, Length: d.length, Class: "viewer-clip", BodySize: SmallBody})
	if err != nil {
		t.Fatal(err)
	}
	stop <- true
	stop <- true
	c.cpu, c.peakMB, c.connections, c.listBytes = node.CPUTime(), peakMemory(t, node.Pid()), made.Load(), lists.Load()
	c.served = float64(f.Served) / float64(f.Requests)
	return c
}

// config is that of the first node.
func (d day) config(discovery string, known hosts.List) nodeconf.Config {
	s := &scenario.Scenario{Zones: []scenario.Zone{{Name: "hall", Nodes: d.nodes, Servers: map[string]int{"fast-6": d.servers}}}}
	c := nodeconf.Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: discovery, Seed: "1", PeerListen: "127.0.0.1:0",
		Limits: nodeconf.Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, InitialList: known, Settings: nodeconf.Settings(s, 0)}
	for i := range d.nodes { // nobody is there
		c.Peers = append(c.Peers, fmt.Sprintf("127.9.%d.%d:9", i/250, i%250+1))
	}
	return c
}

// replace replaces half of the servers in steps, until it is stopped.
func (d day) replace(service *hosts.Service, stop chan bool) {
	steps := int(d.length / replaceEvery)
	for step, replaced := 1, 0; ; step++ {
		select {
		case <-stop:
			return
		case <-time.After(replaceEvery):
		}
		for ; replaced < min(step, steps)*d.servers/2/steps; replaced++ {
			service.SetNow(entryOf(replaced, hosts.Removed))
			e := entryOf(d.servers+replaced, hosts.Up)
			e.StartedAtMs = time.Now().UnixMilli()
			service.SetNow(e)
		}
	}
}

func entryOf(number int, lifecycle string) hosts.Entry {
	return hosts.Entry{InstanceID: fmt.Sprint("s", number), Zone: "hall", MachineType: "fast-6", Lifecycle: lifecycle, Weight: 1}
}

// countingServers are a few addresses that stand for many servers, and count connections.
func countingServers(t *testing.T, made *atomic.Int64) (addrs []string) {
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
				made.Add(1)
				go answer(c, dayWork, SmallBody)
			}
		}()
	}
	return addrs
}

// countingForwarder passes connections on and counts what comes back.
func countingForwarder(t *testing.T, to string, back *atomic.Int64) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			go func() { io.Copy(far, near); far.Close() }()
			go func() { io.Copy(counter{near, back}, far); near.Close() }()
		}
	}()
	return l.Addr().String()
}

// counter counts what is written.
type counter struct {
	io.Writer
	bytes *atomic.Int64
}

func (c counter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// peakMemory is the most memory that a process had, in MB (VmHWM, proc(5)).
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
