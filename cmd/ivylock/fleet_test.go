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

// record asks a process's console what it has acted on.
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

// An upgrade while the old process stands still and a server drains: neither sends
// there once it goes on, and the new process's record tells of the old one's.
func TestAnUpgradeWhileTheOldProcessStandsStill(t *testing.T) {
	operator := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(operator, []byte("[fleet]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("IVYLOCK_OPERATOR", operator)
	p := newPlatform(t)
	p.discover(func(history.Event) {})
	raw, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	p.config = write(t, strings.Replace(strings.Replace(string(raw), `"name":"n0"`, `"name":"n0","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9"],"peers_all":"127.0.0.1:9"`, 1),
		`"retry_after":true`, `"retry_after":true,"peers":true`, 1))
	old := p.up()
	ask := func(what string, n int) {
		t.Helper()
		for i := range n {
			if err := p.ask("clip", fmt.Sprintf("%s-%d", what, i)); err != nil && !strings.HasPrefix(err.Error(), "503") {
				t.Fatalf("%s %d: %v", what, i, err)
			}
		}
	}
	ask("first", 20)
	if len(old.record(t).Servers) == 0 {
		t.Error("its record does not name the servers that it sent to")
	}
	time.Sleep(600 * time.Millisecond) // the state for the next process is written by then
	old.Process.Signal(syscall.SIGSTOP)
	next := p.up()
	p.hosts.SetNow(hosts.Entry{InstanceID: "s-0", Zone: "z", MachineType: "m", Lifecycle: hosts.Draining, Weight: 1})
	drained := time.Now()
	time.Sleep(1500 * time.Millisecond)
	old.Process.Signal(syscall.SIGCONT)
	ask("then", 60)
	p.mu.Lock()
	if last := p.last[0]; last.After(drained.Add(500 * time.Millisecond)) {
		t.Errorf("a request went to the draining server %v after the word", last.Sub(drained))
	}
	p.mu.Unlock()
	if stops := old.record(t).Pauses; len(stops) == 0 || stops[0].Duration < time.Second {
		t.Errorf("the old process's stops: %+v", stops)
	}
	old.end(t, syscall.SIGTERM)
	if b := next.record(t).Predecessors; len(b) != 1 || b[0].Sends < 20 {
		t.Errorf("the new process knows of the old one: %+v", b)
	}
}

// What is wrong with the operator's file is one line, and exit code 2, before anything
// listens.
func TestABadOperatorsFileEndsTheNodeAtOnce(t *testing.T) {
	for text, says := range map[string]string{
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
		if line := string(out); code != 2 || strings.Count(line, "\n") != 1 || !strings.Contains(line, operator+says) {
			t.Errorf("%q: exit code %d, %q", text, code, line)
		}
	}
}
