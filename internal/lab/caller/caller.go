// Package caller implements the stand-in clients and the load balancer that distributes their
// connections. They send the orders of a load stream over sockets, in the form of the protocol,
// with the clients' own retries.
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
	dialTimeout = time.Second
	piecePause  = 30 * time.Millisecond // between the pieces of a slowly written request
	maxIdle     = 512                   // idle connections kept; further ones are closed
	maxOpen     = 4096
	// slowReadDelay is how long a slow reader waits before it reads.
	slowReadDelay = 20 * time.Millisecond
)

// Target is the destination of a connection: a node and the process that serves it.
type Target struct {
	Node, Addr  string
	Incarnation int // counts the node's processes
}

// Balancer distributes connections among the nodes of a zone. It is safe for concurrent use.
type Balancer struct {
	mu       sync.Mutex
	zones    map[string]string // by node
	order    []string
	targets  map[string]Target    // the nodes known to be up
	killed   map[string]int       // by node, the incarnation of the last process that was killed
	killedAt map[Target]time.Time // by node and incarnation
	next     int
}

// NewBalancer makes a Balancer for the nodes of a scenario.
func NewBalancer(nodes []scenario.Node) *Balancer {
	b := &Balancer{zones: map[string]string{}, targets: map[string]Target{}, killed: map[string]int{}, killedAt: map[Target]time.Time{}}
	for _, n := range nodes {
		b.zones[n.Name] = n.Zone
		b.order = append(b.order, n.Name)
	}
	return b
}

// Add starts sending connections to a node.
func (b *Balancer) Add(target Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets[target.Node] = target
}

// Remove stops sending connections to a process of a node.
func (b *Balancer) Remove(node string, incarnation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.targets[node].Incarnation == incarnation {
		delete(b.targets, node)
	}
}

// MarkKilled records that a process was killed, before the balancer notices it: requests that it had
// received are left to the clients' retries.
func (b *Balancer) MarkKilled(node string, incarnation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.killed[node], b.killedAt[Target{Node: node, Incarnation: incarnation}] = incarnation, time.Now()
}

// killTime is how long a process may keep running after MarkKilled.
const killTime = 100 * time.Millisecond

// wasKilled reports whether a killed process may have received a request that was sent at a given
// time. It reports false for requests sent on an old connection long after the kill.
func (b *Balancer) wasKilled(target Target, sent time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target.Incarnation > b.killed[target.Node] {
		return false
	}
	end, known := b.killedAt[Target{Node: target.Node, Incarnation: target.Incarnation}]
	return !known || !sent.After(end.Add(killTime))
}

// Pick returns the node for the next connection from a zone. Zones without a node are served by the
// others.
func (b *Balancer) Pick(zone string) (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sameZone := range []bool{true, false} {
		var up []Target
		for _, name := range b.order {
			if target, known := b.targets[name]; known && (b.zones[name] == zone) == sameZone {
				up = append(up, target)
			}
		}
		if len(up) > 0 {
			b.next++
			return up[b.next%len(up)], true
		}
	}
	return Target{}, false
}

// Clients sends orders. It is safe for concurrent use.
type Clients struct {
	Scenario *scenario.Scenario
	Balancer *Balancer
	Clock    func() time.Duration
	Record   func(history.Event)
	// Slack is how much longer than its timeout a client waits, so that the judge sees how late an
	// answer is.
	Slack time.Duration

	lateOrders atomic.Int64 // number of the last order sent during a shutdown

	mu    sync.Mutex
	idle  map[string][]*conn // by zone, the most recently used last
	open  int
	stats Stats
}

// Stats are the clients' own counters.
type Stats struct {
	Dialled, Resent, NoNode int
	LateRequests            int // requests on connections of nodes that are shutting down
	// CloseRaces counts those on unused connections that were closed unread at that moment.
	CloseRaces int
}

type conn struct {
	*net.TCPConn
	r      *bufio.Reader // reads through conn.Read
	reads  int           // since the latest answer began to arrive
	target Target
}

func newConn(nc *net.TCPConn, target Target) *conn {
	k := &conn{TCPConn: nc, target: target}
	k.r = bufio.NewReader(k)
	return k
}

// Read counts the reads of the connection.
func (k *conn) Read(to []byte) (int, error) {
	k.reads++
	return k.TCPConn.Read(to)
}

// Send sends an order with its retries and returns when the last one has ended.
func (c *Clients) Send(o *load.Order) {
	c.Record(history.Event{At: c.Clock(), Kind: history.OrderIssued, Order: o.ID, Class: o.Class.Name})
	for n := 0; ; n++ {
		status, retryAfter := c.try(o, n)
		wait, retry := load.NextRetry(c.Scenario, o, n, status, retryAfter, c.Clock())
		if !retry {
			return
		}
		time.Sleep(wait)
	}
}

// try sends one try and returns how it ended.
func (c *Clients) try(o *load.Order, n int) (history.Status, time.Duration) {
	id := fmt.Sprintf("%s.%d", o.ID, n)
	timeout := load.TryTimeout(c.Scenario, o, c.Clock())
	if timeout < time.Millisecond {
		return history.Abandoned, 0
	}
	text := requestText(o, id, timeout)
	var last result
	for isResend := false; ; isResend = true {
		k, isNew := c.acquire(o.Zone, isResend)
		if k == nil {
			c.mu.Lock()
			c.stats.NoNode++
			c.mu.Unlock()
			return history.Unreachable, 0
		}
		startedAt := time.Now()
		last = c.exchange(k, text, id, o, timeout)
		// A node may close a connection between requests; the request is then resent once on a new
		// one, unless the process may have been killed while it had the request.
		if last.status == history.ConnectionBroken && last.beforeAnswer && !isNew && !isResend && !c.Balancer.wasKilled(k.target, startedAt) {
			c.mu.Lock()
			c.stats.Resent++
			c.mu.Unlock()
			continue
		}
		if !last.written {
			return history.Unreachable, 0
		}
		c.recordTry(o, id, n, k, last, timeout)
		break
	}
	return last.status, last.retryAfter
}

