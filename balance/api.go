// Package balance makes the decisions of a load-balancing proxy node: which
// server gets a request, when another attempt is made, when a request is
// refused. It does no I/O, reads no clock and starts no goroutine: the caller
// feeds it events and carries out the actions it returns.
//
// This file is the interface; the decisions are in balance.go and, where nodes
// tell one another how long servers make requests wait, in waits.go.
package balance

import (
	"time"

	"ivylock/fleet/subset"
	"ivylock/guard"
)

// Time is a reading of the caller's monotonic clock. Its zero has no meaning.
type Time = time.Duration

// ServerID names a server, RequestID one try of a client's request. Both are
// opaque.
type (
	ServerID  uint32
	RequestID string
)

// Effect says what a second execution of a request would do, Scope which servers
// share knowledge of keys.
type (
	Effect = guard.Effect
	Scope  = guard.Scope
)

// The effects and scopes, as package guard explains them.
const (
	Unsafe    = guard.Unsafe
	Keyed     = guard.Keyed
	Safe      = guard.Safe
	ScopeCell = guard.ScopeCell
	ScopeZone = guard.ScopeZone
	ScopeAll  = guard.ScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name              string
	Value             float64       // of one request
	TargetLatency     time.Duration // an answer within this time has full worth
	TargetWorkFactor  float64       // the aim grows by this many times the request's work
	Deadline          time.Duration // the client's total patience, over all its tries
	LateValueFraction float64       // part of the worth for an answer past the aim
	Effect            Effect
	KeyScope          Scope         // for Keyed: the group that drops repeats
	DedupWindow       time.Duration // for Keyed: how long the group remembers
	Streamed          bool          // the answer is a stream
}

// RetryRules gives the class's rules on what may run twice.
func (c *Class) RetryRules() guard.RetryRules {
	return guard.RetryRules{Effect: c.Effect, Scope: c.KeyScope, Window: c.DedupWindow}
}

// Tenant is a customer with a guaranteed share.
type Tenant struct {
	Name  string
	Quota float64 // requests each second over all nodes
	Share float64
}

// Settings is what a node is told at its start.
type Settings struct {
	Nodes   int    // how many nodes decide for these servers
	Self    int    // this node's number among them
	Zone    string // this node's zone
	Zones   []string
	Kinds   []string // machine kinds
	Classes []Class
	Tenants []Tenant

	MaxAttempts          int           // for one request
	MayOverlap           bool          // two attempts of a request may be out at once
	MayCancel            bool          // CancelAttempt is allowed
	MayProbe             bool          // Probe is allowed
	MayMessage           bool          // SendMessage is allowed
	RetryAfterSupported  bool          // clients are told Refuse.RetryAfter
	MaxRetryAfter        time.Duration // the longest hold-off that clients follow
	RetriesMarked        bool          // clients mark their repeats
	ConnectTimeout       time.Duration
	MinTick              time.Duration // events come no closer together than this
	MaxProcessPause      time.Duration // how long after its choice an attempt may be written by a process that is held up
	ListOnDemand         bool          // list changes come only after Subscribe or FetchList
	SizeKnown            bool          // Server.RelativeSize tells something of the machine's size
	SizeLive             bool          // Server.RelativeSize falls as the server fills
	OverQuotaValueFactor float64       // worth of a request over its tenant's share, as a part
	ValuePerWork         bool          // worth counts by unit of work, not by request
	ReportSource         ReportSource  // where load reports come from
	ReportFields         []string      // names of the values in them

	Family             string   // the kind of service
	Tier               int      // the tier that this node sends to, by its place in Tiers
	Tiers              []string // names of the tiers
	KeyLocality        bool     // a server that met a key lately needs less work for it
	DeadlinePropagated bool     // a server's calls to the next tier carry what is left of the request's time
	StreamsPerConn     int      // attempts that one connection carries at once
	ConnIdleTimeout    time.Duration
	MaxOpenRequests    int           // requests that this node can have open
	CPUPerSecond       time.Duration // what this node may spend on decisions
	CPUPerRequest      time.Duration // the same for a request with its outcomes; 0: no limit
	ScoreWeights       ScoreWeights
	Penalties          Penalties

	AnswerGrace         time.Duration // a final answer this long past the deadline still counts
	ListPollInterval    time.Duration // without a subscription, ask at least this often
	DrainGrace          time.Duration // sends to a draining server must have stopped by then
	WarmupStartFraction float64       // part of its capacity a server starts with, at least
	WarmupTime          time.Duration // a started server is warm after this time
	OverloadFactor      float64       // a cold server falls over beyond this multiple of its capacity
	OverloadTime        time.Duration // when that lasts so long
}

