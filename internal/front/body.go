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
	// MaxBudgetedBody is the most of one body that is held, where the room for all
	// bodies allows it: a request whose body is held can be sent again.
	MaxBudgetedBody = 256 << 10

	lingerTime = 2 * time.Second // for what still comes after an early answer

	bodyPause = time.Second     // for the next piece of a body
	bodyGrace = 2 * time.Second // before the rate counts
	bodyRate  = 32 << 10        // bytes a second, at least, on average after the grace
	firstPart = 4 << 10         // what is set aside for a body of unknown length
)

var errTooLong = &badRequest{http.StatusRequestEntityTooLarge, "the body is too long"}

// bodies reads clients' bodies. Up to MaxBody of each is held; more, up to
// MaxBudgetedBody, while there is room in a budget for all; the rest passes through.
type bodies struct{ room atomic.Int64 }

func newBodies(room int64) *bodies {
	b := &bodies{}
	b.room.Store(room)
	return b
}

// reserve takes room for n more bytes, if there is any.
func (b *bodies) reserve(n int64) bool {
	if b.room.Add(-n) >= 0 {
		return true
	}
	b.room.Add(n)
	return false
}

// received is a body as far as it was read.
type received struct {
	held    []byte
	rest    *upload // nil if held is all
	release func()  // gives back what was reserved for it; it may be called twice
}

// read reads a body, or its first part.
func (b *bodies) read(w http.ResponseWriter, r *http.Request) (in received, err error) {
	in.release = func() {}
	if r.ContentLength == 0 {
		return in, nil
	}
	if r.ContentLength > bounded.MaxBodyLength {
		return in, errTooLong
	}
	u := &upload{c: http.NewResponseController(w), body: r.Body, length: r.ContentLength, began: time.Now()}
	most, size := bounded.MaxBufferedBody, firstPart
	if r.ContentLength > 0 {
		size = int(min(bounded.MaxBufferedBody, r.ContentLength))
	}
	in.held = make([]byte, 0, size)
	for {
		if len(in.held) == most {
			if most == MaxBudgetedBody || r.ContentLength > MaxBudgetedBody || !b.reserve(MaxBudgetedBody-bounded.MaxBufferedBody) {
				in.rest = u
				return in, nil
			}
			in.release = sync.OnceFunc(func() { b.room.Add(MaxBudgetedBody - bounded.MaxBufferedBody) })
			most = MaxBudgetedBody
		}
		if len(in.held) == cap(in.held) {
			in.held = append(in.held, 0)[:len(in.held)]
		}
		n, err := u.Read(in.held[len(in.held):min(cap(in.held), most)])
		in.held = in.held[:len(in.held)+n]
		if u.done {
			return in, nil
		}
		if err != nil {
			in.release()
			return in, err
		}
	}
}

// upload is a body that is read as it is sent on. It satisfies node.BodyStream.
type upload struct {
	c        *http.ResponseController
	body     io.Reader
	length   int64 // -1: not known before the end
	began    time.Time
	patience time.Duration
	whole    func() // called when the last byte has come
	over     func() // called when the request has ended, if the last byte has come

	mu     sync.Mutex // held by a read that waits
	got    int64
	done   bool // the last byte has come
	doneAt time.Time
	failed error
	ended  atomic.Bool // nobody may read any more
}

// longest is a bound on the time that the rest may take to come.
func (u *upload) longest() time.Duration {
	left := int64(bounded.MaxBodyLength)
	if u.length >= 0 {
		left = u.length
	}
	return bodyGrace + time.Duration(left/bodyRate)*time.Second
}

// Length is that of the whole body.
func (u *upload) Length() int64 { return u.length }

// Timeout is how long the client waits from the last byte on.
func (u *upload) Timeout() time.Duration { return u.patience }

// Deadline is when the client stops waiting for the answer.
func (u *upload) Deadline() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.doneAt.Add(u.patience)
}

func (u *upload) complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.done
}

// broken tells why the body broke off, if it did.
func (u *upload) broken() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failed
}

// Read reads the next piece. A client that stops, or goes on too slowly, has
// failed.
func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.done:
		return 0, io.EOF
	case u.failed != nil:
		return 0, u.failed
	case len(b) == 0:
		return 0, nil
	}
	now := time.Now()
	end := u.began.Add(bodyGrace + time.Duration(float64(u.got)/bodyRate*float64(time.Second)))
	if pause := now.Add(bodyPause); u.got == 0 || pause.Before(end) {
		end = pause
	}
	u.c.SetReadDeadline(end)
	if u.ended.Load() { // guards against an end that came just before
		u.c.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := u.body.Read(b)
	u.got += int64(n)
	switch {
	case errors.Is(err, io.EOF) || err == nil && u.got == u.length:
		u.finish()
		if u.whole != nil {
			u.whole()
		}
		err = nil
		if n == 0 {
			err = io.EOF
		}
	case err == nil && u.got > bounded.MaxBodyLength:
		u.failed = errTooLong
	case err != nil:
		u.failed = err
	}
	return n, err
}

// finish notes that the last byte has come. What is wholly taken is never cut
// off, so the time-out ends with it.
func (u *upload) finish() {
	if !u.done {
		u.done, u.doneAt = true, time.Now()
		u.c.SetReadDeadline(time.Time{})
	}
}

// discard reads and forgets what still comes after an early answer, until a
// time: guards against an answer that is lost because its connection was
// closed on a client that still writes.
func (u *upload) discard(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done || u.failed != nil || u.ended.Load() {
		return
	}
	u.c.SetReadDeadline(until)
	io.Copy(io.Discard, io.LimitReader(u.body, bounded.MaxBodyLength))
	u.failed = os.ErrDeadlineExceeded
}

// end lets nobody read any more, and waits for a read that goes on.
func (u *upload) end() {
	u.ended.Store(true)
	if !u.mu.TryLock() {
		u.c.SetReadDeadline(time.Unix(1, 0))
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	if u.done && u.over != nil {
		u.over()
	}
	if !u.done && u.failed == nil {
		u.failed = os.ErrDeadlineExceeded
	}
}
