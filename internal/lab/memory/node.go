package memory

import (
	"time"

	"ivylock/balance"
	"ivylock/fleet/member"
	"ivylock/internal/decider"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/nodeconf"
	"ivylock/internal/lab/scenario"
)

const (
	connectTimeout       = 250 * time.Millisecond
	probeTimeout         = 400 * time.Millisecond
	discoveryCallTimeout = 2200 * time.Millisecond
	acceptAfterTerm      = 600 * time.Millisecond // time for which a terminating node still accepts connections
	frontNoticeDelay     = time.Second            // until the front detects that a node was killed
)

// node is a simulated node: the decision module and a model of its I/O.
type node struct {
	scenario.Node
	world        *world
	incarnation  int // incremented with each process
	up           bool
	inRotation   bool
	module       Decider
	requests     map[balance.RequestID]*request
	servers      []*knownServer // by server id; nil: never listed
	pools        []pool         // by server id
	listVersion  uint64
	latestList   hosts.List // survives restarts of the node
	watchID      int        // identifies the current watch
	watching     bool
	listPushed   bool                 // updates arrive without a subscription
	sentVersion  uint64               // list version last sent on the watch
	outcome      balance.AttemptEnded // reused to avoid an allocation per attempt
	timerToken   int64                // a module has one timer at a time
	discoveryCut bool
	pausedUntil  time.Duration
	fleet        *fleet // nil: fleet membership is off
}

// knownServer is a server as known to the node.
type knownServer struct {
	*machine
	closed     bool          // draining or removed
	lastAnswer time.Duration // Unix time
	entry      hosts.Entry   // as received from discovery
}

// server returns a known server, or nil.
func (n *node) server(id balance.ServerID) *knownServer {
	if int(id) < len(n.servers) {
		return n.servers[id]
	}
	return nil
}

// pool returns the pool of idle connections to a machine.
func (n *node) pool(c *machine) *pool {
	if int(c.id) >= len(n.pools) {
		n.pools = append(n.pools, make([]pool, len(n.world.machines)+1-len(n.pools))...)
	}
	return &n.pools[c.id]
}

// link returns the impairment of the connections to a machine.
func (n *node) link(c *machine) link {
	if len(n.world.links) == 0 {
		return link{}
	}
	return n.world.links[pair{n, c}]
}

// pool counts the idle connections to one process of a machine.
type pool struct{ incarnation, idle int }

// request is a try that the node has accepted.
type request struct {
	*clientTry
	deadline        time.Duration
	attempts        []*attempt
	pendingAttempts int
	done            bool
	arrival         balance.RequestArrived
}

// attempt is one attempt of a request, or one probe.
type attempt struct {
	id                uint64
	node              *node
	nodeIncarnation   int
	request           *request
	number            int
	server            *knownServer
	target            *machine // machine at the other end of its connection
	targetIncarnation int
	tryID             string
	key               string
	probe             bool
	sentAt            time.Duration
	linkDelay         time.Duration // added by link faults
	oneWayDelay       time.Duration // of the connection setup
	work              time.Duration
	hasConn           bool
	ended             bool
	report            *balance.Report
}

func (n *node) start() {
	n.incarnation++
	n.up = true
	settings, seed := nodeconf.BalancerSettings(n.world.scenario, n.Number, n.world.deployment), int64(n.world.rng.Uint64()>>1)
	if n.world.newDecider != nil {
		n.module = n.world.newDecider(n.Node, settings, seed)
	} else {
		n.module = decider.New(settings, seed)
	}
	n.requests, n.servers = map[balance.RequestID]*request{}, nil
	n.pools, n.watching, n.listPushed = nil, false, !settings.ListOnDemand
	n.fleet = newFleet(n, settings, seed)
	if n.latestList.Instances == nil {
		n.latestList = n.world.registry.All()
	}
	n.world.record(history.Event{Kind: history.NodeReady, Node: n.Name})
	n.setInRotation(true)
	n.applyUpdate(balance.ListCached, n.latestList)
	if n.listPushed { // the agent watches the list all the time
		if n.watching, n.sentVersion = true, n.latestList.Generation; !n.world.outage {
			n.world.sendUpdate(n)
		}
	}
}

