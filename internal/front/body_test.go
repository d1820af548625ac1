package front

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// patternReader returns left bytes of a position-dependent pattern without storing them.
type patternReader struct{ left, offset int64 }

func (r *patternReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(r.left, int64(len(b)))
	for i := range b[:n] {
		x := r.offset + int64(i)
		b[i] = byte(x ^ x>>8 ^ x>>16)
	}
	r.left, r.offset = r.left-n, r.offset+n
	return int(n), nil
}

func sha256Hex(r io.Reader) string {
	h := sha256.New()
	io.Copy(h, r)
	return fmt.Sprintf("%x", h.Sum(nil))
}

func (n *testNode) post(t *testing.T, id string, body io.Reader, length int64) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, n.url+"/order", io.NopCloser(body))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = length
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", "order")
	req.Header.Set("Request-Timeout-Ms", "9000")
	return n.client.Do(req)
}

// Long bodies are forwarded unchanged both ways in any framing, and the node does not buffer
// them completely.
func TestLongBodiesAreStreamedUnchanged(t *testing.T) {
	const size, count = 8 << 20, 12
	want := sha256Hex(&patternReader{left: size})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got := sha256Hex(r.Body); got != want {
			http.Error(w, "body differs", http.StatusInternalServerError)
			return
		}
		if strings.HasPrefix(r.Header.Get("Request-Id"), "length") {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		} else {
			w.Header().Set("Trailer", "Sum")
			defer w.Header().Set("Sum", want)
		}
		io.Copy(w, &patternReader{left: size})
	}))
	defer backend.Close()
	addr := backend.Listener.Addr().String()
	// A new node sends at most 4 requests to each server.
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), addr, addr, addr, addr, addr, addr))
	var peakHeap atomic.Uint64
	stop := make(chan bool)
	go func() {
		var m runtime.MemStats
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				runtime.ReadMemStats(&m)
				peakHeap.Store(max(peakHeap.Load(), m.HeapAlloc))
			}
		}
	}()
	var all sync.WaitGroup
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			id, length := fmt.Sprint("length", i), int64(size)
			if i%2 == 1 {
				id, length = fmt.Sprint("chunks", i), -1
			}
			resp, err := n.post(t, id, &patternReader{left: size}, length)
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			defer resp.Body.Close()
			if got := sha256Hex(resp.Body); resp.StatusCode != 200 || got != want {
				t.Errorf("%s: %d, body differs: %v\n%s", id, resp.StatusCode, got != want, n.Events(id))
			}
		}()
	}
	all.Wait()
	close(stop)
	if got := peakHeap.Load(); got > size*count/2 { // includes what the clients and the backend hold
		t.Errorf("%d MB in use while %d MB pass both ways", got>>20, size*count>>20)
	}
	waitFor(t, "each request counts as fulfilled and none as open", func() bool { // a client has its last byte first
		text := string(n.MetricsText())
		return strings.Contains(text, fmt.Sprintf("app.operations.order.fulfilled:%d|c", count)) && strings.Contains(text, "app.open_requests:0|g")
	})
}

// A response that breaks off in its body is truncated for the client too, and the request is
// not retried.
func TestTruncatedResponseIsTruncatedForClient(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 8000000", "chunks": "Transfer-Encoding: chunked"} {
		serve := func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head)
			if name == "chunks" {
				fmt.Fprintf(c, "%x\r\n", 8000000)
			}
			c.Write(make([]byte, 300000))
			return false
		}
		backend, spare := nodetest.NewScriptedServer(t, serve), nodetest.NewScriptedServer(t, serve)
		n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr, spare.Addr))
		status, body, _, err := n.request(context.Background(), "clip", "one", 5*time.Second)
		if err == nil || status != 200 || len(body) > 300000 {
			t.Errorf("%s: %d, %d bytes, %v", name, status, len(body), err)
		}
		if sent := backend.RequestCount() + spare.RequestCount(); sent != 1 {
			t.Errorf("%s: sent %d times", name, sent)
		}
		for end := time.Now().Add(nodetest.WaitTimeout); !strings.Contains(string(n.MetricsText()), "clip.faulted:1|c"); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: unexpected metrics:\n%s", name, n.MetricsText())
			}
		}
	}
}