// ScoreWeights weighs the parts of the result.
type ScoreWeights struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Penalties are points off the result, each for one unit of what it names.
type Penalties struct {
	Connection, Handshake, CrossZone, WastedWork, LateFailure, Probe, Message, Moves, Origin, ListLines, Fleet float64
}

// ReportSource is the way load reports reach a node.
type ReportSource int

const (
	// NoReports means there are none.
	NoReports ReportSource = iota
	// ReportsFromProbes means only probe results carry them.
	ReportsFromProbes
	// ReportsFromAnswers means outcomes carry them too.
	ReportsFromAnswers
)

// Report is a server's own account of its load. It is late and not exact.
type Report struct {
	InFlight, Queue       float64 // requests held; requests waiting
	HasInFlight, HasQueue bool
	Utilisation           float64 // 0 if absent
	ServiceTime           time.Duration
	Rate, ErrorRate       float64 // each second
}

// ServerState is what discovery says of a server.
type ServerState int

const (
	// Ready servers take requests.
	Ready ServerState = iota
	// Draining servers finish what they have.
	Draining
	// Removed servers have been removed.
	Removed
)

// Server is an entry of the server list.
type Server struct {
	ID        ServerID
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Size      float64 // without unit; compare with other servers
	StartedAt Time    // 0: long ago
}

// Location is where the server stands, as far as keys are known there.
func (s *Server) Location() guard.Location { return guard.Location{Zone: s.Zone, Cell: s.Cell} }

// Event is something that happened. The types below are all there are.
// RequestArrived, AttemptEnded and TimerFired may be given as pointers too,
// which makes no garbage; the module keeps none of them.
type Event interface{ event() }

// ListKind is the form of a ListUpdate.
type ListKind int

const (
	// ListChanges holds only the changed entries.
	ListChanges ListKind = iota
	// ListFull holds all; a server not in it is gone.
	ListFull
	// ListCached is a full list as this node had it last; it can be old.
	ListCached
	// ListFailed has no entries: a call failed or the subscription broke. The module has
	// no use for it: when the list is asked for package membership decides.
	ListFailed
)

// OutcomeCode tells how an attempt or a probe ended.
type OutcomeCode int

const (
	// OK: served.
	OK OutcomeCode = iota
	// ServerError: the server failed; it may have run.
	ServerError
	// Full: turned away unseen.
	Full
	// TimedOut: no answer in time; it may have run and may run still.
	TimedOut
	// ConnectFailed: never sent.
	ConnectFailed
	// Reset: the connection broke; it may have run.
	Reset
	// Cancelled: called off; it may have run.
	Cancelled
	// Moot: not sent, as the request was over.
	Moot
)

