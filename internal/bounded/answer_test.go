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

// read returns what a Reader reads if raw arrives in pieces of the given size and the
// connection is then closed.
func read(t *testing.T, raw []byte, piece int) (status int, body []byte, err error) {
	t.Helper()
	local, remote := net.Pipe()
	defer local.Close()
	go func() {
		defer remote.Close()
		for len(raw) > 0 {
			n := min(piece, len(raw))
			if _, err := remote.Write(raw[:n]); err != nil {
				return
			}
			raw = raw[n:]
		}
	}()
	local.SetDeadline(time.Now().Add(20 * time.Second))
	resp, err := NewReader(local).ReadResponse(nil)
	if err != nil {
		return 0, nil, err
	}
	body = resp.Prefix
	if !resp.Complete {
		rest, err := io.ReadAll(resp)
		return resp.StatusCode, append(body, rest...), err
	}
	return resp.StatusCode, body, nil
}

// reference returns what net/http reads.
func reference(raw []byte) (status int, body []byte, err error) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode >= 200 {
			body, err = io.ReadAll(resp.Body)
			return resp.StatusCode, body, err
		}
	}
	return 0, nil, errors.New("endless interim responses")
}

var sampleResponses = []string{
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

// compareWithNetHTTP checks that a Reader reads the same as net/http, however the bytes are
// split, and accepts nothing that net/http rejects.
func compareWithNetHTTP(t *testing.T, raw []byte, piece int) {
	t.Helper()
	wantStatus, want, wantErr := reference(raw)
	status, got, err := read(t, raw, piece)
	if (err == nil) != (wantErr == nil) {
		if err != nil && wantErr == nil && (len(want) > MaxBodyLength || errors.Is(err, ErrMalformedResponse)) {
			return // the Reader is stricter: body too long or invalid header
		}
		t.Fatalf("%.100q in pieces of %d: %v, net/http says %v", raw, piece, err, wantErr)
	}
	if err == nil && (status != wantStatus || !bytes.Equal(got, want)) {
		t.Fatalf("%.100q in pieces of %d: %d with %d bytes, net/http reads %d with %d", raw, piece, status, len(got), wantStatus, len(want))
	}
}

func TestResponsesAreReadLikeNetHTTP(t *testing.T) {
	for _, text := range sampleResponses {
		for _, piece := range []int{1, 7, 4096, 1 << 20} {
			if piece > 1 || len(text) < 1000 {
				compareWithNetHTTP(t, []byte(text), piece)
			}
		}
	}
}

func FuzzReadResponse(f *testing.F) {
	for _, text := range sampleResponses {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, raw []byte, piece int) {
		if len(raw) < 1<<18 {
			start := time.Now()
			compareWithNetHTTP(t, raw, 1+(piece&0xfff)+len(raw)/1000)
			if took := time.Since(start); took > 5*time.Second {
				t.Errorf("took %v", took)
			}
		}
	})
}

func TestStalledHeadTimesOut(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go io.WriteString(remote, "HTTP/1.1 200 OK\r\n")
	start := time.Now()
	if _, err := NewReader(local).ReadResponse(nil); !errors.Is(err, ErrStalledResponse) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(start); took < headReadTimeout {
		t.Errorf("timed out after %v", took)
	}
	// Stop takes effect at once, also between two reads.
	r := NewReader(local)
	r.Stop()
	if _, err := r.ReadResponse(nil); err == nil || errors.Is(err, ErrMalformedResponse) {
		t.Errorf("after Stop: %v", err)
	}
}

// A body that stalls is awaited until Stop, and of one of unknown length what has come is returned.
func TestStalledBodyIsAwaited(t *testing.T) {
	const pause = 3 * forwardDelay
	for name, test := range map[string]struct {
		head     string
		buffered bool
	}{"length": {"Content-Length: 9", false}, "chunks": {"Transfer-Encoding: chunked", true}, "close": {"Connection: close", true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			local, remote := net.Pipe()
			defer local.Close()
			defer remote.Close()
			body := "part"
			if name == "chunks" {
				body = "4\r\npart\r\n2" // the pause is within the next length
			}
			go io.WriteString(remote, "HTTP/1.1 200 OK\r\n"+test.head+"\r\n\r\n"+body)
			r := NewReader(local)
			time.AfterFunc(pause, r.Stop)
			start := time.Now()
			resp, err := r.ReadResponse(nil)
			took := time.Since(start)
			if test.buffered && (err != nil || resp.Complete || string(resp.Prefix) != "part" || took < forwardDelay || took >= pause) {
				t.Errorf("got %+v, %v after %v", resp, err, took)
			}
			if !test.buffered && (err == nil || errors.Is(err, ErrMalformedResponse) || took < pause) {
				t.Errorf("got %+v, %v after %v", resp, err, took)
			}
		})
	}
}

// deadlineRecorder records the last read deadline.
type deadlineRecorder struct {
	net.Conn
	last time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.last = t
	return d.Conn.SetReadDeadline(t)
}

// A deadline left on a kept connection would cut off the next response.
func TestReadDeadlineIsClearedAfterResponse(t *testing.T) {
	for _, text := range sampleResponses[:6] {
		local, remote := net.Pipe()
		go func() {
			for i := range 5 { // several reads, so that a deadline is set
				io.WriteString(remote, text[i*len(text)/5:(i+1)*len(text)/5])
			}
			remote.Close()
		}()
		d := &deadlineRecorder{Conn: local}
		resp, err := NewReader(d).ReadResponse(nil)
		if err == nil && !resp.Complete {
			if d.last.IsZero() == false {
				t.Errorf("%.60q: a deadline is left after the prefix", text)
			}
			_, err = io.ReadAll(resp)
		}
		if err == nil && !d.last.IsZero() {
			t.Errorf("%.60q: a deadline is left", text)
		}
		local.Close()
	}
}

// endlessHead is a head of short fields without an end. It counts what is read of it.
type endlessHead struct {
	net.Conn
	read int
}

func (e *endlessHead) Read(b []byte) (int, error) {
	const start, field = "HTTP/1.1 200 OK\r\n", "a: b\r\n"
	if e.read == 0 {
		e.read = len(start)
		return copy(b, start), nil
	}
	n := copy(b, strings.Repeat(field, len(b)/len(field)))
	e.read += n
	return n, nil
}

func (e *endlessHead) SetReadDeadline(time.Time) error { return nil }

// Guards against a server whose head takes as much memory as it likes, at each of many attempts.
func TestEndlessHeadIsGivenUpEarly(t *testing.T) {
	head := &endlessHead{}
	if _, err := NewReader(head).ReadResponse(nil); !errors.Is(err, ErrMalformedResponse) {
		t.Errorf("got %v", err)
	}
	if head.read > maxResponseHead {
		t.Errorf("%d bytes of the head were read", head.read)
	}
}

// A long head below the limit does not shorten the body.
func TestLongHeadIsRead(t *testing.T) {
	raw := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("y", 990)+"\r\n", 30) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("z", 60_000)
	status, body, err := read(t, []byte(raw), 5000)
	if err != nil || status != 200 || len(body) != 60_000 {
		t.Errorf("got %d, %d bytes, %v", status, len(body), err)
	}
}