// setInRotation sets whether the front, the clients' load balancer, sends new requests
// to the node.
func (n *node) setInRotation(on bool) { n.inRotation, n.world.rotation = on, nil }

// kill ends the process without a shutdown.
func (n *node) kill() {
	n.world.record(history.Event{Kind: history.NodeKilled, Node: n.Name})
	n.stop()
	for _, c := range n.waitingClients() {
		c.scheduleAnswer(n.world.jitter(n.world.scenario.Net.ClientDelay.Duration), history.ConnectionBroken, "", 0)
	}
	n.requests = nil
	n.world.after(frontNoticeDelay, func() {
		if !n.up {
			n.setInRotation(false)
		}
	})
}

// waitingClients returns the clients that wait for an answer, in order of arrival.
func (n *node) waitingClients() []*clientTry {
	var out []*clientTry
	for _, c := range n.world.waitingTries(n) {
		if r := n.requests[balance.RequestID(c.id)]; r != nil && !r.done {
			out = append(out, c)
		}
	}
	return out
}

func (n *node) stop() {
	n.reportRecord()
	n.incarnation++
	n.up, n.watching = false, false
	for _, c := range n.world.machines {
		for _, id := range append([]uint64(nil), c.inFlightOrder...) {
			if a := c.inFlight[id]; a != nil && a.node == n {
				a.ended = true
				if a.hasConn && a.targetIncarnation == c.incarnation {
					n.closeConn(c)
				}
				c.cancelAttempt(a)
			}
		}
		if p := n.pool(c); p.incarnation == c.incarnation {
			for range p.idle {
				n.closeConn(c)
			}
		}
	}
	n.pools = nil
}

// terminate shuts the node down: it answers the accepted requests and then ends.
func (n *node) terminate(grace time.Duration, restart bool) {
	w := n.world
	w.record(history.Event{Kind: history.NodeTerminating, Node: n.Name})
	incarnation := n.incarnation
	w.after(acceptAfterTerm, func() {
		if n.incarnation == incarnation {
			n.setInRotation(false)
		}
	})
	w.after(max(grace, acceptAfterTerm), func() {
		if n.incarnation != incarnation {
			return
		}
		for _, c := range n.waitingClients() { // as the node does at the end of its drain
			r := n.requests[balance.RequestID(c.id)]
			n.answer(r, history.Failed, "", 0)
		}
		w.record(history.Event{Kind: history.NodeExited, Node: n.Name})
		if n.fleet != nil {
			n.handleFleetEvent(member.Leaving{})
		}
		n.stop()
		if restart {
			w.after(100*time.Millisecond, n.start)
		}
	})
}

// handle passes an event to the module and carries out the actions it returns.
func (n *node) handle(event balance.Event) {
	w := n.world
	// Copied because an action may end an attempt immediately, which calls the
	// module again before the remaining actions are carried out.
	var buffer [8]balance.Action
	actions := append(buffer[:0], n.module.Handle(Epoch+w.now, event)...)
	if w.mutant != nil {
		actions = w.mutant(w.now, n.Name, event, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case balance.Send:
			n.send(a)
		case balance.Refuse:
			if r := n.requests[a.ID]; r != nil {
				n.answer(r, history.Refused, "", a.RetryAfter)
			}
		case balance.Fail:
			if r := n.requests[a.ID]; r != nil {
				n.answer(r, history.Failed, "", 0)
			}
		case balance.CancelAttempt:
			if r := n.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].abort(balance.Cancelled)
			}
		case balance.SetTimer:
			n.timerToken = a.Token
			w.schedule(w.now+a.After, n, timerExpiry, uint64(n.incarnation))
		case balance.Probe:
			n.probe(a)
		case balance.SendMessage:
			n.sendMessage(a)
		case balance.Subscribe:
			n.subscribe(a.On)
		case balance.FetchList:
			n.subscribe(true)
		case balance.CloseIdleConns:
			if server := n.server(a.Server); server != nil {
				n.closeIdle(server.machine)
			}
		}
	}
}

