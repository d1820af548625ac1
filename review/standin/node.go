package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

type object = map[string]any

// deployCommand returns the value of the key "run" of the deploy file.
func deployCommand(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		key, value, found := strings.Cut(line, "=")
		if parts := strings.Split(value, `"`); found && strings.TrimSpace(key) == "run" && len(parts) >= 3 {
			return parts[1], nil
		}
	}
	return "", errors.New("the deploy file has no key run")
}

// settings are those of the deployment kampklip-aarhus, for one node.
func settings() object {
	class := func(name, effect, scope string, aim, deadline time.Duration, worth float64) object {
		return object{"name": name, "effect": effect, "key_scope": scope, "aim_ns": aim, "give_up_ns": deadline,
			"importance": worth, "dedup_window_ns": 8 * time.Second, "late_worth": 0.0, "streamed": false}
	}
	return object{
		"accounts": []object{}, "balancers": 1, "slot_no": 0, "zone": "hall-nord",
		"failure_domains": []string{"hall-nord", "hall-syd", "hall-vest"}, "kinds": []string{"fast-6", "std-6", "slow-6"},
		"family": "proxy", "tier": 0, "tiers": []string{"clip-web"},
		"caps": object{"cancel": true, "conn_idle_ns": 60e9, "connect_timeout_ns": 250e6, "cpu_us_per_request": 0,
			"cpu_us_per_s": 15000, "max_attempts": 4, "max_retry_after_ns": 2e9, "may_duplicate": true, "most_held": 20000,
			"multiplex": 1, "peers": false, "probes": true, "retry_after": true},
		"charges": object{"cross_zone": 0.02, "waste": 0.05, "probe": 0.01, "peer": 0.01, "late_fail": 0.08,
			"connection": 0.03, "handshake": 0.03},
		"classes": []object{
			class("broadcast-clip", "retryable", "all", 600*time.Millisecond, 1200*time.Millisecond, 12),
			class("viewer-clip", "retryable", "all", 600*time.Millisecond, 2*time.Second, 1),
			class("cut-order", "fragile", "all", 2*time.Second, 6*time.Second, 1),
			class("tag-event", "dedup", "cell", 1500*time.Millisecond, 4*time.Second, 1),
		},
		"client_habits": object{"marks_retry": false},
		"goal":          object{"whole": 0.6, "worst_window": 0.2, "worst_class": 0.2, "worst_tenant": 0},
		"invariants": object{"answer_slack_ns": 50e6, "ask_within_ns": 10e9, "cold_from": 0.32, "cold_ns": 8.3e9,
			"drain_grace_ns": 500e6, "overload_factor": 2.5, "tip_after_ns": 1e9},
		"membership_mode": "on_request", "over_share_worth": 0.05,
		"report":  object{"how": "probe", "fields": []string{"active", "waiting"}},
		"tick_ns": 5e6, "weight_kind": "nominal", "worth_by": "request",
	}
}

// nodeProcess is one process of a node.
type nodeProcess struct {
	name, addr, console string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// nodeSpec says how a node is started.
type nodeSpec struct {
	name      string
	addr      string // where clients connect; empty: a free one
	discovery string
	shared    string   // folder that the processes of one node share as TMPDIR; empty: its own
	inherited *os.File // the clients' listening socket, if the platform holds it
	initial   object   // the list as the node last had it
}

// startNode starts a process of a node by the deploy file's command, as the platform does.
func (r *run) startNode(spec nodeSpec) *nodeProcess {
	n := &nodeProcess{name: spec.name, addr: spec.addr, console: r.freeAddr(), exited: make(chan struct{})}
	if n.addr == "" {
		n.addr = r.freeAddr()
	}
	folder, err := os.MkdirTemp(r.tmp, spec.name+"-")
	if err != nil {
		r.failf("%v", err)
	}
	shared := spec.shared
	if shared == "" {
		shared = folder
	}
	config := object{"name": spec.name, "listen": n.addr, "console": n.console, "discovery": spec.discovery,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": spec.initial, "settings": settings()}
	raw, err := json.MarshalIndent(config, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, "config.json"), raw, 0o600)
	}
	logFile, logErr := os.Create(filepath.Join(folder, "log"))
	if err = errors.Join(err, logErr); err != nil {
		r.failf("%v", err)
	}
	n.cmd = exec.Command("/bin/sh", "-c", r.command)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = r.root, logFile, logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.cmd.Env = append(os.Environ(), "PROXY_NAME="+spec.name, "PROXY_LISTEN="+n.addr, "PROXY_CONSOLE="+n.console,
		"PROXY_DISCOVERY="+spec.discovery, "PROXY_CONFIG="+filepath.Join(folder, "config.json"), "TMPDIR="+shared)
	if spec.inherited != nil { // it becomes descriptor 7
		n.cmd.ExtraFiles = []*os.File{nil, nil, nil, nil, spec.inherited}
		n.cmd.Env = append(n.cmd.Env, "PROXY_INHERITED_FD=7")
	}
	if err := n.cmd.Start(); err != nil {
		r.failf("%v", err)
	}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	go func() {
		n.cmd.Wait()
		logFile.Close()
		close(n.exited)
		r.logf("process %d of node %s ended: %v", n.cmd.Process.Pid, spec.name, n.cmd.ProcessState)
	}()
	r.logf("process %d of node %s started: clients %s, console %s", n.cmd.Process.Pid, spec.name, n.addr, n.console)
	return n
}

// awaitReady waits until the process says at its console that it takes clients.
func (r *run) awaitReady(n *nodeProcess) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status, _ := callConsole(n.console, http.MethodGet, "/status", ""); status == http.StatusOK {
			r.logf("process %d takes clients", n.cmd.Process.Pid)
			return
		}
	}
	r.failf("process %d of node %s was not ready within 10 s", n.cmd.Process.Pid, n.name)
}

func (n *nodeProcess) signal(s os.Signal) { n.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (n *nodeProcess) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// callConsole makes an operator's call.
func callConsole(addr, method, path, body string) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

// freeAddr returns a free address on loopback. It is not on 127.0.0.1, where a connection of a
// client might take its port before the node listens there.
func (r *run) freeAddr() string {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		r.failf("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}
