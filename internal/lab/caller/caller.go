// Package caller is the stand-in clients, with the front that deals out their
// connections: the orders of a load stream, sent over sockets in the form of
// the protocol page, with the clients' own retries.
package caller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/lab/socket"
)

const (
	dialTime   = time.Second
	piecePause = 30 * time.Millisecond // between the pieces of a request that is written slowly
	maxIdle    = 512                   // kept connections; more are closed
	maxOpen    = 4096
	slowRead   = 20 * time.Millisecond // what a slow reader waits before it reads
)

// Target is where a connection may go: a node and the process that serves it.
type Target struct {
	Node, Addr  string
	Incarnation int // counts the node's processes
}

// Balancer deals out connections among the nodes of a hall. Its methods may be
// called from several goroutines.
type Balancer struct {
	mu     sync.Mutex
	halls  map[string]string // node: hall
	order  []string
	places map[string]Target    // those it knows to be up
	lives  map[string]int       // of the processes that have been killed so far
	ends   map[Target]time.Time // when, by node and life
	turn   int
}

// NewBalancer makes one for the nodes of a scenario.
func NewBalancer(nodes []scenario.Node) *Balancer {
	f := &Balancer{halls: map[string]string{}, places: map[string]Target{}, lives: map[string]int{}, ends: map[Target]time.Time{}}
	for _, n := range nodes {
		f.halls[n.Name] = n.Zone
		f.order = append(f.order, n.Name)
	}
	return f
}

// Add takes a node in.
func (f *Balancer) Add(p Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places[p.Node] = p
}

// Remove leaves a process of a node out.
func (f *Balancer) Remove(node string, life int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.places[node].Incarnation == life {
		delete(f.places, node)
	}
}

// MarkKilled notes that a process was killed, before the front notices it: what it
// had taken is the clients' to retry.
func (f *Balancer) MarkKilled(node string, life int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives[node], f.ends[Target{Node: node, Incarnation: life}] = life, time.Now()
}

// killTime is how long a process may go on that is being killed.
const killTime = 100 * time.Millisecond

// wasKilled tells whether a process was killed that may have had a request in its
// hands by then; not one that was sent on an old connection of it long after.
func (f *Balancer) wasKilled(p Target, sent time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Incarnation > f.lives[p.Node] {
		return false
	}
	end, known := f.ends[Target{Node: p.Node, Incarnation: p.Incarnation}]
	return !known || !sent.After(end.Add(killTime))
}

// Pick gives the node for the next connection from a hall; a hall without one
// is served by the others.
func (f *Balancer) Pick(hall string) (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, near := range []bool{true, false} {
		var up []Target
		for _, name := range f.order {
			if p, known := f.places[name]; known && (f.halls[name] == hall) == near {
				up = append(up, p)
			}
		}
		if len(up) > 0 {
			f.turn++
			return up[f.turn%len(up)], true
		}
	}
	return Target{}, false
}

// Clients sends orders. Its methods may be called from several goroutines.
type Clients struct {
	Scenario *scenario.Scenario
	Balancer *Balancer
	Clock    func() time.Duration
	Record   func(history.Event)
	Slack    time.Duration // that a client waits past its time, so that the judge sees how late an answer is

	extra atomic.Int64 // numbers of what is sent to nodes that are told to end

	mu    sync.Mutex
	idle  map[string][]*conn // by hall, the warmest last
	open  int
	stats Stats
}

// Stats are the clients' own counts.
type Stats struct {
	Dialled, Resent, NoNode int
	LateRequests            int // requests on connections of nodes that were told to end
	CloseRaces              int // of these, on connections that had carried nothing and were closed unread just then
}

type conn struct {
	*net.TCPConn
	r     *bufio.Reader // over the conn's own Read
	reads int           // since the latest answer began to arrive
	place Target
}

