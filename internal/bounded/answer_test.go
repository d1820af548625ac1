package bounded

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// read gives what the reader makes of bytes that come in pieces of a size and
// are followed by the connection's end.
func read(t *testing.T, raw []byte, piece int) (status int, body []byte, err error) {
	t.Helper()
	ours, theirs := net.Pipe()
	defer ours.Close()
	go func() {
		defer theirs.Close()
		for len(raw) > 0 {
			n := min(piece, len(raw))
			if _, err := theirs.Write(raw[:n]); err != nil {
				return
			}
			raw = raw[n:]
		}
	}()
	ours.SetDeadline(time.Now().Add(20 * time.Second))
	a, err := NewReader(ours).ReadResponse(nil)
	if err != nil {
		return 0, nil, err
	}
	body = a.Prefix
	if !a.Complete {
		rest, err := io.ReadAll(a)
		return a.StatusCode, append(body, rest...), err
	}
	return a.StatusCode, body, nil
}

// net/http's reading of the same bytes.
func reference(raw []byte) (status int, body []byte, err error) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode >= 200 {
			body, err = io.ReadAll(resp.Body)
			return resp.StatusCode, body, err
		}
	}
	return 0, nil, errors.New("1xx without end")
}

var answers = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
	"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 69999),
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nSum: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("y", 70000) + "\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	"HTTP/1.1 200 OK\r\n\r\nall of it",
	"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nall of it",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	"hello",
	"",
}

// What is read is what net/http reads in the same bytes, however they are cut,
// and nothing that net/http finds broken is taken for whole.
func compare(t *testing.T, raw []byte, piece int) {
	t.Helper()
	wantStatus, want, wantErr := reference(raw)
	status, got, err := read(t, raw, piece)
	if (err == nil) != (wantErr == nil) {
		if err != nil && wantErr == nil && (len(want) > MaxBodyLength || errors.Is(err, ErrMalformedResponse)) {
			return // stricter is right: too long, or a head out of bounds
		}
		t.Fatalf("%.100q in pieces of %d: %v, net/http says %v", raw, piece, err, wantErr)
	}
	if err == nil && (status != wantStatus || !bytes.Equal(got, want)) {
		t.Fatalf("%.100q in pieces of %d: %d with %d bytes, net/http reads %d with %d", raw, piece, status, len(got), wantStatus, len(want))
	}
}

func TestAnswersAreReadAsNetHTTPReadsThem(t *testing.T) {
	for _, text := range answers {
		for _, piece := range []int{1, 7, 4096, 1 << 20} {
			if piece > 1 || len(text) < 1000 {
				compare(t, []byte(text), piece)
			}
		}
	}
}

func FuzzAnswer(f *testing.F) {
	for _, text := range answers {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, raw []byte, piece int) {
		if len(raw) < 1<<18 {
			began := time.Now()
			compare(t, raw, 1+(piece&0xfff)+len(raw)/1000)
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("%v", took)
			}
		}
	})
}

func TestAnAnswerThatStopsIsGivenUp(t *testing.T) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	go io.WriteString(theirs, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel")
	began := time.Now()
	if _, err := NewReader(ours).ReadResponse(nil); !errors.Is(err, ErrMalformedResponse) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(began); took < answerTime {
		t.Errorf("given up after %v", took)
	}
	// Stop ends it at once, also when it comes between two pieces.
	r := NewReader(ours)
	r.Stop()
	if _, err := r.ReadResponse(nil); err == nil || errors.Is(err, ErrMalformedResponse) {
		t.Errorf("after Stop: %v", err)
	}
}

// deadlines remembers the read deadline that was set last.
type deadlines struct {
	net.Conn
	last time.Time
}

func (d *deadlines) SetReadDeadline(t time.Time) error {
	d.last = t
	return d.Conn.SetReadDeadline(t)
}

// Guards against a connection that is kept with the deadline of an earlier
// answer: the next one would be cut off by it, in the middle of its work.
func TestNoDeadlineOutlivesItsAnswer(t *testing.T) {
	for _, text := range answers[:6] {
		ours, theirs := net.Pipe()
		go func() {
			for i := range 5 { // several reads, so that a deadline is set
				io.WriteString(theirs, text[i*len(text)/5:(i+1)*len(text)/5])
			}
			theirs.Close()
		}()
		d := &deadlines{Conn: ours}
		a, err := NewReader(d).ReadResponse(nil)
		if err == nil && !a.Complete {
			if d.last.IsZero() == false {
				t.Errorf("%.60q: a deadline is left after its start", text)
			}
			_, err = io.ReadAll(a)
		}
		if err == nil && !d.last.IsZero() {
			t.Errorf("%.60q: a deadline is left", text)
		}
		ours.Close()
	}
}
