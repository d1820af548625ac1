package load

import (
	"math"
	"reflect"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
)

func day(t *testing.T, seed int64) *scenario.Scenario {
	t.Helper()
	s := &scenario.Scenario{Name: "x", Seed: seed, Length: scenario.Span{Duration: time.Minute}, Load: scenario.Load{Rate: 300},
		Client: scenario.Client{Retries: 2, RetryAfterFraction: 1},
		Zones:  []scenario.Zone{{Name: "a", Nodes: 1, Servers: map[string]int{"fast-6": 1}}, {Name: "b", Servers: map[string]int{"fast-6": 1}}}}
	if err := scenario.Check(s); err != nil {
		t.Fatal(err)
	}
	return s
}

func all(s *scenario.Scenario, seed int64) []Order {
	var out []Order
	for st := NewStream(s, seed); ; {
		o, more := st.Next()
		if !more {
			return out
		}
		out = append(out, o)
	}
}

// The stream has the brief's shares and mean work, and comes from halls that
// have a node.
func TestAStreamIsTheBriefs(t *testing.T) {
	orders := all(day(t, 1), 1)
	if n := float64(len(orders)); math.Abs(n-18000) > 600 {
		t.Errorf("%v orders in a minute at 300 a second", n)
	}
	work, count := map[string]float64{}, map[string]float64{}
	for _, o := range orders {
		if o.Zone != "a" {
			t.Fatal("a hall without a node sent an order")
		}
		if (o.Key != "") != (o.Class.Effect == history.Keyed) {
			t.Fatalf("%s has the key %q", o.Class.Name, o.Key)
		}
		work[o.Class.Name] += o.Work.Seconds()
		count[o.Class.Name]++
	}
	for _, c := range Classes {
		if share := count[c.Name] / float64(len(orders)); math.Abs(share-c.Share) > 0.02 {
			t.Errorf("%s has a share of %.3f", c.Name, share)
		}
		if mean, want := work[c.Name]/count[c.Name], (c.WorkLow+c.WorkHigh).Seconds()/2; math.Abs(mean/want-1) > 0.1 {
			t.Errorf("%s works %.3f s, want %.3f", c.Name, mean, want)
		}
	}
}

func TestASeedGivesOneStreamWhateverTheFaults(t *testing.T) {
	plain, heavy := day(t, 1), day(t, 1)
	heavy.Faults = []scenario.Fault{{Kind: scenario.FaultHeavy, At: scenario.Span{Duration: 10 * time.Second},
		For: scenario.Span{Duration: 20 * time.Second}, Class: "cut-order", Fraction: 0.1, Factor: 20}}
	a, b, c := all(plain, 7), all(plain, 7), all(heavy, 7)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("one seed gave two streams")
	}
	hit := 0
	for i := range a {
		if a[i].Work == c[i].Work {
			continue
		}
		if hit++; c[i].Class.Name != "cut-order" || c[i].At < 10*time.Second || c[i].At >= 30*time.Second {
			t.Fatalf("the fault hit %+v", c[i])
		}
		c[i].Work = a[i].Work
		if !reflect.DeepEqual(a[i], c[i]) {
			t.Fatalf("the fault changed more than the work of %+v", c[i])
		}
	}
	if hit < 100 || hit > 190 { // a tenth of a quarter of 6,000
		t.Errorf("%d heavy orders", hit)
	}
}

func TestWhatIsTriedAgain(t *testing.T) {
	s := day(t, 1)
	for _, c := range []struct {
		class  int
		status history.Status
		n      int
		again  bool
	}{
		{0, history.Failed, 0, true}, {0, history.TimedOut, 1, true}, {0, history.Failed, 2, false}, {0, history.Served, 0, false},
		{2, history.Refused, 0, true}, {2, history.Unreachable, 1, true}, {2, history.Failed, 0, false}, {2, history.ConnectionBroken, 0, false},
		{3, history.TimedOut, 0, false}, {3, history.Refused, 0, true}, {3, history.Abandoned, 0, false},
	} {
		o := &Order{Class: &Classes[c.class], HonoursRetryAfter: true}
		if _, again := NextRetry(s, o, c.n, c.status, 0, 10*time.Millisecond); again != c.again {
			t.Errorf("%s after %s, try %d: again %v", o.Class.Name, c.status, c.n, again)
		}
	}
	o := &Order{Class: &Classes[2], HonoursRetryAfter: true}
	if wait, _ := NextRetry(s, o, 0, history.Refused, 700*time.Millisecond, 0); wait < 700*time.Millisecond {
		t.Errorf("Retry-After is not followed: %v", wait)
	}
	if wait, _ := NextRetry(s, o, 0, history.Refused, time.Hour, 0); wait > MaxRetryAfter {
		t.Errorf("a wait of %v", wait)
	}
	if _, again := NextRetry(s, o, 0, history.Refused, 0, o.Class.Deadline); again {
		t.Error("tried again past the deadline")
	}
	if p := TryTimeout(s, o, o.Class.Deadline-time.Second); p != time.Second {
		t.Errorf("a late try waits %v", p)
	}
}
