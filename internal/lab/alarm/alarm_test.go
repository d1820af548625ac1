package alarm

import (
	"sync"
	"testing"
	"time"
)

const patience = 10 * time.Second

func TestAlarmsRingInOrderAndNotBefore(t *testing.T) {
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
			if took := time.Since(start); took < time.Duration(n)*time.Millisecond {
				t.Errorf("the alarm for %d ms rang after %v", n, took)
			}
		}).Set(time.Duration(n) * time.Millisecond)
	}
	wg.Wait()
	if len(got) != 3 || got[0] != 10 || got[1] != 20 || got[2] != 30 {
		t.Errorf("rang %v", got)
	}
}

func TestAnAlarmIsMovedAndStopped(t *testing.T) {
	rang := make(chan time.Time, 10)
	a := New(func() { rang <- time.Now() })
	a.Set(time.Hour)
	a.Set(5 * time.Millisecond) // earlier
	select {
	case <-rang:
	case <-time.After(patience):
		t.Fatal("it kept its first time")
	}
	a.Set(30 * time.Millisecond)
	a.Stop()
	a.Stop()
	Sleep(60 * time.Millisecond)
	if len(rang) > 0 {
		t.Error("it rang although it was stopped")
	}
	a.Set(0) // it may be set again
	select {
	case <-rang:
	case <-time.After(patience):
		t.Fatal("it does not ring again")
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
