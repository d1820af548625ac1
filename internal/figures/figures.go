// Package figures counts what a node does, where it happens, and words the
// counts for whoever asks. Counting takes one atomic addition and no lock.
// docs/oncall.md says what each figure counts and where.
package figures

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"ivylock/guard"
	"ivylock/internal/invariant"
	"ivylock/internal/neterr"
)

// Outcome is how a request ended.
type Outcome int

const (
	// Fulfilled requests got a server's answer.
	Fulfilled Outcome = iota
	// Throttled requests were refused with 429 or 503: trying again is harmless.
	Throttled
	// Faulted requests got any other answer.
	Faulted
	// NumOutcomes is how many kinds there are.
	NumOutcomes
)

var names = [NumOutcomes]string{"fulfilled", "throttled", "faulted"}

// CounterVec is a row of counts that differ in one word, such as the reason for which
// something was done. Its words are fixed when it is made.
type CounterVec struct {
	name   string
	words  []string
	counts []atomic.Int64
}

func newFamily(name string, words []string) CounterVec {
	return CounterVec{name: name, words: words, counts: make([]atomic.Int64, len(words))}
}

// Add counts one more of the word with this number; a number that has no word is
// not counted.
func (f *CounterVec) Add(number int) {
	if number >= 0 && number < len(f.counts) {
		f.counts[number].Add(1)
	}
}

// Value gives the count of the word with this number.
func (f *CounterVec) Value(number int) int64 { return f.counts[number].Load() }

// Label gives the word with this number.
func (f *CounterVec) Label(number int) string {
	if number < 0 || number >= len(f.words) {
		return "unknown"
	}
	return f.words[number]
}

// Set is one process's figures; all start at 0. Its methods may be called from
// several goroutines.
type Set struct {
	order   []string // classes, as the settings give them
	classes map[string]*[NumOutcomes]atomic.Int64

	Relayed         atomic.Int64 // attempts written whole to servers
	OpenRequests    atomic.Int64 // requests taken and not yet ended
	RegistryEntries atomic.Int64 // servers on the list, as the loop saw it last
	OutOfRotation   atomic.Int64 // listed servers that the node avoids, as the loop saw it last

	ListsUnanswered, ListsTruncated, ListsUnreadable atomic.Int64 // calls to discovery that brought no list
	EntriesSkipped                                   atomic.Int64 // of lists, as they could not be read
	UnknownSenders                                   atomic.Int64 // datagrams from no node, or too long
	DatagramsIgnored                                 atomic.Int64 // datagrams of nodes that were of no use
	WithdrawalsApplied, DatagramsMalformed           atomic.Int64 // of neighbours, that servers leave: acted on; in no known form
	PeerQueriesSent, PeerQueriesAnswered             atomic.Int64 // to and of neighbours, what changed on the list
	ReloadsRefused                                   atomic.Int64 // configurations that were malformed or not this node's

	AttemptsEnded       CounterVec   // by outcome, in the order of balance.OutcomeCode
	AttemptsWithheld    CounterVec   // by guard.WithholdReason: chosen, and not a byte of them written
	AttemptsRepeated    atomic.Int64 // attempts that are not the first of their request
	RequestsRejected    CounterVec   // by Turned: ended without a server's answer
	ConnectionsClosed   CounterVec   // by Closed: of clients
	ConnectionsOpened   atomic.Int64 // of clients
	LogLinesDropped     atomic.Int64 // as nobody read the log
	InvariantViolations CounterVec   // by invariant.Kind
	AcceptErrors        CounterVec   // by neterr.Index
	DialErrors          CounterVec   // the same, of connections to servers
	DatagramErrors      CounterVec   // the same, of datagrams received and sent
	RequestsLate        atomic.Int64 // read after a shutdown had closed the listener

	fleet atomic.Pointer[[]NamedMetric]
}

// RejectReason is why a request was refused or failed without a server's answer.
type RejectReason int

// The first ones are those of balance.Cause, in its order.
const (
	// RejectedNoServer: no server may take it.
	RejectedNoServer RejectReason = iota
	// RejectedShed: load is shed.
	RejectedShed
	// RejectedNoValue: an answer would come too late to be worth anything.
	RejectedNoValue
	// RejectedRetryBudget: further attempts have used up their part.
	RejectedRetryBudget
	// RejectedDeadline: the client's time is over.
	RejectedDeadline
	// RejectedBodyConsumed: its body can not be sent again.
	RejectedBodyConsumed
	// RejectedShutdown: the process ends.
	RejectedShutdown
	// RejectedDuplicateID: its id is that of an open request.
	RejectedDuplicateID
	// RejectedRequestLimit: as many requests are open as may be.
	RejectedRequestLimit
	// RejectedStaleState: what the node knows is too old to act on.
	RejectedStaleState
)

var turnedWords = []string{"no_server", "shed", "worthless", "retry_budget", "deadline", "body_spent", "ending", "duplicate_id", "full", "stale"}

// CloseReason is why a client's connection was closed.
type CloseReason int

