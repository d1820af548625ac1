package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"barrowscale/balance"
)

const (
	maxBody      = 64 << 10
	maxAnswer    = 2 * maxBody            // with head and framing
	answerTime   = 500 * time.Millisecond // for an answer, once its first byte has come: backends send them whole
	maxInterim   = 8                      // 1xx answers ahead of the answer
	idleMargin   = time.Second            // an idle connection is closed this long before the backend may close it
	probeTimeout = 400 * time.Millisecond // for the answer, once the connection is up
)

// backend is one server. The loop alone writes it, but for its idle
// connections, which the pool's lock guards.
type backend struct {
	id        balance.ServerID
	name      string // discovery's
	addr      string
	startedAt int64
	gone      bool        // not on the list any more
	out       int         // attempts and probes whose outcome is to come
	closed    atomic.Bool // draining or gone: nothing new may be sent
	idle      []*conn     // the warmest last
}

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	net.Conn
	limit     *io.LimitedReader // what r may still read: guards against an answer without end
	r         *bufio.Reader
	addr      string
	startedAt int64 // of the process that it leads to, as far as known
	idleSince time.Time
}

// pool keeps the connections to all backends within one budget.
type pool struct {
	connectTimeout, idleTime time.Duration
	mu                       sync.Mutex
	open, most               int
	backends                 map[*backend]bool
}

func newPool(c *Config) *pool {
	return &pool{connectTimeout: c.Settings.ConnectTimeout, most: c.backendSockets(), backends: map[*backend]bool{},
		idleTime: max(c.Settings.ConnIdle-idleMargin, c.Settings.ConnIdle/2)}
}

func (p *pool) add(b *backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backends[b] = true
}

// remove forgets a backend that has no connection any more.
func (p *pool) remove(b *backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(b)
	delete(p.backends, b)
}

// update takes a backend's new address and start. Connections to an older
// process lead nowhere.
func (p *pool) update(b *backend, addr string, startedAt int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.addr != addr || b.startedAt != startedAt {
		b.addr, b.startedAt = addr, startedAt
		p.dropIdle(b)
	}
}

// closeIdle closes a backend's idle connections.
func (p *pool) closeIdle(b *backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(b)
}

func (p *pool) dropIdle(b *backend) {
	for _, c := range b.idle {
		c.Close()
	}
	p.open -= len(b.idle)
	b.idle = nil
}

// take gives the warmest idle connection that still stands, or nil and leave
// to open a new one; ok is false if the budget is spent.
func (p *pool) take(b *backend) (c *conn, addr string, startedAt int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(b.idle) > 0 {
		c := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if time.Since(c.idleSince) < p.idleTime && alive(c.Conn) {
			return c, c.addr, c.startedAt, true
		}
		p.open--
		c.Close()
	}
	if p.open >= p.most && !p.evict() {
		return nil, "", 0, false
	}
	p.open++
	return nil, b.addr, b.startedAt, true
}

// evict closes the idle connection that has waited longest.
func (p *pool) evict() bool {
	var coldest *backend
	for b := range p.backends {
		if len(b.idle) > 0 && (coldest == nil || b.idle[0].idleSince.Before(coldest.idle[0].idleSince)) {
			coldest = b
		}
	}
	if coldest == nil {
		return false
	}
	coldest.idle[0].Close()
	coldest.idle = coldest.idle[1:]
	p.open--
	return true
}

// put keeps a connection for the next request.
func (p *pool) put(b *backend, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.closed.Load() || c.addr != b.addr || c.startedAt != b.startedAt {
		c.Close()
		p.open--
		return
	}
	c.idleSince = time.Now()
	b.idle = append(b.idle, c)
}

