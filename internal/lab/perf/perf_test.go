package perf

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"ivylock/guard"
	"ivylock/internal/front"
	"ivylock/internal/node"
	"ivylock/internal/nodetest"
)

// startNode starts a node in this process.
func startNode(tb testing.TB, servers []string) string {
	tb.Helper()
	// Viewers' clips get the value 1, so that they may be shed, and another class gets 12.
	text := strings.Replace(nodetest.ConfigJSON("127.0.0.1:1", servers...), `"importance":12`, `"importance":1`, 1)
	text = strings.Replace(text, `"importance":1,"key_scope":"cell"`, `"importance":12,"key_scope":"cell"`, 1)
	c, err := node.ParseConfig([]byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	n := node.New(c)
	f := front.New(n, l, c.Settings.Classes, c.ClientSockets(), c.BodyBudget())
	n.SetShutdownSchedule(guard.ShutdownSchedule{}) // shuts down at once
	ctx, stop := context.WithCancel(context.Background())
	go n.Run(ctx, f)
	tb.Cleanup(func() { stop(); <-n.Done() })
	return l.Addr().String()
}

// startReverseProxy starts the standard library's round-robin proxy in this process.
func startReverseProxy(tb testing.TB, servers []string) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &http.Server{Handler: ReverseProxy(servers)}
	go s.Serve(l)
	tb.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func startTestServers(tb testing.TB) []string {
	tb.Helper()
	servers, stop, err := StartServers(4, 0, SmallBody)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(stop)
	return servers
}

// Guards against measuring failed requests: the node and the other proxy serve every request.
func TestNodeAndReverseProxyServeEveryRequest(t *testing.T) {
	log.SetOutput(io.Discard)
	for name, start := range map[string]func(testing.TB, []string) string{"node": startNode, "reverseproxy": startReverseProxy} {
		f, err := RunClosedLoop(ClientLoad{Addr: start(t, startTestServers(t)), Clients: 2, Total: 500, Class: "clip", BodySize: SmallBody})
		if err != nil || f.Served != 500 || f.P99 <= 0 || f.P50 > f.P99 {
			t.Errorf("%s: %+v, %v", name, f, err)
		}
	}
}

// BenchmarkClosedLoop runs clients, proxy and servers in one process on two cores. Package balance
// tests under virtual time that requests to idle servers are not shed.
func BenchmarkClosedLoop(b *testing.B) {
	log.SetOutput(io.Discard)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2))
	for _, clients := range []int{16, 64} {
		for name, start := range map[string]func(testing.TB, []string) string{"node": startNode, "reverseproxy": startReverseProxy} {
			b.Run(fmt.Sprintf("%s/%d", name, clients), func(b *testing.B) {
				addr := start(b, startTestServers(b))
				// The node learns at low load.
				RunClosedLoop(ClientLoad{Addr: addr, Clients: 1, Total: 5000, Class: "clip", BodySize: SmallBody})
				RunClosedLoop(ClientLoad{Addr: addr, Clients: clients, Total: 5000, Class: "clip", BodySize: SmallBody})
				b.ResetTimer()
				f, err := RunClosedLoop(ClientLoad{Addr: addr, Clients: clients, Total: b.N, Class: "clip", BodySize: SmallBody})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(f.Refused)/float64(f.Requests), "refused/op")
				b.ReportMetric(float64(f.P50.Microseconds()), "p50-us")
				b.ReportMetric(float64(f.P99.Microseconds()), "p99-us")
			})
		}
	}
}

// BenchmarkLongBody relays one answer of 32 MB after another.
func BenchmarkLongBody(b *testing.B) {
	log.SetOutput(io.Discard)
	const size = 32 << 20
	piece := make([]byte, 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		for range size / len(piece) {
			w.Write(piece)
		}
	}))
	b.Cleanup(server.Close)
	for name, start := range map[string]func(testing.TB, []string) string{"node": startNode, "reverseproxy": startReverseProxy} {
		b.Run(name, func(b *testing.B) {
			addr := start(b, []string{server.Listener.Addr().String()})
			b.SetBytes(size)
			for i := 0; b.Loop(); i++ {
				req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/clip", nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Header.Set("Request-Id", strconv.Itoa(i))
				req.Header.Set("Request-Class", "clip")
				req.Header.Set("Request-Timeout-Ms", "9000")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
					b.Fatalf("%d bytes, %v", n, err)
				}
				resp.Body.Close()
			}
		})
	}
}