func newConn(nc *net.TCPConn, p Target) *conn {
	k := &conn{TCPConn: nc, place: p}
	k.r = bufio.NewReader(k)
	return k
}

// Read counts the reads of the connection.
func (k *conn) Read(to []byte) (int, error) {
	k.reads++
	return k.TCPConn.Read(to)
}

// Send sends an order with its retries and returns when it is over.
func (c *Clients) Send(o *load.Order) {
	c.Record(history.Event{At: c.Clock(), Kind: history.OrderIssued, Order: o.ID, Class: o.Class.Name})
	for n := 0; ; n++ {
		st, retryAfter := c.try(o, n)
		wait, again := load.NextRetry(c.Scenario, o, n, st, retryAfter, c.Clock())
		if !again {
			return
		}
		time.Sleep(wait)
	}
}

// try sends one try and gives how it ended.
func (c *Clients) try(o *load.Order, n int) (history.Status, time.Duration) {
	id := fmt.Sprintf("%s.%d", o.ID, n)
	patience := load.TryTimeout(c.Scenario, o, c.Clock())
	if patience < time.Millisecond {
		return history.Abandoned, 0
	}
	text := wording(o, id, patience)
	var last result
	for resend := false; ; resend = true {
		k, fresh := c.take(o.Zone, resend)
		if k == nil {
			c.mu.Lock()
			c.stats.NoNode++
			c.mu.Unlock()
			return history.Unreachable, 0
		}
		began := time.Now()
		last = c.exchange(k, text, id, o, patience)
		// A connection that the node closed between requests, as it may: the
		// request goes out once more on a new one. Not if the process was killed
		// with the request in its hands.
		if last.status == history.ConnectionBroken && last.silent && !fresh && !resend && !c.Balancer.wasKilled(k.place, began) {
			c.mu.Lock()
			c.stats.Resent++
			c.mu.Unlock()
			continue
		}
		if !last.written {
			return history.Unreachable, 0
		}
		c.tell(o, id, n, k, last, patience)
		break
	}
	return last.status, last.retryAfter
}

// tell records a try and how it ended.
func (c *Clients) tell(o *load.Order, id string, n int, k *conn, r result, patience time.Duration) {
	c.Record(history.Event{At: r.sent, Kind: history.Try, Order: o.ID, Try: id, Number: n, Class: o.Class.Name,
		Node: k.place.Node, Key: o.Key, Deadline: r.sent + patience})
	c.Record(history.Event{At: r.ended, Kind: history.Answer, Try: id, Status: r.status, Server: r.server})
	if r.extra {
		c.Record(history.Event{At: r.ended, Kind: history.ExtraData, Try: id})
	}
}

// wording words a try in the form of the protocol page.
func wording(o *load.Order, id string, patience time.Duration) string {
	var text strings.Builder
	method := http.MethodPost
	if o.Class.Effect == history.Safe {
		method = http.MethodGet
	}
	fmt.Fprintf(&text, "%s /%s/clip?sid=%s&work=%d HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		method, o.Class.Name, o.ID, o.Work.Microseconds(), id, o.Class.Name, patience.Milliseconds())
	if o.Tenant != "" {
		fmt.Fprintf(&text, "Tenant: %s\r\n", o.Tenant)
	}
	if o.Key != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", o.Key)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: 8\r\n\r\nplease\r\n")
	} else {
		text.WriteString("\r\n")
	}
	return text.String()
}

// take gives the warmest idle connection from a hall, or opens one.
func (c *Clients) take(hall string, fresh bool) (k *conn, isFresh bool) {
	c.mu.Lock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	if list := c.idle[hall]; !fresh && len(list) > 0 {
		k = list[len(list)-1]
		c.idle[hall] = list[:len(list)-1]
		c.mu.Unlock()
		return k, false
	}
	if c.open >= maxOpen {
		c.mu.Unlock()
		return nil, true
	}
	c.open++
	c.stats.Dialled++
	c.mu.Unlock()
	if p, any := c.Balancer.Pick(hall); any {
		if nc, err := socket.Dial(p.Addr, dialTime); err == nil {
			return newConn(nc, p), true
		}
	}
	c.drop(nil)
	return nil, true
}