// drop gives up a connection, or the leave to open one where c is nil.
func (p *pool) drop(c *conn) {
	if c != nil {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// reap closes connections that have been idle for so long that their backend
// may soon close them: guards against a request crossing that close.
func (p *pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for b := range p.backends {
		for len(b.idle) > 0 && time.Since(b.idle[0].idleSince) >= p.idleTime {
			b.idle[0].Close()
			b.idle = b.idle[1:]
			p.open--
		}
	}
}

// alive tells whether an idle connection still stands: the peer has neither
// closed it nor sent what nobody asked for. Guards against spending an
// attempt, which may count as run, on a connection that is known to be dead.
func alive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// result is how an exchange with a backend ended.
type result struct {
	code   balance.OutcomeCode
	body   []byte
	report *balance.Report
}

// exchange sends one message once and reads the answer, within ctx. mayWrite
// is asked just before the first byte: guards against sending to a backend
// that has begun to drain, or for a request that is over, while the
// connection came up.
func (p *pool) exchange(ctx context.Context, b *backend, req *http.Request, mayWrite func() bool) result {
	c, addr, startedAt, ok := p.take(b)
	if !ok {
		return result{code: balance.Moot} // no descriptor left: no fault of the backend
	}
	if c == nil {
		d := net.Dialer{Timeout: p.connectTimeout}
		nc, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			p.drop(nil)
			if errors.Is(ctx.Err(), context.Canceled) {
				return result{code: balance.Moot}
			}
			return result{code: balance.ConnectFailed}
		}
		limit := &io.LimitedReader{R: nc}
		c = &conn{Conn: nc, limit: limit, r: bufio.NewReader(limit), addr: addr, startedAt: startedAt}
	}
	if !mayWrite() {
		p.put(b, c)
		return result{code: balance.Moot}
	}
	unwatch := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	res, keep := c.roundTrip(req)
	if !unwatch() {
		keep = false
	}
	if keep {
		p.put(b, c)
	} else {
		p.drop(c)
	}
	switch cancelled := errors.Is(ctx.Err(), context.Canceled); {
	case res.code == balance.Reset && cancelled:
		res.code = balance.Cancelled
	case res.code == balance.Reset && ctx.Err() != nil:
		res.code = balance.TimedOut
	case res.code == balance.ConnectFailed && cancelled:
		res.code = balance.Moot // called off before it was wholly written: no fault of the backend
	}
	return res
}

// roundTrip writes the request in one piece and reads the answer whole.
func (c *conn) roundTrip(req *http.Request) (res result, keep bool) {
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return result{code: balance.ConnectFailed}, false
	}
	if n, err := c.Write(out.Bytes()); err != nil && n < out.Len() {
		return result{code: balance.ConnectFailed}, false // its last byte was never written: it has not run
	}
	resp, body, err := c.readAnswer(req)
	if errors.Is(err, errSpoilt) {
		return result{code: balance.ServerError}, false // the backend works, so it is not taken for dead
	}
	if err != nil {
		return result{code: balance.Reset}, false
	}
	res.body, res.report = body, parseReport(resp.Header.Get("Server-Load"))
	switch {
	case resp.StatusCode == http.StatusOK:
		res.code = balance.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		res.code = balance.Full
	default:
		res.code = balance.ServerError
	}
	return res, !resp.Close && c.r.Buffered() == 0
}

// errSpoilt says that an answer came, but none that may be passed on.
var errSpoilt = errors.New("spoilt answer")

// readAnswer reads one answer whole, past the 1xx ones ahead of it. Once the
// first byte is there the rest has answerTime: guards against one that is cut
// short, or noise, on a connection that stays open.
func (c *conn) readAnswer(req *http.Request) (*http.Response, []byte, error) {
	c.limit.N = maxAnswer
	if _, err := c.r.Peek(1); err != nil {
		return nil, nil, err
	}
	end := time.Now().Add(answerTime)
	c.SetReadDeadline(end)
	resp, body, err := c.parseAnswer(req)
	c.SetReadDeadline(time.Time{})
	var broken *net.OpError
	switch {
	case err == nil:
		return resp, body, nil
	case errors.As(err, &broken):
		if broken.Timeout() && !time.Now().Before(end) {
			return nil, nil, errSpoilt
		}
		return nil, nil, err // broken off, or called off
	case (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && c.limit.N > 0:
		return nil, nil, err // broken off
	}
	return nil, nil, errSpoilt
}

// parseAnswer does not wait for more than it takes to see that something is
// no answer.
func (c *conn) parseAnswer(req *http.Request) (*http.Response, []byte, error) {
	for range maxInterim + 1 {
		const version = "HTTP/1."
		for n := 1; n <= len(version); n++ {
			if start, err := c.r.Peek(n); err != nil {
				return nil, nil, err
			} else if start[n-1] != version[n-1] {
				return nil, nil, errSpoilt
			}
		}
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		if resp.ContentLength > maxBody || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, nil, errSpoilt // too long, or of unknown length
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if len(body) > maxBody {
			err = errSpoilt
		}
		return resp, body, err
	}
	return nil, nil, errSpoilt
}

// probe asks a backend for its load.
func (p *pool) probe(b *backend) result {
	ctx, cancel := context.WithTimeout(context.Background(), p.connectTimeout+probeTimeout)
	defer cancel()
	req := newRequest(http.MethodGet, "/metrics/load", nil)
	res := p.exchange(ctx, b, req, func() bool { return !b.closed.Load() })
	if res.code == balance.OK {
		res.report = parseReport(string(res.body))
	}
	return res
}

// newRequest makes a message for a backend. Only what is set here goes out.
func newRequest(method, uri string, body []byte) *http.Request {
	req := &http.Request{Method: method, Host: "service.internal", URL: &url.URL{Opaque: uri},
		Header: http.Header{"User-Agent": {""}}}
	if method == http.MethodPost {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		if len(body) == 0 {
			req.Body = http.NoBody
		}
	}
	return req
}

// parseReport reads name=value pairs. What it does not know or cannot read it
// skips; with nothing left there is no report.
func parseReport(text string) *balance.Report {
	var r balance.Report
	known := false
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e12) {
			continue
		}
		switch name {
		case "inflight":
			r.InFlight, r.HasInFlight = v, true
		case "queue":
			r.Queue, r.HasQueue = v, true
		case "util":
			r.Utilisation = v
		case "latency_ms":
			r.ServiceTime = time.Duration(v * float64(time.Millisecond))
		case "qps":
			r.Rate = v
		case "eps":
			r.ErrorRate = v
		default:
			continue
		}
		known = true
	}
	if !known {
		return nil
	}
	return &r
}
