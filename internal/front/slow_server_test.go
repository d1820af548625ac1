package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ivylock/internal/bounded"
	"ivylock/internal/nodetest"
)

// slowAnswer is a response that a server writes in parts.
type slowAnswer struct {
	head  string
	parts []string
	pause time.Duration // before each part
}

// writeTo writes the response.
func (a slowAnswer) writeTo(c net.Conn) {
	io.WriteString(c, a.head+"\r\n\r\n")
	for _, part := range a.parts {
		time.Sleep(a.pause)
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
	}
}

// split cuts text into count parts of almost the same length.
func split(text string, count int) (parts []string) {
	for i := range count {
		parts = append(parts, text[i*len(text)/count:(i+1)*len(text)/count])
	}
	return parts
}

// chunked returns a body in chunks of the given length.
func chunked(body string, length int) string {
	var out strings.Builder
	for len(body) > 0 {
		n := min(length, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.String() + "0\r\n\r\n"
}

// Guards against cutting off a server that pauses while it writes its answer: the client's time
// decides how long it may take.
func TestAnswersOfSlowServersAreNotCutOff(t *testing.T) {
	t.Parallel()
	const clientTime = 2500 * time.Millisecond
	long, short := readPattern(280_000), readPattern(2_000)
	const chunkedHead, closeHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.1 200 OK\r\nConnection: close"
	longHead, shortHead := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d", len(long)), fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d", len(short))
	for name, answer := range map[string]slowAnswer{
		"length, late":        {longHead, []string{long}, time.Second},
		"length, lumps":       {longHead, split(long, 4), 700 * time.Millisecond},
		"chunks, late":        {chunkedHead, []string{chunked(long, 16_000)}, time.Second},
		"chunks, lumps":       {chunkedHead, split(chunked(long, 45_000), 4), 700 * time.Millisecond},
		"chunks, small lumps": {chunkedHead, split(chunked(long[:100_000], 1_000), 40), 150 * time.Millisecond},
		"close, late":         {closeHead, []string{long}, time.Second},
		"close, lumps":        {closeHead, split(long, 4), 700 * time.Millisecond},
		"close, small lumps":  {closeHead, split(long[:100_000], 40), 150 * time.Millisecond},
		"short, late":         {shortHead, []string{short}, time.Second},
		"short, lumps":        {shortHead, split(short, 2), 900 * time.Millisecond},
		"short chunks, late":  {chunkedHead, []string{chunked(short, 500)}, time.Second},
		"short chunks, lumps": {chunkedHead, split(chunked(short, 500), 3), 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
				answer.writeTo(c)
				return false
			})
			n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server.Addr))
			c := dial(t, n.url)
			fmt.Fprintf(c, "POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: slow\r\nRequest-Class: order\r\nRequest-Timeout-Ms: %d\r\nContent-Length: 2\r\n\r\nab", clientTime.Milliseconds())
			sent := time.Now()
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			first := time.Since(sent)
			body, err := io.ReadAll(resp.Body)
			want := long
			switch {
			case strings.HasPrefix(name, "short"):
				want = short
			case strings.HasSuffix(name, "small lumps"):
				want = long[:100_000]
			}
			if resp.StatusCode != http.StatusOK || err != nil || string(body) != want {
				t.Errorf("got %s, %d bytes of %d, %v, after %v\n%s", resp.Status, len(body), len(want), err, time.Since(sent), n.Events("slow"))
			}
			if first > clientTime+500*time.Millisecond {
				t.Errorf("the first bytes came after %v", first)
			}
			if count := server.RequestCount(); count != 1 {
				t.Errorf("the request was sent %d times", count)
			}
		})
	}
}

// readPattern returns length bytes of text.
func readPattern(length int) string {
	text, _ := io.ReadAll(&patternReader{left: int64(length)})
	return string(text)
}

// Guards against an answer that comes after the client's time because the server reads a long body
// slowly while its end waits unread.
func TestUploadToSlowlyReadingServerIsAnsweredInClientTime(t *testing.T) {
	t.Parallel()
	const clientTime = time.Second
	body := readPattern(4 << 20)
	for i := range 8 {
		length := (1 + i/2) << 20
		framing, text := "length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body[:length])
		if i%2 == 1 {
			framing, text = "chunks", "Transfer-Encoding: chunked\r\n\r\n"+chunked(body[:length], 16_000)
		}
		t.Run(fmt.Sprint(framing, length), func(t *testing.T) {
			t.Parallel()
			server := newSlowlyReadingServer(t, 64<<10)
			n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server))
			c := dial(t, n.url)
			c.SetWriteBuffer(2 * length) // the client's machine takes all of it
			head := fmt.Sprintf("POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: slow\r\nRequest-Class: order\r\nRequest-Timeout-Ms: %d\r\n", clientTime.Milliseconds())
			if _, err := io.WriteString(c, head+text); err != nil {
				t.Fatal(err)
			}
			arrived := awaitAcknowledged(t, c)
			c.SetReadDeadline(time.Now().Add(nodetest.WaitTimeout))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(arrived); took > clientTime+500*time.Millisecond {
				t.Errorf("%s came %v after the last byte had come to the node's machine\n%s", resp.Status, took, n.Events("slow"))
			}
		})
	}
}

// newSlowlyReadingServer starts a server that reads at a steady rate in bytes per second and does not
// answer. It returns its address.
func newSlowlyReadingServer(t *testing.T, rate int) string {
	t.Helper()
	const interval = 20 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetReadBuffer(32 << 10)
			go func() {
				defer c.Close()
				for {
					if _, err := io.CopyN(io.Discard, c, int64(rate)/int64(time.Second/interval)); err != nil {
						return
					}
					time.Sleep(interval)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// awaitAcknowledged waits until the other side's machine has taken all that was written, and returns when
// that was.
func awaitAcknowledged(t *testing.T, c *net.TCPConn) time.Time {
	t.Helper()
	waitFor(t, "all bytes are acknowledged", func() bool { return bounded.Unacknowledged(c) == 0 })
	return time.Now()
}
