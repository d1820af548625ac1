package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/holds"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/real"
	"ivylock/internal/lab/scenario"
)

// Result is the result of one seed.
type Result struct {
	Seed         int64
	Nodes        int
	Faults       int
	Crowd        bool     // some nodes had a crowd of slow clients
	Violations   []string // rules and expectations that did not hold, a line each
	Tries        int
	LateRequests int // requests on connections of nodes that had been sent SIGTERM
	CloseRaces   int // late requests on unused connections that the node was just closing
	Restarts     int // processes that were sent SIGTERM
	Overdue      int // restarted processes that still ran at the shutdown timeout
	Elapsed      time.Duration
	History      *history.History
	Scenario     *scenario.Scenario
}

// Passed reports whether there are no violations.
func (r *Result) Passed() bool { return len(r.Violations) == 0 }

// Run runs a seed with a node's program. It returns an error if the lab itself fails; a crash of a node
// is a violation.
func Run(ctx context.Context, program string, seed int64, b Bounds) (*Result, error) {
	s, deployment := Generate(seed, b)
	start := time.Now()
	options := generateOptions(seed)
	options.Program, options.Deployment = program, deployment
	bed, err := real.New(ctx, s, options)
	if err != nil {
		return nil, err
	}
	got, err := bed.Run(ctx)
	bed.Close()
	r := &Result{Seed: seed, Nodes: len(s.Nodes()), Faults: len(s.Faults), Crowd: options.Crowd != nil, Elapsed: time.Since(start), History: got, Scenario: s}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err != nil {
		r.add("the run failed: %v", err)
	}
	r.judge(got)
	for _, a := range bed.ErrorLines() {
		r.add("%s said: %s", a.Node, a.Line)
	}
	r.LateRequests, r.CloseRaces = bed.LateRequests()
	if r.CloseRaces > max(2, r.LateRequests/20) {
		r.add("%d of %d late requests crossed the end of an unused connection", r.CloseRaces, r.LateRequests)
	}
	return r, nil
}

// add adds a violation.
func (r *Result) add(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// judge counts restarts and adds the breaches and the exceeded shutdown timeouts of a history.
func (r *Result) judge(h *history.History) {
	v := judge.Judge(h)
	r.Tries = v.Service.Tries
	for _, b := range v.Breaches {
		r.add("%v", b)
	}
	for _, line := range holds.CutOffAnswers(r.Scenario, h) {
		r.add("%s", line)
	}
	for i := range h.Events {
		switch e := &h.Events[i]; e.Kind {
		case history.NodeTerminating:
			r.Restarts++
		case history.NodeForceKilled:
			r.Overdue++
			r.add("%s still ran when its time was up, at %v", e.Node, e.At)
		}
	}
}

// Summary returns the result on one line, followed by a line for each of the first 20 violations.
func (r *Result) Summary() string {
	var b strings.Builder
	crowd := ""
	if r.Crowd {
		crowd = " a crowd,"
	}
	fmt.Fprintf(&b, "seed %d: %d nodes,%s %d faults, %d tries, %d restarts, %d late requests (%d crossed), %.0f s: ", r.Seed, r.Nodes, crowd, r.Faults, r.Tries, r.Restarts, r.LateRequests, r.CloseRaces, r.Elapsed.Seconds())
	if r.Passed() {
		b.WriteString("held")
		return b.String()
	}
	fmt.Fprintf(&b, "%d did not hold", len(r.Violations))
	for i, line := range r.Violations {
		if i == 20 {
			fmt.Fprintf(&b, "\n  and %d more", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "\n  %s", line)
	}
	return b.String()
}