// Events of a node. The argument is the incarnation that scheduled the event.
const (
	timerExpiry eventKind = iota
	fleetTickDue
)

func (n *node) handleEvent(kind eventKind, arg uint64) {
	if n.deferIfPaused(n, kind, arg) {
		return
	}
	if kind == fleetTickDue {
		n.fleetTick(arg)
		return
	}
	if uint64(n.incarnation) == arg {
		n.handle(balance.TimerFired{Token: n.timerToken})
	}
}

// receive handles the arrival of a client's try.
func (n *node) receive(client *clientTry, timeout time.Duration) {
	accepted := &request{clientTry: client, deadline: n.world.now + timeout}
	tenant := client.order.Tenant
	if n.fleet != nil && !n.admit(client, accepted, tenant) {
		return
	}
	n.requests[balance.RequestID(client.id)] = accepted
	accepted.arrival = balance.RequestArrived{ID: balance.RequestID(client.id), Class: client.order.Class.Name, Tenant: tenant, ClientTimeout: timeout}
	if n.world.mutant != nil { // mutants expect event values, not pointers
		n.handle(accepted.arrival)
		return
	}
	n.handle(&accepted.arrival)
}

// answer sends the final answer, once.
func (n *node) answer(r *request, status history.Status, server string, retryAfter time.Duration) {
	if r.done {
		return
	}
	r.done = true
	r.clientTry.scheduleAnswer(n.world.jitter(n.world.scenario.Net.ClientDelay.Duration), status, server, retryAfter)
	n.release(r)
}

func (n *node) release(r *request) {
	if r.done && r.pendingAttempts == 0 {
		delete(n.requests, balance.RequestID(r.id))
	}
}

// clientClosed handles a client that has closed its connection.
func (n *node) clientClosed(c *clientTry) {
	if n.world.now < n.pausedUntil {
		n.world.at(n.pausedUntil, func() { n.clientClosed(c) })
		return
	}
	r := n.requests[balance.RequestID(c.id)]
	if r == nil || r.done {
		return
	}
	r.done = true
	n.handle(balance.RequestAbandoned{ID: balance.RequestID(c.id)})
	n.release(r)
}

func (n *node) send(action balance.Send) {
	r, server := n.requests[action.ID], n.server(action.Server)
	if r == nil || server == nil {
		return
	}
	deadline := r.deadline
	if action.Timeout != 0 {
		deadline = min(deadline, n.world.now+action.Timeout)
	}
	a := &attempt{node: n, nodeIncarnation: n.incarnation, request: r, number: len(r.attempts), server: server, tryID: r.id, key: r.order.Key, sentAt: n.world.now}
	r.attempts = append(r.attempts, a)
	r.pendingAttempts++
	n.world.schedule(deadline, a, attemptTimeout, 0)
	a.start(r.order.Work)
}

func (n *node) probe(action balance.Probe) {
	server := n.server(action.Server)
	if server == nil {
		return
	}
	a := &attempt{node: n, nodeIncarnation: n.incarnation, server: server, probe: true, sentAt: n.world.now}
	n.world.schedule(n.world.now+connectTimeout+probeTimeout, a, attemptTimeout, 0)
	a.start(server.model.Machine.ProbeWork)
}

// start uses an idle connection, or opens one, and writes the request.
func (a *attempt) start(work time.Duration) {
	n, w := a.node, a.node.world
	w.lastAttemptID++
	a.id = w.lastAttemptID
	a.target = a.server.current()
	a.targetIncarnation = a.target.incarnation
	delay := w.networkDelay(n.Zone, a.target.Zone) + a.target.linkDelay(a)
	if p := n.pool(a.target); p.incarnation == a.target.incarnation && p.idle > 0 {
		p.idle--
		a.hasConn = true
		a.write(delay, work)
		return
	}
	switch state := n.link(a.target).state; {
	case a.target.unreachable || state == "black-hole":
		w.schedule(w.now+connectTimeout, a, attemptEnd, uint64(balance.ConnectFailed))
	case !a.target.running() || state == "reset":
		w.schedule(w.now+2*delay, a, attemptEnd, uint64(balance.ConnectFailed))
	default:
		a.oneWayDelay, a.work = delay, work
		w.schedule(w.now+2*delay, a, connectionUp, 0)
	}
}

