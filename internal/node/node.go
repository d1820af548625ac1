// Package node is the event loop of a load-balancing proxy node. It receives requests from
// a front end and servers from discovery. It makes no balancing decisions of its own: it
// passes events to package balance and executes the actions that balance returns.
package node

import (
	"context"
	"log"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/balance"
	"ivylock/fleet/member"
	"ivylock/guard"
	"ivylock/handoff"
	"ivylock/internal/backend"
	"ivylock/internal/discovery"
	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
	"ivylock/internal/invariant"
	"ivylock/internal/membudget"
	"ivylock/internal/neterr"
	"ivylock/internal/wallclock"
	"ivylock/maintenance"
	"ivylock/membership"
)

const (
	eventQueueSize     = 1024
	reapInterval       = time.Second
	tickInterval       = 100 * time.Millisecond // period of metrics publication and of the checks on peers
	initialListTimeout = time.Second            // limit on the wait for the first list of a local agent
)

// Node is one proxy node. Its event loop, a single goroutine, owns the balance module and
// every field that is not documented as shared.
type Node struct {
	cfg            *Config
	module         *balance.Module
	start          time.Time
	origin         time.Duration // Unix time at start
	events         chan any
	done           chan struct{} // closed when the event loop has ended
	refuseNew      bool          // set at the end of a drain: refuse every further request
	requests       map[balance.RequestID]*Request
	servers        map[balance.ServerID]*backend.Server
	serverIDs      map[string]balance.ServerID // by name in discovery
	pool           *backend.Pool
	source         *discovery.Client // nil before Run
	listReceived   chan struct{}     // closed when discovery's first list has arrived
	hasList        bool              // listReceived is closed
	discoveryNodes float64           // effective number of nodes polling the same discovery service
	list           *membership.List[discovery.Entry]
	peers          *peers
	commands       chan command // from operators; handled before requests
	ready          atomic.Bool
	metrics        *figures.Set
	history        *eventlog.Log // latest events, for operators
	checker        *invariant.Checker
	retryRules     map[string]guard.RetryRules // by class
	maintenance    *maintenance.Table
	startTimes     membership.StartTimes // of servers
	stateStore     StateStore            // nil: no state is handed over
	pendingState   chan *handoff.State   // latest state that is still to be stored
	stateQueuedAt  time.Time             // when the latest state was queued
	storeMu        sync.Mutex            // held while a state is stored and its outcome is applied
	storedAt       balance.Time          // WrittenAt of the state stored last
	outcome        balance.AttemptEnded  // reused between calls to avoid allocation
	fleet          *fleet                // nil: disabled
	lifecycle      lifecycle
	memory         *membudget.Budget         // for all buffers
	effects        map[string]balance.Effect // by class
	recentIDs      guard.RecentIDs           // of requests that may have run and are not safe to repeat
	sharedIDs      SharedIDs                 // the same of all processes of the node; nil: there are no others

	lastQueryAt time.Time         // time of the latest query to peers
	lastReplyAt map[int]time.Time // time of the latest reply to each peer

	// sourceClockOffset is how far discovery's clock was ahead of the node's in its latest
	// response; nil if that response had no date.
	sourceClockOffset *time.Duration
}

// Events of the loop besides *Request, discovery.Update and the events of package balance.
type (
	clientGone   struct{ *Request }
	bodyReceived struct{ *Request }
	attemptDone  struct {
		*attempt
		backend.Result
		elapsed time.Duration
	}
	responseStarted struct {
		*attempt
		*backend.Stream
		elapsed time.Duration
	}
	probeDone struct {
		*backend.Server
		balance.ProbeEnded
	}
	answerDeadline struct{} // shutdown: every open request gets its final response now
	reload         struct{ discovery string }
	siblingState   struct{ *handoff.State } // from another process of this node, whose list may be newer
)

