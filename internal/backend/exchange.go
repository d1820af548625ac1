package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"ivylock/balance"
	"ivylock/internal/bounded"
	"ivylock/internal/loadreport"
	"ivylock/internal/neterr"
)

const (
	probeTimeout = 400 * time.Millisecond // for the answer, once the connection is up
	stallTime    = 5 * time.Second        // in which a backend must take a piece of a body that is passed on
)

// Result is how an exchange with a server ended.
type Result struct {
	Code        balance.OutcomeCode
	Body        []byte          // of a 200 that was read whole
	Report      *balance.Report // nil if none came
	FirstByteAt time.Time       // when the answer's first byte came; zero if none was read
}

// Call is one message to a server. All but Request may be nil.
type Call struct {
	// Request is sent once. Its body may come from elsewhere in pieces, and
	// need not be whole when the sending begins.
	Request *http.Request
	// Prepare is called once a connection is up, just before the message is
	// worded: it sets what depends on the time.
	Prepare func(*http.Request)
	// MayWrite is asked just before the first byte: guards against sending to
	// a backend that has begun to drain, or for a request that is over, while
	// the connection came up.
	MayWrite func() bool
	// OnWritten is called once the last byte is written: from then on it may run.
	OnWritten func()
	// OnStream is called with a 200 that is too long to be held. Whoever takes it
	// reads it to its end and then calls its Done; until then the exchange
	// goes on.
	OnStream func(*Stream)
}

// Stream is an answer that is passed on in pieces.
type Stream struct {
	Prefix []byte // read already
	Length int64  // of all; -1: not known before it ends
	answer *bounded.Response
	ended  func(error)
}

// NewStream makes a stream of an answer; ended is told how the passing on ended.
func NewStream(answer *bounded.Response, ended func(error)) *Stream {
	s := &Stream{Length: -1, answer: answer, ended: ended}
	if answer != nil {
		s.Prefix, s.Length = answer.Prefix, answer.BodyLength
	}
	return s
}

// Read reads what comes after Start. The error is io.EOF at the answer's
// proper end and nothing else.
func (s *Stream) Read(b []byte) (int, error) { return s.answer.Read(b) }

// Done tells how the passing on ended: nil if all of it has been read, else
// what kept it from that. It is called once.
func (s *Stream) Done(err error) { s.ended(err) }

// ErrAbandoned is for Done: the client takes no more, through no fault of the
// backend.
var ErrAbandoned = errors.New("the client takes no more")

// Exchange sends one message once and reads the answer, within ctx. If ctx is
// cancelled with the cause context.DeadlineExceeded it has timed out.
func (p *Pool) Exchange(ctx context.Context, b *Server, call Call) Result {
	c, addr, startedAt, ok := p.take(b)
	if !ok {
		return Result{Code: balance.Moot} // no descriptor left: no fault of the backend
	}
	if c == nil {
		nc, err := p.connect(ctx, addr)
		if err != nil {
			p.drop(nil)
			if called(ctx) || neterr.Exhausted(err) { // no fault of the backend
				return Result{Code: balance.Moot}
			}
			return Result{Code: balance.ConnectFailed}
		}
		c = &conn{Conn: nc, r: bounded.NewReader(nc), addr: addr, startedAt: startedAt}
	}
	if call.Prepare != nil {
		call.Prepare(call.Request)
	}
	first, err := render(call.Request)
	if err != nil {
		p.drop(c)
		return Result{Code: balance.ConnectFailed} // nothing of it was written
	}
	if call.MayWrite != nil && !call.MayWrite() {
		p.put(b, c)
		return Result{Code: balance.Moot}
	}
	unwatch := context.AfterFunc(ctx, c.r.Stop)
	res, keep := c.roundTrip(call, first)
	if !unwatch() {
		keep = false
	}
	if c.spoilt {
		p.spoilt()
	}
	if keep {
		p.put(b, c)
	} else {
		p.drop(c)
	}
	switch {
	case res.Code == balance.Reset && called(ctx):
		res.Code = balance.Cancelled
	case res.Code == balance.Reset && ctx.Err() != nil:
		res.Code = balance.TimedOut
	case res.Code == balance.ConnectFailed && called(ctx):
		res.Code = balance.Moot // called off before it was wholly written: no fault of the backend
	}
	return res
}