const (
	// ClosedByClient: the client closed or reset it.
	ClosedByClient CloseReason = iota
	// ClosedTimeout: it was silent for too long.
	ClosedTimeout
	// ClosedAnswered: it ended with an answer.
	ClosedAnswered
	// ClosedEvicted: it rested, and room was wanted.
	ClosedEvicted
	// ClosedDraining: it rested while the process ended.
	ClosedDraining
	// ClosedUnanswered: a request on it had no answer.
	ClosedUnanswered
)

var closedWords = []string{"by_client", "timeout", "answered", "for_room", "draining", "unanswered"}

var outcomeWords = []string{"ok", "server_error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// New makes the figures of a node that serves these classes.
func New(classes []string) *Set {
	s := &Set{order: classes, classes: map[string]*[NumOutcomes]atomic.Int64{},
		AttemptsEnded:       newFamily("attempts.ended", outcomeWords),
		AttemptsWithheld:    newFamily("attempts.withheld", guard.WithholdReasonNames),
		RequestsRejected:    newFamily("requests.turned_down", turnedWords),
		ConnectionsClosed:   newFamily("connections.closed", closedWords),
		InvariantViolations: newFamily("invariants.broken", invariant.KindNames),
		AcceptErrors:        newFamily("accept.errors", neterr.Names()),
		DialErrors:          newFamily("dials.errors", neterr.Names()),
		DatagramErrors:      newFamily("peers.errors", neterr.Names())}
	for _, c := range classes {
		s.classes[c] = new([NumOutcomes]atomic.Int64)
	}
	return s
}

// CountRequest counts a request of a class that had its final answer. A class that
// the settings lack is not counted.
func (s *Set) CountRequest(class string, o Outcome) {
	if c := s.classes[class]; c != nil {
		c[o].Add(1)
	}
}

// Value gives one count of a class.
func (s *Set) RequestCount(class string, o Outcome) int64 {
	if c := s.classes[class]; c != nil {
		return c[o].Load()
	}
	return 0
}

// OutcomeOf tells how a request with a final status ended.
func OutcomeOf(status int) Outcome {
	switch status {
	case 200:
		return Fulfilled
	case 429, 503:
		return Throttled
	}
	return Faulted
}

// Text gives all figures in StatsD's line form, a figure a line.
func (s *Set) Text() []byte {
	var b bytes.Buffer
	for _, class := range s.order {
		for o := range NumOutcomes {
			fmt.Fprintf(&b, "app.operations.%s.%s:%d|c\n", class, names[o], s.RequestCount(class, o))
		}
	}
	for _, c := range []struct {
		name  string
		value *atomic.Int64
	}{{"relayed", &s.Relayed}, {"lists.unanswered", &s.ListsUnanswered}, {"lists.cut_short", &s.ListsTruncated},
		{"lists.unreadable", &s.ListsUnreadable}, {"lists.entries_skipped", &s.EntriesSkipped},
		{"peers.strangers", &s.UnknownSenders}, {"peers.turned_away", &s.DatagramsIgnored},
		{"peers.withdrawals", &s.WithdrawalsApplied}, {"peers.malformed", &s.DatagramsMalformed},
		{"peers.questions.asked", &s.PeerQueriesSent}, {"peers.questions.answered", &s.PeerQueriesAnswered}, {"reloads.refused", &s.ReloadsRefused}, {"log.dropped", &s.LogLinesDropped},
		{"attempts.repeated", &s.AttemptsRepeated}, {"connections.opened", &s.ConnectionsOpened}, {"requests.late", &s.RequestsLate}} {
		fmt.Fprintf(&b, "app.%s:%d|c\n", c.name, c.value.Load())
	}
	for _, f := range []*CounterVec{&s.AttemptsEnded, &s.AttemptsWithheld, &s.RequestsRejected, &s.ConnectionsClosed, &s.InvariantViolations, &s.AcceptErrors, &s.DialErrors, &s.DatagramErrors} {
		for i, word := range f.words {
			if word == "" {
				continue
			}
			fmt.Fprintf(&b, "app.%s.%s:%d|c\n", f.name, word, f.Value(i))
		}
	}
	for _, g := range []struct {
		name  string
		value *atomic.Int64
	}{{"open_requests", &s.OpenRequests}, {"registry_entries", &s.RegistryEntries}, {"out_of_rotation", &s.OutOfRotation}} {
		fmt.Fprintf(&b, "app.%s:%d|g\n", g.name, g.value.Load())
	}
	if more := s.fleet.Load(); more != nil {
		for _, f := range *more {
			fmt.Fprintf(&b, "app.fleet.%s:%d|%s\n", f.Name, f.Value, f.Kind)
		}
	}
	return b.Bytes()
}

// NamedMetric is a figure of a part that is not always on. Kind is "c" for one that
// only rises, "g" for another.
type NamedMetric struct {
	Name, Kind string
	Value      int64
}

// SetFleetMetrics takes the fleet's figures, which are then told with the others.
func (s *Set) SetFleetMetrics(f []NamedMetric) { s.fleet.Store(&f) }