// recordTry records a try and how it ended.
func (c *Clients) recordTry(o *load.Order, id string, n int, k *conn, r result, timeout time.Duration) {
	c.Record(history.Event{At: r.sent, Kind: history.Try, Order: o.ID, Try: id, Number: n, Class: o.Class.Name,
		Node: k.target.Node, Key: o.Key, Deadline: r.sent + timeout})
	c.Record(history.Event{At: r.ended, Kind: history.Answer, Try: id, Status: r.status, Server: r.server})
	if r.extraData {
		c.Record(history.Event{At: r.ended, Kind: history.ExtraData, Try: id})
	}
}

// requestText formats a try in the form of the protocol.
func requestText(o *load.Order, id string, timeout time.Duration) string {
	var text strings.Builder
	method := http.MethodPost
	if o.Class.Effect == history.Safe {
		method = http.MethodGet
	}
	fmt.Fprintf(&text, "%s /%s/clip?sid=%s&work=%d HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		method, o.Class.Name, o.ID, o.Work.Microseconds(), id, o.Class.Name, timeout.Milliseconds())
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

// acquire returns the most recently used idle connection from a zone, or opens one.
func (c *Clients) acquire(zone string, forceNew bool) (k *conn, isNew bool) {
	c.mu.Lock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	if conns := c.idle[zone]; !forceNew && len(conns) > 0 {
		k = conns[len(conns)-1]
		c.idle[zone] = conns[:len(conns)-1]
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
	if target, ok := c.Balancer.Pick(zone); ok {
		if nc, err := socket.Dial(target.Addr, dialTimeout); err == nil {
			return newConn(nc, target), true
		}
	}
	c.discard(nil)
	return nil, true
}

// discard closes a connection; nil stands for one that could not be opened.
func (c *Clients) discard(k *conn) {
	if k != nil {
		k.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// reuse adds a connection to the idle ones, or closes it if there are too many.
func (c *Clients) reuse(zone string, k *conn) {
	c.mu.Lock()
	if len(c.idle[zone]) < maxIdle {
		c.idle[zone] = append(c.idle[zone], k)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.discard(k)
}

// Stats returns the counters.
func (c *Clients) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Close closes idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idle {
		for _, k := range conns {
			k.Close()
		}
	}
	c.idle = nil
}

// result is the outcome of one exchange.
type result struct {
	status       history.Status
	written      bool
	beforeAnswer bool // it failed before the first byte of an answer
	sent, ended  time.Duration
	retryAfter   time.Duration
	server       string
	extraData    bool
}

// exchange sends a request on a connection and reads its answer. The connection is reused or closed.
func (c *Clients) exchange(k *conn, text, id string, o *load.Order, timeout time.Duration) (r result) {
	reuse := false
	// arrivedAt is when the whole answer arrived, if it was read at once.
	arrivedAt := time.Duration(-1)
	defer func() {
		if r.ended = c.Clock(); arrivedAt >= 0 {
			r.ended = arrivedAt
		}
		if reuse {
			c.reuse(o.Zone, k)
		} else {
			c.discard(k)
		}
	}()
	k.SetDeadline(time.Now().Add(timeout + c.Slack + time.Duration(o.WritePieces)*piecePause))
	r.sent = c.Clock()
	if err := writePieces(k, text, o.WritePieces); err != nil {
		r.status, r.beforeAnswer = history.ConnectionBroken, true
		return r
	}
	r.written, r.sent = true, c.Clock()
	k.SetDeadline(time.Now().Add(timeout + c.Slack))
	if o.AbandonAfter > 0 {
		k.SetReadDeadline(time.Now().Add(o.AbandonAfter))
	}
	firstByteAt, err := c.await(k)
	if err != nil {
		if r.status, r.beforeAnswer = errorStatus(err), true; o.AbandonAfter > 0 && r.status == history.TimedOut {
			r.status = history.Abandoned
		}
		return r
	}
	k.SetDeadline(time.Now().Add(timeout + c.Slack))
	if o.SlowReader {
		c.Record(history.Event{At: c.Clock(), Kind: history.SlowRead, Try: id})
		time.Sleep(slowReadDelay)
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		r.status = errorStatus(err)
		return r
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10+1))
	if err != nil {
		r.status = errorStatus(err)
		return r
	}
	if k.reads == 1 {
		arrivedAt = firstByteAt
	}
	r.extraData = k.r.Buffered() > 0
	reuse = !resp.Close && !r.extraData
	switch resp.StatusCode {
	case http.StatusOK:
		r.status = history.WrongContent
		if server, found := strings.CutPrefix(string(body), "clip "+id+" by "); found {
			r.status, r.server = history.Served, strings.TrimSpace(server)
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

// await waits for the first byte of an answer and returns when the kernel received it, which may be
// long before this process reads it.
func (c *Clients) await(k *conn) (at time.Duration, err error) {
	age, readable, err := socket.AwaitArrival(k.TCPConn)
	at = c.Clock() - age
	if err == nil && !readable {
		err = io.EOF
	}
	k.reads = 0
	return at, err
}

// writePieces writes a request in a number of pieces, with a pause between them.
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

// errorStatus distinguishes a timeout from a broken connection.
func errorStatus(err error) history.Status {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return history.TimedOut
	}
	return history.ConnectionBroken
}
