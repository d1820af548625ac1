package front

import (
	"net/http"
	"sync/atomic"
	"time"

	"ivylock/guard"
	"ivylock/internal/bounded"
	"ivylock/internal/membudget"
)

const (
	// MaxBudgetedBody is how many bytes of one body are buffered if the budget for all bodies
	// allows it. A request whose body is buffered can be retried.
	MaxBudgetedBody = 256 << 10

	scarceDivisor     = 2       // the budget divided by this is its scarce part
	initialBodyBuffer = 4 << 10 // bytes; counts as memory of the connection
	bodyBufferGrowth  = 4       // factor by which the buffer grows
	// maxMemoryWait is how long a body waits for memory, at most half of the client's time.
	maxMemoryWait      = 500 * time.Millisecond
	memoryPollInterval = 20 * time.Millisecond // hundreds may wait at once
	forwardBuffer      = 32 << 10              // bytes of net/http's buffer for forwarding a body
)

var (
	errTooLong  = &requestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	errNoMemory = &requestError{http.StatusServiceUnavailable, "no memory for the body"}
)

// bodyReader reads request bodies. Up to bounded.MaxBufferedBody of each is buffered, and up
// to MaxBudgetedBody while the budget for all bodies allows it. The rest is streamed.
type bodyReader struct {
	budget atomic.Int64              // for what is buffered beyond bounded.MaxBufferedBody, or read ahead
	scarce atomic.Int64              // with no more than this left of the budget, one body at a time is read ahead
	memory *membudget.Budget         // for all that is buffered
	turn   atomic.Pointer[readAhead] // the body that is read ahead while the budget is scarce
}

func newBodyReader(budget int64, memory *membudget.Budget) *bodyReader {
	b := &bodyReader{memory: memory}
	b.setBudget(budget)
	return b
}

// setBudget sets the budget, of which nothing may be in use.
func (b *bodyReader) setBudget(budget int64) {
	b.budget.Store(budget)
	b.scarce.Store(budget / scarceDivisor)
}

// reserveAhead is reserve for a body that is read ahead. Once the budget is scarce one body at a time
// gets the rest of it: parts of many bodies, none of them complete, would leave all of them waiting.
func (b *bodyReader) reserveAhead(ahead *readAhead, n int64) bool {
	if b.isScarce() && b.turn.Load() != ahead && !b.turn.CompareAndSwap(nil, ahead) {
		return false
	}
	return b.reserve(n)
}

// isScarce reports whether little of the budget is left.
func (b *bodyReader) isScarce() bool { return b.budget.Load() <= b.scarce.Load() }

// endTurn lets another body be read ahead while the budget is scarce.
func (b *bodyReader) endTurn(ahead *readAhead) { b.turn.CompareAndSwap(ahead, nil) }

// reserve reserves n bytes beyond the buffer of each body and reports whether they were available.
func (b *bodyReader) reserve(n int64) bool {
	if b.budget.Add(-n) < 0 {
		b.budget.Add(n)
		return false
	}
	if !b.memory.Reserve(guard.BodiesReadAhead, n) {
		b.budget.Add(n)
		return false
	}
	return true
}

// release returns what reserve reserved.
func (b *bodyReader) release(n int64) {
	b.budget.Add(n)
	b.memory.Release(guard.BodiesReadAhead, n)
}

// receivedBody is a body of which at least a first part has been read.
type receivedBody struct {
	buffered []byte
	rest     *streamedBody // nil if all is buffered
	reader   *bodyReader
	held     int64 // bytes reserved for the buffer and for forwarding the rest
	extended int64 // bytes reserved beyond bounded.MaxBufferedBody
}

// release returns what was reserved. It may be called twice.
func (b *receivedBody) release() {
	if b.held > 0 {
		b.reader.memory.Release(guard.RequestBodies, b.held)
	}
	if b.extended > 0 {
		b.reader.release(b.extended)
	}
	b.held, b.extended = 0, 0
}

// read reads a body, or its first part if it is too long to be buffered. It fails with errNoMemory if
// there is no memory for it while the client waits.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request, clientTime time.Duration) (body receivedBody, err error) {
	body.reader = b
	if r.ContentLength == 0 {
		return body, nil
	}
	if r.ContentLength > bounded.MaxBodyLength {
		return body, errTooLong
	}
	stream := &streamedBody{controller: http.NewResponseController(w), body: r.Body, length: r.ContentLength, endedCh: make(chan struct{})}
	stream.ahead.init(b)
	if err = body.fill(stream, min(maxMemoryWait, clientTime/2)); err != nil {
		body.release()
	}
	return body, err
}

// fill reads a body into the buffer, until it is complete or too long to be buffered. Waits for memory
// may take the given time in all.
func (b *receivedBody) fill(stream *streamedBody, memoryWait time.Duration) error {
	for {
		if len(b.buffered) == cap(b.buffered) {
			if !b.mayGrow(stream.length) {
				b.rest = stream
				return b.reserve(forwardBuffer, stream, memoryWait)
			}
			if err := b.grow(stream, memoryWait); err != nil {
				return err
			}
		}
		n, err := stream.readConn(b.buffered[len(b.buffered):cap(b.buffered)])
		b.buffered = b.buffered[:len(b.buffered)+n]
		if stream.complete() {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// mayGrow reports whether more of a body of the given length may be buffered, and reserves what is
// needed beyond bounded.MaxBufferedBody.
func (b *receivedBody) mayGrow(length int64) bool {
	const extension = MaxBudgetedBody - bounded.MaxBufferedBody
	switch {
	case len(b.buffered) < bounded.MaxBufferedBody:
		return true
	case b.extended > 0:
		return len(b.buffered) < MaxBudgetedBody
	case length > MaxBudgetedBody || b.reader.isScarce() || !b.reader.reserve(extension):
		return false
	}
	b.extended = extension
	return true
}

// grow enlarges the full buffer.
func (b *receivedBody) grow(stream *streamedBody, memoryWait time.Duration) error {
	size := max(initialBodyBuffer, bodyBufferGrowth*cap(b.buffered))
	if stream.length > 0 {
		size = min(size, int(stream.length))
	}
	if b.extended == 0 {
		size = min(size, bounded.MaxBufferedBody)
		if more := int64(size) - max(b.held, initialBodyBuffer); more > 0 {
			if err := b.reserve(more, stream, memoryWait); err != nil {
				return err
			}
		}
	}
	size = min(size, MaxBudgetedBody)
	b.buffered = append(make([]byte, 0, size), b.buffered...)
	return nil
}

// reserve reserves memory, and waits for it if there is none.
func (b *receivedBody) reserve(size int64, stream *streamedBody, wait time.Duration) error {
	start := time.Now()
	for !b.reader.memory.Reserve(guard.RequestBodies, size) {
		if time.Since(start)+stream.memoryWait >= wait {
			return errNoMemory
		}
		time.Sleep(memoryPollInterval)
	}
	stream.memoryWait += time.Since(start)
	b.held += size
	return nil
}
