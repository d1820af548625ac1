// Package logsink writes log lines without keeping whoever logs waiting. A pipe whose
// reader stands still, or a disk that hangs, would otherwise hold up every goroutine
// that logs, and with it the requests that it serves.
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

// ExitFlushTimeout is what the last lines may take at the end of a process.
const ExitFlushTimeout = 20 * time.Millisecond

// QueueLength is how many lines may wait to be written; further ones are dropped.
const QueueLength = 1024

// Sink is an io.Writer for package log: each Write is one line. Its methods may be
// called from several goroutines.
type Sink struct {
	queue   chan entry
	dropped *atomic.Int64
}

// entry is a line, or the wish to be told that all before it has been written.
type entry struct {
	line    []byte
	written chan<- struct{}
}

// New makes a sink that writes lines in their order to a destination, from a goroutine
// of its own that lasts as long as the process. Errors of the destination are ignored,
// as there is nowhere to report them. Each dropped line is counted.
func New(destination io.Writer, dropped *atomic.Int64) *Sink {
	s := &Sink{queue: make(chan entry, QueueLength), dropped: dropped}
	go s.run(destination, dropped.Load())
	return s
}

// Stderr makes a sink for standard error, and keeps the process from being ended by
// SIGPIPE when standard error has no reader any more.
func Stderr(dropped *atomic.Int64) *Sink {
	signal.Ignore(syscall.SIGPIPE)
	return New(os.Stderr, dropped)
}

// Write queues a copy of the line. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- entry{line: bytes.Clone(line)}:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all lines that were queued before it have been written; false if
// that takes longer than the time that is given.
func (s *Sink) Flush(within time.Duration) bool {
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	written := make(chan struct{})
	select {
	case s.queue <- entry{written: written}:
	case <-timeout.C:
		return false
	}
	select {
	case <-written:
		return true
	case <-timeout.C:
		return false
	}
}

// run writes what is queued. Once the destination takes lines again it is told how many
// were dropped meanwhile; so many have been told.
func (s *Sink) run(destination io.Writer, told int64) {
	for e := range s.queue {
		if e.written != nil {
			close(e.written)
			continue
		}
		destination.Write(e.line)
		if now := s.dropped.Load(); now > told {
			fmt.Fprintf(destination, "log: %d lines were dropped, as nobody read them\n", now-told)
			told = now
		}
	}
}
