// Package bounded reads HTTP responses with limits on size and time, and inspects
// connections without blocking.
package bounded

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
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
	// maxResponseHead limits a response's head together with the interim responses before it.
	maxResponseHead = 32 << 10 // bytes
	// maxFramedBody limits what is read of a body before it is forwarded: MaxBufferedBody and the
	// framing of small chunks.
	maxFramedBody = 16 * MaxBufferedBody

	headReadTimeout     = 500 * time.Millisecond // between two reads of a head
	streamReadTimeout   = 10 * time.Second       // between two reads of a streamed body
	maxInterimResponses = 8                      // 1xx responses before the final one
	// forwardDelay is how long a body of unknown length is collected after its first byte: a complete
	// one can be replaced by another attempt's.
	forwardDelay = 500 * time.Millisecond
	minPrefix    = 4 << 10 // bytes
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
		t.setDeadline(time.Now().Add(t.timeout))
	}
	return t.conn.Read(b)
}

// setDeadline sets the read deadline.
func (r *Reader) setDeadline(deadline time.Time) {
	r.deadlineSet = true
	r.conn.SetReadDeadline(deadline)
	if r.stopped.Load() { // Stop was called just before the deadline was set
		r.conn.SetReadDeadline(time.Unix(1, 0))
	}
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

// Response is a response of which at least the head has been read.
type Response struct {
	*http.Response
	Prefix      []byte // first part of the body, after Buffer; all of it if Complete
	Complete    bool
	FirstByteAt time.Time // when the first byte of the response arrived
	BodyLength  int64     // of the whole body; -1 if unknown before its end
	reader      *Reader
	maxBuffered int // bytes of a body that is buffered completely
}

// ReadResponse reads the head of a response and buffers its body.
func (r *Reader) ReadResponse(req *http.Request) (*Response, error) {
	resp, err := r.ReadHead(req)
	if err != nil {
		return nil, err
	}
	if err := resp.Buffer(); err != nil {
		return nil, err
	}
	return resp, nil
}

// ReadHead reads the head of a response and skips interim responses. After the first byte each read
// has a timeout, so that truncated heads and garbage on an open connection are detected. The error
// is ErrMalformedResponse if the received bytes are not a valid response, otherwise that of the
// connection.
func (r *Reader) ReadHead(req *http.Request) (*Response, error) {
	r.limit.N, r.timeout = maxResponseHead, 0
	if _, err := r.buf.Peek(1); err != nil {
		return nil, err
	}
	firstByteAt := time.Now()
	r.timeout = headReadTimeout
	resp, err := r.parseHead(req)
	r.timeout = 0
	if err != nil {
		return nil, r.describe(err)
	}
	r.clearDeadline()
	resp.FirstByteAt = firstByteAt
	return resp, nil
}

// describe returns the error to report for one that ended the reading of a response.
func (r *Reader) describe(err error) error {
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr):
		if opErr.Timeout() && !r.stopped.Load() {
			return ErrStalledResponse
		}
		return err // connection failed or Stop was called
	case (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && r.limit.N > 0:
		return err // connection closed
	}
	return ErrMalformedResponse
}

// parseHead reads a head and fails as soon as the received bytes cannot be one.
func (r *Reader) parseHead(req *http.Request) (*Response, error) {
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
		if httpResp.ContentLength > MaxBodyLength {
			return nil, ErrMalformedResponse
		}
		return &Response{Response: httpResp, BodyLength: httpResp.ContentLength, reader: r, maxBuffered: MaxBufferedBody}, nil
	}
	return nil, ErrMalformedResponse
}

// HasArrived reports whether all of the body has been read from the connection, as far as known.
func (r *Response) HasArrived() bool {
	return r.BodyLength >= 0 && int64(r.reader.buf.Buffered()) >= r.BodyLength
}

// BufferSize returns how many bytes Buffer may take.
func (r *Response) BufferSize() int64 {
	if r.BodyLength > int64(r.maxBuffered) {
		return minPrefix
	}
	if r.BodyLength >= 0 {
		return r.BodyLength
	}
	return int64(r.maxBuffered)
}

