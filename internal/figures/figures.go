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
	// Outcomes is how many kinds there are.
	Outcomes
)

var names = [Outcomes]string{"fulfilled", "throttled", "faulted"}

// Family is a row of counts that differ in one word, such as the reason for which
// something was done. Its words are fixed when it is made.
type Family struct {
	name   string
	words  []string
	counts []atomic.Int64
}

func newFamily(name string, words []string) Family {
	return Family{name: name, words: words, counts: make([]atomic.Int64, len(words))}
}

// Add counts one more of the word with this number; a number that has no word is
// not counted.
func (f *Family) Add(number int) {
	if number >= 0 && number < len(f.counts) {
		f.counts[number].Add(1)
	}
}

// Of gives the count of the word with this number.
func (f *Family) Of(number int) int64 { return f.counts[number].Load() }

// Word gives the word with this number.
func (f *Family) Word(number int) string {
	if number < 0 || number >= len(f.words) {
		return "unknown"
	}
	return f.words[number]
}

// Set is one process's figures; all start at 0. Its methods may be called from
// several goroutines.
type Set struct {
	order   []string // classes, as the settings give them
	classes map[string]*[Outcomes]atomic.Int64

	Relayed       atomic.Int64 // attempts written whole to servers
	Open          atomic.Int64 // requests taken and not yet ended
	Registry      atomic.Int64 // servers on the list, as the loop saw it last
	OutOfRotation atomic.Int64 // listed servers that the node avoids, as the loop saw it last

	ListsUnanswered, ListsCutShort, ListsUnreadable atomic.Int64 // calls to discovery that brought no list
	EntriesSkipped                                  atomic.Int64 // of lists, as they could not be read
	Strangers                                       atomic.Int64 // datagrams from no node, or too long
	WordsTurnedAway                                 atomic.Int64 // datagrams of nodes that were of no use
	WordsTaken, WordsMalformed                      atomic.Int64 // of neighbours, that servers leave: acted on; in no known form
	QuestionsAsked, QuestionsAnswered               atomic.Int64 // to and of neighbours, what changed on the list
	ReloadsRefused                                  atomic.Int64 // configurations that were malformed or not this node's

	AttemptsEnded     Family       // by outcome, in the order of balance.OutcomeCode
	AttemptsWithheld  Family       // by guard.WithholdReason: chosen, and not a byte of them written
	AttemptsRepeated  atomic.Int64 // attempts that are not the first of their request
	RequestsTurned    Family       // by Turned: ended without a server's answer
	ConnectionsClosed Family       // by Closed: of clients
	ConnectionsOpened atomic.Int64 // of clients
	LogLinesDropped   atomic.Int64 // as nobody read the log
	InvariantsBroken  Family       // by invariant.Kind
	AcceptErrors      Family       // by neterr.Number
	DialErrors        Family       // the same, of connections to servers
	DatagramErrors    Family       // the same, of datagrams received and sent
	RequestsLate      atomic.Int64 // read after a shutdown had closed the listener

	fleet atomic.Pointer[[]Named]
}

// Turned is why a request was refused or failed without a server's answer.
type Turned int

// The first ones are those of balance.Cause, in its order.
const (
	// TurnedNoServer: no server may take it.
	TurnedNoServer Turned = iota
	// TurnedShed: load is shed.
	TurnedShed
	// TurnedWorthless: an answer would come too late to be worth anything.
	TurnedWorthless
	// TurnedRetryBudget: further attempts have used up their part.
	TurnedRetryBudget
	// TurnedDeadline: the client's time is over.
	TurnedDeadline
	// TurnedBodySpent: its body can not be sent again.
	TurnedBodySpent
	// TurnedEnding: the process ends.
	TurnedEnding
	// TurnedDuplicate: its id is that of an open request.
	TurnedDuplicate
	// TurnedFull: as many requests are open as may be.
	TurnedFull
	// TurnedStale: what the node knows is too old to act on.
	TurnedStale
)

var turnedWords = []string{"no_server", "shed", "worthless", "retry_budget", "deadline", "body_spent", "ending", "duplicate_id", "full", "stale"}

// Closed is why a client's connection was closed.
type Closed int

