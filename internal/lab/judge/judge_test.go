package judge

import (
	"strings"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
)

const ms = time.Millisecond

// validHistory returns a history that breaks no rule, with requests of each kind of
// effect, a drain and a cold start.
func validHistory() *history.History {
	h := &history.History{Setup: history.Setup{Length: 20 * time.Second, Classes: load.Classes, Limits: load.Limits,
		Servers: []history.Server{{Name: "a.1", Zone: "a", Pod: 0}, {Name: "a.2", Zone: "a", Pod: 0}, {Name: "b.1", Zone: "b", Pod: 1}},
		Nodes:   []history.Node{{Name: "n0", Zone: "a"}}}}
	at := func(t time.Duration, e history.Event) {
		e.At = t
		if e.Kind == history.Attempt {
			e.FirstByteAt, e.Node, e.Work = t, "n0", 100*ms
			if e.Verdict == "" {
				e.Verdict = history.Accepted
			}
		}
		h.Events = append(h.Events, e)
	}
	for _, s := range h.Setup.Servers {
		at(0, history.Event{Kind: history.ServerStarted, Server: s.Name, Capacity: 6, Cores: 6})
	}
	at(0, history.Event{Kind: history.NodeReady, Node: "n0"})
	addRequest := func(t time.Duration, id, class string, status history.Status, servers ...string) {
		at(t, history.Event{Kind: history.Try, Order: id, Try: id, Class: class, Node: "n0", Deadline: t + 800*ms})
		for i, s := range servers {
			at(t+time.Duration(1+i)*ms, history.Event{Kind: history.Attempt, Try: id, Server: s})
			at(t+time.Duration(1+i)*ms, history.Event{Kind: history.EffectRun, Try: id, Server: s, Work: 100 * ms})
		}
		last := ""
		if status == history.Served {
			last = servers[len(servers)-1]
		}
		at(t+100*ms, history.Event{Kind: history.Answer, Try: id, Status: status, Server: last})
	}
	addRequest(1000*ms, "safe", "viewer-clip", history.Served, "a.1")
	addRequest(2000*ms, "keyed", "tag-event", history.Served, "a.1")
	addRequest(3000*ms, "unsafe", "cut-order", history.Served, "b.1")
	addRequest(4000*ms, "refused", "cut-order", history.Refused)
	addRequest(5000*ms, "failed", "cut-order", history.Failed, "a.2")
	at(6000*ms, history.Event{Kind: history.NodeNotified, Node: "n0", Server: "a.2", Lifecycle: "draining"})
	addRequest(6300*ms, "early", "viewer-clip", history.Served, "a.2")
	at(8000*ms, history.Event{Kind: history.ServerStarted, Server: "b.1", Capacity: 6, Cores: 6, ColdFraction: 0.32, WarmupTime: 8300 * ms})
	addRequest(8500*ms, "cold", "viewer-clip", history.Served, "b.1")
	at(15*time.Second, history.Event{Kind: history.FaultEnded})
	return h
}

// editEvent changes the first event that matches.
func editEvent(h *history.History, kind history.Kind, id string, do func(*history.Event)) {
	for i := range h.Events {
		if e := &h.Events[i]; e.Kind == kind && (e.Try == id || id == "") {
			do(e)
			return
		}
	}
	panic("no such event: " + string(kind) + " " + id)
}

func addEvent(h *history.History, e history.Event) {
	h.Events = append(h.Events, e)
	history.Sort(h.Events)
}

func TestValidHistoryPasses(t *testing.T) {
	v := Judge(validHistory())
	for _, b := range v.Breaches {
		t.Error(b)
	}
	if s := v.Service; s.Orders != 7 || s.Refused != 1 || s.Failed != 1 || s.Runs != 6 {
		t.Errorf("unexpected metrics: %+v", s)
	}
}

