package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds the processes and the record of one run of a case.
type lab struct {
	root, dir string // the repository's root; a temporary folder
	trouble   bool
	began     time.Time

	mu     sync.Mutex
	record *os.File
	failed error // why the case could not be run
	procs  []*process
}

// process is a program that the case started, in a process group of its own.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// newLab opens record.txt in the current folder, which is the case's.
func newLab() *lab {
	root, err := filepath.Abs("../..")
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	record, err := os.Create("record.txt")
	check(err)
	return &lab{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
}

// cannotRun ends the case with 2: it could not be run.
type cannotRun struct{ error }

func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// fail records from any goroutine that the case could not be run.
func (l *lab) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = err
	}
}

// logf writes a line with the time since the start of the run to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a shell command from the root and calls onLine with each line that it writes.
func (l *lab) start(name, command string, env []string, files []*os.File, onLine func(string)) *process {
	p := &process{name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Env, p.cmd.ExtraFiles = l.root, append(os.Environ(), env...), files
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	check(err)
	p.cmd.Stdout, p.cmd.Stderr = w, w
	check(p.cmd.Start())
	w.Close()
	l.logf("started %s: %s (process %d)", name, command, p.cmd.Process.Pid)
	go func() {
		s := bufio.NewScanner(r)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			if onLine != nil {
				onLine(s.Text())
			}
		}
		r.Close()
	}()
	go func() {
		err := p.cmd.Wait()
		l.logf("%s has ended: %v", name, err)
		close(p.done)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	return p
}

func (p *process) signal(s syscall.Signal) { syscall.Kill(-p.cmd.Process.Pid, s) }

// end ends all processes and removes the temporary folder.
func (l *lab) end() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.done:
		default:
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	os.RemoveAll(l.dir)
	l.record.Close()
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer listener.Close()
	return listener.Addr().String()
}

// class is a class of the settings.
type class struct {
	Name        string
	Effect      string // retryable, dedup or fragile
	Scope       string
	Window, Aim time.Duration
	Deadline    time.Duration // give_up
	Importance  float64
}

// The classes of kampklip-aarhus.
var kampklip = []class{
	{Name: "broadcast-clip", Effect: "retryable", Scope: "all", Window: 5 * time.Second, Aim: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Importance: 12},
	{Name: "viewer-clip", Effect: "retryable", Scope: "all", Window: 5 * time.Second, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Importance: 1},
	{Name: "cut-order", Effect: "fragile", Scope: "all", Window: 5 * time.Second, Aim: 2 * time.Second, Deadline: 6 * time.Second, Importance: 1},
	{Name: "tag-event", Effect: "dedup", Scope: "cell", Window: 8 * time.Second, Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Importance: 1},
}

// nodeConfig describes one node of the deployment.
type nodeConfig struct {
	Name, Listen, Discovery, Console string
	Number, Nodes                    int
	Zone                             string
	MemoryMB, Sockets                int
	Classes                          []class
	Known                            list
	Membership                       string // on_request or pushed
}

// json returns the node's configuration in the form of the deployment page.
func (c nodeConfig) json() []byte {
	var classes []map[string]any
	for _, k := range c.Classes {
		classes = append(classes, map[string]any{"name": k.Name, "effect": k.Effect, "key_scope": k.Scope, "dedup_window_ns": k.Window,
			"aim_ns": k.Aim, "give_up_ns": k.Deadline, "importance": k.Importance, "late_worth": 0.0, "streamed": false})
	}
	settings := map[string]any{"accounts": []any{}, "balancers": c.Nodes, "slot_no": c.Number, "zone": c.Zone,
		"failure_domains": []string{"hall-nord", "hall-syd", "hall-vest"}, "kinds": []string{"fast-6", "std-6", "slow-6"},
		"caps": map[string]any{"cancel": true, "conn_idle_ns": 60e9, "connect_timeout_ns": 250e6, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
			"max_attempts": 4, "max_retry_after_ns": 2e9, "may_duplicate": true, "most_held": 20000, "multiplex": 100, "peers": false, "probes": true, "retry_after": true},
		"charges":       map[string]any{"connection": 0.03, "cross_zone": 0.02, "handshake": 0.03, "late_fail": 0.08, "membership_mode": 0.0, "peer": 0.01, "probe": 0.01, "waste": 0.05},
		"classes":       classes,
		"client_habits": map[string]any{"marks_retry": false}, "family": "proxy",
		"goal": map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
		"invariants": map[string]any{"answer_slack_ns": 20e6, "ask_within_ns": 10e9, "cold_from": 0.32, "cold_ns": 8.3e9, "drain_grace_ns": 500e6,
			"overload_factor": 2.5, "tip_after_ns": 1e9},
		"membership_mode": c.Membership, "over_share_worth": 0.05, "report": map[string]any{"fields": []string{"inflight", "queue"}, "how": "probe"},
		"specifics": map[string]any{"warm_keys": false}, "tick_ns": 5e6, "tier": 0, "tiers": []string{"clip-web"}, "weight_kind": "nominal", "worth_by": "request"}
	config := map[string]any{"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets}, "known": c.Known, "settings": settings}
	if c.Console != "" {
		config["console"] = c.Console
	}
	raw, err := json.MarshalIndent(config, "", " ")
	check(err)
	return raw
}

// startNode starts a node by the deploy file's command and waits until GET /up answers 200.
func (l *lab) startNode(c nodeConfig) *process {
	path := filepath.Join(l.dir, c.Name+".json")
	check(os.WriteFile(path, c.json(), 0o600))
	tmp := filepath.Join(l.dir, c.Name)
	check(os.MkdirAll(tmp, 0o700))
	p := l.start(c.Name, "exec bin/ivylock", []string{"PROXY_CONFIG=" + path, "PROXY_NAME=" + c.Name, "PROXY_LISTEN=" + c.Listen,
		"PROXY_DISCOVERY=" + c.Discovery, "TMPDIR=" + tmp}, nil, func(line string) { l.logf("%s: %s", c.Name, line) })
	for range 1000 {
		if conn, err := net.Dial("tcp", c.Listen); err == nil {
			fmt.Fprintf(conn, "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
			conn.SetReadDeadline(time.Now().Add(time.Second))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if strings.HasPrefix(line, "HTTP/1.1 200") {
				return p
			}
		}
		select {
		case <-p.done:
			panic(cannotRun{fmt.Errorf("%s did not start", c.Name)})
		case <-time.After(20 * time.Millisecond):
		}
	}
	panic(cannotRun{fmt.Errorf("%s is not ready", c.Name)})
}

// list is discovery's list.
type list struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

type entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}
