// Package wire translates between the simulator's JSON lines and the types of package
// balance.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"ivylock/balance"
	"ivylock/internal/loadreport"
	"ivylock/internal/settings"
)

// Outcome codes on the wire.
const (
	codeOK            = 0
	codeCancelled     = 1
	codeTimeout       = 4
	codeFull          = 8
	codeMoot          = 9
	codeReset         = 10
	codeError         = 13
	codeConnectFailed = 14
)

// Bits of the flags of a submit event.
const (
	flagWorkHint    = 1
	flagClientRetry = 2
	flagWrite       = 4
)

var outcomeCodes = map[int]balance.OutcomeCode{
	codeOK: balance.OK, codeCancelled: balance.Cancelled, codeTimeout: balance.TimedOut, codeFull: balance.Full,
	codeMoot: balance.Moot, codeReset: balance.Reset, codeError: balance.ServerError,
	codeConnectFailed: balance.ConnectFailed,
}

// Start is the `up` event, which starts an instance.
type Start struct {
	Settings balance.Settings
	Seed     int64
}

// InstanceEvent is one event of an instance: its start, its end, or an event for its decider.
type InstanceEvent struct {
	Start  *Start
	Retire bool
	Event  balance.Event
}

// Group holds the events of one instance.
type Group struct {
	Node   int
	Events []InstanceEvent
}

// Batch is one line from the simulator.
type Batch struct {
	Now    balance.Time // simulated time
	Groups []Group
}

