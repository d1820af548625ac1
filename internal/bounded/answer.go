// Package bounded reads HTTP responses with limits on size and time, and inspects
// connections without blocking.
package bounded

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// MaxBufferedBody is the size up to which a body is buffered for as long as its request
	// is open. Longer bodies are streamed.
	MaxBufferedBody = 64 << 10
	// MaxBodyLength is the maximum length of a body in either direction.
	MaxBodyLength = 64 << 20
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes = 8 << 10
	// maxBufferedResponse limits what is read of a response before it is forwarded: its
	// header, interim responses, MaxBufferedBody and the framing of small chunks.
	maxBufferedResponse = 16 * MaxBufferedBody

	readTimeout         = 500 * time.Millisecond // between two reads up to the end of the prefix
	streamReadTimeout   = 10 * time.Second       // between two reads of a streamed body
	maxInterimResponses = 8                      // 1xx responses before the final one
)

// ErrMalformedResponse is returned for a response that is not valid HTTP, exceeds a limit
// or stalls.
var ErrMalformedResponse = errors.New("malformed response")

// ErrStalledResponse is the ErrMalformedResponse of a response that stalled.
var ErrStalledResponse = fmt.Errorf("stalled response: %w", ErrMalformedResponse)

// Reader reads responses from a connection.
type Reader struct {
	conn        net.Conn
	limit       io.LimitedReader // bytes that may still be read of this response
	buf         *bufio.Reader
	timeout     time.Duration // of the next read; 0: none
	stopped     atomic.Bool   // Stop was called
	deadlineSet bool          // a read deadline is set
	endByte     [1]byte       // buffer for the read that reaches the end of a body
}

// NewReader returns a Reader for c. Nothing else may read from the connection or set its
// read deadline.
func NewReader(c net.Conn) *Reader {
	r := &Reader{conn: c}
	r.limit.R = timedReader{r}
	r.buf = bufio.NewReader(&r.limit)
	return r
}

// timedReader reads from the connection with the Reader's timeout on each read.
type timedReader struct{ *Reader }

func (t timedReader) Read(b []byte) (int, error) {
	if t.timeout > 0 {
		t.deadlineSet = true
		t.conn.SetReadDeadline(time.Now().Add(t.timeout))
		if t.stopped.Load() { // Stop was called just before the deadline was set
			t.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return t.conn.Read(b)
}

// clearDeadline removes the read deadline, if one is set.
func (r *Reader) clearDeadline() {
	if r.deadlineSet {
		r.deadlineSet = false
		r.conn.SetReadDeadline(time.Time{})
		if r.stopped.Load() {
			r.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Stop ends a pending read and all later ones. It may be called from another goroutine.
func (r *Reader) Stop() {
	r.stopped.Store(true)
	r.conn.SetDeadline(time.Unix(1, 0))
}

// Stopped reports whether Stop was called.
func (r *Reader) Stopped() bool { return r.stopped.Load() }

// BufferEmpty reports whether nothing has been read beyond the last response.
func (r *Reader) BufferEmpty() bool { return r.buf.Buffered() == 0 }

// Response is a response that has been read completely or up to its prefix.
type Response struct {
	*http.Response
	Prefix      []byte // first part of the body; all of it if Complete
	Complete    bool
	FirstByteAt time.Time // when the first byte of the response arrived
	BodyLength  int64     // of the whole body; -1 if unknown before its end
	reader      *Reader
}

// ReadResponse reads one response and skips interim responses. A body of up to
// MaxBufferedBody is read completely, of a longer one only a prefix. After the first byte
// each read has a timeout, so that truncated responses and garbage on an open connection
// are detected. The error is ErrMalformedResponse if the received bytes are not a valid
// response, otherwise that of the connection. A response with neither a length nor chunked
// encoding is complete when its connection is closed, and not reset, within the timeout.
func (r *Reader) ReadResponse(req *http.Request) (*Response, error) {
	r.limit.N, r.timeout = maxBufferedResponse, 0
	if _, err := r.buf.Peek(1); err != nil {
		return nil, err
	}
	firstByteAt := time.Now()
	r.timeout = readTimeout
	resp, err := r.parse(req)
	r.timeout = 0
	if err == nil {
		resp.FirstByteAt = firstByteAt
		r.clearDeadline()
		return resp, nil
	}
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr):
		if opErr.Timeout() && !r.stopped.Load() {
			return nil, ErrStalledResponse
		}
		return nil, err // connection failed or Stop was called
	case (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && r.limit.N > 0:
		return nil, err // connection closed
	}
	return nil, ErrMalformedResponse
}

// parse reads a response and fails as soon as the received bytes cannot be one.
func (r *Reader) parse(req *http.Request) (*Response, error) {
	for range maxInterimResponses + 1 {
		const version = "HTTP/1."
		for n := 1; n <= len(version); n++ {
			if start, err := r.buf.Peek(n); err != nil {
				return nil, err
			} else if start[n-1] != version[n-1] {
				return nil, ErrMalformedResponse
			}
		}
		httpResp, err := http.ReadResponse(r.buf, req)
		if err != nil {
			return nil, err
		}
		if httpResp.StatusCode < 200 {
			continue
		}
		resp := &Response{Response: httpResp, BodyLength: httpResp.ContentLength, reader: r}
		if resp.BodyLength > MaxBodyLength {
			return nil, ErrMalformedResponse
		}
		if resp.BodyLength > MaxBufferedBody {
			// One read: the first bytes are forwarded without waiting for more.
			resp.Prefix = make([]byte, 4096)
			n, err := httpResp.Body.Read(resp.Prefix)
			if resp.Prefix = resp.Prefix[:n]; n == 0 && err != nil {
				return nil, err
			}
			return resp, nil
		}
		if resp.BodyLength >= 0 {
			resp.Prefix = make([]byte, resp.BodyLength)
			_, err = io.ReadFull(httpResp.Body, resp.Prefix)
			if err == nil {
				_, err = httpResp.Body.Read(r.endByte[:]) // consumes the end of the body
			}
		} else {
			resp.Prefix, err = io.ReadAll(io.LimitReader(httpResp.Body, MaxBufferedBody+1))
			if err == nil && len(resp.Prefix) <= MaxBufferedBody {
				err = io.EOF
			}
		}
		if resp.Complete = errors.Is(err, io.EOF); resp.Complete || err == nil {
			return resp, nil
		}
		return nil, err
	}
	return nil, ErrMalformedResponse
}

// Read reads the body after Prefix. A stalled read fails after streamPieceTimeout.
func (r *Response) Read(b []byte) (int, error) {
	r.reader.limit.N, r.reader.timeout = math.MaxInt64, streamReadTimeout
	n, err := r.Body.Read(b)
	if err != nil {
		r.reader.timeout = 0
		r.reader.clearDeadline() // the deadline must not apply to the next response
	}
	return n, err
}
