// Package alarm provides timers with a precision of a fraction of a millisecond. Go's own timers wake an
// idle process with a precision of a millisecond, which would dominate the latency that the lab adds to a
// request.
package alarm

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Timer calls a function at its time. Its methods are safe for concurrent use.
type Timer struct {
	callback func()
	due      time.Time
	index    int // in the heap; -1: not set
}

var (
	mu        sync.Mutex
	queue     timerHeap
	wakeFD    int // eventfd that interrupts the thread's wait when an earlier timer is set
	startOnce sync.Once
)

// New returns a timer that is not set. The callback must not block: it runs on the one thread of all
// timers.
func New(callback func()) *Timer { return &Timer{callback: callback, index: -1} }

// Set makes the timer fire after a duration from now. It replaces an earlier setting.
func (t *Timer) Set(after time.Duration) {
	startOnce.Do(startThread)
	due := time.Now().Add(after)
	mu.Lock()
	t.due = due
	if t.index >= 0 {
		heap.Fix(&queue, t.index)
	} else {
		heap.Push(&queue, t)
	}
	first := t.index == 0
	mu.Unlock()
	if first {
		unix.Write(wakeFD, binary.NativeEndian.AppendUint64(nil, 1)) // fails only if the counter is at its maximum
	}
}

// Stop cancels the timer. It does not wait for a callback that is running.
func (t *Timer) Stop() {
	mu.Lock()
	defer mu.Unlock()
	if t.index >= 0 {
		heap.Remove(&queue, t.index)
	}
}

// Sleep pauses the goroutine for a duration, with the precision of a Timer.
func Sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	done := make(chan struct{})
	New(func() { close(done) }).Set(d)
	<-done
}

func startThread() {
	var err error
	if wakeFD, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		panic(fmt.Sprintf("alarm: eventfd: %v", err)) // the process is out of descriptors
	}
	go run()
}

// run runs all timers on a locked thread, which waits in the kernel instead of with Go's timers.
func run() {
	runtime.LockOSThread()
	for {
		t, left := next()
		if t != nil {
			t.callback()
			continue
		}
		wait(left)
	}
}

// next removes and returns a timer that is due, or returns how long to wait; below 0 if no timer is set.
func next() (due *Timer, left time.Duration) {
	mu.Lock()
	defer mu.Unlock()
	if len(queue) == 0 {
		return nil, -1
	}
	if left = time.Until(queue[0].due); left > 0 {
		return nil, left
	}
	return heap.Pop(&queue).(*Timer), 0
}

// wait waits for a duration, without a limit if it is below 0, or until an earlier timer is set.
func wait(left time.Duration) {
	var timeout *unix.Timespec
	if left >= 0 {
		spec := unix.NsecToTimespec(int64(left))
		timeout = &spec
	}
	event := []unix.PollFd{{Fd: int32(wakeFD), Events: unix.POLLIN}}
	if n, _ := unix.Ppoll(event, timeout, nil); n > 0 { // after an error such as EINTR, run calls next again
		var count [8]byte
		unix.Read(wakeFD, count[:])
	}
}

// timerHeap is a heap.Interface with the earliest timer first.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	t.index = -1
	*h = old[:len(old)-1]
	return t
}