// DecodeBatch parses one line.
func DecodeBatch(line []byte) (Batch, error) {
	var in struct {
		Now    *int64 `json:"sim_time_ns"`
		Groups []struct {
			Node     *int                         `json:"node_id"`
			Happened []map[string]json.RawMessage `json:"happened"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &in); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if in.Now == nil {
		return Batch{}, errors.New("batch: sim_time_ns is missing")
	}
	batch := Batch{Now: time.Duration(*in.Now)}
	for i, g := range in.Groups {
		if g.Node == nil {
			return Batch{}, fmt.Errorf("group %d: node_id is missing", i)
		}
		out := Group{Node: *g.Node}
		for j, ev := range g.Happened {
			position := fmt.Sprintf("node %d, event %d", *g.Node, j)
			if len(ev) != 1 {
				return Batch{}, fmt.Errorf("%s: want one key, have %d", position, len(ev))
			}
			for name, raw := range ev {
				event, err := decodeEvent(name, raw)
				if err != nil {
					return Batch{}, fmt.Errorf("%s, %s: %w", position, name, err)
				}
				out.Events = append(out.Events, event)
			}
		}
		batch.Groups = append(batch.Groups, out)
	}
	return batch, nil
}

type missingField string

func (m missingField) Error() string { return string(m) + " is missing" }

type listEntry struct {
	Backend *uint32 `json:"backend"`
	Zone    string  `json:"zone"`
	Model   string  `json:"model"`
	Pod     int     `json:"pod"`
	State   string  `json:"state"`
	Nominal float64 `json:"nominal"`
	ReadyAt int64   `json:"ready_at_ns"`
}

func decodeEvent(name string, raw json.RawMessage) (InstanceEvent, error) {
	switch name {
	case "submit":
		var e struct {
			Req      *string `json:"req"`
			Band     string  `json:"band"`
			Group    any     `json:"user_group"`
			Key      string  `json:"partition_key"`
			Patience *int64  `json:"patience_left_ns"`
			Cost     int64   `json:"cost_guess_ns"`
			Flags    int     `json:"flags"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return InstanceEvent{}, err
		}
		if e.Req == nil {
			return InstanceEvent{}, missingField("req")
		}
		if e.Patience == nil {
			return InstanceEvent{}, missingField("patience_left_ns")
		}
		tenant, _ := e.Group.(string)
		return InstanceEvent{Event: balance.RequestArrived{ID: balance.RequestID(*e.Req), Class: e.Band, Tenant: tenant,
			Key: e.Key, ClientTimeout: time.Duration(*e.Patience), WorkHint: time.Duration(e.Cost),
			HasHint: e.Flags&flagWorkHint != 0, ClientRetry: e.Flags&flagClientRetry != 0, Write: e.Flags&flagWrite != 0}}, nil
	case "attempt_end", "probe_result", "streaming":
		return decodeOutcome(name, raw)
	case "due":
		var e struct {
			Label *int64 `json:"label"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return InstanceEvent{}, err
		}
		if e.Label == nil {
			return InstanceEvent{}, missingField("label")
		}
		return InstanceEvent{Event: balance.TimerFired{Token: *e.Label}}, nil
	case "abandoned":
		var e struct {
			Req *string `json:"req"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return InstanceEvent{}, err
		}
		if e.Req == nil {
			return InstanceEvent{}, missingField("req")
		}
		return InstanceEvent{Event: balance.RequestAbandoned{ID: balance.RequestID(*e.Req)}}, nil
	case "note_from":
		var e struct {
			From  *int   `json:"from"`
			Bytes []byte `json:"bytes"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return InstanceEvent{}, err
		}
		if e.From == nil {
			return InstanceEvent{}, missingField("from")
		}
		return InstanceEvent{Event: balance.MessageReceived{From: *e.From, Data: e.Bytes}}, nil
	case "roster_change":
		return decodeList(raw)
	case "up":
		return decodeStart(raw)
	case "retire":
		return InstanceEvent{Retire: true}, nil
	}
	return InstanceEvent{}, errors.New("unknown event")
}

func decodeOutcome(name string, raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Req         *string                    `json:"req"`
		Leg         *int                       `json:"leg"`
		Backend     *uint32                    `json:"backend"`
		Over        bool                       `json:"over"`
		Delay       int64                      `json:"delay_seen_ns"`
		Disposition *int                       `json:"disposition"`
		Feedback    map[string]json.RawMessage `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Backend == nil {
		return InstanceEvent{}, missingField("backend")
	}
	server, elapsed := balance.ServerID(*e.Backend), time.Duration(e.Delay)
	var id balance.RequestID
	if name != "probe_result" {
		if e.Req == nil {
			return InstanceEvent{}, missingField("req")
		}
		if e.Leg == nil {
			return InstanceEvent{}, missingField("leg")
		}
		id = balance.RequestID(*e.Req)
	}
	if name == "streaming" {
		return InstanceEvent{Event: balance.StreamStarted{ID: id, Attempt: *e.Leg, Server: server, Elapsed: elapsed}}, nil
	}
	if e.Disposition == nil {
		return InstanceEvent{}, missingField("disposition")
	}
	code, ok := outcomeCodes[*e.Disposition]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown disposition %d", *e.Disposition)
	}
	report := decodeReport(e.Feedback)
	if name == "probe_result" {
		return InstanceEvent{Event: balance.ProbeEnded{Server: server, Code: code, Elapsed: elapsed, Report: report}}, nil
	}
	return InstanceEvent{Event: balance.AttemptEnded{ID: id, Attempt: *e.Leg, Server: server, RequestDone: e.Over,
		Elapsed: elapsed, Code: code, Report: report}}, nil
}

// decodeReport decodes a load report. It ignores unknown keys and returns nil if no key is
// known.
func decodeReport(values map[string]json.RawMessage) *balance.Report {
	var r loadreport.Builder
	for name, raw := range values {
		r.Add(name, string(raw))
	}
	return r.Report()
}

var listKinds = map[string]balance.ListKind{
	"D": balance.ListChanges, "F": balance.ListFull, "C": balance.ListCached, "X": balance.ListFailed,
}

var serverStates = map[string]balance.ServerState{
	"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Removed,
}

func decodeList(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		How     string      `json:"how"`
		Version uint64      `json:"version"`
		Items   []listEntry `json:"items"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	kind, ok := listKinds[e.How]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown how %q", e.How)
	}
	update := balance.ListUpdate{Kind: kind, Version: e.Version}
	for i, item := range e.Items {
		if item.Backend == nil {
			return InstanceEvent{}, fmt.Errorf("entry %d: %w", i, missingField("backend"))
		}
		state, ok := serverStates[item.State]
		if !ok {
			return InstanceEvent{}, fmt.Errorf("entry %d: unknown state %q", i, item.State)
		}
		update.Entries = append(update.Entries, balance.Server{ID: balance.ServerID(*item.Backend), Zone: item.Zone, Kind: item.Model,
			Cell: item.Pod, State: state, Size: item.Nominal, StartedAt: time.Duration(item.ReadyAt)})
	}
	return InstanceEvent{Event: update}, nil
}

func decodeStart(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Seed    *json.Number    `json:"seed"`
		Profile json.RawMessage `json:"profile_data"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Seed == nil {
		return InstanceEvent{}, missingField("seed")
	}
	if len(e.Profile) == 0 || string(e.Profile) == "null" {
		return InstanceEvent{}, missingField("profile_data")
	}
	seed, err := strconv.ParseUint(e.Seed.String(), 10, 64)
	if err != nil {
		f, floatErr := e.Seed.Float64()
		if floatErr != nil {
			return InstanceEvent{}, fmt.Errorf("seed: %w", err)
		}
		seed = math.Float64bits(f)
	}
	s, err := settings.Decode(e.Profile)
	if err != nil {
		return InstanceEvent{}, fmt.Errorf("profile_data: %w", err)
	}
	return InstanceEvent{Start: &Start{Settings: s, Seed: int64(seed)}}, nil
}
