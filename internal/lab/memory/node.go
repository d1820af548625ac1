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
	connectTimeout = 250 * time.Millisecond
	probeTimeout   = 400 * time.Millisecond
	callTimeout    = 2200 * time.Millisecond // of a call to discovery
	acceptTime     = 600 * time.Millisecond  // after the word to end
	frontNotice    = time.Second             // until the front knows that a node has died
)

// node is one node: its module, and the shell round it.
type node struct {
	scenario.Node
	w        *world
	life     int // counts processes
	up       bool
	dealt    bool // the front sends it new requests
	module   Decider
	requests map[balance.RequestID]*request
	listed   []*listed // by the server's id, which is a small number here; nil: never on the list
	pools    []pool    // by the machine's id
	version  uint64
	known    hosts.List // as it had it last
	watch    int        // counts watches; the one that runs
	watching bool
	pushed   bool   // the list comes without being asked for
	sent     uint64 // what the watch has been told
	outcome  balance.AttemptEnded
	token    int64         // of the one timer that a module uses at a time
	cut      bool          // from discovery
	asleep   time.Duration // stands still until then
	fleet    *fleet        // nil: off
}

// listed is a server as the node knows it.
type listed struct {
	*machine
	closed    bool          // draining or gone
	answered  time.Duration // when it last did; Unix time
	lifecycle hosts.Entry   // as discovery told it
}

// server gives a server that the node knows, or nil.
func (n *node) server(id balance.ServerID) *listed {
	if int(id) < len(n.listed) {
		return n.listed[id]
	}
	return nil
}

// pool gives the idle connections to a machine.
func (n *node) pool(c *machine) *pool {
	if int(c.id) >= len(n.pools) {
		n.pools = append(n.pools, make([]pool, len(n.w.machines)+1-len(n.pools))...)
	}
	return &n.pools[c.id]
}

// link gives what the lab does to the connections to a machine.
func (n *node) link(c *machine) link {
	if len(n.w.links) == 0 {
		return link{}
	}
	return n.w.links[pair{n, c}]
}

// pool holds the node's idle connections to one process.
type pool struct{ life, idle int }

// request is a try that the node has taken.
type request struct {
	*client
	deadline time.Duration
	attempts []*attempt
	out      int
	over     bool
	arrived  balance.RequestArrived
}

// attempt is one send, or one probe.
type attempt struct {
	id      uint64
	node    *node
	life    int // of the node
	request *request
	number  int
	server  *listed
	to      *machine // the process that its connection leads to
	toLife  int
	try     string
	key     string
	probe   bool
	sentAt  time.Duration
	extra   time.Duration // delay that the lab's links have added
	delay   time.Duration // one way, as its connection comes up
	work    time.Duration // that it brings
	onConn  bool          // it has a connection
	ended   bool
	report  *balance.Report
}

func (n *node) start() {
	n.life++
	n.up = true
	settings, seed := nodeconf.Module(n.w.s, n.Number, n.w.deploy), int64(n.w.rng.Uint64()>>1)
	if n.w.decider != nil {
		n.module = n.w.decider(n.Node, settings, seed)
	} else {
		n.module = decider.New(settings, seed)
	}
	n.requests, n.listed = map[balance.RequestID]*request{}, nil
	n.pools, n.watching, n.pushed = nil, false, !settings.ListOnDemand
	n.fleet = newFleet(n, settings, seed)
	if n.known.Instances == nil {
		n.known = n.w.registry.All()
	}
	n.w.record(history.Event{Kind: history.NodeUp, Node: n.Name})
	n.deal(true)
	n.follow(balance.ListCached, n.known)
	if n.pushed { // to an agent that is always asked
		if n.watching, n.sent = true, n.known.Generation; !n.w.outage {
			n.w.tell(n)
		}
	}
}

// deal says whether the front sends the node new requests.
func (n *node) deal(on bool) { n.dealt, n.w.dealt = on, nil }

// kill ends the process outright.
func (n *node) kill() {
	n.w.record(history.Event{Kind: history.NodeKilled, Node: n.Name})
	n.stop()
	for _, c := range n.clientsOut() {
		c.later(n.w.jitter(n.w.s.Net.Client.Duration), history.Broken, "", 0)
	}
	n.requests = nil
	n.w.after(frontNotice, func() {
		if !n.up {
			n.deal(false)
		}
	})
}