// connectionEstablished handles a new connection.
func (a *attempt) connectionEstablished() {
	n, w := a.node, a.node.world
	switch {
	case a.ended || n.incarnation != a.nodeIncarnation:
	case a.targetIncarnation != a.target.incarnation:
		a.receiveOutcome(balance.ConnectFailed)
	case !a.target.model.Connect():
		w.schedule(w.now+2*a.oneWayDelay, a, attemptEnd, uint64(balance.Full))
	default:
		a.hasConn = true
		w.record(history.Event{Kind: history.Connect, Node: n.Name, Server: a.target.Name})
		a.write(a.oneWayDelay, a.work+a.target.model.Machine.HandshakeWork)
	}
}

// Events of an attempt.
const (
	attemptTimeout eventKind = iota
	connectionUp
	serverArrival
	attemptEnd // the argument is the outcome
)

func (a *attempt) handleEvent(kind eventKind, arg uint64) {
	if kind != serverArrival && a.node.deferIfPaused(a, kind, arg) {
		return
	}
	switch kind {
	case attemptTimeout:
		a.abort(balance.TimedOut)
	case connectionUp:
		a.connectionEstablished()
	case serverArrival:
		a.reachServer()
	case attemptEnd:
		a.receiveOutcome(balance.OutcomeCode(arg))
	}
}

// write sends the request, unless the server is draining or the request is done.
// It models the node's check before the first byte.
func (a *attempt) write(delay, work time.Duration) {
	n, w := a.node, a.node.world
	if a.server.closed && !w.skipDrainCheck || a.request != nil && a.request.done {
		n.keepConn(a.target, a.targetIncarnation)
		a.finish(balance.Moot)
		return
	}
	if n.fleet != nil && a.request != nil {
		n.fleet.agent.Recorder().SendCounter(a.server.Name).Add(Epoch + w.now)
	}
	if n.link(a.target).state == "reset" {
		w.schedule(w.now+delay, a, attemptEnd, uint64(balance.Reset))
		return
	}
	a.work = work
	w.schedule(w.now+delay, a, serverArrival, 0)
}

// reachServer handles the arrival of the last byte at the machine.
func (a *attempt) reachServer() {
	n, work := a.node, a.work
	switch state := n.link(a.target).state; {
	case a.ended:
		if a.targetIncarnation == a.target.incarnation { // the server may still read from the closed connection
			a.target.receiveAbandoned(a, work)
		}
	case a.target.unreachable || state == "black-hole" || state == "half-open":
		// lost; the connection is reset when the machine is reachable again
		a.target.inFlight[a.id] = a
		a.target.inFlightOrder = append(a.target.inFlightOrder, a.id)
	case a.targetIncarnation != a.target.incarnation || !a.target.running():
		a.respond(balance.Reset)
	default:
		a.target.receive(a, work)
	}
}

// respond sends an outcome to the node over the network. An unreachable machine
// sends nothing.
func (a *attempt) respond(code balance.OutcomeCode) {
	w := a.node.world
	if a.target.unreachable || a.node.link(a.target).state == "black-hole" {
		return
	}
	delay := w.networkDelay(a.node.Zone, a.target.Zone) + a.target.linkDelay(a)
	w.schedule(w.now+delay, a, attemptEnd, uint64(code))
}

// receiveOutcome handles an outcome at the node. The connection is kept after a
// complete answer and closed otherwise.
func (a *attempt) receiveOutcome(code balance.OutcomeCode) {
	n := a.node
	if a.ended || n.incarnation != a.nodeIncarnation {
		return
	}
	switch {
	case !a.hasConn: // there is no connection to keep or close
	case code == balance.OK || code == balance.Full && a.targetIncarnation == a.target.incarnation:
		n.keepConn(a.target, a.targetIncarnation)
	case code != balance.ConnectFailed && a.targetIncarnation == a.target.incarnation:
		n.closeConn(a.target)
	}
	a.finish(code)
}

