package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	answerSize   = 16 << 20  // bytes; the pages allow 32 MB
	slowRate     = 256 << 10 // bytes a second, four times the slowest rate that the pages name
	ordinaryRate = 2 << 20   // bytes a second
	readPiece    = 16 << 10  // bytes
)

// slowReader: six clients, two at each node, ask for a long answer. With the disruption they read
// it at a constant slow rate, without it as fast as it comes.
func slowReader(l *lab) (broken bool) {
	d := l.deploy(6, 3, kampklip, nil)
	var begun, cut atomic.Int64
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rate := 0
			if l.trouble {
				rate = slowRate
			}
			started, whole := l.readAnswer(d.configs[i%3], answerSize, rate, 0)
			if started {
				begun.Add(1)
			}
			if started && !whole {
				cut.Add(1)
			}
		}()
	}
	wg.Wait()
	l.logf("answers begun %d, cut off %d", begun.Load(), cut.Load())
	if begun.Load() == 0 {
		panic(cannotRun{errors.New("no answer began")})
	}
	return cut.Load() > 0
}

// readAnswer sends one request and reads its answer at a rate in bytes a second; 0: as fast as it
// comes. The server spreads the answer over a time. It reports whether a 200 began, and whether all
// of it came.
func (l *lab) readAnswer(node nodeConfig, size, rate int, spread time.Duration) (started, whole bool) {
	id := newID()
	conn, err := net.Dial("tcp", node.Listen)
	if err != nil {
		l.fail(err)
		return false, false
	}
	defer conn.Close()
	began := time.Now()
	fmt.Fprintf(conn, "GET /viewer-clip?sid=%s&size=%d&spread=%d HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: viewer-clip\r\nRequest-Timeout-Ms: 1600\r\n\r\n",
		newID(), size, spread.Milliseconds(), id)
	l.logf("request %s is sent to %s", id, node.Name)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		l.logf("request %s: not served: %v %v", id, resp, err)
		return false, false
	}
	l.logf("request %s: 200, %d bytes announced, after %.3f s", id, resp.ContentLength, time.Since(began).Seconds())
	total, piece, beginning := 0, make([]byte, readPiece), ""
	for {
		n, err := io.ReadFull(resp.Body, piece)
		if total == 0 {
			beginning = string(piece[:min(n, 64)])
		}
		total += n
		if errors.Is(err, io.EOF) || err == io.ErrUnexpectedEOF && total == size {
			break
		}
		if err != nil {
			l.logf("request %s: CUT OFF after %d of %d bytes, %.3f s: %v", id, total, size, time.Since(began).Seconds(), err)
			return true, false
		}
		if rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(total) / float64(rate) * 1e9))))
		}
	}
	l.logf("request %s: %d bytes after %.3f s", id, total, time.Since(began).Seconds())
	return true, total == size && strings.Contains(beginning, id)
}
