package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// crowdSettings are those of one of a thousand nodes.
func crowdSettings() balance.Settings {
	s := rigSettings()
	s.Nodes, s.AnswerGrace = 1000, 20*time.Millisecond
	return s
}

// A node with two requests a second in front of two hundred idle servers refuses none of them: guards against
// windows of less than a request, by which nearly every server counts as overloaded while idle.
func TestFewRequestsManyServersNothingRefused(t *testing.T) {
	r := newRig(t, crowdSettings(), 200)
	r.run(60*time.Second, 2, "cheap")
	if r.refused+r.failed > 0 {
		t.Errorf("%d refused, %d failed of 120", r.refused, r.failed)
	}
}

// A node that has just started, one of a thousand, in front of servers that are far too slow: it sheds after a few
// answers. Guards against a restart of many nodes that all call every server normal for seconds.
func TestRestartedNodeShedsSoon(t *testing.T) {
	r := newRig(t, crowdSettings(), 40)
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return 1400 * time.Millisecond, balance.OK
	}
	r.run(4500*time.Millisecond, 10, "cheap")
	if r.refused < 5 {
		t.Errorf("%d of 45 refused while every answer takes 1.4 s of an aim of 1.5 s", r.refused)
	}
}

// Servers at their connection limit fail each connect but answer others: the node's requests are served elsewhere.
func TestConnectionCapMet(t *testing.T) {
	r := newRig(t, crowdSettings(), 60)
	r.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
		if id%3 == 0 {
			return 100 * time.Millisecond, balance.ConnectFailed
		}
		return 50 * time.Millisecond, balance.OK
	}
	r.run(5*time.Second, 10, "cheap")
	r.reset()
	r.inTime = map[string]int{}
	r.run(20*time.Second, 10, "cheap")
	if r.inTime["cheap"] < 190 {
		t.Errorf("%d of 200 served in time, %d refused, %d failed", r.inTime["cheap"], r.refused, r.failed)
	}
}

// A request turned away as full is not sent again and again in a crowd. Guards against a storm at full servers.
func TestFullServersMeetNoStorm(t *testing.T) {
	s := crowdSettings()
	s.Nodes = 100 // its set is large enough that a block of a server for a second does not hide the storm
	r := newRig(t, s, 60)
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return time.Millisecond, balance.Full }
	r.run(10*time.Second, 10, "cheap")
	sent := 0
	for _, n := range r.sent {
		sent += n
	}
	if sent > 130 {
		t.Errorf("%d sends for 100 requests to servers that are all full", sent)
	}
}

// In a crowd at most half of a set is ejected, so that a fleet that is slow as a whole keeps its servers.
func TestCrowdEjectsAtMostHalf(t *testing.T) {
	r := newRig(t, crowdSettings(), 4) // with four servers the set is all of them
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) {
		return 10 * time.Millisecond, balance.ServerError
	}
	r.run(10*time.Second, 10, "once")
	if r.accused > 2 {
		t.Errorf("%d of 4 servers ejected", r.accused)
	}
}

func BenchmarkCrowdRequest(b *testing.B) {
	m := balance.New(crowdSettings(), 1)
	var list []balance.Server
	for i := range 500 {
		list = append(list, balance.Server{ID: balance.ServerID(i + 1)})
	}
	m.Handle(0, balance.ListUpdate{Kind: balance.ListCached, Entries: list})
	benchmarkRequests(b, m, 100*time.Millisecond)
}

// Servers whose plain work takes half of an aim are not shed at while idle. Guards against thresholds drawn from
// the aims alone, by which a quiet day refused one request in six.
func TestIdleServersAreNotShedAt(t *testing.T) {
	s := crowdSettings()
	s.Classes = s.Classes[1:2] // an aim of 1.5 s
	r := newRig(t, s, 40)
	r.delay = func(balance.ServerID) (time.Duration, balance.OutcomeCode) { return 800 * time.Millisecond, balance.OK }
	r.run(60*time.Second, 5, "cheap")
	if r.refused > 15 {
		t.Errorf("%d of 300 refused at servers that are idle", r.refused)
	}
}

// A server holds fewer connections than there are nodes that use it, and turns all away from one moment on. Each leaves
// it alone for a time, and soon they do not come in step any more.
func TestNodesTurnedAwayTogetherComeBackApart(t *testing.T) {
	const slot, seconds = 100 * time.Millisecond, 10
	c := newTellers(t, 60, 12)
	full, from := map[int]int{}, time.Duration(0)
	for _, a := range c.nodes {
		a.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
			if from == 0 || id != 5 {
				return 50 * time.Millisecond, balance.OK
			}
			full[int((a.now-from)/slot)]++
			return time.Millisecond, balance.Full
		}
	}
	c.run(5*time.Second, 60, "cheap")
	from = c.nodes[0].now
	c.run(seconds*time.Second, 60, "cheap")
	all, most := 0, 0
	for i := 5 * int(time.Second/slot); i < seconds*int(time.Second/slot); i++ {
		all, most = all+full[i], max(most, full[i])
	}
	mean := float64(all) / 5 / float64(time.Second/slot)
	if all < 20 || mean*float64(time.Second/slot) > 20 || float64(most) > 4*mean+1 {
		t.Errorf("%.1f came in %v in the mean, %d at most", mean, slot, most)
	}
	t.Log(mean, most, full)
}
