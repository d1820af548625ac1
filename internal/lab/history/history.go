// Package history records what happened in a lab run: every try of a client, every attempt that
// reached a clip server, every run of an effect, every notification by discovery. All times are
// read from the lab's one monotonic clock, in the stand-in where the event happened, so they do not
// depend on any node's clock.
//
// Package judge checks the rules on a History.
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

// The effects.
const (
	Safe   Effect = "safe"   // may run any number of times
	Keyed  Effect = "keyed"  // a pod drops repeats of a key within Limits.KeyWindow
	Unsafe Effect = "unsafe" // must never run twice
)

// Class describes one class of requests.
type Class struct {
	Name          string        `json:"name"`
	Share         float64       `json:"share"`    // of all first tries, 0 to 1
	WorkLow       time.Duration `json:"work_low"` // the mean work on a core of speed 1 lies between these two
	WorkHigh      time.Duration `json:"work_high"`
	TargetLatency time.Duration `json:"aim"`      // a later answer has no value
	Deadline      time.Duration `json:"deadline"` // of the client, over all its tries
	Value         float64       `json:"worth"`
	Effect        Effect        `json:"effect"`
	Scope         Scope         `json:"scope,omitempty"`  // of a keyed class: which servers share its keys
	DedupWindow   time.Duration `json:"window,omitempty"` // of a keyed class; 0: Limits.KeyWindow
}

// Scope says which servers share the keys that they have seen.
type Scope string

// The scopes.
const (
	PodScope    Scope = "" // the servers of a pod
	ZoneScope   Scope = "hall"
	GlobalScope Scope = "all"
)

// Limits holds the parameters of the four rules.
type Limits struct {
	Slack time.Duration `json:"slack"` // tolerance of every time limit, for delays of sockets
	// AnswerSlack is how late an answer may be before it breaks a rule; until then it only has no
	// value. 0: Slack.
	AnswerSlack time.Duration `json:"answer_slack,omitempty"`
	// AbandonSlack is how long after its client has left an attempt may still begin; 0: Slack.
	AbandonSlack time.Duration `json:"leave_slack,omitempty"`
	DrainGrace   time.Duration `json:"drain_grace"` // after a node was notified of a drain
	// NotifyDeadline is the time after a change from which a node counts as notified of it, even if
	// it did not ask discovery; 0: only when notified.
	NotifyDeadline    time.Duration `json:"told_latest"`
	KeyWindow         time.Duration `json:"key_window"`  // how long a pod remembers a key
	OverloadFactor    float64       `json:"fall_factor"` // multiple of a cold server's present capacity
	OverloadWindow    time.Duration `json:"fall_time"`   // over which the work is summed
	OverloadAllowance time.Duration `json:"fall_spare"`  // work that a window may hold beyond the limit
	// OverloadNotifiedOnly counts an overload only if two thirds of the work came from nodes that
	// had been notified of the start; without it every overload counts. It needs NodeNotified
	// events that say when a server started.
	OverloadNotifiedOnly bool `json:"fall_told,omitempty"`
}

// Server describes a clip server to the judge.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"hall"`
	Kind string `json:"kind"`
	Pod  int    `json:"pod"`
}

// Node describes a node of the run.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"hall"`
}

// Setup holds what does not change during a run.
type Setup struct {
	Scenario string        `json:"scenario"`
	Seed     int64         `json:"seed"`
	Length   time.Duration `json:"length"` // of the load; the run goes on until all requests have ended
	Classes  []Class       `json:"classes"`
	Servers  []Server      `json:"servers"`
	Nodes    []Node        `json:"nodes"`
	Limits   Limits        `json:"limits"`
}

// Kind is the kind of an Event.
type Kind string

