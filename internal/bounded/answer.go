// Package bounded reads what a peer sends within stated bounds of size, of
// time and of patience with what is no HTTP.
package bounded

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// MaxBody is the most that a body holds, in either direction (protocol page).
	MaxBody = 64 << 10
	// MaxHead is the most that a client's head holds.
	MaxHead = 8 << 10
	// MaxAnswer is what is read of an answer at most, with head and framing.
	MaxAnswer = 2 * MaxBody

	answerTime = 500 * time.Millisecond // for an answer, once its first byte has come: backends send them whole
	maxInterim = 8                      // 1xx answers ahead of the answer
)

// ErrSpoilt says that an answer came, but none that may be passed on.
var ErrSpoilt = errors.New("spoilt answer")

// Reader reads answers from a connection.
type Reader struct {
	conn  net.Conn
	limit io.LimitedReader // what may still be read: guards against an answer without end
	r     *bufio.Reader
}

// NewReader makes one; nothing else may read from the connection.
func NewReader(c net.Conn) *Reader {
	r := &Reader{conn: c, limit: io.LimitedReader{R: c}}
	r.r = bufio.NewReader(&r.limit)
	return r
}

// Clean tells that nothing has been read past the last answer.
func (r *Reader) Clean() bool { return r.r.Buffered() == 0 }

// Answer reads one answer whole, past the 1xx ones ahead of it. Once the first
// byte is there the rest has 0.5 s: guards against one that is cut short, or
// noise, on a connection that stays open. The error is ErrSpoilt if something
// came that is no whole answer, else that of the connection.
func (r *Reader) Answer(req *http.Request) (*http.Response, []byte, error) {
	r.limit.N = MaxAnswer
	if _, err := r.r.Peek(1); err != nil {
		return nil, nil, err
	}
	end := time.Now().Add(answerTime)
	r.conn.SetReadDeadline(end)
	resp, body, err := r.parse(req)
	r.conn.SetReadDeadline(time.Time{})
	var broken *net.OpError
	switch {
	case err == nil:
		return resp, body, nil
	case errors.As(err, &broken):
		if broken.Timeout() && !time.Now().Before(end) {
			return nil, nil, ErrSpoilt
		}
		return nil, nil, err // broken off, or called off
	case (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && r.limit.N > 0:
		return nil, nil, err // broken off
	}
	return nil, nil, ErrSpoilt
}

// parse does not wait for more than it takes to see that something is no
// answer.
func (r *Reader) parse(req *http.Request) (*http.Response, []byte, error) {
	for range maxInterim + 1 {
		const version = "HTTP/1."
		for n := 1; n <= len(version); n++ {
			if start, err := r.r.Peek(n); err != nil {
				return nil, nil, err
			} else if start[n-1] != version[n-1] {
				return nil, nil, ErrSpoilt
			}
		}
		resp, err := http.ReadResponse(r.r, req)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		if resp.ContentLength > MaxBody || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, nil, ErrSpoilt // too long, or of unknown length
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
		if len(body) > MaxBody {
			err = ErrSpoilt
		}
		return resp, body, err
	}
	return nil, nil, ErrSpoilt
}
