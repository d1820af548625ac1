// Package eventlog keeps the latest events of a process in memory: requests read, their
// attempts, refusals, retries and closed connections. The console shows them, and invariant
// violations log them. The oldest events are overwritten, so memory is bounded, and adding an
// event does not allocate.
package eventlog

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Capacity is the number of events that a Log keeps, about 0.4 MB.
const Capacity = 4096

// maxText is how many bytes an event keeps of a request's id or of a reason.
const maxText = 96

// truncate returns the first maxText bytes of a text. A longer text is copied, as a part of it would keep
// all of it in memory.
func truncate(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.Clone(text[:maxText])
}

// Kind is the type of an event.
type Kind uint8

// Kinds of events, with the fields that they use in addition to At.
const (
	PhaseChanged     Kind = iota // Reason: the new phase
	ConnectionOpened             // Connection
	ConnectionClosed             // Connection, Reason
	RequestRead                  // Request, Connection
	RequestEnded                 // Request, Connection, Status, Reason
	AttemptStarted               // Request, Attempt, Server
	AttemptWithheld              // Request, Attempt, Server, Reason: nothing was written
	AttemptWritten               // Request, Attempt, Server: written completely
	AttemptEnded                 // Request, Attempt, Server, Reason: the outcome
	ViolationFound               // Request, Reason: the violated invariant
	RequestRejected              // Request, Connection, Status, Reason: it did not reach the node
	ResponseFailed               // Request, Attempt, Server, Reason: what was wrong with a server's response
)

var kindNames = [...]string{"phase", "connection opened", "connection closed", "request read", "request ended",
	"attempt started", "attempt withheld", "attempt written", "attempt ended", "violation", "request rejected", "response failed"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Event is one recorded event. Which fields are used depends on Kind.
type Event struct {
	At         time.Time
	Kind       Kind
	Request    string // value of Request-Id
	Server     string // name in discovery
	Reason     string
	Connection uint64 // client connection, counted from 1
	Attempt    int    // counted from 0 per request
	Status     int    // HTTP status
}

// String formats the event on one line. Client-supplied text is quoted.
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

// Log keeps the latest Capacity events. Its methods may be called from several goroutines.
// A nil Log keeps nothing.
type Log struct {
	mu     sync.Mutex
	events [Capacity]Event
	total  uint64 // events added so far
}

// New returns an empty log.
func New() *Log { return &Log{} }

// Add records an event. If At is zero, it is set to the current time.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.Request, e.Reason = truncate(e.Request), truncate(e.Reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[l.total%Capacity] = e
	l.total++
}

// Events returns the events that are still kept, oldest first. If request is not empty, only
// events of that request are returned.
func (l *Log) Events(request string) []Event {
	if l == nil {
		return nil
	}
	request = truncate(request)
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

// Total returns the number of events added so far, including overwritten ones.
func (l *Log) Total() uint64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Text formats the events that Events returns, one per line, after a line with the number of
// overwritten events.
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
