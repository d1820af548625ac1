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

// News is what a call to discovery brought; a Kind of ListFailed says that it
// brought nothing.
type News struct {
	Kind balance.ListKind
	Why  Failure // of ListFailed
	List List
	From *Client // nil: from the configuration
}

// Client keeps one source of the list: it carries out what a membership.Caller wants, on
// a goroutine of its own, and hands what holds to post, in order.
type Client struct {
	base   string
	client *http.Client
	post   func(News)
	ctx    context.Context // of all calls
	end    context.CancelFunc
	start  time.Time
	caller *membership.Caller // run's
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
func New(addr string, set membership.Settings, from membership.Start, post func(News)) *Client {
	d := newClient(addr, set, from, post)
	go d.run()
	return d
}

func newClient(addr string, set membership.Settings, from membership.Start, post func(News)) *Client {
	ctx, end := context.WithCancel(context.Background())
	return &Client{base: "http://" + addr + "/discovery/hosts", post: post, ctx: ctx, end: end, start: time.Now(),
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}},
		caller: membership.NewCaller(set, from, 0), calls: map[membership.CallID]context.CancelFunc{}, came: make(chan came), poke: make(chan struct{}, 1)}
}

// AskNow has a new watch begun at once: what the running one would bring is doubted.
func (d *Client) AskNow() { d.want(membership.AskNow{}) }

// Doubt has the service asked beside the watch, which may have fallen silent.
func (d *Client) Doubt() { d.want(membership.Doubted{}) }

// Share says how many equal nodes call the same discovery by now.
func (d *Client) Share(nodes float64) { d.want(membership.Shared{Nodes: nodes}) }

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
				d.handle(membership.Answered{Call: a.id, Whole: a.list.Reset, Generation: a.list.Generation}, a)
			case TurnedAway:
				d.handle(membership.Failed{Call: a.id, Why: membership.TurnedAway}, a)
			default:
				d.handle(membership.Failed{Call: a.id, Why: membership.Unanswered}, a)
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
			ctx, cancel := context.WithTimeout(d.ctx, a.Limit)
			d.calls[a.ID] = cancel
			go func() {
				defer cancel()
				list, why := d.call(ctx, a)
				select {
				case d.came <- came{a.ID, list, why}:
				case <-d.ctx.Done():
				}
			}()
		case membership.Drop:
			d.calls[a.ID]()
			delete(d.calls, a.ID)
		case membership.Take:
			delete(d.calls, a.Call)
			kind := balance.ListChanges
			if with.list.Reset {
				kind = balance.ListFull
			}
			d.post(News{Kind: kind, List: with.list, From: d})
		case membership.Lost:
			why := with.why
			switch e.(type) {
			case membership.Answered: // it was no whole list where one was asked for
				why = Unreadable
			case membership.Ticked:
				why = Unanswered // within its limit
			}
			d.post(News{Kind: balance.ListFailed, Why: why, From: d})
		}
	}
	delete(d.calls, with.id)
}
