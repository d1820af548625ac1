package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/internal/bounded"
)

const (
	earlyResponseLinger = 2 * time.Second // for reading a body after an early response

	bodyReadTimeout = time.Second     // for each read
	bodyRateGrace   = 2 * time.Second // of waiting for the client, before minBodyRate applies
	minBodyRate     = 32 << 10        // bytes per second of waiting for the client, on average after the grace period
)

// streamedBody is a body that is forwarded while it is read. It implements node.BodyStream.
// While no attempt reads it, it is read ahead.
type streamedBody struct {
	controller *http.ResponseController
	conn       *clientConn // nil: unknown
	body       io.Reader
	length     int64         // -1 if unknown before the end
	memoryWait time.Duration // how long reading waited for memory
	timeout    time.Duration
	latest     time.Time // no deadline is later
	onComplete func()    // called when the last byte has been read
	onEnd      func()    // called at the end of the request if the last byte has been read
	ahead      readAhead
	endedCh    chan struct{} // closed by end

	reading sync.Mutex  // held during a read of the connection
	ended   atomic.Bool // reads are no longer allowed

	mu           sync.Mutex
	received     int64
	waited       time.Duration // in reads of the connection
	done         bool          // the last byte has been read
	completedAt  time.Time     // when the last byte was read, or came as far as known
	arrived      bool          // completedAt is known, though the last byte may not have been read
	err          error
	clientSeenAt time.Time // when the connection was last seen open with nothing unread
}

// maxDuration is an upper bound on the time that the rest of the body may take.
func (s *streamedBody) maxDuration() time.Duration {
	remaining := int64(bounded.MaxBodyLength)
	if s.length >= 0 {
		remaining = s.length
	}
	return bodyRateGrace + time.Duration(remaining/minBodyRate)*time.Second
}

// Length returns the length of the whole body; -1 if it is unknown.
func (s *streamedBody) Length() int64 { return s.length }

// Timeout returns how long the client waits after the last byte.
func (s *streamedBody) Timeout() time.Duration { return s.timeout }

// Deadline returns when the client stops waiting for the response; before the last byte has
// come, an upper bound.
func (s *streamedBody) Deadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.arrived {
		return s.latest
	}
	return s.completedAt.Add(s.timeout)
}

func (s *streamedBody) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// failure returns the error that ended the body early; nil if there was none.
func (s *streamedBody) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// awaitRead waits until a read of the connection that is running has returned and its result is
// recorded. Each read has a deadline.
func (s *streamedBody) awaitRead() {
	s.reading.Lock()
	defer s.reading.Unlock()
}

// Read reads the next part of the body, first what was read ahead. It fails if the client
// stalls or is too slow. From the first call on nothing more is read ahead.
func (s *streamedBody) Read(b []byte) (int, error) {
	s.ahead.stop()
	if n := s.ahead.take(b); n > 0 {
		return n, nil
	}
	s.reading.Lock()
	defer s.reading.Unlock()
	if n := s.ahead.take(b); n > 0 { // read meanwhile
		return n, nil
	}
	s.ahead.release()
	return s.readConn(b)
}

// readConn reads from the connection. The caller holds the lock for reading, or is alone.
func (s *streamedBody) readConn(b []byte) (int, error) {
	deadline, err := s.readDeadline()
	if err != nil || len(b) == 0 {
		return 0, err
	}
	s.controller.SetReadDeadline(deadline)
	if s.ended.Load() { // end may have been called before the deadline was set
		s.controller.SetReadDeadline(time.Unix(1, 0))
	}
	start := time.Now()
	n, err := s.body.Read(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received += int64(n)
	s.waited += time.Since(start)
	switch {
	case errors.Is(err, io.EOF) || err == nil && s.received == s.length:
		s.markComplete()
		if s.onComplete != nil {
			s.onComplete()
		}
		err = nil
		if n == 0 {
			err = io.EOF
		}
	case err == nil && s.received > bounded.MaxBodyLength:
		s.err = errTooLong
	case err != nil:
		s.err = err
	}
	return n, err
}

// readDeadline returns until when the next read may take, or the error that it has to return. A client
// is not held to its rate while nothing is read.
func (s *streamedBody) readDeadline() (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done:
		return time.Time{}, io.EOF
	case s.err != nil:
		return time.Time{}, s.err
	}
	timeout := bodyRateGrace + time.Duration(float64(s.received)/minBodyRate*float64(time.Second)) - s.waited
	if s.received == 0 || timeout > bodyReadTimeout {
		timeout = bodyReadTimeout
	}
	return time.Now().Add(timeout), nil
}

// markComplete records that the last byte has been read, and removes the read deadline:
// a complete request is not cut off. The caller holds the lock.
func (s *streamedBody) markComplete() {
	if s.done {
		return
	}
	s.done = true
	s.markArrived(time.Now())
	s.controller.SetReadDeadline(time.Time{})
}

// markArrived records when the last byte came. The client's time counts from then on. The caller
// holds the lock.
func (s *streamedBody) markArrived(at time.Time) {
	if !s.arrived {
		s.arrived, s.completedAt = true, at
	}
}

// discard reads and drops the rest of the body after an early response, until the given
// time. Guards against losing the response by closing the connection while the client still
// writes.
func (s *streamedBody) discard(until time.Time) {
	s.ahead.stop()
	s.reading.Lock()
	defer s.reading.Unlock()
	if s.complete() || s.failure() != nil || s.ended.Load() {
		return
	}
	s.controller.SetReadDeadline(until)
	io.Copy(io.Discard, io.LimitReader(s.body, bounded.MaxBodyLength))
	s.fail(os.ErrDeadlineExceeded)
}

// fail records that nothing more is read of an incomplete body.
func (s *streamedBody) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done && s.err == nil {
		s.err = err
	}
}

// end forbids further reads and waits for a running one.
func (s *streamedBody) end() {
	s.ended.Store(true)
	close(s.endedCh)
	s.ahead.stop()
	if !s.reading.TryLock() {
		s.controller.SetReadDeadline(time.Unix(1, 0))
		s.reading.Lock()
	}
	defer s.reading.Unlock()
	s.ahead.release()
	if s.complete() && s.onEnd != nil {
		s.onEnd()
	}
	s.fail(os.ErrDeadlineExceeded)
}
