package load

import (
	"math"
	"reflect"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
)

func testScenario(t *testing.T, seed int64) *scenario.Scenario {
	t.Helper()
	s := &scenario.Scenario{Name: "x", Seed: seed, Length: scenario.Span{Duration: time.Minute}, Load: scenario.Load{Rate: 300},
		Client: scenario.Client{Retries: 2, RetryAfterFraction: 1},
		Zones:  []scenario.Zone{{Name: "a", Nodes: 1, Servers: map[string]int{"fast-6": 1}}, {Name: "b", Servers: map[string]int{"fast-6": 1}}}}
	if err := scenario.Check(s); err != nil {
		t.Fatal(err)
	}
	return s
}

func allOrders(s *scenario.Scenario, seed int64) []Order {
	var out []Order
	for st := NewStream(s, seed); ; {
		o, ok := st.Next()
		if !ok {
			return out
		}
		out = append(out, o)
	}
}

// The stream has the shares and mean work of the class table, and comes only from zones with a
// node.
func TestStreamFollowsTheClassTable(t *testing.T) {
	orders := allOrders(testScenario(t, 1), 1)
	if n := float64(len(orders)); math.Abs(n-18000) > 600 {
		t.Errorf("%v orders in a minute at 300 a second", n)
	}
	work, count := map[string]float64{}, map[string]float64{}
	for _, o := range orders {
		if o.Zone != "a" {
			t.Fatal("a zone without a node sent an order")
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
			t.Errorf("%s has a mean work of %.3f s, want %.3f", c.Name, mean, want)
		}
	}
}

func TestFaultsDoNotShiftTheStreamOfASeed(t *testing.T) {
	plain, heavy := testScenario(t, 1), testScenario(t, 1)
	heavy.Faults = []scenario.Fault{{Kind: scenario.FaultHeavy, At: scenario.Span{Duration: 10 * time.Second},
		For: scenario.Span{Duration: 20 * time.Second}, Class: "cut-order", Fraction: 0.1, Factor: 20}}
	a, b, c := allOrders(plain, 7), allOrders(plain, 7), allOrders(heavy, 7)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("one seed gave two streams")
	}
	heavier := 0
	for i := range a {
		if a[i].Work == c[i].Work {
			continue
		}
		if heavier++; c[i].Class.Name != "cut-order" || c[i].At < 10*time.Second || c[i].At >= 30*time.Second {
			t.Fatalf("the fault hit %+v", c[i])
		}
		c[i].Work = a[i].Work
		if !reflect.DeepEqual(a[i], c[i]) {
			t.Fatalf("the fault changed more than the work of %+v", c[i])
		}
	}
	if heavier < 100 || heavier > 190 { // a tenth of a quarter of 6,000
		t.Errorf("%d heavy orders", heavier)
	}
}

func TestWhichTriesAreRetried(t *testing.T) {
	s := testScenario(t, 1)
	for _, c := range []struct {
		class   int
		status  history.Status
		n       int
		retried bool
	}{
		{0, history.Failed, 0, true}, {0, history.TimedOut, 1, true}, {0, history.Failed, 2, false}, {0, history.Served, 0, false},
		{2, history.Refused, 0, true}, {2, history.Unreachable, 1, true}, {2, history.Failed, 0, false}, {2, history.ConnectionBroken, 0, false},
		{3, history.TimedOut, 0, false}, {3, history.Refused, 0, true}, {3, history.Abandoned, 0, false},
	} {
		o := &Order{Class: &Classes[c.class], HonoursRetryAfter: true}
		if _, retried := NextRetry(s, o, c.n, c.status, 0, 10*time.Millisecond); retried != c.retried {
			t.Errorf("%s after %s, try %d: retried %v", o.Class.Name, c.status, c.n, retried)
		}
	}
	o := &Order{Class: &Classes[2], HonoursRetryAfter: true}
	if wait, _ := NextRetry(s, o, 0, history.Refused, 700*time.Millisecond, 0); wait < 700*time.Millisecond {
		t.Errorf("wait of %v is shorter than Retry-After", wait)
	}
	if wait, _ := NextRetry(s, o, 0, history.Refused, time.Hour, 0); wait > MaxRetryAfter {
		t.Errorf("wait of %v exceeds MaxRetryAfter", wait)
	}
	if _, retried := NextRetry(s, o, 0, history.Refused, 0, o.Class.Deadline); retried {
		t.Error("retried past the deadline")
	}
	if p := TryTimeout(s, o, o.Class.Deadline-time.Second); p != time.Second {
		t.Errorf("a late try has a timeout of %v", p)
	}
}