const (
	// ClosedByClient: the client closed or reset it.
	ClosedByClient Closed = iota
	// ClosedTimeout: it was silent for too long.
	ClosedTimeout
	// ClosedAnswered: it ended with an answer.
	ClosedAnswered
	// ClosedForRoom: it rested, and room was wanted.
	ClosedForRoom
	// ClosedDraining: it rested while the process ended.
	ClosedDraining
	// ClosedUnanswered: a request on it had no answer.
	ClosedUnanswered
)

var closedWords = []string{"by_client", "timeout", "answered", "for_room", "draining", "unanswered"}

var outcomeWords = []string{"ok", "server_error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// New makes the figures of a node that serves these classes.
func New(classes []string) *Set {
	s := &Set{order: classes, classes: map[string]*[Outcomes]atomic.Int64{},
		AttemptsEnded:     newFamily("attempts.ended", outcomeWords),
		AttemptsWithheld:  newFamily("attempts.withheld", guard.WithholdReasonNames),
		RequestsTurned:    newFamily("requests.turned_down", turnedWords),
		ConnectionsClosed: newFamily("connections.closed", closedWords),
		InvariantsBroken:  newFamily("invariants.broken", invariant.Words),
		AcceptErrors:      newFamily("accept.errors", neterr.Words()),
		DialErrors:        newFamily("dials.errors", neterr.Words()),
		DatagramErrors:    newFamily("peers.errors", neterr.Words())}
	for _, c := range classes {
		s.classes[c] = new([Outcomes]atomic.Int64)
	}
	return s
}

// Ended counts a request of a class that had its final answer. A class that
// the settings lack is not counted.
func (s *Set) Ended(class string, o Outcome) {
	if c := s.classes[class]; c != nil {
		c[o].Add(1)
	}
}

// Of gives one count of a class.
func (s *Set) Of(class string, o Outcome) int64 {
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
		for o := range Outcomes {
			fmt.Fprintf(&b, "app.operations.%s.%s:%d|c\n", class, names[o], s.Of(class, o))
		}
	}
	for _, c := range []struct {
		name  string
		value *atomic.Int64
	}{{"relayed", &s.Relayed}, {"lists.unanswered", &s.ListsUnanswered}, {"lists.cut_short", &s.ListsCutShort},
		{"lists.unreadable", &s.ListsUnreadable}, {"lists.entries_skipped", &s.EntriesSkipped},
		{"peers.strangers", &s.Strangers}, {"peers.turned_away", &s.WordsTurnedAway},
		{"peers.withdrawals", &s.WordsTaken}, {"peers.malformed", &s.WordsMalformed},
		{"peers.questions.asked", &s.QuestionsAsked}, {"peers.questions.answered", &s.QuestionsAnswered}, {"reloads.refused", &s.ReloadsRefused}, {"log.dropped", &s.LogLinesDropped},
		{"attempts.repeated", &s.AttemptsRepeated}, {"connections.opened", &s.ConnectionsOpened}, {"requests.late", &s.RequestsLate}} {
		fmt.Fprintf(&b, "app.%s:%d|c\n", c.name, c.value.Load())
	}
	for _, f := range []*Family{&s.AttemptsEnded, &s.AttemptsWithheld, &s.RequestsTurned, &s.ConnectionsClosed, &s.InvariantsBroken, &s.AcceptErrors, &s.DialErrors, &s.DatagramErrors} {
		for i, word := range f.words {
			if word == "" {
				continue
			}
			fmt.Fprintf(&b, "app.%s.%s:%d|c\n", f.name, word, f.Of(i))
		}
	}
	for _, g := range []struct {
		name  string
		value *atomic.Int64
	}{{"open_requests", &s.Open}, {"registry_entries", &s.Registry}, {"out_of_rotation", &s.OutOfRotation}} {
		fmt.Fprintf(&b, "app.%s:%d|g\n", g.name, g.value.Load())
	}
	if more := s.fleet.Load(); more != nil {
		for _, f := range *more {
			fmt.Fprintf(&b, "app.fleet.%s:%d|%s\n", f.Name, f.Value, f.Kind)
		}
	}
	return b.Bytes()
}

// Named is a figure of a part that is not always on. Kind is "c" for one that
// only rises, "g" for another.
type Named struct {
	Name, Kind string
	Value      int64
}

// SetFleet takes the fleet's figures, which are then told with the others.
func (s *Set) SetFleet(f []Named) { s.fleet.Store(&f) }
