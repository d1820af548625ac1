// Package crowd connects many slow or greedy clients to one node at once, each of which takes as
// much memory of the node as its kind of client can.
package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Shape is what the clients of a crowd do.
type Shape int

const (
	// SlowUploads write a body of 300 kB at 64 kB/s.
	SlowUploads Shape = iota
	// StoppedUploads write 200 kB of a body of 300 kB and then nothing more.
	StoppedUploads
	// UnfinishedUploads write all but the last 4 kB of a body of 64 kB, which no server ever sees.
	UnfinishedUploads
	// ManyFields send heads of 6 kB with 1,500 fields, a request each second.
	ManyFields
	// SlowReaders read an answer of 4 MB at 64 kB/s.
	SlowReaders
	// Pipeliners send 28 kB of further requests behind an open one.
	Pipeliners
	// NumShapes is the number of shapes.
	NumShapes
)

var shapeNames = [NumShapes]string{"slow uploads", "stopped uploads", "unfinished uploads", "many fields", "slow readers", "pipeliners"}

// String returns the name of the shape.
func (s Shape) String() string { return shapeNames[s] }

const (
	uploadLength   = 300_000 // bytes
	stoppedLength  = 200_000 // bytes
	shortLength    = 64_000  // bytes, buffered until it is complete
	shortWritten   = 60_000  // bytes
	answerLength   = 4 << 20 // bytes
	fieldCount     = 1500
	pipelinedCount = 4      // requests behind the open one
	paddingLength  = 7_000  // bytes of a pipelined request
	slowRate       = 64_000 // bytes per second
	slowInterval   = 100 * time.Millisecond
	firstBurst     = 100_000 // bytes that a slow upload writes at once
	requestTimeout = 2 * time.Second
	silence        = 4 * time.Second // after which a client gives up
	pauseTime      = time.Second     // between two requests of a client
)

// Target is what the clients request.
type Target struct {
	Addr   string
	Safe   string // class of GET requests; a server answers ?bytes=N with a body of N bytes
	Unsafe string // class of POST requests that are not keyed
}

// Crowd is a number of clients. Its counters may be read while it runs.
type Crowd struct {
	Target   Target
	Shapes   []Shape // client i has shape i modulo their number
	Clients  int
	Answers  atomic.Int64 // final answers with status 200
	Refusals atomic.Int64 // other final answers
	Cuts     atomic.Int64 // connections that ended without a final answer
	nextID   atomic.Int64
}

// Run runs the clients until ctx ends. Each opens a new connection when its last one has ended.
func (c *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	for i := range c.Clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, c.Shapes[i%len(c.Shapes)])
				select {
				case <-ctx.Done():
				case <-time.After(pauseTime):
				}
			}
		})
	}
	clients.Wait()
}

// connect serves one connection to its end.
func (c *Crowd) connect(ctx context.Context, shape Shape) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.Target.Addr)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	switch shape {
	case SlowUploads:
		c.upload(ctx, conn, uploadLength, uploadLength)
	case StoppedUploads:
		c.upload(ctx, conn, uploadLength, stoppedLength)
	case UnfinishedUploads:
		c.upload(ctx, conn, shortLength, shortWritten)
	case ManyFields:
		c.sendManyFields(ctx, conn)
	case SlowReaders:
		c.readSlowly(ctx, conn)
	case Pipeliners:
		c.pipeline(ctx, conn)
	}
}

// requestID returns an id that no other request of the crowd has.
func (c *Crowd) requestID() string {
	return fmt.Sprintf("%x%08x", time.Now().UnixNano()&0xffffffff, c.nextID.Add(1))
}

// head returns the head of a request without its last, empty line.
func (c *Crowd) head(method, class, query string) string {
	return fmt.Sprintf("%s /%s?sid=%s%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		method, class, c.requestID(), query, c.requestID(), class, requestTimeout.Milliseconds())
}

// upload writes the first bytes of a body at once and further ones slowly, and waits for the answer.
func (c *Crowd) upload(ctx context.Context, conn net.Conn, length, written int) {
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", c.head(http.MethodPost, c.Target.Unsafe, ""), length)
	body := make([]byte, written)
	answered := make(chan bool, 1)
	go func() { answered <- c.readAnswer(ctx, bufio.NewReaderSize(conn, 1024)) }()
	burst := firstBurst
	if written < length {
		burst = written
	}
	for len(body) > 0 {
		n := min(burst, len(body))
		if _, err := conn.Write(body[:n]); err != nil {
			break
		}
		body, burst = body[n:], int(slowRate*slowInterval/time.Second)
		select {
		case <-answered:
			return
		case <-time.After(slowInterval):
		}
	}
	<-answered
}

// readAnswer reads one answer and counts it. It reports whether the connection can be used further.
func (c *Crowd) readAnswer(ctx context.Context, r *bufio.Reader) bool {
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	switch {
	case err != nil:
		if ctx.Err() == nil {
			c.Cuts.Add(1)
		}
		return false
	case resp.StatusCode == http.StatusOK:
		c.Answers.Add(1)
	default:
		c.Refusals.Add(1)
	}
	return !resp.Close
}

// sendManyFields sends requests whose heads consist of very many short fields.
func (c *Crowd) sendManyFields(ctx context.Context, conn net.Conn) {
	fields := strings.Repeat("a:\r\n", fieldCount)
	r := bufio.NewReaderSize(conn, 1024)
	for ctx.Err() == nil {
		conn.SetDeadline(time.Now().Add(silence))
		if _, err := io.WriteString(conn, c.head(http.MethodGet, c.Target.Safe, "")+fields+"\r\n"); err != nil {
			return
		}
		if !c.readAnswer(ctx, r) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pauseTime):
		}
	}
}

// readSlowly reads a long answer at slowRate.
func (c *Crowd) readSlowly(ctx context.Context, conn net.Conn) {
	conn.(*net.TCPConn).SetReadBuffer(slowRate)
	io.WriteString(conn, c.head(http.MethodGet, c.Target.Safe, fmt.Sprintf("&bytes=%d", answerLength))+"\r\n")
	ticker := time.NewTicker(slowInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		conn.SetReadDeadline(time.Now().Add(silence))
		if _, err := io.CopyN(io.Discard, conn, int64(slowRate*slowInterval/time.Second)); err != nil {
			return
		}
	}
}

// pipeline sends further requests behind an open one and reads all answers.
func (c *Crowd) pipeline(ctx context.Context, conn net.Conn) {
	var text strings.Builder
	padding := "&padding=" + strings.Repeat("x", paddingLength)
	for range 1 + pipelinedCount {
		text.WriteString(c.head(http.MethodGet, c.Target.Safe, padding) + "\r\n")
	}
	conn.SetDeadline(time.Now().Add(silence))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return
	}
	r := bufio.NewReaderSize(conn, 1024)
	for range 1 + pipelinedCount {
		if !c.readAnswer(ctx, r) {
			return
		}
	}
}