// abort ends the attempt from the node's side and closes its connection.
func (a *attempt) abort(code balance.OutcomeCode) {
	n := a.node
	if a.ended || n.incarnation != a.nodeIncarnation {
		return
	}
	if a.hasConn && a.targetIncarnation == a.target.incarnation {
		n.closeConn(a.target)
	}
	a.target.cancelAttempt(a)
	a.finish(code)
}

// finish reports the outcome to the module.
func (a *attempt) finish(code balance.OutcomeCode) {
	n, r := a.node, a.request
	a.ended = true
	elapsed := n.world.now - a.sentAt
	if a.probe {
		n.handle(balance.ProbeEnded{Server: a.server.id, Code: code, Elapsed: elapsed, Report: a.report})
		return
	}
	r.pendingAttempts--
	if code == balance.OK {
		a.server.lastAnswer = Epoch + n.world.now
	}
	if code == balance.OK && !r.done {
		r.done = true
		r.clientTry.scheduleAnswer(n.world.jitter(n.world.scenario.Net.ClientDelay.Duration), history.Served, a.target.Name, 0)
	}
	ended := balance.AttemptEnded{ID: balance.RequestID(r.id), Attempt: a.number, Server: a.server.id, RequestDone: r.done,
		Elapsed: elapsed, Code: code, Report: a.report}
	if n.world.mutant != nil {
		n.handle(ended)
	} else { // the module does not retain events, so one is reused
		n.outcome = ended
		n.handle(&n.outcome)
	}
	n.release(r)
}

// keepConn returns a connection to the pool, or closes it if the server is closed to new requests.
func (n *node) keepConn(c *machine, incarnation int) {
	if c.incarnation != incarnation {
		return
	}
	p := n.pool(c)
	if p.incarnation != incarnation {
		*p = pool{incarnation: incarnation}
	}
	if server := n.server(c.id); server != nil && server.closed {
		n.closeConn(c)
		return
	}
	p.idle++
}

func (n *node) closeConn(c *machine) {
	c.model.Disconnect()
	n.world.record(history.Event{Kind: history.Disconnect, Node: n.Name, Server: c.Name})
}

func (n *node) closeIdle(c *machine) {
	if p := n.pool(c); p.incarnation == c.incarnation {
		for ; p.idle > 0; p.idle-- {
			n.closeConn(c)
		}
	}
}

// sendMessage sends a message of the module to one node or to all.
func (n *node) sendMessage(message balance.SendMessage) {
	if message.ToAll {
		for _, peer := range n.world.nodes {
			if peer != n {
				n.sendDatagram(peer.Number, message.Data)
			}
		}
		return
	}
	if n.fleet != nil {
		message.Data = n.fleet.member.Wrap(Epoch+n.world.now, message.To, message.Data)
	}
	n.sendDatagram(message.To, message.Data)
}

// sendDatagram sends a datagram to another node, subject to loss, duplication and delay.
func (n *node) sendDatagram(to int, data []byte) {
	if to < 0 || to >= len(n.world.nodes) || to == n.Number {
		return
	}
	peer := n.world.nodes[to]
	n.world.record(history.Event{Kind: history.PeerMessage, Node: n.Name, Bytes: len(data)})
	effect, impaired := n.world.impairments[[2]int{n.Number, to}]
	if impaired {
		n.world.record(history.Event{Kind: history.DatagramFault, Node: n.Name})
	}
	for range 1 + bernoulli(n.world, effect.duplicate) {
		if n.world.rng.Float64() < max(effect.loss, n.world.scenario.Net.PeerLoss) {
			continue
		}
		incarnation := peer.incarnation
		n.world.after(n.world.jitter(n.world.scenario.Net.PeerDelay.Duration)+effect.extraDelay(n.world), func() {
			peer.receiveDatagram(incarnation, n.Number, data)
		})
	}
}
