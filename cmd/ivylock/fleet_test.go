package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ivylock/fleet/version"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/nodetest"
)

// record returns the fleet record of a process.
func (proc *process) record(t *testing.T) version.Record {
	t.Helper()
	resp, err := http.Get(proc.console + "/fleet/record")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var r version.Record
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s, %v", resp.Status, err)
	}
	return r
}

// A server drains while the old process is paused during an upgrade: neither process sends
// to it afterwards, and the new process's record includes the old one's.
func TestUpgradeWhileOldProcessIsPaused(t *testing.T) {
	operator := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(operator, []byte("[fleet]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("IVYLOCK_OPERATOR", operator)
	p := newPlatform(t)
	p.startDiscovery(func(history.Event) {})
	raw, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	p.config = write(t, strings.Replace(strings.Replace(string(raw), `"name":"n0"`, `"name":"n0","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9"],"peers_all":"127.0.0.1:9"`, 1),
		`"retry_after":true`, `"retry_after":true,"peers":true`, 1))
	old := p.startReady()
	request := func(what string, n int) {
		t.Helper()
		for i := range n {
			if err := p.request("clip", fmt.Sprintf("%s-%d", what, i)); err != nil && !strings.HasPrefix(err.Error(), "503") {
				t.Fatalf("%s %d: %v", what, i, err)
			}
		}
	}
	request("first", 20)
	if len(old.record(t).Servers) == 0 {
		t.Error("the record does not name the servers that got requests")
	}
	time.Sleep(600 * time.Millisecond) // until the state for the next process is stored
	old.Process.Signal(syscall.SIGSTOP)
	next := p.startReady()
	p.hosts.SetNow(hosts.Entry{InstanceID: "s-0", Zone: "z", MachineType: "m", Lifecycle: hosts.Draining, Weight: 1})
	drained := time.Now()
	time.Sleep(1500 * time.Millisecond)
	old.Process.Signal(syscall.SIGCONT)
	request("then", 60)
	p.mu.Lock()
	if last := p.lastRequestAt[0]; last.After(drained.Add(500 * time.Millisecond)) {
		t.Errorf("a request went to the draining server %v after the drain", last.Sub(drained))
	}
	p.mu.Unlock()
	if pauses := old.record(t).Pauses; len(pauses) == 0 || pauses[0].Duration < time.Second {
		t.Errorf("pauses of the old process: %+v", pauses)
	}
	old.terminate(t, syscall.SIGTERM)
	if b := next.record(t).Predecessors; len(b) != 1 || b[0].Sends < 20 {
		t.Errorf("predecessors in the new process's record: %+v", b)
	}
}

// An error in the operator's file is reported in one line with exit code 2, before anything
// listens.
func TestInvalidOperatorFileExitsAtOnce(t *testing.T) {
	for text, want := range map[string]string{
		"[fleet]\nhelo = \"1s\"\n":                           ":2: unknown key fleet.helo",
		"[fleet]\n\nnarrow_after = 3\n":                      ":3: narrow_after: nobody can tell what a bare number counts",
		"[fleet]\nclose_after = \"1s\"\n":                    ":2: close_after must be longer than narrow_after",
		"[fleet]\none_teller = 0.6\n":                        ":2: one_teller must be at most all_tellers",
		"[fleet]\nfanout = 900\n":                            ":2: fanout must be from 1 to 64",
		"[fleet]\nrecord_every = \"1ms\"\n":                  ":2: record_every must be from",
		"[fleet]\nsource_part = 1.5\n":                       ":2: source_part must be a part of 1",
		"[fleet]\nhello_to = 0\n\n[flete]\nhello = \"1s\"\n": ":4: unknown key flete",
	} {
		operator := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("IVYLOCK_OPERATOR", operator)
		out, err := command(write(t, nodetest.ConfigJSON(nodetest.ClosedAddr(t)))).CombinedOutput()
		code := -1
		if x, ok := err.(*exec.ExitError); ok {
			code = x.ExitCode()
		}
		if line := string(out); code != 2 || strings.Count(line, "\n") != 1 || !strings.Contains(line, operator+want) {
			t.Errorf("%q: exit code %d, %q", text, code, line)
		}
	}
}
