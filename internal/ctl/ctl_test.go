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

// testRecords returns the records of three processes; the third was cut off from
// its source and sent requests to a withdrawn server.
func testRecords() []version.Record {
	const start = 1_800_000_000 * time.Second
	var recs []*version.Recorder
	var clocks []*version.HybridClock
	for i := range 3 {
		clocks = append(clocks, &version.HybridClock{})
		recs = append(recs, version.NewRecorder(fmt.Sprintf("n%d", i), i, start, clocks[i]))
	}
	recordVersion := func(i int, now time.Duration, generation uint32) version.Vector {
		v := version.Vector{List: version.List{Generation: generation, Digest: generation}, Format: version.FormatVersion}
		recs[i].RecordVersion(now, v)
		recs[i].RecordConfirmed(now)
		recs[i].RecordApplied(v.List)
		return v
	}
	for i := range 3 {
		recordVersion(i, start+time.Second, 40)
	}
	for i := range 2 {
		v := recordVersion(i, start+5*time.Second, 41)
		recs[i].RecordWithdrawal(start+5*time.Second, "s-1", version.Draining, v.List, version.OwnSource)
	}
	recs[2].SendCounter("s-1").Add(start + 8*time.Second)
	var out []version.Record
	for i := range 3 {
		for j := range 3 {
			if i != j {
				v := version.Vector{List: version.List{Generation: 41 - uint32(j/2), Digest: 41 - uint32(j/2)}, Format: version.FormatVersion, Clock: clocks[j].Now(start + 9*time.Second)}
				recs[i].RecordPeer(start+9*time.Second, j, v)
			}
		}
	}
	for i := range 2 {
		recs[i].RecordConfirmed(start + 9*time.Second)
	}
	for i := range 3 {
		out = append(out, recs[i].Snapshot(start+10*time.Second))
	}
	out[0].Members, out[0].Majority = []version.Member{{Process: 0, Status: "alive"}, {Process: 1, Status: "alive"}, {Process: 2, Status: "suspect"}}, true
	return out
}

func TestCommandsPrintResultsAndExitCodes(t *testing.T) {
	records := testRecords()
	mux := http.NewServeMux()
	mux.HandleFunc("/fleet/record", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(records[0]) })
	console := httptest.NewServer(mux)
	defer console.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, "records")
	var raw []byte
	controlRecord := version.Record{Process: "control-1", Number: -1, ControlService: true, Incarnation: 1, TakenAt: records[0].TakenAt,
		Intervals: []version.Interval{{Version: version.Vector{List: version.List{Generation: 41, Digest: 41}}}},
		Proxies: []version.ProxyRecord{{Proxy: "studio-7", Joined: 1, State: "refuses", Why: "no such field",
			Control: version.Control{Service: "control-1", Incarnation: 1, Accepted: 3, BasedOn: version.List{Generation: 41, Digest: 41}}}}}
	for _, r := range append(records[1:], controlRecord) {
		raw, _ = version.AppendLine(raw, &r)
	}
	if err := os.WriteFile(file, append(raw, "cut sh"...), 0o600); err != nil {
		t.Fatal(err)
	}
	sourceFlags := []string{"--console", strings.TrimPrefix(console.URL, "http://") + ",127.0.0.1:1", "--file", file}
	plotPath := filepath.Join(dir, "versions.png")
	for _, c := range []struct {
		args       []string
		wantCode   int
		wantOutput []string // substrings of the output
		wantError  string
	}{
		{append([]string{"fleet", "versions", "--plot", plotPath, "--size", "4"}, sourceFlags...), ExitProblemsFound, []string{"n0", "current", "behind", "cut off from its source", "process 3", "unknown"}, "1 lines are spoilt"},
		{append([]string{"fleet", "audit"}, sourceFlags...), ExitProblemsFound, []string{"n2", "s-1", "another", "certain"}, "no record from 127.0.0.1:1"},
		{append([]string{"fleet", "audit", "--json"}, sourceFlags...), ExitProblemsFound, []string{`"server": "s-1"`, `"path"`}, ""},
		{append([]string{"fleet", "changes"}, sourceFlags...), ExitOK, []string{"0.41", "never"}, ""},
		{append([]string{"fleet", "why", "n2"}, sourceFlags...), ExitOK, []string{"behind (certain)", "n0 knew at", "sent 1 or more to s-1 too late, the last 3s"}, ""},
		{append([]string{"fleet", "members"}, sourceFlags...), ExitProblemsFound, []string{"n0", "n2 suspect", "true"}, ""},
		{append([]string{"fleet", "proxies"}, sourceFlags...), ExitProblemsFound, []string{"studio-7", "control-1", "0.41", "refuses: no such field"}, ""},
		{append([]string{"fleet", "why", "n9"}, sourceFlags...), ExitUsage, nil, "no process \"n9\""},
		{[]string{"fleet", "audit", "--file", filepath.Join(dir, "none")}, ExitNoRecords, nil, "no record was to be had"},
		{[]string{"fleet", "audit", "--frist", "x"}, ExitUsage, nil, "unknown flag"},
	} {
		var stdout, stderr bytes.Buffer
		if code := Run(c.args, &stdout, &stderr); code != c.wantCode {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, code, c.wantCode, stderr.String())
		}
		for _, want := range c.wantOutput {
			if !strings.Contains(stdout.String(), want) {
				t.Errorf("%v: no %q in:\n%s", c.args, want, stdout.String())
			}
		}
		if !strings.Contains(stderr.String(), c.wantError) {
			t.Errorf("%v: no %q in %q", c.args, c.wantError, stderr.String())
		}
	}
	if png, err := os.ReadFile(plotPath); err != nil || !bytes.HasPrefix(png, []byte("\x89PNG")) {
		t.Errorf("no PNG file: %v", err)
	}
}
