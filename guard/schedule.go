package guard

import (
	"time"
)

// The platform's part of a planned end (protocol page, standing page).
const (
	// KillMargin is how long after SIGTERM, beside the longest deadline, SIGKILL
	// comes at the earliest.
	KillMargin = 700 * time.Millisecond
	// MaxDeadline is the most that a deadline counts for that.
	MaxDeadline = 3 * time.Second
	// comingTime is how long after SIGTERM new connections still come.
	comingTime = 400 * time.Millisecond
)

// The node's part of it.
const (
	// heldUp is what is kept of the time before SIGKILL for a process that is held
	// up for 0.15 s before it sees the signal, and once more before it writes, and
	// for the writing.
	heldUp = 350 * time.Millisecond
	// flushTime is how long connections may take to end once all is answered.
	flushTime = 150 * time.Millisecond
	// exitTime is what is kept of the time before SIGKILL for the process's own end.
	exitTime = 50 * time.Millisecond
	// acceptTime is how long new connections are accepted, where the deadlines
	// leave room for it.
	acceptTime = 600 * time.Millisecond
	// readTime is how long requests are read behind the last connection.
	readTime = 50 * time.Millisecond
	// emptyTime is how long connections that wait at the listener are accepted still when it is
	// to be closed, where the deadlines leave room for it.
	emptyTime = 100 * time.Millisecond
	// servingTime is the least that the last request has to be served.
	servingTime = 100 * time.Millisecond
)

// Phase is how far a process has come.
type Phase int

const (
	// Serving: it has not been told to end.
	Serving Phase = iota
	// Draining: it accepts connections and serves what comes; each connection
	// ends with its next answer.
	Draining
	// Finishing: it accepts no more connections, ends those that are idle and
	// serves what still comes on the others.
	Finishing
	// Refusing: what is read from now on is refused; what was read before has
	// what is left of its time.
	Refusing
	// Answering: all that is open gets its final answer now.
	Answering
	// Ended: the process has no connection any more.
	Ended
)

var phaseNames = [...]string{"serving", "draining", "finishing", "refusing", "answering", "ended"}

// String names the phase.
func (p Phase) String() string { return phaseNames[min(max(p, Serving), Ended)] }

// ShutdownSchedule is what a process does at which time after it was told to end. Each
// time is from the signal on and not before the one above it.
type ShutdownSchedule struct {
	AcceptUntil time.Duration // until then connections are accepted
	ServeUntil  time.Duration // until then what is read is served
	AnswerBy    time.Duration // by then each request has its final answer
	ExitBy      time.Duration // by then the process has ended, if nothing held it up
	ForceExitAt time.Duration // from then on not even an answer that is being written is waited for
}

// NewShutdownSchedule gives the schedule of a deployment whose requests have at most this
// deadline; 0: it is not known, and may be short. All of it ends before SIGKILL
// may come.
func NewShutdownSchedule(deadline time.Duration) ShutdownSchedule {
	kill := KillMargin + min(deadline, MaxDeadline)
	s := ShutdownSchedule{AnswerBy: max(kill-heldUp, comingTime)}
	s.ServeUntil = max(min(acceptTime+readTime, s.AnswerBy-servingTime), min(comingTime, s.AnswerBy))
	s.AcceptUntil = max(s.ServeUntil-readTime, 0)
	s.ExitBy = s.AnswerBy + flushTime
	s.ForceExitAt = kill - exitTime
	return s
}

// BacklogTime is how long what waits at the listener may be accepted from Accept on: nobody is
// accepted whose refusal would come after the last answers.
func (s ShutdownSchedule) BacklogTime() time.Duration {
	return max(0, min(emptyTime, s.AnswerBy-s.AcceptUntil-readTime))
}

// Phase tells how far a process has come a time after it was told to end.
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

// MayServe tells whether a request that was read a time after the process was told
// to end may be served; if not it is refused.
func (s ShutdownSchedule) MayServe(read time.Duration) bool { return read < s.ServeUntil }

// MayExit tells whether the process may end its connections and itself a time after it
// was told to end. Answers that a process gives late, because it was held up, are
// written all the same while there is time: settled is when no request was without
// its written answer any more, owed that there is one yet.
func (s ShutdownSchedule) MayExit(since, settled time.Duration, owed bool) bool {
	switch {
	case since < s.ExitBy:
		return false
	case since >= s.ForceExitAt:
		return true
	}
	return !owed && since >= settled+flushTime
}

// EffectiveDeadline gives the longest of some deadlines, as far as it counts; 0 if there is
// none.
func EffectiveDeadline(deadlines ...time.Duration) (longest time.Duration) {
	for _, d := range deadlines {
		longest = max(longest, d)
	}
	return min(longest, MaxDeadline)
}
