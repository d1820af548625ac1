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

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const small = `name = "small"
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

func TestMisuseStartsNothingAndExitsWithTwo(t *testing.T) {
	bad := write(t, strings.Replace(small, `at = "1s"`, "at = 1", 1))
	for _, c := range []struct {
		args []string
		say  string
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
		if code != ExitUsage || !strings.Contains(errs, c.say) {
			t.Errorf("%v: code %d, said %q, want %q", c.args, code, errs, c.say)
		}
	}
}

func TestListNamesEveryScenario(t *testing.T) {
	code, out, errs := run(context.Background(), "list")
	if code != ExitPassed || !strings.Contains(out, "hall-lost") || !strings.Contains(out, "overlap") {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
}

func TestRunInMemoryWritesItsFilesAndTheJudgeReadsThem(t *testing.T) {
	dir := t.TempDir()
	js, hist, page := filepath.Join(dir, "a.json"), filepath.Join(dir, "a.hist"), filepath.Join(dir, "a.html")
	code, out, errs := run(context.Background(), "run", write(t, small), "-memory", "-json", js, "-history", hist, "-report", page, "-seed", "9")
	if code != ExitPassed || !strings.Contains(out, "HELD") {
		t.Fatalf("code %d: %s%s", code, out, errs)
	}
	raw, err := os.ReadFile(js)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil || !r.Passed || r.Seed != 9 || r.Verdict.Service.Orders == 0 {
		t.Errorf("%+v, %v", r, err)
	}
	if info, err := os.Stat(page); err != nil || info.Size() == 0 {
		t.Errorf("report: %v", err)
	}
	if code, out, errs := run(context.Background(), "judge", hist); code != ExitPassed {
		t.Errorf("judge: code %d: %s%s", code, out, errs)
	}
	// What does not hold is said and is the exit code.
	code, out, _ = run(context.Background(), "run", write(t, small+"[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"heavy\"\nclass = \"cut-order\"\npart = 0.000001\nfactor = 20.0\n"), "-memory")
	if code != ExitFailed || !strings.Contains(out, "DID NOT HOLD: fault 2 (heavy cut-order) did not happen") {
		t.Errorf("code %d: %s", code, out)
	}
}

func TestSweepSaysWhatItPlayed(t *testing.T) {
	code, out, errs := run(context.Background(), "sweep", "-seeds", "3", "-from", "100")
	if code != ExitPassed || !strings.Contains(out, "3 timelines") {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
	if code, out, errs = run(context.Background(), "sweep", "-deployments", "-seeds", "3"); code != ExitPassed || !strings.Contains(out, "3 deployments") {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
}

// children lists the processes of this program's that run a node.
func children(t *testing.T, program string) string {
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

func TestRunOnSocketsAndAStopLeaveNoProcess(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ivylock")
	if out, err := exec.Command("go", "build", "-o", program, "ivylock/cmd/ivylock").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	code, out, errs := run(context.Background(), "run", write(t, small), "-node", program)
	if code != ExitPassed {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
	if left := children(t, program); left != "" {
		t.Errorf("left behind: %s", left)
	}
	ctx, stop := context.WithCancel(context.Background())
	time.AfterFunc(700*time.Millisecond, stop)
	code, out, errs = run(ctx, "demo", "-node", program, "-rate", "30", "-seconds", "60", "-report", filepath.Join(t.TempDir(), "x.html"))
	if code != ExitFailed || !strings.Contains(errs, "stopped") {
		t.Errorf("stopped: code %d: %s%s", code, out, errs)
	}
	if left := children(t, program); left != "" {
		t.Errorf("left behind by a stop: %s", left)
	}
	// A lab that is killed outright takes its nodes along.
	lab := filepath.Join(t.TempDir(), "ivylab")
	if out, err := exec.Command("go", "build", "-o", lab, "ivylock/cmd/ivylab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(lab, "run", write(t, strings.Replace(small, `"3s"`, `"60s"`, 1)), "-node", program)
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	until := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("still not " + what)
			}
		}
	}
	until("started", func() bool { return children(t, program) != "" })
	cmd.Process.Kill()
	cmd.Wait()
	until("ended", func() bool { return children(t, program) == "" })
	if code, _, errs := run(context.Background(), "run", write(t, small), "-node", "/bin/false"); code != ExitFailed || !strings.Contains(errs, "ended at once") {
		t.Errorf("a program that is no node: code %d: %s", code, errs)
	}
}
