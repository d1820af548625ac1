// Package history records what happened in a lab run: every try of a client,
// every attempt that reached a clip server, every run of an effect, every word
// of discovery. All times are read from the lab's one monotonic clock, at the
// stand-in where the thing happened, so that no node's clock is believed.
//
// The rules are checked on a History by package judge.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Effect says what a second execution of a request would do.
type Effect string

// The three effects of the brief.
const (
	Safe   Effect = "safe"   // any number of runs
	Keyed  Effect = "keyed"  // a pod drops repeats of a key within Limits.KeyWindow
	Unsafe Effect = "unsafe" // must never run twice
)

// Class is one row of the brief's class table.
type Class struct {
	Name          string        `json:"name"`
	Share         float64       `json:"share"`    // of all first tries, 0 to 1
	WorkLow       time.Duration `json:"work_low"` // mean work on a core of speed 1 lies between these
	WorkHigh      time.Duration `json:"work_high"`
	TargetLatency time.Duration `json:"aim"`      // an answer later than this is worth nothing
	Deadline      time.Duration `json:"deadline"` // the client's total patience over all its tries
	Value         float64       `json:"worth"`
	Effect        Effect        `json:"effect"`
	Scope         Scope         `json:"scope,omitempty"`  // of a keyed one: whose servers know its keys
	DedupWindow   time.Duration `json:"window,omitempty"` // of a keyed one: how long; 0: Limits.KeyWindow
}

// Scope is whose servers share what keys they have met.
type Scope string

// The scopes.
const (
	PodScope    Scope = "" // those of a pod
	ZoneScope   Scope = "hall"
	GlobalScope Scope = "all"
)

// Limits are the figures of the four rules.
type Limits struct {
	Slack time.Duration `json:"slack"` // on every limit of time: what sockets may take
	// AnswerSlack is how long after its client's time an answer only earns nothing; 0: Slack.
	AnswerSlack time.Duration `json:"answer_slack,omitempty"`
	// AbandonSlack is how long after its client has left an attempt may still begin; 0: Slack.
	AbandonSlack      time.Duration `json:"leave_slack,omitempty"`
	DrainGrace        time.Duration `json:"drain_grace"` // after the word of a drain
	NotifyDeadline    time.Duration `json:"told_latest"` // a change counts as told so long after it could be asked for; 0: only when told
	KeyWindow         time.Duration `json:"key_window"`  // how long a pod remembers a key
	OverloadFactor    float64       `json:"fall_factor"` // multiple of a cold server's present capacity
	OverloadWindow    time.Duration `json:"fall_time"`   // the window over which it counts
	OverloadAllowance time.Duration `json:"fall_spare"`  // work that a window may hold beyond it: one request is no burst
	// OverloadNotifiedOnly counts a fall only if two thirds of the work came from nodes that had been told
	// of the start, as the brief words the rule; without it every fall counts. It wants Told
	// events that say when a server started.
	OverloadNotifiedOnly bool `json:"fall_told,omitempty"`
}

// Server is what the judge must know of a clip server.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"hall"`
	Kind string `json:"kind"`
	Pod  int    `json:"pod"`
}

// Node is a node of the run.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"hall"`
}

// Setup is what does not change during a run.
type Setup struct {
	Scenario string        `json:"scenario"`
	Seed     int64         `json:"seed"`
	Length   time.Duration `json:"length"` // of the load; the run goes on until all is answered
	Classes  []Class       `json:"classes"`
	Servers  []Server      `json:"servers"`
	Nodes    []Node        `json:"nodes"`
	Limits   Limits        `json:"limits"`
}

// Kind tells what an Event is.
type Kind string

// The kinds. The fields that each uses stand behind it.
const (
	OrderIssued           Kind = "ask"            // Order, Class: a client wants something, whether or not a node takes it
	Try                   Kind = "try"            // Order, Try, Class, Node, Number, Deadline: the request's last byte is written
	Answer                Kind = "answer"         // Try, Status, Server: the answer's last byte, or the end of waiting for it
	ExtraData             Kind = "extra"          // Try: more came on the connection behind the answer
	Attempt               Kind = "attempt"        // Try, Node, Server, Work, First, Verdict: its last byte reached a clip server
	EffectRun             Kind = "run"            // Try, Server, Work, Key: the effect began
	DuplicateDropped      Kind = "repeat"         // Try, Server, Key: dropped, as the pod had met the key
	Probe                 Kind = "probe"          // Node, Server, Work
	Connect               Kind = "connect"        // Node, Server: a connection came up
	Disconnect            Kind = "disconnect"     // Node, Server
	ServerStarted         Kind = "start"          // Server, Capacity, Cores, ColdFraction, WarmupTime: a process started
	ServerOverloaded      Kind = "fell"           // Server: pushed over
	DiscoveryChanged      Kind = "change"         // Server, Lifecycle: discovery knows, and may be asked
	NodeNotified          Kind = "told"           // Node, Server, Lifecycle: discovery's answer was written to that node
	NodeReady             Kind = "node-up"        // Node: it answered /up
	NodeTerminating       Kind = "node-term"      // Node: told to end
	NodeKilled            Kind = "node-kill"      // Node: killed outright
	NodeExited            Kind = "node-end"       // Node: it ended by itself
	DiscoveryCalled       Kind = "asked"          // Node: its call came to discovery
	DatagramFault         Kind = "hindered"       // Node: a datagram that it sent is lost, late or doubled on purpose
	NodeForceKilled       Kind = "node-over"      // Node: it still ran when its time to end was up, and was killed
	NodeCrashed           Kind = "node-crash"     // Node: it ended though nobody told it to
	ConfigReloaded        Kind = "reloaded"       // Node: a new configuration, with another address of discovery
	WatchSilenced         Kind = "silenced"       // Node: its open watch falls silent
	DescriptorsExhausted  Kind = "no-descriptors" // Node: its process gets no further descriptor for a while
	SystemCallsFailed     Kind = "calls-failed"   // Node, Note: system calls of its process have failed on purpose
	IdleConnectionsClosed Kind = "idle-close"     // Server: it closed its idle connections
	NodePaused            Kind = "node-stop"      // Node: it stands still
	NodeResumed           Kind = "node-cont"      // Node: it goes on
	PeerMessage           Kind = "message"        // Node, Bytes: a datagram to one receiver
	AnswerCorrupted       Kind = "spoilt"         // Try, Server: its answer is spoilt on purpose
	SlowRead              Kind = "slow"           // Try: its client reads the answer slowly
	DiscoveryReset        Kind = "forgot"         // discovery began again at a lower version
	FaultStarted          Kind = "fault"          // Note: a fault of the timeline begins
	FaultEnded            Kind = "fault-end"      // Note
)

