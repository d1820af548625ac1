// Package node is the core of a load-balancing proxy node. It takes requests
// from a front and servers from a source, and decides nothing: it reports what
// happens to the decision module as its events and carries out the actions
// that it gives back.
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
	"ivylock/internal/neterr"
	"ivylock/internal/wallclock"
	"ivylock/maintenance"
	"ivylock/membership"
)

const (
	eventQueue   = 1024
	reapInterval = time.Second
	lookInterval = 100 * time.Millisecond // how old the figures of the list may be
	agentTime    = time.Second            // in which an agent on the own machine, which answers at once, must say what it has; else it is silent, and the node is ready with what it knows
)

// Node is one node. Its loop, a single goroutine, owns the module and all
// that is not said to be shared.
type Node struct {
	cfg      *Config
	module   *balance.Module
	start    time.Time
	origin   time.Duration // Unix time at the start
	events   chan any
	done     chan struct{} // closed when the loop has ended
	closed   bool          // at the end of a drain: all that still comes is refused
	requests map[balance.RequestID]*Request
	servers  map[balance.ServerID]*backend.Server
	ids      map[string]balance.ServerID // by discovery's name
	pool     *backend.Pool
	source   *discovery.Client // nil before Run
	heard    chan struct{}     // closed by the first answer of discovery
	told     bool              // it is
	sharing  float64           // equal nodes that call the same discovery
	list     *membership.List[discovery.Entry]
	peers    *peers
	words    chan word // of operators: heard before requests
	ready    atomic.Bool
	figures  *figures.Set
	history  *eventlog.Log // the latest events, for operators
	checker  *invariant.Checker
	repeats  map[string]guard.RetryRules // by class
	byHand   *maintenance.Table
	starts   membership.StartTimes // of servers
	keeper   StateStore            // nil: nobody takes over
	keep     chan *handoff.State   // the newest that is to be kept
	keepAt   time.Time             // of the last one
	keptMu   sync.Mutex            // held while a state is written
	kept     balance.Time          // when the one that was written last was made
	outcome  balance.AttemptEnded  // the last one, kept from call to call: no garbage
	fleet    *fleet                // nil: off
	life     lifecycle

	askedAt    time.Time         // of the latest question to neighbours
	answeredAt map[int]time.Time // of the latest answer to each of them

	// sourceAhead is by how much discovery's own time, in its latest answer, was ahead
	// of the node's; nil: not told.
	sourceAhead *time.Duration
}

// What the loop is told, besides *Request, discovery.Update and the module's own
// events.
type (
	clientGone  struct{ *Request }
	attemptDone struct {
		*attempt
		backend.Result
		elapsed time.Duration
	}
	attemptBegun struct {
		*attempt
		*backend.Stream
		elapsed time.Duration
	}
	probeDone struct {
		*backend.Server
		balance.ProbeEnded
	}
	answerAll struct{} // the process ends: all that is open gets its final answer now
	reload    struct{ discovery string }
	adopt     struct{ *handoff.State } // a newer process's, whose words hold
	overheard struct{ *handoff.State } // another process's, whose list may be newer
)

// New makes a node from its configuration. Its servers come from discovery.
func New(cfg *Config) *Node {
	start, origin := time.Now(), wallclock.Now() // one right after the other: what lies between makes the node's time wrong
	n := &Node{cfg: cfg, module: balance.New(cfg.Settings, cfg.Seed),
		start: start, origin: origin, events: make(chan any, eventQueue), done: make(chan struct{}),
		requests: map[balance.RequestID]*Request{}, servers: map[balance.ServerID]*backend.Server{},
		sharing: float64(cfg.Settings.Nodes), heard: make(chan struct{}), words: make(chan word), list: membership.NewList[discovery.Entry](), byHand: maintenance.New(nil), figures: figures.New(classNames(cfg.Settings)), history: eventlog.New(), repeats: map[string]guard.RetryRules{},
		answeredAt: map[int]time.Time{},
		ids:        map[string]balance.ServerID{},
		pool:       backend.NewPool(cfg.BackendSockets(), cfg.Settings.ConnectTimeout, cfg.Settings.ConnIdleTimeout)}
	n.pool.OnDialError = func(err error) { n.figures.DialErrors.Add(neterr.Number(err)) }
	n.fleet = newFleet(cfg, n.now())
	n.checker = invariant.New(n.figures.InvariantsBroken.Add, n.history)
	var deadlines []time.Duration
	for _, c := range cfg.Settings.Classes {
		deadlines = append(deadlines, c.Deadline)
		n.repeats[c.Name] = c.RetryRules()
	}
	n.life.schedule = guard.NewShutdownSchedule(guard.EffectiveDeadline(deadlines...))
	return n
}

