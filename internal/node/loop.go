// Package node is a load-balancing proxy node on real sockets. It decides
// nothing: it reports what happens to the decision module as its events and
// carries out the actions that it gives back.
package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"barrowscale/balance"
)

const (
	eventQueue   = 1024
	acceptTime   = 600 * time.Millisecond  // after SIGTERM: new connections still come for a while
	drainTime    = 3200 * time.Millisecond // after SIGTERM: everything is answered by then
	reapInterval = time.Second
)

// Node is one node. Its loop, a single goroutine, owns the module and all
// that is not said to be shared.
type Node struct {
	cfg       *Config
	classes   map[string]balance.Class
	module    *balance.Module
	start     time.Time
	events    chan any
	done      chan struct{} // closed when the loop has ended
	draining  atomic.Bool   // shared with the handlers
	closed    bool          // at the end of a drain: all that still comes is refused
	requests  map[balance.RequestID]*request
	backends  map[balance.ServerID]*backend
	ids       map[string]balance.ServerID // by discovery's name
	clients   *clientConns
	pool      *pool
	discovery *discovery
	peers     *peers

	acceptMore time.Duration // acceptTime, but in tests
}

// attempt is one send of a request to one backend.
type attempt struct {
	request *request
	number  int
	backend *backend
	sentAt  time.Time
	cancel  context.CancelFunc
}

// What the loop is told, besides *request, listNews and the module's own events.
type (
	clientGone  struct{ *request }
	attemptDone struct {
		*attempt
		result
		elapsed time.Duration
	}
	probeDone struct {
		*backend
		balance.ProbeEnded
	}
	failAll struct{}
	reload  struct{ discovery string }
)

// New makes a node from its configuration.
func New(cfg *Config) *Node {
	n := &Node{cfg: cfg, classes: map[string]balance.Class{}, module: balance.New(cfg.Settings, cfg.Seed),
		start: time.Now(), events: make(chan any, eventQueue), done: make(chan struct{}),
		requests: map[balance.RequestID]*request{}, backends: map[balance.ServerID]*backend{},
		ids: map[string]balance.ServerID{}, clients: newClientConns(cfg.clientSockets()), pool: newPool(cfg),
		acceptMore: acceptTime}
	for _, c := range cfg.Settings.Classes {
		n.classes[c.Name] = c
	}
	n.discovery = newDiscovery(cfg.Discovery, cfg.Known.Generation, n.post)
	return n
}

// Run serves clients on listener until ctx ends, then drains: it goes on
// accepting while new connections may still come, answers all that it has
// taken, and returns.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	var err error
	if n.peers, err = openPeers(n.cfg); err != nil {
		return err
	}
	if n.peers != nil {
		defer n.peers.conn.Close()
		log.Printf("%s takes datagrams on %s", n.cfg.Name, n.peers.conn.LocalAddr())
		go n.peers.receive(n.post)
	}
	n.post(listNews{kind: balance.ListCached, list: n.cfg.Known})
	loopCtx, stopLoop := context.WithCancel(context.Background())
	go n.loop(loopCtx)
	// ReadTimeout and WriteTimeout would cut off a request that has been taken.
	server := &http.Server{Handler: n, MaxHeaderBytes: maxHead, ReadHeaderTimeout: headTime, IdleTimeout: clientIdle,
		ConnState: n.clients.track}
	n.clients.Listener = listener
	served := make(chan error, 1)
	go func() { served <- server.Serve(n.clients) }()
	select {
	case err = <-served:
	case <-ctx.Done():
		err = n.drain(server)
	}
	stopLoop()
	<-n.done
	return err
}

// drain ends the service. http.Server.Shutdown closes the listener at once,
// which would reset connections that are still coming, so it has to wait.
// Until then connections end with their next answer: closing idle ones at once
// could cut off a request that the server has just read.
func (n *Node) drain(server *http.Server) error {
	end := time.Now().Add(drainTime)
	n.draining.Store(true)
	time.Sleep(n.acceptMore)
	fail := time.AfterFunc(time.Until(end), func() { n.post(failAll{}) })
	defer fail.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(200*time.Millisecond))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// Reload takes what may change while the node serves: discovery's address.
