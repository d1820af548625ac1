package front

import (
	"sync"
	"time"

	"ivylock/guard"
	"ivylock/internal/bounded"
)

const (
	readAheadDelay   = 50 * time.Millisecond  // most requests are sent to a server sooner
	readAheadPiece   = 64 << 10               // bytes
	maxReadAheadWait = 100 * time.Millisecond // of an attempt, until it is known whether the client is there

	presencePollInterval = 2 * time.Millisecond
)

// readAhead holds what was read of a body before an attempt reads it. Its memory comes from the
// budget for all bodies. It is safe for concurrent use.
type readAhead struct {
	budget *bodyReader
	wanted chan struct{} // has an entry once an attempt waits for the client to be seen

	mu       sync.Mutex
	stopped  bool
	pieces   [][]byte
	space    []byte // rest of the last piece
	reserved int64  // of the budget
	taken    int64  // bytes taken of the oldest piece that is reserved
}

// init prepares reading ahead.
func (a *readAhead) init(budget *bodyReader) {
	a.budget, a.wanted = budget, make(chan struct{}, 1)
}

// request has the body read ahead at once.
func (a *readAhead) request() {
	select {
	case a.wanted <- struct{}{}:
	default:
	}
}

// isStopped reports whether nothing more is read ahead.
func (a *readAhead) isStopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// grow returns space to read into; nil if reading ahead has to stop.
func (a *readAhead) grow() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped || a.budget == nil {
		return nil
	}
	if len(a.space) == 0 {
		if !a.budget.reserveAhead(a, readAheadPiece) {
			return nil
		}
		a.reserved += readAheadPiece
		a.space = make([]byte, readAheadPiece)
	}
	return a.space
}

// add adds the first n bytes of the space that grow returned.
func (a *readAhead) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 {
		a.pieces = append(a.pieces, a.space[:n])
		a.space = a.space[n:]
	}
}

// take removes up to len(b) bytes and returns their number.
func (a *readAhead) take(b []byte) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.pieces) > 0 && n < len(b) {
		copied := copy(b[n:], a.pieces[0])
		n += copied
		if a.pieces[0] = a.pieces[0][copied:]; len(a.pieces[0]) == 0 {
			a.pieces[0], a.pieces = nil, a.pieces[1:]
		}
	}
	a.returnTaken(n)
	return n
}

// returnTaken returns the memory of pieces of which all has been taken. The caller holds the lock.
func (a *readAhead) returnTaken(n int) {
	for a.taken += int64(n); a.taken >= readAheadPiece; a.taken -= readAheadPiece {
		a.reserved -= readAheadPiece
		a.budget.release(readAheadPiece)
	}
}

// endTurn lets other bodies have the memory that is left.
func (a *readAhead) endTurn() {
	if a.budget != nil {
		a.budget.endTurn(a)
	}
}

// stop ends reading ahead. A read that is running is completed.
func (a *readAhead) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.endTurn()
}

// release drops what was read and returns its memory to the budget.
func (a *readAhead) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserved > 0 {
		a.budget.release(a.reserved)
	}
	a.stopped, a.reserved, a.pieces, a.space = true, 0, nil, nil
	a.endTurn()
}

// readAhead reads the body while its request waits for a server, as long as the budget for all
// bodies allows it. Guards against sending a request whose client has left: the end of a
// connection is seen only once everything before it has been read.
func (s *streamedBody) readAhead() {
	if s.ahead.isStopped() {
		return
	}
	s.reading.Lock()
	defer s.reading.Unlock()
	for {
		if s.conn != nil && bounded.OpenAndIdle(s.conn.TCPConn) {
			s.markClientSeen()
			s.ahead.endTurn()
		}
		space := s.ahead.grow()
		if space == nil {
			return
		}
		n, err := s.readConn(space)
		s.ahead.add(n)
		if err != nil || s.complete() {
			s.ahead.endTurn()
			return
		}
	}
}

// markClientSeen records that the connection is open with nothing unread.
func (s *streamedBody) markClientSeen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clientSeenAt = time.Now()
}

// awaitClientSeen returns when the client was last known to be connected: unread bytes may hide
// the end of its connection. Zero: it is connected now, or what follows the body is read as well.
// If that was long ago it has the body read ahead and waits for that for a moment.
func (s *streamedBody) awaitClientSeen() time.Time {
	for until := time.Now().Add(maxReadAheadWait); ; time.Sleep(presencePollInterval) {
		seenAt := s.lastClientSeen()
		if seenAt.IsZero() || time.Since(seenAt) <= guard.ClientPresenceAge || s.failure() != nil || time.Now().After(until) {
			return seenAt
		}
		s.ahead.request()
	}
}

// lastClientSeen is awaitClientSeen without the wait.
func (s *streamedBody) lastClientSeen() time.Time {
	if s.conn == nil || !bounded.HasUnread(s.conn.TCPConn) {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return time.Time{}
	}
	return s.clientSeenAt
}
