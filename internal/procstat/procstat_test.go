package procstat

import (
	"runtime"
	"testing"
)

func TestSampleFollowsMemory(t *testing.T) {
	r := NewReader()
	defer r.Close()
	before := r.Read()
	if before.ResidentBytes == 0 || before.HeapBytes == 0 || before.Goroutines == 0 {
		t.Fatalf("%+v", before)
	}
	const size = 32 << 20
	held := make([]byte, size)
	for i := range held {
		held[i] = 1
	}
	after := r.Read()
	if grown := after.ResidentBytes - before.ResidentBytes; grown < size/2 {
		t.Errorf("resident memory grew by %d bytes, want about %d", grown, size)
	}
	if grown := after.HeapBytes - before.HeapBytes; grown < size/2 {
		t.Errorf("the heap grew by %d bytes, want about %d", grown, size)
	}
	if after.GCFraction < 0 || after.GCFraction > 1 {
		t.Errorf("%v of the time in garbage collection", after.GCFraction)
	}
	runtime.KeepAlive(held)
}

// Without its file a Reader still returns what the runtime tells.
func TestSampleWithoutFile(t *testing.T) {
	r := NewReader()
	r.Close()
	if s := r.Read(); s.ResidentBytes != 0 || s.HeapBytes == 0 {
		t.Errorf("%+v", s)
	}
}
