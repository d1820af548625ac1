package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"ivylock/internal/bounded"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/nodeconf"
	"ivylock/internal/lab/perf"
	"ivylock/internal/lab/process"
	"ivylock/internal/lab/scenario"
)

// reverseProxyCommand is the internal command with which bench starts the
// standard library's proxy.
const reverseProxyCommand = "reverse-proxy"

// reverseProxy runs net/http/httputil's proxy for the given servers on one core,
// until ctx is done.
func (a *app) reverseProxy(ctx context.Context, servers []string) int {
	runtime.GOMAXPROCS(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	fmt.Fprintf(a.err, "reverse-proxy serves on %s\n", l.Addr())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", perf.ReverseProxy(servers))
	s := &http.Server{Handler: mux}
	go func() { <-ctx.Done(); s.Close() }()
	s.Serve(l)
	return ExitPassed
}

// bench measures the node on one core and net/http/httputil's proxy for the same
// servers, in turn.
func (a *app) bench(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("bench", flag.ContinueOnError)
	rounds := f.Int("rounds", 3, "how `often` each is measured, in turn")
	length := f.Duration("length", 4*time.Second, "how `long` each time")
	work := f.Duration("work", 0, "what a server `takes` for an answer")
	body := f.Int("body", perf.SmallBody, "of an answer, in `bytes`")
	program := f.String("node", "", "the node's `program`; empty: it is built from this source tree")
	against := f.String("against", "", "another node's `program`, instead of the standard library's proxy: both run beside one another and are loaded in turn")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if *rounds < 1 || *rounds > 100 || *length < 500*time.Millisecond || *length > time.Minute {
		return a.fail(ExitUsage, errors.New("want 1 to 100 rounds of 500ms to 1m"))
	}
	dir, err := os.MkdirTemp("", "ivylab-bench-")
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	defer os.RemoveAll(dir)
	if *program == "" {
		*program = filepath.Join(dir, "ivylock")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", *program, "ivylock/cmd/ivylock").CombinedOutput(); err != nil {
			return a.fail(ExitUsage, fmt.Errorf("the node could not be built here (-node names one that is): %v %s", err, strings.TrimSpace(string(out))))
		}
	}
	if *body < 0 || *body > 64<<20 {
		return a.fail(ExitUsage, errors.New("want a body of 0 to 64 MiB"))
	}
	servers, stop, err := perf.StartServers(4, *work, *body)
	if err != nil {
		return a.fail(ExitFailed, err)
	}
	defer stop()
	fmt.Fprintf(a.out, "4 servers that answer %d bytes after %v, closed-loop clients, one core for each proxy, %d rounds of %v\n", *body, *work, *rounds, *length)
	if *against != "" {
		return a.compareNodes(ctx, dir, [2]string{*program, *against}, servers, *rounds, *body, *length)
	}
	fmt.Fprintf(a.out, "%-8s %-14s %10s %10s %9s %9s %9s\n", "clients", "proxy", "answers/s", "CPU us", "p50 us", "p99 us", "refused")
	clientCounts := []int{1, 16, 64}
	if *body > bounded.MaxBufferedBody { // a single client measures the cost per byte
		clientCounts = clientCounts[:1]
	}
	for _, clients := range clientCounts {
		var rate, cpu, p50, p99 []float64 // ratios of node to reverse proxy
		var nodeCPU []float64             // CPU time of the node, us per request
		for range *rounds {
			node, err := a.measure(ctx, dir, *program, servers, clients, *body, *length)
			if err != nil {
				return a.fail(ExitFailed, err)
			}
			other, err := a.measure(ctx, dir, "", servers, clients, *body, *length)
			if err != nil {
				return a.fail(ExitFailed, err)
			}
			for _, m := range []measurement{node, other} {
				fmt.Fprintf(a.out, "%-8d %-14s %10.0f %10.1f %9d %9d %8.2f%%\n", clients, m.name, m.Rate, m.cpu, m.P50.Microseconds(), m.P99.Microseconds(),
					100*float64(m.Refused+m.Failed)/float64(max(1, m.Requests)))
			}
			nodeCPU = append(nodeCPU, node.cpu)
			rate, cpu = append(rate, node.Rate/other.Rate), append(cpu, node.cpu/other.cpu)
			p50, p99 = append(p50, ratio(node.P50, other.P50)), append(p99, ratio(node.P99, other.P99))
		}
		if *body > bounded.MaxBufferedBody {
			fmt.Fprintf(a.out, "%-8d CPU of the node for each MB, median: %.0f us\n", clients, median(nodeCPU)/(float64(*body)/1e6))
		}
		fmt.Fprintf(a.out, "%-8d node / reverse proxy, medians: answers/s %.2f, CPU a request %.2f, p50 %.2f, p99 %.2f\n", clients,
			median(rate), median(cpu), median(p50), median(p99))
	}
	return ExitPassed
}