// clientsOut lists the clients that wait for an answer, in order of arrival.
func (n *node) clientsOut() []*client {
	var out []*client
	for _, c := range n.w.waiting(n) {
		if r := n.requests[balance.RequestID(c.try)]; r != nil && !r.over {
			out = append(out, c)
		}
	}
	return out
}

func (n *node) stop() {
	n.tellRecord()
	n.life++
	n.up, n.watching = false, false
	for _, c := range n.w.machines {
		for _, id := range append([]uint64(nil), c.order...) {
			if a := c.out[id]; a != nil && a.node == n {
				a.ended = true
				if a.onConn && a.toLife == c.life {
					n.hangUp(c)
				}
				c.left(a)
			}
		}
		if p := n.pool(c); p.life == c.life {
			for range p.idle {
				n.hangUp(c)
			}
		}
	}
	n.pools = nil
}

// term is a planned restart: taken requests are answered, then it ends.
func (n *node) term(length time.Duration, again bool) {
	w := n.w
	w.record(history.Event{Kind: history.NodeTerm, Node: n.Name})
	life := n.life
	w.after(acceptTime, func() {
		if n.life == life {
			n.deal(false)
		}
	})
	w.after(max(length, acceptTime), func() {
		if n.life != life {
			return
		}
		for _, c := range n.clientsOut() { // as the shell does at the end of a drain
			r := n.requests[balance.RequestID(c.try)]
			n.answer(r, history.Failed, "", 0)
		}
		w.record(history.Event{Kind: history.NodeEnded, Node: n.Name})
		if n.fleet != nil {
			n.fleetDo(member.Leaving{})
		}
		n.stop()
		if again {
			w.after(100*time.Millisecond, n.start)
		}
	})
}

// handle gives an event to the module and carries out what it wants.
func (n *node) handle(e balance.Event) {
	w := n.w
	// A copy, as what is done may end an attempt at once, of which the module is
	// told before the rest is done.
	var room [8]balance.Action
	actions := append(room[:0], n.module.Handle(Epoch+w.now, e)...)
	if w.mutant != nil {
		actions = w.mutant(w.now, n.Name, e, actions)
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
				r.attempts[a.Attempt].giveUp(balance.Cancelled)
			}
		case balance.SetTimer:
			n.token = a.Token
			w.plan(w.now+a.After, n, timerFires, uint64(n.life))
		case balance.Probe:
			n.probe(a)
		case balance.SendMessage:
			n.message(a)
		case balance.Subscribe:
			n.subscribe(a.On)
		case balance.FetchList:
			n.subscribe(true)
		case balance.CloseIdleConns:
			if l := n.server(a.Server); l != nil {
				n.dropIdle(l.machine)
			}
		}
	}
}

// timerFires happens to a node; the number is the process that set the timer.
const (
	timerFires what = iota
	fleetTicks
)

func (n *node) happen(what what, life uint64) {
	if n.sleeps(n, what, life) {
		return
	}
	if what == fleetTicks {
		n.fleetTick(life)
		return
	}
	if uint64(n.life) == life {
		n.handle(balance.TimerFired{Token: n.token})
	}
}

// arrive takes a client's try.
func (n *node) arrive(c *client, patience time.Duration) {
	r := &request{client: c, deadline: n.w.now + patience}
	tenant := c.order.Tenant
	if n.fleet != nil && !n.admit(c, r, tenant) {
		return
	}
	n.requests[balance.RequestID(c.try)] = r
	r.arrived = balance.RequestArrived{ID: balance.RequestID(c.try), Class: c.order.Class.Name, Tenant: tenant, ClientTimeout: patience}
	if n.w.mutant != nil { // it looks at plain ones
		n.handle(r.arrived)
		return
	}
	n.handle(&r.arrived)
}

// answer gives the final answer, once.
func (n *node) answer(r *request, st history.Status, server string, holdOff time.Duration) {
	if r.over {
		return
	}
	r.over = true
	r.client.later(n.w.jitter(n.w.s.Net.Client.Duration), st, server, holdOff)
	n.forget(r)
}

func (n *node) forget(r *request) {
	if r.over && r.out == 0 {
		delete(n.requests, balance.RequestID(r.try))
	}
}

// abandoned tells that a client has closed its connection.
func (n *node) abandoned(c *client) {
	if n.w.now < n.asleep {
		n.w.at(n.asleep, func() { n.abandoned(c) })
		return
	}
	r := n.requests[balance.RequestID(c.try)]
	if r == nil || r.over {
		return
	}
	r.over = true
	n.handle(balance.RequestAbandoned{ID: balance.RequestID(c.try)})
	n.forget(r)
}

