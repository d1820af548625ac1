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

// maxAddedLatency is the latency that the lab may add to a request, at p99.
const maxAddedLatency = time.Millisecond

// ceiling measures the overhead of the lab itself: its clients talk to its clip
// servers directly, without a node, at increasing rates. The overhead is the latency
// beyond a request's work, and the delay with which an order is sent.
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
		served, late, p50, p99, err := measureOverhead(rate, *length)
		if err != nil {
			return a.fail(ExitFailed, err)
		}
		fmt.Fprintf(a.out, "%10.0f %10.0f %12v %12v %12v\n", rate, served, late.Round(time.Microsecond), p50.Round(time.Microsecond), p99.Round(time.Microsecond))
		if p99 >= maxAddedLatency || served < 0.95*rate {
			break
		}
		best = rate
	}
	fmt.Fprintf(a.out, "the lab adds less than %v at p99 up to %.0f requests a second\n", maxAddedLatency, best)
	return ExitPassed
}

// measureOverhead runs the lab without a node.
func measureOverhead(rate float64, length time.Duration) (served float64, late, p50, p99 time.Duration, err error) {
	s := &scenario.Scenario{Name: "ceiling", Seed: 1, Length: scenario.Span{Duration: length},
		Load:  scenario.Load{Rate: rate, WorkFactor: 0.01}, // about 1 ms per request, so that no queues build up
		Zones: []scenario.Zone{{Name: "hall", Nodes: 12, Servers: map[string]int{"fast-6": 12}}}}
	if err := scenario.Check(s); err != nil {
		return 0, 0, 0, 0, err
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	var recorder history.Recorder
	balancer := caller.NewBalancer(s.Nodes())
	for i, spec := range s.Servers() { // clients connect to the servers as if they were nodes
		machine, err := clip.NewMachine(spec.Kind)
		if err != nil {
			return 0, 0, 0, 0, err
		}
		machine.Slots, machine.MaxQueue, machine.MaxConnections, machine.HandshakeWork, machine.Speed = 512, 512, 4096, 0, 1
		machine.Cores = machine.Slots
		server := clipserver.New(clipserver.Config{Model: clip.NewServer(spec.Name, machine, clip.OverloadLimit{}, clip.NewPod(load.Limits.KeyWindow)), Clock: clock, Record: recorder.Add})
		defer server.Close()
		node := s.Nodes()[i].Name
		addr, err := server.Listen(node)
		if err != nil {
			return 0, 0, 0, 0, err
		}
		balancer.Add(caller.Target{Node: node, Addr: addr, Incarnation: 1})
	}
	clients := &caller.Clients{Scenario: s, Balancer: balancer, Clock: clock, Record: recorder.Add, Slack: load.Limits.Slack}
	defer clients.Close()
	var wg sync.WaitGroup
	var sendDelays []time.Duration
	begin := clock()
	work := map[string]time.Duration{}
	for stream := load.NewStream(s, 1); ; {
		order, ok := stream.Next()
		if !ok {
			break
		}
		due := begin + order.At
		alarm.Sleep(due - clock())
		sendDelays = append(sendDelays, clock()-due)
		work[order.ID] = order.Work
		order.At = due
		wg.Go(func() { clients.Send(&order) })
	}
	wg.Wait()
	elapsed := clock() - begin
	events, _ := recorder.Snapshot()
	sent := map[string]history.Event{}
	var addedLatencies []time.Duration
	for _, e := range events {
		switch e.Kind {
		case history.Try:
			sent[e.Try] = e
		case history.Answer:
			if try := sent[e.Try]; e.Status == history.Served {
				addedLatencies = append(addedLatencies, max(0, e.At-try.At-work[try.Order]))
			}
		}
	}
	return float64(len(addedLatencies)) / elapsed.Seconds(), judge.Quantile(sendDelays, 0.99), judge.Quantile(addedLatencies, 0.5), judge.Quantile(addedLatencies, 0.99), nil
}
