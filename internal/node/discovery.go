package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"barrowscale/balance"
)

const (
	watchHold    = 10 * time.Second        // how long one call of a watch may wait for news: one call more costs nothing
	callTimeout  = 2200 * time.Millisecond // beyond its hold; discovery itself gives up after 2 s
	watchPause   = 20 * time.Millisecond   // between calls of a watch, which ends after 200 ms without one
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
	Reset      bool
	Instances  []Entry
}

var lifecycles = map[string]balance.ServerState{
	"up": balance.Ready, "draining": balance.Draining, "removed": balance.Gone,
}

// parseList skips malformed entries; a list without its frame is an error.
func parseList(raw []byte) (List, error) {
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
	l := List{Generation: *in.Generation, Reset: in.Reset}
	for _, raw := range *in.Instances {
		var e Entry
		if json.Unmarshal(raw, &e) != nil || e.InstanceID == "" {
			continue
		}
		state, known := lifecycles[e.Lifecycle]
		if !known || state != balance.Gone && e.HostPort == "" {
			continue
		}
		l.Instances = append(l.Instances, e)
	}
	return l, nil
}

// listNews is what a call to discovery brought; failed says it brought nothing.
type listNews struct {
	kind balance.ListKind
	list List
	from *discovery // nil: from the configuration
}

// discovery asks for the list and watches it. Its methods are for the loop;
// what the calls bring goes to the loop's events.
type discovery struct {
	base    string
	client  *http.Client
	post    func(any)
	version uint64
	ctx     context.Context // of all calls
	end     context.CancelFunc
	stop    context.CancelFunc // of the watch that runs, if any
}

func newDiscovery(addr string, version uint64, post func(any)) *discovery {
	ctx, end := context.WithCancel(context.Background())
	return &discovery{base: "http://" + addr + "/discovery/hosts", post: post, version: version, ctx: ctx, end: end,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 4}}}
}

// close ends all calls and gives up their connections.
func (d *discovery) close() {
	d.end()
	d.client.CloseIdleConnections()
}

// subscribe starts or ends the watch. One that runs already goes on: its
// next answer, or its failure, is the answer to the new call too.
func (d *discovery) subscribe(on bool) {
	if !on && d.stop != nil {
		d.stop()
		d.stop = nil
	}
	if on && d.stop == nil {
		ctx, cancel := context.WithCancel(d.ctx)
		d.stop = cancel
		go d.watch(ctx, d.version)
	}
}

// watch calls until a call fails. The first call does not wait, as the module
// wants to know whether its subscription stands.
func (d *discovery) watch(ctx context.Context, version uint64) {
	for hold := time.Duration(0); ; hold = watchHold {
		q := url.Values{"from": {strconv.FormatUint(version, 10)}, "hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}
		list, err := d.call(ctx, "?"+q.Encode(), hold)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.post(listNews{kind: balance.ListFailed, from: d})
			return
		}
		version = list.Generation
		d.post(listNews{kind: kindOf(list), list: list, from: d})
		time.Sleep(watchPause) // guards against a busy loop if discovery answers at once
	}
}

// fetch asks for the whole list once.
func (d *discovery) fetch() {
	go func() {
		list, err := d.call(d.ctx, "", 0)
		if err != nil {
			d.post(listNews{kind: balance.ListFailed, from: d})
			return
		}
		d.post(listNews{kind: kindOf(list), list: list, from: d})
	}()
}

func kindOf(l List) balance.ListKind {
	if l.Reset {
		return balance.ListFull
	}
	return balance.ListChanges
}

// call makes one call. Its time-out guards against a discovery that has gone
// silent: what it would have told counts as told 2 s after the hold.
func (d *discovery) call(ctx context.Context, query string, hold time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.base+query, nil)
	if err != nil {
		return List{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("discovery: %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	return parseList(raw)
}
