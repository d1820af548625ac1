// Package figures holds a node's metrics and formats them as text. Incrementing a counter
// takes one atomic addition and no lock. docs/oncall.md describes each metric.
package figures

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"ivylock/guard"
	"ivylock/internal/invariant"
	"ivylock/internal/neterr"
)

// Outcome classifies how a request ended.
type Outcome int

const (
	// Fulfilled requests received a server's response.
	Fulfilled Outcome = iota
	// Throttled requests were refused with 429 or 503; a retry is safe.
	Throttled
	// Faulted requests received any other response.
	Faulted
	// NumOutcomes is the number of outcomes.
	NumOutcomes
)

var outcomeNames = [NumOutcomes]string{"fulfilled", "throttled", "faulted"}

// CounterVec is a set of counters that share a name and differ in a label. Its labels are
// fixed when it is created.
type CounterVec struct {
	name   string
	labels []string
	counts []atomic.Int64
}

func newCounterVec(name string, labels []string) CounterVec {
	return CounterVec{name: name, labels: labels, counts: make([]atomic.Int64, len(labels))}
}

// Add increments the counter with the given index. An index out of range is ignored.
func (v *CounterVec) Add(index int) {
	if index >= 0 && index < len(v.counts) {
		v.counts[index].Add(1)
	}
}

// Value returns the count at the given index.
func (v *CounterVec) Value(index int) int64 { return v.counts[index].Load() }

// Label returns the label at the given index.
func (v *CounterVec) Label(index int) string {
	if index < 0 || index >= len(v.labels) {
		return "unknown"
	}
	return v.labels[index]
}

// Set holds the metrics of one process, all initially 0. Its methods may be called from
// several goroutines.
type Set struct {
	classNames []string // in the order of the settings
	classes    map[string]*[NumOutcomes]atomic.Int64

	Relayed         atomic.Int64 // attempts written completely to servers
	OpenRequests    atomic.Int64 // requests accepted and not yet finished
	RegistryEntries atomic.Int64 // servers on the list, as of the loop's latest update
	OutOfRotation   atomic.Int64 // listed servers that the node avoids, as of the loop's latest update

	ListsUnanswered, ListsTruncated, ListsUnreadable atomic.Int64 // discovery calls that returned no list
	EntriesSkipped                                   atomic.Int64 // unreadable entries of lists
	UnknownSenders                                   atomic.Int64 // datagrams from unknown senders, or too long
	DatagramsIgnored                                 atomic.Int64 // datagrams of known nodes that were not applied
	WithdrawalsApplied, DatagramsMalformed           atomic.Int64 // server withdrawals from peers: applied, malformed
	PeerQueriesSent, PeerQueriesAnswered             atomic.Int64 // queries for list changes, to and from peers
	ReloadsRefused                                   atomic.Int64 // configurations malformed or of another node

	AttemptsEnded       CounterVec   // by outcome, in the order of balance.OutcomeCode
	AttemptsWithheld    CounterVec   // by guard.WithholdReason: attempts dropped before their first byte was written
	AttemptsRepeated    atomic.Int64 // attempts after the first of their request
	RequestsRejected    CounterVec   // by RejectReason: ended without a server's response
	ConnectionsClosed   CounterVec   // client connections, by CloseReason
	ConnectionsOpened   atomic.Int64 // client connections
	LogLinesDropped     atomic.Int64 // log queue full
	InvariantViolations CounterVec   // by invariant.Kind
	AcceptErrors        CounterVec   // by neterr.Index
	DialErrors          CounterVec   // by neterr.Index, of connections to servers
	DatagramErrors      CounterVec   // by neterr.Index, of datagrams sent and received
	RequestsLate        atomic.Int64 // read after a shutdown had closed the listener
	RequestsUnreadable  CounterVec   // by HTTP status: answered without reaching the node

	ResidentKB, HeapKB, StackKB atomic.Int64 // memory of the process in KiB: resident, of it Go's heap and stacks
	GCPermille                  atomic.Int64 // thousandths of the processor time in garbage collection, lately
	MemoryLimitKB               atomic.Int64 // for all buffers, in KiB
	MemoryHeldKB                [guard.NumMemoryOwners]atomic.Int64
	MemoryRefused               [guard.NumMemoryOwners]atomic.Int64 // reservations for which there was too little memory

	fleet atomic.Pointer[[]NamedMetric]
}

// RejectReason is why a request was refused or failed without a server's response.
type RejectReason int

// The first reasons are those of balance.Cause, in the same order.
const (
	// RejectedNoServer: no server is eligible.
	RejectedNoServer RejectReason = iota
	// RejectedShed: load shedding.
	RejectedShed
	// RejectedNoValue: a response would arrive too late to be of value.
	RejectedNoValue
	// RejectedRetryBudget: the retry budget is exhausted.
	RejectedRetryBudget
	// RejectedDeadline: the client's deadline has passed.
	RejectedDeadline
	// RejectedBodyConsumed: the request body cannot be sent again.
	RejectedBodyConsumed
	// RejectedShutdown: the process is shutting down.
	RejectedShutdown
	// RejectedDuplicateID: an open request has the same id, or one that may have run lately.
	RejectedDuplicateID
	// RejectedRequestLimit: the limit of open requests is reached.
	RejectedRequestLimit
	// RejectedStaleState: the node's state is too old to act on.
	RejectedStaleState
)

var rejectReasonLabels = []string{"no_server", "shed", "worthless", "retry_budget", "deadline", "body_spent", "ending", "duplicate_id", "full", "stale"}

// CloseReason is why a client connection was closed.
type CloseReason int

