package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// arrivals records when requests reach a server, by id.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = map[string][]time.Time{}
	}
	a.at[id] = append(a.at[id], time.Now())
}

// after returns the ids that arrived later than a time, and those that arrived more than once.
func (a *arrivals) after(latest time.Time) (late, twice []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, times := range a.at {
		if times[len(times)-1].After(latest) {
			late = append(late, fmt.Sprintf("%s by %v", id, times[len(times)-1].Sub(latest)))
		}
		if len(times) > 1 {
			twice = append(twice, fmt.Sprintf("%s %d times", id, len(times)))
		}
	}
	return late, twice
}

// Guards against sending on the requests of a client that has closed its connection with much of it
// unread.
func TestNothingIsSentForClientThatLeftBehindItsRequests(t *testing.T) {
	const presence = 100 * time.Millisecond // within which an attempt may still begin
	for _, size := range []int{0, 2_000, 30_000, 60_000, 100_000, 300_000} {
		for _, event := range []string{"close", "reset", "half-close"} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, event), func(t *testing.T) {
				t.Parallel()
				arrived := &arrivals{}
				server := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
					arrived.add(r.Header.Get("Request-Id"))
					time.Sleep(150 * time.Millisecond)
					return nodetest.WriteResponse(c, "200 OK", "done")
				})
				n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server.Addr, server.Addr, server.Addr))
				var text strings.Builder
				for i := range 12 {
					if size == 0 {
						text.WriteString(getRequest(fmt.Sprint("left", i)))
						continue
					}
					fmt.Fprintf(&text, "POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: left%d\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", i, size, strings.Repeat("x", size))
				}
				c := dial(t, n.url)
				c.SetWriteBuffer(4 << 20)
				go io.WriteString(c, text.String())
				time.Sleep(60 * time.Millisecond)
				switch event {
				case "close":
					c.Close()
				case "reset":
					c.SetLinger(0)
					c.Close()
				case "half-close":
					c.CloseWrite()
					go io.Copy(io.Discard, c)
				}
				closed := time.Now()
				time.Sleep(1200 * time.Millisecond)
				if late, twice := arrived.after(closed.Add(presence)); event != "half-close" && len(late) > 0 || len(twice) > 0 {
					t.Errorf("sent after the close: %v; twice: %v\n%s", late, twice, n.Events(""))
				}
			})
		}
	}
}

// Guards against running an id twice that comes again after its client has left.
func TestIDThatComesAgainAfterItsClientLeftRunsOnce(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			arrived := &arrivals{}
			server := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
				arrived.add(r.Header.Get("Request-Id"))
				time.Sleep(100 * time.Millisecond)
				return nodetest.WriteResponse(c, "200 OK", "done")
			})
			n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server.Addr, server.Addr))
			const text = "POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: again\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: 2\r\n\r\nab"
			first := dial(t, n.url)
			io.WriteString(first, text)
			waitFor(t, "the request runs", func() bool { return server.RequestCount() > 0 })
			first.Close()
			time.Sleep(pause)
			second := dial(t, n.url)
			io.WriteString(second, text)
			resp, err := http.ReadResponse(bufio.NewReader(second), nil)
			if err != nil {
				t.Fatal(err)
			}
			if figure := resp.StatusCode; figure == http.StatusOK || figure == http.StatusServiceUnavailable || figure == http.StatusTooManyRequests {
				t.Errorf("got %s, which says that it ran for this client, or never", resp.Status)
			}
			if _, twice := arrived.after(time.Now()); len(twice) > 0 {
				t.Errorf("%v\n%s", twice, n.Events("again"))
			}
		})
	}
}
