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
	// MaxBudgetedBody is how many bytes of one body are buffered if the budget for all bodies
	// allows it. A request whose body is buffered can be retried.
	MaxBudgetedBody = 256 << 10

	earlyResponseLinger = 2 * time.Second // for reading a body after an early response

	bodyReadTimeout   = time.Second     // for each read
	bodyRateGrace     = 2 * time.Second // before minBodyRate applies
	minBodyRate       = 32 << 10        // bytes per second, on average after the grace period
	initialBodyBuffer = 4 << 10         // bytes, for a body of unknown length
)

var errTooLong = &requestError{http.StatusRequestEntityTooLarge, "the body is too long"}

// bodyReader reads request bodies. Up to bounded.MaxBufferedBody of each is buffered, and up
// to MaxBudgetedBody while the budget for all bodies allows it. The rest is streamed.
type bodyReader struct{ budget atomic.Int64 }

func newBodyReader(budget int64) *bodyReader {
	b := &bodyReader{}
	b.budget.Store(budget)
	return b
}

// reserve reserves n bytes of the budget and reports whether they were available.
func (b *bodyReader) reserve(n int64) bool {
	if b.budget.Add(-n) >= 0 {
		return true
	}
	b.budget.Add(n)
	return false
}

// receivedBody is a body of which at least a first part has been read.
type receivedBody struct {
	buffered []byte
	rest     *streamedBody // nil if all is buffered
	release  func()        // returns what was reserved from the budget; may be called twice
}

// read reads a body, or its first part if it is too long to be buffered.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request) (body receivedBody, err error) {
	body.release = func() {}
	if r.ContentLength == 0 {
		return body, nil
	}
	if r.ContentLength > bounded.MaxBodyLength {
		return body, errTooLong
	}
	stream := &streamedBody{controller: http.NewResponseController(w), body: r.Body, length: r.ContentLength, startedAt: time.Now()}
	limit, size := bounded.MaxBufferedBody, initialBodyBuffer
	if r.ContentLength > 0 {
		size = int(min(bounded.MaxBufferedBody, r.ContentLength))
	}
	body.buffered = make([]byte, 0, size)
	for {
		if len(body.buffered) == limit {
			if limit == MaxBudgetedBody || r.ContentLength > MaxBudgetedBody || !b.reserve(MaxBudgetedBody-bounded.MaxBufferedBody) {
				body.rest = stream
				return body, nil
			}
			body.release = sync.OnceFunc(func() { b.budget.Add(MaxBudgetedBody - bounded.MaxBufferedBody) })
			limit = MaxBudgetedBody
		}
		if len(body.buffered) == cap(body.buffered) {
			body.buffered = append(body.buffered, 0)[:len(body.buffered)]
		}
		n, err := stream.Read(body.buffered[len(body.buffered):min(cap(body.buffered), limit)])
		body.buffered = body.buffered[:len(body.buffered)+n]
		if stream.done {
			return body, nil
		}
		if err != nil {
			body.release()
			return body, err
		}
	}
}

// streamedBody is a body that is forwarded while it is read. It implements node.BodyStream.
type streamedBody struct {
	controller *http.ResponseController
	body       io.Reader
	length     int64 // -1 if unknown before the end
	startedAt  time.Time
	timeout    time.Duration
	onComplete func() // called when the last byte has been read
	onEnd      func() // called at the end of the request if the last byte has been read

	mu          sync.Mutex // held during a read
	received    int64
	done        bool // the last byte has been read
	completedAt time.Time
	err         error
	ended       atomic.Bool // reads are no longer allowed
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

// Deadline returns when the client stops waiting for the response.
func (s *streamedBody) Deadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// Read reads the next part of the body. It fails if the client stalls or is too slow.
func (s *streamedBody) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done:
		return 0, io.EOF
	case s.err != nil:
		return 0, s.err
	case len(b) == 0:
		return 0, nil
	}
	now := time.Now()
	deadline := s.startedAt.Add(bodyRateGrace + time.Duration(float64(s.received)/minBodyRate*float64(time.Second)))
	if stallDeadline := now.Add(bodyReadTimeout); s.received == 0 || stallDeadline.Before(deadline) {
		deadline = stallDeadline
	}
	s.controller.SetReadDeadline(deadline)
	if s.ended.Load() { // end may have been called before the deadline was set
		s.controller.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := s.body.Read(b)
	s.received += int64(n)
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

// markComplete records that the last byte has been read, and removes the read deadline:
// a complete request is not cut off.
func (s *streamedBody) markComplete() {
	if !s.done {
		s.done, s.completedAt = true, time.Now()
		s.controller.SetReadDeadline(time.Time{})
	}
}

// discard reads and drops the rest of the body after an early response, until the given
// time. Guards against losing the response by closing the connection while the client still
// writes.
func (s *streamedBody) discard(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || s.err != nil || s.ended.Load() {
		return
	}
	s.controller.SetReadDeadline(until)
	io.Copy(io.Discard, io.LimitReader(s.body, bounded.MaxBodyLength))
	s.err = os.ErrDeadlineExceeded
}

// end forbids further reads and waits for a running one.
func (s *streamedBody) end() {
	s.ended.Store(true)
	if !s.mu.TryLock() {
		s.controller.SetReadDeadline(time.Unix(1, 0))
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.done && s.onEnd != nil {
		s.onEnd()
	}
	if !s.done && s.err == nil {
		s.err = os.ErrDeadlineExceeded
	}
}