const (
	// ClosedByClient: closed or reset by the client.
	ClosedByClient CloseReason = iota
	// ClosedTimeout: idle timeout.
	ClosedTimeout
	// ClosedAnswered: closed after a response.
	ClosedAnswered
	// ClosedEvicted: idle, and closed to make room for another connection.
	ClosedEvicted
	// ClosedDraining: idle during shutdown.
	ClosedDraining
	// ClosedUnanswered: closed with a request that had no response.
	ClosedUnanswered
)

var closeReasonLabels = []string{"by_client", "timeout", "answered", "for_room", "draining", "unanswered"}

// unreadableStatuses are the statuses of requests that do not reach the node.
var unreadableStatuses = []int{http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge,
	http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable}

// CountUnreadable counts a request that was answered with a status before it reached the node.
func (s *Set) CountUnreadable(status int) {
	s.RequestsUnreadable.Add(slices.Index(unreadableStatuses, status))
}

func unreadableLabels() (labels []string) {
	for _, status := range unreadableStatuses {
		labels = append(labels, strconv.Itoa(status))
	}
	return labels
}

var attemptOutcomeLabels = []string{"ok", "server_error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// New returns the metrics of a node with the given request classes.
func New(classes []string) *Set {
	s := &Set{classNames: classes, classes: map[string]*[NumOutcomes]atomic.Int64{},
		AttemptsEnded:       newCounterVec("attempts.ended", attemptOutcomeLabels),
		AttemptsWithheld:    newCounterVec("attempts.withheld", guard.WithholdReasonNames),
		RequestsRejected:    newCounterVec("requests.turned_down", rejectReasonLabels),
		RequestsUnreadable:  newCounterVec("requests.unreadable", unreadableLabels()),
		ConnectionsClosed:   newCounterVec("connections.closed", closeReasonLabels),
		InvariantViolations: newCounterVec("invariants.broken", invariant.KindNames),
		AcceptErrors:        newCounterVec("accept.errors", neterr.Names()),
		DialErrors:          newCounterVec("dials.errors", neterr.Names()),
		DatagramErrors:      newCounterVec("peers.errors", neterr.Names())}
	for _, c := range classes {
		s.classes[c] = new([NumOutcomes]atomic.Int64)
	}
	return s
}

// CountRequest counts a finished request of a class. An unknown class is ignored.
func (s *Set) CountRequest(class string, o Outcome) {
	if c := s.classes[class]; c != nil {
		c[o].Add(1)
	}
}

// RequestCount returns the number of requests of a class with the given outcome.
func (s *Set) RequestCount(class string, o Outcome) int64 {
	if c := s.classes[class]; c != nil {
		return c[o].Load()
	}
	return 0
}

// OutcomeOf returns the outcome of a request with the given final HTTP status.
func OutcomeOf(status int) Outcome {
	switch status {
	case 200:
		return Fulfilled
	case 429, 503:
		return Throttled
	}
	return Faulted
}

// Text returns all metrics in StatsD line format, one per line.
func (s *Set) Text() []byte {
	var b bytes.Buffer
	for _, class := range s.classNames {
		for o := range NumOutcomes {
			fmt.Fprintf(&b, "app.operations.%s.%s:%d|c\n", class, outcomeNames[o], s.RequestCount(class, o))
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
	for _, v := range []*CounterVec{&s.AttemptsEnded, &s.AttemptsWithheld, &s.RequestsRejected, &s.RequestsUnreadable, &s.ConnectionsClosed, &s.InvariantViolations, &s.AcceptErrors, &s.DialErrors, &s.DatagramErrors} {
		for i, label := range v.labels {
			if label == "" {
				continue
			}
			fmt.Fprintf(&b, "app.%s.%s:%d|c\n", v.name, label, v.Value(i))
		}
	}
	for _, g := range []struct {
		name  string
		value *atomic.Int64
	}{{"open_requests", &s.OpenRequests}, {"registry_entries", &s.RegistryEntries}, {"out_of_rotation", &s.OutOfRotation},
		{"process.resident_kb", &s.ResidentKB}, {"process.heap_kb", &s.HeapKB}, {"process.stack_kb", &s.StackKB}, {"process.gc_permille", &s.GCPermille}} {
		fmt.Fprintf(&b, "app.%s:%d|g\n", g.name, g.value.Load())
	}
	s.writeMemory(&b)
	if fleetMetrics := s.fleet.Load(); fleetMetrics != nil {
		for _, m := range *fleetMetrics {
			fmt.Fprintf(&b, "app.fleet.%s:%d|%s\n", m.Name, m.Value, m.Kind)
		}
	}
	return b.Bytes()
}

// writeMemory formats the metrics of the memory for buffers.
func (s *Set) writeMemory(b *bytes.Buffer) {
	fmt.Fprintf(b, "app.memory.limit_kb:%d|g\n", s.MemoryLimitKB.Load())
	for owner := range guard.NumMemoryOwners {
		fmt.Fprintf(b, "app.memory.held_kb.%v:%d|g\n", owner, s.MemoryHeldKB[owner].Load())
		fmt.Fprintf(b, "app.memory.refused.%v:%d|c\n", owner, s.MemoryRefused[owner].Load())
	}
}

// NamedMetric is a metric of an optional subsystem. Kind is "c" for a counter and "g" for a
// gauge.
type NamedMetric struct {
	Name, Kind string
	Value      int64
}

// SetFleetMetrics sets the fleet's metrics, which Text includes from then on.
func (s *Set) SetFleetMetrics(metrics []NamedMetric) { s.fleet.Store(&metrics) }
