package alarm

import (
	"sync"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

func TestTimersFireInOrderAndNotEarly(t *testing.T) {
	var mu sync.Mutex
	var got []int
	var wg sync.WaitGroup
	start := time.Now()
	for _, n := range []int{30, 10, 20} {
		wg.Add(1)
		New(func() {
			defer wg.Done()
			mu.Lock()
			defer mu.Unlock()
			got = append(got, n)
			if elapsed := time.Since(start); elapsed < time.Duration(n)*time.Millisecond {
				t.Errorf("the timer for %d ms fired after %v", n, elapsed)
			}
		}).Set(time.Duration(n) * time.Millisecond)
	}
	wg.Wait()
	if len(got) != 3 || got[0] != 10 || got[1] != 20 || got[2] != 30 {
		t.Errorf("fired in the order %v", got)
	}
}

func TestTimerIsResetAndStopped(t *testing.T) {
	fired := make(chan time.Time, 10)
	timer := New(func() { fired <- time.Now() })
	timer.Set(time.Hour)
	timer.Set(5 * time.Millisecond) // earlier
	select {
	case <-fired:
	case <-time.After(testTimeout):
		t.Fatal("did not fire at its second, earlier time")
	}
	timer.Set(30 * time.Millisecond)
	timer.Stop()
	timer.Stop()
	Sleep(60 * time.Millisecond)
	if len(fired) > 0 {
		t.Error("fired although it was stopped")
	}
	timer.Set(0) // a stopped timer may be set again
	select {
	case <-fired:
	case <-time.After(testTimeout):
		t.Fatal("did not fire after it was set again")
	}
}

func BenchmarkSleep(b *testing.B) {
	late := time.Duration(0)
	for b.Loop() {
		start := time.Now()
		Sleep(2 * time.Millisecond)
		late += time.Since(start) - 2*time.Millisecond
	}
	b.ReportMetric(float64(late.Microseconds())/float64(b.N), "late-us")
}
