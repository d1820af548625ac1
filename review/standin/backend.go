package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backend plays a server. Each answer names the request that it was made for.
type backend struct {
	name, addr string
	work       time.Duration
	// onHead, if not nil, is called with each request's head when it has come.
	onHead func(*http.Request)
	// readBody, if not nil, reads a request's body; after an error the connection is closed.
	readBody func(*http.Request) error
	// onRun, if not nil, is called when a request's last byte has come.
	onRun func(*http.Request)
	// spoil, if not nil, says how long after an answer a second copy of it is sent; 0: none.
	spoil func(*http.Request) time.Duration

	listener *net.TCPListener
	vanished atomic.Bool // its machine answers nothing any more
	mu       sync.Mutex
	inFlight int
}

// startBackend lets a server listen at a free address.
func (r *run) startBackend(b *backend) {
	l, err := listenReusable("127.0.0.1:0")
	if err != nil {
		r.failf("%v", err)
	}
	b.listener, b.addr = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var write sync.Mutex
	for {
		req, err := http.ReadRequest(reader)
		if b.vanished.Load() {
			select {} // the connection stays open and silent
		}
		if err != nil {
			return
		}
		if req.URL.Path == "/metrics/load" || req.URL.Path == "/alive" {
			b.mu.Lock()
			load := fmt.Sprintf("active=%d,waiting=0", b.inFlight)
			b.mu.Unlock()
			write.Lock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(load), load)
			write.Unlock()
			continue
		}
		if b.onHead != nil {
			b.onHead(req)
		}
		if b.readBody != nil {
			err = b.readBody(req)
		} else {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil {
			return
		}
		if b.onRun != nil {
			b.onRun(req)
		}
		b.mu.Lock()
		b.inFlight++
		b.mu.Unlock()
		time.Sleep(b.work)
		b.mu.Lock()
		b.inFlight--
		b.mu.Unlock()
		body := answerTo(req.Header.Get("Request-Id"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		write.Lock()
		_, err = io.WriteString(c, answer)
		write.Unlock()
		if err != nil {
			return
		}
		if b.spoil != nil {
			if delay := b.spoil(req); delay > 0 {
				time.AfterFunc(delay, func() {
					write.Lock()
					defer write.Unlock()
					io.WriteString(c, answer)
				})
			}
		}
	}
}

// answerTo is the body of the answer to a request.
func answerTo(id string) string { return "made for request " + id + "\n" }
