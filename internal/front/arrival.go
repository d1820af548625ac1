package front

import (
	"time"

	"ivylock/internal/bounded"
)

const (
	arrivalInterval = 50 * time.Millisecond
	// roomDivisor: with less than this part of the receive buffer unread, the client is not kept
	// from sending.
	roomDivisor = 4
)

// lastChunk is the end of a body in chunks without trailers.
var lastChunk = []byte("\r\n0\r\n\r\n")

// arrival follows how many bytes of a request have come to this machine, read or not.
type arrival struct {
	bodyEnd int64 // total that includes all of the body; 0: unknown
	total   int64
	grewAt  time.Time // when it was last higher than before, or the body was being read
	// lookedAt is the total at which the end of the unread bytes was last looked for.
	lookedAt int64
}

// newArrival returns the state at the time of the first check.
func newArrival(conn *clientConn, bodyLength int64) arrival {
	a := arrival{grewAt: time.Now()}
	if conn != nil && bodyLength >= 0 {
		a.bodyEnd = conn.headLength() + bodyLength
	}
	return a
}

// followArrival reads the body ahead until an attempt reads it, and calls received once its last byte
// has come, unless the request ends before. Guards against a client's time that counts from a later
// moment because its request waits for a server, or for a server that has stopped reading.
func (s *streamedBody) followArrival(received func()) {
	timer := time.NewTimer(readAheadDelay)
	defer timer.Stop()
	if !s.awaitCheck(timer) {
		return
	}
	s.readAhead()
	last, arrived := newArrival(s.conn, s.length), false
	for {
		if !arrived && s.hasArrived(&last, time.Now()) {
			arrived = true
			received()
		}
		if arrived && (s.ahead.isStopped() || s.complete() || s.failure() != nil) {
			return
		}
		timer.Reset(arrivalInterval)
		if !s.awaitCheck(timer) {
			return
		}
		s.readAhead() // there may be memory again
	}
}

// awaitCheck waits for a timer, or until the body has to be read ahead at once. It returns false at the
// end of the request.
func (s *streamedBody) awaitCheck(timer *time.Timer) bool {
	select {
	case <-timer.C:
	case <-s.ahead.wanted:
	case <-s.endedCh:
		return false
	}
	return true
}

// hasArrived reports whether the last byte has come. The bytes that wait in the socket tell
// that if the length is known. Otherwise the body counts as complete if they end with the last chunk
// and no more has come since the check before; or if the client could send, and has not for as long as
// it may pause or for all of its time, and nobody waits for it.
func (s *streamedBody) hasArrived(last *arrival, now time.Time) bool {
	idle := s.reading.TryLock()
	if idle {
		s.reading.Unlock()
	}
	s.mu.Lock()
	arrived, failed := s.arrived, s.err != nil
	s.mu.Unlock()
	if arrived || failed || s.conn == nil {
		return arrived
	}
	delivered := s.conn.deliveredBytes() // first: no byte may count twice
	unread, buffer := bounded.Unread(s.conn.TCPConn)
	total := delivered + int64(max(unread, 0))
	resting := total <= last.total
	if total > last.total || !idle {
		last.total, last.grewAt = max(total, last.total), now
	}
	switch {
	case s.length >= 0 && total >= last.bodyEnd:
		s.setArrived(now)
		return true
	case s.length < 0 && resting && unread > 0 && last.lookedAt != total:
		last.lookedAt = total
		if bounded.UnreadEndsWith(s.conn.TCPConn, lastChunk) {
			s.setArrived(now)
			return true
		}
	case s.length < 0 && unread >= 0 && unread < buffer/roomDivisor && now.Sub(last.grewAt) >= min(bodyReadTimeout, s.timeout):
		s.setArrived(last.grewAt)
		return true
	}
	return false
}

// setArrived records when the last byte came.
func (s *streamedBody) setArrived(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markArrived(at)
}
