// Package perf measures a node beside another proxy: closed-loop clients over
// the same servers, which answer at once.
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

// StartServers listens on so many loopback addresses; each answers every request
// after work, with a body of so many bytes.
func StartServers(n int, work time.Duration, size int) (addrs []string, stop func(), err error) {
	var all []net.Listener
	stop = func() {
		for _, l := range all {
			l.Close()
		}
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		all = append(all, l)
		addrs = append(addrs, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answer(c, work, size)
			}
		}()
	}
	return addrs, stop, nil
}

// SmallBody is the body that requests are measured with by default, in bytes.
const SmallBody = 5

func answer(c net.Conn, work time.Duration, size int) {
	defer c.Close()
	text := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), make([]byte, size)...)
	for r := bufio.NewReader(c); ; {
		length := 0
		for first := true; ; first = false { // a head that our own side wrote
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
		if _, err := c.Write(text); err != nil {
			return
		}
	}
}

// ClientLoad says what the clients do.
type ClientLoad struct {
	Addr     string
	Clients  int           // each sends its next request when it has its answer
	Length   time.Duration // or
	Total    int           // so many requests in all, if above 0
	Class    string        // of clip fetches: a GET
	BodySize int           // of the bodies that the servers send
}

// Results are what clients saw.
type Results struct {
	Requests, Served, Refused, Failed int
	Rate                              float64       // answers of any kind a second
	P50, P99                          time.Duration // of served ones
}

const keep = 200_000 // latencies; later ones are not kept

// RunClosedLoop runs closed-loop clients.
func RunClosedLoop(l ClientLoad) (Results, error) {
	var (
		mu    sync.Mutex
		out   Results
		took  []time.Duration
		bad   error
		wg    sync.WaitGroup
		left  atomic.Int64
		start = time.Now()
		end   = start.Add(l.Length)
	)
	left.Store(int64(l.Total))
	for i := range l.Clients {
		wg.Go(func() {
			f, t, err := client(l, i, func() bool {
				if l.Total > 0 {
					return left.Add(-1) >= 0
				}
				return time.Now().Before(end)
			})
			mu.Lock()
			defer mu.Unlock()
			out.Requests, out.Served, out.Refused, out.Failed = out.Requests+f.Requests, out.Served+f.Served, out.Refused+f.Refused, out.Failed+f.Failed
			took = append(took, t...)
			if err != nil {
				bad = err
			}
		})
	}
	wg.Wait()
	out.Rate = float64(out.Requests) / time.Since(start).Seconds()
	out.P50, out.P99 = judge.Quantile(took, 0.5), judge.Quantile(took, 0.99)
	return out, bad
}

// client is one closed loop. Connections that end are opened anew.
func client(l ClientLoad, number int, more func() bool) (f Results, took []time.Duration, err error) {
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
				return f, took, err
			}
			r = bufio.NewReader(c)
		}
		start := time.Now()
		c.SetDeadline(start.Add(10 * time.Second))
		_, err = fmt.Fprintf(c, "GET /%s/x?sid=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: p%d-%d\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
			l.Class, number, n, l.Class)
		if err != nil {
			return f, took, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return f, took, err
		}
		size, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return f, took, err
		}
		f.Requests++
		switch {
		case resp.StatusCode == http.StatusOK && size == int64(l.BodySize):
			f.Served++
			if len(took) < keep/max(1, l.Clients) {
				took = append(took, time.Since(start))
			}
		case resp.StatusCode == http.StatusServiceUnavailable:
			f.Refused++
		default:
			f.Failed++
		}
		if resp.Close {
			c.Close()
			c = nil
		}
	}
	return f, took, nil
}