// Status is how a try ended for its client.
type Status string

// The statuses.
const (
	Served           Status = "served"
	Refused          Status = "refused"     // 429 or 503
	Failed           Status = "failed"      // any other whole answer
	WrongContent     Status = "wrong"       // a 200 with what no clip server made for this try
	ConnectionBroken Status = "broken"      // the connection ended with no whole answer
	TimedOut         Status = "gave-up"     // nothing until the client's time was over
	Abandoned        Status = "left"        // the client went away early, of its own will
	Unreachable      Status = "unreachable" // no node took it
	CloseRace        Status = "crossed"     // its connection, between requests or unused, ended in that moment: nobody may have read it
)

// Verdict is what a clip server did with an attempt.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "taken"       // it may run
	Rejected Verdict = "turned-away" // answered with Not-Started: it never runs
)

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	At           time.Duration `json:"at"` // since the lab's start
	Kind         Kind          `json:"kind"`
	Order        string        `json:"order,omitempty"` // the client's request over all its tries
	Try          string        `json:"try,omitempty"`   // Request-Id
	Number       int           `json:"number,omitempty"`
	Class        string        `json:"class,omitempty"`
	Node         string        `json:"node,omitempty"`
	Server       string        `json:"server,omitempty"`
	Key          string        `json:"key,omitempty"`
	Status       Status        `json:"status,omitempty"`
	Verdict      Verdict       `json:"verdict,omitempty"`
	Lifecycle    string        `json:"lifecycle,omitempty"`
	Deadline     time.Duration `json:"deadline,omitempty"` // a point in time, like At
	FirstByteAt  time.Duration `json:"first,omitempty"`    // when the first byte was sent, less delay that the lab added
	StartedAt    time.Duration `json:"started,omitempty"`  // a point in time: when the server started, as told; where that is known
	Work         time.Duration `json:"work,omitempty"`     // on a core of speed 1
	Capacity     float64       `json:"capacity,omitempty"` // cores times speed, when warm
	Cores        int           `json:"cores,omitempty"`
	ColdFraction float64       `json:"cold_from,omitempty"`
	WarmupTime   time.Duration `json:"cold_time,omitempty"`
	Bytes        int           `json:"bytes,omitempty"`
	Note         string        `json:"note,omitempty"`
}

// History is one run.
type History struct {
	Setup  Setup
	Events []Event // in order of At
	Steps  uint64  // of a run in memory: what happened in the model; it is not written
}

// MaxEvents bounds a Recorder: about 200 MB, an hour of the brief's day.
const MaxEvents = 2_000_000

// Recorder collects events from many goroutines. Its zero value is ready.
type Recorder struct {
	mu      sync.Mutex
	events  []Event
	dropped int
	watch   func(Event)
}

// Observe calls f with every further event, under the recorder's lock. It must
// be set before the first Add.
func (r *Recorder) Observe(f func(Event)) { r.watch = f }

// Add records an event. Past MaxEvents it is counted and dropped.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watch != nil {
		r.watch(e)
	}
	if len(r.events) >= MaxEvents {
		r.dropped++
		return
	}
	r.events = append(r.events, e)
}

// Snapshot returns the events in order of time and how many were dropped.
func (r *Recorder) Snapshot() ([]Event, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]Event(nil), r.events...)
	Sort(out)
	return out, r.dropped
}

// Write writes a history as JSON lines, the setup first.
func (h *History) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	if err := enc.Encode(h.Setup); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	for i := range h.Events {
		if err := enc.Encode(&h.Events[i]); err != nil {
			return fmt.Errorf("history: %w", err)
		}
	}
	return b.Flush()
}

// Read reads what Write wrote. An event of a line that is cut short is an
// error that names the line.
func Read(r io.Reader) (*History, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	h := &History{}
	if err := dec.Decode(&h.Setup); err != nil {
		return nil, fmt.Errorf("history: line 1: %w", err)
	}
	for line := 2; ; line++ {
		var e Event
		if err := dec.Decode(&e); err == io.EOF {
			return h, nil
		} else if err != nil {
			return nil, fmt.Errorf("history: line %d: %w", line, err)
		}
		if len(h.Events) >= MaxEvents {
			return nil, fmt.Errorf("history: more than %d events", MaxEvents)
		}
		h.Events = append(h.Events, e)
	}
}
