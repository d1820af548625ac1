package discovery

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"ivylock/balance"
	"ivylock/membership"
)

// Update is the outcome of a call to discovery; a Kind of ListFailed means that it returned no
// list.
type Update struct {
	Kind    balance.ListKind
	Failure Failure // if Kind is ListFailed
	List    List
	Source  *Client // nil: from the configuration
}

// Client polls one source of the list: it carries out the actions of a membership.Poller on its own
// goroutine and passes accepted updates to publish in order.
type Client struct {
	baseURL    string
	httpClient *http.Client
	publish    func(Update)
	ctx        context.Context // parent of all calls
	cancelAll  context.CancelFunc
	start      time.Time
	poller     *membership.Poller // used by run only
	cancelCall map[membership.CallID]context.CancelFunc
	callResult chan callResult
	wake       chan struct{} // signals that pending is not empty

	mu      sync.Mutex
	pending []membership.Event // not yet handled by run; a later event replaces an earlier one of the same type
}

// callResult is the outcome of a call.
type callResult struct {
	id      membership.CallID
	list    List
	failure Failure
}

// New returns a client for discovery at an address and starts polling.
func New(addr string, settings membership.Settings, initial membership.InitialState, publish func(Update)) *Client {
	d := newClient(addr, settings, initial, publish)
	go d.run()
	return d
}

func newClient(addr string, settings membership.Settings, initial membership.InitialState, publish func(Update)) *Client {
	ctx, cancelAll := context.WithCancel(context.Background())
	return &Client{baseURL: "http://" + addr + "/discovery/hosts", publish: publish, ctx: ctx, cancelAll: cancelAll, start: time.Now(),
		httpClient: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}},
		poller:     membership.NewPoller(settings, initial, 0), cancelCall: map[membership.CallID]context.CancelFunc{}, callResult: make(chan callResult), wake: make(chan struct{}, 1)}
}

// RestartWatch starts a new watch at once: the result of the current one is no longer trusted.
func (d *Client) RestartWatch() { d.enqueue(membership.RestartRequested{}) }

// HedgeWatch makes a second call beside the watch, which may have stalled.
func (d *Client) HedgeWatch() { d.enqueue(membership.HedgeRequested{}) }

// SetNodes sets the current number of equal nodes that call the same discovery.
func (d *Client) SetNodes(nodes float64) { d.enqueue(membership.NodesChanged{Nodes: nodes}) }

// enqueue never blocks: run may be waiting for the goroutine that calls it.
func (d *Client) enqueue(e membership.Event) {
	d.mu.Lock()
	d.pending = append(slices.DeleteFunc(d.pending, func(x membership.Event) bool { return reflect.TypeOf(x) == reflect.TypeOf(e) }), e)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Close cancels all calls and closes their connections. Updates already on their way may still be
// published.
func (d *Client) Close() {
	d.cancelAll()
	d.httpClient.CloseIdleConnections()
}

func (d *Client) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(d.start.Add(d.poller.Next())))
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
			d.handle(membership.Ticked{}, callResult{})
		case a := <-d.callResult:
			switch a.failure {
			case NoFailure:
				d.handle(membership.Answered{Call: a.id, Full: a.list.Full, Generation: a.list.Generation}, a)
			case Rejected:
				d.handle(membership.Failed{Call: a.id, Reason: membership.Rejected}, a)
			default:
				d.handle(membership.Failed{Call: a.id, Reason: membership.Unanswered}, a)
			}
		case <-d.wake:
			d.mu.Lock()
			pending := d.pending
			d.pending = nil
			d.mu.Unlock()
			for _, e := range pending {
				d.handle(e, callResult{})
			}
		}
	}
}

// handle passes an event to the poller, with the result of a call if there is one, and carries out
// the resulting actions.
func (d *Client) handle(e membership.Event, result callResult) {
	for _, a := range d.poller.Handle(time.Since(d.start), e) {
		switch a := a.(type) {
		case membership.Call:
			ctx, cancel := context.WithTimeout(d.ctx, a.Timeout)
			d.cancelCall[a.ID] = cancel
			go func() {
				defer cancel()
				list, failure := d.call(ctx, a)
				select {
				case d.callResult <- callResult{a.ID, list, failure}:
				case <-d.ctx.Done():
				}
			}()
		case membership.Cancel:
			d.cancelCall[a.ID]()
			delete(d.cancelCall, a.ID)
		case membership.Accept:
			delete(d.cancelCall, a.Call)
			kind := balance.ListChanges
			if result.list.Full {
				kind = balance.ListFull
			}
			d.publish(Update{Kind: kind, List: result.list, Source: d})
		case membership.WatchLost:
			failure := result.failure
			switch e.(type) {
			case membership.Answered: // it was not the full list that was requested
				failure = Unreadable
			case membership.Ticked:
				failure = Unanswered // timed out
			}
			d.publish(Update{Kind: balance.ListFailed, Failure: failure, Source: d})
		}
	}
	delete(d.cancelCall, result.id)
}
