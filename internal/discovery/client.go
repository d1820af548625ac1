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

// enqueue passes an event to run. It never blocks: run may be waiting for the goroutine that calls
// it.
func (d *Client) enqueue(event membership.Event) {
	d.mu.Lock()
	d.pending = append(slices.DeleteFunc(d.pending, func(queued membership.Event) bool { return reflect.TypeOf(queued) == reflect.TypeOf(event) }), event)
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
		case result := <-d.callResult:
			switch result.failure {
			case NoFailure:
				d.handle(membership.Answered{Call: result.id, Full: result.list.Full, Generation: result.list.Generation}, result)
			case Rejected:
				d.handle(membership.Failed{Call: result.id, Reason: membership.Rejected}, result)
			default:
				d.handle(membership.Failed{Call: result.id, Reason: membership.Unanswered}, result)
			}
		case <-d.wake:
			d.mu.Lock()
			pending := d.pending
			d.pending = nil
			d.mu.Unlock()
			for _, event := range pending {
				d.handle(event, callResult{})
			}
		}
	}
}

// handle passes an event to the poller, with the result of a call if there is one, and carries out
// the resulting actions.
func (d *Client) handle(event membership.Event, result callResult) {
	for _, action := range d.poller.Handle(time.Since(d.start), event) {
		switch action := action.(type) {
		case membership.Call:
			ctx, cancel := context.WithTimeout(d.ctx, action.Timeout)
			d.cancelCall[action.ID] = cancel
			go func() {
				defer cancel()
				list, failure := d.call(ctx, action)
				select {
				case d.callResult <- callResult{action.ID, list, failure}:
				case <-d.ctx.Done():
				}
			}()
		case membership.Cancel:
			d.cancelCall[action.ID]()
			delete(d.cancelCall, action.ID)
		case membership.Accept:
			delete(d.cancelCall, action.Call)
			kind := balance.ListChanges
			if result.list.Full {
				kind = balance.ListFull
			}
			d.publish(Update{Kind: kind, List: result.list, Source: d})
		case membership.WatchLost:
			failure := result.failure
			switch event.(type) {
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