// LimitBuffer makes Buffer take no more than a small first part of the body.
func (r *Response) LimitBuffer() { r.maxBuffered = minPrefix }

// Buffer reads a body of up to MaxBufferedBody completely, of a longer one only a prefix, and of one
// of unknown length what comes within forwardDelay of its first byte. It waits as long as the server
// takes; Stop ends it. A body with neither a length nor chunked encoding is complete when its
// connection is closed and not reset.
func (r *Response) Buffer() (err error) {
	r.reader.limit.N = maxFramedBody
	switch {
	case r.BodyLength > int64(r.maxBuffered):
		err = r.bufferStart()
	case r.BodyLength >= 0:
		err = r.bufferAll()
	default:
		err = r.collect()
	}
	r.reader.clearDeadline()
	if err != nil {
		return r.reader.describe(err)
	}
	return nil
}

// bufferStart reads the first bytes of a long body, which are forwarded without waiting for more.
func (r *Response) bufferStart() error {
	r.Prefix = make([]byte, minPrefix)
	n, err := r.Body.Read(r.Prefix)
	if r.Prefix = r.Prefix[:n]; n == 0 {
		return err
	}
	return nil
}

// bufferAll reads a body of known length.
func (r *Response) bufferAll() error {
	r.Prefix = make([]byte, r.BodyLength)
	if _, err := io.ReadFull(r.Body, r.Prefix); err != nil {
		return err
	}
	_, err := r.Body.Read(r.reader.endByte[:]) // consumes the end of the body
	if r.Complete = errors.Is(err, io.EOF); r.Complete {
		return nil
	}
	return err
}

// collect reads a body of unknown length up to its end, until more than MaxBufferedBody has come, or
// until forwardDelay after its first byte.
func (r *Response) collect() error {
	r.Prefix = make([]byte, 0, minPrefix)
	var until time.Time
	for len(r.Prefix) <= r.maxBuffered {
		if len(r.Prefix) > 0 {
			if until.IsZero() {
				until = time.Now().Add(forwardDelay)
			}
			if more, err := r.awaitMore(until); !more || err != nil {
				return err
			}
		}
		r.Prefix = slices.Grow(r.Prefix, 1)
		n, err := r.Body.Read(r.Prefix[len(r.Prefix):min(cap(r.Prefix), r.maxBuffered+1)])
		r.Prefix = r.Prefix[:len(r.Prefix)+n]
		if r.Complete = errors.Is(err, io.EOF); r.Complete {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitMore waits until the body can be read further without blocking, and reports whether that is
// so before the given time. The body itself can't be read with a time limit, as a decoder of chunks
// does not recover from an error.
func (r *Response) awaitMore(until time.Time) (more bool, err error) {
	if !time.Now().Before(until) {
		return false, nil
	}
	buffered := r.reader.buf.Buffered()
	if pending, _ := r.reader.buf.Peek(buffered); buffered > 0 && r.isReadable(pending) {
		return true, nil
	}
	defer r.reader.clearDeadline()
	r.reader.setDeadline(until)
	_, err = r.reader.buf.Peek(buffered + 1)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return true, nil // the next read of the body returns the end again
	case errors.Is(err, os.ErrDeadlineExceeded) && !r.reader.stopped.Load():
		return false, nil
	}
	return false, err
}

// isReadable reports whether bytes that the decoder of the body left unread suffice for a further
// read. In chunks it leaves them only in front of data: the line with the next chunk's length.
func (r *Response) isReadable(pending []byte) bool {
	if len(r.TransferEncoding) == 0 {
		return true
	}
	pending = bytes.TrimPrefix(pending, []byte("\r\n")) // the end of the chunk before
	return bytes.IndexByte(pending, '\n') >= 0
}

// Read reads the body after Prefix. A stalled read fails after streamReadTimeout.
func (r *Response) Read(b []byte) (int, error) {
	r.reader.limit.N, r.reader.timeout = math.MaxInt64, streamReadTimeout
	n, err := r.Body.Read(b)
	if err != nil {
		r.reader.timeout = 0
		r.reader.clearDeadline() // the deadline must not apply to the next response
	}
	return n, err
}
