package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ivylock/fleet/version"
)

// fleet gives the records of three processes; the third was cut off from its source
// and sent to a server that was withdrawn.
func fleet() []version.Record {
	const began = 1_800_000_000 * time.Second
	var recs []*version.Recorder
	var clocks []*version.HybridClock
	for i := range 3 {
		clocks = append(clocks, &version.HybridClock{})
		recs = append(recs, version.NewRecorder(fmt.Sprintf("n%d", i), i, began, clocks[i]))
	}
	acts := func(i int, now time.Duration, generation uint32) version.Vector {
		v := version.Vector{List: version.List{Generation: generation, Digest: generation}, Format: version.FormatVersion}
		recs[i].RecordVersion(now, v)
		recs[i].RecordConfirmed(now)
		recs[i].RecordApplied(v.List)
		return v
	}
	for i := range 3 {
		acts(i, began+time.Second, 40)
	}
	for i := range 2 {
		v := acts(i, began+5*time.Second, 41)
		recs[i].RecordWithdrawal(began+5*time.Second, "s-1", version.Draining, v.List, version.OwnSource)
	}
	recs[2].SendCounter("s-1").Add(began + 8*time.Second)
	var out []version.Record
	for i := range 3 {
		for j := range 3 {
			if i != j {
				v := version.Vector{List: version.List{Generation: 41 - uint32(j/2), Digest: 41 - uint32(j/2)}, Format: version.FormatVersion, Clock: clocks[j].Now(began + 9*time.Second)}
				recs[i].RecordPeer(began+9*time.Second, j, v)
			}
		}
	}
	for i := range 2 {
		recs[i].RecordConfirmed(began + 9*time.Second)
	}
	for i := range 3 {
		out = append(out, recs[i].Snapshot(began+10*time.Second))
	}
	out[0].Members, out[0].Majority = []version.Member{{Process: 0, Status: "alive"}, {Process: 1, Status: "alive"}, {Process: 2, Status: "suspect"}}, true
	return out
}

func TestCommands(t *testing.T) {
	records := fleet()
	mux := http.NewServeMux()
	mux.HandleFunc("/fleet/record", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(records[0]) })
	console := httptest.NewServer(mux)
	defer console.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, "records")
	var raw []byte
	steers := version.Record{Process: "control-1", Number: -1, ControlService: true, Incarnation: 1, TakenAt: records[0].TakenAt,
		Intervals: []version.Interval{{Version: version.Vector{List: version.List{Generation: 41, Digest: 41}}}},
		Proxies: []version.ProxyRecord{{Proxy: "studio-7", Joined: 1, State: "refuses", Why: "no such field",
			Control: version.Control{Service: "control-1", Incarnation: 1, Accepted: 3, BasedOn: version.List{Generation: 41, Digest: 41}}}}}
	for _, r := range append(records[1:], steers) {
		raw, _ = version.AppendLine(raw, &r)
	}
	if err := os.WriteFile(file, append(raw, "cut sh"...), 0o600); err != nil {
		t.Fatal(err)
	}
	from := []string{"--console", strings.TrimPrefix(console.URL, "http://") + ",127.0.0.1:1", "--file", file}
	picture := filepath.Join(dir, "versions.png")
	for _, x := range []struct {
		args []string
		code int
		out  []string // what it prints
		err  string
	}{
		{append([]string{"fleet", "versions", "--plot", picture, "--size", "4"}, from...), ExitProblemsFound, []string{"n0", "current", "behind", "cut off from its source", "process 3", "unknown"}, "1 lines are spoilt"},
		{append([]string{"fleet", "audit"}, from...), ExitProblemsFound, []string{"n2", "s-1", "another", "certain"}, "no record from 127.0.0.1:1"},
		{append([]string{"fleet", "audit", "--json"}, from...), ExitProblemsFound, []string{`"server": "s-1"`, `"path"`}, ""},
		{append([]string{"fleet", "changes"}, from...), ExitOK, []string{"0.41", "never"}, ""},
		{append([]string{"fleet", "why", "n2"}, from...), ExitOK, []string{"behind (certain)", "n0 knew at", "sent 1 or more to s-1 too late, the last 3s"}, ""},
		{append([]string{"fleet", "members"}, from...), ExitProblemsFound, []string{"n0", "n2 suspect", "true"}, ""},
		{append([]string{"fleet", "proxies"}, from...), ExitProblemsFound, []string{"studio-7", "control-1", "0.41", "refuses: no such field"}, ""},
		{append([]string{"fleet", "why", "n9"}, from...), ExitUsage, nil, "no process \"n9\""},
		{[]string{"fleet", "audit", "--file", filepath.Join(dir, "none")}, ExitNoRecords, nil, "no record was to be had"},
		{[]string{"fleet", "audit", "--frist", "x"}, ExitUsage, nil, "unknown flag"},
	} {
		var out, errs bytes.Buffer
		if code := Run(x.args, &out, &errs); code != x.code {
			t.Errorf("%v: exit code %d, want %d: %s", x.args, code, x.code, errs.String())
		}
		for _, want := range x.out {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%v: no %q in:\n%s", x.args, want, out.String())
			}
		}
		if !strings.Contains(errs.String(), x.err) {
			t.Errorf("%v: no %q in %q", x.args, x.err, errs.String())
		}
	}
	if png, err := os.ReadFile(picture); err != nil || !bytes.HasPrefix(png, []byte("\x89PNG")) {
		t.Errorf("no picture: %v", err)
	}
}