// Guards against a judge that misses a breach: each row alters the valid history so
// that one rule is broken, and gives a fragment of the expected text.
func TestAlteredHistoriesBreakTheExpectedRule(t *testing.T) {
	for _, tt := range []struct {
		name  string
		rule  Rule
		text  string
		alter func(*history.History)
	}{
		{"no answer at all", NoRequestLost, "never answered", func(h *history.History) {
			for i, e := range h.Events {
				if e.Kind == history.Answer && e.Try == "safe" {
					h.Events = append(h.Events[:i:i], h.Events[i+1:]...)
					return
				}
			}
		}},
		{"two answers", NoRequestLost, "2 final answers", func(h *history.History) {
			addEvent(h, history.Event{At: 1200 * ms, Kind: history.Answer, Try: "safe", Status: history.Served})
		}},
		{"late answer", NoRequestLost, "after its client's time", func(h *history.History) {
			editEvent(h, history.Try, "safe", func(e *history.Event) { e.Deadline = e.At + 10*ms })
		}},
		{"connection closed without an answer", NoRequestLost, "no whole answer", func(h *history.History) {
			editEvent(h, history.Answer, "safe", func(e *history.Event) { e.Status = history.ConnectionBroken })
		}},
		{"client timed out", NoRequestLost, "in its client's time", func(h *history.History) {
			editEvent(h, history.Answer, "safe", func(e *history.Event) { e.Status = history.TimedOut })
		}},
		{"answer that no server made", NoRequestLost, "no server made", func(h *history.History) {
			editEvent(h, history.Answer, "safe", func(e *history.Event) { e.Status = history.WrongContent })
		}},
		{"attempt after the final answer", NoRequestLost, "after its final answer", func(h *history.History) {
			addEvent(h, history.Event{At: 1200 * ms, FirstByteAt: 1200 * ms, Kind: history.Attempt, Try: "safe", Node: "n0", Server: "a.2", Verdict: history.Accepted})
		}},
		{"extra bytes after the answer", NoRequestLost, "behind the final answer", func(h *history.History) {
			addEvent(h, history.Event{At: 1101 * ms, Kind: history.ExtraData, Try: "safe"})
		}},
		{"closed long after a kill", NoRequestLost, "no whole answer", func(h *history.History) {
			editEvent(h, history.Answer, "safe", func(e *history.Event) { e.Status = history.ConnectionBroken })
			addEvent(h, history.Event{At: 500 * ms, Kind: history.NodeKilled, Node: "n0"})
			addEvent(h, history.Event{At: 900 * ms, Kind: history.NodeReady, Node: "n0"})
		}},
		{"unsafe sent twice", NoDuplicateEffect, "had taken it", func(h *history.History) {
			addEvent(h, history.Event{At: 3050 * ms, FirstByteAt: 3050 * ms, Kind: history.Attempt, Try: "unsafe", Node: "n0", Server: "a.1", Verdict: history.Accepted})
		}},
		{"keyed sent to another pod", NoDuplicateEffect, "left its pod", func(h *history.History) {
			addEvent(h, history.Event{At: 2050 * ms, FirstByteAt: 2050 * ms, Kind: history.Attempt, Try: "keyed", Node: "n0", Server: "b.1", Verdict: history.Accepted})
		}},
		{"keyed sent again after its window", NoDuplicateEffect, "sent again", func(h *history.History) {
			editEvent(h, history.Answer, "keyed", func(e *history.Event) { e.At = 11 * time.Second })
			editEvent(h, history.Try, "keyed", func(e *history.Event) { e.Deadline = 12 * time.Second })
			addEvent(h, history.Event{At: 10200 * ms, FirstByteAt: 10200 * ms, Kind: history.Attempt, Try: "keyed", Node: "n0", Server: "a.1", Verdict: history.Accepted})
		}},
		{"an effect that ran twice", NoDuplicateEffect, "ran 2 times", func(h *history.History) {
			addEvent(h, history.Event{At: 3050 * ms, Kind: history.EffectRun, Try: "unsafe", Server: "a.1"})
		}},
		{"a refusal of what may have run", NoDuplicateEffect, "refused although", func(h *history.History) {
			editEvent(h, history.Answer, "failed", func(e *history.Event) { e.Status = history.Refused })
		}},
		{"a keyed refusal of what may have run", NoDuplicateEffect, "refused although", func(h *history.History) {
			editEvent(h, history.Answer, "keyed", func(e *history.Event) { e.Status = history.Refused })
		}},
		{"send to a draining server", DrainsRespected, "after the word", func(h *history.History) {
			editEvent(h, history.NodeNotified, "", func(e *history.Event) { e.At = 5700 * ms })
			history.Sort(h.Events)
		}},
		{"send to a removed server", DrainsRespected, "after the word", func(h *history.History) {
			editEvent(h, history.NodeNotified, "", func(e *history.Event) { e.At, e.Lifecycle = 5700*ms, "removed" })
			history.Sort(h.Events)
		}},
		{"send to a server that is up for another node only", DrainsRespected, "after the word", func(h *history.History) {
			editEvent(h, history.NodeNotified, "", func(e *history.Event) { e.At = 5700 * ms })
			addEvent(h, history.Event{At: 5800 * ms, Kind: history.NodeNotified, Node: "n1", Server: "a.2", Lifecycle: "up"})
		}},
		{"change that the node never fetched", DrainsRespected, "after the word", func(h *history.History) {
			h.Setup.Limits.NotifyDeadline = time.Second
			for i := range h.Events {
				if h.Events[i].Kind == history.NodeNotified {
					h.Events[i] = history.Event{At: 4500 * ms, Kind: history.DiscoveryChanged, Server: "a.2", Lifecycle: "draining"}
				}
			}
			history.Sort(h.Events)
		}},
		{"a burst at a cold server", NoColdOverload, "was sent", func(h *history.History) {
			for i := range 60 {
				addEvent(h, history.Event{At: 8500*ms + time.Duration(i)*ms, Kind: history.Attempt, Try: "burst", Node: "n0", Server: "b.1", Work: 100 * ms})
			}
		}},
		{"a burst from two nodes", NoColdOverload, "was sent", func(h *history.History) {
			for i := range 60 {
				addEvent(h, history.Event{At: 8500*ms + time.Duration(i)*ms, Kind: history.Attempt, Try: "burst", Node: []string{"n0", "n1"}[i%2], Server: "b.1", Work: 100 * ms})
			}
		}},
		{"a burst of probes", NoColdOverload, "was sent", func(h *history.History) {
			for i := range 700 {
				addEvent(h, history.Event{At: 8500*ms + time.Duration(i)*ms/10, Kind: history.Probe, Node: "n0", Server: "b.1", Work: 10 * ms})
			}
		}},
		{"a server that failed under overload", NoColdOverload, "fell over", func(h *history.History) {
			addEvent(h, history.Event{At: 9 * time.Second, Kind: history.ServerOverloaded, Server: "b.1"})
		}},
	} {
		h := validHistory()
		tt.alter(h)
		v := Judge(h)
		if v.Counts[tt.rule] == 0 || len(v.Counts) != 1 {
			t.Errorf("%s: want only rule %d broken, got %v", tt.name, tt.rule, v.Counts)
			continue
		}
		if got := v.Breaches[0].String(); !strings.Contains(got, tt.text) {
			t.Errorf("%s: got breach %q, want %q", tt.name, got, tt.text)
		}
	}
}