func (c *Clients) drop(k *conn) {
	if k != nil {
		k.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

func (c *Clients) keep(hall string, k *conn) {
	c.mu.Lock()
	if len(c.idle[hall]) < maxIdle {
		c.idle[hall] = append(c.idle[hall], k)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.drop(k)
}

// Stats gives the counts.
func (c *Clients) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Close gives up idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			k.Close()
		}
	}
	c.idle = nil
}

// result is how one exchange went.
type result struct {
	status      history.Status
	written     bool
	silent      bool // it broke before the first byte of an answer
	sent, ended time.Duration
	retryAfter  time.Duration
	server      string
	extra       bool
}

func (c *Clients) exchange(k *conn, text, id string, o *load.Order, patience time.Duration) (r result) {
	keep := false
	arrived := time.Duration(-1) // when the whole answer did, if it was read at once
	defer func() {
		if r.ended = c.Clock(); arrived >= 0 {
			r.ended = arrived
		}
		if keep {
			c.keep(o.Zone, k)
		} else {
			c.drop(k)
		}
	}()
	k.SetDeadline(time.Now().Add(patience + c.Slack + time.Duration(o.WritePieces)*piecePause))
	r.sent = c.Clock()
	if err := writePieces(k, text, o.WritePieces); err != nil {
		r.status, r.silent = history.ConnectionBroken, true
		return r
	}
	r.written, r.sent = true, c.Clock()
	k.SetDeadline(time.Now().Add(patience + c.Slack))
	if o.AbandonAfter > 0 {
		k.SetReadDeadline(time.Now().Add(o.AbandonAfter))
	}
	firstAt, err := c.await(k)
	if err != nil {
		if r.status, r.silent = lost(err), true; o.AbandonAfter > 0 && r.status == history.TimedOut {
			r.status = history.Abandoned
		}
		return r
	}
	k.SetDeadline(time.Now().Add(patience + c.Slack))
	if o.SlowReader {
		c.Record(history.Event{At: c.Clock(), Kind: history.SlowRead, Try: id})
		time.Sleep(slowRead)
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		r.status = lost(err)
		return r
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10+1))
	if err != nil {
		r.status = lost(err)
		return r
	}
	if k.reads == 1 {
		arrived = firstAt
	}
	r.extra = k.r.Buffered() > 0
	keep = !resp.Close && !r.extra
	switch resp.StatusCode {
	case http.StatusOK:
		r.status = history.WrongContent
		if rest, ok := strings.CutPrefix(string(body), "clip "+id+" by "); ok {
			r.status, r.server = history.Served, strings.TrimSpace(rest)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.status = history.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			r.retryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		r.status = history.Failed
	}
	return r
}

// await waits for the first byte of an answer, and tells when it arrived: when the kernel had it, not when
// this process, which shares the machine with all nodes, came to read it.
func (c *Clients) await(k *conn) (at time.Duration, err error) {
	age, some, err := socket.AwaitArrival(k.TCPConn)
	at = c.Clock() - age
	if err == nil && !some {
		err = io.EOF
	}
	k.reads = 0
	return at, err
}

// writePieces writes a request in so many pieces, with a pause between them.
func writePieces(w io.Writer, text string, pieces int) error {
	for i := 1; i < pieces; i++ {
		cut := len(text) / (pieces - i + 1)
		if _, err := io.WriteString(w, text[:cut]); err != nil {
			return err
		}
		text = text[cut:]
		time.Sleep(piecePause)
	}
	_, err := io.WriteString(w, text)
	return err
}

// lost tells a time-out from a broken connection.
func lost(err error) history.Status {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return history.TimedOut
	}
	return history.ConnectionBroken
}
