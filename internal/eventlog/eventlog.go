// Package eventlog keeps the latest events of a process in memory: which
// requests were read on which connection, how their attempts went, why they
// were refused, retried or closed. It is read at the console, and written to
// the log when an invariant is broken. The oldest events are overwritten, so
// its memory is bounded and a request costs no allocation.
package eventlog

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Capacity is how many events a Log keeps: about 0.4 MB.
const Capacity = 4096

// Kind says what happened.
type Kind uint8

// The kinds of events, with the fields that they use beside At.
const (
	PhaseChanged     Kind = iota // Reason: the phase that the process enters
	ConnectionOpened             // Connection
	ConnectionClosed             // Connection, Reason
	RequestRead                  // Request, Connection
	RequestEnded                 // Request, Connection, Status, Reason
	AttemptStarted               // Request, Attempt, Server
	AttemptWithheld              // Request, Attempt, Server, Reason: not a byte of it was written
	AttemptWritten               // Request, Attempt, Server: its last byte was written
	AttemptEnded                 // Request, Attempt, Server, Reason: its outcome
	ViolationFound               // Request, Reason: the invariant
)

var kindNames = [...]string{"phase", "connection opened", "connection closed", "request read", "request ended",
	"attempt started", "attempt withheld", "attempt written", "attempt ended", "violation"}

// String names the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	At         time.Time
	Kind       Kind
	Request    string // Request-Id
	Server     string // discovery's name for it
	Reason     string
	Connection uint64 // number of the client's connection, from 1 on
	Attempt    int    // of the request, from 0 on
	Status     int    // of HTTP
}

// String words the event on one line. Text that a client chose is quoted.
func (e Event) String() string {
	var b strings.Builder
	b.WriteString(e.At.Format("15:04:05.000000"))
	b.WriteByte(' ')
	b.WriteString(e.Kind.String())
	if e.Request != "" {
		fmt.Fprintf(&b, " request=%q", e.Request)
	}
	if e.Connection != 0 {
		fmt.Fprintf(&b, " connection=%d", e.Connection)
	}
	if e.Server != "" {
		fmt.Fprintf(&b, " attempt=%d server=%q", e.Attempt, e.Server)
	}
	if e.Status != 0 {
		fmt.Fprintf(&b, " status=%d", e.Status)
	}
	if e.Reason != "" {
		fmt.Fprintf(&b, " reason=%q", e.Reason)
	}
	return b.String()
}

// Log keeps the latest Capacity events. Its methods may be called from several
// goroutines. A nil Log keeps nothing.
type Log struct {
	mu     sync.Mutex
	events [Capacity]Event
	total  uint64 // events added so far
}

// New makes an empty log.
func New() *Log { return &Log{} }

// Add keeps an event. At is set to the present time if it is zero.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	if e.At.IsZero() {
		e.At = time.Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[l.total%Capacity] = e
	l.total++
}

// Events gives the events that are still kept, the oldest first. With a
// request's id it gives those of that request alone.
func (l *Log) Events(request string) []Event {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for i := l.total - min(l.total, Capacity); i < l.total; i++ {
		if e := &l.events[i%Capacity]; request == "" || e.Request == request {
			out = append(out, *e)
		}
	}
	return out
}

// Total tells how many events have been added so far, those that were
// overwritten among them.
func (l *Log) Total() uint64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Text words the events that Events gives, one a line, behind a first line that
// tells how many are no longer kept.
func (l *Log) Text(request string) []byte {
	events := l.Events(request)
	var b strings.Builder
	total := l.Total()
	fmt.Fprintf(&b, "%d events, %d overwritten\n", total, total-min(total, Capacity))
	for _, e := range events {
		b.WriteString(e.String())
		b.WriteByte('\n')
	}
	return []byte(b.String())
}