// Guards against a judge that reports what the rules allow.
func TestAllowedHistoriesPass(t *testing.T) {
	for name, alter := range map[string]func(*history.History){
		"closed by a kill": func(h *history.History) {
			editEvent(h, history.Answer, "safe", func(e *history.Event) { e.Status = history.ConnectionBroken })
			addEvent(h, history.Event{At: 1050 * ms, Kind: history.NodeKilled, Node: "n0"})
		},
		"closed by a dying process": func(h *history.History) {
			editEvent(h, history.Answer, "safe", func(e *history.Event) { e.Status = history.ConnectionBroken })
			addEvent(h, history.Event{At: 990 * ms, Kind: history.NodeKilled, Node: "n0"})
			addEvent(h, history.Event{At: 1900 * ms, Kind: history.NodeReady, Node: "n0"})
		},
		"unsafe sent again after a rejection": func(h *history.History) {
			addEvent(h, history.Event{At: 3000 * ms, FirstByteAt: 3000 * ms, Kind: history.Attempt, Try: "unsafe", Node: "n0", Server: "a.1", Verdict: history.Rejected})
		},
		"keyed sent again in its pod": func(h *history.History) {
			addEvent(h, history.Event{At: 2050 * ms, FirstByteAt: 2050 * ms, Kind: history.Attempt, Try: "keyed", Node: "n0", Server: "a.2", Verdict: history.Accepted})
		},
		"late arrival because of a link fault": func(h *history.History) {
			editEvent(h, history.NodeNotified, "", func(e *history.Event) { e.At = 5750 * ms })
			editEvent(h, history.Attempt, "early", func(e *history.Event) { e.FirstByteAt = 6200 * ms })
			history.Sort(h.Events)
		},
		"server up again before the send": func(h *history.History) {
			editEvent(h, history.NodeNotified, "", func(e *history.Event) { e.At = 5000 * ms })
			addEvent(h, history.Event{At: 5900 * ms, Kind: history.NodeNotified, Node: "n0", Server: "a.2", Lifecycle: "up"})
		},
		"one heavy request at a cold server": func(h *history.History) {
			addEvent(h, history.Event{At: 8600 * ms, Kind: history.Attempt, Try: "heavy", Node: "n0", Server: "b.1", Work: 9 * time.Second})
		},
	} {
		h := validHistory()
		alter(h)
		if v := Judge(h); !v.Passed() {
			t.Errorf("%s: %v", name, v.Breaches)
		}
	}
}

