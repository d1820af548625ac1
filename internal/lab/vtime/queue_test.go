package vtime

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainHeap is the reference implementation, on container/heap.
type plainHeap []item[int]

func (h plainHeap) Len() int           { return len(h) }
func (h plainHeap) Less(i, j int) bool { return h[i].before(&h[j]) }
func (h plainHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *plainHeap) Push(x any)        { *h = append(*h, x.(item[int])) }
func (h *plainHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Guards against wrong order of events in the same bucket, at bucket boundaries, within
// the ring or beyond it.
func TestQueueMatchesPlainHeap(t *testing.T) {
	ahead := rapid.OneOf(rapid.Int64Range(0, 1000), rapid.Int64Range(0, 1<<bucketShift),
		rapid.Int64Range(0, 8<<bucketShift), rapid.Map(rapid.Int64Range(0, 2*bucketCount), func(b int64) int64 { return b << bucketShift }),
		rapid.Int64Range(0, 3*bucketCount<<bucketShift))
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var want plainHeap
		now, seq := time.Duration(0), 0
		steps := rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "push rather than pop")
		for _, push := range steps {
			if push {
				at := now + time.Duration(ahead.Draw(t, "ahead"))
				seq++
				q.Push(at, seq)
				heap.Push(&want, item[int]{at, uint64(seq), seq})
				continue
			}
			at, what, ok := q.Pop()
			if ok != (len(want) > 0) {
				t.Fatalf("Pop returned ok=%v with %d events in the reference heap", ok, len(want))
			}
			if !ok {
				continue
			}
			x := heap.Pop(&want).(item[int])
			if at != x.at || what != x.value {
				t.Fatalf("got event %d at %v, want %d at %v", what, at, x.value, x.at)
			}
			now = at
		}
		if q.Len() != len(want) {
			t.Fatalf("%d events left, want %d", q.Len(), len(want))
		}
	})
}

// BenchmarkQueue keeps the number of queued events constant: each popped event adds one,
// mostly some milliseconds ahead and one in eight up to 6 s ahead, like a timeout.
func BenchmarkQueue(b *testing.B) {
	for _, size := range []int{1_000, 100_000, 1_000_000} {
		gaps := make([]time.Duration, 1<<16)
		rng := rand.New(rand.NewPCG(1, 2))
		for i := range gaps {
			gaps[i] = time.Duration(rng.ExpFloat64() * 20e6)
			if i%8 == 0 {
				gaps[i] = time.Duration(rng.Float64() * 6e9)
			}
		}
		b.Run(fmt.Sprintf("calendar/%d", size), func(b *testing.B) {
			var q Queue[int]
			for i := range size {
				q.Push(gaps[i%len(gaps)], i)
			}
			b.ResetTimer()
			for i := range b.N {
				at, what, _ := q.Pop()
				q.Push(at+gaps[i%len(gaps)], what)
			}
		})
		b.Run(fmt.Sprintf("container-heap/%d", size), func(b *testing.B) {
			var q plainHeap
			for i := range size {
				heap.Push(&q, item[int]{gaps[i%len(gaps)], uint64(i), i})
			}
			b.ResetTimer()
			for i := range b.N {
				x := heap.Pop(&q).(item[int])
				heap.Push(&q, item[int]{x.at + gaps[i%len(gaps)], uint64(size + i), x.value})
			}
		})
	}
}
