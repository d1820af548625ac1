package node

import (
	"sync/atomic"
	"time"

	"ivylock/guard"
)

// lifecycle knows how far the process has come. It reads the clock each time it is
// asked, so a process that was held up decides by the time and not by a timer that
// fires late. Its methods may be called from several goroutines.
type lifecycle struct {
	schedule guard.ShutdownSchedule
	told     atomic.Pointer[time.Time] // when the process was told to end; nil: it was not
}

// end takes that the process is told to end.
func (l *lifecycle) end(now time.Time) { l.told.CompareAndSwap(nil, &now) }

// since tells how long before a time the process was told to end; false if it
// was not.
func (l *lifecycle) since(t time.Time) (time.Duration, bool) {
	told := l.told.Load()
	if told == nil {
		return 0, false
	}
	return t.Sub(*told), true
}

// phase is how far the process has come.
func (l *lifecycle) phase() guard.Phase {
	since, told := l.since(time.Now())
	if !told {
		return guard.Serving
	}
	return l.schedule.Phase(since)
}

// mayTake tells whether a request that was read at a time may be served.
func (l *lifecycle) mayTake(read time.Time) bool {
	since, told := l.since(read)
	return !told || l.schedule.MayServe(since)
}

// at gives the time of a step of the schedule. The process has been told to end.
func (l *lifecycle) at(step time.Duration) time.Time { return l.told.Load().Add(step) }

// SetShutdownSchedule changes what the node does at which time after it is told to end. It
// comes before Run. The schedule that the settings give is right for the platform.
func (n *Node) SetShutdownSchedule(s guard.ShutdownSchedule) { n.life.schedule = s }

// ShutdownSchedule is what the node does at which time after it is told to end.
func (n *Node) ShutdownSchedule() guard.ShutdownSchedule { return n.life.schedule }

// ShutdownPhase is how far the process has come.
func (n *Node) ShutdownPhase() guard.Phase { return n.life.phase() }

// ShutdownStepTime gives the time of a step of the schedule, once the process has been told to
// end.
func (n *Node) ShutdownStepTime(step time.Duration) time.Time { return n.life.at(step) }

// MayServe tells whether a request may be served whose last byte was read at a time.
func (n *Node) MayServe(read time.Time) bool { return n.life.mayTake(read) }
