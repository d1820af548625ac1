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
	"ivylock/guard"
	"ivylock/internal/bounded"
	"ivylock/internal/loadreport"
	"ivylock/internal/neterr"
)

const (
	probeTimeout       = 400 * time.Millisecond // from an established connection to the response
	serverStallTimeout = 5 * time.Second        // for a server that takes nothing of a streamed body
	maxPreparationAge  = 5 * time.Millisecond   // until the write; a request that is older is prepared again
	maxSerializedBody  = bounded.MaxBufferedBody
	headSize           = 1 << 10 // bytes, of most requests to servers
)

// Result is the outcome of an exchange with a server.
type Result struct {
	Code        balance.OutcomeCode
	Body        []byte          // of a 200 response that was read completely
	Report      *balance.Report // nil if the response carried none
	FirstByteAt time.Time       // when the first byte of the response arrived; zero if none did
	Err         error           // what was wrong with the request's transmission or the response; nil if nothing, or if it was withheld
}

// Call is one message to a server. All fields but Request may be nil.
type Call struct {
	// Request is sent once. Its body may be streamed from elsewhere and need not be
	// complete when sending starts.
	Request *http.Request
	// StallTimeout is how long the server may take nothing of a streamed body, at most 5 s; 0: 5 s.
	StallTimeout time.Duration
	// Prepare is called on an established connection just before the message is
	// serialized, and again if that was long before the write. It sets the headers that depend on the time.
	Prepare func(*http.Request)
	// MayWrite is called just before the first byte is written. Guards against sending
	// to a server that began to drain, or for a request that ended, during the dial.
	MayWrite func() bool
	// OnWritten is called once the last byte is written. From then on the request may run.
	OnWritten func()
	// OnPendingBody is called when the head of a 200 response has come, and not all of its body. It may
	// extend the time of ctx.
	OnPendingBody func()
	// OnStream is called with a 200 response that is too long to be buffered. The receiver
	// reads it to its end and calls its Done; the exchange lasts until then.
	OnStream func(*Stream)
}

// Stream is a response body that is forwarded while it is read.
type Stream struct {
	Prefix   []byte // first part of the body, which has been read already
	Length   int64  // of the whole body; -1 if it is unknown before the end
	response *bounded.Response
	onDone   func(error)
}

// NewStream returns a stream of a response. Done calls onDone.
func NewStream(response *bounded.Response, onDone func(error)) *Stream {
	stream := &Stream{Length: -1, response: response, onDone: onDone}
	if response != nil {
		stream.Prefix, stream.Length = response.Prefix, response.BodyLength
	}
	return stream
}

// Read reads what follows Prefix. It returns io.EOF only at the proper end of the
// response.
func (s *Stream) Read(b []byte) (int, error) { return s.response.Read(b) }

// Done ends the stream. The error is nil if all of it was read, else the reason why not.
// Done is called once.
func (s *Stream) Done(err error) { s.onDone(err) }

// ErrAbandoned is passed to Done if the client stopped reading, which is no failure of
// the server.
var ErrAbandoned = errors.New("client stopped reading the response")