// The kinds, each with the fields that it uses.
const (
	OrderIssued           Kind = "ask"            // Order, Class: issued, even if no node accepts it
	Try                   Kind = "try"            // Order, Try, Class, Node, Number, Deadline: its last byte is written
	Answer                Kind = "answer"         // Try, Status, Server: the end of the try for its client
	ExtraData             Kind = "extra"          // Try: further bytes followed the answer on the connection
	Attempt               Kind = "attempt"        // Try, Node, Server, Work, FirstByteAt, Verdict: a server has read it
	EffectRun             Kind = "run"            // Try, Server, Work, Key: the effect began
	DuplicateDropped      Kind = "repeat"         // Try, Server, Key: dropped, as the pod had seen the key
	Probe                 Kind = "probe"          // Node, Server, Work
	Connect               Kind = "connect"        // Node, Server: a connection was established
	Disconnect            Kind = "disconnect"     // Node, Server
	ServerStarted         Kind = "start"          // Server, Capacity, Cores, ColdFraction, WarmupTime: of a process
	ServerOverloaded      Kind = "fell"           // Server: a cold server went down under too much work
	DiscoveryChanged      Kind = "change"         // Server, Lifecycle: known to discovery from now on
	NodeNotified          Kind = "told"           // Node, Server, Lifecycle: discovery's answer was written to the node
	NodeReady             Kind = "node-up"        // Node: it answered /up
	NodeTerminating       Kind = "node-term"      // Node: asked to shut down
	NodeKilled            Kind = "node-kill"      // Node: killed at once
	NodeExited            Kind = "node-end"       // Node: it exited by itself
	DiscoveryCalled       Kind = "asked"          // Node: its call reached discovery
	DatagramFault         Kind = "hindered"       // Node: its datagram is lost, delayed or duplicated
	NodeForceKilled       Kind = "node-over"      // Node: killed, as it had not exited within its time to shut down
	NodeCrashed           Kind = "node-crash"     // Node: it exited without being asked to
	ConfigReloaded        Kind = "reloaded"       // Node: a new configuration, with another address of discovery
	WatchSilenced         Kind = "silenced"       // Node: its open watch receives nothing more
	DescriptorsExhausted  Kind = "no-descriptors" // Node: its process gets no further file descriptor for a while
	SystemCallsFailed     Kind = "calls-failed"   // Node, Note: system calls of its process were made to fail
	IdleConnectionsClosed Kind = "idle-close"     // Server: it closed its idle connections
	NodePaused            Kind = "node-stop"      // Node: its process is paused
	NodeResumed           Kind = "node-cont"      // Node: its process continues
	PeerMessage           Kind = "message"        // Node, Bytes: a datagram to one receiver
	AnswerCorrupted       Kind = "spoilt"         // Try, Server: its answer is corrupted by a fault
	LateBody              Kind = "late-body"      // Try, Node, Server: the head of its answer is written, its body follows later
	BodyCutOff            Kind = "cut-off"        // Try, Node, Server: the connection ended before the late body was written
	SlowRead              Kind = "slow"           // Try: its client reads the answer slowly
	DiscoveryReset        Kind = "forgot"         // discovery restarted at a lower version
	FaultStarted          Kind = "fault"          // Note: a fault of the scenario begins
	FaultEnded            Kind = "fault-end"      // Note
)

// Status is how a try ended for its client.
type Status string

// The statuses.
const (
	Served           Status = "served"
	Refused          Status = "refused"     // 429 or 503
	Failed           Status = "failed"      // any other complete answer
	WrongContent     Status = "wrong"       // a 200 whose body no clip server made for this try
	ConnectionBroken Status = "broken"      // the connection ended without a complete answer
	TimedOut         Status = "gave-up"     // no answer within the client's time
	Abandoned        Status = "left"        // the client disconnected early, by its own choice
	Unreachable      Status = "unreachable" // no node accepted it
	CloseRace        Status = "crossed"     // the node closed the connection during sending; request perhaps unread
)

// Verdict is what a clip server did with an attempt.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "taken"       // it may run
	Rejected Verdict = "turned-away" // answered with Not-Started: it never runs
)

// Event is one thing that happened. Kind decides which fields apply.
type Event struct {
	At           time.Duration `json:"at"` // since the start of the lab
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
	FirstByteAt  time.Duration `json:"first,omitempty"`    // when it was sent, without delay added by the lab
	StartedAt    time.Duration `json:"started,omitempty"`  // of the server, as notified; 0: unknown
	Work         time.Duration `json:"work,omitempty"`     // on a core of speed 1
	Capacity     float64       `json:"capacity,omitempty"` // of a warm server: cores times speed
	Cores        int           `json:"cores,omitempty"`
	ColdFraction float64       `json:"cold_from,omitempty"`
	WarmupTime   time.Duration `json:"cold_time,omitempty"`
	Bytes        int           `json:"bytes,omitempty"`
	Note         string        `json:"note,omitempty"`
}

// History is the record of one run.
type History struct {
	Setup  Setup
	Events []Event // in order of At
	Steps  uint64  // steps of the model in an in-memory run; not written
}

// MaxEvents bounds a Recorder to about 200 MB.
const MaxEvents = 2_000_000

// Recorder collects events from several goroutines. Its zero value is ready to use.
type Recorder struct {
	mu       sync.Mutex
	events   []Event
	dropped  int
	observer func(Event)
}

// Observe calls observer with every event, under the recorder's lock. It must be called before the
// first Add.
func (r *Recorder) Observe(observer func(Event)) { r.observer = observer }

// Add records an event. Events beyond MaxEvents are counted and dropped.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.observer != nil {
		r.observer(e)
	}
	if len(r.events) >= MaxEvents {
		r.dropped++
		return
	}
	r.events = append(r.events, e)
}

// Snapshot returns the events in order of time and the number of dropped ones.
func (r *Recorder) Snapshot() ([]Event, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := append([]Event(nil), r.events...)
	Sort(events)
	return events, r.dropped
}

// Write writes a history as JSON lines, the setup first.
func (h *History) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(h.Setup); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	for i := range h.Events {
		if err := encoder.Encode(&h.Events[i]); err != nil {
			return fmt.Errorf("history: %w", err)
		}
	}
	return buffered.Flush()
}

// Read reads a history that Write wrote. A truncated or invalid line is an error that names the line.
func Read(r io.Reader) (*History, error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	h := &History{}
	if err := decoder.Decode(&h.Setup); err != nil {
		return nil, fmt.Errorf("history: line 1: %w", err)
	}
	for line := 2; ; line++ {
		var e Event
		if err := decoder.Decode(&e); err == io.EOF {
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
