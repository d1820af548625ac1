package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func run(ctx context.Context, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Run(ctx, args, &o, &e, 0)
	return code, o.String(), e.String()
}

func writeScenario(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const smallScenario = `name = "small"
length = "3s"
[load]
rate = 40.0
[[hall]]
name = "hall-nord"
nodes = 1
servers = { fast-6 = 3 }
[[fault]]
at = "1s"
for = "1s"
what = "drain"
who = ["hall-nord.1"]
[must]
faults_happen = true
`

func TestUsageErrorsExitWithTwo(t *testing.T) {
	bad := writeScenario(t, strings.Replace(smallScenario, `at = "1s"`, "at = 1", 1))
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "ivylab demo"},
		{[]string{"dance"}, "unknown command"},
		{[]string{"run"}, "which scenario"},
		{[]string{"run", "nothing"}, "no scenario"},
		{[]string{"run", "quiet", "twice"}, "one word too many"},
		{[]string{"run", bad}, "x.toml:10: at:"},
		{[]string{"sweep", "-seeds", "0"}, "want 1 to"},
		{[]string{"demo", "-seconds", "1"}, "want 5 to 600"},
		{[]string{"judge", "nothing"}, "no such file"},
	} {
		code, _, errs := run(context.Background(), c.args...)
		if code != ExitUsage || !strings.Contains(errs, c.want) {
			t.Errorf("%v: code %d, error %q, want %q", c.args, code, errs, c.want)
		}
	}
}

func TestListPrintsScenarios(t *testing.T) {
	code, out, errs := run(context.Background(), "list")
	if code != ExitPassed || !strings.Contains(out, "hall-lost") || !strings.Contains(out, "overlap") {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
}

func TestSimulatedRunWritesFilesThatJudgeReads(t *testing.T) {
	dir := t.TempDir()
	jsonFile, historyFile, reportFile := filepath.Join(dir, "a.json"), filepath.Join(dir, "a.hist"), filepath.Join(dir, "a.html")
	code, out, errs := run(context.Background(), "run", writeScenario(t, smallScenario), "-memory", "-json", jsonFile, "-history", historyFile, "-report", reportFile, "-seed", "9")
	if code != ExitPassed || !strings.Contains(out, "HELD") {
		t.Fatalf("code %d: %s%s", code, out, errs)
	}
	raw, err := os.ReadFile(jsonFile)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil || !r.Passed || r.Seed != 9 || r.Verdict.Service.Orders == 0 {
		t.Errorf("%+v, %v", r, err)
	}
	if info, err := os.Stat(reportFile); err != nil || info.Size() == 0 {
		t.Errorf("report: %v", err)
	}
	if code, out, errs := run(context.Background(), "judge", historyFile); code != ExitPassed {
		t.Errorf("judge: code %d: %s%s", code, out, errs)
	}
	// An unmet requirement is printed and changes the exit code.
	code, out, _ = run(context.Background(), "run", writeScenario(t, smallScenario+"[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"heavy\"\nclass = \"cut-order\"\npart = 0.000001\nfactor = 20.0\n"), "-memory")
	if code != ExitFailed || !strings.Contains(out, "DID NOT HOLD: fault 2 (heavy cut-order) did not happen") {
		t.Errorf("code %d: %s", code, out)
	}
}

func TestSweepPrintsCounts(t *testing.T) {
	code, out, errs := run(context.Background(), "sweep", "-seeds", "3", "-from", "100")
	if code != ExitPassed || !strings.Contains(out, "3 timelines") {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
	if code, out, errs = run(context.Background(), "sweep", "-deployments", "-seeds", "3"); code != ExitPassed || !strings.Contains(out, "3 deployments") {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
}

// nodeProcesses lists the processes that run the given program.
func nodeProcesses(t *testing.T, program string) string {
	t.Helper()
	dirs, _ := filepath.Glob("/proc/[0-9]*/exe")
	var out []string
	for _, exe := range dirs {
		if to, err := os.Readlink(exe); err == nil && strings.TrimSuffix(to, " (deleted)") == program {
			out = append(out, exe)
		}
	}
	return strings.Join(out, " ")
}

func TestRunsLeaveNoProcessBehind(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ivylock")
	if out, err := exec.Command("go", "build", "-o", program, "ivylock/cmd/ivylock").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	code, out, errs := run(context.Background(), "run", writeScenario(t, smallScenario), "-node", program)
	if code != ExitPassed {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
	if left := nodeProcesses(t, program); left != "" {
		t.Errorf("left behind: %s", left)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(700*time.Millisecond, cancel)
	code, out, errs = run(ctx, "demo", "-node", program, "-rate", "30", "-seconds", "60", "-report", filepath.Join(t.TempDir(), "x.html"))
	if code != ExitFailed || !strings.Contains(errs, "stopped") {
		t.Errorf("stopped: code %d: %s%s", code, out, errs)
	}
	if left := nodeProcesses(t, program); left != "" {
		t.Errorf("left behind after cancellation: %s", left)
	}
	// Killing the lab must end its nodes, too.
	lab := filepath.Join(t.TempDir(), "ivylab")
	if out, err := exec.Command("go", "build", "-o", lab, "ivylock/cmd/ivylab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(lab, "run", writeScenario(t, strings.Replace(smallScenario, `"3s"`, `"60s"`, 1)), "-node", program)
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("still not " + what)
			}
		}
	}
	waitUntil("started", func() bool { return nodeProcesses(t, program) != "" })
	cmd.Process.Kill()
	cmd.Wait()
	waitUntil("ended", func() bool { return nodeProcesses(t, program) == "" })
	if code, _, errs := run(context.Background(), "run", writeScenario(t, smallScenario), "-node", "/bin/false"); code != ExitFailed || !strings.Contains(errs, "ended at once") {
		t.Errorf("a program that is not a node: code %d: %s", code, errs)
	}
}
