// Package discovery requests the list of servers from the platform's discovery and decodes its
// answers. Package membership decides when it is called and which answers are valid.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ivylock/balance"
	"ivylock/membership"
)

const (
	// dialTimeout bounds connecting: a connection attempt begun while discovery was unreachable may
	// complete only seconds after its recovery.
	dialTimeout  = time.Second
	maxListBytes = 4 << 20 // longer answers are cut off
)

// Entry is a server in discovery's format.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // a key of LifecycleStates
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time in ms; 0: unknown
}

// List is an answer of discovery: the full list (Full) or the changes.
type List struct {
	Generation uint64
	Full       bool
	Instances  []Entry
	Skipped    int // entries that could not be decoded
	// Date is discovery's clock at the time of the answer (HTTP's Date, whole seconds); zero if
	// unknown.
	Date time.Time
}

// LifecycleStates maps discovery's lifecycle values to the states of the decision module.
var LifecycleStates = map[string]balance.ServerState{
	"up": balance.Ready, "draining": balance.Draining, "removed": balance.Removed,
}

// ParseList decodes an answer of discovery. It skips malformed entries; a list without generation
// or instances is an error.
func ParseList(raw []byte) (List, error) {
	var message struct {
		Generation *uint64            `json:"generation"`
		Reset      bool               `json:"reset"`
		Instances  *[]json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(raw, &message); err != nil {
		return List{}, err
	}
	if message.Generation == nil || message.Instances == nil {
		// Guards against an empty object that would remove all servers.
		return List{}, errors.New("generation or instances are missing")
	}
	list := List{Generation: *message.Generation, Full: message.Reset}
	for _, raw := range *message.Instances {
		if e, ok := parseEntry(raw); ok {
			list.Instances = append(list.Instances, e)
		} else {
			list.Skipped++
		}
	}
	return list, nil
}

// parseEntry decodes an entry. An entry of a server that is up must be complete; one of a draining
// or removed server counts despite other errors: guards against sending requests to a server that
// was announced as leaving.
func parseEntry(raw []byte) (entry Entry, ok bool) {
	err := json.Unmarshal(raw, &entry)
	state, known := LifecycleStates[entry.Lifecycle]
	if entry.InstanceID == "" || !known {
		return entry, false
	}
	if state != balance.Ready {
		return entry, true
	}
	if err != nil {
		return entry, false
	}
	_, _, err = net.SplitHostPort(entry.HostPort)
	return entry, err == nil
}

// Failure is why a call to discovery returned no list.
type Failure int

const (
	// NoFailure: the call returned a list.
	NoFailure Failure = iota
	// Unanswered: discovery could not be reached or did not answer.
	Unanswered
	// Rejected: discovery answered that it accepts no more calls, or with another error.
	Rejected
	// Truncated: the answer was cut short.
	Truncated
	// Unreadable: the answer was complete but is not a list.
	Unreadable
	// NumFailures is the number of values above, including NoFailure.
	NumFailures
)

// call makes one call and returns its list or why there is none.
func (d *Client) call(ctx context.Context, poll membership.Call) (List, Failure) {
	query := ""
	if !poll.Full {
		query = "?" + url.Values{"from": {strconv.FormatUint(poll.From, 10)}, "hold_ms": {strconv.FormatInt(poll.PollWait.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.baseURL+query, nil)
	if err != nil {
		return List{}, Unanswered
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		return List{}, Unanswered
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, Rejected
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return List{}, Truncated
	}
	list, err := ParseList(raw)
	if err != nil {
		return List{}, Unreadable
	}
	if date, err := http.ParseTime(resp.Header.Get("Date")); err == nil {
		list.Date = date
	}
	return list, NoFailure
}
