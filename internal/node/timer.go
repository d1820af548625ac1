package node

import (
	"sync"
	"time"
)

// attemptTimer cancels an attempt at its deadline, which may change until then. It is safe for
// concurrent use.
type attemptTimer struct {
	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	stopped  bool
}

// newAttemptTimer returns a timer that calls cancel at the deadline.
func newAttemptTimer(deadline time.Time, cancel func()) *attemptTimer {
	return &attemptTimer{timer: time.AfterFunc(time.Until(deadline), cancel), deadline: deadline}
}

// reset sets the deadline, unless the timer was stopped.
func (t *attemptTimer) reset(deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(deadline)
}

// shorten sets the deadline if that is earlier than the present one.
func (t *attemptTimer) shorten(deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if deadline.Before(t.deadline) {
		t.set(deadline)
	}
}

// set sets the deadline. The caller holds the lock.
func (t *attemptTimer) set(deadline time.Time) {
	if t.stopped {
		return
	}
	t.deadline = deadline
	t.timer.Reset(time.Until(deadline))
}

// stop removes the deadline for good.
func (t *attemptTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