func (n *node) send(s balance.Send) {
	r, l := n.requests[s.ID], n.server(s.Server)
	if r == nil || l == nil {
		return
	}
	end := r.deadline
	if s.Timeout != 0 {
		end = min(end, n.w.now+s.Timeout)
	}
	a := &attempt{node: n, life: n.life, request: r, number: len(r.attempts), server: l, try: r.try, key: r.order.Key, sentAt: n.w.now}
	r.attempts = append(r.attempts, a)
	r.out++
	n.w.plan(end, a, timesOut, 0)
	a.begin(r.order.Work)
}

func (n *node) probe(p balance.Probe) {
	l := n.server(p.Server)
	if l == nil {
		return
	}
	a := &attempt{node: n, life: n.life, server: l, probe: true, sentAt: n.w.now}
	n.w.plan(n.w.now+connectTimeout+probeTimeout, a, timesOut, 0)
	a.begin(l.model.Machine.Probe)
}

// begin takes a connection, or opens one, and writes.
func (a *attempt) begin(work time.Duration) {
	n, w := a.node, a.node.w
	w.attempts++
	a.id = w.attempts
	a.to = a.server.process()
	a.toLife = a.to.life
	delay := w.between(n.Hall, a.to.Hall) + a.to.delay(a)
	if p := n.pool(a.to); p.life == a.to.life && p.idle > 0 {
		p.idle--
		a.onConn = true
		a.write(delay, work)
		return
	}
	switch state := n.link(a.to).state; {
	case a.to.silent || state == "black-hole":
		w.plan(w.now+connectTimeout, a, ends, uint64(balance.ConnectFailed))
	case !a.to.running() || state == "reset":
		w.plan(w.now+2*delay, a, ends, uint64(balance.ConnectFailed))
	default:
		a.delay, a.work = delay, work
		w.plan(w.now+2*delay, a, connects, 0)
	}
}

// connected is when a new connection is up.
func (a *attempt) connected() {
	n, w := a.node, a.node.w
	switch {
	case a.ended || n.life != a.life:
	case a.toLife != a.to.life:
		a.end(balance.ConnectFailed)
	case !a.to.model.Connect():
		w.plan(w.now+2*a.delay, a, ends, uint64(balance.Full))
	default:
		a.onConn = true
		w.record(history.Event{Kind: history.Connect, Node: n.Name, Server: a.to.Name})
		a.write(a.delay, a.work+a.to.model.Machine.Handshake)
	}
}

// What happens to an attempt.
const (
	timesOut what = iota
	connects
	comesToServer
	ends // the number is its outcome
)

func (a *attempt) happen(what what, n uint64) {
	if what != comesToServer && a.node.sleeps(a, what, n) {
		return
	}
	switch what {
	case timesOut:
		a.giveUp(balance.TimedOut)
	case connects:
		a.connected()
	case comesToServer:
		a.comes()
	case ends:
		a.end(balance.OutcomeCode(n))
	}
}

// write sends the request, unless the server wants nothing new by now or the
// request is over: guards as the shell's check before the first byte does.
func (a *attempt) write(delay, work time.Duration) {
	n, w := a.node, a.node.w
	if a.server.closed && !w.deaf || a.request != nil && a.request.over {
		n.keep(a.to, a.toLife)
		a.finish(balance.Moot)
		return
	}
	if n.fleet != nil && a.request != nil {
		n.fleet.agent.Recorder().SendCounter(a.server.Name).Add(Epoch + w.now)
	}
	if n.link(a.to).state == "reset" {
		w.plan(w.now+delay, a, ends, uint64(balance.Reset))
		return
	}
	a.work = work
	w.plan(w.now+delay, a, comesToServer, 0)
}

// comes is when the last byte has reached the machine.
func (a *attempt) comes() {
	n, work := a.node, a.work
	switch state := n.link(a.to).state; {
	case a.ended:
		if a.toLife == a.to.life { // its connection was closed behind it: the server may still read it
			a.to.arriveAbandoned(a, work)
		}
	case a.to.silent || state == "black-hole" || state == "half-open":
		// lost; what stands is reset when the machine is back
		a.to.out[a.id] = a
		a.to.order = append(a.to.order, a.id)
	case a.toLife != a.to.life || !a.to.running():
		a.back(balance.Reset)
	default:
		a.to.arrive(a, work)
	}
}

