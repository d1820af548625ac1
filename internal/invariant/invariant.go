// Package invariant checks at run time that requests and attempts were handled according to
// the rules, based on what was written rather than on what was decided. A violation is
// counted and logged with the events of its request, but changes nothing; package guard
// prevents violations.
package invariant

import (
	"fmt"
	"log"
	"sync/atomic"
	"time"

	"ivylock/internal/eventlog"
)

// Kind identifies an invariant.
type Kind int

const (
	// Unanswered: a request was read, and its connection or the process ended without its final
	// response although its client was still connected.
	Unanswered Kind = iota
	// AnsweredLate: a final response was sent more than AnswerSlack after the client's deadline.
	AnsweredLate
	// WrittenAfterEnd: an attempt was written more than WriteSlack after its request had its
	// final response or its client had disconnected.
	WrittenAfterEnd
	// WrittenAfterDeadline: an attempt was written more than WriteSlack after the client's
	// deadline.
	WrittenAfterDeadline
	// WrittenToDraining: an attempt was written to a server after the drain grace period that
	// began when the process was notified that the server drains or is removed.
	WrittenToDraining
	// WrittenDuringShutdown: the first attempt of a request was written although the request
	// arrived after a shutdown had stopped accepting requests.
	WrittenDuringShutdown
	// RepeatedUnsafely: a request was retried although an earlier attempt may have run and its
	// class does not allow that.
	RepeatedUnsafely
	// RefusedUnsafely: a request was refused although an attempt may have run and its class does
	// not allow a retry on every server.
	RefusedUnsafely
	// TimeOverstated: the timeout sent to a server exceeded the client's remaining time by more
	// than TimeoutSlack.
	TimeOverstated
	numKinds
)

// KindNames are the names of the invariants in metrics and logs, indexed by Kind.
var KindNames = []string{"unanswered", "answered_late", "written_after_end", "written_after_deadline", "written_to_draining",
	"written_while_ending", "repeated_unsafely", "refused_unsafely", "time_overstated"}

// String returns the name of the invariant.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(KindNames) {
		return "unknown"
	}
	return KindNames[k]
}

// Tolerances of the checks.
const (
	AnswerSlack  = 500 * time.Millisecond
	WriteSlack   = 100 * time.Millisecond
	TimeoutSlack = 150 * time.Millisecond
)

const (
	maxLoggedViolations = 50 // all violations are counted
	maxLoggedEvents     = 30 // per violation
)

// Checker counts and logs violations. Its methods may be called from several goroutines.
type Checker struct {
	count  func(kind int)
	events *eventlog.Log
	total  atomic.Int64
}

// New returns a checker that calls count with the Kind of each violation.
func New(count func(kind int), events *eventlog.Log) *Checker {
	return &Checker{count: count, events: events}
}

// Total returns the number of violations so far.
func (c *Checker) Total() int64 { return c.total.Load() }

// Report records a violation by a request, with details for the log.
func (c *Checker) Report(kind Kind, request, format string, args ...any) {
	c.count(int(kind))
	c.events.Add(eventlog.Event{Kind: eventlog.ViolationFound, Request: request, Reason: kind.String()})
	if c.total.Add(1) > maxLoggedViolations {
		return
	}
	log.Printf("invariant broken: %v: request %.64q: %s", kind, request, fmt.Sprintf(format, args...))
	events := c.events.Events(request)
	for _, e := range events[max(0, len(events)-maxLoggedEvents):] {
		log.Printf("invariant broken: %v", e)
	}
}

// WrittenAttempt describes an attempt that has been written.
type WrittenAttempt struct {
	Request      string
	At           time.Time // upper bound of when its first byte was written
	EndedAt      time.Time // final response sent or client disconnected; zero: neither
	Deadline     time.Time // of the client
	DrainKnownAt time.Time // when the process was notified that the server drains or is removed; zero: neither
	DrainGrace   time.Duration
	SentTimeout  time.Duration // remaining client time, as sent to the server; 0: not sent
	AfterIntake  bool          // first attempt of a request read after a shutdown had stopped accepting requests
}

// CheckWrite checks an attempt that has been written.
func (c *Checker) CheckWrite(w WrittenAttempt) {
	if !w.EndedAt.IsZero() && w.At.Sub(w.EndedAt) > WriteSlack {
		c.Report(WrittenAfterEnd, w.Request, "written %v after its end", w.At.Sub(w.EndedAt))
	}
	if late := w.At.Sub(w.Deadline); late > WriteSlack {
		c.Report(WrittenAfterDeadline, w.Request, "written %v after its client's time", late)
	}
	if !w.DrainKnownAt.IsZero() && w.At.Sub(w.DrainKnownAt) > w.DrainGrace {
		c.Report(WrittenToDraining, w.Request, "written %v after the server's drain was known", w.At.Sub(w.DrainKnownAt))
	}
	if w.AfterIntake {
		c.Report(WrittenDuringShutdown, w.Request, "forwarded although it came after the intake of a process that ends")
	}
	if excess := w.SentTimeout - w.Deadline.Sub(w.At); w.SentTimeout > 0 && excess > TimeoutSlack {
		c.Report(TimeOverstated, w.Request, "its server was told %v more than its client has", excess)
	}
}

// CheckAnswer checks that a final response was sent in time.
func (c *Checker) CheckAnswer(request string, at, deadline time.Time) {
	if late := at.Sub(deadline); late > AnswerSlack {
		c.Report(AnsweredLate, request, "answered %v after its client's time", late)
	}
}
