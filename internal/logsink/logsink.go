// Package logsink writes log lines asynchronously, so that a blocked pipe or disk does not
// block the goroutines that log.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// ExitFlushTimeout bounds the flush of queued lines when the process exits.
const ExitFlushTimeout = 20 * time.Millisecond

// QueueLength is the number of lines that may be queued; further lines are dropped.
const QueueLength = 1024

// Sink is an io.Writer for package log; each Write is one line. Its methods may be called
// from several goroutines.
type Sink struct {
	queue   chan entry
	dropped *atomic.Int64
}

// entry is a line, or a request to close written once all previous lines are written.
type entry struct {
	line    []byte
	written chan<- struct{}
}

// New returns a sink that writes lines in order to destination from its own goroutine, which
// runs until the process exits. Write errors are ignored, as there is nowhere to report them.
// Dropped lines are counted in dropped.
func New(destination io.Writer, dropped *atomic.Int64) *Sink {
	s := &Sink{queue: make(chan entry, QueueLength), dropped: dropped}
	go s.run(destination, dropped.Load())
	return s
}

// Stderr returns a sink for standard error. It also ignores SIGPIPE, which would end the
// process if standard error has no reader.
func Stderr(dropped *atomic.Int64) *Sink {
	signal.Ignore(syscall.SIGPIPE)
	return New(os.Stderr, dropped)
}

// Write queues a copy of the line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- entry{line: bytes.Clone(line)}:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all previously queued lines are written. It returns false if that takes
// longer than timeout.
func (s *Sink) Flush(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	written := make(chan struct{})
	select {
	case s.queue <- entry{written: written}:
	case <-timer.C:
		return false
	}
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// run writes queued lines. After each line it reports lines dropped since the last report;
// reported is the count so far.
func (s *Sink) run(destination io.Writer, reported int64) {
	for e := range s.queue {
		if e.written != nil {
			close(e.written)
			continue
		}
		destination.Write(e.line)
		if now := s.dropped.Load(); now > reported {
			fmt.Fprintf(destination, "log: %d lines were dropped because the log queue was full\n", now-reported)
			reported = now
		}
	}
}