// New returns a node with the given configuration. Its servers come from discovery.
func New(cfg *Config) *Node {
	// Read back to back: any delay between the two calls is an error of the node's clock.
	start, origin := time.Now(), wallclock.Now()
	n := &Node{cfg: cfg, module: balance.New(cfg.Settings, cfg.Seed),
		start: start, origin: origin, events: make(chan any, eventQueueSize), done: make(chan struct{}),
		requests: map[balance.RequestID]*Request{}, servers: map[balance.ServerID]*backend.Server{},
		discoveryNodes: float64(cfg.Settings.Nodes), listReceived: make(chan struct{}), commands: make(chan command), list: membership.NewList[discovery.Entry](), maintenance: maintenance.New(nil), metrics: figures.New(classNames(cfg.Settings)), history: eventlog.New(), retryRules: map[string]guard.RetryRules{},
		lastReplyAt: map[int]time.Time{}, memory: membudget.New(cfg.memoryPlan().Buffers), effects: map[string]balance.Effect{},
		serverIDs: map[string]balance.ServerID{},
		pool:      backend.NewPool(cfg.BackendSockets(), cfg.Settings.ConnectTimeout, cfg.Settings.ConnIdleTimeout)}
	n.pool.Memory = n.memory
	n.pool.OnDialError = func(err error) { n.metrics.DialErrors.Add(neterr.Index(err)) }
	n.fleet = newFleet(cfg, n.now())
	n.checker = invariant.New(n.metrics.InvariantViolations.Add, n.history)
	var deadlines []time.Duration
	for _, c := range cfg.Settings.Classes {
		deadlines = append(deadlines, c.Deadline)
		n.retryRules[c.Name] = c.RetryRules()
		n.effects[c.Name] = c.Effect
	}
	n.lifecycle.schedule = guard.NewShutdownSchedule(guard.EffectiveDeadline(deadlines...))
	return n
}

// Memory returns the memory for all buffers of requests and responses.
func (n *Node) Memory() *membudget.Budget { return n.memory }

// Done returns a channel that is closed when the event loop has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves requests from the front end until ctx is cancelled, then drains: it returns
// once every accepted request has its final response, including streamed ones.
func (n *Node) Run(ctx context.Context, front Front) error {
	defer context.AfterFunc(ctx, func() { n.lifecycle.beginShutdown(time.Now()) })()
	var err error
	if n.peers, err = openPeers(ctx, n.cfg, n.metrics); err != nil {
		return err
	}
	if n.peers != nil {
		defer n.peers.conn.Close()
		log.Printf("%s takes datagrams on %s", n.cfg.Name, n.peers.conn.LocalAddr())
		go n.peers.receive(func(event any) { n.post(event) }, n.fleet != nil)
	}
	n.applyListUpdate(discovery.Update{Kind: balance.ListCached, List: n.cfg.InitialList}) // before any command
	n.discover(n.cfg.Discovery, membership.InitialState{Generation: n.list.Generation(), HaveList: true, Stagger: true})
	loopCtx, stopLoop := context.WithCancel(context.Background())
	go n.loop(loopCtx)
	go n.watchResources(loopCtx)
	// With an agent that pushes the list, the first request must already see that list.
	if !n.cfg.Settings.ListOnDemand {
		select {
		case <-n.listReceived:
		case <-time.After(initialListTimeout):
		case <-ctx.Done():
		}
	}
	if n.stateStore != nil {
		go n.runStateStore()
		go n.runSiblingPoll()
	}
	if n.fleet != nil && n.fleet.cfg.RecordFile != "" {
		go n.writeRecords()
	}
	// Last line of the startup log: the other addresses are logged before it.
	log.Printf("%s serves on %s", n.cfg.Name, front.Addr())
	n.ready.Store(true)
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	select {
	case err = <-served:
	case <-ctx.Done():
		n.lifecycle.beginShutdown(time.Now())
		answerTimer := time.AfterFunc(time.Until(n.lifecycle.stepTime(n.lifecycle.schedule.AnswerBy)), func() { n.post(answerDeadline{}) })
		// A process that only forwards the bodies that outlast the schedule is no member of the
		// fleet any more, and neither asks discovery nor takes commands.
		loopTimer := time.AfterFunc(time.Until(n.lifecycle.stepTime(n.lifecycle.schedule.End())), stopLoop)
		err = front.Drain()
		answerTimer.Stop()
		loopTimer.Stop()
	}
	stopLoop()
	<-n.done
	log.Printf("%s has ended; %d invariants broken", n.cfg.Name, n.checker.Total())
	return err
}