func (n *Node) Reload(cfg *Config) { n.post(reload{cfg.Discovery}) }

// move turns to discovery at another address at once. What still comes from
// the old one is ignored. The versions of the two need not be related, so the
// watch begins from the start, with the whole list.
func (n *Node) move(addr string) {
	n.discovery.close()
	n.discovery = newDiscovery(addr, 0, n.post)
	n.discovery.subscribe(true)
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
func (n *Node) now() balance.Time {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

func (n *Node) loop(ctx context.Context) {
	defer close(n.done)
	defer func() { n.discovery.close() }()
	reap := time.NewTicker(reapInterval)
	defer reap.Stop()
	for {
		select {
		case e := <-n.events:
			n.take(e)
		case <-reap.C:
			n.pool.reap()
		case <-ctx.Done():
			return
		}
	}
}

// take turns one event into the module's form.
func (n *Node) take(e any) {
	switch e := e.(type) {
	case *request:
		n.arrive(e)
	case clientGone:
		if n.requests[e.ID] == e.request {
			n.handle(balance.RequestAbandoned{ID: e.ID})
			n.forget(e.request)
		}
	case attemptDone:
		n.ended(e)
	case probeDone:
		n.handle(e.ProbeEnded)
		e.backend.out--
		n.drop(e.backend)
	case listNews:
		if e.from == nil || e.from == n.discovery { // guards against news of an address that was left
			n.follow(e)
		}
	case reload:
		n.move(e.discovery)
	case failAll:
		n.closed = true
		for _, r := range n.requests {
			if n.finish(r, answer{status: http.StatusBadGateway}) {
				n.handle(balance.RequestAbandoned{ID: r.ID})
				n.forget(r)
			}
		}
	case balance.Event:
		n.handle(e)
	}
}

func (n *Node) arrive(r *request) {
	if n.requests[r.ID] != nil {
		r.answer <- answer{status: http.StatusConflict} // the one that has the id is not touched
		return
	}
	if n.closed || len(n.requests) >= min(n.cfg.Settings.MaxOpen, n.cfg.clientSockets()) {
		r.answer <- answer{status: http.StatusServiceUnavailable} // as the settings say: before it reaches the module
		return
	}
	n.requests[r.ID] = r
	r.Patience = time.Until(r.deadline)
	n.handle(r.RequestArrived)
}

func (n *Node) ended(e attemptDone) {
	r := e.request
	r.out--
	if e.code == balance.OK {
		n.finish(r, answer{status: http.StatusOK, body: e.body})
	}
	n.handle(balance.AttemptEnded{ID: r.ID, Attempt: e.number, Server: e.backend.id, Over: r.over.Load(),
		Elapsed: e.elapsed, Code: e.code, Report: e.report})
	n.forget(r)
	e.backend.out--
	n.drop(e.backend)
}

// finish gives the final answer unless there has been one.
func (n *Node) finish(r *request, a answer) bool {
	if !r.over.CompareAndSwap(false, true) {
		return false
	}
	r.answer <- a
	return true
}

// forget drops a request that is over and has no attempt out.
func (n *Node) forget(r *request) {
	if r.over.Load() && r.out == 0 {
		delete(n.requests, r.ID)
	}
}

// follow takes news of the list: first what the pool needs, so that nothing
// new goes to a backend that drains, then the module.
func (n *Node) follow(e listNews) {
	if e.kind == balance.ListFailed {
		n.discovery.subscribe(false)
		n.handle(balance.ListUpdate{Kind: balance.ListFailed})
		return
	}
	n.discovery.version = e.list.Generation
	update := balance.ListUpdate{Kind: e.kind, Version: e.list.Generation}
	listed := map[balance.ServerID]bool{}
	for _, entry := range e.list.Instances {
		id, state := n.idOf(entry.InstanceID), lifecycles[entry.Lifecycle]
		b := n.backends[id]
		if b == nil {
			b = &backend{id: id, name: entry.InstanceID}
			n.backends[id] = b
			n.pool.add(b)
		}
		listed[id] = true
		b.gone = state == balance.Gone
		if b.closed.Store(state != balance.Ready); state != balance.Gone {
			n.pool.update(b, entry.HostPort, entry.StartedAtMs)
		}
		update.Entries = append(update.Entries, balance.Server{ID: id, Zone: entry.Zone, Kind: entry.MachineType,
			Cell: entry.Cell, State: state, Size: entry.Weight,
			StartedAt: time.Duration(entry.StartedAtMs) * time.Millisecond})
	}
	for id, b := range n.backends {
		if e.kind != balance.ListChanges && !listed[id] {
			b.closed.Store(true)
			b.gone = true
		}
		if b.closed.Load() {
			n.pool.closeIdle(b)
		}
	}
	n.handle(update)
	for _, b := range n.backends {
		n.drop(b)
	}
}

// drop forgets a backend that is gone once nothing is out there: guards
// against growth where backends are replaced all day.
func (n *Node) drop(b *backend) {
	if b.gone && b.out == 0 && n.backends[b.id] == b {
		delete(n.backends, b.id)
		delete(n.ids, b.name)
		n.pool.remove(b)
	}
}

// idOf gives the module's number for a backend: a hash of its name, so that
// it is the same after a restart.
func (n *Node) idOf(name string) balance.ServerID {
	if id, known := n.ids[name]; known {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := balance.ServerID(h.Sum32())
	for n.backends[id] != nil {
		id++
	}
	n.ids[name] = id
	return id
}

// handle tells the module and carries out what it wants done.
func (n *Node) handle(e balance.Event) {
	for _, a := range n.module.Handle(n.now(), e) {
		switch a := a.(type) {
		case balance.Send:
			n.send(a)
		case balance.Refuse:
			n.give(a.ID, answer{status: http.StatusServiceUnavailable, holdOff: a.HoldOff})
		case balance.Fail:
			n.give(a.ID, answer{status: http.StatusBadGateway})
		case balance.CancelAttempt:
			if r := n.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].cancel()
			}
		case balance.SetTimer:
			time.AfterFunc(a.After, func() { n.post(balance.TimerFired{Token: a.Token}) })
		case balance.Probe:
			n.probe(a)
		case balance.SendMessage:
			n.peers.send(a)
		case balance.Subscribe:
			n.discovery.subscribe(a.On)
		case balance.FetchList:
			n.discovery.fetch()
		case balance.CloseIdle:
			if b := n.backends[a.Server]; b != nil {
				n.pool.closeIdle(b)
			}
		case balance.Log:
			log.Print(a.Line)
		}
	}
}

// give carries out a final answer of the module.
func (n *Node) give(id balance.RequestID, a answer) {
	if r := n.requests[id]; r != nil {
		n.finish(r, a)
		n.forget(r)
	}
}

// send starts an attempt. Its outcome comes back as an attemptDone, always.
func (n *Node) send(s balance.Send) {
	r, b := n.requests[s.ID], n.backends[s.Server]
	if r == nil || b == nil {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), backend: b, sentAt: time.Now()}
	end := r.deadline
	if t := a.sentAt.Add(s.Timeout); s.Timeout != 0 && t.Before(end) {
		end = t
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	a.cancel = cancel
	r.attempts = append(r.attempts, a)
	r.out++
	b.out++
	go func() {
		defer cancel()
		req := newRequest(r.method, r.uri, r.body)
		req.Header.Set("Request-Id", string(r.ID))
		if r.key != "" {
			req.Header.Set("Idempotency-Key", r.key)
		}
		req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
		res := n.pool.exchange(ctx, b, req, func() bool { return !b.closed.Load() && !r.over.Load() && ctx.Err() == nil })
		n.post(attemptDone{a, res, time.Since(a.sentAt)})
	}()
}

func (n *Node) probe(p balance.Probe) {
	b, sentAt := n.backends[p.Server], time.Now()
	if b == nil {
		return
	}
	b.out++
	go func() {
		res := n.pool.probe(b)
		n.post(probeDone{b, balance.ProbeEnded{Server: b.id, Code: res.code, Elapsed: time.Since(sentAt), Report: res.report}})
	}()
}