// A request whose body breaks off or is malformed gets an error and is never run.
func TestTruncatedRequestBodyNeverRuns(t *testing.T) {
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	head := "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 9000\r\nRequest-Id: "
	long := strings.Repeat("x", 500000)
	for name, text := range map[string]string{
		"long, with a length":   head + "a\r\nContent-Length: 1000000\r\n\r\n" + long,
		"long, in chunks":       head + "b\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(long)) + long + "\r\n",
		"short, in chunks":      head + "c\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"chunk size 2^64":       head + "d\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\nhello",
		"invalid chunk size":    head + "e\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n",
		"chunk without CRLF":    head + "f\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloworld\r\n0\r\n\r\n",
		"over the length limit": head + "g\r\nContent-Length: 100000000\r\n\r\n" + long,
		"two transfer codings":  head + "h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	} {
		response := n.sendRaw(t, text)
		if _, status, _ := strings.Cut(response, " "); !strings.HasPrefix(status, "4") && !strings.HasPrefix(status, "5") {
			t.Errorf("%s: got %.80q", name, response)
		}
	}
	if backend.RequestCount() != 0 {
		t.Errorf("%d requests with an invalid body ran", backend.RequestCount())
	}
	if text := string(n.MetricsText()); !strings.Contains(text, "app.open_requests:0|g") || !strings.Contains(text, "app.relayed:0|c") {
		t.Errorf("unexpected metrics:\n%s", text)
	}
}

// Chunks with extensions and trailers are read byte by byte, and a body after
// "100 Continue" is read too.
func TestRequestBodyFramings(t *testing.T) {
	got := make(chan string, 10)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got <- string(raw)
	}))
	defer backend.Close()
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Listener.Addr().String()))
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	text := "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 9000\r\nRequest-Id: a\r\n" +
		"Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5;name=\"a value\"\r\nhello\r\n1\r\n!\r\n0\r\nSum: 1\r\n\r\n"
	go func() {
		for i := range len(text) {
			if _, err := c.Write([]byte{text[i]}); err != nil {
				t.Errorf("byte %d: %v", i, err)
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	c.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("got %+v, %v", resp, err)
	}
	if body := <-got; body != "hello!" {
		t.Errorf("the backend got %q", body)
	}
	// Expect: 100-continue is answered before the body arrives.
	c, err = net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
	io.WriteString(c, "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 9000\r\nRequest-Id: b\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	r := bufio.NewReader(c)
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		t.Fatalf("got %q, %v", line, err)
	}
	r.ReadString('\n')
	io.WriteString(c, "abc")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 || <-got != "abc" {
		t.Errorf("after 100: %v", err)
	}
}

// Responses in all framings, sent in small pieces, are forwarded, also those that end with
// their connection.
func TestResponseFramingsAreForwarded(t *testing.T) {
	note := "X-Note: " + strings.Repeat("n", 6000) + "\r\n"
	for name, text := range map[string]string{
		"length":           "HTTP/1.1 200 OK\r\n" + note + "Content-Length: 6\r\n\r\nhello!",
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5;a=b\r\nhello\r\n1\r\n!\r\n0\r\nSum: 1\r\n\r\n",
		"connection close": "HTTP/1.1 200 OK\r\n\r\nhello!",
		"after a 1xx":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello!",
	} {
		backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			for i := 0; i < len(text); i++ {
				if text[i] == 'n' && i%100 != 0 { // the note is sent in blocks of about 100 bytes
					end := min(len(text), i+99)
					io.WriteString(c, text[i:end])
					i = end - 1
				} else {
					c.Write([]byte{text[i]})
				}
				time.Sleep(100 * time.Microsecond)
			}
			return name != "connection close"
		})
		n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
		for i := range 2 {
			if status, body, _ := n.mustRequest(t, "order", fmt.Sprint(i), 5*time.Second); status != 200 || body != "hello!" {
				t.Errorf("%s: %d %q", name, status, body)
			}
		}
	}
}