// Reload applies the settings that may change at run time: the address of discovery. A
// configuration of another node is rejected and counted.
func (n *Node) Reload(cfg *Config) error {
	if err := n.cfg.CheckReload(cfg); err != nil {
		n.metrics.ReloadsRefused.Add(1)
		return err
	}
	n.post(reload{cfg.Discovery})
	return nil
}

// post sends an event to the loop, or drops it if the loop has ended. It reports whether it was
// sent.
func (n *Node) post(e any) (sent bool) {
	select {
	case <-n.done: // the queue may have room left
		return false
	default:
	}
	select {
	case n.events <- e:
		return true
	case <-n.done:
		return false
	}
}

// now returns the time of the balance module: Unix time at start plus the monotonic time
// since. Unix time is used because discovery reports server start times in it.
func (n *Node) now() balance.Time { return n.origin + time.Since(n.start) }

func (n *Node) loop(ctx context.Context) {
	defer close(n.done)
	defer func() {
		if n.source != nil {
			n.source.Close()
		}
	}()
	reap, tick := time.NewTicker(reapInterval), time.NewTicker(tickInterval)
	defer reap.Stop()
	if n.fleet != nil {
		// Startup time does not count as a process pause.
		n.fleet.loopRanAt.Store(int64(n.now()))
	}
	defer tick.Stop()
	for {
		n.detectPause()
		select {
		case cmd := <-n.commands: // commands take precedence over other events
			n.applyCommand(cmd)
			continue
		default:
		}
		select {
		case cmd := <-n.commands:
			n.applyCommand(cmd)
		case <-tick.C:
			n.detectPause()
			n.tickFleet()
			n.reviewPeerReports()
			n.queryPeers()
			n.publish()
		case e := <-n.events:
			n.detectPause()
			n.handleEvent(e)
		case <-reap.C:
			n.pool.CloseExpired()
			n.maintenance.PruneRecords(n.now(), n.cfg.Settings.WarmupTime)
		case <-ctx.Done():
			n.answerAll()
			n.handleFleetEvent(member.Leaving{})
			n.writeFinalRecord()
			return
		}
	}
}

// handleEvent dispatches one event of the loop.
func (n *Node) handleEvent(e any) {
	switch e := e.(type) {
	case *Request:
		n.acceptRequest(e)
	case clientGone:
		if n.requests[e.ID] == e.Request {
			n.handle(balance.RequestAbandoned{ID: e.ID})
			n.removeRequest(e.Request)
		}
	case bodyReceived:
		n.limitToClientTime(e.Request)
	case attemptDone:
		n.attemptEnded(e)
	case responseStarted:
		n.startStream(e)
	case probeDone:
		if e.Code == balance.OK {
			e.Server.LastResponseAt = n.now()
		}
		n.handle(e.ProbeEnded)
		e.Server.InFlight--
		n.removeServer(e.Server)
	case discovery.Update:
		if e.Source == nil || e.Source == n.source { // ignores updates from a former address
			n.applyListUpdate(e)
		}
	case siblingState:
		n.adoptSiblingList(e.State)
	case fleetDatagram:
		n.handleFleetEvent(member.DatagramReceived(e))
	case recordRequest:
		e <- n.buildRecord()
	case reload:
		n.switchDiscovery(e.discovery)
	case answerDeadline:
		n.answerAll()
	case balance.MessageReceived:
		if membership.IsDatagram(e.Data) {
			n.handleListDatagram(e.From, e.Data)
		} else {
			n.handle(e)
		}
	case balance.Event:
		n.handle(e)
	}
}

