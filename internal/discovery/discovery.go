// Package discovery calls the platform's discovery for the list of servers, as the
// protocol page says, and reads what it answers. When it is called, and which answer
// holds, package membership decides.
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
	dialTimeout  = time.Second // for a connection: one that was begun while discovery was cut off may come up seconds after its return
	maxListBytes = 4 << 20
)

// Entry is a backend in discovery's form.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// List is an answer of discovery: the whole list (Reset) or what changed.
type List struct {
	Generation uint64
	Full       bool
	Instances  []Entry
	Skipped    int // entries that could not be read
	// Date is discovery's own time when it answered (HTTP's Date, whole seconds);
	// zero if it told none.
	Date time.Time
}

// LifecycleStates are discovery's words for what the decision module knows.
var LifecycleStates = map[string]balance.ServerState{
	"up": balance.Ready, "draining": balance.Draining, "removed": balance.Removed,
}

// ParseList reads an answer of discovery. It skips malformed entries; a list without its frame is an error.
func ParseList(raw []byte) (List, error) {
	var in struct {
		Generation *uint64            `json:"generation"`
		Reset      bool               `json:"reset"`
		Instances  *[]json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return List{}, err
	}
	if in.Generation == nil || in.Instances == nil {
		// Guards against an empty object that would empty the fleet.
		return List{}, errors.New("generation or instances are missing")
	}
	l := List{Generation: *in.Generation, Full: in.Reset}
	for _, raw := range *in.Instances {
		if e, ok := parseEntry(raw); ok {
			l.Instances = append(l.Instances, e)
		} else {
			l.Skipped++
		}
	}
	return l, nil
}

// parseEntry reads an entry. A server that is up needs all of it; that one drains or is
// gone counts whatever else is wrong with its entry: guards against sending to a server
// that was announced as leaving.
func parseEntry(raw []byte) (e Entry, ok bool) {
	err := json.Unmarshal(raw, &e)
	state, known := LifecycleStates[e.Lifecycle]
	if e.InstanceID == "" || !known {
		return e, false
	}
	if state != balance.Ready {
		return e, true
	}
	if err != nil {
		return e, false
	}
	_, _, err = net.SplitHostPort(e.HostPort)
	return e, err == nil
}

// Failure says why a call to discovery brought no list.
type Failure int

const (
	// NoFailure: it brought one.
	NoFailure Failure = iota
	// Unanswered: it could not be called or did not answer.
	Unanswered
	// Rejected: it answered that it takes no more calls, or with another error.
	Rejected
	// Truncated: its answer broke off.
	Truncated
	// Unreadable: its answer was whole and is no list.
	Unreadable
	NumFailures
)

// call makes one call.
func (d *Client) call(ctx context.Context, c membership.Call) (List, Failure) {
	query := ""
	if !c.Full {
		query = "?" + url.Values{"from": {strconv.FormatUint(c.From, 10)}, "hold_ms": {strconv.FormatInt(c.PollWait.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.base+query, nil)
	if err != nil {
		return List{}, Unanswered
	}
	resp, err := d.client.Do(req)
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
