// Package procstat reads how much memory and processor time the running process uses.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"runtime/metrics"
)

// Sample is the use of resources at one moment.
type Sample struct {
	ResidentBytes int64   // memory of the process that is in RAM; 0: unknown
	HeapBytes     int64   // of it objects on Go's heap, dead ones that are not collected yet included
	StackBytes    int64   // of it stacks of goroutines
	Goroutines    int64   // number of goroutines
	GCFraction    float64 // of the processor time since the sample before that collected garbage, 0 to 1
}

// Reader takes samples. It is used by one goroutine.
type Reader struct {
	statm        *os.File // nil: it could not be opened
	readings     []metrics.Sample
	gcSeconds    float64
	totalSeconds float64
}

// Indexes of Reader.readings.
const (
	heapReading = iota
	stackReading
	goroutineReading
	gcReading
	totalReading
	idleReading
	numReadings
)

var readingNames = [numReadings]string{"/memory/classes/heap/objects:bytes", "/memory/classes/heap/stacks:bytes", "/sched/goroutines:goroutines",
	"/cpu/classes/gc/total:cpu-seconds", "/cpu/classes/total:cpu-seconds", "/cpu/classes/idle:cpu-seconds"}

// NewReader returns a Reader. It keeps one file open, so that samples need no further descriptor.
func NewReader() *Reader {
	r := &Reader{readings: make([]metrics.Sample, numReadings)}
	for i, name := range readingNames {
		r.readings[i].Name = name
	}
	if statm, err := os.Open("/proc/self/statm"); err == nil {
		r.statm = statm
	}
	return r
}

// Close closes the Reader's file.
func (r *Reader) Close() error { return r.statm.Close() }

// Read takes a sample.
func (r *Reader) Read() Sample {
	metrics.Read(r.readings)
	s := Sample{ResidentBytes: r.resident(), HeapBytes: int64(r.readings[heapReading].Value.Uint64()),
		StackBytes: int64(r.readings[stackReading].Value.Uint64()), Goroutines: int64(r.readings[goroutineReading].Value.Uint64())}
	gcSeconds := r.readings[gcReading].Value.Float64()
	totalSeconds := r.readings[totalReading].Value.Float64() - r.readings[idleReading].Value.Float64()
	if spent := totalSeconds - r.totalSeconds; spent > 0 {
		s.GCFraction = min(1, max(0, (gcSeconds-r.gcSeconds)/spent))
	}
	r.gcSeconds, r.totalSeconds = gcSeconds, totalSeconds
	return s
}

// resident returns the resident memory in bytes; 0 if it is unknown.
func (r *Reader) resident() int64 {
	if r.statm == nil {
		return 0
	}
	var text [128]byte
	n, _ := r.statm.ReadAt(text[:], 0)
	var total, resident int64
	if _, err := fmt.Fscan(bytes.NewReader(text[:n]), &total, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}
