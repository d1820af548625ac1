// Package perf measures a node in comparison with another proxy, with closed-loop clients over the
// same servers.
package perf

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ivylock/internal/lab/judge"
)

// StartServers starts n servers on loopback addresses. Each answers every request after the
// duration work, with a body of size bytes.
func StartServers(n int, work time.Duration, size int) (addrs []string, stop func(), err error) {
	var listeners []net.Listener
	stop = func() {
		for _, l := range listeners {
			l.Close()
		}
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveConn(c, work, size)
			}
		}()
	}
	return addrs, stop, nil
}

// SmallBody is the default size of answers, in bytes.
const SmallBody = 5

func serveConn(c net.Conn, work time.Duration, size int) {
	defer c.Close()
	response := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), make([]byte, size)...)
	for r := bufio.NewReader(c); ; {
		length := 0
		for first := true; ; first = false { // the head of a request
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 && !first {
				break
			}
			const name = "Content-Length: "
			if len(line) > len(name) && string(line[:len(name)]) == name {
				length, _ = strconv.Atoi(string(line[len(name) : len(line)-2]))
			}
		}
		if _, err := r.Discard(length); err != nil {
			return
		}
		if work > 0 {
			time.Sleep(work)
		}
		if _, err := c.Write(response); err != nil {
			return
		}
	}
}

// ClientLoad describes what the clients do.
type ClientLoad struct {
	Addr     string
	Clients  int           // each sends its next request when it has its answer
	Length   time.Duration // of the run, if Total is 0
	Total    int           // number of requests of all clients together
	Class    string        // of the requests, which are GETs
	BodySize int           // of the servers' answers, in bytes
}

// Results holds what the clients observed.
type Results struct {
	Requests, Served, Refused, Failed int
	Rate                              float64       // answers of any kind per second
	P50, P99                          time.Duration // latencies of served requests
}

const maxLatencies = 200_000 // latencies kept in memory

// RunClosedLoop runs closed-loop clients.
func RunClosedLoop(l ClientLoad) (Results, error) {
	var (
		mu        sync.Mutex
		total     Results
		latencies []time.Duration
		lastErr   error
		wg        sync.WaitGroup
		remaining atomic.Int64
		start     = time.Now()
		end       = start.Add(l.Length)
	)
	remaining.Store(int64(l.Total))
	for i := range l.Clients {
		wg.Go(func() {
			results, times, err := client(l, i, func() bool {
				if l.Total > 0 {
					return remaining.Add(-1) >= 0
				}
				return time.Now().Before(end)
			})
			mu.Lock()
			defer mu.Unlock()
			total.Requests, total.Served, total.Refused, total.Failed = total.Requests+results.Requests, total.Served+results.Served, total.Refused+results.Refused, total.Failed+results.Failed
			latencies = append(latencies, times...)
			if err != nil {
				lastErr = err
			}
		})
	}
	wg.Wait()
	total.Rate = float64(total.Requests) / time.Since(start).Seconds()
	total.P50, total.P99 = judge.Quantile(latencies, 0.5), judge.Quantile(latencies, 0.99)
	return total, lastErr
}

// client runs one closed loop. It reopens its connection when an answer closes it.
func client(l ClientLoad, number int, more func() bool) (results Results, latencies []time.Duration, err error) {
	var c net.Conn
	var r *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; more(); n++ {
		if c == nil {
			if c, err = net.Dial("tcp", l.Addr); err != nil {
				return results, latencies, err
			}
			r = bufio.NewReader(c)
		}
		start := time.Now()
		c.SetDeadline(start.Add(10 * time.Second))
		_, err = fmt.Fprintf(c, "GET /%s/x?sid=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: p%d-%d\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
			l.Class, number, n, l.Class)
		if err != nil {
			return results, latencies, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return results, latencies, err
		}
		size, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return results, latencies, err
		}
		results.Requests++
		switch {
		case resp.StatusCode == http.StatusOK && size == int64(l.BodySize):
			results.Served++
			if len(latencies) < maxLatencies/max(1, l.Clients) {
				latencies = append(latencies, time.Since(start))
			}
		case resp.StatusCode == http.StatusServiceUnavailable:
			results.Refused++
		default:
			results.Failed++
		}
		if resp.Close {
			c.Close()
			c = nil
		}
	}
	return results, latencies, nil
}