// Exchange sends one message once and reads the response, within ctx. It counts as timed
// out if ctx is cancelled with the cause context.DeadlineExceeded. With the codes Moot and
// ConnectFailed the message has not run; Moot says nothing about the server.
func (p *Pool) Exchange(ctx context.Context, server *Server, call Call) Result {
	reserved, err := p.acquire(ctx, server)
	if err != nil {
		return Result{Code: balance.Moot} // not a server failure
	}
	c := reserved.conn
	if c == nil {
		netConn, err := p.connect(ctx, reserved.addr)
		if err != nil {
			p.discard(nil)
			if isCancelled(ctx) || neterr.IsLocalTransient(err) { // not a server failure
				return Result{Code: balance.Moot}
			}
			return Result{Code: balance.ConnectFailed, Err: err}
		}
		c = &conn{Conn: netConn, reader: bounded.NewReader(netConn), addr: reserved.addr, startedAt: reserved.startedAt}
	}
	preparedAt := time.Now()
	serialized, err := prepare(call)
	if err != nil {
		p.discard(c)
		return Result{Code: balance.ConnectFailed} // nothing was written
	}
	if !p.isCurrent(server, c) { // another process may answer there
		p.discard(c)
		return Result{Code: balance.Moot, Err: errSuccessor}
	}
	if call.MayWrite != nil && !call.MayWrite() {
		p.release(server, c)
		return Result{Code: balance.Moot}
	}
	if time.Since(preparedAt) > maxPreparationAge { // the time limit that is passed on has become too long
		if serialized, err = prepare(call); err != nil {
			p.discard(c)
			return Result{Code: balance.ConnectFailed} // nothing was written
		}
	}
	stopWatching := context.AfterFunc(ctx, c.reader.Stop)
	result, reuse := p.roundTrip(c, call, serialized)
	if !stopWatching() {
		reuse = false
	}
	if reuse {
		p.release(server, c)
	} else {
		p.discard(c)
	}
	switch {
	case result.Code == balance.Reset && isCancelled(ctx):
		result.Code = balance.Cancelled
	case result.Code == balance.Reset && ctx.Err() != nil:
		result.Code = balance.TimedOut
	case result.Code == balance.ConnectFailed && isCancelled(ctx):
		result.Code = balance.Moot // cancelled before it was completely written: not a server failure
	}
	return result
}

// prepare has the caller prepare the request and serializes it.
func prepare(call Call) ([]byte, error) {
	if call.Prepare != nil {
		call.Prepare(call.Request)
	}
	return serialize(call.Request)
}

// errSuccessor is the reason of an exchange whose server was restarted, moved or removed before the
// message was written.
var errSuccessor = errors.New("the server's process was replaced while its connection was opened")