// compareNodes compares two builds of the node: both processes run at the same
// time and are loaded in turn, so that changes in the load of the machine affect both.
func (a *app) compareNodes(ctx context.Context, dir string, programs [2]string, servers []string, rounds, body int, length time.Duration) int {
	var nodes [2]*process.Process
	for i, program := range programs {
		p, err := process.StartNode(program, dir, benchConfig(servers), process.Options{})
		if err != nil {
			return a.fail(ExitFailed, err)
		}
		defer p.Kill()
		nodes[i] = p
	}
	fmt.Fprintf(a.out, "%-8s %12s %12s %8s %8s %8s\n", "clients", "CPU us", "against", "ratio", "least", "most")
	for _, clients := range []int{1, 16, 64} {
		var cpu [2][]float64
		var ratios []float64
		for round := range rounds + 1 {
			var current [2]float64
			for k := range nodes {
				i := (k + round) % 2
				if ctx.Err() != nil {
					return a.fail(ExitFailed, ctx.Err())
				}
				before := nodes[i].CPUTime()
				results, err := perf.RunClosedLoop(perf.ClientLoad{Addr: nodes[i].Addr, Clients: clients, Length: length, Class: "viewer-clip", BodySize: body})
				if err != nil {
					return a.fail(ExitFailed, err)
				}
				current[i] = float64((nodes[i].CPUTime() - before).Microseconds()) / float64(max(1, results.Requests))
			}
			if round == 0 {
				continue // warmup
			}
			for i := range nodes {
				cpu[i] = append(cpu[i], current[i])
			}
			ratios = append(ratios, current[0]/current[1])
		}
		fmt.Fprintf(a.out, "%-8d %12.1f %12.1f %8.3f %8.3f %8.3f\n", clients, median(cpu[0]), median(cpu[1]), median(ratios), slices.Min(ratios), slices.Max(ratios))
	}
	return ExitPassed
}

type measurement struct {
	perf.Results
	name string
	cpu  float64 // us per request
}

func ratio(x, y time.Duration) float64 { return float64(x) / float64(max(1, y)) }

func median(values []float64) float64 {
	durations := make([]time.Duration, len(values))
	for i, v := range values {
		durations[i] = time.Duration(v * 1e6)
	}
	return float64(judge.Quantile(durations, 0.5)) / 1e6
}

// measure starts a proxy, warms it up, measures it and kills it. An empty program
// means the standard library's proxy.
func (a *app) measure(ctx context.Context, dir, program string, servers []string, clients, body int, length time.Duration) (measurement, error) {
	if ctx.Err() != nil {
		return measurement{}, ctx.Err()
	}
	m := measurement{name: "reverse proxy"}
	var p *process.Process
	var err error
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return m, err
		}
		p, err = process.StartCommand(append([]string{self, reverseProxyCommand}, servers...), m.name)
		if err != nil {
			return m, err
		}
	} else {
		m.name = "node"
		if p, err = process.StartNode(program, dir, benchConfig(servers), process.Options{}); err != nil {
			return m, err
		}
	}
	defer p.Kill()
	// Light load first, so that the node can measure the speed of its servers.
	for _, warm := range []int{1, clients} {
		if _, err = perf.RunClosedLoop(perf.ClientLoad{Addr: p.Addr, Clients: warm, Length: length / 4, Class: "viewer-clip", BodySize: body}); err != nil {
			return m, err
		}
	}
	before := p.CPUTime()
	if m.Results, err = perf.RunClosedLoop(perf.ClientLoad{Addr: p.Addr, Clients: clients, Length: length, Class: "viewer-clip", BodySize: body}); err != nil {
		return m, err
	}
	m.cpu = float64((p.CPUTime() - before).Microseconds()) / float64(max(1, m.Requests))
	return m, nil
}

func benchConfig(servers []string) nodeconf.Config {
	s := &scenario.Scenario{Zones: []scenario.Zone{{Name: "hall", Nodes: 1, Servers: map[string]int{"fast-6": len(servers)}}}}
	c := nodeconf.Config{Name: "bench", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: "1",
		Limits: nodeconf.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, InitialList: hosts.List{Generation: 1, Reset: true}, Settings: nodeconf.Settings(s, 0)}
	for i, addr := range servers {
		c.InitialList.Instances = append(c.InitialList.Instances, hosts.Entry{InstanceID: fmt.Sprint("s", i), HostPort: addr, Zone: "hall",
			MachineType: "fast-6", Lifecycle: hosts.Up, Weight: 1})
	}
	return c
}