func TestCapacityIntegratesTheWarmUpRamp(t *testing.T) {
	s := history.Event{At: 10 * time.Second, Capacity: 6, ColdFraction: 0.5, WarmupTime: 10 * time.Second}
	for _, c := range []struct {
		from, to time.Duration
		want     float64
	}{{10 * time.Second, 20 * time.Second, 45}, {9 * time.Second, 10 * time.Second, 3}, {20 * time.Second, 21 * time.Second, 6},
		{19 * time.Second, 21 * time.Second, 6 * (0.975 + 1)}, {8 * time.Second, 12 * time.Second, 6 * (1 + 1.1)}} {
		if got := capacity(s, c.from, c.to); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("capacity from %v to %v is %v, want %v", c.from, c.to, got, c.want)
		}
	}
}

func TestServiceMeasureMatchesItsDefinition(t *testing.T) {
	h := validHistory()
	v := Judge(h)
	// Requested: 3 viewer clips, 1 tag, 3 orders, each of value 1; one order refused, one failed.
	if s := v.Service; s.OnTimeRatio != 5.0/7 || s.WorstClass != 1.0/3 {
		t.Errorf("on-time ratio %v, worst class %v", s.OnTimeRatio, s.WorstClass)
	}
	editEvent(h, history.Answer, "keyed", func(e *history.Event) { e.At += 2 * time.Second })
	editEvent(h, history.Try, "keyed", func(e *history.Event) { e.Deadline += 4 * time.Second })
	if s := Judge(h).Service; s.OnTimeRatio != 4.0/7 || s.WorstClass != 0 {
		t.Errorf("after the target latency: on-time ratio %v, worst class %v", s.OnTimeRatio, s.WorstClass)
	}
}

// Guards against breaches for starts that nodes were not notified of: with OverloadNotifiedOnly,
// an overload is a breach only if notified nodes sent two thirds of the work.
func TestColdRuleCountsOnlyNodesNotifiedOfTheStart(t *testing.T) {
	for _, x := range []struct {
		notified int // of 60 requests
		passes   bool
	}{{0, true}, {30, true}, {45, false}, {60, false}} {
		h := validHistory()
		h.Setup.Limits.OverloadNotifiedOnly = true
		addEvent(h, history.Event{At: 8400 * time.Millisecond, Kind: history.NodeNotified, Node: "n0", Server: "b.1", Lifecycle: "up", StartedAt: 8 * time.Second})
		// This notification is about the previous process.
		addEvent(h, history.Event{At: 8400 * time.Millisecond, Kind: history.NodeNotified, Node: "n1", Server: "b.1", Lifecycle: "up"})
		for i := range 60 {
			node := "n1"
			if (i*7)%60 < x.notified {
				node = "n0"
			}
			addEvent(h, history.Event{At: 8500*time.Millisecond + time.Duration(i)*time.Millisecond, Kind: history.Attempt, Try: "burst", Node: node, Server: "b.1", Work: 100 * time.Millisecond})
		}
		addEvent(h, history.Event{At: 8561 * time.Millisecond, Kind: history.ServerOverloaded, Server: "b.1"})
		if v := Judge(h); (v.Counts[NoColdOverload] == 0) != x.passes {
			t.Errorf("%d of 60 sends by notified nodes: %v", x.notified, v.Counts)
		}
	}
}