// called tells that an exchange was called off, and did not time out.
func called(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// roundTrip writes the request, in one piece where it is whole, and reads the
// answer.
func (c *conn) roundTrip(call Call, first []byte) (res Result, keep bool) {
	if err := c.write(call.Request, first); err != nil {
		if b, is := call.Request.Body.(*elsewhere); is && b.failed {
			return Result{Code: balance.Moot}, false // the body did not come: no fault of the backend
		}
		return Result{Code: balance.ConnectFailed}, false // its last byte was never written: it has not run
	}
	if call.OnWritten != nil {
		call.OnWritten()
	}
	a, err := c.r.ReadResponse(call.Request)
	c.spoilt = errors.Is(err, bounded.ErrMalformedResponse)
	if c.spoilt {
		return Result{Code: balance.ServerError}, false // the backend works, so it is not taken for dead
	}
	if err != nil {
		return Result{Code: balance.Reset}, false
	}
	res.FirstByteAt, res.Body, res.Report = a.FirstByteAt, a.Prefix, loadreport.Parse(a.Header.Get("Server-Load"))
	switch {
	case a.StatusCode == http.StatusOK && a.Complete:
		res.Code = balance.OK
	case a.StatusCode == http.StatusOK && call.OnStream != nil:
		ended := make(chan error, 1)
		call.OnStream(NewStream(a, func(err error) { ended <- err }))
		err := <-ended
		switch {
		case err == nil:
			res.Code = balance.OK
		case errors.Is(err, ErrAbandoned):
			return Result{Code: balance.Cancelled}, false
		default:
			return Result{Code: balance.Reset}, false
		}
	case (a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusGatewayTimeout) &&
		a.Header.Get("Not-Started") == "1":
		res.Code = balance.Full
	default:
		res.Code = balance.ServerError
	}
	c.spoilt, c.usedAt = !c.r.BufferEmpty(), time.Now()
	return res, (a.Complete || res.Code == balance.OK) && !a.Close && !c.spoilt
}

// whole is a body that is all there.
type whole struct{ *bytes.Reader }

func (whole) Close() error { return nil }

// elsewhere is a body that is read as it is sent.
type elsewhere struct {
	io.Reader
	failed bool // it broke off
}

func (e *elsewhere) Read(b []byte) (int, error) {
	n, err := e.Reader.Read(b)
	e.failed = e.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

func (*elsewhere) Close() error { return nil }

// render words a request whose body is whole; nil for another one. It is done before
// MayWrite is asked: guards against a process that stands still between its last look
// and the write, and writes for a request that is long over when it goes on.
func render(req *http.Request) ([]byte, error) {
	if _, is := req.Body.(whole); !is && req.Body != nil && req.Body != http.NoBody {
		return nil, nil
	}
	var out bytes.Buffer
	err := req.Write(&out)
	return out.Bytes(), err
}

// write sends a request. One whose body is whole goes in one piece, so that it
// is certain what an error means; of another one the last byte is written last.
func (c *conn) write(req *http.Request, whole []byte) error {
	if whole == nil {
		err := req.Write(pieces{c})
		c.SetWriteDeadline(time.Time{})
		return err
	}
	if n, err := c.Write(whole); err != nil && n < len(whole) {
		return err
	}
	return nil
}

// pieces writes to a backend that must go on reading.
type pieces struct{ *conn }

func (p pieces) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(stallTime))
	if p.r.Stopped() { // guards against a Stop that came just before
		p.SetWriteDeadline(time.Unix(1, 0))
	}
	return p.conn.Write(b)
}

// Probe asks a backend for its load.
func (p *Pool) Probe(b *Server) Result {
	ctx, cancel := context.WithTimeout(context.Background(), p.connectTimeout+probeTimeout)
	defer cancel()
	res := p.Exchange(ctx, b, Call{Request: NewRequest(http.MethodGet, "/metrics/load", nil),
		MayWrite: func() bool { return !b.Disabled() }})
	if res.Code == balance.OK {
		res.Report = loadreport.Parse(string(res.Body))
	}
	return res
}

// NewRequest makes a message for a backend, with a body that is whole. Only
// what is set here goes out.
func NewRequest(method, uri string, body []byte) *http.Request {
	req := newRequest(method, uri)
	if method == http.MethodPost {
		req.Body, req.ContentLength = whole{bytes.NewReader(body)}, int64(len(body))
		if len(body) == 0 {
			req.Body = http.NoBody
		}
	}
	return req
}

// NewStreamedRequest makes one whose body is read as it is sent; its length is -1 if
// it is not known before the end.
func NewStreamedRequest(method, uri string, body io.Reader, length int64) *http.Request {
	req := newRequest(method, uri)
	req.Body, req.ContentLength = &elsewhere{Reader: body}, length
	return req
}

func newRequest(method, uri string) *http.Request {
	return &http.Request{Method: method, Host: "service.internal", URL: &url.URL{Opaque: uri},
		Header: http.Header{"User-Agent": {""}}}
}
