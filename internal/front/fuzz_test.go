package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"ivylock/internal/node"
	"ivylock/internal/nodetest"
)

// expectedRequests returns the requests in raw that may run, each as its id and body: those
// that net/http reads, up to the first ambiguity.
func expectedRequests(raw []byte) (all []string) {
	rest := bytes.NewReader(raw)
	posted := false
	for r := bufio.NewReaderSize(rest, 1<<20); ; {
		if posted { // RFC 9112, 2.2: empty lines after a POST are skipped; net/http's server allows two
			empty, _ := r.Peek(4)
			r.Discard(len(empty) - len(bytes.TrimLeft(empty, "\r\n")))
		}
		start := len(raw) - rest.Len() - r.Buffered()
		req, err := http.ReadRequest(r)
		if err != nil {
			return all
		}
		posted = req.Method == http.MethodPost
		head := bytes.ToLower(raw[start : len(raw)-rest.Len()-r.Buffered()])
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return all
		}
		chunked, hasLength := bytes.Contains(head, []byte("\ntransfer-encoding:")), bytes.Contains(head, []byte("\ncontent-length:"))
		if chunked && (hasLength || !req.ProtoAtLeast(1, 1)) {
			return all
		}
		all = append(all, req.Header.Get("Request-Id")+" "+string(body))
		if chunked || req.Close || !req.ProtoAtLeast(1, 1) {
			return all // the front end reads no further request on this connection
		}
	}
}

// Whatever a client sends, the requests that run are those that net/http reads in the same
// bytes, in the same order and with the same bodies, up to the first ambiguity.
func FuzzRequests(f *testing.F) {
	log.SetOutput(io.Discard)
	var mu sync.Mutex
	var ran []string
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		ran = append(ran, r.Header.Get("Request-Id")+" "+string(raw))
	}))
	defer b.Close()
	cfg, err := node.ParseConfig([]byte(nodetest.ConfigJSON(nodetest.ClosedAddr(f), b.Listener.Addr().String())))
	if err != nil {
		f.Fatal(err)
	}
	n := startNode(f, cfg)
	head := func(id string) string {
		return "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 900\r\nRequest-Id: " + id + "\r\n"
	}
	next := head("next") + "Content-Length: 0\r\n\r\n"
	for _, seed := range []string{
		head("a") + "Content-Length: 3\r\n\r\nabc" + next,
		head("a") + "Transfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nT: 1\r\n\r\n" + next,
		head("a") + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next,
		head("a") + "Transfer-Encoding: chunked\r\ncontent-length : 5\r\n\r\n0\r\n\r\n" + next,
		head("a") + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n" + next,
		head("a") + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + next,
		head("a") + "Content-Length: 3, 3\r\n\r\nabc" + next,
		head("a") + "Content-Length: +3\r\n\r\nabc" + next,
		head("a") + "X: y\r\n Content-Length: 3\r\n\r\nabc" + next,
		strings.Replace(head("a"), "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next,
		strings.Replace(head("a"), "1.1", "1.0", 1) + "Connection: keep-alive\r\nContent-Length: 1\r\n\r\na" + next,
		strings.ReplaceAll(head("a")+"Transfer-Encoding: chunked\r\n\r\n", "\r\n", "\n") + "0\n\n" + next,
		head("a") + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n" + next,
		head("a") + "Transfer-Encoding: chunked\r\n\r\n-1\r\n" + next,
		head("a") + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + next,
		head("a") + "Connection: close\r\nContent-Length: 0\r\n\r\n" + next,
		head("a") + "Content-Length: 3\r\n\r\n0\r\n\r\n" + next,
		"GET /clip HTTP/1.1\r\nHost: x\r\nRequest-Class: clip\r\nRequest-Timeout-Ms: 900\r\nRequest-Id: g\r\n\r\n" + next,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) > 8<<10 {
			return
		}
		mu.Lock()
		ran = nil
		mu.Unlock()
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go c.Write(raw)
		buf := make([]byte, 4096)
		for { // until the connection is closed or idle
			c.SetReadDeadline(time.Now().Add(40 * time.Millisecond))
			if _, err := c.Read(buf); err != nil {
				break
			}
		}
		c.Close()
		mu.Lock()
		got := ran
		mu.Unlock()
		want := expectedRequests(raw)
		for i, one := range got {
			if i >= len(want) || len(want[i]) == 0 {
				t.Fatalf("%q ran but was not requested; requested: %q", one, want)
			}
			for len(want) > i && want[i] != one { // rejected, as it does not follow the protocol
				want = append(want[:i:i], want[i+1:]...)
			}
			if i >= len(want) {
				t.Fatalf("%q ran, but net/http reads %q", got, fmt.Sprint(expectedRequests(raw)))
			}
		}
	})
}