// back brings an outcome to the node, through the network. A machine that is
// cut off sends nothing.
func (a *attempt) back(code balance.OutcomeCode) {
	w := a.node.w
	if a.to.silent || a.node.link(a.to).state == "black-hole" {
		return
	}
	delay := w.between(a.node.Hall, a.to.Hall) + a.to.delay(a)
	w.plan(w.now+delay, a, ends, uint64(code))
}

// end is the outcome as the node learns it. The connection is kept after a
// whole answer, and given up after anything else.
func (a *attempt) end(code balance.OutcomeCode) {
	n := a.node
	if a.ended || n.life != a.life {
		return
	}
	switch {
	case !a.onConn: // guards against one that is kept, or closed, and never came up
	case code == balance.OK || code == balance.Full && a.toLife == a.to.life:
		n.keep(a.to, a.toLife)
	case code != balance.ConnectFailed && a.toLife == a.to.life:
		n.hangUp(a.to)
	}
	a.finish(code)
}

// giveUp stops waiting: the connection is closed.
func (a *attempt) giveUp(code balance.OutcomeCode) {
	n := a.node
	if a.ended || n.life != a.life {
		return
	}
	if a.onConn && a.toLife == a.to.life {
		n.hangUp(a.to)
	}
	a.to.left(a)
	a.finish(code)
}

// finish tells the module.
func (a *attempt) finish(code balance.OutcomeCode) {
	n, r := a.node, a.request
	a.ended = true
	took := n.w.now - a.sentAt
	if a.probe {
		n.handle(balance.ProbeEnded{Server: a.server.id, Code: code, Elapsed: took, Report: a.report})
		return
	}
	r.out--
	if code == balance.OK {
		a.server.answered = Epoch + n.w.now
	}
	if code == balance.OK && !r.over {
		r.over = true
		r.client.later(n.w.jitter(n.w.s.Net.Client.Duration), history.Served, a.to.Name, 0)
	}
	ended := balance.AttemptEnded{ID: balance.RequestID(r.try), Attempt: a.number, Server: a.server.id, RequestDone: r.over,
		Elapsed: took, Code: code, Report: a.report}
	if n.w.mutant != nil {
		n.handle(ended)
	} else { // the module keeps none: one place for all of a node, unless it is told of one while it hears another
		n.outcome = ended
		n.handle(&n.outcome)
	}
	n.forget(r)
}

// keep puts a connection back for the next request.
func (n *node) keep(c *machine, life int) {
	if c.life != life {
		return
	}
	p := n.pool(c)
	if p.life != life {
		*p = pool{life: life}
	}
	if l := n.server(c.id); l != nil && l.closed {
		n.hangUp(c)
		return
	}
	p.idle++
}

func (n *node) hangUp(c *machine) {
	c.model.Disconnect()
	n.w.record(history.Event{Kind: history.Disconnect, Node: n.Name, Server: c.Name})
}

func (n *node) dropIdle(c *machine) {
	if p := n.pool(c); p.life == c.life {
		for ; p.idle > 0; p.idle-- {
			n.hangUp(c)
		}
	}
}

// message sends what the module has to say to other nodes.
func (n *node) message(m balance.SendMessage) {
	if m.ToAll {
		for _, peer := range n.w.nodes {
			if peer != n {
				n.post(peer.Number, m.Data)
			}
		}
		return
	}
	if n.fleet != nil {
		m.Data = n.fleet.member.Wrap(Epoch+n.w.now, m.To, m.Data)
	}
	n.post(m.To, m.Data)
}

// post sends a datagram to another node.
func (n *node) post(to int, data []byte) {
	if to < 0 || to >= len(n.w.nodes) || to == n.Number {
		return
	}
	peer := n.w.nodes[to]
	n.w.record(history.Event{Kind: history.Message, Node: n.Name, Bytes: len(data)})
	way, bad := n.w.ways[[2]int{n.Number, to}]
	if bad {
		n.w.record(history.Event{Kind: history.Hindered, Node: n.Name})
	}
	for range 1 + chance(n.w, way.double) {
		if n.w.rng.Float64() < max(way.loss, n.w.s.Net.Lost) {
			continue
		}
		life := peer.life
		n.w.after(n.w.jitter(n.w.s.Net.Messages.Duration)+way.late(n.w), func() {
			peer.hear(life, n.Number, data)
		})
	}
}
