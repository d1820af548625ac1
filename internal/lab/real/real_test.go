package real

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/holds"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/sysfault"
)

var program, control string

// TestMain builds the programs that the tests run as processes.
func TestMain(m *testing.M) {
	if sysfault.IsLauncher() {
		sysfault.RunLauncher()
	}
	dir, err := os.MkdirTemp("", "ivylab-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program, control = filepath.Join(dir, "ivylock"), filepath.Join(dir, "ivylock-control")
	out, err := exec.Command("go", "build", "-o", dir+"/", "ivylock/cmd/ivylock", "ivylock/cmd/ivylock-control").CombinedOutput()
	code := 1
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// nodesPerCore limits how many nodes run at once for each core. At the rates of these tests a node
// uses a tenth of a core or less, including the lab's work for it.
const nodesPerCore = 14

// nodeSlots limits the nodes of all parallel tests, so that results don't depend on how many large
// tests run at the same time on a small machine.
var (
	maxNodes  = int64(nodesPerCore * runtime.NumCPU())
	nodeSlots = semaphore.NewWeighted(maxNodes)
)

// reserveNodes waits until a test may run the given number of nodes; release returns them.
func reserveNodes(t *testing.T, count int) (release func()) {
	t.Helper()
	weight := min(int64(count), maxNodes)
	if err := nodeSlots.Acquire(t.Context(), weight); err != nil {
		t.Fatal(err)
	}
	return func() { nodeSlots.Release(weight) }
}

// runScenario runs a scenario and reports every rule and expectation that did not hold.
func runScenario(t *testing.T, text string) {
	t.Helper()
	s, err := scenario.Parse(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	defer reserveNodes(t, len(s.Nodes()))()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	bed, err := New(ctx, s, Options{Program: program})
	if err != nil {
		t.Fatal(err)
	}
	got, err := bed.Run(ctx)
	bed.Close()
	if err != nil {
		t.Fatal(err)
	}
	v := judge.Judge(got)
	for _, line := range holds.Check(s, got, &v) {
		t.Error(line)
	}
	for _, a := range bed.ErrorLines() {
		t.Errorf("%s: %s", a.Node, a.Line)
	}
	for i := range got.Events {
		if e := &got.Events[i]; e.Kind == history.NodeForceKilled {
			t.Errorf("%s still ran at its shutdown timeout, at %v", e.Node, e.At)
		}
	}
}

const twoZones = `
[[hall]]
name = "hall-nord"
nodes = 1
servers = { fast-6 = 2, std-6 = 1 }

[[hall]]
name = "hall-syd"
nodes = 1
servers = { std-6 = 2, slow-6 = 1 }

[clients]
retries = 2

[must]
faults_happen = true
served = 0.5
`

// The load of this and the following tests is light, so that results don't depend on the machine.
func TestRulesHoldWhenProcessesDieAndRestart(t *testing.T) {
	t.Parallel()
	runScenario(t, `name = "processes"
length = "12s"
`+twoZones+`
[load]
rate = 60.0
[[fault]]
at = "1s"
for = "2s"
what = "kill"
who = ["n0", "hall-syd.1"]
[[fault]]
at = "2s"
for = "1s"
what = "replace"
who = ["hall-nord.1"]
[[fault]]
at = "5s"
for = "4s"
what = "restart"
who = ["n1"]
[[fault]]
at = "6s"
for = "3s"
what = "silent"
who = ["hall-nord.3"]
[[fault]]
at = "7s"
for = "2s"
what = "hang"
who = ["hall-syd.2"]
`)
}

func TestRulesHoldWhenTheListChangesAndDiscoveryFails(t *testing.T) {
	t.Parallel()
	runScenario(t, `name = "list"
length = "11s"
`+twoZones+`
[load]
rate = 60.0
[[fault]]
at = "1s"
for = "3s"
what = "drain"
who = ["hall-nord.1", "hall-syd.1"]
[[fault]]
at = "3s"
for = "2s"
what = "flap"
every = "150ms"
who = ["hall-nord.2"]
[[fault]]
at = "5500ms"
for = "1s"
what = "discovery-outage"
[[fault]]
at = "6s"
for = "5s"
what = "drain"
who = ["hall-syd.2"]
[[fault]]
at = "8s"
for = "2s"
what = "discovery-lag"
delay = "300ms"
[[fault]]
at = "9s"
what = "discovery-restart"
`)
}

func TestRulesHoldWithBadLinksAndResponses(t *testing.T) {
	t.Parallel()
	runScenario(t, `name = "links"
length = "12s"
`+twoZones+`
[load]
rate = 60.0
[[fault]]
at = "500ms"
for = "2s"
what = "link"
who = ["hall-nord.1"]
delay = "30ms"
loss = 0.05
[[fault]]
at = "3s"
for = "2s"
what = "link"
who = ["hall-nord.2"]
state = "black-hole"
[[fault]]
at = "5s"
for = "2s"
what = "link"
who = ["hall-nord.3", "n0"]
state = "reset"
[[fault]]
at = "7s"
for = "2s"
what = "link"
who = ["hall-syd.1"]
state = "half-open"
[[fault]]
at = "1s"
for = "6s"
what = "spoil"
who = ["hall-syd.2"]
part = 0.4
[[fault]]
at = "8s"
for = "3s"
what = "slow-reader"
part = 0.5
[[fault]]
at = "9s"
for = "2s"
what = "heavy"
class = "viewer-clip"
part = 0.1
factor = 15
`)
}

func TestRulesHoldWhenAZoneIsLostWithAndWithoutItsNode(t *testing.T) {
	t.Parallel()
	runScenario(t, `name = "lost"
length = "10s"
`+strings.Replace(twoZones, "served = 0.5", "served = 0.4", 1)+`
[load]
rate = 40.0
[[fault]]
at = "1s"
for = "2500ms"
what = "hall-lost"
who = ["hall-nord"]
[[fault]]
at = "5s"
for = "3s"
what = "hall-lost-nodes"
who = ["hall-syd"]
`)
}

// Concurrent runs must not compete for ports.
func TestSameScenarioRunsTwiceConcurrently(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"first", "second"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, `name = "twice"
length = "5s"
`+twoZones+`
[load]
rate = 40.0
[[fault]]
at = "1s"
for = "1s"
what = "kill"
who = ["hall-nord.1", "n1"]
`)
		})
	}
}