// answerAll gives every open request its final response: a refusal if the client may retry
// it, otherwise a failure.
func (n *Node) answerAll() {
	n.refuseNew = true
	n.releaseWaiting(true)
	for _, r := range n.requests {
		n.handle(balance.FinalAnswerDue{ID: r.ID})
		// True for a request unknown to the module.
		if n.finish(r, Response{Status: http.StatusBadGateway, Reason: figures.RejectedShutdown}) {
			n.removeRequest(r)
		}
	}
}

func (n *Node) acceptRequest(r *Request) {
	if r.hasEnded() { // the client disconnected while the request was queued
		return
	}
	switch {
	case n.requests[r.ID] != nil || n.mayHaveRun(r):
		// The open request continues; an earlier one may have run.
		n.finish(r, Response{Status: http.StatusConflict, Reason: figures.RejectedDuplicateID})
		return
	case n.refuseNew:
		n.finish(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.RejectedShutdown})
		return
	case len(n.requests) >= min(n.cfg.Settings.MaxOpenRequests, n.cfg.ClientSockets()):
		// Rejected before it reaches the balance module.
		n.finish(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.RejectedRequestLimit})
		return
	}
	if n.fleet != nil {
		if !n.admit(r) {
			return
		}
		n.fleet.member.CountRequest(r.Tenant)
	}
	n.requests[r.ID] = r
	n.announceRun(r)
	r.ClientTimeout, r.BodyPending = time.Until(r.Deadline), r.BodyStream != nil
	n.handle(&r.RequestArrived)
}

// finish sends the final response, unless one has been sent already, and reports whether it
// did.
func (n *Node) finish(r *Request, resp Response) bool {
	if !r.end(true) {
		return false
	}
	if resp.Status != http.StatusOK {
		n.metrics.RequestsRejected.Add(int(resp.Reason))
	}
	r.response <- resp
	return true
}

// removeRequest drops a request that has ended and has no attempt in flight.
func (n *Node) removeRequest(r *Request) {
	if !r.hasEnded() || r.outstanding > 0 || n.requests[r.ID] != r {
		return
	}
	delete(n.requests, r.ID)
	n.rememberRun(r)
}

// handle passes an event to the balance module and executes the returned actions.
func (n *Node) handle(e balance.Event) {
	for _, a := range n.module.Handle(n.now(), e) {
		switch a := a.(type) {
		case balance.Send:
			n.send(a)
		case balance.Refuse:
			n.respond(a.ID, Response{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter, Reason: figures.RejectReason(a.Cause)})
		case balance.Fail:
			n.respond(a.ID, Response{Status: http.StatusBadGateway, Reason: figures.RejectReason(a.Cause)})
		case balance.CancelAttempt:
			if r := n.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].cancel()
			}
		case balance.SetTimer:
			time.AfterFunc(a.After, func() { n.post(balance.TimerFired{Token: a.Token}) })
		case balance.Probe:
			n.probe(a)
		case balance.SendMessage:
			if n.fleet == nil || a.ToAll {
				n.peers.send(a)
			} else if to, ok := n.fleet.member.Addr(a.To); ok { // may be a node that the configuration does not list
				n.peers.sendTo(to, n.fleet.member.Wrap(n.now(), a.To, a.Data))
			}
		case balance.CloseIdleConns:
			if b := n.servers[a.Server]; b != nil {
				n.pool.CloseIdle(b)
			}
		case balance.SetConnIdleTimeout:
			n.pool.SetIdleTimeout(min(a.Timeout, n.cfg.Settings.ConnIdleTimeout))
		case balance.Log:
			log.Print(a.Line)
		}
	}
}

// respond sends the final response that the balance module decided on.
func (n *Node) respond(id balance.RequestID, resp Response) {
	if r := n.requests[id]; r != nil {
		n.finish(r, n.checkRefusal(r, resp))
		n.removeRequest(r)
	}
}