// A client that stops reading releases its server connection in time and delays no other
// client.
func TestStalledClientReleasesServerConnection(t *testing.T) {
	released := make(chan bool)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") == "long" {
			w.Header().Set("Content-Length", fmt.Sprint(60<<20))
			io.Copy(w, &patternReader{left: 60 << 20})
			close(released)
		}
	}))
	defer backend.Close()
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Listener.Addr().String()))
	req, _ := http.NewRequest(http.MethodGet, n.url+"/clip", nil)
	req.Header.Set("Request-Id", "long")
	req.Header.Set("Request-Class", "clip")
	req.Header.Set("Request-Timeout-Ms", "1000")
	resp, err := n.client.Do(req)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %v, %v", resp, err)
	}
	defer resp.Body.Close()
	for i := range 20 {
		if status, _, _ := n.mustRequest(t, "order", fmt.Sprint(i), 5*time.Second); status != 200 {
			t.Errorf("request beside the stalled client: %d", status)
		}
	}
	// The other connections stay open, idle, beyond the end of the test.
	idle := n.BackendPool().OpenConns() - 1
	select {
	case <-released: // it was not counted
		idle++
	default:
	}
	select {
	case <-released:
	case <-time.After(nodetest.WaitTimeout):
		t.Fatal("the server still sends to the stalled client")
	}
	for end := time.Now().Add(nodetest.WaitTimeout); n.BackendPool().OpenConns() > idle; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections to the server are held, %d of them idle", n.BackendPool().OpenConns(), idle)
		}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err == nil || errors.Is(err, io.EOF) {
		t.Error("the stalled client got a complete response")
	}
}

// A server that is put into maintenance finishes its open requests, and gets no request after
// SetMaintenance has returned.
func TestMaintenanceFinishesOpenRequestsAndSendsNoNew(t *testing.T) {
	arrived, release := make(chan bool, 10), make(chan bool)
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		<-release
		return nodetest.WriteResponse(c, "200 OK", "done")
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	got := make(chan error, 1)
	go func() {
		status, body, _, err := n.request(context.Background(), "order", "one", 10*time.Second)
		if err == nil && (status != 200 || body != "done") {
			err = fmt.Errorf("%d %q", status, body)
		}
		got <- err
	}()
	<-arrived
	if err := n.SetMaintenance(context.Background(), "s-0", true); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := n.mustRequest(t, "order", "two", time.Second); status != http.StatusServiceUnavailable {
		t.Errorf("with the only server in maintenance: %d", status)
	}
	close(release)
	if err := <-got; err != nil {
		t.Errorf("the open request: %v", err)
	}
	for end := time.Now().Add(nodetest.WaitTimeout); n.BackendPool().OpenConns() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection to the server is still open")
		}
	}
	if err := n.SetMaintenance(context.Background(), "s-0", false); err != nil {
		t.Fatal(err)
	}
	// A server that is warming up gets few requests.
	for end := time.Now().Add(nodetest.WaitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if status, _, _ := n.mustRequest(t, "clip", fmt.Sprint("back", time.Now().UnixNano()), time.Second); status == 200 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the server gets no requests after the end of maintenance")
		}
	}
	if n := backend.RequestCount(); n != 2 {
		t.Errorf("the server got %d requests", n)
	}
}

// A request pipelined behind one with a large body gets its own response after the first.
func TestPipelinedRequestAfterLargeBodyGetsItsResponse(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%s had %d", r.Header.Get("Request-Id"), n)
	}))
	defer backend.Close()
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Listener.Addr().String()))
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
	head := "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 9000\r\n"
	go io.WriteString(c, head+"Request-Id: a\r\nContent-Length: 700000\r\n\r\n"+strings.Repeat("x", 700000)+
		head+"Request-Id: b\r\nContent-Length: 3\r\n\r\nabc")
	r := bufio.NewReader(c)
	for _, want := range []string{"a had 700000", "b had 3"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if raw, _ := io.ReadAll(resp.Body); string(raw) != want {
			t.Errorf("got %q, want %q", raw, want)
		}
	}
}

