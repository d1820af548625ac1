// Package alarm calls functions at their times, to a fraction of a
// millisecond. Go's own timers wake an idle process to the millisecond, which
// would be the greatest part of what the lab adds to a request.
package alarm

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// step bounds how long the thread sleeps while something is planned: an
// earlier alarm that is set meanwhile is late by so much at most.
const step = 200 * time.Microsecond

// Alarm is one thing planned. Its methods may be called from several
// goroutines.
type Alarm struct {
	do    func()
	due   time.Time
	index int // in the heap; -1: not planned
}

var (
	mu     sync.Mutex
	queue  alarms
	wake   = make(chan struct{}, 1)
	thread sync.Once
)

// New makes an alarm that is not set. do must not take long: it runs on the
// one thread of all alarms.
func New(do func()) *Alarm { return &Alarm{do: do, index: -1} }

// Set plans the alarm for a time from now, in place of what it was set to.
func (a *Alarm) Set(after time.Duration) {
	thread.Do(func() { go run() })
	due := time.Now().Add(after)
	mu.Lock()
	a.due = due
	if a.index >= 0 {
		heap.Fix(&queue, a.index)
	} else {
		heap.Push(&queue, a)
	}
	mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Stop takes back what was planned. It does not wait for a call that runs.
func (a *Alarm) Stop() {
	mu.Lock()
	defer mu.Unlock()
	if a.index >= 0 {
		heap.Remove(&queue, a.index)
	}
}

// Sleep sleeps, and wakes on time.
func Sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	done := make(chan struct{})
	New(func() { close(done) }).Set(d)
	<-done
}

// run is the thread of all alarms. It sleeps in the kernel, not in Go's timers.
func run() {
	runtime.LockOSThread()
	for {
		mu.Lock()
		if len(queue) == 0 {
			mu.Unlock()
			<-wake
			continue
		}
		left := time.Until(queue[0].due)
		if left <= 0 {
			a := heap.Pop(&queue).(*Alarm)
			mu.Unlock()
			a.do()
			continue
		}
		mu.Unlock()
		t := syscall.NsecToTimespec(int64(min(left, step)))
		syscall.Nanosleep(&t, nil)
	}
}

// alarms is a heap, the next due first.
type alarms []*Alarm

func (h alarms) Len() int           { return len(h) }
func (h alarms) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h alarms) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *alarms) Push(x any) {
	a := x.(*Alarm)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *alarms) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	a.index = -1
	*h = old[:len(old)-1]
	return a
}
