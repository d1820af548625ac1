// Package vtime provides an event queue for simulations in virtual time. Queue
// returns events by time and events of the same time in order of insertion, so
// that a simulation is deterministic.
package vtime

import (
	"math/bits"
	"time"
)

// The ring covers the next 4.3 s with bucketCount buckets of 2^bucketShift ns
// (0.13 ms). Most events of a simulation fall within it.
const (
	bucketShift = 17
	bucketCount = 1 << 15
)

// Queue is a calendar queue (Brown, CACM 31(10), 1988) with buckets of a fixed
// width. An event within the ring is appended to its bucket, which becomes a heap
// when its time comes. Events beyond the ring wait in a separate heap. The zero
// value is an empty queue that begins at time 0. It is not safe for concurrent use.
type Queue[T any] struct {
	seq           uint64
	size          int
	currentBucket int64 // number of the bucket whose items are in current
	current       itemHeap[T]
	ring          [][]item[T]
	occupied      []uint64    // bitmap of the non-empty buckets of the ring
	overflow      itemHeap[T] // items beyond the ring
	freeBuckets   [][]item[T] // for reuse
}

type item[T any] struct {
	at    time.Duration
	seq   uint64
	value T
}

func (a *item[T]) before(b *item[T]) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// Len returns the number of queued events.
func (q *Queue[T]) Len() int { return q.size }

// Push adds an event. A time before that of the last Pop counts as the latter.
func (q *Queue[T]) Push(at time.Duration, value T) {
	q.seq++
	q.size++
	q.place(item[T]{at, q.seq, value})
}

func (q *Queue[T]) place(x item[T]) {
	switch b := int64(x.at) >> bucketShift; {
	case b <= q.currentBucket:
		q.current.push(x)
	case b >= q.currentBucket+bucketCount:
		q.overflow.push(x)
	default:
		if q.ring == nil {
			q.ring, q.occupied = make([][]item[T], bucketCount), make([]uint64, bucketCount/64)
		}
		i := b & (bucketCount - 1)
		if q.ring[i] == nil {
			q.occupied[i/64] |= 1 << (i % 64)
			if n := len(q.freeBuckets); n > 0 {
				q.ring[i], q.freeBuckets = q.freeBuckets[n-1], q.freeBuckets[:n-1]
			}
		}
		q.ring[i] = append(q.ring[i], x)
	}
}

// Pop removes and returns the next event; ok is false if the queue is empty.
func (q *Queue[T]) Pop() (at time.Duration, value T, ok bool) {
	for len(q.current) == 0 {
		if q.size == 0 {
			return 0, value, false
		}
		q.advance()
	}
	x := q.current.pop()
	q.size--
	return x.at, x.value, true
}

// advance moves to the next bucket that is not empty.
func (q *Queue[T]) advance() {
	next, found := q.nextOccupied()
	if len(q.overflow) > 0 {
		if b := int64(q.overflow[0].at) >> bucketShift; !found || b < next {
			next, found = b, true
		}
	}
	q.currentBucket = next
	i := next & (bucketCount - 1)
	if q.occupied != nil && q.occupied[i/64]&(1<<(i%64)) != 0 {
		full := q.ring[i]
		q.ring[i] = nil
		q.occupied[i/64] &^= 1 << (i % 64)
		empty := q.current[:0]
		q.current = full
		q.current.heapify()
		if cap(empty) > 0 {
			q.freeBuckets = append(q.freeBuckets, empty)
		}
	}
	// Entries that are now within the ring.
	for len(q.overflow) > 0 && int64(q.overflow[0].at)>>bucketShift < q.currentBucket+bucketCount {
		q.place(q.overflow.pop())
	}
}

// nextOccupied returns the first non-empty bucket of the ring after the current one.
func (q *Queue[T]) nextOccupied() (bucket int64, found bool) {
	if q.occupied == nil {
		return 0, false
	}
	start := (q.currentBucket + 1) & (bucketCount - 1)
	for n := int64(0); n < bucketCount; {
		i := (start + n) & (bucketCount - 1)
		if word := q.occupied[i/64] >> (i % 64); word != 0 {
			if n += int64(bits.TrailingZeros64(word)); n >= bucketCount {
				break
			}
			return q.currentBucket + 1 + n, true
		}
		n += 64 - i%64
	}
	return 0, false
}

// itemHeap is a binary heap by time, then by order of insertion. It avoids the
// interface conversion of each item that container/heap needs.
type itemHeap[T any] []item[T]

func (h *itemHeap[T]) push(x item[T]) {
	*h = append(*h, x)
	a := *h
	i := len(a) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !x.before(&a[p]) {
			break
		}
		a[i] = a[p]
		i = p
	}
	a[i] = x
}

func (h *itemHeap[T]) pop() item[T] {
	a := *h
	top, n := a[0], len(a)-1
	x := a[n]
	a[n] = item[T]{} // releases the value for the garbage collector
	if *h = a[:n]; n > 0 {
		a[:n].siftDown(0, x)
	}
	return top
}

// siftDown replaces the item at i by x and restores the heap order.
func (h itemHeap[T]) siftDown(i int, x item[T]) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			break
		}
		if c+1 < len(h) && h[c+1].before(&h[c]) {
			c++
		}
		if !h[c].before(&x) {
			break
		}
		h[i] = h[c]
		i = c
	}
	h[i] = x
}

// heapify establishes the heap order.
func (h itemHeap[T]) heapify() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.siftDown(i, h[i])
	}
}
