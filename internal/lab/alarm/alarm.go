// Package alarm calls functions at their times, to a fraction of a
// millisecond. Go's own timers wake an idle process to the millisecond, which
// would be the greatest part of what the lab adds to a request.
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

// Timer is one thing planned. Its methods may be called from several
// goroutines.
type Timer struct {
	do    func()
	due   time.Time
	index int // in the heap; -1: not planned
}

var (
	mu     sync.Mutex
	queue  alarms
	wake   int // descriptor of an event: something is due before what the thread waits for
	thread sync.Once
)

// New makes an alarm that is not set. do must not take long: it runs on the
// one thread of all alarms.
func New(do func()) *Timer { return &Timer{do: do, index: -1} }

// Set plans the alarm for a time from now, in place of what it was set to.
func (a *Timer) Set(after time.Duration) {
	thread.Do(begin)
	due := time.Now().Add(after)
	mu.Lock()
	a.due = due
	if a.index >= 0 {
		heap.Fix(&queue, a.index)
	} else {
		heap.Push(&queue, a)
	}
	first := a.index == 0
	mu.Unlock()
	if first {
		unix.Write(wake, binary.NativeEndian.AppendUint64(nil, 1)) // it fails only where 2^64-2 wait to be read
	}
}

// Stop takes back what was planned. It does not wait for a call that runs.
func (a *Timer) Stop() {
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

func begin() {
	var err error
	if wake, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		panic(fmt.Sprintf("alarm: eventfd: %v", err)) // out of descriptors before anything ran
	}
	go run()
}

// run is the thread of all alarms. It waits in the kernel, not in Go's timers.
func run() {
	runtime.LockOSThread()
	for {
		a, left := next()
		if a != nil {
			a.do()
			continue
		}
		await(left)
	}
}

// next takes the alarm that is due; or gives how long the thread is to wait, below 0 if nothing is planned.
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

// await waits so long, without an end if that is below 0, or until an earlier alarm is set.
func await(left time.Duration) {
	var timeout *unix.Timespec
	if left >= 0 {
		t := unix.NsecToTimespec(int64(left))
		timeout = &t
	}
	event := []unix.PollFd{{Fd: int32(wake), Events: unix.POLLIN}}
	if n, _ := unix.Ppoll(event, timeout, nil); n > 0 { // an error, as EINTR, means another turn
		var count [8]byte
		unix.Read(wake, count[:])
	}
}

// alarms is a heap, the next due first.
type alarms []*Timer

func (h alarms) Len() int           { return len(h) }
func (h alarms) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h alarms) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *alarms) Push(x any) {
	a := x.(*Timer)
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
