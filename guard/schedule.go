package guard

import (
	"time"
)

// Termination by the platform.
const (
	// KillMargin is the minimum time from SIGTERM to SIGKILL beyond the longest deadline.
	KillMargin = 700 * time.Millisecond
	// MaxDeadline is the most by which a deadline delays SIGKILL.
	MaxDeadline = 3 * time.Second
	// trafficStopTime is how long new connections arrive after SIGTERM.
	trafficStopTime = 400 * time.Millisecond
)

// Termination by the node.
const (
	// pauseReserve is kept before SIGKILL for process pauses of 0.15 s before the signal is
	// seen and before the write, and for the write itself.
	pauseReserve = 350 * time.Millisecond
	// lateAnswerTime is how long an answer may take to be written after AnswerBy, or after the
	// last streamed body if that ends later.
	lateAnswerTime = pauseReserve - exitReserve
	// flushTime is how long connections may take to close after the last answer.
	flushTime = 150 * time.Millisecond
	// exitReserve is kept before SIGKILL for the exit of the process.
	exitReserve = 50 * time.Millisecond
	// acceptTime is how long new connections are accepted if the deadlines permit.
	acceptTime = 600 * time.Millisecond
	// readGrace is how long requests are read after the last connection was accepted.
	readGrace = 50 * time.Millisecond
	// maxBacklogTime is how long connections in the listener's backlog are accepted before
	// it closes, if the deadlines permit.
	maxBacklogTime = 100 * time.Millisecond
	// minServeTime is the minimum time to serve the last request.
	minServeTime = 100 * time.Millisecond
)

// Phase is a phase of the shutdown.
type Phase int

const (
	// Serving: no shutdown.
	Serving Phase = iota
	// Draining: connections are accepted and requests served; each connection closes after
	// its next answer.
	Draining
	// Finishing: no connections are accepted, idle ones are closed, and requests on the
	// others are served.
	Finishing
	// Refusing: requests that are read are refused; earlier ones have the rest of their
	// time.
	Refusing
	// Answering: all open requests get their final answer at once.
	Answering
	// Ended: the process has no connections.
	Ended
)

var phaseNames = [...]string{"serving", "draining", "finishing", "refusing", "answering", "ended"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[min(max(p, Serving), Ended)] }

// ShutdownSchedule contains the times of the shutdown's phases, counted from the signal, in
// ascending order.
type ShutdownSchedule struct {
	AcceptUntil time.Duration // connections are accepted until then
	ServeUntil  time.Duration // requests that are read until then are served
	AnswerBy    time.Duration // all requests have their final answer by then
	ExitBy      time.Duration // the process has exited by then unless it was paused or streams a body
	ForceExitAt time.Duration // the process exits even while an answer is being written, unless it streams a body
}

// NewShutdownSchedule returns the schedule for requests with at most the given deadline; 0:
// unknown, possibly short. It ends before SIGKILL.
func NewShutdownSchedule(deadline time.Duration) ShutdownSchedule {
	kill := KillMargin + min(deadline, MaxDeadline)
	s := ShutdownSchedule{AnswerBy: max(kill-pauseReserve, trafficStopTime)}
	s.ServeUntil = max(min(acceptTime+readGrace, s.AnswerBy-minServeTime), min(trafficStopTime, s.AnswerBy))
	s.AcceptUntil = max(s.ServeUntil-readGrace, 0)
	s.ExitBy = s.AnswerBy + flushTime
	s.ForceExitAt = kill - exitReserve
	return s
}

// BacklogTime returns how long connections in the listener's backlog may be accepted after
// AcceptUntil, so that refusals are written before the last answers.
func (s ShutdownSchedule) BacklogTime() time.Duration {
	return max(0, min(maxBacklogTime, s.AnswerBy-s.AcceptUntil-readGrace))
}

// Phase returns the phase at the given time since the signal.
func (s ShutdownSchedule) Phase(since time.Duration) Phase {
	switch {
	case since < s.AcceptUntil:
		return Draining
	case since < s.ServeUntil:
		return Finishing
	case since < s.AnswerBy:
		return Refusing
	case since < s.ExitBy:
		return Answering
	}
	return Ended
}

// MayServe reports whether a request that was read at the given time since the signal may
// be served; otherwise it is refused.
func (s ShutdownSchedule) MayServe(read time.Duration) bool { return read < s.ServeUntil }

// End returns from when on the process does nothing but forward streamed bodies.
func (s ShutdownSchedule) End() time.Duration { return max(s.ExitBy, s.ForceExitAt) }

// ShutdownProgress is what a shutdown has still to do. All times count from the signal.
type ShutdownProgress struct {
	Since         time.Duration // now
	Pending       bool          // an answer is to be written, other than a streamed one
	LastPending   time.Duration // when that was last the case
	Streaming     bool          // the body of an answer is being forwarded, or that of a refused request read
	LastStreaming time.Duration // when that was last the case; 0: never
}

// MayExit reports whether the process may close its connections and exit. Streamed bodies
// end first: they have time limits of their own, and SIGKILL may come much later than it may
// come at the earliest. Answers delayed by a process pause are still written while there is
// time.
func (s ShutdownSchedule) MayExit(p ShutdownProgress) bool {
	if p.Since < s.ExitBy || p.Streaming {
		return false
	}
	forceExitAt := s.ForceExitAt
	if p.LastStreaming > 0 {
		forceExitAt = max(forceExitAt, p.LastStreaming+lateAnswerTime)
	}
	return p.Since >= forceExitAt || !p.Pending && p.Since >= max(p.LastPending, p.LastStreaming)+flushTime
}

// EffectiveDeadline returns the longest deadline, at most MaxDeadline, or 0 without
// deadlines.
func EffectiveDeadline(deadlines ...time.Duration) (longest time.Duration) {
	for _, deadline := range deadlines {
		longest = max(longest, deadline)
	}
	return min(longest, MaxDeadline)
}