// isCancelled reports whether an exchange was cancelled rather than timed out.
func isCancelled(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// roundTrip writes the request, with a single write if its body is buffered, and reads
// the response.
func (p *Pool) roundTrip(c *conn, call Call, serialized []byte) (result Result, reuse bool) {
	if err := p.write(c, call, serialized); err != nil {
		if body, streamed := call.Request.Body.(*streamedBody); streamed && body.failed {
			return Result{Code: balance.Moot, Err: err}, false // the client's body failed: not a server failure
		}
		return Result{Code: balance.ConnectFailed, Err: err}, false // the last byte was not written, so the request has not run
	}
	if call.OnWritten != nil {
		call.OnWritten()
	}
	response, release, err := p.readResponse(c, call)
	defer release()
	if errors.Is(err, bounded.ErrMalformedResponse) {
		return Result{Code: balance.ServerError, Err: err}, false // not Reset: the server responds
	}
	if err != nil {
		return Result{Code: balance.Reset, Err: err}, false
	}
	result.FirstByteAt, result.Report = response.FirstByteAt, loadreport.Parse(response.Header.Get("Server-Load"))
	switch {
	case response.StatusCode == http.StatusOK && response.Complete:
		result.Code, result.Body = balance.OK, response.Prefix
	case response.StatusCode == http.StatusOK && call.OnStream != nil:
		done := make(chan error, 1)
		call.OnStream(NewStream(response, func(err error) { done <- err }))
		err := <-done
		switch {
		case err == nil:
			result.Code = balance.OK
		case errors.Is(err, ErrAbandoned):
			return Result{Code: balance.Cancelled, Err: err}, false
		default:
			return Result{Code: balance.Reset, Err: err}, false
		}
	case (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout) &&
		response.Header.Get("Not-Started") == "1":
		result.Code = balance.Full
	default:
		result.Code = balance.ServerError
	}
	c.lastResponseAt = time.Now()
	return result, (response.Complete || result.Code == balance.OK) && !response.Close && c.reader.BufferEmpty()
}

// readResponse reads the response to a call, of a long body only a first part, and likewise if there is
// no memory for a shorter one that can be streamed. release returns the memory that it holds.
func (p *Pool) readResponse(c *conn, call Call) (response *bounded.Response, release func(), err error) {
	release = func() {}
	if response, err = c.reader.ReadHead(call.Request); err != nil {
		return nil, release, err
	}
	mayStream := call.OnStream != nil && response.StatusCode == http.StatusOK
	size := response.BufferSize()
	switch {
	case mayStream && !p.Memory.Reserve(guard.Responses, size):
		response.LimitBuffer()
		size = 0
	case !mayStream:
		p.Memory.Hold(guard.Responses, size)
	}
	release = func() { p.Memory.Release(guard.Responses, size) }
	if call.OnPendingBody != nil && mayStream && !response.HasArrived() {
		call.OnPendingBody()
	}
	return response, release, response.Buffer()
}

// bufferedBody is a request body that is completely in memory.
type bufferedBody struct{ *bytes.Reader }

func (bufferedBody) Close() error { return nil }

// streamedBody is a request body that is read while it is sent.
type streamedBody struct {
	io.Reader
	failed bool // reading it failed before its end
}

func (s *streamedBody) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.failed = s.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

func (*streamedBody) Close() error { return nil }

// serialize returns the bytes of a request whose body is buffered; nil for a streamed one, and for a long
// one that would take its memory twice.
// It runs before MayWrite is called. Guards against a process pause between that check and
// the write, after which the request might be written long after its deadline.
func serialize(req *http.Request) ([]byte, error) {
	body, buffered := req.Body.(bufferedBody)
	if !buffered && req.Body != nil && req.Body != http.NoBody {
		return nil, nil
	}
	var out bytes.Buffer
	if buffered {
		if body.Len() > maxSerializedBody {
			return nil, nil
		}
		body.Seek(0, io.SeekStart) // it may have been serialized before
		out.Grow(body.Len() + headSize)
	}
	err := req.Write(&out)
	return out.Bytes(), err
}

// write sends a request. A buffered one is sent with a single write, so that an error
// proves that it was incomplete; of a streamed one the last byte is written last.
func (p *Pool) write(c *conn, call Call, serialized []byte) error {
	if serialized == nil {
		stallTimeout := serverStallTimeout
		if call.StallTimeout > 0 {
			stallTimeout = min(stallTimeout, call.StallTimeout)
		}
		err := call.Request.Write(bounded.Writer{Conn: c.Conn, StallTimeout: stallTimeout, Stopped: c.reader.Stopped})
		c.SetWriteDeadline(time.Time{})
		return err
	}
	p.Memory.Hold(guard.RequestBodies, int64(len(serialized)))
	defer p.Memory.Release(guard.RequestBodies, int64(len(serialized)))
	if n, err := c.Write(serialized); err != nil && n < len(serialized) {
		return err
	}
	return nil
}

// Probe requests the load report of a server.
func (p *Pool) Probe(server *Server) Result {
	ctx, cancel := context.WithTimeout(context.Background(), p.connectTimeout+probeTimeout)
	defer cancel()
	result := p.Exchange(ctx, server, Call{Request: NewRequest(http.MethodGet, "/metrics/load", nil),
		MayWrite: func() bool { return !server.Disabled() }})
	if result.Code == balance.OK {
		result.Report = loadreport.Parse(string(result.Body))
	}
	return result
}

// NewRequest returns a message for a server with a buffered body. It carries only the
// headers that are set here or by the caller.
func NewRequest(method, uri string, body []byte) *http.Request {
	req := newRequest(method, uri)
	if method == http.MethodPost {
		req.Body, req.ContentLength = bufferedBody{bytes.NewReader(body)}, int64(len(body))
		if len(body) == 0 {
			req.Body = http.NoBody
		}
	}
	return req
}

// NewStreamedRequest returns a message whose body is read while it is sent. The length is
// -1 if it is unknown before the end.
func NewStreamedRequest(method, uri string, body io.Reader, length int64) *http.Request {
	req := newRequest(method, uri)
	req.Body, req.ContentLength = &streamedBody{Reader: body}, length
	return req
}

func newRequest(method, uri string) *http.Request {
	return &http.Request{Method: method, Host: "service.internal", URL: &url.URL{Opaque: uri},
		Header: http.Header{"User-Agent": {""}}}
}