// Events.
type (
	// RequestArrived is a new request; the module owes it one final answer.
	RequestArrived struct {
		ID            RequestID
		Class         string
		Tenant        string
		Key           string
		ClientTimeout time.Duration // until the client stops waiting for this try
		WorkHint      time.Duration // expected work, where HasHint
		HasHint       bool
		ClientRetry   bool // the client has tried before
		Write         bool
		BodyPending   bool // its body is still coming: a server works on it only from RequestBodySent on
	}
	// RequestBodySent says that the last byte of a Pending request has gone to its server.
	RequestBodySent struct{ ID RequestID }
	// ListUpdate is news of the servers.
	ListUpdate struct {
		Kind    ListKind
		Version uint64
		Entries []Server
	}
	// AttemptEnded tells how one attempt went. Each Send gets one.
	AttemptEnded struct {
		ID           RequestID
		Attempt      int
		Server       ServerID
		RequestDone  bool // the request has had its final answer
		Elapsed      time.Duration
		Code         OutcomeCode
		Report       *Report // nil if none came
		BodyConsumed bool    // the request's body is used up: it can not be sent again
	}
	// StreamStarted says that an answer which is passed on in pieces has begun.
	StreamStarted struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
	}
	// FinalAnswerDue says that the caller wants the final answer now, as its process ends.
	FinalAnswerDue struct{ ID RequestID }
	// RequestAbandoned says that the client is gone; nothing is owed.
	RequestAbandoned struct{ ID RequestID }
	// ProbeEnded is the result of a Probe.
	ProbeEnded struct {
		Server  ServerID
		Code    OutcomeCode
		Elapsed time.Duration
		Report  *Report
	}
	// MessageReceived comes from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// ShareUpdate says how much of what all nodes share is this node's by now. Tenants are
	// parts of their quotas, requests a second; one that is not named keeps what it has.
	// EffectiveNodes is how many equal nodes there would be, were each node's part of the rest as
	// large as this one's; 0: as it was.
	ShareUpdate struct {
		TenantRates    map[string]float64
		EffectiveNodes float64
	}
	// FleetChanged says which nodes there are by now, this one among them: those that the
	// settings count until one comes.
	FleetChanged struct{ Nodes []subset.Process }
	// TimerFired answers a SetTimer.
	TimerFired struct{ Token int64 }
)

func (RequestArrived) event()   {}
func (RequestBodySent) event()  {}
func (ListUpdate) event()       {}
func (AttemptEnded) event()     {}
func (StreamStarted) event()    {}
func (FinalAnswerDue) event()   {}
func (RequestAbandoned) event() {}
func (ProbeEnded) event()       {}
func (MessageReceived) event()  {}
func (ShareUpdate) event()      {}
func (FleetChanged) event()     {}
func (TimerFired) event()       {}

// Cause says why a request was ended without a server's answer. It is told for
// logs and figures: nothing is decided by it.
type Cause int

const (
	// CauseNoServer: no server may take it.
	CauseNoServer Cause = iota
	// CauseShed: load is shed.
	CauseShed
	// CauseTooLate: an answer would come too late to be worth anything.
	CauseTooLate
	// CauseRetryBudget: further attempts have used up their part of all.
	CauseRetryBudget
	// CauseDeadline: the client's time is over.
	CauseDeadline
	// CauseBodyConsumed: its body has been passed on and can not be sent again.
	CauseBodyConsumed
	// CauseShutdown: the process ends.
	CauseShutdown
)

// Action is something the caller is to do. The types below are all there are.
type Action interface{ action() }

// Actions.
type (
	// Send starts an attempt; a request's attempts count 0, 1, 2 in this order.
	// It holds a pointer so that it makes no garbage on the ordinary path.
	Send struct{ *Sending }
	// Sending is what a Send says. It is the caller's to read until it has
	// told how the attempt ended.
	Sending struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // 0: until the client stops waiting
		// WriteWithin bounds how long from now its first byte may be written: a repeat must
		// come inside the window in which its server's group knows it. 0: no bound.
		WriteWithin time.Duration
	}
	// Refuse is a final answer: a new try does no harm.
	Refuse struct {
		ID         RequestID
		RetryAfter time.Duration // how long the client should wait; 0: no advice
		Cause      Cause
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID    RequestID
		Cause Cause
	}
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe checks a server.
	Probe struct{ Server ServerID }
	// SendMessage goes to one node, or to all.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe asks discovery for changes from now on, or stops them. The module never
	// does: internal/decider, which joins it with package membership, and other policies do.
	Subscribe struct{ On bool }
	// FetchList asks discovery for the full list once; as Subscribe.
	FetchList struct{}
	// CloseIdleConns closes this node's idle connections to a server.
	CloseIdleConns struct{ Server ServerID }
	// SetConnIdleTimeout says for how long idle connections are kept from now on, at most.
	SetConnIdleTimeout struct{ Timeout time.Duration }
	// Log is a line for the operators.
	Log struct{ Line string }
)

func (Send) action()               {}
func (Refuse) action()             {}
func (Fail) action()               {}
func (CancelAttempt) action()      {}
func (SetTimer) action()           {}
func (Probe) action()              {}
func (SendMessage) action()        {}
func (Subscribe) action()          {}
func (FetchList) action()          {}
func (CloseIdleConns) action()     {}
func (SetConnIdleTimeout) action() {}
func (Log) action()                {}