// HTTP/1.0 clients get their responses, also those of unknown length, which end with the
// connection. A truncated one of these is reset, so that it does not look complete.
func TestHTTP10ClientsDetectTruncatedResponses(t *testing.T) {
	const size = 300000
	for name, c := range map[string]struct {
		head     string
		size     int
		complete bool
	}{
		"length":            {fmt.Sprintf("Content-Length: %d", size), size, true},
		"chunks":            {"Transfer-Encoding: chunked", size, true},
		"length, truncated": {fmt.Sprintf("Content-Length: %d", size), size / 2, false},
		"chunks, truncated": {"Transfer-Encoding: chunked", size / 2, false},
		"small":             {"Content-Length: 6", 6, true},
		"small, chunked":    {"Transfer-Encoding: chunked", 6, true},
	} {
		backend := nodetest.NewScriptedServer(t, func(w net.Conn, r *http.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", c.head)
			if strings.HasPrefix(c.head, "Transfer") {
				fmt.Fprintf(w, "%x\r\n", c.size)
			}
			io.Copy(w, &patternReader{left: int64(c.size)})
			if strings.HasPrefix(c.head, "Transfer") && c.complete {
				io.WriteString(w, "\r\n0\r\n\r\n")
			}
			return c.complete
		})
		n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
		conn, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
		io.WriteString(conn, "GET /clip HTTP/1.0\r\nRequest-Id: a\r\nRequest-Class: clip\r\nRequest-Timeout-Ms: 9000\r\n\r\n")
		raw, err := io.ReadAll(conn)
		head, body, _ := strings.Cut(string(raw), "\r\n\r\n")
		switch {
		case strings.Contains(strings.ToLower(head), "transfer-encoding"):
			t.Errorf("%s: the response is chunked: %q", name, head)
		case c.complete && (err != nil || len(body) != c.size):
			t.Errorf("%s: %d bytes of %d, %v", name, len(body), c.size, err)
		case !c.complete && err == nil && !strings.Contains(head, "Content-Length: "):
			t.Errorf("%s: %d bytes of %d look complete", name, len(body), size)
		}
	}
}

// failingBody is a body whose first part is read, and whose next read fails some time after the
// request's context has ended, as in net/http.
type failingBody struct {
	patternReader
	endContext context.CancelFunc
}

func (b *failingBody) Read(into []byte) (int, error) {
	if b.left > 0 {
		return b.patternReader.Read(into)
	}
	b.endContext()
	time.Sleep(50 * time.Millisecond)
	return 0, os.ErrDeadlineExceeded
}

func (b *failingBody) Close() error { return nil }

// Guards against closing a connection without an answer to a request whose body stalls: the
// request's context ends before the read that failed has returned.
func TestStalledBodyIsAnsweredThoughContextEndsFirst(t *testing.T) {
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "") })
	for name, addr := range map[string]string{"read by an attempt": backend.Addr, "read ahead": nodetest.NewBlockedListener(t).Addr().String()} {
		n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), addr))
		ctx, cancel := context.WithCancel(context.Background())
		body := &failingBody{patternReader: patternReader{left: longBody}, endContext: cancel}
		req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/order/a", body)
		req.ContentLength = 2 * longBody
		for header, value := range map[string]string{"Request-Id": "a", "Request-Class": "order", "Request-Timeout-Ms": "9000"} {
			req.Header.Set(header, value)
		}
		recorder := httptest.NewRecorder()
		func() {
			defer func() {
				if aborted := recover(); aborted != nil {
					t.Errorf("%s: closed without an answer: %v", name, aborted)
				}
			}()
			n.front.ServeHTTP(recorder, req)
		}()
		if recorder.Code != http.StatusRequestTimeout {
			t.Errorf("%s: %d, want %d", name, recorder.Code, http.StatusRequestTimeout)
		}
	}
}
