package logsink

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// blockingWriter blocks writes until unblocked is closed.
type blockingWriter struct {
	unblocked chan struct{}
	bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.unblocked
	return w.Buffer.Write(b)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	w := &blockingWriter{unblocked: make(chan struct{})}
	close(w.unblocked)
	var dropped atomic.Int64
	s := New(w, &dropped)
	line := []byte("0\n")
	for i := range 5 {
		line[0] = byte('0' + i) // the caller reuses its buffer
		if n, err := s.Write(line); n != len(line) || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if !s.Flush(10 * time.Second) {
		t.Fatal("not written")
	}
	if got := w.String(); got != "0\n1\n2\n3\n4\n" || dropped.Load() != 0 {
		t.Errorf("%q, %d dropped", got, dropped.Load())
	}
}

func TestBlockedDestinationDoesNotBlockWriters(t *testing.T) {
	w := &blockingWriter{unblocked: make(chan struct{})}
	var dropped atomic.Int64
	s := New(w, &dropped)
	const lines = 3 * QueueLength
	for i := range lines {
		fmt.Fprintln(s, i)
	}
	if s.Flush(time.Millisecond) {
		t.Error("flushed")
	}
	if d := dropped.Load(); d < lines-QueueLength-1 {
		t.Errorf("%d dropped", d)
	}
	close(w.unblocked)
	if !s.Flush(10 * time.Second) {
		t.Fatal("not written")
	}
	if want := fmt.Sprintf("%d lines were dropped", dropped.Load()); strings.Count(w.String(), want) != 1 {
		t.Errorf("the log does not contain: %s", want)
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space left on device") }

func TestWriteErrorsDoNotStopSink(t *testing.T) {
	var dropped atomic.Int64
	s := New(failingWriter{}, &dropped)
	fmt.Fprintln(s, "one")
	fmt.Fprintln(s, "two")
	if !s.Flush(10 * time.Second) {
		t.Error("the sink stopped after a write error")
	}
}