// Done is closed when the node has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run takes requests from the front until ctx ends, then drains: all that it
// has taken is answered, and it returns.
func (n *Node) Run(ctx context.Context, front Front) error {
	defer context.AfterFunc(ctx, func() { n.life.end(time.Now()) })()
	var err error
	if n.peers, err = openPeers(n.cfg, n.figures); err != nil {
		return err
	}
	if n.peers != nil {
		defer n.peers.conn.Close()
		log.Printf("%s takes datagrams on %s", n.cfg.Name, n.peers.conn.LocalAddr())
		go n.peers.receive(n.post, n.fleet != nil)
	}
	n.takeNews(discovery.Update{Kind: balance.ListCached, List: n.cfg.InitialList}) // before the first word of an operator
	n.discover(n.cfg.Discovery, membership.InitialState{Generation: n.list.Generation(), HaveList: true, Stagger: true})
	loopCtx, stopLoop := context.WithCancel(context.Background())
	go n.loop(loopCtx)
	if !n.cfg.Settings.ListOnDemand { // what the agent has counts as told from the first moment on
		select {
		case <-n.heard:
		case <-time.After(agentTime):
		case <-ctx.Done():
		}
	}
	if n.keeper != nil {
		go n.keepAll()
	}
	if n.fleet != nil && n.fleet.cfg.RecordFile != "" {
		go n.recordAll()
	}
	log.Printf("%s serves on %s", n.cfg.Name, front.Addr()) // the last line of a start: whoever reads it has read where else it listens
	n.ready.Store(true)
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	select {
	case err = <-served:
	case <-ctx.Done():
		n.life.end(time.Now())
		answer := time.AfterFunc(time.Until(n.life.at(n.life.schedule.AnswerBy)), func() { n.post(answerAll{}) })
		err = front.Drain()
		answer.Stop()
	}
	stopLoop()
	<-n.done
	log.Printf("%s has ended; %d invariants broken", n.cfg.Name, n.checker.Total())
	return err
}

// Reload takes what may change while the node serves: discovery's address. A configuration
// that is not this node's changes nothing and is counted.
func (n *Node) Reload(cfg *Config) error {
	if err := n.cfg.CheckReload(cfg); err != nil {
		n.figures.ReloadsRefused.Add(1)
		return err
	}
	n.post(reload{cfg.Discovery})
	return nil
}

// post hands something to the loop; it gives up once the loop has ended.
func (n *Node) post(e any) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// now is the module's clock: monotonic from the node's start on, with the
// wall clock's origin, as starts of backends are told in Unix time.
func (n *Node) now() balance.Time { return n.origin + time.Since(n.start) }

func (n *Node) loop(ctx context.Context) {
	defer close(n.done)
	defer func() {
		if n.source != nil {
			n.source.Close()
		}
	}()
	reap, look := time.NewTicker(reapInterval), time.NewTicker(lookInterval)
	defer reap.Stop()
	if n.fleet != nil {
		n.fleet.turnAt.Store(int64(n.now())) // what its start took is no stop
	}
	defer look.Stop()
	for {
		n.turn()
		select {
		case w := <-n.words: // ahead of all that waits in the other queue
			n.maintain(w)
			continue
		default:
		}
		select {
		case w := <-n.words:
			n.maintain(w)
		case <-look.C:
			n.turn()
			n.fleetTick()
			n.checkWithdrawals()
			n.askNeighbours()
			n.publish()
		case e := <-n.events:
			n.turn()
			n.takeEvent(e)
		case <-reap.C:
			n.pool.Reap()
			n.byHand.PruneRecords(n.now(), n.cfg.Settings.WarmupTime)
		case <-ctx.Done():
			n.answerAll()
			n.fleetDo(member.Leaving{})
			n.recordEnd()
			return
		}
	}
}

