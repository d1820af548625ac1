package node

import (
	"sync/atomic"
	"time"

	"ivylock/guard"
)

// lifecycle tracks the phase of the process. It reads the clock on each call, so that a
// paused process decides by the current time and not by a late timer. Its methods are safe
// for concurrent use.
type lifecycle struct {
	schedule    guard.ShutdownSchedule
	signalledAt atomic.Pointer[time.Time] // when shutdown began; nil: it has not
}

// beginShutdown records the start of the shutdown. Only the first call counts.
func (l *lifecycle) beginShutdown(now time.Time) { l.signalledAt.CompareAndSwap(nil, &now) }

// sinceSignal returns how long before t the shutdown began, and false if it has not begun.
func (l *lifecycle) sinceSignal(t time.Time) (time.Duration, bool) {
	signalledAt := l.signalledAt.Load()
	if signalledAt == nil {
		return 0, false
	}
	return t.Sub(*signalledAt), true
}

// phase returns the current phase.
func (l *lifecycle) phase() guard.Phase {
	since, ending := l.sinceSignal(time.Now())
	if !ending {
		return guard.Serving
	}
	return l.schedule.Phase(since)
}

// mayServe reports whether a request that was read at the given time may be served.
func (l *lifecycle) mayServe(read time.Time) bool {
	since, told := l.sinceSignal(read)
	return !told || l.schedule.MayServe(since)
}

// stepTime returns the time of a step of the schedule. Shutdown must have begun.
func (l *lifecycle) stepTime(step time.Duration) time.Time { return l.signalledAt.Load().Add(step) }

// SetShutdownSchedule replaces the schedule that follows from the settings. It must be
// called before Run.
func (n *Node) SetShutdownSchedule(s guard.ShutdownSchedule) { n.lifecycle.schedule = s }

// ShutdownSchedule returns the schedule of the shutdown.
func (n *Node) ShutdownSchedule() guard.ShutdownSchedule { return n.lifecycle.schedule }

// ShutdownPhase returns the current phase of the process.
func (n *Node) ShutdownPhase() guard.Phase { return n.lifecycle.phase() }

// ShutdownStepTime returns the time of a step of the schedule. Shutdown must have begun.
func (n *Node) ShutdownStepTime(step time.Duration) time.Time { return n.lifecycle.stepTime(step) }

// MayServe reports whether a request whose last byte was read at the given time may be
// served.
func (n *Node) MayServe(read time.Time) bool { return n.lifecycle.mayServe(read) }
