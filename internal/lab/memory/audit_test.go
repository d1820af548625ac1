package memory

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"testing"
	"time"

	"ivylock/fleet/audit"
	"ivylock/fleet/follow"
	"ivylock/fleet/member"
	"ivylock/fleet/version"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/scenario"
)

// randomOutageScenario returns a scenario of nine nodes, of which one to three lose
// discovery, with datagram loss and with servers that drain, fail and return.
func randomOutageScenario(seed int64) *scenario.Scenario {
	rng := rand.New(rand.NewPCG(uint64(seed), 0x6175))
	span := func(d time.Duration) scenario.Span { return scenario.Span{Duration: d.Round(time.Millisecond)} }
	s := &scenario.Scenario{Name: "cut", Seed: seed, Fleet: true, Length: span(11 * time.Second), Load: scenario.Load{Rate: 60 + 100*rng.Float64()}}
	for _, zone := range []string{"hall-nord", "hall-syd", "hall-vest"} {
		s.Zones = append(s.Zones, scenario.Zone{Name: zone, Nodes: 3, Servers: map[string]int{"fast-6": 2, "std-6": 2}})
	}
	add := func(f scenario.Fault) {
		if s.Faults = append(s.Faults, f); scenario.Check(s) != nil {
			s.Faults = s.Faults[:len(s.Faults)-1]
		}
	}
	at := func(from, more time.Duration) scenario.Span {
		return span(from + time.Duration(rng.Int64N(int64(more))))
	}
	cutOff := []string{fmt.Sprintf("n%d", rng.IntN(3)), fmt.Sprintf("n%d", 3+rng.IntN(3)), fmt.Sprintf("n%d", 6+rng.IntN(3))}[:1+rng.IntN(3)]
	add(scenario.Fault{Kind: scenario.FaultDiscoveryCut, At: at(1500*time.Millisecond, 3*time.Second), For: at(2*time.Second, 14*time.Second), Targets: cutOff})
	add(scenario.Fault{Kind: scenario.FaultPeerLinks, At: span(0), For: span(11 * time.Second), Targets: []string{"hall-nord", "hall-syd", "hall-vest"}, Loss: 0.5 * rng.Float64(), DuplicateFraction: 0.1})
	for i := range 1 + rng.IntN(4) {
		server := []string{fmt.Sprintf("hall-%s.%d", []string{"nord", "syd", "vest"}[rng.IntN(3)], 1+i)}
		switch rng.IntN(3) {
		case 0:
			add(scenario.Fault{Kind: scenario.FaultKill, At: at(2*time.Second, 4*time.Second), For: at(time.Second, 3*time.Second), Targets: server})
		default:
			add(scenario.Fault{Kind: scenario.FaultDrain, At: at(2*time.Second, 4*time.Second), For: at(2*time.Second, 6*time.Second), Targets: server})
		}
	}
	if err := scenario.Check(s); err != nil {
		panic(err)
	}
	return s
}

var auditScenarios = flag.Int("audit-days", 60, "number of random scenarios on which the audit is compared with the judge")

type lateSend struct{ node, server string }

var drainBreach = regexp.MustCompile(`^(\S+) sent \S+ to (\S+) .* after the word of its drain`)

// lateSends returns which nodes sent to which servers more than grace after the first
// node was notified of the drain and before any was notified that the server is up.
func lateSends(h *history.History, grace, end time.Duration) map[lateSend]bool {
	late, drainedSince := map[lateSend]bool{}, map[string]time.Duration{}
	sends := map[string][]history.Event{}
	for _, e := range h.Events {
		if e.Kind == history.Attempt {
			sends[e.Server] = append(sends[e.Server], e)
		}
	}
	record := func(server string, to time.Duration) {
		for _, e := range sends[server] {
			if e.FirstByteAt > drainedSince[server]+grace && e.FirstByteAt < min(to, end) {
				late[lateSend{e.Node, server}] = true
			}
		}
		delete(drainedSince, server)
	}
	for _, e := range h.Events {
		if e.Kind != history.NodeNotified {
			continue
		}
		_, closed := drainedSince[e.Server]
		if up := e.Lifecycle == hosts.Up; up && closed {
			record(e.Server, e.At)
		} else if !up && !closed {
			drainedSince[e.Server] = e.At
		}
	}
	for server := range drainedSince {
		record(server, 1<<62)
	}
	return late
}

