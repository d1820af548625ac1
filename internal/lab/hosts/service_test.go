package hosts

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"ivylock/internal/lab/history"
)

const patience = 10 * time.Second

type rig struct {
	*Service
	t    *testing.T
	addr string
	mu   sync.Mutex
	seen []history.Event
}

func newRig(t *testing.T) *rig {
	t.Helper()
	start := time.Now()
	r := &rig{t: t}
	r.Service = NewService(40, func() time.Duration { return time.Since(start) }, func(e history.Event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seen = append(r.seen, e)
	}, func(node, server string) string { return server + "." + node + ":1" })
	var err error
	if r.addr, err = r.Listen("n0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// ask calls and gives what names words, or the status.
func (r *rig) ask(query string) string {
	client := &http.Client{Timeout: patience}
	resp, err := client.Get("http://" + r.addr + "/discovery/hosts" + query)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode)
	}
	var l List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return err.Error()
	}
	return names(l)
}

func (r *rig) expect(query, text string) {
	r.t.Helper()
	if got := r.ask(query); got != text {
		r.t.Errorf("%q gave %q, want %q", query, got, text)
	}
}

func (r *rig) told() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := ""
	for _, e := range r.seen {
		if e.Kind == history.Told {
			text += e.Node + ":" + e.Server + "=" + e.Lifecycle + " "
		}
	}
	r.seen = nil
	return text
}

func TestItListsAndWatches(t *testing.T) {
	r := newRig(t)
	r.Set(Entry{InstanceID: "a", Lifecycle: Up})
	r.Set(Entry{InstanceID: "b", Lifecycle: Up})
	r.expect("", "42 all a=up b=up")
	if got := r.told(); got != "n0:a=up n0:b=up " {
		t.Errorf("told %q", got)
	}
	r.expect("?from=41&hold_ms=10000", "42 b=up") // something newer is there
	r.expect("?from=42&hold_ms=20", "42")         // nothing came
	got := make(chan string)
	go func() { got <- r.ask("?from=42&hold_ms=10000") }()
	time.Sleep(50 * time.Millisecond) // most likely it waits by now; if not, the answer is the same
	r.Set(Entry{InstanceID: "a", Lifecycle: Draining})
	if text := <-got; text != "43 a=draining" {
		t.Errorf("the watch gave %q", text)
	}
	r.expect("?from=7&hold_ms=10000", "43 all a=draining b=up") // too old
}

func TestTheWholeListTellsWhoIsGone(t *testing.T) {
	r := newRig(t)
	r.Set(Entry{InstanceID: "a", Lifecycle: Up})
	r.ask("")
	r.Set(Entry{InstanceID: "a", Lifecycle: Removed})
	r.told()
	r.expect("", "42 all")
	if got := r.told(); got != "n0:a=removed " {
		t.Errorf("told %q", got)
	}
}

func TestEachNodeHasItsOwnAddresses(t *testing.T) {
	r := newRig(t)
	r.Set(Entry{InstanceID: "a", Lifecycle: Up})
	if l := r.InitialList("n1"); l.Instances[0].HostPort != "a.n1:1" {
		t.Errorf("%+v", l)
	}
}

// A node that starts while the service is down has the list that could be asked for last, not what nobody was told yet.
func TestWhatIsLearntInAnOutageIsNotKnownAtAStart(t *testing.T) {
	r := newRig(t)
	r.Set(Entry{InstanceID: "a", Lifecycle: Draining})
	r.SetDown(true)
	r.SetDown(true)
	r.Set(Entry{InstanceID: "a", Lifecycle: Up})
	if l := r.InitialList("n1"); l.Generation != 41 || l.Instances[0].Lifecycle != Draining {
		t.Errorf("in the outage: %+v", l)
	}
	r.SetDown(false)
	if l := r.InitialList("n1"); l.Generation != 42 || l.Instances[0].Lifecycle != Up {
		t.Errorf("after it: %+v", l)
	}
}

func TestAnOutageEndsWatchesAndARestartGivesTheWholeList(t *testing.T) {
	r := newRig(t)
	r.Set(Entry{InstanceID: "a", Lifecycle: Up})
	got := make(chan string)
	go func() { got <- r.ask("?from=41&hold_ms=60000") }()
	time.Sleep(50 * time.Millisecond)
	r.SetDown(true)
	if text := <-got; text != "503" {
		t.Errorf("the watch gave %q", text)
	}
	r.expect("", "503")
	r.SetDown(false)
	r.Restart(1)
	r.expect("?from=41&hold_ms=10000", "1 all a=up")
}

func TestChangesAreToldAfterTheLag(t *testing.T) {
	r := newRig(t)
	r.SetLag(100 * time.Millisecond)
	start := time.Now()
	r.Set(Entry{InstanceID: "a", Lifecycle: Up})
	r.expect("?from=40&hold_ms=10000", "41 a=up")
	if took := time.Since(start); took < 100*time.Millisecond {
		t.Errorf("told after %v", took)
	}
	r.SetNow(Entry{InstanceID: "a", Lifecycle: Draining})
	r.expect("", "42 all a=draining")
}

func TestTooManyCallsAreTurnedAway(t *testing.T) {
	r := newRig(t)
	r.Service.mu.Lock()
	r.calls = maxCalls
	r.Service.mu.Unlock()
	r.expect("", "503")
}
