package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"time"

	"ivylock/internal/lab/alarm"
	"ivylock/internal/lab/caller"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/clipserver"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
)

// addedMost is what the lab may add to a request, at p99.
const addedMost = time.Millisecond

// ceiling measures what the lab itself adds: its clients speak to its clip
// servers with no node in between, at rising rates. All that an answer takes
// beyond its work, and all that an order is sent late, is the lab's.
func (a *app) ceiling(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("ceiling", flag.ContinueOnError)
	length := f.Duration("length", 3*time.Second, "how `long` at each rate")
	if !a.parse(f, args, nil) {
		return ExitUsage
	}
	if *length < time.Second || *length > time.Minute {
		return a.fail(ExitUsage, errors.New("-length: want 1s to 1m"))
	}
	best := 0.0
	fmt.Fprintf(a.out, "%10s %10s %12s %12s %12s\n", "asked/s", "served/s", "late p99", "added p50", "added p99")
	for _, rate := range []float64{250, 500, 1000, 2000, 3000, 4000, 6000, 8000, 12000} {
		if ctx.Err() != nil {
			return ExitFailed
		}
		served, late, p50, p99, err := added(rate, *length)
		if err != nil {
			return a.fail(ExitFailed, err)
		}
		fmt.Fprintf(a.out, "%10.0f %10.0f %12v %12v %12v\n", rate, served, late.Round(time.Microsecond), p50.Round(time.Microsecond), p99.Round(time.Microsecond))
		if p99 >= addedMost || served < 0.95*rate {
			break
		}
		best = rate
	}
	fmt.Fprintf(a.out, "the lab adds less than %v at p99 up to %.0f requests a second\n", addedMost, best)
	return ExitPassed
}

// added runs the lab without a node.
func added(rate float64, length time.Duration) (served float64, late, p50, p99 time.Duration, err error) {
	s := &scenario.Scenario{Name: "ceiling", Seed: 1, Length: scenario.Span{Duration: length},
		Load:  scenario.Load{Rate: rate, WorkFactor: 0.01}, // about a millisecond, so that no queue is part of it
		Zones: []scenario.Zone{{Name: "hall", Nodes: 12, Servers: map[string]int{"fast-6": 12}}}}
	if err := scenario.Check(s); err != nil {
		return 0, 0, 0, 0, err
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	var rec history.Recorder
	front := caller.NewBalancer(s.Nodes())
	for i, x := range s.Servers() { // each server stands where a node would
		m, err := clip.NewMachine(x.Kind)
		if err != nil {
			return 0, 0, 0, 0, err
		}
		m.Slots, m.MaxQueue, m.MaxConnections, m.HandshakeWork, m.Speed = 512, 512, 4096, 0, 1
		m.Cores = m.Slots
		server := clipserver.New(clipserver.Config{Model: clip.NewServer(x.Name, m, clip.OverloadLimit{}, clip.NewPod(load.Limits.KeyWindow)), Clock: clock, Record: rec.Add})
		defer server.Close()
		node := s.Nodes()[i].Name
		addr, err := server.Listen(node)
		if err != nil {
			return 0, 0, 0, 0, err
		}
		front.Add(caller.Target{Node: node, Addr: addr, Incarnation: 1})
	}
	clients := &caller.Clients{Scenario: s, Balancer: front, Clock: clock, Record: rec.Add, Slack: load.Limits.Slack}
	defer clients.Close()
	var wg sync.WaitGroup
	var lates []time.Duration
	begin := clock()
	work := map[string]time.Duration{}
	for st := load.NewStream(s, 1); ; {
		o, more := st.Next()
		if !more {
			break
		}
		due := begin + o.At
		alarm.Sleep(due - clock())
		lates = append(lates, clock()-due)
		work[o.ID] = o.Work
		o.At = due
		wg.Go(func() { clients.Send(&o) })
	}
	wg.Wait()
	took := clock() - begin
	events, _ := rec.Snapshot()
	sent := map[string]history.Event{}
	var extra []time.Duration
	for _, e := range events {
		switch e.Kind {
		case history.Try:
			sent[e.Try] = e
		case history.Answer:
			if t := sent[e.Try]; e.Status == history.Served {
				extra = append(extra, max(0, e.At-t.At-work[t.Order]))
			}
		}
	}
	return float64(len(extra)) / took.Seconds(), judge.Quantile(lates, 0.99), judge.Quantile(extra, 0.5), judge.Quantile(extra, 0.99), nil
}
