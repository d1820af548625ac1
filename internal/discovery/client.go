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

// Update is what a call to discovery brought; a Kind of ListFailed says that it
// brought nothing.
type Update struct {
	Kind    balance.ListKind
	Failure Failure // of ListFailed
	List    List
	Source  *Client // nil: from the configuration
}

// Client keeps one source of the list: it carries out what a membership.Poller wants, on
// a goroutine of its own, and hands what holds to post, in order.
type Client struct {
	base   string
	client *http.Client
	post   func(Update)
	ctx    context.Context // of all calls
	end    context.CancelFunc
	start  time.Time
	caller *membership.Poller // run's
	calls  map[membership.CallID]context.CancelFunc
	came   chan came
	poke   chan struct{} // something is wanted

	mu    sync.Mutex
	wants []membership.Event // that the goroutine has not seen yet; a later one of a kind replaces an earlier one
}

// came is what a call brought.
type came struct {
	id   membership.CallID
	list List
	why  Failure
}

// New makes a client for discovery at an address, and calls it from then on.
func New(addr string, set membership.Settings, from membership.InitialState, post func(Update)) *Client {
	d := newClient(addr, set, from, post)
	go d.run()
	return d
}

func newClient(addr string, set membership.Settings, from membership.InitialState, post func(Update)) *Client {
	ctx, end := context.WithCancel(context.Background())
	return &Client{base: "http://" + addr + "/discovery/hosts", post: post, ctx: ctx, end: end, start: time.Now(),
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}},
		caller: membership.NewPoller(set, from, 0), calls: map[membership.CallID]context.CancelFunc{}, came: make(chan came), poke: make(chan struct{}, 1)}
}

// RestartWatch has a new watch begun at once: what the running one would bring is doubted.
func (d *Client) RestartWatch() { d.want(membership.RestartRequested{}) }

// HedgeWatch has the service asked beside the watch, which may have fallen silent.
func (d *Client) HedgeWatch() { d.want(membership.HedgeRequested{}) }

// SetNodes says how many equal nodes call the same discovery by now.
func (d *Client) SetNodes(nodes float64) { d.want(membership.NodesChanged{Nodes: nodes}) }

// want never waits: the goroutine may be waiting for whoever calls.
func (d *Client) want(e membership.Event) {
	d.mu.Lock()
	d.wants = append(slices.DeleteFunc(d.wants, func(x membership.Event) bool { return reflect.TypeOf(x) == reflect.TypeOf(e) }), e)
	d.mu.Unlock()
	select {
	case d.poke <- struct{}{}:
	default:
	}
}

// Close ends all calls and gives up their connections. What is on its way to post may
// still come.
func (d *Client) Close() {
	d.end()
	d.client.CloseIdleConnections()
}

func (d *Client) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(d.start.Add(d.caller.Next())))
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
			d.handle(membership.Ticked{}, came{})
		case a := <-d.came:
			switch a.why {
			case NoFailure:
				d.handle(membership.Answered{Call: a.id, Full: a.list.Full, Generation: a.list.Generation}, a)
			case Rejected:
				d.handle(membership.Failed{Call: a.id, Reason: membership.Rejected}, a)
			default:
				d.handle(membership.Failed{Call: a.id, Reason: membership.Unanswered}, a)
			}
		case <-d.poke:
			d.mu.Lock()
			wants := d.wants
			d.wants = nil
			d.mu.Unlock()
			for _, e := range wants {
				d.handle(e, came{})
			}
		}
	}
}

// handle tells the caller, with what a call brought, and carries out what it wants.
func (d *Client) handle(e membership.Event, with came) {
	for _, a := range d.caller.Handle(time.Since(d.start), e) {
		switch a := a.(type) {
		case membership.Call:
			ctx, cancel := context.WithTimeout(d.ctx, a.Timeout)
			d.calls[a.ID] = cancel
			go func() {
				defer cancel()
				list, why := d.call(ctx, a)
				select {
				case d.came <- came{a.ID, list, why}:
				case <-d.ctx.Done():
				}
			}()
		case membership.Cancel:
			d.calls[a.ID]()
			delete(d.calls, a.ID)
		case membership.Accept:
			delete(d.calls, a.Call)
			kind := balance.ListChanges
			if with.list.Full {
				kind = balance.ListFull
			}
			d.post(Update{Kind: kind, List: with.list, Source: d})
		case membership.WatchLost:
			why := with.why
			switch e.(type) {
			case membership.Answered: // it was no whole list where one was asked for
				why = Unreadable
			case membership.Ticked:
				why = Unanswered // within its limit
			}
			d.post(Update{Kind: balance.ListFailed, Failure: why, Source: d})
		}
	}
	delete(d.calls, with.id)
}