// takeEvent turns one event into the module's form.
func (n *Node) takeEvent(e any) {
	switch e := e.(type) {
	case *Request:
		n.takeRequest(e)
	case clientGone:
		if n.requests[e.ID] == e.Request {
			n.handle(balance.RequestAbandoned{ID: e.ID})
			n.forgetRequest(e.Request)
		}
	case attemptDone:
		n.attemptEnded(e)
	case attemptBegun:
		n.answerBegun(e)
	case probeDone:
		if e.Code == balance.OK {
			e.Server.Answered = n.now()
		}
		n.handle(e.ProbeEnded)
		e.Server.Out--
		n.forgetServer(e.Server)
	case discovery.Update:
		if e.Source == nil || e.Source == n.source { // guards against news of an address that was left
			n.takeNews(e)
		}
	case adopt:
		n.adoptWords(e.State)
	case overheard:
		n.takeOthersList(e.State)
	case fleetHeard:
		n.fleetDo(member.DatagramReceived(e))
	case recordWanted:
		e <- n.makeRecord()
	case reload:
		n.changeDiscovery(e.discovery)
	case answerAll:
		n.answerAll()
	case balance.MessageReceived:
		if membership.IsDatagram(e.Data) {
			n.takeDatagram(e.From, e.Data)
		} else {
			n.handle(e)
		}
	case balance.Event:
		n.handle(e)
	}
}

// answerAll gives each open request its final answer: a refusal if it may be repeated,
// else a failure.
func (n *Node) answerAll() {
	n.closed = true
	n.fleetRelease(true)
	for _, r := range n.requests {
		n.handle(balance.FinalAnswerDue{ID: r.ID})
		if n.finish(r, Response{Status: http.StatusBadGateway, Reason: figures.TurnedEnding}) { // the module no longer knew it
			n.forgetRequest(r)
		}
	}
}

func (n *Node) takeRequest(r *Request) {
	if r.isOver() { // its client went while it waited here
		return
	}
	switch {
	case n.requests[r.ID] != nil:
		n.finish(r, Response{Status: http.StatusConflict, Reason: figures.TurnedDuplicate}) // the one that has the id is not touched
		return
	case n.closed:
		n.finish(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.TurnedEnding})
		return
	case len(n.requests) >= min(n.cfg.Settings.MaxOpenRequests, n.cfg.ClientSockets()):
		n.finish(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.TurnedFull}) // as the settings say: before it reaches the module
		return
	}
	if n.fleet != nil {
		if !n.admit(r) {
			return
		}
		n.fleet.member.CountRequest(r.Tenant)
	}
	n.requests[r.ID] = r
	r.ClientTimeout, r.BodyPending = time.Until(r.Deadline), r.BodyStream != nil
	n.handle(&r.RequestArrived)
}

// finish gives the final answer unless there has been one.
func (n *Node) finish(r *Request, a Response) bool {
	if !r.end(true) {
		return false
	}
	if a.Status != http.StatusOK {
		n.figures.RequestsTurned.Add(int(a.Reason))
	}
	r.answer <- a
	return true
}

// forgetRequest drops a request that is over and has no attempt out.
func (n *Node) forgetRequest(r *Request) {
	if r.isOver() && r.out == 0 {
		delete(n.requests, r.ID)
	}
}

// handle tells the module and carries out what it wants done.
func (n *Node) handle(e balance.Event) {
	for _, a := range n.module.Handle(n.now(), e) {
		switch a := a.(type) {
		case balance.Send:
			n.send(a)
		case balance.Refuse:
			n.giveAnswer(a.ID, Response{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter, Reason: figures.Turned(a.Cause)})
		case balance.Fail:
			n.giveAnswer(a.ID, Response{Status: http.StatusBadGateway, Reason: figures.Turned(a.Cause)})
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
			} else if to, ok := n.fleet.member.Addr(a.To); ok { // also one that the configuration does not know
				n.peers.sendTo(to, n.fleet.member.Wrap(n.now(), a.To, a.Data))
			}
		case balance.CloseIdleConns:
			if b := n.servers[a.Server]; b != nil {
				n.pool.CloseIdle(b)
			}
		case balance.SetConnIdleTimeout:
			n.pool.SetIdle(min(a.Timeout, n.cfg.Settings.ConnIdleTimeout))
		case balance.Log:
			log.Print(a.Line)
		}
	}
}

// giveAnswer carries out a final answer of the module.
func (n *Node) giveAnswer(id balance.RequestID, a Response) {
	if r := n.requests[id]; r != nil {
		n.finish(r, n.checkRefusal(r, a))
		n.forgetRequest(r)
	}
}