// Guards against an audit that misses late sends or reports sends that the history does
// not contain. The nodes only observe the fleet, so those without discovery keep sending
// to draining servers.
func TestAuditFindsLateSendsThatJudgeFinds(t *testing.T) {
	watch := follow.DefaultSettings()
	watch.ObserveOnly = true
	scenarios, byJudge, byAudit, behind, unknown := *auditScenarios, 0, 0, 0, 0
	for seed := range int64(scenarios) {
		s := randomOutageScenario(seed)
		var records []version.Record
		h := Run(s, Options{Fleet: &member.Config{Follow: watch}, OnRecord: func(r version.Record) { records = append(records, r) }})
		a := audit.New(records, audit.DefaultOptions())
		reported := map[lateSend]bool{}
		for _, b := range a.LateSends() {
			if b.SelfKnew {
				t.Errorf("seed %d: the audit reports that %s itself knew of the drain of %s: %v", seed, b.Process, b.Server, b.Evidence)
			}
			reported[lateSend{b.Process, b.Server}] = true
		}
		byAudit += len(reported)
		// Sends are recorded with a resolution of 134 ms, so the limits leave a margin.
		// Sends after other nodes were notified that the server is up again break the
		// rule, but no node knew better.
		required := lateSends(h, 700*time.Millisecond, h.Setup.Length-200*time.Millisecond)
		for x := range required {
			if !reported[x] {
				t.Errorf("seed %d: the audit missed a late send: %v", seed, x)
			}
		}
		v := judge.Judge(h)
		for _, b := range v.Breaches {
			if m := drainBreach.FindStringSubmatch(b.Detail); m != nil && required[lateSend{m[1], m[2]}] {
				byJudge++
			}
		}
		allowed := lateSends(h, 500*time.Millisecond, h.Setup.Length)
		killed := map[string]bool{} // sends to a dead process are not in the history
		for _, f := range s.Faults {
			if f.Kind == scenario.FaultKill {
				killed[f.Targets[0]] = true
			}
		}
		for x := range reported {
			if !allowed[x] && !killed[x.server] {
				t.Errorf("seed %d: the audit reports a late send from %s to %s that is not in the history", seed, x.node, x.server)
			}
		}
		// A process is behind at the end if it was cut off and missed a change.
		for _, p := range a.Processes() {
			missed, certain := missedLatestChange(h, p.Process)
			if !certain {
				continue
			}
			switch p.State {
			case audit.Behind, audit.LedByPeers:
				behind++
				if !missed {
					t.Errorf("seed %d: the audit reports %s as behind, but it received all changes: %s", seed, p.Process, p.Why)
				}
			case audit.StateUnknown:
				unknown++
			default:
				if missed {
					t.Errorf("seed %d: the audit reports %s as %s, but it missed the latest change: %+v", seed, p.Process, p.State, p)
				}
			}
		}
	}
	if byJudge < scenarios/10 || byAudit < scenarios || behind == 0 {
		t.Errorf("the judge found %d breaches and %d processes were behind: too few for this test", byJudge, behind)
	}
	t.Logf("%d scenarios: %d breaches by the judge, %d node-server pairs by the audit, %d processes behind, %d unknown", scenarios, byJudge, byAudit, behind, unknown)
}

// missedLatestChange reports whether a node missed the latest change of the list
// because it was cut off from discovery and has not called since. known is false if
// the node was cut off earlier and may not have called again by then.
func missedLatestChange(h *history.History, node string) (missed, known bool) {
	var newest history.Event
	for _, e := range h.Events {
		if e.Kind == history.DiscoveryChanged && e.At < h.Setup.Length-200*time.Millisecond {
			newest = e
		}
	}
	cuts := regexp.MustCompile(`^cut-discovery .*\b` + node + `\b`)
	cut, healed := false, false
	for _, e := range h.Events {
		switch {
		case e.Kind == history.DiscoveryCalled && e.Node == node && e.At >= newest.At && e.At < h.Setup.Length:
			return false, true // its answer contained all changes
		case e.Kind == history.FaultStarted && e.At < newest.At && cuts.MatchString(e.Note):
			cut = true
		case e.Kind == history.FaultEnded && e.At < newest.At && cuts.MatchString(e.Note):
			cut, healed = false, true
		}
	}
	return cut, newest.Kind == "" || cut || !healed
}
