package main

import (
	"sync"
	"time"
)

// lateness measures by how much this program runs late, which would look like lateness of the
// node: a goroutine notes how much longer than asked each of its short waits took.
type lateness struct {
	mu     sync.Mutex
	recent [250]time.Duration // the latest waits, of some 1 ms each
	next   int
	begun  time.Time // of the wait in progress
}

const shortWait = time.Millisecond

func (l *lateness) start() {
	l.mu.Lock()
	l.begun = time.Now()
	l.mu.Unlock()
	go func() {
		for {
			time.Sleep(shortWait)
			l.mu.Lock()
			now := time.Now()
			l.recent[l.next] = now.Sub(l.begun) - shortWait
			l.next, l.begun = (l.next+1)%len(l.recent), now
			l.mu.Unlock()
		}
	}()
}

// max returns the longest delay of the last quarter of a second, the wait in progress included.
func (l *lateness) max() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := max(0, time.Since(l.begun)-shortWait)
	for _, delay := range l.recent {
		longest = max(longest, delay)
	}
	return longest
}
